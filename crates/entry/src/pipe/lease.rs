//! Lease: long-running work runs on an upstream under a lease that this member renews.
//!
//! A request exists at one member only, so a lease has one holder. If the holder is paused, the
//! upstream ends the work when the lease expires. If the VM drains, the work is checkpointed and
//! resumed on another VM.

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
    upstream::ExchangeResult,
};

/// Interval at which a lease holder checks if its VM is draining.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of renewals within the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// Timeout of connecting for a lease call, and of the call itself.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Speed of long-running work while more urgent work is waiting, in percent of full speed.
const THROTTLED_SPEED_PERCENT: u32 = 50;

/// Call to the upstream about a lease.
#[derive(Clone, Copy, Debug)]
enum LeaseCall {
    /// Renews the lease, with the speed in percent of full speed.
    Renew(u32),
    /// Saves the progress of the work and ends it.
    Checkpoint,
    /// Ends the work.
    Stop,
}

/// Lease that is renewed until [`WorkLease::end`]; dropping it before that stops the work.
pub(super) struct WorkLease {
    holder: Arc<LeaseHolder>,
    task: JoinHandle<()>,
    is_ended: bool,
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
    /// Starts renewing the lease of a request that is about to be sent.
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
        let task = tokio::spawn(holder.clone().maintain());
        Some(Self {
            holder,
            task,
            is_ended: false,
        })
    }

    /// Ends the lease of work that has ended by itself.
    pub(super) fn end(mut self) {
        self.is_ended = true;
    }
}

impl Drop for WorkLease {
    fn drop(&mut self) {
        self.task.abort();
        if self.is_ended {
            return;
        }
        let holder = self.holder.clone();
        // The caller disconnected or the response is missing, so the work must not continue.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { holder.call(LeaseCall::Stop).await });
        }
    }
}

impl LeaseHolder {
    /// Renews the lease before it expires, and requests a checkpoint once the VM drains.
    async fn maintain(self: Arc<Self>) {
        let lease = Duration::from_millis(self.context.settings.limits.lease_ms);
        let mut drain_check = interval(DRAIN_CHECK_INTERVAL);
        let mut renewed_at = Instant::now();
        loop {
            drain_check.tick().await;
            if self.vm.gate.is_closed() {
                let accepted = self.call(LeaseCall::Checkpoint).await;
                log_line!(
                    debug,
                    Request,
                    "requested a checkpoint of {} on {}: accepted={accepted}",
                    self.work,
                    self.vm.vm
                );
                if accepted {
                    return;
                }
            }
            if renewed_at.elapsed() >= lease / RENEWALS_PER_LEASE
                && self.call(LeaseCall::Renew(self.speed_percent())).await
            {
                renewed_at = Instant::now();
            }
        }
    }

    /// Returns the speed in percent: full, unless more urgent work waits for this member's slots.
    fn speed_percent(&self) -> u32 {
        let costs = self.pool.counters.queued_costs_ms();
        let has_urgent = costs[..self.class.index()].iter().any(|cost| *cost > 0);
        if has_urgent {
            THROTTLED_SPEED_PERCENT
        } else {
            100
        }
    }

    /// Makes a call about the lease on a connection within the VM's limit; returns true if it
    /// succeeded.
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
            .acquire(self.vm.address, None, now, CALL_TIMEOUT)
            .await;
        let (Ok(request), Some(connection)) = (request, connection) else {
            return false;
        };
        match connection.exchange(request, CALL_TIMEOUT).await {
            ExchangeResult::Answered(response, connection) => {
                let accepted = response.status().is_success();
                if response.into_body().collect().await.is_ok() {
                    connections.put_back(connection, self.context.clock.now());
                }
                accepted
            }
            ExchangeResult::NotSent | ExchangeResult::Lost | ExchangeResult::TimedOut => false,
        }
    }
}
