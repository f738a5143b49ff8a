//! A clock that counts the time in which the machine was suspended.

use std::time::{SystemTime, UNIX_EPOCH};

use jacinthhoist_core::ClockTime;
use rustix::time::{ClockId, clock_gettime};

const NANOS_PER_MILLI: i64 = 1_000_000;
const MILLIS_PER_SEC: i64 = 1_000;

/// Wall time at the start, then time since boot: it never goes back, and it shows a suspension as a
/// jump ahead.
///
/// ```
/// use jacinthhoist_net::BootClock;
/// let clock = BootClock::open();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    wall: ClockTime,
    start: u64,
}

impl BootClock {
    /// Starts at the wall time.
    pub fn open() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            wall: ClockTime::from_millis(wall.as_millis() as u64),
            start: boot_millis(),
        }
    }

    /// Now.
    pub fn now(&self) -> ClockTime {
        self.wall + ClockTime::from_millis(boot_millis() - self.start)
    }
}

fn boot_millis() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    (time.tv_sec * MILLIS_PER_SEC + time.tv_nsec / NANOS_PER_MILLI) as u64
}
