//! VMs: their pools by demand, and their maintenance.

use std::collections::{BTreeMap, BTreeSet};

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    job::{
        resize::plan_resize,
        vm_order::{AnyVmOrder, VmOrder, VmOrderRun},
        worker::{OrderReply, Worker},
    },
    name::{PoolName, VmName, WorkerId},
};

use super::{
    BatchRecord, Effect, LossReason, Scheduler, SchedulerDecision, VmEntry, VmState,
    demand::ArrivalRate,
};

/// Time between two plans of the fleet.
const PLAN_PACE: ClockTime = ClockTime::from_millis(100);
/// Longest time after a takeover in which VMs are not moved nor backlogs judged because workers have
/// yet to report.
const SETTLE: ClockTime = ClockTime::from_millis(1_000);
/// Time after which an order on a VM that was refused or not answered is tried again.
const ORDER_RETRY: ClockTime = ClockTime::from_millis(600);

/// What is known of VMs.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) opened_at: ClockTime,
    pub(super) planned_at: ClockTime,
    pub(super) vms: BTreeMap<VmName, VmEntry>,
    pub(super) listed_at: ClockTime,
    /// Orders that are not seen through.
    pub(super) pending: BTreeMap<VmName, AnyVmOrder>,
    /// VMs that are emptied for a wave.
    pub(super) emptying: BTreeSet<VmName>,
    /// VMs whose last order was refused, until when they are left alone.
    pub(super) refused: BTreeMap<VmName, ClockTime>,
    pub(super) standing: BTreeMap<PoolName, usize>,
    pub(super) arrivals: BTreeMap<PoolName, ArrivalRate>,
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

    pub(super) fn is_free(&self, vm: &VmEntry, now: ClockTime) -> bool {
        vm.state == VmState::Up
            && !self.pending.contains_key(&vm.vm)
            && !self.emptying.contains(&vm.vm)
            && self.may_order(&vm.vm, now)
    }

    /// Whether the last refusal of an order on a VM is long enough ago.
    pub(super) fn may_order(&self, vm: &VmName, now: ClockTime) -> bool {
        let refused = self.refused.get(vm);
        refused.is_none_or(|until| now >= *until)
    }

    /// The present life of a VM.
    pub(super) fn worker_of(&self, vm: &VmName) -> Option<&WorkerId> {
        self.vms.get(vm)?.worker.as_ref()
    }
}

impl Scheduler {
    /// Takes the standing sizes of the pools as they are stored.
    pub fn restore_base_sizes(&mut self, standing: BTreeMap<PoolName, usize>) {
        self.fleet.standing = standing;
    }

    /// Whether the list of VMs matters now: orders are under way or a wave is not complete.
    pub fn needs_vm_list(&self) -> bool {
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
        let vms = &self.fleet.vms;
        let limits = self.limits;
        self.fleet.pending.retain(|name, pending| {
            let Some(vm) = vms.get(name) else {
                return false;
            };
            let (there, takes) = match pending.order() {
                VmOrder::Move(to) => (vm.pool == *to, limits.move_time),
                VmOrder::Maintain(_) => (true, limits.maintenance_time),
            };
            !(vm.state == VmState::Up && there && pending.is_reflected(asked_at, takes))
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
        self.outbox.push(BatchRecord::BaseSizes(standing));
    }

    /// Takes the answer to an order on a VM.
    pub fn vm_order_replied(&mut self, vm: &VmName, reply: OrderReply, now: ClockTime) {
        self.now = now;
        let Some(pending) = self.fleet.pending.get_mut(vm) else {
            return;
        };
        match reply {
            OrderReply::Done => {
                *pending = pending.clone().accept(now);
                let order = pending.order().clone();
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
        if let Some(id) = self.fleet.worker_of(vm).cloned() {
            self.lose_runs(&id, LossReason::VmLeft);
        }
    }

    /// Moves VMs and goes on with waves.
    pub(super) fn plan_fleet(&mut self) {
        let now = self.now;
        if !self.ownership_confirmed || now < self.fleet.planned_at + PLAN_PACE {
            return;
        }
        self.fleet.planned_at = now;
        self.repeat_orders();
        if !self.is_settled() {
            return;
        }
        self.go_on_with_waves();
        self.resize_pools();
    }

    /// Whether what workers hold is known since the takeover, as far as it will be soon.
    pub(super) fn is_settled(&self) -> bool {
        let told = |worker: &Worker| worker.seen_at.is_some() || worker.missing_since.is_some();
        let all_told = !self.workers.is_empty() && self.workers.values().all(told);
        all_told || self.now >= self.fleet.opened_at + SETTLE
    }

    fn repeat_orders(&mut self) {
        let now = self.now;
        let mut orders: SmallVec<[(VmName, VmOrder); 4]> = SmallVec::new();
        for (vm, pending) in &mut self.fleet.pending {
            if let Some(repeated) = pending.due(ORDER_RETRY, now) {
                *pending = AnyVmOrder::Sent(repeated);
                orders.push((vm.clone(), pending.order().clone()));
            }
        }
        for (vm, order) in orders {
            self.send_order(vm, order);
        }
    }

    pub(super) fn order_vm(&mut self, vm: &VmName, order: VmOrder) {
        let sent = VmOrderRun::send(order.clone(), self.now);
        self.fleet
            .pending
            .insert(vm.clone(), AnyVmOrder::Sent(sent));
        self.set_cordon(vm, true);
        self.send_order(vm.clone(), order);
    }

    fn send_order(&mut self, vm: VmName, order: VmOrder) {
        self.effects.push(match order {
            VmOrder::Move(to) => Effect::Move { vm, to },
            VmOrder::Maintain(wave) => Effect::Maintain { vm, wave },
        });
    }

    pub(super) fn set_cordon(&mut self, vm: &VmName, cordoned: bool) {
        let worker = self.fleet.worker_of(vm);
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
        let per_sec = u64::from(self.limits.vm_orders_per_sec);
        let most = per_sec * PLAN_PACE.as_millis() / 1_000;
        for next in plan_resize(views, most.max(1) as usize) {
            let (demand, capacity) = demand.get(&next.to).copied().unwrap_or_default();
            self.note(SchedulerDecision::VmReassigned {
                vm: next.vm.clone(),
                from: next.from,
                to: next.to.clone(),
                demand,
                capacity,
            });
            self.order_vm(&next.vm, VmOrder::Move(next.to));
        }
    }
}
