//! Fake of the cloud service that lists machines and takes orders on them.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use http_body_util::BodyExt;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::{Value, json};

use super::loopback;
use crate::http::{self, FakeServer, ResponseBody};

/// Machine in the list.
#[derive(Clone, Debug)]
struct ListedMachine {
    name: String,
    pool: String,
    id: String,
    newest_token: u64,
    started_waves: Vec<u64>,
}

#[derive(Debug, Deserialize)]
struct MachineOrder {
    machine: String,
    #[serde(default)]
    pool: String,
    #[serde(default)]
    wave: u64,
}

/// Handle of a running machine service. Orders change the list at once and have no effect on the
/// workers; tests stop and restart those themselves.
pub struct MachineService {
    machines: Arc<ArcSwap<Vec<ListedMachine>>>,
    server: FakeServer,
}

impl MachineService {
    /// Starts a service with an empty list on loopback.
    ///
    /// # Errors
    ///
    /// No loopback address can be bound.
    pub async fn spawn() -> std::io::Result<Self> {
        let machines = Arc::new(ArcSwap::from_pointee(Vec::new()));
        let shared = machines.clone();
        let server = http::spawn(loopback(), move |_, request| serve(shared.clone(), request));
        Ok(Self {
            machines,
            server: server.await?,
        })
    }

    /// Address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Adds a machine that runs the worker `id`.
    pub fn add(&self, name: &str, pool: &str, id: &str) {
        let machine = ListedMachine {
            name: name.to_owned(),
            pool: pool.to_owned(),
            id: id.to_owned(),
            newest_token: 0,
            started_waves: Vec::new(),
        };
        self.machines.rcu(|machines| {
            let mut machines = machines.to_vec();
            machines.push(machine.clone());
            machines
        });
    }

    /// Names of the machines whose maintenance in a wave has started.
    pub fn under_maintenance(&self, wave: u64) -> Vec<String> {
        let machines = self.machines.load();
        let started = machines
            .iter()
            .filter(|machine| machine.started_waves.contains(&wave));
        started.map(|machine| machine.name.clone()).collect()
    }
}

async fn serve(
    machines: Arc<ArcSwap<Vec<ListedMachine>>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    if request.method() == Method::GET {
        let rows = machines.load();
        let rows: Vec<Value> = rows.iter().map(machine_row).collect();
        return http::json(&json!({"machines": rows, "next_token": null}));
    }
    let token = request.headers().get("fencing-token");
    let token = token
        .and_then(|token| token.to_str().ok()?.parse().ok())
        .unwrap_or(0);
    let is_move = request.uri().path() == "/v1/machine-move";
    let Ok(body) = request.into_body().collect().await else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    let Ok(order) = serde_json::from_slice::<MachineOrder>(&body.to_bytes()) else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    let previous = machines.rcu(|machines| {
        let mut machines = machines.to_vec();
        for machine in machines
            .iter_mut()
            .filter(|machine| machine.name == order.machine)
        {
            if token < machine.newest_token {
                continue;
            }
            machine.newest_token = token;
            if is_move {
                machine.pool.clone_from(&order.pool);
            } else {
                machine.started_waves.push(order.wave);
            }
        }
        machines
    });
    match previous
        .iter()
        .find(|machine| machine.name == order.machine)
    {
        None => http::status(StatusCode::BAD_REQUEST),
        Some(machine) if token < machine.newest_token => {
            let mut response = http::json(&json!({"reason": "fence"}));
            *response.status_mut() = StatusCode::CONFLICT;
            response
        }
        Some(_) => http::status(StatusCode::OK),
    }
}

fn machine_row(machine: &ListedMachine) -> Value {
    json!({"machine": machine.name, "pool": machine.pool, "state": "up", "zone": "dc-1",
        "labels": ["a", "r-1"], "capacity": {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0},
        "id": machine.id})
}
