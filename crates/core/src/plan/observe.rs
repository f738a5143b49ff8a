//! Steps that follow changes of the VM list.

use std::cmp::Reverse;

use super::{PlanInput, PoolCounts, VmListing, count_of, spread::PoolSpread};
use crate::{
    fold::FoldState,
    name::{PoolName, VmName},
    record::Step,
    vm::ListedStatus,
};

/// Evicts members that are no longer in the list.
pub(super) fn evict_members(input: &PlanInput, steps: &mut Vec<Step>) {
    for (member, nonce) in &input.evictable_members {
        steps.push(Step::Evict {
            member: member.clone(),
            nonce: *nonce,
        });
    }
}

/// Records changed VMs, removes missing ones and adopts new ones.
pub(super) fn sync_listing(
    state: &FoldState,
    counts: &PoolCounts,
    input: &PlanInput,
    steps: &mut Vec<Step>,
) {
    let Some(listing) = &input.listing else {
        return;
    };
    for vm in state.fleet().vms() {
        let identity = vm.identity();
        let listed = listing.get(&identity.vm);
        let status = listed.map_or(ListedStatus::Missing, |listed| listed.status);
        let boot = listed.map_or(0, |listed| listed.details.boot);
        let based_on = identity.revision;
        if status == ListedStatus::Missing && input.expired_vms.contains(&identity.vm) {
            steps.push(Step::Forget {
                vm: identity.vm.clone(),
                based_on,
            });
        } else if status != identity.status || boot > identity.details.boot {
            steps.push(Step::Sight {
                vm: identity.vm.clone(),
                sight: status,
                boot,
            });
        }
    }
    adopt_new(state, counts, input, steps);
}

/// Assigns each newly listed VM to a pool below its base size, or else to the spare pool.
fn adopt_new(state: &FoldState, counts: &PoolCounts, input: &PlanInput, steps: &mut Vec<Step>) {
    let is_new = |(vm, listed): &(&VmName, &VmListing)| {
        listed.status == ListedStatus::Live && state.fleet().vm(vm).is_none()
    };
    let new_vms: Vec<_> = input
        .listing
        .iter()
        .flat_map(|listing| listing.iter())
        .filter(is_new)
        .collect();
    if new_vms.is_empty() {
        return;
    }
    let mut deficits = deficits(state, counts);
    let spare = super::moves::spare_pool(state);
    for (vm, listed) in new_vms {
        let data_centre = &listed.details.data_centre;
        let candidates = deficits.iter_mut().filter(|deficit| deficit.missing > 0);
        // Even distribution over data centres takes precedence over the size of the deficit, so
        // that the loss of one data centre does not take down a whole pool.
        let chosen = candidates
            .min_by_key(|deficit| (deficit.spread.count(data_centre), Reverse(deficit.missing)));
        let pool = match chosen {
            Some(deficit) => {
                deficit.missing -= 1;
                deficit.spread.add(data_centre);
                Some(deficit.pool.clone())
            }
            None => spare.clone(),
        };
        let Some(pool) = pool else {
            continue;
        };
        steps.push(Step::Adopt {
            vm: vm.clone(),
            details: listed.details.clone(),
            pool,
        });
    }
}

/// Number of VMs that a pool needs to reach its base size.
struct PoolDeficit {
    pool: PoolName,
    missing: usize,
    spread: PoolSpread,
}

fn deficits(state: &FoldState, counts: &PoolCounts) -> Vec<PoolDeficit> {
    let pools = state.catalogue().pools();
    pools
        .map(|(pool, entry)| {
            let size = count_of(counts, &pool).size_after_moves();
            let missing = (entry.base_vms as usize).saturating_sub(size);
            let spread = PoolSpread::of(state, &pool);
            PoolDeficit {
                pool,
                missing,
                spread,
            }
        })
        .collect()
}
