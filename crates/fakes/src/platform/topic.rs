//! One partition of a topic that keeps the newest record of each key.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Appends whose first answers a producer gets again.
const REMEMBERED: usize = 5;

/// How an append was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Appended {
    /// At an offset.
    At { offset: u64, end: u64 },
    /// A higher epoch of the producer has been seen.
    Fenced,
    /// The sequence number does not follow.
    OutOfOrder,
}

/// A producer's newest epoch and what it appended last.
#[derive(Debug, Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    last: VecDeque<(u64, Appended)>,
}

/// The records of a partition.
#[derive(Debug, Default)]
pub(super) struct Topic {
    /// The first offset that is kept.
    first: u64,
    records: VecDeque<Bytes>,
    newest: BTreeMap<Bytes, (u64, Bytes)>,
    producers: HashMap<String, Producer>,
}

impl Topic {
    pub(super) fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    pub(super) fn append(&mut self, mark: Option<(&str, u64, u64)>, body: &Bytes) -> Appended {
        let Some((name, epoch, seq)) = mark else {
            return self.push(body);
        };
        let producer = self.producers.entry(name.to_owned()).or_default();
        if epoch < producer.epoch {
            return Appended::Fenced;
        }
        if epoch > producer.epoch {
            *producer = Producer {
                epoch,
                ..Producer::default()
            };
        }
        if body.is_empty() {
            return self.push(body);
        }
        let known = producer.last.iter().find(|(known, _)| *known == seq);
        if let Some((_, answer)) = known {
            return *answer;
        }
        if producer.next.is_some_and(|next| next != seq) {
            return Appended::OutOfOrder;
        }
        let answer = self.push(body);
        if let Some(producer) = self.producers.get_mut(name) {
            producer.next = Some(seq + 1);
            producer.last.push_back((seq, answer));
            if producer.last.len() > REMEMBERED {
                producer.last.pop_front();
            }
        }
        answer
    }

    fn push(&mut self, body: &Bytes) -> Appended {
        let offset = self.end();
        let mut rest = body.clone();
        while rest.has_remaining() {
            let length = rest.get_u32() as usize;
            let record = rest.split_to(length);
            let mut value = record.clone();
            let key_length = usize::from(value.get_u8());
            let key = value.split_to(key_length);
            let at = self.end();
            self.records.push_back(record);
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (at, value));
            }
        }
        let end = self.end();
        Appended::At { offset, end }
    }

    /// The body of a read from an offset; none where the records are gone.
    pub(super) fn read(&self, from: u64) -> Option<Bytes> {
        if from < self.first {
            return None;
        }
        let mut bytes = BytesMut::new();
        bytes.put_u64(self.end());
        bytes.put_u64(self.first);
        let skip = (from - self.first) as usize;
        for record in self.records.iter().skip(skip) {
            bytes.put_u32(record.len() as u32);
            bytes.put_slice(record);
        }
        Some(bytes.freeze())
    }

    /// Records of the newest of each key, after a key.
    pub(super) fn newest(&self, after: &str, most: usize) -> (Vec<(String, u64, Bytes)>, bool) {
        let keys = self.newest.iter();
        let later = keys.filter(|(key, _)| &key[..] > after.as_bytes());
        let mut rows: Vec<_> = later
            .take(most + 1)
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key).into_owned();
                (key, *offset, value.clone())
            })
            .collect();
        let more = rows.len() > most;
        rows.truncate(most);
        (rows, more)
    }

    /// Forgets the history; the newest record of each key stays.
    pub(super) fn compact(&mut self) {
        self.first = self.end();
        self.records.clear();
    }
}
