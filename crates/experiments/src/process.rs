//! Resource use of this process, from `/proc`.

use std::time::Duration;

/// Clock ticks a second in `/proc/self/stat`.
const TICKS_PER_SEC: u64 = 100;

/// Processor time of this process in user and system mode.
pub fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<u64>().ok())
    };
    let total = ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0);
    Duration::from_millis(total * 1_000 / TICKS_PER_SEC)
}

/// Resident memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}
