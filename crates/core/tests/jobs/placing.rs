//! Placement of gangs and of steps whose workers need a permit of a policy service.

use std::sync::Arc;

use jacinthhoist_core::{
    WorkerId,
    job::{Effect, JobId, JobState, Resources, StartReply, StepAdvice, StepSpec, TaskEnd},
};

use super::world::{Start, World, ms, spec, step, worker};

fn gang(count: u16, cpu: u64) -> StepSpec {
    StepSpec {
        gang: true,
        need: Resources {
            cpu,
            mem_mb: 100,
            gpu: 0,
        },
        ..step(count)
    }
}

/// Ends the runs that have been ordered to stop.
fn end_stopped_runs(world: &mut World) {
    for stop in std::mem::take(&mut world.stops) {
        world.end(&stop, TaskEnd::Stopped);
    }
}

#[test]
fn a_gang_starts_as_a_whole_or_not_at_all() {
    // Two workers of 32 cores.
    let table = [
        (4, 16_000, 4),
        (5, 16_000, 0),
        (2, 32_000, 2),
        (1, 33_000, 0),
    ];
    for (count, cpu, expected) in table {
        let mut world = World::open(2);
        world.accept(1, vec![gang(count, cpu)]);
        world.settle();
        assert_eq!(world.starts.len(), expected, "{count} tasks with {cpu} cpu");
        assert!(world.starts.iter().all(|start| start.run == 1));
        let used: u64 = world
            .scheduler
            .workers()
            .map(|worker| worker.used.cpu)
            .sum();
        assert_eq!(
            used,
            expected as u64 * cpu,
            "no capacity is reserved for a waiting gang"
        );
    }
}

#[test]
fn a_gang_that_loses_a_member_restarts_under_one_run_number() {
    let mut world = World::open(2);
    world.accept(1, vec![gang(3, 8_000)]);
    world.settle();
    let starts = std::mem::take(&mut world.starts);
    world.reply(&starts[0], StartReply::NoRoom);
    for start in &starts[1..] {
        world.reply(start, StartReply::Started);
    }
    world.settle();
    assert_eq!(
        world.stops.len(),
        2,
        "the other members are stopped at once"
    );
    assert!(world.starts.is_empty());
    end_stopped_runs(&mut world);
    world.settle();
    let runs: Vec<u32> = world.starts.iter().map(|start| start.run).collect();
    assert_eq!(runs, [2, 2, 2]);
}

#[test]
fn one_completed_member_completes_the_gang() {
    let mut world = World::open(2);
    world.accept(1, vec![gang(3, 8_000)]);
    world.settle();
    let starts = world.confirm();
    world.end(&starts[1], TaskEnd::Done);
    world.settle();
    assert_eq!(world.scheduler.state(JobId(1)), Some(JobState::Completed));
}

#[test]
fn a_gang_counts_one_failure_per_run() {
    let mut world = World::open(4);
    world.accept(1, vec![gang(2, 8_000)]);
    for round in 1..=2 {
        world.settle();
        let starts = world.confirm();
        assert_eq!(starts.len(), 2, "round {round}");
        for start in &starts {
            world.end(start, TaskEnd::Failed);
        }
        world.settle();
        let failed = world.scheduler.state(JobId(1)) == Some(JobState::Failed);
        assert_eq!(failed, round == 2, "the second failed run fails the job");
        world.wait(6_000);
        world.report_all(&[], 4, 0);
    }
}

/// Accepts a job whose workers need a permit of the policy service.
fn accept_advised(world: &mut World, id: u64, count: u16) {
    let mut advised = Arc::unwrap_or_clone(spec(vec![step(count)], world.now));
    advised.work = "archive".into();
    advised.terms.advised = true;
    world.scheduler.accept(JobId(id), Arc::new(advised));
}

/// Drains the effects and returns the workers of the last query to the policy service.
fn queried_workers(world: &mut World) -> Vec<WorkerId> {
    let mut queries = world.orders.drain(..).filter_map(|order| match order {
        Effect::Advise { workers, .. } => Some(workers),
        _ => None,
    });
    queries.next_back().unwrap_or_default()
}

/// Answer of the policy service that permits one worker.
fn permit(number: usize) -> StepAdvice {
    StepAdvice {
        permitted: vec![(worker(number), "permit".into())],
        valid_for: ms(3_000),
    }
}

#[test]
fn tasks_need_a_permit_and_denied_workers_are_queried_once() {
    let mut world = World::open(3);
    accept_advised(&mut world, 1, 2);
    world.settle();
    assert!(world.starts.is_empty());
    assert_eq!(queried_workers(&mut world).len(), 3);
    world.scheduler.advice_received(Some(permit(1)), world.now);
    world.settle();
    let workers: Vec<&WorkerId> = world.starts.iter().map(|start| &start.worker).collect();
    assert_eq!(workers, [&worker(1), &worker(1)]);
    assert!(queried_workers(&mut world).is_empty());
}

#[test]
fn an_expired_or_rejected_permit_is_requested_again() {
    for rejected in [false, true] {
        let mut world = World::open(1);
        accept_advised(&mut world, 1, 1);
        world.settle();
        assert_eq!(queried_workers(&mut world), [worker(0)]);
        world.scheduler.advice_received(Some(permit(0)), world.now);
        world.settle();
        let start: Start = world.starts.remove(0);
        if rejected {
            world.reply(&start, StartReply::NoPermit);
        } else {
            world.reply(&start, StartReply::Started);
            world.wait(3_000);
            world.end(&start, TaskEnd::Lapsed);
        }
        world.settle();
        assert!(world.starts.is_empty());
        assert_eq!(queried_workers(&mut world), [worker(0)]);
    }
}

#[test]
fn an_unanswered_query_is_repeated_after_a_delay() {
    let mut world = World::open(1);
    accept_advised(&mut world, 1, 1);
    world.settle();
    assert_eq!(queried_workers(&mut world).len(), 1);
    world.settle();
    assert!(
        queried_workers(&mut world).is_empty(),
        "one query at a time"
    );
    world.scheduler.advice_received(None, world.now);
    world.step();
    assert!(queried_workers(&mut world).is_empty());
    world.wait(250);
    world.settle();
    assert_eq!(queried_workers(&mut world).len(), 1);
}
