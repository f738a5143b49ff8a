//! What is stored, and what waits for it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    job::{
        spec::{JobId, JobState, TaskKey},
        task::{AnyTask, TaskRun},
        wave::WaveProgress,
    },
    name::{PoolName, WorkerId},
};

use super::{Effect, Job, Scheduler};

/// Time between two batches while there is something to store: long enough for the ends of a step
/// to share a write, short against the shortest tasks.
const BATCH_PACE: ClockTime = ClockTime::from_millis(15);
/// Jobs in one batch; some 200 bytes each, well below what a call of the store takes.
const BATCH_JOBS: usize = 400;

/// A task has no run.
const MARK_WAITING: u8 = 0;
/// A task may be at work on a worker.
const MARK_PLACED: u8 = 1;
/// A task is done.
const MARK_DONE: u8 = 2;
/// A task failed as often as it may.
const MARK_SPENT: u8 = 3;

/// A task as it is stored: phase, run, failures, index of its worker, saved progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord(u8, u32, u8, u16, Option<Arc<str>>);

/// How far a job is, as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// How it ended.
    pub ended: Option<JobState>,
    /// Workers that the marks point at.
    pub workers: SmallVec<[WorkerId; 4]>,
    /// Marks of the tasks by occurrence and step.
    pub occurrences: Vec<Vec<Vec<TaskRecord>>>,
}

impl JobProgress {
    fn of(job: &Job) -> Self {
        let mut progress = Self::default();
        for occurrence in &job.occurrences {
            let mut steps = Vec::with_capacity(occurrence.steps.len());
            for tasks in &occurrence.steps {
                steps.push(tasks.iter().map(|task| progress.mark(task)).collect());
            }
            progress.occurrences.push(steps);
        }
        progress
    }

    fn final_state(state: JobState) -> Self {
        Self {
            ended: Some(state),
            ..Self::default()
        }
    }

    fn mark(&mut self, task: &AnyTask) -> TaskRecord {
        let (phase, worker) = match task {
            AnyTask::Done { .. } => (MARK_DONE, 0),
            AnyTask::Exhausted { .. } => (MARK_SPENT, 0),
            other => match other.placed() {
                Some((worker, _)) => (MARK_PLACED, self.worker_index(worker)),
                None => (MARK_WAITING, 0),
            },
        };
        let saved = task.saved().cloned();
        TaskRecord(phase, task.run(), task.failures(), worker, saved)
    }

    fn worker_index(&mut self, id: &WorkerId) -> u16 {
        let known = self.workers.iter().position(|worker| worker == id);
        let at = known.unwrap_or_else(|| {
            self.workers.push(id.clone());
            self.workers.len() - 1
        });
        at as u16
    }

    /// The task that a mark stands for; a placed one is adopted until its worker reports.
    pub(super) fn task(&self, mark: &TaskRecord, now: ClockTime) -> AnyTask {
        let TaskRecord(phase, run, failures, worker, saved) = mark.clone();
        match phase {
            MARK_DONE => AnyTask::Done { run },
            MARK_SPENT => AnyTask::Exhausted { run, failures },
            MARK_PLACED => {
                let task = TaskRun::restore(run, failures, saved);
                match self.workers.get(usize::from(worker)) {
                    Some(worker) => AnyTask::Assigned(task.adopt(worker.clone(), now)),
                    None => AnyTask::Waiting(task),
                }
            }
            _ => AnyTask::Waiting(TaskRun::restore(run, failures, saved)),
        }
    }
}

/// One record of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchRecord {
    /// How far a job is.
    Progress(JobId, JobProgress),
    /// Nothing more need be known of a job.
    Remove(JobId),
    /// How far a wave is.
    Wave(u64, WaveProgress),
    /// By when all that a worker holds lapses, by the owner's clock; none where that no longer holds.
    LeaseExpiry(WorkerId, Option<ClockTime>),
    /// How many VMs each pool stands at without a surge.
    BaseSizes(BTreeMap<PoolName, usize>),
}

/// Records that are stored all or none.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Its number, from 1.
    pub number: u64,
    /// Its records.
    pub records: Vec<BatchRecord>,
}

/// What waits for a batch that is being stored.
#[derive(Debug, Default)]
struct InFlight {
    orders: Vec<(TaskKey, u32)>,
    ends: Vec<(JobId, JobState)>,
    begun: Vec<JobId>,
    cursors: Vec<(WorkerId, Option<u64>, u64)>,
    /// Workers whose record of lapse goes with the batch.
    renewable: Vec<WorkerId>,
}

/// What has to be stored next.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    touched: BTreeSet<JobId>,
    orders: Vec<(TaskKey, u32)>,
    ends: BTreeMap<JobId, JobState>,
    extra: Vec<BatchRecord>,
    in_flight: Option<InFlight>,
    last_number: u64,
    flushed_at: ClockTime,
}

impl Outbox {
    /// A job's progress has changed.
    pub(super) fn touch(&mut self, job: JobId) {
        self.touched.insert(job);
    }

    /// A start that must not go out before its run is stored.
    pub(super) fn order(&mut self, task: TaskKey, run: u32) {
        self.orders.push((task, run));
    }

    /// A job has ended; true the first time.
    pub(super) fn end(&mut self, job: JobId, state: JobState) -> bool {
        let flying = self.in_flight.as_ref();
        if flying.is_some_and(|batch| batch.ends.iter().any(|(id, _)| *id == job)) {
            return false;
        }
        self.touched.insert(job);
        self.ends.insert(job, state).is_none()
    }

    /// A job is no longer kept.
    pub(super) fn drop_progress(&mut self, job: JobId) {
        self.extra.push(BatchRecord::Remove(job));
    }

    /// Another record.
    pub(super) fn push(&mut self, record: BatchRecord) {
        self.extra.push(record);
    }

    fn is_empty(&self) -> bool {
        self.touched.is_empty() && self.extra.is_empty()
    }
}

impl Scheduler {
    /// Puts what has changed into a batch, one at a time.
    pub(super) fn flush(&mut self) {
        if self.outbox.in_flight.is_some() {
            return;
        }
        if self.outbox.is_empty() {
            self.advance_cursors();
            return;
        }
        if self.now < self.outbox.flushed_at + BATCH_PACE {
            return;
        }
        let batch = self.take_batch();
        self.effects.push(Effect::Store(batch));
    }

    fn take_batch(&mut self) -> Batch {
        let mut flying = InFlight::default();
        let mut records = std::mem::take(&mut self.outbox.extra);
        let renewable = records.iter().filter_map(|record| match record {
            BatchRecord::LeaseExpiry(worker, None) => Some(worker.clone()),
            _ => None,
        });
        flying.renewable = renewable.collect();
        let touched: Vec<JobId> = self
            .outbox
            .touched
            .iter()
            .take(BATCH_JOBS)
            .copied()
            .collect();
        for id in touched {
            self.outbox.touched.remove(&id);
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let progress = match self.outbox.ends.remove(&id) {
                Some(state) => {
                    flying.ends.push((id, state));
                    JobProgress::final_state(state)
                }
                None => JobProgress::of(job),
            };
            if job.has_begun() {
                flying.begun.push(id);
            }
            records.push(BatchRecord::Progress(id, progress));
        }
        // With jobs left over, some ends are not in this batch.
        if self.outbox.touched.is_empty() {
            flying.cursors = self.pending_cursors();
        }
        let left = &self.outbox.touched;
        let (later, now) = std::mem::take(&mut self.outbox.orders)
            .into_iter()
            .partition(|(task, _)| left.contains(&task.job));
        flying.orders = now;
        self.outbox.orders = later;
        self.outbox.last_number += 1;
        self.outbox.flushed_at = self.now;
        self.outbox.in_flight = Some(flying);
        Batch {
            number: self.outbox.last_number,
            records,
        }
    }

    fn pending_cursors(&self) -> Vec<(WorkerId, Option<u64>, u64)> {
        let workers = self.workers.values();
        let behind = workers.filter(|worker| worker.end_seen > worker.end_stored);
        behind
            .map(|worker| (worker.id.clone(), worker.incarnation, worker.end_seen))
            .collect()
    }

    /// Nothing waits to be stored: all ends seen so far changed nothing.
    fn advance_cursors(&mut self) {
        for worker in self.workers.values_mut() {
            worker.end_stored = worker.end_seen;
        }
    }

    /// A batch is stored: starts go out, callers may hear of ends, workers may forget them.
    pub fn batch_stored(&mut self, number: u64, now: ClockTime) {
        self.now = now;
        if number != self.outbox.last_number {
            return;
        }
        let Some(batch) = self.outbox.in_flight.take() else {
            return;
        };
        for (id, born, cursor) in batch.cursors {
            let worker = self.workers.get_mut(&id);
            if let Some(worker) = worker.filter(|worker| worker.incarnation == born) {
                worker.end_stored = worker.end_stored.max(cursor);
            }
        }
        for id in batch.renewable {
            let worker = self.workers.get_mut(&id);
            if let Some(worker) = worker.filter(|worker| worker.silent_since.is_none()) {
                worker.lapse_stored = false;
            }
        }
        for id in batch.begun {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.life = job.life.begin();
            }
        }
        for (id, state) in batch.ends {
            self.finish(id, state);
        }
        for (task, run) in batch.orders {
            self.release_start(task, run);
        }
    }

    fn release_start(&mut self, task: TaskKey, run: u32) {
        let (max_lease, now) = (self.limits.max_lease, self.now);
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(AnyTask::Assigned(assigned)) = job.task(&task) else {
            return;
        };
        if assigned.run != run {
            return;
        }
        let worker = assigned.phase.worker.clone();
        if job.life.goal().is_some() {
            self.withdraw_start(&worker, task, run);
            return;
        }
        let start = Effect::Start {
            task,
            run,
            payload: job.spec.payload.clone(),
            saved: assigned.saved.clone(),
            lease_until: self
                .workers
                .get_mut(&worker)
                .and_then(|known| known.lease.extend(max_lease, now)),
            permit: self.permits.find(task.into(), &worker, now),
            worker,
        };
        self.effects.push(start);
    }

    /// A start that was stored and is no longer wanted: it was never sent.
    fn withdraw_start(&mut self, worker: &WorkerId, task: TaskKey, run: u32) {
        if let Some(slot) = self.assigned_slot(worker, task, run) {
            *slot = slot.clone().released();
        }
        self.vacate(worker, task);
        self.outbox.touch(task.job);
    }
}
