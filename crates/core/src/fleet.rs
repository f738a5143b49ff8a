//! Replicated fleet state: assigns each VM to exactly one pool.
//!
//! Availability budgets are checked when a step is applied, at the step's log offset.

use std::collections::BTreeMap;

use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ensure};

use crate::{
    catalogue::{CatalogueState, PoolEntry},
    clock::ClockTime,
    error::{
        BudgetDomainSnafu, BudgetMaximumSnafu, BudgetMinimumSnafu, UnknownPoolSnafu,
        UnknownVmSnafu, WrongPhaseSnafu,
    },
    member::MemberTable,
    name::{MemberName, PoolName, VmName},
    pairs,
    record::{Offset, VmDetails},
    vm::{AnyVm, DrainPurpose, ListedStatus, Vm},
};

/// Result of applying a fleet step.
pub(crate) type Result<T, E = crate::error::Error> = std::result::Result<T, E>;

/// Number of a pool's VMs in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolCount {
    /// VMs that belong to the pool.
    pub vms: usize,
    /// VMs that are serving and listed as live.
    pub available: usize,
    /// VMs that are out of service for maintenance.
    pub maintenance: usize,
    /// VMs of other pools that are moving to this one.
    pub arriving: usize,
    /// VMs of this pool that are moving to another.
    pub departing: usize,
}

impl PoolCount {
    /// Returns the number of the pool's VMs that are not available.
    pub fn unavailable(&self) -> usize {
        self.vms - self.available
    }

    /// Returns the size of the pool after all pending moves.
    pub fn size_after_moves(&self) -> usize {
        self.vms + self.arriving - self.departing
    }
}

/// All VMs of the fleet by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    #[serde(with = "pairs")]
    vms: OrdMap<VmName, AnyVm>,
}

impl FleetState {
    /// Iterates over all VMs in order of name.
    pub fn vms(&self) -> impl Iterator<Item = &AnyVm> {
        self.vms.values()
    }

    /// Looks up a VM by name.
    pub fn vm(&self, vm: &VmName) -> Option<&AnyVm> {
        self.vms.get(vm)
    }

    /// Counts the VMs of one pool.
    pub fn count(&self, pool: &PoolName) -> PoolCount {
        self.counts().remove(pool).unwrap_or_default()
    }

    /// Counts the VMs of every pool in one pass over the fleet.
    pub fn counts(&self) -> BTreeMap<PoolName, PoolCount> {
        let mut counts: BTreeMap<PoolName, PoolCount> = BTreeMap::new();
        for vm in self.vms.values() {
            if let Some(target) = vm.target() {
                counts.entry(target.clone()).or_default().arriving += 1;
            }
            let count = counts.entry(vm.pool().clone()).or_default();
            count.vms += 1;
            count.available += usize::from(vm.is_available());
            count.maintenance += usize::from(vm.in_maintenance());
            count.departing += usize::from(vm.target().is_some());
        }
        counts
    }

    pub(crate) fn adopt(
        &mut self,
        offset: Offset,
        at: ClockTime,
        vm: &VmName,
        details: &VmDetails,
        pool: &PoolName,
    ) -> Result<()> {
        if let Some(current) = self.vms.get(vm) {
            return current.wrong_phase();
        }
        let joining = Vm::adopt(offset, at, vm.clone(), details.clone(), pool.clone());
        self.vms.insert(vm.clone(), AnyVm::Joining(joining));
        Ok(())
    }

    pub(crate) fn update_status(
        &mut self,
        vm: &VmName,
        status: ListedStatus,
        boot: u64,
    ) -> Result<()> {
        let current = self
            .vms
            .get_mut(vm)
            .with_context(|| UnknownVmSnafu { vm: vm.clone() })?;
        let identity = current.identity_mut();
        identity.status = status;
        identity.details.boot = identity.details.boot.max(boot);
        Ok(())
    }

    pub(crate) fn drain(
        &mut self,
        offset: Offset,
        catalogue: &CatalogueState,
        vm: &VmName,
        purpose: &DrainPurpose,
        based_on: Offset,
    ) -> Result<()> {
        let AnyVm::Serving(serving) = self.vm_at(vm, based_on)? else {
            return self.vm_at(vm, based_on)?.wrong_phase();
        };
        let pool = &serving.phase.pool;
        let entry = catalogue
            .pool(pool)
            .with_context(|| UnknownPoolSnafu { pool: pool.clone() })?;
        if let DrainPurpose::Move(target) = purpose {
            let is_valid = target != pool && catalogue.pool(target).is_some();
            ensure!(
                is_valid,
                UnknownPoolSnafu {
                    pool: target.clone()
                }
            );
        }
        self.check_budget(pool, entry, serving, purpose)?;
        let draining = serving.clone().drain(offset, purpose.clone());
        self.vms.insert(vm.clone(), AnyVm::Draining(draining));
        Ok(())
    }

    /// Checks that the pool's availability budget allows one more VM to stop serving.
    fn check_budget(
        &self,
        pool: &PoolName,
        entry: &PoolEntry,
        serving: &Vm<crate::vm::Serving>,
        purpose: &DrainPurpose,
    ) -> Result<()> {
        let count = self.count(pool);
        // A VM that is not listed as live does not count as available, so draining it costs no
        // budget.
        let minimum = entry.min_available as usize;
        let remaining =
            count.available - usize::from(serving.identity.status == ListedStatus::Live);
        let keeps_minimum = remaining >= minimum || serving.identity.status != ListedStatus::Live;
        ensure!(
            keeps_minimum,
            BudgetMinimumSnafu {
                pool: pool.clone(),
                available: count.available,
                minimum
            }
        );
        let maximum = entry.max_unavailable as usize;
        let unavailable = count.unavailable();
        let below_maximum = unavailable < maximum || serving.identity.status != ListedStatus::Live;
        ensure!(
            below_maximum,
            BudgetMaximumSnafu {
                pool: pool.clone(),
                unavailable,
                maximum
            }
        );
        if matches!(purpose, DrainPurpose::Reboot(_)) {
            let data_centre = &serving.identity.details.data_centre;
            let in_other_domain = |vm: &&AnyVm| {
                vm.pool() == pool
                    && vm.in_maintenance()
                    && vm.identity().details.data_centre != *data_centre
            };
            let is_only_domain = self.vms.values().find(in_other_domain).is_none();
            ensure!(is_only_domain, BudgetDomainSnafu { pool: pool.clone() });
        }
        Ok(())
    }

    pub(crate) fn confirm(
        &mut self,
        vm: &VmName,
        drain: Offset,
        member: &MemberName,
        nonce: u64,
    ) -> Result<()> {
        let current = self
            .vms
            .get_mut(vm)
            .with_context(|| UnknownVmSnafu { vm: vm.clone() })?;
        let AnyVm::Draining(draining) = current else {
            return current.wrong_phase();
        };
        if draining.phase.drain != drain {
            return current.wrong_phase();
        }
        let pair = (member.clone(), nonce);
        if !draining.phase.confirmed.contains(&pair) {
            draining.phase.confirmed.push(pair);
        }
        Ok(())
    }

    /// Detaches each draining VM whose drain every live member has confirmed.
    pub(crate) fn detach_confirmed(&mut self, offset: Offset, members: &MemberTable) {
        let mut detached_vms = Vec::new();
        for vm in self.vms.values() {
            let AnyVm::Draining(draining) = vm else {
                continue;
            };
            let confirmed = &draining.phase.confirmed;
            let all_confirmed = members.live().all(|record| {
                confirmed.iter().any(|(member, nonce)| {
                    *member == record.join.member && *nonce == record.join.nonce
                })
            });
            if all_confirmed && members.live().next().is_some() {
                detached_vms.push(draining.clone().detach(offset));
            }
        }
        for detached in detached_vms {
            let vm = detached.identity.vm.clone();
            self.vms.insert(vm, AnyVm::Detached(detached));
        }
    }

    pub(crate) fn undrain(&mut self, offset: Offset, vm: &VmName, based_on: Offset) -> Result<()> {
        self.transition(vm, based_on, |current| match current {
            AnyVm::Draining(draining) => Ok(AnyVm::Serving(draining.undrain(offset))),
            other => other.wrong_phase(),
        })
    }

    pub(crate) fn reboot(&mut self, offset: Offset, vm: &VmName, based_on: Offset) -> Result<()> {
        self.transition(vm, based_on, |current| match current {
            AnyVm::Detached(detached) => match detached.phase.purpose.clone() {
                DrainPurpose::Reboot(wave) => Ok(AnyVm::Rebooting(detached.reboot(offset, wave))),
                DrainPurpose::Move(_) => AnyVm::Detached(detached).wrong_phase(),
            },
            other => other.wrong_phase(),
        })
    }

    pub(crate) fn rejoin(
        &mut self,
        offset: Offset,
        at: ClockTime,
        vm: &VmName,
        based_on: Offset,
    ) -> Result<()> {
        self.transition(vm, based_on, |current| match current {
            AnyVm::Detached(detached) => match detached.phase.purpose.clone() {
                DrainPurpose::Move(pool) => Ok(AnyVm::Joining(detached.attach(offset, pool))),
                DrainPurpose::Reboot(_) => AnyVm::Detached(detached).wrong_phase(),
            },
            AnyVm::Rebooting(rebooting)
                if rebooting.identity.details.boot > rebooting.phase.old_boot =>
            {
                Ok(AnyVm::Joining(rebooting.finish_reboot(offset, at)))
            }
            other => other.wrong_phase(),
        })
    }

    pub(crate) fn serve(&mut self, offset: Offset, vm: &VmName, based_on: Offset) -> Result<()> {
        self.transition(vm, based_on, |current| match current {
            AnyVm::Joining(joining) => Ok(AnyVm::Serving(joining.serve(offset))),
            other => other.wrong_phase(),
        })
    }

    pub(crate) fn forget(&mut self, vm: &VmName, based_on: Offset) -> Result<()> {
        let current = self.vm_at(vm, based_on)?;
        if current.identity().status != ListedStatus::Missing {
            return current.wrong_phase();
        }
        self.vms.remove(vm);
        Ok(())
    }

    /// Looks up a VM and checks that it is unchanged since the revision a step was based on.
    fn vm_at(&self, vm: &VmName, based_on: Offset) -> Result<&AnyVm> {
        let current = self
            .vms
            .get(vm)
            .with_context(|| UnknownVmSnafu { vm: vm.clone() })?;
        let phase = current.phase();
        ensure!(
            current.identity().revision == based_on,
            WrongPhaseSnafu {
                vm: vm.clone(),
                phase
            }
        );
        Ok(current)
    }

    fn transition(
        &mut self,
        vm: &VmName,
        based_on: Offset,
        transition: impl FnOnce(AnyVm) -> Result<AnyVm>,
    ) -> Result<()> {
        let next = transition(self.vm_at(vm, based_on)?.clone())?;
        self.vms.insert(vm.clone(), next);
        Ok(())
    }
}
