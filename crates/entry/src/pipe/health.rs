//! Health: attributes the result of an attempt to the VM or to the kind of work.

use std::sync::Arc;

use crate::{
    context::MemberContext,
    logs::log_line,
    routes::{VmRoute, WorkRoute},
};

/// Records a failure against the VM, unless the work fails on every VM.
pub(super) fn record_failure(
    context: &MemberContext,
    work: &Arc<WorkRoute>,
    vm: &VmRoute,
    index: usize,
) {
    if work.counters.health.record_failure(index) {
        return;
    }
    let routes = context.routes.load();
    let can_eject = routes
        .pools
        .get(&work.pool)
        .is_some_and(|pool| pool.can_eject_vm());
    if vm
        .endpoint
        .health
        .record_failure(context.clock.now(), can_eject)
    {
        context.meter.ejections.increment(1);
        log_line!(
            info,
            Request,
            "VM {} was temporarily ejected by {}",
            vm.vm,
            context.name
        );
    }
}

/// Records a complete response as a success of the VM and the work.
pub(super) fn record_success(context: &MemberContext, work: &Arc<WorkRoute>, vm: &VmRoute) {
    work.counters.health.record_success();
    if vm.endpoint.health.record_success() {
        log_line!(
            info,
            Request,
            "VM {} was readmitted by {} after a successful probe",
            vm.vm,
            context.name
        );
    }
}
