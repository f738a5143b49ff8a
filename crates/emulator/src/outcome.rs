//! Service figures of a run.

use std::collections::{BTreeMap, BTreeSet};

use jacinthhoist_core::{
    ClockTime,
    job::{JobId, JobState},
};

use crate::history::{CallOutcome, EmulationHistory, JobHistory};

/// Service figures of a run, with its history.
#[derive(Debug)]
pub struct ScenarioOutcome {
    /// Share of the expected jobs that were done within their objective. All jobs are expected to
    /// be done, except long-running, cancelled and hopeless ones and those with a fatal task.
    pub served: f64,
    /// Share of the expected jobs that were done after their objective.
    pub late: f64,
    /// Share of the expected jobs that were never accepted.
    pub refused: f64,
    /// Shares of the expected jobs that were done within and after their objective, in the pools
    /// that got jobs with a fatal task; `None` if there were no such jobs.
    pub beside_fatal: Option<(f64, f64)>,
    /// Number of jobs that callers submitted.
    pub jobs: usize,
    /// Number of runs that began.
    pub runs: usize,
    /// Number of moves of VMs between pools.
    pub moves: usize,
    /// History of the run.
    pub history: EmulationHistory,
}

/// Returns true if the job was reported as completed.
fn was_completed(job: &JobHistory) -> bool {
    let mut reported_states = job.reported_states.iter();
    reported_states.any(|(_, state)| *state == Some(JobState::Completed))
}

/// Computes the figures from a history.
pub(crate) fn outcome(history: EmulationHistory) -> ScenarioOutcome {
    let is_expected = |job: &JobHistory| {
        !job.shape.long_running
            && job.cancelled.is_none()
            && job.shape.fatal_task.is_none()
            && !job.shape.payload.contains("hopeless")
    };
    let jobs = history.jobs.iter();
    let expected: Vec<_> = jobs.filter(|(_, job)| is_expected(job)).collect();
    let is_accepted = |job: &JobHistory| {
        let mut attempts = job.attempts.iter();
        attempts.any(|(_, outcome)| *outcome == CallOutcome::Accepted)
    };
    let last_end = last_end_times(&history);
    let in_time = |id: &JobId, job: &JobHistory| {
        let ended = last_end.get(id).copied().unwrap_or(history.ended_at);
        was_completed(job) && ended <= job.first_at + job.shape.objective
    };
    let served_and_late = |jobs: &[(&JobId, &JobHistory)]| {
        let count = jobs.len().max(1) as f64;
        let served = jobs.iter().filter(|(id, job)| in_time(id, job)).count();
        let done = jobs.iter().filter(|(_, job)| was_completed(job)).count();
        (served as f64 / count, (done - served) as f64 / count)
    };
    let (served, late) = served_and_late(&expected);
    let fatal_jobs = history.jobs.values();
    let fatal_jobs = fatal_jobs.filter(|job| job.shape.fatal_task.is_some());
    let fatal_pools: BTreeSet<_> = fatal_jobs.map(|job| &job.shape.pool).collect();
    let beside_fatal = expected.iter().copied();
    let beside_fatal = beside_fatal.filter(|(_, job)| fatal_pools.contains(&job.shape.pool));
    let beside_fatal: Vec<_> = beside_fatal.collect();
    let refused = expected.iter().filter(|(_, job)| !is_accepted(job)).count();
    let moves = history
        .vm_orders
        .iter()
        .filter(|order| order.wave.is_none());
    ScenarioOutcome {
        served,
        late,
        refused: refused as f64 / expected.len().max(1) as f64,
        beside_fatal: (!fatal_pools.is_empty()).then(|| served_and_late(&beside_fatal)),
        jobs: history.jobs.len(),
        runs: history.runs.len(),
        moves: moves.count(),
        history,
    }
}

/// Time of the last end of a run of each job.
fn last_end_times(history: &EmulationHistory) -> BTreeMap<JobId, ClockTime> {
    let mut ends = BTreeMap::new();
    for run in &history.runs {
        if let Some((at, _)) = run.ended {
            let last = ends.entry(run.task.job).or_insert(at);
            *last = at.max(*last);
        }
    }
    ends
}
