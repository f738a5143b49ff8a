//! Connections to workers: lease renewals and orders, with a limit on the connections per worker.

use std::{collections::BTreeMap, future::Future, sync::Arc};

use jacinthhoist_core::{
    ClockTime, WorkerId,
    job::{MAX_CONCURRENT_ORDERS, OrderReply, RenewalPlan, Scheduler, StartReply, TaskKey},
};
use tokio::sync::{Semaphore, mpsc};

use crate::{
    error::Category,
    eventlog::event,
    meter::JobMeter,
    ports::{OrderAuthority, Platform, RenewalOrder, StartOrder, WorkerLink},
    shared::MemberShared,
};

use super::{OwnerEvent, authority::OwnerAuthority};

/// Maximum time for which an active worker waits for a run to end before it answers a renewal; well
/// below a lease, so that two consecutive renewals may be lost.
const RENEWAL_WAIT: ClockTime = ClockTime::from_millis(500);
/// Minimum interval between renewals, so that runs that end close together are reported by one.
const MIN_RENEWAL_INTERVAL: ClockTime = ClockTime::from_millis(30);
/// Interval between searches for due renewals.
const RENEWAL_SEARCH_INTERVAL: ClockTime = ClockTime::from_millis(20);
/// Interval between renewals of an idle worker.
const IDLE_RENEWAL_INTERVAL: ClockTime = ClockTime::from_millis(3_000);
/// Interval between renewals of a worker that does not answer.
const SILENT_RENEWAL_INTERVAL: ClockTime = ClockTime::from_millis(400);
/// Interval between renewals while reported ends of runs have not been stored.
const UNSTORED_RENEWAL_INTERVAL: ClockTime = ClockTime::from_millis(1_000);

/// Connection to a worker and its state.
struct WorkerConnection<W> {
    address: Arc<str>,
    link: Arc<W>,
    order_slots: Arc<Semaphore>,
    /// True if a renewal is in progress.
    renewing: bool,
    /// Time at which the last renewal was sent.
    renewed_at: ClockTime,
    /// True if the last renewal was not answered.
    failed: bool,
    /// True if a status probe is in progress beside the renewal.
    probing: bool,
}

impl<W> Drop for WorkerConnection<W> {
    /// Orders that wait for a slot are not sent any more.
    fn drop(&mut self) {
        self.order_slots.close();
    }
}

/// Connections to all workers.
pub(super) struct WorkerConnections<P: Platform> {
    platform: Arc<P>,
    shared: Arc<MemberShared>,
    events: mpsc::UnboundedSender<OwnerEvent>,
    connections: BTreeMap<WorkerId, WorkerConnection<P::Worker>>,
    /// Version of the worker list that the connections reflect.
    synced_version: Option<u64>,
    /// Time of the last search for due renewals.
    searched_at: ClockTime,
}

impl<P: Platform> WorkerConnections<P> {
    pub(super) fn open(
        platform: Arc<P>,
        shared: Arc<MemberShared>,
        events: mpsc::UnboundedSender<OwnerEvent>,
    ) -> Self {
        Self {
            platform,
            shared,
            events,
            connections: BTreeMap::new(),
            synced_version: None,
            searched_at: ClockTime::ZERO,
        }
    }

    /// Opens connections to workers that are new or have a new address, and drops those of removed
    /// workers.
    pub(super) fn sync(&mut self, scheduler: &Scheduler) {
        let version = Some(scheduler.worker_list_version());
        if std::mem::replace(&mut self.synced_version, version) == version {
            return;
        }
        self.connections.retain(|id, connection| {
            let worker = scheduler.worker(id);
            worker.is_some_and(|worker| worker.entry.address == connection.address)
        });
        for worker in scheduler.workers() {
            let address = &worker.entry.address;
            if address.is_empty() || self.connections.contains_key(&worker.id) {
                continue;
            }
            match self.platform.worker(&worker.id, address) {
                Ok(link) => {
                    let connection = WorkerConnection {
                        address: address.clone(),
                        link: Arc::new(link),
                        order_slots: Arc::new(Semaphore::new(MAX_CONCURRENT_ORDERS)),
                        renewing: false,
                        renewed_at: ClockTime::ZERO,
                        failed: false,
                        probing: false,
                    };
                    self.connections.insert(worker.id.clone(), connection);
                }
                Err(error) => event!(self.shared.log, Unreadable, "key": worker.id.as_str(),
                    "reason": error.to_string()),
            }
        }
    }

    /// Renews the leases that are due, and probes workers whose status settles an open order.
    pub(super) fn renew_due(
        &mut self,
        scheduler: &mut Scheduler,
        authority: &OwnerAuthority,
        now: ClockTime,
    ) {
        if now < self.searched_at + RENEWAL_SEARCH_INTERVAL {
            return;
        }
        self.searched_at = now;
        for (id, connection) in &mut self.connections {
            let Some(worker) = scheduler.worker(id) else {
                continue;
            };
            let interval = renewal_interval(worker, connection.failed);
            let idle = worker.is_empty();
            let due = !connection.renewing && now >= connection.renewed_at + interval;
            let probe = !connection.probing && scheduler.needs_report(id);
            if !due && !probe {
                continue;
            }
            let Some(plan) = scheduler.plan_renewal(id, now) else {
                continue;
            };
            let order = renewal_order(&plan, idle || probe);
            if probe {
                connection.probing = true;
            } else {
                connection.renewing = true;
                connection.renewed_at = now;
            }
            self.shared.meter.renewals.increment(1);
            let call = RenewalCall {
                shared: self.shared.clone(),
                worker: id.clone(),
                order,
                authority: authority.for_renewal(),
                asked_at: now,
                probe,
            };
            tokio::spawn(call.send(connection.link.clone(), self.events.clone()));
        }
    }

    /// Records the end of a renewal or status probe; `answered` is none if it was not sent, which tells
    /// nothing about the worker.
    pub(super) fn record_renewal(&mut self, id: &WorkerId, answered: Option<bool>, probe: bool) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if probe {
            connection.probing = false;
        } else {
            connection.renewing = false;
            connection.failed = answered.map_or(connection.failed, |answered| !answered);
        }
    }

    /// Sends a start order.
    pub(super) fn start(&self, worker: WorkerId, order: StartOrder, authority: OrderAuthority) {
        let (task, run) = (order.task, order.run);
        let id = worker.clone();
        let started = move |reply| OwnerEvent::Started {
            worker,
            task,
            run,
            reply,
        };
        let Some(connection) = self.connections.get(&id) else {
            self.emit(started(StartReply::Unhealthy));
            return;
        };
        self.shared.meter.starts.increment(1);
        let link = connection.link.clone();
        let call = async move { link.start(order, authority).await };
        self.send(connection, call, StartReply::Expired, started);
    }

    /// Sends a stop order.
    pub(super) fn stop(
        &self,
        worker: WorkerId,
        task: TaskKey,
        run: u32,
        authority: OrderAuthority,
    ) {
        let id = worker.clone();
        let stopped = move |reply| OwnerEvent::Stopped {
            worker,
            task,
            run,
            reply,
        };
        let Some(connection) = self.connections.get(&id) else {
            self.emit(stopped(OrderReply::Unknown));
            return;
        };
        let link = connection.link.clone();
        let call = async move { link.stop(task, run, authority).await };
        self.send(connection, call, OrderReply::Expired, stopped);
    }

    /// Makes a call within the limit on concurrent orders to a worker. If the connection is dropped
    /// before, the order is not sent, and the reply is `unsent`.
    fn send<R: Send + 'static>(
        &self,
        connection: &WorkerConnection<P::Worker>,
        call: impl Future<Output = R> + Send + 'static,
        unsent: R,
        replied: impl FnOnce(R) -> OwnerEvent + Send + 'static,
    ) {
        let (order_slots, events) = (connection.order_slots.clone(), self.events.clone());
        tokio::spawn(async move {
            let reply = match order_slots.acquire().await {
                Ok(_permit) => call.await,
                Err(_) => unsent,
            };
            // The engine may have stopped.
            let _ = events.send(replied(reply));
        });
    }

    fn emit(&self, event: OwnerEvent) {
        // The engine may have stopped.
        let _ = self.events.send(event);
    }
}

/// Call of one renewal or status probe.
struct RenewalCall {
    shared: Arc<MemberShared>,
    worker: WorkerId,
    order: RenewalOrder,
    authority: OrderAuthority,
    asked_at: ClockTime,
    probe: bool,
}

impl RenewalCall {
    async fn send<W: WorkerLink>(self, link: Arc<W>, events: mpsc::UnboundedSender<OwnerEvent>) {
        let fenced = OwnerEvent::Fenced("a worker has seen a newer owner");
        let report = match link.renew(self.order, self.authority).await {
            Ok(Some(report)) => Some(report),
            Ok(None) => {
                event!(self.shared.log, OrderFenced, "worker": self.worker.as_str(),
                    "order": "renewal", "token": self.authority.token);
                // The engine may have stopped.
                let _ = events.send(fenced);
                return;
            }
            // Nothing was sent, so this tells nothing about the worker.
            Err(error) if error.category() == Category::Expired => {
                // The engine may have stopped.
                let _ = events.send(OwnerEvent::RenewalExpired {
                    worker: self.worker,
                    probe: self.probe,
                });
                return;
            }
            // The scheduler records the worker's silence.
            Err(error) => {
                if error.category() == Category::Unreadable {
                    event!(self.shared.log, Unreadable, "key": self.worker.as_str(),
                        "reason": error.to_string());
                }
                None
            }
        };
        // The engine may have stopped.
        let _ = events.send(OwnerEvent::Renewed {
            worker: self.worker,
            report,
            asked_at: self.asked_at,
            probe: self.probe,
        });
    }
}

/// Counts the reply to a start order that did not start a run.
pub(super) fn count_start_reply(meter: &JobMeter, reply: StartReply) {
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
        StartReply::OtherProcess => "other_process",
        StartReply::NoAnswer => "no_answer",
        StartReply::Expired => "expired",
        StartReply::Unknown => "unknown",
    };
    meter.count_start_refusal(reason);
}

fn renewal_interval(worker: &jacinthhoist_core::job::Worker, failed: bool) -> ClockTime {
    if worker.seen_at.is_none() && !failed {
        ClockTime::ZERO
    } else if failed || worker.silent_since.is_some() {
        SILENT_RENEWAL_INTERVAL
    } else if worker.has_unstored_ends() {
        UNSTORED_RENEWAL_INTERVAL
    } else if worker.is_empty() {
        IDLE_RENEWAL_INTERVAL
    } else {
        MIN_RENEWAL_INTERVAL
    }
}

fn renewal_order(plan: &RenewalPlan, idle: bool) -> RenewalOrder {
    let waits = !plan.silent && !plan.has_unstored_ends && !idle && plan.is_current;
    RenewalOrder {
        ack: plan.ack,
        lease_until: plan.lease_until,
        incarnation: plan.incarnation,
        wait: if waits { RENEWAL_WAIT } else { ClockTime::ZERO },
    }
}
