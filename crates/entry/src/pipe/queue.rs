//! Queue and place: a request takes a free slot at once, or waits for the pool's queue task.

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
    routes::{PoolLoadState, PoolRoute, SlotGrant, WorkRoute},
};

/// How often a queue that waits looks for VMs that may be probed again.
const RECHECK: Duration = Duration::from_millis(50);
/// Service time assumed until one is learnt, in milliseconds.
const UNKNOWN_SERVICE_MS: u64 = 10;

/// A request that waits for a slot.
struct QueueWaiter {
    ticket: QueueTicket,
    work: Arc<WorkRoute>,
    avoid: SmallVec<[usize; 4]>,
    grant: oneshot::Sender<SlotGrant>,
}

/// The way to a pool's queue task.
#[derive(Clone)]
pub(crate) struct QueueHandle {
    sender: mpsc::UnboundedSender<QueueWaiter>,
    wake: Arc<Notify>,
    load: Arc<PoolLoadState>,
}

impl QueueHandle {
    /// Starts the queue task of a pool; it ends when the member is gone.
    pub(crate) fn spawn(
        context: &Arc<MemberContext>,
        pool: &PoolName,
        load: &Arc<PoolLoadState>,
    ) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        let wake = Arc::new(Notify::new());
        let task = QueueTask {
            context: Arc::downgrade(context),
            pool: pool.clone(),
            load: load.clone(),
            wake: wake.clone(),
            queue: WorkQueue::default(),
        };
        tokio::spawn(task.run(receiver));
        Self {
            sender,
            wake,
            load: load.clone(),
        }
    }

    /// Tells the queue that a slot may be free.
    pub(crate) fn wake(&self) {
        if self.load.waiting.load(Ordering::SeqCst) > 0 {
            self.wake.notify_one();
        }
    }
}

struct QueueTask {
    context: Weak<MemberContext>,
    pool: PoolName,
    load: Arc<PoolLoadState>,
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

    /// A new waiter, a free slot, or the time to look again; none when the member is gone.
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
        timeout(RECHECK, event).await.unwrap_or(Some(None))
    }

    /// Hands out slots while there are any.
    fn serve(&mut self, context: &MemberContext) {
        let pool = context.routes.load().pools.get(&self.pool).cloned();
        let Some(pool) = pool else {
            self.queue.retain(|_| false);
            return;
        };
        while self.serve_next(context, &pool) {}
        if self.queue.len() > 2 * self.load.waiting.load(Ordering::SeqCst) as usize {
            self.queue.retain(|waiter| !waiter.grant.is_closed());
        }
        if !self.queue.is_empty() {
            context.loan_wanted.notify_one();
        }
    }

    /// Serves one waiter, or drops one that went away; false where none may start.
    fn serve_next(&mut self, context: &MemberContext, pool: &Arc<PoolRoute>) -> bool {
        let limits = QueueLimits {
            shares: pool.shares(),
            running: pool.load.running(),
        };
        let now = context.clock.now();
        let mut grant = None;
        let taken = self.queue.pop(&limits, |_, waiter| {
            if waiter.grant.is_closed() {
                return true;
            }
            grant = pool.try_start(&waiter.work, &waiter.avoid, now);
            grant.is_some()
        });
        let Some((_, waiter)) = taken else {
            return false;
        };
        if let Some(grant) = grant {
            // A waiter that just went away gives the slot back by dropping it.
            let _ = waiter.grant.send(grant);
        }
        true
    }
}

/// What a waiting request counts for; taken back when dropped.
struct WaitCount {
    work: Arc<WorkRoute>,
    load: Arc<PoolLoadState>,
    cost_ms: u64,
}

impl WaitCount {
    fn enter(work: &Arc<WorkRoute>, load: &Arc<PoolLoadState>, cost_ms: u64) -> Self {
        let add = |count: &AtomicU32| count.fetch_add(1, Ordering::SeqCst);
        add(&work.load.queued);
        add(&work.owner_load.queued[work.entry.class.index()]);
        add(&load.waiting);
        load.queued_cost_ms[work.entry.class.index()].fetch_add(cost_ms, Ordering::Relaxed);
        Self {
            work: work.clone(),
            load: load.clone(),
            cost_ms,
        }
    }
}

impl Drop for WaitCount {
    fn drop(&mut self) {
        let take = |count: &AtomicU32| count.fetch_sub(1, Ordering::SeqCst);
        take(&self.work.load.queued);
        take(&self.work.owner_load.queued[self.work.entry.class.index()]);
        take(&self.load.waiting);
        let class = self.work.entry.class.index();
        self.load.queued_cost_ms[class].fetch_sub(self.cost_ms, Ordering::Relaxed);
    }
}

/// Waits for a slot of the work's pool.
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
    if pool.load.waiting.load(Ordering::SeqCst) == 0
        && let Some(grant) = pool.try_start(&call.work, &queued.attempted_vms, now)
    {
        context.meter.waits.record(0.0);
        return Ok(granted(queued, grant));
    }
    let waited = wait(context, &pool, &queued, call).await;
    let span = context.clock.now() - now;
    context
        .meter
        .waits
        .record(span.as_millis() as f64 / 1_000.0);
    match waited {
        Some(grant) => Ok(granted(queued, grant)),
        None => Err(queued.refuse(RefusalReason::DeadlinePassed)),
    }
}

fn granted(queued: Request<Queued>, grant: SlotGrant) -> (Request<Placed>, SlotGrant) {
    (queued.place(grant.index()), grant)
}

async fn wait(
    context: &MemberContext,
    pool: &Arc<PoolRoute>,
    queued: &Request<Queued>,
    call: &WorkCall,
) -> Option<SlotGrant> {
    let work = &call.work;
    let service = work.load.service.mean();
    let cost_ms = service.map_or(UNKNOWN_SERVICE_MS, |mean| mean.as_millis().max(1));
    let _count = WaitCount::enter(work, &pool.load, cost_ms);
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
