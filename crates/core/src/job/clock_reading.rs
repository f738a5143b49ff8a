//! What other clocks showed: those of other processes, and wall clocks, which may be off by any amount.

use smallvec::SmallVec;

use crate::clock::ClockTime;

/// What another clock showed at some time on the local clock.
///
/// ```
/// use jacinthhoist_core::{ClockTime, job::ClockReading};
/// let ms = ClockTime::from_millis;
/// let reading = ClockReading { local: ms(500), shown: ms(9_000) };
/// assert_eq!(reading.local_time(ms(9_200)), ms(700));
/// assert_eq!(reading.shown_time(ms(400)), ms(8_900));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// Time on the local clock.
    pub local: ClockTime,
    /// Time on the other clock.
    pub shown: ClockTime,
}

impl ClockReading {
    /// Time on the local clock at a time on the other one.
    pub fn local_time(self, shown: ClockTime) -> ClockTime {
        // One of the differences is zero.
        self.local + (shown - self.shown) - (self.shown - shown)
    }

    /// Time on the other clock at a time on the local one.
    pub fn shown_time(self, local: ClockTime) -> ClockTime {
        self.shown + (local - self.local) - (self.local - local)
    }

    /// Reading that half of the given ones are ahead of or agree with: right while fewer than half of the clocks are
    /// off. Of two clocks it is the one behind, so that nothing is early.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::ClockReading};
    /// let ms = ClockTime::from_millis;
    /// let reading = |local, shown| ClockReading { local: ms(local), shown: ms(shown) };
    /// let readings = [reading(10, 90_000), reading(20, 5_020), reading(30, 5_031)];
    /// assert_eq!(ClockReading::agreed(readings, ms(40)), Some(reading(40, 5_041)));
    /// assert_eq!(ClockReading::agreed([], ms(40)), None);
    /// ```
    pub fn agreed(readings: impl IntoIterator<Item = Self>, now: ClockTime) -> Option<Self> {
        let readings = readings.into_iter();
        let mut times: SmallVec<[ClockTime; 8]> =
            readings.map(|reading| reading.shown_time(now)).collect();
        times.sort_unstable();
        let middle = times.len().checked_sub(1)? / 2;
        Some(Self {
            local: now,
            shown: times[middle],
        })
    }
}
