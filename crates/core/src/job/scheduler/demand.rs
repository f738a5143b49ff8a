//! What each pool asks for and holds.

use std::collections::BTreeMap;

use crate::{
    clock::ClockTime,
    job::{
        resize::{IdleVm, PoolDemandView},
        vm_order::AnyVmOrder,
        worker::Worker,
    },
    name::PoolName,
};

use super::{Job, Scheduler, VmEntry};

/// The shortest span over which arrivals are averaged: a surge shows within half of it.
const ARRIVAL_SPAN_MS: f64 = 800.0;
/// Weight of the newest job in the span over which a pool's arrivals are averaged.
const NEWEST_SPAN: f64 = 0.1;
/// The time within which a backlog should be worked off beside new arrivals.
const BACKLOG_SPAN_MS: u64 = 1_000;
/// How long a VM is idle before it may go to the spare pool: a second in a pool costs about what a
/// move costs.
const REST: ClockTime = ClockTime::from_millis(2_000);

/// Work that has arrived for a pool lately.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ArrivalRate {
    /// Thousandths of core-milliseconds, fading.
    work: f64,
    /// The span over which it fades, in milliseconds: what a task of the pool takes, since a burst of
    /// long tasks is worked off over that time at best.
    span_ms: f64,
    at: ClockTime,
}

impl ArrivalRate {
    fn faded(&self, now: ClockTime) -> f64 {
        let elapsed = (now - self.at).as_millis() as f64;
        self.work * (-elapsed / self.span_ms.max(ARRIVAL_SPAN_MS)).exp()
    }

    /// What the arrivals ask for, in thousandths of a core.
    fn cpu(&self, now: ClockTime) -> u64 {
        (self.faded(now) / self.span_ms.max(ARRIVAL_SPAN_MS)) as u64
    }

    /// A job has arrived whose tasks take `work` together and `span_ms` each.
    fn add(&mut self, work: f64, span_ms: f64, now: ClockTime) {
        let known = self.span_ms > 0.0;
        let weight = if known { NEWEST_SPAN } else { 1.0 };
        self.work = self.faded(now) + work;
        self.span_ms += (span_ms - self.span_ms) * weight;
        self.at = now;
    }
}

/// The work of a pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolWork {
    /// What tasks that end have in use, in thousandths of a core.
    running: u64,
    /// Tasks that end and have not begun, in thousandths of core-milliseconds.
    waiting: u64,
    /// What these would have in use if all ran at once, in thousandths of a core.
    waiting_cpu: u64,
    /// What tasks that serve for good take, in thousandths of a core.
    steady: u64,
}

impl Scheduler {
    /// Counts a job's work as arrived.
    pub(super) fn count_arrival(&mut self, job: &Job) {
        let now = self.now;
        if job.spec.is_long_running() || job.spec.repeat.is_some() {
            return;
        }
        let mean = self.durations.mean(&job.spec.work).as_millis();
        let steps = job.spec.steps.iter();
        let cpu: u64 = steps
            .map(|step| u64::from(step.count) * step.charged().cpu)
            .sum();
        let rate = self
            .fleet
            .arrivals
            .entry(job.terms.pool.clone())
            .or_default();
        rate.add((cpu * mean) as f64, mean as f64, now);
    }

    /// What each pool asks for and holds.
    pub(super) fn demand_views(&self) -> Vec<PoolDemandView> {
        let work = self.pool_work();
        let mut views: BTreeMap<&PoolName, PoolDemandView> = BTreeMap::new();
        for pool in &self.catalogue.pools {
            let own = work.get(&pool.name).copied().unwrap_or_default();
            let view = PoolDemandView {
                pool: pool.name.clone(),
                spare: pool.spare,
                demand: self.demand(&pool.name, &own),
                waiting: own.waiting,
                steady: own.steady,
                capacity: 0,
                vms: 0,
                standing: self.fleet.standing.get(&pool.name).copied().unwrap_or(0),
                idle: Vec::new(),
            };
            views.insert(&pool.name, view);
        }
        for vm in self.fleet.vms.values() {
            let pending = self.fleet.pending.get(&vm.vm);
            let (pool, arrives) = match pending.and_then(AnyVmOrder::target_pool) {
                Some(to) => (to, true),
                None => (&vm.pool, false),
            };
            if let Some(view) = views.get_mut(pool) {
                self.count_vm(view, vm, arrives);
            }
        }
        views.into_values().collect()
    }

    fn count_vm(&self, view: &mut PoolDemandView, vm: &VmEntry, arrives: bool) {
        view.vms += 1;
        let worker = vm.worker.as_ref().and_then(|id| self.workers.get(id));
        if arrives || worker.is_some_and(Worker::is_in_service) {
            view.capacity += vm.capacity.cpu;
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
            long_idle: now > since + REST,
        })
    }

    /// What a pool's work asks for, in thousandths of a core: what runs or keeps arriving, and what
    /// waits, spread over the time in which it should be worked off. Long tasks cannot be worked off
    /// faster than by running all at once.
    fn demand(&self, pool: &PoolName, work: &PoolWork) -> u64 {
        let arriving = self.fleet.arrivals.get(pool);
        let rate = arriving.map_or(0, |rate| rate.cpu(self.now));
        let backlog = work.waiting_cpu.min(work.waiting / BACKLOG_SPAN_MS);
        rate.max(work.running) + work.steady + backlog
    }

    /// The work of each pool.
    fn pool_work(&self) -> BTreeMap<&PoolName, PoolWork> {
        let mut pools: BTreeMap<&PoolName, PoolWork> = BTreeMap::new();
        for job in self.jobs.values() {
            let work = pools.entry(&job.terms.pool).or_default();
            if job.spec.is_long_running() {
                if job.life.goal().is_none() {
                    let steps = job.spec.steps.iter();
                    let cpu = steps.map(|step| u64::from(step.count) * step.charged().cpu);
                    work.steady += cpu.sum::<u64>();
                }
                continue;
            }
            if job.spec.repeat.is_some() {
                continue;
            }
            let mean = self.durations.mean(&job.spec.work).as_millis();
            for ((_, step, _), task) in job.tasks() {
                let cpu = job.spec.steps[usize::from(step)].charged().cpu;
                if task.placed().is_some() {
                    work.running += cpu;
                } else if !task.is_terminal() {
                    work.waiting += cpu * mean;
                    work.waiting_cpu += cpu;
                }
            }
        }
        pools
    }

    /// Time that each pool's backlog takes on what it holds or is about to hold, or that all backlogs
    /// take on all VMs, which follow the demand, whichever is less. None is told just after a takeover,
    /// while most workers have not reported.
    pub(super) fn drain_times(&self) -> BTreeMap<PoolName, ClockTime> {
        if !self.is_settled() {
            return BTreeMap::new();
        }
        let views = self.demand_views();
        let free = |view: &PoolDemandView| view.capacity.saturating_sub(view.steady);
        let off = |view: &PoolDemandView| {
            let idle = view.idle.iter().map(|vm| vm.cpu).sum::<u64>();
            if view.spare { idle } else { 0 }
        };
        let all_free: u64 = views.iter().map(|view| free(view) + off(view)).sum();
        let all_waiting: u64 = views.iter().map(|view| view.waiting).sum();
        let over = |work: u64, cpu: u64| work.checked_div(cpu).map(ClockTime::from_millis);
        let drain = |view: &PoolDemandView| {
            let own = over(view.waiting, free(view));
            let grown = over(all_waiting, all_free).map(|drain| drain + self.limits.move_time);
            // Without any worker known nothing can be said.
            own.into_iter().chain(grown).min().unwrap_or_default()
        };
        let times = views.iter().map(|view| (view.pool.clone(), drain(view)));
        times.collect()
    }
}
