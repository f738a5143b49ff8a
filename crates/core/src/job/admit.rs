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

/// The longest time after which a caller is asked to return during an outage: its few attempts then
/// last some eight seconds, longer than most outages.
const MAX_OUTAGE_RETRY: ClockTime = ClockTime::from_millis(3_000);

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

/// When a caller should come back that was refused for want of the store or the owner.
///
/// Answers callers with few attempts during an outage whose end nobody knows: the longer it has lasted,
/// the later they return, and not all at the same second. `away` is how long it has lasted, `spread`
/// any number that differs between callers.
///
/// ```
/// use jacinthhoist_core::{ClockTime, job::outage_retry};
/// let ms = ClockTime::from_millis;
/// assert_eq!(outage_retry(ms(200), 7), ms(1_000));
/// assert_eq!(outage_retry(ms(2_600), 4), ms(2_000));
/// assert_eq!(outage_retry(ms(2_600), 7), ms(3_000));
/// ```
pub fn outage_retry(away: ClockTime, spread: u64) -> ClockTime {
    if away < MIN_RETRY {
        return MIN_RETRY;
    }
    // Whole seconds: that is what callers are told.
    let whole = ClockTime::from_secs(away.as_millis() / MIN_RETRY.as_millis());
    let later = ClockTime::from_secs(spread % 2);
    whole.min(MAX_OUTAGE_RETRY - ClockTime::from_secs(1)) + later
}
