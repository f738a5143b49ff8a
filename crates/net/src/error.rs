//! Errors of HTTP requests, categorised by whether the request may have had an effect.

use std::net::SocketAddr;

use snafu::Snafu;

/// Result of an HTTP request.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// HTTP client error, boxed so that it is one pointer wide.
#[derive(Debug, Snafu)]
#[snafu(source(from(ErrorKind, Box::new)))]
pub struct Error(Box<ErrorKind>);

impl Error {
    /// Category of the error: tells whether the request may have had an effect.
    pub fn category(&self) -> Category {
        match *self.0 {
            ErrorKind::Expired { .. } => Category::Expired,
            ErrorKind::Connect { .. } | ErrorKind::Request { .. } => Category::NotSent,
            ErrorKind::Exchange { .. } | ErrorKind::Timeout { .. } => Category::Unknown,
        }
    }
}

/// Possible effect of a failed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The request was not sent.
    NotSent,
    /// The request was not sent, as its expiry had passed.
    Expired,
    /// The request may have been executed, or may still be.
    Unknown,
}

/// Detailed reasons for a failure.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ErrorKind {
    /// The connection could not be opened.
    #[snafu(display(
        "{address}: cannot connect ({message}): check that the server is running and reachable"
    ))]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Error message of the system or library.
        message: String,
    },
    /// The request is invalid.
    #[snafu(display("{address}: invalid request ({message}): correct the address or path"))]
    Request {
        /// Address of the server.
        address: SocketAddr,
        /// Error message of the library.
        message: String,
    },
    /// The expiry of the request passed before it could be sent.
    #[snafu(display("{address}: request expired before it was sent: decide on it anew"))]
    Expired {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The connection failed after the request was passed to it.
    #[snafu(display(
        "{address}: connection lost ({source}): retry the request if it is idempotent"
    ))]
    Exchange {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the library.
        source: hyper::Error,
    },
    /// The response did not arrive within the time limit.
    #[snafu(display("{address}: request timed out: retry it if it is idempotent"))]
    Timeout {
        /// Address of the server.
        address: SocketAddr,
    },
}
