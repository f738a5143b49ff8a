//! HTTP connections and clocks that the runtimes share.
//!
//! ```
//! use std::time::Duration;
//! use bytes::Bytes;
//! use hyper::Method;
//! use jacinthhoist_net::{Category, HttpClient, HttpCall};
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! // Nothing listens there: the call was not made.
//! let mut client = HttpClient::open("127.0.0.1:9".parse().unwrap());
//! let call = HttpCall::new(Method::GET, "/", Bytes::new());
//! let error = client.call(call, Duration::from_secs(1)).await.unwrap_err();
//! assert_eq!(error.category(), Category::NotSent);
//! # });
//! ```

mod client;
mod clock;
mod error;

pub use client::{ClientPool, HttpAnswer, HttpCall, HttpClient, connect};
pub use clock::{BootClock, RunClock};
pub use error::{Category, Error, ErrorKind, Result};
