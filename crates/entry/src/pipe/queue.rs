//! Queue and place: a request takes a free slot immediately, or waits in the queue of the pool.

use std::{
    sync::{
        Arc, Weak,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use jacinthhoist_core::{
    Admitted, Answered, Placed, PoolName, QueueLimits, QueueTicket, Queued, RefusalReason, Request,
    WorkQueue,
};
use smallvec::SmallVec;
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::{timeout, timeout_at},
};

use super::WorkCall;
use crate::{
    context::MemberContext,
    routes::{PoolCounters, PoolRoute, SlotGrant, WorkRoute},
};

/// Interval at which a nonempty queue checks for ejected VMs that can be probed.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Service time assumed until the first sample, in milliseconds.
const DEFAULT_SERVICE_MS: u64 = 10;

/// Request that is waiting for a slot.
struct QueueWaiter {
    ticket: QueueTicket,
    work: Arc<WorkRoute>,
    avoid: SmallVec<[usize; 4]>,
    grant: oneshot::Sender<SlotGrant>,
}

/// Handle of the queue task of a pool.
#[derive(Clone)]
pub(crate) struct QueueHandle {
    sender: mpsc::UnboundedSender<QueueWaiter>,
    wake: Arc<Notify>,
    counters: Arc<PoolCounters>,
}

impl QueueHandle {
    /// Starts the queue task of a pool; it ends when the member's context is dropped.
    pub(crate) fn spawn(
        context: &Arc<MemberContext>,
        pool: &PoolName,
        counters: &Arc<PoolCounters>,
    ) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        let wake = Arc::new(Notify::new());
        let task = QueueTask {
            context: Arc::downgrade(context),
            pool: pool.clone(),
            counters: counters.clone(),
            wake: wake.clone(),
            queue: WorkQueue::default(),
        };
        tokio::spawn(task.run(receiver));
        Self {
            sender,
            wake,
            counters: counters.clone(),
        }
    }

    /// Notifies the queue task that a slot may be free.
    pub(crate) fn wake(&self) {
        if self.counters.waiting.load(Ordering::SeqCst) > 0 {
            self.wake.notify_one();
        }
    }
}

struct QueueTask {
    context: Weak<MemberContext>,
    pool: PoolName,
    counters: Arc<PoolCounters>,
    wake: Arc<Notify>,
    queue: WorkQueue<QueueWaiter>,
}

impl QueueTask {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<QueueWaiter>) {
        loop {
            let arrived = if self.queue.is_empty() {
                receiver.recv().await
            } else {
                match self.next_event(&mut receiver).await {
                    Some(arrived) => arrived,
                    None => return,
                }
            };
            if self.queue.is_empty() && arrived.is_none() {
                return;
            }
            let newer = std::iter::from_fn(|| receiver.try_recv().ok());
            for waiter in arrived.into_iter().chain(newer) {
                self.queue.push(waiter.ticket.clone(), waiter);
            }
            let Some(context) = self.context.upgrade() else {
                return;
            };
            self.serve(&context);
        }
    }

    /// Waits for a new waiter, a free slot or the next probe check; returns `None` if there are no
    /// more handles.
    async fn next_event(
        &self,
        receiver: &mut mpsc::UnboundedReceiver<QueueWaiter>,
    ) -> Option<Option<QueueWaiter>> {
        let event = async {
            tokio::select! {
                arrived = receiver.recv() => arrived.map(Some),
                () = self.wake.notified() => Some(None),
            }
        };
        timeout(PROBE_CHECK_INTERVAL, event)
            .await
            .unwrap_or(Some(None))
    }

    /// Assigns slots while any are free.
    fn serve(&mut self, context: &MemberContext) {
        let pool = context.routes.load().pools.get(&self.pool).cloned();
        let Some(pool) = pool else {
            self.queue.retain(|_| false);
            return;
        };
        while self.serve_next(context, &pool) {}
        if self.queue.len() > 2 * self.counters.waiting.load(Ordering::SeqCst) as usize {
            self.queue.retain(|waiter| !waiter.grant.is_closed());
        }
        if !self.queue.is_empty() {
            context.loan_wanted.notify_one();
        }
    }

    /// Serves one waiter or removes one that gave up; returns false if no waiter can start.
    fn serve_next(&mut self, context: &MemberContext, pool: &Arc<PoolRoute>) -> bool {
        let limits = QueueLimits {
            shares: pool.shares(),
            running: pool.counters.running(),
        };
        let now = context.clock.now();
        let mut grant = None;
        let taken = self.queue.pop(&limits, |_, waiter| {
            if waiter.grant.is_closed() {
                return true;
            }
            grant = pool.try_acquire_slot(&waiter.work, &waiter.avoid, now);
            grant.is_some()
        });
        let Some((_, waiter)) = taken else {
            return false;
        };
        if let Some(grant) = grant {
            // If the waiter has just given up, dropping the grant releases the slot.
            let _ = waiter.grant.send(grant);
        }
        true
    }
}

/// Guard that counts a waiting request, and removes it from the counts on drop.
struct WaitGuard {
    work: Arc<WorkRoute>,
    counters: Arc<PoolCounters>,
    cost_ms: u64,
}

impl WaitGuard {
    fn enter(work: &Arc<WorkRoute>, counters: &Arc<PoolCounters>, cost_ms: u64) -> Self {
        let add = |count: &AtomicU32| count.fetch_add(1, Ordering::SeqCst);
        add(&work.counters.queued);
        add(&work.owner_counters.queued[work.entry.class.index()]);
        add(&counters.waiting);
        counters.queued_cost_ms[work.entry.class.index()].fetch_add(cost_ms, Ordering::Relaxed);
        Self {
            work: work.clone(),
            counters: counters.clone(),
            cost_ms,
        }
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let take = |count: &AtomicU32| count.fetch_sub(1, Ordering::SeqCst);
        take(&self.work.counters.queued);
        take(&self.work.owner_counters.queued[self.work.entry.class.index()]);
        take(&self.counters.waiting);
        let class = self.work.entry.class.index();
        self.counters.queued_cost_ms[class].fetch_sub(self.cost_ms, Ordering::Relaxed);
    }
}

/// Acquires a slot in the pool of the work, waiting for one until the deadline.
pub(super) async fn place(
    context: &MemberContext,
    admitted: Request<Admitted>,
    call: &WorkCall,
) -> Result<(Request<Placed>, SlotGrant), Request<Answered>> {
    let queued = admitted.enqueue();
    let Some(pool) = call.pool(context) else {
        return Err(queued.refuse(RefusalReason::NoUpstream));
    };
    let now = context.clock.now();
    if now >= queued.deadline {
        return Err(queued.refuse(RefusalReason::DeadlinePassed));
    }
    if pool.counters.waiting.load(Ordering::SeqCst) == 0
        && let Some(grant) = pool.try_acquire_slot(&call.work, &queued.attempted_vms, now)
    {
        context.meter.queue_wait.record(0.0);
        return Ok(with_grant(queued, grant));
    }
    let granted = wait_for_slot(context, &pool, &queued, call).await;
    let elapsed = context.clock.now() - now;
    context
        .meter
        .queue_wait
        .record(elapsed.as_millis() as f64 / 1_000.0);
    match granted {
        Some(grant) => Ok(with_grant(queued, grant)),
        None => Err(queued.refuse(RefusalReason::DeadlinePassed)),
    }
}

fn with_grant(queued: Request<Queued>, grant: SlotGrant) -> (Request<Placed>, SlotGrant) {
    (queued.place(grant.index()), grant)
}

async fn wait_for_slot(
    context: &MemberContext,
    pool: &Arc<PoolRoute>,
    queued: &Request<Queued>,
    call: &WorkCall,
) -> Option<SlotGrant> {
    let work = &call.work;
    let service = work.counters.service.mean();
    let cost_ms = service.map_or(DEFAULT_SERVICE_MS, |mean| mean.as_millis().max(1));
    let _guard = WaitGuard::enter(work, &pool.counters, cost_ms);
    let (grant, granted) = oneshot::channel();
    let waiter = QueueWaiter {
        ticket: QueueTicket {
            class: work.entry.class,
            owner: work.entry.owner.clone(),
            weight: work.owner.weight,
            cost_ms,
        },
        work: work.clone(),
        avoid: queued.attempted_vms.clone(),
        grant,
    };
    pool.queue.sender.send(waiter).ok()?;
    timeout_at(context.clock.instant(queued.deadline), granted)
        .await
        .ok()?
        .ok()
}
