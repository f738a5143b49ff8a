//! Stores what callers hand in: one append at a time, the next takes all that waited meanwhile.

use std::sync::Arc;

use jacinthhoist_codec::KeyedRecord;
use jacinthhoist_core::ClockTime;
use tokio::sync::{mpsc, oneshot};

use crate::{
    dependency::Dependency,
    error::Category,
    ports::{Platform, StoreStream, WriterMark},
    shared::MemberShared,
};

/// Records of one append: some 500 KB at the largest payload, well within a call of the store.
const APPEND_RECORDS: usize = 100;
/// Attempts at one append before its callers are told that the outcome is unknown; with the time
/// limit of a call, they hear it well before they give up.
const ATTEMPTS: u32 = 2;
/// While the store is lost, one append in this time tries it; other callers are refused at once.
const PROBE_PAUSE: ClockTime = ClockTime::from_millis(500);

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stored {
    /// It is stored.
    Yes,
    /// It is not stored and never will be.
    No,
    /// It may be stored.
    Unknown,
}

/// A record to store.
pub(crate) struct StoreRequest {
    pub(crate) record: KeyedRecord,
    pub(crate) reply: oneshot::Sender<Stored>,
}

/// Appends records of callers, all members beside each other.
pub(crate) struct AcceptTask<P> {
    platform: Arc<P>,
    shared: Arc<MemberShared>,
    inbox: mpsc::UnboundedReceiver<StoreRequest>,
    mark: WriterMark,
    lost_at: Option<ClockTime>,
}

impl<P: Platform> AcceptTask<P> {
    pub(crate) fn open(
        platform: Arc<P>,
        shared: Arc<MemberShared>,
        inbox: mpsc::UnboundedReceiver<StoreRequest>,
    ) -> Self {
        let mark = WriterMark {
            producer: shared.identity.member_key(),
            epoch: 1,
            seq: 0,
        };
        Self {
            platform,
            shared,
            inbox,
            mark,
            lost_at: None,
        }
    }

    pub(crate) async fn run(mut self) {
        let mut waiting = Vec::new();
        while self.inbox.recv_many(&mut waiting, APPEND_RECORDS).await > 0 {
            if self.is_out() {
                reply(&mut waiting, Stored::No);
                continue;
            }
            let records: Vec<KeyedRecord> = waiting
                .iter()
                .map(|request| request.record.clone())
                .collect();
            let stored = self.append(&records).await;
            self.note_store(stored);
            reply(&mut waiting, stored);
            if stored != Stored::Yes {
                self.refuse_queued();
            }
        }
    }

    /// Whether the store was lost a moment ago, so that trying again would only keep callers waiting.
    fn is_out(&self) -> bool {
        let now = self.shared.clock.now();
        self.lost_at.is_some_and(|at| now < at + PROBE_PAUSE)
    }

    async fn append(&mut self, records: &[KeyedRecord]) -> Stored {
        let began = self.shared.clock.now();
        let mut unknown = false;
        for _ in 0..ATTEMPTS {
            let stream = StoreStream::Accepted;
            let appended = self.platform.append(stream, &self.mark, records).await;
            self.shared.meter.appends.increment(1);
            self.shared.note_call(Dependency::JobAppends, &appended);
            let Err(error) = appended else {
                self.mark.seq += 1;
                let took = self.shared.clock.now() - began;
                self.shared.meter.store_time.record(took.as_secs_f64());
                return Stored::Yes;
            };
            self.shared.meter.append_retries.increment(1);
            match error.category() {
                // A refusal does not take back an earlier attempt that was not answered.
                Category::NotDone if !unknown => return Stored::No,
                Category::NotDone | Category::Unknown => unknown = true,
                // The store has not seen all sequence numbers of this epoch.
                _ => self.new_epoch(),
            }
        }
        // A new epoch fences off the attempt that may still be under way.
        self.new_epoch();
        if unknown { Stored::Unknown } else { Stored::No }
    }

    fn new_epoch(&mut self) {
        self.mark.epoch += 1;
        self.mark.seq = 0;
    }

    fn note_store(&mut self, stored: Stored) {
        self.lost_at = (stored != Stored::Yes).then(|| self.shared.clock.now());
        if stored == Stored::Yes {
            self.shared.saw_store();
        }
    }

    /// Refuses what queued up behind a failed append: none of it was sent.
    fn refuse_queued(&mut self) {
        while let Ok(request) = self.inbox.try_recv() {
            // The caller may have left.
            let _ = request.reply.send(Stored::No);
        }
    }
}

fn reply(waiting: &mut Vec<StoreRequest>, stored: Stored) {
    for request in waiting.drain(..) {
        // The caller may have left.
        let _ = request.reply.send(stored);
    }
}
