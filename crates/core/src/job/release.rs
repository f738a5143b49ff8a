//! Evidence on which a task is released from a run, so that it may start again.
//!
//! A [`RunOver`] is made only by the functions of this module, each from the facts it rests on, and a task with a
//! run is released only with one. What was stored of a task by an earlier owner is taken as it is.

use crate::clock::ClockTime;

use super::{
    charge::AnyCharge,
    spec::TaskKey,
    task::{AnyTask, StartOrderState},
    worker::{StartReply, Worker},
};

/// Ground on which a run counts as over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseGround {
    /// Its worker has listed its end.
    Ended,
    /// Its start order has not been sent.
    NotSent,
    /// Its start order was refused and cannot be carried out.
    Refused,
    /// The worker's lease has expired.
    LeaseLapsed,
    /// The worker has restarted.
    WorkerRestarted,
    /// A later worker answers at the worker's address.
    WorkerReplaced,
    /// The worker does not report the run.
    NotThere,
    /// The worker is silent and the task is speculative: a second copy may start while this one
    /// still runs.
    Copied,
}

/// Evidence that a run is not in progress and cannot begin any more, or that a copy may run beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunOver(ReleaseGround);

impl RunOver {
    /// Ground on which the run counts as over.
    pub fn ground(self) -> ReleaseGround {
        self.0
    }

    /// Evidence from the end that the worker has listed.
    pub(super) fn ended() -> Self {
        Self(ReleaseGround::Ended)
    }

    /// Evidence from a start order that has not been sent.
    pub(super) fn not_sent(task: &AnyTask) -> Option<Self> {
        matches!(task, AnyTask::Assigned(task) if task.phase.order == StartOrderState::Queued)
            .then_some(Self(ReleaseGround::NotSent))
    }

    /// Evidence from the reply to a start order. A refusal tells nothing of an order before it that got no
    /// answer, and one with a newer token than this owner's tells only that there is a later owner.
    ///
    /// ```
    /// use jacinthhoist_core::job::{ReleaseGround, RunOver, StartOrderState, StartReply};
    /// let order = StartOrderState::Pending;
    /// let refused = RunOver::refused(StartReply::NoRoom, order).unwrap();
    /// assert_eq!(refused.ground(), ReleaseGround::Refused);
    /// assert_eq!(RunOver::refused(StartReply::Unknown, order), None);
    /// assert_eq!(RunOver::refused(StartReply::Fenced, order), None);
    /// assert_eq!(RunOver::refused(StartReply::NoRoom, StartOrderState::Repeated), None);
    /// ```
    pub fn refused(reply: StartReply, order: StartOrderState) -> Option<Self> {
        let is_refusal = reply.is_refusal() && reply != StartReply::Fenced;
        let is_first = order != StartOrderState::Repeated;
        (is_refusal && is_first).then_some(Self(ReleaseGround::Refused))
    }

    /// Evidence from the lease of a worker that cannot be reached. `longest_lease` is the longest one that
    /// workers accept.
    pub(super) fn lapsed(
        worker: &Worker,
        longest_lease: ClockTime,
        now: ClockTime,
    ) -> Option<Self> {
        let is_unreachable = worker.silent_since.is_some() || worker.seen_at.is_none();
        let has_lapsed = is_unreachable && now > worker.latest_lapse(longest_lease);
        has_lapsed.then_some(Self(ReleaseGround::LeaseLapsed))
    }

    /// Evidence from a report of another process than the last one, requested at `asked_at`, which does not name
    /// the run. If the run is known to have begun only since then, it may be one of that process.
    pub(super) fn restarted(
        worker: &Worker,
        run: (TaskKey, u32),
        reported: Option<u64>,
        asked_at: ClockTime,
    ) -> Option<Self> {
        let begun_at = worker.charges.get(&run).and_then(AnyCharge::begun_at);
        let is_judged = begun_at.is_none_or(|begun_at| asked_at > begun_at);
        let over = Self(ReleaseGround::WorkerRestarted);
        (worker.process.is_other(reported) && is_judged).then_some(over)
    }

    /// Evidence from the answer of another worker, requested at `asked_at`: an address belongs to one process
    /// at a time.
    pub(super) fn replaced(
        worker: &Worker,
        successor: &Worker,
        asked_at: ClockTime,
    ) -> Option<Self> {
        let is_successor =
            worker.id != successor.id && worker.entry.address == successor.entry.address;
        let was_silent = worker.silent_since.is_some_and(|since| since <= asked_at);
        (is_successor && was_silent).then_some(Self(ReleaseGround::WorkerReplaced))
    }

    /// Evidence from the silence of a worker with a run of a speculative task.
    pub(super) fn copied(worker: &Worker, is_speculative: bool) -> Option<Self> {
        (is_speculative && worker.silent_since.is_some()).then_some(Self(ReleaseGround::Copied))
    }
}

/// What follows for a task from a whole report, requested at some time, that does not name its run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AbsentRun {
    /// The order or its reply may be in transit.
    Wait,
    /// The report was requested too early to decide.
    AskAgain,
    /// The run may start late unless it is stopped; its start order may be repeated.
    Unsure,
    /// The run may start late unless it is stopped.
    Stop,
    /// The run is over.
    Over(RunOver),
}

impl AbsentRun {
    /// Concludes from a report that lists all ends and was requested at `asked_at`.
    pub(super) fn of(task: &AnyTask, asked_at: ClockTime) -> Self {
        let over = Self::Over(RunOver(ReleaseGround::NotThere));
        match task {
            AnyTask::Assigned(task) => match task.phase.order {
                StartOrderState::Queued | StartOrderState::Pending | StartOrderState::Repeated => {
                    Self::Wait
                }
                // The worker has seen this owner's token with the request.
                StartOrderState::Inherited => over,
                StartOrderState::Unsure(since) if asked_at >= since => Self::Unsure,
                StartOrderState::Outdated(since) if asked_at >= since => Self::Stop,
                StartOrderState::Unsure(_) | StartOrderState::Outdated(_) => Self::AskAgain,
            },
            AnyTask::Running(task) if asked_at > task.phase.since => over,
            AnyTask::Stopping(task) => match task.phase.acked_at {
                Some(acked_at) if asked_at >= acked_at => over,
                Some(_) => Self::AskAgain,
                None => Self::Wait,
            },
            _ => Self::Wait,
        }
    }
}
