//! Runtime pipes of a scheduler member.
//!
//! ```text
//! caller pipe   accept → classify → permit → admit → store → answer  every member
//! owner pipe    tail → fold → observe workers → schedule → store → order → confirm
//!                                                                      the pools' owner
//! ```
//!
//! Caller requests load immutable snapshots and send to channels; durable state is kept in the
//! platform's store. The platform is accessed through the traits in [`ports`]; decisions are made
//! in [`jacinthhoist_core::job`].

mod accept;
mod append;
mod caller;
mod dependency;
mod error;
mod eventlog;
mod member;
mod membership;
mod memory;
mod meter;
mod operator;
mod owner;
mod owner_view;
mod peer;
pub mod ports;
mod shared;

pub use caller::{CallerAction, CallerPipe, CallerReply, CallerRequest, JobBody};
pub use error::{Category, Error, ErrorKind, Result};
pub use eventlog::{EventKind, EventLog};
pub use member::{MemberIdentity, SchedulerMember, SchedulerSettings};
pub use meter::recorder;
pub use peer::{FollowedHeartbeats, HeartbeatFeed, TcpPeers};
