//! Demand of a pool over time, so that a surge of seconds moves no VM.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{catalogue::PolicyEntry, clock::ClockTime, name::PoolName};

/// What all members together want of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolDemand {
    /// The pool.
    pub pool: PoolName,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Slots of the VMs that serve.
    pub slots: u32,
}

impl PoolDemand {
    /// Slots wanted in percent of those there.
    pub fn percent(&self) -> u32 {
        let wanted = u64::from(self.running + self.waiting) * 100;
        (wanted / u64::from(self.slots.max(1))).min(10_000) as u32
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct DemandSpan {
    percent: u32,
    high_since: Option<ClockTime>,
    low_since: Option<ClockTime>,
}

/// Since when each pool's demand has been high or low without a break.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker {
    spans: BTreeMap<PoolName, DemandSpan>,
}

impl DemandTracker {
    /// Takes in what all members want now.
    pub fn observe(&mut self, policy: &PolicyEntry, now: ClockTime, demands: &[PoolDemand]) {
        for demand in demands {
            let span = self.spans.entry(demand.pool.clone()).or_default();
            span.percent = demand.percent();
            let since = |held: bool, since: Option<ClockTime>| held.then(|| since.unwrap_or(now));
            span.high_since = since(span.percent >= policy.grow_percent, span.high_since);
            span.low_since = since(span.percent < policy.shrink_percent, span.low_since);
        }
    }

    /// Whether demand has been high for a span.
    pub fn is_high(&self, pool: &PoolName, now: ClockTime, span: ClockTime) -> bool {
        let since = self.spans.get(pool).and_then(|span| span.high_since);
        since.is_some_and(|since| now - since >= span)
    }

    /// Whether demand has been low for a span.
    pub fn is_low(&self, pool: &PoolName, now: ClockTime, span: ClockTime) -> bool {
        let since = self.spans.get(pool).and_then(|span| span.low_since);
        since.is_some_and(|since| now - since >= span)
    }

    /// The newest demand of a pool in percent of its slots.
    pub fn percent(&self, pool: &PoolName) -> u32 {
        self.spans.get(pool).map_or(0, |span| span.percent)
    }
}
