//! Records within the size limits of the store: the progress of a large job is stored in parts, and a
//! long series of records in several calls.

use std::collections::BTreeMap;

use jacinthhoist_core::job::{BatchRecord, JobId, JobProgress};

use crate::{
    error::Result,
    job::{
        KeyedRecord, decode_progress, decode_progress_value, encode_progress,
        encode_progress_value, invalid, progress_head, progress_key, progress_part_key,
        read_progress_head, read_progress_part_key,
    },
};

/// Bytes of a record besides its key and value: the two lengths.
const FRAMING_BYTES: usize = 5;
/// Upper bound on the size of a part's key.
const MAX_PART_KEY_BYTES: usize = 32;

/// Size limits of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Maximum size of a record.
    pub record_bytes: usize,
    /// Maximum total size of the records of one call.
    pub call_bytes: usize,
}

impl StoreLimits {
    /// Returns limits for examples and tests.
    pub fn example() -> Self {
        Self {
            record_bytes: 262_144,
            call_bytes: 2_097_152,
        }
    }

    /// Returns whether the store accepts a record.
    ///
    /// ```
    /// use jacinthhoist_codec::{KeyedRecord, StoreLimits};
    /// let limits = StoreLimits { record_bytes: 100, call_bytes: 200 };
    /// let record = |bytes| KeyedRecord { key: "j1".to_owned(), value: vec![0; bytes] };
    /// assert!(limits.admits(&record(90)));
    /// assert!(!limits.admits(&record(100)));
    /// ```
    pub fn admits(&self, record: &KeyedRecord) -> bool {
        stored_bytes(record) <= self.record_bytes
    }

    /// Returns whether the store accepts records with one call.
    pub fn admits_call(&self, records: &[KeyedRecord]) -> bool {
        records.iter().map(stored_bytes).sum::<usize>() <= self.call_bytes
    }

    /// Returns how many of the first groups of records fit into one call; at least one.
    pub fn count_fitting<'a>(&self, groups: impl Iterator<Item = &'a [KeyedRecord]>) -> usize {
        let (mut total, mut count) = (0, 0);
        for group in groups {
            total += group.iter().map(stored_bytes).sum::<usize>();
            if total > self.call_bytes && count > 0 {
                break;
            }
            count += 1;
        }
        count
    }

    /// Distributes groups of records over calls; the records of a group stay together. There is at
    /// least one call.
    pub fn split_calls(&self, mut groups: Vec<Vec<KeyedRecord>>) -> Vec<Vec<KeyedRecord>> {
        let mut calls = Vec::new();
        while calls.is_empty() || !groups.is_empty() {
            let count = self.count_fitting(groups.iter().map(Vec::as_slice));
            calls.push(groups.drain(..count).flatten().collect());
        }
        calls
    }
}

fn stored_bytes(record: &KeyedRecord) -> usize {
    FRAMING_BYTES + record.key.len() + record.value.len()
}

/// Encoded record of the owner's progress, to be stored with one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgressGroup {
    /// Records to store.
    pub records: Vec<KeyedRecord>,
    /// Number of parts of a job's progress; 0 if it is stored in one record.
    pub parts: u32,
    /// True if crash histories or checkpoints were left out, as the progress would exceed a call.
    pub is_reduced: bool,
}

/// Encodes a record of the owner's progress within the limits of the store. Parts that are stored from
/// an earlier, larger record of the job are removed; `stored_parts` is their number.
///
/// A release that does not know parts reads the job as one without progress; no release has stored a
/// record of that size before.
///
/// # Errors
///
/// The record cannot be represented in CBOR, or exceeds a call even without what may be left out.
pub fn encode_progress_group(
    record: &BatchRecord,
    limits: &StoreLimits,
    stored_parts: u32,
) -> Result<ProgressGroup> {
    let (id, progress) = match record {
        BatchRecord::Progress(id, progress) => (*id, progress),
        BatchRecord::Remove(id) => {
            let mut records = vec![encode_progress(record)?];
            records.extend(removed_parts(*id, 0..stored_parts));
            return Ok(ProgressGroup::whole(records));
        }
        _ => return Ok(ProgressGroup::whole(vec![encode_progress(record)?])),
    };
    let whole = encode_progress(record)?;
    if limits.admits(&whole) {
        let mut records = vec![whole];
        records.extend(removed_parts(id, 0..stored_parts));
        return Ok(ProgressGroup::whole(records));
    }
    if let Some(group) = in_parts(id, &whole.value, limits, stored_parts)? {
        return Ok(group);
    }
    let without_crashes = progress.without_crashes();
    for reduced in [
        without_crashes.clone(),
        without_crashes.without_checkpoints(),
    ] {
        let value = encode_progress_value(&reduced)?;
        if let Some(group) = in_parts(id, &value, limits, stored_parts)? {
            return Ok(ProgressGroup {
                is_reduced: true,
                ..group
            });
        }
    }
    Err(invalid(format!("the progress of job {id} exceeds a call")))
}

impl ProgressGroup {
    fn whole(records: Vec<KeyedRecord>) -> Self {
        Self {
            records,
            parts: 0,
            is_reduced: false,
        }
    }
}

/// Splits a value into parts; `None` if they exceed one call.
fn in_parts(
    id: JobId,
    value: &[u8],
    limits: &StoreLimits,
    stored_parts: u32,
) -> Result<Option<ProgressGroup>> {
    let overhead = FRAMING_BYTES + MAX_PART_KEY_BYTES;
    // A limit that leaves no room for a value is one that the settings give by mistake.
    let part_bytes = limits.record_bytes.saturating_sub(overhead).max(1);
    let parts = value.len().div_ceil(part_bytes) as u32;
    let mut records = vec![progress_head(id, parts)?];
    let values = value.chunks(part_bytes).map(<[u8]>::to_vec);
    records.extend(values.zip(0..).map(|(value, index)| KeyedRecord {
        key: progress_part_key(id, index),
        value,
    }));
    records.extend(removed_parts(id, parts..stored_parts));
    Ok(limits.admits_call(&records).then_some(ProgressGroup {
        records,
        parts,
        is_reduced: false,
    }))
}

fn removed_parts(id: JobId, indices: std::ops::Range<u32>) -> impl Iterator<Item = KeyedRecord> {
    indices.map(move |index| KeyedRecord {
        key: progress_part_key(id, index),
        value: Vec::new(),
    })
}

/// Reader of the owner's progress that puts parts together.
#[derive(Debug, Default)]
pub struct ProgressReader {
    /// Number of parts of each job that is stored in parts.
    heads: BTreeMap<JobId, u32>,
    parts: BTreeMap<(JobId, u32), Vec<u8>>,
}

impl ProgressReader {
    /// Adds a stored record and returns it, unless it belongs to a job that is stored in parts.
    ///
    /// # Errors
    ///
    /// The key or the value is not one that this release writes.
    pub fn add(&mut self, record: &KeyedRecord) -> Result<Option<BatchRecord>> {
        if let Some((id, index)) = read_progress_part_key(&record.key) {
            self.parts.insert((id, index), record.value.clone());
            return Ok(None);
        }
        if let Some((id, parts)) = read_progress_head(record) {
            self.heads.insert(id, parts);
            return Ok(None);
        }
        decode_progress(record).map(Some)
    }

    /// Number of parts that are stored of each job, whether its progress refers to them or not.
    pub fn stored_parts(&self) -> BTreeMap<JobId, u32> {
        let mut counts = BTreeMap::new();
        for ((id, index), value) in &self.parts {
            if !value.is_empty() {
                // In ascending order.
                counts.insert(*id, index.saturating_add(1));
            }
        }
        counts
    }

    /// Returns the progress of the jobs that are stored in parts, or the error with the job's key.
    pub fn into_jobs(
        self,
    ) -> impl Iterator<Item = Result<(JobId, JobProgress), (String, crate::Error)>> {
        let Self { heads, parts } = self;
        heads.into_iter().map(move |(id, count)| {
            let mut value = Vec::new();
            for index in 0..count {
                match parts.get(&(id, index)) {
                    Some(part) => value.extend_from_slice(part),
                    None => return Err((progress_key(id), invalid(format!("no part {index}")))),
                }
            }
            let progress = decode_progress_value(&value);
            progress.map_or_else(
                |error| Err((progress_key(id), error)),
                |progress| Ok((id, progress)),
            )
        })
    }
}
