//! Rules about tasks that crash each worker that starts them.

use jacinthhoist_core::{
    ClockTime,
    job::{JobId, TaskKey},
};

use super::{HistoryRule, RuleFindings, RunsByTask};
use crate::history::{JobHistory, RunHistory};

/// Number of workers that have to crash under a task before its job may be given up.
const MIN_CRASHES: usize = 2;
/// Number of crashed workers after which the starts of a task are limited.
const MAX_CRASHES: usize = 3;
/// Number of starts of a task after these crashes that breaks the limit.
const EXCESS_STARTS: usize = 3;

/// Times of the crashes that a task caused, in order.
fn crash_times(runs: &[&RunHistory]) -> Vec<ClockTime> {
    let crashes = runs.iter().filter(|run| run.crashed_worker);
    let mut times: Vec<ClockTime> = crashes.filter_map(|run| Some(run.ended?.0)).collect();
    times.sort_unstable();
    times
}

/// Checks that a task that has crashed three workers is not started three times more by members in
/// touch.
pub(super) fn check_starts_after_crashes(
    task: TaskKey,
    runs: &[&RunHistory],
    findings: &mut RuleFindings,
) {
    let crashes = crash_times(runs);
    let Some(last) = crashes.get(MAX_CRASHES - 1) else {
        return;
    };
    let later = runs.iter();
    let later: Vec<_> = later
        .filter(|run| run.began_at > *last && run.sender_in_touch)
        .collect();
    if let Some(excess) = later.get(EXCESS_STARTS - 1) {
        let detail = format!(
            "{task}: started {} times after it had crashed {MAX_CRASHES} workers, {} crashes in all",
            later.len(),
            crashes.len()
        );
        findings.add(HistoryRule::Budget, excess.began_at, detail);
    }
}

/// Returns whether a job may be given up at the given time because of the workers that its fatal
/// task has crashed.
pub(super) fn may_be_given_up(
    id: JobId,
    job: &JobHistory,
    runs: &RunsByTask<'_>,
    at: ClockTime,
) -> bool {
    let Some(fatal) = job.shape.fatal_task else {
        return false;
    };
    let task = TaskKey {
        job: id,
        occurrence: 0,
        step: fatal.step,
        index: fatal.index,
    };
    let crashes = runs.get(&task).map(|runs| crash_times(runs));
    let crashes = crashes.unwrap_or_default();
    crashes
        .get(MIN_CRASHES - 1)
        .is_some_and(|second| *second <= at)
}
