//! Spans as the runtime's type.

use std::time::Duration;

use jacinthhoist_core::ClockTime;

/// A span as the runtime's type.
pub(crate) fn span(time: ClockTime) -> Duration {
    Duration::from_millis(time.as_millis())
}
