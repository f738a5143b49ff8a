//! Time of day, for jobs that callers have scheduled: asked of the followers while one waits for its time.

use jacinthhoist_core::{
    ClockTime,
    job::{ClockReading, Scheduler},
};

use crate::shared::MemberShared;

/// Interval between two rounds of questions; a wall clock that is set counts from the next round on.
const ROUND_INTERVAL: ClockTime = ClockTime::from_millis(1_000);
/// Age up to which an answer counts: three rounds.
const MAX_READING_AGE: ClockTime = ClockTime::from_millis(3_000);
/// Time from the first question for which answers of all followers are waited for, and from the takeover for which
/// followers are; several heartbeats.
const FIRST_ROUND: ClockTime = ClockTime::from_millis(1_000);

/// Rounds of questions about the time of day.
#[derive(Debug)]
pub(super) struct WallTimes {
    taken_over_at: ClockTime,
    /// Time of the first question; none while no job waits for a time of day.
    begun_at: Option<ClockTime>,
    asked_at: ClockTime,
}

impl WallTimes {
    pub(super) fn open(taken_over_at: ClockTime) -> Self {
        Self {
            taken_over_at,
            begun_at: None,
            asked_at: ClockTime::ZERO,
        }
    }

    /// Returns what the members' wall clocks show; `None` while followers have not had the time to answer.
    pub(super) fn read(
        &mut self,
        shared: &MemberShared,
        scheduler: &Scheduler,
        now: ClockTime,
    ) -> Option<ClockReading> {
        if !scheduler.awaits_wall_time() {
            self.begun_at = None;
            return None;
        }
        let begun_at = *self.begun_at.get_or_insert(now);
        let others = shared.standings.wall_readings(now - MAX_READING_AGE);
        let is_complete = !others.contains(&None);
        let is_alone_yet = now < self.taken_over_at + FIRST_ROUND;
        if is_alone_yet || (!is_complete && now < begun_at + FIRST_ROUND) {
            return None;
        }
        let own = ClockReading {
            local: now,
            shown: shared.wall.now(),
        };
        ClockReading::agreed(others.into_iter().flatten().chain([own]), now)
    }

    /// Returns whether the next heartbeat is to ask the followers; it counts as sent.
    pub(super) fn is_due(&mut self, now: ClockTime) -> bool {
        let is_due = self.begun_at.is_some() && now >= self.asked_at + ROUND_INTERVAL;
        if is_due {
            self.asked_at = now;
        }
        is_due
    }
}
