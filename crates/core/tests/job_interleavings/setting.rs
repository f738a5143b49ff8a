//! Limits, catalogue and jobs of the schedules.

use std::sync::Arc;

use jacinthhoist_core::{
    ClockTime, DataCentre, PoolName, TenantName, WorkName,
    job::{
        CallerLimits, JobCatalogue, JobId, JobPool, JobSpec, JobTerms, JobWork,
        MAX_CONCURRENT_ORDERS, OrderReply, Resources, SchedulerLimits, StartReply, StepSpec,
        TenantLimit, TenantTable, TenantTerms, WorkerEntry, WorkerState,
    },
};
use rand::{RngExt, rngs::StdRng};
use smallvec::SmallVec;

use crate::{
    engine::{CallOutcome, WorkerCall},
    worker::{LONGEST_LEASE_MS, WorkerProcess, WorkerShape},
    world::address_of,
};

/// Processor capacity of a worker, in thousandths of a core.
const CAPACITY_CPU: u64 = 4_000;
/// Capacity of a small worker, on which any task has room.
const SMALL_CPU: u64 = 2_500;
/// Part of the steps that require a label where workers differ.
const LABELLED_SHARE: f64 = 0.4;

const POOL: &str = "mould";

fn ms(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

pub(crate) fn limits() -> SchedulerLimits {
    SchedulerLimits {
        max_lease: ms(3_500),
        longest_lease: ms(LONGEST_LEASE_MS),
        missing_grace: ms(2_000),
        concurrent_starts: MAX_CONCURRENT_ORDERS,
        ..SchedulerLimits::example()
    }
}

/// Processor limits of the tenants, in thousandths of a core: the largest gang, and less than the largest task.
const TENANT_LIMITS: [(&str, u64); 3] = [("labs", 2_600), ("mills", 2_000), ("yards", 4_000)];

fn tenants() -> TenantTable {
    let terms = TENANT_LIMITS.map(|(name, cpu)| TenantTerms {
        name: TenantName::new(name),
        keys: SmallVec::new(),
        rate: 1.0,
        limit: TenantLimit(Resources {
            cpu,
            ..Resources::default()
        }),
    });
    TenantTable::open(terms.to_vec()).expect("distinct names")
}

/// Tenant that submits a job.
pub(crate) fn tenant_of(job: JobId) -> TenantName {
    let (name, _) = TENANT_LIMITS[job.0 as usize % TENANT_LIMITS.len()];
    TenantName::new(name)
}

/// Processor limit of a tenant.
pub(crate) fn limit_of(tenant: &TenantName) -> u64 {
    let mut limits = TENANT_LIMITS.into_iter();
    let row = limits.find(|(name, _)| *name == tenant.as_str());
    row.expect("a tenant of the table").1
}

pub(crate) fn catalogue(guarded: bool, has_tenants: bool) -> Arc<JobCatalogue> {
    Arc::new(JobCatalogue {
        unreadable: Vec::new(),
        tenants: has_tenants.then(tenants),
        version: 1,
        works: vec![JobWork {
            public: false,
            name: WorkName::new(POOL),
            host: "mould.example".to_owned(),
            path_prefix: "/".to_owned(),
            pool: PoolName::new(POOL),
            priority: 0,
            max_failures: 2,
            stretch: 1.6,
            objective: ms(600),
            timeout: ms(3_000),
            advice: None,
        }],
        pools: vec![JobPool {
            name: PoolName::new(POOL),
            spare: false,
            guarded,
            max_connections: 64,
        }],
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 262_144,
            head: ms(3_000),
            idle: ms(15_000),
        },
    })
}

/// Start time of a process that begins at `began_at`, as it says in its reports.
pub(crate) fn incarnation(began_at: u64) -> u64 {
    1_700_000_000_000 + began_at
}

/// Shape of all workers where they do not differ.
pub(crate) fn usual_shape() -> WorkerShape {
    WorkerShape {
        label: "a",
        cpu: CAPACITY_CPU,
    }
}

/// Draws the shape of a process.
pub(crate) fn draw_shape(random: &mut StdRng) -> WorkerShape {
    WorkerShape {
        label: ["a", "b"][random.random_range(0..2)],
        cpu: [CAPACITY_CPU, SMALL_CPU][random.random_range(0..2)],
    }
}

/// Lets some steps of a job run only on workers with a label.
pub(crate) fn require_labels(spec: &mut JobSpec, random: &mut StdRng) {
    for step in &mut spec.steps {
        let is_labelled = random.random_bool(LABELLED_SHARE);
        step.requires = is_labelled.then(|| usual_shape().label.into());
    }
}

pub(crate) fn entry(address: usize, process: &WorkerProcess) -> WorkerEntry {
    WorkerEntry {
        pool: PoolName::new(POOL),
        address: address_of(address),
        data_centre: DataCentre::new("dc-1"),
        state: if process.is_draining {
            WorkerState::Draining
        } else {
            WorkerState::Ready
        },
        capacity: Resources {
            cpu: process.shape.cpu,
            mem_mb: 100_000,
            gpu: 0,
        },
        labels: [process.shape.label.into(), "r-1".into()]
            .into_iter()
            .collect(),
        rack: None,
        incarnation: Some(incarnation(process.began_at)),
    }
}

/// Draws a job.
pub(crate) fn job(random: &mut StdRng, now: u64) -> JobSpec {
    let count = random.random_range(1..3);
    let mut steps = Vec::new();
    if random.random_bool(0.12) {
        steps.push(StepSpec {
            count: random.random_range(1..4),
            need: Resources {
                cpu: 1_000,
                mem_mb: 100,
                gpu: 0,
            },
            max_per_worker: 1,
            long_running: true,
            may_miss: 1,
            ..StepSpec::default()
        });
        return spec(steps, now);
    }
    for number in 0..count {
        let gang = random.random_bool(0.15);
        let cpu = if gang {
            500
        } else {
            [500, 1_000, 2_500][random.random_range(0..3)]
        };
        steps.push(StepSpec {
            count: random.random_range(1..5),
            need: Resources {
                cpu,
                mem_mb: 100,
                gpu: 0,
            },
            after: (0..number).collect(),
            max_per_worker: if gang {
                0
            } else {
                [0, 0, 0, 1, 2][random.random_range(0..5)]
            },
            speculative: random.random_bool(0.1),
            gang,
            checkpoints: random.random_bool(0.3),
            ..StepSpec::default()
        });
    }
    spec(steps, now)
}

fn spec(steps: Vec<StepSpec>, now: u64) -> JobSpec {
    JobSpec {
        tenant: None,
        work: WorkName::new(POOL),
        terms: JobTerms::example(POOL),
        received_at: ms(now),
        received_on: None,
        payload: "x".into(),
        steps,
        repeat: None,
    }
}

/// Outcome of a call without an answer.
pub(crate) fn unanswered(call: &WorkerCall) -> CallOutcome {
    match call {
        WorkerCall::Renew { .. } => CallOutcome::NoReport,
        WorkerCall::Start { .. } => CallOutcome::Started(StartReply::Unknown),
        WorkerCall::Stop { .. } => CallOutcome::Stopped(OrderReply::Unknown),
    }
}
