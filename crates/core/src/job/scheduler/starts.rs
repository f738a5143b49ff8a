//! Start orders of stored runs. They wait here until their workers have answered earlier ones, so that none
//! outlives its permission in a queue, and each is decided on anew before it is sent.

use crate::{
    clock::ClockTime,
    job::{
        process::RunTarget,
        release::RunOver,
        spec::TaskKey,
        task::{AnyTask, StartOrderState},
        worker::WorkerState,
    },
    name::WorkerId,
};

use super::{Effect, Scheduler, SchedulerDecision};

/// Maximum concurrent orders to one worker; bounds the connections to it.
pub const MAX_CONCURRENT_ORDERS: usize = 4;
/// Maximum number of start orders that one log line names.
const MAX_LOGGED_STARTS: usize = 64;

impl Scheduler {
    /// Sets the time until which start orders may be sent. Those that are ready wait for a later one.
    pub fn set_starts_until(&mut self, until: ClockTime) {
        self.starts_until = until;
    }

    /// Sends the start orders that are ready, as far as their workers have answered earlier ones.
    pub(super) fn send_ready_starts(&mut self) {
        self.log_postponed_starts();
        let ready = std::mem::take(&mut self.ready_starts);
        // First, so that no member of a gang is started without the others.
        for (task, run) in &ready {
            self.withdraw_unsafe(*task, *run);
        }
        if self.now >= self.starts_until {
            self.ready_starts = ready;
            return;
        }
        let without_permit = self.starts_without_permit(&ready);
        let mut runs = Vec::new();
        for (task, run) in ready {
            let has_permit = !without_permit.contains(&(task, run));
            if !(has_permit && self.may_send_start(task, run)) {
                self.ready_starts.push((task, run));
            } else if let Some(worker) = self.send_start(task, run) {
                runs.push((task, run, worker));
            }
        }
        for part in runs.chunks(MAX_LOGGED_STARTS) {
            let runs = part.to_vec();
            self.log_decision(SchedulerDecision::StartsSent { runs });
        }
    }

    fn log_postponed_starts(&mut self) {
        let runs = std::mem::take(&mut self.postponed_starts);
        for part in runs.chunks(MAX_LOGGED_STARTS) {
            let runs = part.to_vec();
            self.log_decision(SchedulerDecision::StartsPostponed { runs });
        }
    }

    /// Withdraws a start order that was not sent if its run is not wanted any more, or if its worker has fallen
    /// silent, where it might be carried out late, is draining or has restarted since the run was placed, or
    /// if the order would extend a lease whose expiry is stored.
    fn withdraw_unsafe(&mut self, task: TaskKey, run: u32) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(AnyTask::Assigned(assigned)) = job.task(&task) else {
            return;
        };
        let target = assigned.phase.target.clone();
        let known = self.workers.get(&target.worker);
        let may_start = known.is_some_and(|known| {
            let is_ready = known.entry.state == WorkerState::Ready;
            is_ready && known.is_extendable() && known.run_target() == target
        });
        if assigned.run == run && !(may_start && job.wants_start(&task)) {
            self.withdraw_start(&target.worker, task, run);
        }
    }

    /// Returns whether the start order of a run may be sent now. The members of a gang wait for each other, so
    /// they are sent together.
    fn may_send_start(&self, task: TaskKey, run: u32) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        let Some(AnyTask::Assigned(assigned)) = job.task(&task) else {
            return true;
        };
        let worker = self.workers.get(&assigned.phase.target.worker);
        assigned.run != run
            || job.step(&task).gang
            || worker.is_none_or(|worker| worker.unanswered_starts < self.limits.concurrent_starts)
    }

    /// Returns a start order that has not left this process to those that wait.
    pub(super) fn requeue_start(&mut self, task: TaskKey, run: u32) {
        let job = self.jobs.get_mut(&task.job);
        if let Some(AnyTask::Assigned(assigned)) = job.and_then(|job| job.task_mut(&task)) {
            assigned.phase.order = StartOrderState::Queued;
            self.ready_starts.push((task, run));
            self.postponed_starts.push((task, run));
        }
    }

    /// Sends a start order unless the run is no longer wanted; returns its worker.
    pub(super) fn send_start(&mut self, task: TaskKey, run: u32) -> Option<WorkerId> {
        let now = self.now;
        let span = self.grantable_lease(now);
        let job = self.jobs.get_mut(&task.job)?;
        let Some(AnyTask::Assigned(assigned)) = job.task_mut(&task) else {
            return None;
        };
        if assigned.run != run {
            return None;
        }
        let RunTarget {
            worker,
            incarnation,
        } = assigned.phase.target.clone();
        if !job.wants_start(&task) {
            self.withdraw_start(&worker, task, run);
            return None;
        }
        let Some(AnyTask::Assigned(assigned)) = job.task_mut(&task) else {
            return None;
        };
        assigned.phase.order = StartOrderState::Pending;
        let checkpoint = assigned.checkpoint.clone();
        let payload = job.spec.payload.clone();
        let mut known = self.workers.get_mut(&worker);
        if let Some(known) = &mut known {
            known.unanswered_starts += 1;
        }
        let start = Effect::Start {
            task,
            run,
            payload,
            checkpoint,
            lease_until: known.and_then(|known| known.process.lease.extend(span, now)),
            incarnation,
            permit: self.permits.find(task.into(), &worker, now),
            worker: worker.clone(),
        };
        self.effects.push(start);
        Some(worker)
    }

    /// Releases a run that was stored but is not to be started, if its start order was never sent.
    pub(super) fn withdraw_start(&mut self, worker: &WorkerId, task: TaskKey, run: u32) {
        let Some(slot) = self.assigned_slot(worker, task, run) else {
            return;
        };
        let Some(over) = RunOver::not_sent(slot) else {
            return;
        };
        *slot = slot.clone().released(over);
        self.discharge_run(worker, task, run);
        self.outbox.mark_changed(task.job);
    }
}
