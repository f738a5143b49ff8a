//! Decode and fold: every record passes here once, in order, whoever read it.

use std::sync::Arc;

use imbl::Vector;
use jacinthhoist_codec::{LogRecord, decode_record};
use jacinthhoist_core::{FoldState, Offset};
use tokio::sync::{mpsc, oneshot, watch};

use super::append::StepRejection;
use crate::{context::MemberContext, logs::log_line};

/// Records kept for peers that are cut off from the log.
const TAIL_RECORDS: usize = 1_024;

/// The verdicts on a record of this member's own.
pub(crate) struct OwnFold {
    pub(crate) seq: u64,
    pub(crate) offset: Offset,
    pub(crate) verdicts: Vec<Result<(), StepRejection>>,
}

/// What is folded next.
pub(crate) enum FoldMessage {
    /// Records from the log, in order; offsets between them are gone for good.
    Log(Vec<LogRecord>, oneshot::Sender<()>),
    /// Records from a peer: only those that follow without a gap count.
    Peer(Vec<LogRecord>),
    /// A whole snapshot from the log or a peer.
    Snapshot(Box<FoldState>, oneshot::Sender<()>),
}

/// The way to the fold task.
#[derive(Clone)]
pub(crate) struct FoldHandle(mpsc::UnboundedSender<FoldMessage>);

impl FoldHandle {
    /// Folds records of the log and returns once they are published.
    pub(crate) async fn fold(&self, records: Vec<LogRecord>) {
        let (done, folded) = oneshot::channel();
        if self.0.send(FoldMessage::Log(records, done)).is_ok() {
            // The task ends only with the member.
            let _ = folded.await;
        }
    }

    /// Offers records that a peer has read.
    pub(crate) fn offer(&self, records: Vec<LogRecord>) {
        let _ = self.0.send(FoldMessage::Peer(records));
    }

    /// Takes a snapshot over, if it is newer than what is folded.
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

/// Owns the folded state and publishes it by replacing an immutable snapshot.
pub(crate) struct FoldTask {
    context: Arc<MemberContext>,
    state: FoldState,
    tail: Vector<LogRecord>,
    own: mpsc::UnboundedSender<OwnFold>,
    routes: watch::Sender<Offset>,
}

impl FoldTask {
    /// Starts the task; `own` gets the verdicts on this member's records.
    pub(crate) fn spawn(
        context: Arc<MemberContext>,
        own: mpsc::UnboundedSender<OwnFold>,
        routes: watch::Sender<Offset>,
    ) -> FoldHandle {
        let (sender, receiver) = mpsc::unbounded_channel();
        let state = FoldState::default();
        let task = Self {
            context,
            state,
            tail: Vector::new(),
            own,
            routes,
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

    fn fold(&mut self, records: Vec<LogRecord>, gapless: bool) {
        for record in records {
            let expected = self.state.next_offset();
            if record.offset < expected || (gapless && record.offset > expected) {
                continue;
            }
            self.apply(&record);
            self.tail.push_back(record);
            if self.tail.len() > TAIL_RECORDS {
                self.tail.pop_front();
            }
        }
    }

    fn apply(&mut self, raw: &LogRecord) {
        let record = match decode_record(&raw.text) {
            Ok(record) => record,
            Err(error) => {
                self.context.meter.bad_records.increment(1);
                log_line!(warn, Control, "Record {} was skipped: {error}.", raw.offset);
                self.state.skip(raw.offset);
                return;
            }
        };
        let verdicts = self.state.apply(raw.offset, &record);
        let own = record.id.member == self.context.name && record.id.nonce == self.context.nonce;
        if !own || verdicts.is_empty() {
            return;
        }
        let told = |verdict: jacinthhoist_core::Result<()>| {
            verdict.map_err(|error| StepRejection {
                category: error.category(),
                message: error.to_string(),
            })
        };
        let verdicts = verdicts.into_iter().map(told).collect();
        // Nobody listens any more while the member ends.
        let _ = self.own.send(OwnFold {
            seq: record.id.seq,
            offset: raw.offset,
            verdicts,
        });
    }

    fn load(&mut self, state: FoldState) {
        if state.folded() > self.state.folded() {
            log_line!(
                info,
                Control,
                "A snapshot up to {} was loaded.",
                state.next_offset()
            );
            self.state = state;
            self.tail = Vector::new();
        }
    }

    fn publish(&self) {
        self.context.state.store(Arc::new(self.state.clone()));
        self.context.log_tail.store(Arc::new(self.tail.clone()));
        let routes = self.state.routes_revision();
        self.routes
            .send_if_modified(|known| std::mem::replace(known, routes) != routes);
    }
}
