//! What the pipes of a member share: immutable snapshots and atomics.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use arc_swap::{ArcSwap, ArcSwapOption};
use jacinthhoist_core::{
    ClockTime, WorkName,
    job::{JobCatalogue, MemberRank, OwnerSight, WorkLoad, offers_to_own},
};
use jacinthhoist_net::BootClock;
use tokio::sync::{mpsc, watch};

use crate::{
    dependency::{Dependency, DependencyBook},
    error::{Error, Result},
    eventlog::EventLog,
    member::{self, MemberIdentity},
    meter::JobMeter,
    owner::OwnerEvent,
};

/// The load of each kind of work.
pub(crate) type LoadTable = BTreeMap<WorkName, WorkLoad>;

/// The state that the pipes share.
pub(crate) struct MemberShared {
    pub(crate) identity: MemberIdentity,
    pub(crate) clock: BootClock,
    opened_at: ClockTime,
    pub(crate) log: Arc<EventLog>,
    pub(crate) meter: JobMeter,
    dependencies: DependencyBook,
    /// The newest catalogue; none before the first was read.
    pub(crate) catalogue: ArcSwapOption<JobCatalogue>,
    /// The owner's newest word on loads.
    loads: ArcSwap<LoadTable>,
    loads_at: AtomicU64,
    /// Feeds peers that follow this member while it owns the pools.
    pub(crate) load_feed: watch::Sender<Arc<LoadTable>>,
    /// The inbox of this member's owner pipe, while it owns the pools.
    pub(crate) owner_inbox: ArcSwapOption<mpsc::UnboundedSender<OwnerEvent>>,
    /// The rank of the owner that the store named last.
    named_owner: ArcSwapOption<MemberRank>,
    /// When a regular member last asked this one to give way; zero for never.
    outranked_at: AtomicU64,
    store_seen_at: AtomicU64,
    stopping: AtomicBool,
}

impl MemberShared {
    pub(crate) fn open(identity: MemberIdentity, log: Arc<EventLog>) -> Arc<Self> {
        let (load_feed, _) = watch::channel(Arc::new(LoadTable::new()));
        let clock = BootClock::open();
        Arc::new(Self {
            identity,
            opened_at: clock.now(),
            clock,
            log,
            meter: JobMeter::open(),
            dependencies: DependencyBook::open(),
            catalogue: ArcSwapOption::empty(),
            loads: ArcSwap::from_pointee(LoadTable::new()),
            loads_at: AtomicU64::new(0),
            load_feed,
            owner_inbox: ArcSwapOption::empty(),
            named_owner: ArcSwapOption::empty(),
            outranked_at: AtomicU64::new(0),
            store_seen_at: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        })
    }

    /// Replaces the loads by the owner's newest word.
    pub(crate) fn take_loads(&self, loads: Arc<LoadTable>) {
        self.loads.store(loads);
        let now = self.clock.now().as_millis();
        self.loads_at.store(now, Ordering::Relaxed);
    }

    /// The load of a kind of work, with the age of the owner's word.
    pub(crate) fn load(&self, work: &WorkName) -> (WorkLoad, ClockTime) {
        let told_at = ClockTime::from_millis(self.loads_at.load(Ordering::Relaxed));
        let load = self.loads.load().get(work).copied();
        (load.unwrap_or_default(), self.clock.now() - told_at)
    }

    /// The store has named the owner by its key, or said that there is none.
    pub(crate) fn name_owner(&self, key: Option<&str>) {
        let rank = key.and_then(member::rank);
        self.named_owner.store(rank.map(Arc::new));
    }

    /// A member that offers to own the pools has called; true where this one should give way.
    pub(crate) fn hear_offer(&self, rank: MemberRank) -> bool {
        let outranked = rank > self.identity.rank;
        if outranked {
            let now = self.clock.now().as_millis();
            self.outranked_at.store(now, Ordering::Relaxed);
        }
        outranked
    }

    /// Whether this member offers to own the pools now.
    pub(crate) fn offers_to_own(&self, owns: bool) -> bool {
        let heard_at = ClockTime::from_millis(self.loads_at.load(Ordering::Relaxed));
        let outranked_at = self.outranked_at.load(Ordering::Relaxed);
        let sight = OwnerSight {
            owns,
            heard_at: heard_at.max(self.opened_at),
            owner: self.named_owner.load().as_deref().copied(),
            outranked_at: (outranked_at > 0).then(|| ClockTime::from_millis(outranked_at)),
        };
        offers_to_own(self.identity.rank, &sight, self.clock.now())
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
