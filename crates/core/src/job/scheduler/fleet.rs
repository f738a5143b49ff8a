//! VMs: their pools by demand, and their maintenance.

use std::collections::{BTreeMap, BTreeSet};

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    job::{
        resize::{IdleVm, PoolDemandView, plan_resize},
        spec::TaskKey,
        task::AnyTask,
        wave::{WaveProgress, WaveRequest},
        worker::{OrderReply, Worker},
    },
    name::{PoolName, VmName, WorkerId},
};

use super::{BatchRecord, Effect, Job, JobNote, LossReason, Scheduler, VmEntry, VmState};

/// Time between two plans of the fleet.
const PLAN_PACE: ClockTime = ClockTime::from_millis(100);
/// Time after a takeover in which workers report before VMs are moved.
const SETTLE: ClockTime = ClockTime::from_millis(1_000);
/// The span over which arrivals are averaged: a surge shows within half of it.
const ARRIVAL_SPAN_MS: f64 = 800.0;
/// The time within which a backlog should be worked off beside new arrivals.
const BACKLOG_SPAN_MS: u64 = 1_000;
/// How long a VM is idle before it may go to the spare pool: a second in a pool costs about what a
/// move costs.
const REST: ClockTime = ClockTime::from_millis(2_000);
/// Time after which an order on a VM that was refused or not answered is tried again.
const ORDER_RETRY: ClockTime = ClockTime::from_millis(600);
/// Percent of its first size that a pool keeps without a surge.
const STANDING_PERCENT: usize = 100;
/// How far the list of VMs may lag behind an order: the platform's list lags by less than a second.
const LIST_LAG: ClockTime = ClockTime::from_millis(1_500);
/// VMs that are emptied ahead of those that a wave's cap allows now.
const WAVE_AHEAD: usize = 1;
/// How old a worker's report may be for its tasks to count as at work: two renewals.
const FRESH_REPORT: ClockTime = ClockTime::from_millis(2_500);
/// Progress of a task that is fully at work.
const FULL_PERCENT: u8 = 100;

/// What a VM is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
enum VmOrder {
    Move(PoolName),
    Maintain(u64),
}

/// An order on a VM that is not seen through.
#[derive(Clone, Debug)]
struct PendingOrder {
    order: VmOrder,
    sent_at: ClockTime,
    /// When the platform accepted it.
    done_at: Option<ClockTime>,
}

/// Work that has arrived for a pool lately.
#[derive(Clone, Copy, Debug, Default)]
struct ArrivalRate {
    /// Thousandths of core-milliseconds, fading.
    work: f64,
    at: ClockTime,
}

impl ArrivalRate {
    fn faded(&self, now: ClockTime) -> f64 {
        let elapsed = (now - self.at).as_millis() as f64;
        self.work * (-elapsed / ARRIVAL_SPAN_MS).exp()
    }
}

/// The work of a pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolWork {
    /// What tasks that end have in use, in thousandths of a core.
    running: u64,
    /// Tasks that end and have not begun, in thousandths of core-milliseconds.
    waiting: u64,
    /// What tasks that serve for good take, in thousandths of a core.
    steady: u64,
}

/// What is known of VMs.
#[derive(Debug)]
pub(super) struct Fleet {
    opened_at: ClockTime,
    planned_at: ClockTime,
    vms: BTreeMap<VmName, VmEntry>,
    listed_at: ClockTime,
    pending: BTreeMap<VmName, PendingOrder>,
    /// VMs that are emptied for a wave.
    emptying: BTreeSet<VmName>,
    /// VMs whose last order was refused, until when they are left alone.
    refused: BTreeMap<VmName, ClockTime>,
    standing: BTreeMap<PoolName, usize>,
    arrivals: BTreeMap<PoolName, ArrivalRate>,
}

impl Fleet {
    pub(super) fn open(now: ClockTime) -> Self {
        Self {
            opened_at: now,
            planned_at: now,
            vms: BTreeMap::new(),
            listed_at: ClockTime::ZERO,
            pending: BTreeMap::new(),
            emptying: BTreeSet::new(),
            refused: BTreeMap::new(),
            standing: BTreeMap::new(),
            arrivals: BTreeMap::new(),
        }
    }

    fn is_free(&self, vm: &VmEntry, now: ClockTime) -> bool {
        let refused = self.refused.get(&vm.vm);
        vm.state == VmState::Up
            && !self.pending.contains_key(&vm.vm)
            && !self.emptying.contains(&vm.vm)
            && refused.is_none_or(|until| now >= *until)
    }
}

impl Scheduler {
    /// Takes the standing sizes of the pools as they are stored.
    pub fn restore_standing(&mut self, standing: BTreeMap<PoolName, usize>) {
        self.fleet.standing = standing;
    }

    /// Takes a wave's progress as it is stored.
    pub fn restore_wave(&mut self, number: u64, progress: WaveProgress) {
        self.waves.restore(number, progress);
    }

    /// Takes an operator's wave.
    pub fn request_wave(&mut self, request: WaveRequest, now: ClockTime) {
        let number = request.number;
        let is_new = self.waves.request(request, now);
        let completed = self.waves.waves[&number].progress.completed;
        if is_new && !completed {
            self.effects.push(Effect::WaveStatus {
                wave: number,
                completed: false,
            });
        }
    }

    /// Whether the list of VMs matters now: orders are under way or a wave is not complete.
    pub fn watches_vms(&self) -> bool {
        let open_wave = self
            .waves
            .waves
            .values()
            .any(|wave| !wave.progress.completed);
        open_wave || !self.fleet.pending.is_empty() || self.fleet.vms.is_empty()
    }

    /// Takes the list of VMs.
    pub fn list_vms(&mut self, listed: Vec<VmEntry>, asked_at: ClockTime, now: ClockTime) {
        self.now = now;
        self.fleet.listed_at = asked_at;
        let vms = listed.into_iter().map(|vm| (vm.vm.clone(), vm));
        self.fleet.vms = vms.collect();
        for vm in self.fleet.vms.values() {
            let worker = vm.worker.as_ref().and_then(|id| self.workers.get_mut(id));
            if let Some(worker) = worker {
                worker.vm = Some(vm.vm.clone());
            }
        }
        let vms = &self.fleet.vms;
        let limits = self.limits;
        self.fleet.pending.retain(|name, pending| {
            let Some(vm) = vms.get(name) else {
                return false;
            };
            let Some(done_at) = pending.done_at else {
                return true;
            };
            let (there, takes) = match &pending.order {
                VmOrder::Move(to) => (vm.pool == *to, limits.move_time),
                VmOrder::Maintain(_) => (true, limits.maintenance_time),
            };
            // The list lags: it counts once it was asked for after the order must have been seen
            // through.
            !(vm.state == VmState::Up && there && asked_at > done_at + takes)
        });
        self.fix_standing();
    }

    fn fix_standing(&mut self) {
        if !self.fleet.standing.is_empty() || self.fleet.vms.is_empty() {
            return;
        }
        for vm in self.fleet.vms.values() {
            *self.fleet.standing.entry(vm.pool.clone()).or_default() += 1;
        }
        let standing = self.fleet.standing.clone();
        self.outbox.push(BatchRecord::Standing(standing));
    }

    /// Takes the answer to an order on a VM.
    pub fn vm_replied(&mut self, vm: &VmName, reply: OrderReply, now: ClockTime) {
        self.now = now;
        let Some(pending) = self.fleet.pending.get_mut(vm) else {
            return;
        };
        match reply {
            OrderReply::Done => {
                pending.done_at = Some(now);
                let order = pending.order.clone();
                self.vm_left(vm);
                if let VmOrder::Maintain(wave) = order {
                    self.maintenance_begun(vm, wave);
                }
            }
            // The order may have been carried out: it is repeated.
            OrderReply::Unknown => {}
            OrderReply::Refused | OrderReply::Fenced => {
                self.fleet.pending.remove(vm);
                self.fleet.refused.insert(vm.clone(), now + ORDER_RETRY);
                self.set_cordon(vm, false);
            }
        }
    }

    /// What ran on a VM has ended with its order.
    fn vm_left(&mut self, vm: &VmName) {
        let worker = self
            .fleet
            .vms
            .get(vm)
            .and_then(|entry| entry.worker.clone());
        if let Some(id) = worker {
            self.lose_runs(&id, LossReason::VmLeft);
        }
    }

    fn maintenance_begun(&mut self, vm: &VmName, number: u64) {
        self.fleet.emptying.remove(vm);
        let Some(wave) = self.waves.waves.get_mut(&number) else {
            return;
        };
        wave.progress.begun.insert(vm.clone());
        let progress = wave.progress.clone();
        self.outbox.push(BatchRecord::Wave(number, progress));
    }

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
        rate.work = rate.faded(now) + (cpu * mean) as f64;
        rate.at = now;
    }

    /// Moves VMs and goes on with waves.
    pub(super) fn plan_fleet(&mut self) {
        let now = self.now;
        if !self.in_touch || now < self.fleet.planned_at + PLAN_PACE {
            return;
        }
        self.fleet.planned_at = now;
        self.repeat_orders();
        if now < self.fleet.opened_at + SETTLE {
            return;
        }
        self.go_on_with_waves();
        self.resize_pools();
    }

    fn repeat_orders(&mut self) {
        let now = self.now;
        let mut orders: SmallVec<[(VmName, VmOrder); 4]> = SmallVec::new();
        for (vm, pending) in &mut self.fleet.pending {
            if pending.done_at.is_none() && now > pending.sent_at + ORDER_RETRY {
                pending.sent_at = now;
                orders.push((vm.clone(), pending.order.clone()));
            }
        }
        for (vm, order) in orders {
            self.send_order(vm, order);
        }
    }

    fn order_vm(&mut self, vm: &VmName, order: VmOrder) {
        let pending = PendingOrder {
            order: order.clone(),
            sent_at: self.now,
            done_at: None,
        };
        self.fleet.pending.insert(vm.clone(), pending);
        self.set_cordon(vm, true);
        self.send_order(vm.clone(), order);
    }

    fn send_order(&mut self, vm: VmName, order: VmOrder) {
        self.effects.push(match order {
            VmOrder::Move(to) => Effect::Move { vm, to },
            VmOrder::Maintain(wave) => Effect::Maintain { vm, wave },
        });
    }

    fn set_cordon(&mut self, vm: &VmName, cordoned: bool) {
        let worker = self
            .fleet
            .vms
            .get(vm)
            .and_then(|entry| entry.worker.as_ref());
        if let Some(worker) = worker.and_then(|id| self.workers.get_mut(id)) {
            worker.cordoned = cordoned;
        }
    }

    fn resize_pools(&mut self) {
        let views = self.demand_views();
        let demand: BTreeMap<PoolName, (u64, u64)> = views
            .iter()
            .map(|view| (view.pool.clone(), (view.demand, view.capacity)))
            .collect();
        for next in plan_resize(views) {
            let (demand, capacity) = demand.get(&next.to).copied().unwrap_or_default();
            self.note(JobNote::Resized {
                vm: next.vm.clone(),
                from: next.from,
                to: next.to.clone(),
                demand,
                capacity,
            });
            self.order_vm(&next.vm, VmOrder::Move(next.to));
        }
    }

    /// What each pool asks for and holds.
    fn demand_views(&self) -> Vec<PoolDemandView> {
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
                standing: self.standing(&pool.name),
                idle: Vec::new(),
            };
            views.insert(&pool.name, view);
        }
        for vm in self.fleet.vms.values() {
            let pending = self.fleet.pending.get(&vm.vm).map(|pending| &pending.order);
            let (pool, arrives) = match pending {
                Some(VmOrder::Move(to)) => (to, true),
                Some(VmOrder::Maintain(_)) | None => (&vm.pool, false),
            };
            if let Some(view) = views.get_mut(pool) {
                self.count_vm(view, vm, arrives);
            }
        }
        views.into_values().collect()
    }

    /// VMs that a pool keeps without a surge.
    fn standing(&self, pool: &PoolName) -> usize {
        let first = self.fleet.standing.get(pool).copied().unwrap_or(0);
        (first * STANDING_PERCENT).div_ceil(100)
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
            rested: now > since + REST,
        })
    }

    /// What a pool's work asks for, in thousandths of a core: what runs or keeps arriving, and what
    /// waits, spread over the time in which it should be worked off.
    fn demand(&self, pool: &PoolName, work: &PoolWork) -> u64 {
        let arriving = self.fleet.arrivals.get(pool);
        let rate = arriving.map_or(0.0, |rate| rate.faded(self.now) / ARRIVAL_SPAN_MS) as u64;
        rate.max(work.running) + work.steady + work.waiting / BACKLOG_SPAN_MS
    }

    /// The work of each pool.
    fn pool_work(&self) -> BTreeMap<&PoolName, PoolWork> {
        let mut pools: BTreeMap<&PoolName, PoolWork> = BTreeMap::new();
        for job in self.jobs.values() {
            let work = pools.entry(&job.terms.pool).or_default();
            if job.spec.is_long_running() {
                if job.ending.is_none() {
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
                } else if !task.is_over() {
                    work.waiting += cpu * mean;
                }
            }
        }
        pools
    }

    /// Time that each pool's backlog takes on what it holds or is about to hold, or with all VMs that
    /// are idle elsewhere, whichever is less.
    pub(super) fn drain_times(&self) -> BTreeMap<PoolName, ClockTime> {
        let views = self.demand_views();
        let idle = |view: &PoolDemandView| view.idle.iter().map(|vm| vm.cpu).sum::<u64>();
        let all_idle: u64 = views.iter().map(idle).sum();
        let drain = |view: &PoolDemandView| {
            let free = view.capacity.saturating_sub(view.steady);
            let growth = all_idle - idle(view);
            let over = |cpu: u64| view.waiting.checked_div(cpu).map(ClockTime::from_millis);
            let grown = over(free + growth).map(|drain| drain + self.limits.move_time);
            // Without any worker known, as just after a takeover, nothing can be said.
            over(free)
                .into_iter()
                .chain(grown)
                .min()
                .unwrap_or_default()
        };
        let times = views.iter().map(|view| (view.pool.clone(), drain(view)));
        times.collect()
    }

    fn go_on_with_waves(&mut self) {
        let open = self.waves.waves.iter();
        let open = open.filter(|(_, wave)| !wave.progress.completed);
        let numbers: SmallVec<[u64; 2]> = open.map(|(number, _)| *number).collect();
        for number in numbers {
            self.go_on_with_wave(number);
        }
    }

    fn go_on_with_wave(&mut self, number: u64) {
        let now = self.now;
        let Some(wave) = self.waves.waves.get(&number) else {
            return;
        };
        // What an earlier owner ordered a moment before is in the list only now.
        if self.fleet.listed_at < self.fleet.opened_at + LIST_LAG {
            return;
        }
        let cap = wave.request.cap.max(1);
        let left: Vec<VmName> = wave
            .left(|vm| self.fleet.vms.contains_key(vm))
            .cloned()
            .collect();
        if left.is_empty() {
            self.complete_wave(number);
            return;
        }
        let mut room = cap.saturating_sub(self.maintained(number));
        let mut busy: Vec<(u64, VmName)> = Vec::new();
        for name in left {
            let Some(vm) = self.fleet.vms.get(&name) else {
                continue;
            };
            let emptying = self.fleet.emptying.contains(&name);
            if !emptying && !self.fleet.is_free(vm, now) {
                continue;
            }
            let worker = vm.worker.as_ref().and_then(|id| self.workers.get(id));
            if worker.is_none_or(Worker::is_empty) {
                if vm.state == VmState::Up && room > 0 && self.may_order(&name) {
                    room -= 1;
                    self.order_vm(&name, VmOrder::Maintain(number));
                }
            } else if let Some(worker) = worker {
                busy.push((worker.used.cpu, name));
            }
        }
        self.empty_vms(busy, room + WAVE_AHEAD);
    }

    /// VMs that are down for a wave, by our orders or an earlier owner's.
    fn maintained(&self, number: u64) -> usize {
        let ordered = |vm: &VmName| {
            let pending = self.fleet.pending.get(vm);
            pending.is_some_and(|pending| pending.order == VmOrder::Maintain(number))
        };
        let wave = self.waves.waves.get(&number);
        let vms = wave.iter().flat_map(|wave| &wave.request.vms);
        let listed = |vm: &VmName| {
            let entry = self.fleet.vms.get(vm);
            entry.is_some_and(|entry| entry.state == VmState::Maintained)
        };
        vms.filter(|vm| ordered(vm) || listed(vm)).count()
    }

    fn may_order(&self, vm: &VmName) -> bool {
        let refused = self.fleet.refused.get(vm);
        refused.is_none_or(|until| self.now >= *until)
    }

    /// Lets the least loaded VMs of a wave run empty.
    fn empty_vms(&mut self, mut busy: Vec<(u64, VmName)>, count: usize) {
        busy.sort_unstable();
        for (_, vm) in busy.into_iter().take(count) {
            if self.fleet.emptying.insert(vm.clone()) {
                self.set_cordon(&vm, true);
            }
        }
        let emptying: SmallVec<[VmName; 4]> = self.fleet.emptying.iter().cloned().collect();
        for vm in emptying {
            let worker = self
                .fleet
                .vms
                .get(&vm)
                .and_then(|entry| entry.worker.clone());
            if let Some(id) = worker {
                self.evict(&id);
            }
        }
    }

    /// Moves tasks that never end away from a worker, as far as their steps may miss them.
    fn evict(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let keys: SmallVec<[(TaskKey, u32); 4]> = worker
            .tasks
            .iter()
            .map(|(key, charge)| (*key, charge.run))
            .collect();
        for (key, run) in keys {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let step = job.step(&key);
            let running = matches!(job.task(&key), Some(AnyTask::Running(_)));
            if running && step.long_running && self.may_miss(job, &key) {
                self.stop_task(id, key, run);
            }
        }
    }

    /// Whether a step may miss one more task: fewer others are away than it may miss. A task on a
    /// worker that does not answer is taken to be away.
    fn may_miss(&self, job: &Job, key: &TaskKey) -> bool {
        let most = usize::from(job.step(key).may_miss);
        let occurrence = &job.occurrences[key.occurrence as usize];
        let tasks = (0u16..).zip(&occurrence.steps[usize::from(key.step)]);
        let others = tasks.filter(|(index, _)| *index != key.index);
        let away = others.filter(|(_, task)| !self.is_at_work(task)).count();
        most == 0 || away < most
    }

    fn is_at_work(&self, task: &AnyTask) -> bool {
        let AnyTask::Running(task) = task else {
            return false;
        };
        let worker = self.workers.get(&task.phase.worker);
        let answers = worker.is_some_and(|worker| {
            let seen = worker.seen_at.unwrap_or_default();
            worker.silent_since.is_none() && self.now < seen + FRESH_REPORT
        });
        answers && task.phase.percent >= FULL_PERCENT
    }

    fn complete_wave(&mut self, number: u64) {
        let Some(wave) = self.waves.waves.get_mut(&number) else {
            return;
        };
        wave.progress.completed = true;
        let progress = wave.progress.clone();
        self.outbox.push(BatchRecord::Wave(number, progress));
        self.effects.push(Effect::WaveStatus {
            wave: number,
            completed: true,
        });
    }
}
