//! Event sources of the owner: reads of accepted jobs and worker entries.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

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

use super::{OwnerEvent, takeover::decode_accepted_records};

/// Maximum wait of one read of accepted records; bounds the delay of new jobs on a connection that
/// has gone silent.
const TAIL_WAIT: ClockTime = ClockTime::from_millis(800);
/// Interval between reads of worker entries: a quarter of the time within which a departing worker
/// must stop receiving tasks.
const WORKERS_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Sends accepted records from an offset on. If records were deleted before they were read, the
/// newest record of each key is sent.
pub(super) async fn tail_accepted<P: Platform>(
    platform: Arc<P>,
    shared: Arc<MemberShared>,
    events: mpsc::UnboundedSender<OwnerEvent>,
    mut next: u64,
) {
    let mut trimmed = false;
    loop {
        let asked_at = shared.clock.now();
        let read = if trimmed {
            let records = read_all_accepted(&*platform, &mut next).await;
            records.map(|records| (records, Some(asked_at)))
        } else {
            let page = platform.read(StoreStream::Accepted, next, TAIL_WAIT).await;
            page.map(|page| {
                next = page.next;
                let is_complete = page.next >= page.end;
                (page.items, is_complete.then(|| shared.clock.now()))
            })
        };
        shared.record_call(Dependency::AcceptedJobs, &read);
        match read {
            Ok((records, read_at)) => {
                trimmed = false;
                shared.record_store_answer();
                let records = decode_accepted_records(&shared, &records);
                let accepted = OwnerEvent::Accepted { records, read_at };
                if events.send(accepted).is_err() {
                    return;
                }
            }
            Err(error) => {
                trimmed = error.category() == Category::Trimmed;
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn read_all_accepted<P: Platform>(platform: &P, next: &mut u64) -> Result<Vec<KeyedRecord>> {
    let mut records = Vec::new();
    let stream = StoreStream::Accepted;
    *next = read_newest(platform, stream, |page| records.extend(page)).await?;
    Ok(records)
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
