//! Members, stand-ins of the platform and the network between them.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicI64, AtomicU16, Ordering},
    },
    time::Duration,
};

use hyper::StatusCode;
use jacinthhoist_experiments::{
    schedule::{get, wait_for},
    soak::KeyRing,
};
use jacinthhoist_fakes::FakePlatform;
use jacinthhoist_net::{BootClock, WallClock};
use serde_json::json;
use tokio::{
    sync::Mutex,
    time::{Instant, sleep},
};

use crate::{
    REVOCATION, TENANT_TASKS,
    member::SoakMember,
    network::{NetworkNode, SoakNetwork},
};

/// Number of members.
pub(crate) const MEMBERS: usize = 4;
/// Number of workers.
pub(crate) const WORKERS: usize = 6;
/// Longest lease that workers grant: longer than the one that owners ask for, so that a lease that is
/// too long shows.
const LONGEST_LEASE: Duration = Duration::from_secs(10);
/// Pool of the workers.
pub(crate) const POOL: &str = "mould";
/// First port of the members: below those that the system gives to outgoing connections, so that none
/// takes the port of a member that is down.
const FIRST_PORT: u16 = 12_000;
/// Number of ports that the members of one process choose from.
const PORT_SPAN: u16 = 500;
/// Number of such ranges.
const PORT_RANGES: u16 = 40;
/// Attempts to start a member at its addresses.
const START_ATTEMPTS: u32 = 100;
/// Interval between these attempts: a member that was aborted still closes its listeners.
const START_INTERVAL: Duration = Duration::from_millis(50);

/// Running installation.
pub(crate) struct SoakInstallation {
    pub(crate) platform: FakePlatform,
    pub(crate) network: SoakNetwork,
    ports: Vec<[u16; 3]>,
    members: Vec<Mutex<Option<SoakMember>>>,
    /// Milliseconds by which the wall clock of each member's machine is ahead.
    clock_offsets: Vec<Arc<AtomicI64>>,
    /// Folder of the members' log lines.
    logs: Option<PathBuf>,
}

impl SoakInstallation {
    /// Starts all members and waits until they are ready.
    pub(crate) async fn spawn(logs: Option<PathBuf>, keys: &KeyRing) -> Self {
        let platform = FakePlatform::spawn(&[POOL], WORKERS).await;
        let mut platform = platform.expect("loopback has free ports");
        platform.set_longest_lease(LONGEST_LEASE).await;
        platform.set_revocation(REVOCATION);
        let ports: Vec<[u16; 3]> = (0..MEMBERS)
            .map(|_| [free_port(), free_port(), free_port()])
            .collect();
        let mut targets = vec![
            (NetworkNode::Store, platform.store.address()),
            (NetworkNode::Vms, platform.machines.address()),
        ];
        let workers = platform.workers.iter().enumerate();
        targets
            .extend(workers.map(|(index, worker)| (NetworkNode::Worker(index), worker.address())));
        let members = ports.iter().enumerate();
        targets.extend(
            members.map(|(index, [_, _, peer])| (NetworkNode::Member(index), local(*peer))),
        );
        let installation = Self {
            network: SoakNetwork::open(MEMBERS, &targets).expect("loopback has free ports"),
            platform,
            ports,
            members: (0..MEMBERS).map(|_| Mutex::new(None)).collect(),
            clock_offsets: (0..MEMBERS).map(|_| Arc::default()).collect(),
            logs,
        };
        installation.configure(1, &[POOL], &keys.present().await);
        for index in 0..MEMBERS {
            installation.start(index).await;
        }
        for index in 0..MEMBERS {
            wait_for("a member to be ready", async || {
                get(local(installation.ports[index][1]), "", "/v1/ready").await
                    == Some(StatusCode::OK)
            })
            .await;
        }
        installation
    }

    /// Writes the operators' configuration, with one tenant and its key.
    pub(crate) fn configure(&self, version: u64, pools: &[&str], key: &str) {
        let limit = 1_000 * TENANT_TASKS;
        let tenants =
            json!([{"name": "soak", "api_keys": [key], "weight": 100, "cap": {"cpu": limit}}]);
        self.platform
            .configure_tenants(version, pools, &[], tenants);
    }

    /// Address of a member for callers.
    pub(crate) fn front(&self, member: usize) -> SocketAddr {
        local(self.ports[member][0])
    }

    /// Steps the wall clock of a member's machine, which a process reads when it starts.
    pub(crate) fn step_clock(&self, index: usize, step_ms: i64) {
        self.clock_offsets[index].fetch_add(step_ms, Ordering::Relaxed);
    }

    /// Starts a member that is down.
    pub(crate) async fn start(&self, index: usize) {
        let name = format!("entry-{index}");
        let store = self.network.address(index, NetworkNode::Store);
        let settings = self.platform.settings(&name, self.ports[index], store);
        let vms = self.network.address(index, NetworkNode::Vms).to_string();
        let settings = settings.replace(&self.platform.machines.address().to_string(), &vms);
        let log = self
            .logs
            .as_ref()
            .map(|folder| folder.join(format!("{name}.log")));
        let mut last_error = None;
        for _ in 0..START_ATTEMPTS {
            let wall = WallClock::Shifted {
                clock: BootClock::start(),
                ahead_ms: self.clock_offsets[index].clone(),
            };
            let links = self.network.addresses(index);
            match SoakMember::spawn(&settings, wall, links, log.as_deref()).await {
                Ok(member) => {
                    *self.members[index].lock().await = Some(member);
                    self.network.set_member_down(index, false);
                    return;
                }
                Err(error) => last_error = Some(error),
            }
            sleep(START_INTERVAL).await;
        }
        panic!("{name} does not start: {last_error:?}");
    }

    /// Slows a member down unless it is down.
    pub(crate) async fn slow_down(
        &self,
        index: usize,
        stall: Duration,
        gap: Duration,
        until: Instant,
    ) {
        if let Some(member) = &*self.members[index].lock().await {
            member.slow_down(stall, gap, until);
        }
    }

    /// Ends a member, orderly or at once; returns `false` if it is down.
    pub(crate) async fn end(&self, index: usize, orderly: bool) -> bool {
        let Some(member) = self.members[index].lock().await.take() else {
            return false;
        };
        if orderly {
            member.stop().await;
        } else {
            member.abort();
        }
        self.network.set_member_down(index, true);
        true
    }

    /// Ends all members at once.
    pub(crate) async fn close(&self) {
        for index in 0..MEMBERS {
            self.end(index, false).await;
        }
    }

    /// Index of the member that the store names as the owner.
    pub(crate) async fn owner(&self) -> Option<usize> {
        let key = self.platform.store.owner().await?;
        let name = key.split('|').next()?;
        name.strip_prefix("entry-")?.parse().ok()
    }
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Port that is free, in a range of this process.
fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let range = (std::process::id() % u32::from(PORT_RANGES)) as u16;
    loop {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed) % PORT_SPAN;
        let port = FIRST_PORT + range * PORT_SPAN + offset;
        if std::net::TcpListener::bind(local(port)).is_ok() {
            return port;
        }
    }
}
