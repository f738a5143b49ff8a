//! Emulated callers that submit jobs, poll their state and cancel some of them.

use std::{sync::Arc, time::Duration};

use jacinthhoist_core::{
    ClockTime, PoolName,
    job::{JobId, JobState, RepeatPlan, StepSpec},
};
use jacinthhoist_scheduler::{CallerAction, CallerReply, CallerRequest, JobBody};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{task::JoinSet, time::sleep};

use crate::{
    demand::JobDemand,
    fleet::EmulatedFleet,
    history::{CallOutcome, FinalAnswer, JobHistory, JobShape},
    model::{objective, task_need},
    payload::TaskPayload,
    scenario::ScenarioLoad,
    tenant::KeyedCall,
};

/// Maximum number of attempts to submit a job.
pub(crate) const MAX_ATTEMPTS: usize = 5;
/// Time for which a caller waits for an answer.
pub(crate) const ANSWER_TIMEOUT: ClockTime = ClockTime::from_millis(3_000);
/// Delay before a caller retries a request that got no answer.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Interval between two polls of a job's state.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time from acceptance to cancellation, for jobs that are to be cancelled.
const CANCEL_DELAY: Duration = Duration::from_millis(400);
/// Longest time for which an arrival generator sleeps; longer gaps are drawn again, so that a
/// change of the rate takes effect.
const MAX_SLEEP_MS: f64 = 200.0;
/// Tasks of a long-running job that may be missing at once.
const MAX_MISSING_TASKS: u16 = 1;

/// Generates the arrivals of one load until the load phase ends.
pub(crate) async fn run_load(
    fleet: Arc<EmulatedFleet>,
    load: ScenarioLoad,
    (load_index, load_count): (u64, u64),
    seed: u64,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut callers = JoinSet::new();
    let started_at = fleet.model.clock.now();
    for _ in 0..load.lasting {
        let caller = JobCaller::random(&fleet, &load, true, &mut rng);
        callers.spawn(caller.run());
    }
    loop {
        let elapsed = fleet.model.clock.now() - started_at;
        if elapsed >= fleet.load_duration() {
            break;
        }
        let rate = load.rate(elapsed, load_index, load_count);
        let gap_ms = -rng.random_range(f64::EPSILON..1.0).ln() * 1_000.0 / rate.max(0.001);
        sleep(Duration::from_millis(gap_ms.min(MAX_SLEEP_MS) as u64)).await;
        if gap_ms <= MAX_SLEEP_MS {
            let caller = JobCaller::random(&fleet, &load, false, &mut rng);
            callers.spawn(caller.run());
        }
    }
    while callers.join_next().await.is_some() {}
}

/// Returns whether a member has served a call.
fn has_run(reply: &CallerReply) -> bool {
    matches!(
        reply,
        CallerReply::Accepted
            | CallerReply::Cancelled
            | CallerReply::State(_)
            | CallerReply::Waiting(_)
    )
}

/// Caller and its job.
struct JobCaller {
    fleet: Arc<EmulatedFleet>,
    job: JobId,
    shape: JobShape,
    will_cancel: bool,
    asks_at_once: bool,
    rng: StdRng,
}

impl JobCaller {
    fn random(
        fleet: &Arc<EmulatedFleet>,
        load: &ScenarioLoad,
        long_running: bool,
        rng: &mut StdRng,
    ) -> Self {
        let hopeless = !long_running && rng.random_bool(load.hopeless);
        let mean = (!long_running).then_some(load.task_ms);
        let steps = if long_running { 1 } else { load.steps.max(1) };
        let job = JobId(rng.random());
        let fatal_arrivals = fleet.model.state().fatal_arrivals.clone();
        let mut fatal_tasks = fatal_arrivals.iter().filter(|_| !long_running);
        let demand = if long_running {
            JobDemand::Usual
        } else {
            JobDemand::draw(job, load)
        };
        let (tasks, cpu) = demand.size(load, &fleet.model);
        let payload = TaskPayload {
            mean_ms: mean,
            cpu,
            hopeless,
            fatal_task: fatal_tasks.find_map(|arrivals| arrivals.draw(load, rng)),
        };
        Self {
            fleet: fleet.clone(),
            job,
            shape: JobShape {
                pool: PoolName::new(&load.pool),
                steps: vec![tasks; usize::from(steps)],
                payload: payload.to_string().into(),
                long_running,
                speculative: load.speculative,
                max_per_worker: match demand {
                    JobDemand::Spread => 1,
                    _ => load.max_per_worker,
                },
                cpu,
                demand,
                fatal_task: payload.fatal_task,
                max_failures: fleet.model.max_failures,
                may_miss: usize::from(MAX_MISSING_TASKS),
                objective: objective(load.task_ms * u64::from(steps)),
                repeat: (load.repeats > 0).then(|| {
                    let interval = ClockTime::from_millis(load.interval_ms);
                    RepeatPlan {
                        times: load.repeats,
                        start_at: fleet.model.clock.now() + interval,
                        interval,
                    }
                }),
            },
            will_cancel: !long_running && rng.random_bool(load.cancels),
            asks_at_once: load.asks_at_once,
            rng: StdRng::seed_from_u64(rng.random()),
        }
    }

    async fn run(mut self) {
        let tenant = self.fleet.model.state().tenants.tenant_of(self.job);
        let history = JobHistory {
            shape: self.shape.clone(),
            tenant,
            attempts: Vec::new(),
            first_at: self.fleet.model.clock.now(),
            cancelled: None,
            reported_states: Vec::new(),
            final_answer: FinalAnswer::NotAsked,
        };
        self.fleet
            .model
            .state()
            .history
            .jobs
            .insert(self.job, history);
        if !self.submit().await {
            return;
        }
        if self.asks_at_once {
            let reply = self.call(CallerAction::Show).await;
            self.record_state(reply);
        }
        if self.will_cancel {
            sleep(CANCEL_DELAY).await;
            self.cancel().await;
        }
        while !self.fleet.has_ended() {
            sleep(POLL_INTERVAL).await;
            let reply = self.call(CallerAction::Show).await;
            if self.record_state(reply) {
                return;
            }
        }
    }

    /// Submits the job; returns true once it is accepted.
    async fn submit(&mut self) -> bool {
        for _ in 0..MAX_ATTEMPTS {
            if self.fleet.has_ended() {
                return false;
            }
            let reply = self.call(CallerAction::Submit(Ok(self.body()))).await;
            // A key that was replaced is refused; the next attempt carries the present one.
            let (outcome, delay) = match reply {
                Some(CallerReply::NotPermitted(_)) => (CallOutcome::Refused, RETRY_DELAY),
                Some(CallerReply::Accepted) => (CallOutcome::Accepted, Duration::ZERO),
                Some(
                    CallerReply::Busy { retry_after } | CallerReply::Unavailable { retry_after },
                ) => {
                    let delay = Duration::from_millis(retry_after.as_millis());
                    (CallOutcome::Refused, delay)
                }
                _ => (CallOutcome::Unknown, RETRY_DELAY),
            };
            let now = self.fleet.model.clock.now();
            self.with_history(|job| job.attempts.push((now, outcome)));
            if outcome == CallOutcome::Accepted {
                return true;
            }
            sleep(delay).await;
        }
        false
    }

    async fn cancel(&mut self) {
        let sent_at = self.fleet.model.clock.now();
        self.with_history(|job| job.cancelled = Some((sent_at, None)));
        while !self.fleet.has_ended() {
            let reply = self.call(CallerAction::Cancel).await;
            let now = self.fleet.model.clock.now();
            if matches!(reply, Some(CallerReply::Cancelled | CallerReply::NoSuchJob)) {
                self.with_history(|job| job.cancelled = Some((sent_at, Some(now))));
                return;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Records an answer about the job's state; returns true if the job has ended.
    fn record_state(&mut self, reply: Option<CallerReply>) -> bool {
        let state = match reply {
            Some(CallerReply::State(state)) => Some(state),
            Some(CallerReply::NoSuchJob) => None,
            _ => return false,
        };
        let now = self.fleet.model.clock.now();
        self.with_history(|job| job.reported_states.push((now, state)));
        let ends = [JobState::Completed, JobState::Failed, JobState::Cancelled];
        state.is_some_and(|state| ends.contains(&state))
    }

    fn with_history(&self, change: impl FnOnce(&mut JobHistory)) {
        let mut state = self.fleet.model.state();
        if let Some(job) = state.history.jobs.get_mut(&self.job) {
            change(job);
        }
    }

    /// Calls a random member; `None` if no answer came in time.
    async fn call(&mut self, action: CallerAction) -> Option<CallerReply> {
        let member = self.rng.random_range(0..self.fleet.member_count());
        let sent_at = self.fleet.model.clock.now();
        let drawn = self.fleet.model.state().draw_key(self.job);
        let request = CallerRequest {
            key: drawn.map(|(key, _)| key),
            host: format!("{}.example", self.shape.pool),
            path: format!("/jobs/{}", self.job),
            action,
            timeout: Some(ANSWER_TIMEOUT),
        };
        let reply = self.fleet.call(member, request, ANSWER_TIMEOUT).await;
        if let Some((_, withdrawn_at)) = drawn
            && reply.as_ref().is_some_and(has_run)
        {
            let call = KeyedCall {
                sent_at,
                withdrawn_at,
            };
            self.fleet.model.state().history.keyed_calls.push(call);
        }
        reply
    }

    fn body(&self) -> JobBody {
        let step = |(number, count): (u16, &u16)| {
            let usual = StepSpec {
                count: *count,
                need: task_need(self.shape.cpu),
                after: number.checked_sub(1).into_iter().collect(),
                long_running: self.shape.long_running,
                speculative: self.shape.speculative,
                max_per_worker: self.shape.max_per_worker,
                may_miss: if self.shape.long_running {
                    MAX_MISSING_TASKS
                } else {
                    0
                },
                ..StepSpec::default()
            };
            self.shape.demand.apply(usual)
        };
        JobBody {
            payload: self.shape.payload.clone(),
            steps: (0u16..).zip(&self.shape.steps).map(step).collect(),
            repeat: self.shape.repeat,
        }
    }
}
