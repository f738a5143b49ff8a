//! The users' rules over what was seen, by their names.

use std::collections::{BTreeMap, BTreeSet};

use jacinthhoist_core::{
    ClockTime,
    job::{JobId, JobState, TaskEnd, TaskKey},
};

use crate::history::{CallOutcome, EndKind, History, JobHistory, RunHistory};

/// Time after a cancellation's acknowledgement in which tasks may still be started.
const CANCEL: ClockTime = ClockTime::from_millis(3_000);
/// Time after its acceptance in which a job may be unknown to a member.
const VISIBLE: ClockTime = ClockTime::from_millis(3_000);
/// Time after a worker's word that it drains in which it may get work.
const DRAIN: ClockTime = ClockTime::from_millis(2_000);
/// Time after which a task that serves for good is at work.
const AT_WORK: ClockTime = ClockTime::from_millis(400);
/// Time before the end of the day in which a job that is accepted need not be done.
const LATE_JOB: ClockTime = ClockTime::from_millis(10_000);
/// Time before the end of the day in which a task that serves for good may just have been lost.
const RESTART: ClockTime = ClockTime::from_millis(6_000);

/// Later than any day.
const EVER: ClockTime = ClockTime::from_millis(u64::MAX);

macro_rules! rules {
    ($($variant:ident => $doc:literal),* $(,)?) => {
        /// The users' rules.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Rule {
            $(#[doc = $doc] $variant),*
        }

        impl Rule {
            /// All rules.
            pub const ALL: &[Self] = &[$(Self::$variant),*];
        }
    };
}

rules! {
    Twice => "One run of a task at a time, and none after its end has been taken note of.",
    Order => "A step starts once the steps that it waits for are done.",
    Route => "Tasks run on workers of their pool.",
    Budget => "No more runs than failures are allowed.",
    Unasked => "Only what callers sent is started, and nothing of it after its cancellation.",
    Refused => "What was refused never runs.",
    Limit => "Workers and waves are kept within what they take.",
    Mixed => "What is told of jobs and waves is true.",
    Lost => "What was accepted is known, and done in the end.",
    One => "VMs obey one owner at a time.",
    Drain => "A worker that leaves gets nothing new.",
    Avail => "Planned work takes no more tasks away than may be missed.",
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When.
    pub at: ClockTime,
    /// What was seen.
    pub what: String,
}

/// Searches a history for broken rules.
pub fn check(history: &History) -> Vec<Violation> {
    let mut found = Findings::default();
    let runs = by_task(history);
    for (task, runs) in &runs {
        check_task(history, *task, runs, &mut found);
    }
    check_starts(history, &runs, &mut found);
    for (id, job) in &history.jobs {
        check_job(history, *id, job, &runs, &mut found);
    }
    check_vms(history, &mut found);
    found.violations.sort_by_key(|violation| violation.at);
    found.violations
}

#[derive(Default)]
struct Findings {
    violations: Vec<Violation>,
}

impl Findings {
    fn add(&mut self, rule: Rule, at: ClockTime, what: String) {
        self.violations.push(Violation { rule, at, what });
    }
}

type RunsByTask<'a> = BTreeMap<TaskKey, Vec<&'a RunHistory>>;

fn by_task(history: &History) -> RunsByTask<'_> {
    let mut tasks = RunsByTask::new();
    for run in &history.runs {
        tasks.entry(run.task).or_default().push(run);
    }
    for runs in tasks.values_mut() {
        runs.sort_by_key(|run| run.began_at);
    }
    tasks
}

fn ended_as(run: &RunHistory, end: TaskEnd) -> Option<ClockTime> {
    match run.ended {
        Some((at, EndKind::Told(told))) if told == end => Some(at),
        _ => None,
    }
}

/// TWICE and BUDGET.
fn check_task(history: &History, task: TaskKey, runs: &[&RunHistory], found: &mut Findings) {
    for (number, run) in runs.iter().enumerate() {
        let began_at = run.began_at;
        for before in &runs[..number] {
            let ended_at = before.ended.map_or(history.over_at, |(at, _)| at);
            if began_at < ended_at {
                let what = format!(
                    "{task}: run {} on {} began beside run {} on {}",
                    run.run, run.worker, before.run, before.worker
                );
                found.add(Rule::Twice, began_at, what);
            }
            let done_at = ended_as(before, TaskEnd::Done);
            if before.noted_at.is_some() && done_at.is_some_and(|at| began_at >= at) {
                let what = format!(
                    "{task}: run {} began after run {} was done",
                    run.run, before.run
                );
                found.add(Rule::Twice, began_at, what);
            }
        }
        let Some(job) = history.jobs.get(&task.job) else {
            continue;
        };
        let failures = runs[..number].iter().filter(|before| {
            let failed_at = ended_as(before, TaskEnd::Failed);
            before.noted_at.is_some() && failed_at.is_some_and(|at| at <= began_at)
        });
        if !job.shape.lasting && failures.count() >= job.shape.max_failures as usize {
            let what = format!("{task}: run {} began after its last failure", run.run);
            found.add(Rule::Budget, began_at, what);
        }
    }
}

/// ORDER, ROUTE, UNASKED, REFUSED, LIMIT and DRAIN of each start.
fn check_starts(history: &History, runs: &RunsByTask<'_>, found: &mut Findings) {
    for run in &history.runs {
        let (task, at) = (run.task, run.began_at);
        let Some(job) = history.jobs.get(&task.job) else {
            found.add(Rule::Unasked, at, format!("{task}: nobody sent this job"));
            continue;
        };
        if run.payload != job.shape.payload {
            found.add(
                Rule::Unasked,
                at,
                format!("{task}: started with another payload"),
            );
        }
        if let Some((_, Some(acked_at))) = job.cancelled
            && at > acked_at + CANCEL
            && !run.late
        {
            found.add(
                Rule::Unasked,
                at,
                format!("{task}: started after its cancellation"),
            );
        }
        if run.pool != job.shape.pool {
            let what = format!("{task}: started in {}, not in {}", run.pool, job.shape.pool);
            found.add(Rule::Route, at, what);
        }
        if run.over {
            let what = format!("{task}: brings {} over what it has", run.worker);
            found.add(Rule::Limit, at, what);
        }
        let refused = |(_, outcome): &(ClockTime, CallOutcome)| *outcome == CallOutcome::Refused;
        if !job.attempts.is_empty() && job.attempts.iter().all(refused) {
            found.add(
                Rule::Refused,
                at,
                format!("{task}: all attempts were refused"),
            );
        }
        let draining = history.draining.get(&run.worker);
        if draining.is_some_and(|since| at > *since + DRAIN)
            && !run.late
            && !history.is_troubled(at)
        {
            let what = format!("{task}: started on {}, which drains", run.worker);
            found.add(Rule::Drain, at, what);
        }
        check_order(job, run, runs, found);
    }
}

fn check_order(job: &JobHistory, run: &RunHistory, runs: &RunsByTask<'_>, found: &mut Findings) {
    let Some(before) = run.task.step.checked_sub(1) else {
        return;
    };
    let count = job.shape.steps.get(usize::from(before)).copied();
    for index in 0..count.unwrap_or(0) {
        let earlier = TaskKey {
            step: before,
            index,
            ..run.task
        };
        if !is_done(runs, earlier, run.began_at) {
            let what = format!("{}: started before {earlier} was done", run.task);
            found.add(Rule::Order, run.began_at, what);
            return;
        }
    }
}

/// Whether a run of a task has ended as done by a time.
fn is_done(runs: &RunsByTask<'_>, task: TaskKey, by: ClockTime) -> bool {
    let runs = runs.get(&task).into_iter().flatten();
    let mut ends = runs.filter_map(|run| ended_as(run, TaskEnd::Done));
    ends.any(|at| at <= by)
}

fn tasks_of(id: JobId, job: &JobHistory) -> impl Iterator<Item = TaskKey> {
    let steps = (0u16..).zip(job.shape.steps.iter());
    steps.flat_map(move |(step, count)| {
        (0..*count).map(move |index| TaskKey {
            job: id,
            occurrence: 0,
            step,
            index,
        })
    })
}

/// MIXED and LOST of a job.
fn check_job(
    history: &History,
    id: JobId,
    job: &JobHistory,
    runs: &RunsByTask<'_>,
    found: &mut Findings,
) {
    let accepted = job.attempts.iter();
    let mut accepted = accepted.filter(|(_, outcome)| *outcome == CallOutcome::Accepted);
    let accepted_at = accepted.next().map(|(at, _)| *at);
    let failed = |task: TaskKey| {
        let runs = runs.get(&task).into_iter().flatten();
        let failed = runs.filter(|run| ended_as(run, TaskEnd::Failed).is_some());
        failed.count() >= job.shape.max_failures as usize
    };
    for (at, shown) in &job.shown {
        match shown {
            Some(JobState::Completed) => {
                let mut tasks = tasks_of(id, job);
                if let Some(open) = tasks.find(|task| !is_done(runs, *task, *at)) {
                    let what = format!("{id}: shown as completed while {open} is not done");
                    found.add(Rule::Mixed, *at, what);
                }
            }
            Some(JobState::Failed) if !tasks_of(id, job).any(failed) => {
                found.add(
                    Rule::Lost,
                    *at,
                    format!("{id}: shown as failed without cause"),
                );
            }
            Some(JobState::Cancelled) if job.cancelled.is_none() => {
                found.add(
                    Rule::Lost,
                    *at,
                    format!("{id}: shown as cancelled by nobody"),
                );
            }
            None if job.cancelled.is_none()
                && accepted_at.is_some_and(|since| *at > since + VISIBLE)
                && !history.is_troubled(*at) =>
            {
                found.add(Rule::Lost, *at, format!("{id}: said not to exist"));
            }
            _ => {}
        }
    }
    let in_time = accepted_at.is_some_and(|at| at + LATE_JOB < history.over_at);
    if !in_time || job.cancelled.is_some() {
        return;
    }
    let last = job.shown.iter().rev().find_map(|(_, shown)| *shown);
    if job.shape.lasting {
        check_lasting(history, id, job, runs, found);
    } else if !matches!(last, Some(JobState::Completed | JobState::Failed))
        && !tasks_of(id, job).all(|task| is_done(runs, task, EVER))
    {
        let what = format!("{id}: accepted and not done at the end ({last:?})");
        found.add(Rule::Lost, history.over_at, what);
    }
}

/// At the end of the day each task of a lasting job runs.
fn check_lasting(
    history: &History,
    id: JobId,
    job: &JobHistory,
    runs: &RunsByTask<'_>,
    found: &mut Findings,
) {
    let late = history.over_at - RESTART;
    for task in tasks_of(id, job) {
        let runs = runs.get(&task).into_iter().flatten();
        let mut alive = runs.filter(|run| run.ended.is_none_or(|(at, _)| at > late));
        if alive.next().is_none() && !history.is_troubled(late) {
            let what = format!("{task}: serves for good and does not run at the end");
            found.add(Rule::Lost, history.over_at, what);
        }
    }
}

/// LIMIT, MIXED, ONE and AVAIL of orders on VMs and waves.
fn check_vms(history: &History, found: &mut Findings) {
    let mut tokens = BTreeMap::new();
    for (number, order) in history.vms.iter().enumerate() {
        let highest = tokens.entry(&order.vm).or_insert(order.token);
        if order.token < *highest {
            let what = format!("{}: an order under an older token", order.vm);
            found.add(Rule::One, order.at, what);
        }
        *highest = order.token.max(*highest);
        check_avail(history, number, found);
        let Some(wave) = order.wave else {
            continue;
        };
        let beside = history.vms[..number].iter();
        let down = beside.filter(|it| it.wave == Some(wave) && it.until > order.at);
        let cap = history.waves.get(&wave).map_or(0, |wave| wave.cap);
        if down.count() >= cap {
            let what = format!("{}: its maintenance begins beyond the cap", order.vm);
            found.add(Rule::Limit, order.at, what);
        }
    }
    for (number, wave) in &history.waves {
        let Some(completed_at) = wave.completed_at else {
            continue;
        };
        let begun: BTreeSet<_> = history
            .vms
            .iter()
            .filter(|order| order.wave == Some(*number) && order.at <= completed_at)
            .map(|order| &order.vm)
            .collect();
        // A VM that was lost meanwhile has no orders and does not stay.
        let lost = |vm| !history.vms_at_end.contains(vm);
        if let Some(vm) = wave.vms.iter().find(|vm| !begun.contains(vm) && !lost(*vm)) {
            let what = format!("wave {number} is said to be complete without {vm}");
            found.add(Rule::Mixed, completed_at, what);
        }
    }
}

/// An order on a VM takes away no task whose step misses enough already.
fn check_avail(history: &History, number: usize, found: &mut Findings) {
    let order = &history.vms[number];
    let Some(worker) = &order.worker else {
        return;
    };
    if history.is_troubled(order.at) {
        return;
    }
    let at_work = |run: &&RunHistory, at: ClockTime| {
        run.began_at + AT_WORK <= at && run.ended.is_none_or(|(end, _)| end >= at)
    };
    let taken = history.runs.iter().filter(|run| {
        let stopped = run.stop_at.is_some_and(|at| at < order.at);
        run.worker == *worker && at_work(run, order.at) && !stopped
    });
    for run in taken {
        let Some(job) = history.jobs.get(&run.task.job) else {
            continue;
        };
        if !job.shape.lasting || job.cancelled.is_some() {
            continue;
        }
        let others = tasks_of(run.task.job, job).filter(|task| *task != run.task);
        let away = others.filter(|task| {
            let mut runs = history.runs.iter();
            !runs.any(|other| other.task == *task && at_work(&other, order.at))
        });
        if away.count() >= job.shape.may_miss {
            let what = format!(
                "{}: an order on {} ends it beside others",
                run.task, order.vm
            );
            found.add(Rule::Avail, order.at, what);
        }
    }
}
