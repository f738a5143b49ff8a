//! What a member knows of the pools' owner, from the store, from other members, from itself.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use jacinthhoist_core::{
    ClockTime,
    job::{MemberRank, OwnerView, RecordedOwner, candidacy_at},
};
use jacinthhoist_net::BootClock;
use tokio::sync::Notify;

use crate::member::MemberIdentity;

/// What a member knows of the pools' owner.
#[derive(Debug)]
pub(crate) struct OwnerBook {
    identity: MemberIdentity,
    clock: BootClock,
    /// Whom the store named last.
    named: ArcSwap<RecordedOwner>,
    /// The key of the owner that the store named last.
    named_key: ArcSwapOption<String>,
    /// When a regular member last asked this one to give way; zero for never.
    outranked_at: AtomicU64,
    /// When an owner that stopped last chose this member to follow it; zero for never.
    chosen_at: AtomicU64,
    /// When this member last met a later owner; zero for never.
    succeeded_at: AtomicU64,
    /// Wakes the one who offers to own the pools.
    news: Notify,
}

impl OwnerBook {
    pub(crate) fn open(identity: MemberIdentity, clock: BootClock) -> Self {
        Self {
            identity,
            clock,
            named: ArcSwap::from_pointee(RecordedOwner::Unknown),
            named_key: ArcSwapOption::empty(),
            outranked_at: AtomicU64::new(0),
            chosen_at: AtomicU64::new(0),
            succeeded_at: AtomicU64::new(0),
            news: Notify::new(),
        }
    }

    /// Waits for news.
    pub(crate) async fn news(&self) {
        self.news.notified().await;
    }

    fn stamp(&self, time: &AtomicU64) {
        time.store(self.clock.now().as_millis(), Ordering::Relaxed);
        self.news.notify_one();
    }

    /// Whether the store has named another owner than `key`.
    pub(crate) fn is_succeeded(&self, key: &str) -> bool {
        let named = self.named_key.load();
        named.as_ref().is_some_and(|named| **named != key)
    }

    /// The store has named the owner by its key, or said that there is none.
    pub(crate) fn name(&self, key: Option<&str>) {
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
            self.news.notify_one();
        }
    }

    /// A member that offers to own the pools has called; true where this one should give way.
    pub(crate) fn hear_offer(&self, rank: MemberRank) -> bool {
        let outranked = rank > self.identity.rank;
        if outranked {
            self.stamp(&self.outranked_at);
        }
        outranked
    }

    /// An owner that stops has chosen this member to follow it.
    pub(crate) fn hear_choice(&self) {
        self.stamp(&self.chosen_at);
    }

    /// This member has met a later owner. Whom the store names now is for its next look to tell.
    pub(crate) fn was_succeeded(&self) {
        self.named.store(Arc::new(RecordedOwner::Unknown));
        self.stamp(&self.succeeded_at);
    }

    /// Whether what the store said at a time was before this member met a later owner.
    pub(crate) fn is_outdated(&self, heard_at: ClockTime) -> bool {
        heard_at.as_millis() <= self.succeeded_at.load(Ordering::Relaxed)
    }

    /// The time from which this member offers to own the pools.
    pub(crate) fn offer_at(&self, owns: bool) -> Option<ClockTime> {
        let at = |time: &AtomicU64| {
            let time = time.load(Ordering::Relaxed);
            (time > 0).then(|| ClockTime::from_millis(time))
        };
        let sight = OwnerView {
            owns,
            named: **self.named.load(),
            outranked_at: at(&self.outranked_at),
            chosen_at: at(&self.chosen_at),
            jitter: self.identity.jitter(),
        };
        candidacy_at(self.identity.rank, &sight, self.clock.now())
    }
}
