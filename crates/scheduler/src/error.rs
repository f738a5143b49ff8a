//! Errors of platform calls; each message includes the remedy.

use snafu::Snafu;

/// Result of a platform call.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Scheduler error, boxed so that it is one pointer wide.
///
/// ```
/// use jacinthhoist_scheduler::{Category, Error, ErrorKind};
/// let error = Error::from(ErrorKind::Trimmed { first: 40 });
/// assert_eq!(error.category(), Category::Trimmed);
/// assert!(error.to_string().contains("read the newest records"));
/// ```
#[derive(Debug, Snafu)]
#[snafu(source(from(ErrorKind, Box::new)))]
pub struct Error(Box<ErrorKind>);

impl Error {
    /// Returns the category, which decides how the caller continues.
    pub fn category(&self) -> Category {
        match *self.0 {
            ErrorKind::Refused { .. } => Category::NotDone,
            ErrorKind::Expired { .. } => Category::Expired,
            ErrorKind::NoAnswer { .. } => Category::Unknown,
            ErrorKind::Fenced { .. } => Category::Fenced,
            ErrorKind::OutOfOrder => Category::OutOfOrder,
            ErrorKind::Trimmed { .. } => Category::Trimmed,
            ErrorKind::Unreadable { .. } => Category::Unreadable,
            ErrorKind::Bind { .. } => Category::Start,
        }
    }
}

/// Consequence of an error for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The call had no effect.
    NotDone,
    /// The call was not sent, as the permission to send it had run out.
    Expired,
    /// The call may have taken effect, or may still do so.
    Unknown,
    /// A newer writer has taken over.
    Fenced,
    /// The store expects a different sequence number.
    OutOfOrder,
    /// The requested records have been deleted.
    Trimmed,
    /// A response or an entry cannot be decoded.
    Unreadable,
    /// The member cannot start.
    Start,
}

/// Kind of an error, with its details.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ErrorKind {
    /// The call was refused or could not be sent, and had no effect.
    #[snafu(display("{call}: failed without effect ({message}): retry after a pause"))]
    Refused {
        /// Name of the call.
        call: &'static str,
        /// Response of the platform, or error of the connection.
        message: String,
    },
    /// The permission to send the call ran out before it was sent.
    #[snafu(display("{call}: not sent, as its permission had run out: decide on it anew"))]
    Expired {
        /// Name of the call.
        call: &'static str,
    },
    /// The call may have had an effect.
    #[snafu(display(
        "{call}: outcome unknown ({message}): repeat it with the same sequence number"
    ))]
    NoAnswer {
        /// Name of the call.
        call: &'static str,
        /// Unexpected response, or cause of its absence.
        message: String,
    },
    /// The platform has seen a higher epoch or token.
    #[snafu(display(
        "{call}: rejected because another member has taken over: give up ownership of the pools"
    ))]
    Fenced {
        /// Name of the call.
        call: &'static str,
    },
    /// The sequence number is not the next of its epoch.
    #[snafu(display("the store expects a different sequence number: begin a new epoch"))]
    OutOfOrder,
    /// The requested records have been deleted.
    #[snafu(display("records before offset {first} were deleted: read the newest records again"))]
    Trimmed {
        /// First offset that is retained.
        first: u64,
    },
    /// A response or an entry cannot be decoded.
    #[snafu(display("{call}: invalid data ({message}): check that the releases match"))]
    Unreadable {
        /// Name of the call or of the entry.
        call: &'static str,
        /// Error of the decoder.
        message: String,
    },
    /// The address cannot be bound.
    #[snafu(display("{address} cannot be bound ({message}): free it or change the settings"))]
    Bind {
        /// Network address, or name of the log's output.
        address: String,
        /// Error of the operating system.
        message: String,
    },
}
