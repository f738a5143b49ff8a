//! Placement of waiting tasks on workers.
//!
//! A search goes through the whole queue of a pool. What bounds its cost is what it remembers: a shape
//! for which no worker has room is not searched for again, so a step that waits for whatever reason
//! holds up no other.

use std::{collections::BTreeMap, mem, result};

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    job::{
        charge::RunCost,
        order::{JobUrgency, QueuedJob, order_queue, with_margin},
        place::{
            PlaceCandidates, PlaceRequest, PlaceScope, choose_candidate, choose_worker, has_room,
            is_eligible,
        },
        room::RoomIndex,
        shape::{SearchMemory, TaskShape},
        spec::{JobId, Resources, StepKey, StepSpec, TaskKey},
        task::AnyTask,
        wait::{WaitCounts, WaitReason},
        worker::Worker,
    },
    name::{PoolName, RackName, WorkerId},
};

use super::{Job, Scheduler, SchedulerDecision, holds::HeldStep, permits::PermitWish};

/// Number of tasks that were placed, or the reason for which there are none.
type Result<T, E = WaitReason> = result::Result<T, E>;

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

/// Startable tasks of a step that are looked at together.
const STEP_CHUNK: usize = 16;

/// Outcome of the search for room for the tasks of a step.
#[derive(Debug, Default)]
struct StepOutcome {
    placed: usize,
    unplaced: usize,
    /// True if no worker of the pool has what the step asks for.
    is_in_vain: bool,
}

/// Search for room for the tasks of a pool.
pub(super) struct QueueSearch {
    pub(super) workers: PlaceCandidates,
    /// Rooms of the workers, collected once a step has found none.
    rooms: Option<FiniteRooms>,
    memory: SearchMemory,
    /// The same for tasks that need a trial, which may start on fewer workers.
    trial_memory: SearchMemory,
    /// Jobs for which workers or room are kept. They may find room where others find none.
    favoured: SmallVec<[JobId; 8]>,
    pub(super) held: HeldStep,
    waits: WaitCounts,
}

impl QueueSearch {
    /// Records that room or a worker is kept for a job.
    pub(super) fn favour(&mut self, job: JobId) {
        self.favoured.push(job);
    }

    /// Returns whether the search has already found that a step has no room.
    fn is_known_full(&self, step: &StepSpec, shape: &TaskShape, is_trial: bool) -> bool {
        let is_unfit_gang = step.gang && self.memory.is_unfit_gang(step, shape);
        let is_full = self.memory.is_full(shape) || is_unfit_gang;
        is_full || is_trial && self.trial_memory.is_full(shape)
    }
}

impl Scheduler {
    /// Places waiting tasks on workers with room, pool by pool in order of urgency.
    pub(super) fn place_tasks(&mut self) {
        let queues = self.pool_queues();
        self.waits.clear();
        self.sum_tenants();
        self.review_holds();
        if queues.is_empty() {
            return;
        }
        // Workers with their free CPU, and the capacity of all of them.
        let mut pools: BTreeMap<PoolName, (Vec<(u64, WorkerId)>, Resources)> = BTreeMap::new();
        for worker in self.workers.values() {
            if queues.contains_key(&worker.entry.pool) && worker.takes_work(self.now) {
                let pool = pools.entry(worker.entry.pool.clone()).or_default();
                pool.0.push((worker.free_cpu(), worker.id.clone()));
                pool.1 = pool.1.plus(&worker.entry.capacity);
            }
        }
        for (pool, mut queue) in queues {
            let (by_free_cpu, capacity) = pools.remove(&pool).unwrap_or_default();
            let mut shares = self.tenants.shares(&pool, capacity);
            order_queue(&mut queue, capacity.cpu, &mut shares, self.now);
            let mut search = QueueSearch {
                workers: PlaceCandidates::new(by_free_cpu),
                rooms: None,
                memory: SearchMemory::default(),
                trial_memory: SearchMemory::default(),
                favoured: self.favoured_jobs(),
                held: self.held_step(&pool),
                waits: WaitCounts::default(),
            };
            if !search.workers.is_empty() {
                for QueuedJob { job, urgency, .. } in &queue {
                    self.place_job(*job, urgency, &mut search);
                }
            }
            if let Some(step) = search.held.renewed() {
                self.held_steps.insert(pool.clone(), step);
            }
            self.waits.insert(pool, search.waits);
        }
    }

    /// Sums up what the tenants have running.
    fn sum_tenants(&mut self) {
        if self.tenants.is_empty() {
            return;
        }
        let has_unnamed = self.may_have_unnamed_runs();
        self.tenants.begin_search(has_unnamed);
        for worker in self.workers.values() {
            let pool = &worker.entry.pool;
            self.tenants.add_running(pool, &worker.tenant_usage);
        }
    }

    /// Returns whether runs may be in progress that no record names, under leases of earlier owners: records name
    /// one run of a task, and a copy may have taken its place.
    fn may_have_unnamed_runs(&self) -> bool {
        let now = self.now;
        now <= self.opened_at + self.limits.max_lease
            || !self.former_owners.is_empty()
            || self.workers.values().any(|worker| worker.is_unseen(now))
    }

    /// Returns whether a task, or the gang that it belongs to, may start under its tenant's limit.
    fn is_within_limit(&self, job: &Job, step: &StepSpec) -> bool {
        let count = if step.gang { u64::from(step.count) } else { 1 };
        let slot = job.tenant;
        slot.is_none_or(|slot| self.tenants.admits(slot, &step.need, count))
    }

    /// Records that a step waits for its tenant's limit.
    fn record_held(&mut self, key: TaskKey) {
        let slot = self.jobs.get(&key.job).and_then(|job| job.tenant);
        let account = slot.and_then(|slot| self.tenants.record_held(slot, self.now));
        if let Some(account) = account {
            let decision = SchedulerDecision::TenantFull {
                tenant: account.name.clone(),
                step: key.into(),
                running: account.running,
                limit: account.limit,
            };
            self.log_decision(decision);
        }
    }

    /// Jobs for which a worker or room is kept.
    fn favoured_jobs(&self) -> SmallVec<[JobId; 8]> {
        let workers = self.trial_workers.iter().chain(&self.held_workers);
        let workers = workers.filter_map(|id| self.workers.get(id));
        let jobs = workers.flat_map(|worker| {
            let held_for = worker.room_hold.map(|hold| hold.step.job);
            worker.reserved_for.into_iter().chain(held_for)
        });
        jobs.collect()
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
            let need = job.waiting_need(&self.fleet.rooms);
            queue.push(QueuedJob {
                urgency: job.urgency(mean, now),
                job: *id,
                work: need.cpu * mean.as_millis(),
                need,
                tenant: job.tenant,
            });
        }
        queues
    }

    /// Places startable tasks of a job.
    fn place_job(&mut self, id: JobId, urgency: &JobUrgency, search: &mut QueueSearch) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let first = job.startable(id, self.now).next();
        let steps: SmallVec<[StepKey; 16]> = job.startable_steps(id).collect();
        let (mut placed, mut unplaced) = (0, 0);
        let mut in_vain = None;
        for step in steps {
            let outcome = self.place_tasks_of(step, urgency, search);
            placed += outcome.placed;
            unplaced += outcome.unplaced;
            if outcome.is_in_vain {
                in_vain.get_or_insert(step);
            }
        }
        self.record_vain_wait(id, first.map(StepKey::from), in_vain);
        if placed > 0 {
            self.outbox.mark_changed(id);
            self.log_decision(SchedulerDecision::Placed {
                job: id,
                tasks: placed,
                unplaced,
            });
        }
    }

    /// Places startable tasks of a step, until one of them finds no room.
    fn place_tasks_of(
        &mut self,
        step: StepKey,
        urgency: &JobUrgency,
        search: &mut QueueSearch,
    ) -> StepOutcome {
        let mut outcome = StepOutcome::default();
        let mut next = Some(0);
        while let Some(from) = next {
            let Some(job) = self.jobs.get(&step.job) else {
                break;
            };
            let keys = job.startable_in(step, from, self.now);
            let keys: SmallVec<[TaskKey; STEP_CHUNK]> = keys.take(STEP_CHUNK).collect();
            next = keys.last().map(|key| key.index + 1);
            for key in &keys {
                let reason = match self.place_step(*key, search) {
                    Ok(count) => {
                        outcome.placed += count;
                        // A gang starts with members that would not start by themselves yet.
                        if count > 1 {
                            return outcome;
                        }
                        continue;
                    }
                    Err(reason) => reason,
                };
                search.waits.add(reason);
                outcome.is_in_vain |= reason == WaitReason::NoFit;
                if reason == WaitReason::Room {
                    self.hold_room(key, urgency, search);
                }
                // Other tasks of the step may need no trial.
                if reason != WaitReason::Trial {
                    let job = self.jobs.get(&step.job);
                    let waiting = job.map_or(0, |job| job.count_waiting_in(step));
                    outcome.unplaced += waiting;
                    return outcome;
                }
                outcome.unplaced += 1;
            }
        }
        outcome
    }

    /// Logs that a job has begun or ceased to wait for what no worker has; `first` is its first step that
    /// could start.
    fn record_vain_wait(&mut self, id: JobId, first: Option<StepKey>, in_vain: Option<StepKey>) {
        let Some((job, step)) = self.jobs.get_mut(&id).zip(in_vain.or(first)) else {
            return;
        };
        let in_vain = in_vain.is_some();
        if mem::replace(&mut job.waits_in_vain, in_vain) != in_vain {
            self.log_decision(SchedulerDecision::JobWaits {
                job: id,
                step,
                in_vain,
            });
        }
    }

    /// Places a task, or the whole gang that it belongs to.
    fn place_step(&mut self, key: TaskKey, search: &mut QueueSearch) -> Result<usize> {
        let Some(job) = self.jobs.get(&key.job) else {
            return Err(WaitReason::NoFit);
        };
        let step = job.step(&key);
        if !self.is_within_limit(job, step) {
            self.record_held(key);
            return Err(WaitReason::TenantLimit);
        }
        let ends_at = self.now + self.expected_span(job, step);
        let shape = TaskShape::of(step, search.held.count_open(ends_at));
        let (is_gang, is_trial) = (step.gang, job.needs_trial(&key));
        let is_favoured = search.favoured.contains(&key.job);
        if !is_favoured && search.is_known_full(step, &shape, is_trial) {
            return Err(self.full_reason(&key, search));
        }
        // The other members have to stop first.
        if is_gang && !job.is_gang_complete(&key) {
            return Err(WaitReason::StepLimit);
        }
        let placed = if is_gang {
            self.place_gang(key.into(), &search.workers)
        } else {
            usize::from(self.place_task(key, &shape, search))
        };
        if placed > 0 {
            return Ok(placed);
        }
        Err(self.record_wait(&key, shape, search))
    }

    /// Remembers why a search for a task found no worker.
    fn record_wait(
        &mut self,
        key: &TaskKey,
        shape: TaskShape,
        search: &mut QueueSearch,
    ) -> WaitReason {
        let Some(job) = self.jobs.get(&key.job) else {
            return WaitReason::NoFit;
        };
        let (step, advised) = (job.step(key), job.terms.advised);
        if job.needs_trial(key) {
            search.favoured.extend(self.trial_job(key.job));
            // Gangs may reserve more workers than others.
            if !step.gang {
                search.trial_memory.record_full(shape);
            }
            return WaitReason::Trial;
        }
        let request = self.place_request(job, *key);
        let need = step.charged();
        let fits = |id: &&WorkerId| {
            let worker = self.workers.get(*id);
            worker.is_some_and(|worker| has_room(&request, worker, &need, self.now))
        };
        let has_room = match search.memory.fitting(&shape) {
            Some(workers) => workers.iter().any(|id| fits(&id)),
            None => {
                let fitting = search.workers.with_room(need.cpu).filter(fits);
                let fitting: Vec<WorkerId> = fitting.cloned().collect();
                let has_room = !fitting.is_empty();
                search.memory.record_fitting(shape.clone(), fitting);
                has_room
            }
        };
        if !has_room {
            search.memory.record_full(shape);
        } else if step.gang && !advised {
            search.memory.record_unfit_gang(step, shape);
        }
        match (has_room, step.gang, advised) {
            (true, _, true) => WaitReason::Permit,
            (true, false, false) => WaitReason::StepLimit,
            (true, true, false) | (false, ..) => self.full_reason(key, search),
        }
    }

    /// Returns whether a step without room waits for others to end, or in vain.
    fn full_reason(&self, key: &TaskKey, search: &mut QueueSearch) -> WaitReason {
        let Some(job) = self.jobs.get(&key.job) else {
            return WaitReason::NoFit;
        };
        if job.needs_trial(key) {
            return WaitReason::Trial;
        }
        let workers = &search.workers;
        let known = || workers.with_room(0).filter_map(|id| self.workers.get(id));
        let rooms = search
            .rooms
            .get_or_insert_with(|| FiniteRooms::collect(known()));
        if rooms.fits(job.step(key)) {
            WaitReason::Room
        } else {
            WaitReason::NoFit
        }
    }

    /// Returns the job if a worker is reserved for its trials.
    fn trial_job(&self, id: JobId) -> Option<JobId> {
        let mut workers = self.trial_workers.iter();
        let is_reserved =
            |id: &WorkerId| self.workers.get(id).and_then(|worker| worker.reserved_for);
        workers
            .any(|worker| is_reserved(worker) == Some(id))
            .then_some(id)
    }

    /// Expected duration of a task that has not started.
    pub(super) fn expected_span(&self, job: &Job, step: &StepSpec) -> ClockTime {
        if step.long_running {
            return ClockTime::from_millis(u64::MAX);
        }
        with_margin(self.durations.mean(&job.spec.work).max(step.estimate))
    }

    pub(super) fn place_request<'a>(&self, job: &'a Job, task: TaskKey) -> PlaceRequest<'a> {
        let avoided = job.avoided_workers.iter().find(|(key, _)| *key == task);
        let step = job.step(&task);
        PlaceRequest {
            task,
            step,
            avoid: avoided.map(|(_, worker)| worker),
            preferred_rack: None,
            span: self.expected_span(job, step),
        }
    }

    fn place_task(&mut self, key: TaskKey, shape: &TaskShape, search: &mut QueueSearch) -> bool {
        let now = self.now;
        // A worker that is kept for this job had no room for the job of the remembered search.
        let is_favoured = search.favoured.contains(&key.job);
        let scope = match search.memory.fitting(shape) {
            Some(workers) if !is_favoured => PlaceScope::Fitting(workers),
            _ => PlaceScope::Pool(&search.workers),
        };
        let Some(id) = self.find_worker(key, scope, None) else {
            return false;
        };
        let Some(target) = self.workers.get(&id).map(Worker::run_target) else {
            return false;
        };
        let job = self.jobs.get_mut(&key.job);
        let Some(slot) = job.and_then(|job| job.task_mut(&key)) else {
            return false;
        };
        let AnyTask::Waiting(task) = slot.clone() else {
            return false;
        };
        let assigned = task.assign(target, now);
        let run = assigned.run;
        *slot = AnyTask::Assigned(assigned);
        let free = self.workers.get(&id).map_or(0, Worker::free_cpu);
        self.charge(&id, key, run);
        let left = self.workers.get(&id).map_or(0, Worker::free_cpu);
        search.workers.take(&id, free, free - left);
        self.outbox.queue_start(key, run);
        true
    }

    /// Chooses the best worker for a task. If the step needs permits, only permitted workers are
    /// considered; if none of them fits, the policy service is queried about others.
    pub(super) fn find_worker(
        &mut self,
        key: TaskKey,
        scope: PlaceScope<'_>,
        preferred_rack: Option<&RackName>,
    ) -> Option<WorkerId> {
        let now = self.now;
        let job = self.jobs.get(&key.job)?;
        let request = PlaceRequest {
            preferred_rack,
            ..self.place_request(job, key)
        };
        let (is_trial, advised) = (job.needs_trial(&key), job.terms.advised);
        let known = || scope.ids().filter_map(|id| self.workers.get(id));
        let step = StepKey::from(key);
        let found = if is_trial {
            let is_permitted =
                |worker: &&Worker| !advised || self.permits.allows(step, &worker.id, now);
            let trial = self.choose_trial_worker(&request, scope, is_permitted);
            if let Some(trial) = trial {
                return self.begin_trial(trial, key.job);
            }
            None
        } else if advised {
            let in_pool = |id: &WorkerId| {
                let worker = self.workers.get(id)?;
                (worker.entry.pool == job.terms.pool).then_some(worker)
            };
            let permitted = self.permits.permitted(step, now).filter_map(in_pool);
            choose_worker(&request, permitted, now).or_else(|| {
                let renewable = self.permits.renewable(step, now).filter_map(in_pool);
                choose_worker(&request, renewable, now)
            })
        } else {
            match scope {
                PlaceScope::Pool(workers) => {
                    choose_candidate(&request, workers, &self.workers, now)
                }
                PlaceScope::Fitting(_) => choose_worker(&request, known(), now),
            }
        };
        if found.is_none() && advised && self.permits.may_query(now) {
            let need = request.step.charged();
            let unknown = known().filter(|worker| self.permits.is_unknown(step, &worker.id));
            let eligible = unknown.filter(|worker| is_eligible(&request, worker, &need, now));
            let wish = PermitWish {
                step,
                workers: eligible.map(|worker| worker.id.clone()).collect(),
                needs_all: false,
                policy: self.advice_policy(step),
            };
            self.permits.wish(wish);
        }
        found
    }

    /// Charges a run to its worker's capacity.
    pub(super) fn charge(&mut self, id: &WorkerId, key: TaskKey, run: u32) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let cost = RunCost::of(job.step(&key), job.tenant);
        let ends_at = self.now + self.expected_span(job, job.step(&key));
        if let Some(worker) = self.workers.get_mut(id) {
            worker.charge(key, run, cost);
            if let Some(slot) = cost.tenant {
                let pool = &worker.entry.pool;
                self.tenants.add_running(pool, &[(slot, cost.usage)]);
            }
            if let Some(hold) = &mut worker.room_hold
                && hold.step != key.into()
            {
                hold.record_start(&cost.need, ends_at);
            }
        }
    }
}
