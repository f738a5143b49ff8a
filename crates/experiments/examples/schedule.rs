//! Measures the scheduler's decisions at growing sizes, with pools and jobs in proportion to
//! workers.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthhoist_core::{
    ClockTime, DataCentre, PoolName, VmName, WorkName, WorkerId,
    job::{
        CallerLimits, Effect, EndedRun, JobCatalogue, JobId, JobPool, JobSpec, JobTerms, JobWork,
        RenewalReport, Resources, Scheduler, SchedulerLimits, StartReply, StepSpec, TaskEnd,
        TaskKey, VmEntry, VmState, WorkerEntry, WorkerState,
    },
};
use jacinthhoist_experiments::{FigureTable, resident_bytes};
use serde::Serialize;

/// Numbers of workers, up to the largest planned size.
const SIZES_WORKERS: [usize; 4] = [50, 200, 600, 1_200];
/// Number of workers of a pool.
const WORKERS_PER_POOL: usize = 23;
/// Number of rounds of a run; a round is 20 ms of scheduler time.
const ROUNDS: u64 = 300;
/// Duration of a task in rounds.
const TASK_ROUNDS: u64 = 40;
/// Number of tasks of a job.
const TASKS_PER_JOB: u16 = 6;

#[derive(Serialize)]
struct ScheduleFigures {
    workers: usize,
    pools: usize,
    tasks: u64,
    step_us: f64,
    step_max_us: f64,
    task_us: f64,
    resident_mb: f64,
}

/// Scheduler with simulated workers, which run each task for a fixed number of rounds.
struct SchedulerBench {
    scheduler: Scheduler,
    now: ClockTime,
    pools: usize,
    next_job: u64,
    running: BTreeMap<u64, Vec<(WorkerId, TaskKey, u32)>>,
    end_counts: BTreeMap<WorkerId, u64>,
    started: u64,
}

fn main() {
    let table = FigureTable::from_args();
    for workers in SIZES_WORKERS {
        table.row("schedule", &run(workers));
    }
}

fn run(workers: usize) -> ScheduleFigures {
    let mut bench = SchedulerBench::open(workers);
    let (mut total, mut max_step) = (Duration::ZERO, Duration::ZERO);
    for round in 0..ROUNDS {
        let step_time = bench.round(round, workers);
        total += step_time;
        max_step = max_step.max(step_time);
    }
    let total_us = total.as_secs_f64() * 1e6;
    ScheduleFigures {
        workers,
        pools: bench.pools,
        tasks: bench.started,
        step_us: total_us / ROUNDS as f64,
        step_max_us: max_step.as_secs_f64() * 1e6,
        task_us: total_us / bench.started.max(1) as f64,
        resident_mb: resident_bytes() as f64 / 1e6,
    }
}

impl SchedulerBench {
    fn open(workers: usize) -> Self {
        let pools = workers.div_ceil(WORKERS_PER_POOL);
        let now = ClockTime::from_secs(1_000);
        let scheduler = Scheduler::open(SchedulerLimits::example(), catalogue(pools), now);
        let mut bench = Self {
            scheduler,
            now,
            pools,
            next_job: 0,
            running: BTreeMap::new(),
            end_counts: BTreeMap::new(),
            started: 0,
        };
        let listed = (0..workers).map(|number| (worker(number), entry(number % pools)));
        bench.scheduler.workers_listed(listed.collect(), now);
        let vms = (0..workers).map(|number| vm(number, number % pools));
        bench.scheduler.vms_listed(vms.collect(), now, now);
        for number in 0..workers {
            bench.report(&worker(number), Vec::new());
        }
        bench
    }

    /// Runs one round and returns the time that its decisions took.
    fn round(&mut self, round: u64, workers: usize) -> Duration {
        self.now = self.now + ClockTime::from_millis(20);
        for _ in 0..workers.div_ceil(50) {
            self.submit();
        }
        let ended = self.running.remove(&round).unwrap_or_default();
        let step_start = Instant::now();
        for (id, task, run) in ended {
            self.end(&id, task, run);
        }
        let effects = self.scheduler.step(self.now);
        self.apply_effects(round, effects);
        if round.is_multiple_of(10) {
            std::hint::black_box(self.scheduler.load_report());
        }
        step_start.elapsed()
    }

    fn apply_effects(&mut self, round: u64, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Store(batch) => {
                    self.scheduler.batch_stored(batch.number, self.now);
                    let released = self.scheduler.step(self.now);
                    self.apply_effects(round, released);
                }
                Effect::Start {
                    worker, task, run, ..
                } => {
                    let reply = StartReply::Started;
                    self.scheduler
                        .start_replied(&worker, task, run, reply, self.now);
                    self.started += 1;
                    let ending = self.running.entry(round + TASK_ROUNDS).or_default();
                    ending.push((worker, task, run));
                }
                Effect::RemoveBodies(jobs) => self.scheduler.bodies_removed(&jobs),
                _ => {}
            }
        }
    }

    fn submit(&mut self) {
        self.next_job += 1;
        let pool = self.next_job as usize % self.pools;
        let step = StepSpec {
            count: TASKS_PER_JOB,
            need: Resources {
                cpu: 1_800,
                mem_mb: 3_600,
                gpu: 0,
            },
            ..StepSpec::default()
        };
        let spec = JobSpec {
            tenant: None,
            work: WorkName::new(&format!("work-{pool}")),
            terms: JobTerms::example(&format!("pool-{pool}")),
            received_at: self.now,
            received_on: None,
            payload: "x".into(),
            steps: vec![step],
            repeat: None,
        };
        self.scheduler.accept(JobId(self.next_job), Arc::new(spec));
    }

    fn end(&mut self, id: &WorkerId, task: TaskKey, run: u32) {
        let number = self.end_counts.entry(id.clone()).or_default();
        *number += 1;
        let row = EndedRun {
            number: *number,
            task,
            run,
            end: TaskEnd::Done,
            checkpoint: None,
        };
        self.report(id, vec![row]);
    }

    fn report(&mut self, id: &WorkerId, ended: Vec<EndedRun>) {
        let report = RenewalReport {
            clock: self.now.as_millis(),
            incarnation: Some(1),
            running: Vec::new(),
            ended,
            has_more_ends: false,
        };
        // Requested before any start, so that the scheduler does not treat unlisted runs as lost.
        let requested_at = ClockTime::from_secs(1);
        self.scheduler.report(id, report, requested_at, self.now);
    }
}

fn worker(number: usize) -> WorkerId {
    WorkerId::new(&format!("i-{number}"))
}

fn pool_name(pool: usize) -> PoolName {
    PoolName::new(&format!("pool-{pool}"))
}

fn entry(pool: usize) -> WorkerEntry {
    WorkerEntry {
        pool: pool_name(pool),
        address: "127.0.0.1:9".into(),
        data_centre: DataCentre::new("dc-1"),
        state: WorkerState::Ready,
        capacity: capacity(),
        labels: ["a".into()].into_iter().collect(),
        rack: None,
        incarnation: Some(1),
    }
}

fn vm(number: usize, pool: usize) -> VmEntry {
    VmEntry {
        vm: VmName::new(&format!("m-{number}")),
        pool: pool_name(pool),
        state: VmState::Up,
        rack: None,
        capacity: capacity(),
        worker: Some(worker(number)),
    }
}

fn capacity() -> Resources {
    Resources {
        cpu: 32_000,
        mem_mb: 131_072,
        gpu: 0,
    }
}

fn catalogue(pools: usize) -> Arc<JobCatalogue> {
    let work = |pool: usize| JobWork {
        public: false,
        name: WorkName::new(&format!("work-{pool}")),
        host: format!("pool-{pool}.example"),
        path_prefix: "/".to_owned(),
        pool: pool_name(pool),
        priority: 0,
        max_failures: 2,
        stretch: 1.6,
        objective: ClockTime::from_millis(600),
        timeout: ClockTime::from_secs(3),
        advice: None,
    };
    let pool = |pool: usize| JobPool {
        name: pool_name(pool),
        spare: false,
        guarded: true,
        max_connections: 64,
    };
    Arc::new(JobCatalogue {
        unreadable: Vec::new(),
        tenants: None,
        version: 1,
        works: (0..pools).map(work).collect(),
        pools: (0..pools).map(pool).collect(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 262_144,
            head: ClockTime::from_secs(3),
            idle: ClockTime::from_secs(15),
        },
    })
}
