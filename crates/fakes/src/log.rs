//! Fake of the platform's log service: one stream with offsets, limited retention and faults.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use http_body_util::BodyExt;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::Serialize;
use tokio::{
    sync::{Mutex, Notify},
    time::{sleep, timeout},
};

use crate::http::{self, FakeServer, ResponseBody};

/// Handle of a running log service.
#[derive(Debug)]
pub struct LogService {
    server: FakeServer,
    state: Arc<LogState>,
}

#[derive(Debug, Default)]
struct LogState {
    records: Mutex<RetainedRecords>,
    appended: Notify,
    down: AtomicBool,
    delay_ms: AtomicU64,
    lost_replies: AtomicU32,
    failed_appends: AtomicU32,
    appends: AtomicU64,
    read_bytes: AtomicU64,
}

#[derive(Debug, Default)]
struct RetainedRecords {
    first: u64,
    texts: VecDeque<String>,
}

#[derive(Serialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Serialize)]
struct ReadResponse {
    first: u64,
    next: u64,
    records: Vec<RecordEntry>,
}

#[derive(Serialize)]
struct RecordEntry {
    offset: u64,
    text: String,
}

impl LogService {
    /// Binds an address and serves an empty stream of records.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(LogState::default());
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
        self.state.appended.notify_waiters();
    }

    /// Sets the delay that is added to every call, in milliseconds.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.state.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Carries out the next `count` appends but answers them with status 504.
    pub fn lose_replies(&self, count: u32) {
        self.state.lost_replies.store(count, Ordering::SeqCst);
    }

    /// Makes the next `count` appends fail without effect.
    pub fn fail_appends(&self, count: u32) {
        self.state.failed_appends.store(count, Ordering::SeqCst);
    }

    /// Drops all records but the newest `keep`.
    pub async fn retain_newest(&self, keep: usize) {
        let mut records = self.state.records.lock().await;
        while records.texts.len() > keep {
            records.texts.pop_front();
            records.first += 1;
        }
    }

    /// Appends a text directly, as another client would, and returns its offset.
    pub async fn append(&self, text: &str) -> u64 {
        append(&self.state, text.to_owned()).await
    }

    /// Texts of all retained records, oldest first.
    pub async fn texts(&self) -> Vec<String> {
        self.state
            .records
            .lock()
            .await
            .texts
            .iter()
            .cloned()
            .collect()
    }

    /// Number of appends that took effect.
    pub fn appends(&self) -> u64 {
        self.state.appends.load(Ordering::SeqCst)
    }

    /// Bytes of record text that reads have returned.
    pub fn read_bytes(&self) -> u64 {
        self.state.read_bytes.load(Ordering::SeqCst)
    }
}

async fn serve(state: Arc<LogState>, request: Request<Incoming>) -> Response<ResponseBody> {
    let delay_ms = state.delay_ms.load(Ordering::SeqCst);
    if delay_ms > 0 {
        sleep(Duration::from_millis(delay_ms)).await;
    }
    if state.down.load(Ordering::SeqCst) {
        return http::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    match *request.method() {
        Method::POST => serve_append(&state, request).await,
        _ => serve_read(&state, &request).await,
    }
}

async fn serve_append(state: &LogState, request: Request<Incoming>) -> Response<ResponseBody> {
    let Ok(body) = request.into_body().collect().await else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    let Ok(text) = String::from_utf8(body.to_bytes().to_vec()) else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    if try_decrement(&state.failed_appends) {
        return http::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let offset = append(state, text).await;
    if try_decrement(&state.lost_replies) {
        return http::status(StatusCode::GATEWAY_TIMEOUT);
    }
    http::json(&AppendResponse { offset })
}

async fn append(state: &LogState, text: String) -> u64 {
    let mut records = state.records.lock().await;
    records.texts.push_back(text);
    let offset = records.first + records.texts.len() as u64 - 1;
    drop(records);
    state.appends.fetch_add(1, Ordering::SeqCst);
    state.appended.notify_waiters();
    offset
}

async fn serve_read(state: &LogState, request: &Request<Incoming>) -> Response<ResponseBody> {
    let from = http::query_number(request, "from").unwrap_or(0);
    let limit = http::query_number(request, "limit").unwrap_or(1_000) as usize;
    let wait = Duration::from_millis(http::query_number(request, "wait_ms").unwrap_or(0));
    let appended = state.appended.notified();
    let mut response = read(state, from, limit).await;
    if response.records.is_empty() && response.first <= from && !wait.is_zero() {
        // Both a new record and the end of the wait are answered.
        let _ = timeout(wait, appended).await;
        if state.down.load(Ordering::SeqCst) {
            return http::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        response = read(state, from, limit).await;
    }
    let bytes: usize = response
        .records
        .iter()
        .map(|record| record.text.len())
        .sum();
    state.read_bytes.fetch_add(bytes as u64, Ordering::SeqCst);
    http::json(&response)
}

async fn read(state: &LogState, from: u64, limit: usize) -> ReadResponse {
    let records = state.records.lock().await;
    let next = records.first + records.texts.len() as u64;
    let skip = from.saturating_sub(records.first) as usize;
    let texts = records.texts.iter().enumerate().skip(skip).take(limit);
    let entries = texts.map(|(index, text)| RecordEntry {
        offset: records.first + index as u64,
        text: text.clone(),
    });
    ReadResponse {
        first: records.first,
        next,
        records: entries.collect(),
    }
}

/// Decrements a counter; false if it is already zero.
fn try_decrement(count: &AtomicU32) -> bool {
    count
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |remaining| {
            remaining.checked_sub(1)
        })
        .is_ok()
}
