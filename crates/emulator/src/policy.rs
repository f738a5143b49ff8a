//! Policy service: which workers may run a step, after a time that grows with the number of workers named.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use jacinthhoist_core::{
    ClockTime, WorkerId,
    job::{AdvicePolicy, StepAdvice, StepKey, TaskKey},
};
use serde::Deserialize;
use tokio::{sync::Mutex, time::sleep};

/// Separates the parts of a ticket.
const SEPARATOR: char = '|';

/// Figures of the policy service.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioPolicy {
    /// Base duration of a call, in milliseconds.
    pub decide_ms: u64,
    /// Additional duration for each worker named, in milliseconds.
    pub each_ms: u64,
    /// Validity of a ticket, in milliseconds.
    pub valid_ms: u64,
    /// Number of workers of which one is permitted for a step.
    pub one_in: u64,
}

impl From<ScenarioPolicy> for AdvicePolicy {
    fn from(policy: ScenarioPolicy) -> Self {
        Self {
            base: ClockTime::from_millis(policy.decide_ms),
            per_worker: ClockTime::from_millis(policy.each_ms),
            valid: ClockTime::from_millis(policy.valid_ms),
        }
    }
}

impl ScenarioPolicy {
    /// Returns whether a worker may run a step, which does not change.
    fn permits(&self, step: StepKey, worker: &WorkerId) -> bool {
        let one_in = self.one_in.max(1);
        let mut hasher = DefaultHasher::new();
        step.hash(&mut hasher);
        // Workers are numbered one after the other, so that each step is permitted on some of them.
        let digits: String = worker
            .as_str()
            .chars()
            .filter(char::is_ascii_digit)
            .collect();
        let number: u64 = digits.parse().unwrap_or_default();
        number % one_in == hasher.finish() % one_in
    }

    /// Returns whether a ticket is one for a task on a worker, and still valid.
    pub(crate) fn accepts(
        &self,
        ticket: Option<&str>,
        task: TaskKey,
        worker: &WorkerId,
        now: ClockTime,
    ) -> bool {
        let parts = ticket.and_then(|ticket| ticket.rsplit_once(SEPARATOR));
        parts.is_some_and(|(subject, until)| {
            let is_valid = until
                .parse()
                .is_ok_and(|until: u64| now.as_millis() < until);
            is_valid && subject == format!("{}{SEPARATOR}{worker}", StepKey::from(task))
        })
    }
}

/// Policy service as one member reaches it: the calls of a member are served in turn.
#[derive(Debug, Default)]
pub(crate) struct PolicyTurn(Mutex<()>);

impl PolicyTurn {
    /// Answers a call at the end of its time; `now` tells the time.
    pub(crate) async fn advise(
        &self,
        policy: ScenarioPolicy,
        step: StepKey,
        workers: &[WorkerId],
        now: impl Fn() -> ClockTime,
    ) -> StepAdvice {
        let _turn = self.0.lock().await;
        let span = AdvicePolicy::from(policy).expected(workers.len());
        sleep(Duration::from_millis(span.as_millis())).await;
        let until = now().as_millis() + policy.valid_ms;
        let permitted = workers.iter().filter(|worker| policy.permits(step, worker));
        let permitted = permitted.map(|worker| {
            let ticket = format!("{step}{SEPARATOR}{worker}{SEPARATOR}{until}");
            (worker.clone(), Arc::from(ticket))
        });
        StepAdvice {
            permitted: permitted.collect(),
            valid_for: ClockTime::from_millis(policy.valid_ms),
        }
    }
}
