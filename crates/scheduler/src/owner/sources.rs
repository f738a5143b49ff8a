//! What feeds the owner from the platform: accepted jobs, workers' entries, the list of VMs.

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

use super::{OwnerEvent, load::decode_all};

/// How long a read of accepted records waits for one; bounds the time for which a silent
/// connection hides new jobs.
const TAIL_WAIT: ClockTime = ClockTime::from_millis(800);
/// Time between two reads of workers' entries: a quarter of the time in which a worker that leaves
/// must get nothing new.
const WORKERS_PACE: Duration = Duration::from_millis(500);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Sends accepted records from an offset on. After a gap the newest of each key are sent again.
pub(super) async fn tail<P: Platform>(
    platform: Arc<P>,
    shared: Arc<MemberShared>,
    events: mpsc::UnboundedSender<OwnerEvent>,
    mut next: u64,
) {
    let mut gap = false;
    loop {
        let read = if gap {
            read_all(&*platform, &mut next).await
        } else {
            let page = platform.read(StoreStream::Accepted, next, TAIL_WAIT).await;
            page.map(|page| {
                next = page.next;
                page.items
            })
        };
        shared.record_call(Dependency::AcceptedJobs, &read);
        match read {
            Ok(records) => {
                gap = false;
                shared.record_store_answer();
                let records = decode_all(&shared, &records);
                if events.send(OwnerEvent::Accepted(records)).is_err() {
                    return;
                }
            }
            Err(error) => {
                gap = error.category() == Category::Trimmed;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn read_all<P: Platform>(platform: &P, next: &mut u64) -> Result<Vec<KeyedRecord>> {
    let mut records = Vec::new();
    let stream = StoreStream::Accepted;
    *next = read_newest(platform, stream, |page| records.extend(page)).await?;
    Ok(records)
}

/// Reads the newest record of each key, page by page. Pages are no snapshot: the offset at the end
/// of the first is returned, from which what was written meanwhile is read again.
pub(super) async fn read_newest<P: Platform>(
    platform: &P,
    stream: StoreStream,
    mut take: impl FnMut(Vec<KeyedRecord>),
) -> Result<u64> {
    let (mut after, mut first_end) = (None, None);
    loop {
        let page = platform.newest(stream, after).await?;
        let end = *first_end.get_or_insert(page.end);
        take(page.records);
        after = page.next;
        if after.is_none() {
            return Ok(end);
        }
    }
}

/// Sends changes of workers' entries from an offset on.
pub(super) async fn follow_workers<P: Platform>(
    platform: Arc<P>,
    shared: Arc<MemberShared>,
    events: mpsc::UnboundedSender<OwnerEvent>,
    mut next: u64,
) {
    loop {
        sleep(WORKERS_PACE).await;
        let read = platform.workers_read(next).await;
        shared.record_call(Dependency::WorkerEntries, &read);
        match read {
            Ok(page) => {
                next = page.next;
                for item in page.items {
                    let Some(event) = worker_event(&shared, item) else {
                        continue;
                    };
                    if events.send(event).is_err() {
                        return;
                    }
                }
            }
            Err(error) if error.category() == Category::Trimmed => {
                let Ok(page) = read_workers(&*platform, &shared).await else {
                    continue;
                };
                next = page.next;
                let listed = workers_by_id(&shared, page.items);
                if events.send(OwnerEvent::WorkersListed(listed)).is_err() {
                    return;
                }
            }
            // Noted above; the next round tries again.
            Err(_) => {}
        }
    }
}

fn worker_event(shared: &MemberShared, item: WorkerRecord) -> Option<OwnerEvent> {
    match item {
        WorkerRecord::Registered(id, entry) => Some(OwnerEvent::WorkerChanged(id, Some(entry))),
        WorkerRecord::Removed(id) => Some(OwnerEvent::WorkerChanged(id, None)),
        WorkerRecord::Unreadable { key, reason } => {
            event!(shared.log, Unreadable, "key": key, "reason": reason);
            None
        }
    }
}

/// All workers that are registered.
pub(super) async fn read_workers<P: Platform>(
    platform: &P,
    shared: &MemberShared,
) -> Result<ReadPage<WorkerRecord>> {
    let page = platform.workers_newest().await;
    shared.record_call(Dependency::WorkerEntries, &page);
    page
}

/// Workers' entries by id; unreadable ones are told and left out.
pub(super) fn workers_by_id(
    shared: &MemberShared,
    items: Vec<WorkerRecord>,
) -> BTreeMap<WorkerId, WorkerEntry> {
    let mut listed = BTreeMap::new();
    for item in items {
        if let Some(OwnerEvent::WorkerChanged(id, Some(entry))) = worker_event(shared, item) {
            listed.insert(id, entry);
        }
    }
    listed
}
