//! VMs: moves between pools, maintenance, fences.

use std::{sync::Arc, time::Duration};

use jacinthhoist_core::{
    ClockTime, PoolName, RackName, VmName, WorkerId,
    job::{OrderReply, VmEntry, VmState},
};
use tokio::time::sleep;

use crate::{
    history::VmHistory,
    model::{SPARE_POOL, World},
};

/// How long a VM takes to join another pool.
pub(crate) const MOVE_TIME: ClockTime = ClockTime::from_millis(1_500);
/// How long a VM is down for its maintenance.
pub(crate) const MAINTENANCE_TIME: ClockTime = ClockTime::from_millis(2_000);

/// A VM.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub(crate) vm: VmName,
    pub(crate) pool: PoolName,
    pub(crate) rack: RackName,
    pub(crate) state: VmState,
    pub(crate) worker: Option<WorkerId>,
    token: u64,
    /// The last wave for which it had its maintenance.
    wave: Option<u64>,
}

impl Machine {
    pub(crate) fn up(vm: VmName, pool: PoolName, rack: RackName) -> Self {
        Self {
            vm,
            pool,
            rack,
            state: VmState::Up,
            worker: None,
            token: 0,
            wave: None,
        }
    }
}

/// What a VM is ordered to do.
pub(crate) enum MachineOrder {
    Move(PoolName),
    Maintain(u64),
}

impl World {
    /// The list of VMs.
    pub(crate) fn list_vms(&self) -> Vec<VmEntry> {
        let capacity = self.capacity();
        let state = self.state();
        let entry = |machine: &Machine| VmEntry {
            vm: machine.vm.clone(),
            pool: machine.pool.clone(),
            state: machine.state,
            rack: Some(machine.rack.clone()),
            capacity,
            worker: machine.worker.clone(),
        };
        state.machines.values().map(entry).collect()
    }

    /// Carries an order on a VM out.
    pub(crate) fn order_vm(
        self: &Arc<Self>,
        vm: &VmName,
        order: MachineOrder,
        token: u64,
    ) -> OrderReply {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(machine) = state.machines.get_mut(vm) else {
            return OrderReply::Refused;
        };
        if token < machine.token {
            return OrderReply::Fenced;
        }
        machine.token = token;
        let (wave, takes) = match order {
            MachineOrder::Move(pool) if pool == machine.pool => return OrderReply::Done,
            MachineOrder::Move(_) if machine.state != VmState::Up => return OrderReply::Refused,
            MachineOrder::Move(pool) => {
                machine.pool = pool;
                machine.state = VmState::Moving;
                (None, MOVE_TIME)
            }
            MachineOrder::Maintain(wave) if machine.wave == Some(wave) => {
                return OrderReply::Done;
            }
            MachineOrder::Maintain(_) if machine.state != VmState::Up => {
                return OrderReply::Refused;
            }
            MachineOrder::Maintain(wave) => {
                machine.state = VmState::InMaintenance;
                machine.wave = Some(wave);
                (Some(wave), MAINTENANCE_TIME)
            }
        };
        let worker = machine.worker.take();
        state.history.vms.push(VmHistory {
            vm: vm.clone(),
            at: now,
            token,
            wave,
            until: now + takes,
            worker: worker.clone(),
        });
        if let Some(id) = worker {
            self.end_worker(&mut state, &id, now);
        }
        drop(state);
        let (world, vm) = (self.clone(), vm.clone());
        tokio::spawn(async move {
            sleep(Duration::from_millis(takes.as_millis())).await;
            world.vm_is_up(&vm);
        });
        OrderReply::Done
    }

    fn vm_is_up(&self, vm: &VmName) {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(machine) = state.machines.get_mut(vm) else {
            return;
        };
        machine.state = VmState::Up;
        if machine.pool.as_str() != SPARE_POOL {
            self.start_worker(&mut state, vm, now);
        }
    }
}
