//! Stores accepted jobs and cancellations: one append at a time, each with all records that have
//! arrived during the one before.

use std::{pin::pin, sync::Arc, time::Duration};

use jacinthhoist_codec::KeyedRecord;
use tokio::{
    sync::{mpsc, oneshot},
    time::{sleep, timeout},
};

use crate::{
    dependency::Dependency,
    error::Category,
    ports::{AppendSequence, Platform, StoreStream},
    shared::MemberShared,
};

/// Maximum records of one append: about 500 KB at the largest payload, well within the limit of a
/// store call.
const MAX_BATCH_RECORDS: usize = 100;
/// Attempts at one append before its callers are told that the outcome is unknown; at the timeout
/// of a store call this is well before the callers give up.
const MAX_APPEND_ATTEMPTS: u32 = 4;
/// Duration of an append after which new requests are refused: one attempt without an answer and
/// the next one.
const SLOW_APPEND: Duration = Duration::from_millis(800);
/// Interval between probes of an unreachable store; requests are refused at once meanwhile.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Outcome of storing a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreOutcome {
    /// The record is stored.
    Stored,
    /// The record is not stored and never will be.
    NotStored,
    /// The record may be stored.
    Unknown,
}

/// Request to store a record.
pub(crate) struct StoreRequest {
    pub(crate) record: KeyedRecord,
    pub(crate) reply: oneshot::Sender<StoreOutcome>,
}

fn send_outcome(reply: oneshot::Sender<StoreOutcome>, outcome: StoreOutcome) {
    // The caller may no longer be waiting.
    let _ = reply.send(outcome);
}

/// Task that appends the records of callers; all members append concurrently.
pub(crate) struct AcceptTask<P> {
    inbox: mpsc::UnboundedReceiver<StoreRequest>,
    /// Sends stored records on to the owner.
    stored_sender: mpsc::UnboundedSender<Vec<KeyedRecord>>,
    writer: AcceptWriter<P>,
}

/// Writer with the member's own producer name and epoch.
struct AcceptWriter<P> {
    platform: Arc<P>,
    shared: Arc<MemberShared>,
    sequence: AppendSequence,
}

impl<P: Platform> AcceptTask<P> {
    pub(crate) fn open(
        platform: Arc<P>,
        shared: Arc<MemberShared>,
        inbox: mpsc::UnboundedReceiver<StoreRequest>,
        stored_sender: mpsc::UnboundedSender<Vec<KeyedRecord>>,
    ) -> Self {
        let sequence = AppendSequence {
            producer: shared.identity.member_key(),
            epoch: 1,
            seq: 0,
        };
        let writer = AcceptWriter {
            platform,
            shared,
            sequence,
        };
        Self {
            inbox,
            stored_sender,
            writer,
        }
    }

    pub(crate) async fn run(mut self) {
        let mut batch = Vec::new();
        while self.inbox.recv_many(&mut batch, MAX_BATCH_RECORDS).await > 0 {
            let requests = batch.drain(..);
            let (records, replies): (Vec<_>, Vec<_>) = requests
                .map(|StoreRequest { record, reply }| (record, reply))
                .unzip();
            let append = self.writer.append(&records);
            let outcome = refuse_during(&mut self.inbox, SLOW_APPEND, append).await;
            if outcome == StoreOutcome::Stored {
                // If this fails, the owner still reads the records from the store.
                let _ = self.stored_sender.send(records);
            }
            for reply in replies {
                send_outcome(reply, outcome);
            }
            if outcome != StoreOutcome::Stored {
                let probe = self.writer.probe();
                refuse_during(&mut self.inbox, Duration::ZERO, probe).await;
            }
        }
    }
}

/// Waits for a call to the store. Requests that are still queued after `grace` are refused at once:
/// nothing of them has been sent to the store.
async fn refuse_during<T>(
    inbox: &mut mpsc::UnboundedReceiver<StoreRequest>,
    grace: Duration,
    store_call: impl Future<Output = T>,
) -> T {
    let mut store_call = pin!(store_call);
    if let Ok(done) = timeout(grace, &mut store_call).await {
        return done;
    }
    loop {
        tokio::select! {
            biased;
            done = &mut store_call => return done,
            Some(request) = inbox.recv() => send_outcome(request.reply, StoreOutcome::NotStored),
        }
    }
}

impl<P: Platform> AcceptWriter<P> {
    async fn append(&mut self, records: &[KeyedRecord]) -> StoreOutcome {
        let started_at = self.shared.clock.now();
        let mut in_doubt = false;
        for _ in 0..MAX_APPEND_ATTEMPTS {
            let stream = StoreStream::Accepted;
            let appended = self.platform.append(stream, &self.sequence, records).await;
            self.shared.meter.appends.increment(1);
            self.shared.record_call(Dependency::JobAppends, &appended);
            let Err(error) = appended else {
                self.sequence.seq += 1;
                self.shared.record_store_answer();
                let elapsed = self.shared.clock.now() - started_at;
                self.shared.meter.store_time.record(elapsed.as_secs_f64());
                return StoreOutcome::Stored;
            };
            self.shared.meter.append_retries.increment(1);
            match error.category() {
                // A refusal does not undo an earlier attempt that was not answered.
                Category::NotDone if !in_doubt => return StoreOutcome::NotStored,
                Category::NotDone | Category::Unknown => in_doubt = true,
                // The store has not received all sequence numbers of this epoch.
                _ => self.begin_epoch(),
            }
        }
        // A new epoch fences off an attempt that may still be in flight.
        self.begin_epoch();
        if in_doubt {
            StoreOutcome::Unknown
        } else {
            StoreOutcome::NotStored
        }
    }

    fn begin_epoch(&mut self) {
        self.sequence.epoch += 1;
        self.sequence.seq = 0;
    }

    /// Probes the store with empty appends until one succeeds, so that no job depends on the probe.
    async fn probe(&mut self) {
        loop {
            sleep(PROBE_INTERVAL).await;
            let stream = StoreStream::Accepted;
            let probed = self.platform.append(stream, &self.sequence, &[]).await;
            self.shared.meter.appends.increment(1);
            self.shared.record_call(Dependency::JobAppends, &probed);
            match probed {
                Ok(()) => return,
                Err(error) if error.category() == Category::Fenced => self.begin_epoch(),
                Err(_) => {}
            }
        }
    }
}
