//! Heartbeats of an owner on their way to its followers.

use std::sync::Arc;

use jacinthhoist_codec::OwnerHeartbeat;
use tokio::sync::watch;

/// Newest heartbeat of a member while it owns the pools.
///
/// There is none before the first step of the owner pipe and after its end: followers would take an
/// empty load, or that of an earlier ownership, for the current one.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// use jacinthhoist_codec::OwnerHeartbeat;
/// use jacinthhoist_scheduler::HeartbeatFeed;
/// let feed = HeartbeatFeed::open();
/// feed.publish(OwnerHeartbeat::default().into());
/// assert!(feed.follow().next().await.is_some());
/// # });
/// ```
#[derive(Debug)]
pub struct HeartbeatFeed(watch::Sender<Option<Arc<OwnerHeartbeat>>>);

/// Heartbeats as one follower receives them.
#[derive(Debug)]
pub struct FollowedHeartbeats(watch::Receiver<Option<Arc<OwnerHeartbeat>>>);

impl HeartbeatFeed {
    /// Creates the feed of a member that does not own the pools.
    pub fn open() -> Self {
        Self(watch::Sender::new(None))
    }

    /// Replaces the heartbeat by a newer one.
    pub fn publish(&self, heartbeat: Arc<OwnerHeartbeat>) {
        self.0.send_replace(Some(heartbeat));
    }

    /// Drops the heartbeat at the end of the ownership.
    pub fn end(&self) {
        self.0.send_replace(None);
    }

    /// Follows the heartbeats from the newest one on.
    pub fn follow(&self) -> FollowedHeartbeats {
        let mut heartbeats = self.0.subscribe();
        heartbeats.mark_changed();
        FollowedHeartbeats(heartbeats)
    }
}

impl FollowedHeartbeats {
    /// Waits for a heartbeat that has not been returned yet; `None` once the feed is gone.
    pub async fn next(&mut self) -> Option<Arc<OwnerHeartbeat>> {
        loop {
            self.0.changed().await.ok()?;
            let newest = self.0.borrow_and_update().clone();
            if newest.is_some() {
                return newest;
            }
        }
    }
}
