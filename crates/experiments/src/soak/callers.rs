//! Callers, which submit jobs over open connections and ask for their states.

use std::{
    net::SocketAddr,
    ops::Range,
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use hyper::{
    Method, StatusCode,
    header::{AUTHORIZATION, HOST, HeaderValue},
};
use jacinthhoist_fakes::{labelled_job, repeated_job, sample_job};
use jacinthhoist_net::{HttpClient, HttpRequest, HttpResponse};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::Value;
use tokio::{
    sync::Mutex,
    time::{Instant, sleep},
};

use super::keys::KeyRing;

/// Timeout of a call of those who wait for the ends of jobs: more than that of the route.
const WAIT_CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which a call is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two times of a repeated job.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between the rounds that look for jobs that are not yet completed.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Connection to a member, which is kept until a call fails.
struct MemberConnection<'a> {
    fronts: &'a [SocketAddr],
    keys: Option<&'a KeyRing>,
    rng: StdRng,
    member: usize,
    client: HttpClient,
    timeout: Duration,
}

impl<'a> MemberConnection<'a> {
    fn open(
        fronts: &'a [SocketAddr],
        keys: Option<&'a KeyRing>,
        rng: StdRng,
        member: usize,
        timeout: Duration,
    ) -> Self {
        Self {
            fronts,
            keys,
            rng,
            member,
            client: HttpClient::new(fronts[member]),
            timeout,
        }
    }

    /// Sends a request; without a response the next request goes to the next member.
    async fn send(&mut self, method: Method, id: &str, body: Bytes) -> Option<HttpResponse> {
        let host = HeaderValue::from_static("mould.example");
        let mut request = HttpRequest::new(method, format!("/jobs/{id}"), body).header(HOST, host);
        let key = match self.keys {
            Some(keys) => Some((keys, keys.draw(&mut self.rng).await)),
            None => None,
        };
        if let Some((_, key)) = &key
            && let Ok(value) = HeaderValue::from_str(&format!("Bearer {}", key.text))
        {
            request = request.header(AUTHORIZATION, value);
        }
        let response = self.client.send(request, self.timeout).await.ok();
        match (&response, &key) {
            (Some(response), Some((keys, key))) => keys.check(key, response.status).await,
            (Some(_), None) => {}
            (None, _) => {
                self.member = (self.member + 1) % self.fronts.len();
                self.client = HttpClient::new(self.fronts[self.member]);
            }
        }
        response
    }

    /// Status and state of a job.
    async fn state(&mut self, id: &str) -> Option<(StatusCode, String)> {
        let response = self.send(Method::GET, id, Bytes::new()).await?;
        let body: Value = serde_json::from_slice(&response.bytes).unwrap_or_default();
        let state = body["state"].as_str().unwrap_or_default().to_owned();
        Some((response.status, state))
    }
}

/// Jobs that a caller submits; they have a step of two to five tasks.
#[derive(Clone, Debug)]
pub struct CallerLoad {
    /// Durations of the tasks of a job, in milliseconds.
    pub task_ms: Range<u64>,
    /// Time between two jobs, in milliseconds.
    pub pause_ms: Range<u64>,
    /// Label that every other job requires.
    pub label: Option<&'static str>,
    /// Timeout of a call: more than that of the route. After it the caller goes to another member.
    pub call_timeout: Duration,
    /// Times that every third job runs, twice a second; none if all run once.
    pub repeats: Option<Range<u32>>,
}

/// What callers were told.
#[derive(Debug, Default)]
pub struct CallerRecord {
    /// Ids of accepted jobs.
    pub accepted: Vec<String>,
    /// Number of jobs that were refused, or whose acceptance stayed unknown.
    pub others: usize,
    /// Rules that were broken.
    pub violations: Vec<String>,
}

/// Submits jobs until a time.
pub async fn submit_jobs(
    fronts: &[SocketAddr],
    keys: Option<&KeyRing>,
    load: &CallerLoad,
    record: &Mutex<CallerRecord>,
    number: usize,
    mut rng: StdRng,
    until: Instant,
) {
    let key_rng = StdRng::seed_from_u64(rng.random());
    let member = number % fronts.len();
    let mut connection = MemberConnection::open(fronts, keys, key_rng, member, load.call_timeout);
    while Instant::now() < until {
        let job_number = rng.random::<u64>();
        let id = format!("{job_number:016x}");
        let tasks = rng.random_range(2..=5);
        let payload = format!("ms={}", rng.random_range(load.task_ms.clone()));
        let job = match load.label.filter(|_| job_number.is_multiple_of(2)) {
            Some(label) => labelled_job(tasks, &payload, label),
            None => sample_job(tasks, &payload),
        };
        let repeats = load.repeats.clone();
        let job = match repeats.filter(|_| job_number.is_multiple_of(3)) {
            Some(repeats) => {
                let start = SystemTime::now() + SCHEDULE_INTERVAL;
                repeated_job(job, rng.random_range(repeats), start, SCHEDULE_INTERVAL)
            }
            None => job,
        };
        let body = Bytes::from(job.to_string());
        let mut accepted = false;
        while Instant::now() < until {
            let response = connection.send(Method::POST, &id, body.clone()).await;
            match response.map(|response| response.status) {
                Some(StatusCode::OK) => {
                    accepted = true;
                    break;
                }
                // A replaced key is refused, and the next call draws again.
                Some(StatusCode::UNAUTHORIZED) => sleep(RETRY_INTERVAL).await,
                // The job may have been accepted.
                None | Some(StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT) => {
                    sleep(RETRY_INTERVAL).await;
                }
                Some(_) => break,
            }
        }
        let asked = {
            let mut record = record.lock().await;
            if accepted {
                record.accepted.push(id);
            } else {
                record.others += 1;
            }
            let count = record.accepted.len();
            (count > 0).then(|| record.accepted[rng.random_range(0..count)].clone())
        };
        if let Some(id) = asked
            && let Some((status, state)) = connection.state(&id).await
        {
            check_state(record, &id, status, &state).await;
        }
        sleep(Duration::from_millis(
            rng.random_range(load.pause_ms.clone()),
        ))
        .await;
    }
}

async fn check_state(record: &Mutex<CallerRecord>, id: &str, status: StatusCode, state: &str) {
    let is_unknown = status == StatusCode::GONE || status == StatusCode::NOT_FOUND;
    if is_unknown || state == "failed" || state == "cancelled" {
        let violation = format!("accepted job {id} is answered with {status} {state}");
        record.lock().await.violations.push(violation);
    }
}

/// Waits until every accepted job is completed, and records those that are not by a time.
pub async fn wait_completed(
    fronts: &[SocketAddr],
    keys: Option<&KeyRing>,
    record: &Mutex<CallerRecord>,
    until: Instant,
) {
    let mut open = record.lock().await.accepted.clone();
    let key_rng = StdRng::seed_from_u64(0);
    let mut connection = MemberConnection::open(fronts, keys, key_rng, 0, WAIT_CALL_TIMEOUT);
    loop {
        let mut rest = Vec::new();
        for id in open {
            match connection.state(&id).await {
                Some((_, state)) if state == "completed" => {}
                Some((status, state)) => {
                    check_state(record, &id, status, &state).await;
                    rest.push((id, format!("{status} {state}")));
                }
                None => rest.push((id, "no response".to_owned())),
            }
        }
        if rest.is_empty() {
            return;
        }
        if Instant::now() > until {
            let rest = rest
                .into_iter()
                .map(|(id, state)| format!("accepted job {id} is not completed: {state}"));
            record.lock().await.violations.extend(rest);
            return;
        }
        sleep(POLL_INTERVAL).await;
        open = rest.into_iter().map(|(id, _)| id).collect();
    }
}
