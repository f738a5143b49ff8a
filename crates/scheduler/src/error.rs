//! Why something of the platform could not be had, with the remedy in the message.

use snafu::Snafu;

/// The result of a call to the platform.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error of the scheduler, one word wide.
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
    /// What follows from it.
    pub fn category(&self) -> Category {
        match *self.0 {
            ErrorKind::Refused { .. } => Category::NotDone,
            ErrorKind::NoAnswer { .. } => Category::Unknown,
            ErrorKind::Fenced { .. } => Category::Fenced,
            ErrorKind::OutOfOrder => Category::OutOfOrder,
            ErrorKind::Trimmed { .. } => Category::Trimmed,
            ErrorKind::Unreadable { .. } => Category::Unreadable,
            ErrorKind::Bind { .. } => Category::Start,
        }
    }
}

/// What follows from an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// Nothing was done.
    NotDone,
    /// It may have been done, or may be later.
    Unknown,
    /// Another writer has taken over.
    Fenced,
    /// The store expects another sequence number.
    OutOfOrder,
    /// The records have been deleted.
    Trimmed,
    /// The answer cannot be read.
    Unreadable,
    /// The process cannot start.
    Start,
}

/// Detailed kinds of error.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ErrorKind {
    /// The call was refused and had no effect.
    #[snafu(display("{call} was refused ({message}): try again after a pause"))]
    Refused {
        /// The call.
        call: &'static str,
        /// What came back.
        message: String,
    },
    /// The call may have had an effect.
    #[snafu(display("{call} was not answered ({message}): repeat it under the same mark"))]
    NoAnswer {
        /// The call.
        call: &'static str,
        /// What happened.
        message: String,
    },
    /// A higher epoch or token has been seen.
    #[snafu(display("{call}: another member has taken over: drop what was owned"))]
    Fenced {
        /// The call.
        call: &'static str,
    },
    /// The sequence number does not follow.
    #[snafu(display("the store expects another sequence number: begin a new epoch"))]
    OutOfOrder,
    /// The records asked for have been deleted.
    #[snafu(display("records before offset {first} are gone: read the newest records again"))]
    Trimmed {
        /// The first offset that is kept.
        first: u64,
    },
    /// The answer cannot be read.
    #[snafu(display("{call}: the answer cannot be read ({message}): check the release"))]
    Unreadable {
        /// The call.
        call: &'static str,
        /// What the decoder said.
        message: String,
    },
    /// An address cannot be bound.
    #[snafu(display("{address} cannot be bound ({message}): free it or change the settings"))]
    Bind {
        /// The address.
        address: String,
        /// What the system said.
        message: String,
    },
}
