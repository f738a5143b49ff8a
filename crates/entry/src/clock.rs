//! The member's clock: wall time at the start, then the runtime's monotonic time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jacinthhoist_core::ClockTime;
use tokio::time::Instant;

/// A clock that never goes back, and that a paused runtime pauses.
#[derive(Clone, Copy, Debug)]
pub struct RunClock {
    wall: ClockTime,
    start: Instant,
}

impl RunClock {
    /// Starts at the wall time.
    pub fn open() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            wall: ClockTime::from_millis(wall.as_millis() as u64),
            start: Instant::now(),
        }
    }

    /// Now.
    pub fn now(&self) -> ClockTime {
        let elapsed = self.start.elapsed().as_millis() as u64;
        self.wall + ClockTime::from_millis(elapsed)
    }

    /// The runtime's instant at a time.
    pub fn instant(&self, at: ClockTime) -> Instant {
        self.start + span(at - self.wall)
    }
}

/// A span as the runtime's type.
pub(crate) fn span(time: ClockTime) -> Duration {
    Duration::from_millis(time.as_millis())
}
