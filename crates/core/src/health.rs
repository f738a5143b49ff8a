//! Outlier detection: distinguishes faulty VMs from faulty work, and temporarily ejects faulty VMs.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use crate::clock::ClockTime;

/// Consecutive failures attributed to a VM that eject it.
const EJECTION_FAILURES: u32 = 3;
/// Number of distinct VMs on which work must fail, with no success in between, before the
/// failures are attributed to the work.
const WORK_FAILURE_VMS: u32 = 3;
/// Duration of the first ejection; doubled for each further one.
const EJECTION_MS: u64 = 1_000;
/// Maximum number of times that the ejection duration is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// Set of VMs on which a kind of work has failed since it last succeeded on any.
#[derive(Debug, Default)]
pub struct WorkHealth(AtomicU64);

impl WorkHealth {
    /// Records a failure on the VM with this index; returns true if the work is to blame.
    pub fn record_failure(&self, index: usize) -> bool {
        let bit = 1 << (index % 64);
        let failing = self.0.fetch_or(bit, Ordering::Relaxed) | bit;
        failing.count_ones() >= WORK_FAILURE_VMS
    }

    /// Records a success.
    pub fn record_success(&self) {
        if self.0.load(Ordering::Relaxed) != 0 {
            self.0.store(0, Ordering::Relaxed);
        }
    }

    /// Returns true if failures are attributed to the work, whichever VM runs it.
    pub fn fails_everywhere(&self) -> bool {
        self.0.load(Ordering::Relaxed).count_ones() >= WORK_FAILURE_VMS
    }
}

/// Outlier detection for a VM, by failures of work that succeeds on other VMs.
///
/// ```
/// use jacinthhoist_core::{ClockTime, VmHealth};
/// let health = VmHealth::default();
/// let now = ClockTime::from_secs(1);
/// assert!((0..3).map(|_| health.record_failure(now, true)).any(|ejected| ejected));
/// assert!(!health.try_admit(now));
/// let later = ClockTime::from_secs(10);
/// assert!(health.try_admit(later), "one probe");
/// assert!(!health.try_admit(later), "no second probe while one is in flight");
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
    /// Returns true if the VM is ejected and has not yet passed a probe.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.load(Ordering::Relaxed) != 0
    }

    /// Returns true if the VM may get a request now.
    ///
    /// After an ejection period, it admits one request at a time as a probe.
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

    /// Releases a probe that [`VmHealth::try_admit`] admitted but that had no result.
    pub fn release_probe(&self) {
        self.probing.store(false, Ordering::Relaxed);
    }

    /// Records a success; returns true if it ended an ejection.
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

    /// Records a failure attributed to the VM; returns true if it newly ejects the VM.
    ///
    /// `may_eject` is true if the pool's budget allows an ejection.
    pub fn record_failure(&self, now: ClockTime, may_eject: bool) -> bool {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        let was_ejected = self.is_ejected();
        self.probing.store(false, Ordering::Relaxed);
        if !was_ejected && (failures < EJECTION_FAILURES || !may_eject) {
            return false;
        }
        let doublings = self
            .ejections
            .fetch_add(1, Ordering::Relaxed)
            .min(MAX_EJECTION_DOUBLINGS);
        let until = now.as_millis() + (EJECTION_MS << doublings);
        self.ejected_until.store(until, Ordering::Relaxed);
        !was_ejected
    }
}
