//! Measures the memory that accepted jobs take at an owner. One test, as the allocator counts for the whole process.

use std::sync::Arc;

use jacinthhoist_core::{
    ClockTime, WorkName,
    job::{
        CallerLimits, JobCatalogue, JobId, JobProgress, JobSpec, JobTerms, RepeatPlan, Scheduler,
        SchedulerLimits, StepSpec, job_bytes,
    },
};
use peak_alloc::PeakAlloc;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Memory that an installation's smallest members have for jobs: a quarter of 160 MB.
const SMALLEST_JOB_MEMORY: usize = 40 << 20;
/// Time of day in the tests.
const NOW: ClockTime = ClockTime::from_millis(1_800_000_000_000);

type JobBuilder = fn() -> JobSpec;

fn scheduler() -> Scheduler {
    let catalogue = JobCatalogue {
        unreadable: Vec::new(),
        version: 1,
        works: Vec::new(),
        pools: Vec::new(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 262_144,
            head: ClockTime::from_secs(3),
            idle: ClockTime::from_secs(15),
        },
        tenants: None,
    };
    Scheduler::open(SchedulerLimits::example(), Arc::new(catalogue), NOW)
}

/// Builds a job as it is decoded from a record, which shares nothing with others.
fn spec(steps: Vec<StepSpec>, repeat: Option<RepeatPlan>) -> JobSpec {
    JobSpec {
        work: WorkName::new("pattern-check"),
        terms: JobTerms::example("moulding-desk"),
        tenant: None,
        received_at: NOW,
        received_on: Some("front-munster-a-1|10.1.0.9:7060|1800000000000|regular".into()),
        payload: "x".repeat(200).into(),
        steps,
        repeat,
    }
}

/// Runs once a minute for nearly a week, from an hour on.
fn schedule() -> JobSpec {
    let repeat = RepeatPlan {
        times: 10_000,
        start_at: NOW + ClockTime::from_secs(3_600),
        interval: ClockTime::from_secs(60),
    };
    let step = StepSpec {
        count: 1,
        ..StepSpec::default()
    };
    spec(vec![step], Some(repeat))
}

fn many_steps() -> JobSpec {
    let first = StepSpec {
        count: 1,
        ..StepSpec::default()
    };
    let next = StepSpec {
        after: [0].into_iter().collect(),
        ..first.clone()
    };
    let mut steps = vec![next; 4_500];
    steps[0] = first;
    spec(steps, None)
}

/// Step that depends on each of very many others.
fn wide_dependencies() -> JobSpec {
    let mut steps = vec![
        StepSpec {
            count: 1,
            ..StepSpec::default()
        };
        2_000
    ];
    for (number, step) in (0u16..).zip(&mut steps).skip(1_900) {
        step.after = (0..number).collect();
    }
    spec(steps, None)
}

fn wide_step() -> JobSpec {
    let step = StepSpec {
        count: 10_000,
        ..StepSpec::default()
    };
    spec(vec![step], None)
}

/// Bytes that jobs take once they are accepted, and those of a takeover.
fn measure(count: usize, job: JobBuilder) -> [usize; 2] {
    let ids = || (0..count as u64).map(JobId);
    [false, true].map(|is_takeover| {
        let mut scheduler = scheduler();
        let before = ALLOCATOR.current_usage();
        for id in ids() {
            let spec = Arc::new(job());
            if is_takeover {
                scheduler.restore(id, Some(spec), &JobProgress::default());
            } else {
                scheduler.accept(id, spec);
            }
        }
        scheduler.step(NOW);
        assert_eq!(scheduler.open_jobs(), count);
        ALLOCATOR.current_usage().saturating_sub(before)
    })
}

/// Guards against jobs that are small on the wire and large at their owner, which ended it and each next one while it
/// took over (LOST): 240 schedules took 480 MB, as the state of each occurrence was created at once.
#[test]
fn jobs_take_no_more_memory_than_they_are_counted_with() {
    let cases: [(&str, usize, JobBuilder); 4] = [
        ("schedules", 240, schedule),
        ("many steps", 20, many_steps),
        ("wide dependencies", 20, wide_dependencies),
        ("a wide step", 20, wide_step),
    ];
    for (name, count, job) in cases {
        let counted = job_bytes(&job()) as usize * count;
        for measured in measure(count, job) {
            assert!(measured <= counted, "{name}: {measured} of {counted}");
        }
    }
    let [accepted, taken_over] = measure(240, schedule);
    assert!(accepted < SMALLEST_JOB_MEMORY / 10, "{accepted}");
    assert!(taken_over < SMALLEST_JOB_MEMORY / 10, "{taken_over}");
}
