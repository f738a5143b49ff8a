//! What the pipes of a member share: immutable snapshots and atomics.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use jacinthhoist_codec::OwnerWord;
use jacinthhoist_core::{
    ClockTime, WorkName,
    job::{JobCatalogue, WorkLoad},
};
use jacinthhoist_net::BootClock;
use tokio::sync::{mpsc, watch};

use crate::{
    dependency::{Dependency, DependencyBook},
    error::{Error, Result},
    eventlog::EventLog,
    member::MemberIdentity,
    meter::JobMeter,
    owner::OwnerEvent,
    peer::FollowerBook,
    sight::OwnerBook,
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
    /// What is known of the pools' owner.
    pub(crate) owner: OwnerBook,
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
            owner: OwnerBook::open(identity.clone(), clock),
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
