//! Room on a worker that is kept for a step which waits for it.
//!
//! Pattern: a stream of small tasks takes each core as it becomes free, and a task that needs many of
//! them never starts. Some of the steps that wait for room have it kept on a worker, as in backfill
//! scheduling: other tasks start there only if they are expected to end before the room is free, or fit
//! beside it.

use smallvec::SmallVec;

use crate::clock::ClockTime;

use super::{
    room::covers,
    spec::{Resources, StepKey},
};

/// Expected end of a run on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExpectedEnd {
    /// Time of the end.
    pub at: ClockTime,
    /// Resources that become free.
    pub freed: Resources,
}

/// Room on a worker that is kept for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomHold {
    /// Step for which the room is kept.
    pub step: StepKey,
    /// Time at which the room is expected to be free.
    pub due_at: ClockTime,
    /// Resources that are kept.
    need: Resources,
    /// Resources that will be left beside it.
    spare: Resources,
}

impl RoomHold {
    /// Keeps room for `need` on a worker of which `free` is free now and more at the expected ends of its
    /// runs; `None` if that never makes enough room.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::{ExpectedEnd, JobId, Resources, RoomHold, StepKey}};
    /// let ms = ClockTime::from_millis;
    /// let cpu = |cpu| Resources { cpu, ..Resources::default() };
    /// let step = StepKey { job: JobId(1), occurrence: 0, step: 0 };
    /// let ends = [ExpectedEnd { at: ms(900), freed: cpu(4_000) }];
    /// let hold = RoomHold::plan(step, &cpu(6_000), cpu(3_000), ends, ms(100)).unwrap();
    /// assert_eq!(hold.due_at, ms(900));
    /// assert!(hold.admits(&cpu(3_000), ms(800)), "ends before the room is free");
    /// assert!(hold.admits(&cpu(1_000), ms(5_000)), "fits beside it");
    /// assert!(!hold.admits(&cpu(2_000), ms(5_000)));
    /// assert!(RoomHold::plan(step, &cpu(8_000), cpu(3_000), ends, ms(100)).is_none());
    /// ```
    pub fn plan(
        step: StepKey,
        need: &Resources,
        free: Resources,
        ends: impl IntoIterator<Item = ExpectedEnd>,
        now: ClockTime,
    ) -> Option<Self> {
        let mut ends: SmallVec<[ExpectedEnd; 16]> = ends.into_iter().collect();
        ends.sort_unstable();
        let (mut free, mut due_at) = (free, now);
        let mut ends = ends.into_iter();
        while !covers(&free, need) {
            let end = ends.next()?;
            free = free.plus(&end.freed);
            due_at = due_at.max(end.at);
        }
        Some(Self {
            step,
            due_at,
            need: *need,
            spare: free.minus(need),
        })
    }

    /// Keeps the same room under later expectations.
    pub fn renew(
        &self,
        free: Resources,
        ends: impl IntoIterator<Item = ExpectedEnd>,
        now: ClockTime,
    ) -> Option<Self> {
        Self::plan(self.step, &self.need, free, ends, now)
    }

    /// Returns whether a task of another step may start on the worker.
    pub fn admits(&self, need: &Resources, ends_at: ClockTime) -> bool {
        ends_at <= self.due_at || covers(&self.spare, need)
    }

    /// Takes a task that starts on the worker from what is left beside the room, if it outlasts the wait.
    pub fn record_start(&mut self, need: &Resources, ends_at: ClockTime) {
        if ends_at > self.due_at {
            self.spare = self.spare.minus(need);
        }
    }
}
