//! Decode and fold stages: apply every record once and in order, whether it was read from the log
//! or received from a peer.

use std::sync::Arc;

use imbl::Vector;
use jacinthhoist_codec::{LogRecord, decode_record};
use jacinthhoist_core::{FoldState, Offset};
use tokio::sync::{mpsc, oneshot, watch};

use super::append::StepRejection;
use crate::{context::MemberContext, logs::log_line};

/// Number of recent records kept for peers that cannot reach the log.
const MAX_TAIL_RECORDS: usize = 1_024;

/// Verdicts on the steps of a record written by this member.
pub(crate) struct RecordVerdicts {
    pub(crate) seq: u64,
    pub(crate) offset: Offset,
    pub(crate) verdicts: Vec<Result<(), StepRejection>>,
}

/// Input of the fold task.
pub(crate) enum FoldMessage {
    /// Records from the log, in order; the records in a gap between offsets have expired.
    Log(Vec<LogRecord>, oneshot::Sender<()>),
    /// Records from a peer; those after a gap are ignored.
    Peer(Vec<LogRecord>),
    /// Complete snapshot.
    Snapshot(Box<FoldState>, oneshot::Sender<()>),
}

/// Handle to the fold task.
#[derive(Clone)]
pub(crate) struct FoldHandle(mpsc::UnboundedSender<FoldMessage>);

impl FoldHandle {
    /// Applies records from the log and returns once the resulting state is published.
    pub(crate) async fn fold(&self, records: Vec<LogRecord>) {
        let (done, folded) = oneshot::channel();
        if self.0.send(FoldMessage::Log(records, done)).is_ok() {
            // Fails only after the task has ended with the member.
            let _ = folded.await;
        }
    }

    /// Submits records received from a peer.
    pub(crate) fn offer(&self, records: Vec<LogRecord>) {
        let _ = self.0.send(FoldMessage::Peer(records));
    }

    /// Replaces the state by a snapshot if the snapshot is newer.
    pub(crate) async fn load(&self, state: FoldState) {
        let (done, loaded) = oneshot::channel();
        if self
            .0
            .send(FoldMessage::Snapshot(Box::new(state), done))
            .is_ok()
        {
            let _ = loaded.await;
        }
    }
}

/// Task that owns the replicated state and publishes immutable copies of it.
pub(crate) struct FoldTask {
    context: Arc<MemberContext>,
    state: FoldState,
    tail: Vector<LogRecord>,
    own_verdicts: mpsc::UnboundedSender<RecordVerdicts>,
    routes_revision: watch::Sender<Offset>,
}

impl FoldTask {
    /// Starts the task; `own_verdicts` receives the verdicts on this member's records, and
    /// `routes_revision` the offset of each change that affects the route table.
    pub(crate) fn spawn(
        context: Arc<MemberContext>,
        own_verdicts: mpsc::UnboundedSender<RecordVerdicts>,
        routes_revision: watch::Sender<Offset>,
    ) -> FoldHandle {
        let (sender, receiver) = mpsc::unbounded_channel();
        let state = FoldState::default();
        let task = Self {
            context,
            state,
            tail: Vector::new(),
            own_verdicts,
            routes_revision,
        };
        tokio::spawn(task.run(receiver));
        FoldHandle(sender)
    }

    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<FoldMessage>) {
        while let Some(message) = receiver.recv().await {
            let done = match message {
                FoldMessage::Log(records, done) => {
                    self.fold(records, false);
                    Some(done)
                }
                FoldMessage::Peer(records) => {
                    self.fold(records, true);
                    None
                }
                FoldMessage::Snapshot(state, done) => {
                    self.load(*state);
                    Some(done)
                }
            };
            self.publish();
            if let Some(done) = done {
                let _ = done.send(());
            }
        }
    }

    fn fold(&mut self, records: Vec<LogRecord>, require_contiguous: bool) {
        for record in records {
            let expected = self.state.next_offset();
            if record.offset < expected || (require_contiguous && record.offset > expected) {
                continue;
            }
            self.apply(&record);
            self.tail.push_back(record);
            if self.tail.len() > MAX_TAIL_RECORDS {
                self.tail.pop_front();
            }
        }
    }

    fn apply(&mut self, log_record: &LogRecord) {
        let record = match decode_record(&log_record.text) {
            Ok(record) => record,
            Err(error) => {
                self.context.meter.bad_records.increment(1);
                log_line!(
                    warn,
                    Control,
                    "skipped record {}, which cannot be decoded: {error}",
                    log_record.offset
                );
                self.state.skip(log_record.offset);
                return;
            }
        };
        let verdicts = self.state.apply(log_record.offset, &record);
        let is_own = record.id.member == self.context.name && record.id.nonce == self.context.nonce;
        if !is_own || verdicts.is_empty() {
            return;
        }
        let to_rejection = |verdict: jacinthhoist_core::Result<()>| {
            verdict.map_err(|error| StepRejection {
                category: error.category(),
                message: error.to_string(),
            })
        };
        let verdicts = verdicts.into_iter().map(to_rejection).collect();
        // The receiver is dropped while the member ends.
        let _ = self.own_verdicts.send(RecordVerdicts {
            seq: record.id.seq,
            offset: log_record.offset,
            verdicts,
        });
    }

    fn load(&mut self, state: FoldState) {
        if state.folded() > self.state.folded() {
            log_line!(
                info,
                Control,
                "loaded a snapshot; the next offset to apply is {}",
                state.next_offset()
            );
            self.state = state;
            self.tail = Vector::new();
        }
    }

    fn publish(&self) {
        self.context.state.store(Arc::new(self.state.clone()));
        self.context.log_tail.store(Arc::new(self.tail.clone()));
        let revision = self.state.routes_revision();
        self.routes_revision
            .send_if_modified(|published| std::mem::replace(published, revision) != revision);
    }
}
