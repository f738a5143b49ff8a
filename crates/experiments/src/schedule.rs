//! Members of the scheduler in this process, on stand-ins for the users' platform.

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

/// Ends a hang.
const HANG: Duration = Duration::from_secs(60);
/// Time for one call.
const CALL: Duration = Duration::from_secs(8);
/// Choices of ports before a member gives up.
const PORT_TRIES: u32 = 20;
/// Pause between two looks at something that is waited for.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
/// The answer to a question about a job that there is not, by which an owner is known to serve.
const NO_JOB: &str = "00000000000000ff";

/// Where a member stands.
#[derive(Clone, Copy, Debug)]
pub struct MemberOptions<'a> {
    /// Where it reaches the store.
    pub store: SocketAddr,
    /// The table of its settings that says what it has for its work; may be empty.
    pub limits: &'a str,
}

/// A running member with its callers' addresses.
pub struct ScheduleMember {
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where it says whether it is ready.
    pub ready: SocketAddr,
    member: SchedulerMember<HttpPlatform>,
    server: CallerServer,
}

impl ScheduleMember {
    /// Starts a member on a platform; `nonce` tells two lives of a name apart.
    ///
    /// # Panics
    ///
    /// When no free ports are found.
    pub async fn spawn(
        platform: &FakePlatform,
        name: &str,
        nonce: u64,
        place: MemberOptions<'_>,
    ) -> Self {
        // Another process may take a port between its choice and its use.
        for _ in 0..PORT_TRIES {
            if let Ok(member) = Self::try_spawn(platform, name, nonce, place).await {
                return member;
            }
        }
        panic!("no free ports on loopback");
    }

    async fn try_spawn(
        platform: &FakePlatform,
        name: &str,
        nonce: u64,
        place: MemberOptions<'_>,
    ) -> jacinthhoist_scheduler::Result<Self> {
        let ports = [free_port(), free_port(), free_port()];
        let text = platform.settings(name, ports, place.store) + place.limits;
        let settings = NodeSettings::parse("node.toml", &text).expect("the settings are whole");
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

    /// Stops as planned.
    pub async fn stop(self) {
        self.member.hand_over().await;
        self.server.wait_idle().await;
        self.member.stop().await;
    }

    /// Ends at once, as a killed process does.
    pub async fn kill(self) {
        self.member.stop().await;
    }
}

/// An installation with its members.
pub struct ScheduleFleet {
    /// The platform.
    pub platform: FakePlatform,
    /// The members.
    pub members: Vec<ScheduleMember>,
    pools: Vec<&'static str>,
    nonce: u64,
}

impl ScheduleFleet {
    /// Starts an installation with `workers` in each pool, and waits until it is ready.
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
        self.add_with(self.platform.store.address(), "").await;
    }

    /// Starts one more member that reaches the store at an address of its own.
    pub async fn add_with_endpoint(&mut self, door: &StoreEndpoint) {
        self.add_with(door.address(), "").await;
    }

    /// Starts one more member on a thin link, which owns the pools only while no other can.
    pub async fn add_reserve(&mut self) {
        let limits = "[limits]\ncpu_share = 0.12\nlink_mbps = 10\n";
        self.add_with(self.platform.store.address(), limits).await;
    }

    async fn add_with(&mut self, store: SocketAddr, limits: &str) {
        self.nonce += 1;
        let place = MemberOptions { store, limits };
        let name = format!("entry-{}", self.nonce);
        let member = ScheduleMember::spawn(&self.platform, &name, self.nonce, place).await;
        self.members.push(member);
    }

    /// Waits until each member is ready and finds the owner.
    pub async fn wait_ready(&self) {
        for at in 0..self.members.len() {
            wait_for("a member that is ready and finds the owner", async || {
                let ready = get(self.members[at].ready, "", "/v1/ready").await;
                let known = self.show(at, self.pools[0], NO_JOB).await.0;
                ready == Some(StatusCode::OK) && known == Some(StatusCode::GONE)
            })
            .await;
        }
    }

    /// Hands a job in; none where no answer came.
    pub async fn submit(
        &self,
        at: usize,
        pool: &str,
        id: &str,
        body: &Value,
    ) -> Option<StatusCode> {
        let body = Bytes::from(body.to_string());
        let (front, path) = (self.members[at].front, job_path(id));
        let answer = call(front, pool, Method::POST, &path, body).await;
        answer.map(|answer| answer.status)
    }

    /// Cancels a job; none where no answer came.
    pub async fn cancel(&self, at: usize, pool: &str, id: &str) -> Option<StatusCode> {
        let (front, path) = (self.members[at].front, job_path(id));
        let answer = call(front, pool, Method::DELETE, &path, Bytes::new()).await;
        answer.map(|answer| answer.status)
    }

    /// The status and state of a job, as a member tells them.
    pub async fn show(&self, at: usize, pool: &str, id: &str) -> (Option<StatusCode>, String) {
        let front = self.members[at].front;
        let answer = call(front, pool, Method::GET, &job_path(id), Bytes::new()).await;
        let Some(answer) = answer else {
            return (None, String::new());
        };
        let body: Value = serde_json::from_slice(&answer.bytes).unwrap_or_default();
        let state = body["state"].as_str().unwrap_or_default().to_owned();
        (Some(answer.status), state)
    }

    /// Waits until the first member tells a state of a job.
    pub async fn wait_state(&self, pool: &str, id: &str, state: &str) {
        let what = format!("{id} to be {state}");
        wait_for(&what, async || self.show(0, pool, id).await.1 == state).await;
    }

    /// How often each task was done whose name begins with `prefix`, over all workers.
    pub async fn done(&self, prefix: &str) -> BTreeMap<String, u32> {
        let mut all = BTreeMap::new();
        for worker in &self.platform.workers {
            let done = worker.done().await.into_iter();
            for (task, count) in done.filter(|(task, _)| task.starts_with(prefix)) {
                *all.entry(task).or_default() += count;
            }
        }
        all
    }

    /// Tasks that run now whose name begins with `prefix`, over all workers.
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

/// The status of a path; none where no answer came.
pub async fn get(address: SocketAddr, pool: &str, path: &str) -> Option<StatusCode> {
    let answer = call(address, pool, Method::GET, path, Bytes::new()).await;
    answer.map(|answer| answer.status)
}

/// One call to a pool's host, on a connection of its own; none where no answer came.
pub async fn call(
    address: SocketAddr,
    pool: &str,
    method: Method,
    path: &str,
    body: Bytes,
) -> Option<HttpResponse> {
    let host = HeaderValue::from_str(&format!("{pool}.example")).ok()?;
    let call = HttpRequest::new(method, path, body).header(HOST, host);
    HttpClient::new(address).send(call, CALL).await.ok()
}

/// Waits until something holds.
///
/// # Panics
///
/// When it does not hold for a minute.
pub async fn wait_for(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let until = Instant::now() + HANG;
    while !holds().await {
        assert!(Instant::now() < until, "still waiting for {what}");
        sleep(LOOK_PAUSE).await;
    }
}

fn free_port() -> u16 {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    listener.local_addr().map_or(0, |address| address.port())
}
