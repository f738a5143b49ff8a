//! Start orders that workers refuse for want of room.

use jacinthhoist_core::job::{JobId, StartReply, TaskEnd};

use super::harness::{RunOrder, SchedulerHarness, ms, step};

/// Job whose starts are refused by every worker.
const REFUSED_JOB: JobId = JobId(1);
const WORKERS: usize = 4;

/// What a span of 40 seconds has seen.
struct Outcome {
    refused_starts: usize,
    /// Longest time from the acceptance of a sound job to its start, in milliseconds.
    longest_wait: u64,
}

/// Plays a job whose starts are refused for want of room beside a stream of sound jobs of one task.
fn play(refused: bool) -> Outcome {
    let mut harness = SchedulerHarness::open(WORKERS);
    let begun = harness.now;
    if refused {
        harness.accept(REFUSED_JOB.0, vec![step(1)]);
    }
    let mut accepted_at = std::collections::BTreeMap::new();
    let mut running: Vec<RunOrder> = Vec::new();
    let mut outcome = Outcome {
        refused_starts: 0,
        longest_wait: 0,
    };
    let mut next_job = 100;
    while harness.now < begun + ms(40_000) {
        next_job += 1;
        harness.accept(next_job, vec![step(1)]);
        accepted_at.insert(JobId(next_job), harness.now);
        harness.settle();
        for run in std::mem::take(&mut running) {
            harness.end(&run, TaskEnd::Done);
        }
        for start in std::mem::take(&mut harness.starts) {
            if start.task.job == REFUSED_JOB {
                outcome.refused_starts += 1;
                harness.reply(&start, StartReply::NoRoom);
                continue;
            }
            harness.reply(&start, StartReply::Started);
            accepted_at.remove(&start.task.job);
            running.push(start);
        }
        harness.report_all(&running, WORKERS, 50);
        let waits = accepted_at
            .values()
            .map(|at| (harness.now - *at).as_millis());
        let longest = waits.max().unwrap_or(0);
        outcome.longest_wait = outcome.longest_wait.max(longest);
    }
    outcome
}

/// Regression test (LOST): a job that every worker refused for want of room took one worker after the other out
/// of service, again and again, while sound jobs waited.
#[test]
fn a_job_that_every_worker_refuses_takes_one_worker_out_of_service() {
    let outcome = play(true);
    assert!(outcome.longest_wait < 3_000, "{} ms", outcome.longest_wait);
    // The first one, and those after pauses of 0, 4, 8 and 16 seconds.
    let refused_starts = outcome.refused_starts;
    assert!(refused_starts <= 6, "{refused_starts} refused starts");
    assert!(play(false).longest_wait < 3_000);
}

/// Guards against a worker that has less room than it reports: each step that it refuses first counts against it.
#[test]
fn a_worker_that_refuses_two_steps_for_want_of_room_is_suspended() {
    let mut harness = SchedulerHarness::open(2);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let first = harness.starts.remove(0);
    harness.reply(&first, StartReply::NoRoom);
    harness.settle();
    let second = harness.starts.remove(0);
    assert_ne!(first.worker, second.worker);
    harness.reply(&second, StartReply::NoRoom);
    harness.accept(2, vec![step(1)]);
    harness.settle();
    let third = harness.starts.remove(0);
    assert_eq!((third.task.job, &third.worker), (JobId(2), &second.worker));
    harness.reply(&third, StartReply::NoRoom);
    let worker = harness.scheduler.worker(&second.worker);
    assert!(worker.is_some_and(|worker| worker.is_suspended(harness.now)));
}

/// Guards the other side: a step that starts somewhere does not pause.
#[test]
fn a_step_that_one_worker_refuses_starts_on_another_at_once() {
    let mut harness = SchedulerHarness::open(2);
    harness.accept(1, vec![step(3)]);
    harness.settle();
    for start in std::mem::take(&mut harness.starts) {
        harness.reply(&start, StartReply::NoRoom);
    }
    harness.settle();
    assert_eq!(harness.confirm().len(), 3);
}

/// Guards against a task that an owner places again although a worker has just told it of a later owner: the
/// run belongs to that one (issue 49).
#[test]
fn a_start_that_is_refused_for_a_later_owner_releases_no_run() {
    let mut harness = SchedulerHarness::open(WORKERS);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let starts = std::mem::take(&mut harness.starts);
    assert_eq!(starts.len(), 1);
    harness.reply(&starts[0], StartReply::Fenced);
    for _ in 0..5 {
        harness.settle();
        assert!(harness.starts.is_empty());
    }
}
