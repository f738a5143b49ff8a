//! Each rule reports a violation that is planted in a valid history.

use std::{ops::Range, sync::Arc};

use jacinthhoist_core::{
    ClockTime, PoolName, WorkerId,
    job::{JobId, JobState, TaskEnd},
};
use jacinthhoist_emulator::{
    CallOutcome, EmulationHistory, EmulationScenario, EndKind, FatalTask, FinalAnswer, HistoryRule,
    JobHistory, KeyedCall, LimitHistory, RunHistory, check, run_scenario,
};

/// Runs a scenario that exercises every rule and violates none.
fn valid_history() -> EmulationHistory {
    let scenario = EmulationScenario::parse(
        r#"
        secs = 6
        [[loads]]
        per_sec = 3.0
        steps = 2
        tasks = 3
        task_ms = 300
        lasting = 1
        cancels = 0.3
        [[faults]]
        at = 1.0
        kind = "wave"
        for_s = 0.1
        [[faults]]
        at = 2.0
        kind = "worker_drain"
        for_s = 0.1
        "#,
    );
    run_scenario(&scenario.expect("the scenario is valid"), 3).history
}

fn ms(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// Finds a completed job and the index of its first run of a step.
fn done_job(history: &EmulationHistory, step: u16) -> (JobId, usize) {
    let done = |id: &JobId| {
        let job = &history.jobs[id];
        let last = job.reported_states.last().and_then(|(_, state)| *state);
        last == Some(JobState::Completed)
    };
    let runs = history.runs.iter().enumerate();
    let mut runs = runs.filter(|(_, run)| run.task.step == step && done(&run.task.job));
    let (index, run) = runs.next().expect("a job was completed");
    (run.task.job, index)
}

/// Adds a copy of a run that begins at the given time.
fn run_again(history: &mut EmulationHistory, index: usize, after: ClockTime) -> &mut RunHistory {
    let mut copy = history.runs[index].clone();
    copy.run += 1;
    copy.began_at = after;
    copy.ended = Some((after + ms(1), EndKind::ProcessLost));
    copy.acked_at = None;
    copy.stop_received_at = None;
    copy.stop_executed_late = false;
    history.runs.push(copy);
    history.runs.last_mut().expect("it was just added")
}

fn plant_violation(rule: HistoryRule, history: &mut EmulationHistory) {
    let (job, index) = done_job(history, 0);
    let (began_at, ended_at) = (history.runs[index].began_at, history.ended_at);
    // Without fault spans, no rule is suspended.
    history.fault_spans.clear();
    match rule {
        HistoryRule::Twice => {
            run_again(history, index, began_at + ms(1));
        }
        HistoryRule::Order => {
            let (_, second) = done_job(history, 1);
            history.runs[second].began_at = began_at;
        }
        HistoryRule::Route => history.runs[index].pool = PoolName::new("elsewhere"),
        HistoryRule::Budget => {
            for number in 0..2 {
                let failed_at = began_at + ms(2 * number + 1);
                let run = run_again(history, index, failed_at);
                run.ended = Some((failed_at + ms(1), EndKind::Reported(TaskEnd::Failed)));
                run.acked_at = Some(ended_at);
            }
            run_again(history, index, ended_at);
        }
        HistoryRule::Unasked => history.runs[index].payload = Arc::from("another"),
        HistoryRule::Refused => {
            let job = history.jobs.get_mut(&job).expect("the job is known");
            job.attempts = vec![(began_at, CallOutcome::Refused)];
        }
        HistoryRule::Limit => history.runs[index].over_capacity = true,
        HistoryRule::Mixed => history.runs[index].ended = None,
        HistoryRule::Lost => {
            let job = history.jobs.get_mut(&job).expect("the job is known");
            job.reported_states = vec![(ended_at, None)];
        }
        HistoryRule::One => {
            let mut older = history.vm_orders[0].clone();
            older.token -= 1;
            history.vm_orders.push(older);
        }
        HistoryRule::Drain => {
            let since = ClockTime::ZERO;
            let worker: WorkerId = history.runs[index].worker.clone();
            history.draining_since.insert(worker, since);
        }
        HistoryRule::Quota => {
            history.tenant_limits = vec![LimitHistory {
                at: ClockTime::ZERO,
                cpu: 1,
            }];
            history
                .jobs
                .values_mut()
                .for_each(|job| job.tenant = Some(0));
        }
        HistoryRule::Key => history.keyed_calls.push(KeyedCall {
            sent_at: ended_at,
            withdrawn_at: Some(began_at),
        }),
        HistoryRule::Avail => {
            let long_running_runs = history.runs.iter();
            let mut long_running_runs =
                long_running_runs.filter(|run| history.jobs[&run.task.job].shape.long_running);
            let first = long_running_runs
                .next()
                .expect("a long-running job has run")
                .clone();
            // All other tasks of its step are missing when its VM gets an order.
            history
                .runs
                .retain(|run| run.task.job != first.task.job || run.task == first.task);
            let mut order = history.vm_orders[0].clone();
            order.worker = Some(first.worker.clone());
            order.at = first.began_at + ms(500);
            history.vm_orders.push(order);
        }
    }
}

#[test]
fn a_valid_history_has_no_violations() {
    assert_eq!(check(&valid_history()), []);
}

#[test]
fn each_planted_violation_is_found() {
    let valid_history = valid_history();
    for rule in HistoryRule::ALL {
        let mut history = valid_history.clone();
        plant_violation(*rule, &mut history);
        let violations = check(&history);
        assert!(
            violations.iter().any(|violation| violation.rule == *rule),
            "{rule:?}: {violations:?}"
        );
    }
}

/// A question at the end that no member answers, or that is answered wrongly, is found, and all
/// accepted jobs are asked for.
#[test]
fn an_unanswered_question_at_the_end_is_found() {
    let mut history = valid_history();
    let (job, _) = done_job(&history, 0);
    let jobs = history.jobs.values();
    let asked = jobs.filter(|job| job.final_answer != FinalAnswer::NotAsked);
    let is_state = |job: &JobHistory| matches!(job.final_answer, FinalAnswer::State(_));
    assert!(asked.clone().count() > 5 && asked.clone().all(is_state));
    for answer in [FinalAnswer::Unanswered, FinalAnswer::NoSuchJob] {
        let asked = history.jobs.get_mut(&job).expect("the job is known");
        asked.final_answer = answer;
        let rules: Vec<_> = check(&history).iter().map(|found| found.rule).collect();
        assert_eq!(rules, [HistoryRule::Lost], "{answer:?}");
    }
}

/// Makes the first task of a completed job fatal and gives it runs that crash their workers, one
/// each second. Returns the job and the indexes of the runs.
fn plant_crashes(history: &mut EmulationHistory, count: u64) -> (JobId, Range<usize>) {
    let (job, index) = done_job(history, 0);
    let template = history.runs[index].clone();
    history.runs.retain(|run| run.task.job != job);
    let first = history.runs.len();
    for number in 0..count {
        let mut run = template.clone();
        run.run += number as u32;
        run.worker = WorkerId::new(&format!("crashed-{number}"));
        run.began_at = template.began_at + ms(1_000 * number);
        run.ended = Some((run.began_at + ms(20), EndKind::ProcessLost));
        run.acked_at = None;
        run.crashed_worker = true;
        history.runs.push(run);
    }
    let job_history = history.jobs.get_mut(&job).expect("the job is known");
    job_history.reported_states = vec![(history.ended_at, Some(JobState::Failed))];
    job_history.shape.fatal_task = Some(FatalTask {
        step: template.task.step,
        index: template.task.index,
        crashes_late: false,
    });
    (job, first..history.runs.len())
}

fn violated_rules(history: &EmulationHistory) -> Vec<HistoryRule> {
    check(history).iter().map(|found| found.rule).collect()
}

#[test]
fn three_starts_after_three_crashes_are_found() {
    let mut history = valid_history();
    let (_, runs) = plant_crashes(&mut history, 6);
    assert_eq!(violated_rules(&history), [HistoryRule::Budget]);
    // The start order of a member that is cut off does not count.
    history.runs[runs.end - 1].sender_in_touch = false;
    assert_eq!(violated_rules(&history), []);
    let mut history = valid_history();
    plant_crashes(&mut history, 5);
    assert_eq!(violated_rules(&history), []);
}

#[test]
fn a_job_that_is_given_up_without_cause_is_found() {
    let mut history = valid_history();
    plant_crashes(&mut history, 2);
    assert_eq!(violated_rules(&history), []);
    // One crash may have another cause.
    let mut history = valid_history();
    plant_crashes(&mut history, 1);
    assert_eq!(violated_rules(&history), [HistoryRule::Lost]);
    // The task ended with workers that others crashed.
    let mut history = valid_history();
    let (job, runs) = plant_crashes(&mut history, 4);
    for run in runs {
        history.runs[run].crashed_worker = false;
    }
    let shape = &mut history.jobs.get_mut(&job).expect("the job is known").shape;
    shape.fatal_task = None;
    assert_eq!(violated_rules(&history), [HistoryRule::Lost]);
}

#[test]
fn a_start_over_a_capacity_that_has_shrunk_is_found() {
    let mut history = valid_history();
    let run = &mut history.runs[0];
    run.over_capacity = true;
    // The member may not know of it within the contact time and a heartbeat.
    run.shrunk_at = Some(run.began_at - ms(5_500));
    assert_eq!(violated_rules(&history), []);
    history.runs[0].shrunk_at = Some(history.runs[0].began_at - ms(5_501));
    assert_eq!(violated_rules(&history), [HistoryRule::Limit]);
    history.runs[0].shrunk_at = None;
    assert_eq!(violated_rules(&history), [HistoryRule::Limit]);
}

#[test]
fn a_start_beyond_the_limit_of_its_step_is_found() {
    let mut history = valid_history();
    let job = history.runs[0].task.job;
    history.runs[0].beside = 2;
    let limit = |history: &mut EmulationHistory, limit: u16| {
        let job = history.jobs.get_mut(&job).expect("the job is known");
        job.shape.max_per_worker = limit;
    };
    for run in history.runs.iter_mut().skip(1) {
        run.beside = run.beside.min(1);
    }
    assert_eq!(violated_rules(&history), []);
    limit(&mut history, 3);
    assert_eq!(violated_rules(&history), []);
    limit(&mut history, 2);
    assert_eq!(violated_rules(&history), [HistoryRule::Route]);
}

#[test]
fn an_order_of_a_replaced_owner_is_found() {
    let mut history = valid_history();
    let order = &mut history.vm_orders[0];
    order.replaced_for = Some(ms(1_000));
    assert_eq!(check(&history), []);
    history.vm_orders[0].replaced_for = Some(ms(1_001));
    let rules: Vec<_> = check(&history).iter().map(|found| found.rule).collect();
    assert_eq!(rules, [HistoryRule::One]);
}

/// Runs a scenario with a long-running job on three workers; returns the history and the indexes of the
/// runs of that job.
fn history_of_service() -> (EmulationHistory, Vec<usize>) {
    let scenario = EmulationScenario::parse(
        "secs = 6\nworkers = 3\n[[loads]]\nper_sec = 1.0\ntasks = 3\ntask_ms = 300\nlasting = 1\n",
    );
    let history = run_scenario(&scenario.expect("the scenario is valid"), 1).history;
    let runs = history.runs.iter().enumerate();
    let service = runs.filter(|(_, run)| history.jobs[&run.task.job].shape.long_running);
    let service: Vec<usize> = service.map(|(index, _)| index).collect();
    assert_eq!(service.len(), 3);
    (history, service)
}

/// Ends a run with a stop order at the given time.
fn plant_stop(history: &mut EmulationHistory, index: usize, at: ClockTime) {
    let run = &mut history.runs[index];
    run.stop_received_at = Some(at);
    run.ended = Some((at + ms(300), EndKind::Reported(TaskEnd::Stopped)));
}

#[test]
fn a_stop_while_another_task_of_the_step_is_away_is_found() {
    let (valid, service) = history_of_service();
    assert_eq!(check(&valid), []);
    let at = valid.ended_at - ms(1_000);
    let violations = |change: &dyn Fn(&mut EmulationHistory)| {
        let mut history = valid.clone();
        plant_stop(&mut history, service[0], at);
        change(&mut history);
        violated_rules(&history)
    };
    assert_eq!(violations(&|_| {}), []);
    // An order has ended another one.
    assert_eq!(
        violations(&|history| plant_stop(history, service[1], at - ms(200))),
        [HistoryRule::Avail]
    );
    // The worker of another one has crashed, just now or a while ago.
    let lose = |history: &mut EmulationHistory, ago: ClockTime| {
        history.runs[service[1]].ended = Some((at - ago, EndKind::ProcessLost));
    };
    assert_eq!(violations(&|history| lose(history, ms(4_000))), []);
    assert_eq!(
        violations(&|history| lose(history, ms(4_300))),
        [HistoryRule::Avail]
    );
    // The order was executed late, the worker is draining, or the caller has cancelled the job.
    let excuses: [&dyn Fn(&mut EmulationHistory); 3] = [
        &|history| history.runs[service[0]].stop_executed_late = true,
        &|history| {
            let worker = history.runs[service[0]].worker.clone();
            history.draining_since.insert(worker, at);
        },
        &|history| {
            let id = history.runs[service[0]].task.job;
            let job = history.jobs.get_mut(&id).expect("the job is known");
            job.cancelled = Some((at, None));
        },
    ];
    for (number, excuse) in excuses.iter().enumerate() {
        let found = violations(&|history| {
            lose(history, ms(4_300));
            excuse(history);
        });
        assert!(!found.contains(&HistoryRule::Avail), "{number}");
    }
}
