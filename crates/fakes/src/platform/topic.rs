//! Topic with one partition that is compacted to the newest record of each key.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Number of a producer's latest appends that are deduplicated when they are repeated.
const DEDUPLICATED_APPENDS: usize = 5;

/// Size of the records in the response to a read; small, so that tests read in several parts.
const READ_BYTES: usize = 8_192;

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AppendOutcome {
    /// Stored at `offset`; `end` is the new end of the topic.
    At { offset: u64, end: u64 },
    /// Rejected: the producer has already used a higher epoch.
    Fenced,
    /// Rejected: the sequence number does not follow the previous one.
    OutOfOrder,
}

/// Newest epoch of a producer and the outcomes of its latest appends by sequence number.
#[derive(Debug, Default)]
struct ProducerState {
    epoch: u64,
    next_seq: Option<u64>,
    recent: VecDeque<(u64, AppendOutcome)>,
}

/// Records of a topic and the state of its producers.
#[derive(Debug, Default)]
pub(super) struct KeyedTopic {
    /// Offset of the oldest retained record.
    first_offset: u64,
    records: VecDeque<Bytes>,
    newest: BTreeMap<Bytes, (u64, Bytes)>,
    producers: HashMap<String, ProducerState>,
}

impl KeyedTopic {
    pub(super) fn end(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    pub(super) fn append(
        &mut self,
        stamp: Option<(&str, u64, u64)>,
        body: &Bytes,
    ) -> AppendOutcome {
        let Some((name, epoch, seq)) = stamp else {
            return self.push(body);
        };
        let producer = self.producers.entry(name.to_owned()).or_default();
        if epoch < producer.epoch {
            return AppendOutcome::Fenced;
        }
        if epoch > producer.epoch {
            *producer = ProducerState {
                epoch,
                ..ProducerState::default()
            };
        }
        if body.is_empty() {
            return self.push(body);
        }
        let earlier = producer.recent.iter().find(|(earlier, _)| *earlier == seq);
        if let Some((_, outcome)) = earlier {
            return *outcome;
        }
        if producer.next_seq.is_some_and(|next_seq| next_seq != seq) {
            return AppendOutcome::OutOfOrder;
        }
        let outcome = self.push(body);
        if let Some(producer) = self.producers.get_mut(name) {
            producer.next_seq = Some(seq + 1);
            producer.recent.push_back((seq, outcome));
            if producer.recent.len() > DEDUPLICATED_APPENDS {
                producer.recent.pop_front();
            }
        }
        outcome
    }

    fn push(&mut self, body: &Bytes) -> AppendOutcome {
        let offset = self.end();
        let mut remaining = body.clone();
        while remaining.has_remaining() {
            let length = remaining.get_u32() as usize;
            let record = remaining.split_to(length);
            let mut value = record.clone();
            let key_length = usize::from(value.get_u8());
            let key = value.split_to(key_length);
            let record_offset = self.end();
            self.records.push_back(record);
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (record_offset, value));
            }
        }
        let end = self.end();
        AppendOutcome::At { offset, end }
    }

    /// Body of the response to a read from an offset, with one record or more; `None` if that offset
    /// has been compacted away.
    pub(super) fn read(&self, from: u64) -> Option<Bytes> {
        if from < self.first_offset {
            return None;
        }
        let mut bytes = BytesMut::new();
        bytes.put_u64(self.end());
        bytes.put_u64(self.first_offset);
        let skip = (from - self.first_offset) as usize;
        for record in self.records.iter().skip(skip) {
            if bytes.len() >= READ_BYTES {
                break;
            }
            bytes.put_u32(record.len() as u32);
            bytes.put_slice(record);
        }
        Some(bytes.freeze())
    }

    /// Newest records in key order, from the first key after `after`, at most `limit` of them; the
    /// flag is set if more follow.
    pub(super) fn newest(&self, after: &str, limit: usize) -> (Vec<(String, u64, Bytes)>, bool) {
        let keys = self.newest.iter();
        let later = keys.filter(|(key, _)| &key[..] > after.as_bytes());
        let mut rows: Vec<_> = later
            .take(limit + 1)
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key).into_owned();
                (key, *offset, value.clone())
            })
            .collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        (rows, has_more)
    }

    /// Drops the history but keeps the newest record of each key.
    pub(super) fn compact(&mut self) {
        self.first_offset = self.end();
        self.records.clear();
    }
}
