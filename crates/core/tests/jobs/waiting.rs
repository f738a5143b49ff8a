//! Steps that wait, and what they may do to others.

use jacinthhoist_core::{
    WorkerId,
    job::{JobId, RenewalReport, Resources, StepSpec, TaskEnd},
};

use super::harness::{RunOrder, SchedulerHarness, long_running_step, ms, step, worker};

/// Number of jobs that wait: more than any bound on the steps without room may allow.
const WAITING_JOBS: u64 = 12;

/// Tasks that take a part of the 32 cores of a worker.
fn sized(count: u16, cores: u64) -> StepSpec {
    StepSpec {
        need: Resources {
            cpu: cores * 1_000,
            mem_mb: 100,
            gpu: 0,
        },
        ..step(count)
    }
}

fn spread(count: u16) -> StepSpec {
    StepSpec {
        max_per_worker: 1,
        ..step(count)
    }
}

/// Reports and steps for a while, with the progress of runs that have `percent_per_sec`.
fn pass_time(
    harness: &mut SchedulerHarness,
    runs: &[RunOrder],
    workers: usize,
    millis: u64,
    percent_per_sec: u64,
) {
    let start = harness.now;
    while harness.now < start + ms(millis) {
        harness.wait(400);
        let elapsed = (harness.now - start).as_millis();
        let percent = (elapsed * percent_per_sec / 1_000).min(99) as u8;
        harness.report_all(runs, workers, percent);
        harness.settle();
    }
}

fn started_jobs(starts: &[RunOrder]) -> Vec<JobId> {
    starts.iter().map(|start| start.task.job).collect()
}

/// Regression test (LOST): eight late steps that had their largest number of tasks on each worker ended the
/// search of the queue, and no late job behind them was started, though most of the capacity was free.
#[test]
fn late_jobs_start_behind_others_at_their_step_limit() {
    let mut harness = SchedulerHarness::open(2);
    for id in 1..=WAITING_JOBS {
        harness.accept(100 + id, vec![spread(3)]);
    }
    harness.settle();
    let running = harness.confirm();
    assert_eq!(running.len(), 2 * WAITING_JOBS as usize);
    harness.accept(1, vec![step(2)]);
    pass_time(&mut harness, &running, 2, 20_000, 1);
    harness.accept(2, vec![step(2)]);
    harness.settle();
    let started = started_jobs(&harness.starts);
    assert_eq!(started, [JobId(1), JobId(1), JobId(2), JobId(2)]);
}

/// Regression test (LOST): eight late tasks that need a whole worker, beside a long run on each, ended the
/// search of the queue, and 31 of 32 cores of each worker stayed free.
#[test]
fn small_tasks_start_beside_large_ones_that_wait_for_long_runs() {
    let mut harness = SchedulerHarness::open(4);
    harness.accept(1, vec![spread(4)]);
    harness.settle();
    let running = harness.confirm();
    for id in 1..=WAITING_JOBS {
        harness.accept(100 + id, vec![sized(1, 32)]);
    }
    harness.wait(1);
    harness.accept(2, vec![step(40)]);
    harness.wait(20_000);
    harness.report_all(&running, 4, 10);
    harness.settle();
    assert_eq!(started_jobs(&harness.starts), [JobId(2); 40]);
}

/// Ends each run of a stream of small tasks after a second, and starts others in their place, until a task
/// that needs a whole worker has started. Returns the waiting time of that task in milliseconds.
fn wait_beside_small_tasks(workers: usize, large: &StepSpec) -> Option<u64> {
    let mut harness = SchedulerHarness::open(workers);
    let mut runs: Vec<(RunOrder, u64)> = Vec::new();
    let mut next_job = 1_000;
    let begun = harness.now;
    for round in 0..300u64 {
        harness.wait(100);
        if round == 30 {
            harness.accept(1, vec![large.clone()]);
        }
        // Enough for the whole pool at any time.
        while runs.len() + harness.starts.len() < 34 * workers
            && harness.scheduler.open_jobs() < 40 * workers
        {
            next_job += 1;
            harness.accept(next_job, vec![step(1)]);
        }
        harness.settle();
        let now = (harness.now - begun).as_millis();
        runs.extend(harness.confirm().into_iter().map(|start| (start, now)));
        if runs.iter().any(|(run, _)| run.task.job == JobId(1)) {
            return Some((round - 30) * 220);
        }
        let due = runs.iter().filter(|(_, since)| now >= since + 1_000);
        let due: Vec<RunOrder> = due.map(|(run, _)| run.clone()).collect();
        runs.retain(|(_, since)| now < since + 1_000);
        let rest: Vec<RunOrder> = runs.iter().map(|(run, _)| run.clone()).collect();
        for run in &due {
            harness.end_beside(run, TaskEnd::Done, &rest);
        }
        harness.report_all(&rest, workers, 50);
        harness.settle();
    }
    None
}

/// Guards against tasks that starve: a task that needs a whole worker starts although smaller ones take each
/// core that becomes free.
#[test]
fn a_large_task_starts_beside_a_stream_of_small_ones() {
    let gang = StepSpec {
        gang: true,
        ..sized(2, 32)
    };
    for (name, large) in [("task", sized(1, 32)), ("gang", gang)] {
        assert!(wait_beside_small_tasks(4, &large).is_some(), "{name}");
    }
}

/// Guards against a pool that stands idle for those that wait: room is kept for one of them at a time, so on one
/// of four workers, however long the runs there last.
#[test]
fn room_is_kept_for_one_task_at_a_time() {
    let mut harness = SchedulerHarness::open(4);
    harness.accept(1, vec![spread(4)]);
    harness.settle();
    let running = harness.confirm();
    for id in 1..=WAITING_JOBS {
        harness.accept(100 + id, vec![sized(1, 32)]);
    }
    // The runs are about to end, but do not.
    pass_time(&mut harness, &running, 4, 3_000, 33);
    harness.accept(2, vec![step(124)]);
    harness.settle();
    assert!(harness.starts.len() >= 93, "{} tasks", harness.starts.len());
}

/// Guards against room that is kept for a job that is gone.
#[test]
fn room_is_released_once_its_job_is_cancelled() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let running = harness.confirm();
    harness.accept(2, vec![sized(1, 32)]);
    harness.settle();
    harness.scheduler.cancel(JobId(2), None);
    harness.accept(3, vec![step(31)]);
    harness.settle();
    assert_eq!(started_jobs(&harness.starts), [JobId(3); 31]);
    assert_eq!(running[0].worker, WorkerId::new("i-0"));
}

/// Guards against room that is kept where lasting tasks hold it for good.
#[test]
fn no_room_is_kept_where_runs_last() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![long_running_step(1, 0)]);
    harness.settle();
    let running = harness.confirm();
    harness.accept(2, vec![sized(1, 32)]);
    harness.accept(3, vec![step(31)]);
    pass_time(&mut harness, &running, 1, 1_000, 100);
    assert_eq!(started_jobs(&harness.starts), [JobId(3); 31]);
}

/// Guards against workers that are reserved for good (LOST): a job that came first and asked for the same recorded
/// that no worker had room for it, and the job for which they were reserved was looked for among those.
#[test]
fn a_reserved_worker_is_found_behind_a_job_that_asks_for_the_same() {
    let mut owner = SchedulerHarness::open(1);
    owner.accept(1, vec![sized(1, 20)]);
    owner.settle();
    owner.confirm();
    // Its run is lost at its start, and another one is starting there when it is tried again.
    owner.accept(2, vec![step(1)]);
    owner.settle();
    let restarted = |report: RenewalReport| RenewalReport {
        incarnation: Some(2),
        ..report
    };
    owner.report(0, restarted(RenewalReport::default()));
    owner.register(0, 2);
    owner.settle();
    let second = owner.confirm();
    assert_eq!(started_jobs(&second), [JobId(2)]);
    let known = owner.scheduler.worker(&worker(0)).unwrap();
    assert_eq!(known.reserved_for, Some(JobId(1)));
    // A job that can still be in time comes before the one that cannot.
    owner.wait(6_000);
    owner.accept(3, vec![sized(1, 20)]);
    owner.report(0, restarted(SchedulerHarness::running(&second, 10)));
    owner.settle();
    assert_eq!(started_jobs(&owner.starts), [JobId(1)]);
}
