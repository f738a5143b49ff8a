//! Jobs: their tasks, which of them may start, and when a job has ended.

use std::{collections::BTreeMap, sync::Arc};

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    job::{
        charge::RunCost,
        clock_reading::ClockReading,
        crash::CrashHistory,
        life::{ClosedLife, JobLife, OpenLife},
        memory::{MemoryRoom, MemoryUsage, job_bytes},
        occurrence::{OccurrenceTable, StepTasks},
        order::JobUrgency,
        refusal::StartRefusals,
        spec::{JobId, JobSpec, JobState, JobTerms, Resources, StepKey, StepSpec, TaskKey},
        task::AnyTask,
        tenant_account::{TenantAccounts, TenantSlot},
    },
    name::{TenantName, WorkerId},
};

use super::{Effect, JobProgress, ParkedJob, Scheduler, SchedulerDecision, demand::FleetRooms};

/// Bodies removed by one effect.
const MAX_REMOVAL_BATCH: usize = 64;

/// Time for which the cancellation of an unknown job is kept: several times the longest delay of a
/// write to the store.
const EARLY_CANCEL_RETENTION: ClockTime = ClockTime::from_millis(30_000);

/// Returns whether a caller of the given tenant may see and cancel a job of `owner`: one of its own, or one that was
/// submitted without a key.
pub(super) fn may_act_on(owner: Option<&TenantName>, tenant: Option<&TenantName>) -> bool {
    owner.is_none() || owner == tenant
}

/// A job that has not ended.
#[derive(Clone, Debug)]
pub struct Job {
    /// Specification submitted by the caller.
    pub spec: Arc<JobSpec>,
    /// Repetitions of the job's steps.
    pub occurrences: OccurrenceTable,
    /// Bytes that it takes with one open occurrence.
    bytes: u64,
    /// Life cycle phase.
    pub life: OpenLife,
    /// Terms currently in force.
    pub terms: JobTerms,
    /// Tenant that submitted the job.
    pub(super) tenant: Option<TenantSlot>,
    /// True if the tenant has sent the job beyond its rate.
    is_surplus: bool,
    /// Local time from which the objective counts: that of the receipt, or of the first occurrence.
    starts_at: ClockTime,
    /// True if a run of some task is known to have started.
    started: bool,
    /// True if a task or the life cycle has changed since the job was last reviewed.
    changed: bool,
    /// True if some task could start when the job was last reviewed.
    has_startable: bool,
    /// Worker to avoid for a task: it failed there, or a start order was left unanswered.
    pub(super) avoided_workers: SmallVec<[(TaskKey, WorkerId); 2]>,
    /// True if one of its steps waits for what no worker of the pool has.
    pub(super) waits_in_vain: bool,
    /// Steps whose start orders were refused for want of room.
    refusals: BTreeMap<StepKey, StartRefusals>,
    /// Tasks whose runs were lost together with their workers.
    pub(super) crashes: BTreeMap<TaskKey, CrashHistory>,
    /// Time from which the loss of a run counts as evidence again, after workers have ended for other
    /// reasons.
    pub(super) calm_from: ClockTime,
}

impl Job {
    /// Counts the job against its tenant's rate. Repeated and long-running jobs are not timed by their receipt.
    fn meter(&mut self, tenants: &mut TenantAccounts) {
        if let Some(slot) = self.tenant.filter(|_| self.spec.runs_once()) {
            self.is_surplus = tenants.record_job(slot, self.starts_at);
        }
    }

    /// Returns whether the tenant has sent the job beyond its rate.
    pub(super) fn is_surplus(&self) -> bool {
        self.is_surplus
    }

    /// Returns whether any task has ever had a run.
    pub fn has_begun(&self) -> bool {
        let is_past = self.occurrences.count_done() > 0;
        is_past || self.touched_tasks().any(|task| task.run() > 0)
    }

    /// Returns whether a run of any task is known to have started. The number of a run says nothing
    /// about that: its start order may have been refused, lost or never sent.
    pub(super) fn has_started(&self) -> bool {
        self.started
    }

    /// Records that a worker has started a run of a task.
    pub(super) fn record_start(&mut self, key: &TaskKey) {
        self.started = true;
        self.refusals.remove(&StepKey::from(*key));
    }

    /// Returns whether the records of the tasks show that a run has started.
    fn shows_start(&self) -> bool {
        let is_past = self.occurrences.count_done() > 0;
        is_past
            || self.touched_tasks().any(|task| {
                task.is_terminal() || task.failures() > 0 || task.checkpoint().is_some()
            })
    }

    /// Iterates over the tasks of open occurrences with their occurrence, step and index.
    pub fn tasks(&self) -> impl Iterator<Item = ((u32, u16, u16), &AnyTask)> {
        self.occurrences.tasks()
    }

    /// Iterates over the steps of open occurrences with their numbers.
    pub(super) fn open_steps(&self) -> impl Iterator<Item = (u16, &StepTasks)> {
        let open = self.occurrences.open();
        open.flat_map(|(_, occurrence)| (0u16..).zip(occurrence.steps()))
    }

    /// Returns the tasks of a task's step, if that is open.
    pub(super) fn step_tasks(&self, key: &TaskKey) -> Option<&StepTasks> {
        let occurrence = self.occurrences.get(key.occurrence)?;
        occurrence.steps().get(usize::from(key.step))
    }

    /// Iterates over the tasks that may have had a run.
    fn touched_tasks(&self) -> impl Iterator<Item = &AnyTask> {
        self.open_steps().flat_map(|(_, tasks)| tasks.touched())
    }

    /// Returns the task with the given key.
    pub fn task(&self, key: &TaskKey) -> Option<&AnyTask> {
        self.occurrences.task(&self.spec, key)
    }

    pub(super) fn task_mut(&mut self, key: &TaskKey) -> Option<&mut AnyTask> {
        self.changed = true;
        self.occurrences.task_mut(key)
    }

    /// Returns the step of a task.
    pub fn step(&self, key: &TaskKey) -> &StepSpec {
        &self.spec.steps[usize::from(key.step)]
    }

    /// Maximum number of failures of a task; `None` for long-running tasks, which are always
    /// restarted.
    pub(super) fn max_failures(&self, key: &TaskKey) -> Option<u32> {
        (!self.step(key).long_running).then_some(self.terms.max_failures)
    }

    /// Records that a start order of a task was refused for want of room; returns whether the worker may be
    /// the cause.
    pub(super) fn record_refusal(
        &mut self,
        key: &TaskKey,
        ordered_at: ClockTime,
        now: ClockTime,
    ) -> bool {
        let refusals = self.refusals.entry((*key).into()).or_default();
        refusals.record(ordered_at, now)
    }

    /// Returns whether a task waits as start orders of its step were refused.
    pub(super) fn is_paused(&self, key: &TaskKey, now: ClockTime) -> bool {
        let refusals = self.refusals.get(&StepKey::from(*key));
        refusals.is_some_and(|refusals| refusals.is_paused(now))
    }

    /// Opens the occurrences whose time has come, and drops those that are done.
    fn review_occurrences(
        &mut self,
        reading: Option<ClockReading>,
        room: &mut MemoryRoom,
        now: ClockTime,
    ) {
        if let (Some(repeat), Some(reading)) = (self.spec.repeat, reading) {
            self.starts_at = reading.local_time(repeat.start_at);
            self.drop_done_occurrences();
            if self.life.goal().is_none() {
                let wall = reading.shown_time(now);
                self.occurrences.open_due(&self.spec, wall, room);
            }
        }
    }

    /// Drops the state of the first occurrences that are done, and what is known of their tasks besides.
    fn drop_done_occurrences(&mut self) {
        let before = self.occurrences.count_done();
        self.occurrences.drop_done();
        let first = self.occurrences.count_done();
        if first > before {
            self.avoided_workers
                .retain(|(task, _)| task.occurrence >= first);
            self.refusals.retain(|step, _| step.occurrence >= first);
            self.crashes.retain(|task, _| task.occurrence >= first);
        }
    }

    /// Has the job reviewed in the next step.
    pub(super) fn mark_changed(&mut self) {
        self.changed = true;
    }

    pub(super) fn set_avoided_worker(&mut self, key: TaskKey, worker: WorkerId) {
        self.avoided_workers.retain(|(task, _)| *task != key);
        self.avoided_workers.push((key, worker));
    }

    /// Iterates over waiting tasks whose dependencies are done and whose start time has come.
    pub fn startable(&self, id: JobId, now: ClockTime) -> impl Iterator<Item = TaskKey> {
        let steps = self.startable_steps(id);
        steps.flat_map(move |step| self.startable_in(step, 0, now))
    }

    /// Iterates over the steps whose dependencies are done and whose start time has come, and which have waiting
    /// tasks.
    pub(super) fn startable_steps(&self, id: JobId) -> impl Iterator<Item = StepKey> {
        let is_ending = self.life.goal().is_some();
        let occurrences = self.occurrences.open();
        let due = occurrences.filter(move |(_, occurrence)| !is_ending && occurrence.is_due());
        due.flat_map(move |(number, occurrence)| {
            let steps = (0u16..).zip(self.spec.steps.iter().zip(occurrence.steps()));
            let ready = steps
                .filter(|(_, (spec, tasks))| tasks.has_waiting() && occurrence.is_step_ready(spec));
            ready.map(move |(step, _)| StepKey {
                job: id,
                occurrence: number,
                step,
            })
        })
    }

    /// Iterates over the waiting tasks of a step from an index on that could start if their step may.
    pub(super) fn startable_in(
        &self,
        step: StepKey,
        from: u16,
        now: ClockTime,
    ) -> impl Iterator<Item = TaskKey> {
        let tasks = self.step_tasks(&step.task(0)).into_iter();
        let tasks = tasks.flat_map(move |tasks| (from..).zip(tasks.iter_from(from)));
        let waiting = tasks.filter(|(_, task)| matches!(task, AnyTask::Waiting(_)));
        let keys = waiting.map(move |(index, _)| step.task(index));
        keys.filter(move |key| !self.is_held(key, now) && !self.is_paused(key, now))
    }

    /// Number of waiting tasks of a step.
    pub(super) fn count_waiting_in(&self, step: StepKey) -> usize {
        let tasks = self.step_tasks(&step.task(0));
        tasks.map_or(0, StepTasks::count_waiting)
    }

    /// Counts the tasks that could start, by step.
    pub(super) fn count_startable(
        &self,
        id: JobId,
        now: ClockTime,
    ) -> impl Iterator<Item = (u16, usize)> {
        let may_hold = !self.crashes.is_empty() || !self.refusals.is_empty();
        self.startable_steps(id).map(move |step| {
            let count = if may_hold {
                self.startable_in(step, 0, now).count()
            } else {
                self.count_waiting_in(step)
            };
            (step.step, count)
        })
    }

    /// Computes the job's place in the pool's queue; `mean` is the mean duration of a task of its
    /// kind.
    pub(super) fn urgency(&self, mean: ClockTime, now: ClockTime) -> JobUrgency {
        if self.spec.is_long_running() {
            return JobUrgency::long_running(self.terms.priority, self.starts_at);
        }
        let chain = self.spec.chain_len() * mean.as_millis();
        let stretched = ClockTime::from_millis((chain as f64 * self.terms.stretch) as u64);
        let deadline = self.starts_at + stretched + self.terms.objective;
        let remaining = ClockTime::from_millis(self.remaining_chain_len() * mean.as_millis());
        let is_new = !self.has_begun();
        JobUrgency::for_deadline(self.terms.priority, deadline, remaining, is_new, now)
            .with_surplus(self.is_surplus)
    }

    /// Resources of the tasks that have no run and have not ended, of steps that their pool may come to run.
    pub(super) fn waiting_need(&self, rooms: &FleetRooms) -> Resources {
        let fitting = rooms.fitting_steps(self);
        let steps = self.open_steps();
        let steps = steps.filter(|(step, _)| fitting[usize::from(*step)]);
        let needs = steps.map(|(step, tasks)| {
            let need = self.spec.steps[usize::from(step)].charged();
            need.times(tasks.count_waiting() as u64)
        });
        needs.fold(Resources::default(), |sum, need| sum.plus(&need))
    }

    /// Number of steps on the longest dependency chain that are not done.
    fn remaining_chain_len(&self) -> u64 {
        let Some((_, occurrence)) = self.occurrences.open().next() else {
            return self.spec.chain_len();
        };
        let mut depths: SmallVec<[u64; 8]> = SmallVec::new();
        for (number, step) in (0u16..).zip(&self.spec.steps) {
            let dependencies = step
                .after
                .iter()
                .map(|&earlier| depths[usize::from(earlier)]);
            let own = u64::from(!occurrence.is_step_done(number));
            depths.push(dependencies.max().unwrap_or(0) + own);
        }
        depths.into_iter().max().unwrap_or(0)
    }

    /// Tasks of occurrences that are due, those that wait until it is known whether they crash their workers,
    /// and those of steps that pause become startable as time passes.
    fn needs_review(&self, wall: Option<ClockTime>) -> bool {
        let is_due = wall.is_some_and(|wall| self.occurrences.has_due(&self.spec, wall));
        self.changed || is_due || !self.refusals.is_empty() || !self.crashes.is_empty()
    }

    /// Returns whether some task could start when the job was last reviewed.
    pub(super) fn has_startable(&self) -> bool {
        self.has_startable
    }

    fn is_done(&self) -> bool {
        self.occurrences.is_done()
    }

    /// Returns whether a run of the task that has not begun is still to be started. A late report may have shown
    /// since its assignment that an earlier run failed.
    pub(super) fn wants_start(&self, key: &TaskKey) -> bool {
        self.life.goal().is_none() && !self.is_exhausted(key) && !self.has_lost_members(key)
    }

    /// Returns whether a task must not run again as it has failed too often.
    pub(super) fn is_exhausted(&self, key: &TaskKey) -> bool {
        let failures = self.task(key).map_or(0, AnyTask::failures);
        self.max_failures(key).is_some_and(|max| failures >= max)
    }

    fn has_no_runs(&self) -> bool {
        self.touched_tasks().all(|task| task.placed().is_none())
    }

    fn set_progress(&mut self, id: JobId, progress: &JobProgress, now: ClockTime) {
        let begun = progress.begun_occurrences(&self.spec);
        self.occurrences.restore(&self.spec, begun);
        for (key, record) in progress.begun_tasks(id) {
            if let Some(task) = self.occurrences.task_mut(&key) {
                *task = progress.task(&key, record, now);
            }
        }
        self.crashes = progress.crashes.clone();
        self.started = progress.started || self.shows_start();
    }
}

impl Scheduler {
    /// Registers an accepted job; idempotent.
    pub fn accept(&mut self, id: JobId, spec: Arc<JobSpec>) {
        if let Some(ended) = self.ended_jobs.get_mut(&id) {
            // The body was stored again after the job had ended. A removal that waits to be sent covers it;
            // one that was sent may have been applied before.
            if !matches!(ended, ClosedLife::Ended(_)) {
                *ended = ended.reinstate();
                self.pending_removals.push(id);
            }
            return;
        }
        if self.jobs.contains_key(&id) || self.parked.contains_key(&id) {
            return;
        }
        if self.reserve_memory(&spec) {
            self.open_accepted(id, spec);
        } else {
            self.restore_parked(id, ParkedJob::of(&spec));
        }
    }

    /// Opens an accepted job, whose memory is reserved.
    pub(super) fn open_accepted(&mut self, id: JobId, spec: Arc<JobSpec>) {
        let mut job = self.open_job(spec);
        if self.take_early_cancel(id, &job) {
            job.life = job.life.end(JobState::Cancelled);
        }
        job.meter(&mut self.tenants);
        let (work, tasks) = (job.spec.work.clone(), job.spec.count_tasks());
        let traits = job.spec.traits();
        self.record_arrival(&job);
        self.jobs.insert(id, job);
        self.outbox.mark_changed(id);
        self.log_decision(SchedulerDecision::Accepted {
            job: id,
            work,
            tasks,
            traits,
        });
    }

    /// Applies a stored cancellation by a caller of the given tenant. Only a job of that tenant is affected, or
    /// one that was submitted without a key.
    pub fn cancel(&mut self, id: JobId, tenant: Option<&TenantName>) {
        if self.ended_jobs.contains_key(&id) {
            return;
        }
        if let Some(parked) = self.parked.get_mut(&id) {
            parked.cancel(tenant);
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            self.early_cancels.insert(id, (tenant.cloned(), self.now));
            return;
        };
        if !may_act_on(job.spec.tenant.as_ref(), tenant) {
            return;
        }
        if job.life.goal().is_none() {
            job.life = job.life.end(JobState::Cancelled);
            job.changed = true;
            self.outbox.mark_changed(id);
        }
    }

    /// Restores a job from the store.
    pub fn restore(&mut self, id: JobId, spec: Option<Arc<JobSpec>>, progress: &JobProgress) {
        let now = self.now;
        if let Some(state) = progress.ended {
            let ended = JobLife::close(state, now);
            let ended = if spec.is_some() {
                self.pending_removals.push(id);
                ClosedLife::Ended(ended)
            } else {
                ClosedLife::Forgotten(ended.remove().forget())
            };
            self.ended_jobs.insert(id, ended);
            let tenant = progress.tenant.clone();
            if let Some(tenant) = &tenant {
                let slot = self.tenants.slot(tenant);
                self.tenants.add_unnamed(slot, &progress.loose);
            }
            self.ended_tenants.extend(tenant.map(|tenant| (id, tenant)));
            return;
        }
        let Some(spec) = spec else {
            return;
        };
        self.memory.add(&spec, job_bytes(&spec), 0);
        let mut job = self.open_job(spec);
        job.set_progress(id, progress, now);
        if job.has_begun() {
            job.life = job.life.begin();
        }
        if self.take_early_cancel(id, &job) {
            job.life = job.life.end(JobState::Cancelled);
            self.outbox.mark_changed(id);
        }
        self.charge_restored(id, &job);
        self.count_unnamed_runs(&job);
        self.jobs.insert(id, job);
        self.restore_doubts(id);
    }

    /// Removes a cancellation that arrived before its job; returns whether it applies.
    fn take_early_cancel(&mut self, id: JobId, job: &Job) -> bool {
        let cancel = self.early_cancels.remove(&id);
        let owner = job.spec.tenant.as_ref();
        cancel.is_some_and(|(tenant, _)| may_act_on(owner, tenant.as_ref()))
    }

    /// Counts the restored jobs against the rates of their tenants, in order of receipt. Call once all are
    /// restored.
    pub fn meter_restored_jobs(&mut self) {
        let mut jobs: Vec<(ClockTime, JobId)> = self
            .jobs
            .iter()
            .map(|(id, job)| (job.starts_at, *id))
            .collect();
        jobs.sort_unstable();
        for (_, id) in jobs {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.meter(&mut self.tenants);
            }
        }
    }

    /// Counts the runs of a tenant's job that a record need not name: those that copies have replaced, those that were in
    /// progress when a late report showed that an earlier run had completed the task, and members of a gang that
    /// another one has completed.
    fn count_unnamed_runs(&mut self, job: &Job) {
        let Some(slot) = job.tenant else {
            return;
        };
        // Copies in occurrences that are done are not counted any more.
        let is_past = job.occurrences.count_done() > 0;
        for step in job.spec.steps.iter().filter(|_| is_past) {
            if step.speculative || step.gang {
                let need = step.need.times(u64::from(step.count));
                self.tenants.add_unnamed(slot, &need);
            }
        }
        for ((_, step, _), task) in job.tasks() {
            let step = &job.spec.steps[usize::from(step)];
            let is_named = task.placed().is_some() || task.is_terminal();
            let earlier_runs = task.run().saturating_sub(u32::from(is_named));
            let is_replaced = earlier_runs > 0 && (step.speculative || task.is_terminal());
            if is_replaced || step.gang && task.is_terminal() {
                self.tenants.add_unnamed(slot, &step.need);
            }
        }
    }

    /// What runs of a tenant's job may take that were given up and are not known to have ended.
    pub(super) fn loose_usage(&self, id: JobId, job: &Job) -> Resources {
        let mut steps = job.spec.steps.iter();
        let may_have_others = steps.any(|step| step.speculative || step.gang)
            || job.touched_tasks().any(|task| task.run() > 1);
        // Any other run is given up only once it has certainly ended.
        if job.tenant.is_none() || !may_have_others {
            return Resources::default();
        }
        let charges = self
            .workers
            .values()
            .flat_map(|worker| worker.charges_of(id));
        let usages = charges.filter_map(|charge| charge.cost().map(|cost| cost.usage));
        usages.fold(Resources::default(), |sum, usage| sum.plus(&usage))
    }

    /// Charges recorded runs to their workers. An unlisted worker is kept until its lease must have
    /// expired.
    fn charge_restored(&mut self, id: JobId, job: &Job) {
        for ((occurrence, step, index), task) in job.tasks() {
            let Some((worker, run)) = task.placed() else {
                continue;
            };
            let key = TaskKey {
                job: id,
                occurrence,
                step,
                index,
            };
            let cost = RunCost::of(job.step(&key), job.tenant);
            self.worker_or_stub(worker).charge(key, run, cost);
        }
    }

    /// Records that the removal of the bodies of these jobs is stored.
    pub fn bodies_removed(&mut self, jobs: &[JobId]) {
        self.removal_in_flight = false;
        for id in jobs {
            if let Some(ended) = self.ended_jobs.get_mut(id) {
                *ended = ended.forget();
            }
        }
    }

    /// Local time at which a job was received. If its clock is not known, that clock is taken to agree with the local
    /// one: only the order of jobs rests on it.
    fn received_at(&self, spec: &JobSpec) -> ClockTime {
        let clock = spec.received_on.as_ref();
        let known = clock.and_then(|clock| self.readings.estimate(clock, spec.received_at));
        known.unwrap_or(spec.received_at.min(self.now))
    }

    /// Creates a job under the terms of the catalogue, or under the terms of its acceptance if the
    /// catalogue no longer lists its kind of work.
    fn open_job(&mut self, spec: Arc<JobSpec>) -> Job {
        let tenant = spec.tenant.as_ref().map(|tenant| self.tenants.slot(tenant));
        let work = self.catalogue.work(&spec.work);
        let terms = work.map_or_else(|| spec.terms.clone(), JobTerms::of);
        Job {
            occurrences: OccurrenceTable::new(&spec),
            bytes: job_bytes(&spec),
            life: OpenLife::Queued(JobLife::open()),
            terms,
            tenant,
            is_surplus: false,
            starts_at: self.received_at(&spec),
            started: false,
            changed: true,
            has_startable: false,
            avoided_workers: SmallVec::new(),
            crashes: BTreeMap::new(),
            waits_in_vain: false,
            refusals: BTreeMap::new(),
            calm_from: ClockTime::ZERO,
            spec,
        }
    }

    /// Reviews the jobs that have changed: ends those whose tasks are all done, and failed or
    /// cancelled ones that have no runs left, and finds those with tasks that could start.
    pub(super) fn conclude_jobs(&mut self) {
        let now = self.now;
        let wall = self.wall_reading.map(|reading| reading.shown_time(now));
        self.memory = self.measure_memory();
        let mut room = self.memory.occurrence_room(self.job_memory);
        self.awaits_wall_time = false;
        let mut concluded: SmallVec<[(JobId, JobState); 8]> = SmallVec::new();
        for (id, job) in &mut self.jobs {
            let is_reviewed = job.needs_review(wall);
            if is_reviewed {
                job.changed = false;
                job.review_occurrences(self.wall_reading, &mut room, now);
            }
            self.awaits_wall_time |= job.occurrences.has_pending();
            if !is_reviewed {
                continue;
            }
            if job.life.goal().is_none() {
                let fatal = job.give_up_fatal_tasks();
                let has_failed = job.has_failed();
                if has_failed {
                    job.life = job.life.end(JobState::Failed);
                }
                if has_failed || !fatal.is_empty() {
                    self.outbox.mark_changed(*id);
                }
                let fatal = fatal.into_iter();
                let fatal =
                    fatal.map(|(task, crashes)| SchedulerDecision::TaskFatal { task, crashes });
                self.effects.extend(fatal.map(Effect::Log));
            }
            let ended = match job.life.goal() {
                Some(ending) if job.has_no_runs() => Some(ending),
                None if job.is_done() => Some(JobState::Completed),
                _ => None,
            };
            if let Some(state) = ended {
                concluded.push((*id, state));
            }
            let has_startable = job.startable(*id, now).next().is_some();
            job.has_startable = has_startable;
        }
        self.memory.add_opened(room.taken());
        for (id, state) in concluded {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if self.outbox.record_end(id, state) {
                let after = now - job.starts_at;
                let mean = self.durations.mean(&job.spec.work);
                let urgency = job.urgency(mean, now);
                let millis = |at: ClockTime| i64::try_from(at.as_millis()).unwrap_or(i64::MAX);
                let spare_ms = millis(urgency.latest_start) - millis(now);
                self.log_decision(SchedulerDecision::Finished {
                    job: id,
                    state,
                    after,
                    spare_ms,
                });
            }
        }
        self.expire_cancels();
        self.expire_ended_jobs();
    }

    fn measure_memory(&self) -> MemoryUsage {
        let mut usage = MemoryUsage::default();
        let closed = [
            self.ended_jobs.len(),
            self.early_cancels.len(),
            self.parked.len(),
        ];
        usage.set_closed(closed.into_iter().sum());
        for job in self.jobs.values() {
            usage.add(&job.spec, job.bytes, job.occurrences.count_extra());
        }
        usage
    }

    /// Makes a stored end of a job visible to callers.
    pub(super) fn close_job(&mut self, id: JobId, state: JobState) {
        let tenant = self
            .jobs
            .remove(&id)
            .and_then(|job| job.spec.tenant.clone());
        self.ended_tenants.extend(tenant.map(|tenant| (id, tenant)));
        let ended = ClosedLife::Ended(JobLife::close(state, self.now));
        self.ended_jobs.insert(id, ended);
        self.pending_removals.push(id);
    }

    /// Discards cancellations whose jobs have not arrived.
    fn expire_cancels(&mut self) {
        let now = self.now;
        let cancels = self.early_cancels.iter();
        let expired = cancels.filter(|(_, (_, at))| now - *at > EARLY_CANCEL_RETENTION);
        let expired: SmallVec<[JobId; 8]> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.early_cancels.remove(&id);
            self.pending_removals.push(id);
        }
    }

    fn expire_ended_jobs(&mut self) {
        if !self.pending_removals.is_empty() && !self.removal_in_flight {
            self.removal_in_flight = true;
            let count = self.pending_removals.len().min(MAX_REMOVAL_BATCH);
            let jobs: Vec<JobId> = self.pending_removals.drain(..count).collect();
            for id in &jobs {
                if let Some(ended) = self.ended_jobs.get_mut(id) {
                    *ended = ended.remove();
                }
            }
            self.effects.push(Effect::RemoveBodies(jobs));
        }
        let (now, retention) = (self.now, self.limits.ended_retention);
        let ended = self.ended_jobs.iter();
        let expired = ended.filter(|(_, life)| life.is_expired(retention, now));
        let expired: SmallVec<[JobId; 8]> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.ended_jobs.remove(&id);
            self.ended_tenants.remove(&id);
            self.outbox.remove_progress(id);
        }
    }
}
