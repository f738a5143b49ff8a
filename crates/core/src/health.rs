//! Telling a bad worker from a bad job, and ejecting workers for a while.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use crate::clock::ClockTime;

/// Failures in a row, attributed to the worker, that eject it.
const EJECT_FAILURES: u32 = 3;
/// Workers that fail a job in a row before the job is to blame.
const JOB_FAILURES: u32 = 3;
/// The first ejection, in milliseconds; each further one doubles.
const EJECT_MS: u64 = 1_000;
/// Doublings at the most.
const EJECT_DOUBLINGS: u32 = 5;

/// Which workers failed a kind of work since it last succeeded anywhere.
#[derive(Debug, Default)]
pub struct WorkHealth(AtomicU64);

impl WorkHealth {
    /// Notes a failure on the worker with this index; returns whether the job is to blame.
    pub fn record_failure(&self, index: usize) -> bool {
        let bit = 1 << (index % 64);
        let failing = self.0.fetch_or(bit, Ordering::Relaxed) | bit;
        failing.count_ones() >= JOB_FAILURES
    }

    /// Notes a success.
    pub fn record_success(&self) {
        if self.0.load(Ordering::Relaxed) != 0 {
            self.0.store(0, Ordering::Relaxed);
        }
    }

    /// Whether the job fails wherever it runs.
    pub fn fails_everywhere(&self) -> bool {
        self.0.load(Ordering::Relaxed).count_ones() >= JOB_FAILURES
    }
}

/// How a worker has fared with work that succeeds elsewhere.
///
/// ```
/// use jacinthhoist_core::{ClockTime, VmHealth};
/// let health = VmHealth::default();
/// let now = ClockTime::from_secs(1);
/// assert!((0..3).map(|_| health.record_failure(now, true)).any(|ejected| ejected));
/// assert!(!health.try_admit(now));
/// let later = ClockTime::from_secs(10);
/// assert!(health.try_admit(later), "one probe");
/// assert!(!health.try_admit(later), "and no second while it runs");
/// health.record_success();
/// assert!(health.try_admit(later));
/// ```
#[derive(Debug, Default)]
pub struct VmHealth {
    failures: AtomicU32,
    ejected_until: AtomicU64,
    ejections: AtomicU32,
    probing: AtomicBool,
}

impl VmHealth {
    /// Whether the worker is out, waiting for a probe to succeed.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.load(Ordering::Relaxed) != 0
    }

    /// Whether the worker may take a request now; after an ejection, one at a time as a probe.
    pub fn try_admit(&self, now: ClockTime) -> bool {
        let until = self.ejected_until.load(Ordering::Relaxed);
        if until == 0 {
            return true;
        }
        if now.as_millis() < until {
            return false;
        }
        !self.probing.swap(true, Ordering::Relaxed)
    }

    /// Gives back a turn that [`VmHealth::try_admit`] granted and that came to nothing.
    pub fn release_probe(&self) {
        self.probing.store(false, Ordering::Relaxed);
    }

    /// Notes a success; returns whether it ended an ejection.
    pub fn record_success(&self) -> bool {
        self.failures.store(0, Ordering::Relaxed);
        if !self.is_ejected() {
            return false;
        }
        self.ejected_until.store(0, Ordering::Relaxed);
        self.ejections.store(0, Ordering::Relaxed);
        self.probing.store(false, Ordering::Relaxed);
        true
    }

    /// Notes a failure that is the worker's own; returns whether it newly ejects the worker.
    pub fn record_failure(&self, now: ClockTime, room: bool) -> bool {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        let before = self.is_ejected();
        self.probing.store(false, Ordering::Relaxed);
        if !before && (failures < EJECT_FAILURES || !room) {
            return false;
        }
        let doublings = self
            .ejections
            .fetch_add(1, Ordering::Relaxed)
            .min(EJECT_DOUBLINGS);
        let until = now.as_millis() + (EJECT_MS << doublings);
        self.ejected_until.store(until, Ordering::Relaxed);
        !before
    }
}
