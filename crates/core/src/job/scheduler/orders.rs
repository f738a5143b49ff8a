//! Orders to workers: what their answers mean, and which runs should stop.

use smallvec::{SmallVec, smallvec};

use crate::{
    clock::ClockTime,
    job::{
        spec::TaskKey,
        task::{AnyTask, StartOrder},
        worker::{OrderReply, StartReply, WorkerState},
    },
    name::WorkerId,
};

use super::{Effect, Scheduler, SchedulerDecision};

/// A stop order without an answer is sent again after this time, twice what a stop may take.
const STOP_RETRY: ClockTime = ClockTime::from_millis(800);
/// A run whose progress stands still for this time is stopped; tasks last about a second.
const HANG: ClockTime = ClockTime::from_millis(2_500);
/// Time between two searches for runs that should stop: short against what a cancellation may take.
const SWEEP_PACE: ClockTime = ClockTime::from_millis(100);
/// Progress of a task that is fully at work.
const FULL_PERCENT: u8 = 100;

impl Scheduler {
    /// Whether a worker's next report settles a start without an answer or a stop, so that it should
    /// not wait.
    pub fn needs_report(&self, id: &WorkerId) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| worker.awaits_report && worker.silent_since.is_none())
    }

    /// An order to a worker waits to be settled by its next report.
    pub(super) fn unsettle(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.awaits_report = true;
        }
    }

    /// Takes the answer to a start order.
    pub fn start_replied(
        &mut self,
        id: &WorkerId,
        key: TaskKey,
        run: u32,
        reply: StartReply,
        now: ClockTime,
    ) {
        self.now = now;
        if reply != StartReply::Started {
            self.note(SchedulerDecision::StartRefused {
                task: key,
                run,
                worker: id.clone(),
                reply,
            });
        }
        self.judge_worker(id, key, reply);
        let Some(slot) = self.assigned_slot(id, key, run) else {
            return;
        };
        let AnyTask::Assigned(mut task) = slot.clone() else {
            return;
        };
        match reply {
            StartReply::Started => *slot = AnyTask::Running(task.confirm(now)),
            // The worker has seen this run or a later one: its lists tell which.
            StartReply::Unknown | StartReply::OldRun => {
                task.phase.order = StartOrder::Unsure(now);
                *slot = AnyTask::Assigned(task);
            }
            StartReply::Fenced
            | StartReply::TooLate
            | StartReply::NoRoom
            | StartReply::NoPermit
            | StartReply::Invalid
            | StartReply::Unhealthy
            | StartReply::WrongLife => {
                *slot = AnyTask::Waiting(task.release());
                self.vacate(id, key);
            }
        }
    }

    /// What a worker's answer to a start says of the worker.
    fn judge_worker(&mut self, id: &WorkerId, key: TaskKey, reply: StartReply) {
        let now = self.now;
        if reply == StartReply::Unhealthy {
            self.worker_failed(id, true);
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match reply {
            StartReply::Started => worker.record_answer(),
            StartReply::Unknown | StartReply::OldRun => worker.awaits_report = true,
            StartReply::NoRoom | StartReply::WrongLife => worker.suspend(now),
            StartReply::NoPermit => self.permits.void(key.into(), id),
            StartReply::Unhealthy
            | StartReply::Fenced
            | StartReply::TooLate
            | StartReply::Invalid => {}
        }
    }

    /// Takes the answer to a stop order.
    pub fn stop_replied(
        &mut self,
        id: &WorkerId,
        key: TaskKey,
        run: u32,
        reply: OrderReply,
        now: ClockTime,
    ) {
        self.now = now;
        if reply != OrderReply::Done {
            return;
        }
        if let Some(AnyTask::Stopping(task)) = self.assigned_slot(id, key, run) {
            task.phase.acked_at = Some(now);
            self.unsettle(id);
        }
    }

    /// A worker left a start unanswered and undone: the task should go elsewhere.
    pub(super) fn avoid(&mut self, id: &WorkerId, key: TaskKey) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.failed_on(key, id.clone());
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_unanswered(now);
        }
    }

    /// Tells a run to stop.
    pub(super) fn stop_task(&mut self, id: &WorkerId, key: TaskKey, run: u32) {
        let now = self.now;
        if let Some(slot) = self.assigned_slot(id, key, run) {
            *slot = slot.clone().stopped(now);
        }
        self.send_stop(id, key, run);
    }

    pub(super) fn send_stop(&mut self, id: &WorkerId, task: TaskKey, run: u32) {
        self.effects.push(Effect::Stop {
            worker: id.clone(),
            task,
            run,
        });
    }

    /// Stops what should not run on: runs of jobs that end, runs that stand still, and runs on
    /// workers that leave and can go on elsewhere.
    pub(super) fn stop_stragglers(&mut self) {
        let now = self.now;
        if now < self.swept_at + SWEEP_PACE {
            return;
        }
        self.swept_at = now;
        let mut stops: SmallVec<[(WorkerId, TaskKey, u32); 8]> = smallvec![];
        let mut hung: SmallVec<[WorkerId; 2]> = smallvec![];
        for worker in self.workers.values() {
            for (key, charge) in &worker.tasks {
                let Some(job) = self.jobs.get(&key.job) else {
                    continue;
                };
                let Some(task) = job.task(key) else {
                    continue;
                };
                if task.placed() != Some((&worker.id, charge.run)) {
                    continue;
                }
                let step = job.step(key);
                let moves_on = step.long_running || step.checkpoints;
                let leaves = worker.entry.state == WorkerState::Draining && moves_on;
                let wanted = match task {
                    AnyTask::Stopping(task) => {
                        task.phase.acked_at.is_none() && now > task.phase.ordered_at + STOP_RETRY
                    }
                    AnyTask::Running(task) => {
                        let stuck = task.phase.percent < FULL_PERCENT
                            && worker.silent_since.is_none()
                            && now > task.phase.progressed_at + HANG;
                        if stuck {
                            hung.push(worker.id.clone());
                        }
                        stuck || leaves || job.life.goal().is_some() || job.is_alone(key)
                    }
                    AnyTask::Assigned(task) => {
                        (job.life.goal().is_some() || job.is_alone(key))
                            && task.phase.order != StartOrder::Inherited
                    }
                    _ => false,
                };
                if wanted {
                    stops.push((worker.id.clone(), *key, charge.run));
                }
            }
        }
        for id in hung {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.suspend(now);
            }
        }
        for (id, key, run) in stops {
            if let Some(AnyTask::Stopping(task)) = self.assigned_slot(&id, key, run) {
                task.phase.ordered_at = now;
            }
            self.stop_task(&id, key, run);
        }
    }
}
