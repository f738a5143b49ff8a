//! Fake of the policy service, which decides on which workers a step may run.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{sync::Mutex, time::sleep};

use super::loopback;
use crate::http::{self, FakeServer, ResponseBody};

/// Validity of a permit, unless the service has been given other figures.
const PERMIT_MS: u64 = 1_000;
/// Separates a ticket from the end of its validity, in milliseconds since the Unix epoch.
const END_SEPARATOR: char = '@';

/// Time that the service takes, and validity of its tickets.
#[derive(Clone, Copy, Debug)]
pub struct PolicyFigures {
    /// Base duration of a call.
    pub decide_ms: u64,
    /// Additional duration for each worker named.
    pub each_ms: u64,
    /// Validity of a ticket.
    pub valid_ms: u64,
}

#[derive(Debug, Deserialize)]
struct PermitRequest {
    workers: Vec<String>,
}

/// Handle of a running policy service. It permits the same workers for every step.
pub struct PolicyService {
    permitted: Arc<ArcSwap<Vec<String>>>,
    figures: Arc<ArcSwapOption<PolicyFigures>>,
    server: FakeServer,
}

impl PolicyService {
    /// Starts a service that permits no worker.
    ///
    /// # Errors
    ///
    /// No loopback address can be bound.
    pub async fn spawn() -> std::io::Result<Self> {
        let permitted = Arc::new(ArcSwap::from_pointee(Vec::new()));
        let figures = Arc::new(ArcSwapOption::empty());
        let state = ServiceState {
            permitted: permitted.clone(),
            figures: figures.clone(),
            turn: Arc::default(),
        };
        let server = http::spawn(loopback(), move |_, request| serve(state.clone(), request));
        Ok(Self {
            permitted,
            figures,
            server: server.await?,
        })
    }

    /// Address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Has each call take its time, one after the other, and the tickets end.
    pub fn set_figures(&self, figures: PolicyFigures) {
        self.figures.store(Some(Arc::new(figures)));
    }

    /// Replaces the set of permitted workers.
    pub fn permit(&self, workers: &[&str]) {
        let workers = workers.iter().map(|worker| (*worker).to_owned());
        self.permitted.store(Arc::new(workers.collect()));
    }
}

/// State that the calls share.
#[derive(Clone)]
struct ServiceState {
    permitted: Arc<ArcSwap<Vec<String>>>,
    figures: Arc<ArcSwapOption<PolicyFigures>>,
    /// Held by the call that is served.
    turn: Arc<Mutex<()>>,
}

/// Ticket that permits a start on a worker, without an end.
pub(super) fn ticket(worker: &str) -> String {
    format!("t-{worker}")
}

/// Returns whether a ticket permits a start on the worker whose ticket without an end is `expected`.
pub(super) fn accepts(expected: &str, ticket: &str) -> bool {
    let (ticket, end) = match ticket.split_once(END_SEPARATOR) {
        Some((ticket, end)) => (ticket, end.parse().unwrap_or(0)),
        None => (ticket, u64::MAX),
    };
    ticket == expected && unix_ms() < end
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

async fn serve(state: ServiceState, request: Request<Incoming>) -> Response<ResponseBody> {
    let Ok(body) = request.into_body().collect().await else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    let Ok(request_body) = serde_json::from_slice::<PermitRequest>(&body.to_bytes()) else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    let figures = state.figures.load_full();
    let mut end = String::new();
    if let Some(figures) = &figures {
        let _turn = state.turn.lock().await;
        let span = figures.decide_ms + figures.each_ms * request_body.workers.len() as u64;
        sleep(Duration::from_millis(span)).await;
        end = format!("{END_SEPARATOR}{}", unix_ms() + figures.valid_ms);
    }
    let valid_ms = figures.map_or(PERMIT_MS, |figures| figures.valid_ms);
    let permitted = state.permitted.load();
    let matches = request_body
        .workers
        .iter()
        .filter(|worker| permitted.contains(worker));
    let rows: Vec<Value> = matches
        .map(|worker| json!([worker, ticket(worker) + &end]))
        .collect();
    http::json(&json!({"good": rows, "valid_ms": valid_ms}))
}
