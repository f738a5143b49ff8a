//! The life cycle of one task as a typestate.
//!
//! `Waiting → Assigned → Running → Stopping`, back to `Waiting` when a run ends without completing
//! the task, and finally to `Done` or `Exhausted`. A run that was ordered to stop before it had begun, and
//! begins all the same, returns to `Running`. Each transition consumes the value of the
//! previous phase. The run number increases with each assignment, so no two runs of a task share a
//! number.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::{clock::ClockTime, name::WorkerId};

use super::{process::RunTarget, release::RunOver, stop::StopReason};

/// Progress of a run that is complete, or in full operation.
pub(super) const FULL_PERCENT: u8 = 100;
/// Longest time that a run takes to stop.
const MAX_STOP_TIME: ClockTime = ClockTime::from_millis(1_000);
/// Failed runs of a task that are remembered by number. A worker lists an end again only until it is
/// acknowledged, so no task fails as often between the two.
const MAX_REMEMBERED_FAILURES: usize = 64;

/// Failed runs of a task. Each run counts once, whichever owner it is reported to and however often.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FailedRuns {
    count: u32,
    /// Numbers of the last failed runs.
    runs: SmallVec<[u32; 2]>,
}

impl FailedRuns {
    /// Restores the failed runs from a record. A record without numbers counts the last run.
    pub(super) fn restore(count: u32, mut runs: SmallVec<[u32; 2]>, last_run: u32) -> Self {
        if runs.is_empty() && count > 0 {
            runs.push(last_run);
        }
        Self { count, runs }
    }

    /// Counts a failed run; returns false if it has been counted before.
    ///
    /// ```
    /// use jacinthhoist_core::job::FailedRuns;
    /// let mut failed_runs = FailedRuns::default();
    /// assert!(failed_runs.record(2) && failed_runs.record(1));
    /// assert!(!failed_runs.record(2));
    /// assert_eq!(failed_runs.count(), 2);
    /// ```
    pub fn record(&mut self, run: u32) -> bool {
        if self.contains(run) {
            return false;
        }
        self.count = self.count.saturating_add(1);
        if self.runs.len() == MAX_REMEMBERED_FAILURES {
            self.runs.remove(0);
        }
        self.runs.push(run);
        true
    }

    /// Returns whether a run has been counted.
    pub fn contains(&self, run: u32) -> bool {
        self.runs.contains(&run)
    }

    /// Number of failed runs.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Numbers of the last failed runs.
    pub(super) fn runs(&self) -> &SmallVec<[u32; 2]> {
        &self.runs
    }
}

/// The task has no run.
#[derive(Clone, Debug)]
pub struct Waiting(());

/// A run is recorded for a worker; it is not known whether it has started there.
#[derive(Clone, Debug)]
pub struct Assigned {
    /// Process on which the run was placed; no other one may get its start order.
    pub target: RunTarget,
    /// Time of the assignment.
    pub since: ClockTime,
    /// Time at which the start order was last repeated; that of the assignment before.
    pub ordered_at: ClockTime,
    /// State of the start order.
    pub order: StartOrderState,
}

/// State of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOrderState {
    /// The order has not been sent: the run is not stored yet, or earlier orders are unanswered.
    Queued,
    /// The order has been sent, and its reply is awaited.
    Pending,
    /// The outcome has been unknown since this time; the order may still be carried out.
    Unsure(ClockTime),
    /// The order has been sent again after one without an answer, which may still be carried out
    /// although this one is refused.
    Repeated,
    /// The worker answered at this time that it has seen this run or a later one.
    Outdated(ClockTime),
    /// An earlier owner may have sent the order. It becomes void once the worker has seen this
    /// owner's fencing token.
    Inherited,
}

/// The run is known to be in progress.
#[derive(Clone, Debug)]
pub struct Running {
    /// Worker of the run.
    pub worker: WorkerId,
    /// Time at which this became known.
    pub since: ClockTime,
    /// Progress, 0 to 100.
    pub percent: u8,
    /// Time of the last change in progress.
    pub progressed_at: ClockTime,
    /// Longest time that a percent has taken. The first change tells nothing, as a run may begin at the
    /// progress of its checkpoint.
    pub slowest_percent: ClockTime,
    /// Time by which a stop order that may have been sent has ended the run; it is reported until then.
    pub settled_at: ClockTime,
}

/// The run has been ordered to stop.
#[derive(Clone, Debug)]
pub struct Stopping {
    /// Worker of the run.
    pub worker: WorkerId,
    /// Reason for the stop.
    pub reason: StopReason,
    /// Time at which the last stop order was sent.
    pub ordered_at: ClockTime,
    /// Time at which the worker acknowledged a stop order.
    pub acked_at: Option<ClockTime>,
}

/// Task in phase `P`.
#[derive(Clone, Debug)]
pub struct TaskRun<P> {
    /// Number of the last run; 0 before the first.
    pub run: u32,
    /// Failed runs.
    pub failed_runs: FailedRuns,
    /// Latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Data of the phase.
    pub phase: P,
}

impl<P> TaskRun<P> {
    fn with_phase<N>(self, phase: N) -> TaskRun<N> {
        TaskRun {
            run: self.run,
            failed_runs: self.failed_runs,
            checkpoint: self.checkpoint,
            phase,
        }
    }

    /// Returns the task to `Waiting` on evidence that its run is over.
    pub fn release(self, _over: RunOver) -> TaskRun<Waiting> {
        self.with_phase(Waiting(()))
    }
}

impl TaskRun<Waiting> {
    /// Creates a task that has never run.
    pub fn new() -> Self {
        Self::restore(0, FailedRuns::default(), None)
    }

    /// Restores a waiting task from its record.
    pub fn restore(run: u32, failed_runs: FailedRuns, checkpoint: Option<Arc<str>>) -> Self {
        Self {
            run,
            failed_runs,
            checkpoint,
            phase: Waiting(()),
        }
    }

    /// Assigns the next run to a process of a worker.
    pub fn assign(self, target: RunTarget, now: ClockTime) -> TaskRun<Assigned> {
        let (run, checkpoint) = (self.run.saturating_add(1), self.checkpoint.clone());
        self.assign_gang(target, run, checkpoint, now)
    }

    /// Assigns a run of the gang, whose members share one run number and checkpoint.
    pub fn assign_gang(
        mut self,
        target: RunTarget,
        run: u32,
        checkpoint: Option<Arc<str>>,
        now: ClockTime,
    ) -> TaskRun<Assigned> {
        self.run = run;
        self.checkpoint = checkpoint;
        self.place(target, StartOrderState::Queued, now)
    }

    /// Returns the last run to the task, which its worker reports as in progress; it is known to have
    /// begun by `begun_at`.
    pub fn resume(self, worker: WorkerId, begun_at: ClockTime, now: ClockTime) -> TaskRun<Running> {
        self.with_phase(Running::resumed(worker, begun_at, now))
    }

    /// Adopts a run that an earlier owner recorded for a worker.
    pub fn adopt(self, worker: WorkerId, now: ClockTime) -> TaskRun<Assigned> {
        // The start order was sent by that owner, if at all.
        let target = RunTarget::new(worker, None);
        self.place(target, StartOrderState::Inherited, now)
    }

    fn place(self, target: RunTarget, order: StartOrderState, now: ClockTime) -> TaskRun<Assigned> {
        self.with_phase(Assigned {
            target,
            since: now,
            ordered_at: now,
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
    /// Records that the worker runs the task.
    pub fn confirm(self, now: ClockTime) -> TaskRun<Running> {
        let worker = self.phase.target.worker.clone();
        let settled_at = match self.phase.order {
            StartOrderState::Inherited => now + MAX_STOP_TIME,
            _ => ClockTime::ZERO,
        };
        self.with_phase(Running {
            worker,
            since: now,
            percent: 0,
            progressed_at: now,
            slowest_percent: ClockTime::ZERO,
            settled_at,
        })
    }

    /// Records that the run has been ordered to stop.
    pub fn stop(self, reason: StopReason, now: ClockTime) -> TaskRun<Stopping> {
        let worker = self.phase.target.worker.clone();
        self.with_phase(Stopping::ordered(worker, reason, now))
    }
}

impl TaskRun<Running> {
    /// Records the progress that the worker reports.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, WorkerId, job::{RunTarget, TaskRun}};
    /// let ms = ClockTime::from_millis;
    /// let target = RunTarget::new(WorkerId::new("i-1"), None);
    /// let assigned = TaskRun::new().assign(target, ms(0));
    /// let mut running = assigned.confirm(ms(100));
    /// for (percent, now) in [(40, 300), (41, 4_300), (43, 11_300)] {
    ///     running.record_progress(percent, ms(now));
    /// }
    /// assert_eq!(running.phase.slowest_percent, ms(4_000));
    /// ```
    pub fn record_progress(&mut self, percent: u8, now: ClockTime) {
        let phase = &mut self.phase;
        if phase.percent == percent {
            return;
        }
        let gained = u64::from(percent.saturating_sub(phase.percent));
        let elapsed = (now - phase.progressed_at).as_millis();
        if let Some(per_percent) = elapsed.checked_div(gained).filter(|_| phase.percent > 0) {
            let per_percent = ClockTime::from_millis(per_percent);
            phase.slowest_percent = phase.slowest_percent.max(per_percent);
        }
        (phase.percent, phase.progressed_at) = (percent, now);
    }

    /// Expected time until the run ends, from its progress so far; `None` before the first progress.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, WorkerId, job::{RunTarget, TaskRun}};
    /// let ms = ClockTime::from_millis;
    /// let target = RunTarget::new(WorkerId::new("i-1"), None);
    /// let assigned = TaskRun::new().assign(target, ms(0));
    /// let mut running = assigned.confirm(ms(100));
    /// assert_eq!(running.expected_remaining(), None);
    /// (running.phase.percent, running.phase.progressed_at) = (25, ms(2_100));
    /// assert_eq!(running.expected_remaining(), Some(ms(6_000)));
    /// ```
    pub fn expected_remaining(&self) -> Option<ClockTime> {
        let phase = &self.phase;
        let elapsed = (phase.progressed_at - phase.since).as_millis();
        let left = u64::from(FULL_PERCENT.saturating_sub(phase.percent));
        let remaining = (elapsed * left).checked_div(u64::from(phase.percent))?;
        Some(ClockTime::from_millis(remaining))
    }

    /// Records that the run has been ordered to stop.
    pub fn stop(self, reason: StopReason, now: ClockTime) -> TaskRun<Stopping> {
        let worker = self.phase.worker.clone();
        self.with_phase(Stopping::ordered(worker, reason, now))
    }
}

impl TaskRun<Stopping> {
    /// Keeps a run that has begun although it was ordered to stop before it could.
    pub fn keep(self, now: ClockTime) -> TaskRun<Running> {
        let worker = self.phase.worker.clone();
        self.with_phase(Running::resumed(worker, now, now))
    }

    /// Records that the run has been ordered to stop in a new process, which knows of no earlier order.
    pub fn stop_again(self, reason: StopReason, now: ClockTime) -> Self {
        let worker = self.phase.worker.clone();
        self.with_phase(Stopping::ordered(worker, reason, now))
    }
}

impl Running {
    /// A run that may have been ordered to stop before.
    fn resumed(worker: WorkerId, begun_at: ClockTime, now: ClockTime) -> Self {
        Self {
            worker,
            since: begun_at,
            percent: 0,
            progressed_at: now,
            slowest_percent: ClockTime::ZERO,
            settled_at: now + MAX_STOP_TIME,
        }
    }
}

impl Stopping {
    fn ordered(worker: WorkerId, reason: StopReason, now: ClockTime) -> Self {
        Self {
            worker,
            reason,
            ordered_at: now,
            acked_at: None,
        }
    }
}

/// Reason for the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// The task completed.
    Done,
    /// The task failed.
    Failed,
    /// The run was ordered to stop.
    Stopped,
    /// The lease of the worker expired.
    Lapsed,
    /// The run of another member of the gang ended.
    Broken,
    /// The other members of the gang did not start.
    Alone,
}

/// Task in any phase.
#[derive(Clone, Debug)]
pub enum AnyTask {
    /// The task has no run.
    Waiting(TaskRun<Waiting>),
    /// A run is recorded for a worker.
    Assigned(TaskRun<Assigned>),
    /// The run is known to be in progress.
    Running(TaskRun<Running>),
    /// The run has been ordered to stop.
    Stopping(TaskRun<Stopping>),
    /// The task is done.
    Done {
        /// Number of the last run.
        run: u32,
    },
    /// The task reached its maximum number of failures, or crashes its workers.
    Exhausted {
        /// Number of the last run.
        run: u32,
        /// Failed runs.
        failed_runs: FailedRuns,
    },
}

impl AnyTask {
    /// Worker that may be running the task, with the run number.
    pub fn placed(&self) -> Option<(&WorkerId, u32)> {
        match self {
            Self::Assigned(task) => Some((&task.phase.target.worker, task.run)),
            Self::Running(task) => Some((&task.phase.worker, task.run)),
            Self::Stopping(task) => Some((&task.phase.worker, task.run)),
            Self::Waiting(_) | Self::Done { .. } | Self::Exhausted { .. } => None,
        }
    }

    /// Number of the last run.
    pub fn run(&self) -> u32 {
        match self {
            Self::Waiting(task) => task.run,
            Self::Assigned(task) => task.run,
            Self::Running(task) => task.run,
            Self::Stopping(task) => task.run,
            Self::Done { run } | Self::Exhausted { run, .. } => *run,
        }
    }

    /// Number of failed runs.
    pub fn failures(&self) -> u32 {
        self.failed_runs().map_or(0, FailedRuns::count)
    }

    /// Failed runs; `None` once the task is done.
    pub fn failed_runs(&self) -> Option<&FailedRuns> {
        match self {
            Self::Waiting(task) => Some(&task.failed_runs),
            Self::Assigned(task) => Some(&task.failed_runs),
            Self::Running(task) => Some(&task.failed_runs),
            Self::Stopping(task) => Some(&task.failed_runs),
            Self::Done { .. } => None,
            Self::Exhausted { failed_runs, .. } => Some(failed_runs),
        }
    }

    /// Returns whether the failure of a run has been counted.
    pub fn has_failed_run(&self, run: u32) -> bool {
        self.failed_runs().is_some_and(|runs| runs.contains(run))
    }

    /// Latest checkpoint.
    pub fn checkpoint(&self) -> Option<&Arc<str>> {
        match self {
            Self::Waiting(task) => task.checkpoint.as_ref(),
            Self::Assigned(task) => task.checkpoint.as_ref(),
            Self::Running(task) => task.checkpoint.as_ref(),
            Self::Stopping(task) => task.checkpoint.as_ref(),
            Self::Done { .. } | Self::Exhausted { .. } => None,
        }
    }

    /// Counts a failed run, which need not be the current one; the phase stays as it is.
    pub fn record_failed_run(&mut self, run: u32) {
        let failed_runs = match self {
            Self::Waiting(task) => &mut task.failed_runs,
            Self::Assigned(task) => &mut task.failed_runs,
            Self::Running(task) => &mut task.failed_runs,
            Self::Stopping(task) => &mut task.failed_runs,
            Self::Done { .. } | Self::Exhausted { .. } => return,
        };
        failed_runs.record(run);
    }

    /// Replaces the latest checkpoint.
    pub fn set_checkpoint(&mut self, checkpoint: Arc<str>) {
        let slot = match self {
            Self::Waiting(task) => &mut task.checkpoint,
            Self::Assigned(task) => &mut task.checkpoint,
            Self::Running(task) => &mut task.checkpoint,
            Self::Stopping(task) => &mut task.checkpoint,
            Self::Done { .. } | Self::Exhausted { .. } => return,
        };
        *slot = Some(checkpoint);
    }

    /// Returns the task to `Waiting` on evidence that its run is over.
    pub fn released(self, over: RunOver) -> Self {
        match self {
            Self::Assigned(task) => Self::Waiting(task.release(over)),
            Self::Running(task) => Self::Waiting(task.release(over)),
            Self::Stopping(task) => Self::Waiting(task.release(over)),
            other => other,
        }
    }

    /// Moves the task to `Stopping` when its run is ordered to stop.
    pub fn stopped(self, reason: StopReason, now: ClockTime) -> Self {
        match self {
            Self::Assigned(task) => Self::Stopping(task.stop(reason, now)),
            Self::Running(task) => Self::Stopping(task.stop(reason, now)),
            other => other,
        }
    }

    /// Moves the task to `Stopping` when its run is ordered to stop, whether or not it was before.
    pub fn stopped_again(self, reason: StopReason, now: ClockTime) -> Self {
        match self {
            Self::Stopping(task) => Self::Stopping(task.stop_again(reason, now)),
            other => other.stopped(reason, now),
        }
    }

    /// Applies the end of a run. `max_failures` is none if the number of failures is not limited.
    pub fn ended(self, end: TaskEnd, max_failures: Option<u32>) -> Self {
        let run = self.run();
        match end {
            TaskEnd::Done => Self::Done { run },
            TaskEnd::Failed => {
                let mut failed_runs = self.failed_runs().cloned().unwrap_or_default();
                failed_runs.record(run);
                if max_failures.is_some_and(|limit| failed_runs.count() >= limit) {
                    return Self::Exhausted { run, failed_runs };
                }
                let mut released = self.released(RunOver::ended());
                released.record_failed_run(run);
                released
            }
            TaskEnd::Stopped | TaskEnd::Lapsed | TaskEnd::Broken | TaskEnd::Alone => {
                self.released(RunOver::ended())
            }
        }
    }

    /// Gives the task up if it has no run.
    pub(super) fn given_up(self) -> Self {
        match self {
            Self::Waiting(task) => Self::Exhausted {
                run: task.run,
                failed_runs: task.failed_runs,
            },
            other => other,
        }
    }

    /// True if the task will not run again.
    pub fn is_terminal(&self) -> bool {
        matches!(self, Self::Done { .. } | Self::Exhausted { .. })
    }
}
