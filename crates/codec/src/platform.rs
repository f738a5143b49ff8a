//! What the platform's log service and VM list say, as JSON over HTTP.

use jacinthhoist_core::{DataCentre, ListedStatus, Offset, RackName};
use serde::{Deserialize, Serialize};

/// The log's answer to an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Where the record stands.
    pub offset: Offset,
}

/// One record as the log returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Where the record stands.
    pub offset: Offset,
    /// What was appended.
    pub text: String,
}

/// The log's answer to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The oldest offset that is kept.
    pub first: Offset,
    /// The offset of the next append.
    pub next: Offset,
    /// Records from the offset asked for.
    pub records: Vec<LogRecord>,
}

/// What a listed VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// It runs work.
    Worker,
    /// It runs an entry member.
    Entry,
}

/// A VM as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Its name.
    pub name: String,
    /// Its `ip:port`.
    pub address: String,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its rack.
    pub rack: RackName,
    /// What it is for.
    pub role: VmRole,
    /// Whether it is live or leaving.
    pub state: ListedStatus,
    /// Counts its boots.
    pub boot: u64,
}

/// The VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListPage {
    /// All live and leaving VMs.
    pub vms: Vec<ListedVm>,
}
