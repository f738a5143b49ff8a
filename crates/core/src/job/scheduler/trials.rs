//! Trials: starts of tasks that may have crashed a worker.
//!
//! A worker is reserved for the job of such a task until the task has outlived its start. Runs of
//! other jobs that have outlived theirs continue beside it.

use crate::{
    job::{
        charge::AnyCharge,
        crash::START_SPAN,
        place::{PlaceRequest, PlaceScope, is_eligible},
        spec::{JobId, TaskKey},
        task::AnyTask,
        worker::Worker,
    },
    name::WorkerId,
};

use super::Scheduler;

/// Part of a pool's workers that may be reserved for trials at once, as one over this number, beside empty
/// ones.
const MAX_RESERVED_SHARE: usize = 4;

/// Worker chosen for a trial.
pub(super) enum TrialWorker {
    /// No run of another job is starting there.
    Quiet(WorkerId),
    /// Runs of other jobs have to outlive their starts first.
    Busy(WorkerId),
}

impl Scheduler {
    /// Ends reservations that are not needed any more, and requests the reports that end a trial.
    pub(super) fn review_trials(&mut self) {
        let now = self.now;
        for id in std::mem::take(&mut self.trial_workers) {
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            let Some(job) = worker.reserved_for else {
                continue;
            };
            let is_needed = self.is_trial_running(worker, job) || self.awaits_trial(worker, job);
            let awaits_report = worker.tasks().any(|key| {
                let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
                let Some(AnyTask::Running(task)) = task else {
                    return false;
                };
                let outlived_at = task.phase.since + START_SPAN;
                now >= outlived_at && worker.seen_at.is_none_or(|seen_at| seen_at < outlived_at)
            });
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            if is_needed {
                worker.awaits_report |= awaits_report;
                self.trial_workers.push(id);
            } else {
                worker.reserved_for = None;
            }
        }
    }

    /// Returns whether a run of the job has not outlived its start on the worker.
    fn is_trial_running(&self, worker: &Worker, job: JobId) -> bool {
        let mut own = worker.charges.iter().filter(|((key, _), _)| key.job == job);
        own.any(|((key, _), charge)| !self.has_outlived_start(worker, key, charge))
    }

    /// Returns whether a task of the job waits for its trial on the worker.
    fn awaits_trial(&self, worker: &Worker, id: JobId) -> bool {
        let now = self.now;
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let mut waiting = job.startable(id, now).filter(|key| job.needs_trial(key));
        waiting.any(|task| {
            let step = job.step(&task);
            let request = PlaceRequest {
                task,
                step,
                avoid: None,
                preferred_rack: None,
                span: self.expected_span(job, step),
            };
            is_eligible(&request, worker, &step.charged(), now)
        })
    }

    /// Returns whether a run is known to have outlived its start on the worker.
    pub(super) fn has_outlived_start(
        &self,
        worker: &Worker,
        key: &TaskKey,
        charge: &AnyCharge,
    ) -> bool {
        let seen_at = worker.seen_at.unwrap_or_default();
        let age = match charge {
            AnyCharge::Held(_) => self.known_age(&worker.id, key),
            AnyCharge::Stray(_) => charge.begun_at().map(|begun_at| seen_at - begun_at),
        };
        age.is_some_and(|age| age >= START_SPAN)
    }

    /// Returns whether no run of another job is starting on the worker.
    fn is_quiet_for(&self, worker: &Worker, job: JobId) -> bool {
        let mut others = worker.charges.iter().filter(|((key, _), _)| key.job != job);
        others.all(|((key, _), charge)| self.has_outlived_start(worker, key, charge))
    }

    /// Chooses the worker for a trial: one that is reserved for the job already, or the one on which
    /// the fewest runs are at risk.
    pub(super) fn choose_trial_worker(
        &self,
        request: &PlaceRequest<'_>,
        scope: PlaceScope<'_>,
        is_permitted: impl Fn(&&Worker) -> bool,
    ) -> Option<TrialWorker> {
        let (now, job) = (self.now, request.task.job);
        let need = request.step.charged();
        let in_pool = || scope.ids().filter_map(|id| self.workers.get(id));
        let is_reserved = |worker: &&Worker| worker.reserved_for == Some(job);
        let reserved = in_pool().filter(|worker| worker.reserved_for.is_some());
        // The tasks of a gang start together, however many trials that takes.
        let may_reserve =
            request.step.gang || reserved.count() < (in_pool().count() / MAX_RESERVED_SHARE).max(1);
        // A trial begins at once on an empty worker, so that none idles while suspects wait.
        let eligible = in_pool().filter(|worker| {
            (may_reserve || is_reserved(worker) || worker.is_empty())
                && is_eligible(request, worker, &need, now)
        });
        let history = self.jobs.get(&job)?.crashes.get(&request.task);
        let chosen = eligible.filter(is_permitted).min_by_key(|worker| {
            // A further crash on the same VM would not be attributable to the task.
            let address = &worker.entry.address;
            let avoided = history.is_some_and(|history| history.has_lost_worker_at(address))
                || request.avoid == Some(&worker.id);
            let is_quiet = self.is_quiet_for(worker, job);
            let others = worker.charges.len();
            (avoided, !is_reserved(worker), !is_quiet, others)
        })?;
        let id = chosen.id.clone();
        Some(if self.is_quiet_for(chosen, job) {
            TrialWorker::Quiet(id)
        } else {
            TrialWorker::Busy(id)
        })
    }

    /// Reserves the worker of a trial for a job; returns it if the trial may begin.
    pub(super) fn begin_trial(&mut self, trial: TrialWorker, job: JobId) -> Option<WorkerId> {
        let (TrialWorker::Quiet(id) | TrialWorker::Busy(id)) = &trial;
        if let Some(worker) = self.workers.get_mut(id)
            && worker.reserved_for.replace(job).is_none()
        {
            self.trial_workers.push(id.clone());
        }
        match trial {
            TrialWorker::Quiet(id) => Some(id),
            TrialWorker::Busy(_) => None,
        }
    }
}
