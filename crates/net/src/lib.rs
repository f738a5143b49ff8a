//! HTTP connections and clocks that the runtimes share.
//!
//! ```
//! use std::time::Duration;
//! use bytes::Bytes;
//! use hyper::Method;
//! use jacinthhoist_net::{Category, HttpClient, HttpRequest};
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! // Nothing listens there: the call was not made.
//! let mut client = HttpClient::new("127.0.0.1:9".parse().unwrap());
//! let call = HttpRequest::new(Method::GET, "/", Bytes::new());
//! let error = client.send(call, Duration::from_secs(1)).await.unwrap_err();
//! assert_eq!(error.category(), Category::NotSent);
//! # });
//! ```

mod client;
mod clock;
mod error;

pub use client::{ClientPool, HttpClient, HttpRequest, HttpResponse, connect};
pub use clock::{BootClock, RunClock};
pub use error::{Category, Error, ErrorKind, Result};
