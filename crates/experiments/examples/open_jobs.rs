//! Measures a step of the scheduler, and its load report, with jobs that are large or repeated often, on nine workers.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthhoist_core::{
    ClockTime, DataCentre, PoolName, WorkName, WorkerId,
    job::{
        CallerLimits, Effect, JobCatalogue, JobId, JobPool, JobSpec, JobTerms, RenewalReport,
        RepeatPlan, Resources, Scheduler, SchedulerLimits, StartReply, StepSpec, WorkerEntry,
        WorkerState,
    },
};
use jacinthhoist_experiments::FigureTable;
use serde::Serialize;

const WORKERS: usize = 9;
/// CPU of a worker, in thousandths of a core.
const WORKER_CPU: u64 = 32_000;
/// Number of measured steps.
const STEPS: u32 = 20;
/// Schedules that are open at once, and the time between two of their occurrences.
const SCHEDULES: u64 = 3_000;
const INTERVAL: ClockTime = ClockTime::from_secs(60);
/// Times that each schedule runs; few enough for releases that create all occurrences at once.
const TIMES: u32 = 100;
/// Large jobs that are open at once, and the tasks or steps of each.
const LARGE_JOBS: u64 = 100;
const TASKS: u16 = 10_000;
const JOB_STEPS: usize = 4_500;
const POOL: &str = "pool";

#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum JobKind {
    /// Schedules whose first time is an hour off.
    Scheduled,
    /// Schedules that have all come due at once.
    Due,
    /// Jobs of one step with the most tasks.
    ManyTasks,
    /// Jobs of thousands of steps.
    ManySteps,
}

#[derive(Serialize)]
struct OpenFigures {
    kind: JobKind,
    jobs: u64,
    step_ms: f64,
    report_ms: f64,
}

fn main() {
    let table = FigureTable::from_args();
    for kind in [
        JobKind::Scheduled,
        JobKind::Due,
        JobKind::ManyTasks,
        JobKind::ManySteps,
    ] {
        table.row("open_jobs", &run(kind));
    }
}

fn run(kind: JobKind) -> OpenFigures {
    let mut now = ClockTime::from_secs(1_000);
    let mut scheduler = Scheduler::open(SchedulerLimits::example(), catalogue(), now);
    let ids = (0..WORKERS).map(|number| WorkerId::new(&format!("i-{number}")));
    let listed: BTreeMap<WorkerId, WorkerEntry> = ids.map(|id| (id, entry())).collect();
    let ids: Vec<WorkerId> = listed.keys().cloned().collect();
    scheduler.workers_listed(listed, now);
    for id in &ids {
        let report = RenewalReport {
            incarnation: Some(1),
            clock: 1,
            ..RenewalReport::default()
        };
        scheduler.report(id, report, now, now + ClockTime::from_millis(1));
    }
    let jobs = match kind {
        JobKind::Scheduled | JobKind::Due => SCHEDULES,
        JobKind::ManyTasks | JobKind::ManySteps => LARGE_JOBS,
    };
    for id in 0..jobs {
        scheduler.accept(JobId(id), Arc::new(spec(kind, now)));
    }
    settle(&mut scheduler, &mut now);
    let (mut steps, mut reports) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..STEPS {
        now = now + ClockTime::from_millis(20);
        let begun = Instant::now();
        std::hint::black_box(scheduler.step(now));
        steps += begun.elapsed();
        let begun = Instant::now();
        std::hint::black_box(scheduler.load_report());
        reports += begun.elapsed();
    }
    let mean = |total: Duration| total.as_secs_f64() * 1e3 / f64::from(STEPS);
    OpenFigures {
        kind,
        jobs,
        step_ms: mean(steps),
        report_ms: mean(reports),
    }
}

fn spec(kind: JobKind, now: ClockTime) -> JobSpec {
    let step = StepSpec {
        count: 1,
        need: Resources {
            cpu: 1_000,
            mem_mb: 1,
            gpu: 0,
        },
        ..StepSpec::default()
    };
    let repeat = |start_at| RepeatPlan {
        times: TIMES,
        start_at,
        interval: INTERVAL,
    };
    let (steps, repeat) = match kind {
        JobKind::Scheduled => (vec![step], Some(repeat(now + ClockTime::from_secs(3_600)))),
        JobKind::Due => (vec![step], Some(repeat(now))),
        JobKind::ManyTasks => (
            vec![StepSpec {
                count: TASKS,
                ..step
            }],
            None,
        ),
        JobKind::ManySteps => {
            let next = StepSpec {
                after: [0].into_iter().collect(),
                ..step.clone()
            };
            let mut steps = vec![next; JOB_STEPS];
            steps[0] = step;
            (steps, None)
        }
    };
    JobSpec {
        tenant: None,
        work: WorkName::new(POOL),
        terms: JobTerms::example(POOL),
        received_at: now,
        received_on: None,
        payload: "x".into(),
        steps,
        repeat,
    }
}

/// Runs steps until all tasks with room have started.
fn settle(scheduler: &mut Scheduler, now: &mut ClockTime) {
    for _ in 0..6 {
        *now = *now + ClockTime::from_millis(20);
        let mut effects = scheduler.step(*now);
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::Store(batch) => {
                    scheduler.batch_stored(batch.number, *now);
                    effects.extend(scheduler.step(*now));
                }
                Effect::Start {
                    worker, task, run, ..
                } => scheduler.start_replied(&worker, task, run, StartReply::Started, *now),
                _ => {}
            }
        }
    }
}

fn entry() -> WorkerEntry {
    WorkerEntry {
        pool: PoolName::new(POOL),
        address: "127.0.0.1:9".into(),
        data_centre: DataCentre::new("dc-1"),
        state: WorkerState::Ready,
        capacity: Resources {
            cpu: WORKER_CPU,
            mem_mb: 131_072,
            gpu: 0,
        },
        labels: ["a".into(), "r-1".into()].into_iter().collect(),
        rack: None,
        incarnation: Some(1),
    }
}

fn catalogue() -> Arc<JobCatalogue> {
    Arc::new(JobCatalogue {
        unreadable: Vec::new(),
        tenants: None,
        version: 1,
        works: Vec::new(),
        pools: vec![JobPool {
            name: PoolName::new(POOL),
            spare: false,
            guarded: true,
            max_connections: 64,
        }],
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 262_144,
            head: ClockTime::from_millis(3_000),
            idle: ClockTime::from_millis(15_000),
        },
    })
}
