//! Learnt service time of a kind of work.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::ClockTime;

/// The weight of a new sample is one part in this many.
const SMOOTHING: u64 = 16;
/// Thousandths kept below a millisecond.
const SCALE: u64 = 1_000;

/// A moving mean of service times; empty until the first sample.
///
/// ```
/// use jacinthhoist_core::{ClockTime, ServiceEstimate};
/// let estimate = ServiceEstimate::default();
/// assert_eq!(estimate.mean(), None);
/// estimate.record(ClockTime::from_millis(20));
/// assert_eq!(estimate.mean(), Some(ClockTime::from_millis(20)));
/// ```
#[derive(Debug, Default)]
pub struct ServiceEstimate(AtomicU64);

impl ServiceEstimate {
    /// Takes in a sample. Two at the same moment may lose one, which does no harm to a mean.
    pub fn record(&self, sample: ClockTime) {
        let sample = sample.as_millis().max(1) * SCALE;
        let mean = self.0.load(Ordering::Relaxed);
        let next = match mean {
            0 => sample,
            _ => (mean * (SMOOTHING - 1) + sample) / SMOOTHING,
        };
        self.0.store(next, Ordering::Relaxed);
    }

    /// The mean, where there is one.
    pub fn mean(&self) -> Option<ClockTime> {
        match self.0.load(Ordering::Relaxed) {
            0 => None,
            mean => Some(ClockTime::from_millis(mean.div_ceil(SCALE))),
        }
    }
}
