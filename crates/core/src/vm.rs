//! The life cycle of a VM as a typestate.
//!
//! `Serving → Draining → Detached → (Rebooting) → Joining → Serving`. Each move consumes the VM in
//! one phase and returns it in the next, so a VM can change its pool only while it is detached.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    error::{Result, WrongPhaseSnafu},
    name::{EntryName, MemberName, PoolName, VmName},
    record::{Offset, VmDetails},
};

/// What the VM list shows of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedStatus {
    /// It is listed as live.
    Live,
    /// It is listed as leaving.
    Leaving,
    /// It is not listed.
    Missing,
}

/// Why a VM is drained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainPurpose {
    /// It moves to another pool.
    Move(PoolName),
    /// It reboots, for a wave where one is named.
    Reboot(Option<EntryName>),
}

/// What stays the same through a VM's phases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmIdentity {
    /// Its name.
    pub vm: VmName,
    /// Where it stands.
    pub details: VmDetails,
    /// What the VM list shows.
    #[serde(rename = "sight")]
    pub status: ListedStatus,
    /// When it was last serviced.
    pub serviced_at: ClockTime,
    /// The last wave that serviced it.
    pub serviced_by: Option<EntryName>,
    /// Where its phase last changed.
    pub revision: Offset,
}

/// It takes work of its pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Serving {
    /// The pool it belongs to.
    pub pool: PoolName,
}

/// It takes no new work and waits for each member's confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draining {
    /// The pool it still belongs to.
    pub pool: PoolName,
    /// What for.
    pub purpose: DrainPurpose,
    /// Where the drain was accepted.
    pub drain: Offset,
    /// Members that hold nothing on it, with their incarnations.
    pub confirmed: SmallVec<[(MemberName, u64); 6]>,
}

/// No member holds anything on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detached {
    /// The pool it still belongs to.
    pub pool: PoolName,
    /// What for.
    pub purpose: DrainPurpose,
}

/// It reboots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rebooting {
    /// The pool it belongs to.
    pub pool: PoolName,
    /// The wave, where one is named.
    pub wave: Option<EntryName>,
    /// The boot count before.
    pub old_boot: u64,
}

/// It belongs to its pool and is probed before it serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Joining {
    /// The pool it belongs to.
    pub pool: PoolName,
}

/// A VM in one phase of its life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm<P> {
    /// What stays the same.
    pub identity: VmIdentity,
    /// What belongs to the phase.
    pub phase: P,
}

impl<P> Vm<P> {
    fn turn<N>(self, offset: Offset, phase: N) -> Vm<N> {
        let mut identity = self.identity;
        identity.revision = offset;
        Vm { identity, phase }
    }
}

impl Vm<Joining> {
    /// A VM that enters its first pool.
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

    /// The VM answered a probe.
    pub fn serve(self, offset: Offset) -> Vm<Serving> {
        let pool = self.phase.pool.clone();
        self.turn(offset, Serving { pool })
    }
}

impl Vm<Serving> {
    /// The VM stops taking work.
    pub fn drain(self, offset: Offset, purpose: DrainPurpose) -> Vm<Draining> {
        let pool = self.phase.pool.clone();
        let confirmed = SmallVec::new();
        self.turn(
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
    /// The VM takes work again.
    pub fn undrain(self, offset: Offset) -> Vm<Serving> {
        let pool = self.phase.pool.clone();
        self.turn(offset, Serving { pool })
    }

    /// Every live member has confirmed.
    pub fn detach(self, offset: Offset) -> Vm<Detached> {
        let pool = self.phase.pool.clone();
        let purpose = self.phase.purpose.clone();
        self.turn(offset, Detached { pool, purpose })
    }
}

impl Vm<Detached> {
    /// The VM enters the pool it moves to.
    pub fn attach(self, offset: Offset, pool: PoolName) -> Vm<Joining> {
        self.turn(offset, Joining { pool })
    }

    /// The VM is about to reboot.
    pub fn reboot(self, offset: Offset, wave: Option<EntryName>) -> Vm<Rebooting> {
        let pool = self.phase.pool.clone();
        let old_boot = self.identity.details.boot;
        self.turn(
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
    /// The VM is back under a newer boot count.
    pub fn back(mut self, offset: Offset, at: ClockTime) -> Vm<Joining> {
        let pool = self.phase.pool.clone();
        self.identity.serviced_at = at;
        self.identity.serviced_by = self.phase.wave.take();
        self.turn(offset, Joining { pool })
    }
}

/// A VM in any phase, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnyVm {
    /// It takes work.
    Serving(Vm<Serving>),
    /// It takes no new work.
    Draining(Vm<Draining>),
    /// No member holds anything on it.
    Detached(Vm<Detached>),
    /// It reboots.
    Rebooting(Vm<Rebooting>),
    /// It is probed.
    Joining(Vm<Joining>),
}

impl AnyVm {
    /// What stays the same through the phases.
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

    /// The one pool the VM belongs to.
    pub fn pool(&self) -> &PoolName {
        match self {
            Self::Serving(vm) => &vm.phase.pool,
            Self::Draining(vm) => &vm.phase.pool,
            Self::Detached(vm) => &vm.phase.pool,
            Self::Rebooting(vm) => &vm.phase.pool,
            Self::Joining(vm) => &vm.phase.pool,
        }
    }

    /// The phase's name.
    pub fn phase(&self) -> &'static str {
        match self {
            Self::Serving(_) => "serving",
            Self::Draining(_) => "draining",
            Self::Detached(_) => "detached",
            Self::Rebooting(_) => "rebooting",
            Self::Joining(_) => "joining",
        }
    }

    /// Whether the VM counts towards its pool's budget.
    pub fn is_available(&self) -> bool {
        matches!(self, Self::Serving(vm) if vm.identity.status == ListedStatus::Live)
    }

    /// Whether the VM is out for maintenance.
    pub fn in_maintenance(&self) -> bool {
        match self {
            Self::Draining(vm) => matches!(vm.phase.purpose, DrainPurpose::Reboot(_)),
            Self::Detached(vm) => matches!(vm.phase.purpose, DrainPurpose::Reboot(_)),
            Self::Rebooting(_) => true,
            Self::Serving(_) | Self::Joining(_) => false,
        }
    }

    /// The pool the VM is on its way to, where it moves.
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
