//! The one deterministic fold of log records into the agreed state.

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

/// The result of one step.
pub(crate) type Result<T = (), E = crate::error::Error> = std::result::Result<T, E>;

/// The agreed state after some prefix of the log.
///
/// Cloning shares structure, so a snapshot for readers costs little at any size.
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
    /// The last offset folded, if any.
    pub fn folded(&self) -> Option<Offset> {
        self.folded
    }

    /// The offset to read next.
    pub fn next_offset(&self) -> Offset {
        self.folded.map_or(Offset(0), Offset::next)
    }

    /// The accepted catalogue.
    pub fn catalogue(&self) -> &CatalogueState {
        &self.catalogue
    }

    /// The fleet.
    pub fn fleet(&self) -> &FleetState {
        &self.fleet
    }

    /// The entry members.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// The claims of idempotency keys.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// The offset that the newest snapshot in the log covers.
    pub fn snapshot(&self) -> Option<Offset> {
        self.snapshot
    }

    /// Where anything that the request pipe routes by last changed.
    pub fn routes_revision(&self) -> Offset {
        self.routes
    }

    /// Folds one record and returns a verdict for each of its steps.
    ///
    /// A record at an offset already folded, or under an id already folded, changes nothing and has
    /// no verdicts. A record whose offset skips some is folded: what lies between expired or could
    /// not be decoded, for every member alike.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Vec<Result> {
        if Some(offset) <= self.folded {
            return Vec::new();
        }
        self.folded = Some(offset);
        if !self.members.note(&record.id, record.at) {
            return Vec::new();
        }
        let verdicts = record
            .steps
            .iter()
            .map(|step| self.step(offset, &record.id, record.at, step))
            .collect();
        let keep = ClockTime::from_secs(self.catalogue.policy().key_keep_secs);
        self.claims.expire(self.members.clock(), keep);
        verdicts
    }

    /// Notes an offset whose record could not be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.folded = self.folded.max(Some(offset));
    }

    fn step(&mut self, offset: Offset, id: &RecordId, at: ClockTime, step: &Step) -> Result {
        if let Step::Join(join) = step {
            let maximum = self.catalogue.policy().max_members as usize;
            self.members.join(offset, id, at, join, maximum)?;
            self.routes = offset;
            return Ok(());
        }
        self.members.require(id)?;
        match step {
            Step::Claim { .. } | Step::Release { .. } | Step::Settle { .. } => {
                self.claim_step(offset, id, step)
            }
            Step::Snapshot(part) => {
                self.snapshot = self.snapshot.max(Some(part.offset));
                Ok(())
            }
            _ => {
                self.control_step(offset, id, step)?;
                self.routes = offset;
                Ok(())
            }
        }
    }

    fn claim_step(&mut self, offset: Offset, id: &RecordId, step: &Step) -> Result {
        let now = self.members.clock();
        match step {
            Step::Claim { key, digest } => self.claims.claim(offset, id, now, key, *digest),
            Step::Release { key, claim } => self.claims.release(id, key, *claim),
            Step::Settle { key, claim, status } => self.claims.settle(id, key, *claim, *status),
            _ => Ok(()),
        }
    }

    fn control_step(&mut self, offset: Offset, id: &RecordId, step: &Step) -> Result {
        let now = self.members.clock();
        match step {
            Step::Catalogue(change) => {
                let next = self.catalogue.with_change(offset, change)?;
                self.require_empty(change)?;
                self.catalogue = next;
            }
            Step::Leave => self.members.part(offset, &id.member, id.nonce)?,
            Step::Evict { member, nonce } => self.members.part(offset, member, *nonce)?,
            Step::Adopt { vm, details, pool } => {
                self.require_pool(pool)?;
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

    /// A pool can be removed only once no VM belongs to it or moves to it.
    fn require_empty(&self, change: &CatalogueChange) -> Result {
        let removed = change.edits.iter().filter(|edit| edit.body.is_none());
        for edit in removed.filter(|edit| edit.entry.kind == EntryKind::Pool) {
            let count = self.fleet.count(&PoolName::new(edit.entry.name.as_str()));
            let left = count.vms + count.arriving;
            let entry = edit.entry.clone();
            let found = format!("still has {left} VMs");
            let remedy = "set `base_vms` and `min_available` to 0 and wait for its VMs to move";
            ensure!(
                left == 0,
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

    fn require_pool(&self, pool: &PoolName) -> Result {
        self.catalogue
            .pool(pool)
            .with_context(|| UnknownPoolSnafu { pool: pool.clone() })?;
        Ok(())
    }
}
