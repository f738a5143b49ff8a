//! Checks of a recorded history against the scheduler's guarantees.

mod availability;
mod crashes;
mod tenants;
mod waiting;

use std::collections::{BTreeMap, BTreeSet};

use jacinthhoist_core::{
    ClockTime,
    job::{JobId, JobState, TaskEnd, TaskKey},
};

use crate::history::{CallOutcome, EmulationHistory, EndKind, FinalAnswer, JobHistory, RunHistory};

use self::{
    availability::{check_stops, check_vm_order},
    crashes::{check_starts_after_crashes, may_be_given_up},
    tenants::{check_keys, check_limits},
    waiting::check_waiting_job,
};

/// Time after the acknowledgement of a cancellation in which tasks may still start.
const CANCEL_GRACE: ClockTime = ClockTime::from_millis(3_000);
/// Time after a worker is registered as draining in which it may still get tasks.
const DRAIN_GRACE: ClockTime = ClockTime::from_millis(2_000);
/// Time after a shrinkage of a worker's capacity in which tasks that would have fitted before may
/// still start: the contact time and a heartbeat.
const CAPACITY_GRACE: ClockTime = ClockTime::from_millis(4_000 + 1_500);
/// Time before its time of day at which a job may start.
const MAX_EARLY: ClockTime = ClockTime::from_millis(250);
/// Time for which orders of a replaced owner are still executed: an owner's confirmation is valid
/// for 900 ms, and an order is in transit for some more.
const MAX_REPLACED_AGE: ClockTime = ClockTime::from_millis(1_000);
/// Time after the acknowledgement of an end in which a speculative task may still start.
const SPECULATION_GRACE: ClockTime = ClockTime::from_millis(1_000);
/// Time before the end of the run; a job accepted within it need not be done.
const COMPLETION_ALLOWANCE: ClockTime = ClockTime::from_millis(10_000);
/// Time before the end of the run; a long-running task lost within it need not run again.
const RESTART_ALLOWANCE: ClockTime = ClockTime::from_millis(6_000);

/// Later than the end of any run.
const MAX_TIME: ClockTime = ClockTime::from_millis(u64::MAX);

macro_rules! rules {
    ($($variant:ident => $doc:literal),* $(,)?) => {
        /// Guarantees of the scheduler that a history is checked against.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum HistoryRule {
            $(#[doc = $doc] $variant),*
        }

        impl HistoryRule {
            /// All rules, in declaration order.
            pub const ALL: &[Self] = &[$(Self::$variant),*];
        }
    };
}

rules! {
    Twice => "A task has one active run at a time, and none begins after an acknowledged success.",
    Order => "A step starts only after the steps that it depends on are done, and not before its time.",
    Route => "Tasks run only on workers of their job's pool, and no more of a step on one worker than it allows.",
    Budget => "A task is not run again once its acknowledged failures reach the limit, nor more than twice once it has crashed three workers.",
    Unasked => "Only jobs that callers sent are started, and no tasks after cancellation.",
    Refused => "Rejected jobs never run.",
    Limit => "Workers stay within their capacity, and waves within their cap on VMs.",
    Mixed => "Reported states of jobs and waves match what happened.",
    Lost => "An accepted job stays known, questions about it are answered, it does not wait beside enough room, and it is eventually done, unless it fails, crashes its workers or is cancelled.",
    One => "A VM executes no order with an older fencing token than it has seen, nor one of an owner that was replaced long ago.",
    Drain => "A draining worker gets no new tasks.",
    Quota => "No start brings what a tenant has running above its limit, unless it is a single task.",
    Key => "No call runs that was sent long after the withdrawal of its key.",
    Avail => "Orders to VMs and workers leave no more tasks of a step missing than it allows.",
}

/// Violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleViolation {
    /// Violated rule.
    pub rule: HistoryRule,
    /// Time of the violation.
    pub at: ClockTime,
    /// Description that begins with the job, task, VM or wave concerned.
    pub detail: String,
}

/// Finds all violations in a history, ordered by time.
pub fn check(history: &EmulationHistory) -> Vec<RuleViolation> {
    let mut findings = RuleFindings::default();
    let runs = runs_by_task(history);
    for (task, runs) in &runs {
        check_task(history, *task, runs, &mut findings);
        check_starts_after_crashes(*task, runs, &mut findings);
    }
    check_starts(history, &runs, &mut findings);
    for (id, job) in &history.jobs {
        check_job(history, *id, job, &runs, &mut findings);
    }
    check_vms(history, &mut findings);
    check_limits(history, &mut findings);
    check_keys(history, &mut findings);
    check_stops(history, &runs, &mut findings);
    findings.violations.sort_by_key(|violation| violation.at);
    findings.violations
}

#[derive(Default)]
struct RuleFindings {
    violations: Vec<RuleViolation>,
}

impl RuleFindings {
    fn add(&mut self, rule: HistoryRule, at: ClockTime, detail: String) {
        self.violations.push(RuleViolation { rule, at, detail });
    }
}

type RunsByTask<'a> = BTreeMap<TaskKey, Vec<&'a RunHistory>>;

fn runs_by_task(history: &EmulationHistory) -> RunsByTask<'_> {
    let mut tasks = RunsByTask::new();
    for run in &history.runs {
        tasks.entry(run.task).or_default().push(run);
    }
    for runs in tasks.values_mut() {
        runs.sort_by_key(|run| run.began_at);
    }
    tasks
}

fn ended_with(run: &RunHistory, end: TaskEnd) -> Option<ClockTime> {
    match run.ended {
        Some((at, EndKind::Reported(reported))) if reported == end => Some(at),
        _ => None,
    }
}

/// Checks `Twice` and `Budget` for the runs of a task.
fn check_task(
    history: &EmulationHistory,
    task: TaskKey,
    runs: &[&RunHistory],
    findings: &mut RuleFindings,
) {
    let job = history.jobs.get(&task.job);
    let speculative = job.is_some_and(|job| job.shape.speculative);
    // Several runs of a speculative task are allowed until the scheduler knows of an end.
    let is_too_late = |run: &RunHistory, noted_at: ClockTime| {
        !speculative || run.sender_in_touch && run.began_at > noted_at + SPECULATION_GRACE
    };
    for (run_index, run) in runs.iter().enumerate() {
        let began_at = run.began_at;
        for earlier_run in &runs[..run_index] {
            let ended_at = earlier_run.ended.map_or(history.ended_at, |(at, _)| at);
            if began_at < ended_at && !speculative {
                let detail = format!(
                    "{task}: run {} on {} began while run {} was active on {}",
                    run.run, run.worker, earlier_run.run, earlier_run.worker
                );
                findings.add(HistoryRule::Twice, began_at, detail);
            }
            let done_at = ended_with(earlier_run, TaskEnd::Done);
            if earlier_run.acked_at.is_some_and(|at| is_too_late(run, at))
                && done_at.is_some_and(|at| began_at >= at)
            {
                let detail = format!(
                    "{task}: run {} began after run {} had succeeded",
                    run.run, earlier_run.run
                );
                findings.add(HistoryRule::Twice, began_at, detail);
            }
        }
        let Some(job) = job else {
            continue;
        };
        let failures = runs[..run_index].iter().filter(|earlier_run| {
            let failed_at = ended_with(earlier_run, TaskEnd::Failed);
            earlier_run.acked_at.is_some_and(|at| is_too_late(run, at))
                && failed_at.is_some_and(|at| at <= began_at)
        });
        if !job.shape.long_running && failures.count() >= job.shape.max_failures as usize {
            let detail = format!(
                "{task}: run {} began after the failure limit was reached",
                run.run
            );
            findings.add(HistoryRule::Budget, began_at, detail);
        }
    }
}

/// Checks `Order`, `Route`, `Unasked`, `Refused`, `Limit` and `Drain` for each start.
fn check_starts(history: &EmulationHistory, runs: &RunsByTask<'_>, findings: &mut RuleFindings) {
    for run in &history.runs {
        let (task, at) = (run.task, run.began_at);
        let Some(job) = history.jobs.get(&task.job) else {
            findings.add(
                HistoryRule::Unasked,
                at,
                format!("{task}: started, but no caller submitted the job"),
            );
            continue;
        };
        if run.payload != job.shape.payload {
            findings.add(
                HistoryRule::Unasked,
                at,
                format!("{task}: started with a different payload"),
            );
        }
        if let Some((_, Some(acked_at))) = job.cancelled
            && at > acked_at + CANCEL_GRACE
            && !run.executed_late
        {
            findings.add(
                HistoryRule::Unasked,
                at,
                format!("{task}: started after its job was cancelled"),
            );
        }
        if run.pool != job.shape.pool {
            let detail = format!(
                "{task}: started in pool {} instead of {}",
                run.pool, job.shape.pool
            );
            findings.add(HistoryRule::Route, at, detail);
        }
        let limit = usize::from(job.shape.max_per_worker);
        if limit > 0 && run.beside >= limit {
            let detail = format!(
                "{task}: run {} began on {} beside {} others of its step; {limit} may be on one worker",
                run.run, run.worker, run.beside
            );
            findings.add(HistoryRule::Route, at, detail);
        }
        let may_be_unknown = run
            .shrunk_at
            .is_some_and(|since| run.executed_late || at <= since + CAPACITY_GRACE);
        if run.over_capacity && !may_be_unknown {
            let detail = format!("{task}: exceeds the capacity of {}", run.worker);
            findings.add(HistoryRule::Limit, at, detail);
        }
        let refused = |(_, outcome): &(ClockTime, CallOutcome)| *outcome == CallOutcome::Refused;
        if !job.attempts.is_empty() && job.attempts.iter().all(refused) {
            findings.add(
                HistoryRule::Refused,
                at,
                format!("{task}: started, but all submissions were refused"),
            );
        }
        let draining = history.draining_since.get(&run.worker);
        if draining.is_some_and(|since| at > *since + DRAIN_GRACE)
            && !run.executed_late
            && !history.is_in_fault_span(at)
        {
            let detail = format!("{task}: started on {}, which is draining", run.worker);
            findings.add(HistoryRule::Drain, at, detail);
        }
        check_order(job, run, runs, findings);
    }
}

fn check_order(
    job: &JobHistory,
    run: &RunHistory,
    runs: &RunsByTask<'_>,
    findings: &mut RuleFindings,
) {
    if let Some(repeat) = job.shape.repeat {
        let due = repeat.start_of(run.task.occurrence);
        if run.began_at + MAX_EARLY < due {
            let detail = format!(
                "{}: started at {}, before its time {due}",
                run.task, run.began_at
            );
            findings.add(HistoryRule::Order, run.began_at, detail);
        }
    }
    let Some(previous_step) = run.task.step.checked_sub(1) else {
        return;
    };
    let count = job.shape.steps.get(usize::from(previous_step)).copied();
    for index in 0..count.unwrap_or(0) {
        let earlier = TaskKey {
            step: previous_step,
            index,
            ..run.task
        };
        if !is_done(runs, earlier, run.began_at) {
            let detail = format!("{}: started before {earlier} was done", run.task);
            findings.add(HistoryRule::Order, run.began_at, detail);
            return;
        }
    }
}

/// Returns true if a run of the task had succeeded by the given time.
fn is_done(runs: &RunsByTask<'_>, task: TaskKey, by: ClockTime) -> bool {
    let runs = runs.get(&task).into_iter().flatten();
    let mut ends = runs.filter_map(|run| ended_with(run, TaskEnd::Done));
    ends.any(|at| at <= by)
}

fn job_tasks(id: JobId, job: &JobHistory) -> impl Iterator<Item = TaskKey> {
    let times = job.shape.repeat.map_or(1, |repeat| repeat.times);
    (0..times).flat_map(move |occurrence| {
        let steps = (0u16..).zip(job.shape.steps.iter());
        steps.flat_map(move |(step, count)| {
            (0..*count).map(move |index| TaskKey {
                job: id,
                occurrence,
                step,
                index,
            })
        })
    })
}

/// Checks `Mixed` and `Lost` for a job.
fn check_job(
    history: &EmulationHistory,
    id: JobId,
    job: &JobHistory,
    runs: &RunsByTask<'_>,
    findings: &mut RuleFindings,
) {
    let accepted = job.attempts.iter();
    let mut accepted = accepted.filter(|(_, outcome)| *outcome == CallOutcome::Accepted);
    let accepted_at = accepted.next().map(|(at, _)| *at);
    let failed = |task: TaskKey| {
        let runs = runs.get(&task).into_iter().flatten();
        let failed = runs.filter(|run| ended_with(run, TaskEnd::Failed).is_some());
        failed.count() >= job.shape.max_failures as usize
    };
    for (at, state) in &job.reported_states {
        match state {
            Some(JobState::Completed) => {
                let mut tasks = job_tasks(id, job);
                if let Some(open) = tasks.find(|task| !is_done(runs, *task, *at)) {
                    let detail = format!("{id}: reported as completed before {open} was done");
                    findings.add(HistoryRule::Mixed, *at, detail);
                }
            }
            Some(JobState::Failed)
                if !job_tasks(id, job).any(failed) && !may_be_given_up(id, job, runs, *at) =>
            {
                findings.add(
                    HistoryRule::Lost,
                    *at,
                    format!("{id}: reported as failed, but no task reached a limit on its failures or crashes"),
                );
            }
            Some(JobState::Cancelled) if job.cancelled.is_none() => {
                findings.add(
                    HistoryRule::Lost,
                    *at,
                    format!("{id}: reported as cancelled, but no caller cancelled it"),
                );
            }
            // Callers ask once they know of the acceptance. A member that does not know of it may
            // say so, but not that there is no such job.
            None if job.cancelled.is_none() && accepted_at.is_some_and(|since| *at >= since) => {
                findings.add(
                    HistoryRule::Lost,
                    *at,
                    format!("{id}: reported as unknown after its acceptance"),
                );
            }
            _ => {}
        }
    }
    check_final_answer(history, id, job, findings);
    check_waiting_job(history, id, job, runs, findings);
    let must_be_done = accepted_at.is_some_and(|at| at + COMPLETION_ALLOWANCE < history.ended_at);
    let is_excused = job.shape.fatal_task.is_some() || job.shape.demand.is_in_vain();
    if !must_be_done || job.cancelled.is_some() || is_excused {
        return;
    }
    let last = job
        .reported_states
        .iter()
        .rev()
        .find_map(|(_, state)| *state);
    if job.shape.long_running {
        check_long_running(history, id, job, runs, findings);
    } else if !matches!(last, Some(JobState::Completed | JobState::Failed))
        && !job_tasks(id, job).all(|task| is_done(runs, task, MAX_TIME))
    {
        let detail =
            format!("{id}: accepted but not done at the end; last reported state: {last:?}");
        findings.add(HistoryRule::Lost, history.ended_at, detail);
    }
}

/// Checks that the question for a job at the end was answered with its state.
fn check_final_answer(
    history: &EmulationHistory,
    id: JobId,
    job: &JobHistory,
    findings: &mut RuleFindings,
) {
    let detail = match job.final_answer {
        FinalAnswer::Unanswered => format!("{id}: no answer about the job at the end"),
        FinalAnswer::NoSuchJob => format!("{id}: reported as unknown at the end"),
        FinalAnswer::NotAsked | FinalAnswer::State(_) => return,
    };
    findings.add(HistoryRule::Lost, history.ended_at, detail);
}

/// Checks that each task of a long-running job runs at the end or was lost within the restart
/// allowance, unless a fault covers the beginning of the allowance.
fn check_long_running(
    history: &EmulationHistory,
    id: JobId,
    job: &JobHistory,
    runs: &RunsByTask<'_>,
    findings: &mut RuleFindings,
) {
    let loss_limit = history.ended_at - RESTART_ALLOWANCE;
    for task in job_tasks(id, job) {
        let runs = runs.get(&task).into_iter().flatten();
        let mut alive = runs.filter(|run| run.ended.is_none_or(|(at, _)| at > loss_limit));
        if alive.next().is_none() && !history.is_disrupted(loss_limit) {
            let detail = format!("{task}: long-running task is not running at the end");
            findings.add(HistoryRule::Lost, history.ended_at, detail);
        }
    }
}

/// Checks `Limit`, `Mixed`, `One` and `Avail` for VM orders and waves.
fn check_vms(history: &EmulationHistory, findings: &mut RuleFindings) {
    let mut tokens = BTreeMap::new();
    for (order_index, order) in history.vm_orders.iter().enumerate() {
        let highest = tokens.entry(&order.vm).or_insert(order.token);
        if order.token < *highest {
            let detail = format!(
                "{}: executed an order with an older fencing token",
                order.vm
            );
            findings.add(HistoryRule::One, order.at, detail);
        }
        *highest = order.token.max(*highest);
        if order.replaced_for.is_some_and(|age| age > MAX_REPLACED_AGE) {
            let detail = format!("{}: executed an order of a replaced owner", order.vm);
            findings.add(HistoryRule::One, order.at, detail);
        }
        check_vm_order(history, order, findings);
        let Some(wave) = order.wave else {
            continue;
        };
        let earlier_orders = history.vm_orders[..order_index].iter();
        let down = earlier_orders
            .filter(|other| other.wave == Some(wave) && other.available_at > order.at);
        let cap = history.waves.get(&wave).map_or(0, |wave| wave.cap);
        if down.count() >= cap {
            let detail = format!("{}: maintenance exceeds the cap of its wave", order.vm);
            findings.add(HistoryRule::Limit, order.at, detail);
        }
    }
    for (number, wave) in &history.waves {
        let Some(completed_at) = wave.completed_at else {
            continue;
        };
        let begun: BTreeSet<_> = history
            .vm_orders
            .iter()
            .filter(|order| order.wave == Some(*number) && order.at <= completed_at)
            .map(|order| &order.vm)
            .collect();
        // A VM lost in the meantime gets no orders and is absent at the end.
        let lost = |vm| !history.final_vms.contains(vm);
        if let Some(vm) = wave.vms.iter().find(|vm| !begun.contains(vm) && !lost(*vm)) {
            let detail = format!("wave {number}: reported complete before the maintenance of {vm}");
            findings.add(HistoryRule::Mixed, completed_at, detail);
        }
    }
}
