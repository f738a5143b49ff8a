//! Performs the effects of scheduling steps.

use std::{sync::Arc, time::Duration};

use jacinthhoist_codec::{KeyedRecord, encode_progress, encode_removal};
use jacinthhoist_core::{
    ClockTime, VmName, WorkerId,
    job::{Batch, Effect, JobId, OrderReply, StepKey, refusal_delay},
};
use tokio::{sync::mpsc, task::JoinSet, time::sleep};

use crate::{
    append::{StoreAppend, duration},
    dependency::Dependency,
    eventlog::event,
    ports::{AppendSequence, Platform, StartOrder, StoreStream, UnreadableRow, VmListing},
    shared::MemberShared,
};

use super::{
    OwnerEvent,
    authority::OwnerAuthority,
    decisions::log_decision,
    takeover::{OWNER_PRODUCER, is_fenced},
    workers::WorkerConnections,
};

/// Longest delay before a refused append is repeated; it delays the return after an outage.
const MAX_REFUSAL_DELAY: ClockTime = ClockTime::from_millis(200);
/// Delay before a failed write of a wave's status is repeated.
const STATUS_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Runs effects in tasks of their own, concurrently with the engine.
pub(super) struct EffectRunner<P> {
    platform: Arc<P>,
    shared: Arc<MemberShared>,
    events: mpsc::UnboundedSender<OwnerEvent>,
    token: u64,
    seq: u64,
    removal_seq: u64,
    /// Aborted when the engine is dropped.
    calls: JoinSet<()>,
}

impl<P: Platform> EffectRunner<P> {
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
            seq: 0,
            removal_seq: 0,
            calls: JoinSet::new(),
        }
    }

    pub(super) fn run(
        &mut self,
        effect: Effect,
        workers: &WorkerConnections<P>,
        authority: &OwnerAuthority,
    ) {
        while self.calls.try_join_next().is_some() {}
        match effect {
            Effect::Store(batch) => self.store(batch),
            Effect::Start {
                worker,
                task,
                run,
                payload,
                checkpoint,
                lease_until,
                permit,
            } => {
                let order = StartOrder {
                    task,
                    run,
                    payload,
                    checkpoint,
                    lease_until,
                    permit,
                };
                workers.start(worker, order, authority.for_start());
            }
            Effect::Advise { step, workers } => self.advise(step, workers),
            Effect::Stop { worker, task, run } => {
                workers.stop(worker, task, run, authority.for_decision());
            }
            Effect::RemoveBodies(jobs) => self.remove_bodies(jobs),
            Effect::Move { vm, to } => {
                let (platform, authority) = (self.platform.clone(), authority.for_vm());
                let name = vm.clone();
                let order = format!("move to {to}");
                self.order_vm(vm, order, async move {
                    platform.move_vm(&name, &to, authority).await
                });
            }
            Effect::Maintain { vm, wave } => {
                let (platform, authority) = (self.platform.clone(), authority.for_vm());
                let name = vm.clone();
                let order = format!("maintenance of wave {wave}");
                self.order_vm(vm, order, async move {
                    platform.maintain_vm(&name, wave, authority).await
                });
            }
            Effect::WaveStatus { wave, completed } => self.write_wave(wave, completed),
            Effect::Log(decision) => log_decision(&self.shared, decision),
        }
    }

    fn advise(&mut self, step: StepKey, workers: Vec<WorkerId>) {
        let (platform, shared) = (self.platform.clone(), self.shared.clone());
        let events = self.events.clone();
        self.calls.spawn(async move {
            let advice = platform.advise(step, &workers).await;
            shared.record_call(Dependency::Policy, &advice);
            // The engine may have stopped.
            let _ = events.send(OwnerEvent::Advised(advice.ok()));
        });
    }

    /// Reads the VM list.
    pub(super) fn list_vms(&mut self, asked_at: ClockTime) {
        let (platform, shared) = (self.platform.clone(), self.shared.clone());
        let events = self.events.clone();
        self.calls.spawn(async move {
            let listed = platform.list_vms().await;
            shared.record_call(Dependency::VmList, &listed);
            if let Ok(VmListing { vms, unreadable }) = listed {
                for UnreadableRow { key, reason } in unreadable {
                    event!(shared.log, Unreadable, "key": key, "reason": reason);
                }
                // The engine may have stopped.
                let _ = events.send(OwnerEvent::Vms { vms, asked_at });
            }
        });
    }

    fn store(&mut self, batch: Batch) {
        let mut records = Vec::with_capacity(batch.records.len());
        for record in &batch.records {
            match encode_progress(record) {
                Ok(encoded) => records.push(encoded),
                Err(error) => event!(self.shared.log, Unreadable, "key": "progress",
                    "reason": error.to_string()),
            }
        }
        let sequence = AppendSequence {
            producer: OWNER_PRODUCER.to_owned(),
            epoch: self.token,
            seq: self.seq,
        };
        self.seq += 1;
        let stored_event = OwnerEvent::Stored {
            number: batch.number,
            asked_at: self.shared.clock.now(),
        };
        self.append(StoreStream::Progress, sequence, records, stored_event);
    }

    fn remove_bodies(&mut self, jobs: Vec<JobId>) {
        let records = jobs.iter().flat_map(|id| encode_removal(*id)).collect();
        let sequence = AppendSequence {
            producer: format!("{OWNER_PRODUCER}-forget"),
            epoch: self.token,
            seq: self.removal_seq,
        };
        self.removal_seq += 1;
        let stored_event = OwnerEvent::BodiesRemoved(jobs);
        self.append(StoreStream::Accepted, sequence, records, stored_event);
    }

    /// Repeats an append until the store confirms it, then sends `stored_event`; the sequence
    /// number makes repeated appends idempotent.
    fn append(
        &mut self,
        stream: StoreStream,
        sequence: AppendSequence,
        records: Vec<KeyedRecord>,
        stored_event: OwnerEvent,
    ) {
        let (platform, shared) = (self.platform.clone(), self.shared.clone());
        let events = self.events.clone();
        self.calls.spawn(async move {
            let append = StoreAppend {
                platform: &*platform,
                shared: &shared,
                dependency: Dependency::Progress,
                stream,
                sequence: &sequence,
                records: &records,
            };
            let mut refusals = 0;
            let event = loop {
                match append.send(None).await {
                    Ok(()) => break stored_event,
                    Err(failure) if is_fenced(&failure.error) => {
                        break OwnerEvent::Fenced("the store has seen a newer owner");
                    }
                    // Recorded by the append; it is repeated after a pause.
                    Err(_) => refusals += 1,
                }
                sleep(duration(refusal_delay(refusals).min(MAX_REFUSAL_DELAY))).await;
            };
            // The engine may have stopped.
            let _ = events.send(event);
        });
    }

    fn order_vm(
        &mut self,
        vm: VmName,
        order: String,
        call: impl Future<Output = OrderReply> + Send + 'static,
    ) {
        let (events, shared) = (self.events.clone(), self.shared.clone());
        self.calls.spawn(async move {
            let reply = call.await;
            event!(shared.log, Vm, "vm": vm.as_str(), "order": order, "outcome": format!("{reply:?}"));
            let event = match reply {
                OrderReply::Fenced => OwnerEvent::Fenced("a VM has seen a newer owner"),
                reply => OwnerEvent::VmOrdered { vm, reply },
            };
            // The engine may have stopped.
            let _ = events.send(event);
        });
    }

    fn write_wave(&mut self, wave: u64, completed: bool) {
        event!(self.shared.log, Wave, "wave": wave, "completed": completed,
            "outcome": "told operators");
        let (platform, shared) = (self.platform.clone(), self.shared.clone());
        self.calls.spawn(async move {
            while let Err(error) = platform.write_wave(wave, completed).await {
                shared.record_failure(Dependency::WaveStatus, &error);
                sleep(STATUS_RETRY_DELAY).await;
            }
        });
    }
}
