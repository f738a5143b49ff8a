//! Clocks that never go back: one by the runtime's timers, one that counts suspensions of the machine.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jacinthhoist_core::ClockTime;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

const NANOS_PER_MILLI: i64 = 1_000_000;
const MILLIS_PER_SEC: i64 = 1_000;

/// Wall time at the start, then the runtime's monotonic time: it never goes back, and a paused runtime
/// pauses it.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap()
/// # .block_on(async {
/// use std::time::Duration;
/// use jacinthhoist_core::ClockTime;
/// use jacinthhoist_net::RunClock;
/// let clock = RunClock::start_at(ClockTime::from_secs(5));
/// tokio::time::advance(Duration::from_secs(2)).await;
/// assert_eq!(clock.now(), ClockTime::from_secs(7));
/// assert_eq!(clock.instant(clock.now()), tokio::time::Instant::now());
/// # });
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RunClock {
    wall: ClockTime,
    start: Instant,
}

impl RunClock {
    /// Starts at the wall time.
    pub fn start() -> Self {
        Self::start_at(wall_time())
    }

    /// Starts at a time.
    pub fn start_at(wall: ClockTime) -> Self {
        Self {
            wall,
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
        self.start + Duration::from_millis((at - self.wall).as_millis())
    }
}

/// What moves a clock on.
#[derive(Clone, Copy, Debug)]
enum ClockSource {
    /// Time since boot, from the wall time and the milliseconds since boot at the start.
    Boot { wall: ClockTime, start: u64 },
    /// The runtime's timers, which an emulator may run ahead.
    Runtime(RunClock),
}

/// Wall time at the start, then time since boot: it never goes back, and it shows a suspension as a
/// jump ahead.
///
/// ```
/// use jacinthhoist_net::BootClock;
/// let clock = BootClock::start();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct BootClock(ClockSource);

impl BootClock {
    /// Starts at the wall time.
    pub fn start() -> Self {
        Self(ClockSource::Boot {
            wall: wall_time(),
            start: boot_millis(),
        })
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
        Self(ClockSource::Runtime(RunClock::start_at(wall)))
    }

    /// Now.
    pub fn now(&self) -> ClockTime {
        match self.0 {
            ClockSource::Boot { wall, start } => {
                wall + ClockTime::from_millis(boot_millis() - start)
            }
            ClockSource::Runtime(clock) => clock.now(),
        }
    }
}

fn wall_time() -> ClockTime {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    ClockTime::from_millis(wall.unwrap_or_default().as_millis() as u64)
}

fn boot_millis() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    (time.tv_sec * MILLIS_PER_SEC + time.tv_nsec / NANOS_PER_MILLI) as u64
}
