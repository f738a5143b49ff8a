//! What the VM list says, as steps.

use std::cmp::Reverse;

use super::{PlanInput, PoolCounts, VmListing, count_of, spread::PoolSpread};
use crate::{
    fold::FoldState,
    name::{PoolName, VmName},
    record::Step,
    vm::ListedStatus,
};

/// Members that are gone from the list.
pub(super) fn members(input: &PlanInput, steps: &mut Vec<Step>) {
    for (member, nonce) in &input.evictable_members {
        steps.push(Step::Evict {
            member: member.clone(),
            nonce: *nonce,
        });
    }
}

/// VMs that are new, changed or gone.
pub(super) fn sights(
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
        if status == ListedStatus::Missing && input.forgettable.contains(&identity.vm) {
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
    adopt(state, counts, input, steps);
}

fn adopt(state: &FoldState, counts: &PoolCounts, input: &PlanInput, steps: &mut Vec<Step>) {
    let is_new = |(vm, listed): &(&VmName, &VmListing)| {
        listed.status == ListedStatus::Live && state.fleet().vm(vm).is_none()
    };
    let new: Vec<_> = input
        .listing
        .iter()
        .flat_map(|listing| listing.iter())
        .filter(is_new)
        .collect();
    if new.is_empty() {
        return;
    }
    let mut deficits = deficits(state, counts);
    let spare = super::moves::spare_pool(state);
    for (vm, listed) in new {
        let home = &listed.details.data_centre;
        let wanting = deficits.iter_mut().filter(|wanted| wanted.missing > 0);
        // Spread over data centres first, so that losing one loses no pool.
        let neediest =
            wanting.min_by_key(|wanted| (wanted.spread.count(home), Reverse(wanted.missing)));
        let pool = match neediest {
            Some(wanted) => {
                wanted.missing -= 1;
                wanted.spread.add(home);
                Some(wanted.pool.clone())
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

struct PoolDeficit {
    pool: PoolName,
    missing: usize,
    spread: PoolSpread,
}

fn deficits(state: &FoldState, counts: &PoolCounts) -> Vec<PoolDeficit> {
    let pools = state.catalogue().pools();
    pools
        .map(|(pool, entry)| {
            let settled = count_of(counts, &pool).settled();
            let missing = (entry.base_vms as usize).saturating_sub(settled);
            let spread = PoolSpread::of(state, &pool);
            PoolDeficit {
                pool,
                missing,
                spread,
            }
        })
        .collect()
}
