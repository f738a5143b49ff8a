//! The platform's log with keyed topics and one group.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::{BufMut, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot, watch};

use super::{
    loopback,
    topic::{Appended, Topic},
};
use crate::http::{self, FakeBody, FakeServer};

/// Records of one page of the newest; small, so that tests see several pages.
const PAGE: usize = 50;
/// Partitions of a topic.
const PARTS: u32 = 16;
/// Answers of a slow store take this much longer.
const SLOW: Duration = Duration::from_millis(250);
/// A page of the newest records over a thin link takes this long.
const SLOW_PAGE: Duration = Duration::from_millis(1_500);
/// Writes that are carried out late wait this long.
const LATE: Duration = Duration::from_millis(1_500);

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// It does not.
    #[default]
    None,
    /// It refuses every call.
    Busy,
    /// It answers nothing.
    Silent,
    /// It answers late.
    Slow,
    /// Pages of the newest records come slowly, as over a thin link.
    SlowPages,
    /// It carries writes out and does not answer them.
    LoseReplies,
    /// It carries writes out late and does not answer them.
    Late,
}

/// What the server asks of the task that holds the state.
enum Ask {
    Append {
        topic: String,
        mark: Option<(String, u64, u64)>,
        body: Bytes,
        reply: oneshot::Sender<Appended>,
    },
    Read {
        topic: String,
        from: u64,
        reply: oneshot::Sender<Result<(Bytes, u64), u64>>,
    },
    Newest {
        topic: String,
        after: String,
        reply: oneshot::Sender<Value>,
    },
    Join {
        join: Join,
        reply: oneshot::Sender<Value>,
    },
    Leave {
        member: String,
        reply: oneshot::Sender<Value>,
    },
    Owners(oneshot::Sender<Value>),
    Compact(String),
}

#[derive(Debug, Deserialize)]
struct Join {
    member: String,
    topics: Vec<String>,
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Leave {
    member: String,
}

/// A member of the group.
struct GroupMember {
    until: Instant,
}

/// The state, held by one task.
#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    members: BTreeMap<String, GroupMember>,
    /// Who holds each partition.
    owners: BTreeMap<u32, String>,
    group_topic: String,
    generation: u64,
}

/// A running store; clones share it.
#[derive(Clone)]
pub struct KeyedLog {
    door: Arc<StoreEndpoint>,
    asks: mpsc::UnboundedSender<Ask>,
    changed: watch::Sender<u64>,
}

/// An address of the store with faults of its own, so that some members meet them and others do not.
pub struct StoreEndpoint {
    server: FakeServer,
    fault: watch::Sender<StoreFault>,
}

impl StoreEndpoint {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Misbehaves from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        self.fault.send_replace(fault);
    }
}

impl KeyedLog {
    /// Starts a store on loopback.
    ///
    /// # Errors
    ///
    /// No address is free.
    pub async fn spawn() -> std::io::Result<Self> {
        let (asks, inbox) = mpsc::unbounded_channel();
        let (changed, _) = watch::channel(0u64);
        tokio::spawn(hold(inbox, changed.clone()));
        Ok(Self {
            door: Arc::new(open_endpoint(&asks, &changed).await?),
            asks,
            changed,
        })
    }

    /// One more address of the store.
    ///
    /// # Errors
    ///
    /// No address is free.
    pub async fn open_endpoint(&self) -> std::io::Result<StoreEndpoint> {
        open_endpoint(&self.asks, &self.changed).await
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.door.address()
    }

    /// Misbehaves from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        self.door.set_fault(fault);
    }

    /// Writes a record from within, whatever the fault.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        self.put_bytes(topic, key, value.to_string().as_bytes());
    }

    /// Writes raw bytes under a key.
    pub fn put_bytes(&self, topic: &str, key: &str, value: &[u8]) {
        let mut body = BytesMut::new();
        body.put_u32((1 + key.len() + value.len()) as u32);
        body.put_u8(key.len() as u8);
        body.put_slice(key.as_bytes());
        body.put_slice(value);
        let (reply, _) = oneshot::channel();
        // The task that holds the state lives as long as the store.
        let _ = self.asks.send(Ask::Append {
            topic: topic.to_owned(),
            mark: None,
            body: body.freeze(),
            reply,
        });
    }

    /// Forgets a topic's history; the newest record of each key stays.
    pub fn compact(&self, topic: &str) {
        let _ = self.asks.send(Ask::Compact(topic.to_owned()));
    }

    /// The newest records of a topic, up to a page.
    pub async fn newest(&self, topic: &str) -> Vec<(String, Vec<u8>)> {
        let (reply, answer) = oneshot::channel();
        let (topic, after) = (topic.to_owned(), String::new());
        let _ = self.asks.send(Ask::Newest {
            topic,
            after,
            reply,
        });
        let page = answer.await.unwrap_or_default();
        let items = page["items"].as_array().cloned().unwrap_or_default();
        let record = |item: &Value| {
            let value = STANDARD.decode(item["value"].as_str()?).ok()?;
            Some((item["key"].as_str()?.to_owned(), value))
        };
        items.iter().filter_map(record).collect()
    }
}

async fn open_endpoint(
    asks: &mpsc::UnboundedSender<Ask>,
    changed: &watch::Sender<u64>,
) -> std::io::Result<StoreEndpoint> {
    let (fault, faults) = watch::channel(StoreFault::None);
    let (asks, changed) = (asks.clone(), changed.clone());
    let server = http::spawn(loopback(), move |_, request| {
        let fault = *faults.borrow();
        serve(asks.clone(), changed.subscribe(), fault, request)
    });
    Ok(StoreEndpoint {
        server: server.await?,
        fault,
    })
}

async fn hold(mut inbox: mpsc::UnboundedReceiver<Ask>, changed: watch::Sender<u64>) {
    let mut state = State::default();
    while let Some(ask) = inbox.recv().await {
        // Whoever asked may have gone.
        match ask {
            Ask::Append {
                topic,
                mark,
                body,
                reply,
            } => {
                let mark = mark
                    .as_ref()
                    .map(|(name, epoch, seq)| (name.as_str(), *epoch, *seq));
                let answer = state.topic(&topic).append(mark, &body);
                let _ = reply.send(answer);
                changed.send_modify(|count| *count += 1);
            }
            Ask::Read { topic, from, reply } => {
                let topic = state.topic(&topic);
                let end = topic.end();
                let _ = reply.send(topic.read(from).map(|body| (body, end)).ok_or(end));
            }
            Ask::Newest {
                topic,
                after,
                reply,
            } => {
                let _ = reply.send(state.newest(&topic, &after));
            }
            Ask::Join { join, reply } => {
                let _ = reply.send(state.join(&join));
            }
            Ask::Leave { member, reply } => {
                state.members.remove(&member);
                state.deal();
                let _ = reply.send(json!({}));
            }
            Ask::Owners(reply) => {
                state.expire();
                let topic = state.group_topic.clone();
                let rows = state
                    .owners
                    .iter()
                    .map(|(part, member)| json!([topic, part, member, 0]));
                let _ = reply.send(json!({"parts": rows.collect::<Vec<_>>()}));
            }
            Ask::Compact(topic) => state.topic(&topic).compact(),
        }
    }
}

impl State {
    fn topic(&mut self, name: &str) -> &mut Topic {
        self.topics.entry(name.to_owned()).or_default()
    }

    fn newest(&mut self, topic: &str, after: &str) -> Value {
        let topic = self.topic(topic);
        let (rows, more) = topic.newest(after, PAGE);
        let item = |(key, offset, value): &(String, u64, Bytes)| json!({"key": key, "value": STANDARD.encode(value), "offset": offset});
        let items: Vec<Value> = rows.iter().map(item).collect();
        json!({"items": items, "has_more": more, "end": topic.end()})
    }

    fn join(&mut self, join: &Join) -> Value {
        self.expire();
        self.group_topic = join.topics.first().cloned().unwrap_or_default();
        let ttl = Duration::from_millis(join.ttl_ms);
        let until = Instant::now() + ttl;
        let member = GroupMember { until };
        if self.members.insert(join.member.clone(), member).is_none() {
            self.deal();
        }
        let mine = self
            .owners
            .iter()
            .filter(|(_, owner)| **owner == join.member);
        let topic = &self.group_topic;
        let parts: Vec<Value> = mine.map(|(part, _)| json!([topic, part, 0])).collect();
        json!({"generation": self.generation, "parts": parts})
    }

    /// Drops members that have sent nothing for their time.
    fn expire(&mut self) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, member| member.until > now);
        if self.members.len() != before {
            self.deal();
        }
    }

    /// Deals the partitions out evenly; those whose holder stays keep it where that is even.
    fn deal(&mut self) {
        self.generation += 1;
        let names: Vec<String> = self.members.keys().cloned().collect();
        if names.is_empty() {
            self.owners.clear();
            return;
        }
        let most = (PARTS as usize).div_ceil(names.len());
        let mut held: HashMap<String, usize> = HashMap::new();
        for part in 0..PARTS {
            let kept = self.owners.get(&part).filter(|owner| {
                names.contains(owner) && held.get(*owner).copied().unwrap_or(0) < most
            });
            let least = names
                .iter()
                .min_by_key(|name| held.get(*name).copied().unwrap_or(0));
            let Some(owner) = kept.or(least).cloned() else {
                return;
            };
            *held.entry(owner.clone()).or_default() += 1;
            self.owners.insert(part, owner);
        }
    }
}

async fn serve(
    asks: mpsc::UnboundedSender<Ask>,
    changed: watch::Receiver<u64>,
    fault: StoreFault,
    request: Request<Incoming>,
) -> Response<FakeBody> {
    match fault {
        StoreFault::Busy => return http::status(StatusCode::SERVICE_UNAVAILABLE),
        StoreFault::Silent => return std::future::pending().await,
        StoreFault::Slow => tokio::time::sleep(SLOW).await,
        StoreFault::SlowPages if request.uri().path() == "/v1/log-newest" => {
            tokio::time::sleep(SLOW_PAGE).await;
        }
        StoreFault::None | StoreFault::SlowPages | StoreFault::LoseReplies | StoreFault::Late => {}
    }
    let write = request.uri().path() == "/v1/log-append";
    if write && fault == StoreFault::Late {
        tokio::spawn(async move {
            tokio::time::sleep(LATE).await;
            answer(asks, changed, request).await;
        });
        return std::future::pending().await;
    }
    let answer = answer(asks, changed, request).await;
    if write && fault == StoreFault::LoseReplies {
        return std::future::pending().await;
    }
    answer
}

async fn answer(
    asks: mpsc::UnboundedSender<Ask>,
    changed: watch::Receiver<u64>,
    request: Request<Incoming>,
) -> Response<FakeBody> {
    let (head, body) = request.into_parts();
    let query = Query::of(head.uri.query().unwrap_or_default());
    let Ok(body) = body.collect().await else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    let body = body.to_bytes();
    let served = match (head.method, head.uri.path()) {
        (Method::POST, "/v1/log-append") => append(&asks, &query, body).await,
        (Method::GET, "/v1/log-read") => read(&asks, changed, &query).await,
        (Method::GET, "/v1/log-newest") => {
            let (topic, after) = (query.text("topic"), query.text("depends_on"));
            call(&asks, |reply| Ask::Newest {
                topic,
                after,
                reply,
            })
            .await
            .map(|page| http::json(&page))
        }
        (Method::POST, "/v1/log-join") => match serde_json::from_slice(&body) {
            Ok(join) => call(&asks, |reply| Ask::Join { join, reply })
                .await
                .map(|joined| http::json(&joined)),
            Err(_) => Some(http::status(StatusCode::BAD_REQUEST)),
        },
        (Method::POST, "/v1/log-leave") => match serde_json::from_slice::<Leave>(&body) {
            Ok(Leave { member }) => call(&asks, |reply| Ask::Leave { member, reply })
                .await
                .map(|left| http::json(&left)),
            Err(_) => Some(http::status(StatusCode::BAD_REQUEST)),
        },
        (Method::GET, "/v1/log-owners") => call(&asks, Ask::Owners)
            .await
            .map(|owners| http::json(&owners)),
        _ => Some(http::status(StatusCode::NOT_FOUND)),
    };
    served.unwrap_or_else(|| http::status(StatusCode::INTERNAL_SERVER_ERROR))
}

async fn call<T>(
    asks: &mpsc::UnboundedSender<Ask>,
    ask: impl FnOnce(oneshot::Sender<T>) -> Ask,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    asks.send(ask(reply)).ok()?;
    answer.await.ok()
}

async fn append(
    asks: &mpsc::UnboundedSender<Ask>,
    query: &Query,
    body: Bytes,
) -> Option<Response<FakeBody>> {
    let topic = query.text("topic");
    let producer = query.text("producer");
    let mark =
        (!producer.is_empty()).then(|| (producer, query.number("epoch"), query.number("seq")));
    let appended = call(asks, |reply| Ask::Append {
        topic,
        mark,
        body,
        reply,
    });
    Some(match appended.await? {
        Appended::At { offset, end } => http::json(&json!({"offset": offset, "end": end})),
        Appended::Fenced => conflict("fenced"),
        Appended::OutOfOrder => conflict("seq"),
    })
}

fn conflict(reason: &str) -> Response<FakeBody> {
    let mut response = http::json(&json!({"reason": reason}));
    *response.status_mut() = StatusCode::CONFLICT;
    response
}

async fn read(
    asks: &mpsc::UnboundedSender<Ask>,
    mut changed: watch::Receiver<u64>,
    query: &Query,
) -> Option<Response<FakeBody>> {
    let from = query.number("from");
    let until = tokio::time::Instant::now() + Duration::from_millis(query.number("wait_ms"));
    loop {
        changed.mark_unchanged();
        let topic = query.text("topic");
        let page = call(asks, |reply| Ask::Read { topic, from, reply }).await?;
        match page {
            Ok((body, end)) => {
                if end > from || tokio::time::Instant::now() >= until {
                    return Some(Response::new(http::whole(body)));
                }
            }
            Err(first) => {
                let mut response = http::json(&json!({"first": first}));
                *response.status_mut() = StatusCode::GONE;
                return Some(response);
            }
        }
        // Woken by any append, or at the end of the wait.
        let _ = tokio::time::timeout_at(until, changed.changed()).await;
    }
}

/// The parts of a query.
struct Query(HashMap<String, String>);

impl Query {
    fn of(text: &str) -> Self {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        Self(
            pairs
                .map(|(key, value)| (key.to_owned(), value.to_owned()))
                .collect(),
        )
    }

    fn text(&self, key: &str) -> String {
        self.0.get(key).cloned().unwrap_or_default()
    }

    fn number(&self, key: &str) -> u64 {
        self.text(key).parse().unwrap_or_default()
    }
}
