//! Callers who hand jobs in, ask again, and cancel.

use std::{sync::Arc, time::Duration};

use jacinthhoist_core::{
    ClockTime, PoolName,
    job::{JobId, JobState, StepSpec},
};
use jacinthhoist_scheduler::{CallerAction, CallerReply, CallerRequest, JobBody};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{task::JoinSet, time::sleep};

use crate::{
    fleet::EmulatedFleet,
    history::{CallOutcome, JobHistory, JobShape},
    model::{MAX_FAILURES, objective, payload, task_need},
    scenario::DayLoad,
};

/// Attempts of a caller to hand its job in.
const ATTEMPTS: usize = 5;
/// How long a caller waits for an answer.
const PATIENCE: ClockTime = ClockTime::from_millis(3_000);
/// Pause before a caller that heard nothing tries again.
const RETRY: Duration = Duration::from_millis(300);
/// Pause between two questions for a job's state.
const ASK_PAUSE: Duration = Duration::from_millis(500);
/// Time after which a job that is to be cancelled is cancelled.
const CANCEL_AFTER: Duration = Duration::from_millis(400);
/// Longest pause between two arrivals while hardly any are due.
const QUIET_STEP_MS: f64 = 200.0;
/// Tasks of a lasting job that may be away.
const MAY_MISS: u16 = 1;

/// Brings the load of one kind until the day's load ends.
pub(crate) async fn bring_load(
    fleet: Arc<EmulatedFleet>,
    load: DayLoad,
    (turn, turns): (u64, u64),
    seed: u64,
) {
    let mut draws = StdRng::seed_from_u64(seed);
    let mut callers = JoinSet::new();
    let began_at = fleet.world.clock.now();
    for _ in 0..load.lasting {
        let caller = Caller::draw(&fleet, &load, true, &mut draws);
        callers.spawn(caller.run());
    }
    loop {
        let at = fleet.world.clock.now() - began_at;
        if at >= fleet.load_span() {
            break;
        }
        let rate = load.rate(at, turn, turns);
        let gap_ms = -draws.random_range(f64::EPSILON..1.0).ln() * 1_000.0 / rate.max(0.001);
        sleep(Duration::from_millis(gap_ms.min(QUIET_STEP_MS) as u64)).await;
        if gap_ms <= QUIET_STEP_MS {
            let caller = Caller::draw(&fleet, &load, false, &mut draws);
            callers.spawn(caller.run());
        }
    }
    while callers.join_next().await.is_some() {}
}

/// One caller with its job.
struct Caller {
    fleet: Arc<EmulatedFleet>,
    job: JobId,
    shape: JobShape,
    cpu: u64,
    cancels: bool,
    draws: StdRng,
}

impl Caller {
    fn draw(fleet: &Arc<EmulatedFleet>, load: &DayLoad, lasting: bool, draws: &mut StdRng) -> Self {
        let hopeless = !lasting && draws.random_bool(load.hopeless);
        let mean = (!lasting).then_some(load.task_ms);
        let steps = if lasting { 1 } else { load.steps.max(1) };
        Self {
            fleet: fleet.clone(),
            job: JobId(draws.random()),
            shape: JobShape {
                pool: PoolName::new(&load.pool),
                steps: vec![load.tasks.max(1); usize::from(steps)],
                payload: payload(mean, load.cpu, hopeless).into(),
                lasting,
                max_failures: u32::from(MAX_FAILURES),
                may_miss: usize::from(MAY_MISS),
                objective: objective(load.task_ms * u64::from(steps)),
            },
            cpu: load.cpu,
            cancels: !lasting && draws.random_bool(load.cancels),
            draws: StdRng::seed_from_u64(draws.random()),
        }
    }

    async fn run(mut self) {
        let history = JobHistory {
            shape: self.shape.clone(),
            attempts: Vec::new(),
            first_at: self.fleet.world.clock.now(),
            cancelled: None,
            shown: Vec::new(),
        };
        self.fleet
            .world
            .state()
            .history
            .jobs
            .insert(self.job, history);
        if !self.hand_in().await {
            return;
        }
        if self.cancels {
            sleep(CANCEL_AFTER).await;
            self.cancel().await;
        }
        while !self.fleet.is_over() {
            sleep(ASK_PAUSE).await;
            let reply = self.call(CallerAction::Show).await;
            if self.note_shown(reply) {
                return;
            }
        }
    }

    /// Hands the job in; true once it is accepted.
    async fn hand_in(&mut self) -> bool {
        for _ in 0..ATTEMPTS {
            if self.fleet.is_over() {
                return false;
            }
            let reply = self.call(CallerAction::Submit(Ok(self.body()))).await;
            let (outcome, pause) = match reply {
                Some(CallerReply::Accepted) => (CallOutcome::Accepted, Duration::ZERO),
                Some(
                    CallerReply::Busy { retry_after } | CallerReply::Unavailable { retry_after },
                ) => {
                    let pause = Duration::from_millis(retry_after.as_millis());
                    (CallOutcome::Refused, pause)
                }
                _ => (CallOutcome::Unknown, RETRY),
            };
            let now = self.fleet.world.clock.now();
            self.with_history(|job| job.attempts.push((now, outcome)));
            if outcome == CallOutcome::Accepted {
                return true;
            }
            sleep(pause).await;
        }
        false
    }

    async fn cancel(&mut self) {
        let sent_at = self.fleet.world.clock.now();
        self.with_history(|job| job.cancelled = Some((sent_at, None)));
        while !self.fleet.is_over() {
            let reply = self.call(CallerAction::Cancel).await;
            let now = self.fleet.world.clock.now();
            if matches!(reply, Some(CallerReply::Cancelled | CallerReply::NoSuchJob)) {
                self.with_history(|job| job.cancelled = Some((sent_at, Some(now))));
                return;
            }
            sleep(RETRY).await;
        }
    }

    /// Notes an answer about the job's state; true where it has ended.
    fn note_shown(&mut self, reply: Option<CallerReply>) -> bool {
        let shown = match reply {
            Some(CallerReply::State(state)) => Some(state),
            Some(CallerReply::NoSuchJob) => None,
            _ => return false,
        };
        let now = self.fleet.world.clock.now();
        self.with_history(|job| job.shown.push((now, shown)));
        let ends = [JobState::Completed, JobState::Failed, JobState::Cancelled];
        shown.is_some_and(|state| ends.contains(&state))
    }

    fn with_history(&self, change: impl FnOnce(&mut JobHistory)) {
        let mut state = self.fleet.world.state();
        if let Some(job) = state.history.jobs.get_mut(&self.job) {
            change(job);
        }
    }

    /// Calls any member; none where no answer came in time.
    async fn call(&mut self, verb: CallerAction) -> Option<CallerReply> {
        let member = self.draws.random_range(0..self.fleet.size());
        let call = CallerRequest {
            host: format!("{}.example", self.shape.pool),
            path: format!("/jobs/{}", self.job),
            action: verb,
            timeout: Some(PATIENCE),
        };
        self.fleet.call(member, call, PATIENCE).await
    }

    fn body(&self) -> JobBody {
        let step = |(number, count): (u16, &u16)| StepSpec {
            count: *count,
            need: task_need(self.cpu),
            after: number.checked_sub(1).into_iter().collect(),
            long_running: self.shape.lasting,
            may_miss: if self.shape.lasting { MAY_MISS } else { 0 },
            ..StepSpec::default()
        };
        JobBody {
            payload: self.shape.payload.clone(),
            steps: (0u16..).zip(&self.shape.steps).map(step).collect(),
            repeat: None,
        }
    }
}
