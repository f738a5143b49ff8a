//! Measures a step of the scheduler while thousands of jobs of one pool wait, by the number of shapes
//! that their tasks have, and by the number of tenants that have submitted them.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthhoist_core::{
    ClockTime, DataCentre, PoolName, TenantName, WorkName, WorkerId,
    job::{
        CallerLimits, Effect, JobCatalogue, JobId, JobPool, JobSpec, JobTerms, JobWork,
        RenewalReport, Resources, Scheduler, SchedulerLimits, StartReply, StepSpec, TenantLimit,
        TenantTable, TenantTerms, WorkerEntry, WorkerState,
    },
};
use jacinthhoist_experiments::FigureTable;
use serde::Serialize;

const SIZES_WORKERS: [usize; 2] = [400, 1_200];
const SHAPES: [u64; 3] = [1, 10, 100];
/// Numbers of tenants that are compared, with this number of shapes.
const TENANTS: [u64; 3] = [0, 20, 200];
const TENANT_SHAPES: u64 = 10;
/// Number of jobs that wait, each with four tasks.
const WAITING_JOBS: u64 = 4_000;
/// CPU of a worker, in thousandths of a core, and the part of it that runs take.
const WORKER_CPU: u64 = 32_000;
const USED_CPU: u64 = 31_000;
/// Number of measured steps.
const STEPS: u32 = 20;
const POOL: &str = "pool";

/// What the jobs wait for.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum WaitKind {
    /// Others have to end.
    Room,
    /// No worker has that much CPU.
    NoFit,
    /// The step has a task on each worker.
    StepLimit,
}

#[derive(Serialize)]
struct WaitingFigures {
    kind: WaitKind,
    workers: usize,
    shapes: u64,
    waiting_jobs: u64,
    tenants: u64,
    step_ms: f64,
}

fn main() {
    let table = FigureTable::from_args();
    for workers in SIZES_WORKERS {
        for kind in [WaitKind::Room, WaitKind::NoFit, WaitKind::StepLimit] {
            for shapes in SHAPES {
                table.row("waiting", &run(kind, workers, shapes, 0));
            }
        }
        for kind in [WaitKind::Room, WaitKind::StepLimit] {
            for tenants in TENANTS {
                table.row("tenants", &run(kind, workers, TENANT_SHAPES, tenants));
            }
        }
    }
}

fn run(kind: WaitKind, workers: usize, shapes: u64, tenants: u64) -> WaitingFigures {
    let mut now = ClockTime::from_secs(1_000);
    let mut scheduler = Scheduler::open(SchedulerLimits::example(), catalogue(tenants), now);
    let ids = (0..workers).map(|number| WorkerId::new(&format!("i-{number}")));
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
    let running = StepSpec {
        count: workers as u16,
        max_per_worker: 1,
        ..step(USED_CPU)
    };
    let waiting_jobs = match kind {
        WaitKind::StepLimit => 100,
        WaitKind::Room | WaitKind::NoFit => WAITING_JOBS,
    };
    if !matches!(kind, WaitKind::StepLimit) {
        accept(&mut scheduler, 0, running, tenants, now);
    }
    settle(&mut scheduler, &mut now);
    for number in 0..waiting_jobs {
        let shape = number % shapes;
        let estimate = ClockTime::from_millis(500 + number);
        let waiting = match kind {
            WaitKind::Room => StepSpec {
                count: 4,
                estimate,
                ..step(2_000 + shape)
            },
            WaitKind::NoFit => StepSpec {
                count: 4,
                estimate,
                ..step(WORKER_CPU + 1 + shape)
            },
            WaitKind::StepLimit => StepSpec {
                count: workers as u16 + 1,
                max_per_worker: 1,
                estimate,
                ..step(10 + shape)
            },
        };
        accept(&mut scheduler, 1 + number, waiting, tenants, now);
    }
    settle(&mut scheduler, &mut now);
    let mut total = Duration::ZERO;
    for _ in 0..STEPS {
        now = now + ClockTime::from_millis(20);
        let begun = Instant::now();
        std::hint::black_box(scheduler.step(now));
        total += begun.elapsed();
    }
    WaitingFigures {
        kind,
        workers,
        shapes,
        waiting_jobs,
        tenants,
        step_ms: total.as_secs_f64() * 1e3 / f64::from(STEPS),
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

fn tenant(number: u64) -> TenantName {
    TenantName::new(&format!("tenant-{number}"))
}

fn accept(scheduler: &mut Scheduler, id: u64, step: StepSpec, tenants: u64, now: ClockTime) {
    let spec = JobSpec {
        tenant: (tenants > 0).then(|| tenant(id % tenants)),
        work: WorkName::new(POOL),
        terms: JobTerms::example(POOL),
        received_at: now,
        received_on: None,
        payload: "x".into(),
        steps: vec![step],
        repeat: None,
    };
    scheduler.accept(JobId(id), Arc::new(spec));
}

fn step(cpu: u64) -> StepSpec {
    StepSpec {
        need: Resources {
            cpu,
            mem_mb: 1,
            gpu: 0,
        },
        ..StepSpec::default()
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

fn catalogue(tenants: u64) -> Arc<JobCatalogue> {
    let terms = (0..tenants).map(|number| TenantTerms {
        name: tenant(number),
        keys: Default::default(),
        rate: 1_000.0,
        // Far above what runs, so that each job is searched for.
        limit: TenantLimit(Resources {
            cpu: 1_000_000_000,
            ..Resources::default()
        }),
    });
    let table = TenantTable::open(terms.collect()).expect("distinct names");
    Arc::new(JobCatalogue {
        unreadable: Vec::new(),
        tenants: (tenants > 0).then_some(table),
        version: 1,
        works: vec![JobWork {
            public: false,
            name: WorkName::new(POOL),
            host: "pool.example".to_owned(),
            path_prefix: "/".to_owned(),
            pool: PoolName::new(POOL),
            priority: 0,
            max_failures: 2,
            stretch: 1.6,
            objective: ClockTime::from_millis(600),
            timeout: ClockTime::from_secs(3),
            advice: None,
        }],
        pools: vec![JobPool {
            name: PoolName::new(POOL),
            spare: false,
            guarded: true,
            max_connections: 64,
        }],
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 262_144,
            head: ClockTime::from_secs(3),
            idle: ClockTime::from_secs(15),
        },
    })
}
