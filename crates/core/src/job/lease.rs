//! Until when a worker may still run what it holds.
//!
//! A worker counts lease time on its own clock, which may run 2% slow. The bounds here are on our
//! clock and never early: past them, nothing that the worker was given can be at work.

use crate::clock::ClockTime;

/// Thousandths by which our clock may advance while a worker's advances by a thousand: a worker's
/// clock may be 2% slow by the workers' protocol, and ours is taken to be 1% fast at most.
const CLOCK_DRIFT_PERMILLE: u64 = 1_031;
/// Time by which a worker may be late to end what its lease no longer covers.
const LAPSE_MARGIN: ClockTime = ClockTime::from_millis(100);

/// By how much the wall clocks of two members may differ, so that a time that another member has
/// stored is not taken too early.
const CLOCK_SKEW: ClockTime = ClockTime::from_millis(2_500);

/// A worker whose clock we have not read: another member may have renewed its lease just now.
#[derive(Clone, Copy, Debug)]
pub struct UnknownLease {
    /// When we took the worker over.
    pub since: ClockTime,
    /// The longest lease that the scheduler's members give.
    pub max_span: ClockTime,
    /// The time by which an earlier owner has stored that everything lapses there, by its clock.
    pub stored_lapse: Option<ClockTime>,
}

impl UnknownLease {
    /// When all that another member gave it has lapsed.
    pub fn lapsed_by(&self) -> ClockTime {
        let longest = self.since + with_clock_drift(self.max_span) + LAPSE_MARGIN;
        match self.stored_lapse {
            Some(stored) => longest.min(stored + CLOCK_SKEW),
            None => longest,
        }
    }

    /// Reads the worker's clock.
    pub fn into_held(self, worker_clock: u64, now: ClockTime) -> HeldLease {
        let earlier = self.lapsed_by();
        HeldLease {
            worker_clock,
            read_at: now,
            deadline: worker_clock,
            earlier,
        }
    }
}

/// A worker whose clock we have read.
#[derive(Clone, Copy, Debug)]
pub struct HeldLease {
    /// The worker's clock when it was last read, in milliseconds.
    worker_clock: u64,
    /// Our time then.
    read_at: ClockTime,
    /// The latest deadline that we have sent, on the worker's clock.
    deadline: u64,
    /// When what was granted before we read the clock has lapsed.
    earlier: ClockTime,
}

impl HeldLease {
    /// Reads the worker's clock anew.
    pub fn read(&mut self, worker_clock: u64, now: ClockTime) {
        self.worker_clock = worker_clock;
        self.read_at = now;
    }

    /// The deadline for a lease of `span` from now, on the worker's clock.
    pub fn extend(&mut self, span: ClockTime, now: ClockTime) -> u64 {
        let wanted = self.worker_clock + (now - self.read_at + span).as_millis();
        self.deadline = self.deadline.max(wanted);
        wanted
    }

    /// When all that it was given has lapsed, if it hears nothing more.
    pub fn lapsed_by(&self) -> ClockTime {
        let left = ClockTime::from_millis(self.deadline.saturating_sub(self.worker_clock));
        (self.read_at + with_clock_drift(left) + LAPSE_MARGIN).max(self.earlier)
    }
}

/// The lease of a worker, as far as it is known.
#[derive(Clone, Copy, Debug)]
pub enum WorkerLease {
    /// Its clock has not been read.
    Unknown(UnknownLease),
    /// Its clock has been read.
    Held(HeldLease),
}

impl WorkerLease {
    /// Reads the worker's clock.
    pub fn read(&mut self, worker_clock: u64, now: ClockTime) {
        match self {
            Self::Unknown(lease) => *self = Self::Held(lease.into_held(worker_clock, now)),
            Self::Held(lease) => lease.read(worker_clock, now),
        }
    }

    /// The deadline for a lease of `span`; none before the worker's clock has been read.
    pub fn extend(&mut self, span: ClockTime, now: ClockTime) -> Option<u64> {
        match self {
            Self::Unknown(_) => None,
            Self::Held(lease) => Some(lease.extend(span, now)),
        }
    }

    /// When all that it was given has lapsed, if it hears nothing more.
    pub fn lapsed_by(&self) -> ClockTime {
        match self {
            Self::Unknown(lease) => lease.lapsed_by(),
            Self::Held(lease) => lease.lapsed_by(),
        }
    }
}

fn with_clock_drift(span: ClockTime) -> ClockTime {
    ClockTime::from_millis(span.as_millis() * CLOCK_DRIFT_PERMILLE / 1_000)
}
