//! The planner: reads the agreed state and proposes the next steps.
//!
//! Any member may run it at any time: each step names the revision it was based on, and the fold
//! rejects a step that comes second or would break a budget.

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

/// What the planner looks at besides the agreed state.
#[derive(Clone, Debug, Default)]
pub struct PlanInput {
    /// The VM list as last read; none where it cannot be read.
    pub listing: Option<Arc<BTreeMap<VmName, VmListing>>>,
    /// VMs missing from the list for long enough to be forgotten.
    pub forgettable: BTreeSet<VmName>,
    /// Members missing from the list for long enough to be evicted.
    pub evictable_members: Vec<(MemberName, u64)>,
    /// Joining VMs that answered a probe.
    pub probed: BTreeSet<VmName>,
    /// Demand over time.
    pub demand: DemandTracker,
    /// Now, by this member's clock.
    pub now: ClockTime,
}

/// How every pool's VMs stand.
type PoolCounts = BTreeMap<PoolName, PoolCount>;

/// How one pool's VMs stand.
fn count_of(counts: &PoolCounts, pool: &PoolName) -> PoolCount {
    counts.get(pool).copied().unwrap_or_default()
}

/// One upstream VM as the VM list shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmListing {
    /// Where it stands.
    pub details: VmDetails,
    /// Whether it is live or leaving.
    pub status: ListedStatus,
}

/// The steps that are due now, those that free capacity first.
///
/// ```
/// use jacinthhoist_core::{plan, FoldState, PlanInput};
/// assert!(plan(&FoldState::default(), &PlanInput::default()).is_empty());
/// ```
pub fn plan(state: &FoldState, input: &PlanInput) -> Vec<Step> {
    let mut steps = Vec::new();
    let counts = &state.fleet().counts();
    observe::members(input, &mut steps);
    observe::sights(state, counts, input, &mut steps);
    for vm in state.fleet().vms() {
        steps.extend(advance(vm, input));
    }
    maintain::undrain_aborted(state, &mut steps);
    maintain::drain_waves(state, counts, &mut steps);
    maintain::drain_due(state, counts, &mut steps);
    moves::fill(state, counts, &mut steps);
    moves::follow_demand(state, counts, input, &mut steps);
    steps
}

/// The next move of a VM that is on its way.
fn advance(vm: &AnyVm, input: &PlanInput) -> Option<Step> {
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

/// The newest boot count known, from the fold or from a sight that is proposed in the same record.
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
