//! Gangs: tasks that work only all together.
//!
//! A gang is placed as a whole or not at all, under one run number and with one saved progress. When
//! a member has no run, the others are stopped, so that the gang soon starts anew. One end as done
//! stands for all; a failure counts once a run.

use smallvec::SmallVec;

use crate::{
    job::{
        spec::{StepKey, TaskKey},
        task::{AnyTask, TaskEnd},
    },
    name::WorkerId,
};

use super::{Job, Scheduler};

impl Job {
    /// The tasks of a step.
    fn members(&self, key: StepKey) -> SmallVec<[TaskKey; 16]> {
        let StepKey {
            job,
            occurrence,
            step,
        } = key;
        let indices = 0..self.spec.steps[usize::from(step)].count;
        let member = |index| TaskKey {
            job,
            occurrence,
            step,
            index,
        };
        indices.map(member).collect()
    }

    /// Whether a run of a gang has lost another of its members.
    pub(super) fn is_alone(&self, key: &TaskKey) -> bool {
        let waits = |other: &TaskKey| matches!(self.task(other), Some(AnyTask::Waiting(_)));
        self.step(key).gang && self.members((*key).into()).iter().any(waits)
    }
}

impl Scheduler {
    pub(super) fn is_gang(&self, key: StepKey) -> bool {
        let job = self.jobs.get(&key.job);
        job.is_some_and(|job| job.spec.steps[usize::from(key.step)].gang)
    }

    /// Places a whole gang; returns its size, or 0 where not all members find room.
    pub(super) fn place_gang(&mut self, key: StepKey, workers: &[WorkerId]) -> usize {
        let Some(job) = self.jobs.get(&key.job) else {
            return 0;
        };
        let members = job.members(key);
        let tasks = || members.iter().filter_map(|member| job.task(member));
        if !tasks().all(|task| matches!(task, AnyTask::Waiting(_))) {
            return 0;
        }
        let run = tasks().map(AnyTask::run).max().unwrap_or(0) + 1;
        let saved = tasks().find_map(AnyTask::saved).cloned();
        let Some(reserved) = self.reserve(&members, run, workers) else {
            return 0;
        };
        let now = self.now;
        for (member, worker) in members.iter().zip(reserved) {
            let job = self.jobs.get_mut(&key.job);
            let Some(slot) = job.and_then(|job| job.task_mut(member)) else {
                continue;
            };
            if let AnyTask::Waiting(task) = slot.clone() {
                let task = task.assign_gang(worker, run, saved.clone(), now);
                *slot = AnyTask::Assigned(task);
                self.outbox.order(*member, run);
            }
        }
        members.len()
    }

    /// Room for every member, charged; none where one finds none.
    fn reserve(
        &mut self,
        members: &[TaskKey],
        run: u32,
        workers: &[WorkerId],
    ) -> Option<SmallVec<[WorkerId; 16]>> {
        let mut found: SmallVec<[WorkerId; 16]> = SmallVec::new();
        for member in members {
            let first = found.first().and_then(|id| self.workers.get(id));
            let preferred_rack = first.and_then(|worker| worker.entry.rack.clone());
            let Some(worker) = self.find_worker(*member, workers, preferred_rack.as_ref()) else {
                self.give_back(members, &found);
                return None;
            };
            self.charge(&worker, *member, run);
            found.push(worker);
        }
        Some(found)
    }

    fn give_back(&mut self, members: &[TaskKey], workers: &[WorkerId]) {
        let now = self.now;
        for (member, id) in members.iter().zip(workers) {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.discharge(member, now);
            }
        }
    }

    /// Lets a member's end count for its gang; returns what it counts as for the member itself.
    pub(super) fn end_gang(&mut self, key: TaskKey, run: u32, end: TaskEnd) -> TaskEnd {
        let step = StepKey::from(key);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return end;
        };
        let others = job
            .members(step)
            .into_iter()
            .filter(|member| *member != key);
        match end {
            TaskEnd::Done => {
                for member in others {
                    if let Some(slot) = job.task_mut(&member) {
                        *slot = AnyTask::Done { run: slot.run() };
                    }
                }
                end
            }
            TaskEnd::Failed if job.failed_gangs.contains(&(step, run)) => TaskEnd::Broken,
            TaskEnd::Failed => {
                job.failed_gangs.push((step, run));
                let before = job.task(&key).map_or(0, AnyTask::failures);
                for member in others {
                    if let Some(slot) = job.task_mut(&member) {
                        slot.set_failures(before.saturating_add(1));
                    }
                }
                end
            }
            TaskEnd::Stopped | TaskEnd::Lapsed | TaskEnd::Broken | TaskEnd::Alone => end,
        }
    }
}
