//! Upper bound on the time for which a worker may run its tasks.
//!
//! A worker measures lease time on its own clock, which may run 2% slow. The bounds in this module
//! are on the local clock and never early: after them, no task assigned to the worker can be
//! running.

use crate::clock::ClockTime;

/// Maximum advance of the local clock, in thousandths of the advance of a worker's clock. By the
/// workers' protocol a worker's clock may be 2% slow; the local clock is assumed to be at most 1%
/// fast, and other members' clocks to differ from it by less in rate.
const CLOCK_DRIFT_PERMILLE: u64 = 1_031;
/// Delay with which a worker may end the tasks of an expired lease.
const EXPIRY_MARGIN: ClockTime = ClockTime::from_millis(100);

/// Lease of a worker whose clock has not been read; another member may have just renewed it.
#[derive(Clone, Copy, Debug)]
pub struct UnknownLease {
    /// Time at which this member took over the worker.
    pub since: ClockTime,
    /// Longest lease that another member, or an order to an earlier process, may have granted.
    pub max_span: ClockTime,
    /// Local time by which the expiry stored by an earlier owner has been reached.
    pub stored_expiry: Option<ClockTime>,
    /// Time until which earlier owners may have extended the lease beyond that span.
    pub former_until: ClockTime,
}

impl UnknownLease {
    /// Latest time at which a lease granted by another member expires.
    pub fn latest_expiry(&self) -> ClockTime {
        let latest = self.longest_expiry();
        self.stored_expiry
            .map_or(latest, |expiry| latest.min(expiry))
    }

    fn longest_expiry(&self) -> ClockTime {
        latest_expiry(self.since, self.max_span).max(self.former_until)
    }

    /// Lease of a process that was restarted, before its clock has been read. An order with a deadline
    /// on the clock of the process before may have reached it, and the worker shortens such a deadline to
    /// the longest lease that it accepts.
    pub fn of_restarted(since: ClockTime, longest_lease: ClockTime) -> Self {
        Self {
            since,
            max_span: longest_lease,
            stored_expiry: None,
            former_until: ClockTime::ZERO,
        }
    }

    /// Converts the lease on the first reading of the worker's clock.
    pub fn into_held(self, worker_clock: u64, now: ClockTime) -> HeldLease {
        HeldLease {
            worker_clock,
            read_at: now,
            deadline: None,
            granted_at: ClockTime::ZERO,
            // The worker has seen this owner's token by now, and accepts no further extension.
            earlier: Self {
                former_until: self.former_until.min(latest_expiry(now, self.max_span)),
                ..self
            },
        }
    }
}

/// Lease of a worker whose clock has been read.
#[derive(Clone, Copy, Debug)]
pub struct HeldLease {
    /// Last reading of the worker's clock, in milliseconds.
    worker_clock: u64,
    /// Local time of that reading.
    read_at: ClockTime,
    /// Latest deadline sent to the worker, on the worker's clock; none before the first.
    deadline: Option<u64>,
    /// Time at which a deadline was last sent to the worker.
    granted_at: ClockTime,
    /// Lease granted before the first reading.
    earlier: UnknownLease,
}

impl HeldLease {
    /// Updates the reading of the worker's clock.
    pub fn read(&mut self, worker_clock: u64, now: ClockTime) {
        self.worker_clock = worker_clock;
        self.read_at = now;
    }

    /// Extends the lease by `span` from now and returns the deadline on the worker's clock.
    pub fn extend(&mut self, span: ClockTime, now: ClockTime) -> u64 {
        let since_reading = (now - self.read_at + span).as_millis();
        let deadline = self.worker_clock.saturating_add(since_reading);
        self.deadline = self.deadline.max(Some(deadline));
        self.granted_at = now;
        deadline
    }

    /// Latest time at which the lease expires, unless it is extended.
    pub fn latest_expiry(&self) -> ClockTime {
        self.granted_expiry().max(self.earlier.latest_expiry())
    }

    /// Latest time at which the deadline sent by this member is reached; zero before the first.
    fn granted_expiry(&self) -> ClockTime {
        self.deadline.map_or(ClockTime::ZERO, |deadline| {
            let remaining = ClockTime::from_millis(deadline.saturating_sub(self.worker_clock));
            self.read_at + with_clock_drift(remaining) + EXPIRY_MARGIN
        })
    }
}

/// Origin of the time by which the lease of a worker has lapsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseBasis {
    /// This owner granted the lease.
    Granted,
    /// The worker has not reported to this owner; an earlier one stored the time.
    Stored,
    /// The worker has not reported to this owner, and no time is stored.
    Assumed,
}

/// Lease of a worker, with or without a reading of the worker's clock.
#[derive(Clone, Copy, Debug)]
pub enum WorkerLease {
    /// The worker's clock has not been read.
    Unknown(UnknownLease),
    /// The worker's clock has been read.
    Held(HeldLease),
}

impl WorkerLease {
    /// Records a reading of the worker's clock.
    pub fn read(&mut self, worker_clock: u64, now: ClockTime) {
        match self {
            Self::Unknown(lease) => *self = Self::Held(lease.into_held(worker_clock, now)),
            Self::Held(lease) => lease.read(worker_clock, now),
        }
    }

    /// Extends the lease by `span` from now and returns the deadline on the worker's clock; none
    /// before that clock has been read.
    pub fn extend(&mut self, span: ClockTime, now: ClockTime) -> Option<u64> {
        match self {
            Self::Unknown(_) => None,
            Self::Held(lease) => Some(lease.extend(span, now)),
        }
    }

    /// Shortens the time until which earlier owners may have extended the lease.
    pub fn bound_former(&mut self, until: ClockTime) {
        let earlier = match self {
            Self::Unknown(lease) => lease,
            Self::Held(lease) => &mut lease.earlier,
        };
        earlier.former_until = earlier.former_until.min(until);
    }

    /// Returns whether a deadline has been sent to the worker at `since` or later.
    pub fn was_granted_since(&self, since: ClockTime) -> bool {
        match self {
            Self::Unknown(_) => false,
            Self::Held(lease) => lease.granted_at >= since,
        }
    }

    /// Latest time at which the lease expires, unless it is extended.
    pub fn latest_expiry(&self) -> ClockTime {
        match self {
            Self::Unknown(lease) => lease.latest_expiry(),
            Self::Held(lease) => lease.latest_expiry(),
        }
    }

    /// Latest expiry of a lease that a later process may have taken from the last deadline sent, which is on the
    /// clock of the process before; zero if none was sent.
    pub fn longest_expiry(&self, longest_lease: ClockTime) -> ClockTime {
        match self {
            Self::Held(lease) if lease.deadline.is_some() => {
                latest_expiry(lease.granted_at, longest_lease)
            }
            Self::Unknown(_) | Self::Held(_) => ClockTime::ZERO,
        }
    }

    /// Returns the end of the lease on the local clock if this member has granted it.
    pub fn granted_until(&self) -> Option<ClockTime> {
        match self {
            Self::Held(lease) if lease.deadline.is_some() => Some(lease.granted_expiry()),
            Self::Unknown(_) | Self::Held(_) => None,
        }
    }

    /// Returns the origin of the latest expiry.
    pub fn basis(&self) -> LeaseBasis {
        match self {
            Self::Held(_) => LeaseBasis::Granted,
            Self::Unknown(lease) if lease.stored_expiry.is_some() => LeaseBasis::Stored,
            Self::Unknown(_) => LeaseBasis::Assumed,
        }
    }
}

/// Latest time on the local clock at which a lease expires that was granted for `span` at `since` or
/// before.
pub(super) fn latest_expiry(since: ClockTime, span: ClockTime) -> ClockTime {
    since + with_clock_drift(span) + EXPIRY_MARGIN
}

/// Longest time on the local clock that a span on another clock may take.
pub(super) fn with_clock_drift(span: ClockTime) -> ClockTime {
    let permille = span.as_millis().saturating_mul(CLOCK_DRIFT_PERMILLE);
    ClockTime::from_millis(permille / 1_000).max(span)
}
