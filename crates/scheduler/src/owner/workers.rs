//! Connections to workers: renewals of leases, orders, one bounded set of connections a worker.

use std::{collections::BTreeMap, future::Future, sync::Arc};

use jacinthhoist_core::{
    ClockTime, WorkerId,
    job::{OrderReply, RenewalPlan, Scheduler, StartReply, TaskKey},
};
use tokio::sync::{Semaphore, mpsc};

use crate::{
    eventlog::event,
    meter::JobMeter,
    ports::{HoldOrder, Platform, StartOrder, WorkerLink},
    shared::MemberShared,
};

use super::OwnerEvent;

/// How long a worker that runs something may wait for an end before it answers: well below a
/// lease, so that two renewals in a row may be lost.
const HOLD_WAIT: ClockTime = ClockTime::from_millis(500);
/// Shortest time between two renewals, so that ends close to each other share one.
const HOLD_GAP: ClockTime = ClockTime::from_millis(30);
/// Time between two looks at a worker that runs nothing.
const IDLE_PACE: ClockTime = ClockTime::from_millis(3_000);
/// Time between two tries of a worker that does not answer.
const SILENT_PACE: ClockTime = ClockTime::from_millis(400);
/// Time between two renewals while ends wait to be stored.
const UNSTORED_PACE: ClockTime = ClockTime::from_millis(1_000);
/// Orders under way to one worker at once; bounds the connections to it.
const ORDERS_AT_ONCE: usize = 4;

/// A worker as the engine talks to it.
struct WorkerPort<W> {
    address: Arc<str>,
    link: Arc<W>,
    orders: Arc<Semaphore>,
    holding: bool,
    held_at: ClockTime,
    failed: bool,
    /// Whether a look beside the renewal is under way.
    looking: bool,
}

/// All workers that the engine talks to.
pub(super) struct WorkerPorts<P: Platform> {
    platform: Arc<P>,
    shared: Arc<MemberShared>,
    events: mpsc::UnboundedSender<OwnerEvent>,
    token: u64,
    ports: BTreeMap<WorkerId, WorkerPort<P::Worker>>,
}

impl<P: Platform> WorkerPorts<P> {
    pub(super) fn open(
        platform: Arc<P>,
        shared: Arc<MemberShared>,
        events: mpsc::UnboundedSender<OwnerEvent>,
        token: u64,
    ) -> Self {
        Self {
            platform,
            shared,
            events,
            token,
            ports: BTreeMap::new(),
        }
    }

    /// Opens ports for workers that are new or have moved, and closes those of workers that are
    /// gone.
    pub(super) fn sync(&mut self, scheduler: &Scheduler) {
        self.ports.retain(|id, port| {
            let worker = scheduler.worker(id);
            worker.is_some_and(|worker| worker.entry.address == port.address)
        });
        for worker in scheduler.workers() {
            let address = &worker.entry.address;
            if address.is_empty() || self.ports.contains_key(&worker.id) {
                continue;
            }
            match self.platform.worker(&worker.id, address) {
                Ok(link) => {
                    let port = WorkerPort {
                        address: address.clone(),
                        link: Arc::new(link),
                        orders: Arc::new(Semaphore::new(ORDERS_AT_ONCE)),
                        holding: false,
                        held_at: ClockTime::ZERO,
                        failed: false,
                        looking: false,
                    };
                    self.ports.insert(worker.id.clone(), port);
                }
                Err(error) => event!(self.shared.log, Unreadable, "key": worker.id.as_str(),
                    "reason": error.to_string()),
            }
        }
    }

    /// Renews the leases that are due, and looks at once where that settles an order.
    pub(super) fn hold_due(&mut self, scheduler: &mut Scheduler, now: ClockTime) {
        for (id, port) in &mut self.ports {
            let Some(worker) = scheduler.worker(id) else {
                continue;
            };
            let pause = hold_pause(worker, port.failed);
            let idle = worker.is_empty();
            let due = !port.holding && now >= port.held_at + pause;
            let look = !port.looking && scheduler.needs_report(id);
            if !due && !look {
                continue;
            }
            let Some(plan) = scheduler.plan_renewal(id, now) else {
                continue;
            };
            let order = hold_order(&plan, idle || look);
            if look {
                port.looking = true;
            } else {
                port.holding = true;
                port.held_at = now;
            }
            self.shared.meter.holds.increment(1);
            let call = HoldCall {
                worker: id.clone(),
                order,
                token: self.token,
                asked_at: now,
                look,
            };
            tokio::spawn(call.send(port.link.clone(), self.events.clone()));
        }
    }

    /// A renewal or look has been answered, or has failed.
    pub(super) fn held(&mut self, id: &WorkerId, answered: bool, look: bool) {
        let Some(port) = self.ports.get_mut(id) else {
            return;
        };
        if look {
            port.looking = false;
        } else {
            port.holding = false;
            port.failed = !answered;
        }
    }

    /// Sends a start order.
    pub(super) fn start(&self, worker: WorkerId, order: StartOrder) {
        let (task, run, token) = (order.task, order.run, self.token);
        let id = worker.clone();
        let started = move |reply| OwnerEvent::Started {
            worker,
            task,
            run,
            reply,
        };
        let Some(port) = self.ports.get(&id) else {
            self.tell(started(StartReply::Unhealthy));
            return;
        };
        self.shared.meter.starts.increment(1);
        let link = port.link.clone();
        self.send(port, async move { started(link.start(order, token).await) });
    }

    /// Sends a stop order.
    pub(super) fn stop(&self, worker: WorkerId, task: TaskKey, run: u32) {
        let (id, token) = (worker.clone(), self.token);
        let stopped = move |reply| OwnerEvent::Stopped {
            worker,
            task,
            run,
            reply,
        };
        let Some(port) = self.ports.get(&id) else {
            self.tell(stopped(OrderReply::Unknown));
            return;
        };
        let link = port.link.clone();
        self.send(
            port,
            async move { stopped(link.stop(task, run, token).await) },
        );
    }

    /// Makes a call within the bound on orders under way to a worker.
    fn send(
        &self,
        port: &WorkerPort<P::Worker>,
        call: impl Future<Output = OwnerEvent> + Send + 'static,
    ) {
        let (orders, events) = (port.orders.clone(), self.events.clone());
        tokio::spawn(async move {
            let Ok(_permit) = orders.acquire().await else {
                return;
            };
            // The engine may have ended.
            let _ = events.send(call.await);
        });
    }

    fn tell(&self, event: OwnerEvent) {
        // The engine may have ended.
        let _ = self.events.send(event);
    }
}

/// One renewal or look.
struct HoldCall {
    worker: WorkerId,
    order: HoldOrder,
    token: u64,
    asked_at: ClockTime,
    look: bool,
}

impl HoldCall {
    async fn send<W: WorkerLink>(self, link: Arc<W>, events: mpsc::UnboundedSender<OwnerEvent>) {
        let fenced = OwnerEvent::Fenced("a worker has seen a later owner");
        let report = match link.hold(self.order, self.token).await {
            Ok(Some(report)) => Some(report),
            Ok(None) => {
                // The engine may have ended.
                let _ = events.send(fenced);
                return;
            }
            // The scheduler notes the worker's silence.
            Err(_) => None,
        };
        // The engine may have ended.
        let _ = events.send(OwnerEvent::Held {
            worker: self.worker,
            report,
            asked_at: self.asked_at,
            look: self.look,
        });
    }
}

/// Counts a start that came to nothing.
pub(super) fn meter_start(meter: &JobMeter, reply: StartReply) {
    let reason = match reply {
        StartReply::Started => return,
        StartReply::Fenced => "fenced",
        StartReply::OldRun => "old_run",
        StartReply::TooLate => "too_late",
        StartReply::NoRoom => "no_room",
        StartReply::NoPermit => "no_permit",
        StartReply::Invalid => "invalid",
        StartReply::Unhealthy => "unhealthy",
        StartReply::WrongLife => "wrong_life",
        StartReply::Unknown => "unknown",
    };
    meter.start_refused(reason);
}

fn hold_pause(worker: &jacinthhoist_core::job::Worker, failed: bool) -> ClockTime {
    if worker.seen_at.is_none() && !failed {
        ClockTime::ZERO
    } else if failed || worker.silent_since.is_some() {
        SILENT_PACE
    } else if worker.end_seen > worker.end_stored {
        UNSTORED_PACE
    } else if worker.is_empty() {
        IDLE_PACE
    } else {
        HOLD_GAP
    }
}

fn hold_order(plan: &RenewalPlan, idle: bool) -> HoldOrder {
    let waits = !plan.silent && !plan.has_unstored_ends && !idle && plan.lease_until.is_some();
    HoldOrder {
        ack: plan.ack,
        lease_until: plan.lease_until,
        wait: if waits { HOLD_WAIT } else { ClockTime::ZERO },
    }
}
