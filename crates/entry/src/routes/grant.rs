//! Guards for a held slot: the quotas, the class and the VM are released on drop.

use std::sync::Arc;

use super::{PoolRoute, VmRoute, WorkRoute};

/// A slot of a VM together with the quotas that it counts against; released on drop.
pub(crate) struct SlotGrant {
    quotas: QuotaGrant,
    index: usize,
}

/// Quotas that a request holds before it has a VM; released on drop.
pub(crate) struct QuotaGrant {
    pool: Arc<PoolRoute>,
    work: Arc<WorkRoute>,
}

impl SlotGrant {
    /// Acquires the quotas of class, owner and work, or none of them.
    pub(super) fn acquire_quotas(
        pool: &Arc<PoolRoute>,
        work: &Arc<WorkRoute>,
        class_cap: u32,
    ) -> Option<QuotaGrant> {
        let class = &pool.counters.running[work.entry.class.index()];
        if !class.try_acquire(class_cap) {
            return None;
        }
        if !work.owner_counters.running.try_acquire(work.owner_limit) {
            class.release();
            return None;
        }
        if !work.counters.running.try_acquire(work.work_limit) {
            work.owner_counters.running.release();
            class.release();
            return None;
        }
        Some(QuotaGrant {
            pool: pool.clone(),
            work: work.clone(),
        })
    }

    /// Returns the index of the VM in the pool's route.
    pub(crate) fn index(&self) -> usize {
        self.index
    }

    /// Returns the VM whose slot is held.
    pub(crate) fn vm(&self) -> Option<&Arc<VmRoute>> {
        self.quotas.pool.vms.get(self.index)
    }
}

impl QuotaGrant {
    pub(super) fn with_vm(self, index: usize) -> SlotGrant {
        SlotGrant {
            quotas: self,
            index,
        }
    }
}

impl Drop for SlotGrant {
    fn drop(&mut self) {
        if let Some(vm) = self.vm() {
            vm.gate.release();
            vm.endpoint.health.release_probe();
        }
    }
}

impl Drop for QuotaGrant {
    fn drop(&mut self) {
        self.work.counters.running.release();
        self.work.owner_counters.running.release();
        self.pool.counters.running[self.work.entry.class.index()].release();
        self.pool.queue.wake();
    }
}
