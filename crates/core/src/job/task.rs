//! The life cycle of one task as a typestate.
//!
//! `Waiting → Assigned → Running → Stopping`, back to `Waiting` when a run ends short of the goal,
//! and to `Done` or `Exhausted` for good. Each move consumes the task in one phase. A run number rises with
//! each assignment, so a task never has two runs under one number.

use std::sync::Arc;

use crate::{clock::ClockTime, name::WorkerId};

/// It has no run.
#[derive(Clone, Debug)]
pub struct Waiting(());

/// A run is recorded for a worker; whether it has begun there is not known.
#[derive(Clone, Debug)]
pub struct Assigned {
    /// The worker.
    pub worker: WorkerId,
    /// Since when.
    pub since: ClockTime,
    /// What is known of its start order.
    pub order: StartOrder,
}

/// What is known of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOrder {
    /// It waits to be sent, or for its answer.
    Pending,
    /// It was sent and its answer has not come; it may still be carried out.
    Unsure(ClockTime),
    /// An earlier owner may have sent it; our fencing token voids it once its worker has seen that.
    Inherited,
}

/// Its run has been seen at work.
#[derive(Clone, Debug)]
pub struct Running {
    /// The worker.
    pub worker: WorkerId,
    /// Since when we know.
    pub since: ClockTime,
    /// Its progress, 0 to 100.
    pub percent: u8,
    /// When the progress last changed.
    pub progressed_at: ClockTime,
}

/// Its run has been told to stop.
#[derive(Clone, Debug)]
pub struct Stopping {
    /// The worker.
    pub worker: WorkerId,
    /// When the last stop order went out.
    pub ordered_at: ClockTime,
    /// When the worker acknowledged a stop order.
    pub acked_at: Option<ClockTime>,
}

/// A task in one phase.
#[derive(Clone, Debug)]
pub struct TaskRun<P> {
    /// The number of the last run; 0 before the first.
    pub run: u32,
    /// Runs that ended as failed.
    pub failures: u8,
    /// The newest saved progress.
    pub saved: Option<Arc<str>>,
    /// What belongs to the phase.
    pub phase: P,
}

impl<P> TaskRun<P> {
    fn with_phase<N>(self, phase: N) -> TaskRun<N> {
        TaskRun {
            run: self.run,
            failures: self.failures,
            saved: self.saved,
            phase,
        }
    }

    /// The run can no longer be at work anywhere: the task waits for its next one.
    pub fn release(self) -> TaskRun<Waiting> {
        self.with_phase(Waiting(()))
    }
}

impl TaskRun<Waiting> {
    /// A task that has never run.
    pub fn new() -> Self {
        Self::restore(0, 0, None)
    }

    /// A waiting task as it was recorded.
    pub fn restore(run: u32, failures: u8, saved: Option<Arc<str>>) -> Self {
        Self {
            run,
            failures,
            saved,
            phase: Waiting(()),
        }
    }

    /// Gives the next run to a worker.
    pub fn assign(self, worker: WorkerId, now: ClockTime) -> TaskRun<Assigned> {
        let (run, saved) = (self.run + 1, self.saved.clone());
        self.assign_gang(worker, run, saved, now)
    }

    /// Gives it the run that all members of its gang share, with their number and saved progress.
    pub fn assign_gang(
        mut self,
        worker: WorkerId,
        run: u32,
        saved: Option<Arc<str>>,
        now: ClockTime,
    ) -> TaskRun<Assigned> {
        self.run = run;
        self.saved = saved;
        self.place(worker, StartOrder::Pending, now)
    }

    /// Takes over a recorded run of a worker.
    pub fn adopt(self, worker: WorkerId, now: ClockTime) -> TaskRun<Assigned> {
        self.place(worker, StartOrder::Inherited, now)
    }

    fn place(self, worker: WorkerId, order: StartOrder, now: ClockTime) -> TaskRun<Assigned> {
        self.with_phase(Assigned {
            worker,
            since: now,
            order,
        })
    }
}

impl Default for TaskRun<Waiting> {
    fn default() -> Self {
        Self::new()
    }
}

impl TaskRun<Assigned> {
    /// The worker runs it.
    pub fn confirm(self, now: ClockTime) -> TaskRun<Running> {
        let worker = self.phase.worker.clone();
        self.with_phase(Running {
            worker,
            since: now,
            percent: 0,
            progressed_at: now,
        })
    }

    /// Tells it to stop.
    pub fn stop(self, now: ClockTime) -> TaskRun<Stopping> {
        let worker = self.phase.worker.clone();
        self.with_phase(Stopping::ordered(worker, now))
    }
}

impl TaskRun<Running> {
    /// Tells it to stop.
    pub fn stop(self, now: ClockTime) -> TaskRun<Stopping> {
        let worker = self.phase.worker.clone();
        self.with_phase(Stopping::ordered(worker, now))
    }
}

impl Stopping {
    fn ordered(worker: WorkerId, now: ClockTime) -> Self {
        Self {
            worker,
            ordered_at: now,
            acked_at: None,
        }
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// Its work is done.
    Done,
    /// It failed.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its worker's lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The others of its gang did not come.
    Alone,
}

/// A task in any phase.
#[derive(Clone, Debug)]
pub enum AnyTask {
    /// It has no run.
    Waiting(TaskRun<Waiting>),
    /// A run is recorded for a worker.
    Assigned(TaskRun<Assigned>),
    /// Its run is at work.
    Running(TaskRun<Running>),
    /// Its run has been told to stop.
    Stopping(TaskRun<Stopping>),
    /// It is done.
    Done {
        /// The number of its last run.
        run: u32,
    },
    /// It failed as often as it may.
    Exhausted {
        /// The number of its last run.
        run: u32,
        /// How often it failed.
        failures: u8,
    },
}

impl AnyTask {
    /// The worker that may be running it, with the run.
    pub fn placed(&self) -> Option<(&WorkerId, u32)> {
        match self {
            Self::Assigned(task) => Some((&task.phase.worker, task.run)),
            Self::Running(task) => Some((&task.phase.worker, task.run)),
            Self::Stopping(task) => Some((&task.phase.worker, task.run)),
            Self::Waiting(_) | Self::Done { .. } | Self::Exhausted { .. } => None,
        }
    }

    /// The number of the last run.
    pub fn run(&self) -> u32 {
        match self {
            Self::Waiting(task) => task.run,
            Self::Assigned(task) => task.run,
            Self::Running(task) => task.run,
            Self::Stopping(task) => task.run,
            Self::Done { run } | Self::Exhausted { run, .. } => *run,
        }
    }

    /// How often it failed.
    pub fn failures(&self) -> u8 {
        match self {
            Self::Waiting(task) => task.failures,
            Self::Assigned(task) => task.failures,
            Self::Running(task) => task.failures,
            Self::Stopping(task) => task.failures,
            Self::Done { .. } => 0,
            Self::Exhausted { failures, .. } => *failures,
        }
    }

    /// The newest saved progress.
    pub fn saved(&self) -> Option<&Arc<str>> {
        match self {
            Self::Waiting(task) => task.saved.as_ref(),
            Self::Assigned(task) => task.saved.as_ref(),
            Self::Running(task) => task.saved.as_ref(),
            Self::Stopping(task) => task.saved.as_ref(),
            Self::Done { .. } | Self::Exhausted { .. } => None,
        }
    }

    /// Takes over how often its gang has failed.
    pub fn set_failures(&mut self, failures: u8) {
        match self {
            Self::Waiting(task) => task.failures = failures,
            Self::Assigned(task) => task.failures = failures,
            Self::Running(task) => task.failures = failures,
            Self::Stopping(task) => task.failures = failures,
            Self::Done { .. } | Self::Exhausted { .. } => {}
        }
    }

    /// Keeps newer saved progress.
    pub fn save(&mut self, saved: Arc<str>) {
        let slot = match self {
            Self::Waiting(task) => &mut task.saved,
            Self::Assigned(task) => &mut task.saved,
            Self::Running(task) => &mut task.saved,
            Self::Stopping(task) => &mut task.saved,
            Self::Done { .. } | Self::Exhausted { .. } => return,
        };
        *slot = Some(saved);
    }

    /// The task once its run can no longer be at work.
    pub fn released(self) -> Self {
        match self {
            Self::Assigned(task) => Self::Waiting(task.release()),
            Self::Running(task) => Self::Waiting(task.release()),
            Self::Stopping(task) => Self::Waiting(task.release()),
            other => other,
        }
    }

    /// The task once its run has been told to stop.
    pub fn stopped(self, now: ClockTime) -> Self {
        match self {
            Self::Assigned(task) => Self::Stopping(task.stop(now)),
            Self::Running(task) => Self::Stopping(task.stop(now)),
            other => other,
        }
    }

    /// The task once a run of it has ended; `max_failures` is none where it may fail for ever.
    pub fn ended(self, end: TaskEnd, max_failures: Option<u8>) -> Self {
        let (run, failures) = (self.run(), self.failures());
        match end {
            TaskEnd::Done => Self::Done { run },
            TaskEnd::Failed => {
                let failures = failures.saturating_add(1);
                if max_failures.is_some_and(|most| failures >= most) {
                    return Self::Exhausted { run, failures };
                }
                let saved = self.saved().cloned();
                Self::Waiting(TaskRun::restore(run, failures, saved))
            }
            TaskEnd::Stopped | TaskEnd::Lapsed | TaskEnd::Broken | TaskEnd::Alone => {
                self.released()
            }
        }
    }

    /// Whether it will never run again.
    pub fn is_terminal(&self) -> bool {
        matches!(self, Self::Done { .. } | Self::Exhausted { .. })
    }
}
