//! Maintenance waves, and periodic maintenance.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{PoolCounts, count_of};
use crate::{
    catalogue::{PolicyEntry, PoolEntry, WaveEntry, WaveState},
    clock::ClockTime,
    fleet::PoolCount,
    fold::FoldState,
    name::{DataCentre, EntryName, PoolName},
    record::Step,
    vm::{AnyVm, DrainPurpose, ListedStatus},
};

const DAY_MS: u64 = 86_400_000;
/// Percentage of the maintenance interval after which maintenance starts, so that it is completed
/// before the interval ends.
const DUE_AGE_PERCENT: u64 = 80;

/// Progress of a maintenance wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// Number of VMs serviced.
    pub done: usize,
    /// Number of VMs out of service for maintenance.
    pub out: usize,
    /// Number of VMs still to be serviced.
    pub left: usize,
    /// Condition that the wave is waiting for, if it is not complete.
    pub waits_for: Option<String>,
}

/// Computes a wave's progress from the replicated state.
pub fn wave_progress(state: &FoldState, name: &EntryName, wave: &WaveEntry) -> WaveProgress {
    let mut progress = WaveProgress::default();
    for vm in state
        .fleet()
        .vms()
        .filter(|vm| wave.pools.contains(vm.pool()))
    {
        let done = vm.identity().serviced_by.as_ref() == Some(name);
        progress.done += usize::from(done);
        progress.out += usize::from(!done && vm.in_maintenance());
        progress.left += usize::from(!done && !vm.in_maintenance());
    }
    progress.waits_for = waits_for(state, wave, &progress);
    progress
}

/// Describes the condition that a wave is waiting for.
fn waits_for(state: &FoldState, wave: &WaveEntry, progress: &WaveProgress) -> Option<String> {
    if progress.left == 0 && progress.out == 0 {
        return None;
    }
    if wave.state != WaveState::Running {
        return Some("the operator: the wave is not running".to_owned());
    }
    let missing = state
        .fleet()
        .vms()
        .find(|vm| wave.pools.contains(vm.pool()) && is_missing(vm));
    if let Some(vm) = missing {
        return Some(format!("VM {}, which is missing", vm.identity().vm));
    }
    let draining = state.fleet().vms().find_map(|vm| match vm {
        AnyVm::Draining(draining) if wave.pools.contains(&draining.phase.pool) => Some(draining),
        _ => None,
    });
    if let Some(draining) = draining {
        let confirmed = &draining.phase.confirmed;
        let unconfirmed = state.members().live().find(|record| {
            !confirmed
                .iter()
                .any(|(member, _)| *member == record.join.member)
        });
        let member = unconfirmed.map_or("its members".to_owned(), |record| {
            record.join.member.to_string()
        });
        return Some(format!(
            "{member} to finish its work on {}",
            draining.identity.vm
        ));
    }
    match progress.out {
        0 => Some("the pools' budgets".to_owned()),
        out => Some(format!("{out} VMs to come back")),
    }
}

/// Returns true if the VM is missing from the VM list for a reason other than a reboot.
fn is_missing(vm: &AnyVm) -> bool {
    vm.identity().status == ListedStatus::Missing && !matches!(vm, AnyVm::Rebooting(_))
}

/// Cancels the drain of VMs that are still draining for an aborted wave.
pub(super) fn undrain_aborted(state: &FoldState, steps: &mut Vec<Step>) {
    for vm in state.fleet().vms() {
        let AnyVm::Draining(draining) = vm else {
            continue;
        };
        let DrainPurpose::Reboot(Some(wave)) = &draining.phase.purpose else {
            continue;
        };
        let aborted = |(name, entry): (&EntryName, &WaveEntry)| {
            name == wave && entry.state == WaveState::Aborted
        };
        if state.catalogue().waves().any(aborted) {
            let identity = &draining.identity;
            steps.push(Step::Undrain {
                vm: identity.vm.clone(),
                based_on: identity.revision,
            });
        }
    }
}

/// Drains the next VMs of each running wave.
pub(super) fn drain_waves(state: &FoldState, counts: &PoolCounts, steps: &mut Vec<Step>) {
    for (name, wave) in state.catalogue().waves() {
        if wave.state != WaveState::Running {
            continue;
        }
        for pool in &wave.pools {
            let due = |vm: &AnyVm| vm.identity().serviced_by.as_ref() != Some(name);
            drain_pool(state, counts, pool, Some(name), due, steps);
        }
    }
}

/// Drains the next VMs whose periodic maintenance is due.
pub(super) fn drain_due(state: &FoldState, counts: &PoolCounts, steps: &mut Vec<Step>) {
    let days = u64::from(state.catalogue().policy().maintenance_days);
    if days == 0 {
        return;
    }
    let interval = ClockTime::from_millis(days * DAY_MS * DUE_AGE_PERCENT / 100);
    let now = state.members().clock();
    let due = |vm: &AnyVm| vm.identity().serviced_at + interval < now;
    let due_vms = state.fleet().vms().filter(|vm| due(vm));
    let pools: BTreeSet<&PoolName> = due_vms.map(AnyVm::pool).collect();
    for pool in pools {
        drain_pool(state, counts, pool, None, due, steps);
    }
}

/// Drains as many due VMs of a pool as its budget allows, in one data centre and rack by rack.
///
/// Drains nothing while a VM of the pool is missing.
fn drain_pool(
    state: &FoldState,
    counts: &PoolCounts,
    pool: &PoolName,
    wave: Option<&EntryName>,
    due: impl Fn(&AnyVm) -> bool,
    steps: &mut Vec<Step>,
) {
    let Some(entry) = state.catalogue().pool(pool) else {
        return;
    };
    let pool_vms: Vec<&AnyVm> = state.fleet().vms().filter(|vm| vm.pool() == pool).collect();
    if pool_vms.iter().any(|vm| is_missing(vm)) {
        return;
    }
    let mut candidates: Vec<&AnyVm> = pool_vms
        .iter()
        .copied()
        .filter(|vm| vm.is_available() && due(vm))
        .collect();
    let Some(data_centre) = maintenance_domain(&pool_vms, &candidates) else {
        return;
    };
    candidates.retain(|vm| vm.identity().details.data_centre == data_centre);
    candidates.sort_by_key(|vm| &vm.identity().details.rack);
    let allowance = drain_allowance(count_of(counts, pool), entry, &state.catalogue().policy());
    for vm in candidates.into_iter().take(allowance) {
        let identity = vm.identity();
        steps.push(Step::Drain {
            vm: identity.vm.clone(),
            purpose: DrainPurpose::Reboot(wave.cloned()),
            based_on: identity.revision,
        });
    }
}

/// Returns the data centre in maintenance or, if there is none, the one with the most due VMs.
fn maintenance_domain(pool_vms: &[&AnyVm], due: &[&AnyVm]) -> Option<DataCentre> {
    let data_centre = |vm: &&AnyVm| vm.identity().details.data_centre.clone();
    if let Some(vm) = pool_vms.iter().find(|vm| vm.in_maintenance()) {
        return Some(data_centre(vm));
    }
    let mut counts: BTreeMap<DataCentre, usize> = BTreeMap::new();
    for vm in due {
        *counts.entry(data_centre(vm)).or_default() += 1;
    }
    counts
        .into_iter()
        .max_by_key(|(_, count)| *count)
        .map(|(data_centre, _)| data_centre)
}

/// Returns the number of VMs that may be drained now.
///
/// This is the remainder of the pool's budget. Its upper bound is scaled down if the policy gives
/// roll-out time a lower weight than overload.
fn drain_allowance(count: PoolCount, entry: &PoolEntry, policy: &PolicyEntry) -> usize {
    let maximum = entry.max_unavailable as usize;
    let limit = match policy.rollout_weight >= policy.flood_weight {
        true => maximum,
        false => {
            (maximum * policy.rollout_weight as usize / policy.flood_weight.max(1) as usize).max(1)
        }
    };
    let above_minimum = count.available.saturating_sub(entry.min_available as usize);
    limit.saturating_sub(count.unavailable()).min(above_minimum)
}
