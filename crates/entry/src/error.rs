//! Errors of an entry member; each message includes the remedy.

use std::net::SocketAddr;

use snafu::Snafu;

/// Result of a runtime operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Runtime error, boxed so that it is one pointer wide.
#[derive(Debug, Snafu)]
#[snafu(source(from(ErrorKind, Box::new)))]
pub struct Error(Box<ErrorKind>);

impl Error {
    /// Returns the category of this error.
    pub fn category(&self) -> Category {
        match *self.0 {
            ErrorKind::SettingsRead { .. }
            | ErrorKind::SettingsSyntax { .. }
            | ErrorKind::SettingsValue { .. } => Category::Settings,
            ErrorKind::Bind { .. } | ErrorKind::Runtime { .. } => Category::Start,
            ErrorKind::Call { .. }
            | ErrorKind::Status { .. }
            | ErrorKind::Answer { .. }
            | ErrorKind::Stopped => Category::Platform,
        }
    }
}

/// Categories of runtime error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The settings are invalid or cannot be read.
    Settings,
    /// The member cannot start.
    Start,
    /// The platform cannot be reached, or its response is invalid.
    Platform,
}

/// Kind of a runtime error, with its details.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ErrorKind {
    /// The settings file cannot be read.
    #[snafu(display("{path}: cannot be read ({source}): check the path and its permissions"))]
    SettingsRead {
        /// Path of the settings file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The settings file does not match the expected format.
    #[snafu(display("{path}: {message}"))]
    SettingsSyntax {
        /// Path of the settings file.
        path: String,
        /// Error of the decoder.
        message: String,
    },
    /// A setting has an invalid value.
    #[snafu(display("{path}: `{key}` is {found}: write {remedy}"))]
    SettingsValue {
        /// Path of the settings file.
        path: String,
        /// Key of the invalid setting.
        key: &'static str,
        /// Value found.
        found: String,
        /// Valid values, for the operator to choose from.
        remedy: &'static str,
    },
    /// An address cannot be bound.
    #[snafu(display("{address} cannot be bound ({source}): free it or change the settings"))]
    Bind {
        /// Address to bind.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The runtime cannot be started.
    #[snafu(display("the runtime cannot start ({source}): raise the limits of the process"))]
    Runtime {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A call to the platform failed.
    #[snafu(display("{source}"))]
    Call {
        /// Error of the call, with the remedy.
        source: jacinthhoist_net::Error,
    },
    /// The response has an error status.
    #[snafu(display("{address} responded with status {status}: check the log of that service"))]
    Status {
        /// Address of the service.
        address: SocketAddr,
        /// HTTP status of the response.
        status: u16,
    },
    /// The response cannot be decoded.
    #[snafu(display(
        "{address} sent a response that cannot be decoded ({message}): check that the releases match"
    ))]
    Answer {
        /// Address of the service.
        address: SocketAddr,
        /// Error of the decoder.
        message: String,
    },
    /// The member is shutting down.
    #[snafu(display("the member is shutting down: use another member"))]
    Stopped,
}
