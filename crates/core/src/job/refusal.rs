//! Refusals of start orders for want of room.
//!
//! One refusal may be due to the worker, which has less room than it reports, or to the step, which asks
//! for something that no worker gives it. A second one, of an order that was sent after the first was
//! known, points to the step: it pauses, so that it does not take one worker after the other out of service.

use crate::clock::ClockTime;

/// Pause of a step after its second refusal in a row; it doubles with each further one.
const FIRST_PAUSE: ClockTime = ClockTime::from_millis(4_000);
/// Longest pause of a step.
const MAX_PAUSE: ClockTime = ClockTime::from_millis(60_000);

/// Refusals of a step's start orders since one was last carried out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartRefusals {
    /// Number of orders in a row, each sent after the one before was refused.
    count: u32,
    refused_at: ClockTime,
    paused_until: ClockTime,
}

impl StartRefusals {
    /// Records the refusal of an order; returns whether the worker may be the cause.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::StartRefusals};
    /// let ms = ClockTime::from_millis;
    /// let mut refusals = StartRefusals::default();
    /// assert!(refusals.record(ms(100), ms(200)), "the first one");
    /// assert!(refusals.record(ms(110), ms(220)), "sent before the first was known");
    /// assert!(!refusals.record(ms(300), ms(400)));
    /// assert!(refusals.is_paused(ms(4_399)) && !refusals.is_paused(ms(4_400)));
    /// ```
    pub fn record(&mut self, ordered_at: ClockTime, now: ClockTime) -> bool {
        if self.count == 0 || ordered_at > self.refused_at {
            self.count = self.count.saturating_add(1);
            self.refused_at = now;
            if let Some(doublings) = self.count.checked_sub(2) {
                let factor = 1u64.checked_shl(doublings).unwrap_or(u64::MAX);
                let pause = FIRST_PAUSE.as_millis().saturating_mul(factor);
                self.paused_until = now + ClockTime::from_millis(pause).min(MAX_PAUSE);
            }
        }
        self.count <= 1
    }

    /// Returns whether no task of the step may start.
    pub fn is_paused(&self, now: ClockTime) -> bool {
        now < self.paused_until
    }
}
