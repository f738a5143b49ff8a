//! Stores accepted jobs and cancellations: one append at a time, each with all records that have
//! arrived during the one before.

use std::{pin::pin, slice::from_ref, sync::Arc, time::Duration};

use jacinthhoist_codec::{KeyedRecord, StoreOutcome, accepted_job};
use jacinthhoist_core::{
    ClockTime,
    job::{JobId, JobSize, refusal_delay},
};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep, timeout},
};

use crate::{
    append::{StoreAppend, duration},
    dependency::Dependency,
    error::Category,
    eventlog::event,
    memory::{record_append, reserve},
    ports::{AppendSequence, Platform, StoreStream},
    shared::MemberShared,
};

/// Maximum records of one append.
const MAX_BATCH_RECORDS: usize = 100;
/// Time after which the outcome of an append counts as unknown, well before its callers give up.
const APPEND_DEADLINE: Duration = Duration::from_millis(2_200);
/// Duration of an append after which new requests are refused: longer than the answer of a store
/// that is sixty times slower than usual.
const SLOW_APPEND: Duration = Duration::from_millis(900);
/// Longest interval between the probes of a member that owns the pools, and stores the records of
/// the other members too.
const MAX_OWNER_PROBE_INTERVAL: ClockTime = ClockTime::from_millis(200);

/// Request to store a record.
#[derive(Debug)]
pub(crate) struct StoreRequest {
    pub(crate) record: KeyedRecord,
    /// Size of the job in the record; none for other records.
    pub(crate) size: Option<JobSize>,
    /// True if an earlier attempt, by another member, may have stored the record.
    pub(crate) in_doubt: bool,
    pub(crate) reply: oneshot::Sender<StoreOutcome>,
}

impl StoreRequest {
    /// Creates a request and returns the receiver of its outcome.
    pub(crate) fn new(
        record: KeyedRecord,
        size: Option<JobSize>,
    ) -> (Self, oneshot::Receiver<StoreOutcome>) {
        let (reply, outcome) = oneshot::channel();
        let in_doubt = false;
        let request = Self {
            record,
            size,
            in_doubt,
            reply,
        };
        (request, outcome)
    }

    /// Job in the record, if its size is known.
    fn sized_job(&self) -> Option<JobId> {
        self.size.and_then(|_| accepted_job(&self.record))
    }

    /// Sends the outcome of this attempt, combined with that of an earlier one.
    pub(crate) fn settle(self, outcome: StoreOutcome) {
        let outcome = match outcome {
            StoreOutcome::NotStored | StoreOutcome::NoRoom if self.in_doubt => {
                StoreOutcome::Unknown
            }
            outcome => outcome,
        };
        // The caller may no longer be waiting.
        let _ = self.reply.send(outcome);
    }
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
        let mut waiting = Vec::new();
        while !waiting.is_empty() || self.inbox.recv_many(&mut waiting, MAX_BATCH_RECORDS).await > 0
        {
            let mut batch = self.take_batch(&mut waiting);
            if batch.is_empty() {
                continue;
            }
            let records: Vec<_> = batch.iter().map(|request| request.record.clone()).collect();
            let append = self.writer.append(&records);
            let outcome = refuse_during(&mut self.inbox, SLOW_APPEND, append).await;
            let jobs: Vec<JobId> = batch.iter().filter_map(StoreRequest::sized_job).collect();
            if !jobs.is_empty() {
                record_append(&jobs, outcome, &self.writer.shared);
            }
            if outcome == StoreOutcome::Stored {
                // If this fails, the owner still reads the records from the store.
                let _ = self.stored_sender.send(records);
            }
            for request in batch.drain(..) {
                request.settle(outcome);
            }
            if outcome != StoreOutcome::Stored {
                for request in waiting.drain(..) {
                    request.settle(StoreOutcome::NotStored);
                }
                let probe = self.writer.probe();
                refuse_during(&mut self.inbox, Duration::ZERO, probe).await;
            }
        }
    }

    /// Takes the first requests that the store accepts in one call. Those that it would never accept are
    /// refused, as they would take the others of their call with them, and so are jobs for which no memory is left.
    fn take_batch(&self, waiting: &mut Vec<StoreRequest>) -> Vec<StoreRequest> {
        let shared = &self.writer.shared;
        let limits = &shared.store_limits;
        for request in waiting.extract_if(.., |request| !limits.admits(&request.record)) {
            event!(shared.log, Oversize, "key": request.record.key,
                "bytes": request.record.value.len(), "outcome": "refused");
            request.settle(StoreOutcome::NotStored);
        }
        let records = waiting.iter().map(|request| from_ref(&request.record));
        let count = limits.count_fitting(records);
        let mut batch: Vec<StoreRequest> = waiting.drain(..count).collect();
        let is_refused = |request: &mut StoreRequest| {
            let job = request.sized_job().zip(request.size);
            job.is_some_and(|(id, size)| !reserve(id, size, shared))
        };
        for request in batch.extract_if(.., is_refused) {
            request.settle(StoreOutcome::NoRoom);
        }
        batch
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
            Some(request) = inbox.recv() => request.settle(StoreOutcome::NotStored),
        }
    }
}

impl<P: Platform> AcceptWriter<P> {
    fn call<'a>(&'a self, records: &'a [KeyedRecord]) -> StoreAppend<'a, P> {
        StoreAppend {
            platform: &*self.platform,
            shared: &self.shared,
            dependency: Dependency::JobAppends,
            stream: StoreStream::Accepted,
            sequence: &self.sequence,
            records,
        }
    }

    async fn append(&mut self, records: &[KeyedRecord]) -> StoreOutcome {
        let deadline = Instant::now() + APPEND_DEADLINE;
        let mut in_doubt = false;
        loop {
            let Err(failure) = self.call(records).send(Some(deadline)).await else {
                self.sequence.seq += 1;
                return StoreOutcome::Stored;
            };
            in_doubt |= failure.in_doubt;
            match failure.error.category() {
                Category::Fenced | Category::OutOfOrder if Instant::now() < deadline => {
                    // The store has not received all sequence numbers of this epoch.
                    self.begin_epoch();
                }
                _ => break,
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
        let mut failures = 0;
        loop {
            failures += 1;
            sleep(self.probe_interval(failures)).await;
            match self.call(&[]).probe().await {
                Ok(()) => return,
                Err(error) if error.category() == Category::Fenced => self.begin_epoch(),
                Err(_) => {}
            }
        }
    }

    /// Returns the time before the next probe. The probes of all members together must not occupy
    /// the store, so those of members that do not own the pools become rare.
    fn probe_interval(&self, failures: u32) -> Duration {
        let delay = refusal_delay(failures);
        if self.shared.owner_inbox.load().is_some() {
            duration(delay.min(MAX_OWNER_PROBE_INTERVAL))
        } else {
            duration(delay + self.shared.identity.jitter())
        }
    }
}
