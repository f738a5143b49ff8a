//! Fake of the policy service, which decides on which workers a step may run.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::{Value, json};

use super::loopback;
use crate::http::{self, FakeServer, ResponseBody};

/// Validity of a permit.
const PERMIT_MS: u64 = 1_000;

#[derive(Debug, Deserialize)]
struct PermitRequest {
    workers: Vec<String>,
}

/// Handle of a running policy service. It permits the same workers for every step.
pub struct PolicyService {
    permitted: Arc<ArcSwap<Vec<String>>>,
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
        let shared = permitted.clone();
        let server = http::spawn(loopback(), move |_, request| serve(shared.clone(), request));
        Ok(Self {
            permitted,
            server: server.await?,
        })
    }

    /// Address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Replaces the set of permitted workers.
    pub fn permit(&self, workers: &[&str]) {
        let workers = workers.iter().map(|worker| (*worker).to_owned());
        self.permitted.store(Arc::new(workers.collect()));
    }
}

/// Ticket that permits a start on a worker.
pub(super) fn ticket(worker: &str) -> String {
    format!("t-{worker}")
}

async fn serve(
    permitted: Arc<ArcSwap<Vec<String>>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let Ok(body) = request.into_body().collect().await else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    let Ok(request_body) = serde_json::from_slice::<PermitRequest>(&body.to_bytes()) else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    let permitted = permitted.load();
    let matches = request_body
        .workers
        .iter()
        .filter(|worker| permitted.contains(worker));
    let rows: Vec<Value> = matches
        .map(|worker| json!([worker, ticket(worker)]))
        .collect();
    http::json(&json!({"good": rows, "valid_ms": PERMIT_MS}))
}
