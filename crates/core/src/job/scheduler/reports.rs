//! What workers report, and what follows for their tasks.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    clock::ClockTime,
    job::{
        lease::WorkerLease,
        spec::TaskKey,
        task::{AnyTask, StartOrder, TaskEnd},
        worker::{ActiveRun, EndedRun, HoldReport, Worker, WorkerEntry, WorkerState},
    },
    name::{PoolName, WorkerId},
};

use super::{BatchRecord, LossReason, Scheduler, SchedulerDecision, WorkerChange};

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
        if worker.incarnation.is_some() && worker.incarnation != report.incarnation {
            self.restarted(id, &report);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.incarnation = report.incarnation;
        worker.lease.read(report.clock, now);
        worker.seen_at = Some(asked_at);
        worker.silent_since = None;
        if worker.lapse_stored {
            self.outbox.push(BatchRecord::LeaseExpiry(id.clone(), None));
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

    /// The task where this run of it is placed on this worker.
    pub(super) fn assigned_slot(
        &mut self,
        id: &WorkerId,
        key: TaskKey,
        run: u32,
    ) -> Option<&mut AnyTask> {
        let slot = self.jobs.get_mut(&key.job)?.task_mut(&key)?;
        let here = slot.placed() == Some((id, run));
        here.then_some(slot)
    }

    fn take_end(&mut self, id: &WorkerId, row: &EndedRun) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if row.number <= worker.end_seen {
            return;
        }
        worker.end_seen = row.number;
        let charge = worker.tasks.get(&row.task);
        if charge.is_some_and(|charge| charge.run == row.run) {
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
        // Only an end that says that the work is done changes anything once the run has been given up or
        // its end is stored already, by this owner or an earlier one.
        let at_work = slot.placed().is_some_and(|(_, run)| run == row.run);
        if slot.is_terminal() || !(at_work || row.end == TaskEnd::Done) {
            return;
        }
        let end = if job.step(&row.task).gang {
            self.end_gang(row.task, row.run, row.end)
        } else {
            row.end
        };
        let Some(job) = self.jobs.get_mut(&row.task.job) else {
            return;
        };
        let Some(slot) = job.task_mut(&row.task) else {
            return;
        };
        let first = slot.failures() == 0;
        if let AnyTask::Running(task) = &*slot
            && end == TaskEnd::Done
        {
            self.durations.record(&work, now - task.phase.since);
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
                    worker.record_success();
                }
                return;
            }
            TaskEnd::Failed => {
                job.failed_on(row.task, id.clone());
                self.worker_failed(id, first);
            }
            TaskEnd::Stopped | TaskEnd::Lapsed | TaskEnd::Broken | TaskEnd::Alone => {}
        }
        self.note(SchedulerDecision::RunEnded {
            task: row.task,
            run: row.run,
            worker: id.clone(),
            end,
            failures,
        });
    }

    pub(super) fn worker_failed(&mut self, id: &WorkerId, first: bool) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let before = worker.is_suspended(now);
        worker.record_failure(first, now);
        if !before && worker.is_suspended(now) {
            let pool = worker.entry.pool.clone();
            self.note_worker(id.clone(), pool, WorkerChange::Suspended);
        }
    }

    fn take_running(&mut self, id: &WorkerId, row: &ActiveRun) {
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
            task.phase.progressed_at = now;
        }
    }

    /// Judges runs that are on the worker's account and that it neither runs nor has ended.
    fn take_absent(&mut self, id: &WorkerId, there: &BTreeSet<TaskKey>, asked_at: ClockTime) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.awaits_report = false;
        let mut absent = worker.runs();
        absent.retain(|(key, _)| !there.contains(key));
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

    /// A run can no longer be at work: its task waits again.
    pub(super) fn lose_run(&mut self, id: &WorkerId, key: TaskKey, run: u32, reason: LossReason) {
        if let Some(slot) = self.assigned_slot(id, key, run) {
            *slot = slot.clone().released();
            self.outbox.touch(key.job);
            self.note(SchedulerDecision::RunLost {
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
        for (key, run) in worker.runs() {
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
        for (key, run) in worker.runs() {
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

    pub(super) fn note_worker(&mut self, worker: WorkerId, pool: PoolName, change: WorkerChange) {
        self.note(SchedulerDecision::WorkerChanged {
            worker,
            pool,
            change,
        });
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
