//! Links between entry members: heartbeats, slot loans, log records and claim queries.
//!
//! Messages from peers decide only slot loans and failure suspicion. Claims, budgets and pools are
//! decided through the log alone, whose records peers may pass on.

mod frames;
mod link;
mod loans;
mod serve;
mod table;

pub(crate) use link::LinkTask;
pub(crate) use loans::BorrowTask;
pub(crate) use serve::serve_peers;
pub(crate) use table::PeerTable;
