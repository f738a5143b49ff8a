//! Fake of the platform's log, with keyed topics and one consumer group.

mod group;
mod query;
mod reply;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::{BufMut, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot, watch};

use group::{ConsumerGroup, JoinRequest, LeaveRequest};
use query::QueryParameters;
use reply::{conflict, is_within_limits, with_odd_items};

use super::{
    loopback,
    topic::{AppendOutcome, KeyedTopic},
};
use crate::http::{self, FakeServer, ResponseBody};

/// Topic of the workers' entries.
pub(super) const WORKERS_TOPIC: &str = "keyed.servers";
/// Records in one page of the newest; few, so that tests read several pages.
const PAGE_RECORDS: usize = 50;
/// Maximum size of a record: smaller than the platform's, so that few tasks reach it.
pub(super) const RECORD_BYTES: usize = 16_384;
/// Maximum total size of the records of a call.
pub(super) const CALL_BYTES: usize = 65_536;
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
    /// Assigns all partitions to the member whose key begins with this name.
    Assign {
        member: String,
        reply: oneshot::Sender<bool>,
    },
    Compact(String),
}

/// State of the store, owned by one task.
#[derive(Default)]
struct StoreState {
    topics: HashMap<String, KeyedTopic>,
    group: ConsumerGroup,
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
            endpoint: Arc::new(open_endpoint(&commands, &changed, None).await?),
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
        open_endpoint(&self.commands, &self.changed, None).await
    }

    /// Name of the topic in which a member finds the workers' entries with addresses of its own.
    pub fn view_topic(member: usize) -> String {
        format!("{WORKERS_TOPIC}.{member}")
    }

    /// Opens one more address of the store, whose users find in `workers_topic` what others find in
    /// the topic of the workers' entries, see [`PoolWorker::register_in`](super::PoolWorker::register_in).
    ///
    /// # Errors
    ///
    /// No loopback address can be bound.
    pub async fn open_view(&self, workers_topic: &str) -> std::io::Result<StoreEndpoint> {
        open_endpoint(&self.commands, &self.changed, Some(workers_topic.into())).await
    }

    /// Assigns all partitions at once to the member of this name, as the platform does at times
    /// without any request. Returns `false` if it is not in the group.
    pub async fn assign_all(&self, name: &str) -> bool {
        let (reply, assigned) = oneshot::channel();
        let member = format!("{name}|");
        // Cannot fail: the task that owns the state lives as long as the store.
        let _ = self.commands.send(StoreCommand::Assign { member, reply });
        assigned.await.unwrap_or(false)
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

/// What a request to an address of the store is served with.
struct StoreAccess {
    commands: mpsc::UnboundedSender<StoreCommand>,
    changed: watch::Receiver<u64>,
    /// Topic in the place of that of the workers' entries.
    workers_topic: Option<Arc<str>>,
}

impl StoreAccess {
    /// Topic that a request reads.
    fn topic(&self, query: &QueryParameters) -> String {
        let topic = query.text("topic");
        match &self.workers_topic {
            Some(view) if topic == WORKERS_TOPIC => view.to_string(),
            _ => topic,
        }
    }
}

async fn open_endpoint(
    commands: &mpsc::UnboundedSender<StoreCommand>,
    changed: &watch::Sender<u64>,
    workers_topic: Option<Arc<str>>,
) -> std::io::Result<StoreEndpoint> {
    let (fault, fault_receiver) = watch::channel(StoreFault::None);
    let (commands, changed) = (commands.clone(), changed.clone());
    let server = http::spawn(loopback(), move |_, request| {
        let access = StoreAccess {
            commands: commands.clone(),
            changed: changed.subscribe(),
            workers_topic: workers_topic.clone(),
        };
        serve(access, *fault_receiver.borrow(), request)
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
                let _ = reply.send(state.group.join(&join));
            }
            StoreCommand::Leave { member, reply } => {
                state.group.leave(&member);
                let _ = reply.send(json!({}));
            }
            StoreCommand::Owners(reply) => {
                let _ = reply.send(state.group.rows());
            }
            StoreCommand::Assign { member, reply } => {
                let _ = reply.send(state.group.assign_all(&member));
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
}

async fn serve(
    access: StoreAccess,
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
            route(access, fault, request).await;
        });
        return std::future::pending().await;
    }
    let response = route(access, fault, request).await;
    if is_write && fault == StoreFault::LoseReplies {
        return std::future::pending().await;
    }
    if fault == StoreFault::SlowBodies {
        return http::slow_response(response, SLOW_PART_BYTES, SLOW_PART_DELAY).await;
    }
    response
}

async fn route(
    access: StoreAccess,
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
        (Method::POST, "/v1/log-append") => append(&access.commands, &query, body).await,
        (Method::GET, "/v1/log-read") => read(access, &query).await,
        (Method::GET, "/v1/log-newest") => {
            let (topic, after) = (access.topic(&query), query.text("depends_on"));
            execute(&access.commands, |reply| StoreCommand::Newest {
                topic,
                after,
                reply,
            })
            .await
            .map(|page| http::json(&with_odd_items(page, fault)))
        }
        (Method::POST, "/v1/log-join") => match serde_json::from_slice(&body) {
            Ok(join) => execute(&access.commands, |reply| StoreCommand::Join { join, reply })
                .await
                .map(|joined| http::json(&joined)),
            Err(_) => Some(http::status(StatusCode::BAD_REQUEST)),
        },
        (Method::POST, "/v1/log-leave") => match serde_json::from_slice::<LeaveRequest>(&body) {
            Ok(LeaveRequest { member }) => execute(&access.commands, |reply| StoreCommand::Leave {
                member,
                reply,
            })
            .await
            .map(|left| http::json(&left)),
            Err(_) => Some(http::status(StatusCode::BAD_REQUEST)),
        },
        (Method::GET, "/v1/log-owners") => execute(&access.commands, StoreCommand::Owners)
            .await
            .map(|owners| http::json(&owners)),
        _ => Some(http::status(StatusCode::NOT_FOUND)),
    };
    response.unwrap_or_else(|| http::status(StatusCode::INTERNAL_SERVER_ERROR))
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

async fn read(mut access: StoreAccess, query: &QueryParameters) -> Option<Response<ResponseBody>> {
    let from = query.number("from");
    let wait_until = tokio::time::Instant::now() + Duration::from_millis(query.number("wait_ms"));
    loop {
        access.changed.mark_unchanged();
        let topic = access.topic(query);
        let page = execute(&access.commands, |reply| StoreCommand::Read {
            topic,
            from,
            reply,
        })
        .await?;
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
        let _ = tokio::time::timeout_at(wait_until, access.changed.changed()).await;
    }
}
