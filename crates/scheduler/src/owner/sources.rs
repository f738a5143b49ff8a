//! Event sources of the owner: reads of accepted jobs and worker entries.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use jacinthhoist_codec::KeyedRecord;
use jacinthhoist_core::{ClockTime, WorkerId, job::WorkerEntry};
use tokio::{sync::mpsc, time::sleep};

use crate::{
    dependency::Dependency,
    error::{Category, Result},
    eventlog::event,
    ports::{Platform, ReadPage, StoreStream, WorkerRecord},
    shared::MemberShared,
};

use super::{
    AcceptedRead, OwnerEvent,
    questions::{QuestionNumber, ReadDemand},
    takeover::decode_accepted_records,
};

/// Maximum wait of one read of accepted records; bounds the delay of new jobs on a connection that
/// has gone silent.
const TAIL_WAIT: ClockTime = ClockTime::from_millis(800);
/// Interval between reads of worker entries: a quarter of the time within which a departing worker
/// must stop receiving tasks.
const WORKERS_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval between reads on demand: a hundredth of the reads that the users' platform allows, and a delay
/// that callers do not notice.
const DEMAND_INTERVAL: Duration = Duration::from_millis(50);

/// Reader of accepted records. The tail waits at the store for new records; beside it a read without a
/// wait is made for questions about jobs that the owner does not know.
pub(super) struct AcceptedReader<P> {
    pub(super) platform: Arc<P>,
    pub(super) shared: Arc<MemberShared>,
    pub(super) events: mpsc::UnboundedSender<OwnerEvent>,
    pub(super) demand: Arc<ReadDemand>,
    /// Offset of the first record that the tail has not sent.
    pub(super) next: Arc<AtomicU64>,
}

impl<P> Clone for AcceptedReader<P> {
    fn clone(&self) -> Self {
        Self {
            platform: self.platform.clone(),
            shared: self.shared.clone(),
            events: self.events.clone(),
            demand: self.demand.clone(),
            next: self.next.clone(),
        }
    }
}

impl<P: Platform> AcceptedReader<P> {
    /// Sends accepted records in stream order. If records were deleted before they were read, the newest
    /// record of each key is sent.
    pub(super) async fn tail(self) {
        let mut is_trimmed = false;
        loop {
            let read = if is_trimmed {
                self.list().await
            } else {
                let from = self.next.load(Ordering::Acquire);
                self.read(from, TAIL_WAIT, AcceptedRead::Tail).await
            };
            self.shared.record_call(Dependency::AcceptedJobs, &read);
            match read {
                Ok((accepted, next)) => {
                    is_trimmed = false;
                    self.shared.record_store_answer();
                    if self.events.send(accepted).is_err() {
                        return;
                    }
                    // A read on demand from there on follows these records.
                    self.next.store(next, Ordering::Release);
                }
                Err(error) => {
                    is_trimmed = error.category() == Category::Trimmed;
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Reads at once while there are questions that no such read covers. What a read without a wait does
    /// not show was not stored when it was asked; reads that wait have missed records for a second.
    pub(super) async fn read_on_demand(self) {
        let (mut next, mut covered) = (0, QuestionNumber::default());
        loop {
            let number = self.demand.after(covered).await;
            // The tail may have read on meanwhile.
            let from = self.next.load(Ordering::Acquire).max(next);
            let kind = AcceptedRead::OnDemand(number);
            let read = self.read(from, ClockTime::ZERO, kind).await;
            self.shared.record_call(Dependency::AcceptedJobs, &read);
            let Ok((accepted, read_next)) = read else {
                // If records were deleted, the tail lists them.
                sleep(RETRY_DELAY).await;
                continue;
            };
            self.shared.record_store_answer();
            next = read_next;
            if accepted.is_complete_read() {
                covered = number;
            }
            if self.events.send(accepted).is_err() {
                return;
            }
            sleep(DEMAND_INTERVAL).await;
        }
    }

    /// Reads records from an offset on; returns them and the offset after them.
    async fn read(
        &self,
        from: u64,
        wait: ClockTime,
        read: AcceptedRead,
    ) -> Result<(OwnerEvent, u64)> {
        let page = self
            .platform
            .read(StoreStream::Accepted, from, wait)
            .await?;
        let is_complete = page.next >= page.end;
        let accepted = OwnerEvent::Accepted {
            records: decode_accepted_records(&self.shared, &page.items),
            read_at: is_complete.then(|| self.shared.clock.now()),
            read,
        };
        Ok((accepted, page.next))
    }

    /// Sends the newest record of each key, page by page; returns the end of the list and the offset at which reads go
    /// on.
    async fn list(&self) -> Result<(OwnerEvent, u64)> {
        let asked_at = self.shared.clock.now();
        let send = |page: Vec<KeyedRecord>| {
            let records = decode_accepted_records(&self.shared, &page);
            // The engine may have stopped.
            let _ = self.events.send(OwnerEvent::Forwarded(records));
        };
        let next = read_newest(&*self.platform, StoreStream::Accepted, send).await?;
        let accepted = OwnerEvent::Accepted {
            records: Vec::new(),
            read_at: Some(asked_at),
            read: AcceptedRead::List,
        };
        Ok((accepted, next))
    }
}

/// Reads the newest record of each key, page by page. The pages are not a consistent snapshot: the
/// stream has to be read again from the returned offset, the end of the stream at the first page.
pub(super) async fn read_newest<P: Platform>(
    platform: &P,
    stream: StoreStream,
    mut apply: impl FnMut(Vec<KeyedRecord>),
) -> Result<u64> {
    let (mut after, mut first_end) = (None, None);
    loop {
        let page = platform.newest(stream, after).await?;
        let end = *first_end.get_or_insert(page.end);
        apply(page.records);
        after = page.next;
        if after.is_none() {
            return Ok(end);
        }
    }
}

/// Sends changes of worker entries from an offset on.
pub(super) async fn follow_workers<P: Platform>(
    platform: Arc<P>,
    shared: Arc<MemberShared>,
    events: mpsc::UnboundedSender<OwnerEvent>,
    mut next: u64,
) {
    loop {
        sleep(WORKERS_READ_INTERVAL).await;
        let read = platform.workers_read(next).await;
        shared.record_call(Dependency::WorkerEntries, &read);
        match read {
            Ok(page) => {
                next = page.next;
                for record in page.items {
                    if events.send(worker_event(&shared, record)).is_err() {
                        return;
                    }
                }
            }
            Err(error) if error.category() == Category::Trimmed => {
                let Ok(page) = read_workers(&*platform, &shared).await else {
                    continue;
                };
                next = page.next;
                let entries = workers_by_id(&shared, page.items);
                if events.send(OwnerEvent::WorkersListed(entries)).is_err() {
                    return;
                }
            }
            // Recorded above; the next round retries.
            Err(_) => {}
        }
    }
}

fn worker_event(shared: &MemberShared, record: WorkerRecord) -> OwnerEvent {
    match record {
        WorkerRecord::Registered(id, entry) => OwnerEvent::WorkerChanged(id, Some(entry)),
        WorkerRecord::Removed(id) => OwnerEvent::WorkerChanged(id, None),
        WorkerRecord::Unreadable { key, reason } => {
            event!(shared.log, Unreadable, "key": key, "reason": reason);
            // The next owner will not read the worker's earlier entry either.
            OwnerEvent::WorkerChanged(WorkerId::new(&key), None)
        }
    }
}

/// Reads the entries of all registered workers.
pub(super) async fn read_workers<P: Platform>(
    platform: &P,
    shared: &MemberShared,
) -> Result<ReadPage<WorkerRecord>> {
    let page = platform.workers_newest().await;
    shared.record_call(Dependency::WorkerEntries, &page);
    page
}

/// Returns worker entries by id; unreadable entries are logged and skipped.
pub(super) fn workers_by_id(
    shared: &MemberShared,
    records: Vec<WorkerRecord>,
) -> BTreeMap<WorkerId, WorkerEntry> {
    let mut entries = BTreeMap::new();
    for record in records {
        if let OwnerEvent::WorkerChanged(id, Some(entry)) = worker_event(shared, record) {
            entries.insert(id, entry);
        }
    }
    entries
}
