//! A clock that counts the time in which the machine was suspended.

use std::time::{SystemTime, UNIX_EPOCH};

use jacinthhoist_core::ClockTime;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

const NANOS_PER_MILLI: i64 = 1_000_000;
const MILLIS_PER_SEC: i64 = 1_000;

/// What moves a clock on.
#[derive(Clone, Copy, Debug)]
enum ClockSource {
    /// Time since boot, in milliseconds at the start.
    Boot(u64),
    /// The runtime's timers, which an emulator may run ahead.
    Runtime(Instant),
}

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
    source: ClockSource,
}

impl BootClock {
    /// Starts at the wall time.
    pub fn open() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            wall: ClockTime::from_millis(wall.as_millis() as u64),
            source: ClockSource::Boot(boot_millis()),
        }
    }

    /// Starts at `wall` and keeps step with the timers of the runtime it is used on, so that it runs
    /// in virtual time where that is paused.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap()
    /// # .block_on(async {
    /// use std::time::Duration;
    /// use jacinthhoist_core::ClockTime;
    /// use jacinthhoist_net::BootClock;
    /// let clock = BootClock::on_runtime(ClockTime::from_secs(5));
    /// tokio::time::advance(Duration::from_secs(2)).await;
    /// assert_eq!(clock.now(), ClockTime::from_secs(7));
    /// # });
    /// ```
    pub fn on_runtime(wall: ClockTime) -> Self {
        Self {
            wall,
            source: ClockSource::Runtime(Instant::now()),
        }
    }

    /// Now.
    pub fn now(&self) -> ClockTime {
        let passed = match self.source {
            ClockSource::Boot(start) => boot_millis() - start,
            ClockSource::Runtime(start) => start.elapsed().as_millis() as u64,
        };
        self.wall + ClockTime::from_millis(passed)
    }
}

fn boot_millis() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    (time.tv_sec * MILLIS_PER_SEC + time.tv_nsec / NANOS_PER_MILLI) as u64
}
