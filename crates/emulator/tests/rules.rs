//! Each rule is found broken where a fault is planted in what was seen.

use std::sync::Arc;

use jacinthhoist_core::{
    ClockTime, PoolName, WorkerId,
    job::{JobId, JobState, TaskEnd},
};
use jacinthhoist_emulator::{
    CallOutcome, EmulatedDay, EndKind, History, Rule, RunHistory, check, play,
};

/// A day with all that the rules are about, on which none is broken.
fn sound() -> History {
    let day = EmulatedDay::parse(
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
    play(&day.expect("the day can be read"), 3).history
}

fn ms(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// A job that was done, with the place of its first run.
fn done_job(history: &History, step: u16) -> (JobId, usize) {
    let done = |id: &JobId| {
        let job = &history.jobs[id];
        let last = job.shown.last().and_then(|(_, shown)| *shown);
        last == Some(JobState::Completed)
    };
    let runs = history.runs.iter().enumerate();
    let mut runs = runs.filter(|(_, run)| run.task.step == step && done(&run.task.job));
    let (at, run) = runs.next().expect("a job was done");
    (run.task.job, at)
}

/// Adds a run like another one, later.
fn run_again(history: &mut History, at: usize, after: ClockTime) -> &mut RunHistory {
    let mut copy = history.runs[at].clone();
    copy.run += 1;
    copy.began_at = after;
    copy.ended = Some((after + ms(1), EndKind::Vanished));
    copy.noted_at = None;
    copy.stop_at = None;
    history.runs.push(copy);
    history.runs.last_mut().expect("it was just added")
}

fn plant(rule: Rule, history: &mut History) {
    let (job, at) = done_job(history, 0);
    let (began_at, over_at) = (history.runs[at].began_at, history.over_at);
    // Nothing is out of order, so that no rule is suspended.
    history.troubled.clear();
    match rule {
        Rule::Twice => {
            run_again(history, at, began_at + ms(1));
        }
        Rule::Order => {
            let (_, second) = done_job(history, 1);
            history.runs[second].began_at = began_at;
        }
        Rule::Route => history.runs[at].pool = PoolName::new("elsewhere"),
        Rule::Budget => {
            for number in 0..2 {
                let failed_at = began_at + ms(2 * number + 1);
                let run = run_again(history, at, failed_at);
                run.ended = Some((failed_at + ms(1), EndKind::Told(TaskEnd::Failed)));
                run.noted_at = Some(over_at);
            }
            run_again(history, at, over_at);
        }
        Rule::Unasked => history.runs[at].payload = Arc::from("another"),
        Rule::Refused => {
            let job = history.jobs.get_mut(&job).expect("the job is known");
            job.attempts = vec![(began_at, CallOutcome::Refused)];
        }
        Rule::Limit => history.runs[at].over = true,
        Rule::Mixed => history.runs[at].ended = None,
        Rule::Lost => {
            let job = history.jobs.get_mut(&job).expect("the job is known");
            job.shown = vec![(over_at, None)];
        }
        Rule::One => {
            let mut older = history.vms[0].clone();
            older.token -= 1;
            history.vms.push(older);
        }
        Rule::Drain => {
            let since = ClockTime::ZERO;
            let worker: WorkerId = history.runs[at].worker.clone();
            history.draining.insert(worker, since);
        }
        Rule::Avail => {
            let lasting = history.runs.iter();
            let mut lasting = lasting.filter(|run| history.jobs[&run.task.job].shape.lasting);
            let first = lasting.next().expect("a job serves for good").clone();
            // All others of its step are away when its VM is ordered about.
            history
                .runs
                .retain(|run| run.task.job != first.task.job || run.task == first.task);
            let mut order = history.vms[0].clone();
            order.worker = Some(first.worker.clone());
            order.at = first.began_at + ms(500);
            history.vms.push(order);
        }
    }
}

#[test]
fn a_sound_day_breaks_nothing() {
    assert_eq!(check(&sound()), []);
}

#[test]
fn each_rule_is_found_broken_where_it_is() {
    let sound = sound();
    for rule in Rule::ALL {
        let mut history = sound.clone();
        plant(*rule, &mut history);
        let found = check(&history);
        assert!(
            found.iter().any(|violation| violation.rule == *rule),
            "{rule:?}: {found:?}"
        );
    }
}
