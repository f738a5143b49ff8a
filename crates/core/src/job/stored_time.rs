//! Times that one member stores and another one reads.
//!
//! The clocks of two members may differ by any amount, so a time on one of them tells the other nothing by
//! itself. A [`StoredTime`] therefore names the process on whose clock it is, and says how long after its storing
//! it is reached. A member that has received heartbeats of that process knows what its clock showed
//! ([`ClockReadings`]); any other member counts the whole rest from its own read of the record.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use smallvec::{SmallVec, smallvec};

use crate::clock::ClockTime;

use super::{clock_reading::ClockReading, lease::with_clock_drift};

/// Largest number of clocks on which a time is stored. Members that take over in turn have followed one
/// of the last owners.
const MAX_MARKS: usize = 4;
/// Time for which a reading of a clock is kept; longer than any lease or promise that is stored runs.
const READING_RETENTION: ClockTime = ClockTime::from_secs(60);

/// Time on the clock of one member process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClockMark {
    /// Key of the process.
    clock: Arc<str>,
    at: ClockTime,
}

/// Time that other members read. It is reached as soon as one of its clocks shows it, and no later than its
/// rest after the record was stored.
///
/// ```
/// use jacinthhoist_core::{ClockTime, job::{ClockReadings, StoredTime}};
/// let ms = ClockTime::from_millis;
/// let stored = StoredTime::new(&"entry-1".into(), ms(5_000), ms(4_000));
/// let mut readings = ClockReadings::open("entry-2".into());
/// assert!(readings.reached_at(&stored, ms(90_000)) >= ms(91_000));
/// readings.record(&"entry-1".into(), ms(4_900), ms(90_000));
/// assert_eq!(readings.reached_at(&stored, ms(90_000)), ms(90_103));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredTime {
    marks: SmallVec<[ClockMark; 1]>,
    /// Upper bound on the time from the storing until it is reached.
    rest: ClockTime,
}

impl StoredTime {
    /// Creates a time on a clock that shows `now`.
    pub fn new(clock: &Arc<str>, at: ClockTime, now: ClockTime) -> Self {
        let clock = clock.clone();
        Self {
            marks: smallvec![ClockMark { clock, at }],
            rest: at - now,
        }
    }

    /// Creates a time on no clock, which is reached within `rest`.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::{ClockReadings, StoredTime}};
    /// let readings = ClockReadings::open("entry-2".into());
    /// let now = ClockTime::from_secs(9);
    /// let stored = StoredTime::within(ClockTime::ZERO);
    /// assert_eq!(readings.reached_at(&stored, now), now);
    /// ```
    pub fn within(rest: ClockTime) -> Self {
        Self {
            marks: SmallVec::new(),
            rest,
        }
    }

    /// Creates a time that may be reached at any time or never.
    pub fn unbounded() -> Self {
        Self::within(ClockTime::from_millis(u64::MAX))
    }

    /// Adds the time on another clock, which shows `now`, or replaces it there.
    #[must_use]
    pub fn also_on(mut self, clock: &Arc<str>, at: ClockTime, now: ClockTime) -> Self {
        self.marks.retain(|mark| mark.clock != *clock);
        if self.marks.len() == MAX_MARKS {
            self.marks.remove(0);
        }
        let added = Self::new(clock, at, now);
        self.marks.extend(added.marks);
        Self {
            marks: self.marks,
            rest: added.rest,
        }
    }

    /// Time on the clock of the process that stored it last; `None` if it is on no clock.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::StoredTime};
    /// let at = ClockTime::from_secs(5);
    /// let stored = StoredTime::new(&"entry-1".into(), at, ClockTime::ZERO);
    /// assert_eq!(stored.last_mark(), Some(at));
    /// assert_eq!(StoredTime::within(at).last_mark(), None);
    /// ```
    pub fn last_mark(&self) -> Option<ClockTime> {
        self.marks.last().map(|mark| mark.at)
    }
}

/// Clocks that a member can compare with its own: those of the processes that have told it their times.
#[derive(Clone, Debug)]
pub struct ClockReadings {
    own: Arc<str>,
    others: BTreeMap<Arc<str>, ClockReading>,
    /// Process whose message arrived last.
    last: Option<Arc<str>>,
}

impl ClockReadings {
    /// Creates the readings of the process with this key.
    pub fn open(own: Arc<str>) -> Self {
        Self {
            own,
            others: BTreeMap::new(),
            last: None,
        }
    }

    /// Key of this process.
    pub fn own(&self) -> &Arc<str> {
        &self.own
    }

    /// Records that another process sent a message when its clock showed `shown`. Of several readings the one
    /// that was shortest on its way is kept.
    pub fn record(&mut self, clock: &Arc<str>, shown: ClockTime, now: ClockTime) {
        self.others
            .retain(|_, reading| now < reading.local + READING_RETENTION);
        let reading = ClockReading { local: now, shown };
        let known = self.others.get(clock);
        // The clock of a process never runs backwards: an older message tells nothing.
        if known.is_none_or(|known| shown >= known.shown && now <= latest_time(*known, shown)) {
            self.others.insert(clock.clone(), reading);
        }
        self.last = Some(clock.clone());
    }

    /// Converts a local time to the clock of the process whose message arrived last, and returns it with the key of
    /// that process: other members have received its messages too. On the own clock if there was none.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::ClockReadings};
    /// let ms = ClockTime::from_millis;
    /// let mut readings = ClockReadings::open("entry-2".into());
    /// assert_eq!(readings.on_last_clock(ms(50)), ("entry-2".into(), ms(50)));
    /// readings.record(&"entry-1".into(), ms(9_000), ms(40));
    /// assert_eq!(readings.on_last_clock(ms(50)), ("entry-1".into(), ms(9_010)));
    /// assert_eq!(readings.estimate("entry-1", ms(9_020)), Some(ms(60)));
    /// assert_eq!(readings.estimate("entry-3", ms(9_020)), None);
    /// ```
    pub fn on_last_clock(&self, local: ClockTime) -> (Arc<str>, ClockTime) {
        let reading = self
            .last
            .as_ref()
            .and_then(|key| self.others.get_key_value(key));
        match reading {
            Some((key, reading)) => (key.clone(), reading.shown_time(local)),
            None => (self.own.clone(), local),
        }
    }

    /// Estimates the local time at a time on the clock of another process; `None` if that is not known. It may be
    /// early, so nothing that must not be early may rest on it.
    pub fn estimate(&self, clock: &str, at: ClockTime) -> Option<ClockTime> {
        if *self.own == *clock {
            return Some(at);
        }
        let reading = self.others.get(clock)?;
        Some(reading.local_time(at))
    }

    /// Latest local time at which a time is reached that was read from the store at `read_at` or before.
    pub fn reached_at(&self, time: &StoredTime, read_at: ClockTime) -> ClockTime {
        let by_rest = read_at + with_clock_drift(time.rest);
        let marks = time.marks.iter().filter_map(|mark| {
            if mark.clock == self.own {
                return Some(mark.at);
            }
            let reading = self.others.get(&mark.clock)?;
            Some(latest_time(*reading, mark.at))
        });
        marks.fold(by_rest, ClockTime::min)
    }
}

/// Latest local time at which the clock of another process shows `at`, of which the reading is no later than what it
/// showed.
fn latest_time(reading: ClockReading, at: ClockTime) -> ClockTime {
    reading.local + with_clock_drift(at - reading.shown)
}

impl Default for ClockReadings {
    fn default() -> Self {
        Self::open("".into())
    }
}
