//! What the pipes of a member share: immutable snapshots and atomics.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use jacinthhoist_codec::OwnerWord;
use jacinthhoist_core::{
    ClockTime, WorkName,
    job::{JobCatalogue, MemberRank, NamedOwner, OwnerSight, WorkLoad, offer_at},
};
use jacinthhoist_net::BootClock;
use tokio::sync::{Notify, mpsc, watch};

use crate::{
    dependency::{Dependency, DependencyBook},
    error::{Error, Result},
    eventlog::EventLog,
    member::MemberIdentity,
    meter::JobMeter,
    owner::OwnerEvent,
    peer::FollowerBook,
};

/// Time since the store last said that the owner owns the pools after which the owner may lose them:
/// two renewals have failed, and the store gives them away after three.
const PLACE_DOUBT: ClockTime = ClockTime::from_millis(700);

/// The state that the pipes share.
pub(crate) struct MemberShared {
    pub(crate) identity: MemberIdentity,
    pub(crate) clock: BootClock,
    pub(crate) log: Arc<EventLog>,
    pub(crate) meter: JobMeter,
    dependencies: DependencyBook,
    /// The newest catalogue; none before the first was read.
    pub(crate) catalogue: ArcSwapOption<JobCatalogue>,
    /// The owner's newest word on loads.
    word: ArcSwap<OwnerWord>,
    /// When the owner had read accepted jobs for its word.
    word_at: AtomicU64,
    /// Feeds peers that follow this member while it owns the pools.
    pub(crate) word_feed: watch::Sender<Arc<OwnerWord>>,
    /// The inbox of this member's owner pipe, while it owns the pools.
    pub(crate) owner_inbox: ArcSwapOption<mpsc::UnboundedSender<OwnerEvent>>,
    /// Whom the store named last as the owner.
    named_owner: ArcSwap<NamedOwner>,
    /// The key of the owner that the store named last.
    named_key: ArcSwapOption<String>,
    /// When a regular member last asked this one to give way; zero for never.
    outranked_at: AtomicU64,
    /// When an owner that stopped last chose this member to follow it; zero for never.
    chosen_at: AtomicU64,
    /// When this member last met a later owner; zero for never.
    succeeded_at: AtomicU64,
    /// Wakes the one who offers to own the pools.
    pub(crate) owner_news: Notify,
    /// Members that follow this one while it owns the pools.
    pub(crate) followers: FollowerBook,
    store_seen_at: AtomicU64,
    stopping: AtomicBool,
}

impl MemberShared {
    pub(crate) fn open(
        identity: MemberIdentity,
        clock: BootClock,
        log: Arc<EventLog>,
    ) -> Arc<Self> {
        let (word_feed, _) = watch::channel(Arc::default());
        Arc::new(Self {
            identity,
            clock,
            log,
            meter: JobMeter::open(),
            dependencies: DependencyBook::open(),
            catalogue: ArcSwapOption::empty(),
            word: ArcSwap::from_pointee(OwnerWord::default()),
            word_at: AtomicU64::new(0),
            word_feed,
            owner_inbox: ArcSwapOption::empty(),
            named_owner: ArcSwap::from_pointee(NamedOwner::Unknown),
            named_key: ArcSwapOption::empty(),
            outranked_at: AtomicU64::new(0),
            chosen_at: AtomicU64::new(0),
            succeeded_at: AtomicU64::new(0),
            owner_news: Notify::new(),
            followers: FollowerBook::open(),
            store_seen_at: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        })
    }

    /// Replaces what is known of the pools by the owner's newest word.
    pub(crate) fn take_word(&self, word: Arc<OwnerWord>) {
        let at = self.clock.now() - word.read_age;
        self.word.store(word);
        self.word_at.store(at.as_millis(), Ordering::Relaxed);
    }

    /// The load of a kind of work, with the age of what the owner's word rests on.
    pub(crate) fn load(&self, work: &WorkName) -> (WorkLoad, ClockTime) {
        let told_at = ClockTime::from_millis(self.word_at.load(Ordering::Relaxed));
        let load = self.word.load().loads.get(work).copied();
        (load.unwrap_or_default(), self.clock.now() - told_at)
    }

    /// Whether the owner that speaks may have lost the pools without knowing.
    pub(crate) fn doubts_owner(&self) -> bool {
        self.word.load().place_age > PLACE_DOUBT
    }

    /// Whether the store has named another owner than `key`.
    pub(crate) fn is_succeeded(&self, key: &str) -> bool {
        let named = self.named_key.load();
        named.as_ref().is_some_and(|named| **named != key)
    }

    /// The store has named the owner by its key, or said that there is none.
    pub(crate) fn name_owner(&self, key: Option<&str>) {
        let known = **self.named_owner.load();
        let named = match key {
            Some(key) if key == self.identity.member_key() => NamedOwner::Myself,
            Some(_) => NamedOwner::Other,
            None if matches!(known, NamedOwner::Nobody(_)) => known,
            None => NamedOwner::Nobody(self.clock.now()),
        };
        self.named_key
            .store(key.map(|key| Arc::new(key.to_owned())));
        if named != known {
            self.named_owner.store(Arc::new(named));
            self.owner_news.notify_one();
        }
    }

    /// A member that offers to own the pools has called; true where this one should give way.
    pub(crate) fn hear_offer(&self, rank: MemberRank) -> bool {
        let outranked = rank > self.identity.rank;
        if outranked {
            let now = self.clock.now().as_millis();
            self.outranked_at.store(now, Ordering::Relaxed);
            self.owner_news.notify_one();
        }
        outranked
    }

    /// An owner that stops has chosen this member to follow it.
    pub(crate) fn hear_choice(&self) {
        let now = self.clock.now().as_millis();
        self.chosen_at.store(now, Ordering::Relaxed);
        self.owner_news.notify_one();
    }

    /// This member has met a later owner. Whom the store names now is for its next look to tell.
    pub(crate) fn was_succeeded(&self) {
        let now = self.clock.now().as_millis();
        self.succeeded_at.store(now, Ordering::Relaxed);
        self.named_owner.store(Arc::new(NamedOwner::Unknown));
        self.owner_news.notify_one();
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
        let sight = OwnerSight {
            owns,
            named: **self.named_owner.load(),
            outranked_at: at(&self.outranked_at),
            chosen_at: at(&self.chosen_at),
            jitter: self.identity.jitter(),
        };
        offer_at(self.identity.rank, &sight, self.clock.now())
    }

    /// Notes how a call to a dependency ended.
    pub(crate) fn note_call<T>(&self, dependency: Dependency, outcome: &Result<T>) {
        self.dependencies.note(&self.log, dependency, outcome);
    }

    /// Notes that a dependency failed.
    pub(crate) fn note_failure(&self, dependency: Dependency, error: &Error) {
        self.dependencies
            .note_error(&self.log, dependency, Some(error));
    }

    /// The store has just answered.
    pub(crate) fn saw_store(&self) {
        let now = self.clock.now().as_millis();
        self.store_seen_at.store(now, Ordering::Relaxed);
    }

    /// Time since the store last answered.
    pub(crate) fn store_silence(&self) -> ClockTime {
        let seen = ClockTime::from_millis(self.store_seen_at.load(Ordering::Relaxed));
        self.clock.now() - seen
    }

    /// Turns readiness off for good.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
