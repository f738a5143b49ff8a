//! Shares of tenants in a full pool: weighted dominant-resource fairness.
//!
//! Pattern: one tenant sends several times its usual beside many others, in a pool that cannot serve all. The
//! tenant with the smallest share in proportion to its weight comes first; its share is the largest part that it
//! takes of any resource of the pool.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use super::{order::QueuedJob, spec::Resources, tenant_account::TenantSlot};

/// Weight of jobs that belong to no tenant.
const NO_TENANT_WEIGHT: f64 = 1.0;

/// Ratio that orders tenants; the smallest comes first.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ShareRatio(f64);

impl Eq for ShareRatio {}

impl PartialOrd for ShareRatio {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ShareRatio {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// What each tenant takes of a pool.
#[derive(Clone, Debug, Default)]
pub struct PoolShares {
    capacity: Resources,
    /// Weight and use of each tenant, by slot.
    tenants: Vec<(f64, Resources)>,
    /// Use of jobs without a tenant.
    other: Resources,
}

impl PoolShares {
    /// Creates the shares of the tenants of a pool, given the weight and the use of each.
    pub fn open(capacity: Resources, tenants: impl Iterator<Item = (f64, Resources)>) -> Self {
        Self {
            capacity,
            tenants: tenants.collect(),
            other: Resources::default(),
        }
    }

    /// Returns whether there are no tenants.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    fn ratio(&self, slot: Option<TenantSlot>) -> ShareRatio {
        let row = slot.and_then(|slot| self.tenants.get(slot.index()));
        let (weight, used) = row.copied().unwrap_or((NO_TENANT_WEIGHT, self.other));
        let part = |used: u64, all: u64| used as f64 / all.max(1) as f64;
        let dominant = part(used.cpu, self.capacity.cpu)
            .max(part(used.mem_mb, self.capacity.mem_mb))
            .max(part(used.gpu, self.capacity.gpu));
        ShareRatio(if weight > 0.0 {
            dominant / weight
        } else {
            f64::INFINITY
        })
    }

    fn take(&mut self, slot: Option<TenantSlot>, need: &Resources) {
        let row = slot.and_then(|slot| self.tenants.get_mut(slot.index()));
        let used = row.map_or(&mut self.other, |(_, used)| used);
        *used = used.plus(need);
    }

    /// Orders jobs by their tenants' shares, each as if those before it had started. The order of the jobs of
    /// one tenant stays.
    pub fn order(&mut self, jobs: &mut [QueuedJob]) {
        // The queue of jobs without a tenant is the first one.
        let mut queues: Vec<VecDeque<QueuedJob>> = Vec::new();
        for job in jobs.iter() {
            let index = job.tenant.map_or(0, |slot| slot.index() + 1);
            if queues.len() <= index {
                queues.resize_with(index + 1, VecDeque::new);
            }
            queues[index].push_back(*job);
        }
        let first = |queue: &VecDeque<QueuedJob>| queue.front().map(|job| job.tenant);
        let mut tenants: BinaryHeap<_> = queues
            .iter()
            .filter_map(first)
            .map(|slot| Reverse((self.ratio(slot), slot)))
            .collect();
        for place in jobs {
            let Some(Reverse((_, slot))) = tenants.pop() else {
                return;
            };
            let queue = &mut queues[slot.map_or(0, |slot| slot.index() + 1)];
            let Some(job) = queue.pop_front() else {
                return;
            };
            self.take(slot, &job.need);
            if !queue.is_empty() {
                tenants.push(Reverse((self.ratio(slot), slot)));
            }
            *place = job;
        }
    }
}
