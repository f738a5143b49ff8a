//! Takeover: fences off the previous owner in the store, then loads the stored state.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jacinthhoist_codec::{AcceptedRecord, KeyedRecord, ProgressReader, decode_accepted};
use jacinthhoist_core::{
    ClockTime,
    job::{
        BatchRecord, JobCatalogue, JobId, JobProgress, JobSpec, Scheduler, SchedulerLimits,
        SuccessionRecord,
    },
};
use tokio::time::sleep;

use crate::{
    append::StoreAppend,
    dependency::Dependency,
    error::{Category, Error, Result},
    eventlog::event,
    member::MemberIdentity,
    ports::{AppendSequence, Platform, StoreStream},
    shared::MemberShared,
};

use super::sources::{read_newest, read_workers, workers_by_id};

/// Producer name shared by successive owners.
pub(super) const OWNER_PRODUCER: &str = "owner";
/// Delay after a failed attempt to load the state.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// State loaded in a takeover.
pub(super) struct LoadedState {
    pub(super) scheduler: Scheduler,
    /// Offset at which the next read of accepted records begins.
    pub(super) accepted_next: u64,
    /// Time before which all accepted jobs are known.
    pub(super) accepted_read_at: ClockTime,
    /// Offset at which the next read of worker entries begins.
    pub(super) workers_next: u64,
    /// Number of parts that are stored of the progress of large jobs.
    pub(super) stored_parts: BTreeMap<JobId, u32>,
    /// Record of the last owner, if leases that it extends on promises are waited for.
    pub(super) former: Option<SuccessionRecord>,
}

/// Stored records read in a takeover.
#[derive(Default)]
struct StoredRecords {
    jobs: BTreeMap<JobId, Arc<JobSpec>>,
    cancels: Vec<JobId>,
    progress: Vec<BatchRecord>,
    /// Record of the last owner.
    former: Option<SuccessionRecord>,
    stored_parts: BTreeMap<JobId, u32>,
    accepted_next: u64,
}

/// Fences off earlier owners and loads the stored state; retries until both have succeeded.
///
/// # Errors
///
/// Fails if another member has taken over.
pub(super) async fn load_state<P: Platform>(
    platform: &P,
    shared: &MemberShared,
    limits: SchedulerLimits,
    token: u64,
) -> Result<LoadedState, &'static str> {
    loop {
        match try_load(platform, shared, limits, token).await {
            Ok(Some(loaded)) => return Ok(loaded),
            Ok(None) => {}
            Err(error) if error.category() == Category::Fenced => {
                return Err("a newer owner has written to the store");
            }
            Err(error) => {
                event!(shared.log, Ownership, "token": token, "outcome": "takeover waits",
                    "error": error.to_string());
            }
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn try_load<P: Platform>(
    platform: &P,
    shared: &MemberShared,
    limits: SchedulerLimits,
    token: u64,
) -> Result<Option<LoadedState>> {
    let Some(catalogue) = shared.catalogue.load_full() else {
        return Ok(None);
    };
    let started_at = shared.clock.now();
    let sequence = AppendSequence {
        producer: OWNER_PRODUCER.to_owned(),
        epoch: token,
        seq: 0,
    };
    let fence = StoreAppend {
        platform,
        shared,
        dependency: Dependency::Progress,
        stream: StoreStream::Progress,
        sequence: &sequence,
        records: &[],
    };
    fence.send(None).await.map_err(|failure| failure.error)?;
    let mut records = StoredRecords::default();
    read_progress(platform, shared, &mut records).await?;
    let accepted_read_at = shared.clock.now();
    read_accepted(platform, shared, &mut records).await?;
    let page = read_workers(platform, shared).await?;
    let workers_next = page.next;
    let accepted_next = records.accepted_next;
    let stored_parts = std::mem::take(&mut records.stored_parts);
    let former = records.former.take();
    let mut scheduler = restore(records, shared, limits, catalogue, former.as_ref());
    let now = shared.clock.now();
    scheduler.workers_listed(workers_by_id(shared, page.items), now);
    let former_until = scheduler.former_until(now);
    event!(shared.log, Ownership, "token": token, "outcome": "taken over",
        "open_jobs": scheduler.open_jobs(), "workers": scheduler.workers().count(),
        "took_ms": (now - started_at).as_millis(),
        "former_owner": former.as_ref().map(|former| &*former.owner),
        "former_until_ms": former_until.as_millis());
    Ok(Some(LoadedState {
        scheduler,
        accepted_next,
        accepted_read_at,
        workers_next,
        stored_parts,
        former: former.filter(|_| former_until > ClockTime::ZERO),
    }))
}

async fn read_progress<P: Platform>(
    platform: &P,
    shared: &MemberShared,
    records: &mut StoredRecords,
) -> Result<()> {
    let mut reader = ProgressReader::default();
    let add = |page: Vec<KeyedRecord>| {
        for record in &page {
            match reader.add(record) {
                Ok(Some(BatchRecord::Succession(former))) => records.former = Some(former),
                Ok(progress) => records.progress.extend(progress),
                Err(error) => log_unreadable(shared, record, &error.to_string()),
            }
        }
    };
    read_newest(platform, StoreStream::Progress, add).await?;
    records.stored_parts = reader.stored_parts();
    for job in reader.into_jobs() {
        match job {
            Ok((id, progress)) => records.progress.push(BatchRecord::Progress(id, progress)),
            Err((key, error)) => {
                event!(shared.log, Unreadable, "key": key, "reason": error.to_string());
            }
        }
    }
    Ok(())
}

async fn read_accepted<P: Platform>(
    platform: &P,
    shared: &MemberShared,
    records: &mut StoredRecords,
) -> Result<()> {
    let add = |page: Vec<KeyedRecord>| {
        for record in decode_accepted_records(shared, &page) {
            match record {
                AcceptedRecord::Job(id, spec) => {
                    records.jobs.insert(id, Arc::new(spec));
                }
                AcceptedRecord::Cancel(id) => records.cancels.push(id),
                AcceptedRecord::Removed => {}
            }
        }
    };
    records.accepted_next = read_newest(platform, StoreStream::Accepted, add).await?;
    Ok(())
}

/// Returns the time until which earlier owners may have extended leases beyond one lease.
fn former_bound(identity: &MemberIdentity, former: &SuccessionRecord, now: ClockTime) -> ClockTime {
    if identity.is_earlier_incarnation(&former.owner) {
        return former.before_owner();
    }
    former.former_until(&identity.member_key(), now)
}

fn restore(
    mut records: StoredRecords,
    shared: &MemberShared,
    limits: SchedulerLimits,
    catalogue: Arc<JobCatalogue>,
    former: Option<&SuccessionRecord>,
) -> Scheduler {
    let now = shared.clock.now();
    let mut scheduler = Scheduler::open(limits, catalogue, now);
    if let Some(former) = former {
        scheduler.restore_former_bound(former_bound(&shared.identity, former, now));
    }
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
            BatchRecord::Succession(_) => {}
        }
    }
    // Jobs without stored progress have not started.
    for (id, spec) in records.jobs {
        scheduler.restore(id, Some(spec), &JobProgress::default());
    }
    scheduler
}

/// Decodes accepted records; unreadable records are logged and skipped.
pub(crate) fn decode_accepted_records(
    shared: &MemberShared,
    records: &[KeyedRecord],
) -> Vec<AcceptedRecord> {
    let mut decoded = Vec::with_capacity(records.len());
    for record in records {
        match decode_accepted(record) {
            Ok(record) => decoded.push(record),
            Err(error) => log_unreadable(shared, record, &error.to_string()),
        }
    }
    decoded
}

fn log_unreadable(shared: &MemberShared, record: &KeyedRecord, reason: &str) {
    event!(shared.log, Unreadable, "key": record.key, "bytes": record.value.len(),
        "reason": reason);
}

/// Returns `true` if a failed append of the owner means that another member has taken over.
pub(super) fn is_fenced(error: &Error) -> bool {
    matches!(error.category(), Category::Fenced | Category::OutOfOrder)
}
