//! Why a member cannot start or do its work, with the remedy in the message.

use std::net::SocketAddr;

use snafu::Snafu;

/// The result of a runtime operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A runtime error, one word wide.
#[derive(Debug, Snafu)]
#[snafu(source(from(ErrorKind, Box::new)))]
pub struct Error(Box<ErrorKind>);

impl Error {
    /// The coarse kind of this error.
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

/// Coarse kinds of runtime error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The settings cannot be used.
    Settings,
    /// The member cannot start.
    Start,
    /// The platform cannot be reached or answers nonsense.
    Platform,
}

/// Detailed kinds of runtime error.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ErrorKind {
    /// The settings file cannot be read.
    #[snafu(display("{path}: cannot be read ({source}): check the path and its permissions"))]
    SettingsRead {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The settings file is not of the form expected.
    #[snafu(display("{path}: {message}"))]
    SettingsSyntax {
        /// The file.
        path: String,
        /// What the decoder said.
        message: String,
    },
    /// A setting has a value that cannot be used.
    #[snafu(display("{path}: `{key}` is {found}: write {remedy}"))]
    SettingsValue {
        /// The file.
        path: String,
        /// The key at fault.
        key: &'static str,
        /// What was found.
        found: String,
        /// What to write.
        remedy: &'static str,
    },
    /// An address cannot be bound.
    #[snafu(display(
        "{address} cannot be bound ({source}): stop what uses it, or set another address"
    ))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The runtime cannot be started.
    #[snafu(display("the runtime cannot start ({source}): raise the limits of the process"))]
    Runtime {
        /// What the system said.
        source: std::io::Error,
    },
    /// An exchange with the platform failed.
    #[snafu(display("{source}"))]
    Call {
        /// What went wrong, with the remedy.
        source: jacinthhoist_net::Error,
    },
    /// The answer has a status that is no success.
    #[snafu(display("{address} answered with status {status}: check its own log"))]
    Status {
        /// The address.
        address: SocketAddr,
        /// The status.
        status: u16,
    },
    /// The answer cannot be read.
    #[snafu(display("{address} answered with something else ({message}): check its version"))]
    Answer {
        /// The address.
        address: SocketAddr,
        /// What the decoder said.
        message: String,
    },
    /// The member is stopping.
    #[snafu(display("the member is stopping: ask another"))]
    Stopped,
}
