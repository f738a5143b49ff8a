//! Priority order of jobs in a full pool.
//!
//! Pattern: a queue that surges beyond what its pool holds. Jobs that can still meet their objective
//! come first, those that have begun before new ones. While all new jobs can be served in time, the
//! one with least laxity comes first. In an overload that order would serve each job at the last
//! moment, and most of them a little too late; the newest comes first then, so that as many jobs as
//! the pool can carry are served in time.

use std::{cmp::Reverse, collections::BTreeMap};

use crate::{clock::ClockTime, name::WorkName};

use super::{
    share::PoolShares,
    spec::{JobId, Resources},
    tenant_account::TenantSlot,
};

/// Weight of the newest observation in the moving mean, which converges within about ten tasks.
const NEWEST_WEIGHT_PERCENT: u64 = 10;
/// Assumed duration of a task before the first observation.
pub(super) const DEFAULT_DURATION: ClockTime = ClockTime::from_millis(1_000);

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
        let weighted = |time: ClockTime, percent| time.as_millis().saturating_mul(percent);
        let old = weighted(*mean, 100 - NEWEST_WEIGHT_PERCENT);
        let new = weighted(duration, NEWEST_WEIGHT_PERCENT);
        *mean = ClockTime::from_millis(old.saturating_add(new) / 100);
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

/// Part of the remaining work that is added to it as a margin, in percent: the last task of a step
/// takes longer than the mean.
const CHAIN_MARGIN_PERCENT: u64 = 25;
/// Margin for the start of a step: storing it, and the order to the worker.
const START_MARGIN: ClockTime = ClockTime::from_millis(150);

/// Time after which work that has not started is expected to be done.
pub(super) fn with_margin(work: ClockTime) -> ClockTime {
    let margin = work.as_millis().saturating_mul(CHAIN_MARGIN_PERCENT) / 100;
    work + ClockTime::from_millis(margin) + START_MARGIN
}

/// Part of a pool's capacity that becomes free for waiting work, in percent; running tasks hold the
/// rest.
const FREE_CPU_PERCENT: u64 = 50;

/// Sort key of a job in its pool's queue; the smallest key is scheduled first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobUrgency {
    /// False for long-running jobs, which are scheduled first, as they lose service time while they
    /// wait.
    pub ends: bool,
    /// True for a new job that its tenant has sent beyond its rate. It is served from idle room only.
    pub is_surplus: bool,
    /// True if the job can no longer be expected to meet its deadline.
    pub infeasible: bool,
    /// Priority class; 0 is the most urgent.
    pub priority: u64,
    /// True if no task of the job has started. What has begun comes first: otherwise an overload
    /// spreads over all jobs, and each of them misses its deadline by a little.
    pub is_new: bool,
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
    /// let key = |deadline, is_new| {
    ///     JobUrgency::for_deadline(0, ms(deadline), ms(900), is_new, ms(1_000))
    /// };
    /// let (begun, tight, loose, late) =
    ///     (key(5_000, false), key(2_500, true), key(3_000, true), key(2_000, true));
    /// assert!(begun < tight && tight < loose && loose < late);
    /// ```
    pub fn for_deadline(
        priority: u64,
        deadline: ClockTime,
        remaining: ClockTime,
        is_new: bool,
        now: ClockTime,
    ) -> Self {
        Self {
            ends: true,
            is_surplus: false,
            infeasible: now + with_margin(remaining) > deadline,
            priority,
            is_new,
            latest_start: deadline - remaining,
        }
    }

    /// Computes the key of a job that runs until it is cancelled; older jobs come first.
    pub fn long_running(priority: u64, received_at: ClockTime) -> Self {
        Self {
            ends: false,
            is_surplus: false,
            infeasible: false,
            priority,
            is_new: false,
            latest_start: received_at,
        }
    }

    /// Returns the key of a job that may be surplus. What has begun is not any more: to leave it would waste
    /// what has been done.
    pub fn with_surplus(self, is_surplus: bool) -> Self {
        Self {
            is_surplus: is_surplus && self.is_new,
            ..self
        }
    }

    /// Returns true for a job that the order within an overload concerns.
    fn is_new_and_feasible(&self) -> bool {
        self.ends && self.is_new && !self.infeasible
    }
}

/// Job in the queue of its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedJob {
    /// Place in the queue.
    pub urgency: JobUrgency,
    /// Queued job.
    pub job: JobId,
    /// Work of its tasks that have not started, in thousandths of core-milliseconds.
    pub work: u64,
    /// What these tasks take at once.
    pub need: Resources,
    /// Tenant of the job.
    pub tenant: Option<TenantSlot>,
}

/// Sorts the queue of a pool with a capacity of `cpu` thousandths of a core, of which its tenants have the given
/// shares.
///
/// ```
/// use jacinthhoist_core::{
///     ClockTime,
///     job::{JobId, JobUrgency, PoolShares, QueuedJob, Resources, order_queue},
/// };
/// let ms = ClockTime::from_millis;
/// let job = |id, deadline| QueuedJob {
///     urgency: JobUrgency::for_deadline(0, ms(deadline), ms(500), true, ms(0)),
///     job: JobId(id),
///     work: 1_000_000,
///     need: Resources::default(),
///     tenant: None,
/// };
/// let mut queue = vec![job(1, 3_000), job(2, 2_000), job(3, 2_500)];
/// let first = |queue: &mut Vec<QueuedJob>, cpu| {
///     order_queue(queue, cpu, &mut PoolShares::default(), ms(0));
///     queue[0].job
/// };
/// assert_eq!(first(&mut queue, 2_000), JobId(2));
/// assert_eq!(first(&mut queue, 900), JobId(1));
/// ```
pub fn order_queue(queue: &mut [QueuedJob], cpu: u64, shares: &mut PoolShares, now: ClockTime) {
    queue.sort_unstable_by_key(|queued| (queued.urgency, queued.job));
    let Some(first_late) = find_overload(queue, cpu, now) else {
        return;
    };
    // Surplus jobs come last, so an overload that they alone cause concerns no other.
    let is_surplus_only = queue[first_late].urgency.is_surplus;
    let is_new = |queued: &QueuedJob| queued.urgency.is_new_and_feasible();
    for new_jobs in queue.chunk_by_mut(|one, other| {
        let class = |queued: &QueuedJob| (queued.urgency.is_surplus, queued.urgency.priority);
        is_new(one) && is_new(other) && class(one) == class(other)
    }) {
        if is_surplus_only && !new_jobs[0].urgency.is_surplus {
            continue;
        }
        new_jobs.sort_unstable_by_key(|queued| (Reverse(queued.urgency.latest_start), queued.job));
        if !shares.is_empty() && is_new(&new_jobs[0]) {
            shares.order(new_jobs);
        }
    }
}

/// Finds the first feasible job of a sorted queue that cannot start in time behind those before it.
fn find_overload(queue: &[QueuedJob], cpu: u64, now: ClockTime) -> Option<usize> {
    let feasible = queue.iter().enumerate();
    let feasible = feasible.filter(|(_, queued)| !queued.urgency.infeasible);
    let mut work_before = 0;
    for (position, queued) in feasible.filter(|(_, queued)| queued.urgency.ends) {
        let laxity = queued.urgency.latest_start - now;
        let carried = cpu.saturating_mul(laxity.as_millis());
        let carried = carried.saturating_mul(FREE_CPU_PERCENT) / 100;
        if work_before > carried {
            return Some(position);
        }
        work_before = queued.work.saturating_add(work_before);
    }
    None
}
