//! What became of a day.

use std::collections::BTreeMap;

use jacinthhoist_core::{
    ClockTime,
    job::{JobId, JobState},
};

use crate::history::{CallOutcome, History, JobHistory};

/// What became of a day.
#[derive(Debug)]
pub struct DayOutcome {
    /// Share of the jobs owed that were done within their objective.
    pub served: f64,
    /// Share that was done later.
    pub late: f64,
    /// Share that was never accepted.
    pub refused: f64,
    /// Jobs that callers handed in.
    pub jobs: usize,
    /// Runs that began.
    pub runs: usize,
    /// VMs that changed their pool.
    pub moves: usize,
    /// What was seen.
    pub history: History,
}

/// Whether a job was shown as done.
fn was_done(job: &JobHistory) -> bool {
    let mut shown = job.shown.iter();
    shown.any(|(_, state)| *state == Some(JobState::Completed))
}

/// Counts what callers got.
pub(crate) fn outcome(history: History) -> DayOutcome {
    let is_owed = |job: &JobHistory| {
        !job.shape.lasting && job.cancelled.is_none() && !job.shape.payload.contains("hopeless")
    };
    let jobs = history.jobs.iter();
    let owed: Vec<_> = jobs.filter(|(_, job)| is_owed(job)).collect();
    let count = owed.len().max(1) as f64;
    let is_accepted = |job: &JobHistory| {
        let mut attempts = job.attempts.iter();
        attempts.any(|(_, outcome)| *outcome == CallOutcome::Accepted)
    };
    let last_end = last_ends(&history);
    let in_time = |id: &JobId, job: &JobHistory| {
        let ended = last_end.get(id).copied().unwrap_or(history.over_at);
        was_done(job) && ended <= job.first_at + job.shape.objective
    };
    let served = owed.iter().filter(|(id, job)| in_time(id, job)).count();
    let done = owed.iter().filter(|(_, job)| was_done(job)).count();
    let refused = owed.iter().filter(|(_, job)| !is_accepted(job)).count();
    let moves = history.vms.iter().filter(|order| order.wave.is_none());
    DayOutcome {
        served: served as f64 / count,
        late: (done - served) as f64 / count,
        refused: refused as f64 / count,
        jobs: history.jobs.len(),
        runs: history.runs.len(),
        moves: moves.count(),
        history,
    }
}

/// When the last task of each job ended.
fn last_ends(history: &History) -> BTreeMap<JobId, ClockTime> {
    let mut ends = BTreeMap::new();
    for run in &history.runs {
        if let Some((at, _)) = run.ended {
            let last = ends.entry(run.task.job).or_insert(at);
            *last = at.max(*last);
        }
    }
    ends
}
