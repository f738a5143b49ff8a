//! Permits of the policy service: which workers may run a step, and for how long.
//!
//! Whether a worker may run a step does not change, but a permit lasts only so long, and the service takes time for
//! each worker that a query names. Steps therefore ask in turn and name as many workers as an answer in good time allows.
//! Runs are placed on workers that are known to be permitted; their start orders wait for new permits if the old ones have ended.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    job::{
        catalogue::AdvicePolicy,
        spec::{StepKey, TaskKey},
        task::AnyTask,
    },
    name::WorkerId,
};

use super::{Effect, Scheduler};

/// Workers per query: enough for a wide step, few enough for a fast answer.
const MAX_QUERY_WORKERS: usize = 30;
/// Workers that the service accepts in one query, which a gang may need.
const MAX_NAMED_WORKERS: usize = 100;
/// Time in which a query is to be answered while others may be named in a later one: a job may be
/// without a run for 3 s, and the first answer need not permit any worker.
const QUERY_TARGET: ClockTime = ClockTime::from_millis(1_000);
/// Remaining validity that a permit needs for placement without a new one, so that it is still valid when the start
/// order is sent; at most a part of its validity, as one over the divisor.
const MIN_PERMIT_REMAINING: ClockTime = ClockTime::from_millis(300);
const REMAINING_DIVISOR: u64 = 4;
/// Part of its validity that a permit has left when its answer arrives, however late that is, as one over this
/// number: an order with an old permit is refused, and nothing else would show that it is old.
const LATE_DIVISOR: u64 = 2;
/// Time limit of a query beyond its expected duration.
const QUERY_SLACK: ClockTime = ClockTime::from_millis(3_000);
/// Pause after a query without an answer.
const QUERY_RETRY_DELAY: ClockTime = ClockTime::from_millis(200);
/// Queries without an answer, one after the other, for which the time limit doubles and the number of workers halves.
const MAX_BACKOFF: u32 = 4;

/// Answer of the policy service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepAdvice {
    /// Workers that may run the step, with their permits.
    pub permitted: Vec<(WorkerId, Arc<str>)>,
    /// Validity of the permits.
    pub valid_for: ClockTime,
}

/// Permit for the runs of a step on a worker.
#[derive(Clone, Debug)]
struct StepPermit {
    ticket: Arc<str>,
    valid_until: ClockTime,
    /// Time until which runs may be placed with it.
    place_until: ClockTime,
}

/// Cached answer of the policy service for a worker.
#[derive(Clone, Debug)]
enum PolicyVerdict {
    /// The worker may run the step, while the permit is valid or with a new one.
    Permit(StepPermit),
    /// The worker may not run the step; this is final.
    Denied,
}

/// What is known of a step.
#[derive(Debug, Default)]
struct StepVerdicts {
    workers: BTreeMap<WorkerId, PolicyVerdict>,
    /// Time of the last query.
    queried_at: ClockTime,
}

/// Query that a step has use for.
#[derive(Debug)]
pub(super) struct PermitWish {
    pub(super) step: StepKey,
    /// Workers that it asks about, in the order of its preference.
    pub(super) workers: SmallVec<[WorkerId; 8]>,
    /// True if permits for all of them are needed at the same time.
    pub(super) needs_all: bool,
    pub(super) policy: Option<AdvicePolicy>,
}

/// A query in flight.
#[derive(Debug)]
struct PolicyQuery {
    step: StepKey,
    workers: Vec<WorkerId>,
    asked_at: ClockTime,
    /// Time that the service needs for it, if that is known.
    expected: Option<ClockTime>,
}

/// Cache of answers from the policy service.
#[derive(Debug, Default)]
pub(super) struct PermitCache {
    steps: BTreeMap<StepKey, StepVerdicts>,
    wishes: Vec<PermitWish>,
    /// The service accepts one query at a time from each member.
    in_flight: Option<PolicyQuery>,
    retry_at: ClockTime,
    /// Queries without an answer since the last one.
    failures: u32,
}

impl PolicyVerdict {
    fn permit(&self) -> Option<&StepPermit> {
        match self {
            Self::Permit(permit) => Some(permit),
            Self::Denied => None,
        }
    }
}

impl PermitCache {
    fn verdict(&self, step: StepKey, worker: &WorkerId) -> Option<&PolicyVerdict> {
        self.steps.get(&step)?.workers.get(worker)
    }

    /// Returns whether a run of the step may be placed on the worker now. While the service does not answer, that
    /// takes a valid permit, so that no run waits for one in a place that others could use.
    pub(super) fn allows(&self, step: StepKey, worker: &WorkerId, now: ClockTime) -> bool {
        let permit = self.verdict(step, worker).and_then(PolicyVerdict::permit);
        permit.is_some_and(|permit| self.failures == 0 || now < permit.place_until)
    }

    /// Returns whether nothing is known of the worker for a step.
    pub(super) fn is_unknown(&self, step: StepKey, worker: &WorkerId) -> bool {
        self.verdict(step, worker).is_none()
    }

    /// Returns whether the worker may not run the step.
    fn denies(&self, step: StepKey, worker: &WorkerId) -> bool {
        matches!(self.verdict(step, worker), Some(PolicyVerdict::Denied))
    }

    /// Iterates over the workers on which a run of the step may be placed now, without waiting for a permit.
    pub(super) fn permitted(
        &self,
        step: StepKey,
        now: ClockTime,
    ) -> impl Iterator<Item = &WorkerId> {
        let verdicts = self.steps.get(&step).into_iter();
        let verdicts = verdicts.flat_map(|known| &known.workers);
        let is_valid = move |verdict: &PolicyVerdict| {
            let permit = verdict.permit();
            permit.is_some_and(|permit| now < permit.place_until)
        };
        let valid = verdicts.filter(move |(_, verdict)| is_valid(verdict));
        valid.map(|(worker, _)| worker)
    }

    /// Iterates over the workers on which a run of the step may be placed now and wait for a permit.
    pub(super) fn renewable(
        &self,
        step: StepKey,
        now: ClockTime,
    ) -> impl Iterator<Item = &WorkerId> {
        let verdicts = self.steps.get(&step).into_iter();
        let workers = verdicts.flat_map(|known| known.workers.keys());
        workers.filter(move |worker| self.allows(step, worker, now))
    }

    /// Returns the valid permit of a worker for a step.
    pub(super) fn find(
        &self,
        step: StepKey,
        worker: &WorkerId,
        now: ClockTime,
    ) -> Option<Arc<str>> {
        let permit = self.verdict(step, worker)?.permit()?;
        (now < permit.valid_until).then(|| permit.ticket.clone())
    }

    /// Records that a step has use for permits; the first wish of each step counts.
    pub(super) fn wish(&mut self, wish: PermitWish) {
        if !wish.workers.is_empty() && self.wishes.iter().all(|other| other.step != wish.step) {
            self.wishes.push(wish);
        }
    }

    /// Returns whether wishes can lead to a query in this step.
    pub(super) fn may_query(&self, now: ClockTime) -> bool {
        self.in_flight.is_none() && now >= self.retry_at
    }

    /// Builds the query of the step that has waited longest for its turn.
    fn query(&mut self, now: ClockTime) -> Option<Effect> {
        let mut wishes = std::mem::take(&mut self.wishes);
        if !self.may_query(now) {
            return None;
        }
        wishes.sort_by_key(|wish| self.steps.get(&wish.step).map(|known| known.queried_at));
        let wish = wishes.into_iter().next()?;
        let step = wish.step;
        let count = if wish.needs_all {
            MAX_NAMED_WORKERS
        } else {
            self.workers_at_once(wish.policy)
        };
        let workers: Vec<WorkerId> = wish.workers.into_iter().take(count).collect();
        let expected = wish.policy.map(|policy| policy.expected(workers.len()));
        let slack = QUERY_SLACK.as_millis() << self.failures.min(MAX_BACKOFF);
        let limit = expected.unwrap_or_default() + ClockTime::from_millis(slack);
        self.steps.entry(step).or_default().queried_at = now;
        self.in_flight = Some(PolicyQuery {
            step,
            workers: workers.clone(),
            asked_at: now,
            expected,
        });
        Some(Effect::Advise {
            step,
            workers,
            limit,
        })
    }

    /// Number of workers that one query names, so that its answer comes in good time.
    fn workers_at_once(&self, policy: Option<AdvicePolicy>) -> usize {
        let fitting = policy.map_or(MAX_QUERY_WORKERS, |policy| {
            // Where the base takes most of the time, fewer workers would not be answered for much earlier.
            let span = policy.base.max(QUERY_TARGET - policy.base);
            let count = span.as_millis().checked_div(policy.per_worker.as_millis());
            count.map_or(MAX_QUERY_WORKERS, |count| {
                count.min(MAX_QUERY_WORKERS as u64) as usize
            })
        });
        (fitting >> self.failures.min(MAX_BACKOFF)).max(1)
    }

    /// Records a query without an answer.
    fn record_failure(&mut self, now: ClockTime) {
        let pause = QUERY_RETRY_DELAY.as_millis() << self.failures.min(MAX_BACKOFF);
        self.retry_at = now + ClockTime::from_millis(pause);
        self.failures = self.failures.saturating_add(1);
    }

    fn apply_answer(&mut self, answer: Option<StepAdvice>, now: ClockTime) {
        let Some(query) = self.in_flight.take() else {
            return;
        };
        let Some(advice) = answer else {
            self.record_failure(now);
            return;
        };
        self.failures = 0;
        let StepAdvice {
            mut permitted,
            valid_for,
        } = advice;
        let workers = &mut self.steps.entry(query.step).or_default().workers;
        permitted.retain(|(worker, _)| query.workers.contains(worker));
        let denied = query.workers.into_iter();
        workers.extend(denied.map(|worker| (worker, PolicyVerdict::Denied)));
        // Permits are granted at the end of the call. How long the answer was on its way is not known.
        let granted_at = query.expected.map(|span| query.asked_at + span);
        let granted_at = granted_at.unwrap_or(now).min(now);
        let part = |divisor: u64| ClockTime::from_millis(valid_for.as_millis() / divisor);
        let valid_until = (granted_at + valid_for).max(now + part(LATE_DIVISOR));
        let place_until = valid_until - MIN_PERMIT_REMAINING.min(part(REMAINING_DIVISOR));
        workers.extend(permitted.into_iter().map(|(worker, ticket)| {
            let permit = StepPermit {
                ticket,
                valid_until,
                place_until,
            };
            (worker, PolicyVerdict::Permit(permit))
        }));
    }

    /// Drops the permits of a worker that has restarted: each is for one process. A permit that is on its way may
    /// be for the earlier one. What is denied stays so.
    pub(super) fn drop_process(&mut self, worker: &WorkerId) {
        for known in self.steps.values_mut() {
            if matches!(known.workers.get(worker), Some(PolicyVerdict::Permit(_))) {
                known.workers.remove(worker);
            }
        }
        if let Some(query) = &mut self.in_flight {
            query.workers.retain(|queried| queried != worker);
        }
    }

    /// Ends the validity of a permit that the worker rejected.
    pub(super) fn revoke(&mut self, step: StepKey, worker: &WorkerId) {
        let known = self.steps.get_mut(&step);
        let verdict = known.and_then(|known| known.workers.get_mut(worker));
        if let Some(PolicyVerdict::Permit(permit)) = verdict {
            (permit.valid_until, permit.place_until) = (ClockTime::ZERO, ClockTime::ZERO);
        }
    }
}

impl Scheduler {
    /// Handles the answer of the policy service; `None` if the query failed.
    pub fn advice_received(&mut self, answer: Option<StepAdvice>, now: ClockTime) {
        self.now = now;
        self.permits.apply_answer(answer, now);
        let jobs = &self.jobs;
        let steps = &mut self.permits.steps;
        steps.retain(|step, _| {
            let job = jobs.get(&step.job);
            job.is_some_and(|job| step.occurrence >= job.occurrences.count_done())
        });
    }

    /// Queries the policy service if a step has use for it.
    pub(super) fn query_permits(&mut self) {
        let query = self.permits.query(self.now);
        self.effects.extend(query);
    }

    /// Latency of the policy service for a step, if the catalogue tells it.
    pub(super) fn advice_policy(&self, step: StepKey) -> Option<AdvicePolicy> {
        let job = self.jobs.get(&step.job)?;
        self.catalogue.work(&job.spec.work)?.advice
    }

    /// Returns the start orders among those that are ready whose permits have ended, with all others of their gangs, and
    /// asks for new permits. A start on a worker that may not run the step is withdrawn.
    pub(super) fn starts_without_permit(
        &mut self,
        ready: &[(TaskKey, u32)],
    ) -> BTreeSet<(TaskKey, u32)> {
        let mut waiting = BTreeSet::new();
        let mut advised: BTreeMap<StepKey, Vec<(TaskKey, u32, WorkerId)>> = BTreeMap::new();
        for (task, run) in ready {
            let Some(job) = self.jobs.get(&task.job).filter(|job| job.terms.advised) else {
                continue;
            };
            if let Some(AnyTask::Assigned(assigned)) = job.task(task)
                && assigned.run == *run
            {
                let start = (*task, *run, assigned.phase.target.worker.clone());
                advised.entry((*task).into()).or_default().push(start);
            }
        }
        for (step, mut starts) in advised {
            let is_denied =
                |(_, _, worker): &mut (TaskKey, u32, WorkerId)| self.permits.denies(step, worker);
            let denied: SmallVec<[_; 4]> = starts.extract_if(.., is_denied).collect();
            for (task, run, worker) in denied {
                self.withdraw_start(&worker, task, run);
            }
            let lacks_permit = |(_, _, worker): &(TaskKey, u32, WorkerId)| {
                self.permits.find(step, worker, self.now).is_none()
            };
            let needs_all = self.is_gang(step);
            if !needs_all {
                starts.retain(lacks_permit);
            } else if !starts.iter().any(lacks_permit) {
                continue;
            }
            let mut workers: SmallVec<[WorkerId; 8]> = SmallVec::new();
            for (task, run, worker) in starts {
                waiting.insert((task, run));
                if !workers.contains(&worker) {
                    workers.push(worker);
                }
            }
            self.permits.wish(PermitWish {
                step,
                workers,
                needs_all,
                policy: self.advice_policy(step),
            });
        }
        waiting
    }

    fn is_gang(&self, step: StepKey) -> bool {
        let job = self.jobs.get(&step.job);
        job.is_some_and(|job| job.step(&step.task(0)).gang)
    }
}
