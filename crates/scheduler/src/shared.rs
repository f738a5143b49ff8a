//! State shared by the pipes of a member: immutable snapshots and atomics.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use jacinthhoist_codec::{OwnerHeartbeat, StoreLimits};
use jacinthhoist_core::{
    ClockTime, PoolName, TenantName, WorkName,
    job::{
        AppendPace, CatalogueProof, ClockReadings, JobCatalogue, MemoryReport, RevocationSpan,
        TenantLoad, WorkLoad,
    },
};
use jacinthhoist_net::{BootClock, WallClock};
use tokio::sync::mpsc;

use crate::{
    dependency::{Dependency, DependencyStatus},
    error::{Error, Result},
    eventlog::EventLog,
    member::MemberIdentity,
    memory::UnreportedJobs,
    meter::JobMeter,
    owner::OwnerEvent,
    owner_view::OwnerView,
    peer::{FollowerRegistry, FollowerStandings, HeartbeatFeed},
};

/// Age of the store's last confirmation after which the owner may have lost the pools: two renewals
/// have failed, and the store reassigns the pools after three.
const OWNERSHIP_DOUBT_AGE: ClockTime = ClockTime::from_millis(700);

/// State shared by the pipes of a member.
pub(crate) struct MemberShared {
    pub(crate) identity: MemberIdentity,
    pub(crate) store_limits: StoreLimits,
    /// Memory for jobs of this member, in bytes.
    pub(crate) job_memory: u64,
    /// Jobs that this member has stored and the owner's report does not include yet.
    pub(crate) unreported_jobs: UnreportedJobs,
    pub(crate) clock: BootClock,
    pub(crate) wall: WallClock,
    pub(crate) log: Arc<EventLog>,
    pub(crate) meter: JobMeter,
    dependencies: DependencyStatus,
    /// Newest catalogue; empty until the first one has been read.
    pub(crate) catalogue: ArcSwapOption<JobCatalogue>,
    /// Proof that the catalogue is the newest one, for keys.
    catalogue_proof: ArcSwap<CatalogueProof>,
    /// Span within which withdrawn keys must be refused; none if that is not required.
    revocation: Option<RevocationSpan>,
    /// Owner's newest heartbeat.
    heartbeat: ArcSwap<OwnerHeartbeat>,
    /// Time of the owner's last read of accepted jobs before that heartbeat, by this member's
    /// clock.
    load_read_at: AtomicU64,
    /// Heartbeats for the followers of this member while it owns the pools.
    pub(crate) heartbeats: HeartbeatFeed,
    /// Inbox of the owner pipe while this member owns the pools.
    pub(crate) owner_inbox: ArcSwapOption<mpsc::UnboundedSender<OwnerEvent>>,
    /// View of which member owns the pools.
    pub(crate) owner_view: OwnerView,
    /// Followers of this member while it owns the pools.
    pub(crate) followers: FollowerRegistry,
    /// Evidence of the other members that this one has not been replaced as the owner.
    pub(crate) standings: FollowerStandings,
    /// Clocks of other members, as far as their messages have told them.
    pub(crate) clock_readings: ArcSwap<ClockReadings>,
    /// Latency that the store's appends have shown.
    pub(crate) append_pace: ArcSwap<AppendPace>,
    store_answered_at: AtomicU64,
    stopping: AtomicBool,
}

impl MemberShared {
    pub(crate) fn open(
        identity: MemberIdentity,
        store_limits: StoreLimits,
        job_memory: u64,
        revocation: Option<RevocationSpan>,
        clock: BootClock,
        wall: WallClock,
        log: Arc<EventLog>,
    ) -> Arc<Self> {
        Arc::new(Self {
            owner_view: OwnerView::open(identity.clone(), clock),
            clock_readings: ArcSwap::from_pointee(ClockReadings::open(
                identity.member_key().into(),
            )),
            identity,
            store_limits,
            job_memory,
            unreported_jobs: UnreportedJobs::default(),
            clock,
            wall,
            log,
            meter: JobMeter::open(),
            dependencies: DependencyStatus::open(),
            catalogue: ArcSwapOption::empty(),
            catalogue_proof: ArcSwap::default(),
            revocation,
            heartbeat: ArcSwap::from_pointee(OwnerHeartbeat::default()),
            load_read_at: AtomicU64::new(0),
            heartbeats: HeartbeatFeed::open(),
            owner_inbox: ArcSwapOption::empty(),
            followers: FollowerRegistry::open(),
            standings: FollowerStandings::default(),
            append_pace: ArcSwap::default(),
            // An outage before the start of this process is not known.
            store_answered_at: AtomicU64::new(clock.now().as_millis()),
            stopping: AtomicBool::new(false),
        })
    }

    /// Records the time that a member's clock showed when it sent a message that has just arrived.
    pub(crate) fn record_clock(&self, member: &Arc<str>, shown: ClockTime) {
        let now = self.clock.now();
        self.clock_readings.rcu(|readings| {
            let mut readings = ClockReadings::clone(readings);
            readings.record(member, shown, now);
            readings
        });
    }

    /// Returns a time of this member on the clock of the owner, if it knows one, with the key of that process.
    pub(crate) fn on_owner_clock(&self, at: ClockTime) -> (Arc<str>, ClockTime) {
        let readings = self.clock_readings.load();
        if self.owner_inbox.load().is_some() {
            return (readings.own().clone(), at);
        }
        readings.on_last_clock(at)
    }

    /// Replaces the heartbeat by a newer one of the owner.
    pub(crate) fn set_heartbeat(&self, heartbeat: Arc<OwnerHeartbeat>) {
        let now = self.clock.now();
        let at = now - heartbeat.read_age;
        // The owner stores the records of this member, so the answers that it gets count here too.
        self.record_store_answer_at(now - heartbeat.place_age);
        self.heartbeat.store(heartbeat);
        self.load_read_at.store(at.as_millis(), Ordering::Relaxed);
    }

    /// Records an answer of the store to a read of the operators' records.
    pub(crate) fn record_catalogue_read(
        &self,
        asked_at: ClockTime,
        is_complete: bool,
        is_unreadable: Option<bool>,
    ) {
        self.catalogue_proof.rcu(|proof| {
            let mut proof = CatalogueProof::clone(proof);
            proof.record_read(asked_at, is_complete, is_unreadable);
            proof
        });
    }

    /// Age of the proof that the catalogue is the newest one; `None` without a proof.
    pub(crate) fn catalogue_age(&self) -> Option<ClockTime> {
        self.catalogue_proof.load().age(self.clock.now())
    }

    /// Returns whether the catalogue is recent enough for keys to count. Where withdrawals have no bound, the
    /// last known keys count.
    pub(crate) fn may_trust_keys(&self) -> bool {
        self.revocation.is_none_or(|span| {
            let age = self.catalogue_age();
            age.is_some_and(|age| age <= span.max_age())
        })
    }

    /// Returns the room for further jobs in the owner's newest heartbeat.
    pub(crate) fn memory_report(&self) -> MemoryReport {
        let report = self.heartbeat.load().memory;
        report.unwrap_or_else(|| MemoryReport::unknown(self.job_memory))
    }

    /// Returns whether the owner, as far as its heartbeat tells, bounds the memory of jobs.
    pub(crate) fn owner_bounds_memory(&self) -> bool {
        self.heartbeat.load().memory.is_some()
    }

    /// Time before which the owner had read all accepted jobs as of its newest heartbeat.
    pub(crate) fn load_read_at(&self) -> ClockTime {
        ClockTime::from_millis(self.load_read_at.load(Ordering::Relaxed))
    }

    /// Returns the load of a pool that concerns a tenant.
    pub(crate) fn tenant_load(&self, tenant: &TenantName, pool: &PoolName) -> TenantLoad {
        self.heartbeat.load().loads.tenant_load(tenant, pool)
    }

    /// Returns the load of a kind of work in the owner's heartbeat, and the age of the data behind
    /// it.
    pub(crate) fn work_load(&self, work: &WorkName) -> (WorkLoad, ClockTime) {
        let read_at = self.load_read_at();
        let catalogue = self.catalogue.load();
        let entry = catalogue.as_ref().and_then(|known| known.work(work));
        let load = entry.map(|entry| self.heartbeat.load().loads.load(work, &entry.pool));
        (load.unwrap_or_default(), self.clock.now() - read_at)
    }

    /// Returns `true` if the current owner may have lost the pools without noticing.
    pub(crate) fn is_owner_in_doubt(&self) -> bool {
        is_in_doubt(&self.heartbeat.load())
    }

    /// Records the result of a call to a dependency.
    pub(crate) fn record_call<T>(&self, dependency: Dependency, outcome: &Result<T>) {
        self.dependencies.record(&self.log, dependency, outcome);
    }

    /// Records the failure of a call to a dependency.
    pub(crate) fn record_failure(&self, dependency: Dependency, error: &Error) {
        self.dependencies
            .record_error(&self.log, dependency, Some(error));
    }

    /// Records that the store has just answered.
    pub(crate) fn record_store_answer(&self) {
        self.record_store_answer_at(self.clock.now());
    }

    fn record_store_answer_at(&self, at: ClockTime) {
        self.store_answered_at
            .fetch_max(at.as_millis(), Ordering::Relaxed);
    }

    /// Returns the time since the store last answered.
    pub(crate) fn store_silence(&self) -> ClockTime {
        let answered_at = ClockTime::from_millis(self.store_answered_at.load(Ordering::Relaxed));
        self.clock.now() - answered_at
    }

    /// Ends readiness permanently.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}

/// Returns `true` if the sender of a heartbeat may have lost the pools without noticing.
pub(crate) fn is_in_doubt(heartbeat: &OwnerHeartbeat) -> bool {
    heartbeat.place_age > OWNERSHIP_DOUBT_AGE
}
