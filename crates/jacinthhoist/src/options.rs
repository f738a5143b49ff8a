//! The command line's arguments.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

/// The operator's command line of jacinthhoist.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct OperatorOptions {
    /// The admin address of any member, `IP:PORT`
    #[bpaf(long, argument("ADDRESS"), env("JACINTHHOIST_ADMIN"), fallback(SocketAddr::from(([127, 0, 0, 1], 8082))), display_fallback)]
    pub(crate) admin: SocketAddr,
    /// Prints JSON instead of a table
    #[bpaf(long, switch)]
    pub(crate) json: bool,
    #[bpaf(external)]
    pub(crate) command: Command,
}

/// What to do.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Command {
    /// Reads or changes the catalogue
    #[bpaf(command)]
    Catalogue(#[bpaf(external(catalogue_command))] CatalogueCommand),
    /// Shows a member's state and the waves' progress
    #[bpaf(command)]
    Status,
    /// Shows the pools and their budgets
    #[bpaf(command)]
    Pools,
    /// Shows the VMs, their pools and phases
    #[bpaf(command)]
    Vms,
    /// Shows the entry members
    #[bpaf(command)]
    Members,
}

/// What to do with the catalogue.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum CatalogueCommand {
    /// Checks a file as a whole catalogue, without asking a member
    #[bpaf(command)]
    Check {
        /// The catalogue file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows the accepted catalogue as a file to edit
    #[bpaf(command)]
    Show,
    /// Shows what applying a file would change
    #[bpaf(command)]
    Diff {
        /// The catalogue file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Applies a file
    #[bpaf(command)]
    Apply {
        /// Who makes the change
        #[bpaf(long, argument("NAME"), fallback("operator".to_owned()))]
        operator: String,
        /// Waits up to this many seconds until the change is in force on every live member
        #[bpaf(long, argument("SECONDS"))]
        wait: Option<u64>,
        /// The catalogue file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}
