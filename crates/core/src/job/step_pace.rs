//! Pace of the owner's scheduling steps.
//!
//! Pattern: hundreds of workers report the ends of tasks in a surge, thousands a second. A step looks
//! at every worker and every job that changed, so a step for each report would take the whole
//! processor while the reports pile up. Instead, a step takes all that has arrived since the last
//! one, and the time between steps grows with their cost, without a limit: the runtime gives each call one turn
//! between two steps that follow each other at once, and a call takes several.

use crate::clock::ClockTime;

/// Shortest time between two steps; short compared with the time to store a start.
const MIN_INTERVAL: ClockTime = ClockTime::from_millis(10);
/// Longest time between two steps that take less than half of it; short compared with the shortest tasks.
const MAX_INTERVAL: ClockTime = ClockTime::from_millis(60);
/// Steps up to that interval take one part in this number of the owner's time, and longer ones one half; the rest is
/// for the calls to workers and the store.
const STEP_SHARE_DIVISOR: u64 = 4;

/// Pace of scheduling steps, from the cost of the last ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepPace {
    /// Smoothed cost of a step.
    cost: ClockTime,
    next_at: ClockTime,
}

impl StepPace {
    /// Records a step.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::StepPace};
    /// let ms = ClockTime::from_millis;
    /// let mut pace = StepPace::default();
    /// pace.record(ms(100), ms(101));
    /// assert_eq!(pace.next_at(), ms(110));
    /// for _ in 0..8 {
    ///     pace.record(ms(200), ms(208));
    /// }
    /// assert_eq!(pace.next_at(), ms(232));
    /// ```
    pub fn record(&mut self, began_at: ClockTime, ended_at: ClockTime) {
        let cost = ended_at - began_at;
        // Costs below a millisecond round to zero; rounding up keeps the mean from sticking there.
        let mean = (self.cost.as_millis() + cost.as_millis()).div_ceil(2);
        self.cost = ClockTime::from_millis(mean);
        let interval = ClockTime::from_millis(mean * STEP_SHARE_DIVISOR);
        // However long a step takes, the calls that it has decided on get as much time before the next one.
        let rest_until = ended_at + cost;
        let due_at = began_at + interval.clamp(MIN_INTERVAL, MAX_INTERVAL);
        self.next_at = due_at.max(rest_until);
    }

    /// Time of the next step.
    pub fn next_at(&self) -> ClockTime {
        self.next_at
    }
}
