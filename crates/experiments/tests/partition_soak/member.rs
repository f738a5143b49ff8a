//! Scheduler member on a runtime of its own, whose calls pass through loopback links.

use std::{
    collections::HashMap, fs::File, io, net::SocketAddr, path::Path, sync::Arc, time::Duration,
};

use jacinthhoist_codec::KeyedRecord;
use jacinthhoist_core::{
    ClockTime, PoolName, VmName, WorkerId,
    job::{OrderReply, StepAdvice, StepKey},
};
use jacinthhoist_net::{BootClock, WallClock};
use jacinthhoist_platform::{CallerServer, HttpPlatform, NodeSettings};
use jacinthhoist_scheduler::{
    EventLog, Result, SchedulerMember, TcpPeers,
    ports::{
        AppendSequence, Membership, NewestPage, OperatorRecord, OrderAuthority, PeerNetwork,
        Platform, ReadPage, StoreStream, VmListing, WorkerRecord,
    },
};
use spdlog::sink::WriteSink;
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::{Builder, Runtime},
    time::{Instant, sleep},
};

/// Threads of a member.
const MEMBER_THREADS: usize = 2;

/// Addresses of the links of a member by the address of their target.
pub(crate) type LinkAddresses = Arc<HashMap<SocketAddr, SocketAddr>>;

/// Platform whose workers are reached through links. The addresses of the store and the VM service
/// are those of links already.
struct LinkedPlatform {
    platform: HttpPlatform,
    links: LinkAddresses,
}

impl Platform for LinkedPlatform {
    type Worker = <HttpPlatform as Platform>::Worker;

    async fn append(
        &self,
        stream: StoreStream,
        sequence: &AppendSequence,
        records: &[KeyedRecord],
        limit: ClockTime,
    ) -> Result<()> {
        self.platform.append(stream, sequence, records, limit).await
    }

    async fn newest(&self, stream: StoreStream, after: Option<String>) -> Result<NewestPage> {
        self.platform.newest(stream, after).await
    }

    async fn read(
        &self,
        stream: StoreStream,
        from: u64,
        wait: ClockTime,
    ) -> Result<ReadPage<KeyedRecord>> {
        self.platform.read(stream, from, wait).await
    }

    async fn operator_newest(&self) -> Result<ReadPage<OperatorRecord>> {
        self.platform.operator_newest().await
    }

    async fn operator_read(&self, from: u64, wait: ClockTime) -> Result<ReadPage<OperatorRecord>> {
        self.platform.operator_read(from, wait).await
    }

    async fn workers_newest(&self) -> Result<ReadPage<WorkerRecord>> {
        self.platform.workers_newest().await
    }

    async fn workers_read(&self, from: u64) -> Result<ReadPage<WorkerRecord>> {
        self.platform.workers_read(from).await
    }

    async fn join(&self, member: &str, generation: u64, lifetime: ClockTime) -> Result<Membership> {
        self.platform.join(member, generation, lifetime).await
    }

    async fn leave(&self, member: &str) -> Result<()> {
        self.platform.leave(member).await
    }

    async fn owner(&self) -> Result<Option<String>> {
        self.platform.owner().await
    }

    async fn write_wave(&self, wave: u64, completed: bool) -> Result<()> {
        self.platform.write_wave(wave, completed).await
    }

    async fn advise(
        &self,
        step: StepKey,
        workers: &[WorkerId],
        limit: ClockTime,
    ) -> Result<StepAdvice> {
        self.platform.advise(step, workers, limit).await
    }

    async fn list_vms(&self) -> Result<VmListing> {
        self.platform.list_vms().await
    }

    async fn move_vm(&self, vm: &VmName, to: &PoolName, authority: OrderAuthority) -> OrderReply {
        self.platform.move_vm(vm, to, authority).await
    }

    async fn maintain_vm(&self, vm: &VmName, wave: u64, authority: OrderAuthority) -> OrderReply {
        self.platform.maintain_vm(vm, wave, authority).await
    }

    fn worker(&self, id: &WorkerId, address: &str) -> Result<Self::Worker> {
        let link = address
            .parse()
            .ok()
            .and_then(|address| self.links.get(&address));
        let link = link.map(ToString::to_string);
        self.platform.worker(id, link.as_deref().unwrap_or(address))
    }
}

/// Network in which other members are reached through links.
struct LinkedPeers(LinkAddresses);

impl PeerNetwork for LinkedPeers {
    type Stream = TcpStream;
    type Listener = TcpListener;

    async fn bind(&self, address: SocketAddr) -> Result<TcpListener> {
        TcpPeers.bind(address).await
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let link = self.0.get(&address).copied().unwrap_or(address);
        TcpPeers.connect(link).await
    }
}

/// Running member.
pub(crate) struct SoakMember {
    runtime: Runtime,
    member: SchedulerMember<LinkedPlatform>,
    server: CallerServer,
}

impl SoakMember {
    /// Starts a member from the text of its settings file, on a machine with this wall clock; its log lines, by the
    /// real time, are appended to `log`.
    pub(crate) async fn spawn(
        settings: &str,
        wall: WallClock,
        links: LinkAddresses,
        log: Option<&Path>,
    ) -> std::result::Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let settings = NodeSettings::parse("node.toml", settings)?;
        let target: Box<dyn io::Write + Send> = match log {
            Some(path) => Box::new(File::options().create(true).append(true).open(path)?),
            None => Box::new(io::sink()),
        };
        let sink = WriteSink::builder().target(target).build_arc()?;
        let log = EventLog::with_sink(&settings.node_name, BootClock::start(), sink)?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(MEMBER_THREADS)
            .enable_all()
            .build()?;
        let started = runtime.spawn(async move {
            let platform = Arc::new(LinkedPlatform {
                platform: HttpPlatform::open(&settings),
                links: links.clone(),
            });
            let scheduler = settings.scheduler_settings(wall.now().as_millis());
            let (peers, clocks) = (LinkedPeers(links), (BootClock::start_at(wall.now()), wall));
            let member = SchedulerMember::spawn_on(platform, peers, clocks, scheduler, log).await?;
            let listen = &settings.listen;
            let metrics = SocketAddr::from(([127, 0, 0, 1], 0));
            let server =
                CallerServer::bind(member.callers(), listen.front, listen.ready, metrics).await?;
            jacinthhoist_scheduler::Result::<_>::Ok((member, server))
        });
        match started.await? {
            Ok((member, server)) => Ok(Self {
                runtime,
                member,
                server,
            }),
            Err(error) => {
                runtime.shutdown_background();
                Err(error.into())
            }
        }
    }

    /// Hands over the pools, finishes the open calls and stops.
    pub(crate) async fn stop(self) {
        let (member, server) = (self.member, self.server);
        let stopped = self.runtime.spawn(async move {
            member.hand_over().await;
            server.wait_idle().await;
            member.stop().await;
        });
        stopped.await.expect("a stopping member does not panic");
        self.runtime.shutdown_background();
    }

    /// Keeps all threads of the member busy for `stall` at a time until `until`, with gaps between: a process that is
    /// late with its steps and with whatever it sends and reads.
    pub(crate) fn slow_down(&self, stall: Duration, gap: Duration, until: Instant) {
        for _ in 0..MEMBER_THREADS {
            self.runtime.spawn(async move {
                while Instant::now() < until {
                    std::thread::sleep(stall);
                    sleep(gap).await;
                }
            });
        }
    }

    /// Ends at once, like a killed process.
    pub(crate) fn abort(self) {
        self.runtime.shutdown_background();
    }
}
