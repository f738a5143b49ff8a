//! A member's view of which member owns the pools, from the store, from its peers and from its own
//! takeovers.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use jacinthhoist_core::{
    ClockTime,
    job::{MemberRank, OwnerSnapshot, PROMISE_SPAN, RecordedOwner, candidacy_at},
};
use jacinthhoist_net::BootClock;
use tokio::sync::Notify;

use crate::member::MemberIdentity;

/// A member's view of which member owns the pools.
#[derive(Debug)]
pub(crate) struct OwnerView {
    identity: MemberIdentity,
    clock: BootClock,
    /// Owner last reported by the store.
    recorded_owner: ArcSwap<RecordedOwner>,
    /// Key of the owner last reported by the store.
    recorded_key: ArcSwapOption<String>,
    /// Time at which a candidate of higher rank last announced itself; zero for never.
    outranked_at: AtomicU64,
    /// Time at which a stopping owner last designated this member as its successor; zero for never.
    designated_at: AtomicU64,
    /// Time at which this member's ownership last ended; zero for never.
    ownership_ended_at: AtomicU64,
    /// Last heartbeat that has arrived.
    heartbeat: ArcSwapOption<ReceivedHeartbeat>,
    /// Last heartbeat that had arrived before a look-up in which the store named its sender.
    confirmed: ArcSwapOption<ReceivedHeartbeat>,
    /// True if the last look-up in the store failed.
    lookup_failed: AtomicBool,
    /// True while this member may take over.
    is_candidate: AtomicBool,
    /// Time before which this member has promised not to take over.
    promised_until: AtomicU64,
    /// Wakes the membership task.
    changed: Notify,
}

/// Heartbeat of an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReceivedHeartbeat {
    owner: Arc<str>,
    /// Time on the owner's clock at which it was sent.
    sent_at: ClockTime,
}

/// Candidacy of this member, from before its first join call until it has left the group. There are no
/// promises while it lasts.
#[derive(Debug)]
pub(crate) struct Candidacy<'a>(&'a OwnerView);

impl Drop for Candidacy<'_> {
    fn drop(&mut self) {
        self.0.is_candidate.store(false, Ordering::SeqCst);
    }
}

impl OwnerView {
    pub(crate) fn open(identity: MemberIdentity, clock: BootClock) -> Self {
        Self {
            identity,
            clock,
            recorded_owner: ArcSwap::from_pointee(RecordedOwner::Unknown),
            recorded_key: ArcSwapOption::empty(),
            outranked_at: AtomicU64::new(0),
            designated_at: AtomicU64::new(0),
            ownership_ended_at: AtomicU64::new(0),
            heartbeat: ArcSwapOption::empty(),
            confirmed: ArcSwapOption::empty(),
            lookup_failed: AtomicBool::new(false),
            is_candidate: AtomicBool::new(false),
            promised_until: AtomicU64::new(0),
            changed: Notify::new(),
        }
    }

    /// Waits for a change of the view.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Has the membership task ask the store at once for a confirmation of the ownership.
    pub(crate) fn request_confirmation(&self) {
        self.changed.notify_one();
    }

    fn record_time(&self, time: &AtomicU64) {
        time.store(self.clock.now().as_millis(), Ordering::Relaxed);
        self.changed.notify_one();
    }

    /// Returns `true` if the store last reported an owner other than `key`.
    pub(crate) fn is_superseded(&self, key: &str) -> bool {
        let recorded = self.recorded_key.load();
        recorded.as_ref().is_some_and(|recorded| **recorded != key)
    }

    /// Returns the key of the owner that the store last reported.
    pub(crate) fn recorded_key(&self) -> Option<Arc<String>> {
        self.recorded_key.load_full()
    }

    /// Records a heartbeat of an owner.
    pub(crate) fn record_heartbeat(&self, owner: &str, sent_at: ClockTime) {
        let known = self.heartbeat.load();
        let owner = match known.as_ref().filter(|known| *known.owner == *owner) {
            Some(known) => known.owner.clone(),
            None => owner.into(),
        };
        self.heartbeat
            .store(Some(Arc::new(ReceivedHeartbeat { owner, sent_at })));
    }

    /// Returns the last heartbeat that has arrived.
    pub(crate) fn last_heartbeat(&self) -> Option<Arc<ReceivedHeartbeat>> {
        self.heartbeat.load_full()
    }

    /// Returns when the owner sent the last heartbeat that had arrived before the store named it; `None`
    /// if the store has not answered since.
    pub(crate) fn confirmed_heartbeat(&self, owner: &str) -> Option<ClockTime> {
        if self.lookup_failed.load(Ordering::Relaxed) {
            return None;
        }
        let confirmed = self.confirmed.load();
        let confirmed = confirmed.as_ref()?;
        (*confirmed.owner == *owner).then_some(confirmed.sent_at)
    }

    /// Promises not to take over from an owner for [`PROMISE_SPAN`]; returns `false` without a promise.
    /// A member promises only while the store does not answer it, and not once the store has named no
    /// owner or another one.
    pub(crate) fn promise(&self, owner: &str) -> bool {
        let is_vacant = matches!(**self.recorded_owner.load(), RecordedOwner::Vacant(_));
        let is_answered = !self.lookup_failed.load(Ordering::Relaxed);
        if is_answered || is_vacant || self.is_superseded(owner) {
            return false;
        }
        let until = self.clock.now() + PROMISE_SPAN;
        self.promised_until
            .fetch_max(until.as_millis(), Ordering::SeqCst);
        // After the store, as `begin_candidacy` checks in the opposite order.
        !self.is_candidate.load(Ordering::SeqCst)
    }

    /// Begins a candidacy, unless a promise is in force; returns the end of the promise then.
    pub(crate) fn begin_candidacy(&self) -> Result<Candidacy<'_>, ClockTime> {
        self.is_candidate.store(true, Ordering::SeqCst);
        let candidacy = Candidacy(self);
        let promised_until = ClockTime::from_millis(self.promised_until.load(Ordering::SeqCst));
        if self.clock.now() < promised_until {
            return Err(promised_until);
        }
        Ok(candidacy)
    }

    /// Records that a look-up of the owner failed.
    pub(crate) fn record_lookup_failure(&self) {
        self.lookup_failed.store(true, Ordering::Relaxed);
    }

    /// Records the owner that the store reports; `None` if there is none. `received` is the last
    /// heartbeat that had arrived before the store was asked.
    pub(crate) fn record_owner(&self, key: Option<&str>, received: Option<Arc<ReceivedHeartbeat>>) {
        self.lookup_failed.store(false, Ordering::Relaxed);
        if let Some(received) = received
            && key == Some(&*received.owner)
        {
            self.confirmed.store(Some(received));
        }
        let known = **self.recorded_owner.load();
        let recorded = match key {
            Some(key) if key == self.identity.member_key() => RecordedOwner::ThisMember,
            Some(_) => RecordedOwner::OtherMember,
            None if matches!(known, RecordedOwner::Vacant(_)) => known,
            None => RecordedOwner::Vacant(self.clock.now()),
        };
        let key = key.map(|key| Arc::new(key.to_owned()));
        self.recorded_key.store(key);
        if recorded != known {
            self.recorded_owner.store(Arc::new(recorded));
            self.changed.notify_one();
        }
    }

    /// Records the announcement of a candidate; returns `true` if it outranks this member.
    pub(crate) fn record_candidate(&self, rank: MemberRank) -> bool {
        let outranked = rank > self.identity.rank;
        if outranked {
            self.record_time(&self.outranked_at);
        }
        outranked
    }

    /// Records that a stopping owner has designated this member as its successor.
    pub(crate) fn record_designation(&self) {
        self.record_time(&self.designated_at);
    }

    /// Records that this member's ownership has ended. The new owner is unknown until the next
    /// look-up in the store.
    pub(crate) fn record_ownership_end(&self) {
        self.recorded_owner.store(Arc::new(RecordedOwner::Unknown));
        self.record_time(&self.ownership_ended_at);
    }

    /// Returns `true` if a query sent to the store at `asked_at` precedes the end of this member's
    /// ownership.
    pub(crate) fn is_outdated(&self, asked_at: ClockTime) -> bool {
        asked_at.as_millis() <= self.ownership_ended_at.load(Ordering::Relaxed)
    }

    /// Returns the time from which this member is a candidate; `None` while it is not one.
    pub(crate) fn candidacy_at(&self, owns: bool) -> Option<ClockTime> {
        let at = |time: &AtomicU64| {
            let time = time.load(Ordering::Relaxed);
            (time > 0).then(|| ClockTime::from_millis(time))
        };
        let snapshot = OwnerSnapshot {
            owns,
            recorded: **self.recorded_owner.load(),
            outranked_at: at(&self.outranked_at),
            designated_at: at(&self.designated_at),
            jitter: self.identity.jitter(),
        };
        candidacy_at(self.identity.rank, &snapshot, self.clock.now())
    }
}
