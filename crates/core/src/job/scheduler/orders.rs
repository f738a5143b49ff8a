//! Orders to workers: handling of replies, and selection of runs to stop.

use smallvec::{SmallVec, smallvec};

use crate::{
    clock::ClockTime,
    job::{
        charge::STOP_RETRY_DELAY,
        release::RunOver,
        spec::TaskKey,
        stop::StopReason,
        task::{AnyTask, FULL_PERCENT, Running, StartOrderState, TaskRun},
        worker::{OrderReply, StartReply, Worker, WorkerState},
    },
    name::WorkerId,
};

use super::{Effect, Job, Scheduler, SchedulerDecision};

/// A run that its worker reports without progress for this long is stopped. Tasks last about a second.
const HANG_TIMEOUT: ClockTime = ClockTime::from_millis(2_500);
/// Number of percents that a long run must be behind its expected progress: callers' estimates are
/// inaccurate, and the speed of a task varies with its neighbours.
const MISSING_PERCENTS: u64 = 4;
/// Interval between searches for runs to stop: short compared with the time allowed for a
/// cancellation.
const SWEEP_INTERVAL: ClockTime = ClockTime::from_millis(100);
/// Time after which a start order without an answer is repeated at the earliest: as long as an answer is
/// awaited.
const START_RETRY_DELAY: ClockTime = ClockTime::from_millis(300);
/// Time for which a start order is repeated. The platform counts a long-running task as lost from 6 s after
/// its last run.
const START_PATIENCE: ClockTime = ClockTime::from_millis(4_000);

impl Scheduler {
    /// Returns whether the worker's next report resolves a pending stop or a start with unknown
    /// outcome, so that it should be requested at once.
    pub fn needs_report(&self, id: &WorkerId) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| worker.awaits_report && worker.silent_since.is_none())
    }

    /// Requests a report at once, to resolve a pending order.
    pub(super) fn request_report(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.awaits_report = true;
        }
    }

    /// Handles the reply to a start order.
    pub fn start_replied(
        &mut self,
        id: &WorkerId,
        key: TaskKey,
        run: u32,
        reply: StartReply,
        now: ClockTime,
    ) {
        self.now = now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unanswered_starts = worker.unanswered_starts.saturating_sub(1);
        }
        if reply == StartReply::Expired && self.is_first_start(id, key, run) {
            // The worker may have fallen silent before the reply arrived.
            self.retract_loss(key, run);
            self.requeue_start(key, run);
            return;
        }
        if reply == StartReply::Started {
            if let Some(job) = self.jobs.get_mut(&key.job) {
                job.record_start(&key);
            }
            self.record_begin(key, run);
            if let Some(worker) = self.workers.get_mut(id) {
                worker.begin_run(key, run, now);
            }
        } else {
            self.log_decision(SchedulerDecision::StartRefused {
                task: key,
                run,
                worker: id.clone(),
                reply,
            });
        }
        self.apply_start_reply(id, key, run, reply);
        if reply.is_refusal() {
            // The worker may have fallen silent before the reply arrived.
            self.retract_loss(key, run);
            self.drop_stray(id, key, run);
        }
        let Some(slot) = self.assigned_slot(id, key, run) else {
            return;
        };
        let AnyTask::Assigned(mut task) = slot.clone() else {
            return;
        };
        if reply == StartReply::Started {
            *slot = AnyTask::Running(task.confirm(now));
            return;
        }
        let is_repeat = task.phase.order == StartOrderState::Repeated;
        task.phase.order = match reply {
            StartReply::OldRun => StartOrderState::Outdated(now),
            // A later owner decides about the run.
            StartReply::Unknown | StartReply::Fenced => StartOrderState::Unsure(now),
            StartReply::Expired if is_repeat => StartOrderState::Unsure(now),
            _ if is_repeat => {
                self.stop_unanswered(id, key, run);
                return;
            }
            _ => {
                if let Some(over) = RunOver::refused(reply, task.phase.order) {
                    *slot = AnyTask::Waiting(task.release(over));
                    self.discharge_run(id, key, run);
                }
                return;
            }
        };
        *slot = AnyTask::Assigned(task);
    }

    /// Returns whether a run is assigned to the worker and its start order has been sent once.
    fn is_first_start(&mut self, id: &WorkerId, key: TaskKey, run: u32) -> bool {
        let slot = self.assigned_slot(id, key, run);
        matches!(slot, Some(AnyTask::Assigned(task)) if task.phase.order == StartOrderState::Pending)
    }

    /// Updates the worker's health and permits from its reply to a start order.
    fn apply_start_reply(&mut self, id: &WorkerId, key: TaskKey, run: u32, reply: StartReply) {
        let now = self.now;
        if reply == StartReply::NoRoom && !self.may_be_short_of_room(id, key, run) {
            return;
        }
        if reply == StartReply::Unhealthy {
            self.record_worker_failure(id, true);
            return;
        }
        if reply == StartReply::NoAnswer {
            self.avoid_worker(id, key);
            self.request_report(id);
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match reply {
            StartReply::Started => worker.record_reply(),
            StartReply::Unknown | StartReply::OldRun => worker.awaits_report = true,
            StartReply::NoRoom | StartReply::WrongLife => worker.suspend(now),
            StartReply::OtherProcess => worker.doubt_process(now),
            StartReply::NoPermit => {
                self.permits.revoke(key.into(), id);
                // A later catalogue may have given the kind of work a policy.
                let is_advised = self.advice_policy(key.into()).is_some();
                if let Some(job) = self.jobs.get_mut(&key.job) {
                    job.terms.advised |= is_advised;
                }
            }
            StartReply::Unhealthy
            | StartReply::NoAnswer
            | StartReply::Fenced
            | StartReply::TooLate
            | StartReply::Expired
            | StartReply::Invalid => {}
        }
    }

    /// Records a start order that was refused for want of room; returns whether the worker may have less
    /// room than it reports. A worker that has fallen silent meanwhile is no evidence against the step.
    fn may_be_short_of_room(&mut self, id: &WorkerId, key: TaskKey, run: u32) -> bool {
        let now = self.now;
        if !self.workers.get(id).is_some_and(Worker::is_in_service) {
            return true;
        }
        let ordered_at = match self.assigned_slot(id, key, run) {
            Some(AnyTask::Assigned(task)) => task.phase.ordered_at,
            _ => return true,
        };
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return true;
        };
        let may_be_worker = job.record_refusal(&key, ordered_at, now);
        if !may_be_worker {
            job.set_avoided_worker(key, id.clone());
        }
        may_be_worker
    }

    /// Handles the reply to a stop order.
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
            self.request_report(id);
            return;
        }
        let worker = self.workers.get_mut(id);
        if let Some(stray) = worker.and_then(|worker| worker.stray_mut(key, run)) {
            stray.stop_acked(now);
            self.request_report(id);
        }
    }

    /// Keeps a task away from a worker that neither answered nor carried out its start order.
    pub(super) fn avoid_worker(&mut self, id: &WorkerId, key: TaskKey) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.set_avoided_worker(key, id.clone());
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_unanswered(now);
        }
    }

    /// Time without progress after which a run has hung. Progress is reported in whole percents, so a long
    /// task needs more of it.
    fn hang_timeout(&self, job: &Job, key: &TaskKey, task: &TaskRun<Running>) -> ClockTime {
        let step = job.step(key);
        // The progress of a long-running task is that of its start.
        if step.long_running {
            return HANG_TIMEOUT;
        }
        let duration = step.estimate.max(self.durations.mean(&job.spec.work));
        let expected = duration.as_millis() / u64::from(FULL_PERCENT);
        let slowest = task.phase.slowest_percent.as_millis().max(expected);
        let missing = slowest.saturating_mul(MISSING_PERCENTS);
        HANG_TIMEOUT.max(ClockTime::from_millis(missing))
    }

    /// Returns whether a start order without an answer is to be sent again: its worker would have to stop
    /// the run before the task could start elsewhere, but too many others of the step are unavailable, and
    /// the run may be at work by then.
    pub(super) fn must_repeat_start(&self, id: &WorkerId, key: TaskKey) -> bool {
        let Some((job, worker)) = self.jobs.get(&key.job).zip(self.workers.get(id)) else {
            return false;
        };
        let Some(AnyTask::Assigned(task)) = job.task(&key) else {
            return false;
        };
        let step = job.step(&key);
        let is_wanted = job.life.goal().is_none() && !job.is_exhausted(&key);
        // The members of a gang start again together, and the copies of a speculative task beside it.
        let is_alone = !step.gang && !step.speculative;
        let is_in_time = self.now <= task.phase.since + START_PATIENCE;
        let may_start = worker.entry.state == WorkerState::Ready && worker.missing_since.is_none();
        let is_same_process = worker.run_target() == task.phase.target;
        step.long_running
            && is_wanted
            && is_alone
            && is_in_time
            && may_start
            && is_same_process
            && !self.can_stop_one(job, &key)
    }

    /// Sends a start order again, unless one was sent of late or the worker's lease cannot be extended yet.
    /// A worker that runs the task already answers as if it had just started it.
    pub(super) fn repeat_start(&mut self, id: &WorkerId, key: TaskKey, run: u32) {
        let now = self.now;
        let is_extendable = self.workers.get(id).is_some_and(Worker::is_extendable);
        let Some(AnyTask::Assigned(task)) = self.assigned_slot(id, key, run) else {
            return;
        };
        if !is_extendable || now < task.phase.ordered_at + START_RETRY_DELAY {
            return;
        }
        task.phase.ordered_at = now;
        if self.send_start(key, run).is_none() {
            return;
        }
        let Some(AnyTask::Assigned(task)) = self.assigned_slot(id, key, run) else {
            return;
        };
        task.phase.order = StartOrderState::Repeated;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_unanswered(now);
        }
        self.log_decision(SchedulerDecision::StartRepeated {
            task: key,
            run,
            worker: id.clone(),
        });
    }

    /// Stops a run whose start order may be carried out late.
    pub(super) fn stop_unanswered(&mut self, id: &WorkerId, key: TaskKey, run: u32) {
        self.avoid_worker(id, key);
        self.stop_task(id, key, run, StopReason::Unanswered);
    }

    /// Keeps a reported run that was ordered to stop only because it might begin late: it is the newest run
    /// of its task, and no copy of it has been started. An order that is under way may end it.
    pub(super) fn keep_late_run(&mut self, id: &WorkerId, key: TaskKey, run: u32) {
        let now = self.now;
        let job = self.jobs.get(&key.job);
        let is_wanted = job.is_some_and(|job| {
            job.life.goal().is_none() && !job.is_exhausted(&key) && !job.step(&key).gang
        });
        let Some(slot) = self.assigned_slot(id, key, run).filter(|_| is_wanted) else {
            return;
        };
        let AnyTask::Stopping(task) = &*slot else {
            return;
        };
        if task.phase.acked_at.is_some() || !task.phase.reason.is_precaution() {
            return;
        }
        *slot = AnyTask::Running(task.clone().keep(now));
        self.log_decision(SchedulerDecision::RunAdopted {
            task: key,
            run,
            worker: id.clone(),
        });
    }

    /// Orders a run to stop.
    pub(super) fn stop_task(&mut self, id: &WorkerId, key: TaskKey, run: u32, reason: StopReason) {
        let now = self.now;
        if let Some(slot) = self.assigned_slot(id, key, run) {
            *slot = slot.clone().stopped(reason, now);
        }
        self.send_stop(id, key, run, reason);
    }

    pub(super) fn send_stop(&mut self, id: &WorkerId, task: TaskKey, run: u32, reason: StopReason) {
        self.log_decision(SchedulerDecision::RunStop {
            task,
            run,
            worker: id.clone(),
            reason,
        });
        self.effects.push(Effect::Stop {
            worker: id.clone(),
            task,
            run,
        });
    }

    /// Stops runs of ending jobs, incomplete gangs, hung runs, and runs on draining workers that
    /// can resume elsewhere, the latter within the availability limits of their steps.
    pub(super) fn stop_unwanted_runs(&mut self) {
        let now = self.now;
        if now < self.last_sweep_at + SWEEP_INTERVAL {
            return;
        }
        self.last_sweep_at = now;
        let mut stops: SmallVec<[(WorkerId, TaskKey, u32, StopReason); 8]> = smallvec![];
        let mut migrations: SmallVec<[(WorkerId, TaskKey, u32); 8]> = smallvec![];
        let mut hung: SmallVec<[WorkerId; 2]> = smallvec![];
        for worker in self.workers.values() {
            for (key, run) in worker.charges.keys() {
                let Some(job) = self.jobs.get(&key.job) else {
                    continue;
                };
                let Some(task) = job.task(key) else {
                    continue;
                };
                if task.placed() != Some((&worker.id, *run)) {
                    continue;
                }
                let step = job.step(key);
                let can_resume = step.long_running || step.checkpoints;
                let should_migrate = worker.entry.state == WorkerState::Draining && can_resume;
                let unwanted = if job.life.goal().is_some() {
                    Some(StopReason::Unwanted)
                } else {
                    job.has_lost_members(key).then_some(StopReason::GangBroken)
                };
                let stop = match task {
                    AnyTask::Stopping(task) => {
                        let is_due = task.phase.acked_at.is_none()
                            && now > task.phase.ordered_at + STOP_RETRY_DELAY;
                        is_due.then_some(task.phase.reason)
                    }
                    AnyTask::Running(task) => {
                        // By the last report, as this owner may have been suspended since then.
                        let seen_at = worker.seen_at.unwrap_or_default();
                        let is_hung = task.phase.percent < FULL_PERCENT
                            && worker.silent_since.is_none()
                            && seen_at
                                > task.phase.progressed_at + self.hang_timeout(job, key, task);
                        if is_hung {
                            hung.push(worker.id.clone());
                        }
                        let stop = unwanted.or(is_hung.then_some(StopReason::Hung));
                        if should_migrate && stop.is_none() {
                            migrations.push((worker.id.clone(), *key, *run));
                        }
                        stop
                    }
                    // An order that was not sent is withdrawn.
                    AnyTask::Assigned(task) => unwanted.filter(|_| {
                        let order = task.phase.order;
                        order != StartOrderState::Inherited && order != StartOrderState::Queued
                    }),
                    _ => None,
                };
                if let Some(reason) = stop {
                    stops.push((worker.id.clone(), *key, *run, reason));
                }
            }
        }
        for id in hung {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.suspend(now);
            }
        }
        for (id, key, run, reason) in stops {
            if let Some(AnyTask::Stopping(task)) = self.assigned_slot(&id, key, run) {
                task.phase.ordered_at = now;
            }
            self.stop_task(&id, key, run, reason);
        }
        self.stop_strays();
        for (id, key, run) in migrations {
            let job = self.jobs.get(&key.job);
            if job.is_some_and(|job| self.can_stop_one(job, &key)) {
                self.stop_task(&id, key, run, StopReason::Draining);
            }
        }
    }
}
