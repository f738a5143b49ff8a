//! HTTP client and clocks shared by the runtimes.
//!
//! ```
//! use std::time::Duration;
//! use bytes::Bytes;
//! use hyper::Method;
//! use jacinthhoist_net::{Category, HttpClient, HttpRequest};
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! // Nothing listens on the port, so the request was not sent.
//! let mut client = HttpClient::new("127.0.0.1:9".parse().unwrap());
//! let request = HttpRequest::new(Method::GET, "/", Bytes::new());
//! let error = client.send(request, Duration::from_secs(1)).await.unwrap_err();
//! assert_eq!(error.category(), Category::NotSent);
//! # });
//! ```

mod client;
mod clock;
mod error;
mod stream;

pub use client::{ClientPool, HttpClient, HttpRequest, HttpResponse, PinnedClient, connect};
pub use clock::{BootClock, RunClock, SendExpiry, WallClock};
pub use error::{Category, Error, ErrorKind, Result};
