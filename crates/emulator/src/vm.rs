//! Emulated VMs: moves between pools, maintenance and fencing.

use std::{sync::Arc, time::Duration};

use jacinthhoist_core::{
    ClockTime, PoolName, RackName, VmName, WorkerId,
    job::{OrderReply, VmEntry, VmState},
};
use tokio::time::sleep;

use crate::{
    history::VmOrderHistory,
    model::{PlatformModel, SPARE_POOL},
    network::Endpoint,
};

/// Time that a VM takes to join another pool.
pub(crate) const MOVE_TIME: ClockTime = ClockTime::from_millis(1_500);
/// Time for which a VM is down for maintenance.
pub(crate) const MAINTENANCE_TIME: ClockTime = ClockTime::from_millis(2_000);

/// Emulated VM.
#[derive(Clone, Debug)]
pub(crate) struct EmulatedVm {
    pub(crate) name: VmName,
    pub(crate) pool: PoolName,
    pub(crate) rack: RackName,
    pub(crate) state: VmState,
    pub(crate) worker: Option<WorkerId>,
    token: u64,
    /// Last wave for which the VM was maintained.
    wave: Option<u64>,
}

impl EmulatedVm {
    pub(crate) fn up(name: VmName, pool: PoolName, rack: RackName) -> Self {
        Self {
            name,
            pool,
            rack,
            state: VmState::Up,
            worker: None,
            token: 0,
            wave: None,
        }
    }
}

/// Order to a VM.
pub(crate) enum VmCommand {
    Move(PoolName),
    Maintain(u64),
}

impl PlatformModel {
    /// Lists all VMs.
    pub(crate) fn list_vms(&self) -> Vec<VmEntry> {
        let capacity = self.capacity();
        let state = self.state();
        let entry = |vm: &EmulatedVm| VmEntry {
            vm: vm.name.clone(),
            pool: vm.pool.clone(),
            state: vm.state,
            rack: Some(vm.rack.clone()),
            capacity,
            worker: vm.worker.clone(),
        };
        state.vms.values().map(entry).collect()
    }

    /// Executes an order to a VM.
    pub(crate) fn order_vm(
        self: &Arc<Self>,
        name: &VmName,
        order: VmCommand,
        token: u64,
        member: &Endpoint,
    ) -> OrderReply {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(vm) = state.vms.get_mut(name) else {
            return OrderReply::Refused;
        };
        if token < vm.token {
            return OrderReply::Fenced;
        }
        vm.token = token;
        let (wave, duration) = match order {
            VmCommand::Move(pool) if pool == vm.pool => return OrderReply::Done,
            VmCommand::Move(_) if vm.state != VmState::Up => return OrderReply::Refused,
            VmCommand::Move(pool) => {
                vm.pool = pool;
                vm.state = VmState::Moving;
                (None, MOVE_TIME)
            }
            VmCommand::Maintain(wave) if vm.wave == Some(wave) => {
                return OrderReply::Done;
            }
            VmCommand::Maintain(_) if vm.state != VmState::Up => {
                return OrderReply::Refused;
            }
            VmCommand::Maintain(wave) => {
                vm.state = VmState::InMaintenance;
                vm.wave = Some(wave);
                (Some(wave), MAINTENANCE_TIME)
            }
        };
        let worker = vm.worker.take();
        state.history.vm_orders.push(VmOrderHistory {
            vm: name.clone(),
            at: now,
            token,
            wave,
            available_at: now + duration,
            worker: worker.clone(),
            replaced_for: self.store.replaced_for(member, now),
        });
        if let Some(id) = worker {
            self.end_worker(&mut state, &id, now);
        }
        drop(state);
        let (model, name) = (self.clone(), name.clone());
        tokio::spawn(async move {
            sleep(Duration::from_millis(duration.as_millis())).await;
            model.finish_vm_order(&name);
        });
        OrderReply::Done
    }

    fn finish_vm_order(&self, name: &VmName) {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(vm) = state.vms.get_mut(name) else {
            return;
        };
        vm.state = VmState::Up;
        if vm.pool.as_str() != SPARE_POOL {
            self.start_worker(&mut state, name, now);
        }
    }
}
