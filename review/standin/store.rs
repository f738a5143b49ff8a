//! The platform's store: keyed topics with one partition, and one consumer group.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{
        Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Answer, Request, json},
    json::{Json, base64, quote},
};

pub const RECORD_BYTES: usize = 262_144;
pub const CALL_BYTES: usize = 2_097_152;
/// Topic whose partition goes down: one of the five partitions in use.
const DOWN_TOPIC: &str = "keyed.progress";
const APPEND_TIME: Duration = Duration::from_millis(3);
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Producer {
    epoch: u64,
    next_seq: Option<u64>,
    recent: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
struct Group {
    members: BTreeMap<String, Instant>,
    owner: Option<String>,
    generation: u64,
}

#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    grown: Condvar,
    group: Mutex<Group>,
    appending: Mutex<()>,
    /// True while the partition of `keyed.progress` is down: its calls get 503, and nothing is done.
    pub down: AtomicBool,
    /// Calls refused while the partition was down.
    pub refused: AtomicU64,
    /// Appends refused as they exceed the limit of a record or of a call.
    pub oversized: AtomicU64,
    /// Size of the largest record in an append.
    pub largest: AtomicU64,
    /// Time in milliseconds for which the answers to appends that remove records are held back.
    pub removal_delay_ms: AtomicU64,
    /// Appends that have removed a record, by the key removed.
    pub removed: Mutex<Vec<(String, Instant)>>,
}

impl Topic {
    fn push(&mut self, record: Vec<u8>) {
        let key_end = 1 + usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
        let offset = self.records.len() as u64;
        if record.len() == key_end {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (offset, record[key_end..].to_vec()));
        }
        self.records.push(record);
    }
}

fn split_records(body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let (mut records, mut rest) = (Vec::new(), body);
    while !rest.is_empty() {
        let length = u32::from_be_bytes(rest.get(..4)?.try_into().ok()?) as usize;
        records.push(rest.get(4..4 + length)?.to_vec());
        rest = &rest[4 + length..];
    }
    Some(records)
}

impl Store {
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.bytes());
        record.extend(value.bytes());
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push(record);
        self.grown.notify_all();
    }

    /// Keys of the newest records of a topic.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let topics = self.topics.lock().unwrap();
        topics.get(topic).map(|topic| topic.newest.keys().cloned().collect()).unwrap_or_default()
    }

    /// Member that holds the partition.
    pub fn owner(&self) -> Option<String> {
        let mut group = self.group.lock().unwrap();
        group.expire();
        group.owner.clone()
    }

    pub fn answer(&self, request: Request) -> Answer {
        let topic = request.query.get("topic").map(String::as_str);
        if topic == Some(DOWN_TOPIC) && self.down.load(Ordering::SeqCst) {
            self.refused.fetch_add(1, Ordering::SeqCst);
            return json(503, "{}".to_owned());
        }
        let path = (request.method.as_str(), request.path.as_str());
        match path {
            ("POST", "/v1/log-append") => self.append(&request),
            ("GET", "/v1/log-read") => self.read(&request),
            ("GET", "/v1/log-newest") => self.newest(&request),
            ("POST", "/v1/log-join") => self.join(&request),
            ("POST", "/v1/log-leave") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let mut group = self.group.lock().unwrap();
                if group.members.remove(body.get("member").text()).is_some() {
                    group.settle(true);
                }
                json(200, "{}".to_owned())
            }
            ("GET", "/v1/log-owners") => {
                let owner = self.owner();
                let rows = owner.map(|owner| format!("[\"keyed.progress\",0,{},0]", quote(&owner)));
                json(200, format!("{{\"parts\":[{}]}}", rows.unwrap_or_default()))
            }
            ("POST", _) => json(200, "{}".to_owned()),
            _ => json(404, "{}".to_owned()),
        }
    }

    fn append(&self, request: &Request) -> Answer {
        let name = request.query.get("topic").cloned().unwrap_or_default();
        if name == "keyed.op" || name == "keyed.servers" {
            return json(403, "{}".to_owned());
        }
        let Some(records) = split_records(&request.body) else {
            return json(400, "{}".to_owned());
        };
        let bytes: usize = records.iter().map(Vec::len).sum();
        let largest = records.iter().map(Vec::len).max().unwrap_or(0);
        self.largest.fetch_max(largest as u64, Ordering::SeqCst);
        if bytes > CALL_BYTES || records.iter().any(|record| record.len() > RECORD_BYTES) {
            self.oversized.fetch_add(1, Ordering::SeqCst);
            return json(413, "{\"reason\":\"size\"}".to_owned());
        }
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let serial = self.appending.lock().unwrap();
        thread::sleep(APPEND_TIME);
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name).or_default();
        let offset = topic.records.len() as u64;
        if let (Some(producer), Some(epoch), Some(seq)) =
            (request.query.get("producer"), number("epoch"), number("seq"))
        {
            let known = topic.producers.entry(producer.clone()).or_default();
            if epoch < known.epoch {
                return json(409, "{\"reason\":\"fenced\"}".to_owned());
            }
            if epoch > known.epoch {
                *known = Producer { epoch, ..Producer::default() };
            }
            if !records.is_empty() {
                if let Some((_, offset, end)) = known.recent.iter().find(|row| row.0 == seq) {
                    return json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"));
                }
                if known.next_seq.is_some_and(|next| next != seq) {
                    return json(409, "{\"reason\":\"seq\"}".to_owned());
                }
                known.next_seq = Some(seq + 1);
                known.recent.push_back((seq, offset, offset + records.len() as u64));
                if known.recent.len() > 5 {
                    known.recent.pop_front();
                }
            }
        }
        let mut removed = Vec::new();
        for record in records {
            if record.len() == 1 + usize::from(record[0]) {
                removed.push((String::from_utf8_lossy(&record[1..]).into_owned(), Instant::now()));
            }
            topic.push(record);
        }
        let end = topic.records.len();
        drop(topics);
        drop(serial);
        self.grown.notify_all();
        let delay = self.removal_delay_ms.load(Ordering::SeqCst);
        let removes = !removed.is_empty();
        self.removed.lock().unwrap().extend(removed);
        if removes && delay > 0 {
            thread::sleep(Duration::from_millis(delay));
        }
        json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"))
    }

    fn read(&self, request: &Request) -> Answer {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let limit = number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let name = request.query.get("topic").cloned().unwrap_or_default();
        let mut topics = self.topics.lock().unwrap();
        loop {
            let topic = topics.entry(name.clone()).or_default();
            let now = Instant::now();
            if topic.records.len() > from || now >= until {
                let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                for record in topic.records.iter().skip(from) {
                    if body.len() > 16 && body.len() + record.len() > limit {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Answer::Reply(200, "application/octet-stream", body);
            }
            topics = self.grown.wait_timeout(topics, until - now).unwrap().0;
        }
    }

    fn newest(&self, request: &Request) -> Answer {
        let name = request.query.get("topic").cloned().unwrap_or_default();
        let after = request.query.get("depends_on").cloned();
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name).or_default();
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in &topic.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() == PAGE_ITEMS || bytes > PAGE_BYTES {
                more = true;
                break;
            }
            bytes += value.len();
            let value = base64(value);
            items.push(format!("{{\"key\":{},\"value\":\"{value}\",\"offset\":{offset}}}", quote(key)));
        }
        let (items, end) = (items.join(","), topic.records.len());
        json(200, format!("{{\"items\":[{items}],\"has_more\":{more},\"end\":{end}}}"))
    }

    fn join(&self, request: &Request) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let member = body.get("member").text().to_owned();
        let ttl = Duration::from_millis(body.get("ttl_ms").number().unwrap_or(1_000));
        let mut group = self.group.lock().unwrap();
        group.expire();
        let is_new = group.members.insert(member.clone(), Instant::now() + ttl).is_none();
        group.settle(is_new);
        let owns = group.owner.as_ref() == Some(&member);
        let parts = if owns { "[\"keyed.progress\",0,0]" } else { "" };
        json(200, format!("{{\"generation\":{},\"parts\":[{parts}]}}", group.generation))
    }
}

impl Group {
    fn expire(&mut self) {
        let (now, count) = (Instant::now(), self.members.len());
        self.members.retain(|_, until| *until > now);
        let changed = self.members.len() != count;
        self.settle(changed);
    }

    fn settle(&mut self, mut changed: bool) {
        let holds = self.owner.as_ref().is_some_and(|owner| self.members.contains_key(owner));
        if !holds {
            let next = self.members.keys().next().cloned();
            changed |= next != self.owner;
            self.owner = next;
        }
        self.generation += u64::from(changed);
    }
}
