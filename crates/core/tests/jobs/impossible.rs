//! Steps that no worker can run, and what they may do to others.

use jacinthhoist_core::{
    PoolName,
    job::{
        Effect, JobId, RenewalReport, Resources, SchedulerDecision, StepSpec, TaskEnd, VmEntry,
        VmState, WorkerEntry,
    },
};

use super::harness::{
    RunOrder, SchedulerHarness, entry, listed_entry, long_running_step, ms, step, vm, worker,
};

/// Number of jobs that wait in vain: more than the steps without room after which the search ends.
const WAITING_JOBS: u64 = 12;

fn sized(count: u16, cpu: u64, mem_mb: u64) -> StepSpec {
    StepSpec {
        need: Resources {
            cpu,
            mem_mb,
            gpu: 0,
        },
        ..step(count)
    }
}

fn labelled(label: &str) -> StepSpec {
    StepSpec {
        requires: Some(label.into()),
        ..step(1)
    }
}

/// Steps that two workers of 32 cores, with label `a`, can never run, by what is missing.
fn impossible_steps() -> Vec<(&'static str, StepSpec)> {
    let gang = StepSpec {
        gang: true,
        ..sized(5, 16_000, 100)
    };
    let spread_gang = StepSpec {
        gang: true,
        max_per_worker: 1,
        ..step(3)
    };
    vec![
        ("cpu", sized(1, 33_000, 100)),
        ("memory", sized(1, 1_000, 131_073)),
        ("label", labelled("b")),
        ("room for a gang", gang),
        ("workers for a spread gang", spread_gang),
    ]
}

/// Accepts jobs that wait in vain, and a sound one after them, all of which are late.
fn accept_late(harness: &mut SchedulerHarness, step_in_vain: &StepSpec, sound: u64) {
    for id in 1..=WAITING_JOBS {
        harness.accept(100 + id, vec![step_in_vain.clone()]);
    }
    harness.wait(1);
    harness.accept(sound, vec![step(2)]);
    harness.wait(20_000);
}

/// Regression test (LOST): eight late jobs that no worker could run ended the search of the queue, and no
/// late job behind them was started any more, though all workers were empty.
#[test]
fn late_jobs_start_behind_others_that_no_worker_can_run() {
    for (missing, step_in_vain) in impossible_steps() {
        let mut harness = SchedulerHarness::open(2);
        accept_late(&mut harness, &step_in_vain, 1);
        harness.settle();
        let started: Vec<JobId> = harness.starts.iter().map(|start| start.task.job).collect();
        assert_eq!(started, [JobId(1); 2], "missing: {missing}");
        let open = harness.scheduler.open_jobs() as u64;
        assert_eq!(open, WAITING_JOBS + 1, "missing: {missing}");
    }
}

/// Regression test (LOST): each search charged the first members of a gang without room and released them, so that
/// the VMs of its pool never counted as idle for long, and jobs of other pools waited for them.
#[test]
fn a_gang_without_room_leaves_the_idle_time_of_workers_as_it_is() {
    let mut harness = SchedulerHarness::open(2);
    let gang = StepSpec {
        gang: true,
        ..sized(5, 16_000, 100)
    };
    let idle_since = harness.now;
    harness.accept(1, vec![gang]);
    harness.wait(5_000);
    harness.settle();
    for number in 0..2 {
        let worker = harness.scheduler.worker(&worker(number));
        let empty_since = worker.map(|worker| worker.empty_since);
        assert!(empty_since.is_some_and(|since| since <= idle_since));
    }
}

/// Guards on-call against a job that stays queued without a word: its wait is logged once, and once more when
/// a worker that can run it has come.
#[test]
fn a_job_that_waits_in_vain_is_logged_when_that_changes() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![sized(1, 33_000, 100)]);
    let waits = |harness: &mut SchedulerHarness| -> Vec<bool> {
        let mut changes = Vec::new();
        for _ in 0..3 {
            harness.wait(20);
            for effect in harness.scheduler.step(harness.now) {
                if let Effect::Log(SchedulerDecision::JobWaits { in_vain, .. }) = effect {
                    changes.push(in_vain);
                }
            }
        }
        changes
    };
    assert_eq!(waits(&mut harness), [true]);
    let large = WorkerEntry {
        capacity: sized(1, 64_000, 131_072).need,
        ..listed_entry(1)
    };
    let listed = [(worker(0), listed_entry(0)), (worker(1), large)];
    harness
        .scheduler
        .workers_listed(listed.into_iter().collect(), harness.now);
    harness.report(1, RenewalReport::default());
    assert_eq!(waits(&mut harness), [false]);
}

/// Regression test (LOST): the same with room that runs which last until they are stopped have taken for
/// good, and with best-effort tasks beside those that serve users on all workers.
#[test]
fn late_jobs_start_behind_others_that_wait_for_lasting_runs() {
    let lasting = StepSpec {
        target: ms(100),
        need: sized(1, 16_000, 100).need,
        ..long_running_step(2, 0)
    };
    let best_effort = StepSpec {
        best_effort: true,
        ..step(1)
    };
    for step_in_vain in [sized(1, 17_000, 100), best_effort] {
        let mut harness = SchedulerHarness::open(2);
        harness.accept(1, vec![lasting.clone()]);
        harness.settle();
        let lasting_runs = harness.confirm();
        assert_eq!(lasting_runs.len(), 2);
        accept_late(&mut harness, &step_in_vain, 2);
        harness.report_all(&lasting_runs, 2, 100);
        harness.settle();
        let started: Vec<JobId> = harness.starts.iter().map(|start| start.task.job).collect();
        assert_eq!(started, [JobId(2); 2]);
    }
}

/// Guards the order of a full pool: large tasks that only wait for others to end are not overtaken for good.
/// Smaller ones behind them start only if they are expected to end before the room of the first is free.
#[test]
fn small_tasks_do_not_delay_the_first_large_one_that_waits() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![sized(1, 16_000, 100)]);
    harness.settle();
    let long_run = harness.confirm();
    accept_late(&mut harness, &sized(1, 32_000, 100), 2);
    harness.report_all(&long_run, 1, 50);
    harness.settle();
    let jobs =
        |starts: &[RunOrder]| -> Vec<JobId> { starts.iter().map(|start| start.task.job).collect() };
    let short_runs = harness.confirm();
    assert_eq!(jobs(&short_runs), [JobId(2); 2], "they end long before");
    let long_step = StepSpec {
        estimate: ms(60_000),
        ..step(1)
    };
    harness.accept(3, vec![long_step]);
    harness.settle();
    assert_eq!(harness.starts, [], "it would outlast the run");
    for run in &short_runs {
        harness.end_beside(run, TaskEnd::Done, &long_run);
    }
    harness.report_all(&long_run, 1, 99);
    harness.accept(4, vec![step(2)]);
    harness.settle();
    assert_eq!(harness.starts, [], "the room is due");
    harness.end(&long_run[0], TaskEnd::Done);
    harness.settle();
    assert_eq!(jobs(&harness.starts), [JobId(101)]);
}

/// Guards against jobs that are left out for good: a worker that can run them may come later.
#[test]
fn a_job_that_no_worker_could_run_starts_on_a_later_worker() {
    let mut harness = SchedulerHarness::open(2);
    harness.accept(1, vec![sized(1, 33_000, 100), labelled("b")]);
    harness.settle();
    assert_eq!(harness.starts, []);
    let large = WorkerEntry {
        capacity: sized(1, 64_000, 131_072).need,
        labels: ["b".into()].into_iter().collect(),
        ..listed_entry(2)
    };
    let listed = (0..2).map(|number| (worker(number), listed_entry(number)));
    let listed = listed.chain([(worker(2), large)]).collect();
    harness.scheduler.workers_listed(listed, harness.now);
    harness.report(2, RenewalReport::default());
    harness.settle();
    let starts = harness.confirm();
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|start| start.worker == worker(2)));
    for start in &starts {
        harness.end(start, TaskEnd::Done);
    }
    harness.settle();
    assert_eq!(harness.scheduler.open_jobs(), 0);
}

/// Demand of pool `mould` after a job with the step has waited for some time, and the estimate for its
/// backlog.
fn demand_with(step_in_vain: &StepSpec, spare: Option<VmEntry>) -> (u64, u64) {
    let mut harness = SchedulerHarness::open(2);
    let vms = (0..2).map(|number| vm(number, "mould", VmState::Up));
    let vms = vms.chain(spare).collect();
    harness.scheduler.vms_listed(vms, harness.now, harness.now);
    harness.wait(200);
    harness.step();
    for id in 1..=WAITING_JOBS {
        harness.accept(id, vec![step_in_vain.clone()]);
    }
    harness.step();
    let mould = PoolName::new("mould");
    let summaries = harness.scheduler.pool_summaries();
    let summary = summaries.iter().find(|summary| summary.pool == mould);
    let drains = harness.scheduler.load_report().drains;
    (
        summary.expect("the pool is listed").demand,
        drains.get(&mould).map_or(0, |drain| drain.as_millis()),
    )
}

/// Regression test: jobs that no worker could run counted as demand and as backlog for as long as they
/// waited, so that VMs were moved for them and callers of other jobs refused.
#[test]
fn steps_that_no_vm_could_run_are_no_demand() {
    for (missing, step_in_vain) in impossible_steps() {
        assert_eq!(
            demand_with(&step_in_vain, None),
            (0, 0),
            "missing: {missing}"
        );
    }
}

/// Regression test: the same with room that runs which last until they are stopped have taken for good; the
/// jobs that waited for it counted as a backlog, and callers of others were refused.
#[test]
fn steps_that_wait_for_lasting_runs_are_no_demand() {
    let lasting = StepSpec {
        need: sized(1, 16_000, 100).need,
        ..long_running_step(2, 0)
    };
    let mut harness = SchedulerHarness::open(2);
    let vms = (0..2).map(|number| vm(number, "mould", VmState::Up));
    harness
        .scheduler
        .vms_listed(vms.collect(), harness.now, harness.now);
    harness.accept(1, vec![lasting]);
    harness.settle();
    let running = harness.confirm();
    harness.report_all(&running, 2, 100);
    harness.wait(200);
    harness.settle();
    let mould = PoolName::new("mould");
    let lasting_cpu = |harness: &SchedulerHarness| {
        let summaries = harness.scheduler.pool_summaries();
        let summary = summaries.iter().find(|summary| summary.pool == mould);
        summary.expect("the pool is listed").demand
    };
    assert_eq!(lasting_cpu(&harness), 32_000);
    for id in 1..=WAITING_JOBS {
        harness.accept(100 + id, vec![sized(1, 17_000, 100)]);
    }
    harness.settle();
    let drain = harness.scheduler.load_report().drains[&mould];
    assert_eq!((lasting_cpu(&harness), drain), (32_000, ms(0)));
}

/// Regression test: the work of jobs that no worker could run made the queue look overloaded until they were
/// late, and the newest job came first instead of the most urgent one.
#[test]
fn jobs_that_no_worker_could_run_leave_the_order_as_it_is() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![sized(1, 31_000, 100)]);
    harness.settle();
    let running = harness.confirm();
    for id in 1..=WAITING_JOBS {
        harness.accept(100 + id, vec![sized(1, 33_000, 100)]);
    }
    harness.accept(2, vec![step(1)]);
    harness.wait(100);
    harness.accept(3, vec![step(1)]);
    harness.settle();
    let started: Vec<JobId> = harness.starts.iter().map(|start| start.task.job).collect();
    assert_eq!(started, [JobId(2)]);
    assert_eq!(running.len(), 1);
}

/// Guards against a pool that gets no VM which could run its tasks: VMs of other pools may join it, and the
/// labels of those without a worker are unknown.
#[test]
fn steps_that_a_vm_of_another_pool_could_run_are_demand() {
    let spare = |cpu| VmEntry {
        capacity: Resources {
            cpu,
            ..entry("spare").capacity
        },
        worker: None,
        ..vm(9, "spare", VmState::Up)
    };
    for step_in_vain in [sized(1, 33_000, 100), labelled("b")] {
        let (demand, drain) = demand_with(&step_in_vain, Some(spare(64_000)));
        assert!(demand > 0 && drain > 0);
    }
    let (demand, _) = demand_with(&sized(1, 33_000, 100), Some(spare(32_000)));
    assert_eq!(demand, 0);
}
