//! Runs that belong to no task: they take their place on the worker until they are known to be gone.
//!
//! A run becomes a stray when a copy of its task may start while its worker is silent, when a copy
//! has completed the task, or when an earlier owner started it and no record names it any more.

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    job::{
        charge::{AnyCharge, RunCost},
        spec::TaskKey,
        stop::StopReason,
        task::{AnyTask, StartOrderState},
        worker::{ActiveRun, Worker},
    },
    name::WorkerId,
};

use super::{Scheduler, SchedulerDecision};

impl Scheduler {
    /// Returns a reported run to its task if that has not been started again; returns true if so.
    /// `is_first` is true for the first report to this owner, which may name runs of earlier owners.
    pub(super) fn adopt_run(&mut self, id: &WorkerId, row: &ActiveRun, is_first: bool) -> bool {
        let now = self.now;
        let (key, run) = (row.task, row.run);
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        let was_given_up = match worker.charges.get(&(key, run)) {
            Some(AnyCharge::Stray(stray)) => !stray.is_stopping(),
            Some(AnyCharge::Held(_)) => false,
            // The run may have ended since, if an earlier report has arrived late.
            None => is_first,
        };
        let Some(job) = self.jobs.get_mut(&key.job).filter(|_| was_given_up) else {
            return false;
        };
        // A report may name a task that the job does not have.
        let Some(AnyTask::Waiting(task)) = job.task(&key) else {
            return false;
        };
        let is_wanted = job.life.goal().is_none() && !job.is_exhausted(&key);
        // The members of a gang start again together.
        let is_alone = !job.step(&key).gang;
        if !is_wanted || !is_alone || task.run != run || task.failed_runs.contains(run) {
            return false;
        }
        let begun_at = worker.adopt_run(key, run, RunCost::of(job.step(&key), job.tenant), now);
        let resumed = task.clone().resume(id.clone(), begun_at, now);
        if let Some(slot) = job.task_mut(&key) {
            *slot = AnyTask::Running(resumed);
        }
        self.outbox.mark_changed(key.job);
        self.log_decision(SchedulerDecision::RunAdopted {
            task: key,
            run,
            worker: id.clone(),
        });
        true
    }

    /// Charges a reported run that belongs to no task.
    pub(super) fn charge_stray(&mut self, id: &WorkerId, row: &ActiveRun) {
        let now = self.now;
        let (key, run) = (row.task, row.run);
        let job = self.jobs.get(&key.job);
        let job = job.filter(|job| job.task(&key).is_some());
        let cost = job.map(|job| RunCost::of(job.step(&key), job.tenant));
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match worker.charges.get(&(key, run)) {
            Some(AnyCharge::Stray(_)) => {
                worker.begin_run(key, run, now);
                return;
            }
            Some(AnyCharge::Held(_)) => {
                worker.give_up_run(key, run);
                worker.begin_run(key, run, now);
            }
            None => worker.charge_stray(key, run, cost, now),
        }
        self.log_decision(SchedulerDecision::RunStray {
            task: key,
            run,
            worker: id.clone(),
        });
    }

    /// Releases a stray run that a report does not name, once that shows that the run is gone.
    pub(super) fn resolve_stray(
        &mut self,
        id: &WorkerId,
        key: TaskKey,
        run: u32,
        asked_at: ClockTime,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match worker.charges.get(&(key, run)) {
            Some(AnyCharge::Held(charge)) if !charge.has_begun_before(asked_at) => {
                worker.give_up_run(key, run);
            }
            Some(AnyCharge::Stray(stray)) if !stray.is_gone(asked_at) => {
                // The report was requested too early to decide.
                worker.awaits_report |= stray.is_stop_acked();
            }
            Some(_) => self.discharge_run(id, key, run),
            None => {}
        }
    }

    /// Releases a stray run whose start order was refused.
    pub(super) fn drop_stray(&mut self, id: &WorkerId, key: TaskKey, run: u32) {
        let worker = self.workers.get_mut(id);
        if worker.is_some_and(|worker| worker.stray_mut(key, run).is_some()) {
            self.discharge_run(id, key, run);
        }
    }

    /// Orders the stray runs on workers that answer to stop.
    pub(super) fn stop_strays(&mut self) {
        let has_strays = |worker: &&Worker| {
            worker.silent_since.is_none()
                && worker.seen_at.is_some()
                && worker.charges.values().any(AnyCharge::is_stray)
        };
        let workers = self.workers.values().filter(has_strays);
        let ids: SmallVec<[WorkerId; 4]> = workers.map(|worker| worker.id.clone()).collect();
        for id in ids {
            self.stop_strays_of(&id);
        }
    }

    /// Orders the stray runs on a worker to stop, where no order was sent of late.
    pub(super) fn stop_strays_of(&mut self, id: &WorkerId) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let mut stops: SmallVec<[(TaskKey, u32); 4]> = SmallVec::new();
        for (run, charge) in &mut worker.charges {
            if let AnyCharge::Stray(stray) = charge
                && stray.order_stop(now)
            {
                stops.push(*run);
            }
        }
        for (key, run) in stops {
            self.send_stop(id, key, run, StopReason::Stray);
        }
    }

    /// Returns whether a start order without an answer may reach the new process of a restarted
    /// worker, which knows of no stop. An order of an earlier owner is void there.
    pub(super) fn may_begin_after_restart(&self, id: &WorkerId, key: TaskKey, run: u32) -> bool {
        let worker = self.workers.get(id);
        let charge = worker.and_then(|worker| worker.charges.get(&(key, run)));
        let is_inherited = matches!(
            self.jobs.get(&key.job).and_then(|job| job.task(&key)),
            Some(AnyTask::Assigned(task)) if task.run == run
                && task.phase.order == StartOrderState::Inherited
        );
        charge.is_some_and(|charge| charge.begun_at().is_none()) && !is_inherited
    }

    /// Stops a run in the new process of a restarted worker.
    pub(super) fn stop_again(&mut self, id: &WorkerId, key: TaskKey, run: u32) {
        let (reason, now) = (StopReason::Restarted, self.now);
        if let Some(slot) = self.assigned_slot(id, key, run) {
            *slot = slot.clone().stopped_again(reason, now);
            self.send_stop(id, key, run, reason);
        } else if let Some(worker) = self.workers.get_mut(id) {
            worker.give_up_run(key, run);
            if let Some(stray) = worker.stray_mut(key, run) {
                stray.forget_stops();
            }
        }
    }
}
