//! Availability of long-running steps: which orders end a sound run.

use jacinthhoist_core::job::{
    AnyTask, Effect, JobId, SchedulerDecision, StartReply, StopReason, TaskEnd, WorkerEntry,
    WorkerState,
};

use crate::harness::{
    RunOrder, SchedulerHarness, listed_entry, long_running_step, ms, number_of, worker,
};

/// Starts a service of three tasks, one of which may be missing; returns the starts.
pub(crate) fn start_service(harness: &mut SchedulerHarness) -> Vec<RunOrder> {
    harness.accept(1, vec![long_running_step(3, 1)]);
    harness.settle();
    let starts = harness.confirm();
    assert_eq!(starts.len(), 3);
    starts
}

/// Guards against sound runs that are stopped as hung, all at once, by an owner that was suspended just
/// after it had started them: it had read no report in the meantime.
#[test]
fn runs_are_not_stopped_as_hung_after_a_suspension_of_the_owner() {
    let mut harness = SchedulerHarness::open(3);
    let starts = start_service(&mut harness);
    harness.wait(4_000);
    harness.step();
    harness.report_all(&starts, 3, 100);
    harness.settle();
    assert_eq!(harness.stops, []);
}

/// Guards against hung runs that are never stopped: their workers report them without progress.
#[test]
fn a_run_that_is_reported_without_progress_is_stopped() {
    let mut harness = SchedulerHarness::open(3);
    let starts = start_service(&mut harness);
    for _ in 0..4 {
        harness.wait(700);
        harness.report_part(0, &starts, 0);
        harness.report_part(1, &starts, 100);
        harness.report_part(2, &starts, 100);
    }
    harness.settle();
    let hung: Vec<RunOrder> = starts[..1].to_vec();
    assert_eq!(harness.stops, hung);
    assert!(harness.scheduler.job(JobId(1)).is_some());
}

/// Guards against a second run of a step that a new owner stops while the one that the earlier owner has
/// ordered to stop is still reported in full operation.
#[test]
fn a_new_owner_stops_no_run_while_one_of_the_earlier_owner_may_be_stopping() {
    let mut harness = SchedulerHarness::open(3);
    let starts = start_service(&mut harness);
    harness.report_all(&starts, 3, 100);
    harness.settle();
    let spec = harness.scheduler.job(JobId(1)).expect("the job is open");
    let mut next = harness.take_over(&[(JobId(1), spec.spec.clone())], 3);
    next.report_all(&starts, 3, 100);
    let number = number_of(&starts[0].worker);
    let draining = WorkerEntry {
        state: WorkerState::Draining,
        ..listed_entry(number)
    };
    next.scheduler
        .worker_listed(worker(number), draining, next.now);
    next.wait(150);
    next.step();
    assert_eq!(next.stops, []);
    next.end(&starts[1], TaskEnd::Stopped);
    next.settle();
    assert_eq!(next.stops, [], "one task is away");
    next.wait(1_000);
    let again = next.confirm();
    let running = [&starts[..1], &starts[2..], &again[..]].concat();
    next.report_all(&running, 3, 100);
    next.settle();
    assert_eq!(next.stops, starts[..1], "all tasks are back");
}

/// Guards against a trace in which the order that ended a run cannot be found: each stop order is logged
/// with its reason.
#[test]
fn each_stop_order_is_logged_with_its_reason() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![long_running_step(1, 1)]);
    harness.settle();
    let start = harness.starts.remove(0);
    harness.reply(&start, StartReply::Unknown);
    harness.report_all(&[], 1, 100);
    let mut reasons = Vec::new();
    for _ in 0..2 {
        let effects = harness.scheduler.step(harness.now);
        reasons.extend(effects.into_iter().filter_map(|effect| match effect {
            Effect::Log(SchedulerDecision::RunStop { reason, .. }) => Some(reason),
            _ => None,
        }));
        harness.wait(1_000);
    }
    assert_eq!(reasons, [StopReason::Unanswered; 2]);
}

/// Starts a service of three tasks, one of which may be missing; the starts of the last `unanswered` of
/// them get no answer, and the reports that follow do not name them.
fn start_unanswered(unanswered: usize) -> (SchedulerHarness, Vec<RunOrder>) {
    let mut harness = SchedulerHarness::open(3);
    harness.accept(1, vec![long_running_step(3, 1)]);
    harness.settle();
    let starts = std::mem::take(&mut harness.starts);
    let (answered, lost) = starts.split_at(starts.len() - unanswered);
    for start in answered {
        harness.reply(start, StartReply::Started);
    }
    harness.wait(300);
    for start in lost {
        harness.reply(start, StartReply::Unknown);
    }
    harness.report_all(answered, 3, 100);
    harness.step();
    (harness, starts)
}

/// Guards against two runs of a step that are stopped at once, though one may be missing: their starts
/// got no answer and were carried out late, and the stops as well.
#[test]
fn unanswered_starts_are_repeated_rather_than_stopped_while_too_many_others_are_away() {
    let (mut harness, starts) = start_unanswered(2);
    assert_eq!(harness.stops, []);
    assert_eq!(harness.starts, starts[1..]);
    harness.confirm();
    harness.report_all(&starts, 3, 100);
    harness.settle();
    assert_eq!(harness.stops, []);
    for start in &starts {
        let task = harness.task(start.task);
        assert!(matches!(task, AnyTask::Running(_)), "{task:?}");
    }
}

/// Guards against a run at work that is stopped again and again: its start got no answer, so that it was
/// ordered to stop, and it began all the same, as that order was lost.
#[test]
fn a_run_that_begins_after_a_lost_stop_is_kept() {
    let (mut harness, starts) = start_unanswered(1);
    assert_eq!(harness.stops, starts[2..], "both other tasks are at work");
    for _ in 0..4 {
        harness.wait(500);
        harness.report_all(&starts, 3, 100);
        harness.settle();
    }
    assert_eq!(harness.stops, starts[2..]);
    let task = harness.task(starts[2].task);
    assert!(matches!(task, AnyTask::Running(_)), "{task:?}");
}

/// Guards against a second run beside one that begins late: the repeated start order was refused, but the
/// first one may still be carried out.
#[test]
fn a_run_whose_repeated_start_is_refused_is_stopped_before_its_task_starts_again() {
    let (mut harness, starts) = start_unanswered(2);
    harness.starts.clear();
    for start in &starts[1..] {
        harness.reply(start, StartReply::NoRoom);
    }
    harness.settle();
    assert_eq!(harness.stops, starts[1..]);
    assert_eq!(harness.starts, []);
}

/// Guards against a task that waits for good on a worker that answers no start order.
#[test]
fn a_start_is_not_repeated_for_good() {
    let (mut harness, starts) = start_unanswered(2);
    let since = harness.now;
    while harness.stops.is_empty() && harness.now < since + ms(6_000) {
        harness.wait(300);
        for start in std::mem::take(&mut harness.starts) {
            harness.reply(&start, StartReply::Unknown);
        }
        harness.wait(200);
        harness.report_all(&starts[..1], 3, 100);
        harness.step();
    }
    assert_eq!(harness.stops, starts[1..]);
}

/// Guards against a start that extends a lease whose expiry a later owner would rely on: the worker has
/// answered again, and the record of its expiry is not cleared yet.
#[test]
fn a_start_is_not_repeated_while_the_expiry_of_the_lease_is_stored() {
    let (mut harness, starts) = start_unanswered(2);
    for start in std::mem::take(&mut harness.starts) {
        harness.reply(&start, StartReply::Unknown);
    }
    let silent = number_of(&starts[1].worker);
    harness
        .scheduler
        .renewal_failed(&starts[1].worker, harness.now);
    harness.settle();
    harness.wait(400);
    harness.report_part(silent, &[], 100);
    harness.step();
    assert_eq!(harness.starts, []);
    harness.settle();
    harness.report_part(silent, &[], 100);
    harness.step();
    assert_eq!(harness.starts, starts[1..2]);
    assert_eq!(harness.stops, []);
}
