//! Lease: long work runs at an upstream under a lease that this member renews.
//!
//! The request lives in one member only, so a lease has one holder. When the holder is paused, the
//! upstream ends the work at the lapse; when the VM drains, the work is checkpointed and goes on
//! elsewhere.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, header};
use jacinthhoist_core::{WorkClass, WorkName};
use tokio::{
    task::JoinHandle,
    time::{Instant, interval},
};

use crate::{
    context::MemberContext,
    logs::log_line,
    routes::{PoolRoute, VmRoute},
    upstream::Exchange,
};

/// How often a lease looks whether its VM drains.
const RECHECK: Duration = Duration::from_millis(100);
/// Renewals within the span of a lease.
const RENEWALS: u32 = 3;
/// How long a call about a lease may take.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Percent of its speed at which long work runs while more urgent work waits.
const THROTTLED_PERCENT: u32 = 50;

/// What a call asks of the upstream about a lease.
#[derive(Clone, Copy, Debug)]
enum LeaseCall {
    /// Go on, at this percent of full speed.
    Renew(u32),
    /// Save the work's progress and end it.
    Checkpoint,
    /// End the work.
    Stop,
}

/// A lease that is renewed until it is ended; dropped before that, it stops the work.
pub(super) struct WorkLease {
    holder: Arc<LeaseHolder>,
    task: JoinHandle<()>,
    ended: bool,
}

struct LeaseHolder {
    context: Arc<MemberContext>,
    work: WorkName,
    pool: Arc<PoolRoute>,
    class: WorkClass,
    vm: Arc<VmRoute>,
    request_id: String,
}

impl WorkLease {
    /// Starts to renew the lease of a request that is being sent.
    pub(super) fn spawn(
        context: &Arc<MemberContext>,
        call: &super::WorkCall,
        vm: &Arc<VmRoute>,
    ) -> Option<Self> {
        let holder = Arc::new(LeaseHolder {
            context: context.clone(),
            work: call.work.name.clone(),
            pool: call.pool(context)?,
            class: call.work.entry.class,
            vm: vm.clone(),
            request_id: call.request_id.clone(),
        });
        let task = tokio::spawn(holder.clone().keep());
        Some(Self {
            holder,
            task,
            ended: false,
        })
    }

    /// The work has ended by itself.
    pub(super) fn end(mut self) {
        self.ended = true;
    }
}

impl Drop for WorkLease {
    fn drop(&mut self) {
        self.task.abort();
        if self.ended {
            return;
        }
        let holder = self.holder.clone();
        // The caller went away, or the answer did not come: the work shall not go on.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { holder.call(LeaseCall::Stop).await });
        }
    }
}

impl LeaseHolder {
    /// Renews in time, and asks for a checkpoint once the VM drains.
    async fn keep(self: Arc<Self>) {
        let lease = Duration::from_millis(self.context.settings.limits.lease_ms);
        let mut recheck = interval(RECHECK);
        let mut renewed = Instant::now();
        loop {
            recheck.tick().await;
            if self.vm.gate.is_closed() {
                let taken = self.call(LeaseCall::Checkpoint).await;
                log_line!(
                    debug,
                    Request,
                    "A checkpoint of {} on {} was asked for: {taken}.",
                    self.work,
                    self.vm.vm
                );
                if taken {
                    return;
                }
            }
            if renewed.elapsed() >= lease / RENEWALS
                && self.call(LeaseCall::Renew(self.percent())).await
            {
                renewed = Instant::now();
            }
        }
    }

    /// Full speed, unless more urgent work waits for this member's slots of the pool.
    fn percent(&self) -> u32 {
        let queued = self.pool.load.queued_cost();
        let urgent_waits = queued[..self.class.index()].iter().any(|cost| *cost > 0);
        if urgent_waits { THROTTLED_PERCENT } else { 100 }
    }

    /// One call about the lease, on a connection within the VM's bound; false where it failed.
    async fn call(&self, call: LeaseCall) -> bool {
        let path = match call {
            LeaseCall::Renew(percent) => {
                format!("/leases/{}/renew?percent={percent}", self.request_id)
            }
            LeaseCall::Checkpoint => format!("/leases/{}/checkpoint", self.request_id),
            LeaseCall::Stop => format!("/leases/{}/stop", self.request_id),
        };
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(header::HOST, self.vm.address.to_string())
            .body(Full::new(Bytes::new()));
        let now = self.context.clock.now();
        let connections = &self.vm.endpoint.connections;
        let connection = connections
            .take(self.vm.address, None, now, CALL_LIMIT)
            .await;
        let (Ok(request), Some(connection)) = (request, connection) else {
            return false;
        };
        match connection.exchange(request, CALL_LIMIT).await {
            Exchange::Answered(response, connection) => {
                let taken = response.status().is_success();
                if response.into_body().collect().await.is_ok() {
                    connections.give_back(connection, self.context.clock.now());
                }
                taken
            }
            Exchange::NotSent | Exchange::Lost | Exchange::Silent => false,
        }
    }
}
