//! Evidence of the other members that an owner has not been replaced.

use std::{collections::BTreeMap, sync::Arc};

use arc_swap::ArcSwap;
use jacinthhoist_codec::StandingEvidence;
use jacinthhoist_core::{ClockTime, job::promise_end};
use smallvec::SmallVec;

use crate::member::peer_address;

/// Time after the end of its link for which a member counts as one that may take over; longer than a
/// link takes to be reopened.
const MAX_LINK_GAP: ClockTime = ClockTime::from_millis(5_000);

/// What the owner knows of one other member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MemberStanding {
    /// The member follows the owner, on this number of links.
    Following(u32),
    /// The last link of the member ended at this time.
    Away(ClockTime),
    /// Another process of the member has identified itself.
    Ended,
}

/// State of one other member and its last answers.
#[derive(Clone, Copy, Debug)]
struct MemberRecord {
    standing: MemberStanding,
    /// Time of the last heartbeat for which the store had named the owner.
    confirmed_at: ClockTime,
    /// Time of the last heartbeat that the member has answered with a promise.
    promised_at: ClockTime,
}

/// Members that have identified themselves to this one, by key, and what they have answered. Readers
/// take a snapshot.
#[derive(Debug, Default)]
pub(crate) struct FollowerStandings(ArcSwap<BTreeMap<Arc<str>, MemberRecord>>);

impl FollowerStandings {
    /// Records a new link of a member; earlier processes at its address have ended.
    pub(super) fn link_opened(&self, key: &Arc<str>) {
        let address = peer_address(key);
        self.change(|records| {
            for (other, record) in records.iter_mut() {
                if other != key && peer_address(other) == address {
                    record.standing = MemberStanding::Ended;
                }
            }
            let record = records.entry(key.clone()).or_insert(MemberRecord {
                standing: MemberStanding::Following(0),
                confirmed_at: ClockTime::ZERO,
                promised_at: ClockTime::ZERO,
            });
            let links = match record.standing {
                MemberStanding::Following(links) => links,
                MemberStanding::Away(_) | MemberStanding::Ended => 0,
            };
            record.standing = MemberStanding::Following(links + 1);
        });
    }

    /// Records the end of a link.
    pub(super) fn link_closed(&self, key: &Arc<str>, now: ClockTime) {
        self.change(|records| {
            if let Some(record) = records.get_mut(key)
                && let MemberStanding::Following(links) = record.standing
            {
                record.standing = match links {
                    0 | 1 => MemberStanding::Away(now),
                    _ => MemberStanding::Following(links - 1),
                };
            }
        });
    }

    /// Records the answer of a member to the heartbeat sent at `sent_at`.
    pub(super) fn record_answer(
        &self,
        key: &Arc<str>,
        sent_at: ClockTime,
        evidence: StandingEvidence,
    ) {
        self.change(|records| {
            if let Some(record) = records.get_mut(key) {
                let at = match evidence {
                    StandingEvidence::Confirmed => &mut record.confirmed_at,
                    StandingEvidence::Promised => &mut record.promised_at,
                };
                *at = sent_at.max(*at);
            }
        });
    }

    /// Returns the members that may take over, in order.
    pub(crate) fn successors(&self, now: ClockTime) -> SmallVec<[Arc<str>; 8]> {
        let records = self.0.load();
        let present = records.iter().filter(|(_, record)| match record.standing {
            MemberStanding::Following(_) => true,
            MemberStanding::Away(since) => now < since + MAX_LINK_GAP,
            MemberStanding::Ended => false,
        });
        present.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the time as of which the store last named this member as the owner in answer to a follower.
    pub(crate) fn confirmed_at(&self) -> ClockTime {
        let records = self.0.load();
        let confirmed = records.values().map(|record| record.confirmed_at);
        confirmed.max().unwrap_or_default()
    }

    /// Returns the time before which none of the given members takes over; zero if one of them has made
    /// no promise.
    pub(crate) fn promised_until<'a>(
        &self,
        mut members: impl Iterator<Item = &'a Arc<str>>,
    ) -> ClockTime {
        let records = self.0.load();
        let until = members.try_fold(ClockTime::from_millis(u64::MAX), |earliest, key| {
            let record = records.get(key)?;
            match record.standing {
                MemberStanding::Ended => Some(earliest),
                _ if record.promised_at == ClockTime::ZERO => None,
                _ => Some(earliest.min(promise_end(record.promised_at))),
            }
        });
        until.unwrap_or_default()
    }

    /// Returns whether another process has taken the place of a member.
    pub(crate) fn has_ended(&self, key: &str) -> bool {
        let records = self.0.load();
        let address = peer_address(key);
        let mut others = records.iter();
        others.any(|(other, record)| {
            **other != *key
                && peer_address(other) == address
                && record.standing != MemberStanding::Ended
        })
    }

    fn change(&self, change: impl Fn(&mut BTreeMap<Arc<str>, MemberRecord>)) {
        self.0.rcu(|records| {
            let mut records = BTreeMap::clone(records);
            change(&mut records);
            records
        });
    }
}
