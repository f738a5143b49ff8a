//! Stores what callers hand in: one append at a time, the next takes all that waited meanwhile.

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

/// Records of one append: some 500 KB at the largest payload, well within a call of the store.
const APPEND_RECORDS: usize = 100;
/// Attempts at one append before its callers are told that the outcome is unknown; with the time
/// limit of a call, they hear it well before they give up.
const ATTEMPTS: u32 = 4;
/// Time after which an append is taken to be lost as far as newcomers are concerned: one attempt that
/// was not answered, and the next.
const SLOW_APPEND: Duration = Duration::from_millis(800);
/// Time between two tries of a store that was lost; callers are refused at once meanwhile.
const PROBE_PAUSE: Duration = Duration::from_millis(200);

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

fn answer(reply: oneshot::Sender<Stored>, stored: Stored) {
    // The caller may have left.
    let _ = reply.send(stored);
}

/// Appends records of callers, all members beside each other.
pub(crate) struct AcceptTask<P> {
    inbox: mpsc::UnboundedReceiver<StoreRequest>,
    /// Takes what is stored to the owner.
    notices: mpsc::UnboundedSender<Vec<KeyedRecord>>,
    writer: AcceptWriter<P>,
}

/// Writes under the member's own mark.
struct AcceptWriter<P> {
    platform: Arc<P>,
    shared: Arc<MemberShared>,
    mark: AppendSequence,
}

impl<P: Platform> AcceptTask<P> {
    pub(crate) fn open(
        platform: Arc<P>,
        shared: Arc<MemberShared>,
        inbox: mpsc::UnboundedReceiver<StoreRequest>,
        notices: mpsc::UnboundedSender<Vec<KeyedRecord>>,
    ) -> Self {
        let mark = AppendSequence {
            producer: shared.identity.member_key(),
            epoch: 1,
            seq: 0,
        };
        let writer = AcceptWriter {
            platform,
            shared,
            mark,
        };
        Self {
            inbox,
            notices,
            writer,
        }
    }

    pub(crate) async fn run(mut self) {
        let mut waiting = Vec::new();
        while self.inbox.recv_many(&mut waiting, APPEND_RECORDS).await > 0 {
            let requests = waiting.drain(..);
            let (records, replies): (Vec<_>, Vec<_>) = requests
                .map(|StoreRequest { record, reply }| (record, reply))
                .unzip();
            let append = self.writer.append(&records);
            let stored = refuse_beside(&mut self.inbox, SLOW_APPEND, append).await;
            if stored == Stored::Yes {
                // The owner also reads them from the store.
                let _ = self.notices.send(records);
            }
            for reply in replies {
                answer(reply, stored);
            }
            if stored != Stored::Yes {
                let probe = self.writer.probe();
                refuse_beside(&mut self.inbox, Duration::ZERO, probe).await;
            }
        }
    }
}

/// Waits for the store. What callers hand in after `patience` is refused at once: it has not been
/// sent, and waiting would not help them.
async fn refuse_beside<T>(
    inbox: &mut mpsc::UnboundedReceiver<StoreRequest>,
    patience: Duration,
    store: impl Future<Output = T>,
) -> T {
    let mut store = pin!(store);
    if let Ok(done) = timeout(patience, &mut store).await {
        return done;
    }
    loop {
        tokio::select! {
            biased;
            done = &mut store => return done,
            Some(request) = inbox.recv() => answer(request.reply, Stored::No),
        }
    }
}

impl<P: Platform> AcceptWriter<P> {
    async fn append(&mut self, records: &[KeyedRecord]) -> Stored {
        let began = self.shared.clock.now();
        let mut unknown = false;
        for _ in 0..ATTEMPTS {
            let stream = StoreStream::Accepted;
            let appended = self.platform.append(stream, &self.mark, records).await;
            self.shared.meter.appends.increment(1);
            self.shared.record_call(Dependency::JobAppends, &appended);
            let Err(error) = appended else {
                self.mark.seq += 1;
                self.shared.record_store_answer();
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

    /// Tries the store with appends of nothing until one is answered: no caller's job is at stake.
    async fn probe(&mut self) {
        loop {
            sleep(PROBE_PAUSE).await;
            let stream = StoreStream::Accepted;
            let probed = self.platform.append(stream, &self.mark, &[]).await;
            self.shared.meter.appends.increment(1);
            self.shared.record_call(Dependency::JobAppends, &probed);
            match probed {
                Ok(()) => return,
                Err(error) if error.category() == Category::Fenced => self.new_epoch(),
                Err(_) => {}
            }
        }
    }
}
