//! Scheduler member: starts and stops its pipes.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::Arc,
};

use jacinthhoist_codec::StoreLimits;
use jacinthhoist_core::{
    ClockTime, MemberName,
    job::{MemberRank, RevocationSpan, SchedulerLimits},
};
use jacinthhoist_net::{BootClock, WallClock};
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
};

use crate::{
    accept::AcceptTask,
    caller::CallerPipe,
    error::Result,
    eventlog::{EventLog, event},
    membership::{self, PoolOwnership},
    operator::{OperatorTask, WaveRequests},
    owner::OwnerTask,
    peer::{self, QueryTask, TcpPeers},
    ports::{PeerNetwork, Platform},
    shared::MemberShared,
};

/// Separator of the parts of a member key.
const KEY_SEPARATOR: &str = "|";
/// Upper bound of the jitter between members that see at the same time that the pools have no
/// owner; two look-ups in the store fit within it.
const MAX_JITTER_MS: u64 = 200;

/// Identity of a member.
#[derive(Clone, Debug)]
pub struct MemberIdentity {
    /// Name of the member.
    pub name: MemberName,
    /// Address at which its peers reach it.
    pub peer_address: SocketAddr,
    /// Distinguishes incarnations of the same name; that of a later one may be smaller.
    pub nonce: u64,
    /// Precedence among members for owning the pools.
    pub rank: MemberRank,
}

impl MemberIdentity {
    /// Returns the key under which the member joins the group; it includes the peer address.
    ///
    /// ```
    /// use jacinthhoist_core::{MemberName, job::MemberRank};
    /// use jacinthhoist_scheduler::MemberIdentity;
    /// let identity = MemberIdentity {
    ///     name: MemberName::new("entry-1"),
    ///     peer_address: "127.0.0.1:7060".parse().unwrap(),
    ///     nonce: 5,
    ///     rank: MemberRank::Regular,
    /// };
    /// assert_eq!(identity.member_key(), "entry-1|127.0.0.1:7060|5|regular");
    /// ```
    pub fn member_key(&self) -> String {
        let Self {
            name,
            peer_address,
            nonce,
            rank,
        } = self;
        let parts = [
            name.as_str(),
            &peer_address.to_string(),
            &nonce.to_string(),
            rank.as_str(),
        ];
        parts.join(KEY_SEPARATOR)
    }

    /// Returns a short delay that differs between incarnations of members.
    pub(crate) fn jitter(&self) -> ClockTime {
        let mut hasher = DefaultHasher::new();
        (self.name.as_str(), self.nonce).hash(&mut hasher);
        ClockTime::from_millis(hasher.finish() % MAX_JITTER_MS)
    }

    /// Returns `true` if a key belongs to an earlier incarnation of this member.
    pub(crate) fn is_earlier_incarnation(&self, key: &str) -> bool {
        peer_address(key) == Some(self.peer_address) && key != self.member_key()
    }
}

/// Returns the peer address in a member key.
pub(crate) fn peer_address(key: &str) -> Option<SocketAddr> {
    key.split(KEY_SEPARATOR).nth(1)?.parse().ok()
}

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Identity of the member.
    pub identity: MemberIdentity,
    /// Limits set by the platform.
    pub limits: SchedulerLimits,
    /// Size limits of the store.
    pub store_limits: StoreLimits,
    /// Span within which withdrawn keys must be refused by every member; none if that is not required.
    pub revocation: Option<RevocationSpan>,
}

/// Running member. Dropping it aborts its tasks; [`SchedulerMember::stop`] also waits for them.
pub struct SchedulerMember<P> {
    platform: Arc<P>,
    shared: Arc<MemberShared>,
    callers: CallerPipe,
    ownership: Arc<watch::Sender<PoolOwnership>>,
    tasks: JoinSet<()>,
}

impl<P: Platform> SchedulerMember<P> {
    /// Starts a member on the current runtime, with TCP links to its peers.
    ///
    /// # Errors
    ///
    /// Fails if the peer address cannot be bound.
    pub async fn spawn(
        platform: Arc<P>,
        settings: SchedulerSettings,
        log: Arc<EventLog>,
    ) -> Result<Self> {
        let clocks = (BootClock::start(), WallClock::System);
        Self::spawn_on(platform, TcpPeers, clocks, settings, log).await
    }

    /// Starts a member with the given peer network and clocks, such as those of an emulator.
    ///
    /// # Errors
    ///
    /// Fails if the peer address cannot be bound.
    pub async fn spawn_on<N: PeerNetwork>(
        platform: Arc<P>,
        peers: N,
        (clock, wall): (BootClock, WallClock),
        settings: SchedulerSettings,
        log: Arc<EventLog>,
    ) -> Result<Self> {
        let address = settings.identity.peer_address;
        let shared = MemberShared::open(
            settings.identity,
            settings.store_limits,
            settings.limits.job_memory,
            settings.revocation,
            clock,
            wall,
            log,
        );
        let peers = Arc::new(peers);
        event!(shared.log, Start, "version": env!("CARGO_PKG_VERSION"),
            "key": shared.identity.member_key());
        let (store, store_requests) = mpsc::unbounded_channel();
        let (own_appends, append_requests) = mpsc::unbounded_channel();
        let (queries, query_requests) = mpsc::unbounded_channel();
        let (stored_sender, stored_records) = mpsc::unbounded_channel();
        let (ownership, ownership_updates) = watch::channel(PoolOwnership::default());
        let (waves, wave_updates) = watch::channel(WaveRequests::new());
        let callers = CallerPipe::open(shared.clone(), store, queries);
        let owner = OwnerTask {
            platform: platform.clone(),
            shared: shared.clone(),
            limits: settings.limits,
            ownership: ownership_updates,
            waves: wave_updates,
        };
        let mut tasks = JoinSet::new();
        // The listener starts before the member joins: peers conclude from a refused connection
        // that the member has ended.
        let links = peer::serve(shared.clone(), &*peers, address, own_appends.clone());
        tasks.spawn(links.await?);
        tasks.spawn(
            AcceptTask::open(
                platform.clone(),
                shared.clone(),
                append_requests,
                stored_sender,
            )
            .run(),
        );
        tasks.spawn(
            QueryTask::open(
                platform.clone(),
                peers.clone(),
                shared.clone(),
                query_requests,
                store_requests,
                own_appends,
                stored_records,
            )
            .run(),
        );
        tasks.spawn(OperatorTask::open(platform.clone(), shared.clone(), waves).run());
        let ownership = Arc::new(ownership);
        tasks.spawn(membership::watch_owner(platform.clone(), shared.clone()));
        tasks.spawn(peer::watch_absent_members(peers, shared.clone()));
        tasks.spawn(membership::run(
            platform.clone(),
            shared.clone(),
            ownership.clone(),
        ));
        tasks.spawn(owner.run());

        Ok(Self {
            platform,
            shared,
            callers,
            ownership,
            tasks,
        })
    }

    /// Returns the pipe that serves callers.
    pub fn callers(&self) -> CallerPipe {
        self.callers.clone()
    }

    /// Ends readiness and hands the pools over to another member; callers are still served.
    pub async fn hand_over(&self) {
        self.shared.begin_stop();
        event!(self.shared.log, Stop, "owned": self.shared.owner_inbox.load().is_some());
        membership::withdraw(&*self.platform, &self.shared, &self.ownership).await;
    }

    /// Aborts all tasks and waits for them to end.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}
