//! Times the owner's decisions at growing sizes: workers, pools and jobs in proportion.

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

/// Workers of each run, up to the size to come.
const SIZES: [usize; 4] = [50, 200, 600, 1_200];
/// Workers of a pool.
const POOL_SIZE: usize = 23;
/// Rounds of a run; a round is 20 ms of the scheduler's time.
const ROUNDS: u64 = 300;
/// Rounds for which a task runs.
const TASK_ROUNDS: u64 = 40;
/// Tasks of a job.
const JOB_TASKS: u16 = 6;

#[derive(Serialize)]
struct Figures {
    workers: usize,
    pools: usize,
    tasks: u64,
    step_us: f64,
    step_max_us: f64,
    task_us: f64,
    resident_mb: f64,
}

/// A scheduler with workers that run each task for some rounds.
struct Bench {
    scheduler: Scheduler,
    now: ClockTime,
    pools: usize,
    next_job: u64,
    running: BTreeMap<u64, Vec<(WorkerId, TaskKey, u32)>>,
    ends: BTreeMap<WorkerId, u64>,
    started: u64,
}

fn main() {
    let table = FigureTable::from_args();
    for workers in SIZES {
        table.row("schedule", &run(workers));
    }
}

fn run(workers: usize) -> Figures {
    let mut bench = Bench::open(workers);
    let (mut total, mut longest) = (Duration::ZERO, Duration::ZERO);
    for round in 0..ROUNDS {
        let took = bench.round(round, workers);
        total += took;
        longest = longest.max(took);
    }
    let micros = total.as_secs_f64() * 1e6;
    Figures {
        workers,
        pools: bench.pools,
        tasks: bench.started,
        step_us: micros / ROUNDS as f64,
        step_max_us: longest.as_secs_f64() * 1e6,
        task_us: micros / bench.started.max(1) as f64,
        resident_mb: resident_bytes() as f64 / 1e6,
    }
}

impl Bench {
    fn open(workers: usize) -> Self {
        let pools = workers.div_ceil(POOL_SIZE);
        let now = ClockTime::from_secs(1_000);
        let scheduler = Scheduler::open(SchedulerLimits::example(), catalogue(pools), now);
        let mut bench = Self {
            scheduler,
            now,
            pools,
            next_job: 0,
            running: BTreeMap::new(),
            ends: BTreeMap::new(),
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

    /// One round; the time that its decisions took.
    fn round(&mut self, round: u64, workers: usize) -> Duration {
        self.now = self.now + ClockTime::from_millis(20);
        for _ in 0..workers.div_ceil(50) {
            self.hand_in();
        }
        let ended = self.running.remove(&round).unwrap_or_default();
        let began = Instant::now();
        for (id, task, run) in ended {
            self.end(&id, task, run);
        }
        let effects = self.scheduler.step(self.now);
        self.perform(round, effects);
        if round.is_multiple_of(10) {
            std::hint::black_box(self.scheduler.loads());
        }
        began.elapsed()
    }

    fn perform(&mut self, round: u64, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Store(batch) => {
                    self.scheduler.batch_stored(batch.number, self.now);
                    let released = self.scheduler.step(self.now);
                    self.perform(round, released);
                }
                Effect::Start {
                    worker, task, run, ..
                } => {
                    let reply = StartReply::Started;
                    self.scheduler
                        .start_replied(&worker, task, run, reply, self.now);
                    self.started += 1;
                    let due = self.running.entry(round + TASK_ROUNDS).or_default();
                    due.push((worker, task, run));
                }
                Effect::RemoveBodies(jobs) => self.scheduler.bodies_removed(&jobs),
                _ => {}
            }
        }
    }

    fn hand_in(&mut self) {
        self.next_job += 1;
        let pool = self.next_job as usize % self.pools;
        let step = StepSpec {
            count: JOB_TASKS,
            need: Resources {
                cpu: 1_800,
                mem_mb: 3_600,
                gpu: 0,
            },
            ..StepSpec::default()
        };
        let spec = JobSpec {
            work: WorkName::new(&format!("work-{pool}")),
            terms: JobTerms::example(&format!("pool-{pool}")),
            received_at: self.now,
            payload: "x".into(),
            steps: vec![step],
            repeat: None,
        };
        self.scheduler.accept(JobId(self.next_job), Arc::new(spec));
    }

    fn end(&mut self, id: &WorkerId, task: TaskKey, run: u32) {
        let number = self.ends.entry(id.clone()).or_default();
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
        };
        // Asked for before anything was started, so that what it does not list is not judged.
        let asked_at = ClockTime::from_secs(1);
        self.scheduler.report(id, report, asked_at, self.now);
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
