//! Moves of VMs between pools: up to the base size, and with demand that lasts.

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

/// Demand must be low for this many times the span that growth asks for.
const SHRINK_SPANS: u64 = 2;

/// The pool marked as the buffer.
pub(super) fn spare_pool(state: &FoldState) -> Option<PoolName> {
    state
        .catalogue()
        .pools()
        .find(|(_, entry)| entry.spare)
        .map(|(pool, _)| pool)
}

/// VMs from the spare pool for pools below their base size, and back for those above `max_vms`.
pub(super) fn fill(state: &FoldState, counts: &PoolCounts, steps: &mut Vec<Step>) {
    let Some(spare) = spare_pool(state) else {
        return;
    };
    for (pool, entry) in state.catalogue().pools() {
        if pool == spare {
            continue;
        }
        let settled = count_of(counts, &pool).settled();
        let most = entry.max_vms.unwrap_or(entry.base_vms) as usize;
        if settled < entry.base_vms as usize {
            push_move(state, counts, &spare, &pool, steps);
        } else if settled > most {
            push_move(state, counts, &pool, &spare, steps);
        }
    }
}

/// Moves by demand under the catalogue's policy.
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
        let settled = count_of(counts, &pool).settled();
        let wanted = wanted_vms(&policy, entry, input, &pool, settled);
        if wanted > settled {
            push_move(state, counts, &spare, &pool, steps);
        } else if wanted < settled {
            push_move(state, counts, &pool, &spare, steps);
        }
    }
}

fn wanted_vms(
    policy: &PolicyEntry,
    entry: &PoolEntry,
    input: &PlanInput,
    pool: &PoolName,
    settled: usize,
) -> usize {
    let base = entry.base_vms as usize;
    let most = entry.max_vms.unwrap_or(entry.base_vms) as usize;
    match policy.moves {
        MovePolicy::None => base,
        MovePolicy::Proportional => {
            let percent = input.demand.percent(pool) as usize;
            (settled * percent)
                .div_ceil(100)
                .clamp(base, most.max(base))
        }
        MovePolicy::Greedy => {
            let grow = grow_span(policy);
            let shrink = shrink_span(policy);
            if input.demand.is_high(pool, input.now, grow) && settled < most {
                settled + 1
            } else if input.demand.is_low(pool, input.now, shrink) && settled > base {
                settled - 1
            } else {
                settled
            }
        }
    }
}

/// How long demand must be high: longer where moves weigh more, shorter where floods do.
fn grow_span(policy: &PolicyEntry) -> ClockTime {
    let secs = policy.lasts_secs * u64::from(policy.move_weight.max(1));
    ClockTime::from_millis(secs * 1_000 / u64::from(policy.flood_weight.max(1)))
}

/// How long demand must be low: shorter where idle VMs weigh more.
fn shrink_span(policy: &PolicyEntry) -> ClockTime {
    let secs = SHRINK_SPANS * policy.lasts_secs * u64::from(policy.move_weight.max(1));
    ClockTime::from_millis(secs * 1_000 / u64::from(policy.buffer_weight.max(1)))
}

/// One VM from a pool to another, if its budget has room: from the data centre of which the target
/// has the fewest VMs, then the source the most.
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
    let room = count.available > entry.min_available as usize
        && count.unavailable() < entry.max_unavailable as usize;
    let taken = |vm: &AnyVm| {
        steps
            .iter()
            .any(|step| matches!(step, Step::Drain { vm: other, .. } if *other == vm.identity().vm))
    };
    if !room {
        return;
    }
    let (leaves, enters) = (PoolSpread::of(state, from), PoolSpread::of(state, to));
    let centre = |vm: &AnyVm| vm.identity().details.data_centre.clone();
    let serving = state
        .fleet()
        .vms()
        .filter(|vm| vm.pool() == from && vm.is_available());
    let free = serving.filter(|vm| !taken(vm));
    let best = free.min_by_key(|vm| {
        (
            enters.count(&centre(vm)),
            Reverse(leaves.count(&centre(vm))),
        )
    });
    let Some(vm) = best else {
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
