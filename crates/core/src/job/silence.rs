//! Workers that fall silent together.
//!
//! A task crashes its worker at its start, or later if it is one that ends. Where a worker falls silent
//! that had no such run, the cause lies outside the tasks, and those that fall silent with it share the
//! cause. Two workers on each of which a run was starting do not excuse each other.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    name::{PoolName, WorkerId},
};

/// Time within which workers that crash together are noticed: they refuse connections at once.
const CRASH_SPAN: ClockTime = ClockTime::from_millis(100);
/// Time within which workers that are cut off together are noticed: a request for a report may last half
/// a second before it is known to be late.
const CUT_SPAN: ClockTime = ClockTime::from_millis(500);
/// Number of workers, and their part of the pool as one over a number, that end together for a reason
/// outside their tasks if no run was starting on any of them.
const MASS_WORKERS: usize = 3;
const MASS_SHARE: usize = 2;
/// Time after the end of a worker for an outside reason in which further ones are to be expected.
pub(super) const UNREST_SPAN: ClockTime = ClockTime::from_millis(3_000);
/// Part of a pool's workers, as one over this number, that end within that time for an outside reason in
/// a pool that is unsettled.
const OUTSIDE_SHARE: usize = 16;
/// Time within which a series of ends is noticed, and number of workers in it, at least this part of the
/// pool as one over a number: too many for tasks that crash their workers one by one.
const SERIES_SPAN: ClockTime = ClockTime::from_millis(1_500);
const SERIES_WORKERS: usize = 3;
const SERIES_SHARE: usize = 4;

/// Which of its tasks may be the cause of a worker's silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SilenceCause {
    /// Any: a run was starting, or may have been.
    AnyTask,
    /// One that ends, after its start.
    LateTask,
    /// None.
    Outside,
}

/// Losses of a worker's runs that are not held against the tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ExcusedLosses {
    /// Those of runs that were starting.
    Starts,
    /// All.
    All,
}

/// Silence of a worker.
#[derive(Clone, Debug)]
struct WorkerSilence {
    worker: WorkerId,
    at: ClockTime,
    cause: SilenceCause,
    excused: Option<ExcusedLosses>,
}

/// Workers that have just fallen silent.
///
/// ```
/// use jacinthhoist_core::{ClockTime, WorkerId, job::{ExcusedLosses, RecentSilences, SilenceCause}};
/// let ms = ClockTime::from_millis;
/// let id = |number: u64| WorkerId::new(&format!("i-{number}"));
/// let mut silences = RecentSilences::default();
/// assert!(silences.record(id(1), SilenceCause::AnyTask, 20, ms(0)).is_empty());
/// assert!(silences.record(id(2), SilenceCause::AnyTask, 20, ms(20)).is_empty());
/// let excused = silences.record(id(3), SilenceCause::Outside, 20, ms(40));
/// assert_eq!(excused.as_slice(), [(id(1), ExcusedLosses::All), (id(2), ExcusedLosses::All)]);
/// assert!(silences.record(id(4), SilenceCause::AnyTask, 20, ms(900)).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct RecentSilences {
    silences: SmallVec<[WorkerSilence; 4]>,
}

impl RecentSilences {
    /// Records that one of `workers` workers has fallen silent; returns those of which losses are now
    /// known to have a cause outside their tasks.
    pub fn record(
        &mut self,
        worker: WorkerId,
        cause: SilenceCause,
        workers: usize,
        now: ClockTime,
    ) -> SmallVec<[(WorkerId, ExcusedLosses); 4]> {
        self.silences
            .retain(|silence| now <= silence.at + CUT_SPAN && silence.worker != worker);
        self.silences.push(WorkerSilence {
            worker,
            at: now,
            cause,
            excused: None,
        });
        let evidence = |number: usize| self.evidence(number, workers);
        let found: SmallVec<[_; 4]> = (0..self.silences.len()).map(evidence).collect();
        let mut excused = SmallVec::new();
        for (silence, found) in self.silences.iter_mut().zip(found) {
            if let Some(losses) = found
                && silence.excused < found
            {
                silence.excused = found;
                excused.push((silence.worker.clone(), losses));
            }
        }
        excused
    }

    /// Losses of a worker that other silences excuse.
    fn evidence(&self, number: usize, workers: usize) -> Option<ExcusedLosses> {
        let at = self.silences[number].at;
        let within = |span: ClockTime| {
            let others = self.silences.iter().enumerate();
            let others = others.filter(move |(other, _)| *other != number);
            others.filter_map(move |(_, other)| {
                let is_near = at <= other.at + span && other.at <= at + span;
                is_near.then_some(other.cause)
            })
        };
        let without_start = within(CRASH_SPAN).filter(|cause| *cause > SilenceCause::AnyTask);
        let mass = without_start.count();
        if within(CUT_SPAN).any(|cause| cause == SilenceCause::Outside)
            || mass + 1 >= MASS_WORKERS.max(workers.div_ceil(MASS_SHARE))
        {
            return Some(ExcusedLosses::All);
        }
        (mass > 0).then_some(ExcusedLosses::Starts)
    }
}

/// End of a worker.
#[derive(Clone, Debug)]
struct WorkerEnd {
    worker: WorkerId,
    at: ClockTime,
    cause: SilenceCause,
    /// True if it is known to be one of a series.
    in_series: bool,
}

/// Workers of a pool that have ended.
#[derive(Clone, Debug, Default)]
struct PoolEnds {
    recent: SmallVec<[WorkerEnd; 4]>,
    calm_from: ClockTime,
}

impl PoolEnds {
    /// Returns whether further workers out of `workers` are likely to end for outside reasons.
    fn is_unsettled(&self, workers: usize, now: ClockTime) -> bool {
        let ends = self.recent.iter();
        let outside = ends.clone().filter(|end| end.cause > SilenceCause::AnyTask);
        let outside = outside.count();
        let in_series = ends.filter(|end| now < end.at + SERIES_SPAN).count();
        outside > 0 && outside >= workers.div_ceil(OUTSIDE_SHARE)
            || in_series >= SERIES_WORKERS.max(workers.div_ceil(SERIES_SHARE))
    }
}

/// Pools whose workers end for outside reasons: there, the loss of a starting run proves little.
///
/// ```
/// use jacinthhoist_core::{ClockTime, PoolName, WorkerId, job::{PoolUnrest, SilenceCause}};
/// let (ms, pool) = (ClockTime::from_millis, PoolName::new("mould"));
/// let id = |number: u64| WorkerId::new(&format!("i-{number}"));
/// let mut unrest = PoolUnrest::default();
/// let series = unrest.record(&pool, id(1), SilenceCause::Outside, 20, ms(1_000));
/// assert!(series.is_empty() && unrest.calm_from(&pool) <= ms(1_000), "one of twenty workers");
/// let series = unrest.record(&pool, id(2), SilenceCause::Outside, 20, ms(2_000));
/// assert_eq!(series.as_slice(), [id(1), id(2)]);
/// assert_eq!(unrest.calm_from(&pool), ms(5_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PoolUnrest {
    pools: BTreeMap<PoolName, PoolEnds>,
}

impl PoolUnrest {
    /// Records that one of `workers` workers of a pool has ended; returns those that are now known to have
    /// ended in a series.
    pub fn record(
        &mut self,
        pool: &PoolName,
        worker: WorkerId,
        cause: SilenceCause,
        workers: usize,
        now: ClockTime,
    ) -> SmallVec<[WorkerId; 4]> {
        let ends = self.pools.entry(pool.clone()).or_default();
        ends.recent.retain(|end| now < end.at + UNREST_SPAN);
        ends.recent.push(WorkerEnd {
            worker,
            at: now,
            cause,
            in_series: false,
        });
        if !ends.is_unsettled(workers, now) {
            return SmallVec::new();
        }
        ends.calm_from = now + UNREST_SPAN;
        let latest = ends.recent.iter_mut();
        let latest = latest.filter(|end| now < end.at + SERIES_SPAN && !end.in_series);
        let found = latest.map(|end| {
            end.in_series = true;
            end.worker.clone()
        });
        found.collect()
    }

    /// Time from which a pool counts as calm.
    pub fn calm_from(&self, pool: &PoolName) -> ClockTime {
        let ends = self.pools.get(pool);
        ends.map_or(ClockTime::ZERO, |ends| ends.calm_from)
    }
}
