//! The members that follow the owner, of which one takes over when it stops.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

use jacinthhoist_core::job::MemberRank;
use tokio::sync::oneshot;

/// A member that follows the owner.
#[derive(Debug)]
struct Follower {
    rank: MemberRank,
    chosen: oneshot::Sender<()>,
}

/// The members that follow this one; links come and go, requests do not touch it.
#[derive(Debug)]
pub(crate) struct FollowerRegistry {
    followers: Mutex<(u64, BTreeMap<u64, Follower>)>,
}

impl FollowerRegistry {
    pub(crate) fn open() -> Self {
        Self {
            followers: Mutex::new((0, BTreeMap::new())),
        }
    }

    /// A member follows; what is returned tells it when it is chosen. Members whose links have closed
    /// are dropped.
    pub(crate) fn add(&self, rank: MemberRank) -> oneshot::Receiver<()> {
        let (chosen, is_chosen) = oneshot::channel();
        let mut book = self
            .followers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (last, followers) = &mut *book;
        followers.retain(|_, follower| !follower.chosen.is_closed());
        *last += 1;
        followers.insert(*last, Follower { rank, chosen });
        is_chosen
    }

    /// Chooses the member that follows this one: the strongest, the one that has followed longest
    /// among those.
    pub(crate) fn choose(&self) {
        let mut book = self
            .followers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (_, followers) = &mut *book;
        followers.retain(|_, follower| !follower.chosen.is_closed());
        let best = followers
            .iter()
            .rev()
            .max_by_key(|(_, follower)| follower.rank);
        let best = best.map(|(id, _)| *id);
        if let Some(follower) = best.and_then(|id| followers.remove(&id)) {
            // A link that closes just now leaves the choice to the store.
            let _ = follower.chosen.send(());
        }
    }
}
