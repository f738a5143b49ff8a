//! Fake of an upstream VM, with a set service time, leases and faults.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::HeaderValue,
};
use tokio::{
    sync::Mutex,
    time::{Instant, sleep},
};

use crate::http::{self, FakeServer, ResponseBody};

/// Header that names a run, so that tests can count the runs of each name.
const ORDER_HEADER: &str = "x-order";
/// Header that sets the service time of a run, in milliseconds.
const SERVICE_HEADER: &str = "x-service-ms";
/// Header that carries the request's id.
const REQUEST_HEADER: &str = "jacinthhoist-request";

/// Delay before a response body is truncated, so that the head and the first frame are sent.
const TRUNCATE_DELAY: Duration = Duration::from_millis(30);

/// Header that puts a run under a lease, in milliseconds.
const LEASE_HEADER: &str = "jacinthhoist-lease-ms";
/// Header that carries saved progress: the remaining service time in milliseconds.
const CHECKPOINT_HEADER: &str = "jacinthhoist-checkpoint";
/// Interval at which a leased run checks its lease.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Fault of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamFault {
    /// No fault.
    None,
    /// Answers every run with status 500 at once.
    FailAll,
    /// Runs the work but never answers on connections opened before the fault was set; later
    /// connections are answered.
    Silent,
    /// Closes the connection in the middle of the response body.
    Truncate,
    /// Sends the start of the response body and then nothing more.
    Stall,
    /// Answers with another request's id.
    WrongRequestId,
    /// Answers with status 503 and the outcome `not-run`.
    Refuse,
}

/// Numbers of leases that ended before their work was done, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseEnds {
    /// Leases that were not renewed in time.
    pub lapsed: u64,
    /// Leases that ended with a checkpoint of the work.
    pub checkpointed: u64,
    /// Leases that were stopped by their holder.
    pub stopped: u64,
}

/// Lease of a run.
#[derive(Debug)]
struct LeaseState {
    expires_at: Instant,
    duration: Duration,
    speed_percent: u64,
    requested_end: Option<LeaseEnd>,
}

/// Cause of the early end of a leased run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseEnd {
    Lapsed,
    Checkpointed,
    Stopped,
}

/// Handle of a running upstream.
#[derive(Debug)]
pub struct UpstreamVm {
    server: FakeServer,
    state: Arc<UpstreamState>,
}

#[derive(Debug)]
struct UpstreamState {
    fault: Mutex<UpstreamFault>,
    last_silent_connection: AtomicU64,
    newest_connection: AtomicU64,
    leaving: AtomicBool,
    service_ms: AtomicU64,
    runs: Mutex<HashMap<String, u32>>,
    leases: Mutex<HashMap<String, LeaseState>>,
    lapse_count: AtomicU64,
    checkpoint_count: AtomicU64,
    stop_count: AtomicU64,
    run_count: AtomicU64,
    running: AtomicU32,
    peak_running: AtomicU32,
}

impl UpstreamVm {
    /// Binds an address. Each run takes `service_ms` unless the request's `x-service-ms` header
    /// sets another time.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr, service_ms: u64) -> std::io::Result<Self> {
        let state = Arc::new(UpstreamState {
            fault: Mutex::new(UpstreamFault::None),
            last_silent_connection: AtomicU64::new(0),
            newest_connection: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            service_ms: AtomicU64::new(service_ms),
            runs: Mutex::new(HashMap::new()),
            leases: Mutex::new(HashMap::new()),
            lapse_count: AtomicU64::new(0),
            checkpoint_count: AtomicU64::new(0),
            stop_count: AtomicU64::new(0),
            run_count: AtomicU64::new(0),
            running: AtomicU32::new(0),
            peak_running: AtomicU32::new(0),
        });
        let shared = state.clone();
        let serve = move |connection, request| serve(shared.clone(), connection, request);
        let server = http::spawn(address, serve).await?;
        Ok(Self { server, state })
    }

    /// Address that the upstream listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the fault that applies from now on.
    pub async fn set_fault(&self, fault: UpstreamFault) {
        let newest = self.state.newest_connection.load(Ordering::SeqCst);
        self.state
            .last_silent_connection
            .store(newest, Ordering::SeqCst);
        *self.state.fault.lock().await = fault;
    }

    /// Sets whether responses carry the `jacinthhoist-leaving` header.
    pub fn set_leaving(&self, leaving: bool) {
        self.state.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Sets the service time of a run, in milliseconds.
    pub fn set_service_ms(&self, service_ms: u64) {
        self.state.service_ms.store(service_ms, Ordering::SeqCst);
    }

    /// Number of runs by the name in their `x-order` header.
    pub async fn runs(&self) -> HashMap<String, u32> {
        self.state.runs.lock().await.clone()
    }

    /// Numbers of leases that ended early, by cause.
    pub fn lease_ends(&self) -> LeaseEnds {
        LeaseEnds {
            lapsed: self.state.lapse_count.load(Ordering::SeqCst),
            checkpointed: self.state.checkpoint_count.load(Ordering::SeqCst),
            stopped: self.state.stop_count.load(Ordering::SeqCst),
        }
    }

    /// Number of runs since the start.
    pub fn run_count(&self) -> u64 {
        self.state.run_count.load(Ordering::SeqCst)
    }

    /// Number of runs in progress.
    pub fn running(&self) -> u32 {
        self.state.running.load(Ordering::SeqCst)
    }

    /// Highest number of concurrent runs since the previous call.
    pub fn take_peak_running(&self) -> u32 {
        let running = self.state.running.load(Ordering::SeqCst);
        self.state.peak_running.swap(running, Ordering::SeqCst)
    }
}

/// Counts a run as in progress until dropped.
struct RunGuard(Arc<UpstreamState>);

impl RunGuard {
    fn begin(state: &Arc<UpstreamState>) -> Self {
        let running = state.running.fetch_add(1, Ordering::SeqCst) + 1;
        state.peak_running.fetch_max(running, Ordering::SeqCst);
        state.run_count.fetch_add(1, Ordering::SeqCst);
        Self(state.clone())
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn serve(
    state: Arc<UpstreamState>,
    connection: u64,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    state
        .newest_connection
        .fetch_max(connection, Ordering::SeqCst);
    if request.uri().path().starts_with("/leases/") {
        return serve_lease(&state, &request).await;
    }
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    let fault = *state.fault.lock().await;
    if fault == UpstreamFault::Refuse {
        let mut response = http::status(StatusCode::SERVICE_UNAVAILABLE);
        response
            .headers_mut()
            .insert("jacinthhoist-outcome", HeaderValue::from_static("not-run"));
        return response;
    }
    let run = RunGuard::begin(&state);
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    if let Some(order) = text(ORDER_HEADER) {
        *state.runs.lock().await.entry(order.to_owned()).or_default() += 1;
    }
    if fault == UpstreamFault::FailAll {
        return http::status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let requested_ms = text(SERVICE_HEADER).and_then(|value| value.parse().ok());
    let service_ms = requested_ms.unwrap_or_else(|| state.service_ms.load(Ordering::SeqCst));
    let progress = text(CHECKPOINT_HEADER).and_then(|value| value.parse().ok());
    let remaining_ms = progress.unwrap_or(service_ms);
    let lease = text(LEASE_HEADER).and_then(|value| value.parse().ok());
    if let (Some(lease_ms), Some(id)) = (lease, text(REQUEST_HEADER)) {
        let work = run_leased(state.clone(), id.to_owned(), lease_ms, remaining_ms, run);
        // A separate task, so that the work goes on when its connection closes, as on a real
        // worker.
        let finished = tokio::spawn(work).await;
        if let Err(response) = finished.unwrap_or(Ok(())) {
            return response;
        }
    } else {
        sleep(Duration::from_millis(remaining_ms)).await;
        drop(run);
    }
    if fault == UpstreamFault::Silent
        && connection <= state.last_silent_connection.load(Ordering::SeqCst)
    {
        std::future::pending::<()>().await;
    }
    let mut response = response_for(fault, &body.to_bytes());
    let headers = response.headers_mut();
    if let Some(id) = head.headers.get(REQUEST_HEADER) {
        let wrong_id = HeaderValue::from_static("0-crossed");
        let id = if fault == UpstreamFault::WrongRequestId {
            wrong_id
        } else {
            id.clone()
        };
        headers.insert(REQUEST_HEADER, id);
    }
    if state.leaving.load(Ordering::SeqCst) {
        headers.insert("jacinthhoist-leaving", HeaderValue::from_static("true"));
    }
    response
}

/// Runs work under a lease. If the lease ends before the work is done, returns the response that
/// reports the cause.
async fn run_leased(
    state: Arc<UpstreamState>,
    id: String,
    lease_ms: u64,
    remaining_ms: u64,
    run: RunGuard,
) -> Result<(), Response<ResponseBody>> {
    let duration = Duration::from_millis(lease_ms);
    let lease = LeaseState {
        expires_at: Instant::now() + duration,
        duration,
        speed_percent: 100,
        requested_end: None,
    };
    state.leases.lock().await.insert(id.clone(), lease);
    let mut remaining = Duration::from_millis(remaining_ms);
    let mut early_end = None;
    while !remaining.is_zero() && early_end.is_none() {
        sleep(LEASE_POLL_INTERVAL).await;
        let leases = state.leases.lock().await;
        let Some(lease) = leases.get(&id) else {
            break;
        };
        remaining =
            remaining.saturating_sub(LEASE_POLL_INTERVAL * lease.speed_percent as u32 / 100);
        let lapsed = Instant::now() >= lease.expires_at;
        early_end = lease.requested_end.or(lapsed.then_some(LeaseEnd::Lapsed));
    }
    state.leases.lock().await.remove(&id);
    drop(run);
    let Some(end) = early_end else {
        return Ok(());
    };
    let (count, status) = match end {
        LeaseEnd::Lapsed => (&state.lapse_count, StatusCode::INTERNAL_SERVER_ERROR),
        LeaseEnd::Checkpointed => (&state.checkpoint_count, StatusCode::SERVICE_UNAVAILABLE),
        LeaseEnd::Stopped => (&state.stop_count, StatusCode::INTERNAL_SERVER_ERROR),
    };
    count.fetch_add(1, Ordering::SeqCst);
    let mut response = http::status(status);
    if end == LeaseEnd::Checkpointed {
        let progress = HeaderValue::from(remaining.as_millis() as u64);
        response.headers_mut().insert(CHECKPOINT_HEADER, progress);
    }
    Err(response)
}

/// Handles `POST /leases/ID/renew?percent=N`, `/leases/ID/checkpoint` and `/leases/ID/stop`.
async fn serve_lease(state: &UpstreamState, request: &Request<Incoming>) -> Response<ResponseBody> {
    let mut parts = request.uri().path().split('/').skip(2);
    let (id, action) = (
        parts.next().unwrap_or_default(),
        parts.next().unwrap_or_default(),
    );
    let mut leases = state.leases.lock().await;
    let Some(lease) = leases.get_mut(id) else {
        return http::status(StatusCode::NOT_FOUND);
    };
    match action {
        "renew" => {
            lease.expires_at = Instant::now() + lease.duration;
            lease.speed_percent = http::query_number(request, "percent").unwrap_or(100);
        }
        "checkpoint" => lease.requested_end = Some(LeaseEnd::Checkpointed),
        "stop" => lease.requested_end = Some(LeaseEnd::Stopped),
        _ => return http::status(StatusCode::NOT_FOUND),
    }
    http::status(StatusCode::OK)
}

/// Response that echoes the request body after `ran: `, in full, truncated or stalled.
fn response_for(fault: UpstreamFault, body: &Bytes) -> Response<ResponseBody> {
    let mut text = b"ran: ".to_vec();
    text.extend_from_slice(body);
    match fault {
        UpstreamFault::Stall => {
            let first = stream::iter([Ok(Frame::data(Bytes::from(text)))]);
            Response::new(BodyExt::boxed(StreamBody::new(
                first.chain(stream::pending()),
            )))
        }
        UpstreamFault::Truncate => {
            let truncation = async {
                sleep(TRUNCATE_DELAY).await;
                Err(std::io::Error::other(
                    "response truncated by the fake upstream",
                ))
            };
            let first = stream::iter([Ok(Frame::data(Bytes::from(text)))]);
            Response::new(BodyExt::boxed(StreamBody::new(
                first.chain(stream::once(truncation)),
            )))
        }
        _ => Response::new(http::full_body(text)),
    }
}
