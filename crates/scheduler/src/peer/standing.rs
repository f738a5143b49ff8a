//! Evidence of the other members that an owner has not been replaced.
//!
//! The later one of two processes at one address is the one that was seen alive later, on the local clock. The numbers
//! in their keys come from wall clocks, which may have been set back between them.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use jacinthhoist_codec::StandingEvidence;
use jacinthhoist_core::{
    ClockTime,
    job::{ClockReading, promise_end},
};
use smallvec::SmallVec;

use crate::member::peer_address;

/// Time after the end of its link for which a member counts as one that may take over; longer than a
/// link takes to be reopened.
const MAX_LINK_GAP: ClockTime = ClockTime::from_millis(5_000);

/// Time after its last link for which an ended or absent member is remembered.
const RETENTION: ClockTime = ClockTime::from_secs(600);

/// What the owner knows of one other member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MemberStanding {
    /// The member follows the owner, on this number of links.
    Following(u32),
    /// The last link of the member ended at this time.
    Away(ClockTime),
    /// The process has ended.
    Ended,
}

/// State of one other member and its last answers.
#[derive(Clone, Copy, Debug)]
struct MemberRecord {
    standing: MemberStanding,
    /// Time at which its last link was accepted: it sent its key after that.
    linked_at: ClockTime,
    /// Time of the last heartbeat that the member has answered with a promise.
    promised_at: ClockTime,
    /// What its wall clock last showed.
    wall_reading: Option<ClockReading>,
    /// Its memory for jobs, in bytes.
    job_memory: Option<u64>,
}

/// Members that have identified themselves to this one, by key, and what they have answered. Readers
/// take a snapshot.
#[derive(Debug, Default)]
pub(crate) struct FollowerStandings {
    records: ArcSwap<BTreeMap<Arc<str>, MemberRecord>>,
    /// Number of links without a key so far.
    unknown_links: AtomicU64,
}

impl FollowerStandings {
    /// Returns a key for a link of a member that has not sent its own.
    pub(super) fn unknown_key(&self) -> Arc<str> {
        let number = self.unknown_links.fetch_add(1, Ordering::Relaxed);
        format!("unknown {number}").into()
    }

    /// Records a new link of a member, accepted at `accepted_at`; earlier processes at its address have ended.
    pub(super) fn link_opened(&self, key: &Arc<str>, accepted_at: ClockTime) {
        self.change(|records| {
            records.retain(|_, record| {
                matches!(record.standing, MemberStanding::Following(_))
                    || accepted_at < record.linked_at + RETENTION
            });
            end_predecessors(records, key, accepted_at);
            let mut others = records.iter();
            let is_outdated = others.any(|(other, record)| {
                is_other_process(other, key) && record.linked_at > accepted_at
            });
            let record = records.entry(key.clone()).or_insert(MemberRecord {
                standing: MemberStanding::Following(0),
                linked_at: accepted_at,
                promised_at: ClockTime::ZERO,
                wall_reading: None,
                job_memory: None,
            });
            record.linked_at = accepted_at.max(record.linked_at);
            record.standing = match record.standing {
                _ if is_outdated => MemberStanding::Ended,
                MemberStanding::Following(links) => MemberStanding::Following(links + 1),
                MemberStanding::Away(_) | MemberStanding::Ended => MemberStanding::Following(1),
            };
        });
    }

    /// Records the process that has answered at the address of an absent member, asked at `asked_at`; returns
    /// whether the member has ended.
    pub(super) fn record_process(
        &self,
        key: &Arc<str>,
        absent: &Arc<str>,
        asked_at: ClockTime,
    ) -> bool {
        self.change(|records| end_predecessors(records, key, asked_at));
        is_other_process(key, absent)
    }

    /// Records that the process of a member has ended.
    pub(super) fn record_end(&self, key: &Arc<str>) {
        self.change(|records| {
            if let Some(record) = records.get_mut(key) {
                record.standing = MemberStanding::Ended;
            }
        });
    }

    /// Records the memory for jobs of a member.
    pub(super) fn record_capacity(&self, key: &Arc<str>, bytes: u64) {
        self.change(|records| {
            if let Some(record) = records.get_mut(key) {
                record.job_memory = Some(bytes);
            }
        });
    }

    /// Returns the smallest memory for jobs of the members that may take over, and the number of those that
    /// follow this one.
    pub(crate) fn job_memory(&self) -> (Option<u64>, u32) {
        let records = self.records.load();
        let may_own = |record: &&MemberRecord| record.standing != MemberStanding::Ended;
        let known = records.values().filter(may_own);
        let smallest = known.filter_map(|record| record.job_memory).min();
        let is_following =
            |record: &&MemberRecord| matches!(record.standing, MemberStanding::Following(_));
        let following = records.values().filter(is_following).count();
        (smallest, following as u32)
    }

    /// Returns the members without a link.
    pub(super) fn absent(&self) -> SmallVec<[Arc<str>; 8]> {
        let records = self.records.load();
        let is_away = |record: &MemberRecord| matches!(record.standing, MemberStanding::Away(_));
        let away = records.iter().filter(|(_, record)| is_away(record));
        away.map(|(key, _)| key.clone()).collect()
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
                match evidence {
                    // The store names members, not tokens: a later owner may have been there since.
                    StandingEvidence::Confirmed => {}
                    StandingEvidence::Promised => {
                        record.promised_at = sent_at.max(record.promised_at);
                    }
                }
            }
        });
    }

    /// Records what the wall clock of a member shows.
    pub(super) fn record_wall_time(&self, key: &Arc<str>, reading: ClockReading) {
        self.change(|records| {
            if let Some(record) = records.get_mut(key) {
                record.wall_reading = Some(reading);
            }
        });
    }

    /// Returns what the wall clocks of the followers have shown since `since`; `None` for one that has not answered.
    pub(crate) fn wall_readings(&self, since: ClockTime) -> SmallVec<[Option<ClockReading>; 8]> {
        let records = self.records.load();
        let following = records
            .values()
            .filter(|record| matches!(record.standing, MemberStanding::Following(_)));
        let is_recent = |reading: &ClockReading| reading.local >= since;
        following
            .map(|record| record.wall_reading.filter(is_recent))
            .collect()
    }

    /// Returns the members that may take over, in order.
    pub(crate) fn successors(&self, now: ClockTime) -> SmallVec<[Arc<str>; 8]> {
        let records = self.records.load();
        let present = records.iter().filter(|(_, record)| match record.standing {
            MemberStanding::Following(_) => true,
            MemberStanding::Away(since) => now < since + MAX_LINK_GAP,
            MemberStanding::Ended => false,
        });
        present.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the time before which none of the given members takes over; zero if one of them has made
    /// no promise.
    pub(crate) fn promised_until<'a>(
        &self,
        mut members: impl Iterator<Item = &'a Arc<str>>,
    ) -> ClockTime {
        let records = self.records.load();
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

    /// Returns whether a member has opened a link at `since` or later, which it does not while it owns the
    /// pools.
    pub(crate) fn follows_since(&self, key: &str, since: ClockTime) -> bool {
        let records = self.records.load();
        let record = records.get(key);
        record.is_some_and(|record| record.linked_at >= since)
    }

    /// Returns whether a process that was alive before `since` has ended: another one at its address has opened a
    /// link since then.
    pub(crate) fn has_ended(&self, key: &str, since: ClockTime) -> bool {
        let records = self.records.load();
        let mut later = records.iter();
        later.any(|(other, record)| record.linked_at >= since && is_other_process(other, key))
    }

    fn change(&self, change: impl Fn(&mut BTreeMap<Arc<str>, MemberRecord>)) {
        self.records.rcu(|records| {
            let mut records = BTreeMap::clone(records);
            change(&mut records);
            records
        });
    }
}

/// Returns whether two keys are those of different processes at one address, which belongs to one process at a
/// time.
fn is_other_process(key: &str, other: &str) -> bool {
    let address = peer_address(key);
    key != other && address.is_some() && address == peer_address(other)
}

/// Ends the processes at the address of a process that was alive at `alive_at` and that were last seen before.
fn end_predecessors(
    records: &mut BTreeMap<Arc<str>, MemberRecord>,
    key: &str,
    alive_at: ClockTime,
) {
    for (other, record) in records.iter_mut() {
        if is_other_process(key, other) && record.linked_at < alive_at {
            record.standing = MemberStanding::Ended;
        }
    }
}
