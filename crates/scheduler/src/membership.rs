//! Stays in the scheduler's group while this member offers to own the pools, and follows whether it
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

/// Leaves the group: orders end first, so that the next owner meets no late ones.
pub(crate) async fn withdraw<P: Platform>(
    platform: &P,
    shared: &MemberShared,
    place: &watch::Sender<Place>,
) {
    place.send_modify(|place| place.owned_since = None);
    sleep(HANDOVER_PAUSE).await;
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
    let mut joined_before = false;
    while !shared.is_stopping() {
        let known = *place.borrow();
        if !shared.offers_to_own(known.owned_since.is_some()) {
            if std::mem::take(&mut joined_before) {
                withdraw(&*platform, &shared, &place).await;
            }
            sleep(JOIN_PAUSE).await;
            continue;
        }
        joined_before = true;
        // The call's own time counts against its answer: it may be old when it arrives.
        let asked_at = shared.clock.now();
        let joined = platform.join(&member, known.generation).await;
        shared.note_call(Dependency::Membership, &joined);
        if let Ok(heard) = joined {
            shared.saw_store();
            place.send_replace(known.follow(heard, asked_at));
        }
        sleep(JOIN_PAUSE).await;
    }
}
