//! Permits of the policy service: which workers may run a step, and for how long.

use std::{collections::BTreeMap, sync::Arc};

use crate::{clock::ClockTime, job::spec::StepKey, name::WorkerId};

use super::{Effect, Scheduler};

/// Workers per query: enough for a wide step, few enough for a fast answer.
const MAX_QUERY_WORKERS: usize = 30;
/// Remaining validity that a permit needs for placement, so that it is still valid when the start
/// order arrives.
const MIN_PERMIT_REMAINING: ClockTime = ClockTime::from_millis(300);
/// Pause after a query without an answer.
const QUERY_RETRY_DELAY: ClockTime = ClockTime::from_millis(200);

/// Answer of the policy service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepAdvice {
    /// Workers that may run the step, with their permits.
    pub permitted: Vec<(WorkerId, Arc<str>)>,
    /// Validity of the permits.
    pub valid_for: ClockTime,
}

/// Cached answer of the policy service for a worker.
#[derive(Clone, Debug)]
enum PolicyVerdict {
    /// The worker may run the step until the given time.
    Permit(Arc<str>, ClockTime),
    /// The worker may not run the step; this is final.
    Denied,
}

/// A query in flight.
#[derive(Debug)]
struct PolicyQuery {
    step: StepKey,
    workers: Vec<WorkerId>,
    asked_at: ClockTime,
}

/// Cache of answers from the policy service.
#[derive(Debug, Default)]
pub(super) struct PermitCache {
    verdicts: BTreeMap<StepKey, BTreeMap<WorkerId, PolicyVerdict>>,
    /// The service accepts one query at a time from each member.
    in_flight: Option<PolicyQuery>,
    retry_at: ClockTime,
}

impl PermitCache {
    /// Returns whether a run of the step may be placed on the worker now.
    pub(super) fn allows(&self, step: StepKey, worker: &WorkerId, now: ClockTime) -> bool {
        self.find(step, worker, now + MIN_PERMIT_REMAINING)
            .is_some()
    }

    /// Iterates over the workers on which a run of the step may be placed now.
    pub(super) fn permitted(
        &self,
        step: StepKey,
        now: ClockTime,
    ) -> impl Iterator<Item = &WorkerId> {
        let verdicts = self.verdicts.get(&step).into_iter().flatten();
        let is_valid = move |verdict: &PolicyVerdict| match verdict {
            PolicyVerdict::Permit(_, until) => now + MIN_PERMIT_REMAINING < *until,
            PolicyVerdict::Denied => false,
        };
        let valid = verdicts.filter(move |(_, verdict)| is_valid(verdict));
        valid.map(|(worker, _)| worker)
    }

    /// Returns whether the service may be queried now.
    pub(super) fn may_query(&self, now: ClockTime) -> bool {
        self.in_flight.is_none() && now >= self.retry_at
    }

    /// Returns the valid permit of a worker for a step.
    pub(super) fn find(
        &self,
        step: StepKey,
        worker: &WorkerId,
        now: ClockTime,
    ) -> Option<Arc<str>> {
        match self.verdicts.get(&step)?.get(worker)? {
            PolicyVerdict::Permit(permit, until) if now < *until => Some(permit.clone()),
            PolicyVerdict::Permit(..) | PolicyVerdict::Denied => None,
        }
    }

    /// Builds a query about workers that are not denied, unless one is in flight or the retry pause
    /// lasts.
    pub(super) fn query(
        &mut self,
        step: StepKey,
        candidates: Vec<WorkerId>,
        now: ClockTime,
    ) -> Option<Effect> {
        if !self.may_query(now) {
            return None;
        }
        let known = self.verdicts.get(&step);
        let denied = |worker: &WorkerId| {
            let verdict = known.and_then(|known| known.get(worker));
            matches!(verdict, Some(PolicyVerdict::Denied))
        };
        let fresh = candidates.into_iter().filter(|worker| !denied(worker));
        let workers: Vec<WorkerId> = fresh.take(MAX_QUERY_WORKERS).collect();
        if workers.is_empty() {
            return None;
        }
        self.in_flight = Some(PolicyQuery {
            step,
            workers: workers.clone(),
            asked_at: now,
        });
        Some(Effect::Advise { step, workers })
    }

    fn apply_answer(&mut self, answer: Option<StepAdvice>, now: ClockTime) {
        let Some(query) = self.in_flight.take() else {
            return;
        };
        let Some(StepAdvice {
            mut permitted,
            valid_for,
        }) = answer
        else {
            self.retry_at = now + QUERY_RETRY_DELAY;
            return;
        };
        let verdicts = self.verdicts.entry(query.step).or_default();
        permitted.retain(|(worker, _)| query.workers.contains(worker));
        let denied = query.workers.into_iter();
        verdicts.extend(denied.map(|worker| (worker, PolicyVerdict::Denied)));
        let until = query.asked_at + valid_for;
        let permitted = permitted.into_iter();
        verdicts.extend(
            permitted.map(|(worker, permit)| (worker, PolicyVerdict::Permit(permit, until))),
        );
    }

    /// Drops the permits of a worker that has restarted: each is for one process. A permit that is on its way may
    /// be for the earlier one. What is denied stays so.
    pub(super) fn drop_process(&mut self, worker: &WorkerId) {
        for verdicts in self.verdicts.values_mut() {
            if matches!(verdicts.get(worker), Some(PolicyVerdict::Permit(..))) {
                verdicts.remove(worker);
            }
        }
        if let Some(query) = &mut self.in_flight {
            query.workers.retain(|queried| queried != worker);
        }
    }

    /// Drops a permit that the worker rejected.
    pub(super) fn revoke(&mut self, step: StepKey, worker: &WorkerId) {
        if let Some(verdicts) = self.verdicts.get_mut(&step) {
            verdicts.remove(worker);
        }
    }
}

impl Scheduler {
    /// Handles the answer of the policy service; `None` if the query failed.
    pub fn advice_received(&mut self, answer: Option<StepAdvice>, now: ClockTime) {
        self.now = now;
        self.permits.apply_answer(answer, now);
        let jobs = &self.jobs;
        let verdicts = &mut self.permits.verdicts;
        verdicts.retain(|step, _| jobs.contains_key(&step.job));
    }
}
