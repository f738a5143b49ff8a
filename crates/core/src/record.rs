//! Records of the log: what members propose, in typed steps.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    catalogue::CatalogueChange,
    claim::ClaimKey,
    clock::ClockTime,
    member::MemberJoin,
    name::{DataCentre, MemberName, PoolName, RackName, VmName},
    snapshot::SnapshotPart,
    vm::{DrainPurpose, ListedStatus},
};

/// A position in the log.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// The position after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// The unique id of a record: an append repeated under it is folded once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// Who wrote the record.
    pub member: MemberName,
    /// The random number of the writer's process.
    pub nonce: u64,
    /// Counts up by one for each record of that process.
    pub seq: u64,
}

/// One record: a group of steps appended together, each accepted or rejected by itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The record's unique id.
    pub id: RecordId,
    /// The writer's clock when it wrote the record.
    pub at: ClockTime,
    /// What the writer proposes.
    pub steps: Vec<Step>,
}

/// Where a VM stands and how it is reached, from the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmDetails {
    /// Its `ip:port`.
    pub address: String,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its rack.
    pub rack: RackName,
    /// Counts its boots.
    pub boot: u64,
}

/// One proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum Step {
    /// A member joins under a new incarnation.
    Join(MemberJoin),
    /// The writer leaves in good order.
    Leave,
    /// A member is gone from the VM list.
    Evict {
        /// The member that is gone.
        member: MemberName,
        /// The incarnation that is gone.
        nonce: u64,
    },
    /// An operator's change of the catalogue.
    Catalogue(CatalogueChange),
    /// A VM that is new in the VM list enters a pool.
    Adopt {
        /// The VM.
        vm: VmName,
        /// Where it stands.
        details: VmDetails,
        /// The pool it enters.
        pool: PoolName,
    },
    /// The VM list shows a VM in another state.
    Sight {
        /// The VM.
        vm: VmName,
        /// What the list shows.
        sight: ListedStatus,
        /// Its boot count, where the list shows it.
        boot: u64,
    },
    /// A VM stops taking work.
    Drain {
        /// The VM.
        vm: VmName,
        /// What for.
        purpose: DrainPurpose,
        /// The revision of the VM the proposal was based on.
        based_on: Offset,
    },
    /// The writer holds nothing on a draining VM and sends it nothing more.
    Confirm {
        /// The VM.
        vm: VmName,
        /// Where the drain was accepted.
        drain: Offset,
    },
    /// A draining VM goes back to serving.
    Undrain {
        /// The VM.
        vm: VmName,
        /// The revision of the VM the proposal was based on.
        based_on: Offset,
    },
    /// A detached VM is about to be rebooted.
    Reboot {
        /// The VM.
        vm: VmName,
        /// The revision of the VM the proposal was based on.
        based_on: Offset,
    },
    /// A detached VM enters its next pool, or a rebooted one is back.
    Rejoin {
        /// The VM.
        vm: VmName,
        /// The revision of the VM the proposal was based on.
        based_on: Offset,
    },
    /// A joining VM answered a probe and serves.
    Serve {
        /// The VM.
        vm: VmName,
        /// The revision of the VM the proposal was based on.
        based_on: Offset,
    },
    /// A VM that is missing is forgotten.
    Forget {
        /// The VM.
        vm: VmName,
        /// The revision of the VM the proposal was based on.
        based_on: Offset,
    },
    /// The writer claims an idempotency key.
    Claim {
        /// The key.
        key: ClaimKey,
        /// Digest of the request's body.
        digest: u64,
    },
    /// The writer proves that the request of a claim did not run.
    Release {
        /// The key.
        key: ClaimKey,
        /// Where the claim was accepted.
        claim: Offset,
    },
    /// The request of a claim has ended.
    Settle {
        /// The key.
        key: ClaimKey,
        /// Where the claim was accepted.
        claim: Offset,
        /// The status the upstream answered.
        status: u16,
    },
    /// Part of a snapshot of the folded state.
    Snapshot(SnapshotPart),
}
