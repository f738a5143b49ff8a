//! What workers report, and what follows for their tasks.

use std::collections::{BTreeMap, BTreeSet};

use smallvec::{SmallVec, smallvec};

use crate::{
    clock::ClockTime,
    job::{
        lease::{UnknownLease, WorkerLease},
        spec::{Resources, TaskKey},
        task::{AnyTask, StartOrder, TaskEnd},
        worker::{
            EndedRow, HoldReport, OrderReply, RunningRow, StartReply, Worker, WorkerEntry,
            WorkerState,
        },
    },
    name::{DataCentre, PoolName, WorkerId},
};

use super::{BatchRecord, Effect, JobNote, LossReason, Scheduler, WorkerChange};

/// A stop order without an answer is sent again after this time, twice what a stop may take.
const STOP_RETRY: ClockTime = ClockTime::from_millis(800);
/// A run whose progress stands still for this time is stopped; tasks last about a second.
const HANG: ClockTime = ClockTime::from_millis(2_500);
/// Time between two searches for runs that should stop: short against what a cancellation may take.
const SWEEP_PACE: ClockTime = ClockTime::from_millis(100);
/// Progress of a task that is fully at work.
const FULL_PERCENT: u8 = 100;

/// How a worker's lease is renewed next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldPlan {
    /// The highest number of an end that the worker may forget.
    pub ack: u64,
    /// The new deadline on the worker's clock; none while the worker does not answer, so that what
    /// it holds lapses in known time.
    pub lease_until: Option<u64>,
    /// Whether ends are reported that are not stored yet, so that asking again would return them
    /// at once.
    pub unstored: bool,
    /// Whether the worker does not answer.
    pub silent: bool,
}

impl Scheduler {
    /// Takes the whole list of workers; those that are not in it are missing.
    pub fn list_workers(&mut self, mut listed: BTreeMap<WorkerId, WorkerEntry>, now: ClockTime) {
        self.now = now;
        let known: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for id in known {
            match listed.remove(&id) {
                Some(entry) => self.worker_listed(id, entry, now),
                None => self.worker_unlisted(&id, now),
            }
        }
        for (id, entry) in listed {
            self.worker_listed(id, entry, now);
        }
    }

    /// Takes a worker's own entry.
    pub fn worker_listed(&mut self, id: WorkerId, entry: WorkerEntry, now: ClockTime) {
        self.now = now;
        let Some(worker) = self.workers.get_mut(&id) else {
            let pool = entry.pool.clone();
            let lease = self.unknown_lease();
            self.workers
                .insert(id.clone(), Worker::listed(id.clone(), entry, lease));
            self.note_worker(id, pool, WorkerChange::Listed);
            return;
        };
        worker.missing_since = None;
        let drains =
            entry.state == WorkerState::Draining && worker.entry.state == WorkerState::Ready;
        worker.entry = entry;
        let pool = worker.entry.pool.clone();
        if drains {
            self.note_worker(id.clone(), pool, WorkerChange::Draining);
        }
    }

    /// A worker's entry has gone from the list.
    pub fn worker_unlisted(&mut self, id: &WorkerId, now: ClockTime) {
        self.now = now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.missing_since.get_or_insert(now);
        }
    }

    /// Whether a worker's next report settles a start without an answer or a stop, so that it should
    /// not wait.
    pub fn wants_look(&self, id: &WorkerId) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| worker.unsettled && worker.silent_since.is_none())
    }

    /// An order to a worker waits to be settled by its next report.
    fn unsettle(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unsettled = true;
        }
    }

    /// Takes over the time by which all that a worker holds lapses, as it is stored.
    pub fn restore_lapse(&mut self, id: &WorkerId, at: ClockTime) {
        let worker = self.worker_or_stub(id);
        worker.lapse_stored = true;
        if let WorkerLease::Unknown(lease) = &mut worker.lease {
            lease.stored = Some(at);
        }
    }

    /// How a worker's lease is renewed next; counts the deadline as sent.
    pub fn hold_plan(&mut self, id: &WorkerId, now: ClockTime) -> Option<HoldPlan> {
        let hold_max = self.limits.hold_max;
        let worker = self.workers.get_mut(id)?;
        let silent = worker.silent_since.is_some();
        let lease_until = if silent || worker.lapse_stored {
            None
        } else {
            worker.lease.extend(hold_max, now)
        };
        Some(HoldPlan {
            ack: worker.end_stored,
            lease_until,
            unstored: worker.end_seen > worker.end_stored,
            silent,
        })
    }

    /// A worker did not answer a renewal.
    pub fn hold_failed(&mut self, id: &WorkerId, now: ClockTime) {
        self.now = now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.silent_since.is_none() {
            worker.silent_since = Some(now);
            if !worker.is_empty() && !worker.lapse_stored {
                worker.lapse_stored = true;
                let lapse = Some(worker.lease.lapsed_by());
                self.outbox.push(BatchRecord::Lapse(id.clone(), lapse));
            }
            let pool = worker.entry.pool.clone();
            self.note_worker(id.clone(), pool, WorkerChange::Silent);
        }
    }

    /// Takes a worker's report, which was asked for at `asked_at`.
    pub fn report(
        &mut self,
        id: &WorkerId,
        report: HoldReport,
        asked_at: ClockTime,
        now: ClockTime,
    ) {
        self.now = now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let pool = worker.entry.pool.clone();
        let change = match (worker.seen_at, worker.silent_since) {
            (None, _) => Some(WorkerChange::Adopted),
            (Some(_), Some(_)) => Some(WorkerChange::Answering),
            (Some(_), None) => None,
        };
        if worker.born.is_some() && worker.born != report.born {
            self.restarted(id, &report);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.born = report.born;
        worker.lease.read(report.clock, now);
        worker.seen_at = Some(asked_at);
        worker.silent_since = None;
        if worker.lapse_stored {
            self.outbox.push(BatchRecord::Lapse(id.clone(), None));
        }
        if let Some(change) = change {
            self.note_worker(id.clone(), pool, change);
        }
        for row in &report.ended {
            self.take_end(id, row);
        }
        let mut there = BTreeSet::new();
        for row in &report.running {
            there.insert(row.task);
            self.take_running(id, row);
        }
        self.take_absent(id, &there, asked_at);
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
            self.note(JobNote::StartRefused {
                task: key,
                run,
                worker: id.clone(),
                reply,
            });
        }
        match reply {
            StartReply::Started => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.answered();
                }
            }
            StartReply::Unhealthy => self.worker_failed(id, true),
            StartReply::NoPermit => self.permits.void(key.into(), id),
            StartReply::NoRoom | StartReply::WrongLife => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.suspend(now);
                }
            }
            _ => {}
        }
        if matches!(reply, StartReply::Unknown | StartReply::OldRun) {
            self.unsettle(id);
        }
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

    /// The task where this run of it is placed on this worker.
    fn assigned_slot(&mut self, id: &WorkerId, key: TaskKey, run: u32) -> Option<&mut AnyTask> {
        let slot = self.jobs.get_mut(&key.job)?.task_mut(&key)?;
        let here = slot.placed() == Some((id, run));
        here.then_some(slot)
    }

    fn take_end(&mut self, id: &WorkerId, row: &EndedRow) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if row.number <= worker.end_seen {
            return;
        }
        worker.end_seen = row.number;
        if worker
            .tasks
            .get(&row.task)
            .is_some_and(|charge| charge.run == row.run)
        {
            worker.discharge(&row.task, now);
        }
        let Some(job) = self.jobs.get_mut(&row.task.job) else {
            return;
        };
        let work = job.spec.work.clone();
        let max_failures = job.max_failures(&row.task);
        let Some(slot) = job.task_mut(&row.task) else {
            return;
        };
        // An end of an earlier run changes nothing unless it says that the work is done.
        if slot.is_over() || (slot.run() != row.run && row.end != TaskEnd::Done) {
            return;
        }
        let end = if job.step(&row.task).gang {
            self.end_gang(row.task, row.run, row.end)
        } else {
            row.end
        };
        let job = self.jobs.get_mut(&row.task.job);
        let Some(job) = job else {
            return;
        };
        let Some(slot) = job.task_mut(&row.task) else {
            return;
        };
        let first = slot.failures() == 0;
        if let AnyTask::Running(task) = &*slot
            && end == TaskEnd::Done
        {
            self.durations.learn(&work, now - task.phase.since);
        }
        if let Some(saved) = &row.saved {
            slot.save(saved.clone());
        }
        *slot = slot.clone().ended(end, max_failures);
        let failures = slot.failures();
        self.outbox.touch(row.task.job);
        match end {
            TaskEnd::Done => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.succeeded();
                }
                return;
            }
            TaskEnd::Failed => {
                job.failed_on(row.task, id.clone());
                self.worker_failed(id, first);
            }
            TaskEnd::Stopped | TaskEnd::Lapsed | TaskEnd::Broken | TaskEnd::Alone => {}
        }
        self.note(JobNote::RunEnded {
            task: row.task,
            run: row.run,
            worker: id.clone(),
            end,
            failures,
        });
    }

    fn worker_failed(&mut self, id: &WorkerId, first: bool) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let before = worker.is_suspended(now);
        worker.failed(first, now);
        if !before && worker.is_suspended(now) {
            let pool = worker.entry.pool.clone();
            self.note_worker(id.clone(), pool, WorkerChange::Suspended);
        }
    }

    fn take_running(&mut self, id: &WorkerId, row: &RunningRow) {
        let now = self.now;
        let Some(slot) = self.assigned_slot(id, row.task, row.run) else {
            // Not a run that is wanted here: a finished or cancelled job, or a superseded run.
            self.send_stop(id, row.task, row.run);
            return;
        };
        if let Some(saved) = &row.saved {
            slot.save(saved.clone());
        }
        if let AnyTask::Assigned(task) = &*slot {
            *slot = AnyTask::Running(task.clone().confirm(now));
        }
        if let AnyTask::Running(task) = slot
            && task.phase.percent != row.percent
        {
            task.phase.percent = row.percent;
            task.phase.moved_at = now;
        }
    }

    /// Judges runs that are on the worker's account and that it neither runs nor has ended.
    fn take_absent(&mut self, id: &WorkerId, there: &BTreeSet<TaskKey>, asked_at: ClockTime) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let absent = worker.tasks.iter().filter(|(key, _)| !there.contains(*key));
        let absent: SmallVec<[(TaskKey, u32); 8]> =
            absent.map(|(key, charge)| (*key, charge.run)).collect();
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unsettled = false;
        }
        for (key, run) in absent {
            let Some(slot) = self.assigned_slot(id, key, run) else {
                self.vacate(id, key);
                continue;
            };
            let verdict = match &*slot {
                AnyTask::Assigned(task) => match task.phase.order {
                    StartOrder::Pending => Absent::Wait,
                    StartOrder::Inherited => Absent::Lost,
                    StartOrder::Unsure(since) if asked_at >= since => Absent::Stop,
                    StartOrder::Unsure(_) => Absent::LookAgain,
                },
                AnyTask::Running(task) if asked_at > task.phase.since => Absent::Lost,
                AnyTask::Stopping(task) => match task.phase.acked_at {
                    Some(acked_at) if asked_at >= acked_at => Absent::Lost,
                    Some(_) => Absent::LookAgain,
                    None => Absent::Wait,
                },
                _ => Absent::Wait,
            };
            match verdict {
                Absent::Wait => {}
                Absent::LookAgain => self.unsettle(id),
                Absent::Stop => {
                    self.avoid(id, key);
                    self.stop_task(id, key, run);
                }
                Absent::Lost => self.lose_run(id, key, run, LossReason::NotThere),
            }
        }
    }

    /// A worker left a start unanswered and undone: the task should go elsewhere.
    fn avoid(&mut self, id: &WorkerId, key: TaskKey) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.failed_on(key, id.clone());
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.left_unanswered(now);
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

    fn send_stop(&mut self, id: &WorkerId, task: TaskKey, run: u32) {
        self.effects.push(Effect::Stop {
            worker: id.clone(),
            task,
            run,
        });
    }

    /// A run can no longer be at work: its task waits again.
    pub(super) fn lose_run(&mut self, id: &WorkerId, key: TaskKey, run: u32, reason: LossReason) {
        if let Some(slot) = self.assigned_slot(id, key, run) {
            *slot = slot.clone().released();
            self.outbox.touch(key.job);
            self.note(JobNote::RunLost {
                task: key,
                run,
                worker: id.clone(),
                reason,
            });
        }
        self.vacate(id, key);
    }

    /// All runs of a worker can no longer be at work.
    pub(super) fn lose_runs(&mut self, id: &WorkerId, reason: LossReason) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let runs = worker.tasks.iter().map(|(key, charge)| (*key, charge.run));
        let runs: SmallVec<[(TaskKey, u32); 8]> = runs.collect();
        for (key, run) in runs {
            self.lose_run(id, key, run, reason);
        }
    }

    pub(super) fn vacate(&mut self, id: &WorkerId, key: TaskKey) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.discharge(&key, now);
        }
    }

    /// A worker has started anew under its id: it holds nothing of before and numbers its ends
    /// from 1. Starts that reached the new life, or whose answer is still due, stand.
    fn restarted(&mut self, id: &WorkerId, report: &HoldReport) {
        let lease = self.unknown_lease();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.end_seen = 0;
        worker.end_stored = 0;
        worker.lease = WorkerLease::Unknown(lease);
        let runs = worker.tasks.iter().map(|(key, charge)| (*key, charge.run));
        let runs: SmallVec<[(TaskKey, u32); 8]> = runs.collect();
        for (key, run) in runs {
            let slot = self.assigned_slot(id, key, run);
            let due = matches!(slot, Some(AnyTask::Assigned(task))
                if task.phase.order == StartOrder::Pending);
            let rows = &report.running;
            let there = rows.iter().any(|row| (row.task, row.run) == (key, run));
            let ended = report
                .ended
                .iter()
                .any(|row| (row.task, row.run) == (key, run));
            if !due && !there && !ended {
                self.lose_run(id, key, run, LossReason::WorkerRestarted);
            }
        }
    }

    /// Frees the runs of workers that have been out of touch for longer than any lease, and drops
    /// workers that are gone.
    pub(super) fn lapse_leases(&mut self) {
        let now = self.now;
        let missing = self.limits.missing;
        let mut lapsed: SmallVec<[WorkerId; 4]> = smallvec![];
        let mut gone: SmallVec<[WorkerId; 4]> = smallvec![];
        for worker in self.workers.values() {
            let out = worker.silent_since.is_some() || worker.seen_at.is_none();
            if out && !worker.is_empty() && now > worker.lease.lapsed_by() {
                lapsed.push(worker.id.clone());
            }
            let unlisted = worker
                .missing_since
                .is_some_and(|since| now > since + missing);
            if unlisted && worker.is_empty() {
                gone.push(worker.id.clone());
            }
        }
        for id in lapsed {
            self.lose_runs(&id, LossReason::LeaseLapsed);
        }
        self.copy_silent();
        for id in gone {
            if let Some(worker) = self.workers.remove(&id) {
                if worker.lapse_stored {
                    self.outbox.push(BatchRecord::Lapse(id.clone(), None));
                }
                self.note_worker(id, worker.entry.pool, WorkerChange::Gone);
            }
        }
    }

    /// Lets tasks of which two copies may run start again at once when their worker falls silent.
    fn copy_silent(&mut self) {
        let mut copies: SmallVec<[(WorkerId, TaskKey, u32); 8]> = smallvec![];
        let silent = self.workers.values();
        for worker in silent.filter(|worker| worker.silent_since.is_some()) {
            for (key, charge) in &worker.tasks {
                let job = self.jobs.get(&key.job);
                if job.is_some_and(|job| job.step(key).speculative) {
                    copies.push((worker.id.clone(), *key, charge.run));
                }
            }
        }
        for (id, key, run) in copies {
            self.lose_run(&id, key, run, LossReason::Copied);
        }
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
                            && now > task.phase.moved_at + HANG;
                        if stuck {
                            hung.push(worker.id.clone());
                        }
                        stuck || leaves || job.ending.is_some() || job.is_alone(key)
                    }
                    AnyTask::Assigned(task) => {
                        (job.ending.is_some() || job.is_alone(key))
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

    /// A worker, or a stub for one that stored runs name and that is not listed.
    pub(super) fn worker_or_stub(&mut self, id: &WorkerId) -> &mut Worker {
        let lease = self.unknown_lease();
        let now = self.now;
        self.workers.entry(id.clone()).or_insert_with(|| {
            let entry = WorkerEntry {
                pool: PoolName::new(""),
                address: "".into(),
                data_centre: DataCentre::new(""),
                state: WorkerState::Draining,
                capacity: Resources::default(),
                labels: SmallVec::new(),
                rack: None,
                born: None,
            };
            let mut stub = Worker::listed(id.clone(), entry, lease);
            stub.missing_since = Some(now);
            stub
        })
    }

    fn unknown_lease(&self) -> UnknownLease {
        UnknownLease {
            since: self.now,
            longest: self.limits.hold_max,
            stored: None,
        }
    }

    fn note_worker(&mut self, worker: WorkerId, pool: PoolName, now: WorkerChange) {
        self.note(JobNote::WorkerChanged { worker, pool, now });
    }
}

/// What follows for a run that its worker does not report.
enum Absent {
    /// Its order or answer may be under way.
    Wait,
    /// This report was asked for too early to tell.
    LookAgain,
    /// It may begin late unless it is stopped first.
    Stop,
    /// It cannot be at work any more.
    Lost,
}
