//! Followers of the owner, one of which takes over when it stops.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

use jacinthhoist_core::job::MemberRank;
use tokio::sync::oneshot;

/// Link of a member that follows the owner.
#[derive(Debug)]
struct Follower {
    rank: MemberRank,
    designate: oneshot::Sender<()>,
}

/// Followers of this member. The lock is taken when links open and on a handover, never by caller
/// requests.
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

    /// Adds a follower and returns the receiver of its designation as successor. Followers whose
    /// links have closed are removed.
    pub(crate) fn add(&self, rank: MemberRank) -> oneshot::Receiver<()> {
        let (designate, designated) = oneshot::channel();
        let mut registry = self
            .followers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (last_id, followers) = &mut *registry;
        followers.retain(|_, follower| !follower.designate.is_closed());
        *last_id += 1;
        followers.insert(*last_id, Follower { rank, designate });
        designated
    }

    /// Designates the successor: the follower of the highest rank, and among equals the one that
    /// has followed longest.
    pub(crate) fn designate_successor(&self) {
        let mut registry = self
            .followers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (_, followers) = &mut *registry;
        followers.retain(|_, follower| !follower.designate.is_closed());
        let best = followers
            .iter()
            .rev()
            .max_by_key(|(_, follower)| follower.rank);
        let best = best.map(|(id, _)| *id);
        if let Some(follower) = best.and_then(|id| followers.remove(&id)) {
            // If the link closes at this moment, the store decides the ownership.
            let _ = follower.designate.send(());
        }
    }
}
