//! Runs that the owner has given up, and the place that they still take on their workers.

use jacinthhoist_core::job::{
    AnyTask, JobId, OrderReply, RenewalReport, StartReply, StepSpec, TaskEnd,
};

use crate::harness::{RunOrder, SchedulerHarness, entry, key, ms, spec, step, worker};

/// A step of speculative tasks, one a worker.
fn spread_step(count: u16) -> StepSpec {
    StepSpec {
        speculative: true,
        max_per_worker: 1,
        ..step(count)
    }
}

/// Starts two tasks of a spread step on two workers; returns the start on worker 0.
fn start_spread(harness: &mut SchedulerHarness) -> RunOrder {
    harness.accept(1, vec![spread_step(2)]);
    harness.settle();
    let starts = harness.confirm();
    assert_eq!(starts.len(), 2);
    harness.report_all(&starts, 2, 20);
    let on_first = starts.into_iter().find(|start| start.worker == worker(0));
    on_first.expect("a task was started on worker 0")
}

fn fall_silent(harness: &mut SchedulerHarness, number: usize) {
    harness
        .scheduler
        .renewal_failed(&worker(number), harness.now);
    harness.settle();
}

fn is_running(harness: &SchedulerHarness, start: &RunOrder) -> bool {
    let task = harness.task(start.task);
    matches!(&task, AnyTask::Running(task) if task.run == start.run)
}

/// Guards against a second run beside the first one, on a worker that was silent for a moment: the step
/// limit of the worker was exceeded.
#[test]
fn a_worker_that_answers_again_keeps_the_run_that_waits_for_room() {
    let mut harness = SchedulerHarness::open(2);
    let start = start_spread(&mut harness);
    fall_silent(&mut harness, 0);
    harness.wait(100);
    harness.report_part(0, std::slice::from_ref(&start), 30);
    harness.settle();
    assert_eq!(
        (harness.starts.as_slice(), harness.stops.as_slice()),
        (&[][..], &[][..])
    );
    assert!(is_running(&harness, &start));
    harness.end(&start, TaskEnd::Done);
    assert!(matches!(harness.task(start.task), AnyTask::Done { run: 1 }));
}

/// Guards against a second run beside the first one after a change of the owner: no record names the
/// first one any more.
#[test]
fn a_new_owner_keeps_a_reported_run_that_its_predecessor_gave_up() {
    let mut harness = SchedulerHarness::open(2);
    let spec = spec(vec![spread_step(2)], harness.now);
    let start = start_spread(&mut harness);
    fall_silent(&mut harness, 0);
    let mut next = harness.take_over(&[(JobId(1), spec)], 2);
    next.report_part(0, std::slice::from_ref(&start), 30);
    next.settle();
    assert_eq!(
        (next.starts.as_slice(), next.stops.as_slice()),
        (&[][..], &[][..])
    );
    assert!(is_running(&next, &start));
}

/// Makes run 1 of a task on worker 0 a stray: run 2 was placed on worker 2, which fell silent as well.
fn strand_first_run(harness: &mut SchedulerHarness) -> RunOrder {
    let start = start_spread(harness);
    fall_silent(harness, 0);
    let again = harness.confirm();
    assert_eq!(again[0].worker, worker(2));
    fall_silent(harness, 2);
    start
}

/// Guards against a run that is placed beside a superseded one of the same step: what is being stopped
/// takes its place until its end is listed.
#[test]
fn a_superseded_run_takes_its_place_until_its_end_is_listed() {
    let mut harness = SchedulerHarness::open(3);
    let start = strand_first_run(&mut harness);
    // With two losses the task waits until one of the workers answers.
    harness.report_part(0, std::slice::from_ref(&start), 30);
    harness.scheduler.renewal_failed(&worker(2), harness.now);
    harness.settle();
    assert_eq!(harness.stops, std::slice::from_ref(&start));
    harness
        .scheduler
        .stop_replied(&worker(0), start.task, 1, OrderReply::Done, harness.now);
    // The stop takes some time, in which the run is still reported.
    harness.report_part(0, std::slice::from_ref(&start), 30);
    harness.settle();
    assert!(harness.starts.is_empty(), "{:?}", harness.starts);
    harness.end(&start, TaskEnd::Stopped);
    harness.wait(7_000);
    harness.report(0, RenewalReport::default());
    harness.settle();
    let third = harness.starts.remove(0);
    assert_eq!((third.worker, third.run), (worker(0), 3));
}

/// Guards against a run that is placed beside a superseded one which the records of the previous owner
/// do not name.
#[test]
fn a_superseded_run_takes_its_place_under_the_next_owner() {
    let mut harness = SchedulerHarness::open(3);
    let spec = spec(vec![spread_step(2)], harness.now);
    let start = strand_first_run(&mut harness);
    let mut next = harness.take_over(&[(JobId(1), spec)], 3);
    next.report_part(0, std::slice::from_ref(&start), 30);
    next.settle();
    next.wait(7_000);
    next.report_part(0, std::slice::from_ref(&start), 30);
    next.settle();
    let on_first = |order: &&RunOrder| order.worker == worker(0);
    assert_eq!(next.starts.iter().filter(on_first).count(), 0);
    assert_eq!(next.stops.iter().find(on_first), Some(&start));
}

/// Guards against a start that is carried out late, beside the run that replaced it: a start that was
/// not answered takes its place until a stop is acknowledged.
#[test]
fn an_unanswered_start_on_a_silent_worker_takes_its_place_until_it_is_stopped() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![spread_step(1)]);
    harness.settle();
    let start = harness.starts.remove(0);
    harness.reply(&start, StartReply::Unknown);
    fall_silent(&mut harness, 0);
    harness.wait(100);
    harness.report(0, RenewalReport::default());
    harness.settle();
    assert!(harness.starts.is_empty(), "the start may still take effect");
    assert_eq!(harness.stops, std::slice::from_ref(&start));
    harness
        .scheduler
        .stop_replied(&worker(0), start.task, 1, OrderReply::Done, harness.now);
    harness.settle();
    assert!(harness.starts.is_empty(), "no report was requested since");
    harness.report(0, RenewalReport::default());
    harness.settle();
    assert_eq!(harness.starts.remove(0).run, 2);
}

/// Guards against a worker that is filled beyond its capacity beside runs that are being stopped, where
/// the worker itself refuses nothing.
#[test]
fn a_superseded_run_counts_towards_the_capacity_of_its_worker() {
    let mut harness = SchedulerHarness::open(2);
    let wide = StepSpec {
        speculative: true,
        need: entry("mould").capacity,
        ..step(1)
    };
    harness.accept(1, vec![wide]);
    harness.settle();
    let start = harness.confirm().remove(0);
    let host = if start.worker == worker(0) { 0 } else { 1 };
    fall_silent(&mut harness, host);
    assert_eq!(harness.confirm().remove(0).run, 2);
    harness.accept(2, vec![step(1)]);
    harness.report_part(host, std::slice::from_ref(&start), 30);
    harness.settle();
    assert!(harness.starts.is_empty(), "{:?}", harness.starts);
    harness.end(&start, TaskEnd::Stopped);
    harness.settle();
    assert_eq!(harness.starts.remove(0).task, key(2, 0, 0));
}

/// Guards against a start order that reaches the next process under the id of its worker: that process
/// does not know of the stop that its predecessor acknowledged.
#[test]
fn an_unanswered_start_is_stopped_again_after_a_restart() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let start = harness.starts.remove(0);
    harness.reply(&start, StartReply::Unknown);
    harness.wait(10);
    let restarted = RenewalReport {
        incarnation: Some(2),
        ..RenewalReport::default()
    };
    harness.report(0, restarted.clone());
    harness.register(0, 2);
    harness.settle();
    assert!(harness.starts.is_empty(), "the start may still take effect");
    assert_eq!(harness.stops, std::slice::from_ref(&start));
    harness
        .scheduler
        .stop_replied(&worker(0), start.task, 1, OrderReply::Done, harness.now);
    harness.report(0, restarted);
    harness.settle();
    assert_eq!(harness.starts.remove(0).run, 2);
}

/// Guards against a run that belongs to no known job: its cost is unknown, so nothing is placed beside it.
#[test]
fn nothing_is_placed_beside_a_run_of_an_unknown_job() {
    let mut harness = SchedulerHarness::open(1);
    let unknown = RunOrder {
        worker: worker(0),
        task: key(9, 0, 0),
        run: 1,
    };
    harness.report_part(0, std::slice::from_ref(&unknown), 30);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    assert_eq!(harness.stops, std::slice::from_ref(&unknown));
    assert!(harness.starts.is_empty());
    harness.end(&unknown, TaskEnd::Stopped);
    harness.settle();
    assert_eq!(harness.starts.remove(0).task, key(1, 0, 0));
}

/// Guards against stop orders that are repeated with each report of a run.
#[test]
fn the_stop_of_a_superseded_run_is_repeated_after_a_delay_only() {
    let mut harness = SchedulerHarness::open(1);
    let unknown = RunOrder {
        worker: worker(0),
        task: key(9, 0, 0),
        run: 1,
    };
    for (wait, stops) in [(0, 1), (100, 1), (100, 1), (800, 2)] {
        harness.wait(wait);
        harness.report_part(0, std::slice::from_ref(&unknown), 30);
        harness.step();
        assert_eq!(
            harness.stops.len(),
            stops,
            "at {:?}",
            harness.now - ms(1_000_000)
        );
    }
}

/// Guards against a start order that is carried out after its worker's lease has expired and been renewed,
/// beside the run that replaced it: such an order lives longer than a lease.
#[test]
fn an_unanswered_start_is_stopped_before_the_lease_of_a_silent_worker_is_renewed() {
    let mut harness = SchedulerHarness::open(2);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let start = harness.starts.remove(0);
    harness.reply(&start, StartReply::Unknown);
    let host = if start.worker == worker(0) { 0 } else { 1 };
    fall_silent(&mut harness, host);
    harness.wait(7_000);
    harness.settle();
    let again = harness.confirm().remove(0);
    assert_ne!(again.worker, start.worker);
    harness.report(host, RenewalReport::default());
    harness.settle();
    assert_eq!(harness.stops, std::slice::from_ref(&start));
    let renewal = |harness: &mut SchedulerHarness| {
        let plan = harness.scheduler.plan_renewal(&start.worker, harness.now);
        plan.expect("the worker is known").lease_until
    };
    assert_eq!(
        renewal(&mut harness),
        None,
        "the start could still take effect"
    );
    harness
        .scheduler
        .stop_replied(&start.worker, start.task, 1, OrderReply::Done, harness.now);
    assert!(renewal(&mut harness).is_some());
}
