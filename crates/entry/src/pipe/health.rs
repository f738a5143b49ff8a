//! Health: how an attempt's end counts for the worker and for the kind of work.

use std::sync::Arc;

use crate::{
    context::MemberContext,
    logs::log_line,
    routes::{VmRoute, WorkRoute},
};

/// Counts a failure against the worker, unless the work fails wherever it runs.
pub(super) fn note_failure(
    context: &MemberContext,
    work: &Arc<WorkRoute>,
    vm: &VmRoute,
    index: usize,
) {
    if work.load.health.record_failure(index) {
        return;
    }
    let routes = context.routes.load();
    let room = routes
        .pools
        .get(&work.pool)
        .is_some_and(|pool| pool.may_eject());
    if vm.endpoint.health.record_failure(context.clock.now(), room) {
        context.meter.ejections.increment(1);
        log_line!(
            info,
            Request,
            "VM {} was ejected for a while by {}.",
            vm.vm,
            context.name
        );
    }
}

/// Counts a whole answer for the worker and the work.
pub(super) fn note_success(context: &MemberContext, work: &Arc<WorkRoute>, vm: &VmRoute) {
    work.load.health.record_success();
    if vm.endpoint.health.record_success() {
        log_line!(
            info,
            Request,
            "VM {} is back after a probe by {}.",
            vm.vm,
            context.name
        );
    }
}
