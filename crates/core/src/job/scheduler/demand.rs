//! Demand and capacity of each pool.

use std::collections::{BTreeMap, BTreeSet};

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    job::{
        resize::{IdleVm, PoolDemandView},
        room::RoomIndex,
        spec::{Resources, StepSpec},
        tenant::TenantLimit,
        tenant_account::TenantSlot,
        vm_order::AnyVmOrder,
        wait::WaitCounts,
        worker::Worker,
    },
    name::{PoolName, TenantName, WorkerId},
};

use super::{Job, Scheduler, VmEntry};

/// Shortest window over which arrivals are averaged. A surge is visible within half of it.
const MIN_ARRIVAL_WINDOW_MS: f64 = 800.0;
/// Weight of the newest job in the moving average of a pool's arrival window.
const NEWEST_JOB_WEIGHT: f64 = 0.1;
/// Target time for working off a backlog beside new arrivals.
const BACKLOG_TARGET_MS: u64 = 1_000;
/// Idle time after which a VM may go to the spare pool. A second in a pool costs about as much as a
/// move.
const MIN_IDLE_TIME: ClockTime = ClockTime::from_millis(2_000);

/// Exponentially decaying rate of the work that arrives for a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ArrivalRate {
    /// Decayed sum of work, in thousandths of core-milliseconds.
    work: f64,
    /// Time constant of the decay in milliseconds: the duration of a task of this pool, as a burst
    /// of long tasks cannot be worked off in less.
    window_ms: f64,
    updated_at: ClockTime,
}

impl ArrivalRate {
    fn decayed_work(&self, now: ClockTime) -> f64 {
        let elapsed = (now - self.updated_at).as_millis() as f64;
        self.work * (-elapsed / self.window_ms.max(MIN_ARRIVAL_WINDOW_MS)).exp()
    }

    /// CPU demand of the arrivals, in thousandths of a core.
    fn cpu(&self, now: ClockTime) -> u64 {
        (self.decayed_work(now) / self.window_ms.max(MIN_ARRIVAL_WINDOW_MS)) as u64
    }

    /// Adds a job whose tasks need `work` in total and last `window_ms` each.
    fn add(&mut self, work: f64, window_ms: f64, now: ClockTime) {
        let known = self.window_ms > 0.0;
        let weight = if known { NEWEST_JOB_WEIGHT } else { 1.0 };
        self.work = self.decayed_work(now) + work;
        self.window_ms += (window_ms - self.window_ms) * weight;
        self.updated_at = now;
    }
}

/// Tasks that wait.
#[derive(Clone, Copy, Debug, Default)]
struct TaskBacklog {
    /// Work of the tasks, in thousandths of core-milliseconds.
    work: u64,
    /// CPU needed to run all of them at once, in thousandths of a core.
    cpu: u64,
}

impl TaskBacklog {
    /// Adds tasks that need `cpu` each and are expected to last for `duration`.
    fn add(&mut self, cpu: u64, duration: ClockTime, count: u64) {
        let cpu = cpu.saturating_mul(count);
        let work = cpu.saturating_mul(duration.as_millis());
        self.work = self.work.saturating_add(work);
        self.cpu = self.cpu.saturating_add(cpu);
    }

    /// CPU that works the tasks off within the target time, in thousandths of a core; at most what
    /// all of them use at once, as long tasks cannot be worked off faster.
    fn demand(&self) -> u64 {
        self.cpu.min(self.work / BACKLOG_TARGET_MS)
    }
}

/// Rooms that pools have, or may come to have, once all runs that end by themselves have ended.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetRooms {
    /// Rooms of the VMs that may join any pool: those without runs that last until they are stopped.
    movable: RoomIndex,
    /// Rooms of the other workers of each pool.
    pools: BTreeMap<PoolName, RoomIndex>,
}

impl FleetRooms {
    /// Returns whether a pool may come to run a task of the step, or its whole gang. Without a known worker
    /// or VM, any step counts.
    fn fits(&self, pool: &PoolName, step: &StepSpec) -> bool {
        let Some(fixed) = self.pools.get(pool) else {
            return self.movable.is_empty() || self.movable.fits(step);
        };
        RoomIndex::fit_together(&[&self.movable, fixed], step)
    }

    /// Returns for each step of a job whether its pool may come to run it.
    pub(super) fn fitting_steps(&self, job: &Job) -> SmallVec<[bool; 8]> {
        // Steps like the one before them need no search of their own.
        let mut last: Option<(&StepSpec, bool)> = None;
        let mut fitting = SmallVec::with_capacity(job.spec.steps.len());
        for step in &job.spec.steps {
            let fits = match last {
                Some((other, fits)) if other.fits_like(step) => fits,
                _ => self.fits(&job.terms.pool, step),
            };
            last = Some((step, fits));
            fitting.push(fits);
        }
        fitting
    }
}

/// Work of a pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolLoad {
    /// CPU used by finite tasks, in thousandths of a core.
    running: u64,
    /// Work of finite tasks that have not started, in thousandths of core-milliseconds.
    waiting: u64,
    /// Part of it that is no surplus.
    contracted_waiting: u64,
    /// Part of those tasks that can still be done within their objective, and are no surplus.
    timely: TaskBacklog,
    /// Tasks among the timely ones that could start now.
    startable: TaskBacklog,
    /// Tasks that could start now and are late in any case.
    late_startable: TaskBacklog,
    /// CPU of long-running tasks, in thousandths of a core.
    long_running: u64,
}

impl PoolLoad {
    /// CPU of the tasks that run, and of those that could start now, in thousandths of a core.
    fn present_demand(&self) -> u64 {
        saturating_sum([self.running, self.long_running, self.startable.demand()])
    }
}

/// Load of a pool, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSummary {
    /// Pool name.
    pub pool: PoolName,
    /// Capacity of the workers that take tasks.
    pub capacity: Resources,
    /// Part of the capacity that is in use.
    pub used: Resources,
    /// CPU demand behind moves of VMs, in thousandths of a core.
    pub demand: u64,
    /// Part of the demand that follows from arriving work, in thousandths of a core.
    pub arriving: u64,
    /// CPU of the finite tasks that run, in thousandths of a core.
    pub running: u64,
    /// Jobs with tasks that could start now.
    pub queued: usize,
    /// Queued jobs that are not expected to meet their objective.
    pub infeasible: usize,
    /// Outcome of the last search of its queue.
    pub waits: WaitCounts,
}

/// What a tenant has running and waiting, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantSummary {
    /// Name of the tenant.
    pub tenant: TenantName,
    /// What it has running on all workers.
    pub running: Resources,
    /// What it may have running; zero means no limit.
    pub limit: TenantLimit,
    /// CPU that it has running, in thousandths of that of all workers that take tasks.
    pub share_permille: u64,
    /// Accepted jobs of which no task has started.
    pub waiting: u32,
    /// Steps that waited for its limit in the last search.
    pub held_steps: u32,
    /// Jobs beyond its rate that this owner has received.
    pub surplus_jobs: u64,
}

/// Adds up numbers, and stops at the largest one.
fn saturating_sum(numbers: impl IntoIterator<Item = u64>) -> u64 {
    numbers.into_iter().fold(0, u64::saturating_add)
}

/// CPU of all tasks of a step, in thousandths of a core.
fn step_cpu(step: &StepSpec) -> u64 {
    step.charged().cpu.saturating_mul(u64::from(step.count))
}

impl Scheduler {
    /// Returns the load of each pool.
    pub fn pool_summaries(&self) -> Vec<PoolSummary> {
        let queues = self.pool_queues();
        let loads = self.pool_loads();
        let views = self.demand_views_of(&loads).into_iter();
        let summary = |view: PoolDemandView| {
            let queue = queues.get(&view.pool).map_or(&[][..], Vec::as_slice);
            let workers = self.workers.values();
            let workers = workers.filter(|worker| worker.entry.pool == view.pool);
            let (mut capacity, mut used) = (Resources::default(), Resources::default());
            for worker in workers.filter(|worker| worker.takes_work(self.now)) {
                capacity = capacity.plus(&worker.entry.capacity);
                used = used.plus(&worker.used);
            }
            let infeasible = queue.iter().filter(|queued| queued.urgency.infeasible);
            PoolSummary {
                capacity,
                used,
                demand: view.demand,
                arriving: self.arriving_cpu(&view.pool),
                running: loads.get(&view.pool).map_or(0, |load| load.running),
                queued: queue.len(),
                infeasible: infeasible.count(),
                waits: self.waits.get(&view.pool).copied().unwrap_or_default(),
                pool: view.pool,
            }
        };
        views.map(summary).collect()
    }

    /// Returns what each tenant with open jobs has running and waiting.
    pub fn tenant_summaries(&self) -> Vec<TenantSummary> {
        let mut waiting: BTreeMap<TenantSlot, u32> = BTreeMap::new();
        for job in self.jobs.values() {
            if let Some(slot) = job.tenant {
                *waiting.entry(slot).or_default() += u32::from(!job.has_started());
            }
        }
        let workers = self.workers.values();
        let workers = workers.filter(|worker| worker.takes_work(self.now));
        let fleet_cpu = saturating_sum(workers.map(|worker| worker.entry.capacity.cpu)).max(1);
        let summary = |(slot, waiting): (TenantSlot, u32)| {
            let account = self.tenants.account(slot)?;
            Some(TenantSummary {
                tenant: account.name.clone(),
                running: account.running,
                limit: account.limit,
                share_permille: account.running.cpu.saturating_mul(1_000) / fleet_cpu,
                waiting,
                held_steps: account.held_steps,
                surplus_jobs: account.surplus_jobs,
            })
        };
        waiting.into_iter().filter_map(summary).collect()
    }

    /// Adds the work of a job to the arrival rate of its pool.
    pub(super) fn record_arrival(&mut self, job: &Job) {
        let now = self.now;
        if !job.spec.runs_once() || job.is_surplus() {
            return;
        }
        let mean = self.durations.mean(&job.spec.work).as_millis();
        let (rooms, pool) = (&self.fleet.rooms, &job.terms.pool);
        let steps = job.spec.steps.iter();
        let cpu = saturating_sum(steps.filter(|step| rooms.fits(pool, step)).map(step_cpu));
        let rate = self
            .fleet
            .arrivals
            .entry(job.terms.pool.clone())
            .or_default();
        rate.add(cpu as f64 * mean as f64, mean as f64, now);
    }

    /// Computes the demand and capacity of each pool.
    pub(super) fn demand_views(&self) -> Vec<PoolDemandView> {
        self.demand_views_of(&self.pool_loads())
    }

    fn demand_views_of(&self, loads: &BTreeMap<&PoolName, PoolLoad>) -> Vec<PoolDemandView> {
        let mut views: BTreeMap<&PoolName, PoolDemandView> = BTreeMap::new();
        for pool in &self.catalogue.pools {
            let load = loads.get(&pool.name).copied().unwrap_or_default();
            let view = PoolDemandView {
                pool: pool.name.clone(),
                spare: pool.spare,
                demand: self.demand(&pool.name, &load),
                present_demand: load.present_demand(),
                late_demand: saturating_sum([load.present_demand(), load.late_startable.cpu]),
                waiting: load.waiting,
                contracted_waiting: load.contracted_waiting,
                long_running: load.long_running,
                capacity: 0,
                vms: 0,
                base_size: self.fleet.base_sizes.get(&pool.name).copied().unwrap_or(0),
                idle: Vec::new(),
            };
            views.insert(&pool.name, view);
        }
        for vm in self.fleet.vms.values() {
            let pending = self.fleet.pending.get(&vm.vm);
            let (pool, is_arriving) = match pending.and_then(AnyVmOrder::target_pool) {
                Some(to) => (to, true),
                None => (&vm.pool, false),
            };
            if let Some(view) = views.get_mut(pool) {
                self.count_vm(view, vm, is_arriving);
            }
        }
        views.into_values().collect()
    }

    fn count_vm(&self, view: &mut PoolDemandView, vm: &VmEntry, is_arriving: bool) {
        view.vms += 1;
        let worker = vm.worker.as_ref().and_then(|id| self.workers.get(id));
        if is_arriving || worker.is_some_and(Worker::is_in_service) {
            view.capacity = view.capacity.saturating_add(vm.capacity.cpu);
        }
        view.idle.extend(self.idle_vm(vm, worker, view.spare));
    }

    fn idle_vm(&self, vm: &VmEntry, worker: Option<&Worker>, spare: bool) -> Option<IdleVm> {
        let now = self.now;
        let empty = match worker {
            Some(worker) => worker.is_in_service() && worker.is_empty(),
            None => false,
        };
        if !self.fleet.is_free(vm, now) || !(spare || empty) {
            return None;
        }
        let since = worker.map_or(ClockTime::ZERO, |worker| worker.empty_since);
        Some(IdleVm {
            vm: vm.vm.clone(),
            cpu: vm.capacity.cpu,
            long_idle: now > since + MIN_IDLE_TIME,
        })
    }

    /// Computes the CPU demand of a pool in thousandths of a core: the larger of running and
    /// arriving work, plus long-running tasks, plus the backlog spread over its target time. Work
    /// that is late in any case waits for what the pool has left, and for VMs that no other pool
    /// needs: others that were moved for it would be missing where work can still be done in time.
    fn demand(&self, pool: &PoolName, load: &PoolLoad) -> u64 {
        let active = self.arriving_cpu(pool).max(load.running);
        saturating_sum([active, load.long_running, load.timely.demand()])
    }

    /// Returns the CPU demand of the work that arrives for a pool, in thousandths of a core.
    fn arriving_cpu(&self, pool: &PoolName) -> u64 {
        let arriving = self.fleet.arrivals.get(pool);
        arriving.map_or(0, |rate| rate.cpu(self.now))
    }

    /// Collects the rooms of all VMs and workers.
    pub(super) fn fleet_rooms(&self) -> FleetRooms {
        let mut rooms = FleetRooms::default();
        // A worker that is only known from stored records has no address.
        let is_listed = |worker: &&Worker| !worker.entry.address.is_empty();
        let mut movable_workers: BTreeSet<&WorkerId> = BTreeSet::new();
        for vm in self.fleet.vms.values() {
            let worker = vm.worker.as_ref().and_then(|id| self.workers.get(id));
            match worker.filter(is_listed) {
                Some(worker) if worker.lasting != Resources::default() => {}
                Some(worker) => {
                    movable_workers.insert(&worker.id);
                    rooms.movable.add(&vm.capacity, &worker.entry.labels);
                }
                None => rooms.movable.add_unlabelled(&vm.capacity),
            }
        }
        let workers = self.workers.values().filter(is_listed);
        for worker in workers.filter(|worker| !movable_workers.contains(&worker.id)) {
            let pool = rooms.pools.entry(worker.entry.pool.clone()).or_default();
            pool.add(&worker.finite_room(), &worker.entry.labels);
        }
        rooms
    }

    /// Sums up the work of each pool. Steps that it can never run are left out: their jobs wait, and neither
    /// a VM nor the refusal of other jobs would help them.
    fn pool_loads(&self) -> BTreeMap<&PoolName, PoolLoad> {
        let mut pools: BTreeMap<&PoolName, PoolLoad> = BTreeMap::new();
        for (id, job) in &self.jobs {
            let load = pools.entry(&job.terms.pool).or_default();
            if job.spec.is_long_running() {
                if job.life.goal().is_none() {
                    let lasting = self.lasting_cpu(job);
                    load.long_running = load.long_running.saturating_add(lasting);
                }
                continue;
            }
            if job.spec.repeat.is_some() {
                continue;
            }
            let mean = self.durations.mean(&job.spec.work);
            let urgency = job.urgency(mean, self.now);
            // Surplus is served from idle room, like what is late in any case.
            let takes_idle_room = urgency.infeasible || urgency.is_surplus;
            let fitting = self.fleet.rooms.fitting_steps(job);
            for (step, tasks) in job.open_steps() {
                let cpu = job.spec.steps[usize::from(step)].charged().cpu;
                let running = cpu.saturating_mul(tasks.count_placed() as u64);
                load.running = load.running.saturating_add(running);
                let waiting = tasks.count_waiting() as u64;
                if waiting > 0 && fitting[usize::from(step)] {
                    let work = cpu.saturating_mul(mean.as_millis()).saturating_mul(waiting);
                    load.waiting = load.waiting.saturating_add(work);
                    if !urgency.is_surplus {
                        load.contracted_waiting = load.contracted_waiting.saturating_add(work);
                    }
                    if !takes_idle_room {
                        load.timely.add(cpu, mean, waiting);
                    }
                }
            }
            if !job.has_startable() {
                continue;
            }
            let startable = if takes_idle_room {
                &mut load.late_startable
            } else {
                &mut load.startable
            };
            for (step, count) in job.count_startable(*id, self.now) {
                if fitting[usize::from(step)] {
                    let cpu = job.spec.steps[usize::from(step)].charged().cpu;
                    startable.add(cpu, mean, count as u64);
                }
            }
        }
        pools
    }

    /// CPU that the tasks of a long-running job take or could take, in thousandths of a core.
    fn lasting_cpu(&self, job: &Job) -> u64 {
        let fitting = self.fleet.rooms.fitting_steps(job);
        let steps = job.open_steps().map(|(step, tasks)| {
            let counted = if fitting[usize::from(step)] {
                tasks.count()
            } else {
                tasks.count_placed()
            };
            let cpu = job.spec.steps[usize::from(step)].charged().cpu;
            cpu.saturating_mul(counted as u64)
        });
        saturating_sum(steps)
    }

    /// Estimates the time in which each tenant's limit lets its waiting tasks run.
    pub(super) fn limit_drains(&self) -> BTreeMap<TenantName, ClockTime> {
        let mut waiting: BTreeMap<TenantSlot, Resources> = BTreeMap::new();
        for job in self.jobs.values() {
            let Some(slot) = job.tenant.filter(|_| job.spec.repeat.is_none()) else {
                continue;
            };
            let mean = self.durations.mean(&job.spec.work).as_millis();
            let need = job.waiting_need(&self.fleet.rooms);
            let work = waiting.entry(slot).or_default();
            *work = work.plus(&need.times(mean));
        }
        let drains = waiting.into_iter().filter_map(|(slot, work)| {
            let drain = self.tenants.limit_drain(slot, &work);
            Some((self.tenants.name(slot)?.clone(), drain))
        });
        drains
            .filter(|(_, drain)| *drain > ClockTime::ZERO)
            .collect()
    }

    /// Estimates the time in which each pool works off its backlog: the smaller of the time on the
    /// pool's own current and arriving VMs, and the time for all backlogs on all VMs, since VMs
    /// follow the demand. Empty just after a takeover, while most workers have not reported.
    pub(super) fn drain_times(
        &self,
        views: &[PoolDemandView],
        backlog: impl Fn(&PoolDemandView) -> u64,
    ) -> BTreeMap<PoolName, ClockTime> {
        if !self.have_workers_reported() {
            return BTreeMap::new();
        }
        let task_cpu = |view: &PoolDemandView| view.capacity.saturating_sub(view.long_running);
        let spare_cpu = |view: &PoolDemandView| {
            let idle = view.idle.iter().filter(|_| view.spare);
            saturating_sum(idle.map(|vm| vm.cpu))
        };
        let cpu_of = |view| task_cpu(view).saturating_add(spare_cpu(view));
        let all_task_cpu = saturating_sum(views.iter().map(cpu_of));
        let all_waiting = saturating_sum(views.iter().map(&backlog));
        let time_for = |work: u64, cpu: u64| work.checked_div(cpu).map(ClockTime::from_millis);
        let drain = |view: &PoolDemandView| {
            let alone_time = time_for(backlog(view), task_cpu(view));
            let shared_time =
                time_for(all_waiting, all_task_cpu).map(|drain| drain + self.limits.move_time);
            // Without a known worker there is no estimate.
            alone_time
                .into_iter()
                .chain(shared_time)
                .min()
                .unwrap_or_default()
        };
        let times = views.iter().map(|view| (view.pool.clone(), drain(view)));
        times.collect()
    }
}
