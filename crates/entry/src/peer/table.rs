//! Table of the peers and their latest heartbeats: immutable, replaced on each change.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use arc_swap::ArcSwap;
use jacinthhoist_codec::{ClaimReply, HeartbeatFrame, PeerFrame, PoolLoad};
use jacinthhoist_core::{ClaimKey, ClockTime, MemberName, Offset, PoolName};
use tokio::sync::{mpsc, oneshot};

/// Outgoing message on a link.
pub(crate) enum LinkMessage {
    /// Frame for which no caller awaits a reply.
    Frame(PeerFrame),
    /// Query for the outcome of a claim, with the sender for the reply.
    QueryClaim(ClaimKey, oneshot::Sender<ClaimReply>),
}

/// State of one peer.
#[derive(Clone)]
pub(crate) struct PeerView {
    pub(crate) nonce: u64,
    pub(crate) last_heartbeat_at: ClockTime,
    pub(crate) folded: Option<Offset>,
    pub(crate) pools: HashMap<PoolName, PoolLoad>,
    pub(crate) link: mpsc::UnboundedSender<LinkMessage>,
}

/// All peers to which this member has a link.
#[derive(Default)]
pub(crate) struct PeerTable {
    views: ArcSwap<BTreeMap<MemberName, PeerView>>,
}

impl PeerTable {
    /// Returns the current state of all peers.
    pub(crate) fn views(&self) -> Arc<BTreeMap<MemberName, PeerView>> {
        self.views.load_full()
    }

    pub(super) fn add(&self, member: &MemberName, view: PeerView) {
        self.update(|views| {
            views.insert(member.clone(), view.clone());
        });
    }

    pub(super) fn remove(&self, member: &MemberName) {
        self.update(|views| {
            views.remove(member);
        });
    }

    /// Records a heartbeat; ignored unless it is from the peer's current incarnation.
    pub(super) fn record_heartbeat(
        &self,
        member: &MemberName,
        nonce: u64,
        heartbeat: &HeartbeatFrame,
        now: ClockTime,
    ) {
        self.update(|views| {
            let Some(view) = views.get_mut(member).filter(|view| view.nonce == nonce) else {
                return;
            };
            view.last_heartbeat_at = view.last_heartbeat_at.max(now);
            view.folded = view.folded.max(heartbeat.folded);
            for load in &heartbeat.pools {
                view.pools.insert(load.pool.clone(), load.clone());
            }
        });
    }

    fn update(&self, update: impl Fn(&mut BTreeMap<MemberName, PeerView>)) {
        self.views.rcu(|views| {
            let mut next = BTreeMap::clone(views);
            update(&mut next);
            next
        });
    }

    /// Returns true if the peer's last heartbeat is older than the timeout.
    pub(crate) fn is_suspected(
        &self,
        member: &MemberName,
        now: ClockTime,
        silence_timeout: ClockTime,
    ) -> bool {
        let views = self.views.load();
        views
            .get(member)
            .is_some_and(|view| now - view.last_heartbeat_at > silence_timeout)
    }

    /// Returns the load of a pool, summed over all peers.
    pub(crate) fn pool_load(&self, pool: &PoolName) -> PoolLoad {
        let views = self.views.load();
        let mut total = PoolLoad {
            pool: pool.clone(),
            running: 0,
            waiting: 0,
            slots: 0,
        };
        for load in views.values().filter_map(|view| view.pools.get(pool)) {
            total.running = total.running.saturating_add(load.running);
            total.waiting = total.waiting.saturating_add(load.waiting);
            total.slots = total.slots.saturating_add(load.slots);
        }
        total
    }

    /// Queries a peer for the outcome of a claim; none if there is no link or it closes.
    pub(crate) async fn query_claim(
        &self,
        member: &MemberName,
        key: ClaimKey,
    ) -> Option<ClaimReply> {
        let (sender, reply) = oneshot::channel();
        let link = self.views.load().get(member)?.link.clone();
        link.send(LinkMessage::QueryClaim(key, sender)).ok()?;
        reply.await.ok()
    }
}
