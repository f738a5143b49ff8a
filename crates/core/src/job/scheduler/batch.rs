//! Batches of records to store, and the effects that wait for them.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    job::{
        crash::CrashHistory,
        occurrence::StepTasks,
        spec::{JobId, JobSpec, JobState, Resources, TaskKey, is_default},
        stored_time::StoredTime,
        succession::SuccessionRecord,
        task::{AnyTask, FailedRuns, TaskRun},
        wave::WaveProgress,
    },
    name::{PoolName, TenantName, VmName, WorkerId},
};

use super::{Effect, Job, Scheduler};

/// Minimum time between two batches: long enough for the ends of one step to share a write, short
/// compared with the shortest tasks.
const BATCH_INTERVAL: ClockTime = ClockTime::from_millis(15);
/// Maximum jobs of a batch. At about 200 bytes per job it is stored with one call.
const MAX_BATCH_JOBS: usize = 400;

/// Maximum records of tasks in occurrences that are done. Releases before [`JobProgress::done`] need all of them;
/// beyond this number, a job's progress would grow with each time that it has run.
const MAX_DONE_RECORDS: usize = 256;

/// The task has no run.
const PHASE_WAITING: u8 = 0;
/// The task may be running on a worker.
const PHASE_PLACED: u8 = 1;
/// The task is done.
const PHASE_DONE: u8 = 2;
/// The task reached its maximum number of failures.
const PHASE_EXHAUSTED: u8 = 3;

/// Stored form of a task: phase, run number, failures, index of the worker, checkpoint, numbers of
/// the failed runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord(
    u8,
    u32,
    u8,
    u16,
    Option<Arc<str>>,
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")] SmallVec<[u32; 2]>,
);

impl TaskRecord {
    /// A task of an occurrence whose runs are not known any more.
    fn done() -> Self {
        Self(PHASE_DONE, 1, 0, 0, None, SmallVec::new())
    }

    /// Returns whether the task has never had a run.
    fn is_fresh(&self) -> bool {
        let Self(phase, run, failures, _, checkpoint, _) = self;
        *phase == PHASE_WAITING && *run == 0 && *failures == 0 && checkpoint.is_none()
    }

    fn is_done(&self) -> bool {
        self.0 == PHASE_DONE
    }
}

/// Stored progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// Final state, once the job has ended.
    pub ended: Option<JobState>,
    /// Workers that the task records refer to by index.
    pub workers: SmallVec<[WorkerId; 4]>,
    /// Number of occurrences at the beginning of the schedule that are done and have no records.
    #[serde(default, skip_serializing_if = "is_default")]
    pub done: u32,
    /// Task records by occurrence and step. Tasks behind the last record of a step, and occurrences behind the
    /// last one, have never had a run.
    pub occurrences: Vec<Vec<Vec<TaskRecord>>>,
    /// Tasks whose runs were lost together with their workers.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub crashes: BTreeMap<TaskKey, CrashHistory>,
    /// Numbers of failures that exceed the one byte of a task record, by occurrence, step and index.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub large_failures: Vec<(u32, u16, u16, u32)>,
    /// True if a run of some task was known to have started. A start alone is not stored: after a
    /// takeover a job counts as waiting until a worker reports its run.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub started: bool,
    /// Tenant of an ended job, whose specification is removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<TenantName>,
    /// What runs of an ended job may take that are not known to have ended.
    #[serde(default, skip_serializing_if = "is_default")]
    pub loose: Resources,
}

impl JobProgress {
    fn of(job: &Job) -> Self {
        let mut progress = Self {
            crashes: job.crashes.clone(),
            started: job.has_started(),
            ..Self::default()
        };
        let counts = || job.spec.steps.iter().map(|step| usize::from(step.count));
        let done_steps = || {
            counts()
                .map(|count| vec![TaskRecord::done(); count])
                .collect()
        };
        let done = job.occurrences.count_done();
        let done_tasks = (done as usize).saturating_mul(job.spec.count_tasks());
        if done_tasks <= MAX_DONE_RECORDS && job.spec.is_readable_by_earlier_releases() {
            let records = (0..done).map(|_| done_steps());
            progress.occurrences.extend(records);
        } else {
            progress.done = done;
        }
        let failures = job.occurrences.tasks();
        let failures = failures.map(|(position, task)| (position, task.failures()));
        let large = failures.filter(|(_, failures)| *failures > u8::MAX.into());
        let large = large.map(|((number, step, index), failures)| (number, step, index, failures));
        progress.large_failures = large.collect();
        for (_, occurrence) in job.occurrences.open() {
            let steps = if occurrence.steps().is_empty() {
                done_steps()
            } else {
                let touched = occurrence.steps().iter().map(StepTasks::touched);
                let records = |tasks: &[AnyTask]| {
                    let records = tasks.iter().map(|task| progress.record(task));
                    records.collect()
                };
                touched.map(records).collect()
            };
            progress.occurrences.push(steps);
        }
        progress
    }

    /// Occurrences that have begun; those before them are done.
    pub(super) fn begun_occurrences(&self, spec: &JobSpec) -> Range<u32> {
        let is_done = |steps: &&Vec<Vec<TaskRecord>>| {
            spec.steps.iter().enumerate().all(|(step, spec)| {
                let records = steps.get(step).map_or(&[][..], Vec::as_slice);
                records.len() >= usize::from(spec.count) && records.iter().all(TaskRecord::is_done)
            })
        };
        let has_begun = |steps: &Vec<Vec<TaskRecord>>| {
            let mut records = steps.iter().flatten();
            records.any(|record| !record.is_fresh())
        };
        let done = self.occurrences.iter().take_while(is_done).count();
        let begun = self.occurrences.iter().rposition(has_begun);
        let end = begun.map_or(0, |last| last + 1);
        self.done + done as u32..self.done + end.max(done) as u32
    }

    /// Iterates over the records of tasks that may have had a run.
    pub(super) fn begun_tasks(&self, job: JobId) -> impl Iterator<Item = (TaskKey, &TaskRecord)> {
        let occurrences = (self.done..).zip(&self.occurrences);
        let records = occurrences.flat_map(move |(occurrence, steps)| {
            (0u16..).zip(steps).flat_map(move |(step, records)| {
                (0u16..).zip(records).map(move |(index, record)| {
                    let key = TaskKey {
                        job,
                        occurrence,
                        step,
                        index,
                    };
                    (key, record)
                })
            })
        });
        records.filter(|(_, record)| !record.is_fresh())
    }

    /// Returns the progress without the crashes of workers: a later owner attributes them anew.
    pub fn without_crashes(&self) -> Self {
        Self {
            crashes: BTreeMap::new(),
            ..self.clone()
        }
    }

    /// Returns the progress without checkpoints: tasks whose runs end early begin anew.
    pub fn without_checkpoints(mut self) -> Self {
        let steps = self.occurrences.iter_mut().flatten();
        for TaskRecord(_, _, _, _, checkpoint, _) in steps.flatten() {
            *checkpoint = None;
        }
        self
    }

    fn final_state(state: JobState, tenant: Option<TenantName>, loose: Resources) -> Self {
        Self {
            ended: Some(state),
            tenant,
            loose,
            ..Self::default()
        }
    }

    fn record(&mut self, task: &AnyTask) -> TaskRecord {
        let (phase, worker) = match task {
            AnyTask::Done { .. } => (PHASE_DONE, 0),
            AnyTask::Exhausted { .. } => (PHASE_EXHAUSTED, 0),
            other => match other.placed() {
                Some((worker, _)) => (PHASE_PLACED, self.worker_index(worker)),
                None => (PHASE_WAITING, 0),
            },
        };
        let checkpoint = task.checkpoint().cloned();
        let failed_runs = task.failed_runs().map(FailedRuns::runs);
        TaskRecord(
            phase,
            task.run(),
            u8::try_from(task.failures()).unwrap_or(u8::MAX),
            worker,
            checkpoint,
            failed_runs.cloned().unwrap_or_default(),
        )
    }

    fn worker_index(&mut self, id: &WorkerId) -> u16 {
        let known = self.workers.iter().position(|worker| worker == id);
        let index = known.unwrap_or_else(|| {
            self.workers.push(id.clone());
            self.workers.len() - 1
        });
        index as u16
    }

    /// Restores a task from its record. A placed task counts as assigned until its worker reports.
    pub(super) fn task(&self, key: &TaskKey, record: &TaskRecord, now: ClockTime) -> AnyTask {
        let TaskRecord(phase, run, failures, worker, checkpoint, failed_runs) = record.clone();
        let position = (key.occurrence, key.step, key.index);
        let mut large = self.large_failures.iter();
        let large = large.find(|(number, step, index, _)| (*number, *step, *index) == position);
        let failures = large.map_or(u32::from(failures), |(_, _, _, failures)| *failures);
        let failed_runs = FailedRuns::restore(failures, failed_runs, run);
        match phase {
            PHASE_DONE => AnyTask::Done { run },
            PHASE_EXHAUSTED => AnyTask::Exhausted { run, failed_runs },
            PHASE_PLACED => {
                let task = TaskRun::restore(run, failed_runs, checkpoint);
                match self.workers.get(usize::from(worker)) {
                    Some(worker) => AnyTask::Assigned(task.adopt(worker.clone(), now)),
                    None => AnyTask::Waiting(task),
                }
            }
            _ => AnyTask::Waiting(TaskRun::restore(run, failed_runs, checkpoint)),
        }
    }
}

/// A record of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchRecord {
    /// Progress of a job.
    Progress(JobId, JobProgress),
    /// Removal of a job's progress.
    Remove(JobId),
    /// Progress of a maintenance wave.
    Wave(u64, WaveProgress),
    /// Time by which the lease of a worker has certainly expired; `None` clears the record.
    LeaseExpiry(WorkerId, Option<StoredTime>),
    /// Number of VMs of each pool outside surges.
    BaseSizes(BTreeMap<PoolName, usize>),
    /// Members whose promises the owner uses.
    Succession(SuccessionRecord),
}

/// Records to be stored in order. Each takes effect by itself, and what depends on the batch waits for
/// all of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Sequence number, starting at 1.
    pub number: u64,
    /// Records to store.
    pub records: Vec<BatchRecord>,
}

/// Changes that take effect once the batch in flight is stored.
#[derive(Debug, Default)]
struct BatchInFlight {
    starts: Vec<(TaskKey, u32)>,
    /// VMs whose maintenance is ordered once the batch is stored.
    maintenances: Vec<VmName>,
    ends: Vec<(JobId, JobState)>,
    begun: Vec<JobId>,
    /// Workers with their incarnation and the number of the last end that the batch stores.
    cursors: Vec<(WorkerId, Option<u64>, u64)>,
    /// Workers whose lease expiry record is cleared by the batch.
    expiry_cleared: Vec<WorkerId>,
    /// True if the batch stores the succession record.
    has_succession: bool,
}

/// Changes to be stored with the next batch.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    changed: BTreeSet<JobId>,
    starts: Vec<(TaskKey, u32)>,
    /// VMs whose maintenance is ordered once the records are stored.
    maintenances: Vec<VmName>,
    ends: BTreeMap<JobId, JobState>,
    records: Vec<BatchRecord>,
    /// Progress of waves that has changed.
    waves: BTreeMap<u64, WaveProgress>,
    /// Lease expiries to store or, if `None`, to clear.
    expiries: BTreeMap<WorkerId, Option<StoredTime>>,
    in_flight: Option<BatchInFlight>,
    last_number: u64,
    flushed_at: ClockTime,
}

impl Outbox {
    /// Marks the progress of a job as changed.
    pub(super) fn mark_changed(&mut self, job: JobId) {
        self.changed.insert(job);
    }

    /// Queues a start order, which must not be sent before its run is stored.
    pub(super) fn queue_start(&mut self, task: TaskKey, run: u32) {
        self.starts.push((task, run));
    }

    /// Queues an order on a VM, which must not be sent before the records are stored.
    pub(super) fn queue_maintenance(&mut self, vm: VmName) {
        self.maintenances.push(vm);
    }

    /// Records the end of a job; returns true the first time.
    pub(super) fn record_end(&mut self, job: JobId, state: JobState) -> bool {
        let in_flight = self.in_flight.as_ref();
        if in_flight.is_some_and(|batch| batch.ends.iter().any(|(id, _)| *id == job)) {
            return false;
        }
        self.changed.insert(job);
        self.ends.insert(job, state).is_none()
    }

    /// Removes the stored progress of a job.
    pub(super) fn remove_progress(&mut self, job: JobId) {
        self.records.push(BatchRecord::Remove(job));
    }

    /// Adds a record to the next batch.
    pub(super) fn push(&mut self, record: BatchRecord) {
        self.records.push(record);
    }

    /// Stores the progress of a wave with the next batch, which holds only the last change of each wave.
    pub(super) fn set_wave(&mut self, number: u64, progress: WaveProgress) {
        self.waves.insert(number, progress);
    }

    /// Stores or clears the lease expiry of a worker with the next batch, which holds only the last
    /// change of each worker.
    pub(super) fn set_expiry(&mut self, worker: &WorkerId, expiry: Option<StoredTime>) {
        self.expiries.insert(worker.clone(), expiry);
    }

    /// Returns whether nothing is being stored or waits for it.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.is_empty()
    }

    fn is_empty(&self) -> bool {
        self.changed.is_empty()
            && self.records.is_empty()
            && self.waves.is_empty()
            && self.expiries.is_empty()
    }
}

impl Scheduler {
    /// Emits the next batch, unless one is in flight.
    pub(super) fn flush(&mut self) {
        if self.outbox.in_flight.is_some() {
            return;
        }
        if self.outbox.is_empty() {
            self.advance_cursors();
            return;
        }
        if self.now < self.outbox.flushed_at + BATCH_INTERVAL {
            return;
        }
        let batch = self.take_batch();
        self.effects.push(Effect::Store(batch));
    }

    fn take_batch(&mut self) -> Batch {
        let mut in_flight = BatchInFlight::default();
        let mut records = std::mem::take(&mut self.outbox.records);
        let waves = std::mem::take(&mut self.outbox.waves).into_iter();
        records.extend(waves.map(|(number, progress)| BatchRecord::Wave(number, progress)));
        in_flight.maintenances = std::mem::take(&mut self.outbox.maintenances);
        for (worker, expiry) in std::mem::take(&mut self.outbox.expiries) {
            if expiry.is_none() {
                in_flight.expiry_cleared.push(worker.clone());
            }
            records.push(BatchRecord::LeaseExpiry(worker, expiry));
        }
        let changed: Vec<JobId> = self
            .outbox
            .changed
            .iter()
            .take(MAX_BATCH_JOBS)
            .copied()
            .collect();
        for id in changed {
            self.outbox.changed.remove(&id);
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let progress = match self.outbox.ends.remove(&id) {
                Some(state) => {
                    in_flight.ends.push((id, state));
                    let loose = self.loose_usage(id, job);
                    JobProgress::final_state(state, job.spec.tenant.clone(), loose)
                }
                None => JobProgress::of(job),
            };
            if job.has_begun() {
                in_flight.begun.push(id);
            }
            records.push(BatchRecord::Progress(id, progress));
        }
        // If changed jobs remain, some reported ends are not part of this batch.
        if self.outbox.changed.is_empty() {
            in_flight.cursors = self.pending_cursors();
        }
        let unstored = &self.outbox.changed;
        let (deferred, ready) = std::mem::take(&mut self.outbox.starts)
            .into_iter()
            .partition(|(task, _)| unstored.contains(&task.job));
        in_flight.starts = ready;
        self.outbox.starts = deferred;
        let is_succession = |record: &BatchRecord| matches!(record, BatchRecord::Succession(_));
        in_flight.has_succession = records.iter().any(is_succession);
        self.outbox.last_number += 1;
        self.outbox.flushed_at = self.now;
        self.outbox.in_flight = Some(in_flight);
        Batch {
            number: self.outbox.last_number,
            records,
        }
    }

    fn pending_cursors(&self) -> Vec<(WorkerId, Option<u64>, u64)> {
        let workers = self.workers.values();
        let behind = workers.filter(|worker| worker.has_unstored_ends());
        behind
            .map(|worker| {
                (
                    worker.id.clone(),
                    worker.process.incarnation,
                    worker.process.end_seen,
                )
            })
            .collect()
    }

    /// Acknowledges all reported ends: with nothing left to store, none of them changed any state.
    fn advance_cursors(&mut self) {
        for worker in self.workers.values_mut() {
            worker.process.end_stored = worker.process.end_seen;
        }
    }

    /// Handles the completion of a batch: its start orders may be sent, ends become visible to callers, and
    /// workers may discard them.
    pub fn batch_stored(&mut self, number: u64, now: ClockTime) {
        self.now = now;
        if number != self.outbox.last_number {
            return;
        }
        let Some(batch) = self.outbox.in_flight.take() else {
            return;
        };
        if batch.has_succession {
            self.succession.record_stored();
        }
        for (id, incarnation, cursor) in batch.cursors {
            let worker = self.workers.get_mut(&id);
            if let Some(worker) = worker.filter(|worker| worker.process.incarnation == incarnation)
            {
                worker.process.end_stored = worker.process.end_stored.max(cursor);
            }
        }
        for id in batch.expiry_cleared {
            let worker = self.workers.get_mut(&id);
            if let Some(worker) = worker.filter(|worker| worker.silent_since.is_none()) {
                worker.stored_expiry = None;
            }
        }
        for id in batch.begun {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.life = job.life.begin();
            }
        }
        for (id, state) in batch.ends {
            self.close_job(id, state);
        }
        for vm in batch.maintenances {
            self.send_queued_order(&vm);
        }
        self.ready_starts.extend(batch.starts);
    }
}
