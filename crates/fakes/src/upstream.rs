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
use tokio::{sync::Mutex, time::sleep};

use crate::http::{self, FakeBody, FakeServer};

/// The header that names a run, so that runs can be counted.
const ORDER_HEADER: &str = "x-order";
/// The header that asks for a service time in milliseconds.
const SERVICE_HEADER: &str = "x-service-ms";
/// The header that carries the request's id.
const REQUEST_HEADER: &str = "jacinthhoist-request";

/// Pause before a body is cut, so that its head goes out.
const CUT_PAUSE: Duration = Duration::from_millis(30);

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
    Cut,
    /// It answers with another request's id.
    Crossed,
    /// It refuses, and says that nothing ran.
    Refuse,
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

    /// Runs in all.
    pub fn count(&self) -> u64 {
        self.state.count.load(Ordering::SeqCst)
    }

    /// The most that ran at once since this was last asked.
    pub fn take_most_running(&self) -> u32 {
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
    sleep(Duration::from_millis(service_ms)).await;
    drop(run);
    if fault == UpstreamFault::Silent && connection <= state.silent_up_to.load(Ordering::SeqCst) {
        std::future::pending::<()>().await;
    }
    let mut response = answer(fault, &body.to_bytes());
    let headers = response.headers_mut();
    if let Some(id) = head.headers.get(REQUEST_HEADER) {
        let crossed = HeaderValue::from_static("0-crossed");
        let id = if fault == UpstreamFault::Crossed {
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

/// Echoes the body after a greeting, whole or cut.
fn answer(fault: UpstreamFault, body: &Bytes) -> Response<FakeBody> {
    let mut text = b"ran: ".to_vec();
    text.extend_from_slice(body);
    match fault {
        UpstreamFault::Cut => {
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
