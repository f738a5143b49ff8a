//! Jobs: what is known of them, which tasks may start, when they have ended.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    job::{
        life::{ClosedLife, JobLife, OpenLife},
        order::JobUrgency,
        spec::{JobId, JobSpec, JobState, JobTerms, StepKey, StepSpec, TaskKey},
        task::{AnyTask, TaskRun},
        worker::TaskCharge,
    },
    name::WorkerId,
};

use super::{Effect, JobProgress, Scheduler, SchedulerDecision};

/// Jobs whose bodies are removed in one go.
const FORGET_BATCH: usize = 64;

/// How long a cancellation is kept whose job has not come: several times what a write to the store may
/// be late.
const EARLY_CANCEL: ClockTime = ClockTime::from_millis(30_000);

/// One repetition of a job's steps.
#[derive(Clone, Debug)]
pub struct Occurrence {
    /// When it may start.
    pub due: ClockTime,
    /// Its tasks, step by step.
    pub steps: Vec<Vec<AnyTask>>,
}

impl Occurrence {
    fn new(spec: &JobSpec, due: ClockTime) -> Self {
        let tasks = |step: &StepSpec| {
            let fresh = || AnyTask::Waiting(TaskRun::new());
            (0..step.count).map(|_| fresh()).collect()
        };
        Self {
            due,
            steps: spec.steps.iter().map(tasks).collect(),
        }
    }

    fn step_done(&self, step: u16) -> bool {
        let tasks = &self.steps[usize::from(step)];
        tasks
            .iter()
            .all(|task| matches!(task, AnyTask::Done { .. }))
    }
}

impl Occurrence {
    /// Whether all steps that a step waits for are done.
    fn is_turn_of(&self, step: &StepSpec) -> bool {
        step.after.iter().all(|&earlier| self.step_done(earlier))
    }
}

/// A job that has not ended.
#[derive(Clone, Debug)]
pub struct Job {
    /// What was asked for.
    pub spec: Arc<JobSpec>,
    /// Its repetitions.
    pub occurrences: Vec<Occurrence>,
    /// Its life cycle.
    pub life: OpenLife,
    /// The terms that hold for it now.
    pub terms: JobTerms,
    /// Where tasks failed last, or were left undone.
    pub(super) failed_on: SmallVec<[(TaskKey, WorkerId); 2]>,
    /// Runs of gangs whose failure has been counted.
    pub(super) failed_gangs: SmallVec<[(StepKey, u32); 1]>,
}

impl Job {
    /// Whether a task of it has ever had a run.
    pub fn has_begun(&self) -> bool {
        self.tasks().any(|(_, task)| task.run() > 0)
    }

    /// All tasks with their places.
    pub fn tasks(&self) -> impl Iterator<Item = ((u32, u16, u16), &AnyTask)> {
        let occurrences = (0u32..).zip(&self.occurrences);
        occurrences.flat_map(|(occurrence, steps)| {
            (0u16..).zip(&steps.steps).flat_map(move |(step, tasks)| {
                let places = (0u16..).map(move |index| (occurrence, step, index));
                places.zip(tasks)
            })
        })
    }

    /// One task.
    pub fn task(&self, key: &TaskKey) -> Option<&AnyTask> {
        let occurrence = self.occurrences.get(key.occurrence as usize)?;
        let tasks = occurrence.steps.get(usize::from(key.step))?;
        tasks.get(usize::from(key.index))
    }

    pub(super) fn task_mut(&mut self, key: &TaskKey) -> Option<&mut AnyTask> {
        let occurrence = self.occurrences.get_mut(key.occurrence as usize)?;
        let tasks = occurrence.steps.get_mut(usize::from(key.step))?;
        tasks.get_mut(usize::from(key.index))
    }

    /// The step of a task.
    pub fn step(&self, key: &TaskKey) -> &StepSpec {
        &self.spec.steps[usize::from(key.step)]
    }

    /// How often a task may fail; none where it is started again for ever.
    pub(super) fn max_failures(&self, key: &TaskKey) -> Option<u8> {
        (!self.step(key).long_running).then_some(self.terms.max_failures)
    }

    pub(super) fn failed_on(&mut self, key: TaskKey, worker: WorkerId) {
        self.failed_on.retain(|(task, _)| *task != key);
        self.failed_on.push((key, worker));
    }

    /// Tasks that wait and whose turn has come.
    pub fn startable(&self, id: JobId, now: ClockTime) -> impl Iterator<Item = TaskKey> {
        let ends = self.life.goal().is_some();
        let occurrences = (0u32..).zip(&self.occurrences);
        let due = occurrences.filter(move |(_, occurrence)| !ends && occurrence.due <= now);
        due.flat_map(move |(number, occurrence)| {
            let steps = (0u16..).zip(&self.spec.steps);
            let ready = steps.filter(|(_, spec)| occurrence.is_turn_of(spec));
            ready.flat_map(move |(step, _)| {
                let tasks = (0u16..).zip(&occurrence.steps[usize::from(step)]);
                let waiting = tasks.filter(|(_, task)| matches!(task, AnyTask::Waiting(_)));
                waiting.map(move |(index, _)| TaskKey {
                    job: id,
                    occurrence: number,
                    step,
                    index,
                })
            })
        })
    }

    /// The place in the pool's order; `mean` is what a task of this kind lasts.
    pub(super) fn urgency(&self, mean: ClockTime, now: ClockTime) -> JobUrgency {
        if self.spec.is_long_running() {
            return JobUrgency::long_running(self.terms.priority, self.spec.received_at);
        }
        let chain = self.spec.chain_len() * mean.as_millis();
        let stretched = ClockTime::from_millis((chain as f64 * self.terms.stretch) as u64);
        let begins = match self.spec.repeat {
            Some(repeat) => repeat.start_at,
            None => self.spec.received_at,
        };
        let deadline = begins + stretched + self.terms.objective;
        let rest = ClockTime::from_millis(self.rest_len() * mean.as_millis());
        JobUrgency::for_deadline(self.terms.priority, deadline, rest, now)
    }

    /// Steps on the longest chain that is not done yet.
    fn rest_len(&self) -> u64 {
        let Some(occurrence) = self.occurrences.first() else {
            return 0;
        };
        let mut depths: SmallVec<[u64; 8]> = SmallVec::new();
        for (number, step) in (0u16..).zip(&self.spec.steps) {
            let before = step
                .after
                .iter()
                .map(|&earlier| depths[usize::from(earlier)]);
            let own = u64::from(!occurrence.step_done(number));
            depths.push(before.max().unwrap_or(0) + own);
        }
        depths.into_iter().max().unwrap_or(0)
    }

    fn is_done(&self) -> bool {
        self.tasks()
            .all(|(_, task)| matches!(task, AnyTask::Done { .. }))
    }

    fn is_spent(&self) -> bool {
        self.tasks()
            .any(|(_, task)| matches!(task, AnyTask::Exhausted { .. }))
    }

    fn is_idle(&self) -> bool {
        self.tasks().all(|(_, task)| task.placed().is_none())
    }

    fn set_progress(&mut self, progress: &JobProgress, now: ClockTime) {
        for (occurrence, steps) in self.occurrences.iter_mut().zip(&progress.occurrences) {
            for (tasks, marks) in occurrence.steps.iter_mut().zip(steps) {
                for (task, mark) in tasks.iter_mut().zip(marks) {
                    *task = progress.task(mark, now);
                }
            }
        }
    }
}

impl Scheduler {
    /// Takes a job that a member has accepted; the same id again changes nothing.
    pub fn accept(&mut self, id: JobId, spec: Arc<JobSpec>) {
        if let Some(ended) = self.finals.get_mut(&id) {
            // The body was stored once more after the job had ended.
            if let ClosedLife::Forgotten(life) = *ended {
                *ended = ClosedLife::Ended(life.reinstate());
                self.forget.push(id);
            }
            return;
        }
        if self.jobs.contains_key(&id) {
            return;
        }
        let mut job = self.open_job(spec);
        if self.early_cancels.remove(&id).is_some() {
            job.life = job.life.end(JobState::Cancelled);
        }
        let (work, tasks) = (job.spec.work.clone(), job.tasks().count());
        let traits = job.spec.traits();
        self.count_arrival(&job);
        self.jobs.insert(id, job);
        self.outbox.touch(id);
        self.note(SchedulerDecision::Accepted {
            job: id,
            work,
            tasks,
            traits,
        });
    }

    /// Takes a caller's cancellation, which is stored.
    pub fn cancel(&mut self, id: JobId) {
        if self.finals.contains_key(&id) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            self.early_cancels.insert(id, self.now);
            return;
        };
        if job.life.goal().is_none() {
            job.life = job.life.end(JobState::Cancelled);
            self.outbox.touch(id);
        }
    }

    /// Takes over a job as it is stored.
    pub fn restore(&mut self, id: JobId, spec: Option<Arc<JobSpec>>, progress: &JobProgress) {
        let now = self.now;
        if let Some(state) = progress.ended {
            let mut ended = ClosedLife::Ended(JobLife::close(state, now));
            if spec.is_some() {
                self.forget.push(id);
            } else {
                ended = ended.forget();
            }
            self.finals.insert(id, ended);
            return;
        }
        let Some(spec) = spec else {
            return;
        };
        let mut job = self.open_job(spec);
        job.set_progress(progress, now);
        if job.has_begun() {
            job.life = job.life.begin();
        }
        if self.early_cancels.remove(&id).is_some() {
            job.life = job.life.end(JobState::Cancelled);
            self.outbox.touch(id);
        }
        self.charge_restored(id, &job);
        self.jobs.insert(id, job);
    }

    /// Counts the recorded runs against their workers; one that is not listed is kept until its
    /// lease must have lapsed.
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
            let charge = TaskCharge::of(job.step(&key), run);
            self.worker_or_stub(worker).charge(key, charge);
        }
    }

    /// The bodies of these jobs have left the store.
    pub fn bodies_removed(&mut self, jobs: &[JobId]) {
        self.forgetting = false;
        for id in jobs {
            if let Some(ended) = self.finals.get_mut(id) {
                *ended = ended.forget();
            }
        }
    }

    /// A job under the catalogue's terms; where its entry is gone, under those of its acceptance.
    fn open_job(&self, spec: Arc<JobSpec>) -> Job {
        let work = self.catalogue.work(&spec.work);
        let terms = work.map_or_else(|| spec.terms.clone(), JobTerms::of);
        let due = |number: u32| match spec.repeat {
            Some(repeat) => {
                let later = repeat.interval.as_millis() * u64::from(number);
                repeat.start_at + ClockTime::from_millis(later)
            }
            None => ClockTime::ZERO,
        };
        let times = spec.repeat.map_or(1, |repeat| repeat.times.max(1));
        let occurrences = (0..times).map(|number| Occurrence::new(&spec, due(number)));
        Job {
            occurrences: occurrences.collect(),
            life: OpenLife::Queued(JobLife::open()),
            terms,
            failed_on: SmallVec::new(),
            failed_gangs: SmallVec::new(),
            spec,
        }
    }

    /// Ends jobs whose tasks are all done, or of which nothing runs any more.
    pub(super) fn settle_jobs(&mut self) {
        let now = self.now;
        let mut over: SmallVec<[(JobId, JobState); 8]> = SmallVec::new();
        for (id, job) in &mut self.jobs {
            if job.life.goal().is_none() && job.is_spent() {
                job.life = job.life.end(JobState::Failed);
                self.outbox.touch(*id);
            }
            let ended = match job.life.goal() {
                Some(ending) if job.is_idle() => Some(ending),
                None if job.is_done() => Some(JobState::Completed),
                _ => None,
            };
            if let Some(state) = ended {
                over.push((*id, state));
            }
        }
        for (id, state) in over {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if self.outbox.end(id, state) {
                let after = now - job.spec.received_at;
                let mean = self.durations.mean(&job.spec.work);
                let urgency = job.urgency(mean, now);
                let spare_ms = urgency.latest_start.as_millis() as i64 - now.as_millis() as i64;
                self.note(SchedulerDecision::Finished {
                    job: id,
                    state,
                    after,
                    spare_ms,
                });
            }
        }
        self.expire_cancels();
        self.expire_finals();
    }

    /// The end of a job is stored: callers may hear of it.
    pub(super) fn finish(&mut self, id: JobId, state: JobState) {
        self.jobs.remove(&id);
        let ended = ClosedLife::Ended(JobLife::close(state, self.now));
        self.finals.insert(id, ended);
        self.forget.push(id);
    }

    /// Forgets cancellations whose jobs have not come.
    fn expire_cancels(&mut self) {
        let now = self.now;
        let cancels = self.early_cancels.iter();
        let old = cancels.filter(|(_, at)| now - **at > EARLY_CANCEL);
        let old: SmallVec<[JobId; 8]> = old.map(|(id, _)| *id).collect();
        for id in old {
            self.early_cancels.remove(&id);
            self.forget.push(id);
        }
    }

    fn expire_finals(&mut self) {
        if !self.forget.is_empty() && !self.forgetting {
            self.forgetting = true;
            let count = self.forget.len().min(FORGET_BATCH);
            let jobs = self.forget.drain(..count).collect();
            self.effects.push(Effect::RemoveBodies(jobs));
        }
        let (now, keep) = (self.now, self.limits.ended_retention);
        let ended = self.finals.iter();
        let expired = ended.filter(|(_, life)| life.is_expired(keep, now));
        let expired: SmallVec<[JobId; 8]> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.finals.remove(&id);
            self.outbox.drop_progress(id);
        }
    }
}
