//! A stand-in for an upstream VM: slow, failing, silent, cutting, late, crossed, leaving.

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

use crate::http::{self, FakeBody, FakeServer};

/// The header that names a run, so that runs can be counted.
const ORDER_HEADER: &str = "x-order";
/// The header that asks for a service time in milliseconds.
const SERVICE_HEADER: &str = "x-service-ms";
/// The header that carries the request's id.
const REQUEST_HEADER: &str = "jacinthhoist-request";

/// Pause before a body is cut, so that its head goes out.
const CUT_PAUSE: Duration = Duration::from_millis(30);

/// The header that gives a run a lease in milliseconds.
const LEASE_HEADER: &str = "jacinthhoist-lease-ms";
/// The header that carries saved progress: milliseconds of service still to come.
const CHECKPOINT_HEADER: &str = "jacinthhoist-checkpoint";
/// How often work under a lease looks at its lease.
const LEASE_STEP: Duration = Duration::from_millis(5);

/// What an upstream does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamFault {
    /// Nothing.
    None,
    /// It answers 500 at once.
    FailAll,
    /// It runs the work and never answers on connections that are open now; new ones work.
    Silent,
    /// It ends the body early.
    Truncate,
    /// It sends the start of the body and no more.
    Stall,
    /// It answers with another request's id.
    WrongRequestId,
    /// It refuses, and says that nothing ran.
    Refuse,
}

/// How leases of an upstream ended before their work did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseEnds {
    /// Nobody renewed them in time.
    pub lapsed: u64,
    /// Their progress was saved.
    pub checkpointed: u64,
    /// Their holder stopped them.
    pub stopped: u64,
}

/// A lease as this upstream knows it.
#[derive(Debug)]
struct LeaseState {
    until: Instant,
    span: Duration,
    percent: u64,
    wanted: Option<LeaseEnd>,
}

/// Why work under a lease ends early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseEnd {
    Lapsed,
    Checkpointed,
    Stopped,
}

/// A running upstream.
#[derive(Debug)]
pub struct UpstreamVm {
    server: FakeServer,
    state: Arc<UpstreamState>,
}

#[derive(Debug)]
struct UpstreamState {
    fault: Mutex<UpstreamFault>,
    silent_up_to: AtomicU64,
    newest_connection: AtomicU64,
    leaving: AtomicBool,
    service_ms: AtomicU64,
    runs: Mutex<HashMap<String, u32>>,
    leases: Mutex<HashMap<String, LeaseState>>,
    lapses: AtomicU64,
    checkpoints: AtomicU64,
    stops: AtomicU64,
    count: AtomicU64,
    running: AtomicU32,
    most_running: AtomicU32,
}

impl UpstreamVm {
    /// Binds an address; each run takes `service_ms` unless the request says otherwise.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr, service_ms: u64) -> std::io::Result<Self> {
        let state = Arc::new(UpstreamState {
            fault: Mutex::new(UpstreamFault::None),
            silent_up_to: AtomicU64::new(0),
            newest_connection: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            service_ms: AtomicU64::new(service_ms),
            runs: Mutex::new(HashMap::new()),
            leases: Mutex::new(HashMap::new()),
            lapses: AtomicU64::new(0),
            checkpoints: AtomicU64::new(0),
            stops: AtomicU64::new(0),
            count: AtomicU64::new(0),
            running: AtomicU32::new(0),
            most_running: AtomicU32::new(0),
        });
        let served = state.clone();
        let serve = move |connection, request| serve(served.clone(), connection, request);
        let server = http::spawn(address, serve).await?;
        Ok(Self { server, state })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets what it does wrong from now on.
    pub async fn set_fault(&self, fault: UpstreamFault) {
        let newest = self.state.newest_connection.load(Ordering::SeqCst);
        self.state.silent_up_to.store(newest, Ordering::SeqCst);
        *self.state.fault.lock().await = fault;
    }

    /// Marks each answer as coming from an upstream that is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.state.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Sets how long a run takes.
    pub fn set_service_ms(&self, service_ms: u64) {
        self.state.service_ms.store(service_ms, Ordering::SeqCst);
    }

    /// How often each named order ran.
    pub async fn runs(&self) -> HashMap<String, u32> {
        self.state.runs.lock().await.clone()
    }

    /// Leases that lapsed, were checkpointed, and were stopped.
    pub fn lease_ends(&self) -> LeaseEnds {
        LeaseEnds {
            lapsed: self.state.lapses.load(Ordering::SeqCst),
            checkpointed: self.state.checkpoints.load(Ordering::SeqCst),
            stopped: self.state.stops.load(Ordering::SeqCst),
        }
    }

    /// Runs in all.
    pub fn run_count(&self) -> u64 {
        self.state.count.load(Ordering::SeqCst)
    }

    /// Runs at this moment.
    pub fn running(&self) -> u32 {
        self.state.running.load(Ordering::SeqCst)
    }

    /// The most that ran at once since this was last asked.
    pub fn take_peak_running(&self) -> u32 {
        let running = self.state.running.load(Ordering::SeqCst);
        self.state.most_running.swap(running, Ordering::SeqCst)
    }
}

/// Counts a run while it lasts.
struct RunningRun(Arc<UpstreamState>);

impl RunningRun {
    fn begin(state: &Arc<UpstreamState>) -> Self {
        let running = state.running.fetch_add(1, Ordering::SeqCst) + 1;
        state.most_running.fetch_max(running, Ordering::SeqCst);
        state.count.fetch_add(1, Ordering::SeqCst);
        Self(state.clone())
    }
}

impl Drop for RunningRun {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn serve(
    state: Arc<UpstreamState>,
    connection: u64,
    request: Request<Incoming>,
) -> Response<FakeBody> {
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
    let run = RunningRun::begin(&state);
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    if let Some(order) = text(ORDER_HEADER) {
        *state.runs.lock().await.entry(order.to_owned()).or_default() += 1;
    }
    if fault == UpstreamFault::FailAll {
        return http::status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let asked = text(SERVICE_HEADER).and_then(|value| value.parse().ok());
    let service_ms = asked.unwrap_or_else(|| state.service_ms.load(Ordering::SeqCst));
    let progress = text(CHECKPOINT_HEADER).and_then(|value| value.parse().ok());
    let left_ms = progress.unwrap_or(service_ms);
    let lease = text(LEASE_HEADER).and_then(|value| value.parse().ok());
    if let (Some(span_ms), Some(id)) = (lease, text(REQUEST_HEADER)) {
        let work = run_leased(state.clone(), id.to_owned(), span_ms, left_ms, run);
        // The work goes on when its connection ends, as a real worker's would.
        let ended = tokio::spawn(work).await;
        if let Err(response) = ended.unwrap_or(Ok(())) {
            return response;
        }
    } else {
        sleep(Duration::from_millis(left_ms)).await;
        drop(run);
    }
    if fault == UpstreamFault::Silent && connection <= state.silent_up_to.load(Ordering::SeqCst) {
        std::future::pending::<()>().await;
    }
    let mut response = answer(fault, &body.to_bytes());
    let headers = response.headers_mut();
    if let Some(id) = head.headers.get(REQUEST_HEADER) {
        let crossed = HeaderValue::from_static("0-crossed");
        let id = if fault == UpstreamFault::WrongRequestId {
            crossed
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

/// Runs work under a lease; an answer that tells why where it ends early.
async fn run_leased(
    state: Arc<UpstreamState>,
    id: String,
    span_ms: u64,
    left_ms: u64,
    run: RunningRun,
) -> Result<(), Response<FakeBody>> {
    let span = Duration::from_millis(span_ms);
    let lease = LeaseState {
        until: Instant::now() + span,
        span,
        percent: 100,
        wanted: None,
    };
    state.leases.lock().await.insert(id.clone(), lease);
    let mut left = Duration::from_millis(left_ms);
    let mut ended = None;
    while !left.is_zero() && ended.is_none() {
        sleep(LEASE_STEP).await;
        let leases = state.leases.lock().await;
        let Some(lease) = leases.get(&id) else {
            break;
        };
        left = left.saturating_sub(LEASE_STEP * lease.percent as u32 / 100);
        let lapsed = Instant::now() >= lease.until;
        ended = lease.wanted.or(lapsed.then_some(LeaseEnd::Lapsed));
    }
    state.leases.lock().await.remove(&id);
    drop(run);
    let Some(end) = ended else {
        return Ok(());
    };
    let (count, status) = match end {
        LeaseEnd::Lapsed => (&state.lapses, StatusCode::INTERNAL_SERVER_ERROR),
        LeaseEnd::Checkpointed => (&state.checkpoints, StatusCode::SERVICE_UNAVAILABLE),
        LeaseEnd::Stopped => (&state.stops, StatusCode::INTERNAL_SERVER_ERROR),
    };
    count.fetch_add(1, Ordering::SeqCst);
    let mut response = http::status(status);
    if end == LeaseEnd::Checkpointed {
        let progress = HeaderValue::from(left.as_millis() as u64);
        response.headers_mut().insert(CHECKPOINT_HEADER, progress);
    }
    Err(response)
}

/// `POST /leases/ID/renew?percent=N`, `/leases/ID/checkpoint` and `/leases/ID/stop`.
async fn serve_lease(state: &UpstreamState, request: &Request<Incoming>) -> Response<FakeBody> {
    let mut parts = request.uri().path().split('/').skip(2);
    let (id, call) = (
        parts.next().unwrap_or_default(),
        parts.next().unwrap_or_default(),
    );
    let mut leases = state.leases.lock().await;
    let Some(lease) = leases.get_mut(id) else {
        return http::status(StatusCode::NOT_FOUND);
    };
    match call {
        "renew" => {
            lease.until = Instant::now() + lease.span;
            lease.percent = http::query(request, "percent").unwrap_or(100);
        }
        "checkpoint" => lease.wanted = Some(LeaseEnd::Checkpointed),
        "stop" => lease.wanted = Some(LeaseEnd::Stopped),
        _ => return http::status(StatusCode::NOT_FOUND),
    }
    http::status(StatusCode::OK)
}

/// Echoes the body after a greeting, whole or cut.
fn answer(fault: UpstreamFault, body: &Bytes) -> Response<FakeBody> {
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
            let cut = async {
                sleep(CUT_PAUSE).await;
                Err(std::io::Error::other("cut by the stand-in"))
            };
            let first = stream::iter([Ok(Frame::data(Bytes::from(text)))]);
            Response::new(BodyExt::boxed(StreamBody::new(
                first.chain(stream::once(cut)),
            )))
        }
        _ => Response::new(http::whole(text)),
    }
}
