//! A member's view of which member owns the pools, from the store, from its peers and from its own
//! takeovers.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use jacinthhoist_core::{
    ClockTime,
    job::{MemberRank, OwnerSnapshot, RecordedOwner, candidacy_at},
};
use jacinthhoist_net::BootClock;
use tokio::sync::Notify;

use crate::member::MemberIdentity;

/// A member's view of which member owns the pools.
#[derive(Debug)]
pub(crate) struct OwnerView {
    identity: MemberIdentity,
    clock: BootClock,
    /// Owner last named by the store.
    named: ArcSwap<RecordedOwner>,
    /// Key of the owner last named by the store.
    named_key: ArcSwapOption<String>,
    /// Time of the last offer from a member of higher rank; zero for never.
    outranked_at: AtomicU64,
    /// Time at which a stopping owner last appointed this member as its successor; zero for never.
    appointed_at: AtomicU64,
    /// Time at which this member's ownership last ended; zero for never.
    superseded_at: AtomicU64,
    /// Wakes the membership task.
    changed: Notify,
}

impl OwnerView {
    pub(crate) fn open(identity: MemberIdentity, clock: BootClock) -> Self {
        Self {
            identity,
            clock,
            named: ArcSwap::from_pointee(RecordedOwner::Unknown),
            named_key: ArcSwapOption::empty(),
            outranked_at: AtomicU64::new(0),
            appointed_at: AtomicU64::new(0),
            superseded_at: AtomicU64::new(0),
            changed: Notify::new(),
        }
    }

    /// Waits for a change of the view.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    fn record_time(&self, time: &AtomicU64) {
        time.store(self.clock.now().as_millis(), Ordering::Relaxed);
        self.changed.notify_one();
    }

    /// Returns `true` if the store last named an owner other than `key`.
    pub(crate) fn is_superseded(&self, key: &str) -> bool {
        let named = self.named_key.load();
        named.as_ref().is_some_and(|named| **named != key)
    }

    /// Records the owner named by the store; `None` if there is no owner.
    pub(crate) fn set_named(&self, key: Option<&str>) {
        let known = **self.named.load();
        let named = match key {
            Some(key) if key == self.identity.member_key() => RecordedOwner::ThisMember,
            Some(_) => RecordedOwner::OtherMember,
            None if matches!(known, RecordedOwner::Vacant(_)) => known,
            None => RecordedOwner::Vacant(self.clock.now()),
        };
        let key = key.map(|key| Arc::new(key.to_owned()));
        self.named_key.store(key);
        if named != known {
            self.named.store(Arc::new(named));
            self.changed.notify_one();
        }
    }

    /// Records the offer of a member to own the pools; returns `true` if it outranks this member.
    pub(crate) fn record_offer(&self, rank: MemberRank) -> bool {
        let outranked = rank > self.identity.rank;
        if outranked {
            self.record_time(&self.outranked_at);
        }
        outranked
    }

    /// Records that a stopping owner has appointed this member as its successor.
    pub(crate) fn record_appointment(&self) {
        self.record_time(&self.appointed_at);
    }

    /// Records that this member's ownership has ended. The new owner is unknown until the next
    /// look-up in the store.
    pub(crate) fn record_succession(&self) {
        self.named.store(Arc::new(RecordedOwner::Unknown));
        self.record_time(&self.superseded_at);
    }

    /// Returns `true` if the store's answer precedes the end of this member's ownership.
    pub(crate) fn is_outdated(&self, asked_at: ClockTime) -> bool {
        asked_at.as_millis() <= self.superseded_at.load(Ordering::Relaxed)
    }

    /// Returns the time from which this member offers to own the pools.
    pub(crate) fn offer_at(&self, owns: bool) -> Option<ClockTime> {
        let at = |time: &AtomicU64| {
            let time = time.load(Ordering::Relaxed);
            (time > 0).then(|| ClockTime::from_millis(time))
        };
        let snapshot = OwnerSnapshot {
            owns,
            recorded: **self.named.load(),
            outranked_at: at(&self.outranked_at),
            designated_at: at(&self.appointed_at),
            jitter: self.identity.jitter(),
        };
        candidacy_at(self.identity.rank, &snapshot, self.clock.now())
    }
}
