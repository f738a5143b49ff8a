//! Log records: groups of typed steps that members propose.

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
    /// Returns the following position.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Unique id of a record; a repeated append of the same id is applied once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// Member that wrote the record.
    pub member: MemberName,
    /// Random number of the writer's process.
    pub nonce: u64,
    /// Sequence number, incremented for each record of that process.
    pub seq: u64,
}

/// A group of steps appended together, each accepted or rejected independently.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Unique id of the record.
    pub id: RecordId,
    /// Clock reading of the writer.
    pub at: ClockTime,
    /// Proposed steps in order.
    pub steps: Vec<Step>,
}

/// Location and address of a VM, from the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmDetails {
    /// Address as `ip:port`.
    pub address: String,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Rack of the VM.
    pub rack: RackName,
    /// Boot count.
    pub boot: u64,
}

/// A proposed change of the replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum Step {
    /// A member joins under a new incarnation.
    Join(MemberJoin),
    /// The writer leaves in an orderly shutdown.
    Leave,
    /// A member no longer appears in the VM list.
    Evict {
        /// Member to evict.
        member: MemberName,
        /// Incarnation to evict.
        nonce: u64,
    },
    /// An operator changes the catalogue.
    Catalogue(CatalogueChange),
    /// A VM that is new in the VM list joins a pool.
    Adopt {
        /// VM that the step concerns.
        vm: VmName,
        /// Location and address of the VM.
        details: VmDetails,
        /// Pool that the VM joins.
        pool: PoolName,
    },
    /// The VM list shows a change of a VM's status.
    Sight {
        /// VM that the step concerns.
        vm: VmName,
        /// Status shown by the VM list.
        sight: ListedStatus,
        /// Boot count, if the list shows it.
        boot: u64,
    },
    /// A VM stops accepting work.
    Drain {
        /// VM that the step concerns.
        vm: VmName,
        /// Purpose of the drain.
        purpose: DrainPurpose,
        /// Revision of the VM on which the proposal was based.
        based_on: Offset,
    },
    /// The writer has no requests on a draining VM and sends it no more.
    Confirm {
        /// VM that the step concerns.
        vm: VmName,
        /// Offset at which the drain was accepted.
        drain: Offset,
    },
    /// A draining VM resumes serving.
    Undrain {
        /// VM that the step concerns.
        vm: VmName,
        /// Revision of the VM on which the proposal was based.
        based_on: Offset,
    },
    /// A detached VM is about to be rebooted.
    Reboot {
        /// VM that the step concerns.
        vm: VmName,
        /// Revision of the VM on which the proposal was based.
        based_on: Offset,
    },
    /// A detached VM joins its target pool, or a rebooted VM returns.
    Rejoin {
        /// VM that the step concerns.
        vm: VmName,
        /// Revision of the VM on which the proposal was based.
        based_on: Offset,
    },
    /// A joining VM answered a probe and starts to serve.
    Serve {
        /// VM that the step concerns.
        vm: VmName,
        /// Revision of the VM on which the proposal was based.
        based_on: Offset,
    },
    /// A missing VM is removed from the state.
    Forget {
        /// VM that the step concerns.
        vm: VmName,
        /// Revision of the VM on which the proposal was based.
        based_on: Offset,
    },
    /// The writer claims an idempotency key.
    Claim {
        /// Idempotency key.
        key: ClaimKey,
        /// Digest of the request body.
        digest: u64,
    },
    /// The writer has proof that the claimed request did not run.
    Release {
        /// Idempotency key.
        key: ClaimKey,
        /// Offset at which the claim was accepted.
        claim: Offset,
    },
    /// The claimed request has ended.
    Settle {
        /// Idempotency key.
        key: ClaimKey,
        /// Offset at which the claim was accepted.
        claim: Offset,
        /// Status code of the upstream's response.
        status: u16,
    },
    /// One part of a snapshot of the replicated state.
    Snapshot(SnapshotPart),
}
