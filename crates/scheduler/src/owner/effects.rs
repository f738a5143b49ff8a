//! Performs the effects of scheduling steps.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jacinthhoist_codec::{
    AcceptedRecord, KeyedRecord, ProgressGroup, accepted_job, encode_progress_group, encode_removal,
};
use jacinthhoist_core::{
    ClockTime, VmName, WorkerId,
    job::{Batch, BatchRecord, Effect, JobId, OrderReply, StepKey, refusal_delay},
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
    sources::read_newest,
    takeover::{OWNER_PRODUCER, decode_accepted_records, is_fenced},
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
    /// Number of parts that are stored of the progress of large jobs.
    stored_parts: BTreeMap<JobId, u32>,
    /// Aborted when the engine is dropped.
    calls: JoinSet<()>,
}

impl<P: Platform> EffectRunner<P> {
    pub(super) fn open(
        platform: Arc<P>,
        shared: Arc<MemberShared>,
        events: mpsc::UnboundedSender<OwnerEvent>,
        token: u64,
        stored_parts: BTreeMap<JobId, u32>,
    ) -> Self {
        Self {
            platform,
            shared,
            events,
            token,
            seq: 0,
            removal_seq: 0,
            stored_parts,
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
                incarnation,
                permit,
            } => {
                let order = StartOrder {
                    task,
                    run,
                    payload,
                    checkpoint,
                    lease_until,
                    incarnation,
                    permit,
                };
                workers.start(worker, order, authority.for_start());
            }
            Effect::Advise {
                step,
                workers,
                limit,
            } => self.advise(step, workers, limit),
            Effect::Stop { worker, task, run } => {
                workers.stop(worker, task, run, authority.for_stop());
            }
            Effect::RemoveBodies(jobs) => self.remove_bodies(jobs),
            Effect::LoadJobs(jobs) => self.load_jobs(jobs),
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
            Effect::Log(decision) => log_decision(&self.shared, self.token, decision),
        }
    }

    fn advise(&mut self, step: StepKey, workers: Vec<WorkerId>, limit: ClockTime) {
        let (platform, shared) = (self.platform.clone(), self.shared.clone());
        let events = self.events.clone();
        self.calls.spawn(async move {
            let advice = platform.advise(step, &workers, limit).await;
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
        let mut groups = Vec::with_capacity(batch.records.len());
        for record in &batch.records {
            match self.encode(record) {
                Ok(group) => groups.push(group.records),
                Err(error) => event!(self.shared.log, Unreadable, "key": "progress",
                    "reason": error.to_string()),
            }
        }
        let calls = self.shared.store_limits.split_calls(groups);
        if calls.len() > 1 {
            event!(self.shared.log, Oversize, "batch": batch.number, "calls": calls.len());
        }
        let first = AppendSequence {
            producer: OWNER_PRODUCER.to_owned(),
            epoch: self.token,
            seq: self.seq,
        };
        self.seq += calls.len() as u64;
        let stored_event = OwnerEvent::Stored {
            number: batch.number,
            asked_at: self.shared.clock.now(),
        };
        self.append(StoreStream::Progress, first, calls, stored_event);
    }

    /// Encodes a record within the limits of the store.
    fn encode(&mut self, record: &BatchRecord) -> jacinthhoist_codec::Result<ProgressGroup> {
        let job = match record {
            BatchRecord::Progress(id, _) | BatchRecord::Remove(id) => Some(*id),
            _ => None,
        };
        let stored_parts = job.and_then(|id| self.stored_parts.remove(&id));
        let limits = &self.shared.store_limits;
        let group = encode_progress_group(record, limits, stored_parts.unwrap_or_default())?;
        if let Some(id) = job.filter(|_| group.parts > 0) {
            event!(self.shared.log, Oversize, "job": id.to_string(), "parts": group.parts,
                "reduced": group.is_reduced);
            self.stored_parts.insert(id, group.parts);
        }
        Ok(group)
    }

    /// Reads accepted jobs again. The store has no read of single keys, so the stream is read as a whole.
    fn load_jobs(&mut self, wanted: Vec<JobId>) {
        let (platform, shared) = (self.platform.clone(), self.shared.clone());
        let events = self.events.clone();
        self.calls.spawn(async move {
            let mut loaded = Vec::new();
            let add = |page: Vec<KeyedRecord>| {
                let jobs = page
                    .iter()
                    .filter(|record| accepted_job(record).is_some_and(|id| wanted.contains(&id)));
                let jobs: Vec<KeyedRecord> = jobs.cloned().collect();
                for record in decode_accepted_records(&shared, &jobs) {
                    if let AcceptedRecord::Job(id, spec) = record {
                        loaded.push((id, Arc::new(spec)));
                    }
                }
            };
            let read = read_newest(&*platform, StoreStream::Accepted, add).await;
            shared.record_call(Dependency::AcceptedJobs, &read);
            let loaded = read.ok().map(|_| loaded);
            event!(shared.log, Memory, "outcome": "loaded", "wanted": wanted.len(),
                "jobs": loaded.as_ref().map(Vec::len));
            // The engine may have stopped.
            let _ = events.send(OwnerEvent::Loaded { wanted, loaded });
        });
    }

    fn remove_bodies(&mut self, jobs: Vec<JobId>) {
        let groups = jobs.iter().map(|id| encode_removal(*id).to_vec()).collect();
        let calls = self.shared.store_limits.split_calls(groups);
        let first = AppendSequence {
            producer: format!("{OWNER_PRODUCER}-forget"),
            epoch: self.token,
            seq: self.removal_seq,
        };
        self.removal_seq += calls.len() as u64;
        let stored_event = OwnerEvent::BodiesRemoved(jobs);
        self.append(StoreStream::Accepted, first, calls, stored_event);
    }

    /// Makes the calls of an append one after the other, each until the store confirms it, then sends
    /// `stored_event`; the sequence numbers make repeated calls idempotent.
    fn append(
        &mut self,
        stream: StoreStream,
        first: AppendSequence,
        calls: Vec<Vec<KeyedRecord>>,
        stored_event: OwnerEvent,
    ) {
        let (platform, shared) = (self.platform.clone(), self.shared.clone());
        let events = self.events.clone();
        self.calls.spawn(async move {
            let mut sequence = first;
            let mut event = stored_event;
            for records in &calls {
                let append = StoreAppend {
                    platform: &*platform,
                    shared: &shared,
                    dependency: Dependency::Progress,
                    stream,
                    sequence: &sequence,
                    records,
                };
                if !append_until_stored(append).await {
                    event = OwnerEvent::Fenced("the store has seen a newer owner");
                    break;
                }
                sequence.seq += 1;
            }
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
            // The engine may have stopped.
            let _ = events.send(OwnerEvent::VmOrdered { vm, reply });
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

/// Repeats a call until the store confirms it; returns false if a newer owner has fenced this one off.
async fn append_until_stored<P: Platform>(append: StoreAppend<'_, P>) -> bool {
    let mut refusals = 0;
    loop {
        match append.send(None).await {
            Ok(()) => return true,
            Err(failure) if is_fenced(&failure.error) => return false,
            // Recorded by the append; it is repeated after a pause.
            Err(_) => refusals += 1,
        }
        sleep(duration(refusal_delay(refusals).min(MAX_REFUSAL_DELAY))).await;
    }
}
