//! Availability of long-running jobs under the orders of the scheduler.

use jacinthhoist_core::{ClockTime, job::TaskEnd};

use super::{HistoryRule, RuleFindings, RunsByTask, ended_with, job_tasks};
use crate::history::{EmulationHistory, EndKind, JobHistory, RunHistory, VmOrderHistory};

/// Time after which a long-running task counts as available.
const AVAILABLE_AFTER: ClockTime = ClockTime::from_millis(400);
/// Time after which the scheduler has to know of a task that is unavailable for any reason.
const NOTICE_TIME: ClockTime = ClockTime::from_millis(4_500);

/// Returns whether a run is in full operation at the given time.
fn is_available(run: &RunHistory, at: ClockTime) -> bool {
    run.began_at + AVAILABLE_AFTER <= at && run.ended.is_none_or(|(end, _)| end >= at)
}

/// Checks that a VM order leaves no more tasks of a long-running job missing than the job allows.
pub(super) fn check_vm_order(
    history: &EmulationHistory,
    order: &VmOrderHistory,
    findings: &mut RuleFindings,
) {
    let Some(worker) = &order.worker else {
        return;
    };
    if history.is_disrupted(order.at) {
        return;
    }
    let affected = history.runs.iter().filter(|run| {
        let stopped = run.stop_received_at.is_some_and(|at| at < order.at);
        run.worker == *worker && is_available(run, order.at) && !stopped
    });
    for run in affected {
        let Some(job) = history.jobs.get(&run.task.job) else {
            continue;
        };
        if !job.shape.long_running || job.cancelled.is_some() {
            continue;
        }
        let others = job_tasks(run.task.job, job).filter(|task| *task != run.task);
        let missing = others.filter(|task| {
            let mut runs = history.runs.iter();
            !runs.any(|other| other.task == *task && is_available(other, order.at))
        });
        if missing.count() >= job.shape.may_miss {
            let detail = format!(
                "{}: stopped by an order on {} while too many other tasks of its step are missing",
                run.task, order.vm
            );
            findings.add(HistoryRule::Avail, order.at, detail);
        }
    }
}

/// Checks that a stop order leaves no more tasks of a long-running job missing than the job allows: others
/// that an order has ended, or that have been unavailable for a while.
pub(super) fn check_stops(
    history: &EmulationHistory,
    runs: &RunsByTask<'_>,
    findings: &mut RuleFindings,
) {
    for run in &history.runs {
        let (Some(received_at), Some(ended_at)) =
            (run.stop_received_at, ended_with(run, TaskEnd::Stopped))
        else {
            continue;
        };
        let Some(job) = history.jobs.get(&run.task.job) else {
            continue;
        };
        let is_cancelled = job
            .cancelled
            .is_some_and(|(sent_at, _)| sent_at <= received_at);
        let draining_since = history.draining_since.get(&run.worker);
        let is_draining = draining_since.is_some_and(|since| *since <= received_at);
        if !job.shape.long_running
            || !is_available(run, received_at)
            || run.stop_executed_late
            || is_cancelled
            || is_draining
        {
            continue;
        }
        let others = job_tasks(run.task.job, job).filter(|task| *task != run.task);
        let away = others.filter(|task| {
            let runs = runs.get(task).map_or(&[][..], Vec::as_slice);
            is_away(history, job, runs, ended_at)
        });
        let away = away.count();
        if away >= job.shape.may_miss {
            let detail = format!(
                "{}: stopped on {} while {away} other tasks of its step are away",
                run.task, run.worker
            );
            findings.add(HistoryRule::Avail, ended_at, detail);
        }
    }
}

/// Returns whether a task with the given runs counts as away: an order has ended it, or it has been
/// unavailable for a while.
fn is_away(
    history: &EmulationHistory,
    job: &JobHistory,
    runs: &[&RunHistory],
    at: ClockTime,
) -> bool {
    let ends_later = |run: &RunHistory| run.ended.is_none_or(|(end, _)| end > at);
    let begun = || {
        runs.iter()
            .filter(|run| run.began_at + AVAILABLE_AFTER <= at)
    };
    if begun().any(|run| ends_later(run)) {
        return false;
    }
    let ended = begun().filter_map(|run| Some((run.ended?, run)));
    let Some(((last_end, kind), last)) = ended.max_by_key(|((end, _), _)| *end) else {
        return at > job.first_at + NOTICE_TIME;
    };
    let mut vm_orders = history.vm_orders.iter();
    let by_order = match kind {
        EndKind::Reported(TaskEnd::Stopped) => true,
        EndKind::Reported(TaskEnd::Lapsed) => !history.is_disrupted(last_end),
        EndKind::Reported(_) => false,
        EndKind::ProcessLost => vm_orders
            .any(|order| order.worker.as_ref() == Some(&last.worker) && order.at == last_end),
    };
    by_order || at > last_end + NOTICE_TIME
}
