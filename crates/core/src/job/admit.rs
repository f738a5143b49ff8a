//! Whether a job is refused early, and when to come back.
//!
//! Answers a surge beyond what machines on their way can carry: a job that would only be served
//! long after its objective is told so at once, with the time at which the backlog will be gone.

use crate::clock::ClockTime;

/// A job that would wait this many times its objective is refused: after three times the objective
/// an answer is worth nothing to the caller by the users' rules.
const LATE_FACTOR: u64 = 3;
/// The shortest time after which a refused caller is asked to return.
const MIN_RETRY: ClockTime = ClockTime::from_millis(1_000);

/// What the owner tells the other members of a kind of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WorkLoad {
    /// Time that the backlog of its pool takes on what the pool holds or is about to hold.
    pub drain: ClockTime,
    /// Jobs accepted of which nothing has begun.
    pub waiting: u32,
    /// What a task of the kind lasts.
    pub task: ClockTime,
}

/// A job that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobRefusal {
    /// When the caller should come back.
    pub retry_after: ClockTime,
}

/// Refuses a job that cannot be served while it is worth anything.
///
/// ```
/// use jacinthhoist_core::{ClockTime, job::{WorkLoad, admit_job}};
/// let ms = ClockTime::from_millis;
/// let load = WorkLoad { drain: ms(9_000), waiting: 40, task: ms(800) };
/// assert!(admit_job(&load, ms(4_000)).is_ok());
/// let refusal = admit_job(&load, ms(2_000)).unwrap_err();
/// assert_eq!(refusal.retry_after, ms(7_000));
/// ```
///
/// # Errors
///
/// The refusal, with the time after which the backlog leaves room for the job.
pub fn admit_job(load: &WorkLoad, objective: ClockTime) -> Result<(), JobRefusal> {
    let worthless = ClockTime::from_millis(objective.as_millis() * LATE_FACTOR);
    if load.drain <= worthless {
        return Ok(());
    }
    let retry_after = (load.drain - objective).max(MIN_RETRY);
    Err(JobRefusal { retry_after })
}
