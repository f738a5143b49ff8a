//! Admission control of jobs and the retry delay of refused callers.
//!
//! During a surge beyond the capacity that the pool has and is about to receive, a job that would
//! be served only long after its objective is refused at once, with the time by which the backlog
//! will have drained.

use std::collections::BTreeMap;

use crate::{
    clock::ClockTime,
    name::{PoolName, TenantName, WorkName},
};

use super::order::DEFAULT_DURATION;

/// Multiple of its objective beyond which a job's expected wait causes a refusal: by the users'
/// rules an answer after three times the objective has no value to the caller.
const MAX_WAIT_FACTOR: u64 = 3;
/// Shortest retry delay given to a refused caller.
const MIN_RETRY: ClockTime = ClockTime::from_millis(1_000);

/// Longest retry delay given to a caller during an outage. The caller's few attempts then span
/// about eight seconds, which is longer than most outages.
const MAX_OUTAGE_RETRY: ClockTime = ClockTime::from_millis(3_000);

/// Load of a kind of work, as the owner reports it to the other members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WorkLoad {
    /// Time in which the pool drains its backlog with its present and incoming capacity.
    pub drain: ClockTime,
    /// Accepted jobs of which no task has started.
    pub waiting: u32,
    /// Mean duration of a task of this kind.
    pub task: ClockTime,
}

/// Load of a pool as far as it concerns a tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantLoad {
    /// Time in which the pool drains the backlog of jobs that are no surplus.
    pub contracted_drain: ClockTime,
    /// Time in which the tenant's limit lets its own backlog drain.
    pub limit_drain: ClockTime,
    /// Time until the tenant is within its rate again, if it is beyond it.
    pub surplus_wait: Option<ClockTime>,
}

/// Load of all kinds of work. A catalogue may list hundreds of them, of which a few have jobs, and the
/// owner sends this report to every member several times a second: it names only those that have
/// waiting jobs or a known duration.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Time in which each pool drains its backlog.
    pub drains: BTreeMap<PoolName, ClockTime>,
    /// Load of the kinds of work that differ from an idle one of their pool.
    pub works: BTreeMap<WorkName, WorkLoad>,
    /// Time in which each pool drains the backlog of jobs that are no surplus; empty without tenants.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub contracted_drains: BTreeMap<PoolName, ClockTime>,
    /// Time in which each tenant's own limit lets its backlog drain, for tenants with a limit and a backlog.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub limit_drains: BTreeMap<TenantName, ClockTime>,
    /// Tenants that are beyond their rate, with the time until they are within it again.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub surplus_waits: BTreeMap<TenantName, ClockTime>,
}

impl LoadReport {
    /// Returns the load that concerns a tenant's jobs in a pool.
    pub fn tenant_load(&self, tenant: &TenantName, pool: &PoolName) -> TenantLoad {
        TenantLoad {
            limit_drain: self.limit_drains.get(tenant).copied().unwrap_or_default(),
            contracted_drain: self
                .contracted_drains
                .get(pool)
                .copied()
                .unwrap_or_default(),
            surplus_wait: self.surplus_waits.get(tenant).copied(),
        }
    }

    /// Returns the load of a kind of work, whose jobs run in the given pool.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, PoolName, WorkName, job::LoadReport};
    /// let (work, pool) = (WorkName::new("core-check"), PoolName::new("coreroom"));
    /// let mut report = LoadReport::default();
    /// report.drains.insert(pool.clone(), ClockTime::from_secs(3));
    /// assert_eq!(report.load(&work, &pool).drain, ClockTime::from_secs(3));
    /// ```
    pub fn load(&self, work: &WorkName, pool: &PoolName) -> WorkLoad {
        let idle = || WorkLoad {
            drain: self.drains.get(pool).copied().unwrap_or_default(),
            waiting: 0,
            task: DEFAULT_DURATION,
        };
        self.works.get(work).copied().unwrap_or_else(idle)
    }
}

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalGround {
    /// The backlog of the pool would delay it too long.
    Load,
    /// Its tenant has sent more than it has contracted, and the pool has no idle room.
    Surplus,
    /// The tenant has sent more than its limit lets run in time.
    TenantLimit,
    /// The owner has no memory left for it.
    Memory,
}

impl RefusalGround {
    /// Short name for metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Surplus => "surplus",
            Self::TenantLimit => "tenant_limit",
            Self::Memory => "memory",
        }
    }
}

/// Refusal of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobRefusal {
    /// Delay after which the caller should retry.
    pub retry_after: ClockTime,
    /// Why the job was refused.
    pub ground: RefusalGround,
}

/// Refuses a job whose expected wait exceeds the period in which its result has any value.
///
/// ```
/// use jacinthhoist_core::{ClockTime, job::{WorkLoad, admit_job}};
/// let ms = ClockTime::from_millis;
/// let load = WorkLoad { drain: ms(9_000), waiting: 40, task: ms(800) };
/// assert!(admit_job(&load, ms(4_000)).is_ok());
/// let refusal = admit_job(&load, ms(2_000)).unwrap_err();
/// assert_eq!(refusal.retry_after, ms(7_000));
/// ```
///
/// # Errors
///
/// The refusal, with the delay after which the backlog allows the job to meet its objective.
pub fn admit_job(load: &WorkLoad, objective: ClockTime) -> Result<(), JobRefusal> {
    let max_wait = ClockTime::from_millis(objective.as_millis().saturating_mul(MAX_WAIT_FACTOR));
    if load.drain <= max_wait {
        return Ok(());
    }
    let retry_after = (load.drain - objective).max(MIN_RETRY);
    let ground = RefusalGround::Load;
    Err(JobRefusal {
        retry_after,
        ground,
    })
}

/// Decides whether to accept a job of a tenant under the current load of its pool. One that is within its rate
/// waits for other such jobs only; surplus is accepted while the whole backlog leaves it in time. Both wait for what
/// the tenant itself has sent, as its limit lets that run.
///
/// Pattern: a surge of one tenant, or of all beyond what they have contracted, in a pool that is full; a tenant that
/// sends more than its limit lets run.
///
/// ```
/// use jacinthhoist_core::{ClockTime, job::{TenantLoad, WorkLoad, admit_tenant_job}};
/// let ms = ClockTime::from_millis;
/// let load = WorkLoad { drain: ms(9_000), waiting: 40, task: ms(800) };
/// let within = TenantLoad { contracted_drain: ms(3_000), ..TenantLoad::default() };
/// assert!(admit_tenant_job(&load, &within, ms(2_000)).is_ok());
/// let beyond = TenantLoad { surplus_wait: Some(ms(8_500)), ..within };
/// let refusal = admit_tenant_job(&load, &beyond, ms(2_000)).unwrap_err();
/// assert_eq!(refusal.retry_after, ms(7_000));
/// ```
///
/// # Errors
///
/// The refusal, with the delay after which the job would be accepted and in time.
pub fn admit_tenant_job(
    load: &WorkLoad,
    tenant: &TenantLoad,
    objective: ClockTime,
) -> Result<(), JobRefusal> {
    let contracted_drain = tenant.contracted_drain.max(tenant.limit_drain);
    let whole_drain = load.drain.max(tenant.limit_drain);
    let contracted = WorkLoad {
        drain: contracted_drain,
        ..*load
    };
    let Some(surplus_wait) = tenant.surplus_wait else {
        let is_own = tenant.limit_drain >= tenant.contracted_drain;
        return admit_job(&contracted, objective).map_err(|refusal| JobRefusal {
            ground: if is_own {
                RefusalGround::TenantLimit
            } else {
                RefusalGround::Load
            },
            ..refusal
        });
    };
    if whole_drain <= objective {
        return Ok(());
    }
    let until_timely = whole_drain - objective;
    // It is within its rate by then, and waits for jobs that are no surplus only.
    let until_contracted = surplus_wait.max(contracted_drain - objective);
    let retry_after = until_timely.min(until_contracted).max(MIN_RETRY);
    let ground = RefusalGround::Surplus;
    Err(JobRefusal {
        retry_after,
        ground,
    })
}

/// Retry delay of a caller refused because the store or the owner is unavailable.
///
/// Callers make only a few attempts and the end of an outage is unknown, so the delay grows with
/// the duration of the outage so far, `elapsed`. `jitter_seed` is any number that differs between
/// callers, so that they do not all return in the same second.
///
/// ```
/// use jacinthhoist_core::{ClockTime, job::outage_retry};
/// let ms = ClockTime::from_millis;
/// assert_eq!(outage_retry(ms(200), 7), ms(1_000));
/// assert_eq!(outage_retry(ms(2_600), 4), ms(2_000));
/// assert_eq!(outage_retry(ms(2_600), 7), ms(3_000));
/// ```
pub fn outage_retry(elapsed: ClockTime, jitter_seed: u64) -> ClockTime {
    if elapsed < MIN_RETRY {
        return MIN_RETRY;
    }
    // Callers are told whole seconds.
    let backoff = ClockTime::from_secs(elapsed.as_millis() / MIN_RETRY.as_millis());
    let jitter = ClockTime::from_secs(jitter_seed % 2);
    backoff.min(MAX_OUTAGE_RETRY - ClockTime::from_secs(1)) + jitter
}
