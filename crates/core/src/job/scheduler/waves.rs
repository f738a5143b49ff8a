//! Maintenance waves: order of VMs, evacuation and completion.

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    job::{
        charge::AnyCharge,
        occurrence::StepTasks,
        place::{PlaceRequest, is_eligible},
        spec::TaskKey,
        stop::StopReason,
        task::{AnyTask, FULL_PERCENT},
        vm_order::{MAX_ORDER_DELAY, VmOrder},
        wave::{WaveProgress, WaveRequest},
        worker::Worker,
    },
    name::{VmName, WorkerId},
};

use super::{Effect, Job, Scheduler, SchedulerDecision, VmState};

/// Longest time by which the VM list may lag behind an order. The platform's list lags by less than
/// a second.
const MAX_LIST_LAG: ClockTime = ClockTime::from_millis(1_500);
/// Part of the VMs out of service that is left to evacuations, as one over this number. VMs with
/// long-running tasks are slow to evacuate, so they cannot wait until all idle VMs are done.
const EVACUATION_SHARE: usize = 3;
/// Load of the fleet up to which it counts as idle, in percent: long-running tasks alone.
const IDLE_LOAD_PERCENT: u64 = 15;
/// Expected rest of a run up to which an evacuation waits for its end: several times what the start
/// from a checkpoint costs.
const MAX_RUN_WAIT: ClockTime = ClockTime::from_millis(2_000);
/// Greatest age of a worker's report at which its tasks count as available: two renewals.
const MAX_REPORT_AGE: ClockTime = ClockTime::from_millis(2_500);

/// VM of a wave with runs in progress; the smallest is evacuated first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BusyVm {
    has_only_short_tasks: bool,
    used_cpu: u64,
    name: VmName,
}

impl Scheduler {
    /// Restores the stored progress of a wave.
    pub fn restore_wave(&mut self, number: u64, progress: WaveProgress) {
        self.waves.restore(number, progress);
    }

    /// Registers a wave requested by an operator.
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

    pub(super) fn maintenance_begun(&mut self, vm: &VmName, number: u64) {
        self.fleet.evacuating.remove(vm);
        let Some(wave) = self.waves.waves.get_mut(&number) else {
            return;
        };
        wave.progress.begun.insert(vm.clone());
        wave.progress.ordered.remove(vm);
        self.store_wave(number);
    }

    /// Records that no order on a VM is carried out any more.
    pub(super) fn maintenance_dropped(&mut self, vm: &VmName, number: u64) {
        let wave = self.waves.waves.get_mut(&number);
        if wave.is_some_and(|wave| wave.progress.ordered.remove(vm)) {
            self.store_wave(number);
        }
    }

    fn store_wave(&mut self, number: u64) {
        if let Some(wave) = self.waves.waves.get(&number) {
            self.outbox.set_wave(number, wave.progress.clone());
        }
    }

    /// Orders a VM into maintenance once it is stored that it may have been ordered.
    fn order_maintenance(&mut self, vm: &VmName, number: u64) {
        let Some(wave) = self.waves.waves.get_mut(&number) else {
            return;
        };
        let is_first = wave.progress.ordered.insert(vm.clone());
        let doubt_until = if is_first {
            ClockTime::ZERO
        } else {
            self.inherited_until()
        };
        self.store_wave(number);
        self.queue_maintenance(vm, number, doubt_until);
    }

    /// Time until which the order of an earlier owner may be carried out.
    fn inherited_until(&self) -> ClockTime {
        self.fleet.opened_at + MAX_ORDER_DELAY
    }

    /// Returns the VMs of a wave that an earlier owner may have ordered into maintenance, and on which this owner
    /// has no order yet.
    fn inherited_orders(&self, number: u64) -> SmallVec<[VmName; 4]> {
        let wave = self.waves.waves.get(&number);
        let ordered = wave.iter().flat_map(|wave| &wave.progress.ordered);
        let is_pending = |vm: &VmName| self.fleet.pending.contains_key(vm);
        let is_listed = |vm: &VmName| self.fleet.vms.contains_key(vm);
        ordered
            .filter(|vm| !is_pending(vm) && is_listed(vm))
            .cloned()
            .collect()
    }

    /// Empties the VMs that an earlier owner may have ordered into maintenance, so that they are ordered
    /// again before others: the platform refuses the earlier order from then on.
    fn take_over_orders(&mut self, number: u64) {
        for vm in self.inherited_orders(number) {
            let entry = self.fleet.vms.get(&vm);
            let is_up = entry.is_some_and(|entry| entry.state == VmState::Up);
            if self.now > self.inherited_until() {
                self.maintenance_dropped(&vm, number);
            } else if is_up && self.fleet.evacuating.insert(vm.clone()) {
                self.set_cordon(&vm, true);
            }
        }
    }

    pub(super) fn advance_waves(&mut self) {
        self.review_evacuations();
        let open = self.waves.waves.iter();
        let open = open.filter(|(_, wave)| !wave.progress.completed);
        let numbers: SmallVec<[u64; 2]> = open.map(|(number, _)| *number).collect();
        for number in numbers {
            self.advance_wave(number);
        }
    }

    fn advance_wave(&mut self, number: u64) {
        let now = self.now;
        let Some(wave) = self.waves.waves.get(&number) else {
            return;
        };
        // An older list may lack orders that an earlier owner sent just before the takeover.
        if self.fleet.listed_at < self.fleet.opened_at + MAX_LIST_LAG {
            return;
        }
        let cap = wave.request.cap.max(1);
        self.take_over_orders(number);
        let Some(wave) = self.waves.waves.get(&number) else {
            return;
        };
        let inherited = self.inherited_orders(number);
        let remaining: Vec<VmName> = wave
            .remaining(|vm| self.fleet.vms.contains_key(vm))
            .cloned()
            .collect();
        if remaining.is_empty() {
            self.complete_wave(number);
            return;
        }
        let target = if self.is_fleet_idle() {
            cap
        } else {
            wave.paced_count(remaining.len(), self.limits.maintenance_time, now)
        };
        let down = self.vms_in_maintenance(number);
        let serving_down = down.iter().filter(|vm| !self.is_off(vm)).count();
        let mut free_slots = cap.saturating_sub(down.len());
        let mut out_of_service = serving_down + self.fleet.evacuating.len();
        let max_for_idle = target.saturating_sub(target / EVACUATION_SHARE).max(1);
        let mut busy: Vec<BusyVm> = Vec::new();
        for name in remaining {
            let Some(vm) = self.fleet.vms.get(&name) else {
                continue;
            };
            let evacuating = self.fleet.evacuating.contains(&name);
            // A VM may be part of two waves, but has one pending order at a time.
            let ordered = self.fleet.pending.contains_key(&name);
            if ordered || !(evacuating || self.fleet.is_free(vm, now)) {
                continue;
            }
            let worker = vm.worker.as_ref().and_then(|id| self.workers.get(id));
            if worker.is_some_and(|worker| worker.is_unseen(now)) {
                continue;
            }
            if worker.is_none_or(Worker::is_empty) {
                let is_off = self.is_off(&name);
                // VMs that are off or evacuated carry no load that could suffer.
                let is_due = evacuating || is_off || out_of_service < max_for_idle;
                let may_order = vm.state == VmState::Up && self.fleet.may_order(&name, now);
                // It counts as down already.
                let is_inherited = inherited.contains(&name);
                if may_order && is_due && (is_inherited || free_slots > 0) {
                    free_slots -= usize::from(!is_inherited);
                    out_of_service += usize::from(!evacuating && !is_off);
                    self.order_maintenance(&name, number);
                }
            } else if let Some(worker) = worker
                && !evacuating
            {
                busy.push(BusyVm {
                    has_only_short_tasks: Self::count_long_running(worker) == 0,
                    used_cpu: worker.used.cpu,
                    name,
                });
            }
        }
        self.evacuate_vms(number, busy, target.saturating_sub(out_of_service));
    }

    /// Returns whether the workers have so little work that a wave need not be spread over its
    /// period.
    fn is_fleet_idle(&self) -> bool {
        let workers = self.workers.values();
        // Workers under evacuation count as well: their tasks are load for the others.
        let present = workers.filter(|worker| worker.missing_since.is_none());
        let (used, capacity) = present.fold((0_u64, 0_u64), |(used, capacity), worker| {
            let (own_used, own_capacity) = (worker.used.cpu, worker.entry.capacity.cpu);
            (
                own_used.saturating_add(used),
                own_capacity.saturating_add(capacity),
            )
        });
        used.saturating_mul(100) <= capacity.saturating_mul(IDLE_LOAD_PERCENT)
    }

    /// Returns whether a VM is powered off until another pool needs it.
    fn is_off(&self, vm: &VmName) -> bool {
        let vm = self.fleet.vms.get(vm);
        vm.is_some_and(|vm| self.catalogue.is_spare(&vm.pool))
    }

    /// Returns the VMs that are down for a wave, by order of this owner or an earlier one.
    fn vms_in_maintenance(&self, number: u64) -> Vec<VmName> {
        let ordered = |vm: &VmName| {
            let pending = self.fleet.pending.get(vm);
            pending.is_some_and(|pending| *pending.order() == VmOrder::Maintain(number))
        };
        let wave = self.waves.waves.get(&number);
        let vms = wave.iter().flat_map(|wave| &wave.request.vms);
        let listed = |vm: &VmName| {
            let entry = self.fleet.vms.get(vm);
            entry.is_some_and(|entry| entry.state == VmState::InMaintenance)
        };
        let inherited = self.inherited_orders(number);
        vms.filter(|vm| ordered(vm) || listed(vm) || inherited.contains(vm))
            .cloned()
            .collect()
    }

    /// Begins to evacuate `count` VMs of a wave, and continues with those that are being evacuated.
    /// VMs with long-running tasks, which may leave only a few at a time, come first, then the least
    /// loaded ones.
    fn evacuate_vms(&mut self, wave: u64, mut busy: Vec<BusyVm>, count: usize) {
        busy.sort_unstable();
        for vm in busy.into_iter().take(count) {
            self.set_cordon(&vm.name, true);
            self.log_evacuation(&vm.name, wave);
            self.fleet.evacuating.insert(vm.name);
        }
        let evacuating: SmallVec<[VmName; 4]> = self.fleet.evacuating.iter().cloned().collect();
        for vm in evacuating {
            if let Some(id) = self.fleet.current_worker(&vm).cloned() {
                self.move_runs(&id);
            }
        }
    }

    /// Ends the evacuation of VMs that have failed or left, and keeps tasks off workers that have
    /// been replaced since it began.
    fn review_evacuations(&mut self) {
        for vm in std::mem::take(&mut self.fleet.evacuating) {
            let entry = self.fleet.vms.get(&vm);
            let is_up = entry.is_some_and(|entry| entry.state == VmState::Up);
            self.set_cordon(&vm, is_up);
            if is_up {
                self.fleet.evacuating.insert(vm);
            }
        }
    }

    fn log_evacuation(&mut self, vm: &VmName, wave: u64) {
        let worker = self.fleet.current_worker(vm);
        let worker = worker.and_then(|id| self.workers.get(id));
        let decision = SchedulerDecision::EvacuationBegun {
            vm: vm.clone(),
            wave,
            worker: worker.map(|worker| worker.id.clone()),
            runs: worker.map_or(0, |worker| worker.charges.len()),
            long_running: worker.map_or(0, Self::count_long_running),
        };
        self.log_decision(decision);
    }

    /// Counts the runs of a worker that last until they are stopped.
    fn count_long_running(worker: &Worker) -> usize {
        let costs = worker.charges.values().filter_map(AnyCharge::cost);
        costs.filter(|cost| cost.long_running).count()
    }

    /// Stops runs on a worker that would hold up its evacuation, so that they resume elsewhere:
    /// long-running tasks, as far as the availability limits of their steps allow and another worker
    /// has room, and tasks with checkpoints that are not about to end.
    fn move_runs(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let can_empty = self.can_stop_all(worker);
        for (key, run) in worker.runs() {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let Some(AnyTask::Running(task)) = job.task(&key) else {
                continue;
            };
            let step = job.step(&key);
            let should_move = if step.long_running {
                self.can_stop_one(job, &key)
                    && (can_empty || self.has_room_elsewhere(job, &key, id))
            } else {
                let remaining = task.expected_remaining();
                let is_long = remaining.is_some_and(|remaining| remaining > MAX_RUN_WAIT);
                step.checkpoints && !step.gang && is_long
            };
            if should_move {
                self.stop_task(id, key, run, StopReason::VmLeaving);
            }
        }
    }

    /// Returns whether a task could be placed on another worker of its pool now.
    fn has_room_elsewhere(&self, job: &Job, key: &TaskKey, id: &WorkerId) -> bool {
        let request = PlaceRequest {
            task: *key,
            step: job.step(key),
            avoid: None,
            preferred_rack: None,
            span: self.expected_span(job, job.step(key)),
        };
        let workers = self.workers.values();
        let mut others =
            workers.filter(|worker| worker.entry.pool == job.terms.pool && worker.id != *id);
        let need = request.step.charged();
        others.any(|worker| is_eligible(&request, worker, &need, self.now))
    }

    /// Returns whether all runs of a worker may be stopped at once, so that those without room elsewhere
    /// wait only until its VM is back.
    fn can_stop_all(&self, worker: &Worker) -> bool {
        let runs = worker.runs();
        let mut known = runs.iter().filter_map(|(key, _)| {
            let job = self.jobs.get(&key.job)?;
            // A report may have named a task that the job does not have.
            job.task(key).map(|_| (job, key))
        });
        worker.finite_runs == 0 && known.all(|(job, key)| self.can_stop_here(job, key, worker))
    }

    /// Returns whether all tasks of a step that are on a worker may be stopped at once.
    fn can_stop_here(&self, job: &Job, key: &TaskKey, worker: &Worker) -> bool {
        let max_unavailable = usize::from(job.step(key).may_miss);
        let is_here = |task: &AnyTask| task.placed().is_some_and(|(id, _)| *id == worker.id);
        let tasks = job.step_tasks(key).into_iter().flat_map(StepTasks::iter);
        let away = tasks.filter(|task| is_here(task) || !self.is_available(task));
        max_unavailable == 0 || away.count() <= max_unavailable
    }

    /// Returns whether one more task of a step may be stopped: fewer other tasks are unavailable
    /// than the step tolerates.
    pub(super) fn can_stop_one(&self, job: &Job, key: &TaskKey) -> bool {
        let max_unavailable = usize::from(job.step(key).may_miss);
        let tasks = job.step_tasks(key).into_iter().flat_map(StepTasks::iter);
        let tasks = (0u16..).zip(tasks);
        let others = tasks.filter(|(index, _)| *index != key.index);
        let unavailable = others.filter(|(_, task)| !self.is_available(task)).count();
        max_unavailable == 0 || unavailable < max_unavailable
    }

    /// Returns whether a task is in full operation. A task on a silent worker counts as unavailable, and so
    /// does one that an earlier owner may have ordered to stop.
    fn is_available(&self, task: &AnyTask) -> bool {
        let AnyTask::Running(task) = task else {
            return false;
        };
        let worker = self.workers.get(&task.phase.worker);
        let answers = worker.is_some_and(|worker| {
            let seen_at = worker.seen_at.unwrap_or_default();
            worker.silent_since.is_none()
                && seen_at >= task.phase.settled_at
                && self.now < seen_at + MAX_REPORT_AGE
        });
        answers && task.phase.percent >= FULL_PERCENT
    }

    fn complete_wave(&mut self, number: u64) {
        let Some(wave) = self.waves.waves.get_mut(&number) else {
            return;
        };
        wave.progress.completed = true;
        self.store_wave(number);
        self.effects.push(Effect::WaveStatus {
            wave: number,
            completed: true,
        });
    }
}
