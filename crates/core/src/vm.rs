//! VM life cycle as a typestate.
//!
//! `Serving → Draining → Detached → (Rebooting) → Joining → Serving`. Each transition consumes the
//! VM in one phase and returns it in the next, so a VM can change pools only while it is detached.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    error::{Result, WrongPhaseSnafu},
    name::{EntryName, MemberName, PoolName, VmName},
    record::{Offset, VmDetails},
};

/// Status of a VM in the VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedStatus {
    /// Listed as live.
    Live,
    /// Listed as leaving.
    Leaving,
    /// Not listed.
    Missing,
}

/// Reason for draining a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainPurpose {
    /// Move to another pool.
    Move(PoolName),
    /// Reboot, as part of the maintenance wave if one is named.
    Reboot(Option<EntryName>),
}

/// Attributes of a VM that do not depend on its phase.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmIdentity {
    /// Name of the VM.
    pub vm: VmName,
    /// Address, location and boot count.
    pub details: VmDetails,
    /// Status in the VM list.
    #[serde(rename = "sight")]
    pub status: ListedStatus,
    /// Time of the last completed maintenance, or of adoption if there was none.
    pub serviced_at: ClockTime,
    /// Wave that the last maintenance was part of, if any.
    pub serviced_by: Option<EntryName>,
    /// Log offset of the last phase change.
    pub revision: Offset,
}

/// The VM accepts work of its pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Serving {
    /// Pool that the VM belongs to.
    pub pool: PoolName,
}

/// The VM accepts no new work and is waiting for a confirmation from each live member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draining {
    /// Pool that the VM belongs to until it is attached to another.
    pub pool: PoolName,
    /// Reason for the drain.
    pub purpose: DrainPurpose,
    /// Log offset at which the drain was accepted.
    pub drain: Offset,
    /// Members, with their incarnations, that have confirmed having no work on the VM.
    pub confirmed: SmallVec<[(MemberName, u64); 6]>,
}

/// Every live member has confirmed having no work on the VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detached {
    /// Pool that the VM belongs to until it is attached to another.
    pub pool: PoolName,
    /// Reason for the drain.
    pub purpose: DrainPurpose,
}

/// The VM is rebooting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rebooting {
    /// Pool that the VM belongs to.
    pub pool: PoolName,
    /// Maintenance wave that the reboot is part of, if any.
    pub wave: Option<EntryName>,
    /// Boot count before the reboot.
    pub old_boot: u64,
}

/// The VM belongs to its pool and is probed before it serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Joining {
    /// Pool that the VM belongs to.
    pub pool: PoolName,
}

/// A VM in one phase of its life cycle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm<P> {
    /// Phase-independent attributes.
    pub identity: VmIdentity,
    /// Phase-specific attributes.
    pub phase: P,
}

impl<P> Vm<P> {
    fn transition<N>(self, offset: Offset, phase: N) -> Vm<N> {
        let mut identity = self.identity;
        identity.revision = offset;
        Vm { identity, phase }
    }
}

impl Vm<Joining> {
    /// Creates a newly listed VM that joins its first pool.
    pub fn adopt(
        offset: Offset,
        at: ClockTime,
        vm: VmName,
        details: VmDetails,
        pool: PoolName,
    ) -> Self {
        let identity = VmIdentity {
            vm,
            details,
            status: ListedStatus::Live,
            serviced_at: at,
            serviced_by: None,
            revision: offset,
        };
        Self {
            identity,
            phase: Joining { pool },
        }
    }

    /// Starts serving after the VM has answered a probe.
    pub fn serve(self, offset: Offset) -> Vm<Serving> {
        let pool = self.phase.pool.clone();
        self.transition(offset, Serving { pool })
    }
}

impl Vm<Serving> {
    /// Stops accepting new work.
    pub fn drain(self, offset: Offset, purpose: DrainPurpose) -> Vm<Draining> {
        let pool = self.phase.pool.clone();
        let confirmed = SmallVec::new();
        self.transition(
            offset,
            Draining {
                pool,
                purpose,
                drain: offset,
                confirmed,
            },
        )
    }
}

impl Vm<Draining> {
    /// Cancels the drain and resumes serving.
    pub fn undrain(self, offset: Offset) -> Vm<Serving> {
        let pool = self.phase.pool.clone();
        self.transition(offset, Serving { pool })
    }

    /// Detaches the VM after every live member has confirmed the drain.
    pub fn detach(self, offset: Offset) -> Vm<Detached> {
        let pool = self.phase.pool.clone();
        let purpose = self.phase.purpose.clone();
        self.transition(offset, Detached { pool, purpose })
    }
}

impl Vm<Detached> {
    /// Attaches the VM to another pool.
    pub fn attach(self, offset: Offset, pool: PoolName) -> Vm<Joining> {
        self.transition(offset, Joining { pool })
    }

    /// Starts a reboot.
    pub fn reboot(self, offset: Offset, wave: Option<EntryName>) -> Vm<Rebooting> {
        let pool = self.phase.pool.clone();
        let old_boot = self.identity.details.boot;
        self.transition(
            offset,
            Rebooting {
                pool,
                wave,
                old_boot,
            },
        )
    }
}

impl Vm<Rebooting> {
    /// Completes the reboot, once the boot count has increased.
    pub fn finish_reboot(mut self, offset: Offset, at: ClockTime) -> Vm<Joining> {
        let pool = self.phase.pool.clone();
        self.identity.serviced_at = at;
        self.identity.serviced_by = self.phase.wave.take();
        self.transition(offset, Joining { pool })
    }
}

/// A VM in any phase, in its stored form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnyVm {
    /// Accepts work.
    Serving(Vm<Serving>),
    /// Accepts no new work.
    Draining(Vm<Draining>),
    /// Has no work of any member.
    Detached(Vm<Detached>),
    /// Is rebooting.
    Rebooting(Vm<Rebooting>),
    /// Is probed before it serves.
    Joining(Vm<Joining>),
}

impl AnyVm {
    /// Returns the phase-independent attributes.
    pub fn identity(&self) -> &VmIdentity {
        match self {
            Self::Serving(vm) => &vm.identity,
            Self::Draining(vm) => &vm.identity,
            Self::Detached(vm) => &vm.identity,
            Self::Rebooting(vm) => &vm.identity,
            Self::Joining(vm) => &vm.identity,
        }
    }

    pub(crate) fn identity_mut(&mut self) -> &mut VmIdentity {
        match self {
            Self::Serving(vm) => &mut vm.identity,
            Self::Draining(vm) => &mut vm.identity,
            Self::Detached(vm) => &mut vm.identity,
            Self::Rebooting(vm) => &mut vm.identity,
            Self::Joining(vm) => &mut vm.identity,
        }
    }

    /// Returns the pool that the VM belongs to.
    pub fn pool(&self) -> &PoolName {
        match self {
            Self::Serving(vm) => &vm.phase.pool,
            Self::Draining(vm) => &vm.phase.pool,
            Self::Detached(vm) => &vm.phase.pool,
            Self::Rebooting(vm) => &vm.phase.pool,
            Self::Joining(vm) => &vm.phase.pool,
        }
    }

    /// Returns the name of the phase.
    pub fn phase(&self) -> &'static str {
        match self {
            Self::Serving(_) => "serving",
            Self::Draining(_) => "draining",
            Self::Detached(_) => "detached",
            Self::Rebooting(_) => "rebooting",
            Self::Joining(_) => "joining",
        }
    }

    /// Returns true if the VM counts as available in its pool's budget.
    pub fn is_available(&self) -> bool {
        matches!(self, Self::Serving(vm) if vm.identity.status == ListedStatus::Live)
    }

    /// Returns true if the VM is out of service for maintenance.
    pub fn in_maintenance(&self) -> bool {
        match self {
            Self::Draining(vm) => matches!(vm.phase.purpose, DrainPurpose::Reboot(_)),
            Self::Detached(vm) => matches!(vm.phase.purpose, DrainPurpose::Reboot(_)),
            Self::Rebooting(_) => true,
            Self::Serving(_) | Self::Joining(_) => false,
        }
    }

    /// Returns the destination pool of a VM that is being moved.
    pub fn target(&self) -> Option<&PoolName> {
        let purpose = match self {
            Self::Draining(vm) => &vm.phase.purpose,
            Self::Detached(vm) => &vm.phase.purpose,
            _ => return None,
        };
        match purpose {
            DrainPurpose::Move(pool) => Some(pool),
            DrainPurpose::Reboot(_) => None,
        }
    }

    pub(crate) fn wrong_phase<T>(&self) -> Result<T> {
        let vm = self.identity().vm.clone();
        WrongPhaseSnafu {
            vm,
            phase: self.phase(),
        }
        .fail()
        .map_err(Into::into)
    }
}
