//! Tests of job scheduling: order of stored records and effects, takeovers, placement and priority.

mod availability;
mod bodies;
mod causes;
mod clocks;
mod counts;
mod crashes;
mod ends;
mod extremes;
mod fleet;
mod hangs;
mod harness;
mod impossible;
mod leases;
mod numbers;
mod occupancy;
mod occurrences;
mod parking;
mod permits;
mod placing;
mod probation;
mod processes;
mod proof;
mod refusals;
mod starts;
mod strays;
mod tenants;
mod waiting;
mod waves;

use harness::{
    SchedulerHarness, entry, key, listed_entry, long_running_step, ms, spec, step, worker,
};
use jacinthhoist_core::{
    ClockTime,
    job::{
        AnyTask, BatchRecord, JobId, JobProgress, JobState, JobUrgency, OrderReply, PoolShares,
        QueuedJob, RenewalReport, Resources, StartReply, StepPace, StepSpec, TaskEnd, TaskKey,
        WorkLoad, WorkerEntry, WorkerState, admit_job, order_queue,
    },
};

#[test]
fn tasks_start_only_after_their_run_is_stored() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![step(2)]);
    harness.wait(20);
    harness.step();
    assert!(harness.starts.is_empty());
    assert_eq!(harness.batches.len(), 1);
    harness.store();
    assert_eq!(harness.starts.len(), 2);
}

#[test]
fn an_end_is_stored_before_it_is_acknowledged_or_reported() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let starts = harness.confirm();
    harness.end(&starts[0], TaskEnd::Done);
    harness.wait(20);
    harness.step();
    assert_eq!(harness.ack(0), 0);
    assert_eq!(harness.scheduler.state(JobId(1)), Some(JobState::Running));
    harness.store();
    assert_eq!(harness.ack(0), 1);
    assert_eq!(harness.scheduler.state(JobId(1)), Some(JobState::Completed));
}

#[test]
fn a_step_starts_after_all_tasks_of_its_dependencies() {
    let mut harness = SchedulerHarness::open(1);
    let second = StepSpec {
        after: [0].into_iter().collect(),
        ..step(1)
    };
    harness.accept(1, vec![step(2), second]);
    harness.settle();
    let starts = harness.confirm();
    assert!(starts.iter().all(|start| start.task.step == 0));
    harness.end(&starts[0], TaskEnd::Done);
    harness.settle();
    assert!(harness.starts.is_empty());
    harness.end(&starts[1], TaskEnd::Done);
    harness.settle();
    assert_eq!(harness.starts[0].task, key(1, 1, 0));
}

#[test]
fn job_state_after_the_ends_of_its_runs() {
    use TaskEnd::{Alone, Broken, Done, Failed, Lapsed, Stopped};
    // Ends of the successive runs of a task, and the resulting state of its job.
    let table: [(&[TaskEnd], JobState); 6] = [
        (&[Done], JobState::Completed),
        (&[Failed, Done], JobState::Completed),
        (&[Failed, Failed], JobState::Failed),
        (&[Stopped, Lapsed, Done], JobState::Completed),
        (&[Failed, Stopped, Failed], JobState::Failed),
        (&[Broken, Alone, Lapsed], JobState::Running),
    ];
    for (ends, state) in table {
        let mut harness = SchedulerHarness::open(3);
        harness.accept(1, vec![step(1)]);
        for end in ends {
            harness.settle();
            let starts = harness.confirm();
            assert_eq!(starts.len(), 1, "{ends:?}");
            harness.end(&starts[0], *end);
        }
        harness.settle();
        assert_eq!(harness.scheduler.state(JobId(1)), Some(state), "{ends:?}");
    }
}

#[test]
fn a_long_running_task_is_restarted_after_any_number_of_failures() {
    let mut harness = SchedulerHarness::open(3);
    harness.accept(1, vec![long_running_step(1, 0)]);
    for run in 1..=6 {
        harness.settle();
        // Wait until the suspension of the workers has ended.
        harness.wait(5_000);
        harness.report_all(&[], 3, 0);
        harness.settle();
        let starts = harness.confirm();
        assert_eq!(starts[0].run, run);
        harness.end(&starts[0], TaskEnd::Failed);
    }
}

#[test]
fn an_unanswered_start_is_stopped_before_the_task_runs_elsewhere() {
    let mut harness = SchedulerHarness::open(2);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let start = harness.starts.remove(0);
    harness.reply(&start, StartReply::Unknown);
    harness.settle();
    assert!(
        harness.starts.is_empty(),
        "the start may still be carried out"
    );
    harness.report_all(&[], 2, 0);
    harness.settle();
    assert_eq!(harness.stops, std::slice::from_ref(&start));
    assert!(harness.starts.is_empty(), "the stop has not been answered");
    let (id, task, run) = (&start.worker, start.task, start.run);
    harness
        .scheduler
        .stop_replied(id, task, run, OrderReply::Done, harness.now);
    harness.wait(1);
    harness.report_all(&[], 2, 0);
    harness.settle();
    assert_eq!(harness.starts[0].run, 2);
}

/// Regression test: a worker that carried out every order late was assigned the same task
/// repeatedly.
#[test]
fn a_worker_with_unanswered_starts_is_avoided_and_then_suspended() {
    let mut harness = SchedulerHarness::open(2);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let first = harness.starts.remove(0);
    let fail_start = |harness: &mut SchedulerHarness, start: &harness::RunOrder| {
        harness.reply(start, StartReply::Unknown);
        harness.report_all(&[], 2, 0);
        let (id, task, run) = (&start.worker, start.task, start.run);
        harness
            .scheduler
            .stop_replied(id, task, run, OrderReply::Done, harness.now);
        harness.wait(1);
        harness.report_all(&[], 2, 0);
        harness.settle();
    };
    fail_start(&mut harness, &first);
    let second = harness.starts.remove(0);
    assert_ne!(second.worker, first.worker);
    let suspended = |harness: &SchedulerHarness, id| {
        let worker = harness.scheduler.worker(id).unwrap();
        worker.is_suspended(harness.now)
    };
    assert!(
        !suspended(&harness, &first.worker),
        "a single unanswered start may be a lost packet"
    );
    fail_start(&mut harness, &second);
    let third = harness.starts.remove(0);
    fail_start(&mut harness, &third);
    assert!(suspended(&harness, &third.worker));
}

#[test]
fn an_unanswered_start_that_is_reported_as_running_continues() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let start = harness.starts.remove(0);
    harness.reply(&start, StartReply::Unknown);
    harness.report(
        0,
        SchedulerHarness::running(std::slice::from_ref(&start), 5),
    );
    harness.settle();
    assert!(harness.stops.is_empty());
    assert!(matches!(harness.task(start.task), AnyTask::Running(_)));
}

#[test]
fn task_state_after_each_start_reply() {
    let table = [
        (StartReply::NoRoom, true),
        (StartReply::TooLate, true),
        (StartReply::Unhealthy, true),
        (StartReply::OtherProcess, true),
        (StartReply::NoAnswer, true),
        (StartReply::WrongLife, true),
        (StartReply::Invalid, true),
        (StartReply::Unknown, false),
        (StartReply::OldRun, false),
    ];
    for (reply, expected) in table {
        let mut harness = SchedulerHarness::open(2);
        harness.accept(1, vec![step(1)]);
        harness.settle();
        let start = harness.starts.remove(0);
        harness.reply(&start, reply);
        let waiting = matches!(harness.task(start.task), AnyTask::Waiting(_));
        assert_eq!(waiting, expected, "{reply:?}");
    }
}

#[test]
fn a_takeover_adopts_running_tasks_and_restarts_the_others() {
    let mut first = SchedulerHarness::open(2);
    let spec = first.accept(1, vec![step(3)]);
    first.settle();
    let starts = first.confirm();
    let mut next = first.take_over(&[(JobId(1), spec)], 2);
    next.settle();
    assert!(
        next.starts.is_empty(),
        "no worker has seen the new token yet"
    );
    // The worker runs two of the three tasks; the third can no longer start under the older token.
    let number: usize = starts[0].worker.as_str()[2..].parse().unwrap();
    next.report(number, SchedulerHarness::running(&starts[..2], 10));
    next.settle();
    assert_eq!(next.starts.len(), 1);
    assert_eq!(next.starts[0].task, starts[2].task);
    assert_eq!(next.starts[0].run, 2);
}

/// Regression test (emulator seed 146): a failure stored by an earlier owner was counted again when
/// the worker reported the same end to the next owner, so the job was reported as failed after a
/// single failure.
#[test]
fn an_end_stored_by_an_earlier_owner_is_not_counted_again() {
    let mut first = SchedulerHarness::open(1);
    let spec = first.accept(1, vec![step(1)]);
    first.settle();
    let start = first.confirm().remove(0);
    // The only worker is draining, so the task stays waiting after its failure.
    let draining = WorkerEntry {
        state: WorkerState::Draining,
        ..entry("mould")
    };
    first
        .scheduler
        .worker_listed(worker(0), draining, first.now);
    first.end(&start, TaskEnd::Failed);
    // The failure is stored, but its end has not been acknowledged to the worker.
    first.settle();
    let mut next = first.take_over(&[(JobId(1), spec)], 1);
    next.end(&start, TaskEnd::Failed);
    next.settle();
    assert_eq!(next.task(start.task).failures(), 1);
    assert_ne!(next.scheduler.state(JobId(1)), Some(JobState::Failed));
}

/// Regression test (BUDGET, hunt of ldaaa-hoist): the failure of a copy that a silent worker had
/// kept running was ignored although its end was acknowledged, so the task ran once too often.
#[test]
fn the_failure_of_a_superseded_copy_counts_once() {
    let speculative = StepSpec {
        speculative: true,
        ..step(1)
    };
    let mut owner = SchedulerHarness::open(3);
    let spec = owner.accept(1, vec![speculative]);
    owner.settle();
    let first = owner.confirm().remove(0);
    owner.scheduler.renewal_failed(&first.worker, owner.now);
    owner.settle();
    let copy = owner.confirm().remove(0);
    assert_eq!(copy.run, 2);
    owner.end(&first, TaskEnd::Failed);
    owner.settle();
    assert_eq!(owner.task(first.task).failures(), 1);
    // The worker reports the same end to the next owner.
    let mut next = owner.take_over(&[(JobId(1), spec)], 3);
    next.end(&first, TaskEnd::Failed);
    assert_eq!(next.task(first.task).failures(), 1);
    next.end(&copy, TaskEnd::Failed);
    next.settle();
    assert_eq!(next.starts, []);
    assert_eq!(next.scheduler.state(JobId(1)), Some(JobState::Failed));
}

/// Records of earlier versions hold the number of failures alone.
#[test]
fn a_record_without_the_numbers_of_failed_runs_is_read() {
    let record = r#"{"ended":null,"workers":[],"occurrences":[[[[0,3,1,0,null]]]]}"#;
    let progress: JobProgress = serde_json::from_str(record).unwrap();
    let mut harness = SchedulerHarness::open(1);
    let spec = spec(vec![step(1)], harness.now);
    harness.scheduler.restore(JobId(1), Some(spec), &progress);
    let task = harness.task(key(1, 0, 0));
    assert_eq!((task.run(), task.failures()), (3, 1));
    assert!(
        task.has_failed_run(3),
        "the last run counts as the failed one"
    );
}

/// Regression test: the second failure arrived after the next run had been assigned, whose start was
/// sent all the same.
#[test]
fn a_start_is_withdrawn_once_the_task_has_failed_too_often() {
    let speculative = StepSpec {
        speculative: true,
        ..step(1)
    };
    let mut harness = SchedulerHarness::open(3);
    harness.accept(1, vec![speculative]);
    harness.settle();
    let first = harness.confirm().remove(0);
    harness.scheduler.renewal_failed(&first.worker, harness.now);
    harness.settle();
    let copy = harness.confirm().remove(0);
    harness.end(&copy, TaskEnd::Failed);
    harness.wait(20);
    harness.step();
    harness.end(&first, TaskEnd::Failed);
    harness.settle();
    assert_eq!(harness.starts, []);
    let state = harness.scheduler.state(JobId(1));
    assert_eq!(state, Some(JobState::Failed));
}

/// Regression test (MIXED, trouble-1 of bmca-foundry-large): a new owner assigned most of its backlog
/// at once and counted these jobs as begun before their starts were stored.
#[test]
fn a_job_waits_until_the_start_of_one_of_its_tasks_is_confirmed() {
    let mut harness = SchedulerHarness::open(1);
    let waiting = |harness: &SchedulerHarness| {
        let loads = harness.scheduler.loads();
        loads.iter().map(|(_, load)| load.waiting).sum::<u32>()
    };
    for id in 1..=3 {
        harness.accept(id, vec![step(1)]);
    }
    harness.wait(20);
    harness.step();
    assert_eq!(waiting(&harness), 3, "no run is stored yet");
    harness.store();
    assert_eq!(harness.starts.len(), 3);
    assert_eq!(waiting(&harness), 3, "no start is confirmed yet");
    harness.confirm();
    assert_eq!(waiting(&harness), 0);
}

#[test]
fn tasks_of_a_silent_worker_wait_until_its_lease_has_expired() {
    let mut harness = SchedulerHarness::open(2);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let start = harness.confirm().remove(0);
    let number: usize = start.worker.as_str()[2..].parse().unwrap();
    let plan = harness
        .scheduler
        .plan_renewal(&start.worker, harness.now)
        .unwrap();
    assert!(plan.lease_until.is_some());
    harness.scheduler.renewal_failed(&start.worker, harness.now);
    let expiry = harness
        .scheduler
        .worker(&start.worker)
        .unwrap()
        .process
        .lease
        .latest_expiry();
    assert!(expiry >= harness.now + ms(6_000 - 2));
    let silent = harness
        .scheduler
        .plan_renewal(&start.worker, harness.now)
        .unwrap();
    assert_eq!(silent.lease_until, None, "a probe does not renew the lease");
    harness.now = expiry;
    harness.report(1 - number, RenewalReport::default());
    harness.now = expiry;
    harness.step();
    assert!(!matches!(harness.task(start.task), AnyTask::Waiting(_)));
    harness.wait(1);
    harness.settle();
    assert_eq!(harness.starts[0].run, 2);
    assert_eq!(harness.starts[0].worker, worker(1 - number));
}

/// Regression test: each takeover restarted the lease period of an unreachable worker, so a task
/// waited for the sum of these periods.
#[test]
fn later_owners_use_the_stored_expiry_time() {
    let mut owner = SchedulerHarness::open(2);
    let spec = owner.accept(1, vec![long_running_step(1, 0)]);
    owner.settle();
    let start = owner.confirm().remove(0);
    owner.report_all(std::slice::from_ref(&start), 2, 100);
    owner.scheduler.renewal_failed(&start.worker, owner.now);
    owner.settle();
    let expiry = owner.lease_expiries[&start.worker].last_mark();
    let expiry = expiry.expect("the expiry is on the clock of its owner");
    let mut next = owner;
    for _ in 0..4 {
        next.wait(2_000);
        next = next.take_over(&[(JobId(1), spec.clone())], 2);
    }
    let number: usize = start.worker.as_str()[2..].parse().unwrap();
    // Without a lease period of the later owners.
    next.now = next.now.max(expiry);
    next.report(1 - number, RenewalReport::default());
    next.settle();
    assert_eq!(next.starts.len(), 1);
}

#[test]
fn the_lease_of_a_returning_worker_is_renewed_after_its_stored_expiry_is_removed() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![long_running_step(1, 0)]);
    harness.settle();
    let start = harness.confirm().remove(0);
    harness.scheduler.renewal_failed(&start.worker, harness.now);
    harness.settle();
    assert!(harness.lease_expiries.contains_key(&start.worker));
    harness.report(
        0,
        SchedulerHarness::running(std::slice::from_ref(&start), 100),
    );
    let lease = |harness: &mut SchedulerHarness| {
        let plan = harness.scheduler.plan_renewal(&start.worker, harness.now);
        plan.unwrap().lease_until
    };
    assert_eq!(lease(&mut harness), None);
    harness.settle();
    assert!(harness.lease_expiries.is_empty());
    assert!(lease(&mut harness).is_some());
}

#[test]
fn a_restarted_worker_loses_its_tasks_at_once() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![step(2)]);
    harness.settle();
    let starts = harness.confirm();
    // Within one millisecond it is not known whether a report was requested before or after.
    harness.wait(1);
    let restarted = RenewalReport {
        incarnation: Some(2),
        ..SchedulerHarness::running(&starts[..1], 0)
    };
    harness.report(0, restarted);
    harness.register(0, 2);
    harness.settle();
    // One task is already running in the new incarnation; the other one is started again.
    assert_eq!(harness.starts.len(), 1);
    assert_eq!(harness.starts[0].task, starts[1].task);
}

#[test]
fn a_draining_or_unlisted_worker_receives_no_tasks() {
    for draining in [true, false] {
        let mut harness = SchedulerHarness::open(1);
        if draining {
            let mut registration = entry("mould");
            registration.state = WorkerState::Draining;
            harness
                .scheduler
                .worker_listed(worker(0), registration, harness.now);
        } else {
            harness.scheduler.worker_unlisted(&worker(0), harness.now);
        }
        harness.accept(1, vec![step(1)]);
        harness.settle();
        assert!(harness.starts.is_empty());
    }
}

#[test]
fn a_cancelled_job_starts_no_tasks_even_if_the_cancellation_arrives_first() {
    let mut harness = SchedulerHarness::open(1);
    harness.scheduler.cancel(JobId(1), None);
    harness.accept(1, vec![step(1)]);
    harness.accept(2, vec![step(1)]);
    harness.wait(20);
    harness.step();
    harness.scheduler.cancel(JobId(2), None);
    harness.settle();
    assert!(harness.starts.is_empty());
    assert_eq!(harness.scheduler.state(JobId(1)), Some(JobState::Cancelled));
}

/// Cancellations of jobs that never arrive are removed, well after any late write of the job.
/// Regression test: two concurrent removals reached the store out of order, which it rejected.
#[test]
fn a_cancellation_without_a_job_is_removed_after_a_delay() {
    let mut harness = SchedulerHarness::open(1);
    harness.scheduler.cancel(JobId(9), None);
    for _ in 0..10 {
        harness.wait(1_000);
        harness.settle();
        assert!(harness.body_removals.is_empty());
    }
    harness.wait(30_000);
    harness.settle();
    assert_eq!(harness.body_removals, [vec![JobId(9)]]);
    // A job that arrives later under this id is a different job.
    harness.accept(9, vec![step(1)]);
    harness.settle();
    assert_eq!(harness.starts.len(), 1);
}

#[test]
fn bodies_of_ended_jobs_are_removed_by_one_call_at_a_time() {
    let mut harness = SchedulerHarness::open(1);
    for id in 1..=3 {
        harness.scheduler.cancel(JobId(id), None);
        harness.accept(id, vec![step(1)]);
        harness.settle();
    }
    assert_eq!(harness.body_removals, [vec![JobId(1)]]);
    harness.scheduler.bodies_removed(&[JobId(1)]);
    harness.settle();
    assert_eq!(harness.body_removals[1], [JobId(2), JobId(3)]);
}

#[test]
fn an_ended_job_is_retained_and_dropped_only_after_its_body() {
    let mut harness = SchedulerHarness::open(1);
    harness.scheduler.cancel(JobId(1), None);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    harness.wait(200_000);
    harness.settle();
    assert!(
        harness.scheduler.state(JobId(1)).is_some(),
        "its body is still stored"
    );
    harness.scheduler.bodies_removed(&[JobId(1)]);
    harness.wait(20);
    harness.step();
    let dropped = harness.batches.iter().flat_map(|batch| &batch.records);
    let dropped: Vec<&BatchRecord> = dropped.collect();
    assert_eq!(dropped, [&BatchRecord::Remove(JobId(1))]);
    assert_eq!(harness.scheduler.state(JobId(1)), None);
}

#[test]
fn a_worker_that_fails_tasks_repeatedly_is_suspended() {
    let mut harness = SchedulerHarness::open(2);
    for id in 1..=4 {
        harness.accept(id, vec![step(1)]);
    }
    harness.settle();
    let starts = harness.confirm();
    let faulty = starts[0].worker.clone();
    let number: usize = faulty.as_str()[2..].parse().unwrap();
    for start in starts.iter().filter(|start| start.worker == faulty).take(2) {
        harness.end(start, TaskEnd::Failed);
    }
    assert!(
        harness
            .scheduler
            .worker(&faulty)
            .unwrap()
            .is_suspended(harness.now)
    );
    harness.settle();
    let restarts: Vec<_> = harness.confirm();
    assert!(
        restarts
            .iter()
            .all(|start| start.worker == worker(1 - number))
    );
}

#[test]
fn a_task_that_fails_on_every_worker_suspends_none() {
    let mut harness = SchedulerHarness::open(3);
    harness.accept(1, vec![step(1)]);
    for _ in 0..2 {
        harness.settle();
        let start = harness.confirm().remove(0);
        harness.end(&start, TaskEnd::Failed);
    }
    let suspended = harness
        .scheduler
        .workers()
        .filter(|worker| worker.is_suspended(harness.now));
    assert_eq!(suspended.count(), 0);
}

#[test]
fn a_run_without_progress_is_stopped_and_its_worker_suspended() {
    let mut harness = SchedulerHarness::open(2);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let start = harness.confirm().remove(0);
    for _ in 0..5 {
        harness.wait(800);
        harness.report_all(std::slice::from_ref(&start), 2, 30);
        harness.step();
    }
    assert_eq!(harness.stops.first(), Some(&start));
    assert!(
        harness
            .scheduler
            .worker(&start.worker)
            .unwrap()
            .is_suspended(harness.now)
    );
}

#[test]
fn capacity_is_not_exceeded_and_small_tasks_use_the_remainder() {
    let mut harness = SchedulerHarness::open(1);
    let large = StepSpec {
        need: jacinthhoist_core::job::Resources {
            cpu: 20_000,
            ..step(1).need
        },
        ..step(3)
    };
    harness.accept(1, vec![large]);
    harness.accept(2, vec![step(20)]);
    harness.settle();
    let used = harness.scheduler.worker(&worker(0)).unwrap().used;
    assert_eq!(used.cpu, 32_000);
    assert_eq!(harness.starts.len(), 1 + 12);
}

#[test]
fn best_effort_tasks_avoid_workers_that_serve_users() {
    let mut harness = SchedulerHarness::open(2);
    let serves = StepSpec {
        target: ms(50),
        ..long_running_step(1, 0)
    };
    let best_effort = StepSpec {
        best_effort: true,
        ..step(4)
    };
    harness.accept(1, vec![serves]);
    harness.accept(2, vec![best_effort]);
    harness.settle();
    let serving = &harness
        .starts
        .iter()
        .find(|start| start.task.job == JobId(1))
        .unwrap()
        .worker;
    let best_effort_starts = harness
        .starts
        .iter()
        .filter(|start| start.task.job == JobId(2));
    assert!(
        best_effort_starts
            .clone()
            .all(|start| start.worker != *serving)
    );
    assert_eq!(best_effort_starts.count(), 4);
}

/// Guards against a report about a step that the job does not have, which stopped the owner.
#[test]
fn a_report_about_an_unknown_task_is_ignored() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let start = harness.confirm().remove(0);
    for (occurrence, step, index) in [(0, 9, 0), (7, 0, 0), (0, 0, 400)] {
        let mut unknown = start.clone();
        unknown.task = TaskKey {
            occurrence,
            step,
            index,
            ..start.task
        };
        harness.end(&unknown, TaskEnd::Failed);
        harness.report_all(std::slice::from_ref(&unknown), 1, 10);
    }
    harness.end(&start, TaskEnd::Done);
    harness.settle();
    assert_eq!(harness.scheduler.state(JobId(1)), Some(JobState::Completed));
}

/// In a pool with more demand than capacity, jobs that can still meet their objective come first.
#[test]
fn the_job_with_least_laxity_that_can_meet_its_deadline_comes_first() {
    let now = ms(10_000);
    let urgency = |deadline: u64, is_new: bool| {
        JobUrgency::for_deadline(0, ms(deadline), ms(1_000), is_new, now)
    };
    let (tight, loose, late) = (
        urgency(11_500, true),
        urgency(14_000, true),
        urgency(10_500, true),
    );
    let mut order = [late, loose, tight];
    order.sort_unstable();
    assert_eq!(order, [tight, loose, late]);
    assert!(
        JobUrgency::long_running(1, now) < tight,
        "long-running jobs come first"
    );
    assert!(
        urgency(14_000, false) < tight,
        "begun jobs come before new ones"
    );
    // With 1,000 ms of work and its margins, these jobs would end just before or after the deadline.
    for deadline in [11_050, 11_399] {
        assert!(urgency(deadline, true).infeasible, "{deadline}");
    }
}

/// In an overload the newest job comes first: in the order of laxity each job would be served at
/// the last moment, and most of them too late.
#[test]
fn the_order_of_new_jobs_depends_on_the_load() {
    let now = ms(10_000);
    let job = |id: u64, deadline: u64, is_new: bool| QueuedJob {
        need: Resources::default(),
        tenant: None,
        urgency: JobUrgency::for_deadline(0, ms(deadline), ms(1_000), is_new, now),
        job: JobId(id),
        // One second of eight cores.
        work: 8_000_000,
    };
    let queue = [
        job(1, 13_000, true),
        job(2, 12_000, true),
        job(3, 14_000, true),
        job(4, 15_000, false),
        job(5, 10_900, true),
    ];
    let table = [
        // Capacity in cores; jobs in the order in which they are placed.
        (64, [4, 2, 1, 3, 5]),
        (20, [4, 2, 1, 3, 5]),
        (12, [4, 3, 1, 2, 5]),
        (1, [4, 3, 1, 2, 5]),
    ];
    for (cores, expected) in table {
        let mut queue = queue;
        order_queue(&mut queue, cores * 1_000, &mut PoolShares::default(), now);
        let order = queue.map(|queued| queued.job.0);
        assert_eq!(order, expected, "{cores} cores");
    }
}

/// In an overload, jobs that cannot be served in time are refused at once.
/// Reports of hundreds of workers arrive all the time: steps take at most a quarter of the time, unless
/// reports would wait for more than 60 ms.
#[test]
fn steps_leave_time_for_other_work_while_reports_arrive() {
    // Cost of a step in milliseconds, and the number of steps in a second.
    for (cost, steps) in [(0, 100), (2, 100), (4, 62), (10, 25), (15, 16), (30, 16)] {
        let mut pace = StepPace::default();
        let (mut now, mut count) = (ms(10_000), 0_u32);
        while now < ms(11_000) {
            let began_at = now.max(pace.next_at());
            now = began_at + ms(cost);
            pace.record(began_at, now);
            assert!(pace.next_at() <= began_at + ms(60), "{cost} ms");
            count += 1;
        }
        assert!(count.abs_diff(steps) <= 3, "{cost} ms: {count} steps");
    }
}

/// Regression test (LOST, review/6 on slow members): steps that took longer than the longest interval between them
/// followed each other at once, so that starts, renewals and the membership of the owner expired.
#[test]
fn long_steps_leave_half_of_the_time_for_other_work() {
    for cost in [31, 60, 250, 4_000] {
        let mut pace = StepPace::default();
        let (mut now, mut busy) = (ms(10_000), 0);
        while now < ms(50_000) {
            let began_at = now.max(pace.next_at());
            now = began_at + ms(cost);
            pace.record(began_at, now);
            busy += cost;
        }
        let elapsed = (now - ms(10_000)).as_millis();
        assert!(busy * 2 <= elapsed + cost, "{cost} ms: {busy} of {elapsed}");
    }
}

#[test]
fn the_version_of_the_worker_list_tells_when_connections_change() {
    let mut harness = SchedulerHarness::open(2);
    let version = harness.scheduler.worker_list_version();
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let draining = WorkerEntry {
        state: WorkerState::Draining,
        ..listed_entry(0)
    };
    harness
        .scheduler
        .worker_listed(worker(0), draining, harness.now);
    assert_eq!(harness.scheduler.worker_list_version(), version);
    let elsewhere = WorkerEntry {
        address: "127.0.0.1:10".into(),
        ..entry("mould")
    };
    harness
        .scheduler
        .worker_listed(worker(0), elsewhere, harness.now);
    let moved = harness.scheduler.worker_list_version();
    assert_ne!(moved, version);
    harness
        .scheduler
        .worker_listed(worker(7), entry("mould"), harness.now);
    assert_ne!(harness.scheduler.worker_list_version(), moved);
}

/// Jobs are reviewed only when they change: a run that a worker turned away, which changes no record,
/// makes its task startable again and lets a cancelled job end.
#[test]
fn a_job_is_reviewed_after_each_change_of_its_tasks() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let start = harness.starts.remove(0);
    harness.reply(&start, StartReply::TooLate);
    harness.settle();
    let again = harness.starts.remove(0);
    assert_eq!(again.run, 2);
    harness.scheduler.cancel(JobId(1), None);
    harness.reply(&again, StartReply::TooLate);
    harness.settle();
    let state = harness.scheduler.state(JobId(1));
    assert_eq!(state, Some(JobState::Cancelled));
}

#[test]
fn refusals_depend_on_the_backlog() {
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
    for (drain, objective, expected) in table {
        let result = admit_job(&load(drain), ms(objective));
        let retry_after = result.err().map(|refusal| refusal.retry_after.as_millis());
        assert_eq!(retry_after, expected, "{drain}");
    }
    assert!(admit_job(&load(0), ClockTime::ZERO).is_ok());
}
