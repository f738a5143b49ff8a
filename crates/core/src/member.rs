//! Entry members as the log sees them.

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

/// The result of a membership step.
pub(crate) type Result<T, E = crate::error::Error> = std::result::Result<T, E>;

/// Members that left, kept so that a delayed join of theirs stays rejected.
const GONE_KEPT: usize = 256;

/// What a member says of itself when it joins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberJoin {
    /// Its name.
    pub member: MemberName,
    /// The random number of its process.
    pub nonce: u64,
    /// Where its peers reach it, `ip:port`.
    pub peer_address: String,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The last offset it had folded when it proposed to join.
    pub based_on: Option<Offset>,
}

impl MemberJoin {
    /// A join for examples and tests, from an empty log.
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

/// A member as folded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// What it said when it joined.
    pub join: MemberJoin,
    /// Where its newest join, leave or eviction was accepted.
    pub revision: Offset,
    /// Whether it counts.
    pub live: bool,
    /// The newest sequence number folded from it.
    pub seq: u64,
    /// The newest clock reading folded from it.
    pub clock: ClockTime,
}

/// All members, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberTable {
    #[serde(with = "pairs")]
    members: OrdMap<MemberName, MemberRecord>,
}

impl MemberTable {
    /// The live members in order of name.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().filter(|record| record.live)
    }

    /// The record of a name, live or gone.
    pub fn get(&self, member: &MemberName) -> Option<&MemberRecord> {
        self.members.get(member)
    }

    /// Whether this very process counts as a member.
    pub fn is_live(&self, member: &MemberName, nonce: u64) -> bool {
        self.members
            .get(member)
            .is_some_and(|record| record.live && record.join.nonce == nonce)
    }

    /// The lower median of the live members' clocks, so that one wrong clock moves nothing.
    pub fn clock(&self) -> ClockTime {
        let mut clocks: Vec<ClockTime> = self.live().map(|record| record.clock).collect();
        clocks.sort_unstable();
        let middle = clocks.len().saturating_sub(1) / 2;
        clocks.get(middle).copied().unwrap_or_default()
    }

    /// Notes a record's id and clock; returns false where the record was folded before.
    pub(crate) fn note(&mut self, id: &RecordId, at: ClockTime) -> bool {
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

    pub(crate) fn require(&self, id: &RecordId) -> Result<()> {
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
        let itself = join.member == id.member && join.nonce == id.nonce;
        ensure!(
            itself,
            NotMemberSnafu {
                member: join.member.clone()
            }
        );
        if let Some(known) = self.members.get(&join.member) {
            let newer = join.based_on >= Some(known.revision) && known.join.nonce != join.nonce;
            ensure!(
                newer,
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

    pub(crate) fn part(&mut self, offset: Offset, member: &MemberName, nonce: u64) -> Result<()> {
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
        self.trim();
        Ok(())
    }

    fn trim(&mut self) {
        let gone = self.members.values().filter(|record| !record.live);
        let mut revisions: Vec<Offset> = gone.map(|record| record.revision).collect();
        if revisions.len() <= GONE_KEPT {
            return;
        }
        revisions.sort_unstable();
        let oldest = revisions[revisions.len() - GONE_KEPT];
        let kept = |record: &MemberRecord| record.live || record.revision >= oldest;
        let members = self.members.iter().filter(|(_, record)| kept(record));
        self.members = members
            .map(|(name, record)| (name.clone(), record.clone()))
            .collect();
    }
}
