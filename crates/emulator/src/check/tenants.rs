//! Limits and keys of tenants.

use std::collections::BTreeMap;

use jacinthhoist_core::ClockTime;

use super::{HistoryRule, RuleFindings};
use crate::{history::EmulationHistory, tenant::REVOCATION_SPAN};

/// Time after the confirmation of a lower limit in which the one before may still be in force.
const LIMIT_GRACE: ClockTime = ClockTime::from_millis(5_000);

/// Checks that no start brings what a tenant has running above its limit, unless it is a single task.
pub(super) fn check_limits(history: &EmulationHistory, findings: &mut RuleFindings) {
    let mut live: BTreeMap<usize, Vec<(ClockTime, u64)>> = BTreeMap::new();
    for run in &history.runs {
        let job = history.jobs.get(&run.task.job);
        let Some((tenant, cpu)) = job.and_then(|job| Some((job.tenant?, job.shape.cpu))) else {
            continue;
        };
        let (at, no_end) = (run.began_at, ClockTime::from_millis(u64::MAX));
        let others = live.entry(tenant).or_default();
        others.retain(|(ended_at, _)| *ended_at > at);
        let used = others.iter().map(|(_, cpu)| cpu).sum::<u64>() + cpu;
        let limit = limit_at(history, at);
        if limit.is_some_and(|limit| used > limit.max(cpu)) {
            let detail = format!("{}: tenant {tenant} runs {used} of {limit:?}", run.task);
            findings.add(HistoryRule::Quota, at, detail);
        }
        others.push((run.ended.map_or(no_end, |(at, _)| at), cpu));
    }
}

/// Highest limit that may be in force. A member that a fault keeps from the store may not know of a later one.
fn limit_at(history: &EmulationHistory, at: ClockTime) -> Option<u64> {
    let is_known = |confirmed: ClockTime| {
        let mut spans = history.fault_spans.iter();
        let is_hidden = spans.any(|(from, until)| *from <= at && *until >= confirmed);
        at > confirmed + LIMIT_GRACE && !is_hidden
    };
    let limits = &history.tenant_limits;
    let newest_known = limits.iter().rposition(|limit| is_known(limit.at));
    let in_force = &limits[newest_known.unwrap_or(0)..];
    in_force.iter().map(|limit| limit.cpu).max()
}

/// Checks that no call succeeded that was sent with a key withdrawn long before.
pub(super) fn check_keys(history: &EmulationHistory, findings: &mut RuleFindings) {
    for call in &history.keyed_calls {
        let Some(withdrawn_at) = call.withdrawn_at else {
            continue;
        };
        if call.sent_at > withdrawn_at + REVOCATION_SPAN {
            let age = call.sent_at - withdrawn_at;
            let detail = format!("a call with a key withdrawn {age} before succeeded");
            findings.add(HistoryRule::Key, call.sent_at, detail);
        }
    }
}
