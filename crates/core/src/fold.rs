//! Deterministic application of log records to the replicated state.

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ensure};

use crate::{
    catalogue::{CatalogueChange, CatalogueState, EntryKind},
    claim::ClaimTable,
    clock::ClockTime,
    error::{EntryInvalidSnafu, UnknownPoolSnafu},
    fleet::FleetState,
    member::MemberTable,
    name::PoolName,
    record::{Offset, Record, RecordId, Step},
};

/// Result of one step.
pub(crate) type Result<T = (), E = crate::error::Error> = std::result::Result<T, E>;

/// Replicated state after a prefix of the log.
///
/// Clones share structure, so a copy for readers is cheap at any size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FoldState {
    folded: Option<Offset>,
    catalogue: CatalogueState,
    fleet: FleetState,
    members: MemberTable,
    claims: ClaimTable,
    snapshot: Option<Offset>,
    routes: Offset,
}

impl FoldState {
    /// Returns the last offset applied, if any.
    pub fn folded(&self) -> Option<Offset> {
        self.folded
    }

    /// Returns the next offset to read.
    pub fn next_offset(&self) -> Offset {
        self.folded.map_or(Offset(0), Offset::next)
    }

    /// Returns the accepted catalogue.
    pub fn catalogue(&self) -> &CatalogueState {
        &self.catalogue
    }

    /// Returns the fleet.
    pub fn fleet(&self) -> &FleetState {
        &self.fleet
    }

    /// Returns the entry members.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns the claims of idempotency keys.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// Returns the last offset covered by the newest snapshot in the log.
    pub fn snapshot(&self) -> Option<Offset> {
        self.snapshot
    }

    /// Returns the offset of the last change to state that affects request routing.
    pub fn routes_revision(&self) -> Offset {
        self.routes
    }

    /// Applies one record and returns a verdict for each of its steps.
    ///
    /// A record whose offset or id was already applied changes nothing and has no verdicts. Gaps in
    /// the offsets are allowed: the missing records expired or could not be decoded, which is the
    /// same for every member.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Vec<Result> {
        if Some(offset) <= self.folded {
            return Vec::new();
        }
        self.folded = Some(offset);
        if !self.members.accept_record(&record.id, record.at) {
            return Vec::new();
        }
        let verdicts = record
            .steps
            .iter()
            .map(|step| self.apply_step(offset, &record.id, record.at, step))
            .collect();
        let retention = ClockTime::from_secs(self.catalogue.policy().key_keep_secs);
        self.claims.expire(self.members.clock(), retention);
        verdicts
    }

    /// Advances past an offset whose record could not be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.folded = self.folded.max(Some(offset));
    }

    fn apply_step(&mut self, offset: Offset, id: &RecordId, at: ClockTime, step: &Step) -> Result {
        if let Step::Join(join) = step {
            let maximum = self.catalogue.policy().max_members as usize;
            self.members.join(offset, id, at, join, maximum)?;
            self.routes = offset;
            return Ok(());
        }
        self.members.require_live(id)?;
        match step {
            Step::Claim { .. } | Step::Release { .. } | Step::Settle { .. } => {
                self.apply_claim_step(offset, id, step)
            }
            Step::Snapshot(part) => {
                self.snapshot = self.snapshot.max(Some(part.offset));
                Ok(())
            }
            _ => {
                self.apply_control_step(offset, id, step)?;
                self.routes = offset;
                Ok(())
            }
        }
    }

    fn apply_claim_step(&mut self, offset: Offset, id: &RecordId, step: &Step) -> Result {
        let now = self.members.clock();
        match step {
            Step::Claim { key, digest } => self.claims.claim(offset, id, now, key, *digest),
            Step::Release { key, claim } => self.claims.release(id, key, *claim),
            Step::Settle { key, claim, status } => self.claims.settle(id, key, *claim, *status),
            _ => Ok(()),
        }
    }

    fn apply_control_step(&mut self, offset: Offset, id: &RecordId, step: &Step) -> Result {
        let now = self.members.clock();
        match step {
            Step::Catalogue(change) => {
                let catalogue = self.catalogue.with_change(offset, change)?;
                self.require_empty_pools(change)?;
                self.catalogue = catalogue;
            }
            Step::Leave => self.members.mark_departed(offset, &id.member, id.nonce)?,
            Step::Evict { member, nonce } => self.members.mark_departed(offset, member, *nonce)?,
            Step::Adopt { vm, details, pool } => {
                self.require_known_pool(pool)?;
                self.fleet.adopt(offset, now, vm, details, pool)?;
            }
            Step::Sight { vm, sight, boot } => self.fleet.update_status(vm, *sight, *boot)?,
            Step::Drain {
                vm,
                purpose,
                based_on,
            } => {
                self.fleet
                    .drain(offset, &self.catalogue, vm, purpose, *based_on)?;
            }
            Step::Confirm { vm, drain } => {
                self.fleet.confirm(vm, *drain, &id.member, id.nonce)?;
            }
            Step::Undrain { vm, based_on } => self.fleet.undrain(offset, vm, *based_on)?,
            Step::Reboot { vm, based_on } => self.fleet.reboot(offset, vm, *based_on)?,
            Step::Rejoin { vm, based_on } => self.fleet.rejoin(offset, now, vm, *based_on)?,
            Step::Serve { vm, based_on } => self.fleet.serve(offset, vm, *based_on)?,
            Step::Forget { vm, based_on } => self.fleet.forget(vm, *based_on)?,
            Step::Join(_)
            | Step::Claim { .. }
            | Step::Release { .. }
            | Step::Settle { .. }
            | Step::Snapshot(_) => {}
        }
        if matches!(
            step,
            Step::Confirm { .. } | Step::Leave | Step::Evict { .. }
        ) {
            self.fleet.detach_confirmed(offset, &self.members);
        }
        Ok(())
    }

    /// Rejects the removal of a pool to which VMs still belong or are moving.
    fn require_empty_pools(&self, change: &CatalogueChange) -> Result {
        let removed = change.edits.iter().filter(|edit| edit.body.is_none());
        for edit in removed.filter(|edit| edit.entry.kind == EntryKind::Pool) {
            let count = self.fleet.count(&PoolName::new(edit.entry.name.as_str()));
            let remaining = count.vms + count.arriving;
            let entry = edit.entry.clone();
            let found = format!("still has {remaining} VMs");
            let remedy = "set `base_vms` and `min_available` to 0 and wait for its VMs to move";
            ensure!(
                remaining == 0,
                EntryInvalidSnafu {
                    entry,
                    field: "pool",
                    found,
                    remedy
                }
            );
        }
        Ok(())
    }

    fn require_known_pool(&self, pool: &PoolName) -> Result {
        self.catalogue
            .pool(pool)
            .with_context(|| UnknownPoolSnafu { pool: pool.clone() })?;
        Ok(())
    }
}
