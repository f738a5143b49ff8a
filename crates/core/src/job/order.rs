//! Which job goes first in a full pool.
//!
//! Answers a surge that asks for more than the pool holds: those that can still meet their
//! objective go by least laxity, and those that cannot wait behind them.

use std::collections::BTreeMap;

use crate::{clock::ClockTime, name::WorkName};

/// Weight of the newest observation in a moving mean: settles within some ten tasks.
const NEWEST_WEIGHT_PERCENT: u64 = 10;
/// What a task is taken to last before any has been seen.
const DEFAULT_DURATION: ClockTime = ClockTime::from_millis(1_000);

/// Learnt durations of tasks by kind of work; callers' estimates are too far off to be used.
#[derive(Clone, Debug, Default)]
pub struct DurationTable {
    means: BTreeMap<WorkName, ClockTime>,
}

impl DurationTable {
    /// Learns from a task that is done.
    pub fn record(&mut self, work: &WorkName, lasted: ClockTime) {
        let Some(mean) = self.means.get_mut(work) else {
            self.means.insert(work.clone(), lasted);
            return;
        };
        let old = mean.as_millis() * (100 - NEWEST_WEIGHT_PERCENT);
        let new = lasted.as_millis() * NEWEST_WEIGHT_PERCENT;
        *mean = ClockTime::from_millis((old + new) / 100);
    }

    /// The mean duration of a task.
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

/// The place of a job in its pool's order; the lesser goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobUrgency {
    /// Whether it ends at all: tasks that serve for good go first, each second without them is lost.
    pub ends: bool,
    /// Whether its objective is out of reach.
    pub infeasible: bool,
    /// Its class; 0 goes first.
    pub priority: u8,
    /// When it must begin what is left of it.
    pub latest_start: ClockTime,
}

impl JobUrgency {
    /// Judges a job by its deadline and the time that the rest of it takes.
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
        rest: ClockTime,
        now: ClockTime,
    ) -> Self {
        Self {
            ends: true,
            infeasible: now + rest > deadline,
            priority,
            latest_start: deadline - rest,
        }
    }

    /// The place of a job that runs until it is cancelled; the oldest goes first.
    pub fn long_running(priority: u8, received_at: ClockTime) -> Self {
        Self {
            ends: false,
            infeasible: false,
            priority,
            latest_start: received_at,
        }
    }
}
