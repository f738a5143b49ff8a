//! What this member has heard of its peers: an immutable table, replaced as a whole.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use arc_swap::ArcSwap;
use jacinthhoist_codec::{ClaimReply, HeartbeatFrame, PeerFrame, PoolLoad};
use jacinthhoist_core::{ClaimKey, ClockTime, MemberName, Offset, PoolName};
use tokio::sync::{mpsc, oneshot};

/// What goes out on a link.
pub(crate) enum LinkMessage {
    /// A frame that needs no answer here.
    Frame(PeerFrame),
    /// A question about a claim.
    AskClaim(ClaimKey, oneshot::Sender<ClaimReply>),
}

/// What was heard of one peer.
#[derive(Clone)]
pub(crate) struct PeerView {
    pub(crate) nonce: u64,
    pub(crate) heard_at: ClockTime,
    pub(crate) folded: Option<Offset>,
    pub(crate) pools: HashMap<PoolName, PoolLoad>,
    pub(crate) link: mpsc::UnboundedSender<LinkMessage>,
}

/// All peers that this member has a link to.
#[derive(Default)]
pub(crate) struct PeerTable {
    views: ArcSwap<BTreeMap<MemberName, PeerView>>,
}

impl PeerTable {
    /// The views as they are now.
    pub(crate) fn views(&self) -> Arc<BTreeMap<MemberName, PeerView>> {
        self.views.load_full()
    }

    pub(super) fn add(&self, member: &MemberName, view: PeerView) {
        self.change(|views| {
            views.insert(member.clone(), view.clone());
        });
    }

    pub(super) fn remove(&self, member: &MemberName) {
        self.change(|views| {
            views.remove(member);
        });
    }

    /// Notes a heartbeat of a peer's present incarnation.
    pub(super) fn note_beat(
        &self,
        member: &MemberName,
        nonce: u64,
        beat: &HeartbeatFrame,
        now: ClockTime,
    ) {
        self.change(|views| {
            let Some(view) = views.get_mut(member).filter(|view| view.nonce == nonce) else {
                return;
            };
            view.heard_at = view.heard_at.max(now);
            view.folded = view.folded.max(beat.folded);
            for load in &beat.pools {
                view.pools.insert(load.pool.clone(), load.clone());
            }
        });
    }

    fn change(&self, change: impl Fn(&mut BTreeMap<MemberName, PeerView>)) {
        self.views.rcu(|views| {
            let mut next = BTreeMap::clone(views);
            change(&mut next);
            next
        });
    }

    /// Whether a peer has been silent for longer than a span.
    pub(crate) fn is_suspected(
        &self,
        member: &MemberName,
        now: ClockTime,
        silent: ClockTime,
    ) -> bool {
        let views = self.views.load();
        views
            .get(member)
            .is_some_and(|view| now - view.heard_at > silent)
    }

    /// What all peers together say of a pool.
    pub(crate) fn pool_load(&self, pool: &PoolName) -> PoolLoad {
        let views = self.views.load();
        let mut sum = PoolLoad {
            pool: pool.clone(),
            running: 0,
            waiting: 0,
            slots: 0,
        };
        for load in views.values().filter_map(|view| view.pools.get(pool)) {
            sum.running += load.running;
            sum.waiting += load.waiting;
            sum.slots += load.slots;
        }
        sum
    }

    /// Asks a peer about a claim; none where there is no link.
    pub(crate) async fn query_claim(
        &self,
        member: &MemberName,
        key: ClaimKey,
    ) -> Option<ClaimReply> {
        let (sender, reply) = oneshot::channel();
        let link = self.views.load().get(member)?.link.clone();
        link.send(LinkMessage::AskClaim(key, sender)).ok()?;
        reply.await.ok()
    }
}
