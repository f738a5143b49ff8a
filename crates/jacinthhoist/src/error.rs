//! Errors of commands; each message includes a remedy.

use std::net::SocketAddr;

use snafu::Snafu;

/// Result of a command.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Command error, boxed so that it is one pointer wide.
#[derive(Debug, Snafu)]
#[snafu(source(from(ErrorKind, Box::new)))]
pub(crate) struct Error(Box<ErrorKind>);

/// Exit code for a file that cannot be read or is invalid.
const EXIT_INVALID_FILE: u8 = 2;
/// Exit code if no usable response was received from a member, or the runtime cannot start.
const EXIT_UNREACHABLE: u8 = 3;

impl Error {
    /// Returns the exit code for this error.
    pub(crate) fn exit_code(&self) -> u8 {
        match *self.0 {
            ErrorKind::ReadFile { .. }
            | ErrorKind::InvalidFile { .. }
            | ErrorKind::InvalidCatalogue { .. } => EXIT_INVALID_FILE,
            ErrorKind::Unreachable { .. }
            | ErrorKind::UnexpectedResponse { .. }
            | ErrorKind::Runtime { .. } => EXIT_UNREACHABLE,
        }
    }
}

/// Detailed reasons for an error.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum ErrorKind {
    /// The file cannot be read.
    #[snafu(display("{path}: cannot be read ({source}): check the path"))]
    ReadFile {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is invalid.
    #[snafu(display("{path}: {source}"))]
    InvalidFile {
        /// Path of the file.
        path: String,
        /// Error of the decoder.
        source: jacinthhoist_codec::Error,
    },
    /// The entries of the file do not form a valid catalogue.
    #[snafu(display("{path}: {source}"))]
    InvalidCatalogue {
        /// Path of the file.
        path: String,
        /// Reason why the catalogue is invalid.
        source: jacinthhoist_core::Error,
    },
    /// The request to the address failed.
    #[snafu(display(
        "cannot reach {address} ({message}): set --admin to the admin address of a running member"
    ))]
    Unreachable {
        /// Address of the member.
        address: SocketAddr,
        /// Description of the failure.
        message: String,
    },
    /// The response is not one of the administration API.
    #[snafu(display(
        "unexpected response from {address} ({message}): check that it is an admin address"
    ))]
    UnexpectedResponse {
        /// Address of the member.
        address: SocketAddr,
        /// Description of the failure.
        message: String,
    },
    /// The asynchronous runtime cannot start.
    #[snafu(display(
        "cannot start the runtime ({source}): raise the resource limits of the process"
    ))]
    Runtime {
        /// Error of the operating system.
        source: std::io::Error,
    },
}
