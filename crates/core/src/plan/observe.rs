//! What the VM list says, as steps.

use super::PlanInput;
use crate::{fold::FoldState, name::PoolName, record::Step, vm::VmSight};

/// Members that are gone from the list.
pub(super) fn members(input: &PlanInput, steps: &mut Vec<Step>) {
    for (member, nonce) in &input.gone_members {
        steps.push(Step::Evict {
            member: member.clone(),
            nonce: *nonce,
        });
    }
}

/// VMs that are new, changed or gone.
pub(super) fn sights(state: &FoldState, input: &PlanInput, steps: &mut Vec<Step>) {
    let Some(listing) = &input.listing else {
        return;
    };
    for vm in state.fleet().vms() {
        let identity = vm.identity();
        let listed = listing.get(&identity.vm);
        let sight = listed.map_or(VmSight::Missing, |listed| listed.sight);
        let boot = listed.map_or(0, |listed| listed.details.boot);
        let based_on = identity.revision;
        if sight == VmSight::Missing && input.forgettable.contains(&identity.vm) {
            steps.push(Step::Forget {
                vm: identity.vm.clone(),
                based_on,
            });
        } else if sight != identity.sight || boot > identity.details.boot {
            steps.push(Step::Sight {
                vm: identity.vm.clone(),
                sight,
                boot,
            });
        }
    }
    adopt(state, input, steps);
}

fn adopt(state: &FoldState, input: &PlanInput, steps: &mut Vec<Step>) {
    let mut deficits = deficits(state);
    let spare = super::moves::spare_pool(state);
    for (vm, listed) in input.listing.iter().flat_map(|listing| listing.iter()) {
        if state.fleet().vm(vm).is_some() || listed.sight != VmSight::Live {
            continue;
        }
        let wanting = deficits.iter_mut().filter(|wanted| wanted.missing > 0);
        let neediest = wanting.max_by_key(|wanted| wanted.missing);
        let pool = match neediest {
            Some(wanted) => {
                wanted.missing -= 1;
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
}

fn deficits(state: &FoldState) -> Vec<PoolDeficit> {
    let pools = state.catalogue().pools();
    pools
        .map(|(pool, entry)| {
            let settled = state.fleet().count(&pool).settled();
            let missing = (entry.base_vms as usize).saturating_sub(settled);
            PoolDeficit { pool, missing }
        })
        .collect()
}
