//! What must hold of a world.

use super::*;

impl World {
    pub(super) fn note_state(&mut self, place: usize) {
        let member = &self.members[place];
        let seen = self
            .revisions
            .entry((member.name.clone(), member.nonce))
            .or_default();
        for (id, slot, _) in member.state.catalogue().entries() {
            let before = seen.insert(id.clone(), slot.revision);
            if before > Some(slot.revision) {
                self.broken = Some(format!("{id} reverted at {}", member.name));
            }
        }
    }

    /// A step may lower a pool's availability only down to its budget.
    pub(super) fn check_budgets(&mut self, before: &FoldState) {
        for (pool, entry) in self.truth.catalogue().pools() {
            let was = before.fleet().count(&pool);
            let count = self.truth.fleet().count(&pool);
            let taken = self.unasked.iter().filter(|vm| {
                self.truth
                    .fleet()
                    .vm(vm)
                    .is_some_and(|vm| vm.is_available() && *vm.pool() == pool)
            });
            let available = count.available - taken.count();
            let drained = count.vms == was.vms && available < was.available;
            let lost = self.listed_lost(&pool);
            if drained && lost == 0 && available < entry.min_available as usize {
                self.broken = Some(format!("budget of {pool}: {available} available"));
            }
        }
    }

    pub(super) fn listed_lost(&self, pool: &PoolName) -> usize {
        let vms = self.truth.fleet().vms().filter(|vm| vm.pool() == pool);
        vms.filter(|vm| vm.identity().status != ListedStatus::Live)
            .count()
    }

    /// What must hold after every step.
    pub(crate) fn check(&self) -> Result<(), String> {
        if let Some(broken) = &self.broken {
            return Err(broken.clone());
        }
        self.check_pools()?;
        self.check_runs()?;
        for member in &self.members {
            if member.appended > STORM_FACTOR * (member.needed + 2) {
                return Err(format!(
                    "append storm of {}: {} appends",
                    member.name, member.appended
                ));
            }
            let known = member
                .state
                .folded()
                .and_then(|offset| self.by_offset.get(&offset));
            if known.is_some_and(|known| *known != member.state) {
                return Err(format!("states at {:?} differ", member.state.folded()));
            }
        }
        Ok(())
    }

    /// A VM runs work of one pool at a time, as every member acts.
    pub(super) fn check_pools(&self) -> Result<(), String> {
        let mut pools: BTreeMap<&VmName, &PoolName> = BTreeMap::new();
        for (vm, pool) in self.members.iter().flat_map(|member| &member.held) {
            let other = pools.insert(vm, pool);
            if other.is_some_and(|other| other != pool) {
                return Err(format!("{vm} runs work of two pools"));
            }
        }
        Ok(())
    }

    pub(super) fn check_runs(&self) -> Result<(), String> {
        match self.runs.iter().find(|(_, count)| **count > 1) {
            Some((key, _)) => Err(format!("{key:?} ran twice")),
            None => Ok(()),
        }
    }

    /// After everything was read: all members hold the same state, with every accepted change.
    pub(crate) fn check_converged(&self) -> Result<(), String> {
        for member in &self.members {
            if member.state != self.truth {
                return Err(format!("{} and the truth differ", member.name));
            }
        }
        for (entry, offset) in &self.accepted {
            let slot = self.truth.catalogue().record(entry);
            if slot.is_none_or(|slot| slot.revision < *offset) {
                return Err(format!("{entry} reverted"));
            }
        }
        Ok(())
    }
}
