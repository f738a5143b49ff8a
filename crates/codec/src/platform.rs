//! Responses of the platform's log service and VM list service, as JSON over HTTP.

use jacinthhoist_core::{DataCentre, ListedStatus, Offset, RackName};
use serde::{Deserialize, Serialize};

/// Response of the log to an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the record.
    pub offset: Offset,
}

/// A record as returned by the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// Appended text.
    pub text: String,
}

/// Response of the log to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// Oldest retained offset.
    pub first: Offset,
    /// Offset of the next append.
    pub next: Offset,
    /// Records in order, beginning at the requested offset.
    pub records: Vec<LogRecord>,
}

/// Role of a listed VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// The VM runs work.
    Worker,
    /// The VM runs an entry member.
    Entry,
}

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub name: String,
    /// Address of the VM, as `ip:port`.
    pub address: String,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Rack of the VM.
    pub rack: RackName,
    /// Role of the VM.
    pub role: VmRole,
    /// Status of the VM, live or leaving.
    pub state: ListedStatus,
    /// Boot count of the VM.
    pub boot: u64,
}

/// Response of the VM list service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListPage {
    /// All VMs that are live or leaving.
    pub vms: Vec<ListedVm>,
}
