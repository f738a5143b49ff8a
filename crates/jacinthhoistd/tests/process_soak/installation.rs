//! Member processes, stand-ins of the platform and the links between them.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use hyper::StatusCode;
use jacinthhoist_experiments::{
    schedule::{get, wait_for},
    soak::{LinkDirection, LoopbackLink},
};
use jacinthhoist_fakes::{FakePlatform, KeyedLog, StoreEndpoint};
use tokio::{
    sync::Mutex,
    time::{Instant, sleep},
};

use crate::process::{MemberProcess, ProcessSignal};

/// Number of workers.
pub(crate) const WORKERS: usize = 6;
/// Pool of the workers.
pub(crate) const POOL: &str = "mould";
/// Longest lease that workers grant: longer than the one that owners ask for, so that a lease that is
/// too long shows.
pub(crate) const LONGEST_LEASE: Duration = Duration::from_secs(10);
/// Interval at which workers renew their entries, as the platform's pages state it.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time from the termination signal to the kill of a member.
const STOP_GRACE: Duration = Duration::from_secs(6);
/// Ports of a member for callers, readiness checks and other members, on an address of its own.
const MEMBER_PORTS: [u16; 3] = [12_001, 12_002, 12_010];
/// Interval at which a start is looked for.
const START_POLL: Duration = Duration::from_millis(2);
/// Addresses of one installation.
const HOSTS: u8 = 8;
/// Number of such ranges.
const INSTALLATIONS: u64 = 31;
/// Attempts to start a member.
const START_ATTEMPTS: u32 = 20;
/// Time in which a process that cannot start ends.
const START_TIME: Duration = Duration::from_millis(150);

/// Member with its place in the network.
struct MemberSite {
    address: IpAddr,
    /// The store's address for this member.
    store: StoreEndpoint,
    store_link: LoopbackLink,
    worker_links: Vec<LoopbackLink>,
    process: Mutex<Option<MemberProcess>>,
}

/// Bytes that a cut holds back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CutKind {
    Both,
    /// From the member.
    Outbound,
    /// To the member.
    Inbound,
}

/// Cut of some links, which lasts until it is dropped.
pub(crate) struct LinkCut<'a> {
    links: Vec<&'a LoopbackLink>,
    kind: CutKind,
}

impl<'a> LinkCut<'a> {
    pub(crate) fn begin(links: Vec<&'a LoopbackLink>, kind: CutKind, reset: bool) -> Self {
        for link in &links {
            for direction in kind.directions() {
                link.hold(*direction);
            }
            if reset {
                link.reset();
            }
        }
        Self { links, kind }
    }
}

impl Drop for LinkCut<'_> {
    fn drop(&mut self) {
        for link in &self.links {
            for direction in self.kind.directions() {
                link.release(*direction);
            }
        }
    }
}

impl CutKind {
    fn directions(self) -> &'static [LinkDirection] {
        match self {
            Self::Both => &[LinkDirection::Forward, LinkDirection::Backward],
            Self::Outbound => &[LinkDirection::Forward],
            Self::Inbound => &[LinkDirection::Backward],
        }
    }
}

/// Running installation.
pub(crate) struct ProcessInstallation<'a> {
    pub(crate) platform: FakePlatform,
    sites: Vec<MemberSite>,
    /// Folder of the members' files.
    folder: &'a Path,
    next_number: AtomicU64,
    origin: Instant,
    /// Text of the `[limits]` table of the members' settings; may be empty.
    limits: &'static str,
}

impl<'a> ProcessInstallation<'a> {
    /// Starts all members and waits until they are ready.
    pub(crate) async fn spawn(members: usize, folder: &'a Path, limits: &'static str) -> Self {
        let platform = FakePlatform::spawn_beating(&[POOL], WORKERS, HEARTBEAT).await;
        let mut platform = platform.expect("loopback has free ports");
        platform.set_longest_lease(LONGEST_LEASE).await;
        platform.configure(1, &[POOL]);
        let mut sites = Vec::new();
        let first_host = next_hosts();
        for index in 0..members {
            sites.push(open_site(&platform, index, first_host).await);
        }
        let installation = Self {
            platform,
            sites,
            folder,
            next_number: AtomicU64::new(1),
            origin: Instant::now(),
            limits,
        };
        for index in 0..members {
            installation.start(index).await;
        }
        for site in &installation.sites {
            let ready = SocketAddr::new(site.address, MEMBER_PORTS[1]);
            wait_for("a member to be ready", async || {
                get(ready, "", "/v1/ready").await == Some(StatusCode::OK)
            })
            .await;
        }
        installation
    }

    /// Sets the time that the notes of faults count from.
    pub(crate) fn begin(&mut self, origin: Instant) {
        self.origin = origin;
    }

    /// Prints a fault with its time, for the trace of a run.
    pub(crate) fn note(&self, text: &str) {
        println!("  {:.3} {text}", self.origin.elapsed().as_secs_f64());
    }

    /// Number of members.
    pub(crate) fn members(&self) -> usize {
        self.sites.len()
    }

    /// Addresses of the members for callers.
    pub(crate) fn fronts(&self) -> Vec<SocketAddr> {
        let addresses = self.sites.iter().map(|site| site.address);
        addresses
            .map(|address| SocketAddr::new(address, MEMBER_PORTS[0]))
            .collect()
    }

    /// Link from a member to the store.
    pub(crate) fn store_link(&self, member: usize) -> &LoopbackLink {
        &self.sites[member].store_link
    }

    /// The store's address for a member.
    pub(crate) fn store(&self, member: usize) -> &StoreEndpoint {
        &self.sites[member].store
    }

    /// Link from a member to a worker.
    pub(crate) fn worker_link(&self, member: usize, worker: usize) -> &LoopbackLink {
        &self.sites[member].worker_links[worker]
    }

    /// Resets all connections of a member to the store and the workers.
    pub(crate) fn reset_member(&self, member: usize) {
        let site = &self.sites[member];
        site.store_link.reset();
        site.worker_links.iter().for_each(LoopbackLink::reset);
    }

    /// Index of the member that the store names as the owner.
    pub(crate) async fn owner(&self) -> Option<usize> {
        let key = self.platform.store.owner().await?;
        let name = key.split('|').next()?;
        name.strip_prefix("entry-")?.parse().ok()
    }

    /// Worker that a run began on last, which is likely to get the next one.
    pub(crate) async fn newest_start(&self) -> usize {
        let mut newest = (None, 0);
        for (index, worker) in self.platform.workers.iter().enumerate() {
            let began_at = worker.history().await.last().map(|run| run.began_at);
            newest = newest.max((began_at, index));
        }
        newest.1
    }

    /// Waits until the worker's process has begun a run, for at most this time; returns `true` if it
    /// has.
    pub(crate) async fn await_start(&self, worker: usize, limit: Duration) -> bool {
        let worker = &self.platform.workers[worker];
        let until = Instant::now() + limit;
        while worker.running().await.is_empty() {
            if Instant::now() >= until {
                return false;
            }
            sleep(START_POLL).await;
        }
        true
    }

    /// Assigns the pools to a member; returns `false` if the store does not count it as present.
    pub(crate) async fn assign(&self, member: usize) -> bool {
        let name = member_name(member);
        self.platform.store.assign_all(&name).await
    }

    /// Starts a member that is down.
    pub(crate) async fn start(&self, index: usize) {
        let (site, name) = (&self.sites[index], member_name(index));
        let store = site.store_link.address;
        let settings = self.platform.settings(&name, MEMBER_PORTS, store);
        let address = site.address;
        let settings = ["ip = \"", "front = \"", "ready = \""]
            .iter()
            .fold(settings, |text, key| {
                text.replace(&format!("{key}127.0.0.1"), &format!("{key}{address}"))
            });
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings + self.limits).expect("the folder can be written");
        let log = self.folder.join(format!("{name}.log"));
        let mut slot = site.process.lock().await;
        for _ in 0..START_ATTEMPTS {
            let number = self.next_number.fetch_add(1, Ordering::Relaxed);
            let process = MemberProcess::spawn(&path, &log, number);
            let mut process = process.expect("the daemon can be started");
            sleep(START_TIME).await;
            if !process.has_ended() {
                *slot = Some(process);
                return;
            }
        }
        panic!("{name} does not start, see {}", log.display());
    }

    /// Sends a signal to the process of a member; returns the number of that process.
    pub(crate) async fn signal(&self, index: usize, signal: ProcessSignal) -> Option<u64> {
        let slot = self.sites[index].process.lock().await;
        let process = slot.as_ref()?;
        process.signal(signal).await;
        Some(process.number)
    }

    /// Continues a process that was stopped, unless it has been replaced.
    pub(crate) async fn resume(&self, index: usize, number: u64) {
        let slot = self.sites[index].process.lock().await;
        if let Some(process) = slot.as_ref().filter(|process| process.number == number) {
            process.signal(ProcessSignal::Continue).await;
        }
    }

    /// Ends a member at once, or orderly within its grace period; returns `false` if it was killed.
    pub(crate) async fn end(&self, index: usize, orderly: bool) -> bool {
        let mut grace = Duration::ZERO;
        if orderly {
            self.signal(index, ProcessSignal::Terminate).await;
            grace = STOP_GRACE;
        }
        let until = Instant::now() + grace;
        // The process can be stopped and continued meanwhile.
        while Instant::now() < until {
            let mut slot = self.sites[index].process.lock().await;
            if slot.as_mut().is_none_or(MemberProcess::has_ended) {
                break;
            }
            drop(slot);
            sleep(Duration::from_millis(20)).await;
        }
        let mut slot = self.sites[index].process.lock().await;
        let Some(mut process) = slot.take() else {
            return true;
        };
        process.wait_end(Duration::ZERO).await
    }

    /// Ends all members at once.
    pub(crate) async fn close(&self) {
        for index in 0..self.members() {
            self.end(index, false).await;
        }
    }
}

fn member_name(index: usize) -> String {
    format!("entry-{index}")
}

/// Opens the links of a member and registers the workers with their addresses for it.
async fn open_site(platform: &FakePlatform, index: usize, first_host: u8) -> MemberSite {
    let topic = KeyedLog::view_topic(index);
    let store = platform.store.open_view(&topic).await;
    let store = store.expect("loopback has free ports");
    let store_link = LoopbackLink::open(store.address()).expect("loopback has free ports");
    let links = platform.workers.iter().map(|worker| {
        let link = LoopbackLink::open(worker.address()).expect("loopback has free ports");
        worker.register_in(&topic, link.address);
        link
    });
    MemberSite {
        address: member_address(first_host + index as u8),
        store,
        store_link,
        worker_links: links.collect(),
        process: Mutex::new(None),
    }
}

/// First of the hosts of an installation; those of installations at the same time do not meet.
fn next_hosts() -> u8 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed) % INSTALLATIONS;
    1 + HOSTS * number as u8
}

/// Loopback address of a member, in a range of this process: the port of the metrics is the same for
/// all members.
fn member_address(host: u8) -> IpAddr {
    let [high, low] = ((std::process::id() % 50_000) as u16).to_be_bytes();
    Ipv4Addr::new(127, 32 + high, low, host).into()
}
