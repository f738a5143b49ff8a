//! Service time estimate of a kind of work.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::ClockTime;

/// Reciprocal of the weight of a new sample.
const SMOOTHING_WINDOW_SAMPLES: u64 = 16;
/// Fixed-point resolution of the mean.
const UNITS_PER_MS: u64 = 1_000;

/// Exponentially weighted moving average of service times; empty until the first sample.
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
    /// Records a sample.
    ///
    /// One of two concurrent samples may be lost, which hardly affects the mean.
    pub fn record(&self, sample: ClockTime) {
        let sample = sample.as_millis().max(1) * UNITS_PER_MS;
        let mean = self.0.load(Ordering::Relaxed);
        let next = match mean {
            0 => sample,
            _ => (mean * (SMOOTHING_WINDOW_SAMPLES - 1) + sample) / SMOOTHING_WINDOW_SAMPLES,
        };
        self.0.store(next, Ordering::Relaxed);
    }

    /// Returns the mean, or `None` before the first sample.
    pub fn mean(&self) -> Option<ClockTime> {
        match self.0.load(Ordering::Relaxed) {
            0 => None,
            mean => Some(ClockTime::from_millis(mean.div_ceil(UNITS_PER_MS))),
        }
    }
}
