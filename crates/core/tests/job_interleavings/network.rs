//! Calls to workers over links that delay, lose and reorder them.

use std::sync::Arc;

use jacinthhoist_core::{
    WorkerId,
    job::{OrderReply, StartReply, TaskEnd, TaskKey},
};

use rand::RngExt;

use crate::{
    engine::{CallOutcome, EngineEvent, WorkerCall},
    setting,
    world::{Event, OpenCall, World, address_of},
};

/// Timeout of an order.
const ORDER_TIMEOUT_MS: u64 = 250;
/// Time that a renewal may take beside the worker's wait.
const RENEWAL_MARGIN_MS: u64 = 600;

impl World {
    /// Sends a call to whatever is at an address.
    pub(crate) fn send(
        &mut self,
        engine: usize,
        worker: WorkerId,
        address: &Arc<str>,
        call: WorkerCall,
    ) {
        let hosts = 0..self.hosts.len();
        let mut hosts = hosts.filter(|number| address_of(*number) == *address);
        let address = hosts.next().expect("an address of the world");
        let timeout = match &call {
            WorkerCall::Renew { wait, .. } => RENEWAL_MARGIN_MS + wait,
            _ => ORDER_TIMEOUT_MS,
        };
        let process = self.hosts[address].as_ref();
        let sent_to = process.map(|process| process.uid);
        let begun_at = process.map(|process| process.began_at);
        let token = self.engines[engine].token;
        let mut refused = process.is_none();
        if self.terms.bound_deadlines {
            let intended = match &call {
                WorkerCall::Renew { incarnation, .. } | WorkerCall::Start { incarnation, .. } => {
                    *incarnation
                }
                WorkerCall::Stop { .. } => None,
            };
            refused |= intended.is_some() && intended != begun_at.map(setting::incarnation);
        }
        let number = self.calls.len() as u64;
        self.log(|| format!("owner {token} -> {worker} ({sent_to:?}) #{number}: {call:?}"));
        let cut = self.cuts[self.engines[engine].member][address];
        let is_cut = cut.until > self.now && cut.requests;
        self.calls.push(OpenCall {
            engine,
            worker,
            address,
            sent_to,
            call,
            is_open: true,
        });
        self.after(timeout, Event::TimeOut(number));
        let trouble = self.trouble;
        if refused && !is_cut {
            let outcome = match &self.calls[number as usize].call {
                WorkerCall::Renew { .. } => CallOutcome::NoReport,
                WorkerCall::Start { .. } => CallOutcome::Started(StartReply::Unhealthy),
                WorkerCall::Stop { .. } => CallOutcome::Stopped(OrderReply::Unknown),
            };
            self.after(1, Event::Answer(number, outcome));
            return;
        }
        if self.chance(trouble / 5) {
            return;
        }
        let delay = if self.chance(trouble / 4) {
            self.between(300, 4_500)
        } else if self.chance(trouble) {
            self.between(5, 260)
        } else {
            self.between(1, 3)
        };
        if !is_cut {
            self.after(delay, Event::Arrive(number));
        }
    }

    /// Carries out a call at the process that it reaches.
    pub(crate) fn arrive(&mut self, number: u64) {
        let now = self.now;
        let open = &self.calls[number as usize];
        let (address, worker, call) = (open.address, open.worker.clone(), open.call.clone());
        let (sent_to, member) = (open.sent_to, self.engines[open.engine].member);
        let token = self.engines[open.engine].token;
        let cut = self.cuts[member][address];
        if cut.until > now && cut.requests {
            return;
        }
        let present = self.hosts[address].as_ref().map(|process| process.uid);
        if present.is_none() || present != sent_to && !self.terms.outlives_process {
            let outcome = setting::unanswered(&call);
            self.answer(number, outcome);
            return;
        }
        self.settle(address);
        let is_unhealthy = self.chance(self.trouble / 4);
        let stop_span = self.between(0, 900);
        let (has_room, work) = match &call {
            WorkerCall::Start { task, .. } => (self.has_room(address, *task), self.draw_work(task)),
            _ => (true, (0, TaskEnd::Done)),
        };
        let Some(process) = &mut self.hosts[address] else {
            return;
        };
        if process.id != worker || is_unhealthy {
            let outcome = match call {
                WorkerCall::Renew { .. } => CallOutcome::NoReport,
                WorkerCall::Start { .. } if is_unhealthy => {
                    CallOutcome::Started(StartReply::Unhealthy)
                }
                WorkerCall::Start { .. } => CallOutcome::Started(StartReply::WrongLife),
                WorkerCall::Stop { .. } => CallOutcome::Stopped(OrderReply::Refused),
            };
            self.answer(number, outcome);
            return;
        }
        let outcome = match call {
            WorkerCall::Renew {
                ack,
                lease_until,
                wait,
                ..
            } => {
                let until = now + wait;
                let is_taken = process.renew(number, token, ack, lease_until, until, now);
                (!is_taken).then_some(CallOutcome::Fenced)
            }
            WorkerCall::Start {
                task,
                run,
                lease_until,
                ..
            } => {
                let reply = process.start((task, run), token, lease_until, has_room, work, now);
                Some(CallOutcome::Started(reply))
            }
            WorkerCall::Stop { task, run, .. } => {
                let reply = process.stop((task, run), token, stop_span, now);
                Some(CallOutcome::Stopped(reply))
            }
        };
        if let Some(outcome) = outcome {
            self.answer(number, outcome);
        }
        self.settle(address);
    }

    /// Draws how long a task lasts and how it ends.
    fn draw_work(&mut self, task: &TaskKey) -> (u64, TaskEnd) {
        let span = self.spans[&task.job];
        if self.checks.step(task).long_running {
            (1_000_000, TaskEnd::Done)
        } else if self.chance(self.trouble / 2) {
            (self.between(1, span), TaskEnd::Failed)
        } else {
            (span, TaskEnd::Done)
        }
    }

    /// Sends an answer on its way.
    pub(crate) fn answer(&mut self, number: u64, outcome: CallOutcome) {
        let open = &self.calls[number as usize];
        let member = self.engines[open.engine].member;
        let cut = self.cuts[member][open.address];
        let is_cut = cut.until > self.now && cut.answers;
        let trouble = self.trouble;
        if is_cut || self.chance(trouble / 5) {
            return;
        }
        let delay = if self.chance(trouble) {
            self.between(5, 900)
        } else {
            self.between(1, 3)
        };
        self.after(delay, Event::Answer(number, outcome));
    }

    /// Ends a call with an outcome, unless it has ended before.
    pub(crate) fn close(&mut self, number: u64, outcome: CallOutcome) {
        let open = &mut self.calls[number as usize];
        if !std::mem::replace(&mut open.is_open, false) {
            return;
        }
        let (engine, worker, call) = (open.engine, open.worker.clone(), open.call.clone());
        self.log(|| format!("#{number} of {worker} ends: {outcome:?}"));
        let called = EngineEvent::Called {
            worker,
            call,
            outcome,
        };
        self.deliver(engine, called);
    }

    /// Lets something go wrong.
    pub(crate) fn fault(&mut self) {
        if !self.is_troubled() {
            return;
        }
        let delay = self.between(100, 2_500);
        self.after(delay, Event::Fault);
        let address = self.random.random_range(0..self.hosts.len());
        let member = self.store.owner;
        match self.random.random_range(0..12) {
            0 | 1 => self.cut(member, address),
            2 => {
                for address in 0..self.hosts.len() {
                    if self.random.random_bool(0.6) {
                        self.cut(member, address);
                    }
                }
            }
            3 => {
                let span = self.between(100, 5_000);
                let number = self.engines.len() - 1;
                self.log(|| format!("the owner is suspended for {span}"));
                self.engines[number].suspended_until = self.now + span;
            }
            4 => {
                let span = self.between(100, 3_000);
                self.log(|| format!("the store is down for {span}"));
                self.store.down_until = self.now + span;
            }
            5 | 6 if self.terms.restarts => {
                let id = self.end_process(address);
                if let Some(id) = id {
                    self.reboot(address, id);
                }
            }
            10 if self.terms.restarts => {
                let other = self.random.random_range(0..self.hosts.len());
                let ids = (self.end_process(address), self.end_process(other));
                if let (Some(id), Some(other_id)) = ids {
                    let delay = self.between(5, 900);
                    self.after(delay, Event::Boot(address, other_id));
                    let delay = self.between(5, 900);
                    self.after(delay, Event::Boot(other, id));
                } else if let Some(id) = ids.0 {
                    self.reboot(address, id);
                } else if let Some(id) = ids.1 {
                    self.reboot(other, id);
                }
            }
            11 if self.terms.restarts => {
                if let Some(process) = &mut self.hosts[address] {
                    process.is_draining = true;
                    let uid = process.uid;
                    self.log(|| format!("process {uid} drains"));
                    self.after(0, Event::WriteEntry(address, uid));
                    let delay = self.between(2_500, 6_000);
                    self.after(delay, Event::Leave(address, uid));
                }
            }
            7 if self.terms.takeovers => {
                if self.random.random_bool(0.6) {
                    let span = self.between(100, 6_000);
                    self.store_cut_until[member] = self.now + span;
                }
                let delay = self.between(0, 2_000);
                self.after(delay, Event::TakeOver);
                if self.random.random_bool(0.3) {
                    let again = delay + self.between(100, 2_000);
                    self.after(again, Event::TakeOver);
                }
            }
            8 if self.terms.removals => {
                if let Some(process) = &self.hosts[address] {
                    let (id, uid) = (process.id.clone(), process.uid);
                    self.log(|| format!("the entry of {id} goes"));
                    self.after(0, Event::RemoveEntry(id, uid));
                    let delay = self.between(100, 4_000);
                    self.after(delay, Event::WriteEntry(address, uid));
                }
            }
            _ => {}
        }
    }

    fn cut(&mut self, member: usize, address: usize) {
        let span = if self.random.random_bool(0.5) {
            self.between(4_000, 9_000)
        } else {
            self.between(50, 2_500)
        };
        let way = self.random.random_range(0..4);
        let cut = &mut self.cuts[member][address];
        cut.until = self.now + span;
        (cut.requests, cut.answers) = (way != 0, way != 1);
        let cut = *cut;
        self.log(|| format!("member {member} and address {address}: {cut:?}"));
    }

    /// Ends the process at an address; returns its worker.
    pub(crate) fn end_process(&mut self, address: usize) -> Option<WorkerId> {
        self.settle(address);
        let process = self.hosts[address].take()?;
        let (uid, id) = (process.uid, process.id.clone());
        self.log(|| format!("process {uid} of {id} ends"));
        self.checks.process_ended(uid);
        if self.random.random_bool(0.5) {
            let removed = self.between(1_000, 3_000);
            self.after(removed, Event::RemoveEntry(id.clone(), uid));
        }
        Some(id)
    }

    fn new_worker(&mut self) -> WorkerId {
        self.last_worker += 1;
        WorkerId::new(&format!("i-{}", self.last_worker))
    }

    /// Restarts a worker under its id, or lets another one take its place.
    fn reboot(&mut self, address: usize, mut id: WorkerId) {
        let mut delay = self.between(5, 600);
        if self.random.random_bool(0.3) {
            id = self.new_worker();
            delay += self.between(0, 1_500);
        }
        self.after(delay, Event::Boot(address, id));
    }

    /// Ends a process that drains; a new worker takes its place.
    pub(crate) fn leave(&mut self, address: usize, uid: u64) {
        let host = self.hosts[address].as_ref();
        if host.is_some_and(|process| process.uid == uid) {
            self.end_process(address);
            let id = self.new_worker();
            let delay = self.between(100, 1_500);
            self.after(delay, Event::Boot(address, id));
        }
    }
}
