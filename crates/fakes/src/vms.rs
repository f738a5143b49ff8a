//! Fake of the platform's VM list, with reboots and a lag.

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

use crate::http::{self, FakeServer, ResponseBody};

/// VM as it appears in the list.
#[derive(Clone, Debug, Serialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: String,
    /// Address as `ip:port`.
    pub address: String,
    /// Data centre that the VM is in.
    pub data_centre: String,
    /// Rack that the VM is in.
    pub rack: String,
    /// Role: `worker` or `entry`.
    pub role: String,
    /// State: `live` or `leaving`.
    pub state: String,
    /// Number of the present boot, counted from 1.
    pub boot: u64,
}

impl VmEntry {
    /// Entry of a live worker VM.
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

    /// Entry of a live entry VM.
    pub fn entry(name: &str, address: SocketAddr) -> Self {
        let role = "entry".to_owned();
        Self {
            role,
            ..Self::worker(name, address, "dc-1", "rack-entry")
        }
    }
}

/// Handle of a running VM list.
#[derive(Debug)]
pub struct VmList {
    server: FakeServer,
    state: Arc<ListState>,
}

#[derive(Debug, Default)]
struct ListState {
    vms: Mutex<BTreeMap<String, VmEntry>>,
    version: AtomicU64,
    published: Mutex<PublishedList>,
    down: AtomicBool,
    lag_ms: AtomicU64,
    reboot_ms: AtomicU64,
    reboots: AtomicU64,
    sent_bytes: AtomicU64,
}

/// Copy of the list that reads are answered from until the lag has passed.
#[derive(Debug, Default)]
struct PublishedList {
    published_at: Option<Instant>,
    version: Option<u64>,
    body: Bytes,
}

impl ListState {
    /// Counts a change of the list.
    fn mark_changed(&self) {
        self.version.fetch_add(1, Ordering::SeqCst);
    }
}

#[derive(Serialize)]
struct ListResponse {
    vms: Vec<VmEntry>,
}

#[derive(Serialize)]
struct EmptyResponse {}

impl VmList {
    /// Binds an address and serves an empty list.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(ListState::default());
        let shared = state.clone();
        let server = http::spawn(address, move |_, request| serve(shared.clone(), request)).await?;
        Ok(Self { server, state })
    }

    /// Address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Makes every call fail with status 503 while `down` is set.
    pub fn set_down(&self, down: bool) {
        self.state.down.store(down, Ordering::SeqCst);
    }

    /// Sets the time in milliseconds by which reads may lag behind changes.
    pub fn set_lag_ms(&self, lag_ms: u64) {
        self.state.lag_ms.store(lag_ms, Ordering::SeqCst);
    }

    /// Sets the duration of a reboot, in milliseconds.
    pub fn set_reboot_ms(&self, reboot_ms: u64) {
        self.state.reboot_ms.store(reboot_ms, Ordering::SeqCst);
    }

    /// Number of reboots that took effect.
    pub fn reboots(&self) -> u64 {
        self.state.reboots.load(Ordering::SeqCst)
    }

    /// Bytes of lists that reads have returned.
    pub fn sent_bytes(&self) -> u64 {
        self.state.sent_bytes.load(Ordering::SeqCst)
    }

    /// Adds a VM or replaces the one of the same name.
    pub async fn add(&self, vm: VmEntry) {
        self.state.vms.lock().await.insert(vm.name.clone(), vm);
        self.state.mark_changed();
    }

    /// Removes a VM.
    pub async fn remove(&self, name: &str) {
        self.state.vms.lock().await.remove(name);
        self.state.mark_changed();
    }

    /// Sets a VM's state to `live` or `leaving`.
    pub async fn set_state(&self, name: &str, state: &str) {
        if let Some(vm) = self.state.vms.lock().await.get_mut(name) {
            vm.state = state.to_owned();
        }
        self.state.mark_changed();
    }
}

async fn serve(state: Arc<ListState>, request: Request<Incoming>) -> Response<ResponseBody> {
    if state.down.load(Ordering::SeqCst) {
        return http::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    if *request.method() == Method::POST {
        return serve_reboot(state, &request).await;
    }
    let lag = Duration::from_millis(state.lag_ms.load(Ordering::SeqCst));
    let version = state.version.load(Ordering::SeqCst);
    let mut published = state.published.lock().await;
    if published.version != Some(version)
        && published
            .published_at
            .is_none_or(|published_at| published_at.elapsed() >= lag)
    {
        let vms = state.vms.lock().await.values().cloned().collect();
        let body = Bytes::from(serde_json::json!(ListResponse { vms }).to_string());
        *published = PublishedList {
            published_at: Some(Instant::now()),
            version: Some(version),
            body,
        };
    }
    conditional_response(&state, &request, &published)
}

/// List with its entity tag, or status 304 if the client has that version.
fn conditional_response(
    state: &ListState,
    request: &Request<Incoming>,
    published: &PublishedList,
) -> Response<ResponseBody> {
    let tag = format!("\"{}\"", published.version.unwrap_or(0));
    let cached = request.headers().get(header::IF_NONE_MATCH);
    let unchanged = cached.is_some_and(|cached| cached.as_bytes() == tag.as_bytes());
    let mut response = match unchanged {
        true => http::status(StatusCode::NOT_MODIFIED),
        false => {
            let bytes = published.body.len() as u64;
            state.sent_bytes.fetch_add(bytes, Ordering::SeqCst);
            Response::new(http::full_body(published.body.clone()))
        }
    };
    if let Ok(tag) = tag.parse() {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

/// Handles `POST /vms/NAME/reboot?boot=N`. It takes effect once for each boot, so that a repeated
/// request does not reboot the VM again.
async fn serve_reboot(
    state: Arc<ListState>,
    request: &Request<Incoming>,
) -> Response<ResponseBody> {
    let name = request
        .uri()
        .path()
        .split('/')
        .nth(2)
        .unwrap_or_default()
        .to_owned();
    let boot = http::query_number(request, "boot");
    let mut vms = state.vms.lock().await;
    let Some(vm) = vms.get(&name).cloned() else {
        return http::status(StatusCode::NOT_FOUND);
    };
    if Some(vm.boot) == boot {
        vms.remove(&name);
        state.mark_changed();
        state.reboots.fetch_add(1, Ordering::SeqCst);
        let state = state.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(
                state.reboot_ms.load(Ordering::SeqCst),
            ))
            .await;
            let rebooted = VmEntry {
                boot: vm.boot + 1,
                ..vm
            };
            state.vms.lock().await.insert(name, rebooted);
            state.mark_changed();
        });
    }
    http::json(&EmptyResponse {})
}
