//! Jobs, their progress and what members of the scheduler say to each other, in CBOR.

use std::collections::BTreeMap;

use jacinthhoist_core::{
    ClockTime, PoolName, WorkName, WorkerId,
    job::{BatchRecord, JobId, JobProgress, JobSpec, JobState, MemberRank, WaveProgress, WorkLoad},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::error::{CborSnafu, Result};

/// The key of the pools' standing sizes.
const KEY_STANDING: &str = "standing";
/// Starts the key of an accepted job.
const KEY_JOB: char = 'j';
/// Starts the key of a cancellation.
const KEY_CANCEL: char = 'c';
/// Starts the key of a job's progress.
const KEY_PROGRESS: char = 'p';
/// Starts the key of the time by which all that a worker holds lapses.
const KEY_LAPSE: char = 'l';
/// Starts the key of a wave's progress.
const KEY_WAVE: char = 'w';

/// A record of a topic that keeps the newest value of each key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The value; empty where the key is dropped.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// What members write where jobs are accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum AcceptedRecord {
    /// A job was accepted.
    Job(JobId, JobSpec),
    /// A job was cancelled.
    Cancel(JobId),
    /// A job's body is no longer needed.
    Removed,
}

/// The record of an accepted job.
///
/// # Errors
///
/// None for jobs that the core can make.
pub fn encode_job(id: JobId, spec: &JobSpec) -> Result<KeyedRecord> {
    Ok(KeyedRecord {
        key: format!("{KEY_JOB}{id}"),
        value: to_cbor(spec)?,
    })
}

/// The record of a cancellation.
pub fn encode_cancel(id: JobId) -> KeyedRecord {
    KeyedRecord {
        key: format!("{KEY_CANCEL}{id}"),
        value: vec![1],
    }
}

/// Records that drop an ended job's body and cancellation.
pub fn encode_removal(id: JobId) -> [KeyedRecord; 2] {
    [KEY_JOB, KEY_CANCEL].map(|kind| KeyedRecord {
        key: format!("{kind}{id}"),
        value: Vec::new(),
    })
}

/// Reads a record of accepted jobs.
///
/// # Errors
///
/// A key or value that this release does not write.
pub fn decode_accepted(record: &KeyedRecord) -> Result<AcceptedRecord> {
    if record.value.is_empty() {
        return Ok(AcceptedRecord::Removed);
    }
    let (kind, id) = split_key(&record.key)?;
    match kind {
        KEY_JOB => Ok(AcceptedRecord::Job(
            parse_id(id)?,
            from_cbor(&record.value)?,
        )),
        KEY_CANCEL => Ok(AcceptedRecord::Cancel(parse_id(id)?)),
        _ => unknown_key(&record.key),
    }
}

/// The stored form of the owner's record.
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
/// None for records that the core can make.
pub fn encode_progress(record: &BatchRecord) -> Result<KeyedRecord> {
    let (key, value) = match record {
        BatchRecord::Progress(id, progress) => (format!("{KEY_PROGRESS}{id}"), to_cbor(progress)?),
        BatchRecord::Remove(id) => (format!("{KEY_PROGRESS}{id}"), Vec::new()),
        BatchRecord::Wave(number, progress) => (format!("{KEY_WAVE}{number}"), to_cbor(progress)?),
        BatchRecord::LeaseExpiry(worker, at) => {
            let value = at.map_or_else(|| Ok(Vec::new()), |at| to_cbor(&at))?;
            (format!("{KEY_LAPSE}{worker}"), value)
        }
        BatchRecord::BaseSizes(standing) => (KEY_STANDING.to_owned(), to_cbor(standing)?),
    };
    Ok(KeyedRecord { key, value })
}

/// Reads an owner's record.
///
/// # Errors
///
/// A key or value that this release does not write.
pub fn decode_progress(record: &KeyedRecord) -> Result<BatchRecord> {
    if record.key == KEY_STANDING {
        let standing: BTreeMap<PoolName, usize> = from_cbor(&record.value)?;
        return Ok(BatchRecord::BaseSizes(standing));
    }
    let (kind, id) = split_key(&record.key)?;
    match kind {
        KEY_PROGRESS if record.value.is_empty() => Ok(BatchRecord::Remove(parse_id(id)?)),
        KEY_PROGRESS => {
            let progress: JobProgress = from_cbor(&record.value)?;
            Ok(BatchRecord::Progress(parse_id(id)?, progress))
        }
        KEY_LAPSE => {
            let at = (!record.value.is_empty()).then(|| from_cbor(&record.value));
            Ok(BatchRecord::LeaseExpiry(WorkerId::new(id), at.transpose()?))
        }
        KEY_WAVE => {
            let progress: WaveProgress = from_cbor(&record.value)?;
            let number = id.parse().ok();
            let number = number.map_or_else(|| unknown_key(&record.key), Ok)?;
            Ok(BatchRecord::Wave(number, progress))
        }
        _ => unknown_key(&record.key),
    }
}

/// What the owner knows of a job that a member asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobReply {
    /// It is known.
    Known(JobState),
    /// There is no such job.
    Missing,
    /// The owner cannot tell now.
    Unsure,
}

/// What the owner tells of its pools, and how old its own knowledge is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OwnerHeartbeat {
    /// The load of each kind of work.
    pub loads: BTreeMap<WorkName, WorkLoad>,
    /// Time since the owner last read accepted jobs.
    pub read_age: ClockTime,
    /// Time since the store last said that it owns the pools.
    pub place_age: ClockTime,
}

/// What members of the scheduler say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobFrame {
    /// How is a job? Sent to the owner.
    Ask {
        /// Pairs the answer with the question.
        id: u64,
        /// The job.
        job: JobId,
    },
    /// The owner's answer.
    Answer {
        /// The question's id.
        id: u64,
        /// What the owner knows.
        answer: JobReply,
    },
    /// The owner's heartbeat.
    Loads(OwnerHeartbeat),
    /// The rank of the member that opened the link, which offers to own the pools.
    Offer(MemberRank),
    /// The owner stops: the member that hears this follows it.
    Follow,
    /// Records that a member has just stored, so that the owner need not wait until it reads them.
    Stored(Vec<KeyedRecord>),
}

/// Bytes of a frame.
///
/// # Errors
///
/// None for frames that the members make.
pub fn encode_job_frame(frame: &JobFrame) -> Result<Vec<u8>> {
    to_cbor(frame)
}

/// Reads a frame.
///
/// # Errors
///
/// Bytes that are not a frame of this release.
pub fn decode_job_frame(bytes: &[u8]) -> Result<JobFrame> {
    from_cbor(bytes)
}

fn split_key(key: &str) -> Result<(char, &str)> {
    let mut chars = key.chars();
    match chars.next() {
        Some(kind) => Ok((kind, chars.as_str())),
        None => unknown_key(key),
    }
}

fn parse_id(text: &str) -> Result<JobId> {
    text.parse().or_else(|_| unknown_key(text))
}

fn unknown_key<T>(key: &str) -> Result<T> {
    let message = format!("the key `{key}` is not known");
    CborSnafu { message }.fail().map_err(Into::into)
}

fn to_cbor<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let written = ciborium::into_writer(value, &mut bytes);
    written.map_err(|error| {
        CborSnafu {
            message: error.to_string(),
        }
        .build()
    })?;
    Ok(bytes)
}

fn from_cbor<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let read = ciborium::from_reader(bytes);
    read.map_err(|error| {
        CborSnafu {
            message: error.to_string(),
        }
        .build()
        .into()
    })
}
