//! Membership in the store's group: a member is in the group while it owns the pools or is a
//! candidate for their ownership.

use std::{sync::Arc, time::Duration};

use jacinthhoist_core::ClockTime;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    dependency::Dependency,
    eventlog::event,
    ports::{Membership, Platform},
    shared::MemberShared,
};

/// Interval between membership renewals: three fit into the shortest time after which the store
/// reassigns the pools of a silent member.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between owner look-ups while the ownership is in doubt; a takeover waits for one.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between join calls of a candidate until the store assigns the pools to it.
const JOIN_INTERVAL: Duration = Duration::from_millis(80);
/// Time that a stopping owner allows for responses to its last orders.
const HANDOVER_DELAY: Duration = Duration::from_millis(60);
/// Longest wait of a stopping owner for its pipe to end; calls in progress are dropped with it.
const PIPE_END_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks of the pipe.
const PIPE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for leaving the group.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(800);

/// Ownership of the pools as the store last reported it to this member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PoolOwnership {
    /// Newest known group generation.
    pub(crate) generation: u64,
    /// Generation since which this member has owned the pools.
    pub(crate) owned_since: Option<u64>,
    /// Time at which the last answered join call was sent.
    pub(crate) confirmed_at: ClockTime,
}

impl PoolOwnership {
    fn update(&self, membership: Membership, asked_at: ClockTime) -> Self {
        let since = self.owned_since.unwrap_or(membership.generation);
        Self {
            generation: membership.generation,
            owned_since: membership.owns.then_some(since),
            confirmed_at: asked_at,
        }
    }
}

/// Leaves the group. An owner first designates its successor, so that the pools are taken over at
/// once, and stops sending orders, so that none arrives after the takeover.
pub(crate) async fn withdraw<P: Platform>(
    platform: &P,
    shared: &MemberShared,
    ownership: &watch::Sender<PoolOwnership>,
) {
    let owned = ownership.borrow().owned_since.is_some();
    if owned {
        shared.followers.designate_successor();
        ownership.send_modify(|ownership| ownership.owned_since = None);
        sleep(HANDOVER_DELAY).await;
        let pipe_ended = async {
            while shared.owner_inbox.load().is_some() {
                wait_change(shared, PIPE_CHECK_INTERVAL).await;
            }
        };
        if timeout(PIPE_END_TIMEOUT, pipe_ended).await.is_err() {
            event!(shared.log, Ownership, "owns": false,
                "outcome": "leaves the group before its owner pipe has ended");
        }
    }
    let member = shared.identity.member_key();
    let outcome = match timeout(LEAVE_TIMEOUT, platform.leave(&member)).await {
        Ok(Ok(())) => "left the group".to_owned(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer in time".to_owned(),
    };
    event!(shared.log, Ownership, "owns": false, "outcome": outcome);
}

/// Joins and leaves the group as the member's view of the owner requires, until the member stops.
pub(crate) async fn run<P: Platform>(
    platform: Arc<P>,
    shared: Arc<MemberShared>,
    ownership: Arc<watch::Sender<PoolOwnership>>,
) {
    let member = shared.identity.member_key();
    let mut candidacy = None;
    while !shared.is_stopping() {
        let known = *ownership.borrow();
        let now = shared.clock.now();
        let owns =
            known.owned_since.is_some() && !shared.owner_view.is_outdated(known.confirmed_at);
        let candidacy_at = shared.owner_view.candidacy_at(owns);
        if candidacy_at.is_none() && candidacy.is_some() {
            withdraw(&*platform, &shared, &ownership).await;
            candidacy = None;
        }
        let due = candidacy_at.is_some_and(|at| at <= now);
        if !due && candidacy.is_none() {
            let until_due = candidacy_at.map(|at| Duration::from_millis((at - now).as_millis()));
            wait_change(&shared, until_due.unwrap_or(RENEWAL_INTERVAL)).await;
            continue;
        }
        // Another member may have joined first; a further join could move the pools again.
        if candidacy.is_none() {
            look_up_owner(&*platform, &shared).await;
            if shared.owner_view.candidacy_at(false).is_none() {
                continue;
            }
            match shared.owner_view.begin_candidacy() {
                Ok(begun) => candidacy = Some(begun),
                Err(promised_until) => {
                    let rest = promised_until - shared.clock.now();
                    wait_change(&shared, Duration::from_millis(rest.as_millis())).await;
                    continue;
                }
            }
        }
        // The age of the answer counts from the call, as the answer may be delayed in transit.
        let asked_at = shared.clock.now();
        let lifetime = shared.identity.rank.membership();
        let joined = platform.join(&member, known.generation, lifetime).await;
        shared.record_call(Dependency::Membership, &joined);
        let answered = joined.is_ok();
        if let Ok(membership) = joined {
            shared.record_store_answer();
            ownership.send_replace(known.update(membership, asked_at));
        }
        let joining = answered && ownership.borrow().owned_since.is_none();
        wait_change(
            &shared,
            if joining {
                JOIN_INTERVAL
            } else {
                RENEWAL_INTERVAL
            },
        )
        .await;
    }
}

/// Looks the owner up in the store while the current owner may have lost the pools: an owner that
/// is cut off from the store continues until a worker rejects its token.
pub(crate) async fn watch_owner<P: Platform>(platform: Arc<P>, shared: Arc<MemberShared>) {
    while !shared.is_stopping() {
        if shared.owner_inbox.load().is_none() && shared.is_owner_in_doubt() {
            look_up_owner(&*platform, &shared).await;
        }
        sleep(LOOKUP_INTERVAL).await;
    }
}

/// Looks the owner up in the store. Without an answer the last known owner is kept and `None` is
/// returned.
pub(crate) async fn look_up_owner<P: Platform>(
    platform: &P,
    shared: &MemberShared,
) -> Option<String> {
    let received = shared.owner_view.last_heartbeat();
    let owner = platform.owner().await;
    shared.record_call(Dependency::Membership, &owner);
    let Ok(owner) = owner else {
        shared.owner_view.record_lookup_failure();
        return None;
    };
    shared.owner_view.record_owner(owner.as_deref(), received);
    owner
}

/// Waits for a change of the owner view, at most for `limit`.
async fn wait_change(shared: &MemberShared, limit: Duration) {
    // The next round checks all conditions whether or not the wait has timed out.
    let _ = timeout(limit, shared.owner_view.changed()).await;
}
