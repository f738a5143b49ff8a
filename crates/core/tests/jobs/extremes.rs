//! Numbers at the limits of their types, from callers, workers, operators and the platform.

use std::sync::Arc;

use jacinthhoist_core::{
    ClockTime,
    job::{
        JobCatalogue, JobId, JobProgress, JobSpec, JobState, RenewalReport, RepeatPlan, Resources,
        StepSpec, TaskEnd, UnknownLease, VmState, WaveRequest, WorkLoad, WorkerEntry, WorkerLease,
        admit_job,
    },
};
use serde_json::json;

use super::harness::{SchedulerHarness, catalogue, entry, ms, spec, step, vm, worker};

const MAX: ClockTime = ClockTime::from_millis(u64::MAX);

fn all(amount: u64) -> Resources {
    Resources {
        cpu: amount,
        mem_mb: amount,
        gpu: amount,
    }
}

fn step_with(need: Resources) -> StepSpec {
    StepSpec { need, ..step(1) }
}

/// Guards against sums that wrap around: a task that needs more than exists would have fitted onto a
/// worker that is in use, or the comparison would have ended the owner pipe.
#[test]
fn a_need_beyond_all_capacity_fits_nowhere() {
    let capacity = all(32_000);
    for need in [u64::MAX, u64::MAX - 1, 1 << 63] {
        assert!(!capacity.fits(&all(1_000), &all(need)), "{need}");
    }
    assert_eq!(all(u64::MAX).plus(&all(1)), all(u64::MAX));
}

/// Guards against a caller's job whose numbers overflow the sums of its pool.
#[test]
fn a_job_with_numbers_out_of_range_is_rejected() {
    let repeat = |start_at, interval| JobSpec {
        tenant: None,
        repeat: Some(RepeatPlan {
            times: 3,
            start_at,
            interval,
        }),
        ..JobSpec::clone(&spec(vec![step(1)], ms(1)))
    };
    let of_step = |step| JobSpec::clone(&spec(vec![step], ms(1)));
    let only = |need: fn(&mut Resources)| {
        let mut resources = Resources::default();
        need(&mut resources);
        of_step(step_with(resources))
    };
    let cases = [
        ("need", only(|need| need.cpu = u64::MAX)),
        ("need", only(|need| need.mem_mb = u64::MAX / 2)),
        ("need", only(|need| need.gpu = 1 << 32)),
        ("start", repeat(MAX, ms(1))),
        ("start", repeat(ms(1), MAX)),
        ("start", repeat(ms(1 << 63), ms(1 << 63))),
        ("start", JobSpec::clone(&spec(vec![step(1)], MAX))),
    ];
    for (field, job) in cases {
        let error = job.check().expect_err(field).to_string();
        assert!(error.contains(field), "{field}: {error}");
    }
    assert!(
        repeat(ms(1_790_000_000_000), ms(86_400_000))
            .check()
            .is_ok()
    );
    assert!(
        of_step(step_with(all(Resources::MAX_AMOUNT)))
            .check()
            .is_ok()
    );
}

/// Guards against one extreme number that ends the owner pipe at every step, in place of which the
/// others are served: the sums over workers, VMs, jobs and waves overflowed.
#[test]
fn the_largest_numbers_leave_other_jobs_in_service() {
    let mut harness = SchedulerHarness::open(2);
    let largest = all(Resources::MAX_AMOUNT);
    for number in 2..302 {
        let odd = WorkerEntry {
            capacity: largest,
            ..entry("melt")
        };
        harness
            .scheduler
            .worker_listed(worker(number), odd, harness.now);
        harness.report(number, RenewalReport::default());
    }
    let mut vms: Vec<_> = (0..2)
        .map(|number| vm(number, "mould", VmState::Up))
        .collect();
    vms.extend((2..302).map(|number| {
        let mut odd = vm(number, "melt", VmState::Up);
        odd.capacity = all(u64::MAX);
        odd
    }));
    let waved = vms.iter().map(|vm| vm.vm.clone()).collect();
    harness.scheduler.vms_listed(vms, harness.now, harness.now);
    let request = WaveRequest {
        number: u64::MAX,
        vms: waved,
        within: MAX,
        cap: usize::MAX,
    };
    harness.scheduler.request_wave(request, harness.now);
    for id in 2..8 {
        let mut wide = step_with(largest);
        wide.count = 1_000;
        harness.accept(id, vec![wide]);
    }
    harness.accept(1, vec![step(3)]);
    let mut ended = 0;
    for _ in 0..10 {
        harness.wait(100);
        harness.settle();
        for start in harness.confirm() {
            if start.task.job == JobId(1) {
                harness.end(&start, TaskEnd::Done);
                ended += 1;
            }
        }
        assert!(!harness.scheduler.pool_summaries().is_empty());
        assert!(!harness.scheduler.loads().is_empty());
    }
    assert_eq!(ended, 3);
    assert_eq!(harness.scheduler.state(JobId(1)), Some(JobState::Completed));
}

/// Guards against a worker's clock at the end of its range: the next deadline wrapped around.
#[test]
fn a_lease_at_the_end_of_a_clock_does_not_wrap() {
    let mut lease = WorkerLease::Unknown(UnknownLease {
        since: ms(10),
        max_span: ms(6_000),
        stored_expiry: Some(MAX),
        former_until: MAX,
    });
    lease.read(u64::MAX - 5, ms(20));
    assert_eq!(lease.extend(ms(6_000), ms(30)), Some(u64::MAX));
    assert!(lease.latest_expiry() > ms(20));
    let unbounded = UnknownLease {
        since: ms(10),
        max_span: MAX,
        stored_expiry: None,
        former_until: ms(0),
    };
    assert_eq!(unbounded.latest_expiry(), MAX);
}

/// Guards against an objective at the end of its range, which ended the call of a caller.
#[test]
fn a_job_of_an_unbounded_objective_is_admitted() {
    let load = WorkLoad {
        drain: ms(9_000),
        waiting: u32::MAX,
        task: MAX,
    };
    assert!(admit_job(&load, MAX).is_ok());
}

/// Guards against an objective whose end lies beyond all times: when a job of such a work ended, the
/// time left until it overflowed.
#[test]
fn a_job_of_an_extreme_objective_ends() {
    let mut harness = SchedulerHarness::open(1);
    // With the last one, the end of the objective is the first time beyond the signed numbers.
    let last = ms((1 << 63) - harness.now.as_millis());
    for (id, objective) in [(1, MAX), (2, ms(1 << 63)), (3, last)] {
        let mut catalogue = JobCatalogue::clone(&catalogue());
        catalogue.works[0].objective = objective;
        harness.scheduler.set_catalogue(Arc::new(catalogue));
        harness.accept(id, vec![step(1)]);
        harness.settle();
        for start in harness.confirm() {
            harness.end(&start, TaskEnd::Done);
        }
        harness.settle();
        let state = harness.scheduler.state(JobId(id));
        assert_eq!(state, Some(JobState::Completed), "{objective}");
    }
}

/// Guards against a stored run number after which there is none: the owner pipe ended in each
/// takeover that restored it.
#[test]
fn the_last_run_number_does_not_stop_the_other_jobs() {
    let task = json!([0, u32::MAX, u8::MAX, u16::MAX, null]);
    let progress = json!({"ended": null, "workers": [], "occurrences": [[[task]]]});
    let progress: JobProgress = serde_json::from_value(progress).unwrap();
    let mut harness = SchedulerHarness::open(1);
    for (id, gang) in [(1, false), (2, true)] {
        let step = StepSpec {
            gang,
            long_running: true,
            ..step(1)
        };
        let spec = spec(vec![step], harness.now);
        harness.scheduler.restore(JobId(id), Some(spec), &progress);
    }
    harness.accept(3, vec![step(1)]);
    harness.settle();
    let starts = harness.confirm();
    let own = starts.iter().find(|start| start.task.job == JobId(3));
    harness.end(own.expect("the job is started"), TaskEnd::Done);
    harness.settle();
    assert_eq!(harness.scheduler.state(JobId(3)), Some(JobState::Completed));
}
