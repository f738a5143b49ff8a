//! Why an exchange failed, and whether it may have had an effect.

use std::net::SocketAddr;

use snafu::Snafu;

/// The result of an exchange.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A failed exchange, one word wide.
#[derive(Debug, Snafu)]
#[snafu(source(from(ErrorKind, Box::new)))]
pub struct Error(Box<ErrorKind>);

impl Error {
    /// Whether the call may have had an effect.
    pub fn category(&self) -> Category {
        match *self.0 {
            ErrorKind::Connect { .. } | ErrorKind::Request { .. } => Category::NotSent,
            ErrorKind::Exchange { .. } | ErrorKind::Timeout { .. } => Category::Unknown,
        }
    }
}

/// Whether a failed call may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// Nothing was sent.
    NotSent,
    /// It may have been carried out, or may be later.
    Unknown,
}

/// Detailed kinds of failure.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ErrorKind {
    /// No connection could be opened.
    #[snafu(display("{address}: no connection ({message}): check that it runs and is reachable"))]
    Connect {
        /// Whom.
        address: SocketAddr,
        /// What the system said.
        message: String,
    },
    /// The request cannot be written.
    #[snafu(display("{address}: the request cannot be written ({message}): correct the address"))]
    Request {
        /// Whom.
        address: SocketAddr,
        /// What the library said.
        message: String,
    },
    /// The connection broke.
    #[snafu(display(
        "{address}: the connection broke ({source}): repeat the call if that is safe"
    ))]
    Exchange {
        /// Whom.
        address: SocketAddr,
        /// What the library said.
        source: hyper::Error,
    },
    /// No answer in time.
    #[snafu(display("{address}: no answer in time: repeat the call if that is safe"))]
    Timeout {
        /// Whom.
        address: SocketAddr,
    },
}
