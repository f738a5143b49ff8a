//! Gang scheduling: tasks that must run together.
//!
//! A gang is placed as a whole or not at all, under one run number and with one checkpoint. When a
//! member loses its run, the others are stopped so that the gang can restart soon. The first member
//! that is done completes the whole gang; a failure counts once per run.

use smallvec::SmallVec;

use crate::{
    job::{
        charge::AnyCharge,
        place::{PlaceCandidates, PlaceScope},
        spec::{StepKey, TaskKey},
        task::{AnyTask, TaskEnd},
        worker::Worker,
    },
    name::WorkerId,
};

use super::{Job, Scheduler};

impl Job {
    /// Returns the tasks of a step.
    fn members(&self, key: StepKey) -> SmallVec<[TaskKey; 16]> {
        let indices = 0..self.spec.steps[usize::from(key.step)].count;
        indices.map(|index| key.task(index)).collect()
    }

    /// Returns whether no member of the task's gang has a run, so that the gang may be placed.
    pub(super) fn is_gang_complete(&self, key: &TaskKey) -> bool {
        let members = self.members((*key).into());
        let mut tasks = members.iter().filter_map(|member| self.task(member));
        tasks.all(|task| matches!(task, AnyTask::Waiting(_)))
    }

    /// Returns whether the task belongs to a gang of which some member has no run.
    pub(super) fn has_lost_members(&self, key: &TaskKey) -> bool {
        let waits = |other: &TaskKey| matches!(self.task(other), Some(AnyTask::Waiting(_)));
        self.step(key).gang && self.members((*key).into()).iter().any(waits)
    }
}

impl Scheduler {
    /// Places a gang of which no member has a run; returns its size, or 0 if some member finds no room.
    pub(super) fn place_gang(&mut self, key: StepKey, workers: &PlaceCandidates) -> usize {
        let Some(job) = self.jobs.get(&key.job) else {
            return 0;
        };
        let members = job.members(key);
        let tasks = || members.iter().filter_map(|member| job.task(member));
        let last_run = tasks().map(AnyTask::run).max().unwrap_or(0);
        let run = last_run.saturating_add(1);
        let checkpoint = tasks().find_map(AnyTask::checkpoint).cloned();
        let Some(reserved) = self.reserve_gang(&members, run, workers) else {
            return 0;
        };
        let now = self.now;
        for (member, worker) in members.iter().zip(reserved) {
            let target = self.workers.get(&worker).map(Worker::run_target);
            let job = self.jobs.get_mut(&key.job);
            let slot = job.and_then(|job| job.task_mut(member));
            let Some((slot, target)) = slot.zip(target) else {
                continue;
            };
            if let AnyTask::Waiting(task) = slot.clone() {
                let task = task.assign_gang(target, run, checkpoint.clone(), now);
                *slot = AnyTask::Assigned(task);
                self.outbox.queue_start(*member, run);
            }
        }
        members.len()
    }

    /// Reserves room for all members, or for none if one of them finds no worker.
    fn reserve_gang(
        &mut self,
        members: &[TaskKey],
        run: u32,
        workers: &PlaceCandidates,
    ) -> Option<SmallVec<[WorkerId; 16]>> {
        let mut found: SmallVec<[WorkerId; 16]> = SmallVec::new();
        for member in members {
            let first = found.first().and_then(|id| self.workers.get(id));
            let preferred_rack = first.and_then(|worker| worker.entry.rack.clone());
            let scope = PlaceScope::Pool(workers);
            let Some(worker) = self.find_worker(*member, scope, preferred_rack.as_ref()) else {
                self.release_reserved(members, run, &found);
                return None;
            };
            self.charge(&worker, *member, run);
            found.push(worker);
        }
        Some(found)
    }

    fn release_reserved(&mut self, members: &[TaskKey], run: u32, workers: &[WorkerId]) {
        for (member, id) in members.iter().zip(workers) {
            let Some(worker) = self.workers.get_mut(id) else {
                continue;
            };
            let charge = worker.charges.get(&(*member, run));
            if let Some(cost) = charge.and_then(AnyCharge::cost)
                && let Some(slot) = cost.tenant
            {
                self.tenants.withdraw(slot, &worker.entry.pool, &cost.usage);
            }
            worker.withdraw_charge(member, run);
        }
    }

    /// Applies the end of one member to the whole gang; returns the end to record for the member
    /// itself.
    pub(super) fn apply_gang_end(&mut self, key: TaskKey, run: u32, end: TaskEnd) -> TaskEnd {
        let step = StepKey::from(key);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return end;
        };
        let others = job
            .members(step)
            .into_iter()
            .filter(|member| *member != key);
        let has_failed_before = job.task(&key).is_some_and(|task| task.has_failed_run(run));
        match end {
            TaskEnd::Done => {
                for member in others {
                    if let Some(slot) = job.task_mut(&member) {
                        *slot = AnyTask::Done { run: slot.run() };
                    }
                }
                end
            }
            TaskEnd::Failed if has_failed_before => TaskEnd::Broken,
            TaskEnd::Failed => {
                for member in others {
                    if let Some(slot) = job.task_mut(&member) {
                        slot.record_failed_run(run);
                    }
                }
                end
            }
            TaskEnd::Stopped | TaskEnd::Lapsed | TaskEnd::Broken | TaskEnd::Alone => end,
        }
    }
}
