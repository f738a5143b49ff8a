//! Start orders that cannot be sent at once.

use jacinthhoist_core::job::{
    AnyTask, JobId, MAX_CONCURRENT_ORDERS, Scheduler, SchedulerLimits, StartReply, WorkerState,
};

use super::{
    WorkerEntry,
    harness::{SchedulerHarness, catalogue, key, listed_entry, ms, step, worker},
};

/// Creates an owner that sends as many starts to a worker at once as the product does.
fn open_limited() -> SchedulerHarness {
    let limits = SchedulerLimits {
        concurrent_starts: MAX_CONCURRENT_ORDERS,
        ..SchedulerLimits::example()
    };
    let mut harness = SchedulerHarness::without_workers(ms(1_000));
    harness.scheduler = Scheduler::open(limits, catalogue(), harness.now);
    harness.list_workers(1);
    harness.report(0, Default::default());
    harness.step();
    harness
}

/// Regression test (LOST, review/6 on slow members): starts whose permission ran out before they left the process
/// gave up their runs, which were placed and stored again, so that a busy owner started nothing any more.
#[test]
fn a_start_that_did_not_leave_the_process_keeps_its_run() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![step(2)]);
    harness.settle();
    let starts = std::mem::take(&mut harness.starts);
    for start in &starts {
        harness.reply(start, StartReply::Expired);
    }
    harness.wait(20);
    harness.step();
    assert_eq!(harness.starts, starts, "the same runs are sent again");
    assert!(harness.batches.is_empty(), "they are stored already");
}

/// Guards against starts that outlive their permission in the queue of their worker's connection.
#[test]
fn a_worker_gets_no_more_starts_than_it_has_answered() {
    let mut harness = open_limited();
    harness.accept(1, vec![step(10)]);
    harness.settle();
    assert_eq!(harness.starts.len(), MAX_CONCURRENT_ORDERS);
    let first = harness.starts.remove(0);
    harness.reply(&first, StartReply::Started);
    harness.step();
    for sent in [MAX_CONCURRENT_ORDERS, MAX_CONCURRENT_ORDERS, 1] {
        assert_eq!(harness.confirm().len(), sent);
        harness.step();
    }
    assert!(harness.starts.is_empty());
}

/// Guards against starts that are tried again and again while the store confirms nothing.
#[test]
fn starts_wait_for_the_permission_to_send_them() {
    let mut harness = SchedulerHarness::open(1);
    harness.scheduler.set_starts_until(harness.now);
    harness.accept(1, vec![step(2)]);
    harness.settle();
    assert!(harness.starts.is_empty());
    harness.scheduler.set_starts_until(harness.now + ms(900));
    harness.step();
    assert_eq!(harness.starts.len(), 2);
}

/// Guards against a start that waits while its worker begins to drain (DRAIN).
#[test]
fn a_start_that_waits_is_not_sent_to_a_draining_worker() {
    let mut harness = open_limited();
    harness.accept(1, vec![step(10)]);
    harness.settle();
    let sent = harness.confirm();
    let draining = WorkerEntry {
        state: WorkerState::Draining,
        ..listed_entry(0)
    };
    harness
        .scheduler
        .worker_listed(worker(0), draining, harness.now);
    harness.settle();
    assert!(harness.starts.is_empty());
    for index in sent.len() as u16..10 {
        assert!(matches!(
            harness.task(key(1, 0, index)),
            AnyTask::Waiting(_)
        ));
    }
}

/// Guards against a start that waits while its job is cancelled (UNASKED), and against stop orders for runs that no
/// worker has heard of.
#[test]
fn a_start_that_waits_is_withdrawn_with_its_job() {
    let mut harness = open_limited();
    harness.accept(1, vec![step(10)]);
    harness.settle();
    let sent = harness.confirm();
    harness.scheduler.cancel(JobId(1), None);
    harness.settle();
    assert!(harness.starts.is_empty());
    assert_eq!(harness.stops, sent);
}
