//! The operators' entries that jobs are judged by: kinds of work and pools.

use crate::{
    clock::ClockTime,
    name::{PoolName, WorkName},
};

/// How a policy service is asked which workers may run a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdvicePolicy {
    /// Time of one call.
    pub base: ClockTime,
    /// Time more for each worker named.
    pub per_worker: ClockTime,
    /// How long a permit holds.
    pub valid: ClockTime,
}

/// A kind of work.
#[derive(Clone, Debug, PartialEq)]
pub struct JobWork {
    /// Its name.
    pub name: WorkName,
    /// The host that callers name.
    pub host: String,
    /// The start of the path that callers name.
    pub path_prefix: String,
    /// The pool whose workers run it.
    pub pool: PoolName,
    /// Its class; 0 goes first.
    pub priority: u8,
    /// How often a task may fail.
    pub max_failures: u8,
    /// The objective as a multiple of the longest chain of work.
    pub stretch: f64,
    /// What the objective adds to that.
    pub objective: ClockTime,
    /// How long a caller waits for an answer.
    pub timeout: ClockTime,
    /// Whether a policy service has the last word on workers.
    pub advice: Option<AdvicePolicy>,
}

/// A pool of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobPool {
    /// Its name.
    pub name: PoolName,
    /// Whether its VMs are off and wait to be used elsewhere.
    pub spare: bool,
    /// Whether its workers reject what does not fit.
    pub guarded: bool,
    /// Connections that a worker takes.
    pub max_connections: u32,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time to send a request's head.
    pub head: ClockTime,
    /// Time that a connection may be idle.
    pub idle: ClockTime,
}

/// One version of the operators' entries, immutable.
#[derive(Clone, Debug, PartialEq)]
pub struct JobCatalogue {
    /// Rises with each change.
    pub version: u64,
    /// The kinds of work.
    pub works: Vec<JobWork>,
    /// The pools.
    pub pools: Vec<JobPool>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
}

impl JobCatalogue {
    /// The kind of work that a host and path name, with the rest of the path.
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

    /// A kind of work by name.
    pub fn work(&self, name: &WorkName) -> Option<&JobWork> {
        self.works.iter().find(|work| work.name == *name)
    }
}
