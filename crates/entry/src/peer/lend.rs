//! Lend: idle slots of one member serve the queue of another for a short span.

use std::{collections::HashMap, convert::Infallible, sync::Arc, time::Duration};

use jacinthhoist_codec::{PeerFrame, PoolLoad, VmLoan};
use jacinthhoist_core::{ClockTime, MemberName, PoolName};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, interval, sleep, timeout},
};

use super::book::LinkMessage;
use crate::{
    context::{MemberContext, StopPhase},
    routes::VmRoute,
};

/// Pause between two rounds of wishes.
const ROUND_PAUSE: Duration = Duration::from_millis(20);
/// A wish for a pool is repeated after this long at the earliest.
const WISH_AGAIN: ClockTime = ClockTime::from_millis(100);
/// A lender that hears nothing waits this many spans before it uses lent slots again.
const LENDER_SPANS: u64 = 2;
/// A lender keeps one part in this many of its idle slots.
const KEPT_PARTS: u32 = 2;

/// Asks peers for slots while queues wait.
pub(crate) struct LendTask {
    pub(crate) context: Arc<MemberContext>,
}

impl LendTask {
    /// Runs until the member has ended.
    pub(crate) async fn run(self) {
        let context = &self.context;
        if context.settings.limits.loan_ms == 0 {
            return;
        }
        let ended = context.wait_for_stop(StopPhase::Ended);
        tokio::pin!(ended);
        let mut wished = HashMap::new();
        let mut next_id = 0;
        loop {
            tokio::select! {
                () = context.loan_wanted.notified() => {}
                () = &mut ended => return,
            }
            self.wish(&mut wished, &mut next_id);
            sleep(ROUND_PAUSE).await;
        }
    }

    fn wish(&self, wished: &mut HashMap<PoolName, ClockTime>, next_id: &mut u64) {
        let context = &self.context;
        let now = context.clock.now();
        let routes = context.routes.load();
        for (name, pool) in &routes.pools {
            let waiting = pool.waiting();
            let recent = wished.get(name).is_some_and(|at| now - *at < WISH_AGAIN);
            if waiting == 0 || recent || pool.held() < pool.slots() {
                continue;
            }
            let Some((lender, idle)) = self.idlest(name) else {
                continue;
            };
            wished.insert(name.clone(), now);
            let slots = waiting.min(idle);
            *next_id += 1;
            let frame = PeerFrame::Borrow {
                id: *next_id,
                pool: name.clone(),
                slots,
            };
            if let Some(view) = context.peers.views().get(&lender) {
                // The link may have ended just now; another wish follows.
                let _ = view.link.send(LinkMessage::Frame(frame));
            }
        }
    }

    fn idlest(&self, pool: &PoolName) -> Option<(MemberName, u32)> {
        let idle = |load: &PoolLoad| load.slots.saturating_sub(load.running + load.waiting);
        let views = self.context.peers.views();
        let loads = views
            .iter()
            .filter_map(|(member, view)| Some((member, idle(view.pools.get(pool)?))));
        let (member, idle) = loads.max_by_key(|(_, idle)| *idle)?;
        (idle > 0).then(|| (member.clone(), idle))
    }
}

/// The loans that this side of a connection has given, by wish; each returned by dropping it.
#[derive(Default)]
pub(super) struct LoanBook(HashMap<u64, oneshot::Sender<Infallible>>);

impl LoanBook {
    /// The borrower gives a loan back.
    pub(super) fn give_back(&mut self, id: u64) {
        self.0.remove(&id);
    }

    fn add(&mut self, id: u64) -> oneshot::Receiver<Infallible> {
        let (kept, returned) = oneshot::channel();
        self.0.retain(|_, loan| !loan.is_closed());
        self.0.insert(id, kept);
        returned
    }
}

/// Lends idle slots of a pool; none while this member's own queue waits.
pub(super) fn lend(
    context: &Arc<MemberContext>,
    book: &mut LoanBook,
    id: u64,
    pool: &PoolName,
    wanted: u32,
) -> Vec<VmLoan> {
    let routes = context.routes.load();
    let Some(route) = routes.pools.get(pool).filter(|route| route.waiting() == 0) else {
        return Vec::new();
    };
    let idle = route.slots().saturating_sub(route.held());
    let mut left = wanted.min(idle / KEPT_PARTS);
    let mut loans = Vec::new();
    let mut lent = Vec::new();
    for vm in &route.vms {
        let free = vm.slots.limit().saturating_sub(vm.gate.held()).min(left);
        if free == 0 {
            continue;
        }
        left -= free;
        loans.push(VmLoan {
            vm: vm.vm.clone(),
            slots: free,
        });
        lent.push(ShiftedVm::new(vm, -(free as i32)));
    }
    if loans.is_empty() {
        return loans;
    }
    let returned = book.add(id);
    let span = Duration::from_millis(LENDER_SPANS * context.settings.limits.loan_ms);
    let route = route.clone();
    tokio::spawn(async move {
        // Given back, the connection gone with its borrower, or the span over: all end the loan.
        let _ = timeout(span, returned).await;
        drop(lent);
        route.queue.wake();
    });
    loans
}

/// A loan that a peer has granted.
pub(super) struct GrantedLoan {
    pub(super) id: u64,
    pub(super) pool: PoolName,
    pub(super) loans: Vec<VmLoan>,
    pub(super) span_ms: u64,
}

/// Uses borrowed slots until the queue is empty or their span is over, then gives them back.
pub(super) fn take_loan(
    context: &Arc<MemberContext>,
    loan: &GrantedLoan,
    reply: &mpsc::UnboundedSender<PeerFrame>,
) {
    let routes = context.routes.load();
    let Some(route) = routes.pools.get(&loan.pool).cloned() else {
        return;
    };
    let mut borrowed = Vec::new();
    for vm_loan in &loan.loans {
        let Some(vm) = route.vms.iter().find(|vm| vm.vm == vm_loan.vm) else {
            continue;
        };
        context.meter.loans.increment(vm_loan.slots.into());
        borrowed.push(ShiftedVm::new(vm, vm_loan.slots as i32));
    }
    route.queue.wake();
    let until = Instant::now() + Duration::from_millis(loan.span_ms);
    let (id, reply) = (loan.id, reply.clone());
    tokio::spawn(async move {
        let mut recheck = interval(ROUND_PAUSE);
        recheck.tick().await;
        while Instant::now() < until && route.waiting() > 0 {
            recheck.tick().await;
        }
        drop(borrowed);
        // The connection may have ended: the lender's own span ends the loan then.
        let _ = reply.send(PeerFrame::Return { id });
    });
}

/// A VM whose limit is shifted until this is dropped.
struct ShiftedVm {
    vm: Arc<VmRoute>,
    slots: i32,
}

impl ShiftedVm {
    fn new(vm: &Arc<VmRoute>, slots: i32) -> Self {
        vm.slots.add_loan(slots);
        Self {
            vm: vm.clone(),
            slots,
        }
    }
}

impl Drop for ShiftedVm {
    fn drop(&mut self) {
        self.vm.slots.add_loan(-self.slots);
    }
}
