//! Admit: admission control, based on the counters of the route table.

use std::sync::atomic::Ordering;

use jacinthhoist_core::{
    AdmissionInput, Admitted, Answered, Classified, RefusalReason, Request, admit as decide,
};

use super::WorkCall;
use crate::context::{MemberContext, StopPhase};

/// Refuses the request if the member no longer takes new requests.
pub(super) fn check_accepting(
    context: &MemberContext,
    classified: Request<Classified>,
) -> Result<Request<Classified>, Request<Answered>> {
    if *context.stop.borrow() >= StopPhase::Draining {
        return Err(classified.refuse(RefusalReason::Stopping));
    }
    Ok(classified)
}

/// Refuses the request if its queue is full or its deadline cannot be met.
pub(super) fn admit(
    context: &MemberContext,
    classified: Request<Classified>,
    call: &WorkCall,
) -> Result<Request<Admitted>, Request<Answered>> {
    let Some(pool) = call.pool(context) else {
        return Err(classified.refuse(RefusalReason::NoUpstream));
    };
    if pool.vms.is_empty() {
        return Err(classified.refuse(RefusalReason::NoUpstream));
    }
    let work = &call.work;
    let input = AdmissionInput {
        work: &work.entry,
        owner: &work.owner,
        work_queued: work.counters.queued.load(Ordering::Relaxed),
        owner_queued: work.owner_counters.queued_at_least(work.entry.class),
        queued_cost_ms: pool.counters.queued_costs_ms(),
        slots: pool.slots(),
        shares: pool.shares(),
        service: work.counters.service.mean(),
        remaining: classified.deadline - context.clock.now(),
    };
    match decide(&input) {
        Ok(()) => Ok(classified.admit()),
        Err(reason) => Err(classified.refuse(reason)),
    }
}

/// Returns the number of seconds after which a retry could succeed.
pub(super) fn retry_after_secs(context: &MemberContext, request: &Request<Answered>) -> u64 {
    let Some((name, _)) = &request.work else {
        return 1;
    };
    let routes = context.routes.load();
    let Some(work) = routes.works.get(name) else {
        return 1;
    };
    let Some(pool) = routes.pools.get(&work.pool) else {
        return 1;
    };
    let input = AdmissionInput {
        work: &work.entry,
        owner: &work.owner,
        work_queued: 0,
        owner_queued: 0,
        queued_cost_ms: pool.counters.queued_costs_ms(),
        slots: pool.slots(),
        shares: pool.shares(),
        service: work.counters.service.mean(),
        remaining: jacinthhoist_core::ClockTime::from_millis(work.entry.deadline_ms),
    };
    input.retry_after().as_millis().div_ceil(1_000)
}
