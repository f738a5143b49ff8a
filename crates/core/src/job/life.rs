//! The life cycle of a job as a typestate.
//!
//! `Queued → Begun → Ending → Ended → Removing → Forgotten`; a job that ends before any of its tasks
//! has started skips `Begun`, and one whose body is stored again returns to `Ended`. Each transition
//! consumes the value of the previous phase. The state reported to callers follows the stored records,
//! so a job in `Ending` is still reported in its previous state. An invalid transition does not compile:
//!
//! ```compile_fail
//! use jacinthhoist_core::{ClockTime, job::{JobLife, JobState}};
//! JobLife::close(JobState::Completed, ClockTime::ZERO).forget();
//! ```

use crate::clock::ClockTime;

use super::spec::JobState;

/// No task of the job is known to have started.
#[derive(Clone, Copy, Debug)]
pub struct Queued(());

/// The start of at least one task is stored.
#[derive(Clone, Copy, Debug)]
pub struct Begun(());

/// The job ends once none of its tasks is running.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    goal: JobState,
    begun: bool,
}

/// The end of the job is stored, and a body that no removal covers may be in the store.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    state: JobState,
    at: ClockTime,
}

/// The removal of the body was sent, and the body was not stored again since then.
#[derive(Clone, Copy, Debug)]
pub struct Removing {
    state: JobState,
    at: ClockTime,
}

/// Only the end of the job is stored; its body has been removed.
#[derive(Clone, Copy, Debug)]
pub struct Forgotten {
    state: JobState,
    at: ClockTime,
}

/// Life cycle of a job in phase `P`.
#[derive(Clone, Copy, Debug)]
pub struct JobLife<P> {
    phase: P,
}

impl JobLife<Queued> {
    /// Starts the life cycle of a newly accepted job.
    pub fn open() -> Self {
        Self { phase: Queued(()) }
    }

    /// Records that the start of a task is stored.
    pub fn begin(self) -> JobLife<Begun> {
        JobLife { phase: Begun(()) }
    }

    /// Sets the state in which the job will end.
    pub fn end(self, goal: JobState) -> JobLife<Ending> {
        let phase = Ending { goal, begun: false };
        JobLife { phase }
    }
}

impl JobLife<Begun> {
    /// Sets the state in which the job will end.
    pub fn end(self, goal: JobState) -> JobLife<Ending> {
        let phase = Ending { goal, begun: true };
        JobLife { phase }
    }
}

impl JobLife<Ending> {
    /// Records that the start of a task is stored.
    pub fn begin(self) -> Self {
        let phase = Ending {
            begun: true,
            ..self.phase
        };
        Self { phase }
    }
}

impl JobLife<Ended> {
    /// Creates the life cycle of a job whose end is stored.
    pub fn close(state: JobState, at: ClockTime) -> Self {
        let phase = Ended { state, at };
        Self { phase }
    }

    /// Records that the removal of the body is sent to the store.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::{ClosedLife, JobLife, JobState}};
    /// let ended = JobLife::close(JobState::Completed, ClockTime::ZERO);
    /// let forgotten = ClosedLife::Forgotten(ended.remove().forget());
    /// assert!(forgotten.is_expired(ClockTime::ZERO, ClockTime::from_millis(1)));
    /// ```
    pub fn remove(self) -> JobLife<Removing> {
        let Ended { state, at } = self.phase;
        let phase = Removing { state, at };
        JobLife { phase }
    }
}

impl JobLife<Removing> {
    /// Records that the body has been removed from the store.
    pub fn forget(self) -> JobLife<Forgotten> {
        let Removing { state, at } = self.phase;
        let phase = Forgotten { state, at };
        JobLife { phase }
    }

    /// Records that the body has been stored again, perhaps after the removal.
    pub fn reinstate(self) -> JobLife<Ended> {
        let Removing { state, at } = self.phase;
        JobLife::close(state, at)
    }
}

impl JobLife<Forgotten> {
    /// Records that the body has been stored again.
    pub fn reinstate(self) -> JobLife<Ended> {
        let Forgotten { state, at } = self.phase;
        JobLife::close(state, at)
    }
}

/// Life cycle of a job that has not ended, in any phase.
#[derive(Clone, Copy, Debug)]
pub enum OpenLife {
    /// No task of the job is known to have started.
    Queued(JobLife<Queued>),
    /// At least one task has started.
    Begun(JobLife<Begun>),
    /// The job ends once none of its tasks is running.
    Ending(JobLife<Ending>),
}

impl OpenLife {
    /// State reported to callers.
    ///
    /// ```
    /// use jacinthhoist_core::job::{JobLife, JobState, OpenLife};
    /// let life = OpenLife::Queued(JobLife::open());
    /// assert_eq!(life.end(JobState::Cancelled).reported_state(), JobState::Queued);
    /// assert_eq!(life.begin().end(JobState::Cancelled).reported_state(), JobState::Running);
    /// ```
    pub fn reported_state(&self) -> JobState {
        match self {
            Self::Queued(_) => JobState::Queued,
            Self::Ending(life) if !life.phase.begun => JobState::Queued,
            Self::Begun(_) | Self::Ending(_) => JobState::Running,
        }
    }

    /// State in which the job ends once none of its tasks is running.
    pub fn goal(&self) -> Option<JobState> {
        match self {
            Self::Ending(life) => Some(life.phase.goal),
            Self::Queued(_) | Self::Begun(_) => None,
        }
    }

    /// Records that the start of a task is stored.
    pub fn begin(self) -> Self {
        match self {
            Self::Queued(life) => Self::Begun(life.begin()),
            Self::Begun(life) => Self::Begun(life),
            Self::Ending(life) => Self::Ending(life.begin()),
        }
    }

    /// Sets the state in which the job will end; the first call takes precedence.
    pub fn end(self, goal: JobState) -> Self {
        match self {
            Self::Queued(life) => Self::Ending(life.end(goal)),
            Self::Begun(life) => Self::Ending(life.end(goal)),
            Self::Ending(life) => Self::Ending(life),
        }
    }
}

/// Life cycle of a job that has ended, in any phase.
#[derive(Clone, Copy, Debug)]
pub enum ClosedLife {
    /// A body that no removal covers may be in the store.
    Ended(JobLife<Ended>),
    /// The removal of the body was sent.
    Removing(JobLife<Removing>),
    /// Only the end of the job is stored.
    Forgotten(JobLife<Forgotten>),
}

impl ClosedLife {
    /// State reported to callers.
    pub fn state(&self) -> JobState {
        match self {
            Self::Ended(life) => life.phase.state,
            Self::Removing(life) => life.phase.state,
            Self::Forgotten(life) => life.phase.state,
        }
    }

    /// Records that the removal of the body is sent to the store.
    pub fn remove(self) -> Self {
        match self {
            Self::Ended(life) => Self::Removing(life.remove()),
            other => other,
        }
    }

    /// Records that a removal of the body is stored; it does not cover a body stored again since it was
    /// sent.
    pub fn forget(self) -> Self {
        match self {
            Self::Removing(life) => Self::Forgotten(life.forget()),
            other => other,
        }
    }

    /// Records that the body has been stored again.
    pub fn reinstate(self) -> Self {
        match self {
            Self::Ended(life) => Self::Ended(life),
            Self::Removing(life) => Self::Ended(life.reinstate()),
            Self::Forgotten(life) => Self::Ended(life.reinstate()),
        }
    }

    /// True if the record of the job's end has been kept for `retention` and may be removed too.
    pub fn is_expired(&self, retention: ClockTime, now: ClockTime) -> bool {
        match self {
            Self::Ended(_) | Self::Removing(_) => false,
            Self::Forgotten(life) => now - life.phase.at > retention,
        }
    }
}
