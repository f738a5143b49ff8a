//! The platform's store: keyed topics, the group, and nothing else of the log. Nothing expires.

use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Reply, Request, Server, answer},
    json::{Json, number, table, text},
};

const APPEND_TIME: Duration = Duration::from_millis(3);

#[derive(Default)]
struct Topic {
    /// Records as they were sent, without their length.
    records: Vec<Vec<u8>>,
    /// Epoch, next sequence number and the last answers, by producer.
    producers: BTreeMap<String, (u64, u64, Vec<(u64, u64, u64)>)>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    generation: u64,
    members: BTreeMap<String, Instant>,
    owner: Option<String>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

fn split_keyed(record: &[u8]) -> Option<(String, Vec<u8>)> {
    let length = usize::from(*record.first()?);
    let key = record.get(1..1 + length)?;
    Some((String::from_utf8_lossy(key).into_owned(), record[1 + length..].to_vec()))
}

fn refused(reason: &str) -> Reply {
    answer(409, &table(&[("reason", text(reason))]))
}

impl Store {
    pub fn start(&self, address: &str) -> std::io::Result<Server> {
        let store = self.clone();
        Server::start(address, Arc::new(move |request: &Request| store.handle(request)))
    }

    /// Writes a record of the operator or of a worker; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.bytes());
        record.extend(value.bytes());
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.topics.entry(topic.to_owned()).or_default().records.push(record);
        changed.notify_all();
    }

    /// Returns the member to which the partition belongs.
    pub fn owner(&self) -> Option<String> {
        let mut state = self.state.0.lock().unwrap();
        state.expire();
        state.owner.clone()
    }

    fn handle(&self, request: &Request) -> Reply {
        match request.path.as_str() {
            "/v1/log-append" => self.append(request),
            "/v1/log-read" => self.read(request),
            "/v1/log-newest" => self.list(request),
            "/v1/log-join" => self.state.0.lock().unwrap().join(&request.json()),
            "/v1/log-leave" => self.state.0.lock().unwrap().leave(&request.json().text("member")),
            "/v1/log-owners" => self.state.0.lock().unwrap().owners(),
            "/v1/log-commit" | "/v1/log-trim" => answer(200, &table(&[])),
            _ => answer(404, &table(&[])),
        }
    }

    fn append(&self, request: &Request) -> Reply {
        thread::sleep(APPEND_TIME);
        let mut records = Vec::new();
        let mut rest = request.body.as_slice();
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if rest.len() < 4 + length {
                return answer(400, &table(&[]));
            }
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let topic = state.topics.entry(request.query("topic")).or_default();
        let producer = request.query("producer");
        let told = |offset: u64, end: u64| {
            answer(200, &table(&[("offset", number(offset)), ("end", number(end))]))
        };
        let begin = topic.records.len() as u64;
        let end = begin + records.len() as u64;
        if !producer.is_empty() {
            let epoch: u64 = request.query("epoch").parse().unwrap_or(0);
            let seq: u64 = request.query("seq").parse().unwrap_or(0);
            let known = topic.producers.entry(producer).or_insert((epoch, seq, Vec::new()));
            if epoch < known.0 {
                return refused("fenced");
            }
            if epoch > known.0 {
                *known = (epoch, seq, Vec::new());
            }
            if records.is_empty() {
                return told(begin, begin);
            }
            if let Some((_, offset, end)) = known.2.iter().find(|(other, ..)| *other == seq) {
                return told(*offset, *end);
            }
            if seq != known.1 {
                return refused("seq");
            }
            known.1 += 1;
            known.2.push((seq, begin, end));
            if known.2.len() > 5 {
                known.2.remove(0);
            }
        }
        topic.records.extend(records);
        changed.notify_all();
        told(begin, end)
    }

    fn read(&self, request: &Request) -> Reply {
        let from: usize = request.query("from").parse().unwrap_or(0);
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let max_bytes = request.query("max_kb").parse().unwrap_or(1_024) * 1_024;
        let until = Instant::now() + Duration::from_millis(wait);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let end = state.topics.get(&request.query("topic")).map_or(0, |topic| topic.records.len());
            let now = Instant::now();
            if end > from || now >= until {
                break;
            }
            state = changed.wait_timeout(state, until - now).unwrap().0;
        }
        let none = Vec::new();
        let records = state.topics.get(&request.query("topic")).map_or(&none, |topic| &topic.records);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0u64.to_be_bytes());
        for record in records.iter().skip(from) {
            if body.len() > 16 && body.len() + record.len() > max_bytes {
                break;
            }
            body.extend((record.len() as u32).to_be_bytes());
            body.extend(record);
        }
        Reply::Answer(200, body)
    }

    fn list(&self, request: &Request) -> Reply {
        let state = self.state.0.lock().unwrap();
        let none = Vec::new();
        let records = state.topics.get(&request.query("topic")).map_or(&none, |topic| &topic.records);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            if let Some((key, value)) = split_keyed(record) {
                newest.insert(key, (offset, value));
            }
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let after = request.query("depends_on");
        let rest: Vec<_> = newest.iter().filter(|(key, _)| after.is_empty() || **key > after).collect();
        let items = rest.iter().take(500).map(|(key, (offset, value))| {
            table(&[
                ("key", text(key)),
                ("value", text(&encode_base64(value))),
                ("offset", number(*offset as u64)),
            ])
        });
        let page = table(&[
            ("items", Json::List(items.collect())),
            ("has_more", Json::Bool(rest.len() > 500)),
            ("end", number(records.len() as u64)),
        ]);
        answer(200, &page)
    }
}

impl State {
    fn expire(&mut self) {
        let now = Instant::now();
        let count = self.members.len();
        self.members.retain(|_, until| now < *until);
        if self.members.len() < count {
            self.changed();
        }
    }

    /// The partition stays with its member as long as that is in the group.
    fn changed(&mut self) {
        self.generation += 1;
        let is_gone = self.owner.as_ref().is_none_or(|owner| !self.members.contains_key(owner));
        if is_gone {
            self.owner = self.members.keys().next().cloned();
        }
    }

    fn join(&mut self, body: &Json) -> Reply {
        self.expire();
        let member = body.text("member");
        let ttl_ms = body.number("ttl_ms").unwrap_or(1_000);
        let until = Instant::now() + Duration::from_millis(ttl_ms);
        if self.members.insert(member.clone(), until).is_none() {
            self.changed();
        }
        let mut parts = Vec::new();
        if self.owner.as_ref() == Some(&member) {
            parts.push(Json::List(vec![text("keyed.progress"), number(0), number(0)]));
        }
        answer(
            200,
            &table(&[
                ("generation", number(self.generation)),
                ("ttl_ms", number(ttl_ms)),
                ("parts", Json::List(parts)),
            ]),
        )
    }

    fn leave(&mut self, member: &str) -> Reply {
        if self.members.remove(member).is_some() {
            self.changed();
        }
        answer(200, &table(&[]))
    }

    fn owners(&mut self) -> Reply {
        self.expire();
        let rows = self.owner.iter().map(|owner| {
            Json::List(vec![text("keyed.progress"), number(0), text(owner), number(0)])
        });
        answer(200, &table(&[("parts", Json::List(rows.collect()))]))
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(DIGITS[(bits >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
