//! Attribution of worker crashes to tasks.
//!
//! A task may crash each worker that starts it. A crash takes all runs of the worker with it, and at
//! most one of their tasks is the cause. The start separates it from the others: a run that outlives
//! its start for a while is not implicated in a later crash. An implicated task is started again in
//! a trial, on a worker where no run of another job is starting, so that a further crash is
//! attributable to its job. Rack failures, restarts and partitions look alike at first; a loss counts
//! only once the process of the worker is known to have ended.

use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{clock::ClockTime, name::WorkerId};

use super::silence::ExcusedLosses;

/// Time that a run must last before it is no longer implicated in a crash of its worker.
pub(super) const START_SPAN: ClockTime = ClockTime::from_millis(300);
/// Time that a run must last before earlier crashes of its task's workers are forgotten.
pub(super) const CLEARED_SPAN: ClockTime = ClockTime::from_millis(10_000);
/// Crashes attributable to a task's job alone after which the task is given up.
const MAX_ATTRIBUTED_CRASHES: usize = 2;
/// Crashes under a task after which it is given up, attributable or not: the platform allows two
/// more starts after the third.
const MAX_CRASHES: usize = 4;
/// Crashes at the start of a task in a row after which it is given up, whatever else has ended then. The
/// platform allows five; a crash may remain unknown.
const MAX_START_CRASHES: usize = 4;
/// Losses after which a task waits until it is known whether the workers have ended.
const MAX_UNRESOLVED_LOSSES: usize = 2;
/// Losses of starting runs in a row after which a task is a suspect, whatever else has ended then.
const MAX_EXCUSED_STARTS: usize = 3;

/// Whether a run is implicated in the loss of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Implication {
    /// The run had outlived its start.
    None,
    /// The run was starting, as were runs of other jobs.
    Shared,
    /// Only runs of this job were starting.
    Alone,
}

/// The worker is silent; its process may have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspected {
    /// Time by which the lease of the worker has expired.
    until: ClockTime,
}

/// The process of the worker has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmed(());

/// A run that was in progress on a worker when it fell silent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LostRun {
    run: u32,
    worker: LostWorker,
    implication: Implication,
    /// True if the worker is known to have started the run.
    began: bool,
    /// Losses of the worker that are excused, as it ended together with others for a reason outside their
    /// tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    excuse: Option<ExcusedLosses>,
}

impl LostRun {
    fn is_start(&self) -> bool {
        self.implication != Implication::None
    }

    /// True if something else than the task has ended the worker. A run that had outlived its start is not
    /// excused by a worker on which nothing was starting.
    fn is_excused(&self) -> bool {
        match self.excuse {
            Some(ExcusedLosses::All) => true,
            Some(ExcusedLosses::Starts) => self.is_start(),
            None => false,
        }
    }
}

/// Loss of a run together with its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLoss<P> {
    lost: LostRun,
    phase: P,
}

/// Worker with which a run was lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostWorker {
    /// Worker id.
    pub id: WorkerId,
    /// Network address, which the next worker on the same VM takes over.
    pub address: Arc<str>,
    /// Start time by the worker's clock, if it is known.
    pub incarnation: Option<u64>,
}

impl RunLoss<Suspected> {
    /// Records that the worker of a run has fallen silent; its lease has expired by `until`.
    pub fn open(run: u32, worker: LostWorker, implication: Implication, until: ClockTime) -> Self {
        Self {
            lost: LostRun {
                run,
                worker,
                implication,
                began: false,
                excuse: None,
            },
            phase: Suspected { until },
        }
    }

    /// Records that the worker is known to have started the run.
    pub fn begun(mut self) -> Self {
        self.lost.began = true;
        self
    }

    /// Records that the process of the worker has ended.
    pub fn confirm(self) -> RunLoss<Confirmed> {
        RunLoss {
            lost: self.lost,
            phase: Confirmed(()),
        }
    }
}

/// Loss of a run in any phase.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum AnyRunLoss {
    Suspected(RunLoss<Suspected>),
    Confirmed(RunLoss<Confirmed>),
}

impl AnyRunLoss {
    fn lost(&self) -> &LostRun {
        match self {
            Self::Suspected(loss) => &loss.lost,
            Self::Confirmed(loss) => &loss.lost,
        }
    }

    fn lost_mut(&mut self) -> &mut LostRun {
        match self {
            Self::Suspected(loss) => &mut loss.lost,
            Self::Confirmed(loss) => &mut loss.lost,
        }
    }

    /// Address of the worker if the crash is attributable to the job of the task. A run that may never
    /// have begun proves nothing: its worker may have ended before the order arrived.
    fn attributable_address(&self) -> Option<&str> {
        let lost = self.lost();
        let attributable = matches!(self, Self::Confirmed(_))
            && lost.began
            && !lost.is_excused()
            && lost.implication == Implication::Alone;
        attributable.then_some(&*lost.worker.address)
    }

    /// Worker that has fallen silent, unless its process is known to have ended.
    fn suspected_worker(&self) -> Option<&LostWorker> {
        match self {
            Self::Suspected(loss) => Some(&loss.lost.worker),
            Self::Confirmed(_) => None,
        }
    }

    /// The lost run, if the process of its worker is known to have ended.
    fn confirmed(&self) -> Option<&LostRun> {
        match self {
            Self::Suspected(_) => None,
            Self::Confirmed(loss) => Some(&loss.lost),
        }
    }

    fn is_unresolved(&self, now: ClockTime) -> bool {
        matches!(self, Self::Suspected(loss) if now <= loss.phase.until)
    }
}

/// Runs of a task that were lost together with their workers.
///
/// ```
/// use jacinthhoist_core::{
///     ClockTime, WorkerId,
///     job::{CrashHistory, Implication, LostWorker, RunLoss},
/// };
/// let until = ClockTime::from_secs(6);
/// let mut history = CrashHistory::default();
/// for (run, name) in [(1, "i-1"), (2, "i-2")] {
///     let id = WorkerId::new(name);
///     let worker = LostWorker { id: id.clone(), address: name.into(), incarnation: Some(1) };
///     history.record(RunLoss::open(run, worker, Implication::Alone, until).begun());
///     assert!(history.needs_trial() && !history.is_fatal());
///     history.confirm(&id);
/// }
/// assert!(history.is_fatal());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashHistory {
    losses: SmallVec<[AnyRunLoss; 2]>,
}

impl CrashHistory {
    /// Records the loss of a run; each run is recorded once.
    pub fn record(&mut self, loss: RunLoss<Suspected>) {
        if self
            .losses
            .iter()
            .all(|known| known.lost().run != loss.lost.run)
        {
            self.losses.push(AnyRunLoss::Suspected(loss));
        }
    }

    /// Records that the process of a worker has ended; returns true if a run was lost with it.
    pub fn confirm(&mut self, id: &WorkerId) -> bool {
        let mut confirmed = false;
        for loss in &mut self.losses {
            if let AnyRunLoss::Suspected(suspected) = loss
                && suspected.lost.worker.id == *id
            {
                *loss = AnyRunLoss::Confirmed(suspected.clone().confirm());
                confirmed = true;
            }
        }
        confirmed
    }

    /// Settles the losses of a worker that answers again: without a restart it was only silent, and
    /// they are dropped. Returns true if there were any.
    pub fn settle(&mut self, answering: &LostWorker) -> bool {
        let count = self.losses.len();
        let is_same = |lost: &LostWorker| {
            (&lost.id, lost.incarnation) == (&answering.id, answering.incarnation)
        };
        self.losses
            .retain(|loss| !loss.suspected_worker().is_some_and(is_same));
        let confirmed = self.confirm(&answering.id);
        confirmed || self.losses.len() < count
    }

    /// Drops the loss of a run that is in progress after all, or never began; returns true if it was
    /// recorded.
    pub fn retract(&mut self, run: u32) -> bool {
        let count = self.losses.len();
        self.losses.retain(|loss| loss.lost().run != run);
        self.losses.len() < count
    }

    /// Records that a worker ended together with others for a reason outside their tasks; returns true
    /// if this changes the history.
    pub fn excuse(&mut self, id: &WorkerId, losses: ExcusedLosses) -> bool {
        let mut changed = false;
        for loss in &mut self.losses {
            let lost = loss.lost_mut();
            if lost.worker.id == *id && lost.excuse != Some(ExcusedLosses::All) {
                changed |= lost.excuse.replace(losses) != Some(losses);
            }
        }
        changed
    }

    /// Records that these workers ended in a series, so that their ends are not attributable to one job;
    /// returns true if this changes the history.
    pub fn share(&mut self, series: &[WorkerId]) -> bool {
        let mut changed = false;
        for lost in self.losses.iter_mut().map(AnyRunLoss::lost_mut) {
            if lost.implication == Implication::Alone && series.contains(&lost.worker.id) {
                lost.implication = Implication::Shared;
                changed = true;
            }
        }
        changed
    }

    /// Limits the time for which the task waits to what a lease that begins now can last: the time
    /// stored by another member is on that member's clock.
    pub(super) fn limit_doubts(&mut self, latest: ClockTime) {
        for loss in &mut self.losses {
            if let AnyRunLoss::Suspected(loss) = loss {
                loss.phase.until = loss.phase.until.min(latest);
            }
        }
    }

    /// Workers that have fallen silent with a run of the task.
    pub(super) fn suspected_workers(&self) -> impl Iterator<Item = &LostWorker> {
        self.losses.iter().filter_map(AnyRunLoss::suspected_worker)
    }

    /// Returns whether a worker at this address was lost with a run of the task.
    pub(super) fn has_lost_worker_at(&self, address: &str) -> bool {
        let mut losses = self.losses.iter();
        losses.any(|loss| &*loss.lost().worker.address == address)
    }

    /// Records that a run has lasted for `age`, where a run of `cleared_span` clears its task; returns
    /// true if the history has changed.
    pub fn outlived(&mut self, age: ClockTime, cleared_span: ClockTime) -> bool {
        if age >= cleared_span {
            let had_losses = !self.losses.is_empty();
            self.losses.clear();
            return had_losses;
        }
        if age < START_SPAN || !self.is_implicated() {
            return false;
        }
        for loss in &mut self.losses {
            loss.lost_mut().implication = Implication::None;
        }
        true
    }

    /// True if no loss is recorded.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty()
    }

    /// Number of crashes that are known to have ended a worker.
    pub fn crashes(&self) -> usize {
        let losses = self.losses.iter();
        losses.filter_map(AnyRunLoss::confirmed).count()
    }

    /// Records that a run is known to have begun; returns true if this changes the history.
    pub fn record_begin(&mut self, run: u32) -> bool {
        let mut losses = self.losses.iter_mut();
        let loss = losses.find(|loss| loss.lost().run == run);
        loss.is_some_and(|loss| !std::mem::replace(&mut loss.lost_mut().began, true))
    }

    /// True if the next run must not start beside runs of other jobs that are starting.
    pub fn needs_trial(&self) -> bool {
        let mut unexcused = self.unexcused();
        unexcused.any(LostRun::is_start) || self.is_suspect()
    }

    /// True if the task waits until it is known whether the workers of its runs have ended.
    pub fn is_held(&self, now: ClockTime) -> bool {
        self.is_suspect() && self.losses.iter().any(|loss| loss.is_unresolved(now))
    }

    /// True if the next run is the last one before the task is given up, so that its loss must not be chance.
    pub fn is_last_trial(&self) -> bool {
        self.unexcused().count() + 1 >= MAX_CRASHES || self.start_losses() + 1 >= MAX_START_CRASHES
    }

    /// True if the task is given up, as it crashes its workers.
    pub fn is_fatal(&self) -> bool {
        // A VM on which workers end again and again is at fault itself.
        let losses = self.losses.iter();
        let addresses: BTreeSet<&str> = losses
            .filter_map(AnyRunLoss::attributable_address)
            .collect();
        let confirmed = || self.losses.iter().filter_map(AnyRunLoss::confirmed);
        let unexcused = confirmed().filter(|lost| !lost.is_excused());
        let starts = confirmed().filter(|lost| lost.is_start());
        addresses.len() >= MAX_ATTRIBUTED_CRASHES
            || unexcused.count() >= MAX_CRASHES
            || starts.count() >= MAX_START_CRASHES
    }

    /// True if the losses of the task are too many to be chance.
    fn is_suspect(&self) -> bool {
        self.unexcused().count() >= MAX_UNRESOLVED_LOSSES
            || self.start_losses() >= MAX_EXCUSED_STARTS
    }

    /// Number of starting runs that were lost.
    fn start_losses(&self) -> usize {
        let losses = self.losses.iter().map(AnyRunLoss::lost);
        losses.filter(|lost| lost.is_start()).count()
    }

    /// Losses that may be the fault of the task.
    fn unexcused(&self) -> impl Iterator<Item = &LostRun> {
        let losses = self.losses.iter().map(AnyRunLoss::lost);
        losses.filter(|lost| !lost.is_excused())
    }

    fn is_implicated(&self) -> bool {
        self.start_losses() > 0
    }
}
