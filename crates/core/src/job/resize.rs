//! Which VM changes its pool.
//!
//! Answers queues that surge one after the other: a pool whose arrivals and backlog ask for more
//! than it holds takes empty VMs of pools in their trough first, then VMs that are off. What it
//! holds above its standing size afterwards goes at once to pools below theirs, since the next surge
//! may be one of those, and to the spare pool when it has been idle for a while.

use smallvec::SmallVec;

use crate::name::{PoolName, VmName};

/// Percent of its demand that a pool keeps before it gives VMs away.
const KEEP_PERCENT: u64 = 120;
/// VMs that a pool keeps beside what its demand asks for, for the first second of a surge.
const KEEP_VMS: u64 = 1;
/// A whole, in percent.
const FULL_PERCENT: usize = 100;

/// A VM that could leave its pool now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdleVm {
    /// Its name.
    pub vm: VmName,
    /// What it has, in thousandths of a core.
    pub cpu: u64,
    /// Whether it has been idle for longer than a move costs.
    pub long_idle: bool,
}

/// What is known of a pool's demand and supply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolDemandView {
    /// The pool.
    pub pool: PoolName,
    /// Whether its VMs are off.
    pub spare: bool,
    /// What its work asks for, in thousandths of a core.
    pub demand: u64,
    /// Work that has not begun, in thousandths of core-milliseconds.
    pub waiting: u64,
    /// What tasks that serve for good take, in thousandths of a core.
    pub steady: u64,
    /// What it holds or is about to hold, in thousandths of a core.
    pub capacity: u64,
    /// VMs that it holds or is about to hold.
    pub vms: usize,
    /// VMs that it stands at without a surge.
    pub standing: usize,
    /// VMs that could leave now.
    pub idle: Vec<IdleVm>,
}

impl PoolDemandView {
    fn short(&self) -> u64 {
        self.demand.saturating_sub(self.capacity)
    }

    /// The place of a VM that the pool can do without; `for_surge` asks for one that another pool
    /// needs now.
    fn dispensable(&self, for_surge: bool) -> Option<usize> {
        self.idle.iter().rposition(|vm| {
            let kept = self.demand * KEEP_PERCENT / 100 + KEEP_VMS * vm.cpu;
            let enough = self.capacity >= vm.cpu + kept;
            self.spare || (enough && (for_surge || vm.long_idle))
        })
    }

    /// Takes a VM out that the pool can do without.
    fn give(&mut self, for_surge: bool) -> Option<IdleVm> {
        let at = self.dispensable(for_surge)?;
        let vm = self.idle.remove(at);
        self.capacity = self.capacity.saturating_sub(vm.cpu);
        self.vms = self.vms.saturating_sub(1);
        Some(vm)
    }

    fn receive(&mut self, vm: &IdleVm) {
        self.capacity += vm.cpu;
        self.vms += 1;
    }
}

/// A VM that should change its pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResizeMove {
    /// The VM.
    pub vm: VmName,
    /// The pool that it leaves.
    pub from: PoolName,
    /// The pool that it joins.
    pub to: PoolName,
}

/// Plans the next moves, at most `most`, from what the pools ask for and hold.
pub fn plan_resize(mut pools: Vec<PoolDemandView>, most: usize) -> SmallVec<[ResizeMove; 4]> {
    let mut moves = SmallVec::new();
    while moves.len() < most {
        let next = grow(&mut pools).or_else(|| restore(&mut pools));
        let Some(next) = next.or_else(|| shrink(&mut pools)) else {
            break;
        };
        moves.push(next);
    }
    moves
}

/// One VM for the pool that is shortest of capacity.
fn grow(pools: &mut [PoolDemandView]) -> Option<ResizeMove> {
    let needy = pools.iter().enumerate().filter(|(_, pool)| !pool.spare);
    let (to, worst) = needy.max_by_key(|(_, pool)| pool.short())?;
    let smallest = pools
        .iter()
        .flat_map(|pool| &pool.idle)
        .map(|vm| vm.cpu)
        .min()?;
    // A shortage of less than half a VM passes before the VM arrives.
    if worst.short() < smallest / 2 {
        return None;
    }
    let donor = richest_donor(pools, to).or_else(|| pools.iter().position(|pool| pool.spare))?;
    transfer(pools, donor, to, true)
}

/// The pool in its trough with the most to spare.
fn richest_donor(pools: &[PoolDemandView], to: usize) -> Option<usize> {
    let able = |pool: &PoolDemandView| !pool.spare && pool.dispensable(true).is_some();
    let donors = pools.iter().enumerate();
    donors
        .filter(|(at, pool)| *at != to && able(pool))
        .max_by_key(|(_, pool)| pool.capacity.saturating_sub(pool.demand))
        .map(|(at, _)| at)
}

/// One VM of a pool above its standing size for the pool that is furthest below its own.
fn restore(pools: &mut [PoolDemandView]) -> Option<ResizeMove> {
    let from = above_standing(pools, true)?;
    let below = pools.iter().enumerate();
    let below = below.filter(|(_, pool)| !pool.spare && pool.vms < pool.standing);
    let (to, _) = below.min_by_key(|(_, pool)| pool.vms * FULL_PERCENT / pool.standing)?;
    transfer(pools, from, to, true)
}

/// One rested VM of a pool above its standing size for the spare pool.
fn shrink(pools: &mut [PoolDemandView]) -> Option<ResizeMove> {
    let from = above_standing(pools, false)?;
    let to = pools.iter().position(|pool| pool.spare)?;
    transfer(pools, from, to, false)
}

/// A pool that holds more than its standing size and can give a VM.
fn above_standing(pools: &[PoolDemandView], for_surge: bool) -> Option<usize> {
    let able = |pool: &PoolDemandView| {
        !pool.spare && pool.vms > pool.standing && pool.dispensable(for_surge).is_some()
    };
    pools.iter().position(able)
}

fn transfer(
    pools: &mut [PoolDemandView],
    from: usize,
    to: usize,
    for_surge: bool,
) -> Option<ResizeMove> {
    let vm = pools[from].give(for_surge)?;
    pools[to].receive(&vm);
    Some(ResizeMove {
        vm: vm.vm,
        from: pools[from].pool.clone(),
        to: pools[to].pool.clone(),
    })
}
