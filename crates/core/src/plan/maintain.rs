//! Maintenance waves, and maintenance that is due by age.

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

/// Milliseconds in a day.
const DAY_MS: u64 = 86_400_000;
/// Percent of the maintenance interval after which a VM is due, so that none is ever overdue.
const DUE_PERCENT: u64 = 80;

/// How far a wave has come.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// VMs serviced.
    pub done: usize,
    /// VMs on their way.
    pub out: usize,
    /// VMs to come.
    pub left: usize,
    /// What it waits for, where it makes no progress.
    pub waits_for: Option<String>,
}

/// How far a wave has come, from the agreed state.
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

fn waits_for(state: &FoldState, wave: &WaveEntry, progress: &WaveProgress) -> Option<String> {
    if progress.left == 0 && progress.out == 0 {
        return None;
    }
    if wave.state != WaveState::Running {
        return Some("the operator: the wave is not running".to_owned());
    }
    let lost = state
        .fleet()
        .vms()
        .find(|vm| wave.pools.contains(vm.pool()) && is_lost(vm));
    if let Some(vm) = lost {
        return Some(format!("VM {}, which is missing", vm.identity().vm));
    }
    let draining = state.fleet().vms().find_map(|vm| match vm {
        AnyVm::Draining(draining) if wave.pools.contains(&draining.phase.pool) => Some(draining),
        _ => None,
    });
    if let Some(draining) = draining {
        let confirmed = &draining.phase.confirmed;
        let open = state.members().live().find(|record| {
            !confirmed
                .iter()
                .any(|(member, _)| *member == record.join.member)
        });
        let member = open.map_or("its members".to_owned(), |record| {
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

fn is_lost(vm: &AnyVm) -> bool {
    vm.identity().status == ListedStatus::Missing && !matches!(vm, AnyVm::Rebooting(_))
}

/// VMs still draining for an aborted wave go back to serving.
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

/// The next VMs of each running wave.
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

/// The next VMs that are due by age.
pub(super) fn drain_due(state: &FoldState, counts: &PoolCounts, steps: &mut Vec<Step>) {
    let days = u64::from(state.catalogue().policy().maintenance_days);
    if days == 0 {
        return;
    }
    let interval = ClockTime::from_millis(days * DAY_MS * DUE_PERCENT / 100);
    let now = state.members().clock();
    let due = |vm: &AnyVm| vm.identity().serviced_at + interval < now;
    let overdue = state.fleet().vms().filter(|vm| due(vm));
    let pools: BTreeSet<&PoolName> = overdue.map(AnyVm::pool).collect();
    for pool in pools {
        drain_pool(state, counts, pool, None, due, steps);
    }
}

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
    let members: Vec<&AnyVm> = state.fleet().vms().filter(|vm| vm.pool() == pool).collect();
    if members.iter().any(|vm| is_lost(vm)) {
        return;
    }
    let mut serving: Vec<&AnyVm> = members
        .iter()
        .copied()
        .filter(|vm| vm.is_available() && due(vm))
        .collect();
    let Some(home) = domain(&members, &serving) else {
        return;
    };
    serving.retain(|vm| vm.identity().details.data_centre == home);
    serving.sort_by_key(|vm| &vm.identity().details.rack);
    let room = room(count_of(counts, pool), entry, &state.catalogue().policy());
    for vm in serving.into_iter().take(room) {
        let identity = vm.identity();
        steps.push(Step::Drain {
            vm: identity.vm.clone(),
            purpose: DrainPurpose::Reboot(wave.cloned()),
            based_on: identity.revision,
        });
    }
}

/// The data centre in maintenance, or else the one with the most VMs to come.
fn domain(members: &[&AnyVm], due: &[&AnyVm]) -> Option<DataCentre> {
    let centre = |vm: &&AnyVm| vm.identity().details.data_centre.clone();
    if let Some(vm) = members.iter().find(|vm| vm.in_maintenance()) {
        return Some(centre(vm));
    }
    let mut counts: BTreeMap<DataCentre, usize> = BTreeMap::new();
    for vm in due {
        *counts.entry(centre(vm)).or_default() += 1;
    }
    counts
        .into_iter()
        .max_by_key(|(_, count)| *count)
        .map(|(centre, _)| centre)
}

/// VMs that may be drained now: the budget, or less of it where roll-out time weighs little.
fn room(count: PoolCount, entry: &PoolEntry, policy: &PolicyEntry) -> usize {
    let maximum = entry.max_unavailable as usize;
    let weighed = match policy.rollout_weight >= policy.flood_weight {
        true => maximum,
        false => {
            (maximum * policy.rollout_weight as usize / policy.flood_weight.max(1) as usize).max(1)
        }
    };
    let left = count.available.saturating_sub(entry.min_available as usize);
    weighed.saturating_sub(count.unavailable()).min(left)
}
