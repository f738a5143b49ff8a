//! Demand history of the pools, so that a surge of a few seconds does not move VMs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{catalogue::PolicyEntry, clock::ClockTime, name::PoolName};

/// Total demand of all members for a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolDemand {
    /// Name of the pool.
    pub pool: PoolName,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of slots of the serving VMs.
    pub slots: u32,
}

impl PoolDemand {
    /// Returns the demand as a percentage of the pool's slots.
    pub fn percent(&self) -> u32 {
        let requests = u64::from(self.running) + u64::from(self.waiting);
        let scaled = requests * 100;
        (scaled / u64::from(self.slots.max(1))).min(10_000) as u32
    }
}

/// Last observed demand of a pool and the start of its current high or low period.
#[derive(Clone, Copy, Debug, Default)]
struct DemandHistory {
    percent: u32,
    high_since: Option<ClockTime>,
    low_since: Option<ClockTime>,
}

/// Tracks how long the demand of each pool has been continuously high or low.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker {
    pools: BTreeMap<PoolName, DemandHistory>,
}

impl DemandTracker {
    /// Records the current demand of all members.
    pub fn observe(&mut self, policy: &PolicyEntry, now: ClockTime, demands: &[PoolDemand]) {
        for demand in demands {
            let history = self.pools.entry(demand.pool.clone()).or_default();
            history.percent = demand.percent();
            let since = |holds: bool, since: Option<ClockTime>| holds.then(|| since.unwrap_or(now));
            history.high_since = since(history.percent >= policy.grow_percent, history.high_since);
            history.low_since = since(history.percent < policy.shrink_percent, history.low_since);
        }
    }

    /// Returns true if demand has been high for at least `duration`.
    pub fn is_high(&self, pool: &PoolName, now: ClockTime, duration: ClockTime) -> bool {
        let since = self.pools.get(pool).and_then(|history| history.high_since);
        since.is_some_and(|since| now - since >= duration)
    }

    /// Returns true if demand has been low for at least `duration`.
    pub fn is_low(&self, pool: &PoolName, now: ClockTime, duration: ClockTime) -> bool {
        let since = self.pools.get(pool).and_then(|history| history.low_since);
        since.is_some_and(|since| now - since >= duration)
    }

    /// Returns the last observed demand of a pool as a percentage of its slots.
    pub fn percent(&self, pool: &PoolName) -> u32 {
        self.pools.get(pool).map_or(0, |history| history.percent)
    }
}
