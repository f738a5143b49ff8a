//! Tests of the number of jobs that are said to wait.

use crate::harness::{SchedulerHarness, step, worker};
use jacinthhoist_core::job::{JobId, RenewalReport, StartReply, TaskEnd};

fn waiting(harness: &SchedulerHarness) -> u32 {
    let loads = harness.scheduler.loads();
    loads.iter().map(|(_, load)| load.waiting).sum()
}

/// Guards against jobs that count as begun after a change of the owner, although the start orders of
/// their stored runs were never sent.
#[test]
fn jobs_whose_stored_runs_never_started_wait_after_a_takeover() {
    let mut owner = SchedulerHarness::open(1);
    let jobs = [1, 2, 3].map(|id| (JobId(id), owner.accept(id, vec![step(1)])));
    owner.wait(20);
    owner.step();
    owner.store();
    assert_eq!(owner.stored.len(), 3, "the runs are stored");
    let mut next = owner.take_over(&jobs, 1);
    assert_eq!(waiting(&next), 3);
    next.report(0, RenewalReport::default());
    next.step();
    assert_eq!(waiting(&next), 3, "the worker has none of the runs");
    next.settle();
    assert_eq!(waiting(&next), 3, "no start is confirmed yet");
    assert_eq!(next.confirm().len(), 3);
    assert_eq!(waiting(&next), 0);
}

/// Guards against jobs that count as begun because a worker refused the start of a task.
#[test]
fn a_job_whose_start_was_refused_waits() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let start = harness.starts.remove(0);
    harness.reply(&start, StartReply::NoRoom);
    assert_eq!(waiting(&harness), 1);
}

/// Guards against jobs that wait again: a run counts as begun whether its start is confirmed by the
/// reply, by a report or by its end, and later owners know of it once it has ended.
#[test]
fn a_job_with_a_run_that_began_does_not_wait_after_a_takeover() {
    for confirmation in ["reply", "report", "end"] {
        let mut owner = SchedulerHarness::open(1);
        let spec = owner.accept(1, vec![step(1)]);
        owner.settle();
        let start = owner.starts.remove(0);
        match confirmation {
            "reply" => owner.reply(&start, StartReply::Started),
            "report" => owner.report_part(0, std::slice::from_ref(&start), 10),
            _ => {}
        }
        assert_eq!(waiting(&owner), u32::from(confirmation == "end"));
        owner.end(&start, TaskEnd::Stopped);
        assert_eq!(waiting(&owner), 0, "{confirmation}");
        owner.settle();
        let next = owner.take_over(&[(JobId(1), spec)], 1);
        assert!(next.scheduler.worker(&worker(0)).is_some());
        assert_eq!(waiting(&next), 0, "{confirmation}");
    }
}
