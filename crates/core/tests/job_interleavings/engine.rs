//! The owner's engine around the real scheduler: renewals, probes and orders as the product sends them.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use jacinthhoist_core::{
    ClockTime, TenantName, WorkerId,
    job::{
        Batch, Effect, JobId, JobSpec, MAX_CONCURRENT_ORDERS, OrderReply, OwnershipEvidence,
        RenewalReport, Scheduler, StartReply, TaskKey, WorkerEntry,
    },
};

// As in the product's connections to workers.
pub(crate) const RENEWAL_WAIT_MS: u64 = 500;
const MIN_RENEWAL_INTERVAL_MS: u64 = 30;
const RENEWAL_SEARCH_INTERVAL_MS: u64 = 20;
const IDLE_RENEWAL_INTERVAL_MS: u64 = 3_000;
const SILENT_RENEWAL_INTERVAL_MS: u64 = 400;
const UNSTORED_RENEWAL_INTERVAL_MS: u64 = 1_000;
/// Longest time after its evidence at which an order is sent.
const MAX_AUTHORITY_AGE_MS: u64 = 900;

/// Call to a worker.
#[derive(Clone, Debug)]
pub(crate) enum WorkerCall {
    Renew {
        ack: u64,
        lease_until: Option<u64>,
        /// Process that the call is for; no other one may get it.
        incarnation: Option<u64>,
        wait: u64,
        asked_at: u64,
        probe: bool,
    },
    Start {
        task: TaskKey,
        run: u32,
        lease_until: Option<u64>,
        incarnation: Option<u64>,
        expires_at: u64,
    },
    Stop {
        task: TaskKey,
        run: u32,
        expires_at: u64,
    },
}

impl WorkerCall {
    pub(crate) fn is_renewal(&self) -> bool {
        matches!(self, Self::Renew { .. })
    }

    /// Time on the owner's clock from which on the call must not be sent.
    fn expires_at(&self) -> u64 {
        match self {
            Self::Renew { asked_at, .. } => asked_at + MAX_AUTHORITY_AGE_MS,
            Self::Start { expires_at, .. } | Self::Stop { expires_at, .. } => *expires_at,
        }
    }
}

/// Outcome of a call to a worker.
#[derive(Clone, Debug)]
pub(crate) enum CallOutcome {
    Report(RenewalReport),
    /// A renewal that was not answered with a report.
    NoReport,
    Fenced,
    Started(StartReply),
    Stopped(OrderReply),
}

/// What arrives at an engine.
#[derive(Clone, Debug)]
pub(crate) enum EngineEvent {
    Called {
        worker: WorkerId,
        call: WorkerCall,
        outcome: CallOutcome,
    },
    Listed(WorkerId, WorkerEntry),
    Unlisted(WorkerId),
    Stored {
        number: u64,
        asked_at: u64,
    },
    /// A renewal whose permission ran out before it was sent.
    RenewalExpired {
        worker: WorkerId,
        probe: bool,
    },
    StoreFenced,
    Confirmed {
        asked_at: u64,
    },
    Accepted(JobId, Arc<JobSpec>),
    Cancelled(JobId, Option<TenantName>),
}

/// Call that an engine makes, or a batch that it stores.
#[derive(Debug)]
pub(crate) enum EngineAction {
    Call {
        worker: WorkerId,
        address: Arc<str>,
        call: WorkerCall,
    },
    Store(Batch),
    /// Anything else, for the trace.
    Log(String),
}

#[derive(Debug)]
struct Connection {
    address: Arc<str>,
    renewing: bool,
    renewed_at: u64,
    failed: bool,
    probing: bool,
    orders_open: usize,
    orders_waiting: VecDeque<WorkerCall>,
}

impl Connection {
    fn end_renewal(&mut self, probe: bool) {
        if probe {
            self.probing = false;
        } else {
            self.renewing = false;
        }
    }
}

/// Owner under one fencing token.
pub(crate) struct Engine {
    pub(crate) member: usize,
    pub(crate) token: u64,
    /// Advance of the clock of the member's process.
    pub(crate) skew: u64,
    /// Time of the world at which the owner last took a step, and sent a heartbeat.
    pub(crate) stepped_at: u64,
    pub(crate) scheduler: Scheduler,
    pub(crate) has_ended: bool,
    /// Time until which the process is suspended.
    pub(crate) suspended_until: u64,
    /// Longest time that a step takes, and that a call decided in it waits before it leaves the process.
    pub(crate) slowness: u64,
    /// Time until which the last step takes.
    pub(crate) busy_until: u64,
    pub(crate) next_step_at: u64,
    /// Time up to which changes of entries have been delivered.
    pub(crate) listed_until: u64,
    inbox: Vec<EngineEvent>,
    connections: BTreeMap<WorkerId, Connection>,
    synced_version: Option<u64>,
    searched_at: u64,
    confirmed_at: u64,
    appended_at: u64,
}

impl Engine {
    /// Opens an owner at a time of the world.
    pub(crate) fn open(
        member: usize,
        token: u64,
        scheduler: Scheduler,
        skew: u64,
        now: u64,
    ) -> Self {
        Self {
            member,
            token,
            skew,
            stepped_at: now,
            scheduler,
            has_ended: false,
            suspended_until: 0,
            slowness: 0,
            busy_until: 0,
            next_step_at: now,
            listed_until: now,
            inbox: Vec::new(),
            connections: BTreeMap::new(),
            synced_version: None,
            searched_at: 0,
            confirmed_at: now + skew,
            appended_at: 0,
        }
    }

    /// Returns the event of a call that must not leave the process any more.
    pub(crate) fn check_expiry(
        &self,
        worker: &WorkerId,
        call: &WorkerCall,
        world_now: u64,
    ) -> Option<EngineEvent> {
        let has_expired = world_now + self.skew >= call.expires_at();
        has_expired.then(|| expired(worker.clone(), call.clone()))
    }

    pub(crate) fn receive(&mut self, event: EngineEvent) {
        self.inbox.push(event);
    }

    /// Applies what has arrived, takes a scheduling step and returns what is to be done.
    pub(crate) fn step(&mut self, world_now: u64) -> Vec<EngineAction> {
        self.stepped_at = world_now;
        let now = world_now + self.skew;
        let mut actions = Vec::new();
        for event in std::mem::take(&mut self.inbox) {
            self.apply(event, now, &mut actions);
        }
        if self.has_ended {
            return actions;
        }
        self.scheduler.set_evidence(OwnershipEvidence {
            stored_at: ClockTime::from_millis(self.confirmed_at.max(self.appended_at)),
            promised_until: ClockTime::ZERO,
        });
        let starts_until = self.confirmed_at.max(self.appended_at) + MAX_AUTHORITY_AGE_MS;
        self.scheduler
            .set_starts_until(ClockTime::from_millis(starts_until));
        let effects = self.scheduler.step(ClockTime::from_millis(now));
        self.sync(&mut actions);
        for effect in effects {
            self.perform(effect, now, &mut actions);
        }
        self.renew_due(now, &mut actions);
        actions
    }

    fn apply(&mut self, event: EngineEvent, now: u64, actions: &mut Vec<EngineAction>) {
        let time = ClockTime::from_millis(now);
        match event {
            EngineEvent::Called {
                worker,
                call,
                outcome,
            } => self.apply_call(worker, call, outcome, now, actions),
            EngineEvent::Listed(id, entry) => self.scheduler.worker_listed(id, entry, time),
            EngineEvent::Unlisted(id) => self.scheduler.worker_unlisted(&id, time),
            EngineEvent::Stored { number, asked_at } => {
                self.appended_at = self.appended_at.max(asked_at);
                self.scheduler.batch_stored(number, time);
            }
            EngineEvent::RenewalExpired { worker, probe } => {
                if let Some(connection) = self.connections.get_mut(&worker) {
                    connection.end_renewal(probe);
                }
            }
            EngineEvent::StoreFenced => self.has_ended = true,
            EngineEvent::Confirmed { asked_at } => {
                self.confirmed_at = self.confirmed_at.max(asked_at);
            }
            EngineEvent::Accepted(id, spec) => self.scheduler.accept(id, spec),
            EngineEvent::Cancelled(id, tenant) => self.scheduler.cancel(id, tenant.as_ref()),
        }
    }

    fn apply_call(
        &mut self,
        worker: WorkerId,
        call: WorkerCall,
        outcome: CallOutcome,
        now: u64,
        actions: &mut Vec<EngineAction>,
    ) {
        let time = ClockTime::from_millis(now);
        if let (WorkerCall::Renew { probe, .. }, Some(connection)) =
            (&call, self.connections.get_mut(&worker))
        {
            connection.end_renewal(*probe);
            if !probe {
                connection.failed = !matches!(outcome, CallOutcome::Report(_));
            }
        }
        if !call.is_renewal()
            && let Some(connection) = self.connections.get_mut(&worker)
        {
            connection.orders_open = connection.orders_open.saturating_sub(1);
            self.send_orders(&worker, now, actions);
        }
        let scheduler = &mut self.scheduler;
        match (call, outcome) {
            (_, CallOutcome::Fenced) => self.has_ended = true,
            (WorkerCall::Renew { asked_at, .. }, CallOutcome::Report(report)) => {
                scheduler.report(&worker, report, ClockTime::from_millis(asked_at), time);
            }
            (WorkerCall::Renew { .. }, _) => scheduler.renewal_failed(&worker, time),
            (WorkerCall::Start { task, run, .. }, CallOutcome::Started(reply)) => {
                scheduler.start_replied(&worker, task, run, reply, time);
            }
            (WorkerCall::Stop { task, run, .. }, CallOutcome::Stopped(reply)) => {
                scheduler.stop_replied(&worker, task, run, reply, time);
            }
            (call, outcome) => unreachable!("{outcome:?} answers no {call:?}"),
        }
    }

    /// Opens connections to workers that are new or have a new address, and drops those of others.
    fn sync(&mut self, actions: &mut Vec<EngineAction>) {
        let version = Some(self.scheduler.worker_list_version());
        if std::mem::replace(&mut self.synced_version, version) == version {
            return;
        }
        let scheduler = &self.scheduler;
        let mut unsent = Vec::new();
        self.connections.retain(|id, connection| {
            let worker = scheduler.worker(id);
            let is_kept = worker.is_some_and(|worker| worker.entry.address == connection.address);
            if !is_kept {
                let waiting = connection.orders_waiting.drain(..);
                unsent.extend(waiting.map(|call| (id.clone(), call)));
            }
            is_kept
        });
        for (worker, call) in unsent {
            self.inbox.push(expired(worker, call));
        }
        for worker in self.scheduler.workers() {
            let address = &worker.entry.address;
            if address.is_empty() || self.connections.contains_key(&worker.id) {
                continue;
            }
            let connection = Connection {
                address: address.clone(),
                renewing: false,
                renewed_at: 0,
                failed: false,
                probing: false,
                orders_open: 0,
                orders_waiting: VecDeque::new(),
            };
            self.connections.insert(worker.id.clone(), connection);
            actions.push(EngineAction::Log(format!("connect {}", worker.id)));
        }
    }

    fn perform(&mut self, effect: Effect, now: u64, actions: &mut Vec<EngineAction>) {
        let evidence = self.confirmed_at.max(self.appended_at);
        let expires_at = evidence + MAX_AUTHORITY_AGE_MS;
        match effect {
            Effect::Store(batch) => actions.push(EngineAction::Store(batch)),
            Effect::Start {
                worker,
                task,
                run,
                lease_until,
                incarnation,
                ..
            } => {
                let call = WorkerCall::Start {
                    task,
                    run,
                    lease_until,
                    incarnation,
                    expires_at,
                };
                self.order(worker, call, now, actions);
            }
            Effect::Stop { worker, task, run } => {
                let call = WorkerCall::Stop {
                    task,
                    run,
                    expires_at,
                };
                self.order(worker, call, now, actions);
            }
            Effect::Log(decision) => actions.push(EngineAction::Log(format!("{decision:?}"))),
            _ => {}
        }
    }

    fn order(
        &mut self,
        worker: WorkerId,
        call: WorkerCall,
        now: u64,
        actions: &mut Vec<EngineAction>,
    ) {
        match self.connections.get_mut(&worker) {
            Some(connection) => {
                connection.orders_waiting.push_back(call);
                self.send_orders(&worker, now, actions);
            }
            None => {
                let outcome = match &call {
                    WorkerCall::Start { .. } => CallOutcome::Started(StartReply::Unhealthy),
                    _ => CallOutcome::Stopped(OrderReply::Unknown),
                };
                self.inbox.push(EngineEvent::Called {
                    worker,
                    call,
                    outcome,
                });
            }
        }
    }

    /// Sends the orders for which there are slots.
    fn send_orders(&mut self, worker: &WorkerId, now: u64, actions: &mut Vec<EngineAction>) {
        let Some(connection) = self.connections.get_mut(worker) else {
            return;
        };
        while connection.orders_open < MAX_CONCURRENT_ORDERS
            && let Some(call) = connection.orders_waiting.pop_front()
        {
            if now >= call.expires_at() {
                self.inbox.push(expired(worker.clone(), call));
                continue;
            }
            connection.orders_open += 1;
            actions.push(EngineAction::Call {
                worker: worker.clone(),
                address: connection.address.clone(),
                call,
            });
        }
    }

    fn renew_due(&mut self, now: u64, actions: &mut Vec<EngineAction>) {
        if now < self.searched_at + RENEWAL_SEARCH_INTERVAL_MS {
            return;
        }
        self.searched_at = now;
        for (id, connection) in &mut self.connections {
            let Some(worker) = self.scheduler.worker(id) else {
                continue;
            };
            let failed = connection.failed;
            let interval = if worker.seen_at.is_none() && !failed {
                0
            } else if failed || worker.silent_since.is_some() {
                SILENT_RENEWAL_INTERVAL_MS
            } else if worker.has_unstored_ends() {
                UNSTORED_RENEWAL_INTERVAL_MS
            } else if worker.is_empty() {
                IDLE_RENEWAL_INTERVAL_MS
            } else {
                MIN_RENEWAL_INTERVAL_MS
            };
            let idle = worker.is_empty();
            let due = !connection.renewing && now >= connection.renewed_at + interval;
            let probe = !connection.probing && self.scheduler.needs_report(id);
            if !due && !probe {
                continue;
            }
            let time = ClockTime::from_millis(now);
            let Some(plan) = self.scheduler.plan_renewal(id, time) else {
                continue;
            };
            let idle = idle || probe;
            let waits = !plan.silent && !plan.has_unstored_ends && !idle && plan.is_current;
            if probe {
                connection.probing = true;
            } else {
                connection.renewing = true;
                connection.renewed_at = now;
            }
            actions.push(EngineAction::Call {
                worker: id.clone(),
                address: connection.address.clone(),
                call: WorkerCall::Renew {
                    ack: plan.ack,
                    lease_until: plan.lease_until,
                    incarnation: plan.incarnation,
                    wait: if waits { RENEWAL_WAIT_MS } else { 0 },
                    asked_at: now,
                    probe,
                },
            });
        }
    }
}

/// Event of a call whose permission ran out before it was sent.
fn expired(worker: WorkerId, call: WorkerCall) -> EngineEvent {
    let outcome = match &call {
        WorkerCall::Renew { probe, .. } => {
            let probe = *probe;
            return EngineEvent::RenewalExpired { worker, probe };
        }
        WorkerCall::Start { .. } => CallOutcome::Started(StartReply::Expired),
        WorkerCall::Stop { .. } => CallOutcome::Stopped(OrderReply::Expired),
    };
    EngineEvent::Called {
        worker,
        call,
        outcome,
    }
}
