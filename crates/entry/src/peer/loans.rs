//! Slot loans: idle slots of one member serve the queue of another for a short time.

use std::{collections::HashMap, convert::Infallible, sync::Arc, time::Duration};

use jacinthhoist_codec::{PeerFrame, PoolLoad, VmLoan};
use jacinthhoist_core::{ClockTime, MemberName, PoolName};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, interval, sleep, timeout},
};

use super::table::LinkMessage;
use crate::{
    context::{MemberContext, StopPhase},
    routes::VmRoute,
};

/// Delay between two rounds of loan requests.
const ROUND_DELAY: Duration = Duration::from_millis(20);
/// Minimum interval between loan requests for a pool.
const REQUEST_INTERVAL: ClockTime = ClockTime::from_millis(100);
/// Number of loan spans after which the lender reclaims slots that were not returned.
const RECLAIM_SPANS: u64 = 2;
/// Divisor of the idle slots: at most one part in this many is lent.
const LENDABLE_DIVISOR: u32 = 2;

/// Task that requests slots from peers while queues are not empty.
pub(crate) struct BorrowTask {
    pub(crate) context: Arc<MemberContext>,
}

impl BorrowTask {
    /// Runs until the member has ended.
    pub(crate) async fn run(self) {
        let context = &self.context;
        if context.settings.limits.loan_ms == 0 {
            return;
        }
        let ended = context.wait_for_stop(StopPhase::Ended);
        tokio::pin!(ended);
        let mut requested_at = HashMap::new();
        let mut next_id = 0;
        loop {
            tokio::select! {
                () = context.loan_wanted.notified() => {}
                () = &mut ended => return,
            }
            self.request_loans(&mut requested_at, &mut next_id);
            sleep(ROUND_DELAY).await;
        }
    }

    fn request_loans(&self, requested_at: &mut HashMap<PoolName, ClockTime>, next_id: &mut u64) {
        let context = &self.context;
        let now = context.clock.now();
        let routes = context.routes.load();
        for (name, pool) in &routes.pools {
            let waiting = pool.waiting();
            let recent = requested_at
                .get(name)
                .is_some_and(|at| now - *at < REQUEST_INTERVAL);
            if waiting == 0 || recent || pool.held() < pool.slots() {
                continue;
            }
            let Some((lender, idle)) = self.idlest_peer(name) else {
                continue;
            };
            requested_at.insert(name.clone(), now);
            let slots = waiting.min(idle);
            *next_id += 1;
            let frame = PeerFrame::Borrow {
                id: *next_id,
                pool: name.clone(),
                slots,
            };
            if let Some(view) = context.peers.views().get(&lender) {
                // The link may have just ended; the request is repeated later.
                let _ = view.link.send(LinkMessage::Frame(frame));
            }
        }
    }

    fn idlest_peer(&self, pool: &PoolName) -> Option<(MemberName, u32)> {
        let idle = |load: &PoolLoad| {
            let held = load.running.saturating_add(load.waiting);
            load.slots.saturating_sub(held)
        };
        let views = self.context.peers.views();
        let loads = views
            .iter()
            .filter_map(|(member, view)| Some((member, idle(view.pools.get(pool)?))));
        let (member, idle) = loads.max_by_key(|(_, idle)| *idle)?;
        (idle > 0).then(|| (member.clone(), idle))
    }
}

/// Loans granted on a connection, by id of the request. Dropping a sender ends its loan.
#[derive(Default)]
pub(super) struct LoanTable(HashMap<u64, oneshot::Sender<Infallible>>);

impl LoanTable {
    /// Ends a loan that the borrower has returned.
    pub(super) fn end_loan(&mut self, id: u64) {
        self.0.remove(&id);
    }

    fn add(&mut self, id: u64) -> oneshot::Receiver<Infallible> {
        let (sender, returned) = oneshot::channel();
        self.0.retain(|_, loan| !loan.is_closed());
        self.0.insert(id, sender);
        returned
    }
}

/// Lends idle slots of a pool; none while this member's own queue is not empty.
pub(super) fn lend(
    context: &Arc<MemberContext>,
    loan_table: &mut LoanTable,
    id: u64,
    pool: &PoolName,
    requested_slots: u32,
) -> Vec<VmLoan> {
    let routes = context.routes.load();
    let Some(route) = routes.pools.get(pool).filter(|route| route.waiting() == 0) else {
        return Vec::new();
    };
    let idle = route.slots().saturating_sub(route.held());
    let mut remaining = requested_slots.min(idle / LENDABLE_DIVISOR);
    let mut loans = Vec::new();
    let mut lent_slots = Vec::new();
    for vm in &route.vms {
        let free = vm
            .slots
            .limit()
            .saturating_sub(vm.gate.held())
            .min(remaining);
        if free == 0 {
            continue;
        }
        remaining -= free;
        loans.push(VmLoan {
            vm: vm.vm.clone(),
            slots: free,
        });
        lent_slots.push(SlotAdjustment::new(vm, -(free as i32)));
    }
    if loans.is_empty() {
        return loans;
    }
    let returned = loan_table.add(id);
    let reclaim_timeout = Duration::from_millis(RECLAIM_SPANS * context.settings.limits.loan_ms);
    let route = route.clone();
    tokio::spawn(async move {
        // The loan ends when it is returned, when its loan table is dropped, or after the timeout.
        let _ = timeout(reclaim_timeout, returned).await;
        drop(lent_slots);
        route.queue.wake();
    });
    loans
}

/// Loan granted by a peer.
pub(super) struct GrantedLoan {
    pub(super) id: u64,
    pub(super) pool: PoolName,
    pub(super) loans: Vec<VmLoan>,
    pub(super) span_ms: u64,
}

/// Uses borrowed slots until the queue is empty or their span has elapsed, then returns them.
pub(super) fn use_loan(
    context: &Arc<MemberContext>,
    loan: &GrantedLoan,
    reply: &mpsc::UnboundedSender<PeerFrame>,
) {
    let routes = context.routes.load();
    let Some(route) = routes.pools.get(&loan.pool).cloned() else {
        return;
    };
    let mut borrowed_slots = Vec::new();
    for vm_loan in &loan.loans {
        let Some(vm) = route.vms.iter().find(|vm| vm.vm == vm_loan.vm) else {
            continue;
        };
        // No peer has more slots of a VM to lend than the VM has.
        let slots = vm_loan.slots.min(route.entry.slots);
        context.meter.loans.increment(slots.into());
        borrowed_slots.push(SlotAdjustment::new(vm, slots as i32));
    }
    route.queue.wake();
    let loan_end = Instant::now() + Duration::from_millis(loan.span_ms);
    let (id, reply) = (loan.id, reply.clone());
    tokio::spawn(async move {
        let mut check_tick = interval(ROUND_DELAY);
        check_tick.tick().await;
        while Instant::now() < loan_end && route.waiting() > 0 {
            check_tick.tick().await;
        }
        drop(borrowed_slots);
        // If the connection has ended, the lender reclaims the slots after its own timeout.
        let _ = reply.send(PeerFrame::Return { id });
    });
}

/// Adjustment of a VM's slot limit, reverted on drop.
struct SlotAdjustment {
    vm: Arc<VmRoute>,
    slots: i32,
}

impl SlotAdjustment {
    fn new(vm: &Arc<VmRoute>, slots: i32) -> Self {
        vm.slots.add_loan(slots);
        Self {
            vm: vm.clone(),
            slots,
        }
    }
}

impl Drop for SlotAdjustment {
    fn drop(&mut self) {
        self.vm.slots.add_loan(-self.slots);
    }
}
