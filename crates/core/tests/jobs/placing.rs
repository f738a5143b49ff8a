//! Placement of gangs and of steps whose workers need a permit of a policy service.

use std::sync::Arc;

use jacinthhoist_core::{
    WorkerId,
    job::{
        Effect, JobId, JobState, RenewalReport, Resources, StartReply, StepAdvice, StepSpec,
        TaskEnd,
    },
};

use super::harness::{RunOrder, SchedulerHarness, ms, spec, step, worker};

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
fn end_stopped_runs(harness: &mut SchedulerHarness) {
    for stop in std::mem::take(&mut harness.stops) {
        harness.end(&stop, TaskEnd::Stopped);
    }
}

/// A surge of tasks of different sizes: each goes to the fullest worker with room, as a search of all
/// workers would find.
#[test]
fn each_task_of_a_surge_goes_to_the_fullest_worker_with_room() {
    const CPU: u64 = 32_000;
    let sizes = [9_000, 1_000, 5_000, 17_000, 3_000, 30_000, 2_500];
    let mut harness = SchedulerHarness::open(8);
    let needs: Vec<u64> = sizes.iter().cycle().take(40).copied().collect();
    for (id, cpu) in (1..).zip(&needs) {
        let mut single = step(1);
        single.need.cpu = *cpu;
        harness.accept(id, vec![single]);
    }
    harness.settle();
    let mut free = [CPU; 8];
    let mut expected = Vec::new();
    for (id, cpu) in (1..).zip(&needs) {
        let fitting = (0..free.len()).filter(|number| free[*number] >= *cpu);
        if let Some(number) = fitting.min_by_key(|number| free[*number]) {
            free[number] -= cpu;
            expected.push((JobId(id), worker(number)));
        }
    }
    assert!(expected.len() > 20 && expected.len() < needs.len());
    let starts = harness.starts.iter();
    let placed: Vec<_> = starts
        .map(|start| (start.task.job, start.worker.clone()))
        .collect();
    // After eight steps without room the rest of the queue is skipped.
    assert_eq!(placed, expected[..placed.len()]);
    assert!(placed.len() > 20);
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
        let mut harness = SchedulerHarness::open(2);
        harness.accept(1, vec![gang(count, cpu)]);
        harness.settle();
        assert_eq!(
            harness.starts.len(),
            expected,
            "{count} tasks with {cpu} cpu"
        );
        assert!(harness.starts.iter().all(|start| start.run == 1));
        let used: u64 = harness
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
    let mut harness = SchedulerHarness::open(2);
    harness.accept(1, vec![gang(3, 8_000)]);
    harness.settle();
    let starts = std::mem::take(&mut harness.starts);
    harness.reply(&starts[0], StartReply::NoRoom);
    for start in &starts[1..] {
        harness.reply(start, StartReply::Started);
    }
    harness.settle();
    assert_eq!(
        harness.stops.len(),
        2,
        "the other members are stopped at once"
    );
    assert!(harness.starts.is_empty());
    end_stopped_runs(&mut harness);
    harness.settle();
    let runs: Vec<u32> = harness.starts.iter().map(|start| start.run).collect();
    assert_eq!(runs, [2, 2, 2]);
}

#[test]
fn one_completed_member_completes_the_gang() {
    let mut harness = SchedulerHarness::open(2);
    harness.accept(1, vec![gang(3, 8_000)]);
    harness.settle();
    let starts = harness.confirm();
    harness.end(&starts[1], TaskEnd::Done);
    harness.settle();
    assert_eq!(harness.scheduler.state(JobId(1)), Some(JobState::Completed));
}

#[test]
fn a_gang_counts_one_failure_per_run() {
    let mut harness = SchedulerHarness::open(4);
    harness.accept(1, vec![gang(2, 8_000)]);
    for round in 1..=2 {
        harness.settle();
        let starts = harness.confirm();
        assert_eq!(starts.len(), 2, "round {round}");
        for start in &starts {
            harness.end(start, TaskEnd::Failed);
        }
        harness.settle();
        let failed = harness.scheduler.state(JobId(1)) == Some(JobState::Failed);
        assert_eq!(failed, round == 2, "the second failed run fails the job");
        harness.wait(6_000);
        harness.report_all(&[], 4, 0);
    }
}

/// Accepts a job whose workers need a permit of the policy service.
fn accept_advised(harness: &mut SchedulerHarness, id: u64, count: u16) {
    let mut advised = Arc::unwrap_or_clone(spec(vec![step(count)], harness.now));
    advised.work = "archive".into();
    advised.terms.advised = true;
    harness.scheduler.accept(JobId(id), Arc::new(advised));
}

/// Drains the effects and returns the workers of the last query to the policy service.
fn queried_workers(harness: &mut SchedulerHarness) -> Vec<WorkerId> {
    let mut queries = harness.orders.drain(..).filter_map(|order| match order {
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
    let mut harness = SchedulerHarness::open(3);
    accept_advised(&mut harness, 1, 2);
    harness.settle();
    assert!(harness.starts.is_empty());
    assert_eq!(queried_workers(&mut harness).len(), 3);
    harness
        .scheduler
        .advice_received(Some(permit(1)), harness.now);
    harness.settle();
    let workers: Vec<&WorkerId> = harness.starts.iter().map(|start| &start.worker).collect();
    assert_eq!(workers, [&worker(1), &worker(1)]);
    assert!(queried_workers(&mut harness).is_empty());
}

#[test]
fn an_expired_or_rejected_permit_is_requested_again() {
    for rejected in [false, true] {
        let mut harness = SchedulerHarness::open(1);
        accept_advised(&mut harness, 1, 1);
        harness.settle();
        assert_eq!(queried_workers(&mut harness), [worker(0)]);
        harness
            .scheduler
            .advice_received(Some(permit(0)), harness.now);
        harness.settle();
        let start: RunOrder = harness.starts.remove(0);
        if rejected {
            harness.reply(&start, StartReply::NoPermit);
        } else {
            harness.reply(&start, StartReply::Started);
            harness.wait(3_000);
            harness.end(&start, TaskEnd::Lapsed);
        }
        harness.settle();
        assert!(harness.starts.is_empty());
        assert_eq!(queried_workers(&mut harness), [worker(0)]);
    }
}

#[test]
fn an_unanswered_query_is_repeated_after_a_delay() {
    let mut harness = SchedulerHarness::open(1);
    accept_advised(&mut harness, 1, 1);
    harness.settle();
    assert_eq!(queried_workers(&mut harness).len(), 1);
    harness.settle();
    assert!(
        queried_workers(&mut harness).is_empty(),
        "one query at a time"
    );
    harness.scheduler.advice_received(None, harness.now);
    harness.step();
    assert!(queried_workers(&mut harness).is_empty());
    harness.wait(250);
    harness.settle();
    assert_eq!(queried_workers(&mut harness).len(), 1);
}

/// Guards against start orders that are refused: a permit holds for one process of a worker, and was kept beyond it,
/// also if it was granted while the worker restarted.
#[test]
fn permits_end_with_the_process_that_they_are_for() {
    for granted_late in [false, true] {
        let mut harness = SchedulerHarness::open(1);
        accept_advised(&mut harness, 1, 1);
        harness.settle();
        assert_eq!(queried_workers(&mut harness), [worker(0)]);
        let grant = |harness: &mut SchedulerHarness| {
            let now = harness.now;
            harness.scheduler.advice_received(Some(permit(0)), now);
            harness.settle();
        };
        if !granted_late {
            grant(&mut harness);
            assert_eq!(harness.confirm().len(), 1);
            harness.wait(1);
        }
        let restarted = RenewalReport {
            incarnation: Some(2),
            ..RenewalReport::default()
        };
        harness.report(0, restarted);
        harness.register(0, 2);
        if granted_late {
            grant(&mut harness);
        } else {
            harness.settle();
        }
        assert!(harness.starts.is_empty(), "{:?}", harness.starts);
        assert_eq!(queried_workers(&mut harness), [worker(0)]);
        grant(&mut harness);
        assert_eq!(harness.starts.len(), 1);
    }
}
