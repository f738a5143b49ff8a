//! Admission control of jobs and the retry delay of refused callers.
//!
//! During a surge beyond the capacity that the pool has and is about to receive, a job that would
//! be served only long after its objective is refused at once, with the time by which the backlog
//! will have drained.

use crate::clock::ClockTime;

/// Multiple of its objective beyond which a job's expected wait causes a refusal: by the users'
/// rules an answer after three times the objective has no value to the caller.
const MAX_WAIT_FACTOR: u64 = 3;
/// Shortest retry delay given to a refused caller.
const MIN_RETRY: ClockTime = ClockTime::from_millis(1_000);

/// Longest retry delay given to a caller during an outage. The caller's few attempts then span
/// about eight seconds, which is longer than most outages.
const MAX_OUTAGE_RETRY: ClockTime = ClockTime::from_millis(3_000);

/// Load of a kind of work, as the owner reports it to the other members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WorkLoad {
    /// Time in which the pool drains its backlog with its present and incoming capacity.
    pub drain: ClockTime,
    /// Accepted jobs of which no task has started.
    pub waiting: u32,
    /// Mean duration of a task of this kind.
    pub task: ClockTime,
}

/// Refusal of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobRefusal {
    /// Delay after which the caller should retry.
    pub retry_after: ClockTime,
}

/// Refuses a job whose expected wait exceeds the period in which its result has any value.
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
/// The refusal, with the delay after which the backlog allows the job to meet its objective.
pub fn admit_job(load: &WorkLoad, objective: ClockTime) -> Result<(), JobRefusal> {
    let max_wait = ClockTime::from_millis(objective.as_millis().saturating_mul(MAX_WAIT_FACTOR));
    if load.drain <= max_wait {
        return Ok(());
    }
    let retry_after = (load.drain - objective).max(MIN_RETRY);
    Err(JobRefusal { retry_after })
}

/// Retry delay of a caller refused because the store or the owner is unavailable.
///
/// Callers make only a few attempts and the end of an outage is unknown, so the delay grows with
/// the duration of the outage so far, `elapsed`. `jitter_seed` is any number that differs between
/// callers, so that they do not all return in the same second.
///
/// ```
/// use jacinthhoist_core::{ClockTime, job::outage_retry};
/// let ms = ClockTime::from_millis;
/// assert_eq!(outage_retry(ms(200), 7), ms(1_000));
/// assert_eq!(outage_retry(ms(2_600), 4), ms(2_000));
/// assert_eq!(outage_retry(ms(2_600), 7), ms(3_000));
/// ```
pub fn outage_retry(elapsed: ClockTime, jitter_seed: u64) -> ClockTime {
    if elapsed < MIN_RETRY {
        return MIN_RETRY;
    }
    // Callers are told whole seconds.
    let backoff = ClockTime::from_secs(elapsed.as_millis() / MIN_RETRY.as_millis());
    let jitter = ClockTime::from_secs(jitter_seed % 2);
    backoff.min(MAX_OUTAGE_RETRY - ClockTime::from_secs(1)) + jitter
}
