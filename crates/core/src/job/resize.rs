//! Reassignment of VMs between pools.
//!
//! The queues of different pools surge at different times. While a surge of one pool ends, its
//! expected demand still covers more VMs than its tasks use, and another pool has a queue already:
//! tasks that could start now come before those that are expected. A pool whose arrivals and backlog
//! exceed its capacity first takes idle VMs from pools with low demand, then VMs from the spare pool,
//! which are powered off. After the surge, VMs above the pool's base size go at once to pools below
//! theirs, which may surge next, and to the spare pool once they have been idle for some time.

use smallvec::SmallVec;

use crate::name::{PoolName, VmName};

/// Percent of its demand that a pool retains as capacity before it releases VMs.
const RETAINED_PERCENT: u64 = 120;
/// VMs that a pool retains in addition, as capacity for the first second of a surge.
const HEADROOM_VMS: u64 = 1;
const FULL_PERCENT: usize = 100;

/// A VM that can leave its pool now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdleVm {
    /// VM name.
    pub vm: VmName,
    /// Capacity, in thousandths of a core.
    pub cpu: u64,
    /// True if it has been idle for longer than a move takes.
    pub long_idle: bool,
}

/// Demand and capacity of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolDemandView {
    /// Pool name.
    pub pool: PoolName,
    /// True for the spare pool, whose VMs are powered off.
    pub spare: bool,
    /// Expected demand of its work, in thousandths of a core.
    pub demand: u64,
    /// Part of the demand that is present: tasks that run, and those that could start now.
    pub present_demand: u64,
    /// Present demand with the tasks that are late in any case.
    pub late_demand: u64,
    /// Work that has not started, in thousandths of a core-millisecond.
    pub waiting: u64,
    /// Part of it that is no surplus of a tenant.
    pub contracted_waiting: u64,
    /// Demand of long-running tasks, in thousandths of a core.
    pub long_running: u64,
    /// Present and incoming capacity, in thousandths of a core.
    pub capacity: u64,
    /// Present and incoming VMs.
    pub vms: usize,
    /// Number of VMs outside surges.
    pub base_size: usize,
    /// VMs that can leave now.
    pub idle: Vec<IdleVm>,
}

/// Reason for a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MoveReason {
    /// Tasks wait in another pool. The pool retains what its own present demand needs.
    PresentDemand,
    /// Another pool expects more work, or is below its base size.
    ExpectedDemand,
    /// Tasks that are late in any case wait in another pool. They get VMs that have been idle for
    /// some time, of which the pool retains half of its base size for its next surge.
    LateWork,
    /// The VM is not needed anywhere.
    LongIdle,
}

impl PoolDemandView {
    fn demand_for(&self, reason: MoveReason) -> u64 {
        match reason {
            MoveReason::PresentDemand => self.present_demand,
            MoveReason::ExpectedDemand | MoveReason::LateWork | MoveReason::LongIdle => self.demand,
        }
    }

    fn shortage(&self, reason: MoveReason) -> u64 {
        let demand = match reason {
            MoveReason::LateWork => self.late_demand,
            _ => self.demand_for(reason),
        };
        demand.saturating_sub(self.capacity)
    }

    fn is_idle_enough(&self, vm: &IdleVm, reason: MoveReason) -> bool {
        match reason {
            MoveReason::PresentDemand | MoveReason::ExpectedDemand => true,
            MoveReason::LateWork => vm.long_idle && self.vms > self.base_size / 2,
            MoveReason::LongIdle => vm.long_idle,
        }
    }

    /// Index of a VM that the pool can release.
    fn releasable(&self, reason: MoveReason) -> Option<usize> {
        self.idle.iter().rposition(|vm| {
            let demand = self.demand_for(reason).saturating_mul(RETAINED_PERCENT) / 100;
            let headroom = vm.cpu.saturating_mul(1 + HEADROOM_VMS);
            let enough = self.capacity >= headroom.saturating_add(demand);
            self.spare || (enough && self.is_idle_enough(vm, reason))
        })
    }

    /// Removes a VM that the pool can release.
    fn release(&mut self, reason: MoveReason) -> Option<IdleVm> {
        let index = self.releasable(reason)?;
        let vm = self.idle.remove(index);
        self.capacity = self.capacity.saturating_sub(vm.cpu);
        self.vms = self.vms.saturating_sub(1);
        Some(vm)
    }

    fn add(&mut self, vm: &IdleVm) {
        self.capacity = self.capacity.saturating_add(vm.cpu);
        self.vms += 1;
    }
}

/// Planned move of a VM to another pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResizeMove {
    /// VM name.
    pub vm: VmName,
    /// Source pool.
    pub from: PoolName,
    /// Destination pool.
    pub to: PoolName,
}

/// Plans at most `max_moves` moves from the demand and capacity of the pools.
pub fn plan_resize(mut pools: Vec<PoolDemandView>, max_moves: usize) -> SmallVec<[ResizeMove; 4]> {
    let mut moves = SmallVec::new();
    while moves.len() < max_moves {
        let next = grow(&mut pools, MoveReason::PresentDemand)
            .or_else(|| grow(&mut pools, MoveReason::ExpectedDemand))
            .or_else(|| grow(&mut pools, MoveReason::LateWork))
            .or_else(|| restore(&mut pools));
        let Some(next) = next.or_else(|| shrink(&mut pools)) else {
            break;
        };
        moves.push(next);
    }
    moves
}

/// Moves one VM to the pool with the largest shortage of capacity.
fn grow(pools: &mut [PoolDemandView], reason: MoveReason) -> Option<ResizeMove> {
    let active = pools.iter().enumerate().filter(|(_, pool)| !pool.spare);
    let (to, neediest) = active.max_by_key(|(_, pool)| pool.shortage(reason))?;
    let smallest = pools
        .iter()
        .flat_map(|pool| &pool.idle)
        .map(|vm| vm.cpu)
        .min()?;
    // A shortage of less than half a VM is over before another VM arrives.
    if neediest.shortage(reason) < smallest / 2 {
        return None;
    }
    let donor = largest_donor(pools, to, reason);
    let donor = donor.or_else(|| pools.iter().position(|pool| pool.spare))?;
    transfer(pools, donor, to, reason)
}

/// The pool other than `to` with the most surplus capacity among those that can release a VM.
fn largest_donor(pools: &[PoolDemandView], to: usize, reason: MoveReason) -> Option<usize> {
    let can_release = |pool: &PoolDemandView| !pool.spare && pool.releasable(reason).is_some();
    let donors = pools.iter().enumerate();
    donors
        .filter(|(index, pool)| *index != to && can_release(pool))
        .max_by_key(|(_, pool)| pool.capacity.saturating_sub(pool.demand_for(reason)))
        .map(|(index, _)| index)
}

/// Moves one VM from a pool above its base size to the pool furthest below its own.
fn restore(pools: &mut [PoolDemandView]) -> Option<ResizeMove> {
    let from = above_base_size(pools, MoveReason::ExpectedDemand)?;
    let below = pools.iter().enumerate();
    let below = below.filter(|(_, pool)| !pool.spare && pool.vms < pool.base_size);
    let (to, _) = below.min_by_key(|(_, pool)| pool.vms * FULL_PERCENT / pool.base_size)?;
    transfer(pools, from, to, MoveReason::ExpectedDemand)
}

/// Moves one long-idle VM from a pool above its base size to the spare pool.
fn shrink(pools: &mut [PoolDemandView]) -> Option<ResizeMove> {
    let from = above_base_size(pools, MoveReason::LongIdle)?;
    let to = pools.iter().position(|pool| pool.spare)?;
    transfer(pools, from, to, MoveReason::LongIdle)
}

/// A pool above its base size that can release a VM.
fn above_base_size(pools: &[PoolDemandView], reason: MoveReason) -> Option<usize> {
    let can_release = |pool: &PoolDemandView| {
        !pool.spare && pool.vms > pool.base_size && pool.releasable(reason).is_some()
    };
    pools.iter().position(can_release)
}

fn transfer(
    pools: &mut [PoolDemandView],
    from: usize,
    to: usize,
    reason: MoveReason,
) -> Option<ResizeMove> {
    let vm = pools[from].release(reason)?;
    pools[to].add(&vm);
    Some(ResizeMove {
        vm: vm.vm,
        from: pools[from].pool.clone(),
        to: pools[to].pool.clone(),
    })
}
