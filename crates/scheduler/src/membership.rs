//! Stays a member of the scheduler's group and follows whether this member owns the pools.

use std::{sync::Arc, time::Duration};

use jacinthhoist_core::ClockTime;
use tokio::{sync::watch, time::sleep};

use crate::{
    dependency::Dependency,
    ports::{Membership, Platform},
    shared::MemberShared,
};

/// Time between two calls: three in the shortest time after which the store gives a silent
/// member's part away.
const JOIN_PAUSE: Duration = Duration::from_millis(300);

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

/// Joins again and again until the member stops.
pub(crate) async fn run<P: Platform>(
    platform: Arc<P>,
    shared: Arc<MemberShared>,
    place: watch::Sender<Place>,
) {
    let member = shared.identity.member_key();
    while !shared.is_stopping() {
        let known = *place.borrow();
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
