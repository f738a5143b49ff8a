//! Gives waiting tasks to workers.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::{
    job::{
        order::JobUrgency,
        place::{PlaceRequest, choose_worker, is_eligible},
        spec::{JobId, StepKey, TaskKey},
        task::AnyTask,
        worker::TaskCharge,
    },
    name::{PoolName, RackName, WorkerId},
};

use super::{Scheduler, SchedulerDecision};

/// Tasks of the order that may find no room before the rest of the pool's queue is left alone: a
/// smaller task further back may still fit, and the search stays short.
const MAX_MISSES: usize = 8;

impl Scheduler {
    /// Gives waiting tasks to workers with room, pool by pool in the order of urgency.
    pub(super) fn place_tasks(&mut self) {
        let queues = self.queues();
        if queues.is_empty() {
            return;
        }
        let mut members: BTreeMap<PoolName, Vec<WorkerId>> = BTreeMap::new();
        for worker in self.workers.values() {
            if queues.contains_key(&worker.entry.pool) && worker.takes_work(self.now) {
                let pool = members.entry(worker.entry.pool.clone()).or_default();
                pool.push(worker.id.clone());
            }
        }
        for (pool, mut queue) in queues {
            queue.sort_unstable();
            let workers = members.remove(&pool).unwrap_or_default();
            self.place_queue(&queue, &workers);
        }
    }

    fn place_queue(&mut self, queue: &[(JobUrgency, JobId)], workers: &[WorkerId]) {
        let mut misses = 0;
        for (urgency, id) in queue {
            if misses >= MAX_MISSES {
                return;
            }
            let missed = self.place_job(*id, workers);
            // A task that serves for good may want what is rare; it holds up nothing else.
            misses += if urgency.ends { missed } else { 0 };
        }
    }

    /// Jobs with tasks that could start, by pool.
    pub(super) fn queues(&self) -> BTreeMap<PoolName, Vec<(JobUrgency, JobId)>> {
        let now = self.now;
        let mut queues: BTreeMap<PoolName, Vec<(JobUrgency, JobId)>> = BTreeMap::new();
        for (id, job) in &self.jobs {
            if job.startable(*id, now).next().is_none() {
                continue;
            }
            let urgency = job.urgency(self.durations.mean(&job.spec.work), now);
            let queue = queues.entry(job.terms.pool.clone()).or_default();
            queue.push((urgency, *id));
        }
        queues
    }

    /// Places what it can of a job; returns how many of its steps found no room.
    fn place_job(&mut self, id: JobId, workers: &[WorkerId]) -> usize {
        let Some(job) = self.jobs.get(&id) else {
            return 0;
        };
        let keys: SmallVec<[TaskKey; 16]> = job.startable(id, self.now).collect();
        let (mut placed, mut full_steps) = (0, SmallVec::<[StepKey; 4]>::new());
        for key in &keys {
            let step = StepKey::from(*key);
            if full_steps.contains(&step) {
                continue;
            }
            let done = if self.is_gang(step) {
                self.place_gang(step, workers)
            } else {
                usize::from(self.place_task(*key, workers))
            };
            placed += done;
            if done == 0 {
                full_steps.push(step);
            }
        }
        if placed > 0 {
            self.outbox.touch(id);
            self.note(SchedulerDecision::Placed {
                job: id,
                tasks: placed,
                unplaced: keys.len() - placed,
            });
        }
        full_steps.len()
    }

    fn place_task(&mut self, key: TaskKey, workers: &[WorkerId]) -> bool {
        let now = self.now;
        let Some(id) = self.find_worker(key, workers, None) else {
            return false;
        };
        let job = self.jobs.get_mut(&key.job);
        let Some(slot) = job.and_then(|job| job.task_mut(&key)) else {
            return false;
        };
        let AnyTask::Waiting(task) = slot.clone() else {
            return false;
        };
        let assigned = task.assign(id.clone(), now);
        let run = assigned.run;
        *slot = AnyTask::Assigned(assigned);
        self.charge(&id, key, run);
        self.outbox.order(key, run);
        true
    }

    /// The worker that suits a task best. Where a policy service has the last word it is one that
    /// the service permits; where there is none, the service is asked about more.
    pub(super) fn find_worker(
        &mut self,
        key: TaskKey,
        workers: &[WorkerId],
        preferred_rack: Option<&RackName>,
    ) -> Option<WorkerId> {
        let now = self.now;
        let job = self.jobs.get(&key.job)?;
        let failed_on = job.failed_on.iter().find(|(task, _)| *task == key);
        let request = PlaceRequest {
            task: key,
            step: job.step(&key),
            avoid: failed_on.map(|(_, worker)| worker),
            preferred_rack,
        };
        let known = || workers.iter().filter_map(|id| self.workers.get(id));
        if !job.terms.advised {
            return choose_worker(&request, known(), now);
        }
        let step = StepKey::from(key);
        let permitted = known().filter(|worker| self.permits.allows(step, &worker.id, now));
        let found = choose_worker(&request, permitted, now);
        if found.is_none() {
            let need = request.step.charged();
            let able = known().filter(|worker| is_eligible(&request, worker, &need, now));
            let able = able.map(|worker| worker.id.clone()).collect();
            self.effects.extend(self.permits.ask(step, able, now));
        }
        found
    }

    /// Counts a run against its worker's capacity.
    pub(super) fn charge(&mut self, id: &WorkerId, key: TaskKey, run: u32) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let charge = TaskCharge::of(job.step(&key), run);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.charge(key, charge);
        }
    }
}
