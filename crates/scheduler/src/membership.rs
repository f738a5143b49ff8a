//! Is in the store's group while this member owns the pools or offers to, and follows whether it
//! owns them.

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

/// Time between two calls: three in the shortest time after which the store gives a silent
/// member's part away.
const JOIN_PAUSE: Duration = Duration::from_millis(300);
/// Time between two looks for an owner in doubt: a takeover waits for one of them.
const WATCH_PAUSE: Duration = Duration::from_millis(200);
/// Time between two calls while this member waits to be dealt the pools.
const CLAIM_PAUSE: Duration = Duration::from_millis(80);
/// Time for the last orders of an owner that stops to be answered.
const HANDOVER_PAUSE: Duration = Duration::from_millis(60);
/// Time for the group to take a member's farewell.
const LEAVE_LIMIT: Duration = Duration::from_millis(800);

/// What is known of this member's place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Place {
    /// The newest generation that was heard of.
    pub(crate) generation: u64,
    /// The generation from which on this member has owned the pools.
    pub(crate) owned_since: Option<u64>,
    /// When the store last said so.
    pub(crate) heard_at: ClockTime,
}

impl Place {
    fn follow(&self, heard: Membership, now: ClockTime) -> Self {
        let since = self.owned_since.unwrap_or(heard.generation);
        Self {
            generation: heard.generation,
            owned_since: heard.owns.then_some(since),
            heard_at: now,
        }
    }
}

/// Leaves the group. Orders end first, so that the next owner meets no late ones, and the next owner
/// is chosen, so that the pools wait for nobody.
pub(crate) async fn withdraw<P: Platform>(
    platform: &P,
    shared: &MemberShared,
    place: &watch::Sender<Place>,
) {
    let owned = place.borrow().owned_since.is_some();
    if owned {
        shared.followers.choose();
        place.send_modify(|place| place.owned_since = None);
        sleep(HANDOVER_PAUSE).await;
    }
    let member = shared.identity.member_key();
    let outcome = match timeout(LEAVE_LIMIT, platform.leave(&member)).await {
        Ok(Ok(())) => "left the group".to_owned(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer in time".to_owned(),
    };
    event!(shared.log, Ownership, "owns": false, "outcome": outcome);
}

/// Joins again and again until the member stops.
pub(crate) async fn run<P: Platform>(
    platform: Arc<P>,
    shared: Arc<MemberShared>,
    place: Arc<watch::Sender<Place>>,
) {
    let member = shared.identity.member_key();
    let mut in_group = false;
    while !shared.is_stopping() {
        let known = *place.borrow();
        let now = shared.clock.now();
        let owns = known.owned_since.is_some() && !shared.owner.is_outdated(known.heard_at);
        let offer_at = shared.owner.offer_at(owns);
        if offer_at.is_none() && in_group {
            withdraw(&*platform, &shared, &place).await;
            in_group = false;
        }
        let due = offer_at.is_some_and(|at| at <= now);
        if !due && !in_group {
            let until_due = offer_at.map(|at| Duration::from_millis((at - now).as_millis()));
            wait_news(&shared, until_due.unwrap_or(JOIN_PAUSE)).await;
            continue;
        }
        // Another member may have been quicker; one more in the group would move the pools again.
        if !in_group {
            look_up_owner(&*platform, &shared).await;
            if shared.owner.offer_at(false).is_none() {
                continue;
            }
        }
        in_group = true;
        // The call's own time counts against its answer: it may be old when it arrives.
        let asked_at = shared.clock.now();
        let joined = platform.join(&member, known.generation).await;
        shared.note_call(Dependency::Membership, &joined);
        let answered = joined.is_ok();
        if let Ok(heard) = joined {
            shared.saw_store();
            place.send_replace(known.follow(heard, asked_at));
        }
        let claims = answered && place.borrow().owned_since.is_none();
        wait_news(&shared, if claims { CLAIM_PAUSE } else { JOIN_PAUSE }).await;
    }
}

/// Looks the owner up in the store while the one that speaks may have lost the pools: a member whose
/// way to the store is cut goes on until a worker tells it.
pub(crate) async fn watch_owner<P: Platform>(platform: Arc<P>, shared: Arc<MemberShared>) {
    while !shared.is_stopping() {
        if shared.owner_inbox.load().is_none() && shared.doubts_owner() {
            look_up_owner(&*platform, &shared).await;
        }
        sleep(WATCH_PAUSE).await;
    }
}

/// Asks the store whom it names as the owner; without an answer the last one holds, and none is
/// returned.
pub(crate) async fn look_up_owner<P: Platform>(
    platform: &P,
    shared: &MemberShared,
) -> Option<String> {
    let owner = platform.owner().await;
    shared.note_call(Dependency::Membership, &owner);
    let owner = owner.ok()?;
    shared.owner.name(owner.as_deref());
    owner
}

/// Waits for news of the owner, at most for `pause`.
async fn wait_news(shared: &MemberShared, pause: Duration) {
    // Either way the next round looks at all that is known.
    let _ = timeout(pause, shared.owner.news()).await;
}
