//! Why a command did not do its work, with the remedy in the message.

use std::net::SocketAddr;

use snafu::Snafu;

/// The result of a command.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// A command's error, one word wide.
#[derive(Debug, Snafu)]
#[snafu(source(from(ErrorKind, Box::new)))]
pub(crate) struct Error(Box<ErrorKind>);

/// A file cannot be used.
const EXIT_FILE: u8 = 2;
/// No member could be asked.
const EXIT_UNREACHED: u8 = 3;

impl Error {
    /// The exit code that goes with this error.
    pub(crate) fn exit_code(&self) -> u8 {
        match *self.0 {
            ErrorKind::Read { .. } | ErrorKind::File { .. } | ErrorKind::Catalogue { .. } => {
                EXIT_FILE
            }
            ErrorKind::Reach { .. } | ErrorKind::Answer { .. } | ErrorKind::Runtime { .. } => {
                EXIT_UNREACHED
            }
        }
    }
}

/// Detailed kinds of error.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum ErrorKind {
    /// A file cannot be read.
    #[snafu(display("{path}: cannot be read ({source}): check the path"))]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// A file cannot be used.
    #[snafu(display("{path}: {source}"))]
    File {
        /// The file.
        path: String,
        /// What is wrong with it.
        source: jacinthhoist_codec::Error,
    },
    /// A catalogue as a whole cannot be used.
    #[snafu(display("{path}: {source}"))]
    Catalogue {
        /// The file.
        path: String,
        /// What is wrong with it.
        source: jacinthhoist_core::Error,
    },
    /// No member answers at the address.
    #[snafu(display(
        "{address} cannot be reached ({message}): name the admin address of a running member with --admin"
    ))]
    Reach {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        message: String,
    },
    /// The answer cannot be read.
    #[snafu(display(
        "{address} answered with something else ({message}): check that the address is an admin address"
    ))]
    Answer {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        message: String,
    },
    /// The runtime cannot start.
    #[snafu(display("the runtime cannot start ({source}): raise the limits of the process"))]
    Runtime {
        /// What the system said.
        source: std::io::Error,
    },
}
