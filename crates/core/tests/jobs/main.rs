//! Decisions on jobs: what is stored before what, what a takeover proves, who runs where.

mod fleet;
mod placing;
mod world;

use jacinthhoist_core::{
    ClockTime,
    job::{
        AnyTask, BatchRecord, HoldReport, JobId, JobState, JobUrgency, OrderReply, StartReply,
        StepSpec, TaskEnd, WorkLoad, WorkerEntry, WorkerState, admit_job,
    },
};
use world::{World, entry, key, long_running_step, ms, step, worker};

#[test]
fn nothing_starts_before_its_run_is_stored() {
    let mut world = World::open(1);
    world.accept(1, vec![step(2)]);
    world.wait(20);
    world.step();
    assert!(world.starts.is_empty());
    assert_eq!(world.batches.len(), 1);
    world.store();
    assert_eq!(world.starts.len(), 2);
}

#[test]
fn an_end_is_stored_before_the_worker_forgets_it_or_a_caller_hears_of_it() {
    let mut world = World::open(1);
    world.accept(1, vec![step(1)]);
    world.settle();
    let starts = world.confirm();
    world.end(&starts[0], TaskEnd::Done);
    world.wait(20);
    world.step();
    assert_eq!(world.ack(0), 0);
    assert_eq!(world.scheduler.state(JobId(1)), Some(JobState::Running));
    world.store();
    assert_eq!(world.ack(0), 1);
    assert_eq!(world.scheduler.state(JobId(1)), Some(JobState::Completed));
}

#[test]
fn a_step_waits_for_all_tasks_of_those_before_it() {
    let mut world = World::open(1);
    let second = StepSpec {
        after: [0].into_iter().collect(),
        ..step(1)
    };
    world.accept(1, vec![step(2), second]);
    world.settle();
    let starts = world.confirm();
    assert!(starts.iter().all(|start| start.task.step == 0));
    world.end(&starts[0], TaskEnd::Done);
    world.settle();
    assert!(world.starts.is_empty());
    world.end(&starts[1], TaskEnd::Done);
    world.settle();
    assert_eq!(world.starts[0].task, key(1, 1, 0));
}

#[test]
fn ends_and_failures_by_table() {
    use TaskEnd::{Alone, Broken, Done, Failed, Lapsed, Stopped};
    // What ends the runs of a task, in order; then how its job stands.
    let table: [(&[TaskEnd], JobState); 6] = [
        (&[Done], JobState::Completed),
        (&[Failed, Done], JobState::Completed),
        (&[Failed, Failed], JobState::Failed),
        (&[Stopped, Lapsed, Done], JobState::Completed),
        (&[Failed, Stopped, Failed], JobState::Failed),
        (&[Broken, Alone, Lapsed], JobState::Running),
    ];
    for (ends, state) in table {
        let mut world = World::open(3);
        world.accept(1, vec![step(1)]);
        for end in ends {
            world.settle();
            let starts = world.confirm();
            assert_eq!(starts.len(), 1, "{ends:?}");
            world.end(&starts[0], *end);
        }
        world.settle();
        assert_eq!(world.scheduler.state(JobId(1)), Some(state), "{ends:?}");
    }
}

#[test]
fn a_task_that_serves_for_good_is_started_again_however_often_it_fails() {
    let mut world = World::open(3);
    world.accept(1, vec![long_running_step(1, 0)]);
    for run in 1..=6 {
        world.settle();
        // Suspended workers come back after a while.
        world.wait(5_000);
        world.report_all(&[], 3, 0);
        world.settle();
        let starts = world.confirm();
        assert_eq!(starts[0].run, run);
        world.end(&starts[0], TaskEnd::Failed);
    }
}

#[test]
fn a_start_without_an_answer_runs_nowhere_else_before_it_is_stopped() {
    let mut world = World::open(2);
    world.accept(1, vec![step(1)]);
    world.settle();
    let start = world.starts.remove(0);
    world.reply(&start, StartReply::Unknown);
    world.settle();
    assert!(world.starts.is_empty(), "it may still be carried out");
    world.report_all(&[], 2, 0);
    world.settle();
    assert_eq!(world.stops, std::slice::from_ref(&start));
    assert!(world.starts.is_empty(), "the stop may be under way");
    let (id, task, run) = (&start.worker, start.task, start.run);
    world
        .scheduler
        .stop_replied(id, task, run, OrderReply::Done, world.now);
    world.wait(1);
    world.report_all(&[], 2, 0);
    world.settle();
    assert_eq!(world.starts[0].run, 2);
}

/// Once, a worker that carries everything out late got the same task again and again.
#[test]
fn a_worker_that_leaves_starts_unanswered_is_avoided_then_suspended() {
    let mut world = World::open(2);
    world.accept(1, vec![step(1)]);
    world.settle();
    let first = world.starts.remove(0);
    let give_up = |world: &mut World, start: &world::Start| {
        world.reply(start, StartReply::Unknown);
        world.report_all(&[], 2, 0);
        let (id, task, run) = (&start.worker, start.task, start.run);
        world
            .scheduler
            .stop_replied(id, task, run, OrderReply::Done, world.now);
        world.wait(1);
        world.report_all(&[], 2, 0);
        world.settle();
    };
    give_up(&mut world, &first);
    let second = world.starts.remove(0);
    assert_ne!(second.worker, first.worker);
    let suspended = |world: &World, id| {
        let worker = world.scheduler.worker(id).unwrap();
        worker.is_suspended(world.now)
    };
    assert!(
        !suspended(&world, &first.worker),
        "one may be a lost packet"
    );
    give_up(&mut world, &second);
    let third = world.starts.remove(0);
    give_up(&mut world, &third);
    assert!(suspended(&world, &third.worker));
}

#[test]
fn a_start_without_an_answer_that_is_seen_at_work_goes_on() {
    let mut world = World::open(1);
    world.accept(1, vec![step(1)]);
    world.settle();
    let start = world.starts.remove(0);
    world.reply(&start, StartReply::Unknown);
    world.report(0, World::running(std::slice::from_ref(&start), 5));
    world.settle();
    assert!(world.stops.is_empty());
    assert!(matches!(world.task(start.task), AnyTask::Running(_)));
}

#[test]
fn refused_starts_by_table() {
    let table = [
        (StartReply::NoRoom, true),
        (StartReply::TooLate, true),
        (StartReply::Unhealthy, true),
        (StartReply::WrongLife, true),
        (StartReply::Invalid, true),
        (StartReply::Unknown, false),
        (StartReply::OldRun, false),
    ];
    for (reply, is_free) in table {
        let mut world = World::open(2);
        world.accept(1, vec![step(1)]);
        world.settle();
        let start = world.starts.remove(0);
        world.reply(&start, reply);
        let waits = matches!(world.task(start.task), AnyTask::Waiting(_));
        assert_eq!(waits, is_free, "{reply:?}");
    }
}

#[test]
fn a_takeover_adopts_what_runs_and_starts_anew_what_cannot_run() {
    let mut first = World::open(2);
    let spec = first.accept(1, vec![step(3)]);
    first.settle();
    let starts = first.confirm();
    let mut next = first.take_over(&[(JobId(1), spec)], 2);
    next.settle();
    assert!(
        next.starts.is_empty(),
        "no worker has seen the new token yet"
    );
    // The worker runs two of the three: the third can never start under the older token.
    let at: usize = starts[0].worker.as_str()[2..].parse().unwrap();
    next.report(at, World::running(&starts[..2], 10));
    next.settle();
    assert_eq!(next.starts.len(), 1);
    assert_eq!(next.starts[0].task, starts[2].task);
    assert_eq!(next.starts[0].run, 2);
}

/// A failure that an earlier owner had stored was once counted again by the next one, which the worker
/// told the same end: the job was shown as failed after one failure. Found by the emulator, seed 146.
#[test]
fn an_end_that_an_earlier_owner_has_stored_is_not_counted_again() {
    let mut first = World::open(1);
    let spec = first.accept(1, vec![step(1)]);
    first.settle();
    let start = first.confirm().remove(0);
    // With no worker to go on, the task waits after its failure.
    let draining = WorkerEntry {
        state: WorkerState::Draining,
        ..entry("mould")
    };
    first
        .scheduler
        .worker_listed(worker(0), draining, first.now);
    first.end(&start, TaskEnd::Failed);
    // The failure is stored; the worker has not been told that it may forget it.
    first.settle();
    let mut next = first.take_over(&[(JobId(1), spec)], 1);
    next.end(&start, TaskEnd::Failed);
    next.settle();
    assert_eq!(next.task(start.task).failures(), 1);
    assert_ne!(next.scheduler.state(JobId(1)), Some(JobState::Failed));
}

#[test]
fn work_on_a_silent_worker_waits_until_its_lease_has_lapsed() {
    let mut world = World::open(2);
    world.accept(1, vec![step(1)]);
    world.settle();
    let start = world.confirm().remove(0);
    let at: usize = start.worker.as_str()[2..].parse().unwrap();
    let plan = world
        .scheduler
        .plan_renewal(&start.worker, world.now)
        .unwrap();
    assert!(plan.lease_until.is_some());
    world.scheduler.renewal_failed(&start.worker, world.now);
    let lapse = world
        .scheduler
        .worker(&start.worker)
        .unwrap()
        .lease
        .lapsed_by();
    assert!(lapse >= world.now + ms(6_000 - 2));
    let silent = world
        .scheduler
        .plan_renewal(&start.worker, world.now)
        .unwrap();
    assert_eq!(silent.lease_until, None, "a probe does not renew");
    world.now = lapse;
    world.report(1 - at, HoldReport::default());
    world.now = lapse;
    world.step();
    assert!(!matches!(world.task(start.task), AnyTask::Waiting(_)));
    world.wait(1);
    world.settle();
    assert_eq!(world.starts[0].run, 2);
    assert_eq!(world.starts[0].worker, worker(1 - at));
}

/// Each takeover once counted a dark worker's lease anew, so a task waited for their sum.
#[test]
fn later_owners_go_by_the_stored_time_of_lapse() {
    let mut owner = World::open(2);
    let spec = owner.accept(1, vec![long_running_step(1, 0)]);
    owner.settle();
    let start = owner.confirm().remove(0);
    owner.report_all(std::slice::from_ref(&start), 2, 100);
    owner.scheduler.renewal_failed(&start.worker, owner.now);
    owner.settle();
    let lapse = owner.lease_expiries[&start.worker];
    let mut next = owner;
    for _ in 0..4 {
        next.wait(2_000);
        next = next.take_over(&[(JobId(1), spec.clone())], 2);
    }
    let at: usize = start.worker.as_str()[2..].parse().unwrap();
    // The margin for clocks that differ, and no takeover's own span.
    next.now = next.now.max(lapse + ms(2_600));
    next.report(1 - at, HoldReport::default());
    next.settle();
    assert_eq!(next.starts.len(), 1);
}

#[test]
fn a_worker_that_answers_again_is_renewed_once_its_stored_lapse_is_gone() {
    let mut world = World::open(1);
    world.accept(1, vec![long_running_step(1, 0)]);
    world.settle();
    let start = world.confirm().remove(0);
    world.scheduler.renewal_failed(&start.worker, world.now);
    world.settle();
    assert!(world.lease_expiries.contains_key(&start.worker));
    world.report(0, World::running(std::slice::from_ref(&start), 100));
    let lease = |world: &mut World| {
        let plan = world.scheduler.plan_renewal(&start.worker, world.now);
        plan.unwrap().lease_until
    };
    assert_eq!(lease(&mut world), None);
    world.settle();
    assert!(world.lease_expiries.is_empty());
    assert!(lease(&mut world).is_some());
}

#[test]
fn a_worker_that_started_anew_lost_its_work_at_once() {
    let mut world = World::open(1);
    world.accept(1, vec![step(2)]);
    world.settle();
    let starts = world.confirm();
    let reborn = HoldReport {
        incarnation: Some(2),
        ..World::running(&starts[..1], 0)
    };
    world.report(0, reborn);
    world.settle();
    // One had reached the new life before its report; the other is started again.
    assert_eq!(world.starts.len(), 1);
    assert_eq!(world.starts[0].task, starts[1].task);
}

#[test]
fn a_draining_or_unlisted_worker_gets_nothing_new() {
    for drains in [true, false] {
        let mut world = World::open(1);
        if drains {
            let mut leaving = entry("mould");
            leaving.state = WorkerState::Draining;
            world.scheduler.worker_listed(worker(0), leaving, world.now);
        } else {
            world.scheduler.worker_unlisted(&worker(0), world.now);
        }
        world.accept(1, vec![step(1)]);
        world.settle();
        assert!(world.starts.is_empty());
    }
}

#[test]
fn a_cancelled_job_starts_nothing_also_when_the_word_comes_first() {
    let mut world = World::open(1);
    world.scheduler.cancel(JobId(1));
    world.accept(1, vec![step(1)]);
    world.accept(2, vec![step(1)]);
    world.wait(20);
    world.step();
    world.scheduler.cancel(JobId(2));
    world.settle();
    assert!(world.starts.is_empty());
    assert_eq!(world.scheduler.state(JobId(1)), Some(JobState::Cancelled));
}

/// Two removals in flight once reached the store out of order, which it took for a fault.
/// Cancellations of jobs that never come are forgotten, long after a write that is late.
#[test]
fn a_cancellation_without_its_job_is_forgotten_after_a_while() {
    let mut world = World::open(1);
    world.scheduler.cancel(JobId(9));
    for _ in 0..10 {
        world.wait(1_000);
        world.settle();
        assert!(world.forgets.is_empty());
    }
    world.wait(30_000);
    world.settle();
    assert_eq!(world.forgets, [vec![JobId(9)]]);
    // A job that comes all the same, under the id, is another one.
    world.accept(9, vec![step(1)]);
    world.settle();
    assert_eq!(world.starts.len(), 1);
}

#[test]
fn bodies_of_ended_jobs_are_removed_one_call_at_a_time() {
    let mut world = World::open(1);
    for id in 1..=3 {
        world.scheduler.cancel(JobId(id));
        world.accept(id, vec![step(1)]);
        world.settle();
    }
    assert_eq!(world.forgets, [vec![JobId(1)]]);
    world.scheduler.bodies_removed(&[JobId(1)]);
    world.settle();
    assert_eq!(world.forgets[1], [JobId(2), JobId(3)]);
}

#[test]
fn an_ended_job_is_known_for_its_time_and_dropped_only_after_its_body() {
    let mut world = World::open(1);
    world.scheduler.cancel(JobId(1));
    world.accept(1, vec![step(1)]);
    world.settle();
    world.wait(200_000);
    world.settle();
    assert!(
        world.scheduler.state(JobId(1)).is_some(),
        "its body is still stored"
    );
    world.scheduler.bodies_removed(&[JobId(1)]);
    world.wait(20);
    world.step();
    let dropped = world.batches.iter().flat_map(|batch| &batch.records);
    let dropped: Vec<&BatchRecord> = dropped.collect();
    assert_eq!(dropped, [&BatchRecord::Remove(JobId(1))]);
    assert_eq!(world.scheduler.state(JobId(1)), None);
}

#[test]
fn a_worker_that_fails_what_others_do_is_left_alone() {
    let mut world = World::open(2);
    for id in 1..=4 {
        world.accept(id, vec![step(1)]);
    }
    world.settle();
    let starts = world.confirm();
    let bad = starts[0].worker.clone();
    let at: usize = bad.as_str()[2..].parse().unwrap();
    for start in starts.iter().filter(|start| start.worker == bad).take(2) {
        world.end(start, TaskEnd::Failed);
    }
    assert!(
        world
            .scheduler
            .worker(&bad)
            .unwrap()
            .is_suspended(world.now)
    );
    world.settle();
    let again: Vec<_> = world.confirm();
    assert!(again.iter().all(|start| start.worker == worker(1 - at)));
}

#[test]
fn a_job_that_fails_everywhere_is_not_held_against_the_workers() {
    let mut world = World::open(3);
    world.accept(1, vec![step(1)]);
    for _ in 0..2 {
        world.settle();
        let start = world.confirm().remove(0);
        world.end(&start, TaskEnd::Failed);
    }
    let suspended = world
        .scheduler
        .workers()
        .filter(|worker| worker.is_suspended(world.now));
    assert_eq!(suspended.count(), 0);
}

#[test]
fn a_run_that_stands_still_is_stopped_and_its_worker_suspended() {
    let mut world = World::open(2);
    world.accept(1, vec![step(1)]);
    world.settle();
    let start = world.confirm().remove(0);
    for _ in 0..5 {
        world.wait(800);
        world.report_all(std::slice::from_ref(&start), 2, 30);
        world.step();
    }
    assert_eq!(world.stops.first(), Some(&start));
    assert!(
        world
            .scheduler
            .worker(&start.worker)
            .unwrap()
            .is_suspended(world.now)
    );
}

#[test]
fn capacity_is_never_exceeded_and_a_small_task_fills_the_rest() {
    let mut world = World::open(1);
    let large = StepSpec {
        need: jacinthhoist_core::job::Resources {
            cpu: 20_000,
            ..step(1).need
        },
        ..step(3)
    };
    world.accept(1, vec![large]);
    world.accept(2, vec![step(20)]);
    world.settle();
    let used = world.scheduler.worker(&worker(0)).unwrap().used;
    assert_eq!(used.cpu, 32_000);
    assert_eq!(world.starts.len(), 1 + 12);
}

#[test]
fn tasks_that_fill_stay_off_workers_that_serve() {
    let mut world = World::open(2);
    let serves = StepSpec {
        target: ms(50),
        ..long_running_step(1, 0)
    };
    let fills = StepSpec {
        fills: true,
        ..step(4)
    };
    world.accept(1, vec![serves]);
    world.accept(2, vec![fills]);
    world.settle();
    let serving = &world
        .starts
        .iter()
        .find(|start| start.task.job == JobId(1))
        .unwrap()
        .worker;
    let filling = world
        .starts
        .iter()
        .filter(|start| start.task.job == JobId(2));
    assert!(filling.clone().all(|start| start.worker != *serving));
    assert_eq!(filling.count(), 4);
}

/// The pattern: a pool asked for more than it holds. Who can still be in time goes first.
#[test]
fn in_a_full_pool_the_tightest_that_can_still_be_met_goes_first() {
    let now = ms(10_000);
    let judge = |deadline: u64| JobUrgency::for_deadline(0, ms(deadline), ms(1_000), now);
    let mut order = [judge(10_500), judge(14_000), judge(11_200)];
    order.sort_unstable();
    assert_eq!(order, [judge(11_200), judge(14_000), judge(10_500)]);
    assert!(
        JobUrgency::long_running(1, now) < judge(11_200),
        "what serves for good goes first"
    );
}

/// The pattern: a flood beyond what can be served. What cannot be served is told so at once.
#[test]
fn refusals_follow_the_backlog() {
    let load = |drain: u64| WorkLoad {
        drain: ms(drain),
        waiting: 0,
        task: ms(800),
    };
    let table: [(u64, u64, Option<u64>); 4] = [
        (0, 2_000, None),
        (6_000, 2_000, None),
        (6_001, 2_000, Some(4_001)),
        (20_000, 2_000, Some(18_000)),
    ];
    for (drain, objective, retry) in table {
        let verdict = admit_job(&load(drain), ms(objective));
        let found = verdict.err().map(|refusal| refusal.retry_after.as_millis());
        assert_eq!(found, retry, "{drain}");
    }
    assert!(admit_job(&load(0), ClockTime::ZERO).is_ok());
}
