//! Conversion of durations to the standard type.

use std::time::Duration;

use jacinthhoist_core::ClockTime;

/// Converts a duration to the standard type.
pub(crate) fn to_duration(time: ClockTime) -> Duration {
    Duration::from_millis(time.as_millis())
}
