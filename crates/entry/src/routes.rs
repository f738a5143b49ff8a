//! Immutable route table of the request pipe, replaced as a whole by the control pipe.
//!
//! Its entries share counters that outlive the table.

mod build;
mod counters;
mod grant;

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use jacinthhoist_core::{
    ClassShares, ClockTime, Offset, OwnerEntry, PlacementCandidate, PolicyEntry, PoolEntry,
    PoolName, VmName, WorkEntry, WorkName, choose_vm,
};

pub(crate) use build::RouteBuilder;
pub(crate) use counters::{OwnerCounters, PoolCounters, SlotLimit, VmEndpoint, WorkCounters};
pub(crate) use grant::SlotGrant;

use crate::pipe::QueueHandle;

/// Routes of the request pipe, built from one replicated state.
#[derive(Default)]
pub(crate) struct RouteTable {
    /// Last offset applied to the state that the table was built from.
    pub(crate) folded: Option<Offset>,
    pub(crate) works: HashMap<WorkName, Arc<WorkRoute>>,
    pub(crate) pools: HashMap<PoolName, Arc<PoolRoute>>,
    /// VMs that get no new requests, kept until this member holds no slot of theirs.
    pub(crate) draining: Vec<Arc<VmRoute>>,
}

/// Route of a kind of work.
pub(crate) struct WorkRoute {
    pub(crate) name: WorkName,
    pub(crate) entry: Arc<WorkEntry>,
    pub(crate) owner: OwnerEntry,
    pub(crate) pool: PoolName,
    pub(crate) counters: Arc<WorkCounters>,
    pub(crate) owner_counters: Arc<OwnerCounters>,
    /// Maximum number of requests of this work that run at this member.
    pub(crate) work_limit: u32,
    /// Maximum number of requests of the owner that run at this member.
    pub(crate) owner_limit: u32,
}

/// Route of a pool.
pub(crate) struct PoolRoute {
    pub(crate) entry: PoolEntry,
    pub(crate) vms: Vec<Arc<VmRoute>>,
    pub(crate) counters: Arc<PoolCounters>,
    pub(crate) queue: QueueHandle,
    pub(crate) policy: PolicyEntry,
}

/// Route of a VM that serves one pool, as of one accepted step.
pub(crate) struct VmRoute {
    pub(crate) vm: VmName,
    pub(crate) address: SocketAddr,
    /// Offset at which the VM began to serve the pool; serving it again creates another route.
    pub(crate) revision: Offset,
    pub(crate) gate: jacinthhoist_core::LoadGate,
    pub(crate) slots: SlotLimit,
    pub(crate) endpoint: Arc<VmEndpoint>,
}

impl PoolRoute {
    /// Returns the number of slots that this member may use now.
    pub(crate) fn slots(&self) -> u32 {
        let healthy = self
            .vms
            .iter()
            .filter(|vm| !vm.endpoint.health.is_ejected());
        healthy.map(|vm| vm.slots.limit()).sum()
    }

    /// Returns the number of slots that this member holds now.
    pub(crate) fn held(&self) -> u32 {
        self.vms.iter().map(|vm| vm.gate.held()).sum()
    }

    /// Returns the number of requests that are waiting at this member now.
    pub(crate) fn waiting(&self) -> u32 {
        self.counters
            .waiting
            .load(std::sync::atomic::Ordering::SeqCst)
    }

    /// Returns the guaranteed and maximum number of slots of each class.
    pub(crate) fn shares(&self) -> ClassShares {
        ClassShares::of(&self.policy, self.slots())
    }

    /// Acquires a slot for a kind of work if its quotas, its class and the VMs allow it.
    ///
    /// `avoid` lists VMs that earlier attempts used; it is ignored once it covers the whole pool.
    pub(crate) fn try_acquire_slot(
        self: &Arc<Self>,
        work: &Arc<WorkRoute>,
        avoid: &[usize],
        now: ClockTime,
    ) -> Option<SlotGrant> {
        let shares = self.shares();
        let quotas = SlotGrant::acquire_quotas(self, work, shares.caps[work.entry.class.index()])?;
        let start_index = self.counters.next_start_index();
        let candidate = |index: usize| self.candidate(index, now);
        let count = self.vms.len();
        let avoid = if avoid.len() < count { avoid } else { &[] };
        let chosen = choose_vm(count, start_index, avoid, now, candidate)?;
        Some(quotas.with_vm(chosen))
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

    /// Returns true if one more VM can be ejected within the pool's availability budget.
    pub(crate) fn can_eject_vm(&self) -> bool {
        let healthy = self
            .vms
            .iter()
            .filter(|vm| !vm.endpoint.health.is_ejected())
            .count();
        let minimum = (self.entry.min_available as usize).max(1);
        healthy > minimum
    }
}
