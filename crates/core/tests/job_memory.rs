//! Measures the memory that accepted jobs take at an owner. One test, as the allocator counts for the whole process.

use std::sync::Arc;

use jacinthhoist_core::{
    ClockTime, DataCentre, PoolName, WorkName, WorkerId,
    job::{
        CallerLimits, Effect, EndedRun, JobCatalogue, JobId, JobProgress, JobSpec, JobTerms,
        RenewalReport, RepeatPlan, Resources, Scheduler, SchedulerLimits, StartReply, StepSpec,
        TaskEnd, WorkerEntry, WorkerState, job_bytes,
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
    let [early, late] = run_schedule();
    assert!(late < early + 4_096, "{early} bytes, then {late}");
}

/// Runs a schedule whose tasks fail once each time; returns the bytes that are taken after some occurrences and after
/// many more.
fn run_schedule() -> [usize; 2] {
    let mut scheduler = scheduler();
    let worker = WorkerId::new("i-0");
    let entry = WorkerEntry {
        pool: PoolName::new("moulding-desk"),
        address: "127.0.0.1:9".into(),
        data_centre: DataCentre::new("dc-1"),
        state: WorkerState::Ready,
        capacity: Resources {
            cpu: 32_000,
            mem_mb: 65_536,
            gpu: 0,
        },
        labels: Default::default(),
        rack: None,
        incarnation: Some(1),
    };
    scheduler.workers_listed([(worker.clone(), entry)].into_iter().collect(), NOW);
    let mut spec = schedule();
    spec.terms.max_failures = 3;
    spec.repeat = Some(RepeatPlan {
        times: 1_000_000,
        start_at: NOW,
        interval: ClockTime::from_secs(10),
    });
    scheduler.accept(JobId(1), Arc::new(spec));
    let before = ALLOCATOR.current_usage();
    let (mut now, mut ends, mut number) = (NOW, Vec::new(), 0);
    [500, 2_500].map(|until| {
        while scheduler
            .job(JobId(1))
            .expect("it is open")
            .occurrences
            .count_done()
            < until
        {
            now = now + ClockTime::from_millis(500);
            let report = RenewalReport {
                incarnation: Some(1),
                clock: 1,
                ended: std::mem::take(&mut ends),
                ..RenewalReport::default()
            };
            scheduler.report(&worker, report, now, now + ClockTime::from_millis(1));
            now = now + ClockTime::from_millis(20);
            let mut effects = scheduler.step(now);
            while let Some(effect) = effects.pop() {
                match effect {
                    Effect::Store(batch) => {
                        scheduler.batch_stored(batch.number, now);
                        effects.extend(scheduler.step(now));
                    }
                    Effect::Start { task, run, .. } => {
                        scheduler.start_replied(&worker, task, run, StartReply::Started, now);
                        number += 1;
                        ends.push(EndedRun {
                            number,
                            task,
                            run,
                            end: if run == 1 {
                                TaskEnd::Failed
                            } else {
                                TaskEnd::Done
                            },
                            checkpoint: None,
                        });
                    }
                    _ => {}
                }
            }
        }
        ALLOCATOR.current_usage().saturating_sub(before)
    })
}
