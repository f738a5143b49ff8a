//! Heartbeats for the followers of an owner.

use std::{
    pin::pin,
    sync::Arc,
    task::{Context, Poll, Waker},
};

use jacinthhoist_codec::OwnerHeartbeat;
use jacinthhoist_core::ClockTime;
use jacinthhoist_scheduler::{FollowedHeartbeats, HeartbeatFeed};

fn heartbeat(age_ms: u64) -> Arc<OwnerHeartbeat> {
    Arc::new(OwnerHeartbeat {
        read_age: ClockTime::from_millis(age_ms),
        ..OwnerHeartbeat::default()
    })
}

/// The next heartbeat, if it is there.
fn poll_next(followed: &mut FollowedHeartbeats) -> Option<Arc<OwnerHeartbeat>> {
    let next = pin!(followed.next());
    match next.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(heartbeat) => heartbeat,
        Poll::Pending => None,
    }
}

/// Guards against counts that nobody has made (MIXED): between its takeover and its first step an owner
/// sent its followers an empty load as a fresh one, and they said that no job waited.
#[test]
fn followers_hear_nothing_before_the_first_step_of_an_ownership() {
    let feed = HeartbeatFeed::open();
    let mut early = feed.follow();
    assert_eq!(poll_next(&mut early), None);
    feed.publish(heartbeat(1));
    assert_eq!(poll_next(&mut early), Some(heartbeat(1)));
    assert_eq!(poll_next(&mut early), None, "it has been returned");
    assert_eq!(poll_next(&mut feed.follow()), Some(heartbeat(1)));
}

/// Guards against the load of an earlier ownership of the same process, which would count as fresh.
#[test]
fn followers_hear_nothing_of_an_earlier_ownership() {
    let feed = HeartbeatFeed::open();
    feed.publish(heartbeat(1));
    feed.end();
    let mut followed = feed.follow();
    assert_eq!(poll_next(&mut followed), None);
    feed.publish(heartbeat(2));
    assert_eq!(poll_next(&mut followed), Some(heartbeat(2)));
}
