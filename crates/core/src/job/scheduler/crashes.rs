//! Losses of runs together with their workers, what they tell about the tasks, and when a job is given up.

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    job::{
        charge::AnyCharge,
        crash::{CLEARED_SPAN, CrashHistory, Implication, LostWorker, RunLoss, START_SPAN},
        occurrence::StepTasks,
        silence::{SilenceCause, UNREST_SPAN},
        spec::{JobId, StepSpec, TaskKey},
        task::{AnyTask, StartOrderState},
        worker::ActiveRun,
    },
    name::{PoolName, WorkerId},
};

use super::{Job, Scheduler, SchedulerDecision, WorkerChange};

impl Job {
    /// Returns whether a task waits until it is known whether it has crashed its workers, or until its last
    /// trial would show that.
    pub(super) fn is_held(&self, key: &TaskKey, now: ClockTime) -> bool {
        let is_unsettled = now < self.calm_from;
        self.crashes
            .get(key)
            .is_some_and(|history| history.is_held(now) || is_unsettled && history.is_last_trial())
    }

    /// Returns whether a task may have crashed a worker, so that no run of another job may start
    /// beside it.
    pub(super) fn needs_trial(&self, key: &TaskKey) -> bool {
        self.crashes.get(key).is_some_and(CrashHistory::needs_trial)
    }

    /// Time that a run must last before earlier crashes of its task's workers are forgotten. A task that
    /// runs until its job is cancelled is given up for crashes at its starts only, as it loses runs to
    /// all failures of its workers.
    fn cleared_span(&self, key: &TaskKey) -> ClockTime {
        if self.step(key).long_running {
            START_SPAN
        } else {
            CLEARED_SPAN
        }
    }

    /// Iterates over the unfinished tasks that crash their workers, with the number of crashes. A
    /// long-running task is not among them while it has a run, which clears it if it outlives its start.
    pub(super) fn fatal_tasks(&self) -> impl Iterator<Item = (TaskKey, usize)> {
        let may_give_up = |key: &TaskKey, task: &AnyTask| match task {
            AnyTask::Waiting(_) => true,
            other => !other.is_terminal() && !self.step(key).long_running,
        };
        let fatal = self.crashes.iter().filter(move |(key, history)| {
            history.is_fatal() && self.task(key).is_some_and(|task| may_give_up(key, task))
        });
        fatal.map(|(key, history)| (*key, history.crashes()))
    }

    /// Gives up the tasks that crash their workers; returns them with the number of crashes. Where they are
    /// long-running, the others of their steps go on: to stop all of these as well would exceed what the
    /// steps may miss. A task that ends takes its job with it.
    pub(super) fn give_up_fatal_tasks(&mut self) -> SmallVec<[(TaskKey, usize); 2]> {
        let fatal: SmallVec<[(TaskKey, usize); 2]> = self.fatal_tasks().collect();
        for (key, _) in &fatal {
            if self.step(key).long_running
                && let Some(slot) = self.task_mut(key)
            {
                *slot = slot.clone().given_up();
                self.crashes.remove(key);
            }
        }
        fatal
    }

    /// Returns whether the job cannot be done: some task that ends has failed too often and is not
    /// running any more, or crashes its workers, or all tasks of a long-running step are given up.
    pub(super) fn has_failed(&self) -> bool {
        self.fatal_tasks().next().is_some()
            || self.open_steps().any(|(step, tasks)| {
                self.has_step_failed(&self.spec.steps[usize::from(step)], tasks)
            })
    }

    fn has_step_failed(&self, step: &StepSpec, tasks: &StepTasks) -> bool {
        let is_given_up = |task: &AnyTask| matches!(task, AnyTask::Exhausted { .. });
        if step.long_running {
            return tasks.count_fresh() == 0 && tasks.touched().iter().all(is_given_up);
        }
        tasks.touched().iter().any(|task| match task {
            AnyTask::Waiting(task) => task.failed_runs.count() >= self.terms.max_failures,
            other => is_given_up(other),
        })
    }
}

impl Scheduler {
    /// Returns how long a run is known to have lasted on its worker; `None` if its start order has
    /// not been sent.
    pub(super) fn known_age(&self, id: &WorkerId, key: &TaskKey) -> Option<ClockTime> {
        let task = self.jobs.get(&key.job)?.task(key)?;
        let reported_at = self.workers.get(id)?.seen_at.unwrap_or_default();
        match task {
            AnyTask::Assigned(task) if task.phase.order == StartOrderState::Queued => None,
            AnyTask::Running(task) => Some(reported_at - task.phase.since),
            // The run was in progress, or its start was not answered in time.
            AnyTask::Stopping(_) => Some(START_SPAN),
            _ => Some(ClockTime::ZERO),
        }
    }

    /// Records runs whose worker has fallen silent or restarted.
    pub(super) fn record_losses(&mut self, id: &WorkerId, runs: &[(TaskKey, u32)]) {
        let mut lost: SmallVec<[(TaskKey, u32, bool); 8]> = SmallVec::new();
        for (key, run) in runs {
            // The loss of a run that was given up is recorded already.
            if self.assigned_slot(id, *key, *run).is_none() {
                continue;
            }
            let job = self.jobs.get(&key.job);
            let Some((job, age)) = job.zip(self.known_age(id, key)) else {
                continue;
            };
            if age < job.cleared_span(key) {
                lost.push((*key, *run, age < START_SPAN));
            }
        }
        let Some(worker) = self.workers.get(id).filter(|_| !lost.is_empty()) else {
            return;
        };
        let until = worker.process.lease.latest_expiry();
        let address = worker.entry.address.clone();
        let lost_worker = LostWorker {
            id: id.clone(),
            address: address.clone(),
            incarnation: worker.process.incarnation.or(worker.entry.incarnation),
        };
        self.doubted_workers.insert(id.clone(), address);
        let starting = || lost.iter().filter(|(_, _, starting)| *starting);
        let first_job = starting().next().map(|(key, ..)| key.job);
        // A stray run of another job may be the cause as well.
        let beside_stray = worker.charges.iter().any(|((key, _), charge)| {
            charge.is_stray()
                && Some(key.job) != first_job
                && !self.has_outlived_start(worker, key, charge)
        });
        // Nothing is attributed to a job while workers of the pool end for other reasons.
        let calm_from = self.unrest.calm_from(&worker.entry.pool);
        let alone = !beside_stray
            && self.now >= calm_from
            && starting().all(|(key, ..)| Some(key.job) == first_job);
        for (key, run, starting) in &lost {
            let implication = match (starting, alone) {
                (false, _) => Implication::None,
                (true, false) => Implication::Shared,
                (true, true) => Implication::Alone,
            };
            let Some(job) = self.jobs.get_mut(&key.job) else {
                continue;
            };
            let began = matches!(
                job.task(key),
                Some(AnyTask::Running(_) | AnyTask::Stopping(_))
            );
            job.calm_from = job.calm_from.max(calm_from);
            let loss = RunLoss::open(*run, lost_worker.clone(), implication, until);
            let history = job.crashes.entry(*key).or_default();
            history.record(if began { loss.begun() } else { loss });
            let crashes = history.crashes();
            self.outbox.mark_changed(key.job);
            self.log_decision(SchedulerDecision::RunInDoubt {
                task: *key,
                run: *run,
                worker: id.clone(),
                implication,
                crashes,
            });
        }
    }

    /// Returns whether a task may be the cause if a worker falls silent now; `None` if it was silent
    /// already. A new owner finds workers silent at once that have ended one after the other, so only
    /// workers that this owner has reached count.
    pub(super) fn silence_cause(&self, id: &WorkerId) -> Option<SilenceCause> {
        let worker = self.workers.get(id)?;
        if worker.seen_at.is_none() || worker.silent_since.is_some() {
            return None;
        }
        let mut charges = worker.charges.iter();
        // A worker that is being emptied ends by itself.
        let is_settled = worker.is_in_service()
            && charges.all(|((key, _), charge)| {
                charge.begun_at().is_some() && self.has_outlived_start(worker, key, charge)
            });
        let has_strays = worker.charges.values().any(AnyCharge::is_stray);
        let is_free_of_tasks = worker.finite_runs == 0 && !has_strays;
        Some(match (is_settled, is_free_of_tasks) {
            (false, _) => SilenceCause::AnyTask,
            (true, false) => SilenceCause::LateTask,
            (true, true) => SilenceCause::Outside,
        })
    }

    /// Records that a worker has fallen silent, and excuses the tasks of those that fell silent with
    /// it for a reason outside their tasks.
    pub(super) fn record_silence(&mut self, id: &WorkerId, cause: Option<SilenceCause>) {
        let Some(cause) = cause else {
            return;
        };
        let Some(pool) = self.workers.get(id).map(|worker| worker.entry.pool.clone()) else {
            return;
        };
        let in_pool = self
            .workers
            .values()
            .filter(|worker| worker.entry.pool == pool);
        let size = in_pool.filter(|worker| worker.seen_at.is_some()).count();
        self.record_unrest(&pool, id, cause, size);
        let excused = self
            .recent_silences
            .record(id.clone(), cause, size, self.now);
        for (other, losses) in excused {
            self.log_worker_change(&other, WorkerChange::Excused);
            self.update_histories(|history| history.excuse(&other, losses));
        }
    }

    /// Records that one of `workers` workers of a pool has ended. While further ones are likely to end for
    /// outside reasons, nothing is attributed to a job, and the last trials of the pool's tasks wait.
    fn record_unrest(
        &mut self,
        pool: &PoolName,
        id: &WorkerId,
        cause: SilenceCause,
        workers: usize,
    ) {
        let series = self
            .unrest
            .record(pool, id.clone(), cause, workers, self.now);
        if !series.is_empty() {
            self.update_histories(|history| history.share(&series));
        }
        let calm_from = self.unrest.calm_from(pool);
        if self.now >= calm_from {
            return;
        }
        let jobs = self.jobs.values_mut();
        for job in jobs.filter(|job| job.terms.pool == *pool && !job.crashes.is_empty()) {
            job.calm_from = job.calm_from.max(calm_from);
        }
    }

    /// Records that a run is known to have begun, also after it was lost.
    pub(super) fn record_begin(&mut self, key: TaskKey, run: u32) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let history = job.crashes.get_mut(&key);
        if history.is_some_and(|history| history.record_begin(run)) {
            job.mark_changed();
            self.outbox.mark_changed(key.job);
        }
    }

    /// Takes back the loss of a run whose start order is known not to have been carried out.
    pub(super) fn retract_loss(&mut self, key: TaskKey, run: u32) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(history) = job.crashes.get_mut(&key) else {
            return;
        };
        if history.retract(run) {
            if history.is_empty() {
                job.crashes.remove(&key);
            }
            job.mark_changed();
            self.outbox.mark_changed(key.job);
        }
    }

    /// Settles the losses of a worker that answers: it was only silent, or has restarted.
    pub(super) fn settle_losses(&mut self, id: &WorkerId, incarnation: Option<u64>) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let answering = LostWorker {
            id: id.clone(),
            address: worker.entry.address.clone(),
            incarnation,
        };
        self.update_crashes(id, |history| history.settle(&answering));
        self.confirm_dropped(&answering.address);
    }

    /// Confirms the losses of workers that were dropped while in doubt, and at whose address another
    /// worker has answered: an address belongs to one process at a time.
    fn confirm_dropped(&mut self, address: &str) {
        let doubted = self.doubted_workers.iter();
        let replaced = doubted.filter(|(id, doubted_address)| {
            let known = self.workers.get(*id);
            // A worker that is only known from stored records has no address.
            let was_dropped = known.is_none_or(|worker| worker.entry.address.is_empty());
            was_dropped && &***doubted_address == address
        });
        let replaced: SmallVec<[WorkerId; 1]> = replaced.map(|(id, _)| id.clone()).collect();
        for id in replaced {
            self.confirm_losses(&id);
        }
    }

    /// Records that the process of a worker has ended.
    pub(super) fn confirm_losses(&mut self, id: &WorkerId) {
        self.update_crashes(id, |history| history.confirm(id));
    }

    /// Updates the histories of tasks with a run that a worker may have taken with it.
    fn update_crashes(&mut self, id: &WorkerId, update: impl Fn(&mut CrashHistory) -> bool) {
        if self.doubted_workers.remove(id).is_some() {
            self.update_histories(update);
        }
    }

    /// Updates all histories; `update` returns true if it has changed one.
    fn update_histories(&mut self, update: impl Fn(&mut CrashHistory) -> bool) {
        for (job_id, job) in &mut self.jobs {
            let mut changed = false;
            job.crashes.retain(|_, history| {
                changed |= update(history);
                !history.is_empty()
            });
            if changed {
                job.mark_changed();
                self.outbox.mark_changed(*job_id);
            }
        }
    }

    /// Records that a worker has reported a run as in progress.
    pub(super) fn record_survival(&mut self, id: &WorkerId, row: &ActiveRun, asked_at: ClockTime) {
        let key = row.task;
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if job.crashes.is_empty() {
            return;
        }
        let Some(AnyTask::Running(task)) = job.task(&key) else {
            return;
        };
        if (&task.phase.worker, task.run) != (id, row.run) {
            return;
        }
        let (age, run) = (asked_at - task.phase.since, task.run);
        let cleared_span = job.cleared_span(&key);
        let Some(history) = job.crashes.get_mut(&key) else {
            return;
        };
        let was_lost = history.retract(run);
        if history.outlived(age, cleared_span) || was_lost {
            if history.is_empty() {
                job.crashes.remove(&key);
            }
            self.outbox.mark_changed(key.job);
        }
    }

    /// Registers the workers that a restored job has lost runs with.
    pub(super) fn restore_doubts(&mut self, id: JobId) {
        let latest = self.unknown_lease().latest_expiry();
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        // The earlier owner may just have seen workers end.
        job.calm_from = now + UNREST_SPAN;
        for history in job.crashes.values_mut() {
            history.limit_doubts(latest);
        }
        let workers = job.crashes.values();
        let workers = workers.flat_map(CrashHistory::suspected_workers);
        let doubted = workers.map(|worker| (worker.id.clone(), worker.address.clone()));
        self.doubted_workers.extend(doubted);
    }
}
