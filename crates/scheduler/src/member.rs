//! A scheduler member: starts its pipes, stops in good order.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::Arc,
};

use jacinthhoist_core::{
    ClockTime, MemberName,
    job::{MemberRank, SchedulerLimits},
};
use jacinthhoist_net::BootClock;
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
};

use crate::{
    accept::AcceptTask,
    caller::CallerPipe,
    error::Result,
    eventlog::{EventLog, event},
    membership::{self, Place},
    operator::{OperatorTask, WaveBook},
    owner::OwnerTask,
    peer::{self, AskTask, TcpPeers},
    ports::{PeerNetwork, Platform},
    shared::MemberShared,
};

/// Separates the parts of a member's key, in which the others find its address.
const KEY_SEPARATOR: &str = "|";
/// Greatest time by which members differ that see at once that nobody owns the pools: two looks at
/// the store fit within it.
const MAX_JITTER_MS: u64 = 200;

/// Who a member is.
#[derive(Clone, Debug)]
pub struct MemberIdentity {
    /// Its name.
    pub name: MemberName,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// Tells two lives of one name apart.
    pub nonce: u64,
    /// Whether it owns the pools in the first place.
    pub rank: MemberRank,
}

impl MemberIdentity {
    /// The name under which it joins, in which its peers find its address.
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

    /// A short time by which this life differs from those of other members.
    pub(crate) fn jitter(&self) -> ClockTime {
        let mut hasher = DefaultHasher::new();
        (self.name.as_str(), self.nonce).hash(&mut hasher);
        ClockTime::from_millis(hasher.finish() % MAX_JITTER_MS)
    }

    /// Whether a key is that of an earlier life of this member, which has ended.
    pub(crate) fn is_earlier_life(&self, key: &str) -> bool {
        peer_address(key) == Some(self.peer_address) && key != self.member_key()
    }
}

/// The peer address in a member's key.
pub(crate) fn peer_address(key: &str) -> Option<SocketAddr> {
    key.split(KEY_SEPARATOR).nth(1)?.parse().ok()
}

/// What a member is started with.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Who it is.
    pub identity: MemberIdentity,
    /// Bounds that the platform sets.
    pub limits: SchedulerLimits,
}

/// A running member. Dropping it ends its tasks at once; [`SchedulerMember::stop`] is the planned
/// way.
pub struct SchedulerMember<P> {
    platform: Arc<P>,
    shared: Arc<MemberShared>,
    callers: CallerPipe,
    place: Arc<watch::Sender<Place>>,
    tasks: JoinSet<()>,
}

impl<P: Platform> SchedulerMember<P> {
    /// Starts a member's pipes on the current runtime.
    ///
    /// # Errors
    ///
    /// An address that cannot be bound.
    pub async fn spawn(
        platform: Arc<P>,
        settings: SchedulerSettings,
        log: Arc<EventLog>,
    ) -> Result<Self> {
        Self::spawn_on(platform, TcpPeers, BootClock::open(), settings, log).await
    }

    /// Starts a member's pipes with a network to its peers and a clock, as an emulator gives them.
    ///
    /// # Errors
    ///
    /// An address that cannot be bound.
    pub async fn spawn_on<N: PeerNetwork>(
        platform: Arc<P>,
        peers: N,
        clock: BootClock,
        settings: SchedulerSettings,
        log: Arc<EventLog>,
    ) -> Result<Self> {
        let address = settings.identity.peer_address;
        let shared = MemberShared::open(settings.identity, clock, log);
        let peers = Arc::new(peers);
        event!(shared.log, Start, "version": env!("CARGO_PKG_VERSION"),
            "key": shared.identity.member_key());
        let (store, stored) = mpsc::unbounded_channel();
        let (asks, asked) = mpsc::unbounded_channel();
        let (notices, noticed) = mpsc::unbounded_channel();
        let (place, place_seen) = watch::channel(Place::default());
        let (waves, waves_seen) = watch::channel(WaveBook::new());
        let callers = CallerPipe::open(shared.clone(), store, asks);
        let owner = OwnerTask {
            platform: platform.clone(),
            shared: shared.clone(),
            limits: settings.limits,
            place: place_seen,
            waves: waves_seen,
        };
        let mut tasks = JoinSet::new();
        // Before it joins: a member whose peer address is refused is taken to have ended.
        tasks.spawn(peer::serve(shared.clone(), &*peers, address).await?);
        tasks.spawn(AcceptTask::open(platform.clone(), shared.clone(), stored, notices).run());
        tasks.spawn(
            AskTask::open(
                platform.clone(),
                peers.clone(),
                shared.clone(),
                asked,
                noticed,
            )
            .run(),
        );
        tasks.spawn(OperatorTask::open(platform.clone(), shared.clone(), waves).run());
        let place = Arc::new(place);
        tasks.spawn(membership::watch_owner(platform.clone(), shared.clone()));
        tasks.spawn(membership::run(
            platform.clone(),
            shared.clone(),
            place.clone(),
        ));
        tasks.spawn(owner.run());

        Ok(Self {
            platform,
            shared,
            callers,
            place,
            tasks,
        })
    }

    /// The pipe that serves callers.
    pub fn callers(&self) -> CallerPipe {
        self.callers.clone()
    }

    /// Turns readiness off and hands the pools over; callers are still served.
    pub async fn hand_over(&self) {
        self.shared.begin_stop();
        event!(self.shared.log, Stop, "owned": self.shared.owner_inbox.load().is_some());
        membership::withdraw(&*self.platform, &self.shared, &self.place).await;
    }

    /// Ends all tasks.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}
