//! Counters that outlive the tables that point at them.

use std::sync::atomic::{AtomicI32, AtomicU32, AtomicU64, AtomicUsize, Ordering};

use jacinthhoist_core::{
    ClockTime, LoadGate, RetryBudget, ServiceEstimate, VmHealth, WorkClass, WorkHealth,
};

use crate::upstream::ConnectionStack;

/// What is known of a kind of work at this member.
#[derive(Default)]
pub(crate) struct WorkLoad {
    pub(crate) queued: AtomicU32,
    pub(crate) running: LoadGate,
    pub(crate) service: ServiceEstimate,
    pub(crate) health: WorkHealth,
}

/// What is known of an owner at this member.
#[derive(Default)]
pub(crate) struct OwnerLoad {
    /// Requests that wait, by class.
    pub(crate) queued: [AtomicU32; 3],
    pub(crate) running: LoadGate,
}

impl OwnerLoad {
    /// Requests that wait and are at least as urgent as a class.
    pub(crate) fn queued_up_to(&self, class: WorkClass) -> u32 {
        let queued = &self.queued[..=class.index()];
        queued
            .iter()
            .map(|count| count.load(Ordering::Relaxed))
            .sum()
    }
}

/// What is known of a pool at this member.
#[derive(Default)]
pub(crate) struct PoolLoadState {
    pub(crate) running: [LoadGate; 3],
    pub(crate) queued_cost_ms: [AtomicU64; 3],
    pub(crate) waiting: AtomicU32,
    pub(crate) retries: RetryBudget,
    start: AtomicUsize,
}

impl PoolLoadState {
    /// Where the next placement starts its walk.
    pub(crate) fn next_start(&self) -> usize {
        self.start.fetch_add(1, Ordering::Relaxed)
    }

    /// Requests running, by class.
    pub(crate) fn running(&self) -> [u32; 3] {
        [0, 1, 2].map(|class| self.running[class].held())
    }

    /// Expected service time of all that waits, by class.
    pub(crate) fn queued_cost(&self) -> [u64; 3] {
        [0, 1, 2].map(|class| self.queued_cost_ms[class].load(Ordering::Relaxed))
    }
}

/// Slots of a VM that this member may use.
#[derive(Default)]
pub(crate) struct SlotLimit {
    share: AtomicU32,
    loans: AtomicI32,
}

impl SlotLimit {
    /// Sets the member's own share.
    pub(crate) fn set_share(&self, share: u32) {
        self.share.store(share, Ordering::Relaxed);
    }

    /// Adds borrowed slots, or takes lent ones away.
    pub(crate) fn add_loan(&self, slots: i32) {
        self.loans.fetch_add(slots, Ordering::Relaxed);
    }

    /// Slots the member may use now.
    pub(crate) fn limit(&self) -> u32 {
        let share = self.share.load(Ordering::Relaxed) as i32;
        let limit = share + self.loans.load(Ordering::Relaxed);
        limit.max(0) as u32
    }
}

/// What is known of a VM whatever pool it serves.
pub(crate) struct VmEndpoint {
    pub(crate) health: VmHealth,
    pub(crate) connections: ConnectionStack,
    leaving_until: AtomicU64,
}

impl VmEndpoint {
    pub(crate) fn open(connections: u32, workers: usize) -> Self {
        Self {
            health: VmHealth::default(),
            connections: ConnectionStack::open(connections, workers),
            leaving_until: AtomicU64::new(0),
        }
    }

    /// No new work goes to the VM until a time.
    pub(crate) fn leave_until(&self, until: ClockTime) {
        self.leaving_until
            .fetch_max(until.as_millis(), Ordering::Relaxed);
    }

    /// Whether the VM takes new work.
    pub(crate) fn is_usable(&self, now: ClockTime) -> bool {
        self.leaving_until.load(Ordering::Relaxed) <= now.as_millis()
    }
}
