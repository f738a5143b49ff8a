//! Runs without progress: long tasks, whose percents change rarely, and hung ones.

use jacinthhoist_core::job::StepSpec;

use super::harness::{RunOrder, SchedulerHarness, ms, step};

/// One worker that runs a task with the given estimate, in seconds.
fn with_task(estimate: u64) -> (SchedulerHarness, Vec<RunOrder>) {
    let mut harness = SchedulerHarness::open(1);
    let estimated = StepSpec {
        estimate: ms(estimate * 1_000),
        ..step(1)
    };
    harness.accept(1, vec![estimated]);
    harness.settle();
    let starts = harness.confirm();
    assert_eq!(starts.len(), 1);
    (harness, starts)
}

/// Reports the run twice a second, with the percent after each half second; returns the time in
/// milliseconds after which it was ordered to stop.
fn stopped_after(
    harness: &mut SchedulerHarness,
    starts: &[RunOrder],
    halves: u64,
    percent: impl Fn(u64) -> u8,
) -> Option<u64> {
    (1..=halves).find_map(|half| {
        harness.wait(500);
        harness.report(0, SchedulerHarness::running(starts, percent(half)));
        harness.step();
        (!harness.stops.is_empty()).then_some(half * 500)
    })
}

/// Regression test: a run of 400 s was stopped as hung every 3 s, as its whole percent changes every 4 s. It
/// was never done.
#[test]
fn a_long_run_is_not_stopped_between_two_percents() {
    let (mut harness, starts) = with_task(400);
    let stopped = stopped_after(&mut harness, &starts, 100, |half| (half / 8) as u8);
    assert_eq!(stopped, None);
}

/// Regression test: the same with an estimate that is four times too low.
#[test]
fn a_long_run_with_a_low_estimate_is_not_stopped() {
    let (mut harness, starts) = with_task(100);
    let stopped = stopped_after(&mut harness, &starts, 100, |half| (half / 8) as u8);
    assert_eq!(stopped, None);
}

/// Regression test: the same without an estimate, once the run itself has shown how long a percent takes.
/// It resumes at the progress of its checkpoint.
#[test]
fn a_run_that_slows_down_is_measured_by_its_own_percents() {
    let (mut harness, starts) = with_task(0);
    // A percent takes 1 s, then 2 s, then 4 s.
    let percent = |half| match half {
        0..=10 => 40 + half / 2,
        11..=30 => 45 + (half - 10) / 4,
        _ => 50 + (half - 30) / 8,
    };
    let stopped = stopped_after(&mut harness, &starts, 90, |half| percent(half) as u8);
    assert_eq!(stopped, None);
}

/// Guards against hung runs that go on: those of short tasks are stopped after the same time as ever,
/// with or without progress before, and those of long ones after a few percents.
#[test]
fn hung_runs_are_stopped() {
    for estimate in [0, 1, 60] {
        let (mut harness, starts) = with_task(estimate);
        let stopped = stopped_after(&mut harness, &starts, 20, |_| 0);
        assert_eq!(stopped, Some(2_500), "estimate: {estimate} s");
        let (mut harness, starts) = with_task(estimate);
        let stopped = stopped_after(&mut harness, &starts, 20, |half| (20 * half).min(60) as u8);
        assert_eq!(stopped, Some(4_000), "estimate: {estimate} s");
    }
    let (mut harness, starts) = with_task(400);
    let stopped = stopped_after(&mut harness, &starts, 100, |_| 0);
    assert_eq!(stopped, Some(16_000));
}
