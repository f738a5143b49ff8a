//! Permits of the policy service: which workers may run a step, and for how long.

use std::{collections::BTreeMap, sync::Arc};

use crate::{clock::ClockTime, job::spec::StepKey, name::WorkerId};

use super::{Effect, Scheduler};

/// Workers of one question: enough for a wide step, few enough to be answered soon.
const ASK_WORKERS: usize = 30;
/// Time left of a permit below which nothing is placed on it, so that it still holds on arrival.
const PERMIT_MARGIN: ClockTime = ClockTime::from_millis(300);
/// Pause after a question that came to nothing.
const ASK_RETRY: ClockTime = ClockTime::from_millis(200);

/// The policy service's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepAdvice {
    /// Workers that may run the step, with their permits.
    pub permitted: Vec<(WorkerId, Arc<str>)>,
    /// How long the permits hold.
    pub valid_for: ClockTime,
}

/// What the policy service has said of a worker.
#[derive(Clone, Debug)]
enum Verdict {
    /// It may run the step until a time.
    Permit(Arc<str>, ClockTime),
    /// It may not; that does not change.
    Barred,
}

/// A question under way.
#[derive(Debug)]
struct OpenQuestion {
    step: StepKey,
    workers: Vec<WorkerId>,
    asked_at: ClockTime,
}

/// What the policy service has said.
#[derive(Debug, Default)]
pub(super) struct PermitBook {
    verdicts: BTreeMap<StepKey, BTreeMap<WorkerId, Verdict>>,
    /// The service takes one question at a time from each member.
    open: Option<OpenQuestion>,
    quiet_until: ClockTime,
}

impl PermitBook {
    /// Whether a run of a step may be placed on a worker now.
    pub(super) fn allows(&self, step: StepKey, worker: &WorkerId, now: ClockTime) -> bool {
        self.find(step, worker, now + PERMIT_MARGIN).is_some()
    }

    /// The permit of a worker for a step.
    pub(super) fn find(
        &self,
        step: StepKey,
        worker: &WorkerId,
        now: ClockTime,
    ) -> Option<Arc<str>> {
        match self.verdicts.get(&step)?.get(worker)? {
            Verdict::Permit(permit, until) if now < *until => Some(permit.clone()),
            Verdict::Permit(..) | Verdict::Barred => None,
        }
    }

    /// Asks about workers that are not barred, unless a question is under way.
    pub(super) fn ask(
        &mut self,
        step: StepKey,
        able: Vec<WorkerId>,
        now: ClockTime,
    ) -> Option<Effect> {
        if self.open.is_some() || now < self.quiet_until {
            return None;
        }
        let known = self.verdicts.get(&step);
        let barred = |worker: &WorkerId| {
            let verdict = known.and_then(|known| known.get(worker));
            matches!(verdict, Some(Verdict::Barred))
        };
        let fresh = able.into_iter().filter(|worker| !barred(worker));
        let workers: Vec<WorkerId> = fresh.take(ASK_WORKERS).collect();
        if workers.is_empty() {
            return None;
        }
        self.open = Some(OpenQuestion {
            step,
            workers: workers.clone(),
            asked_at: now,
        });
        Some(Effect::Advise { step, workers })
    }

    fn answer(&mut self, answer: Option<StepAdvice>, now: ClockTime) {
        let Some(question) = self.open.take() else {
            return;
        };
        let Some(StepAdvice {
            permitted,
            valid_for,
        }) = answer
        else {
            self.quiet_until = now + ASK_RETRY;
            return;
        };
        let verdicts = self.verdicts.entry(question.step).or_default();
        let barred = question.workers.into_iter();
        verdicts.extend(barred.map(|worker| (worker, Verdict::Barred)));
        let until = question.asked_at + valid_for;
        let permitted = permitted.into_iter();
        verdicts.extend(permitted.map(|(worker, permit)| (worker, Verdict::Permit(permit, until))));
    }

    /// A worker did not take its permit.
    pub(super) fn void(&mut self, step: StepKey, worker: &WorkerId) {
        if let Some(verdicts) = self.verdicts.get_mut(&step) {
            verdicts.remove(worker);
        }
    }
}

impl Scheduler {
    /// Takes the policy service's answer; none where it did not answer.
    pub fn advice_received(&mut self, answer: Option<StepAdvice>, now: ClockTime) {
        self.now = now;
        self.permits.answer(answer, now);
        let jobs = &self.jobs;
        let verdicts = &mut self.permits.verdicts;
        verdicts.retain(|step, _| jobs.contains_key(&step.job));
    }
}
