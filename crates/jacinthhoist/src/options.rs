//! Command-line options.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

/// Command-line client for operators of jacinthhoist.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct OperatorOptions {
    /// Admin address of any member, `IP:PORT`
    #[bpaf(long, argument("ADDRESS"), env("JACINTHHOIST_ADMIN"), fallback(SocketAddr::from(([127, 0, 0, 1], 8082))), display_fallback)]
    pub(crate) admin: SocketAddr,
    /// Prints JSON instead of a table
    #[bpaf(long, switch)]
    pub(crate) json: bool,
    #[bpaf(external)]
    pub(crate) command: Command,
}

/// Available commands:
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Command {
    /// Reads or changes the catalogue
    #[bpaf(command)]
    Catalogue(#[bpaf(external(catalogue_command))] CatalogueCommand),
    /// Shows the state of a member and the progress of the maintenance waves
    #[bpaf(command)]
    Status,
    /// Shows the pools and their availability budgets
    #[bpaf(command)]
    Pools,
    /// Shows the VMs, their pools and phases
    #[bpaf(command)]
    Vms,
    /// Shows the entry members
    #[bpaf(command)]
    Members,
}

/// Available commands:
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum CatalogueCommand {
    /// Validates a file as a complete catalogue, without contacting a member
    #[bpaf(command)]
    Check {
        /// Catalogue file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows the accepted catalogue as an editable file
    #[bpaf(command)]
    Show,
    /// Shows the changes that applying a file would make
    #[bpaf(command)]
    Diff {
        /// Catalogue file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Applies a file
    #[bpaf(command)]
    Apply {
        /// Name of the operator who makes the change
        #[bpaf(long, argument("NAME"), fallback("operator".to_owned()))]
        operator: String,
        /// Waits at most this many seconds until the change is in force on every live member
        #[bpaf(long, argument("SECONDS"))]
        wait: Option<u64>,
        /// Catalogue file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}
