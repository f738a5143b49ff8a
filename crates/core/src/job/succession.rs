//! Evidence on which an owner extends leases, and what the next owner assumes of it.
//!
//! The store replaces an owner whose membership is not renewed for a while, and the next owner waits one
//! lease for the workers that it cannot reach. An owner therefore extends no lease beyond one lease
//! after its last evidence that no other member owns the pools. In an outage of the store for all
//! members, their promises not to take over are such evidence. They count if they are those of all
//! members on the stored [`SuccessionRecord`]; a member that is not on it waits for the longest time
//! for which leases are extended on promises.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::clock::ClockTime;

use super::{
    lease::latest_expiry,
    stored_time::{ClockReadings, StoredTime},
};

/// Longest time from the store's last evidence to the end of a lease that is extended on promises;
/// longer than the outages of the store that work in progress must survive, 9 s.
const MAX_PROMISED_SPAN: ClockTime = ClockTime::from_millis(12_000);

/// Time for which a member that promises so does not take over, by its own clock.
pub const PROMISE_SPAN: ClockTime = ClockTime::from_millis(1_500);
/// Time for which an owner relies on a promise, by its own clock: the clocks of two members may differ
/// by 2% in rate.
const RELIED_SPAN: ClockTime = ClockTime::from_millis(1_450);

/// Evidence of an owner that no other member owns the pools.
///
/// ```
/// use jacinthhoist_core::{ClockTime, job::OwnershipEvidence};
/// let ms = ClockTime::from_millis;
/// let confirmed = OwnershipEvidence { stored_at: ms(1_000), promised_until: ms(0) };
/// assert_eq!(confirmed.lease_until(ms(3_500)), ms(4_500));
/// let promised = OwnershipEvidence { promised_until: ms(6_000), ..confirmed };
/// assert_eq!(promised.lease_until(ms(3_500)), ms(9_500));
/// let outlived = OwnershipEvidence { promised_until: ms(90_000), ..confirmed };
/// assert_eq!(outlived.lease_until(ms(3_500)), ms(13_000));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnershipEvidence {
    /// Time as of which the store last showed that no later owner had taken over.
    pub stored_at: ClockTime,
    /// Time before which no member on the succession record takes over; zero without their promises.
    pub promised_until: ClockTime,
}

impl OwnershipEvidence {
    /// Time before which no other member owns the pools, as far as the evidence tells.
    pub fn stands_until(&self) -> ClockTime {
        let promised = self.promised_until.min(self.stored_at + MAX_PROMISED_SPAN);
        self.stored_at.max(promised)
    }

    /// Latest end of a lease that may be granted on this evidence.
    pub fn lease_until(&self, longest_lease: ClockTime) -> ClockTime {
        let promised = self.promised_until + longest_lease;
        (self.stored_at + longest_lease).max(promised.min(self.stored_at + MAX_PROMISED_SPAN))
    }
}

/// Returns the time before which a member does not take over that has promised so in answer to a
/// heartbeat sent at `sent_at`.
pub fn promise_end(sent_at: ClockTime) -> ClockTime {
    sent_at + RELIED_SPAN
}

/// Owner that was replaced and may still extend leases on promises.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerOwner {
    /// Key of the owner.
    pub key: Arc<str>,
    /// Time by which its last lease has lapsed, on the clock of the owner that lists it.
    pub until: ClockTime,
    /// The same for other members; none in the records of earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lapse: Option<StoredTime>,
}

impl FormerOwner {
    /// Creates a former owner whose last lease has lapsed at `until` on the local clock, which shows `now`.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::{ClockReadings, FormerOwner}};
    /// let (readings, now) = (ClockReadings::open("entry-2".into()), ClockTime::from_secs(100));
    /// let until = ClockTime::from_secs(112);
    /// let former = FormerOwner::new("entry-1".into(), until, &readings, now);
    /// assert_eq!(readings.reached_at(&former.lapse.unwrap(), now), until);
    /// ```
    pub fn new(key: Arc<str>, until: ClockTime, readings: &ClockReadings, now: ClockTime) -> Self {
        Self {
            key,
            until,
            lapse: Some(StoredTime::new(readings.own(), until, now)),
        }
    }

    /// Converts a former owner from the record of another owner for the member that has read it at `read_at` or before.
    fn read_by(&self, readings: &ClockReadings, read_at: ClockTime) -> Self {
        let longest = || StoredTime::within(latest_expiry(ClockTime::ZERO, MAX_PROMISED_SPAN));
        let lapse = self.lapse.clone().unwrap_or_else(longest);
        let until = readings.reached_at(&lapse, read_at);
        Self {
            key: self.key.clone(),
            until,
            lapse: Some(lapse.also_on(readings.own(), until, read_at)),
        }
    }
}

/// Stored list of the members whose promises an owner uses in place of the store's confirmation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuccessionRecord {
    /// Key of the owner.
    pub owner: Arc<str>,
    /// Keys of the members, in order.
    pub members: SmallVec<[Arc<str>; 8]>,
    /// Owners before it.
    pub formers: SmallVec<[FormerOwner; 2]>,
}

impl SuccessionRecord {
    /// Returns the owners up to this record's one that may still extend leases on promises, for the member
    /// with these readings, which takes over now. Others extend none that run for longer than one lease from now on.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::{ClockReadings, SuccessionRecord}};
    /// let record = SuccessionRecord {
    ///     owner: "entry-1".into(),
    ///     members: ["entry-2".into()].into_iter().collect(),
    ///     ..SuccessionRecord::default()
    /// };
    /// let now = ClockTime::from_secs(100);
    /// let readings = ClockReadings::open("entry-2".into());
    /// assert!(record.former_owners(&readings, now).is_empty());
    /// let readings = ClockReadings::open("entry-3".into());
    /// assert!(record.former_owners(&readings, now)[0].until > now);
    /// ```
    pub fn former_owners(
        &self,
        readings: &ClockReadings,
        now: ClockTime,
    ) -> SmallVec<[FormerOwner; 2]> {
        let successor = readings.own();
        let earlier = self.formers.iter();
        let earlier = earlier.map(|former| former.read_by(readings, now));
        let mut formers: SmallVec<_> = earlier.filter(|former| former.until > now).collect();
        if !self.members.contains(successor) && self.owner != *successor {
            let until = latest_expiry(now, MAX_PROMISED_SPAN);
            formers.push(FormerOwner::new(self.owner.clone(), until, readings, now));
        }
        formers
    }
}

/// The succession record of an owner and its way into the store.
#[derive(Clone, Debug, Default)]
pub struct SuccessionLedger {
    stored: Option<SuccessionRecord>,
    /// Record that is being stored, and that a successor may have read.
    written: Option<SuccessionRecord>,
}

impl SuccessionLedger {
    /// Replaces the record; returns it if it has to be stored. One record is stored at a time.
    pub fn replace(&mut self, record: SuccessionRecord) -> Option<SuccessionRecord> {
        if self.written.is_some() || self.stored.as_ref() == Some(&record) {
            return None;
        }
        Some(self.written.insert(record).clone())
    }

    /// Records that the record has been stored.
    pub fn record_stored(&mut self) {
        if let Some(written) = self.written.take() {
            self.stored = Some(written);
        }
    }

    /// Returns the stored record, to be stored once more; `None` before the first, and while one is being stored.
    ///
    /// ```
    /// use jacinthhoist_core::job::{SuccessionLedger, SuccessionRecord};
    /// let mut ledger = SuccessionLedger::default();
    /// assert!(ledger.rewrite().is_none());
    /// ledger.replace(SuccessionRecord::default());
    /// ledger.record_stored();
    /// assert!(ledger.rewrite().is_some());
    /// let changed = SuccessionRecord { owner: "entry-1".into(), ..SuccessionRecord::default() };
    /// assert!(ledger.replace(changed).is_none(), "the former one is being stored");
    /// ```
    pub fn rewrite(&mut self) -> Option<SuccessionRecord> {
        if self.written.is_some() {
            return None;
        }
        let stored = self.stored.clone()?;
        Some(self.written.insert(stored).clone())
    }

    /// Returns the members that may take over and assume one lease only, so that the promises of all of
    /// them are needed; `None` before the first record of this owner has been stored.
    ///
    /// ```
    /// use jacinthhoist_core::job::{SuccessionLedger, SuccessionRecord};
    /// let mut ledger = SuccessionLedger::default();
    /// let members = ["entry-2".into()].into_iter().collect();
    /// ledger.replace(SuccessionRecord { members, ..SuccessionRecord::default() });
    /// assert!(ledger.successors().is_none());
    /// ledger.record_stored();
    /// assert_eq!(ledger.successors().unwrap().count(), 1);
    /// ```
    pub fn successors(&self) -> Option<impl Iterator<Item = &Arc<str>>> {
        let stored = self.stored.as_ref()?;
        let written = self.written.iter().flat_map(|record| &record.members);
        Some(stored.members.iter().chain(written))
    }
}
