//! A stand-in for the platform's log service: one stream, offsets, limited retention, faults.

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

use crate::http::{self, FakeBody, FakeServer};

/// A running log service.
#[derive(Debug)]
pub struct LogService {
    server: FakeServer,
    state: Arc<LogState>,
}

#[derive(Debug, Default)]
struct LogState {
    records: Mutex<KeptRecords>,
    appended: Notify,
    down: AtomicBool,
    delay_ms: AtomicU64,
    lost_answers: AtomicU32,
    dropped_appends: AtomicU32,
    appends: AtomicU64,
    read_bytes: AtomicU64,
}

#[derive(Debug, Default)]
struct KeptRecords {
    first: u64,
    texts: VecDeque<String>,
}

#[derive(Serialize)]
struct AppendAnswer {
    offset: u64,
}

#[derive(Serialize)]
struct ReadAnswer {
    first: u64,
    next: u64,
    records: Vec<ReadRecord>,
}

#[derive(Serialize)]
struct ReadRecord {
    offset: u64,
    text: String,
}

impl LogService {
    /// Binds an address and serves an empty stream.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(LogState::default());
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
        self.state.appended.notify_waiters();
    }

    /// Every call takes at least this long.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.state.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// The next appends take effect, and their answers are lost.
    pub fn lose_replies(&self, count: u32) {
        self.state.lost_answers.store(count, Ordering::SeqCst);
    }

    /// The next appends fail without effect.
    pub fn fail_appends(&self, count: u32) {
        self.state.dropped_appends.store(count, Ordering::SeqCst);
    }

    /// Keeps only the newest records.
    pub async fn retain_newest(&self, keep: usize) {
        let mut records = self.state.records.lock().await;
        while records.texts.len() > keep {
            records.texts.pop_front();
            records.first += 1;
        }
    }

    /// Appends a text as some other program would.
    pub async fn append(&self, text: &str) -> u64 {
        append(&self.state, text.to_owned()).await
    }

    /// All texts that are kept.
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

    /// Appends that took effect.
    pub fn appends(&self) -> u64 {
        self.state.appends.load(Ordering::SeqCst)
    }

    /// Bytes of records handed out.
    pub fn read_bytes(&self) -> u64 {
        self.state.read_bytes.load(Ordering::SeqCst)
    }
}

async fn serve(state: Arc<LogState>, request: Request<Incoming>) -> Response<FakeBody> {
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

async fn serve_append(state: &LogState, request: Request<Incoming>) -> Response<FakeBody> {
    let Ok(body) = request.into_body().collect().await else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    let Ok(text) = String::from_utf8(body.to_bytes().to_vec()) else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    if take_one(&state.dropped_appends) {
        return http::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let offset = append(state, text).await;
    if take_one(&state.lost_answers) {
        return http::status(StatusCode::GATEWAY_TIMEOUT);
    }
    http::json(&AppendAnswer { offset })
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

async fn serve_read(state: &LogState, request: &Request<Incoming>) -> Response<FakeBody> {
    let from = http::query(request, "from").unwrap_or(0);
    let limit = http::query(request, "limit").unwrap_or(1_000) as usize;
    let wait = Duration::from_millis(http::query(request, "wait_ms").unwrap_or(0));
    let appended = state.appended.notified();
    let mut answer = read(state, from, limit).await;
    if answer.records.is_empty() && answer.first <= from && !wait.is_zero() {
        // Either something is appended, or the wait is over: both are answered.
        let _ = timeout(wait, appended).await;
        if state.down.load(Ordering::SeqCst) {
            return http::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        answer = read(state, from, limit).await;
    }
    let bytes: usize = answer.records.iter().map(|record| record.text.len()).sum();
    state.read_bytes.fetch_add(bytes as u64, Ordering::SeqCst);
    http::json(&answer)
}

async fn read(state: &LogState, from: u64, limit: usize) -> ReadAnswer {
    let records = state.records.lock().await;
    let next = records.first + records.texts.len() as u64;
    let skip = from.saturating_sub(records.first) as usize;
    let texts = records.texts.iter().enumerate().skip(skip).take(limit);
    let kept = texts.map(|(index, text)| ReadRecord {
        offset: records.first + index as u64,
        text: text.clone(),
    });
    ReadAnswer {
        first: records.first,
        next,
        records: kept.collect(),
    }
}

/// Takes one from a count; false where none is left.
fn take_one(count: &AtomicU32) -> bool {
    count
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
            left.checked_sub(1)
        })
        .is_ok()
}
