//! Clock type that counts milliseconds since the Unix epoch.

use std::{
    fmt,
    ops::{Add, Sub},
};

use serde::{Deserialize, Serialize};

/// A point in time since the Unix epoch or a duration, in milliseconds.
///
/// ```
/// use jacinthhoist_core::ClockTime;
/// let start = ClockTime::from_millis(1_500);
/// assert_eq!((start + ClockTime::from_secs(2)).as_millis(), 3_500);
/// assert_eq!(start - ClockTime::from_secs(9), ClockTime::ZERO);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockTime(u64);

impl ClockTime {
    /// The epoch, or a zero duration.
    pub const ZERO: Self = Self(0);

    /// Creates a time from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Creates a time from whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000)
    }

    /// Returns the time in milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time in seconds, the unit of the metrics.
    ///
    /// ```
    /// use jacinthhoist_core::ClockTime;
    /// assert_eq!(ClockTime::from_millis(1_500).as_secs_f64(), 1.5);
    /// ```
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl Add for ClockTime {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for ClockTime {
    type Output = Self;

    /// Returns the duration between two times, or zero if `other` is later.
    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
