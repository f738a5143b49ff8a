//! The runtime of an entry member: a request pipe and a control pipe around one snapshot.
//!
//! ```text
//! request pipe   accept → classify → admit → claim → queue → place → dispatch → relay
//! control pipe   read → decode → fold → publish → observe → plan → propose → append
//! ```
//!
//! The control pipe publishes immutable snapshots; the request pipe loads them and touches
//! atomics. No mutex is taken on the path of a request, and no thread spins while it waits.
//!
//! ```
//! use jacinthhoist_entry::EntrySettings;
//! let settings = EntrySettings::example("entry-1");
//! assert_eq!(settings.limits.appends_per_sec, 40);
//! ```

mod accept;
mod admin;
mod answer_cache;
mod clock;
mod context;
mod control;
mod error;
mod http;
mod logs;
mod member;
mod meter;
mod peer;
mod pipe;
mod platform;
mod routes;
mod settings;
mod upstream;

pub use context::BoundAddresses;
pub use error::{Category, Error, ErrorKind, Result};
pub use member::EntryMember;
pub use settings::{EntrySettings, LimitSettings, MemberSettings, PlatformSettings};

use snafu::ResultExt;

/// Starts the runtime that a daemon's pipes run on.
///
/// ```
/// let runtime = jacinthhoist_entry::open_runtime(2).unwrap();
/// assert_eq!(runtime.metrics().num_workers(), 2);
/// ```
///
/// # Errors
///
/// The system has no threads left.
pub fn open_runtime(threads: usize) -> Result<tokio::runtime::Runtime> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if threads > 0 {
        builder.worker_threads(threads);
    }
    let runtime = builder.enable_all().build().context(error::RuntimeSnafu)?;
    Ok(runtime)
}
