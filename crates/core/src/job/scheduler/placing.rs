//! Placement of waiting tasks on workers.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::{
    job::{
        charge::RunCost,
        order::{QueuedJob, order_queue},
        place::{PlaceCandidates, PlaceRequest, choose_candidate, choose_worker, is_eligible},
        spec::{JobId, StepKey, TaskKey},
        task::AnyTask,
        worker::Worker,
    },
    name::{PoolName, RackName, WorkerId},
};

use super::{Scheduler, SchedulerDecision};

/// Number of steps without room after which the rest of a pool's queue is skipped. A smaller task
/// further back may still fit; the limit keeps the search short.
const MAX_UNPLACED_STEPS: usize = 8;

impl Scheduler {
    /// Places waiting tasks on workers with room, pool by pool in order of urgency.
    pub(super) fn place_tasks(&mut self) {
        let queues = self.pool_queues();
        if queues.is_empty() {
            return;
        }
        // Workers with their free CPU, and the CPU of all of them.
        let mut pools: BTreeMap<PoolName, (Vec<(u64, WorkerId)>, u64)> = BTreeMap::new();
        for worker in self.workers.values() {
            if queues.contains_key(&worker.entry.pool) && worker.takes_work(self.now) {
                let pool = pools.entry(worker.entry.pool.clone()).or_default();
                pool.0.push((worker.free_cpu(), worker.id.clone()));
                pool.1 += worker.entry.capacity.cpu;
            }
        }
        for (pool, mut queue) in queues {
            let (by_free_cpu, cpu) = pools.remove(&pool).unwrap_or_default();
            order_queue(&mut queue, cpu, self.now);
            self.place_queue(&queue, &mut PlaceCandidates::new(by_free_cpu));
        }
    }

    fn place_queue(&mut self, queue: &[QueuedJob], workers: &mut PlaceCandidates) {
        let mut unplaced_steps = 0;
        for QueuedJob { urgency, job, .. } in queue {
            if unplaced_steps >= MAX_UNPLACED_STEPS {
                return;
            }
            let unplaced = self.place_job(*job, workers);
            // A long-running task may need a scarce resource; it does not block the queue.
            unplaced_steps += if urgency.ends { unplaced } else { 0 };
        }
    }

    /// Collects the jobs with startable tasks by pool.
    pub(super) fn pool_queues(&self) -> BTreeMap<PoolName, Vec<QueuedJob>> {
        let now = self.now;
        let mut queues: BTreeMap<PoolName, Vec<QueuedJob>> = BTreeMap::new();
        for (id, job) in &self.jobs {
            if !job.has_startable() {
                continue;
            }
            let mean = self.durations.mean(&job.spec.work);
            let queue = queues.entry(job.terms.pool.clone()).or_default();
            queue.push(QueuedJob {
                urgency: job.urgency(mean, now),
                job: *id,
                work: job.waiting_cpu() * mean.as_millis(),
            });
        }
        queues
    }

    /// Places startable tasks of a job; returns the number of steps that found no room.
    fn place_job(&mut self, id: JobId, workers: &mut PlaceCandidates) -> usize {
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
            let count = if self.is_gang(step) {
                self.place_gang(step, workers)
            } else {
                usize::from(self.place_task(*key, workers))
            };
            placed += count;
            // A task that waits for its trial holds up no other.
            if count == 0 && !self.needs_trial(key) {
                full_steps.push(step);
            }
        }
        if placed > 0 {
            self.outbox.mark_changed(id);
            self.log_decision(SchedulerDecision::Placed {
                job: id,
                tasks: placed,
                unplaced: keys.len() - placed,
            });
        }
        full_steps.len()
    }

    fn place_task(&mut self, key: TaskKey, workers: &mut PlaceCandidates) -> bool {
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
        let free = self.workers.get(&id).map_or(0, Worker::free_cpu);
        self.charge(&id, key, run);
        let left = self.workers.get(&id).map_or(0, Worker::free_cpu);
        workers.take(&id, free, free - left);
        self.outbox.queue_start(key, run);
        true
    }

    /// Chooses the best worker for a task. If the step needs permits, only permitted workers are
    /// considered; if none of them fits, the policy service is queried about others.
    pub(super) fn find_worker(
        &mut self,
        key: TaskKey,
        workers: &PlaceCandidates,
        preferred_rack: Option<&RackName>,
    ) -> Option<WorkerId> {
        let now = self.now;
        let job = self.jobs.get(&key.job)?;
        let avoided = job.avoided_workers.iter().find(|(task, _)| *task == key);
        let request = PlaceRequest {
            task: key,
            step: job.step(&key),
            avoid: avoided.map(|(_, worker)| worker),
            preferred_rack,
        };
        let (is_trial, advised) = (job.needs_trial(&key), job.terms.advised);
        if !advised && !is_trial {
            return choose_candidate(&request, workers, &self.workers, now);
        }
        let known = || workers.with_room(0).filter_map(|id| self.workers.get(id));
        let step = StepKey::from(key);
        let is_permitted =
            |worker: &&Worker| !advised || self.permits.allows(step, &worker.id, now);
        let found = if is_trial {
            let trial = self.choose_trial_worker(&request, workers, is_permitted);
            if let Some(trial) = trial {
                return self.begin_trial(trial, key.job);
            }
            None
        } else {
            choose_worker(&request, known().filter(is_permitted), now)
        };
        if found.is_none() && advised {
            let need = request.step.charged();
            let candidates = known().filter(|worker| is_eligible(&request, worker, &need, now));
            let candidates = candidates.map(|worker| worker.id.clone()).collect();
            self.effects
                .extend(self.permits.query(step, candidates, now));
        }
        found
    }

    /// Charges a run to its worker's capacity.
    pub(super) fn charge(&mut self, id: &WorkerId, key: TaskKey, run: u32) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let cost = RunCost::of(job.step(&key));
        if let Some(worker) = self.workers.get_mut(id) {
            worker.charge(key, run, cost);
        }
    }
}
