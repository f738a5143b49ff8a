//! The life cycle of a job as a typestate.
//!
//! `Queued → Begun → Ending → Ended → Forgotten`; a job that ends before anything of it began skips
//! `Begun`. Each move consumes the job's life in one phase. What callers are told follows what is
//! stored, so a job that is ending is still shown as it was. A move that the life cycle does not
//! have does not compile:
//!
//! ```compile_fail
//! use jacinthhoist_core::job::JobLife;
//! JobLife::open().forget();
//! ```

use crate::clock::ClockTime;

use super::spec::JobState;

/// Nothing of it is known to have begun.
#[derive(Clone, Copy, Debug)]
pub struct Queued(());

/// It is stored that something of it has begun.
#[derive(Clone, Copy, Debug)]
pub struct Begun(());

/// It ends once nothing of it runs.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    goal: JobState,
    begun: bool,
}

/// Its end is stored; what was asked for lies in the store still.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    state: JobState,
    at: ClockTime,
}

/// Its end is stored, and nothing else of it is.
#[derive(Clone, Copy, Debug)]
pub struct Forgotten {
    state: JobState,
    at: ClockTime,
}

/// A job's life in one phase.
#[derive(Clone, Copy, Debug)]
pub struct JobLife<P> {
    phase: P,
}

impl JobLife<Queued> {
    /// The life of a job that has just been taken.
    pub fn open() -> Self {
        Self { phase: Queued(()) }
    }

    /// It is stored that something of it has begun.
    pub fn begin(self) -> JobLife<Begun> {
        JobLife { phase: Begun(()) }
    }

    /// It is to end as `goal`.
    pub fn end(self, goal: JobState) -> JobLife<Ending> {
        let phase = Ending { goal, begun: false };
        JobLife { phase }
    }
}

impl JobLife<Begun> {
    /// It is to end as `goal`.
    pub fn end(self, goal: JobState) -> JobLife<Ending> {
        let phase = Ending { goal, begun: true };
        JobLife { phase }
    }
}

impl JobLife<Ending> {
    /// It is stored that something of it has begun.
    pub fn begin(self) -> Self {
        let phase = Ending {
            begun: true,
            ..self.phase
        };
        Self { phase }
    }
}

impl JobLife<Ended> {
    /// A job whose end is stored.
    pub fn close(state: JobState, at: ClockTime) -> Self {
        let phase = Ended { state, at };
        Self { phase }
    }

    /// What was asked for has left the store.
    pub fn forget(self) -> JobLife<Forgotten> {
        let Ended { state, at } = self.phase;
        let phase = Forgotten { state, at };
        JobLife { phase }
    }
}

impl JobLife<Forgotten> {
    /// What was asked for was stored once more.
    pub fn reinstate(self) -> JobLife<Ended> {
        let Forgotten { state, at } = self.phase;
        JobLife::close(state, at)
    }
}

/// The life of a job that has not ended.
#[derive(Clone, Copy, Debug)]
pub enum OpenLife {
    /// Nothing of it is known to have begun.
    Queued(JobLife<Queued>),
    /// Something of it has begun.
    Begun(JobLife<Begun>),
    /// It ends once nothing of it runs.
    Ending(JobLife<Ending>),
}

impl OpenLife {
    /// What callers are told.
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

    /// How it ends once nothing of it runs.
    pub fn goal(&self) -> Option<JobState> {
        match self {
            Self::Ending(life) => Some(life.phase.goal),
            Self::Queued(_) | Self::Begun(_) => None,
        }
    }

    /// It is stored that something of it has begun.
    pub fn begin(self) -> Self {
        match self {
            Self::Queued(life) => Self::Begun(life.begin()),
            Self::Begun(life) => Self::Begun(life),
            Self::Ending(life) => Self::Ending(life.begin()),
        }
    }

    /// It is to end as `goal`; the first goal stands.
    pub fn end(self, goal: JobState) -> Self {
        match self {
            Self::Queued(life) => Self::Ending(life.end(goal)),
            Self::Begun(life) => Self::Ending(life.end(goal)),
            Self::Ending(life) => Self::Ending(life),
        }
    }
}

/// The life of a job that has ended.
#[derive(Clone, Copy, Debug)]
pub enum ClosedLife {
    /// What was asked for lies in the store still.
    Ended(JobLife<Ended>),
    /// Only its end is stored.
    Forgotten(JobLife<Forgotten>),
}

impl ClosedLife {
    /// What callers are told.
    pub fn state(&self) -> JobState {
        match self {
            Self::Ended(life) => life.phase.state,
            Self::Forgotten(life) => life.phase.state,
        }
    }

    /// What was asked for has left the store.
    pub fn forget(self) -> Self {
        match self {
            Self::Ended(life) => Self::Forgotten(life.forget()),
            Self::Forgotten(life) => Self::Forgotten(life),
        }
    }

    /// Whether all of it may leave the store: its end has been kept for long enough.
    pub fn is_expired(&self, keep: ClockTime, now: ClockTime) -> bool {
        match self {
            Self::Ended(_) => false,
            Self::Forgotten(life) => now - life.phase.at > keep,
        }
    }
}
