//! Time of day as the members' wall clocks show it.
//!
//! Callers give the start times of repeated jobs as times of day. A single wall clock may be off by any amount,
//! so the owner goes by what the clocks of the members show together.

use smallvec::SmallVec;

use crate::clock::ClockTime;

/// What a wall clock showed at some time on the local clock.
///
/// ```
/// use jacinthhoist_core::{ClockTime, job::WallReading};
/// let ms = ClockTime::from_millis;
/// let reading = WallReading { local: ms(500), wall: ms(9_000) };
/// assert_eq!(reading.local_time(ms(9_200)), ms(700));
/// assert_eq!(reading.wall_time(ms(400)), ms(8_900));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WallReading {
    /// Time on the local clock.
    pub local: ClockTime,
    /// Time of day.
    pub wall: ClockTime,
}

impl WallReading {
    /// Time on the local clock at a time of day.
    pub fn local_time(self, wall: ClockTime) -> ClockTime {
        // One of the differences is zero.
        self.local + (wall - self.wall) - (self.wall - wall)
    }

    /// Time of day at a time on the local clock.
    pub fn wall_time(self, local: ClockTime) -> ClockTime {
        self.wall + (local - self.local) - (self.local - local)
    }

    /// Reading that half of the clocks are ahead of or agree with: right while fewer than half of them are off.
    /// Of two clocks it is the one behind, as work must not start early.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::WallReading};
    /// let ms = ClockTime::from_millis;
    /// let reading = |local, wall| WallReading { local: ms(local), wall: ms(wall) };
    /// let readings = [reading(10, 90_000), reading(20, 5_020), reading(30, 5_031)];
    /// assert_eq!(WallReading::agreed(readings, ms(40)), Some(reading(40, 5_041)));
    /// assert_eq!(WallReading::agreed([], ms(40)), None);
    /// ```
    pub fn agreed(readings: impl IntoIterator<Item = Self>, now: ClockTime) -> Option<Self> {
        let readings = readings.into_iter();
        let mut walls: SmallVec<[ClockTime; 8]> =
            readings.map(|reading| reading.wall_time(now)).collect();
        walls.sort_unstable();
        let middle = walls.len().checked_sub(1)? / 2;
        Some(Self {
            local: now,
            wall: walls[middle],
        })
    }
}
