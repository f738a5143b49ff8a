//! Claims of idempotency keys: the first in log order may dispatch.

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

/// The result of a claim step.
pub(crate) type Result<T, E = crate::error::Error> = std::result::Result<T, E>;

/// An idempotency key within its kind of work.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The kind of work.
    pub work: WorkName,
    /// The caller's key.
    pub key: std::sync::Arc<str>,
}

/// What became of the claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// It may be running.
    Held,
    /// It ran, and the upstream answered with this status.
    Settled(u16),
}

/// A claim as folded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Who may dispatch.
    pub holder: MemberName,
    /// The incarnation that may dispatch.
    pub nonce: u64,
    /// Digest of the request's body.
    pub digest: u64,
    /// Where the claim was accepted.
    pub claim: Offset,
    /// The fold's clock at that point.
    pub at: ClockTime,
    /// What became of the request.
    pub state: ClaimState,
}

/// All claims that are kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTable {
    #[serde(with = "pairs")]
    claims: OrdMap<ClaimKey, ClaimRecord>,
    #[serde(with = "pairs")]
    order: OrdMap<Offset, imbl::Vector<ClaimKey>>,
}

impl ClaimTable {
    /// The claim of a key, if one is kept.
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimRecord> {
        self.claims.get(key)
    }

    /// How many claims are kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is kept.
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
        if let Some(held) = self.claims.get(key) {
            return KeyTakenSnafu {
                holder: held.holder.clone(),
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
        self.held(id, key, claim)?;
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
        self.held(id, key, claim)?;
        if let Some(record) = self.claims.get_mut(key) {
            record.state = ClaimState::Settled(status);
        }
        Ok(())
    }

    /// Forgets claims older than `keep` before `now`.
    pub(crate) fn expire(&mut self, now: ClockTime, keep: ClockTime) {
        while let Some((offset, keys)) = self.order.get_min().cloned() {
            let old = |key| {
                self.claims
                    .get(key)
                    .is_none_or(|record| record.at + keep < now || record.claim != offset)
            };
            if !keys.iter().all(old) {
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

    fn held(&self, id: &RecordId, key: &ClaimKey, claim: Offset) -> Result<()> {
        let record = self.claims.get(key).filter(|record| record.claim == claim);
        let own =
            record.is_some_and(|record| record.holder == id.member && record.nonce == id.nonce);
        ensure!(own, NotHolderSnafu);
        Ok(())
    }
}
