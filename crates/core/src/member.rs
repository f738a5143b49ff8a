//! Membership of entry members, as derived from the log.

use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use snafu::ensure;

use crate::{
    clock::ClockTime,
    error::{MembersFullSnafu, NotMemberSnafu, StaleJoinSnafu},
    name::{DataCentre, MemberName},
    pairs,
    record::{Offset, RecordId},
};

/// Result of a membership step.
pub(crate) type Result<T, E = crate::error::Error> = std::result::Result<T, E>;

/// Maximum number of departed members kept, so that a delayed join of theirs is still rejected.
const MAX_DEPARTED_MEMBERS: usize = 256;

/// Data that a member provides when it joins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberJoin {
    /// Name of the member.
    pub member: MemberName,
    /// Random number of the member's process, which identifies its incarnation.
    pub nonce: u64,
    /// Address for connections from peers, as `ip:port`.
    pub peer_address: String,
    /// Data centre of the member.
    pub data_centre: DataCentre,
    /// Last offset that the member had applied when it proposed to join.
    pub based_on: Option<Offset>,
}

impl MemberJoin {
    /// Creates a join for examples and tests, based on an empty log.
    pub fn example(member: &str, nonce: u64) -> Self {
        Self {
            member: MemberName::new(member),
            nonce,
            peer_address: "127.0.0.1:1".to_owned(),
            data_centre: DataCentre::new("dc-1"),
            based_on: None,
        }
    }
}

/// Replicated state of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Data from the member's newest join.
    pub join: MemberJoin,
    /// Offset at which the newest join, leave or eviction was accepted.
    pub revision: Offset,
    /// True until the member leaves or is evicted.
    pub live: bool,
    /// Highest sequence number applied from the member.
    pub seq: u64,
    /// Latest clock reading applied from the member.
    pub clock: ClockTime,
}

/// All members by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberTable {
    #[serde(with = "pairs")]
    members: OrdMap<MemberName, MemberRecord>,
}

impl MemberTable {
    /// Iterates over the live members in order of name.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().filter(|record| record.live)
    }

    /// Returns the record of a live or departed member.
    pub fn get(&self, member: &MemberName) -> Option<&MemberRecord> {
        self.members.get(member)
    }

    /// Returns true if this incarnation of the member is live.
    pub fn is_live(&self, member: &MemberName, nonce: u64) -> bool {
        self.members
            .get(member)
            .is_some_and(|record| record.live && record.join.nonce == nonce)
    }

    /// Returns the lower median of the live members' clocks, so that one wrong clock has no effect.
    pub fn clock(&self) -> ClockTime {
        let mut clocks: Vec<ClockTime> = self.live().map(|record| record.clock).collect();
        clocks.sort_unstable();
        let median = clocks.len().saturating_sub(1) / 2;
        clocks.get(median).copied().unwrap_or_default()
    }

    /// Updates the sequence number and clock of the writer; returns false if the record was already
    /// applied.
    pub(crate) fn accept_record(&mut self, id: &RecordId, at: ClockTime) -> bool {
        let Some(record) = self.members.get_mut(&id.member) else {
            return true;
        };
        if record.join.nonce != id.nonce {
            return true;
        }
        if id.seq <= record.seq {
            return false;
        }
        record.seq = id.seq;
        record.clock = record.clock.max(at);
        true
    }

    pub(crate) fn require_live(&self, id: &RecordId) -> Result<()> {
        let live = self.is_live(&id.member, id.nonce);
        ensure!(
            live,
            NotMemberSnafu {
                member: id.member.clone()
            }
        );
        Ok(())
    }

    pub(crate) fn join(
        &mut self,
        offset: Offset,
        id: &RecordId,
        at: ClockTime,
        join: &MemberJoin,
        maximum: usize,
    ) -> Result<()> {
        let is_own_join = join.member == id.member && join.nonce == id.nonce;
        ensure!(
            is_own_join,
            NotMemberSnafu {
                member: join.member.clone()
            }
        );
        if let Some(known) = self.members.get(&join.member) {
            let is_newer = join.based_on >= Some(known.revision) && known.join.nonce != join.nonce;
            ensure!(
                is_newer,
                StaleJoinSnafu {
                    member: join.member.clone(),
                    current: known.revision
                }
            );
        }
        let others = self
            .live()
            .filter(|record| record.join.member != join.member)
            .count();
        ensure!(
            others < maximum,
            MembersFullSnafu {
                live: others,
                maximum
            }
        );
        let record = MemberRecord {
            join: join.clone(),
            revision: offset,
            live: true,
            seq: id.seq,
            clock: at,
        };
        self.members.insert(join.member.clone(), record);
        Ok(())
    }

    pub(crate) fn mark_departed(
        &mut self,
        offset: Offset,
        member: &MemberName,
        nonce: u64,
    ) -> Result<()> {
        let record = self
            .members
            .get_mut(member)
            .filter(|record| record.join.nonce == nonce);
        let Some(record) = record.filter(|record| record.live) else {
            return NotMemberSnafu {
                member: member.clone(),
            }
            .fail()
            .map_err(Into::into);
        };
        record.live = false;
        record.revision = offset;
        self.prune_departed();
        Ok(())
    }

    fn prune_departed(&mut self) {
        let departed = self.members.values().filter(|record| !record.live);
        let mut revisions: Vec<Offset> = departed.map(|record| record.revision).collect();
        if revisions.len() <= MAX_DEPARTED_MEMBERS {
            return;
        }
        revisions.sort_unstable();
        let oldest = revisions[revisions.len() - MAX_DEPARTED_MEMBERS];
        let is_retained = |record: &MemberRecord| record.live || record.revision >= oldest;
        let members = self
            .members
            .iter()
            .filter(|(_, record)| is_retained(record));
        self.members = members
            .map(|(name, record)| (name.clone(), record.clone()))
            .collect();
    }
}
