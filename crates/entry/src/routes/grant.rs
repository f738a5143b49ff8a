//! A slot that is held: quotas, class and VM, given back when dropped.

use std::sync::Arc;

use super::{PoolRoute, VmRoute, WorkRoute};

/// A held slot.
pub(crate) struct SlotGrant {
    quota: QuotaGrant,
    index: usize,
}

/// What a request holds before it has a VM.
pub(crate) struct QuotaGrant {
    pool: Arc<PoolRoute>,
    work: Arc<WorkRoute>,
}

impl SlotGrant {
    /// Enters the quotas of class, owner and work, or none of them.
    pub(super) fn enter(
        pool: &Arc<PoolRoute>,
        work: &Arc<WorkRoute>,
        class_cap: u32,
    ) -> Option<QuotaGrant> {
        let class = &pool.load.running[work.entry.class.index()];
        if !class.try_acquire(class_cap) {
            return None;
        }
        if !work.owner_load.running.try_acquire(work.owner_limit) {
            class.release();
            return None;
        }
        if !work.load.running.try_acquire(work.work_limit) {
            work.owner_load.running.release();
            class.release();
            return None;
        }
        Some(QuotaGrant {
            pool: pool.clone(),
            work: work.clone(),
        })
    }

    /// The place of the VM in the pool's route.
    pub(crate) fn index(&self) -> usize {
        self.index
    }

    /// The VM whose slot is held.
    pub(crate) fn vm(&self) -> Option<&Arc<VmRoute>> {
        self.quota.pool.vms.get(self.index)
    }
}

impl QuotaGrant {
    pub(super) fn on(self, index: usize) -> SlotGrant {
        SlotGrant { quota: self, index }
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
        self.work.load.running.release();
        self.work.owner_load.running.release();
        self.pool.load.running[self.work.entry.class.index()].release();
        self.pool.queue.wake();
    }
}
