//! A stand-in for the platform's VM list, with reboots and a lag.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use serde::Serialize;
use tokio::{
    sync::Mutex,
    time::{Instant, sleep},
};

use crate::http::{self, FakeBody, FakeServer};

/// A VM as the list shows it.
#[derive(Clone, Debug, Serialize)]
pub struct VmEntry {
    /// Its name.
    pub name: String,
    /// Its `ip:port`.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its rack.
    pub rack: String,
    /// `worker` or `entry`.
    pub role: String,
    /// `live` or `leaving`.
    pub state: String,
    /// Counts its boots.
    pub boot: u64,
}

impl VmEntry {
    /// A live worker.
    pub fn worker(name: &str, address: SocketAddr, data_centre: &str, rack: &str) -> Self {
        Self {
            name: name.to_owned(),
            address: address.to_string(),
            data_centre: data_centre.to_owned(),
            rack: rack.to_owned(),
            role: "worker".to_owned(),
            state: "live".to_owned(),
            boot: 1,
        }
    }

    /// A live entry VM.
    pub fn entry(name: &str, address: SocketAddr) -> Self {
        let role = "entry".to_owned();
        Self {
            role,
            ..Self::worker(name, address, "dc-1", "rack-entry")
        }
    }
}

/// A running VM list.
#[derive(Debug)]
pub struct VmList {
    server: FakeServer,
    state: Arc<ListState>,
}

#[derive(Debug, Default)]
struct ListState {
    vms: Mutex<BTreeMap<String, VmEntry>>,
    version: AtomicU64,
    shown: Mutex<ShownList>,
    down: AtomicBool,
    lag_ms: AtomicU64,
    reboot_ms: AtomicU64,
    reboots: AtomicU64,
    sent_bytes: AtomicU64,
}

/// The list as it was last handed out.
#[derive(Debug, Default)]
struct ShownList {
    at: Option<Instant>,
    version: Option<u64>,
    body: Bytes,
}

impl ListState {
    /// The list has changed.
    fn touch(&self) {
        self.version.fetch_add(1, Ordering::SeqCst);
    }
}

#[derive(Serialize)]
struct ListAnswer {
    vms: Vec<VmEntry>,
}

#[derive(Serialize)]
struct EmptyAnswer {}

impl VmList {
    /// Binds an address and serves an empty list.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(ListState::default());
        let served = state.clone();
        let server = http::spawn(address, move |_, request| serve(served.clone(), request)).await?;
        Ok(Self { server, state })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Every call fails while it is down.
    pub fn set_down(&self, down: bool) {
        self.state.down.store(down, Ordering::SeqCst);
    }

    /// The list is as old as this at the most.
    pub fn set_lag_ms(&self, lag_ms: u64) {
        self.state.lag_ms.store(lag_ms, Ordering::SeqCst);
    }

    /// How long a reboot takes.
    pub fn set_reboot_ms(&self, reboot_ms: u64) {
        self.state.reboot_ms.store(reboot_ms, Ordering::SeqCst);
    }

    /// Reboots that took effect.
    pub fn reboots(&self) -> u64 {
        self.state.reboots.load(Ordering::SeqCst)
    }

    /// Bytes of lists handed out.
    pub fn sent_bytes(&self) -> u64 {
        self.state.sent_bytes.load(Ordering::SeqCst)
    }

    /// Adds a VM, or replaces one of the same name.
    pub async fn add(&self, vm: VmEntry) {
        self.state.vms.lock().await.insert(vm.name.clone(), vm);
        self.state.touch();
    }

    /// Removes a VM.
    pub async fn remove(&self, name: &str) {
        self.state.vms.lock().await.remove(name);
        self.state.touch();
    }

    /// Sets a VM's state to `live` or `leaving`.
    pub async fn set_state(&self, name: &str, state: &str) {
        if let Some(vm) = self.state.vms.lock().await.get_mut(name) {
            vm.state = state.to_owned();
        }
        self.state.touch();
    }
}

async fn serve(state: Arc<ListState>, request: Request<Incoming>) -> Response<FakeBody> {
    if state.down.load(Ordering::SeqCst) {
        return http::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    if *request.method() == Method::POST {
        return serve_reboot(state, &request).await;
    }
    let lag = Duration::from_millis(state.lag_ms.load(Ordering::SeqCst));
    let version = state.version.load(Ordering::SeqCst);
    let mut shown = state.shown.lock().await;
    if shown.version != Some(version) && shown.at.is_none_or(|at| at.elapsed() >= lag) {
        let vms = state.vms.lock().await.values().cloned().collect();
        let body = Bytes::from(serde_json::json!(ListAnswer { vms }).to_string());
        *shown = ShownList {
            at: Some(Instant::now()),
            version: Some(version),
            body,
        };
    }
    tagged(&state, &request, &shown)
}

/// The list with a tag, or only word that it has not changed.
fn tagged(state: &ListState, request: &Request<Incoming>, shown: &ShownList) -> Response<FakeBody> {
    let tag = format!("\"{}\"", shown.version.unwrap_or(0));
    let known = request.headers().get(header::IF_NONE_MATCH);
    let same = known.is_some_and(|known| known.as_bytes() == tag.as_bytes());
    let mut response = match same {
        true => http::status(StatusCode::NOT_MODIFIED),
        false => {
            let bytes = shown.body.len() as u64;
            state.sent_bytes.fetch_add(bytes, Ordering::SeqCst);
            Response::new(http::whole(shown.body.clone()))
        }
    };
    if let Ok(tag) = tag.parse() {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

/// `POST /vms/NAME/reboot?boot=N`: takes effect once for each boot.
async fn serve_reboot(state: Arc<ListState>, request: &Request<Incoming>) -> Response<FakeBody> {
    let name = request
        .uri()
        .path()
        .split('/')
        .nth(2)
        .unwrap_or_default()
        .to_owned();
    let boot = http::query(request, "boot");
    let mut vms = state.vms.lock().await;
    let Some(vm) = vms.get(&name).cloned() else {
        return http::status(StatusCode::NOT_FOUND);
    };
    if Some(vm.boot) == boot {
        vms.remove(&name);
        state.touch();
        state.reboots.fetch_add(1, Ordering::SeqCst);
        let state = state.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(
                state.reboot_ms.load(Ordering::SeqCst),
            ))
            .await;
            let back = VmEntry {
                boot: vm.boot + 1,
                ..vm
            };
            state.vms.lock().await.insert(name, back);
            state.touch();
        });
    }
    http::json(&EmptyAnswer {})
}
