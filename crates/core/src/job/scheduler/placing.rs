//! Placement of waiting tasks on workers.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::{
    job::{
        charge::RunCost,
        order::{QueuedJob, order_queue},
        place::{PlaceCandidates, PlaceRequest, choose_candidate, choose_worker, is_eligible},
        room::{RoomIndex, fits_gang},
        spec::{JobId, StepKey, StepSpec, TaskKey},
        task::AnyTask,
        wait::{WaitCounts, WaitReason},
        worker::Worker,
    },
    name::{PoolName, RackName, WorkerId},
};

use super::{Scheduler, SchedulerDecision};

/// Number of steps that wait for room after which the rest of a pool's queue is skipped. A smaller task
/// further back may still fit; the limit keeps the search short.
const MAX_UNPLACED_STEPS: usize = 8;

/// Room that the workers of a pool have once all runs that end by themselves have ended.
#[derive(Debug, Default)]
struct FiniteRooms {
    all: RoomIndex,
    /// Rooms on workers without tasks that serve users.
    best_effort: RoomIndex,
}

impl FiniteRooms {
    fn collect<'a>(workers: impl Iterator<Item = &'a Worker>) -> Self {
        let mut rooms = Self::default();
        for worker in workers {
            let (room, labels) = (worker.finite_room(), &worker.entry.labels);
            rooms.all.add(&room, labels);
            if worker.serving_runs == 0 {
                rooms.best_effort.add(&room, labels);
            }
        }
        rooms
    }

    fn fits(&self, step: &StepSpec) -> bool {
        if step.best_effort {
            self.best_effort.fits(step)
        } else {
            self.all.fits(step)
        }
    }
}

/// Search for room for the tasks of a pool.
struct QueueSearch {
    workers: PlaceCandidates,
    /// Rooms of the workers, collected once a step has found none.
    rooms: Option<FiniteRooms>,
    waits: WaitCounts,
}

impl Scheduler {
    /// Places waiting tasks on workers with room, pool by pool in order of urgency.
    pub(super) fn place_tasks(&mut self) {
        let queues = self.pool_queues();
        self.waits.clear();
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
            let workers = PlaceCandidates::new(by_free_cpu);
            let mut search = QueueSearch {
                workers,
                rooms: None,
                waits: WaitCounts::default(),
            };
            self.place_queue(&queue, &mut search);
            self.waits.insert(pool, search.waits);
        }
    }

    fn place_queue(&mut self, queue: &[QueuedJob], search: &mut QueueSearch) {
        if search.workers.with_room(0).next().is_none() {
            return;
        }
        let mut unplaced_steps = 0;
        for (index, QueuedJob { urgency, job, .. }) in queue.iter().enumerate() {
            if unplaced_steps >= MAX_UNPLACED_STEPS {
                search.waits.unsearched_jobs = (queue.len() - index) as u32;
                return;
            }
            let unplaced = self.place_job(*job, search);
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

    /// Places startable tasks of a job; returns the number of steps that wait for room.
    fn place_job(&mut self, id: JobId, search: &mut QueueSearch) -> usize {
        let Some(job) = self.jobs.get(&id) else {
            return 0;
        };
        let keys: SmallVec<[TaskKey; 16]> = job.startable(id, self.now).collect();
        let (mut placed, mut unplaced_steps) = (0, 0);
        let mut full_steps = SmallVec::<[StepKey; 4]>::new();
        for key in &keys {
            let step = StepKey::from(*key);
            if full_steps.contains(&step) {
                continue;
            }
            let rooms = search.rooms.as_ref();
            if rooms.is_some_and(|rooms| !self.may_find_room(key, rooms, &search.workers)) {
                full_steps.push(step);
                search.waits.add(WaitReason::NoFit);
                continue;
            }
            let count = if self.is_gang(step) {
                self.place_gang(step, &search.workers)
            } else {
                usize::from(self.place_task(*key, &mut search.workers))
            };
            placed += count;
            // A task that waits for its trial holds up no other.
            if count == 0 && !self.needs_trial(key) {
                full_steps.push(step);
                let rooms = search
                    .rooms
                    .get_or_insert_with(|| self.finite_rooms(&search.workers));
                let may_find_room = self.may_find_room(key, rooms, &search.workers);
                unplaced_steps += usize::from(may_find_room);
                let reason = self.wait_reason(key, may_find_room, &search.workers);
                search.waits.add(reason);
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
        unplaced_steps
    }

    /// Returns the reason for which a task found no worker.
    fn wait_reason(
        &self,
        key: &TaskKey,
        may_find_room: bool,
        workers: &PlaceCandidates,
    ) -> WaitReason {
        let Some(job) = self.jobs.get(&key.job).filter(|_| may_find_room) else {
            return WaitReason::NoFit;
        };
        let (step, need) = (job.step(key), job.step(key).charged());
        let unlimited = StepSpec {
            max_per_worker: 0,
            ..step.clone()
        };
        let request = PlaceRequest {
            task: *key,
            step: &unlimited,
            avoid: None,
            preferred_rack: None,
        };
        let known = workers.with_room(need.cpu);
        let mut known = known.filter_map(|id| self.workers.get(id));
        let has_room = known.any(|worker| is_eligible(&request, worker, &need, self.now));
        match (has_room && !step.gang, job.terms.advised) {
            (false, _) => WaitReason::Room,
            (true, true) => WaitReason::Permit,
            (true, false) => WaitReason::StepLimit,
        }
    }

    fn finite_rooms(&self, workers: &PlaceCandidates) -> FiniteRooms {
        let known = workers.with_room(0);
        FiniteRooms::collect(known.filter_map(|id| self.workers.get(id)))
    }

    /// Returns whether the step of a task can get room when others end. One that cannot must not hold up
    /// the tasks behind it.
    fn may_find_room(&self, key: &TaskKey, rooms: &FiniteRooms, workers: &PlaceCandidates) -> bool {
        let Some(step) = self.jobs.get(&key.job).map(|job| job.step(key)) else {
            return false;
        };
        if !rooms.fits(step) || !step.gang {
            return rooms.fits(step);
        }
        let known = workers.with_room(0).filter_map(|id| self.workers.get(id));
        let label = |worker: &&Worker| {
            step.requires
                .as_ref()
                .is_none_or(|label| worker.entry.labels.contains(label))
        };
        fits_gang(step, known.filter(label).map(Worker::finite_room))
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
