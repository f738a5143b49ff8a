//! Rules over what the workers have done.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use jacinthhoist_core::job::{JobId, JobSpec, StepSpec, TaskEnd, TaskKey};

use crate::worker::{WorkerNote, WorkerShape};

/// Run that has completed its task.
#[derive(Clone, Copy, Debug)]
struct DoneRun {
    uid: u64,
    run: u32,
    is_noted: bool,
    /// A run that began after it.
    later_run: Option<u32>,
}

#[derive(Debug, Default)]
pub(crate) struct RunChecks {
    jobs: BTreeMap<JobId, Arc<JobSpec>>,
    done: BTreeMap<TaskKey, DoneRun>,
    /// Tasks of which a run has ended `done`, noted or not.
    completed: BTreeSet<TaskKey>,
    pub(crate) broken: Option<String>,
    pub(crate) starts: u64,
}

impl RunChecks {
    pub(crate) fn add_job(&mut self, id: JobId, spec: Arc<JobSpec>) {
        self.jobs.insert(id, spec);
    }

    pub(crate) fn step(&self, task: &TaskKey) -> &StepSpec {
        &self.jobs[&task.job].steps[usize::from(task.step)]
    }

    pub(crate) fn cpu(&self, task: &TaskKey) -> u64 {
        self.step(task).need.cpu
    }

    /// Checks what a process has done; `live` are the runs in progress now.
    pub(crate) fn record(
        &mut self,
        (uid, shape): (u64, WorkerShape),
        note: &WorkerNote,
        live: &[(u64, TaskKey, u32)],
        guarded: bool,
        now: u64,
    ) {
        let at = now - crate::world::START_MS;
        match note {
            WorkerNote::Began(task, run) => {
                self.starts += 1;
                self.check_start((uid, shape), *task, *run, live, guarded, at);
            }
            WorkerNote::Ended(task, run, TaskEnd::Done) => {
                let count = self.step(task).count;
                let of_all = self.step(task).gang;
                let members = (0..count).map(|index| TaskKey { index, ..*task });
                let completed = members.filter(|member| of_all || member == task);
                self.completed.extend(completed);
                let done = DoneRun {
                    uid,
                    run: *run,
                    is_noted: false,
                    later_run: None,
                };
                self.done.entry(*task).or_insert(done);
            }
            WorkerNote::Ended(..) => {}
            WorkerNote::Noted(task, run) => {
                let done = self.done.get_mut(task);
                if let Some(done) = done.filter(|done| (done.uid, done.run) == (uid, *run)) {
                    done.is_noted = true;
                    if let Some(later) = done.later_run {
                        self.fail(format!(
                            "TWICE at {at}: run {later} of {task} began after run {run} was done"
                        ));
                    }
                }
            }
            WorkerNote::Lapsed => self.forget(uid),
        }
    }

    /// Ends that were not noted count no more.
    fn forget(&mut self, uid: u64) {
        self.done.retain(|_, done| done.is_noted || done.uid != uid);
    }

    pub(crate) fn process_ended(&mut self, uid: u64) {
        self.forget(uid);
    }

    fn check_start(
        &mut self,
        (uid, shape): (u64, WorkerShape),
        task: TaskKey,
        run: u32,
        live: &[(u64, TaskKey, u32)],
        guarded: bool,
        at: u64,
    ) {
        let step = self.step(&task).clone();
        let others = live
            .iter()
            .filter(|other| (other.1, other.2) != (task, run) || other.0 != uid);
        let mut same = others.filter(|other| other.1 == task);
        if let Some((other_uid, _, other)) = same.next().filter(|_| !step.speculative) {
            self.fail(format!(
                "TWICE at {at}: run {run} of {task} began in process {uid} beside run {other} in process {other_uid}"
            ));
        }
        if let Some(done) = self.done.get_mut(&task).filter(|_| !step.speculative) {
            done.later_run = Some(run);
            let (is_noted, done_run) = (done.is_noted, done.run);
            if is_noted {
                self.fail(format!(
                    "TWICE at {at}: run {run} of {task} began after the end of run {done_run} was noted"
                ));
            }
        }
        if let Some(tenant) = &self.jobs[&task.job].tenant {
            let of_tenant = |other: &&(u64, TaskKey, u32)| {
                self.jobs[&other.1.job].tenant.as_ref() == Some(tenant)
            };
            let used: u64 = live
                .iter()
                .filter(of_tenant)
                .map(|other| self.cpu(&other.1))
                .sum();
            let limit = crate::setting::limit_of(tenant);
            if used > limit.max(self.cpu(&task)) {
                self.fail(format!(
                    "QUOTA at {at}: {tenant} runs {used} of {limit} with {task}"
                ));
            }
        }
        let here = live.iter().filter(|other| other.0 == uid);
        let used: u64 = here.clone().map(|other| self.cpu(&other.1)).sum();
        if used > shape.cpu && !guarded {
            self.fail(format!("LIMIT at {at}: {used} in process {uid}"));
        }
        if step.requires.is_some_and(|label| *label != *shape.label) {
            self.fail(format!(
                "ROUTE at {at}: {task} began in process {uid}, which has label {}",
                shape.label
            ));
        }
        let is_same = |other: &TaskKey| (other.job, other.step) == (task.job, task.step);
        let same = here.filter(|other| is_same(&other.1)).count();
        if step.max_per_worker > 0 && same > usize::from(step.max_per_worker) {
            self.fail(format!(
                "ROUTE at {at}: {same} tasks like {task} in process {uid}"
            ));
        }
        for earlier in &step.after {
            let count = self.jobs[&task.job].steps[usize::from(*earlier)].count;
            let mut tasks = (0..count).map(|index| TaskKey {
                step: *earlier,
                index,
                ..task
            });
            if tasks.any(|earlier| !self.completed.contains(&earlier)) {
                self.fail(format!(
                    "ORDER at {at}: {task} began before step {earlier} was done"
                ));
            }
        }
    }

    fn fail(&mut self, broken: String) {
        self.broken.get_or_insert(broken);
    }
}
