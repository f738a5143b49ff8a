//! Moves of VMs between pools, to restore base sizes and to follow sustained demand.

use std::cmp::Reverse;

use super::{PlanInput, PoolCounts, count_of, spread::PoolSpread};
use crate::{
    catalogue::{MovePolicy, PolicyEntry, PoolEntry},
    clock::ClockTime,
    fold::FoldState,
    name::PoolName,
    record::Step,
    vm::{AnyVm, DrainPurpose},
};

/// Low demand must last this many times as long before a pool shrinks as high demand must last
/// before it grows.
const SHRINK_DURATION_FACTOR: u64 = 2;

/// Returns the pool marked as spare in the catalogue.
pub(super) fn spare_pool(state: &FoldState) -> Option<PoolName> {
    state
        .catalogue()
        .pools()
        .find(|(_, entry)| entry.spare)
        .map(|(pool, _)| pool)
}

/// Moves VMs from the spare pool to pools below their base size, and from pools above `max_vms`
/// back to the spare pool.
pub(super) fn restore_base_sizes(state: &FoldState, counts: &PoolCounts, steps: &mut Vec<Step>) {
    let Some(spare) = spare_pool(state) else {
        return;
    };
    for (pool, entry) in state.catalogue().pools() {
        if pool == spare {
            continue;
        }
        let size = count_of(counts, &pool).size_after_moves();
        let maximum = entry.max_vms.unwrap_or(entry.base_vms) as usize;
        if size < entry.base_vms as usize {
            push_move(state, counts, &spare, &pool, steps);
        } else if size > maximum {
            push_move(state, counts, &pool, &spare, steps);
        }
    }
}

/// Moves VMs according to demand, under the catalogue's move policy.
pub(super) fn follow_demand(
    state: &FoldState,
    counts: &PoolCounts,
    input: &PlanInput,
    steps: &mut Vec<Step>,
) {
    let policy = state.catalogue().policy();
    let Some(spare) = spare_pool(state) else {
        return;
    };
    for (pool, entry) in state.catalogue().pools() {
        if pool == spare || policy.moves == MovePolicy::None {
            continue;
        }
        let size = count_of(counts, &pool).size_after_moves();
        let wanted = wanted_vms(&policy, entry, input, &pool, size);
        if wanted > size {
            push_move(state, counts, &spare, &pool, steps);
        } else if wanted < size {
            push_move(state, counts, &pool, &spare, steps);
        }
    }
}

/// Returns the number of VMs that a pool should have under the move policy.
fn wanted_vms(
    policy: &PolicyEntry,
    entry: &PoolEntry,
    input: &PlanInput,
    pool: &PoolName,
    size: usize,
) -> usize {
    let base = entry.base_vms as usize;
    let maximum = entry.max_vms.unwrap_or(entry.base_vms) as usize;
    match policy.moves {
        MovePolicy::None => base,
        MovePolicy::Proportional => {
            let percent = input.demand.percent(pool) as usize;
            (size * percent)
                .div_ceil(100)
                .clamp(base, maximum.max(base))
        }
        MovePolicy::Greedy => {
            let grow = grow_duration(policy);
            let shrink = shrink_duration(policy);
            if input.demand.is_high(pool, input.now, grow) && size < maximum {
                size + 1
            } else if input.demand.is_low(pool, input.now, shrink) && size > base {
                size - 1
            } else {
                size
            }
        }
    }
}

/// Returns the duration of high demand after which a pool grows.
///
/// It is longer with a higher weight of moves and shorter with a higher weight of overload.
fn grow_duration(policy: &PolicyEntry) -> ClockTime {
    let secs = policy.lasts_secs * u64::from(policy.move_weight.max(1));
    ClockTime::from_millis(secs * 1_000 / u64::from(policy.flood_weight.max(1)))
}

/// Returns the duration of low demand after which a pool shrinks.
///
/// It is longer with a higher weight of moves and shorter with a higher weight of idle VMs.
fn shrink_duration(policy: &PolicyEntry) -> ClockTime {
    let secs = SHRINK_DURATION_FACTOR * policy.lasts_secs * u64::from(policy.move_weight.max(1));
    ClockTime::from_millis(secs * 1_000 / u64::from(policy.buffer_weight.max(1)))
}

/// Moves one VM from a pool to another if the source pool's budget allows it.
///
/// Prefers a VM in the data centre where the target pool has the fewest VMs and, among equals,
/// where the source pool has the most.
fn push_move(
    state: &FoldState,
    counts: &PoolCounts,
    from: &PoolName,
    to: &PoolName,
    steps: &mut Vec<Step>,
) {
    let Some(entry) = state.catalogue().pool(from) else {
        return;
    };
    let count = count_of(counts, from);
    let within_budget = count.available > entry.min_available as usize
        && count.unavailable() < entry.max_unavailable as usize;
    let is_draining = |vm: &AnyVm| {
        steps
            .iter()
            .any(|step| matches!(step, Step::Drain { vm: other, .. } if *other == vm.identity().vm))
    };
    if !within_budget {
        return;
    }
    let (source, target) = (PoolSpread::of(state, from), PoolSpread::of(state, to));
    let data_centre = |vm: &AnyVm| vm.identity().details.data_centre.clone();
    let serving = state
        .fleet()
        .vms()
        .filter(|vm| vm.pool() == from && vm.is_available());
    let candidates = serving.filter(|vm| !is_draining(vm));
    let chosen = candidates.min_by_key(|vm| {
        (
            target.count(&data_centre(vm)),
            Reverse(source.count(&data_centre(vm))),
        )
    });
    let Some(vm) = chosen else {
        return;
    };
    let identity = vm.identity();
    let purpose = DrainPurpose::Move(to.clone());
    steps.push(Step::Drain {
        vm: identity.vm.clone(),
        purpose,
        based_on: identity.revision,
    });
}
