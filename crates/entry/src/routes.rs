//! What the request pipe routes by: an immutable table, replaced as a whole by the control pipe.
//!
//! The table's entries point at counters that live on when the table is replaced.

mod build;
mod grant;
mod load;

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use jacinthhoist_core::{
    ClassShares, ClockTime, Offset, OwnerEntry, PlacementCandidate, PolicyEntry, PoolEntry,
    PoolName, VmName, WorkEntry, WorkName, choose_vm,
};

pub(crate) use build::RouteBuilder;
pub(crate) use grant::SlotGrant;
pub(crate) use load::{OwnerLoad, PoolLoadState, SlotLimit, VmEndpoint, WorkLoad};

use crate::pipe::QueueHandle;

/// Everything the request pipe looks up.
#[derive(Default)]
pub(crate) struct RouteTable {
    /// The offset it was built at.
    pub(crate) folded: Option<Offset>,
    pub(crate) works: HashMap<WorkName, Arc<WorkRoute>>,
    pub(crate) pools: HashMap<PoolName, Arc<PoolRoute>>,
    /// VMs that take nothing new, kept until this member holds nothing on them.
    pub(crate) draining: Vec<Arc<VmRoute>>,
}

/// A kind of work.
pub(crate) struct WorkRoute {
    pub(crate) name: WorkName,
    pub(crate) entry: Arc<WorkEntry>,
    pub(crate) owner: OwnerEntry,
    pub(crate) pool: PoolName,
    pub(crate) load: Arc<WorkLoad>,
    pub(crate) owner_load: Arc<OwnerLoad>,
    /// Requests of this work that may run at this member.
    pub(crate) work_limit: u32,
    /// Requests of the owner that may run at this member.
    pub(crate) owner_limit: u32,
}

/// A pool.
pub(crate) struct PoolRoute {
    pub(crate) entry: PoolEntry,
    pub(crate) vms: Vec<Arc<VmRoute>>,
    pub(crate) load: Arc<PoolLoadState>,
    pub(crate) queue: QueueHandle,
    pub(crate) policy: PolicyEntry,
}

/// A VM while it serves one pool under one accepted step.
pub(crate) struct VmRoute {
    pub(crate) vm: VmName,
    pub(crate) address: SocketAddr,
    /// Where the VM began to serve; a later service is another route.
    pub(crate) revision: Offset,
    pub(crate) gate: jacinthhoist_core::LoadGate,
    pub(crate) slots: SlotLimit,
    pub(crate) endpoint: Arc<VmEndpoint>,
}

impl PoolRoute {
    /// Slots this member may use now.
    pub(crate) fn slots(&self) -> u32 {
        let usable = self
            .vms
            .iter()
            .filter(|vm| !vm.endpoint.health.is_ejected());
        usable.map(|vm| vm.slots.limit()).sum()
    }

    /// Slots this member holds now.
    pub(crate) fn held(&self) -> u32 {
        self.vms.iter().map(|vm| vm.gate.held()).sum()
    }

    /// Requests that wait at this member now.
    pub(crate) fn waiting(&self) -> u32 {
        self.load.waiting.load(std::sync::atomic::Ordering::SeqCst)
    }

    /// How the classes share the slots.
    pub(crate) fn shares(&self) -> ClassShares {
        ClassShares::of(&self.policy, self.slots())
    }

    /// Takes a slot for a kind of work, if quotas, class and VMs allow it.
    pub(crate) fn try_start(
        self: &Arc<Self>,
        work: &Arc<WorkRoute>,
        avoid: &[usize],
        now: ClockTime,
    ) -> Option<SlotGrant> {
        let shares = self.shares();
        let quota = SlotGrant::enter(self, work, shares.caps[work.entry.class.index()])?;
        let start = self.load.next_start();
        let candidate = |index: usize| self.candidate(index, now);
        let count = self.vms.len();
        let avoid = if avoid.len() < count { avoid } else { &[] };
        let chosen = choose_vm(count, start, avoid, now, candidate)?;
        Some(quota.on(chosen))
    }

    fn candidate(&self, index: usize, now: ClockTime) -> PlacementCandidate<'_> {
        let vm = &self.vms[index];
        PlacementCandidate {
            gate: &vm.gate,
            limit: vm.slots.limit(),
            health: &vm.endpoint.health,
            usable: vm.endpoint.is_usable(now),
        }
    }

    /// Whether one more VM may be ejected without breaking the pool's budget.
    pub(crate) fn may_eject(&self) -> bool {
        let healthy = self
            .vms
            .iter()
            .filter(|vm| !vm.endpoint.health.is_ejected())
            .count();
        let minimum = (self.entry.min_available as usize).max(1);
        healthy > minimum
    }
}
