//! Fake of the platform's log, with keyed topics and one consumer group.

mod query;

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

use query::QueryParameters;

use super::{
    loopback,
    topic::{AppendOutcome, KeyedTopic},
};
use crate::http::{self, FakeServer, ResponseBody};

/// Records in one page of the newest; few, so that tests read several pages.
const PAGE_RECORDS: usize = 50;
/// Maximum size of a record: smaller than the platform's, so that few tasks reach it.
pub(super) const RECORD_BYTES: usize = 16_384;
/// Maximum total size of the records of a call.
pub(super) const CALL_BYTES: usize = 65_536;
/// Number of partitions of a topic.
const PARTITIONS: u32 = 16;
/// Delay of every response under [`StoreFault::Slow`].
const SLOW_DELAY: Duration = Duration::from_millis(250);
/// Delay of a page of the newest records under [`StoreFault::SlowPages`].
const SLOW_PAGE_DELAY: Duration = Duration::from_millis(1_500);
/// Size of the parts of a body under [`StoreFault::SlowBodies`].
const SLOW_PART_BYTES: usize = 2_048;
/// Time between two parts of a body under [`StoreFault::SlowBodies`].
const SLOW_PART_DELAY: Duration = Duration::from_millis(700);
/// Delay of appends under [`StoreFault::Late`].
const LATE_WRITE_DELAY: Duration = Duration::from_millis(1_500);

/// Fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Rejects every request with status 503.
    Busy,
    /// Answers no request.
    Silent,
    /// Delays every response.
    Slow,
    /// Delays pages of the newest records, as a link of low bandwidth does.
    SlowPages,
    /// Sends the bodies of its responses slowly, as a link of low bandwidth does.
    SlowBodies,
    /// Adds items to pages of the newest records that are no records.
    OddItems,
    /// Carries out appends but does not answer them.
    LoseReplies,
    /// Carries out appends late and does not answer them.
    Late,
}

/// Command to the task that owns the state.
enum StoreCommand {
    Append {
        topic: String,
        stamp: Option<(String, u64, u64)>,
        body: Bytes,
        reply: oneshot::Sender<AppendOutcome>,
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
        join: JoinRequest,
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
struct JoinRequest {
    member: String,
    topics: Vec<String>,
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
struct LeaveRequest {
    member: String,
}

/// Member of the consumer group.
struct GroupMember {
    expires_at: Instant,
}

/// State of the store, owned by one task.
#[derive(Default)]
struct StoreState {
    topics: HashMap<String, KeyedTopic>,
    members: BTreeMap<String, GroupMember>,
    /// Owner of each partition.
    owners: BTreeMap<u32, String>,
    group_topic: String,
    generation: u64,
}

/// Handle of a running store; clones refer to the same store.
#[derive(Clone)]
pub struct KeyedLog {
    endpoint: Arc<StoreEndpoint>,
    commands: mpsc::UnboundedSender<StoreCommand>,
    changed: watch::Sender<u64>,
}

/// Additional address of the store with its own fault, so that tests can restrict a fault to the
/// members that use this address.
pub struct StoreEndpoint {
    server: FakeServer,
    fault: watch::Sender<StoreFault>,
}

impl StoreEndpoint {
    /// Address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the fault that applies to this address from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        self.fault.send_replace(fault);
    }
}

impl KeyedLog {
    /// Starts an empty store on loopback.
    ///
    /// # Errors
    ///
    /// No loopback address can be bound.
    pub async fn spawn() -> std::io::Result<Self> {
        let (commands, receiver) = mpsc::unbounded_channel();
        let (changed, _) = watch::channel(0u64);
        tokio::spawn(run_store(receiver, changed.clone()));
        Ok(Self {
            endpoint: Arc::new(open_endpoint(&commands, &changed).await?),
            commands,
            changed,
        })
    }

    /// Opens one more address of the store.
    ///
    /// # Errors
    ///
    /// No loopback address can be bound.
    pub async fn open_endpoint(&self) -> std::io::Result<StoreEndpoint> {
        open_endpoint(&self.commands, &self.changed).await
    }

    /// Address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.endpoint.address()
    }

    /// Sets the fault of the store's own address from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        self.endpoint.set_fault(fault);
    }

    /// Appends a JSON record under a key directly, without regard to faults.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        self.put_bytes(topic, key, value.to_string().as_bytes());
    }

    /// Appends a record of raw bytes under a key directly, without regard to faults.
    pub fn put_bytes(&self, topic: &str, key: &str, value: &[u8]) {
        let mut body = BytesMut::new();
        body.put_u32((1 + key.len() + value.len()) as u32);
        body.put_u8(key.len() as u8);
        body.put_slice(key.as_bytes());
        body.put_slice(value);
        let (reply, _) = oneshot::channel();
        // Cannot fail: the task that owns the state lives as long as the store.
        let _ = self.commands.send(StoreCommand::Append {
            topic: topic.to_owned(),
            stamp: None,
            body: body.freeze(),
            reply,
        });
    }

    /// Drops the history of a topic but keeps the newest record of each key.
    pub fn compact(&self, topic: &str) {
        let _ = self.commands.send(StoreCommand::Compact(topic.to_owned()));
    }

    /// Key of the member to which partition 0 belongs, without regard to faults.
    pub async fn owner(&self) -> Option<String> {
        let (reply, owners) = oneshot::channel();
        // Cannot fail: the task that owns the state lives as long as the store.
        let _ = self.commands.send(StoreCommand::Owners(reply));
        let owners = owners.await.ok()?;
        let rows = owners["parts"].as_array()?;
        let row = rows.iter().find(|row| row[1] == 0)?;
        row[2].as_str().map(str::to_owned)
    }

    /// First page of the newest records of a topic, as keys and values.
    pub async fn newest(&self, topic: &str) -> Vec<(String, Vec<u8>)> {
        let (reply, reply_receiver) = oneshot::channel();
        let (topic, after) = (topic.to_owned(), String::new());
        let _ = self.commands.send(StoreCommand::Newest {
            topic,
            after,
            reply,
        });
        let page = reply_receiver.await.unwrap_or_default();
        let items = page["items"].as_array().cloned().unwrap_or_default();
        let record = |item: &Value| {
            let value = STANDARD.decode(item["value"].as_str()?).ok()?;
            Some((item["key"].as_str()?.to_owned(), value))
        };
        items.iter().filter_map(record).collect()
    }
}

async fn open_endpoint(
    commands: &mpsc::UnboundedSender<StoreCommand>,
    changed: &watch::Sender<u64>,
) -> std::io::Result<StoreEndpoint> {
    let (fault, fault_receiver) = watch::channel(StoreFault::None);
    let (commands, changed) = (commands.clone(), changed.clone());
    let server = http::spawn(loopback(), move |_, request| {
        let fault = *fault_receiver.borrow();
        serve(commands.clone(), changed.subscribe(), fault, request)
    });
    Ok(StoreEndpoint {
        server: server.await?,
        fault,
    })
}

async fn run_store(
    mut receiver: mpsc::UnboundedReceiver<StoreCommand>,
    changed: watch::Sender<u64>,
) {
    let mut state = StoreState::default();
    while let Some(command) = receiver.recv().await {
        // Replies may fail: the request may have been cancelled.
        match command {
            StoreCommand::Append {
                topic,
                stamp,
                body,
                reply,
            } => {
                let stamp = stamp
                    .as_ref()
                    .map(|(name, epoch, seq)| (name.as_str(), *epoch, *seq));
                let outcome = state.topic(&topic).append(stamp, &body);
                let _ = reply.send(outcome);
                changed.send_modify(|count| *count += 1);
            }
            StoreCommand::Read { topic, from, reply } => {
                let topic = state.topic(&topic);
                let end = topic.end();
                let _ = reply.send(topic.read(from).map(|body| (body, end)).ok_or(end));
            }
            StoreCommand::Newest {
                topic,
                after,
                reply,
            } => {
                let _ = reply.send(state.newest(&topic, &after));
            }
            StoreCommand::Join { join, reply } => {
                let _ = reply.send(state.join(&join));
            }
            StoreCommand::Leave { member, reply } => {
                state.members.remove(&member);
                state.rebalance();
                let _ = reply.send(json!({}));
            }
            StoreCommand::Owners(reply) => {
                state.expire();
                let topic = state.group_topic.clone();
                let rows = state
                    .owners
                    .iter()
                    .map(|(partition, member)| json!([topic, partition, member, 0]));
                let _ = reply.send(json!({"parts": rows.collect::<Vec<_>>()}));
            }
            StoreCommand::Compact(topic) => state.topic(&topic).compact(),
        }
    }
}

impl StoreState {
    fn topic(&mut self, name: &str) -> &mut KeyedTopic {
        self.topics.entry(name.to_owned()).or_default()
    }

    fn newest(&mut self, topic: &str, after: &str) -> Value {
        let topic = self.topic(topic);
        let (rows, has_more) = topic.newest(after, PAGE_RECORDS);
        let item = |(key, offset, value): &(String, u64, Bytes)| json!({"key": key, "value": STANDARD.encode(value), "offset": offset});
        let items: Vec<Value> = rows.iter().map(item).collect();
        json!({"items": items, "has_more": has_more, "end": topic.end()})
    }

    fn join(&mut self, join: &JoinRequest) -> Value {
        self.expire();
        self.group_topic = join.topics.first().cloned().unwrap_or_default();
        let ttl = Duration::from_millis(join.ttl_ms);
        let expires_at = Instant::now() + ttl;
        let member = GroupMember { expires_at };
        if self.members.insert(join.member.clone(), member).is_none() {
            self.rebalance();
        }
        let owned = self
            .owners
            .iter()
            .filter(|(_, owner)| **owner == join.member);
        let topic = &self.group_topic;
        let parts: Vec<Value> = owned
            .map(|(partition, _)| json!([topic, partition, 0]))
            .collect();
        json!({"generation": self.generation, "parts": parts})
    }

    /// Removes the members that have not renewed their membership in time.
    fn expire(&mut self) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, member| member.expires_at > now);
        if self.members.len() != before {
            self.rebalance();
        }
    }

    /// Assigns the partitions evenly. A partition keeps its owner unless that owner has left or
    /// already has its share.
    fn rebalance(&mut self) {
        self.generation += 1;
        let names: Vec<String> = self.members.keys().cloned().collect();
        if names.is_empty() {
            self.owners.clear();
            return;
        }
        let max_share = (PARTITIONS as usize).div_ceil(names.len());
        let mut shares: HashMap<String, usize> = HashMap::new();
        for partition in 0..PARTITIONS {
            let current = self.owners.get(&partition).filter(|owner| {
                names.contains(owner) && shares.get(*owner).copied().unwrap_or(0) < max_share
            });
            let least_loaded = names
                .iter()
                .min_by_key(|name| shares.get(*name).copied().unwrap_or(0));
            let Some(owner) = current.or(least_loaded).cloned() else {
                return;
            };
            *shares.entry(owner.clone()).or_default() += 1;
            self.owners.insert(partition, owner);
        }
    }
}

async fn serve(
    commands: mpsc::UnboundedSender<StoreCommand>,
    changed: watch::Receiver<u64>,
    fault: StoreFault,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    match fault {
        StoreFault::Busy => return http::status(StatusCode::SERVICE_UNAVAILABLE),
        StoreFault::Silent => return std::future::pending().await,
        StoreFault::Slow => tokio::time::sleep(SLOW_DELAY).await,
        StoreFault::SlowPages if request.uri().path() == "/v1/log-newest" => {
            tokio::time::sleep(SLOW_PAGE_DELAY).await;
        }
        StoreFault::None
        | StoreFault::SlowPages
        | StoreFault::SlowBodies
        | StoreFault::OddItems
        | StoreFault::LoseReplies
        | StoreFault::Late => {}
    }
    let is_write = request.uri().path() == "/v1/log-append";
    if is_write && fault == StoreFault::Late {
        tokio::spawn(async move {
            tokio::time::sleep(LATE_WRITE_DELAY).await;
            route(commands, changed, fault, request).await;
        });
        return std::future::pending().await;
    }
    let response = route(commands, changed, fault, request).await;
    if is_write && fault == StoreFault::LoseReplies {
        return std::future::pending().await;
    }
    if fault == StoreFault::SlowBodies {
        return http::slow_response(response, SLOW_PART_BYTES, SLOW_PART_DELAY).await;
    }
    response
}

async fn route(
    commands: mpsc::UnboundedSender<StoreCommand>,
    changed: watch::Receiver<u64>,
    fault: StoreFault,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (head, body) = request.into_parts();
    let query = QueryParameters::parse(head.uri.query().unwrap_or_default());
    let Ok(body) = body.collect().await else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    let body = body.to_bytes();
    let response = match (head.method, head.uri.path()) {
        (Method::POST, "/v1/log-append") => append(&commands, &query, body).await,
        (Method::GET, "/v1/log-read") => read(&commands, changed, &query).await,
        (Method::GET, "/v1/log-newest") => {
            let (topic, after) = (query.text("topic"), query.text("depends_on"));
            execute(&commands, |reply| StoreCommand::Newest {
                topic,
                after,
                reply,
            })
            .await
            .map(|page| http::json(&with_odd_items(page, fault)))
        }
        (Method::POST, "/v1/log-join") => match serde_json::from_slice(&body) {
            Ok(join) => execute(&commands, |reply| StoreCommand::Join { join, reply })
                .await
                .map(|joined| http::json(&joined)),
            Err(_) => Some(http::status(StatusCode::BAD_REQUEST)),
        },
        (Method::POST, "/v1/log-leave") => match serde_json::from_slice::<LeaveRequest>(&body) {
            Ok(LeaveRequest { member }) => {
                execute(&commands, |reply| StoreCommand::Leave { member, reply })
                    .await
                    .map(|left| http::json(&left))
            }
            Err(_) => Some(http::status(StatusCode::BAD_REQUEST)),
        },
        (Method::GET, "/v1/log-owners") => execute(&commands, StoreCommand::Owners)
            .await
            .map(|owners| http::json(&owners)),
        _ => Some(http::status(StatusCode::NOT_FOUND)),
    };
    response.unwrap_or_else(|| http::status(StatusCode::INTERNAL_SERVER_ERROR))
}

/// Adds odd items to a page under [`StoreFault::OddItems`].
fn with_odd_items(mut page: Value, fault: StoreFault) -> Value {
    if fault == StoreFault::OddItems
        && let Some(items) = page["items"].as_array_mut()
    {
        items.insert(0, json!({"key": "i-odd", "value": "no base64"}));
        items.insert(0, json!({"key": 7, "value": {"state": "ready"}}));
        items.insert(0, json!({"value": "e30="}));
        items.insert(0, json!({"key": "i-null", "value": null}));
    }
    page
}

async fn execute<T>(
    commands: &mpsc::UnboundedSender<StoreCommand>,
    command: impl FnOnce(oneshot::Sender<T>) -> StoreCommand,
) -> Option<T> {
    let (reply, reply_receiver) = oneshot::channel();
    commands.send(command(reply)).ok()?;
    reply_receiver.await.ok()
}

async fn append(
    commands: &mpsc::UnboundedSender<StoreCommand>,
    query: &QueryParameters,
    body: Bytes,
) -> Option<Response<ResponseBody>> {
    if !is_within_limits(&body) {
        return Some(http::status(StatusCode::BAD_REQUEST));
    }
    let topic = query.text("topic");
    let producer = query.text("producer");
    let stamp =
        (!producer.is_empty()).then(|| (producer, query.number("epoch"), query.number("seq")));
    let appended = execute(commands, |reply| StoreCommand::Append {
        topic,
        stamp,
        body,
        reply,
    });
    Some(match appended.await? {
        AppendOutcome::At { offset, end } => http::json(&json!({"offset": offset, "end": end})),
        AppendOutcome::Fenced => conflict("fenced"),
        AppendOutcome::OutOfOrder => conflict("seq"),
    })
}

/// Returns whether each record, and the call as a whole, is within the size limits.
fn is_within_limits(body: &[u8]) -> bool {
    let mut rest = body;
    while let Some((length, records)) = rest.split_first_chunk() {
        let length = u32::from_be_bytes(*length) as usize;
        if length > RECORD_BYTES || length > records.len() {
            return false;
        }
        rest = &records[length..];
    }
    body.len() <= CALL_BYTES
}

fn conflict(reason: &str) -> Response<ResponseBody> {
    let mut response = http::json(&json!({"reason": reason}));
    *response.status_mut() = StatusCode::CONFLICT;
    response
}

async fn read(
    commands: &mpsc::UnboundedSender<StoreCommand>,
    mut changed: watch::Receiver<u64>,
    query: &QueryParameters,
) -> Option<Response<ResponseBody>> {
    let from = query.number("from");
    let wait_until = tokio::time::Instant::now() + Duration::from_millis(query.number("wait_ms"));
    loop {
        changed.mark_unchanged();
        let topic = query.text("topic");
        let page = execute(commands, |reply| StoreCommand::Read { topic, from, reply }).await?;
        match page {
            Ok((body, end)) => {
                if end > from || tokio::time::Instant::now() >= wait_until {
                    return Some(Response::new(http::full_body(body)));
                }
            }
            Err(first) => {
                let mut response = http::json(&json!({"first": first}));
                *response.status_mut() = StatusCode::GONE;
                return Some(response);
            }
        }
        // Ends with the next append to any topic or at the end of the wait.
        let _ = tokio::time::timeout_at(wait_until, changed.changed()).await;
    }
}
