//! Tests of workers that restart under their ids without notice.

use crate::harness::{
    SchedulerHarness, key, listed_entry, long_running_step, ms, number_of, step, worker,
};
use jacinthhoist_core::{
    PoolName,
    job::{RenewalReport, Resources, SchedulerLimits, StartReply, StepSpec, TaskEnd, WorkerEntry},
};

const WORKERS: usize = 2;

fn restarted_report() -> RenewalReport {
    RenewalReport {
        incarnation: Some(2),
        ..RenewalReport::default()
    }
}

/// Guards against two runs of a task: a start order with a deadline on the clock of a worker's earlier
/// process gave the new one the longest lease that workers accept, and the task was started elsewhere
/// after the owner's own, shorter lease (review/4).
#[test]
fn a_lease_by_the_clock_of_an_earlier_process_is_waited_for() {
    let mut owner = SchedulerHarness::open(WORKERS);
    owner.accept(1, vec![step(1)]);
    owner.settle();
    let start = owner.confirm().remove(0);
    let (chosen, other) = (number_of(&start.worker), 1 - number_of(&start.worker));
    // The start reached a process that began after the last report.
    let report = RenewalReport {
        incarnation: Some(2),
        ..SchedulerHarness::running(std::slice::from_ref(&start), 10)
    };
    owner.report(chosen, report);
    let since = owner.now;
    owner.scheduler.renewal_failed(&start.worker, owner.now);
    let limits = SchedulerLimits::example();
    owner.now = since + limits.longest_lease;
    owner.report(other, RenewalReport::default());
    owner.settle();
    assert_eq!(owner.starts.len(), 0, "the first run may be in progress");
    owner.now = since + limits.longest_lease + ms(500);
    owner.report(other, RenewalReport::default());
    owner.settle();
    assert_eq!(owner.starts.len(), 1);
    assert_eq!(owner.starts[0].worker, worker(other));
}

/// Guards against a lease that is longer than the owner knows, and against lost ends: an idle worker is
/// asked for a report now and then only, so another process may have taken its place since.
#[test]
fn a_worker_not_heard_of_late_gets_no_deadline_and_discards_no_ends() {
    let mut owner = SchedulerHarness::open(WORKERS);
    owner.accept(1, vec![step(1)]);
    owner.settle();
    let start = owner.confirm().remove(0);
    owner.end(&start, TaskEnd::Done);
    owner.settle();
    let (id, number) = (start.worker.clone(), number_of(&start.worker));
    let idle_since = owner.now;
    owner.wait(2_900);
    let plan = owner.scheduler.plan_renewal(&id, owner.now).unwrap();
    assert_eq!((plan.ack, plan.lease_until), (0, None));
    owner.now = idle_since;
    let plan = owner.scheduler.plan_renewal(&id, owner.now).unwrap();
    assert_eq!(plan.ack, 1);
    assert!(plan.lease_until.is_some());
    owner.report(number, RenewalReport::default());
    // The end is discarded; a later process may have reported none of its own yet.
    assert_eq!(owner.ack(number), 0);
}

/// Guards against a restart that is noticed only with the next report of an idle worker, although its
/// entry has shown the new process before.
#[test]
fn an_entry_of_a_later_process_is_looked_into_at_once() {
    let mut owner = SchedulerHarness::open(WORKERS);
    let entry = |incarnation| WorkerEntry {
        incarnation: Some(incarnation),
        ..listed_entry(0)
    };
    let id = worker(0);
    let now = owner.now;
    owner.scheduler.worker_listed(id.clone(), entry(1), now);
    assert!(!owner.scheduler.needs_report(&id));
    owner.scheduler.worker_listed(id.clone(), entry(2), now);
    assert!(owner.scheduler.needs_report(&id));
    let plan = owner.scheduler.plan_renewal(&id, now).unwrap();
    assert_eq!((plan.ack, plan.lease_until), (0, None));
    owner.report(0, restarted_report());
    assert!(!owner.scheduler.needs_report(&id));
    // An entry that is read late names the earlier process still.
    let now = owner.now;
    owner.scheduler.worker_listed(id.clone(), entry(2), now);
    assert!(!owner.scheduler.needs_report(&id));
    let plan = owner.scheduler.plan_renewal(&id, now).unwrap();
    assert!(plan.lease_until.is_some());
    owner.accept(1, vec![step(1)]);
    owner.settle();
    assert!(owner.task(key(1, 0, 0)).placed().is_some());
}

/// Guards against two runs of a task: a worker had restarted, its new process answered a start at once, and
/// its first report, requested before that, did not name the run, which was taken for one of the earlier process.
#[test]
fn a_run_that_began_after_the_first_report_of_a_process_was_requested_is_kept() {
    let mut owner = SchedulerHarness::open(WORKERS);
    owner.accept(1, vec![step(1)]);
    owner.settle();
    let start = owner.starts.remove(0);
    let asked_at = owner.now;
    owner.wait(5);
    owner.reply(&start, StartReply::Started);
    owner.wait(1);
    let report = RenewalReport {
        clock: 20,
        ..restarted_report()
    };
    owner
        .scheduler
        .report(&start.worker, report, asked_at, owner.now);
    owner.settle();
    assert_eq!(owner.starts.len(), 0, "the run may be in progress");
    let task = owner.task(start.task);
    assert_eq!(task.placed(), Some((&start.worker, start.run)));
    // A report that was requested later tells.
    let number = number_of(&start.worker);
    owner.report(number, restarted_report());
    owner.settle();
    assert_eq!(owner.starts.len(), 1);
}

/// Guards against two runs of a task: a start order got no answer, the worker's entry named a later process, which
/// carried the order out late and took its deadline for the longest lease that workers accept.
#[test]
fn an_unanswered_start_is_waited_for_while_a_later_process_may_carry_it_out() {
    let limits = SchedulerLimits::example();
    for has_restarted in [false, true] {
        let mut owner = SchedulerHarness::open(WORKERS);
        owner.accept(1, vec![step(1)]);
        owner.settle();
        let start = owner.starts.remove(0);
        let (chosen, other) = (number_of(&start.worker), 1 - number_of(&start.worker));
        let sent_at = owner.now;
        owner.reply(&start, StartReply::Unknown);
        owner.scheduler.renewal_failed(&start.worker, owner.now);
        if has_restarted {
            let entry = WorkerEntry {
                incarnation: Some(2),
                ..listed_entry(chosen)
            };
            let now = owner.now;
            owner
                .scheduler
                .worker_listed(start.worker.clone(), entry, now);
        }
        owner.now = sent_at + limits.max_lease + ms(500);
        owner.report(other, RenewalReport::default());
        owner.settle();
        let started = owner.starts.len();
        assert_eq!(started, usize::from(!has_restarted), "after one lease");
        owner.now = sent_at + limits.longest_lease + ms(500);
        owner.report(other, RenewalReport::default());
        owner.settle();
        assert_eq!(owner.starts.len(), 1, "after the longest lease");
    }
}

/// Entry of worker 0 written by one of its processes, which has this label.
fn labelled_entry(incarnation: u64, label: &str) -> WorkerEntry {
    WorkerEntry {
        labels: [label.into(), "r-1".into()].into_iter().collect(),
        incarnation: Some(incarnation),
        ..listed_entry(0)
    }
}

/// Step whose workers must have the label `a`.
fn labelled_step(count: u16) -> StepSpec {
    StepSpec {
        requires: Some("a".into()),
        ..step(count)
    }
}

fn list(owner: &mut SchedulerHarness, entry: WorkerEntry) {
    let now = owner.now;
    owner.scheduler.worker_listed(worker(0), entry, now);
}

/// Guards against tasks on a worker that cannot run them: a worker had restarted, and was given tasks by the
/// label, the capacity or the pool in the entry of its earlier process (review/10).
#[test]
fn a_restarted_worker_gets_no_tasks_by_the_entry_of_its_earlier_process() {
    let small = Resources {
        cpu: 1_500,
        ..listed_entry(0).capacity
    };
    let shrunk = WorkerEntry {
        capacity: small,
        ..labelled_entry(2, "a")
    };
    let moved = WorkerEntry {
        pool: PoolName::new("melt"),
        ..labelled_entry(2, "a")
    };
    let cases = [
        (labelled_entry(2, "a"), 4),
        (labelled_entry(2, "b"), 0),
        (shrunk, 1),
        (moved, 0),
    ];
    for (entry, placed) in cases {
        let mut owner = SchedulerHarness::open(1);
        owner.report(0, restarted_report());
        owner.accept(1, vec![labelled_step(4)]);
        owner.settle();
        assert_eq!(owner.starts.len(), 0, "the entry is of another process");
        list(&mut owner, entry.clone());
        owner.settle();
        assert_eq!(owner.starts.len(), placed, "{entry:?}");
    }
}

/// Guards against tasks by labels that are not those of the worker's process: its entry is read before the first
/// report of the later process, or that of the earlier process after it (review/10).
#[test]
fn a_worker_gets_no_tasks_while_its_entry_and_its_reports_name_different_processes() {
    let mut owner = SchedulerHarness::open(1);
    list(&mut owner, labelled_entry(1, "b"));
    owner.accept(1, vec![labelled_step(1)]);
    list(&mut owner, labelled_entry(2, "a"));
    owner.settle();
    assert_eq!(owner.starts.len(), 0, "the entry came early");
    owner.report(0, RenewalReport::default());
    owner.settle();
    assert_eq!(owner.starts.len(), 0, "the earlier process reports still");
    owner.report(0, restarted_report());
    list(&mut owner, labelled_entry(1, "a"));
    owner.settle();
    assert_eq!(owner.starts.len(), 0, "an earlier entry came late");
    list(&mut owner, labelled_entry(2, "a"));
    owner.report(0, restarted_report());
    owner.settle();
    assert_eq!(owner.starts.len(), 1);
}

/// Guards against tasks by the entry of an earlier process around a takeover: the first report that an owner gets
/// is of a later process than the entry that it has read (review/10).
#[test]
fn a_new_owner_places_no_tasks_by_the_entry_of_an_earlier_process() {
    let owner = SchedulerHarness::open(1);
    let mut next = owner.take_over(&[], 1);
    next.report(0, restarted_report());
    next.accept(1, vec![labelled_step(1)]);
    next.settle();
    assert_eq!(next.starts.len(), 0);
    list(&mut next, labelled_entry(2, "a"));
    next.settle();
    assert_eq!(next.starts.len(), 1);
}

/// Guards against a start on a worker that has become another while the run was being stored: the order was
/// sent to the process at hand, whatever process the run had been placed on.
#[test]
fn a_run_that_was_placed_before_a_restart_is_not_started_after_it() {
    let gang = StepSpec {
        gang: true,
        ..labelled_step(2)
    };
    for step in [labelled_step(2), gang] {
        let mut owner = SchedulerHarness::open(1);
        owner.accept(1, vec![step]);
        owner.wait(20);
        owner.step();
        list(&mut owner, labelled_entry(2, "b"));
        owner.report(0, restarted_report());
        owner.settle();
        assert_eq!(owner.starts.len(), 0);
        list(&mut owner, labelled_entry(2, "a"));
        owner.settle();
        let runs: Vec<u32> = owner.starts.iter().map(|start| start.run).collect();
        assert_eq!(runs, [2, 2]);
    }
}

/// Guards against a start on a worker that has become another since an order without an answer: it was repeated to the
/// process at hand, as too many tasks of its step were away to stop one of them.
#[test]
fn a_start_is_not_repeated_to_a_later_process() {
    for has_restarted in [false, true] {
        let mut owner = SchedulerHarness::open(1);
        let lasting = StepSpec {
            requires: Some("a".into()),
            max_per_worker: 0,
            ..long_running_step(2, 1)
        };
        owner.accept(1, vec![lasting]);
        owner.settle();
        let starts = std::mem::take(&mut owner.starts);
        assert_eq!(starts.len(), 2);
        let report = if has_restarted {
            list(&mut owner, labelled_entry(2, "b"));
            restarted_report()
        } else {
            RenewalReport::default()
        };
        owner.report(0, report.clone());
        for start in &starts {
            owner.reply(start, StartReply::Unknown);
        }
        owner.wait(400);
        owner.report(0, report);
        let (repeated, stopped) = if has_restarted { (0, 2) } else { (2, 0) };
        owner.settle();
        assert_eq!(owner.starts.len(), repeated);
        assert_eq!(owner.stops.len(), stopped);
    }
}

/// Guards against two runs of a task: a report of the earlier process, on its way when the entry of the later one was
/// read, took back the doubt, and a start without an answer was waited for no longer than the owner's own lease.
#[test]
fn a_report_from_before_the_entry_of_a_later_process_does_not_count_as_one_of_it() {
    let limits = SchedulerLimits::example();
    let mut owner = SchedulerHarness::open(WORKERS);
    owner.accept(1, vec![step(1)]);
    owner.settle();
    let start = owner.starts.remove(0);
    let (chosen, other) = (number_of(&start.worker), 1 - number_of(&start.worker));
    let sent_at = owner.now;
    owner.wait(5);
    owner.register(chosen, 2);
    owner.report_asked_at(chosen, RenewalReport::default(), sent_at);
    owner.reply(&start, StartReply::Unknown);
    owner.scheduler.renewal_failed(&start.worker, owner.now);
    owner.now = sent_at + limits.max_lease + ms(500);
    owner.report(other, RenewalReport::default());
    owner.settle();
    assert_eq!(
        owner.starts.len(),
        0,
        "the later process may hold a longer lease"
    );
    owner.now = sent_at + limits.longest_lease + ms(500);
    owner.report(other, RenewalReport::default());
    owner.settle();
    assert_eq!(owner.starts.len(), 1);
}
