//! Jobs whose specification stays in the store until there is memory for them.
//!
//! Members refuse jobs that do not fit before they store them. What the store holds may still exceed the memory of an
//! owner: an earlier release has accepted it, or the owner has less memory than the one before.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    job::{
        memory::job_bytes,
        spec::{JobId, JobSpec},
    },
    name::{TenantName, WorkName},
};

use super::{Effect, Scheduler, jobs::may_act_on};

/// Maximum jobs that are read from the store at once.
const MAX_LOADED_JOBS: usize = 100;

/// A job that has not begun and whose specification is not held.
#[derive(Clone, Debug)]
pub struct ParkedJob {
    work: WorkName,
    tenant: Option<TenantName>,
    /// Memory that it takes once it is loaded, in bytes.
    bytes: u64,
    /// Time of day at which it is due, or zero.
    due: ClockTime,
    received_at: ClockTime,
    is_cancelled: bool,
}

impl ParkedJob {
    /// Returns what remains of a job while its specification is not held.
    pub fn of(spec: &JobSpec) -> Self {
        Self {
            work: spec.work.clone(),
            tenant: spec.tenant.clone(),
            bytes: job_bytes(spec),
            due: spec
                .repeat
                .map_or(ClockTime::ZERO, |repeat| repeat.start_at),
            received_at: spec.received_at,
            is_cancelled: false,
        }
    }

    /// Kind of work.
    pub(super) fn work(&self) -> &WorkName {
        &self.work
    }

    /// Tenant that submitted the job.
    pub(super) fn tenant(&self) -> Option<&TenantName> {
        self.tenant.as_ref()
    }

    /// Returns whether it counts as waiting.
    pub(super) fn is_waiting(&self) -> bool {
        self.due == ClockTime::ZERO
    }

    /// Marks a job as cancelled by a caller of the given tenant, if that may.
    pub(super) fn cancel(&mut self, tenant: Option<&TenantName>) {
        self.is_cancelled |= may_act_on(self.tenant.as_ref(), tenant);
    }

    /// Order in which jobs are loaded; a cancelled one leaves its memory at once.
    fn rank(&self) -> (bool, ClockTime, ClockTime) {
        (!self.is_cancelled, self.due, self.received_at)
    }
}

impl Scheduler {
    /// Number of jobs whose specification stays in the store until there is memory for them.
    pub fn parked_jobs(&self) -> usize {
        self.parked.len()
    }

    /// Restores a job without progress whose specification is not held.
    pub fn restore_parked(&mut self, id: JobId, mut job: ParkedJob) {
        if let Some((tenant, _)) = self.early_cancels.remove(&id) {
            job.cancel(tenant.as_ref());
        }
        self.parked.insert(id, job);
    }

    /// Returns whether there is memory for a further job, which then counts. There is always memory for one.
    pub(super) fn reserve_memory(&mut self, spec: &JobSpec) -> bool {
        let bytes = job_bytes(spec);
        let used = self.memory.total();
        let fits = used.saturating_add(bytes) <= self.job_memory;
        if !fits && !self.jobs.is_empty() {
            return false;
        }
        self.memory.add(spec, bytes, 0);
        true
    }

    /// Has the jobs read again for which there is memory now, in the order in which they are due and were received.
    pub(super) fn load_parked_jobs(&mut self) {
        if self.is_loading || self.parked.is_empty() {
            return;
        }
        let mut waiting: Vec<_> = self.parked.iter().collect();
        waiting.sort_unstable_by_key(|(id, job)| (job.rank(), **id));
        let mut room = self.job_memory.saturating_sub(self.memory.total());
        let mut wanted = Vec::new();
        for (id, job) in waiting.into_iter().take(MAX_LOADED_JOBS) {
            let is_alone = self.jobs.is_empty() && wanted.is_empty();
            let Some(left) = room.checked_sub(job.bytes).or(is_alone.then_some(0)) else {
                break;
            };
            room = left;
            wanted.push(*id);
        }
        if !wanted.is_empty() {
            self.is_loading = true;
            self.effects.push(Effect::LoadJobs(wanted));
        }
    }

    /// Opens jobs that were read again; `None` if that failed. Jobs that are not in the store any more are dropped.
    pub fn jobs_loaded(&mut self, wanted: &[JobId], loaded: Option<Vec<(JobId, Arc<JobSpec>)>>) {
        self.is_loading = false;
        let Some(loaded) = loaded else {
            return;
        };
        let cancelled: SmallVec<[JobId; 4]> = wanted
            .iter()
            .filter(|id| self.parked.get(id).is_some_and(|job| job.is_cancelled))
            .copied()
            .collect();
        for id in wanted {
            self.parked.remove(id);
        }
        for (id, spec) in loaded {
            let tenant = spec.tenant.clone();
            self.memory.add(&spec, job_bytes(&spec), 0);
            self.open_accepted(id, spec);
            if cancelled.contains(&id) {
                self.cancel(id, tenant.as_ref());
            }
        }
    }
}
