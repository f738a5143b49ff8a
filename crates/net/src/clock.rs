//! Clocks that never run backwards: one follows the runtime's timers, and one also counts the time
//! during which the machine is suspended.

use std::{
    sync::{
        Arc,
        atomic::{AtomicI64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use jacinthhoist_core::ClockTime;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

const NANOS_PER_MILLI: i64 = 1_000_000;
const MILLIS_PER_SEC: i64 = 1_000;

/// Clock that starts at the wall-clock time and advances with the runtime's monotonic time.
///
/// It never runs backwards, and it stops while the runtime's time is paused.
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
    /// Starts the clock at the wall-clock time.
    pub fn start() -> Self {
        Self::start_at(wall_clock_time())
    }

    /// Starts the clock at a given time.
    pub fn start_at(wall: ClockTime) -> Self {
        Self {
            wall,
            start: Instant::now(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> ClockTime {
        let elapsed = self.start.elapsed().as_millis() as u64;
        self.wall + ClockTime::from_millis(elapsed)
    }

    /// Converts a time to the runtime's instant.
    pub fn instant(&self, at: ClockTime) -> Instant {
        self.start + Duration::from_millis((at - self.wall).as_millis())
    }
}

/// Time source of a clock.
#[derive(Clone, Copy, Debug)]
enum ClockSource {
    /// Time since boot; `wall` is the wall-clock time and `start` the milliseconds since boot when
    /// the clock started.
    Boot { wall: ClockTime, start: u64 },
    /// The runtime's timers, which an emulator may advance.
    Runtime(RunClock),
}

/// Clock that starts at the wall-clock time and advances with the time since boot.
///
/// It never runs backwards, and after a suspension of the machine it jumps ahead.
///
/// ```
/// use jacinthhoist_net::BootClock;
/// let clock = BootClock::start();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct BootClock(ClockSource);

impl BootClock {
    /// Starts the clock at the wall-clock time.
    pub fn start() -> Self {
        Self::start_at(wall_clock_time())
    }

    /// Starts the clock at a given time.
    ///
    /// ```
    /// use jacinthhoist_core::ClockTime;
    /// use jacinthhoist_net::BootClock;
    /// let clock = BootClock::start_at(ClockTime::from_secs(5));
    /// assert!(clock.now() >= ClockTime::from_secs(5));
    /// ```
    pub fn start_at(wall: ClockTime) -> Self {
        Self(ClockSource::Boot {
            wall,
            start: millis_since_boot(),
        })
    }

    /// Starts the clock at `wall` and advances it with the timers of the current runtime, so that
    /// it follows virtual time if the runtime's time is paused.
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

    /// Returns the current time.
    pub fn now(&self) -> ClockTime {
        match self.0 {
            ClockSource::Boot { wall, start } => {
                wall + ClockTime::from_millis(millis_since_boot() - start)
            }
            ClockSource::Runtime(clock) => clock.now(),
        }
    }
}

/// Time of day as the machine's wall clock shows it, which may be set at any time.
///
/// ```
/// use std::sync::{Arc, atomic::{AtomicI64, Ordering}};
/// use jacinthhoist_core::ClockTime;
/// use jacinthhoist_net::{BootClock, WallClock};
/// assert!(WallClock::System.now() > ClockTime::ZERO);
/// let ahead_ms = Arc::new(AtomicI64::new(0));
/// let wall = WallClock::Shifted { clock: BootClock::start(), ahead_ms: ahead_ms.clone() };
/// let before = wall.now();
/// ahead_ms.store(5_000, Ordering::Relaxed);
/// assert!(wall.now() >= before + ClockTime::from_secs(5));
/// ```
#[derive(Clone, Debug)]
pub enum WallClock {
    /// Wall clock of the operating system.
    System,
    /// Clock that is ahead of another one by a number of milliseconds, which an emulator sets.
    Shifted {
        /// The other clock.
        clock: BootClock,
        /// Number of milliseconds; negative if it is behind.
        ahead_ms: Arc<AtomicI64>,
    },
}

impl WallClock {
    /// Returns the current time of day.
    pub fn now(&self) -> ClockTime {
        match self {
            Self::System => wall_clock_time(),
            Self::Shifted { clock, ahead_ms } => {
                let millis = clock.now().as_millis();
                ClockTime::from_millis(
                    millis.saturating_add_signed(ahead_ms.load(Ordering::Relaxed)),
                )
            }
        }
    }
}

/// Time after which a request must not be sent any more.
///
/// ```
/// use jacinthhoist_core::ClockTime;
/// use jacinthhoist_net::{BootClock, SendExpiry};
/// let clock = BootClock::start();
/// assert!(SendExpiry::new(clock, clock.now()).has_passed());
/// assert!(!SendExpiry::new(clock, clock.now() + ClockTime::from_secs(60)).has_passed());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct SendExpiry {
    clock: BootClock,
    at: ClockTime,
}

impl SendExpiry {
    /// Creates the expiry at a time of the given clock.
    pub fn new(clock: BootClock, at: ClockTime) -> Self {
        Self { clock, at }
    }

    /// Returns whether the time has been reached; a suspension of the machine counts.
    pub fn has_passed(&self) -> bool {
        self.clock.now() >= self.at
    }
}

fn wall_clock_time() -> ClockTime {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    ClockTime::from_millis(wall.unwrap_or_default().as_millis() as u64)
}

fn millis_since_boot() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    (time.tv_sec * MILLIS_PER_SEC + time.tv_nsec / NANOS_PER_MILLI) as u64
}
