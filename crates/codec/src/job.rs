//! Records of jobs and their progress, and frames exchanged by scheduler members, in CBOR.

use std::{collections::BTreeMap, sync::Arc};

use ciborium::tag::{Captured, Required};
use jacinthhoist_core::{
    ClockTime, PoolName, TenantName, WorkerId,
    job::{
        BatchRecord, JobId, JobProgress, JobSize, JobSpec, JobState, LoadReport, MemberRank,
        MemoryReport, StoredTime, WaveProgress,
    },
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    cbor,
    error::{CborSnafu, Error, Result},
};

/// Key of the base sizes of the pools.
const KEY_BASE_SIZES: &str = "standing";
/// Key of the members whose promises the owner uses.
const KEY_SUCCESSION: &str = "succession";
/// Prefix of the key of an accepted job.
const PREFIX_JOB: char = 'j';
/// Prefix of the key of a cancellation.
const PREFIX_CANCEL: char = 'c';
/// Value of a cancellation without a tenant.
const NO_TENANT: [u8; 1] = [1];
/// Prefix of the key of a job's progress.
const PREFIX_PROGRESS: char = 'p';
/// Prefix of the key of a part of a job's progress.
const PREFIX_PART: char = 'x';
/// Separates the job from the number of the part in its key.
const PART_SEPARATOR: char = '.';
/// Prefix of the key of the time by which a worker's lease has certainly expired.
const PREFIX_LEASE_EXPIRY: char = 'l';
/// Tag of a time that a [`StoredTime`] follows.
const STORED_TIME_TAG: u64 = 1_000;
/// Prefix of the key of a maintenance wave's progress.
const PREFIX_WAVE: char = 'w';

/// Record of a compacted topic, which retains the newest value of each key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: String,
    /// Encoded value; empty if the key is removed.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// Record in the topic of accepted jobs.
#[derive(Clone, Debug, PartialEq)]
pub enum AcceptedRecord {
    /// The job was accepted.
    Job(JobId, JobSpec),
    /// The job was cancelled by a caller of the given tenant.
    Cancel(JobId, Option<TenantName>),
    /// The body or the cancellation of an ended job was removed.
    Removed,
}

/// Encodes the record of an accepted job.
///
/// # Errors
///
/// The job cannot be represented in CBOR; jobs created by the core always can.
pub fn encode_job(id: JobId, spec: &JobSpec) -> Result<KeyedRecord> {
    Ok(KeyedRecord {
        key: format!("{PREFIX_JOB}{id}"),
        value: to_cbor(spec)?,
    })
}

/// Encodes the record of a cancellation by a caller of the given tenant.
///
/// # Errors
///
/// The name cannot be represented in CBOR; a name always can.
pub fn encode_cancel(id: JobId, tenant: Option<&TenantName>) -> Result<KeyedRecord> {
    Ok(KeyedRecord {
        key: format!("{PREFIX_CANCEL}{id}"),
        value: tenant.map_or_else(|| Ok(NO_TENANT.to_vec()), to_cbor)?,
    })
}

/// Encodes the records that remove the body and the cancellation of an ended job.
pub fn encode_removal(id: JobId) -> [KeyedRecord; 2] {
    [PREFIX_JOB, PREFIX_CANCEL].map(|prefix| KeyedRecord {
        key: format!("{prefix}{id}"),
        value: Vec::new(),
    })
}

/// Decodes a record from the topic of accepted jobs.
///
/// # Errors
///
/// The key or the value is not one that this release writes.
pub fn decode_accepted(record: &KeyedRecord) -> Result<AcceptedRecord> {
    if record.value.is_empty() {
        return Ok(AcceptedRecord::Removed);
    }
    let (prefix, id) = split_key(&record.key)?;
    match prefix {
        PREFIX_JOB => {
            let id = parse_id(id)?;
            let spec: JobSpec = from_cbor(&record.value)?;
            spec.check().map_err(|error| invalid(error.to_string()))?;
            Ok(AcceptedRecord::Job(id, spec))
        }
        PREFIX_CANCEL => {
            let has_tenant = record.value != NO_TENANT;
            let tenant = has_tenant.then(|| from_cbor(&record.value));
            Ok(AcceptedRecord::Cancel(parse_id(id)?, tenant.transpose()?))
        }
        _ => unknown_key(&record.key),
    }
}

/// Returns the job that a record in the topic of accepted jobs describes; `None` for other records.
pub fn accepted_job(record: &KeyedRecord) -> Option<JobId> {
    let id = record.key.strip_prefix(PREFIX_JOB)?;
    if record.value.is_empty() {
        return None;
    }
    id.parse().ok()
}

/// Encodes a record of the owner's progress.
///
/// ```
/// use jacinthhoist_codec::{decode_progress, encode_progress};
/// use jacinthhoist_core::job::{BatchRecord, JobId, JobProgress};
/// let record = BatchRecord::Progress(JobId(7), JobProgress::default());
/// let stored = encode_progress(&record).unwrap();
/// assert_eq!(decode_progress(&stored).unwrap(), record);
/// ```
///
/// # Errors
///
/// The record cannot be represented in CBOR; records created by the core always can.
pub fn encode_progress(record: &BatchRecord) -> Result<KeyedRecord> {
    let (key, value) = match record {
        BatchRecord::Progress(id, progress) => {
            (progress_key(*id), encode_progress_value(progress)?)
        }
        BatchRecord::Remove(id) => (progress_key(*id), Vec::new()),
        BatchRecord::Wave(number, progress) => {
            (format!("{PREFIX_WAVE}{number}"), to_cbor(progress)?)
        }
        BatchRecord::LeaseExpiry(worker, at) => {
            let value = at.as_ref().map_or_else(|| Ok(Vec::new()), encode_expiry)?;
            (format!("{PREFIX_LEASE_EXPIRY}{worker}"), value)
        }
        BatchRecord::BaseSizes(base_sizes) => (KEY_BASE_SIZES.to_owned(), to_cbor(base_sizes)?),
        BatchRecord::Succession(record) => (KEY_SUCCESSION.to_owned(), to_cbor(record)?),
    };
    Ok(KeyedRecord { key, value })
}

/// Decodes a record of the owner's progress.
///
/// # Errors
///
/// The key or the value is not one that this release writes.
pub fn decode_progress(record: &KeyedRecord) -> Result<BatchRecord> {
    if record.key == KEY_BASE_SIZES {
        let base_sizes: BTreeMap<PoolName, usize> = from_cbor(&record.value)?;
        return Ok(BatchRecord::BaseSizes(base_sizes));
    }
    if record.key == KEY_SUCCESSION {
        return Ok(BatchRecord::Succession(from_cbor(&record.value)?));
    }
    let (prefix, id) = split_key(&record.key)?;
    match prefix {
        PREFIX_PROGRESS if record.value.is_empty() => Ok(BatchRecord::Remove(parse_id(id)?)),
        PREFIX_PROGRESS => {
            let progress = decode_progress_value(&record.value)?;
            Ok(BatchRecord::Progress(parse_id(id)?, progress))
        }
        PREFIX_LEASE_EXPIRY => {
            let at = (!record.value.is_empty()).then(|| decode_expiry(&record.value));
            Ok(BatchRecord::LeaseExpiry(WorkerId::new(id), at.transpose()?))
        }
        PREFIX_WAVE => {
            let progress: WaveProgress = from_cbor(&record.value)?;
            let number = id.parse().ok();
            let number = number.map_or_else(|| unknown_key(&record.key), Ok)?;
            Ok(BatchRecord::Wave(number, progress))
        }
        _ => unknown_key(&record.key),
    }
}

/// Encodes a lease expiry as two items. Earlier releases read the first one only, the time on the clock of the
/// member that stores it, and write it without the tag. They must be able to read it: an owner that
/// does not know of the record extends the lease without removing it.
fn encode_expiry(expiry: &StoredTime) -> Result<Vec<u8>> {
    let mark = expiry.last_mark().unwrap_or_default();
    let mut value = to_cbor(&Required::<_, STORED_TIME_TAG>(mark))?;
    value.extend(to_cbor(expiry)?);
    Ok(value)
}

/// Decodes a lease expiry. The record of an earlier release does not say on which clock it is.
fn decode_expiry(value: &[u8]) -> Result<StoredTime> {
    let (mark, rest) = cbor::split_first(value).map_err(invalid)?;
    match from_cbor::<Captured<ClockTime>>(mark)? {
        Captured(None, _) => Ok(StoredTime::unbounded()),
        Captured(Some(STORED_TIME_TAG), _) => from_cbor(rest),
        Captured(Some(tag), _) => Err(invalid(format!("unknown tag {tag} of a lease expiry"))),
    }
}

pub(crate) fn progress_key(id: JobId) -> String {
    format!("{PREFIX_PROGRESS}{id}")
}

pub(crate) fn encode_progress_value(progress: &JobProgress) -> Result<Vec<u8>> {
    to_cbor(progress)
}

pub(crate) fn decode_progress_value(value: &[u8]) -> Result<JobProgress> {
    from_cbor(value)
}

/// Record that takes the place of a job's progress and holds the number of its parts.
pub(crate) fn progress_head(id: JobId, parts: u32) -> Result<KeyedRecord> {
    Ok(KeyedRecord {
        key: progress_key(id),
        value: to_cbor(&parts)?,
    })
}

/// Reads the number of parts; `None` if the record is another one. Progress itself is a map.
pub(crate) fn read_progress_head(record: &KeyedRecord) -> Option<(JobId, u32)> {
    let id = record.key.strip_prefix(PREFIX_PROGRESS)?.parse().ok()?;
    Some((id, from_cbor(&record.value).ok()?))
}

pub(crate) fn progress_part_key(id: JobId, index: u32) -> String {
    format!("{PREFIX_PART}{id}{PART_SEPARATOR}{index}")
}

pub(crate) fn read_progress_part_key(key: &str) -> Option<(JobId, u32)> {
    let (id, index) = key.strip_prefix(PREFIX_PART)?.split_once(PART_SEPARATOR)?;
    Some((id.parse().ok()?, index.parse().ok()?))
}

/// Owner's reply to a query for the state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobReply {
    /// The job is in this state.
    Known(JobState),
    /// The job does not exist.
    Missing,
    /// The owner cannot currently determine the state.
    Unsure,
}

/// Outcome of storing a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreOutcome {
    /// The record is stored.
    Stored,
    /// The record is not stored and never will be.
    NotStored,
    /// The record may be stored.
    Unknown,
    /// The record is not stored and never will be, as the owner has no memory for its job.
    NoRoom,
}

/// Owner's heartbeat: the load of its pools and the age of its information.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OwnerHeartbeat {
    /// Load of all kinds of work.
    pub loads: LoadReport,
    /// Time since the owner last read the accepted jobs.
    pub read_age: ClockTime,
    /// Time since the store last confirmed that the sender owns the pools.
    pub place_age: ClockTime,
    /// Time on the owner's clock at which the heartbeat was sent.
    #[serde(default)]
    pub sent_at: ClockTime,
    /// True if followers are to answer with the time of day.
    #[serde(default)]
    pub asks_wall_time: bool,
    /// Room for further jobs; none in the heartbeats of earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory: Option<MemoryReport>,
}

/// Evidence of a follower that its owner has not been replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StandingEvidence {
    /// The store named the owner in answer to a call made after the heartbeat had arrived.
    Confirmed,
    /// The follower does not take over for [`PROMISE_SPAN`] after the heartbeat.
    ///
    /// [`PROMISE_SPAN`]: jacinthhoist_core::job::PROMISE_SPAN
    Promised,
}

/// A frame exchanged by scheduler members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobFrame {
    /// Queries the owner for the state of a job.
    Ask {
        /// Id that the reply repeats.
        id: u64,
        /// Id of the job.
        job: JobId,
        /// Tenant of the caller.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        tenant: Option<TenantName>,
    },
    /// Reply of the owner.
    Answer {
        /// Id of the query.
        id: u64,
        /// State of the job.
        answer: JobReply,
    },
    /// Heartbeat of the owner.
    Loads(OwnerHeartbeat),
    /// Offer of the member that opened the connection to own the pools, with its rank.
    Offer(MemberRank),
    /// Notice that the owner is stopping; the receiver succeeds it.
    Follow,
    /// Records that a member has just stored, sent so that the owner need not wait to read them.
    Stored(Vec<KeyedRecord>),
    /// Asks the owner to store a record of a caller together with those of other members.
    Store {
        /// Id that the reply repeats.
        id: u64,
        /// Record to store.
        record: KeyedRecord,
        /// Size of the job in it; none for other records, and from earlier releases.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        size: Option<JobSize>,
    },
    /// Reply of the owner to a record to be stored.
    StoreReply {
        /// Id of the request.
        id: u64,
        /// Whether the record is stored.
        outcome: StoreOutcome,
    },
    /// Key of the member that opened the connection.
    Identify(Arc<str>),
    /// Answer of a follower to a heartbeat of an owner that the store has not confirmed of late.
    Standing {
        /// Time at which that heartbeat was sent, by the owner's clock.
        sent_at: ClockTime,
        /// Evidence as of that time.
        evidence: StandingEvidence,
    },
    /// Time of day by a follower's wall clock, in answer to a heartbeat.
    WallTime(ClockTime),
    /// Memory for jobs, in bytes, of the member that opened the connection. Earlier releases skip it.
    Capacity(u64),
}

/// Encodes a frame.
///
/// # Errors
///
/// The frame cannot be represented in CBOR; frames created by this program always can.
pub fn encode_job_frame(frame: &JobFrame) -> Result<Vec<u8>> {
    to_cbor(frame)
}

/// Decodes a frame.
///
/// # Errors
///
/// The bytes are not a frame of this release.
pub fn decode_job_frame(bytes: &[u8]) -> Result<JobFrame> {
    from_cbor(bytes)
}

fn split_key(key: &str) -> Result<(char, &str)> {
    let mut chars = key.chars();
    match chars.next() {
        Some(prefix) => Ok((prefix, chars.as_str())),
        None => unknown_key(key),
    }
}

fn parse_id(text: &str) -> Result<JobId> {
    text.parse().or_else(|_| unknown_key(text))
}

fn unknown_key<T>(key: &str) -> Result<T> {
    Err(invalid(format!("unknown key `{key}`")))
}

pub(crate) fn invalid(message: String) -> Error {
    CborSnafu { message }.build().into()
}

fn to_cbor<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    cbor::to_bytes(value).map_err(invalid)
}

fn from_cbor<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    cbor::from_bytes(bytes).map_err(invalid)
}
