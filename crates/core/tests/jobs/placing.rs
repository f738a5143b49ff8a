//! Gangs, and steps on which a policy service has the last word.

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

/// Stops are acknowledged and listed as ended by the workers.
fn end_stopped(world: &mut World) {
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
    for (count, cpu, started) in table {
        let mut world = World::open(2);
        world.accept(1, vec![gang(count, cpu)]);
        world.settle();
        assert_eq!(world.starts.len(), started, "{count} of {cpu}");
        assert!(world.starts.iter().all(|start| start.run == 1));
        let used: u64 = world
            .scheduler
            .workers()
            .map(|worker| worker.used.cpu)
            .sum();
        assert_eq!(
            used,
            started as u64 * cpu,
            "nothing is kept for a gang that waits"
        );
    }
}

#[test]
fn a_gang_that_lost_a_member_starts_anew_under_one_number() {
    let mut world = World::open(2);
    world.accept(1, vec![gang(3, 8_000)]);
    world.settle();
    let starts = std::mem::take(&mut world.starts);
    world.reply(&starts[0], StartReply::NoRoom);
    for start in &starts[1..] {
        world.reply(start, StartReply::Started);
    }
    world.settle();
    assert_eq!(world.stops.len(), 2, "the others do not wait to be alone");
    assert!(world.starts.is_empty());
    end_stopped(&mut world);
    world.settle();
    let runs: Vec<u32> = world.starts.iter().map(|start| start.run).collect();
    assert_eq!(runs, [2, 2, 2]);
}

#[test]
fn one_end_as_done_stands_for_the_whole_gang() {
    let mut world = World::open(2);
    world.accept(1, vec![gang(3, 8_000)]);
    world.settle();
    let starts = world.confirm();
    world.end(&starts[1], TaskEnd::Done);
    world.settle();
    assert_eq!(world.scheduler.state(JobId(1)), Some(JobState::Completed));
}

#[test]
fn a_gang_fails_once_a_run_however_many_of_it_fail() {
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
        assert_eq!(failed, round == 2, "two runs may fail");
        world.wait(6_000);
        world.report_all(&[], 4, 0);
    }
}

/// Accepts a job on which a policy service has the last word.
fn accept_advised(world: &mut World, id: u64, count: u16) {
    let mut advised = Arc::unwrap_or_clone(spec(vec![step(count)], world.now));
    advised.work = "archive".into();
    advised.terms.advised = true;
    world.scheduler.accept(JobId(id), Arc::new(advised));
}

/// The workers that the policy service was asked about last.
fn asked(world: &mut World) -> Vec<WorkerId> {
    let mut asks = world.orders.drain(..).filter_map(|order| match order {
        Effect::Advise { workers, .. } => Some(workers),
        _ => None,
    });
    asks.next_back().unwrap_or_default()
}

/// The policy service permits one worker.
fn permit(number: usize) -> StepAdvice {
    StepAdvice {
        permitted: vec![(worker(number), "permit".into())],
        valid_for: ms(3_000),
    }
}

#[test]
fn nothing_is_placed_without_a_permit_and_the_barred_are_asked_about_once() {
    let mut world = World::open(3);
    accept_advised(&mut world, 1, 2);
    world.settle();
    assert!(world.starts.is_empty());
    assert_eq!(asked(&mut world).len(), 3);
    world.scheduler.advice_received(Some(permit(1)), world.now);
    world.settle();
    let on: Vec<&WorkerId> = world.starts.iter().map(|start| &start.worker).collect();
    assert_eq!(on, [&worker(1), &worker(1)]);
    assert!(asked(&mut world).is_empty());
}

#[test]
fn a_permit_that_has_lapsed_or_was_not_taken_is_asked_for_again() {
    for not_taken in [false, true] {
        let mut world = World::open(1);
        accept_advised(&mut world, 1, 1);
        world.settle();
        assert_eq!(asked(&mut world), [worker(0)]);
        world.scheduler.advice_received(Some(permit(0)), world.now);
        world.settle();
        let start: Start = world.starts.remove(0);
        if not_taken {
            world.reply(&start, StartReply::NoPermit);
        } else {
            world.reply(&start, StartReply::Started);
            world.wait(3_000);
            world.end(&start, TaskEnd::Lapsed);
        }
        world.settle();
        assert!(world.starts.is_empty());
        assert_eq!(asked(&mut world), [worker(0)]);
    }
}

#[test]
fn a_question_without_an_answer_is_asked_again_after_a_pause() {
    let mut world = World::open(1);
    accept_advised(&mut world, 1, 1);
    world.settle();
    assert_eq!(asked(&mut world).len(), 1);
    world.settle();
    assert!(asked(&mut world).is_empty(), "one question at a time");
    world.scheduler.advice_received(None, world.now);
    world.step();
    assert!(asked(&mut world).is_empty());
    world.wait(250);
    world.settle();
    assert_eq!(asked(&mut world).len(), 1);
}
