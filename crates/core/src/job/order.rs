//! Priority order of jobs in a full pool.
//!
//! When demand exceeds the capacity of a pool, jobs that can still meet their objective are ordered
//! by least laxity; jobs that can no longer meet it come after them.

use std::collections::BTreeMap;

use crate::{clock::ClockTime, name::WorkName};

/// Weight of the newest observation in the moving mean, which converges within about ten tasks.
const NEWEST_WEIGHT_PERCENT: u64 = 10;
/// Assumed duration of a task before the first observation.
const DEFAULT_DURATION: ClockTime = ClockTime::from_millis(1_000);

/// Mean observed task duration by kind of work; callers' estimates are too inaccurate to use.
#[derive(Clone, Debug, Default)]
pub struct DurationTable {
    means: BTreeMap<WorkName, ClockTime>,
}

impl DurationTable {
    /// Records the duration of a completed task.
    pub fn record(&mut self, work: &WorkName, duration: ClockTime) {
        let Some(mean) = self.means.get_mut(work) else {
            self.means.insert(work.clone(), duration);
            return;
        };
        let old = mean.as_millis() * (100 - NEWEST_WEIGHT_PERCENT);
        let new = duration.as_millis() * NEWEST_WEIGHT_PERCENT;
        *mean = ClockTime::from_millis((old + new) / 100);
    }

    /// Mean duration of a task, or a default where none has been observed.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, WorkName, job::DurationTable};
    /// let mut table = DurationTable::default();
    /// let work = WorkName::new("core-check");
    /// table.record(&work, ClockTime::from_millis(800));
    /// assert_eq!(table.mean(&work).as_millis(), 800);
    /// ```
    pub fn mean(&self, work: &WorkName) -> ClockTime {
        self.means.get(work).copied().unwrap_or(DEFAULT_DURATION)
    }
}

/// Sort key of a job in its pool's queue; the smallest key is scheduled first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobUrgency {
    /// False for long-running jobs, which are scheduled first, as they lose service time while they
    /// wait.
    pub ends: bool,
    /// True if the job can no longer meet its deadline.
    pub infeasible: bool,
    /// Priority class; 0 is the most urgent.
    pub priority: u8,
    /// Latest time at which the remaining work can start and still meet the deadline; for a
    /// long-running job, the time of its receipt.
    pub latest_start: ClockTime,
}

impl JobUrgency {
    /// Computes the key of a job from its deadline and the duration of its remaining work.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::JobUrgency};
    /// let ms = ClockTime::from_millis;
    /// let tight = JobUrgency::for_deadline(0, ms(2_000), ms(900), ms(1_000));
    /// let loose = JobUrgency::for_deadline(0, ms(3_000), ms(900), ms(1_000));
    /// let late = JobUrgency::for_deadline(0, ms(1_500), ms(900), ms(1_000));
    /// assert!(tight < loose && loose < late);
    /// ```
    pub fn for_deadline(
        priority: u8,
        deadline: ClockTime,
        remaining: ClockTime,
        now: ClockTime,
    ) -> Self {
        Self {
            ends: true,
            infeasible: now + remaining > deadline,
            priority,
            latest_start: deadline - remaining,
        }
    }

    /// Computes the key of a job that runs until it is cancelled; older jobs come first.
    pub fn long_running(priority: u8, received_at: ClockTime) -> Self {
        Self {
            ends: false,
            infeasible: false,
            priority,
            latest_start: received_at,
        }
    }
}
