//! Operators' configuration of kinds of work and pools, by which jobs are accepted and placed.

use crate::{
    clock::ClockTime,
    name::{PoolName, TenantName, WorkName},
};

use super::tenant::{KeyHash, KeyRefusal, TenantTable};

/// Expected latency and permit validity of the policy service that selects workers for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdvicePolicy {
    /// Base duration of a call.
    pub base: ClockTime,
    /// Additional duration for each worker in the call.
    pub per_worker: ClockTime,
    /// Validity period of a permit.
    pub valid: ClockTime,
}

impl AdvicePolicy {
    /// Expected duration of a call that names a number of workers.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::AdvicePolicy};
    /// let ms = ClockTime::from_millis;
    /// let policy = AdvicePolicy { base: ms(200), per_worker: ms(60), valid: ms(1_000) };
    /// assert_eq!(policy.expected(9), ms(740));
    /// ```
    pub fn expected(&self, workers: usize) -> ClockTime {
        let span = self.per_worker.as_millis().saturating_mul(workers as u64);
        self.base + ClockTime::from_millis(span)
    }
}

/// A kind of work.
#[derive(Clone, Debug, PartialEq)]
pub struct JobWork {
    /// Name of the kind of work.
    pub name: WorkName,
    /// Host name of callers' requests.
    pub host: String,
    /// Path prefix of callers' requests.
    pub path_prefix: String,
    /// Pool whose workers run the jobs.
    pub pool: PoolName,
    /// Priority class; 0 is the most urgent.
    pub priority: u64,
    /// Number of failures of a task after which its job fails.
    pub max_failures: u32,
    /// Proportional part of the objective: a multiple of the duration of the longest dependency
    /// chain.
    pub stretch: f64,
    /// Constant part of the objective.
    pub objective: ClockTime,
    /// Time for which a caller waits for a response.
    pub timeout: ClockTime,
    /// Policy service that must permit the workers of a job, if any.
    pub advice: Option<AdvicePolicy>,
    /// True if calls need no key.
    pub public: bool,
}

/// A pool of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobPool {
    /// Pool name.
    pub name: PoolName,
    /// True for a spare pool, whose VMs are powered off until another pool needs them.
    pub spare: bool,
    /// True if its workers reject tasks that exceed their free capacity.
    pub guarded: bool,
    /// Maximum number of connections per worker.
    pub max_connections: u32,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time-out for receiving a request's head.
    pub head: ClockTime,
    /// Idle time-out of a connection.
    pub idle: ClockTime,
}

/// Immutable version of the operators' configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct JobCatalogue {
    /// Version number, increased by each change.
    pub version: u64,
    /// Kinds of work.
    pub works: Vec<JobWork>,
    /// Pools of VMs.
    pub pools: Vec<JobPool>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// Tenants that may submit jobs; none if calls need no keys.
    pub tenants: Option<TenantTable>,
    /// Kinds of work whose entries cannot be read: their calls are neither served nor denied.
    pub unreadable: Vec<WorkAddress>,
}

/// Part of callers' requests that names a kind of work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkAddress {
    /// Host name of callers' requests.
    pub host: String,
    /// Path prefix of callers' requests.
    pub path_prefix: String,
}

impl WorkAddress {
    fn matches(&self, host: &str, path: &str) -> bool {
        self.host.eq_ignore_ascii_case(host) && path.starts_with(&self.path_prefix)
    }
}

impl JobCatalogue {
    /// Returns whether a pool is a spare pool.
    pub fn is_spare(&self, pool: &PoolName) -> bool {
        let pool = self.pools.iter().find(|known| known.name == *pool);
        pool.is_some_and(|pool| pool.spare)
    }

    /// Finds the kind of work for a host and path; also returns the path after the prefix.
    ///
    /// The longest matching prefix wins.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&JobWork, &'a str)> {
        let matches = |work: &&JobWork| {
            work.host.eq_ignore_ascii_case(host) && path.starts_with(&work.path_prefix)
        };
        let best = self
            .works
            .iter()
            .filter(matches)
            .max_by_key(|work| work.path_prefix.len())?;
        Some((best, &path[best.path_prefix.len()..]))
    }

    /// Returns whether a host and path may belong to a kind of work whose entry cannot be read.
    pub fn may_be_unreadable(&self, host: &str, path: &str) -> bool {
        let mut unreadable = self.unreadable.iter();
        unreadable.any(|address| address.matches(host, path))
    }

    /// Returns the tenant on whose behalf a call for a kind of work is made; `None` if it needs no key.
    ///
    /// # Errors
    ///
    /// The reason for which the call is not permitted.
    pub fn authorize(
        &self,
        work: &JobWork,
        key: Option<&KeyHash>,
    ) -> Result<Option<TenantName>, KeyRefusal> {
        match &self.tenants {
            Some(tenants) if !work.public => {
                let tenant = tenants.authenticate(key)?;
                Ok(Some(tenant.name.clone()))
            }
            _ => Ok(None),
        }
    }

    /// Notes which keys this version has withdrawn of an earlier one's.
    pub fn record_withdrawn_keys(&mut self, earlier: Option<&TenantTable>) {
        if let (Some(tenants), Some(earlier)) = (&mut self.tenants, earlier) {
            tenants.record_withdrawn(earlier, self.version);
        }
    }

    /// Looks up a kind of work by name.
    pub fn work(&self, name: &WorkName) -> Option<&JobWork> {
        self.works.iter().find(|work| work.name == *name)
    }
}
