//! Rules that are checked over the runs that the workers saw.

use std::{collections::BTreeMap, time::Instant};

use jacinthhoist_fakes::RunRecord;

/// Run with the worker that it was on.
type WorkerRun = (String, RunRecord);

/// Returns the violations of the rules that no task has two runs at once, that none begins after
/// an acknowledged end `done`, and that none begins on a worker without the label that it requires. Times are relative
/// to `origin`.
pub fn check_runs(runs: Vec<WorkerRun>, origin: Instant) -> Vec<String> {
    let mut by_task: BTreeMap<String, Vec<WorkerRun>> = BTreeMap::new();
    for run in runs {
        by_task.entry(run.1.task.clone()).or_default().push(run);
    }
    let mut violations = Vec::new();
    for (worker, record) in by_task.values().flatten() {
        let required = record.required.as_deref();
        if required.is_some_and(|required| required != record.label) {
            let run = describe_run(worker, record, origin);
            violations.push(format!("ROUTE: {run} has label {}", record.label));
        }
    }
    for runs in by_task.values_mut() {
        runs.sort_by_key(|(_, record)| record.began_at);
        for (index, later) in runs.iter().enumerate() {
            for earlier in &runs[..index] {
                violations.extend(compare(earlier, later, origin));
            }
        }
    }
    violations
}

/// Returns the starts that brought the number of runs in progress above a limit.
pub fn check_limit(runs: &[WorkerRun], limit: usize, origin: Instant) -> Vec<String> {
    let mut violations = Vec::new();
    for (worker, record) in runs {
        let at = record.began_at;
        let is_active = |other: &RunRecord| {
            let has_ended = other.end.is_some_and(|(_, ended_at)| ended_at <= at);
            other.began_at <= at && !has_ended
        };
        let active = runs.iter().filter(|(_, other)| is_active(other)).count();
        if active > limit {
            let run = describe_run(worker, record, origin);
            violations.push(format!("QUOTA: {active} of {limit} with {run}"));
        }
    }
    violations
}

fn compare(earlier: &WorkerRun, later: &WorkerRun, origin: Instant) -> Option<String> {
    let began_at = later.1.began_at;
    let broken = match earlier.1.end {
        Some((_, ended_at)) if ended_at <= began_at => {
            let is_done = matches!(earlier.1.end, Some(("done", _)));
            let acknowledged_at = earlier.1.acknowledged_at?;
            if !is_done || began_at <= acknowledged_at {
                return None;
            }
            "begun after done"
        }
        Some(_) | None => "TWICE",
    };
    let (earlier, later) = (
        describe_run(&earlier.0, &earlier.1, origin),
        describe_run(&later.0, &later.1, origin),
    );
    Some(format!("{broken}: {earlier}; {later}"))
}

/// Line that tells a run with its times relative to `origin`.
pub fn describe_run(worker: &str, record: &RunRecord, origin: Instant) -> String {
    let secs = |at: Instant| at.saturating_duration_since(origin).as_secs_f64();
    let end = record.end.map_or("in progress".to_owned(), |(how, at)| {
        format!("{how} at {:.3}", secs(at))
    });
    let RunRecord {
        task,
        run,
        token,
        process,
        granted,
        ..
    } = record;
    let lease = granted.map_or(0.0, |granted| granted.as_secs_f64());
    format!(
        "{task} run {run} on {worker} (process {process}) by token {token}, with a lease of {lease:.3} s, from {:.3}, {end}",
        secs(record.began_at)
    )
}
