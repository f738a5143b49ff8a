//! Pace of repeated appends to the store: how long an answer may take before the append is sent
//! again, and how long a writer waits after a refusal.
//!
//! Pattern: a slow store with many writers. It processes the appends to a stream one at a time, so
//! an append that is sent again while the first one still waits makes the queue longer. The delay
//! therefore follows the latency that the store has shown, and doubles with every repetition.

use crate::clock::ClockTime;

/// Shortest delay before an append without an answer is sent again: many times the latency of a
/// sound store.
const MIN_REPEAT_DELAY: ClockTime = ClockTime::from_millis(400);
/// Longest delay before an append without an answer is sent again; a connection that has gone
/// silent is noticed within this time.
const MAX_REPEAT_DELAY: ClockTime = ClockTime::from_millis(1_000);
/// Weight of a new latency in the mean is one over this number, in its deviation two.
const MEAN_WEIGHT: u64 = 8;
/// Number of deviations above the mean at which an answer counts as missing.
const DEVIATION_FACTOR: u64 = 4;
/// Shortest delay after a refused append or a failed probe.
const MIN_REFUSAL_DELAY: ClockTime = ClockTime::from_millis(100);
/// Longest delay after a refused append or a failed probe.
const MAX_REFUSAL_DELAY: ClockTime = ClockTime::from_millis(1_600);

/// Latency that the store has shown to this member, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AppendPace {
    mean: u64,
    deviation: u64,
}

impl AppendPace {
    /// Returns the pace after an append that the store answered after `latency`.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::AppendPace};
    /// let ms = ClockTime::from_millis;
    /// let mut pace = AppendPace::default();
    /// assert_eq!(pace.repeat_delay(0), ms(400));
    /// for _ in 0..20 {
    ///     pace = pace.answered(ms(350));
    /// }
    /// assert!(pace.repeat_delay(0) < ms(600));
    /// assert_eq!(pace.repeat_delay(4), ms(1_000));
    /// ```
    #[must_use]
    pub fn answered(self, latency: ClockTime) -> Self {
        let latency = latency.as_millis();
        if self == Self::default() {
            return Self {
                mean: latency,
                deviation: latency / 2,
            };
        }
        let average = |old: u64, new: u64, weight| (old * (weight - 1) + new) / weight;
        Self {
            mean: average(self.mean, latency, MEAN_WEIGHT),
            deviation: average(self.deviation, self.mean.abs_diff(latency), MEAN_WEIGHT / 2),
        }
    }

    /// Returns the time after which an append that has been sent `repeats` more times than once is
    /// sent again.
    pub fn repeat_delay(self, repeats: u32) -> ClockTime {
        let expected = ClockTime::from_millis(self.mean + DEVIATION_FACTOR * self.deviation);
        doubled(expected.max(MIN_REPEAT_DELAY), repeats, MAX_REPEAT_DELAY)
    }
}

/// Returns the time that a writer waits after the store has refused `refusals` appends in a row.
///
/// ```
/// use jacinthhoist_core::{ClockTime, job::refusal_delay};
/// assert_eq!(refusal_delay(1), ClockTime::from_millis(100));
/// assert_eq!(refusal_delay(3), ClockTime::from_millis(400));
/// assert_eq!(refusal_delay(40), ClockTime::from_millis(1_600));
/// ```
pub fn refusal_delay(refusals: u32) -> ClockTime {
    doubled(
        MIN_REFUSAL_DELAY,
        refusals.saturating_sub(1),
        MAX_REFUSAL_DELAY,
    )
}

/// Doubles a time repeatedly, up to a limit.
fn doubled(time: ClockTime, times: u32, limit: ClockTime) -> ClockTime {
    let factor = 1_u64.checked_shl(times).unwrap_or(u64::MAX);
    ClockTime::from_millis(time.as_millis().saturating_mul(factor)).min(limit)
}
