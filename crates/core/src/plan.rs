//! Fleet planner: derives the next steps to propose from the replicated state.
//!
//! Any member may run it at any time. Each step names the revision it was based on, and
//! [`FoldState`] rejects a step that is stale or would exceed a budget.

mod maintain;
mod moves;
mod observe;
mod spread;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    clock::ClockTime,
    demand::DemandTracker,
    fleet::PoolCount,
    fold::FoldState,
    name::{MemberName, PoolName, VmName},
    record::{Step, VmDetails},
    vm::{AnyVm, ListedStatus},
};

pub use maintain::{WaveProgress, wave_progress};

/// Inputs of the planner besides the replicated state.
#[derive(Clone, Debug, Default)]
pub struct PlanInput {
    /// VM list as last read, or `None` if it cannot be read.
    pub listing: Option<Arc<BTreeMap<VmName, VmListing>>>,
    /// VMs that have been missing from the list for long enough to be removed.
    pub expired_vms: BTreeSet<VmName>,
    /// Members that have been missing from the list for long enough to be evicted.
    pub evictable_members: Vec<(MemberName, u64)>,
    /// Joining VMs that have answered a probe.
    pub probed: BTreeSet<VmName>,
    /// Demand history of each pool.
    pub demand: DemandTracker,
    /// Current time by this member's clock.
    pub now: ClockTime,
}

/// VM counts of every pool.
type PoolCounts = BTreeMap<PoolName, PoolCount>;

/// Returns the VM counts of one pool.
fn count_of(counts: &PoolCounts, pool: &PoolName) -> PoolCount {
    counts.get(pool).copied().unwrap_or_default()
}

/// Entry of an upstream VM in the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmListing {
    /// Address, location and boot count.
    pub details: VmDetails,
    /// Status in the list: live or leaving.
    pub status: ListedStatus,
}

/// Returns the steps that are due now, starting with those that free capacity.
///
/// ```
/// use jacinthhoist_core::{plan, FoldState, PlanInput};
/// assert!(plan(&FoldState::default(), &PlanInput::default()).is_empty());
/// ```
pub fn plan(state: &FoldState, input: &PlanInput) -> Vec<Step> {
    let mut steps = Vec::new();
    let counts = &state.fleet().counts();
    observe::evict_members(input, &mut steps);
    observe::sync_listing(state, counts, input, &mut steps);
    for vm in state.fleet().vms() {
        steps.extend(next_phase(vm, input));
    }
    maintain::undrain_aborted(state, &mut steps);
    maintain::drain_waves(state, counts, &mut steps);
    maintain::drain_due(state, counts, &mut steps);
    moves::restore_base_sizes(state, counts, &mut steps);
    moves::follow_demand(state, counts, input, &mut steps);
    steps
}

/// Returns the next phase change of a VM that is being moved, rebooted or probed.
fn next_phase(vm: &AnyVm, input: &PlanInput) -> Option<Step> {
    let identity = vm.identity();
    let name = identity.vm.clone();
    let based_on = identity.revision;
    match vm {
        AnyVm::Detached(detached) => match detached.phase.purpose {
            crate::vm::DrainPurpose::Move(_) => Some(Step::Rejoin { vm: name, based_on }),
            crate::vm::DrainPurpose::Reboot(_) => Some(Step::Reboot { vm: name, based_on }),
        },
        AnyVm::Rebooting(rebooting) if newest_boot(vm, input) > rebooting.phase.old_boot => {
            Some(Step::Rejoin { vm: name, based_on })
        }
        AnyVm::Joining(_) if input.probed.contains(&name) => {
            Some(Step::Serve { vm: name, based_on })
        }
        _ => None,
    }
}

/// Returns the newest known boot count, from the replicated state or from a listing change that is
/// proposed in the same record.
fn newest_boot(vm: &AnyVm, input: &PlanInput) -> u64 {
    let identity = vm.identity();
    let listed = input
        .listing
        .as_ref()
        .and_then(|listing| listing.get(&identity.vm));
    listed
        .map_or(0, |listed| listed.details.boot)
        .max(identity.details.boot)
}
