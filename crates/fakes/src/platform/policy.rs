//! The policy service: says which workers may run a step.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::{Value, json};

use super::loopback;
use crate::http::{self, FakeBody, FakeServer};

/// How long a permit holds.
const VALID_MS: u64 = 1_000;

#[derive(Debug, Deserialize)]
struct Question {
    workers: Vec<String>,
}

/// A running policy service, which permits some workers whatever the step.
pub struct PolicyService {
    good: Arc<ArcSwap<Vec<String>>>,
    server: FakeServer,
}

impl PolicyService {
    /// Starts a service that permits no worker.
    ///
    /// # Errors
    ///
    /// No address is free.
    pub async fn spawn() -> std::io::Result<Self> {
        let good = Arc::new(ArcSwap::from_pointee(Vec::new()));
        let known = good.clone();
        let server = http::spawn(loopback(), move |_, request| serve(known.clone(), request));
        Ok(Self {
            good,
            server: server.await?,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Permits these workers from now on.
    pub fn permit(&self, workers: &[&str]) {
        let workers = workers.iter().map(|worker| (*worker).to_owned());
        self.good.store(Arc::new(workers.collect()));
    }
}

/// The ticket that a worker takes.
pub(super) fn ticket(worker: &str) -> String {
    format!("t-{worker}")
}

async fn serve(good: Arc<ArcSwap<Vec<String>>>, request: Request<Incoming>) -> Response<FakeBody> {
    let Ok(body) = request.into_body().collect().await else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    let Ok(question) = serde_json::from_slice::<Question>(&body.to_bytes()) else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    let good = good.load();
    let named = question
        .workers
        .iter()
        .filter(|worker| good.contains(worker));
    let rows: Vec<Value> = named
        .map(|worker| json!([worker, ticket(worker)]))
        .collect();
    http::json(&json!({"good": rows, "valid_ms": VALID_MS}))
}
