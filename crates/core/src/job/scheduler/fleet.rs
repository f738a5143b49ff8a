//! Fleet of VMs: pool sizes by demand, and maintenance.

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
    BatchRecord, Effect, Scheduler, SchedulerDecision, VmEntry, VmState,
    demand::{ArrivalRate, FleetRooms},
};

/// Interval between two plans of the fleet.
const PLAN_INTERVAL: ClockTime = ClockTime::from_millis(100);
/// Time after a takeover for which VMs are not moved and backlogs not estimated while worker
/// reports are missing.
const REPORT_TIMEOUT: ClockTime = ClockTime::from_millis(1_000);
/// Part of the workers whose reports suffice, in percent: a rack that is cut off must not delay the
/// moves of all other VMs.
const REPORTED_PERCENT: usize = 95;
/// Delay before an order on a VM is repeated after a refusal or without a reply.
const ORDER_RETRY_DELAY: ClockTime = ClockTime::from_millis(600);

/// State of the VMs.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) opened_at: ClockTime,
    pub(super) planned_at: ClockTime,
    pub(super) vms: BTreeMap<VmName, VmEntry>,
    pub(super) listed_at: ClockTime,
    /// Orders that the VM list does not yet show as completed.
    pub(super) pending: BTreeMap<VmName, AnyVmOrder>,
    /// VMs that are being evacuated for a maintenance wave.
    pub(super) evacuating: BTreeSet<VmName>,
    /// VMs whose last order was refused, with the time of the next attempt.
    pub(super) refused: BTreeMap<VmName, ClockTime>,
    pub(super) base_sizes: BTreeMap<PoolName, usize>,
    pub(super) arrivals: BTreeMap<PoolName, ArrivalRate>,
    /// Rooms of the VMs and workers at the time of the last plan.
    pub(super) rooms: FleetRooms,
}

impl Fleet {
    pub(super) fn open(now: ClockTime) -> Self {
        Self {
            opened_at: now,
            planned_at: now,
            vms: BTreeMap::new(),
            listed_at: ClockTime::ZERO,
            pending: BTreeMap::new(),
            evacuating: BTreeSet::new(),
            refused: BTreeMap::new(),
            base_sizes: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            rooms: FleetRooms::default(),
        }
    }

    pub(super) fn is_free(&self, vm: &VmEntry, now: ClockTime) -> bool {
        vm.state == VmState::Up
            && !self.pending.contains_key(&vm.vm)
            && !self.evacuating.contains(&vm.vm)
            && self.may_order(&vm.vm, now)
    }

    /// Returns whether the retry delay after a refused order has passed.
    pub(super) fn may_order(&self, vm: &VmName, now: ClockTime) -> bool {
        let refused = self.refused.get(vm);
        refused.is_none_or(|until| now >= *until)
    }

    /// Returns the worker that currently runs on a VM.
    pub(super) fn current_worker(&self, vm: &VmName) -> Option<&WorkerId> {
        self.vms.get(vm)?.worker.as_ref()
    }
}

impl Scheduler {
    /// Restores the stored base sizes of the pools.
    pub fn restore_base_sizes(&mut self, base_sizes: BTreeMap<PoolName, usize>) {
        self.fleet.base_sizes = base_sizes;
    }

    /// Returns whether an up-to-date VM list is needed: an order is pending, a wave is incomplete,
    /// or no VM is known.
    pub fn needs_vm_list(&self) -> bool {
        let open_wave = self
            .waves
            .waves
            .values()
            .any(|wave| !wave.progress.completed);
        open_wave || !self.fleet.pending.is_empty() || self.fleet.vms.is_empty()
    }

    /// Updates the VMs from the platform's list.
    pub fn vms_listed(&mut self, listed: Vec<VmEntry>, asked_at: ClockTime, now: ClockTime) {
        self.now = now;
        self.fleet.listed_at = asked_at;
        let vms = listed.into_iter().map(|vm| (vm.vm.clone(), vm));
        self.fleet.vms = vms.collect();
        let vms = &self.fleet.vms;
        let limits = self.limits;
        let mut settled: SmallVec<[VmName; 4]> = SmallVec::new();
        self.fleet.pending.retain(|name, pending| {
            let Some(vm) = vms.get(name) else {
                return false;
            };
            let (arrived, duration) = match pending.order() {
                VmOrder::Move(to) => (vm.pool == *to, limits.move_time),
                VmOrder::Maintain(_) => (true, limits.maintenance_time),
            };
            let is_settled =
                vm.state == VmState::Up && arrived && pending.is_reflected(asked_at, duration);
            settled.extend(is_settled.then(|| name.clone()));
            !is_settled
        });
        for vm in settled {
            self.set_cordon(&vm, false);
        }
        self.record_base_sizes();
    }

    fn record_base_sizes(&mut self) {
        if !self.fleet.base_sizes.is_empty() || self.fleet.vms.is_empty() {
            return;
        }
        for vm in self.fleet.vms.values() {
            *self.fleet.base_sizes.entry(vm.pool.clone()).or_default() += 1;
        }
        let base_sizes = self.fleet.base_sizes.clone();
        self.outbox.push(BatchRecord::BaseSizes(base_sizes));
    }

    /// Handles the reply to an order on a VM.
    pub fn vm_order_replied(&mut self, vm: &VmName, reply: OrderReply, now: ClockTime) {
        self.now = now;
        let Some(pending) = self.fleet.pending.get_mut(vm) else {
            return;
        };
        match reply {
            OrderReply::Done => {
                *pending = pending.clone().accept(now);
                // VMs are ordered about only while they have no runs. Runs on the VM's worker by now
                // are those of a new worker: the order had been carried out before.
                if let VmOrder::Maintain(wave) = *pending.order() {
                    self.maintenance_begun(vm, wave);
                }
            }
            // The order may have been carried out; it is repeated.
            OrderReply::Unknown => {
                if let AnyVmOrder::Sent(sent) = &*pending {
                    *pending = AnyVmOrder::Sent(sent.clone().lose_reply(now));
                }
            }
            OrderReply::Refused | OrderReply::Expired | OrderReply::Fenced => {
                let AnyVmOrder::Sent(sent) = &*pending else {
                    return;
                };
                match sent.clone().refuse(now) {
                    // An earlier attempt may be carried out; this one is repeated.
                    Some(sent) => *pending = AnyVmOrder::Sent(sent),
                    None => self.drop_order(vm, false),
                }
            }
        }
    }

    /// Drops an order that is not carried out; `is_in_doubt` is true if one of an earlier owner may be.
    fn drop_order(&mut self, vm: &VmName, is_in_doubt: bool) {
        let Some(dropped) = self.fleet.pending.remove(vm) else {
            return;
        };
        self.fleet
            .refused
            .insert(vm.clone(), self.now + ORDER_RETRY_DELAY);
        self.set_cordon(vm, false);
        if let VmOrder::Maintain(wave) = *dropped.order()
            && !is_in_doubt
        {
            self.maintenance_dropped(vm, wave);
        }
    }

    /// Repeats pending orders, advances maintenance waves and resizes pools.
    pub(super) fn plan_fleet(&mut self) {
        let now = self.now;
        if !self.ownership_confirmed || now < self.fleet.planned_at + PLAN_INTERVAL {
            return;
        }
        self.fleet.planned_at = now;
        self.fleet.rooms = self.fleet_rooms();
        self.repeat_orders();
        if !self.have_workers_reported() {
            return;
        }
        self.advance_waves();
        self.resize_pools();
    }

    /// Returns whether nearly all workers have reported since the takeover or the time for that has
    /// passed.
    pub(super) fn have_workers_reported(&self) -> bool {
        let has_reported =
            |worker: &&Worker| worker.seen_at.is_some() || worker.missing_since.is_some();
        let known = self.workers.len();
        let reported = self.workers.values().filter(has_reported).count();
        let is_quorum = known > 0 && reported * 100 >= known * REPORTED_PERCENT;
        is_quorum || self.now >= self.fleet.opened_at + REPORT_TIMEOUT
    }

    fn repeat_orders(&mut self) {
        let now = self.now;
        let mut orders: SmallVec<[(VmName, VmOrder); 4]> = SmallVec::new();
        for (vm, pending) in &mut self.fleet.pending {
            if let Some(repeated) = pending.due(ORDER_RETRY_DELAY, now) {
                *pending = AnyVmOrder::Sent(repeated);
                orders.push((vm.clone(), pending.order().clone()));
            }
        }
        for (vm, order) in orders {
            // If the first attempt did not arrive, this one ends the worker that runs there now.
            self.set_cordon(&vm, true);
            self.send_order(vm, order);
        }
    }

    fn order_move(&mut self, vm: &VmName, to: PoolName) {
        let order = VmOrder::Move(to);
        let sent = VmOrderRun::send_now(order.clone(), self.now);
        self.fleet
            .pending
            .insert(vm.clone(), AnyVmOrder::Sent(sent));
        self.set_cordon(vm, true);
        self.send_order(vm.clone(), order);
    }

    /// Queues an order that is sent once it is stored that it may have been. An order of an earlier owner may be
    /// carried out until `doubt_until`.
    pub(super) fn queue_maintenance(&mut self, vm: &VmName, wave: u64, doubt_until: ClockTime) {
        let queued = VmOrderRun::queue(VmOrder::Maintain(wave), doubt_until);
        self.fleet
            .pending
            .insert(vm.clone(), AnyVmOrder::Queued(queued));
        self.set_cordon(vm, true);
        self.outbox.queue_maintenance(vm.clone());
    }

    /// Sends a queued order, unless a run has come to light on the VM, or the VM may not be ordered about any more.
    pub(super) fn send_queued_order(&mut self, vm: &VmName) {
        let now = self.now;
        let Some(AnyVmOrder::Queued(queued)) = self.fleet.pending.get(vm) else {
            return;
        };
        let queued = queued.clone();
        let entry = self.fleet.vms.get(vm);
        let is_up = entry.is_some_and(|entry| entry.state == VmState::Up);
        let worker = self.fleet.current_worker(vm);
        let worker = worker.and_then(|id| self.workers.get(id));
        let is_empty = worker.is_none_or(|worker| worker.is_empty() && !worker.is_unseen(now));
        if !(self.ownership_confirmed && is_up && is_empty) {
            self.drop_order(vm, queued.is_in_doubt(now));
            return;
        }
        let sent = AnyVmOrder::Sent(queued.send(now));
        let order = sent.order().clone();
        self.fleet.pending.insert(vm.clone(), sent);
        self.send_order(vm.clone(), order);
    }

    fn send_order(&mut self, vm: VmName, order: VmOrder) {
        self.effects.push(match order {
            VmOrder::Move(to) => Effect::Move { vm, to },
            VmOrder::Maintain(wave) => Effect::Maintain { vm, wave },
        });
    }

    pub(super) fn set_cordon(&mut self, vm: &VmName, cordoned: bool) {
        let worker = self.fleet.current_worker(vm);
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
        let max_moves = per_sec * PLAN_INTERVAL.as_millis() / 1_000;
        for planned in plan_resize(views, max_moves.max(1) as usize) {
            let (demand, capacity) = demand.get(&planned.to).copied().unwrap_or_default();
            self.log_decision(SchedulerDecision::VmReassigned {
                vm: planned.vm.clone(),
                from: planned.from,
                to: planned.to.clone(),
                demand,
                capacity,
            });
            self.order_move(&planned.vm, planned.to);
        }
    }
}
