//! Invariants of the simulation.

use super::*;

impl ClusterSimulation {
    /// Checks that no catalogue entry of a running member goes back to an older revision.
    pub(super) fn check_revisions(&mut self, index: usize) {
        let member = &self.members[index];
        let revisions = self
            .revisions
            .entry((member.name.clone(), member.nonce))
            .or_default();
        for (id, record, _) in member.state.catalogue().entries() {
            let previous = revisions.insert(id.clone(), record.revision);
            if previous > Some(record.revision) {
                self.violation = Some(format!("{id} reverted at {}", member.name));
            }
        }
    }

    /// Checks that no step lowers a pool's availability below its budget.
    pub(super) fn check_budgets(&mut self, before: &FoldState) {
        for (pool, entry) in self.reference.catalogue().pools() {
            let previous = before.fleet().count(&pool);
            let count = self.reference.fleet().count(&pool);
            let wrongly_drained = self.wrongly_drained.iter().filter(|vm| {
                self.reference
                    .fleet()
                    .vm(vm)
                    .is_some_and(|vm| vm.is_available() && *vm.pool() == pool)
            });
            let available = count.available - wrongly_drained.count();
            let is_lowered = count.vms == previous.vms && available < previous.available;
            let not_live = self.count_not_live(&pool);
            if is_lowered && not_live == 0 && available < entry.min_available as usize {
                self.violation = Some(format!("budget of {pool}: {available} available"));
            }
        }
    }

    pub(super) fn count_not_live(&self, pool: &PoolName) -> usize {
        let vms = self.reference.fleet().vms().filter(|vm| vm.pool() == pool);
        vms.filter(|vm| vm.identity().status != ListedStatus::Live)
            .count()
    }

    /// Checks the invariants that hold after every step.
    pub(crate) fn check_invariants(&self) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        self.check_pools()?;
        self.check_runs()?;
        for member in &self.members {
            if member.append_count > MAX_APPENDS_PER_RECORD * (member.record_count + 2) {
                return Err(format!(
                    "append storm of {}: {} appends",
                    member.name, member.append_count
                ));
            }
            let expected = member
                .state
                .folded()
                .and_then(|offset| self.states_by_offset.get(&offset));
            if expected.is_some_and(|expected| *expected != member.state) {
                return Err(format!(
                    "states at offset {:?} differ",
                    member.state.folded()
                ));
            }
        }
        Ok(())
    }

    /// Checks that each VM has work of only one pool in flight, over all members.
    pub(super) fn check_pools(&self) -> Result<(), String> {
        let mut pools: BTreeMap<&VmName, &PoolName> = BTreeMap::new();
        for (vm, pool) in self.members.iter().flat_map(|member| &member.in_flight) {
            let other = pools.insert(vm, pool);
            if other.is_some_and(|other| other != pool) {
                return Err(format!("{vm} runs work of two pools"));
            }
        }
        Ok(())
    }

    /// Checks that no claimed request was dispatched twice.
    pub(super) fn check_runs(&self) -> Result<(), String> {
        match self.runs.iter().find(|(_, count)| **count > 1) {
            Some((key, _)) => Err(format!("{key:?} ran twice")),
            None => Ok(()),
        }
    }

    /// Checks that all members have the same state, with every accepted edit, after reading the
    /// whole log.
    pub(crate) fn check_converged(&self) -> Result<(), String> {
        for member in &self.members {
            if member.state != self.reference {
                return Err(format!(
                    "state of {} and the reference state differ",
                    member.name
                ));
            }
        }
        for (entry, offset) in &self.accepted_edits {
            let record = self.reference.catalogue().record(entry);
            if record.is_none_or(|record| record.revision < *offset) {
                return Err(format!("{entry} reverted"));
            }
        }
        Ok(())
    }
}
