//! Takeover: fence the earlier owner off in the store, then read what is stored.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jacinthhoist_codec::{AcceptedRecord, KeyedRecord, decode_accepted, decode_progress};
use jacinthhoist_core::job::{
    BatchRecord, JobCatalogue, JobId, JobProgress, JobSpec, Scheduler, SchedulerLimits,
};
use tokio::time::sleep;

use crate::{
    error::{Category, Error, Result},
    eventlog::event,
    ports::{AppendSequence, Platform, StoreStream},
    shared::MemberShared,
};

use super::sources::{read_newest, read_workers, workers_by_id};

/// The producer under which owners write, one after the other.
pub(super) const OWNER_PRODUCER: &str = "owner";
/// Pause after a failed step of the takeover.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What a takeover has read.
pub(super) struct Loaded {
    pub(super) scheduler: Scheduler,
    /// Where to go on reading accepted records.
    pub(super) accepted_next: u64,
    /// Where to go on reading workers' entries.
    pub(super) workers_next: u64,
}

/// Records read in a takeover.
#[derive(Default)]
struct Records {
    jobs: BTreeMap<JobId, Arc<JobSpec>>,
    cancels: Vec<JobId>,
    progress: Vec<BatchRecord>,
    accepted_next: u64,
}

/// Reads the stored state under a token; tries again until it has all of it.
///
/// # Errors
///
/// Another member has taken over.
pub(super) async fn load<P: Platform>(
    platform: &P,
    shared: &MemberShared,
    limits: SchedulerLimits,
    token: u64,
) -> Result<Loaded, &'static str> {
    loop {
        match try_load(platform, shared, limits, token).await {
            Ok(Some(loaded)) => return Ok(loaded),
            Ok(None) => {}
            Err(error) if error.category() == Category::Fenced => {
                return Err("a later owner has written to the store");
            }
            Err(error) => {
                event!(shared.log, Ownership, "token": token, "outcome": "takeover waits",
                    "error": error.to_string());
            }
        }
        sleep(RETRY_PAUSE).await;
    }
}

async fn try_load<P: Platform>(
    platform: &P,
    shared: &MemberShared,
    limits: SchedulerLimits,
    token: u64,
) -> Result<Option<Loaded>> {
    let Some(catalogue) = shared.catalogue.load_full() else {
        return Ok(None);
    };
    let began = shared.clock.now();
    let mark = AppendSequence {
        producer: OWNER_PRODUCER.to_owned(),
        epoch: token,
        seq: 0,
    };
    platform.append(StoreStream::Progress, &mark, &[]).await?;
    let mut records = Records::default();
    read_progress(platform, shared, &mut records).await?;
    read_accepted(platform, shared, &mut records).await?;
    let page = read_workers(platform, shared).await?;
    let workers_next = page.next;
    let accepted_next = records.accepted_next;
    let mut scheduler = restore(records, shared, limits, catalogue);
    let now = shared.clock.now();
    scheduler.list_workers(workers_by_id(shared, page.items), now);
    event!(shared.log, Ownership, "token": token, "outcome": "taken over",
        "open_jobs": scheduler.open_jobs(), "workers": scheduler.workers().count(),
        "took_ms": (now - began).as_millis());
    Ok(Some(Loaded {
        scheduler,
        accepted_next,
        workers_next,
    }))
}

async fn read_progress<P: Platform>(
    platform: &P,
    shared: &MemberShared,
    records: &mut Records,
) -> Result<()> {
    let take = |page: Vec<KeyedRecord>| {
        for record in &page {
            match decode_progress(record) {
                Ok(known) => records.progress.push(known),
                Err(error) => note_unreadable(shared, record, &error.to_string()),
            }
        }
    };
    read_newest(platform, StoreStream::Progress, take).await?;
    Ok(())
}

async fn read_accepted<P: Platform>(
    platform: &P,
    shared: &MemberShared,
    records: &mut Records,
) -> Result<()> {
    let take = |page: Vec<KeyedRecord>| {
        for record in decode_all(shared, &page) {
            match record {
                AcceptedRecord::Job(id, spec) => {
                    records.jobs.insert(id, Arc::new(spec));
                }
                AcceptedRecord::Cancel(id) => records.cancels.push(id),
                AcceptedRecord::Dropped => {}
            }
        }
    };
    records.accepted_next = read_newest(platform, StoreStream::Accepted, take).await?;
    Ok(())
}

fn restore(
    mut records: Records,
    shared: &MemberShared,
    limits: SchedulerLimits,
    catalogue: Arc<JobCatalogue>,
) -> Scheduler {
    let mut scheduler = Scheduler::open(limits, catalogue, shared.clock.now());
    for id in records.cancels {
        scheduler.cancel(id);
    }
    for record in records.progress {
        match record {
            BatchRecord::Progress(id, progress) => {
                scheduler.restore(id, records.jobs.remove(&id), &progress);
            }
            BatchRecord::Remove(_) => {}
            BatchRecord::Wave(number, progress) => scheduler.restore_wave(number, progress),
            BatchRecord::LeaseExpiry(worker, at) => {
                if let Some(at) = at {
                    scheduler.restore_lease_expiry(&worker, at);
                }
            }
            BatchRecord::BaseSizes(standing) => scheduler.restore_base_sizes(standing),
        }
    }
    // Jobs of which no progress is stored have not begun.
    for (id, spec) in records.jobs {
        scheduler.restore(id, Some(spec), &JobProgress::default());
    }
    scheduler
}

/// Decodes accepted records; one that cannot be read is told and left out.
pub(crate) fn decode_all(shared: &MemberShared, records: &[KeyedRecord]) -> Vec<AcceptedRecord> {
    let mut decoded = Vec::with_capacity(records.len());
    for record in records {
        match decode_accepted(record) {
            Ok(known) => decoded.push(known),
            Err(error) => note_unreadable(shared, record, &error.to_string()),
        }
    }
    decoded
}

fn note_unreadable(shared: &MemberShared, record: &KeyedRecord, reason: &str) {
    event!(shared.log, Unreadable, "key": record.key, "bytes": record.value.len(),
        "reason": reason);
}

/// What the owner does about a failed append of its own.
pub(super) fn is_fenced(error: &Error) -> bool {
    matches!(error.category(), Category::Fenced | Category::OutOfOrder)
}
