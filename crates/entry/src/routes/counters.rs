//! Counters that outlive the route tables that share them.

use std::sync::atomic::{AtomicI32, AtomicU32, AtomicU64, AtomicUsize, Ordering};

use jacinthhoist_core::{
    ClockTime, LoadGate, RetryBudget, ServiceEstimate, VmHealth, WorkClass, WorkHealth,
};

use crate::upstream::ConnectionPool;

/// Counters of a kind of work at this member.
#[derive(Default)]
pub(crate) struct WorkCounters {
    pub(crate) queued: AtomicU32,
    pub(crate) running: LoadGate,
    pub(crate) service: ServiceEstimate,
    pub(crate) health: WorkHealth,
}

/// Counters of an owner at this member.
#[derive(Default)]
pub(crate) struct OwnerCounters {
    /// Number of waiting requests of each class.
    pub(crate) queued: [AtomicU32; 3],
    pub(crate) running: LoadGate,
}

impl OwnerCounters {
    /// Returns the number of waiting requests that are at least as urgent as `class`.
    pub(crate) fn queued_at_least(&self, class: WorkClass) -> u32 {
        let queued = &self.queued[..=class.index()];
        queued
            .iter()
            .map(|count| count.load(Ordering::Relaxed))
            .sum()
    }
}

/// Counters of a pool at this member.
#[derive(Default)]
pub(crate) struct PoolCounters {
    pub(crate) running: [LoadGate; 3],
    pub(crate) queued_cost_ms: [AtomicU64; 3],
    pub(crate) waiting: AtomicU32,
    pub(crate) retries: RetryBudget,
    start_index: AtomicUsize,
}

impl PoolCounters {
    /// Returns the index at which the next placement starts its search.
    pub(crate) fn next_start_index(&self) -> usize {
        self.start_index.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the number of running requests of each class.
    pub(crate) fn running(&self) -> [u32; 3] {
        [0, 1, 2].map(|class| self.running[class].held())
    }

    /// Returns the total expected service time of the waiting requests of each class, in
    /// milliseconds.
    pub(crate) fn queued_costs_ms(&self) -> [u64; 3] {
        [0, 1, 2].map(|class| self.queued_cost_ms[class].load(Ordering::Relaxed))
    }
}

/// Number of a VM's slots that this member may use.
#[derive(Default)]
pub(crate) struct SlotLimit {
    share: AtomicU32,
    loans: AtomicI32,
}

impl SlotLimit {
    /// Sets the member's own share of the slots.
    pub(crate) fn set_share(&self, share: u32) {
        self.share.store(share, Ordering::Relaxed);
    }

    /// Adds borrowed slots, or subtracts lent ones if `slots` is negative.
    pub(crate) fn add_loan(&self, slots: i32) {
        self.loans.fetch_add(slots, Ordering::Relaxed);
    }

    /// Returns the number of slots that the member may use now.
    pub(crate) fn limit(&self) -> u32 {
        let share = self.share.load(Ordering::Relaxed) as i32;
        let limit = share + self.loans.load(Ordering::Relaxed);
        limit.max(0) as u32
    }
}

/// Health and connections of a VM, independent of the pool that it serves.
pub(crate) struct VmEndpoint {
    pub(crate) health: VmHealth,
    pub(crate) connections: ConnectionPool,
    leaving_until: AtomicU64,
}

impl VmEndpoint {
    pub(crate) fn open(connection_limit: u32, threads: usize) -> Self {
        Self {
            health: VmHealth::default(),
            connections: ConnectionPool::open(connection_limit, threads),
            leaving_until: AtomicU64::new(0),
        }
    }

    /// Marks the VM as leaving, so that it gets no new work, until `until`.
    pub(crate) fn mark_leaving(&self, until: ClockTime) {
        self.leaving_until
            .fetch_max(until.as_millis(), Ordering::Relaxed);
    }

    /// Returns true if the VM may get new work.
    pub(crate) fn is_usable(&self, now: ClockTime) -> bool {
        self.leaving_until.load(Ordering::Relaxed) <= now.as_millis()
    }
}
