//! Links between entry members: heartbeats, loans of slots, log records, claims.
//!
//! What peers say shifts slots and tells of suspicion. It never decides a claim, a budget or a pool.

mod book;
mod frames;
mod lend;
mod link;
mod serve;

pub(crate) use book::PeerTable;
pub(crate) use lend::LendTask;
pub(crate) use link::LinkTask;
pub(crate) use serve::serve_peers;
