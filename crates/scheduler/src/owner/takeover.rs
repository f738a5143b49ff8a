//! Takeover: fences off the previous owner in the store, then loads the stored state.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use jacinthhoist_codec::{AcceptedRecord, KeyedRecord, ProgressReader, decode_accepted};
use jacinthhoist_core::{
    ClockTime, TenantName,
    job::{
        BatchRecord, ClockReadings, FormerOwner, JobCatalogue, JobId, JobProgress, JobSpec,
        OwnershipProof, ParkedJob, Scheduler, SchedulerLimits, SuccessionRecord, job_bytes,
    },
};
use serde_json::json;
use smallvec::SmallVec;
use tokio::time::sleep;

use crate::{
    append::StoreAppend,
    dependency::Dependency,
    error::{Category, Error, Result},
    eventlog::event,
    member::MemberIdentity,
    membership::PoolOwnership,
    ports::{AppendSequence, Platform, StoreStream},
    shared::MemberShared,
};

use super::{
    OwnerTask,
    sources::{read_newest, read_workers, workers_by_id},
};

/// Producer name shared by successive owners.
pub(super) const OWNER_PRODUCER: &str = "owner";
/// Delay after a failed attempt to load the state.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Resolution of the clock.
const CLOCK_STEP: Duration = Duration::from_millis(1);

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
    /// Proof of the ownership.
    pub(super) proof: OwnershipProof,
}

/// Stored records read in a takeover.
#[derive(Default)]
struct StoredRecords {
    jobs: BTreeMap<JobId, StoredJob>,
    /// Memory of the jobs whose specifications are held, in bytes.
    job_bytes: u64,
    cancels: Vec<(JobId, Option<TenantName>)>,
    progress: Vec<BatchRecord>,
    /// Record of the last owner.
    succession: Option<SuccessionRecord>,
    stored_parts: BTreeMap<JobId, u32>,
    accepted_next: u64,
}

/// Accepted job that is loaded.
enum StoredJob {
    Held(Arc<JobSpec>),
    /// Beyond the memory for jobs, only what a job without progress needs is held.
    Parked(ParkedJob),
}

/// Fences off earlier owners, has the group confirm the ownership and loads the stored state; retries
/// until all have succeeded.
///
/// # Errors
///
/// Fails if another member has taken over.
pub(super) async fn load_state<P: Platform>(
    owner: &OwnerTask<P>,
    token: u64,
) -> Result<LoadedState, &'static str> {
    let shared = &*owner.shared;
    loop {
        match try_load(owner, token).await {
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

async fn try_load<P: Platform>(owner: &OwnerTask<P>, token: u64) -> Result<Option<LoadedState>> {
    let (platform, shared) = (&*owner.platform, &*owner.shared);
    let generation = owner.ownership.borrow().generation;
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
    let fenced_at = shared.clock.now();
    let read = async {
        let mut records = StoredRecords::default();
        read_progress(platform, shared, &mut records).await?;
        let accepted_read_at = shared.clock.now();
        read_accepted(platform, shared, &mut records).await?;
        let page = read_workers(platform, shared).await?;
        Ok::<_, Error>((records, accepted_read_at, page))
    };
    // Both, before the leases of unknown workers begin to be counted.
    let (read, ()) = tokio::join!(read, confirm_ownership(owner, fenced_at));
    let (mut records, accepted_read_at, page) = read?;
    let workers_next = page.next;
    let accepted_next = records.accepted_next;
    let stored_parts = std::mem::take(&mut records.stored_parts);
    let mut scheduler = restore(records, shared, owner.limits, catalogue);
    let now = shared.clock.now();
    scheduler.workers_listed(workers_by_id(shared, page.items), now);
    let formers = scheduler.former_owners().iter();
    let formers: Vec<_> = formers
        .map(|former| json!({"key": &*former.key, "until_ms": former.until.as_millis()}))
        .collect();
    event!(shared.log, Ownership, "token": token, "outcome": "taken over",
        "open_jobs": scheduler.open_jobs(), "workers": scheduler.workers().count(),
        "took_ms": (now - started_at).as_millis(),
        "former_owners": formers);
    Ok(Some(LoadedState {
        scheduler,
        accepted_next,
        accepted_read_at,
        workers_next,
        stored_parts,
        proof: OwnershipProof::open(generation, started_at),
    }))
}

/// Waits until the group has confirmed the ownership in answer to a call sent after `fenced_at`. An owner
/// whose fence was delayed may have lost the pools to the one before it meanwhile.
async fn confirm_ownership<P: Platform>(owner: &OwnerTask<P>, fenced_at: ClockTime) {
    let mut ownership = owner.ownership.clone();
    sleep(CLOCK_STEP).await;
    owner.shared.owner_view.request_confirmation();
    let is_confirmed =
        |known: &PoolOwnership| known.owned_since.is_some() && known.confirmed_at > fenced_at;
    // Without the membership task the ownership ends, and this wait with it.
    if ownership.wait_for(is_confirmed).await.is_err() {
        std::future::pending::<()>().await;
    }
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
                Ok(Some(BatchRecord::Succession(last))) => records.succession = Some(last),
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
    let progress = records.progress.iter();
    let has_progress: BTreeSet<JobId> = progress
        .filter_map(|record| match record {
            BatchRecord::Progress(id, _) => Some(*id),
            _ => None,
        })
        .collect();
    let add = |page: Vec<KeyedRecord>| {
        for record in decode_accepted_records(shared, &page) {
            match record {
                AcceptedRecord::Job(id, spec) => {
                    let bytes = records.job_bytes.saturating_add(job_bytes(&spec));
                    let fits = bytes <= shared.job_memory || records.jobs.is_empty();
                    let job = if fits || has_progress.contains(&id) {
                        records.job_bytes = bytes;
                        StoredJob::Held(Arc::new(spec))
                    } else {
                        StoredJob::Parked(ParkedJob::of(&spec))
                    };
                    records.jobs.insert(id, job);
                }
                AcceptedRecord::Cancel(id, tenant) => records.cancels.push((id, tenant)),
                AcceptedRecord::Removed => {}
            }
        }
    };
    records.accepted_next = read_newest(platform, StoreStream::Accepted, add).await?;
    Ok(())
}

/// Returns the former owners that may still extend leases on promises. An earlier process of this
/// member has ended.
fn former_owners(
    identity: &MemberIdentity,
    record: &SuccessionRecord,
    readings: &ClockReadings,
    now: ClockTime,
) -> SmallVec<[FormerOwner; 2]> {
    let mut formers = record.former_owners(readings, now);
    formers.retain(|former| {
        former.key != *readings.own() && !identity.is_earlier_incarnation(&former.key)
    });
    formers
}

fn restore(
    mut records: StoredRecords,
    shared: &MemberShared,
    limits: SchedulerLimits,
    catalogue: Arc<JobCatalogue>,
) -> Scheduler {
    let now = shared.clock.now();
    let mut scheduler = Scheduler::open(limits, catalogue, now);
    let readings = shared.clock_readings.load();
    scheduler.set_readings(ClockReadings::clone(&readings));
    if let Some(record) = &records.succession {
        let formers = former_owners(&shared.identity, record, &readings, now);
        scheduler.restore_former_owners(formers);
    }
    for (id, tenant) in records.cancels {
        scheduler.cancel(id, tenant.as_ref());
    }
    for record in records.progress {
        match record {
            BatchRecord::Progress(id, progress) => {
                let spec = match records.jobs.remove(&id) {
                    Some(StoredJob::Held(spec)) => Some(spec),
                    Some(StoredJob::Parked(_)) | None => None,
                };
                scheduler.restore(id, spec, &progress);
            }
            BatchRecord::Remove(_) => {}
            BatchRecord::Wave(number, progress) => scheduler.restore_wave(number, progress),
            BatchRecord::LeaseExpiry(worker, expiry) => {
                if let Some(expiry) = expiry {
                    scheduler.restore_lease_expiry(&worker, expiry);
                }
            }
            BatchRecord::BaseSizes(standing) => scheduler.restore_base_sizes(standing),
            BatchRecord::Succession(_) => {}
        }
    }
    // Jobs without stored progress have not started.
    for (id, job) in records.jobs {
        match job {
            StoredJob::Held(spec) => scheduler.restore(id, Some(spec), &JobProgress::default()),
            StoredJob::Parked(job) => scheduler.restore_parked(id, job),
        }
    }
    scheduler.meter_restored_jobs();
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
