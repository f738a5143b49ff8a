//! Scheduler members in this process, on fakes of the users' platform.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{
    Method, StatusCode,
    header::{HOST, HeaderValue},
};
use jacinthhoist_fakes::{FakePlatform, StoreEndpoint};
use jacinthhoist_net::{BootClock, HttpClient, HttpRequest, HttpResponse};
use jacinthhoist_platform::{CallerServer, HttpPlatform, NodeSettings};
use jacinthhoist_scheduler::{EventLog, SchedulerMember};
use serde_json::Value;
use spdlog::sink::WriteSink;
use tokio::time::{Instant, sleep};

/// Time-out of waits, so that a hang fails with a message.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time-out of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Number of attempts to start a member on free ports.
const PORT_ATTEMPTS: u32 = 20;
/// Interval at which a wait checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Id of a job that does not exist; the owner's response to it shows that the owner serves.
const UNKNOWN_JOB_ID: &str = "00000000000000ff";

/// Options of a member.
#[derive(Clone, Copy, Debug)]
pub struct MemberOptions<'a> {
    /// Address under which the member reaches the store.
    pub store: SocketAddr,
    /// Text of the `[limits]` table of its settings; may be empty.
    pub limits: &'a str,
}

/// Running member with its addresses.
pub struct ScheduleMember {
    /// Address for callers.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    member: SchedulerMember<HttpPlatform>,
    server: CallerServer,
}

impl ScheduleMember {
    /// Starts a member on a platform; `nonce` distinguishes two processes of the same name.
    ///
    /// # Panics
    ///
    /// Panics if no free ports are found.
    pub async fn spawn(
        platform: &FakePlatform,
        name: &str,
        nonce: u64,
        options: MemberOptions<'_>,
    ) -> Self {
        // Another process may bind a port between its selection and its use.
        for _ in 0..PORT_ATTEMPTS {
            if let Ok(member) = Self::try_spawn(platform, name, nonce, options).await {
                return member;
            }
        }
        panic!("no free ports on loopback");
    }

    async fn try_spawn(
        platform: &FakePlatform,
        name: &str,
        nonce: u64,
        options: MemberOptions<'_>,
    ) -> jacinthhoist_scheduler::Result<Self> {
        let ports = [free_port(), free_port(), free_port()];
        let text = platform.settings(name, ports, options.store) + options.limits;
        let settings = NodeSettings::parse("node.toml", &text).expect("the settings are valid");
        let sink = WriteSink::builder().target(std::io::sink()).build_arc();
        let sink = sink.expect("the sink has a target");
        let log = EventLog::with_sink(name, BootClock::start(), sink)?;
        let client = Arc::new(HttpPlatform::open(&settings));
        let member =
            SchedulerMember::spawn(client, settings.scheduler_settings(nonce), log).await?;
        let listen = &settings.listen;
        let metrics = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = CallerServer::bind(member.callers(), listen.front, listen.ready, metrics);
        Ok(Self {
            front: listen.front,
            ready: listen.ready,
            server: server.await?,
            member,
        })
    }

    /// Hands over the owned pools, finishes the open calls and stops.
    pub async fn stop(self) {
        self.member.hand_over().await;
        self.server.wait_idle().await;
        self.member.stop().await;
    }

    /// Stops at once without a handover, like a killed process.
    pub async fn kill(self) {
        self.member.stop().await;
    }
}

/// Installation with its members.
pub struct ScheduleFleet {
    /// Fake platform.
    pub platform: FakePlatform,
    /// Running members.
    pub members: Vec<ScheduleMember>,
    pools: Vec<&'static str>,
    nonce: u64,
}

impl ScheduleFleet {
    /// Starts an installation with `workers` workers in each pool and waits until it is ready.
    pub async fn spawn(pools: &[&'static str], members: usize, workers: usize) -> Self {
        let platform = FakePlatform::spawn(pools, workers);
        let platform = platform.await.expect("loopback has free ports");
        platform.configure(1, pools);
        let mut fleet = Self {
            platform,
            members: Vec::new(),
            pools: pools.to_vec(),
            nonce: 0,
        };
        for _ in 0..members {
            fleet.add_member().await;
        }
        fleet.wait_ready().await;
        fleet
    }

    /// Starts one more member.
    pub async fn add_member(&mut self) {
        self.add_member_with(self.platform.store.address(), "")
            .await;
    }

    /// Starts one more member that reaches the store through an endpoint of its own.
    pub async fn add_with_endpoint(&mut self, endpoint: &StoreEndpoint) {
        self.add_member_with(endpoint.address(), "").await;
    }

    /// Starts one more member with little processor time and bandwidth, which owns pools only while
    /// no other member can.
    pub async fn add_reserve(&mut self) {
        let limits = "[limits]\ncpu_share = 0.12\nlink_mbps = 10\n";
        self.add_member_with(self.platform.store.address(), limits)
            .await;
    }

    /// Starts one more member that reaches the store at an address, with the text of its `[limits]` table.
    pub async fn add_member_with(&mut self, store: SocketAddr, limits: &str) {
        self.nonce += 1;
        let options = MemberOptions { store, limits };
        let name = format!("entry-{}", self.nonce);
        let member = ScheduleMember::spawn(&self.platform, &name, self.nonce, options).await;
        self.members.push(member);
    }

    /// Waits until every member is ready and reaches the owner.
    pub async fn wait_ready(&self) {
        for index in 0..self.members.len() {
            wait_for("a member to be ready and reach the owner", async || {
                let ready = get(self.members[index].ready, "", "/v1/ready").await;
                let show_status = self.show(index, self.pools[0], UNKNOWN_JOB_ID).await.0;
                ready == Some(StatusCode::OK) && show_status == Some(StatusCode::GONE)
            })
            .await;
        }
    }

    /// Submits a job; `None` if no response arrived.
    pub async fn submit(
        &self,
        index: usize,
        pool: &str,
        id: &str,
        body: &Value,
    ) -> Option<StatusCode> {
        let body = Bytes::from(body.to_string());
        let (front, path) = (self.members[index].front, job_path(id));
        let response = call(front, pool, Method::POST, &path, body).await;
        response.map(|response| response.status)
    }

    /// Cancels a job; `None` if no response arrived.
    pub async fn cancel(&self, index: usize, pool: &str, id: &str) -> Option<StatusCode> {
        let (front, path) = (self.members[index].front, job_path(id));
        let response = call(front, pool, Method::DELETE, &path, Bytes::new()).await;
        response.map(|response| response.status)
    }

    /// HTTP status and job state that a member reports for a job.
    pub async fn show(&self, index: usize, pool: &str, id: &str) -> (Option<StatusCode>, String) {
        let front = self.members[index].front;
        let response = call(front, pool, Method::GET, &job_path(id), Bytes::new()).await;
        let Some(response) = response else {
            return (None, String::new());
        };
        let body: Value = serde_json::from_slice(&response.bytes).unwrap_or_default();
        let state = body["state"].as_str().unwrap_or_default().to_owned();
        (Some(response.status), state)
    }

    /// Waits until the first member reports a state of a job.
    pub async fn wait_state(&self, pool: &str, id: &str, state: &str) {
        let description = format!("{id} to be {state}");
        wait_for(&description, async || {
            self.show(0, pool, id).await.1 == state
        })
        .await;
    }

    /// Number of completed runs on all workers for each task whose name begins with `prefix`.
    pub async fn done(&self, prefix: &str) -> BTreeMap<String, u32> {
        let mut totals = BTreeMap::new();
        for worker in &self.platform.workers {
            add_counts(&mut totals, prefix, worker.done().await);
        }
        totals
    }

    /// Number of starts on all workers of each task whose name begins with `prefix`.
    pub async fn starts(&self, prefix: &str) -> BTreeMap<String, u32> {
        let mut totals = BTreeMap::new();
        for worker in &self.platform.workers {
            add_counts(&mut totals, prefix, worker.starts().await);
        }
        totals
    }

    /// Number of tasks running on all workers whose name begins with `prefix`.
    pub async fn running(&self, prefix: &str) -> usize {
        let mut count = 0;
        for worker in &self.platform.workers {
            let running = worker.running().await;
            count += running
                .iter()
                .filter(|task| task.starts_with(prefix))
                .count();
        }
        count
    }
}

fn job_path(id: &str) -> String {
    format!("/jobs/{id}")
}

/// Status of a path; `None` if no response arrived.
pub async fn get(address: SocketAddr, pool: &str, path: &str) -> Option<StatusCode> {
    let response = call(address, pool, Method::GET, path, Bytes::new()).await;
    response.map(|response| response.status)
}

/// Sends one request to a pool's host on a new connection; `None` if no response arrived.
pub async fn call(
    address: SocketAddr,
    pool: &str,
    method: Method,
    path: &str,
    body: Bytes,
) -> Option<HttpResponse> {
    let host = HeaderValue::from_str(&format!("{pool}.example")).ok()?;
    let request = HttpRequest::new(method, path, body).header(HOST, host);
    HttpClient::new(address)
        .send(request, CALL_TIMEOUT)
        .await
        .ok()
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if the condition does not hold within a minute.
pub async fn wait_for(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(
            Instant::now() < deadline,
            "timed out after 60 s waiting for {description}"
        );
        sleep(POLL_INTERVAL).await;
    }
}

fn free_port() -> u16 {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    listener.local_addr().map_or(0, |address| address.port())
}

/// Adds the counts of tasks whose name begins with `prefix`.
fn add_counts(totals: &mut BTreeMap<String, u32>, prefix: &str, counts: BTreeMap<String, u32>) {
    let counts = counts.into_iter();
    for (task, count) in counts.filter(|(task, _)| task.starts_with(prefix)) {
        *totals.entry(task).or_default() += count;
    }
}
