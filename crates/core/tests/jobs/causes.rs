//! Crashes of workers that tasks did not cause.

use std::ops::Range;

use jacinthhoist_core::job::{AnyTask, JobId, JobState, StartReply, StepSpec};

use crate::{
    availability::start_service,
    crashes::{answer_at, crash, outlive_starts, replace, speculative_step},
    harness::{RunOrder, SchedulerHarness, long_running_step, number_of, step, worker},
};

/// Guards against a long-running job that is given up since its workers crash again and again, each
/// time under a run that had outlived its start.
#[test]
fn a_long_running_task_is_not_given_up_for_crashes_after_its_starts() {
    let mut harness = SchedulerHarness::open(8);
    harness.accept(1, vec![long_running_step(1, 0)]);
    for next in 8..16 {
        harness.settle();
        let starts = harness.confirm();
        assert_eq!(starts.len(), 1, "after {} crashes", next - 8);
        let number = number_of(&starts[0].worker);
        outlive_starts(&mut harness, number, &starts);
        replace(&mut harness, number, next);
    }
    assert_ne!(harness.scheduler.state(JobId(1)), Some(JobState::Failed));
}

/// Starts a service of three tasks, one of which may be missing, and brings them to work; returns the
/// starts.
fn start_available_service(harness: &mut SchedulerHarness) -> Vec<RunOrder> {
    let starts = start_service(harness);
    harness.wait(400);
    harness.report_all(&starts, 8, 100);
    harness.settle();
    starts
}

/// Crashes the worker of the first task of a service `crashes` times, and after that the worker of each
/// next run of it that starts; returns the number of its starts. The runs outlive their start if
/// `outlives` is true.
fn crash_first_task(
    harness: &mut SchedulerHarness,
    starts: &[RunOrder],
    crashes: usize,
    outlives: bool,
) -> usize {
    let mut run = starts[0].clone();
    for crash in 0..crashes {
        replace(harness, number_of(&run.worker), 8 + crash);
        for other in &starts[1..] {
            harness.report_part(number_of(&other.worker), starts, 100);
        }
        harness.settle();
        let Some(next) = harness.confirm().pop() else {
            return crash;
        };
        assert_eq!(next.task, run.task);
        run = next;
        if outlives {
            outlive_starts(harness, number_of(&run.worker), std::slice::from_ref(&run));
        }
    }
    crashes
}

/// Guards against sound runs of a service that are stopped while another task is away, since its worker
/// has crashed again and again under runs that had outlived their start.
#[test]
fn sound_runs_are_not_stopped_for_crashes_under_another_task() {
    let mut harness = SchedulerHarness::open(8);
    let starts = start_available_service(&mut harness);
    assert_eq!(crash_first_task(&mut harness, &starts, 6, true), 6);
    assert_eq!(harness.stops, []);
    assert_eq!(harness.scheduler.state(JobId(1)), Some(JobState::Running));
}

/// Guards against sound runs of a service that are stopped, more at once than it may miss, with a task
/// that is given up, as it has crashed its workers at its starts.
#[test]
fn sound_runs_go_on_when_a_task_of_their_step_is_given_up() {
    let mut harness = SchedulerHarness::open(8);
    let starts = start_available_service(&mut harness);
    let restarts = crash_first_task(&mut harness, &starts, 8, false);
    assert!((2..=5).contains(&restarts), "{restarts} restarts");
    assert!(matches!(
        harness.task(starts[0].task),
        AnyTask::Exhausted { .. }
    ));
    assert_eq!(harness.stops, []);
    assert_eq!(harness.scheduler.state(JobId(1)), Some(JobState::Running));
}

/// Guards against a task that a new owner starts again after the earlier one has given it up.
#[test]
fn a_task_of_a_service_that_was_given_up_is_not_started_by_the_next_owner() {
    let mut harness = SchedulerHarness::open(8);
    let starts = start_available_service(&mut harness);
    crash_first_task(&mut harness, &starts, 8, false);
    let spec = harness.scheduler.job(JobId(1)).expect("the job is open");
    let spec = spec.spec.clone();
    let mut next = harness.take_over(&[(JobId(1), spec)], 16);
    next.report_all(&starts[1..], 16, 100);
    next.settle();
    assert_eq!((next.starts, next.stops), (vec![], vec![]));
}

/// Ends the workers with these numbers at the same time; those that follow answer some seconds later.
fn replace_all(harness: &mut SchedulerHarness, numbers: Range<usize>) {
    for number in numbers.clone() {
        let id = worker(number);
        harness.scheduler.renewal_failed(&id, harness.now);
        harness.wait(5);
    }
    harness.settle();
    harness.wait(3_000);
    for number in numbers.clone() {
        answer_at(harness, number, number + numbers.len());
    }
}

/// Guards against jobs that are given up since all workers of a rack end at once, again and again: one
/// of them was empty, so no task can be the cause.
#[test]
fn crashes_together_with_an_empty_worker_are_not_held_against_tasks() {
    let mut harness = SchedulerHarness::open(4);
    harness.accept(1, vec![step(1)]);
    harness.accept(2, vec![step(1)]);
    for round in 0..3 {
        harness.settle();
        let starts = harness.confirm();
        assert_eq!(starts.len(), 2, "round {round}");
        replace_all(&mut harness, round * 4..round * 4 + 4);
    }
    assert_ne!(harness.scheduler.state(JobId(1)), Some(JobState::Failed));
}

/// Guards against tasks that wait until it is known whether their workers have ended although other
/// workers fell silent with them.
#[test]
fn a_task_is_not_held_for_silences_together_with_an_empty_worker() {
    let mut harness = SchedulerHarness::open(8);
    harness.accept(1, vec![speculative_step(1)]);
    for (losses, empty) in [(0, 6), (1, 7)] {
        harness.settle();
        let starts = harness.confirm();
        assert_eq!(starts.len(), 1, "after {losses} losses");
        let failing = &starts[0].worker;
        harness.scheduler.renewal_failed(failing, harness.now);
        harness.wait(20);
        crash(&mut harness, empty);
    }
    harness.settle();
    assert_eq!(harness.starts.len(), 1);
}

/// Step of one task that takes more than half of a worker.
fn wide_step() -> StepSpec {
    let mut wide = step(1);
    wide.need.cpu = 20_000;
    wide
}

/// Guards against tasks that crash their workers and excuse each other: two ends at once, each at the
/// start of a task, have two causes.
#[test]
fn two_tasks_that_crash_their_workers_at_once_are_given_up() {
    let mut harness = SchedulerHarness::open(8);
    for job in 1..=2 {
        harness.accept(job, vec![wide_step()]);
    }
    let mut next = 8;
    for round in 0..2 {
        harness.settle();
        let starts = harness.confirm();
        assert_eq!(starts.len(), 2, "round {round}");
        for start in &starts {
            let silent = &start.worker;
            harness.scheduler.renewal_failed(silent, harness.now);
        }
        harness.settle();
        harness.wait(3_000);
        for start in &starts {
            answer_at(&mut harness, number_of(&start.worker), next);
            next += 1;
        }
    }
    harness.settle();
    for job in [JobId(1), JobId(2)] {
        assert_eq!(harness.scheduler.state(job), Some(JobState::Failed));
    }
}

/// Guards against a task that is started without a limit, as another worker ends by chance each time
/// that it crashes one.
#[test]
fn a_task_is_given_up_after_four_crashes_at_its_starts_whatever_else_ends() {
    let mut harness = SchedulerHarness::open(4);
    harness.accept(1, vec![step(1)]);
    for round in 0..4 {
        harness.settle();
        let starts = harness.confirm();
        assert_eq!(starts.len(), 1, "round {round}");
        replace_all(&mut harness, round * 4..round * 4 + 4);
    }
    assert_eq!(harness.scheduler.state(JobId(1)), Some(JobState::Failed));
}

/// Guards against suspects that wait for their trials, a few at a time, while workers are empty.
#[test]
fn suspects_are_tried_on_all_empty_workers_at_once() {
    let mut harness = SchedulerHarness::open(4);
    for job in 1..=3 {
        harness.accept(job, vec![wide_step()]);
    }
    harness.settle();
    let starts = harness.confirm();
    assert_eq!(starts.len(), 3);
    for start in &starts {
        let silent = &start.worker;
        harness.scheduler.renewal_failed(silent, harness.now);
    }
    harness.wait(3_000);
    for (start, next) in starts.iter().zip(4..) {
        answer_at(&mut harness, number_of(&start.worker), next);
    }
    harness.settle();
    assert_eq!(harness.starts.len(), 3);
}

/// Guards against a late crash that is never counted: no report had preceded it, so it was taken for one at
/// the start, which another late crash at that moment excused.
#[test]
fn an_excused_start_counts_once_the_task_has_outlived_one() {
    let mut harness = SchedulerHarness::open(4);
    harness.accept(1, vec![wide_step()]);
    harness.settle();
    let other = harness.confirm();
    outlive_starts(&mut harness, number_of(&other[0].worker), &other);
    harness.accept(2, vec![wide_step()]);
    harness.settle();
    let start = harness.confirm().remove(0);
    harness
        .scheduler
        .renewal_failed(&other[0].worker, harness.now);
    replace(&mut harness, number_of(&start.worker), 4);
    for (crashes, next) in (1..).zip(5..8) {
        harness.settle();
        let mut starts = harness.confirm();
        starts.retain(|start| start.task.job == JobId(2));
        assert_eq!(starts.len(), 1, "after {crashes} crashes");
        let number = number_of(&starts[0].worker);
        outlive_starts(&mut harness, number, &starts);
        replace(&mut harness, number, next);
    }
    harness.settle();
    assert_eq!(harness.scheduler.state(JobId(2)), Some(JobState::Failed));
}

/// Guards against an innocent job that is given up while workers end for other reasons: its last trial
/// waits until they have not done so for a while.
#[test]
fn the_last_trial_of_a_task_waits_until_the_workers_of_its_pool_have_stopped_ending() {
    let mut harness = SchedulerHarness::open(8);
    harness.accept(1, vec![step(1)]);
    for next in 8..11 {
        harness.settle();
        let starts = harness.confirm();
        assert_eq!(starts.len(), 1);
        let number = number_of(&starts[0].worker);
        outlive_starts(&mut harness, number, &starts);
        crash(&mut harness, number);
        harness.wait(3_000);
        if next == 10 {
            crash(&mut harness, 7);
        }
        answer_at(&mut harness, number, next);
    }
    harness.wait(2_500);
    harness.settle();
    assert_eq!(harness.starts, [], "an idle worker has just ended");
    harness.wait(500);
    harness.settle();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against an innocent job that is given up since two workers crash at its lone starts, among
/// others that end for other reasons.
#[test]
fn crashes_at_lone_starts_are_not_attributed_while_workers_end_for_other_reasons() {
    let mut harness = SchedulerHarness::open(8);
    harness.accept(1, vec![step(1)]);
    for (round, idle) in [(0, 6), (1, 7)] {
        harness.settle();
        let starts = harness.confirm();
        assert_eq!(starts.len(), 1, "round {round}");
        crash(&mut harness, idle);
        harness.wait(700);
        replace(&mut harness, number_of(&starts[0].worker), 8 + round);
    }
    harness.settle();
    assert_ne!(harness.scheduler.state(JobId(1)), Some(JobState::Failed));
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against an innocent job that is given up for the first end of each series: the others are noticed
/// after it.
#[test]
fn the_first_crash_of_a_series_is_not_attributed_to_a_lone_start() {
    let mut harness = SchedulerHarness::open(8);
    harness.accept(1, vec![step(1)]);
    for (round, others) in [(0, [4, 5]), (1, [6, 7])] {
        harness.settle();
        let starts = harness.confirm();
        assert_eq!(starts.len(), 1, "round {round}");
        let number = number_of(&starts[0].worker);
        crash(&mut harness, number);
        for other in others {
            harness.wait(550);
            crash(&mut harness, other);
        }
        harness.wait(8_000);
        answer_at(&mut harness, number, 8 + round);
    }
    harness.settle();
    assert_ne!(harness.scheduler.state(JobId(1)), Some(JobState::Failed));
    assert_eq!(harness.starts.len(), 1);
}

/// Replies to start orders that were not carried out.
const REFUSALS: [StartReply; 10] = [
    StartReply::Unhealthy,
    StartReply::OtherProcess,
    StartReply::NoAnswer,
    StartReply::Fenced,
    StartReply::TooLate,
    StartReply::Expired,
    StartReply::Invalid,
    StartReply::NoRoom,
    StartReply::WrongLife,
    StartReply::NoPermit,
];

/// Loses the worker of the only start order that waits for its reply, which arrives after the worker has
/// fallen silent, or after the next one has answered if `is_late` is true.
fn refuse_lost_start(
    harness: &mut SchedulerHarness,
    next: usize,
    reply: StartReply,
    is_late: bool,
) {
    harness.settle();
    let starts = std::mem::take(&mut harness.starts);
    assert_eq!(starts.len(), 1, "after {} refusals", next - 8);
    let number = number_of(&starts[0].worker);
    crash(harness, number);
    if is_late {
        harness.wait(3_000);
        answer_at(harness, number, next);
        harness.reply(&starts[0], reply);
    } else {
        harness.reply(&starts[0], reply);
        harness.wait(3_000);
        answer_at(harness, number, next);
    }
}

/// Guards against an innocent job that is given up for losses at starts that its workers refused: the
/// refusals arrived after the workers had fallen silent, and the losses stayed.
#[test]
fn a_start_that_is_refused_is_not_held_against_its_task() {
    let cases = REFUSALS.map(|reply| [(reply, false), (reply, true)]);
    for (reply, is_late) in cases.into_iter().flatten() {
        let mut harness = SchedulerHarness::open(8);
        harness.accept(1, vec![step(1)]);
        for next in 8..14 {
            refuse_lost_start(&mut harness, next, reply, is_late);
        }
        harness.settle();
        let state = harness.scheduler.state(JobId(1));
        assert_ne!(state, Some(JobState::Failed), "{reply:?}, late: {is_late}");
        assert_eq!(harness.starts.len(), 1, "{reply:?}, late: {is_late}");
        let stored = &harness.stored[&JobId(1)];
        assert!(stored.crashes.is_empty(), "{reply:?}, late: {is_late}");
    }
}

/// A refusal takes back the loss of its own run only.
#[test]
fn a_refused_start_leaves_the_earlier_losses_of_its_task() {
    let mut harness = SchedulerHarness::open(8);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let lost = harness.confirm().remove(0);
    replace(&mut harness, number_of(&lost.worker), 8);
    refuse_lost_start(&mut harness, 9, StartReply::Unhealthy, false);
    harness.settle();
    let history = &harness.stored[&JobId(1)].crashes[&lost.task];
    assert_eq!(history.crashes(), 1);
}
