//! Claims of idempotency keys: the first claim in log order may dispatch the request.

use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use snafu::ensure;

use crate::{
    clock::ClockTime,
    error::{KeyTakenSnafu, NotHolderSnafu},
    name::{MemberName, WorkName},
    pairs,
    record::{Offset, RecordId},
};

/// Result of a claim step.
pub(crate) type Result<T, E = crate::error::Error> = std::result::Result<T, E>;

/// An idempotency key, scoped to its kind of work.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Kind of work.
    pub work: WorkName,
    /// Key chosen by the caller.
    pub key: std::sync::Arc<str>,
}

/// State of the claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request may be running.
    Held,
    /// The request ran, and the upstream responded with this status.
    Settled(u16),
}

/// Replicated state of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Member that may dispatch the request.
    pub holder: MemberName,
    /// Incarnation that may dispatch the request.
    pub nonce: u64,
    /// Digest of the request body.
    pub digest: u64,
    /// Offset at which the claim was accepted.
    pub claim: Offset,
    /// Median clock of the members at that offset.
    pub at: ClockTime,
    /// State of the request.
    pub state: ClaimState,
}

/// Claims within the retention period.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTable {
    #[serde(with = "pairs")]
    claims: OrdMap<ClaimKey, ClaimRecord>,
    /// Claimed keys by offset, the order in which they expire.
    #[serde(with = "pairs")]
    order: OrdMap<Offset, imbl::Vector<ClaimKey>>,
}

impl ClaimTable {
    /// Returns the claim of a key, if it is retained.
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimRecord> {
        self.claims.get(key)
    }

    /// Returns the number of retained claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns true if no claim is retained.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    pub(crate) fn claim(
        &mut self,
        offset: Offset,
        id: &RecordId,
        at: ClockTime,
        key: &ClaimKey,
        digest: u64,
    ) -> Result<()> {
        if let Some(existing) = self.claims.get(key) {
            return KeyTakenSnafu {
                holder: existing.holder.clone(),
            }
            .fail()
            .map_err(Into::into);
        }
        let record = ClaimRecord {
            holder: id.member.clone(),
            nonce: id.nonce,
            digest,
            claim: offset,
            at,
            state: ClaimState::Held,
        };
        self.claims.insert(key.clone(), record);
        self.order.entry(offset).or_default().push_back(key.clone());
        Ok(())
    }

    pub(crate) fn release(&mut self, id: &RecordId, key: &ClaimKey, claim: Offset) -> Result<()> {
        self.require_holder(id, key, claim)?;
        self.claims.remove(key);
        Ok(())
    }

    pub(crate) fn settle(
        &mut self,
        id: &RecordId,
        key: &ClaimKey,
        claim: Offset,
        status: u16,
    ) -> Result<()> {
        self.require_holder(id, key, claim)?;
        if let Some(record) = self.claims.get_mut(key) {
            record.state = ClaimState::Settled(status);
        }
        Ok(())
    }

    /// Removes claims older than `retention` at time `now`.
    pub(crate) fn expire(&mut self, now: ClockTime, retention: ClockTime) {
        while let Some((offset, keys)) = self.order.get_min().cloned() {
            let is_expired = |key| {
                self.claims
                    .get(key)
                    .is_none_or(|record| record.at + retention < now || record.claim != offset)
            };
            if !keys.iter().all(is_expired) {
                return;
            }
            for key in &keys {
                if self
                    .claims
                    .get(key)
                    .is_some_and(|record| record.claim == offset)
                {
                    self.claims.remove(key);
                }
            }
            self.order.remove(&offset);
        }
    }

    fn require_holder(&self, id: &RecordId, key: &ClaimKey, claim: Offset) -> Result<()> {
        let record = self.claims.get(key).filter(|record| record.claim == claim);
        let is_holder =
            record.is_some_and(|record| record.holder == id.member && record.nonce == id.nonce);
        ensure!(is_holder, NotHolderSnafu);
        Ok(())
    }
}
