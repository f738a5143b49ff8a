//! Lend: idle slots of one member serve the queue of another for a short span.

use std::{collections::HashMap, sync::Arc, time::Duration};

use jacinthhoist_codec::{PeerFrame, PoolLoad, VmLoan};
use jacinthhoist_core::{ClockTime, MemberName, PoolName};
use tokio::time::sleep;

use super::book::LinkMessage;
use crate::{
    context::{MemberContext, StopPhase},
    routes::{PoolRoute, VmRoute},
};

/// Pause between two rounds of wishes.
const ROUND_PAUSE: Duration = Duration::from_millis(20);
/// A wish for a pool is repeated after this long at the earliest.
const WISH_AGAIN: ClockTime = ClockTime::from_millis(100);
/// A lender waits this many spans before it uses lent slots again.
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
        let ended = context.stopped(StopPhase::Ended);
        tokio::pin!(ended);
        let mut wished = HashMap::new();
        loop {
            tokio::select! {
                () = context.lending.notified() => {}
                () = &mut ended => return,
            }
            self.wish(&mut wished);
            sleep(ROUND_PAUSE).await;
        }
    }

    fn wish(&self, wished: &mut HashMap<PoolName, ClockTime>) {
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
            let frame = PeerFrame::Borrow {
                id: now.as_millis(),
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

/// Lends idle slots of a pool; none while this member's own queue waits.
pub(super) fn lend(context: &Arc<MemberContext>, pool: &PoolName, wanted: u32) -> Vec<VmLoan> {
    let routes = context.routes.load();
    let Some(route) = routes.pools.get(pool).filter(|route| route.waiting() == 0) else {
        return Vec::new();
    };
    let idle = route.slots().saturating_sub(route.held());
    let mut left = wanted.min(idle / KEPT_PARTS);
    let mut loans = Vec::new();
    for vm in &route.vms {
        let free = vm.load.limit().saturating_sub(vm.gate.held()).min(left);
        if free == 0 {
            continue;
        }
        left -= free;
        loans.push(VmLoan {
            vm: vm.vm.clone(),
            slots: free,
        });
        let span_ms = LENDER_SPANS * context.settings.limits.loan_ms;
        shift(route, vm, -(free as i32), span_ms);
    }
    loans
}

/// Uses borrowed slots for their span.
pub(super) fn take_loans(
    context: &Arc<MemberContext>,
    pool: &PoolName,
    loans: &[VmLoan],
    span_ms: u64,
) {
    let routes = context.routes.load();
    let Some(route) = routes.pools.get(pool) else {
        return;
    };
    for loan in loans {
        let Some(vm) = route.vms.iter().find(|vm| vm.vm == loan.vm) else {
            continue;
        };
        context.meter.loans.increment(loan.slots.into());
        shift(route, vm, loan.slots as i32, span_ms);
    }
    route.queue.wake();
}

/// Shifts a VM's limit now and back after a span.
fn shift(pool: &Arc<PoolRoute>, vm: &Arc<VmRoute>, slots: i32, span_ms: u64) {
    vm.load.add_loan(slots);
    let (pool, vm) = (pool.clone(), vm.clone());
    tokio::spawn(async move {
        sleep(Duration::from_millis(span_ms)).await;
        vm.load.add_loan(-slots);
        pool.queue.wake();
    });
}
