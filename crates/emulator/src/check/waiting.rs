//! Rule about jobs that wait although there is room for them.

use jacinthhoist_core::{
    ClockTime,
    job::{JobId, JobState},
};

use super::{HistoryRule, MAX_TIME, RuleFindings, RunsByTask, is_done, job_tasks};
use crate::history::{CallOutcome, EmulationHistory, JobHistory, PoolSample};

/// Time for which a job may wait although there is room.
const MAX_WAIT: ClockTime = ClockTime::from_millis(3_000);
/// Number of a job's tasks for which there has to be room.
const MIN_SLOTS: u64 = 2;

/// Checks that after the load no job has nothing running for some seconds while a pool of which less than
/// half is in use has room for two of its tasks, and its tenant uses less than half of its limit.
pub(super) fn check_waiting_job(
    history: &EmulationHistory,
    id: JobId,
    job: &JobHistory,
    runs: &RunsByTask<'_>,
    findings: &mut RuleFindings,
) {
    if job.shape.demand.is_in_vain() || job.shape.fatal_task.is_some() || job.shape.long_running {
        return;
    }
    let mut waits_since = None;
    for sample in &history.pool_samples {
        if !waits_beside_room(history, id, job, runs, sample) {
            waits_since = None;
            continue;
        }
        let since = *waits_since.get_or_insert(sample.at);
        if sample.at >= since + MAX_WAIT {
            let detail = format!(
                "{id}: nothing running since {} ms beside room",
                since.as_millis()
            );
            findings.add(HistoryRule::Lost, sample.at, detail);
            return;
        }
    }
}

fn waits_beside_room(
    history: &EmulationHistory,
    id: JobId,
    job: &JobHistory,
    runs: &RunsByTask<'_>,
    sample: &PoolSample,
) -> bool {
    let at = sample.at;
    let accepted = job.attempts.iter();
    let mut accepted = accepted.filter(|(_, outcome)| *outcome == CallOutcome::Accepted);
    let is_known = accepted.next().is_some_and(|(since, _)| *since < at);
    let mut states = job.reported_states.iter();
    let has_failed = states.any(|(_, state)| *state == Some(JobState::Failed));
    if !is_known || job.cancelled.is_some() || has_failed || history.is_disrupted(at) {
        return false;
    }
    let mut open = false;
    for task in job_tasks(id, job) {
        let own_runs = runs.get(&task).into_iter().flatten();
        let mut active = own_runs.filter(|run| {
            run.began_at <= at && run.ended.map_or(MAX_TIME, |(ended_at, _)| ended_at) > at
        });
        if active.next().is_some() {
            return false;
        }
        open |= !is_done(runs, task, at);
    }
    let Some(pool) = sample.pools.get(&job.shape.pool) else {
        return false;
    };
    let need = job.shape.cpu.max(1);
    let slots: u64 = pool.free_cpu.iter().map(|free| free / need).sum();
    open && slots >= MIN_SLOTS && pool.used_cpu * 2 < pool.cpu && is_tenant_idle(history, job, at)
}

/// Returns whether the tenant of a job uses less than half of the lowest limit that may be in force.
fn is_tenant_idle(history: &EmulationHistory, job: &JobHistory, at: ClockTime) -> bool {
    let limits = history.tenant_limits.iter().filter(|limit| limit.at <= at);
    let Some(limit) = limits.map(|limit| limit.cpu).min() else {
        return true;
    };
    let active = history.runs.iter().filter(|run| {
        run.began_at <= at && run.ended.map_or(MAX_TIME, |(ended_at, _)| ended_at) > at
    });
    let of_tenant = active.filter_map(|run| {
        let other = history.jobs.get(&run.task.job)?;
        (other.tenant == job.tenant).then_some(other.shape.cpu)
    });
    of_tenant.sum::<u64>() * 2 < limit
}
