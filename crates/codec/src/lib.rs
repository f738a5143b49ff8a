//! Encodings of files, records and messages, separate from all decisions.
//!
//! The catalogue file is TOML, log records are JSON text with a version, frames between members
//! are CBOR, and the messages for callers and operators are JSON.
//!
//! ```
//! use jacinthhoist_codec::CatalogueFile;
//! let file = CatalogueFile::parse(r#"
//!     [owners.depot]
//!     weight = 2
//!     [pools.quotes]
//!     min_available = 1
//!     base_vms = 2
//!     [works.quote-run]
//!     owner = "depot"
//!     class = "urgent"
//!     pool = "quotes"
//!     repeatable = true
//! "#).unwrap();
//! assert_eq!(file.entries.len(), 3);
//! ```

mod admin;
mod answer;
mod cbor;
mod digest;
mod error;
mod file;
mod frame;
mod job;
mod parts;
mod platform;
mod record;
mod snapshot;

pub use admin::{
    CatalogueView, ChangeRequest, ChangeResponse, ChangeVerdict, EntryView, InForceView,
    MemberView, PoolView, StatusView, VmView, WaveView,
};
pub use answer::{
    HEADER_CHECKPOINT, HEADER_KEY, HEADER_LEASE, HEADER_LEAVING, HEADER_OUTCOME, HEADER_REASON,
    HEADER_REQUEST, RefusalBody,
};
pub use digest::digest;
pub use error::{Category, Error, ErrorKind, Result};
pub use file::{CatalogueFile, FileEntry};
pub use frame::{
    ClaimReply, HeartbeatFrame, HelloFrame, PeerFrame, PoolLoad, StoredResponse, VmLoan,
    decode_frame, encode_frame,
};
pub use job::{
    AcceptedRecord, JobFrame, JobReply, KeyedRecord, OwnerHeartbeat, StandingEvidence,
    StoreOutcome, accepted_job, decode_accepted, decode_job_frame, decode_progress, encode_cancel,
    encode_job, encode_job_frame, encode_progress, encode_removal,
};
pub use parts::{ProgressGroup, ProgressReader, StoreLimits, encode_progress_group};
pub use platform::{AppendResponse, ListedVm, LogPage, LogRecord, VmListPage, VmRole};
pub use record::{decode_record, encode_record};
pub use snapshot::{decode_snapshot, encode_snapshot};
