//! What the administration API says, as JSON.

use jacinthhoist_core::{
    CatalogueEdit, DataCentre, EntryBody, EntryId, ListedStatus, MemberName, Offset, PoolCount,
    PoolName, RackName, VmName, WaveName, WaveProgress, WaveState,
};
use serde::{Deserialize, Serialize};

/// A member's state in short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusView {
    /// The member that answers.
    pub member: MemberName,
    /// Its incarnation.
    pub nonce: u64,
    /// Whether it takes requests.
    pub ready: bool,
    /// Why it does not, where it does not.
    pub waits_for: Option<String>,
    /// The last offset it folded.
    pub folded: Option<Offset>,
    /// Where the catalogue last changed.
    pub catalogue: Option<Offset>,
    /// Milliseconds since it last read the log.
    pub log_age_ms: Option<u64>,
    /// Live members.
    pub members: usize,
    /// Claims that are kept.
    pub claims: usize,
    /// The waves.
    pub waves: Vec<WaveView>,
}

/// A maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveView {
    /// Its name.
    pub wave: WaveName,
    /// What the operator wants.
    pub state: WaveState,
    /// How far it has come.
    pub progress: WaveProgress,
}

/// A pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolView {
    /// Its name.
    pub pool: PoolName,
    /// Whether it is the buffer.
    pub spare: bool,
    /// VMs that must stay available.
    pub min_available: u32,
    /// VMs that may be unavailable at once.
    pub max_unavailable: u32,
    /// How its VMs stand.
    pub count: PoolCount,
    /// Requests running at this member.
    pub running: u32,
    /// Requests waiting at this member.
    pub waiting: u32,
}

/// A VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmView {
    /// Its name.
    pub vm: VmName,
    /// Its pool.
    pub pool: PoolName,
    /// Its phase.
    pub phase: String,
    /// What the VM list shows.
    pub sight: ListedStatus,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its rack.
    pub rack: RackName,
    /// Its boot count.
    pub boot: u64,
    /// Its `ip:port`.
    pub address: String,
}

/// An entry member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Its name.
    pub member: MemberName,
    /// Its incarnation.
    pub nonce: u64,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where its peers reach it.
    pub peer_address: String,
    /// Whether the answering member hears its heartbeats.
    pub heard: bool,
    /// The last offset it said it had folded.
    pub folded: Option<Offset>,
}

/// A catalogue entry with its revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryView {
    /// Its identity.
    pub entry: EntryId,
    /// Where it last changed.
    pub revision: Offset,
    /// What it says; none where it was removed.
    pub body: Option<EntryBody>,
}

/// The accepted catalogue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogueView {
    /// Where it last changed.
    pub revision: Option<Offset>,
    /// Its entries, removed ones included.
    pub entries: Vec<EntryView>,
}

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Who asks.
    pub operator: String,
    /// The edits; they are accepted together or not at all.
    pub edits: Vec<CatalogueEdit>,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeVerdict {
    /// It is accepted.
    Accepted,
    /// It is refused, and nothing changed.
    Refused,
    /// It may yet be accepted: the log could not be read in time.
    Unknown,
}

/// The answer to a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// What became of it.
    pub verdict: ChangeVerdict,
    /// Where it was accepted.
    pub offset: Option<Offset>,
    /// Why not, and what to do.
    pub message: Option<String>,
}

/// Whether a change is in force everywhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceView {
    /// The offset asked about.
    pub offset: Offset,
    /// Whether every live member has folded it.
    pub everywhere: bool,
    /// Live members that are not known to have.
    pub behind: Vec<MemberName>,
}
