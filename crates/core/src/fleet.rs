//! The fleet as folded: each VM in exactly one pool, budgets checked at the step's offset.

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

/// The result of a fleet step.
pub(crate) type Result<T, E = crate::error::Error> = std::result::Result<T, E>;

/// How a pool's VMs stand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolCount {
    /// VMs that belong to the pool.
    pub vms: usize,
    /// Those that serve and are listed as live.
    pub available: usize,
    /// Those that are out for maintenance.
    pub maintenance: usize,
    /// VMs of other pools on their way to this one.
    pub arriving: usize,
    /// VMs of this pool on their way to another.
    pub departing: usize,
}

impl PoolCount {
    /// VMs that belong to the pool and do not serve.
    pub fn unavailable(&self) -> usize {
        self.vms - self.available
    }

    /// VMs the pool has once all moves are through.
    pub fn settled(&self) -> usize {
        self.vms + self.arriving - self.departing
    }
}

/// All VMs, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    #[serde(with = "pairs")]
    vms: OrdMap<VmName, AnyVm>,
}

impl FleetState {
    /// All VMs in order of name.
    pub fn vms(&self) -> impl Iterator<Item = &AnyVm> {
        self.vms.values()
    }

    /// A VM by name.
    pub fn vm(&self, vm: &VmName) -> Option<&AnyVm> {
        self.vms.get(vm)
    }

    /// How a pool's VMs stand.
    pub fn count(&self, pool: &PoolName) -> PoolCount {
        self.counts().remove(pool).unwrap_or_default()
    }

    /// How every pool's VMs stand, in one pass over the fleet.
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
        if let Some(known) = self.vms.get(vm) {
            return known.wrong_phase();
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
        let known = self
            .vms
            .get_mut(vm)
            .with_context(|| UnknownVmSnafu { vm: vm.clone() })?;
        let identity = known.identity_mut();
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
        let AnyVm::Serving(serving) = self.at(vm, based_on)? else {
            return self.at(vm, based_on)?.wrong_phase();
        };
        let pool = &serving.phase.pool;
        let entry = catalogue
            .pool(pool)
            .with_context(|| UnknownPoolSnafu { pool: pool.clone() })?;
        if let DrainPurpose::Move(target) = purpose {
            let known = target != pool && catalogue.pool(target).is_some();
            ensure!(
                known,
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

    /// Whether one more VM of a pool may stop serving.
    fn check_budget(
        &self,
        pool: &PoolName,
        entry: &PoolEntry,
        serving: &Vm<crate::vm::Serving>,
        purpose: &DrainPurpose,
    ) -> Result<()> {
        let count = self.count(pool);
        let minimum = entry.min_available as usize;
        let left = count.available - usize::from(serving.identity.status == ListedStatus::Live);
        let spare = left >= minimum || serving.identity.status != ListedStatus::Live;
        ensure!(
            spare,
            BudgetMinimumSnafu {
                pool: pool.clone(),
                available: count.available,
                minimum
            }
        );
        let maximum = entry.max_unavailable as usize;
        let unavailable = count.unavailable();
        let room = unavailable < maximum || serving.identity.status != ListedStatus::Live;
        ensure!(
            room,
            BudgetMaximumSnafu {
                pool: pool.clone(),
                unavailable,
                maximum
            }
        );
        if matches!(purpose, DrainPurpose::Reboot(_)) {
            let home = &serving.identity.details.data_centre;
            let elsewhere = |vm: &&AnyVm| {
                vm.pool() == pool
                    && vm.in_maintenance()
                    && vm.identity().details.data_centre != *home
            };
            let apart = self.vms.values().find(elsewhere).is_none();
            ensure!(apart, BudgetDomainSnafu { pool: pool.clone() });
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
        let known = self
            .vms
            .get_mut(vm)
            .with_context(|| UnknownVmSnafu { vm: vm.clone() })?;
        let AnyVm::Draining(draining) = known else {
            return known.wrong_phase();
        };
        if draining.phase.drain != drain {
            return known.wrong_phase();
        }
        let pair = (member.clone(), nonce);
        if !draining.phase.confirmed.contains(&pair) {
            draining.phase.confirmed.push(pair);
        }
        Ok(())
    }

    /// Detaches each draining VM that every live member has confirmed.
    pub(crate) fn detach_confirmed(&mut self, offset: Offset, members: &MemberTable) {
        let mut ready = Vec::new();
        for vm in self.vms.values() {
            let AnyVm::Draining(draining) = vm else {
                continue;
            };
            let confirmed = &draining.phase.confirmed;
            let all = members.live().all(|record| {
                confirmed.iter().any(|(member, nonce)| {
                    *member == record.join.member && *nonce == record.join.nonce
                })
            });
            if all && members.live().next().is_some() {
                ready.push(draining.clone().detach(offset));
            }
        }
        for detached in ready {
            let vm = detached.identity.vm.clone();
            self.vms.insert(vm, AnyVm::Detached(detached));
        }
    }

    pub(crate) fn undrain(&mut self, offset: Offset, vm: &VmName, based_on: Offset) -> Result<()> {
        self.turn(vm, based_on, |known| match known {
            AnyVm::Draining(draining) => Ok(AnyVm::Serving(draining.undrain(offset))),
            other => other.wrong_phase(),
        })
    }

    pub(crate) fn reboot(&mut self, offset: Offset, vm: &VmName, based_on: Offset) -> Result<()> {
        self.turn(vm, based_on, |known| match known {
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
        self.turn(vm, based_on, |known| match known {
            AnyVm::Detached(detached) => match detached.phase.purpose.clone() {
                DrainPurpose::Move(pool) => Ok(AnyVm::Joining(detached.attach(offset, pool))),
                DrainPurpose::Reboot(_) => AnyVm::Detached(detached).wrong_phase(),
            },
            AnyVm::Rebooting(rebooting)
                if rebooting.identity.details.boot > rebooting.phase.old_boot =>
            {
                Ok(AnyVm::Joining(rebooting.back(offset, at)))
            }
            other => other.wrong_phase(),
        })
    }

    pub(crate) fn serve(&mut self, offset: Offset, vm: &VmName, based_on: Offset) -> Result<()> {
        self.turn(vm, based_on, |known| match known {
            AnyVm::Joining(joining) => Ok(AnyVm::Serving(joining.serve(offset))),
            other => other.wrong_phase(),
        })
    }

    pub(crate) fn forget(&mut self, vm: &VmName, based_on: Offset) -> Result<()> {
        let known = self.at(vm, based_on)?;
        if known.identity().status != ListedStatus::Missing {
            return known.wrong_phase();
        }
        self.vms.remove(vm);
        Ok(())
    }

    fn at(&self, vm: &VmName, based_on: Offset) -> Result<&AnyVm> {
        let known = self
            .vms
            .get(vm)
            .with_context(|| UnknownVmSnafu { vm: vm.clone() })?;
        let phase = known.phase();
        ensure!(
            known.identity().revision == based_on,
            WrongPhaseSnafu {
                vm: vm.clone(),
                phase
            }
        );
        Ok(known)
    }

    fn turn(
        &mut self,
        vm: &VmName,
        based_on: Offset,
        turn: impl FnOnce(AnyVm) -> Result<AnyVm>,
    ) -> Result<()> {
        let next = turn(self.at(vm, based_on)?.clone())?;
        self.vms.insert(vm.clone(), next);
        Ok(())
    }
}
