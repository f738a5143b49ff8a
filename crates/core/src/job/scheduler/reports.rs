//! Worker reports and their effect on tasks.

use std::collections::{BTreeMap, BTreeSet};

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    job::{
        charge::AnyCharge,
        lease::UnknownLease,
        process::WorkerProcess,
        release::{AbsentRun, ReleaseGround, RunOver},
        spec::TaskKey,
        stored_time::StoredTime,
        task::{AnyTask, StartOrderState, TaskEnd},
        worker::{ActiveRun, EndedRun, RenewalReport, Worker, WorkerEntry, WorkerState},
    },
    name::WorkerId,
};

use super::{LossEvidence, Scheduler, SchedulerDecision, WorkerChange};

impl Scheduler {
    /// Updates the workers from a complete list; known workers that are not in it are marked as
    /// missing.
    pub fn workers_listed(&mut self, mut listed: BTreeMap<WorkerId, WorkerEntry>, now: ClockTime) {
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

    /// Updates the entry of one worker.
    pub fn worker_listed(&mut self, id: WorkerId, entry: WorkerEntry, now: ClockTime) {
        self.now = now;
        let Some(worker) = self.workers.get_mut(&id) else {
            let lease = self.unknown_lease();
            self.worker_list_version += 1;
            self.workers
                .insert(id.clone(), Worker::listed(id.clone(), entry, lease));
            self.log_worker_change(&id, WorkerChange::Listed);
            return;
        };
        worker.missing_since = None;
        let starts_draining =
            entry.state == WorkerState::Draining && worker.entry.state == WorkerState::Ready;
        if worker.entry.address != entry.address {
            self.worker_list_version += 1;
        }
        let is_new = entry.incarnation.is_some()
            && entry.incarnation != worker.entry.incarnation
            && worker.process.incarnation.is_some()
            && entry.incarnation != worker.process.incarnation;
        let was_registered = worker.is_registered();
        worker.entry = entry;
        let registers = worker.seen_at.is_some() && !was_registered && worker.is_registered();
        if is_new {
            worker.doubt_process(now);
            self.log_worker_change(&id, WorkerChange::Doubted);
        }
        if registers {
            self.log_worker_change(&id, WorkerChange::Registered);
        }
        if starts_draining {
            self.log_worker_change(&id, WorkerChange::Draining);
        }
    }

    /// Marks a worker as missing after its entry was removed.
    pub fn worker_unlisted(&mut self, id: &WorkerId, now: ClockTime) {
        self.now = now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.missing_since.get_or_insert(now);
        }
    }

    /// Applies a worker's report; `asked_at` is the time at which it was requested.
    pub fn report(
        &mut self,
        id: &WorkerId,
        mut report: RenewalReport,
        asked_at: ClockTime,
        now: ClockTime,
    ) {
        self.now = now;
        // An end counts as processed once one with a higher number is.
        report.ended.sort_by_key(|row| row.number);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let change = match (worker.seen_at, worker.silent_since) {
            (None, _) => Some(WorkerChange::Adopted),
            (Some(_), Some(_)) => Some(WorkerChange::Answering),
            (Some(_), None) => None,
        };
        let settles_orders = worker.awaits_report;
        let restarted = worker.process.is_other(report.incarnation);
        // Responses may overtake each other, so this one may be of an earlier process.
        if restarted && worker.seen_at.is_some_and(|seen_at| asked_at < seen_at) {
            return;
        }
        if restarted {
            self.replace_process(id, &report, asked_at);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.charge_lapsed_starts();
        worker.record_report(&report, asked_at, now);
        if worker.stored_expiry.is_some() {
            self.outbox.set_expiry(id, None);
        }
        if let Some(change) = change {
            self.log_worker_change(id, change);
        }
        if change.is_some() || settles_orders {
            self.release_predecessors(id, asked_at);
        }
        if change.is_some() || restarted {
            self.settle_losses(id, report.incarnation);
        }
        for row in &report.ended {
            self.apply_end(id, row);
        }
        let is_first = change == Some(WorkerChange::Adopted);
        let mut reported = BTreeSet::new();
        for row in &report.running {
            reported.insert((row.task, row.run));
            self.apply_running(id, row, is_first);
            self.record_survival(id, row, asked_at);
        }
        if report.has_more_ends {
            self.log_worker_change(id, WorkerChange::EndsCut);
        } else {
            self.resolve_unreported(id, &reported, asked_at);
        }
        self.stop_strays_of(id);
    }

    /// Releases the runs of silent workers at whose address another worker has answered: an address
    /// belongs to one process at a time, so their processes have ended.
    fn release_predecessors(&mut self, id: &WorkerId, asked_at: ClockTime) {
        let Some(successor) = self.workers.get(id) else {
            return;
        };
        let others = self.workers.values();
        let replaced = others.filter_map(|worker| {
            let over = RunOver::replaced(worker, successor, asked_at)?;
            Some((worker.id.clone(), over))
        });
        let replaced: SmallVec<[(WorkerId, RunOver); 1]> = replaced.collect();
        for (id, over) in replaced {
            self.log_worker_change(&id, WorkerChange::Replaced);
            self.confirm_losses(&id);
            self.mark_all_runs_lost(&id, over);
        }
    }

    /// Returns the task if the given run is placed on the given worker.
    pub(super) fn assigned_slot(
        &mut self,
        id: &WorkerId,
        key: TaskKey,
        run: u32,
    ) -> Option<&mut AnyTask> {
        let slot = self.jobs.get_mut(&key.job)?.task_mut(&key)?;
        let is_placed_here = slot.placed() == Some((id, run));
        is_placed_here.then_some(slot)
    }

    fn apply_end(&mut self, id: &WorkerId, row: &EndedRun) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if row.number <= worker.process.end_seen {
            return;
        }
        worker.process.end_seen = row.number;
        worker.discharge(&row.task, row.run, now);
        let Some(job) = self.jobs.get_mut(&row.task.job) else {
            return;
        };
        let work = job.spec.work.clone();
        // A report may name a task that the job does not have.
        if job.task(&row.task).is_none() {
            return;
        }
        job.record_start(&row.task);
        let max_failures = job.max_failures(&row.task);
        let Some(slot) = job.task_mut(&row.task) else {
            return;
        };
        // Once a run counts as lost, or its end was stored by this or an earlier owner, it has an
        // effect only if it completed the task, or failed and has not been counted.
        let is_current_run = slot.placed().is_some_and(|(_, run)| run == row.run);
        let has_effect = match row.end {
            TaskEnd::Done => true,
            TaskEnd::Failed => is_current_run || !slot.has_failed_run(row.run),
            _ => is_current_run,
        };
        if slot.is_terminal() || !has_effect {
            return;
        }
        let end = if job.step(&row.task).gang {
            self.apply_gang_end(row.task, row.run, row.end)
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
        if let Some(checkpoint) = &row.checkpoint {
            slot.set_checkpoint(checkpoint.clone());
        }
        if is_current_run || end == TaskEnd::Done {
            *slot = slot.clone().ended(end, max_failures);
        } else {
            slot.record_failed_run(row.run);
        }
        let failures = slot.failures();
        self.outbox.mark_changed(row.task.job);
        match end {
            TaskEnd::Done => {
                job.crashes.remove(&row.task);
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.record_success();
                }
                return;
            }
            TaskEnd::Failed => {
                job.set_avoided_worker(row.task, id.clone());
                self.record_worker_failure(id, first);
            }
            TaskEnd::Stopped | TaskEnd::Lapsed | TaskEnd::Broken | TaskEnd::Alone => {}
        }
        self.log_decision(SchedulerDecision::RunEnded {
            task: row.task,
            run: row.run,
            worker: id.clone(),
            end,
            failures,
        });
    }

    pub(super) fn record_worker_failure(&mut self, id: &WorkerId, first: bool) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let was_suspended = worker.is_suspended(now);
        worker.record_failure(first, now);
        if !was_suspended && worker.is_suspended(now) {
            self.log_worker_change(id, WorkerChange::Suspended);
        }
    }

    fn apply_running(&mut self, id: &WorkerId, row: &ActiveRun, is_first: bool) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(&row.task.job) {
            job.record_start(&row.task);
        }
        if self.assigned_slot(id, row.task, row.run).is_none() && !self.adopt_run(id, row, is_first)
        {
            self.charge_stray(id, row);
            return;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.begin_run(row.task, row.run, now);
        }
        self.keep_late_run(id, row.task, row.run);
        let Some(slot) = self.assigned_slot(id, row.task, row.run) else {
            return;
        };
        if let Some(checkpoint) = &row.checkpoint {
            slot.set_checkpoint(checkpoint.clone());
        }
        if let AnyTask::Assigned(task) = &*slot {
            *slot = AnyTask::Running(task.clone().confirm(now));
        }
        if let AnyTask::Running(task) = slot {
            task.record_progress(row.percent, now);
        }
    }

    /// Resolves runs charged to the worker that it reports neither as running nor as ended. The report
    /// must list all ends.
    fn resolve_unreported(
        &mut self,
        id: &WorkerId,
        reported: &BTreeSet<(TaskKey, u32)>,
        asked_at: ClockTime,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.awaits_report = worker.process.is_doubted();
        let mut unreported = worker.runs();
        unreported.retain(|run| !reported.contains(run));
        for (key, run) in unreported {
            let Some(slot) = self.assigned_slot(id, key, run) else {
                self.resolve_stray(id, key, run, asked_at);
                continue;
            };
            match AbsentRun::of(slot, asked_at) {
                AbsentRun::Wait => {}
                AbsentRun::AskAgain => self.request_report(id),
                AbsentRun::Unsure if self.must_repeat_start(id, key) => {
                    self.repeat_start(id, key, run);
                }
                AbsentRun::Unsure | AbsentRun::Stop => {
                    self.stop_unanswered(id, key, run);
                }
                AbsentRun::Over(over) => self.mark_run_lost(id, key, run, over),
            }
        }
    }

    /// Releases a task from a run that did not complete it; the task waits again.
    pub(super) fn mark_run_lost(&mut self, id: &WorkerId, key: TaskKey, run: u32, over: RunOver) {
        let ground = over.ground();
        let mut was_sent = true;
        let evidence = self.loss_evidence(id, key, run);
        if let Some(slot) = self.assigned_slot(id, key, run) {
            was_sent = !matches!(slot, AnyTask::Assigned(task)
                if task.phase.order == StartOrderState::Queued);
            *slot = slot.clone().released(over);
            self.outbox.mark_changed(key.job);
            if let Some(evidence) = evidence {
                self.log_decision(SchedulerDecision::RunLost {
                    task: key,
                    run,
                    worker: id.clone(),
                    ground,
                    evidence,
                });
            }
        }
        match self.workers.get_mut(id) {
            // The run may still be in progress.
            Some(worker) if ground == ReleaseGround::Copied && was_sent => {
                worker.give_up_run(key, run);
            }
            _ => self.discharge_run(id, key, run),
        }
    }

    /// Returns what is known of a run and its worker, for the log.
    fn loss_evidence(&self, id: &WorkerId, key: TaskKey, run: u32) -> Option<LossEvidence> {
        let worker = self.workers.get(id)?;
        let charge = worker.charges.get(&(key, run));
        let begun_at = charge.and_then(AnyCharge::begun_at);
        Some(LossEvidence {
            incarnation: worker.process.incarnation,
            report_age: worker.seen_at.map(|seen_at| self.now - seen_at),
            begun_age: begun_at.map(|begun_at| self.now - begun_at),
            lease_until: worker.latest_lapse(self.limits.longest_lease),
            basis: worker.process.lease.basis(),
        })
    }

    /// Releases all runs of a worker.
    pub(super) fn mark_all_runs_lost(&mut self, id: &WorkerId, over: RunOver) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        for (key, run) in worker.runs() {
            self.mark_run_lost(id, key, run, over);
        }
    }

    pub(super) fn discharge_run(&mut self, id: &WorkerId, key: TaskKey, run: u32) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.discharge(&key, run, now);
        }
    }

    /// Replaces the process of a worker that restarted under the same id: it has lost its earlier
    /// runs. Starts that may have reached the new process, or whose reply is pending, are kept.
    fn replace_process(&mut self, id: &WorkerId, report: &RenewalReport, asked_at: ClockTime) {
        let cause = self.silence_cause(id);
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut lost = worker.runs();
        lost.retain(|(key, run)| {
            let (key, run) = (*key, *run);
            let slot = self.assigned_slot(id, key, run);
            let reply_pending = matches!(slot, Some(AnyTask::Assigned(task))
                if matches!(task.phase.order, StartOrderState::Queued | StartOrderState::Pending));
            let rows = &report.running;
            let reported = rows.iter().any(|row| (row.task, row.run) == (key, run));
            let ended = report
                .ended
                .iter()
                .any(|row| (row.task, row.run) == (key, run));
            !reply_pending && !reported && !ended
        });
        // The new process may have run any of them; the next whole report tells.
        if report.has_more_ends {
            lost.clear();
        }
        // A run that is known to have begun since the report was requested may be one of the new process,
        // which knows of no stop.
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut late: SmallVec<[(TaskKey, u32); 8]> = SmallVec::new();
        let mut ended: SmallVec<[(TaskKey, u32, RunOver); 8]> = SmallVec::new();
        for (key, run) in &lost {
            match RunOver::restarted(worker, (*key, *run), report.incarnation, asked_at) {
                Some(over) => ended.push((*key, *run, over)),
                None => late.push((*key, *run)),
            }
        }
        lost.retain(|run| !late.contains(run));
        // The runs were lost with the earlier process.
        self.record_losses(id, &lost);
        self.record_silence(id, cause);
        self.forget_process(id, report.incarnation);
        for (key, run) in late {
            let slot = self.assigned_slot(id, key, run);
            if !matches!(slot, Some(AnyTask::Running(_))) {
                self.stop_again(id, key, run);
            }
        }
        for (key, run, over) in ended {
            if self.may_begin_after_restart(id, key, run) {
                self.stop_again(id, key, run);
            } else {
                self.mark_run_lost(id, key, run, over);
            }
        }
    }

    /// Begins anew with what is known of a worker's process.
    fn forget_process(&mut self, id: &WorkerId, incarnation: Option<u64>) {
        let (now, limits) = (self.now, self.limits);
        let mut lease = self.unknown_lease();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let seen_at = worker.seen_at.unwrap_or_default();
        let was_granted = worker.process.lease.was_granted_since(seen_at);
        if was_granted {
            lease = UnknownLease::of_restarted(now, limits.longest_lease);
        }
        worker.process = WorkerProcess::unseen(lease);
        // The record is still there, but it is about the lease of the process before.
        let stored = worker.stored_expiry.take();
        worker.stored_expiry = stored.map(|_| StoredTime::unbounded());
        self.permits.drop_process(id);
        self.log_decision(SchedulerDecision::ProcessReplaced {
            worker: id.clone(),
            incarnation,
            lease_until: lease.latest_expiry(),
            was_granted,
        });
    }

    pub(super) fn log_worker_change(&mut self, id: &WorkerId, change: WorkerChange) {
        if let Some(worker) = self.workers.get(id) {
            self.log_decision(worker_changed(worker, change));
        }
    }
}

/// Builds the log entry for a change in the state of a worker.
pub(super) fn worker_changed(worker: &Worker, change: WorkerChange) -> SchedulerDecision {
    SchedulerDecision::WorkerChanged {
        worker: worker.id.clone(),
        pool: worker.entry.pool.clone(),
        address: worker.entry.address.clone(),
        incarnation: worker.process.incarnation.or(worker.entry.incarnation),
        change,
    }
}
