//! Requests and responses of the administration API, as JSON.

use jacinthhoist_core::{
    CatalogueEdit, DataCentre, EntryBody, EntryId, ListedStatus, MemberName, Offset, PoolCount,
    PoolName, RackName, VmName, WaveName, WaveProgress, WaveState,
};
use serde::{Deserialize, Serialize};

/// Summary of a member's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusView {
    /// Name of the responding member.
    pub member: MemberName,
    /// Random number of the member's process, which identifies its incarnation.
    pub nonce: u64,
    /// True if the member accepts requests.
    pub ready: bool,
    /// Condition that the member is waiting for, if it is not ready.
    pub waits_for: Option<String>,
    /// Last offset that the member has applied, if any.
    pub folded: Option<Offset>,
    /// Offset of the last change to the catalogue, if any.
    pub catalogue: Option<Offset>,
    /// Milliseconds since the member last read the log, if it has.
    pub log_age_ms: Option<u64>,
    /// Number of live members.
    pub members: usize,
    /// Number of retained claims of idempotency keys.
    pub claims: usize,
    /// Maintenance waves.
    pub waves: Vec<WaveView>,
}

/// State of a maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveView {
    /// Name of the wave.
    pub wave: WaveName,
    /// State requested by the operator.
    pub state: WaveState,
    /// Progress of the wave.
    pub progress: WaveProgress,
}

/// State of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolView {
    /// Name of the pool.
    pub pool: PoolName,
    /// True for the buffer pool, from which other pools take VMs.
    pub spare: bool,
    /// Minimum number of available VMs.
    pub min_available: u32,
    /// Maximum number of VMs unavailable at once.
    pub max_unavailable: u32,
    /// Number of VMs in each state.
    pub count: PoolCount,
    /// Number of requests that the responding member is running.
    pub running: u32,
    /// Number of requests queued at the responding member.
    pub waiting: u32,
}

/// State of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmView {
    /// Name of the VM.
    pub vm: VmName,
    /// Pool that the VM belongs to.
    pub pool: PoolName,
    /// Phase of the VM's life cycle.
    pub phase: String,
    /// Status of the VM in the VM list.
    pub sight: ListedStatus,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Rack of the VM.
    pub rack: RackName,
    /// Boot count of the VM.
    pub boot: u64,
    /// Address of the VM, as `ip:port`.
    pub address: String,
}

/// State of an entry member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Name of the member.
    pub member: MemberName,
    /// Random number of the member's process, which identifies its incarnation.
    pub nonce: u64,
    /// Data centre of the member.
    pub data_centre: DataCentre,
    /// Address for connections from peers, as `ip:port`.
    pub peer_address: String,
    /// True if the responding member receives its heartbeats.
    pub heard: bool,
    /// Last offset that the member has reported as applied.
    pub folded: Option<Offset>,
}

/// Catalogue entry with its revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryView {
    /// Kind and name of the entry.
    pub entry: EntryId,
    /// Offset of the last change to the entry.
    pub revision: Offset,
    /// Value of the entry, or `None` if it was removed.
    pub body: Option<EntryBody>,
}

/// Accepted catalogue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogueView {
    /// Offset of the last change to the catalogue, if any.
    pub revision: Option<Offset>,
    /// Entries, including removed ones.
    pub entries: Vec<EntryView>,
}

/// Catalogue change requested by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Name of the operator.
    pub operator: String,
    /// Edits, which are accepted or refused as a whole.
    pub edits: Vec<CatalogueEdit>,
}

/// Outcome of a change request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeVerdict {
    /// The change was accepted.
    Accepted,
    /// The change was refused and has no effect.
    Refused,
    /// The change may still be accepted: the log could not be read in time.
    Unknown,
}

/// Response to a change request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// Outcome of the change.
    pub verdict: ChangeVerdict,
    /// Offset at which the change was accepted.
    pub offset: Option<Offset>,
    /// Reason why the change was not accepted, with a remedy.
    pub message: Option<String>,
}

/// Replication status of a catalogue change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceView {
    /// Offset of the change.
    pub offset: Offset,
    /// True if every live member has applied the change.
    pub everywhere: bool,
    /// Live members that have not reported the change as applied.
    pub behind: Vec<MemberName>,
}
