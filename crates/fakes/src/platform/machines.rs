//! The list of machines, and orders on them.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use http_body_util::BodyExt;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::{Value, json};

use super::loopback;
use crate::http::{self, FakeBody, FakeServer};

/// A machine as it is listed.
#[derive(Clone, Debug)]
struct Machine {
    name: String,
    pool: String,
    id: String,
    token: u64,
    maintained: Vec<u64>,
}

#[derive(Debug, Deserialize)]
struct Order {
    machine: String,
    #[serde(default)]
    pool: String,
    #[serde(default)]
    wave: u64,
}

/// A running list of machines. Orders change the list at once; the workers of the machines are the
/// tests' own affair.
pub struct MachineService {
    machines: Arc<ArcSwap<Vec<Machine>>>,
    server: FakeServer,
}

impl MachineService {
    /// Starts a list on loopback.
    ///
    /// # Errors
    ///
    /// No address is free.
    pub async fn spawn() -> std::io::Result<Self> {
        let machines = Arc::new(ArcSwap::from_pointee(Vec::new()));
        let served = machines.clone();
        let server = http::spawn(loopback(), move |_, request| serve(served.clone(), request));
        Ok(Self {
            machines,
            server: server.await?,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Adds a machine whose present life is the worker `id`.
    pub fn add(&self, name: &str, pool: &str, id: &str) {
        let machine = Machine {
            name: name.to_owned(),
            pool: pool.to_owned(),
            id: id.to_owned(),
            token: 0,
            maintained: Vec::new(),
        };
        self.machines.rcu(|machines| {
            let mut machines = machines.to_vec();
            machines.push(machine.clone());
            machines
        });
    }

    /// The machines whose maintenance in a wave has begun.
    pub fn under_maintenance(&self, wave: u64) -> Vec<String> {
        let machines = self.machines.load();
        let begun = machines
            .iter()
            .filter(|machine| machine.maintained.contains(&wave));
        begun.map(|machine| machine.name.clone()).collect()
    }
}

async fn serve(
    machines: Arc<ArcSwap<Vec<Machine>>>,
    request: Request<Incoming>,
) -> Response<FakeBody> {
    if request.method() == Method::GET {
        let rows = machines.load();
        let rows: Vec<Value> = rows.iter().map(row).collect();
        return http::json(&json!({"machines": rows, "next_token": null}));
    }
    let token = request.headers().get("fencing-token");
    let token = token
        .and_then(|token| token.to_str().ok()?.parse().ok())
        .unwrap_or(0);
    let moves = request.uri().path() == "/v1/machine-move";
    let Ok(body) = request.into_body().collect().await else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    let Ok(order) = serde_json::from_slice::<Order>(&body.to_bytes()) else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    let before = machines.rcu(|machines| {
        let mut machines = machines.to_vec();
        for machine in machines
            .iter_mut()
            .filter(|machine| machine.name == order.machine)
        {
            if token < machine.token {
                continue;
            }
            machine.token = token;
            if moves {
                machine.pool.clone_from(&order.pool);
            } else {
                machine.maintained.push(order.wave);
            }
        }
        machines
    });
    match before.iter().find(|machine| machine.name == order.machine) {
        None => http::status(StatusCode::BAD_REQUEST),
        Some(machine) if token < machine.token => {
            let mut response = http::json(&json!({"reason": "fence"}));
            *response.status_mut() = StatusCode::CONFLICT;
            response
        }
        Some(_) => http::status(StatusCode::OK),
    }
}

fn row(machine: &Machine) -> Value {
    json!({"machine": machine.name, "pool": machine.pool, "state": "up", "zone": "dc-1",
        "labels": ["a", "r-1"], "capacity": {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0},
        "id": machine.id})
}
