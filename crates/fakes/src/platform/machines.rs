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
    /// Further rows of the list, as JSON text.
    raw_rows: Arc<ArcSwap<Vec<String>>>,
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
        let raw_rows = Arc::new(ArcSwap::from_pointee(Vec::new()));
        let (shared, shared_rows) = (machines.clone(), raw_rows.clone());
        let server = http::spawn(loopback(), move |_, request| {
            serve(shared.clone(), shared_rows.clone(), request)
        });
        Ok(Self {
            machines,
            raw_rows,
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

    /// Adds a row of any JSON text to the list.
    pub fn add_raw_row(&self, row: &str) {
        self.raw_rows.rcu(|rows| {
            let mut rows = rows.to_vec();
            rows.push(row.to_owned());
            rows
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
    raw_rows: Arc<ArcSwap<Vec<String>>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    if request.method() == Method::GET {
        let machines = machines.load();
        let rows = machines
            .iter()
            .map(|machine| machine_row(machine).to_string());
        let rows: Vec<String> = rows.chain(raw_rows.load().iter().cloned()).collect();
        let text = format!(r#"{{"machines":[{}],"next_token":null}}"#, rows.join(","));
        return Response::new(http::full_body(text));
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
