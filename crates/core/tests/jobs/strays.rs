//! Runs and reports that come late: what the owner concludes from them, and where it sends orders.

use jacinthhoist_core::{
    VmName,
    job::{
        AnyTask, Effect, Implication, JobId, OrderReply, RenewalReport, SchedulerDecision,
        StartReply, StepSpec, VmState, WaveRequest,
    },
};

use crate::harness::{
    RunOrder, SchedulerHarness, entry, key, ms, number_of, spec, step, vm, worker,
};

fn fall_silent(harness: &mut SchedulerHarness, number: usize) {
    harness
        .scheduler
        .renewal_failed(&worker(number), harness.now);
    harness.settle();
}

/// Guards against a panic on the first report to a new owner: it names a step that the job lacks.
#[test]
fn the_first_report_may_name_a_step_that_the_job_does_not_have() {
    let mut harness = SchedulerHarness::open(1);
    let spec = spec(vec![step(1)], harness.now);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let mut next = harness.take_over(&[(JobId(1), spec)], 1);
    let odd = RunOrder {
        worker: worker(0),
        task: key(1, 7, 0),
        run: 1,
    };
    next.report_part(0, std::slice::from_ref(&odd), 30);
    next.settle();
    assert_eq!(next.stops, [odd]);
}

/// Guards against a second run beside one at work: a report of the earlier process under the id
/// arrives after one of the present process, and was taken for a restart.
#[test]
fn a_late_report_of_an_earlier_process_is_not_a_restart() {
    let mut harness = SchedulerHarness::open(2);
    let asked_at = harness.now;
    harness.wait(10);
    for number in 0..2 {
        let restarted = RenewalReport {
            incarnation: Some(2),
            ..RenewalReport::default()
        };
        harness.report(number, restarted);
        harness.register(number, 2);
    }
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let start = harness.confirm().remove(0);
    harness.wait(100);
    harness.report_asked_at(number_of(&start.worker), RenewalReport::default(), asked_at);
    harness.settle();
    assert!(harness.starts.is_empty(), "{:?}", harness.starts);
    let task = harness.task(start.task);
    assert!(matches!(task, AnyTask::Running(_)), "{task:?}");
}

/// Strands a run on worker 0 whose start was not answered; worker 0 answers again, without it.
fn strand_unanswered(harness: &mut SchedulerHarness) -> RunOrder {
    let speculative = StepSpec {
        speculative: true,
        ..step(1)
    };
    harness.accept(1, vec![speculative]);
    harness.settle();
    let start = harness.starts.remove(0);
    harness.reply(&start, StartReply::Unknown);
    fall_silent(harness, 0);
    harness.wait(100);
    harness.report(0, RenewalReport::default());
    harness.step();
    assert_eq!(harness.stops, std::slice::from_ref(&start));
    start
}

/// Guards against a place that stays taken for a long poll: a report that was requested before the
/// stop was acknowledged did not lead to another request.
#[test]
fn a_report_from_before_the_acknowledged_stop_of_a_stray_is_followed_by_another() {
    let mut harness = SchedulerHarness::open(1);
    let start = strand_unanswered(&mut harness);
    let asked_at = harness.now;
    harness.wait(10);
    let reply = OrderReply::Done;
    harness
        .scheduler
        .stop_replied(&worker(0), start.task, start.run, reply, harness.now);
    harness.wait(10);
    harness.report_asked_at(0, RenewalReport::default(), asked_at);
    assert!(harness.scheduler.needs_report(&worker(0)));
}

/// Guards against stops that are repeated after their acknowledgement, each of which made the reports
/// requested before it worthless.
#[test]
fn an_acknowledged_stop_of_a_stray_is_not_repeated() {
    let mut harness = SchedulerHarness::open(1);
    let start = strand_unanswered(&mut harness);
    let reply = OrderReply::Done;
    harness
        .scheduler
        .stop_replied(&worker(0), start.task, start.run, reply, harness.now);
    harness.wait(1_000);
    harness.step();
    assert_eq!(harness.stops, [start]);
}

/// Guards against a start on a worker that is known to be silent, which may take effect late: the
/// worker fell silent while the run was being stored.
#[test]
fn a_start_is_not_sent_to_a_worker_that_fell_silent_before_it_was_stored() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![step(1)]);
    harness.wait(20);
    harness.step();
    harness.scheduler.renewal_failed(&worker(0), harness.now);
    harness.settle();
    assert!(harness.starts.is_empty(), "{:?}", harness.starts);
    harness.wait(100);
    harness.report(0, RenewalReport::default());
    harness.settle();
    assert_eq!(harness.starts.remove(0).run, 2);
    assert!(harness.stops.is_empty(), "the first start was never sent");
}

/// Guards against a run beside another one of its task: a start without an answer is carried out after
/// the lease of its silent worker has lapsed and been granted anew.
#[test]
fn an_unanswered_start_is_stopped_when_its_worker_answers_after_its_lease_has_lapsed() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let start = harness.starts.remove(0);
    harness.reply(&start, StartReply::Unknown);
    fall_silent(&mut harness, 0);
    harness.wait(10_000);
    harness.settle();
    harness.report(0, RenewalReport::default());
    harness.step();
    assert_eq!(harness.stops, [start]);
}

/// Guards against maintenance of a VM under a run at work: the worker has not reported to the new owner,
/// and no record names the run.
#[test]
fn a_vm_is_not_maintained_before_its_worker_has_reported_to_a_new_owner() {
    let mut harness = SchedulerHarness::open(1);
    let speculative = StepSpec {
        speculative: true,
        need: entry("mould").capacity,
        ..step(1)
    };
    let spec = spec(vec![speculative.clone()], harness.now);
    harness.accept(1, vec![speculative]);
    harness.settle();
    harness.confirm();
    fall_silent(&mut harness, 0);
    let mut next = harness.take_over(&[(JobId(1), spec)], 1);
    let wave = WaveRequest {
        number: 1,
        vms: [VmName::new("m-0")].into_iter().collect(),
        within: ms(20_000),
        cap: 1,
    };
    next.scheduler.request_wave(wave, next.now);
    for _ in 0..4 {
        next.wait(500);
        let vms = vec![vm(0, "mould", VmState::Up)];
        next.scheduler.vms_listed(vms, next.now, next.now);
        next.step();
    }
    let maintained = |order: &Effect| matches!(order, Effect::Maintain { .. });
    assert!(!next.orders.iter().any(maintained), "{:?}", next.orders);
}

/// Guards against a crash that is blamed on one job alone: a run of another one, which the owner had
/// given up, was starting on the worker as well.
#[test]
fn a_stray_run_that_is_starting_shares_the_blame_for_a_crash() {
    let mut harness = SchedulerHarness::open(1);
    strand_unanswered(&mut harness);
    harness.accept(2, vec![step(1)]);
    harness.settle();
    let other = harness.confirm();
    let other = other.iter().find(|start| start.task.job == JobId(2));
    assert_eq!(other.expect("job 2 was started").worker, worker(0));
    harness.scheduler.renewal_failed(&worker(0), harness.now);
    let effects = harness.scheduler.step(harness.now);
    let implications = effects.iter().filter_map(|effect| match effect {
        Effect::Log(SchedulerDecision::RunInDoubt {
            task, implication, ..
        }) if task.job == JobId(2) => Some(*implication),
        _ => None,
    });
    assert_eq!(implications.collect::<Vec<_>>(), [Implication::Shared]);
}

/// Guards against members of a gang that are started although another one cannot be.
#[test]
fn no_member_of_a_gang_is_started_if_the_worker_of_one_fell_silent_before_it_was_stored() {
    for silent in 0..2 {
        let mut harness = SchedulerHarness::open(2);
        let gang = StepSpec {
            gang: true,
            max_per_worker: 1,
            ..step(2)
        };
        harness.accept(1, vec![gang]);
        harness.wait(20);
        harness.step();
        harness
            .scheduler
            .renewal_failed(&worker(silent), harness.now);
        harness.settle();
        assert!(harness.starts.is_empty(), "{:?}", harness.starts);
    }
}

/// Guards against a crash that is blamed on a run which had outlived its start: its worker was silent for
/// a moment, so that the run was given up and adopted.
#[test]
fn an_adopted_run_is_as_old_as_before() {
    let mut harness = SchedulerHarness::open(1);
    let speculative = StepSpec {
        speculative: true,
        ..step(1)
    };
    harness.accept(1, vec![speculative]);
    harness.settle();
    let starts = harness.confirm();
    harness.wait(1_000);
    harness.report_part(0, &starts, 20);
    fall_silent(&mut harness, 0);
    harness.report_part(0, &starts, 30);
    harness.settle();
    harness.scheduler.renewal_failed(&worker(0), harness.now);
    let effects = harness.scheduler.step(harness.now);
    let implications = effects.iter().filter_map(|effect| match effect {
        Effect::Log(SchedulerDecision::RunInDoubt { implication, .. }) => Some(*implication),
        _ => None,
    });
    assert_eq!(implications.collect::<Vec<_>>(), [Implication::None]);
}

/// Guards against a place that stays taken by a start which was never sent: its worker fell silent while
/// the run was being stored.
#[test]
fn a_start_that_was_never_sent_takes_no_place() {
    let mut harness = SchedulerHarness::open(1);
    let speculative = StepSpec {
        speculative: true,
        ..step(1)
    };
    harness.accept(1, vec![speculative]);
    harness.wait(20);
    harness.step();
    fall_silent(&mut harness, 0);
    harness.wait(100);
    harness.report(0, RenewalReport::default());
    harness.settle();
    assert!(harness.stops.is_empty(), "{:?}", harness.stops);
    assert_eq!(harness.starts.remove(0).run, 2);
}
