//! Emulated network: calls with latency, loss and partitions, and links between members.

use std::{
    collections::{BTreeMap, BTreeSet},
    future::pending,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jacinthhoist_core::WorkerId;
use jacinthhoist_scheduler::{
    ErrorKind, Result,
    ports::{OrderAuthority, PeerListener, PeerNetwork},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf, duplex, split},
    sync::{Mutex as AsyncMutex, mpsc, watch},
    time::{Instant, sleep, sleep_until, timeout_at},
};

/// One-way latency between any two endpoints.
const LATENCY: Duration = Duration::from_millis(2);
/// Buffer size of each direction of a link between members.
const LINK_BUFFER_BYTES: usize = 64 * 1024;
/// Interval at which a blocked link or call checks whether its fault has ended.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after a disruption for which an endpoint does not count as in touch.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Time after which a connection attempt to an unreachable host fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Endpoint of a call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Endpoint {
    Member(usize),
    Store,
    VmService,
    Worker(WorkerId),
}

/// Delays of a process that is late with whatever it sends and reads.
#[derive(Debug)]
struct SlowProcess {
    longest: Duration,
    rng: StdRng,
}

#[derive(Debug, Default)]
struct NetworkState {
    /// Endpoints isolated from all others.
    isolated: BTreeSet<Endpoint>,
    /// Pairs of endpoints that cannot reach each other.
    partitioned: BTreeSet<(Endpoint, Endpoint)>,
    /// Endpoints on the smaller side of each partition of the network, by the number of the partition.
    sides: BTreeMap<u64, BTreeSet<Endpoint>>,
    /// Endpoints whose process is suspended.
    suspended: BTreeSet<Endpoint>,
    /// Endpoints whose process is slow.
    slow: BTreeMap<Endpoint, SlowProcess>,
    /// Endpoints whose process has stopped.
    stopped: BTreeSet<Endpoint>,
    /// Number of times that the connections to an endpoint were reset.
    resets: BTreeMap<Endpoint, u64>,
    /// Last time at which an endpoint was isolated, partitioned or suspended, or ceased to be.
    disrupted_at: BTreeMap<Endpoint, Instant>,
    listeners: BTreeMap<SocketAddr, (usize, mpsc::UnboundedSender<DuplexStream>)>,
}

/// Emulated network of a run.
#[derive(Debug, Default)]
pub(crate) struct EmulatedNetwork {
    state: Mutex<NetworkState>,
    /// Wakes calls in progress after a reset of connections.
    reset: watch::Sender<()>,
}

impl NetworkState {
    fn record_disruption(&mut self, endpoint: &Endpoint) {
        self.disrupted_at.insert(endpoint.clone(), Instant::now());
    }
}

impl EmulatedNetwork {
    fn state(&self) -> MutexGuard<'_, NetworkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_isolated(&self, endpoint: Endpoint, isolated: bool) {
        let mut state = self.state();
        state.record_disruption(&endpoint);
        set_contained(&mut state.isolated, endpoint, isolated);
    }

    pub(crate) fn set_suspended(&self, endpoint: Endpoint, suspended: bool) {
        let mut state = self.state();
        state.record_disruption(&endpoint);
        set_contained(&mut state.suspended, endpoint, suspended);
    }

    /// Sets the longest delay of a process and the seed of its delays; none if it is not slow.
    pub(crate) fn set_slow(&self, endpoint: Endpoint, slow: Option<(Duration, u64)>) {
        let mut state = self.state();
        state.record_disruption(&endpoint);
        match slow {
            Some((longest, seed)) => {
                let rng = StdRng::seed_from_u64(seed);
                state.slow.insert(endpoint, SlowProcess { longest, rng });
            }
            None => drop(state.slow.remove(&endpoint)),
        }
    }

    /// Waits until the process at an endpoint gets to what it sends or reads: it may be suspended or slow.
    pub(crate) async fn until_resumed(&self, endpoint: &Endpoint) {
        let delay = self.state().slow.get_mut(endpoint).map(|slow| {
            let longest = slow.longest;
            slow.rng.random_range(Duration::ZERO..=longest)
        });
        if let Some(delay) = delay {
            sleep(delay).await;
        }
        while self.state().suspended.contains(endpoint) {
            sleep(FAULT_POLL_INTERVAL).await;
        }
    }

    /// Waits until the process at an endpoint is not suspended, and returns whether it may still send an
    /// order then.
    pub(crate) async fn may_send(&self, endpoint: &Endpoint, authority: OrderAuthority) -> bool {
        self.until_resumed(endpoint).await;
        !authority.expiry.has_passed()
    }

    pub(crate) fn set_partitioned(&self, one: Endpoint, other: Endpoint, partitioned: bool) {
        let mut state = self.state();
        state.record_disruption(&one);
        state.record_disruption(&other);
        set_contained(&mut state.partitioned, (one, other), partitioned);
    }

    /// Separates some endpoints from all others and returns the number of the partition.
    pub(crate) fn begin_partition(&self, side: BTreeSet<Endpoint>) -> u64 {
        let mut state = self.state();
        for endpoint in &side {
            state.record_disruption(endpoint);
        }
        let number = state.sides.keys().next_back().map_or(0, |last| last + 1);
        state.sides.insert(number, side);
        number
    }

    /// Ends a partition.
    pub(crate) fn end_partition(&self, number: u64) {
        let mut state = self.state();
        for endpoint in state.sides.remove(&number).into_iter().flatten() {
            state.record_disruption(&endpoint);
        }
    }

    /// Returns whether an endpoint has been neither cut off nor suspended for the contact time.
    pub(crate) fn is_in_touch(&self, endpoint: &Endpoint) -> bool {
        let state = self.state();
        let in_pair = |(one, other): &(Endpoint, Endpoint)| one == endpoint || other == endpoint;
        let is_disrupted = state.isolated.contains(endpoint)
            || state.suspended.contains(endpoint)
            || state.slow.contains_key(endpoint)
            || state.sides.values().any(|side| side.contains(endpoint))
            || state.partitioned.iter().any(in_pair);
        let disrupted_at = state.disrupted_at.get(endpoint);
        !is_disrupted && disrupted_at.is_none_or(|at| at.elapsed() >= CONTACT_TIME)
    }

    /// Ends the calls in progress to an endpoint.
    pub(crate) fn reset_connections(&self, endpoint: Endpoint) {
        *self.state().resets.entry(endpoint).or_default() += 1;
        self.reset.send_replace(());
    }

    /// Waits until the connections to an endpoint are reset.
    async fn until_reset(&self, endpoint: &Endpoint) {
        let mut reset = self.reset.subscribe();
        let count = || self.state().resets.get(endpoint).copied();
        let first = count();
        while count() == first {
            if reset.changed().await.is_err() {
                return pending().await;
            }
        }
    }

    /// Sets whether the process at an endpoint has stopped.
    pub(crate) fn set_stopped(&self, endpoint: Endpoint, stopped: bool) {
        let mut state = self.state();
        if stopped {
            if let Endpoint::Member(at) = endpoint {
                state.listeners.retain(|_, (member, _)| *member != at);
                state.suspended.remove(&endpoint);
            }
            state.stopped.insert(endpoint);
        } else {
            state.stopped.remove(&endpoint);
        }
    }

    fn reaches(&self, from: &Endpoint, to: &Endpoint) -> bool {
        let state = self.state();
        let is_partitioned = |pair: (&Endpoint, &Endpoint)| {
            state
                .partitioned
                .contains(&(pair.0.clone(), pair.1.clone()))
        };
        let is_divided = |side: &BTreeSet<Endpoint>| side.contains(from) != side.contains(to);
        !state.isolated.contains(from)
            && !state.isolated.contains(to)
            && !state.sides.values().any(is_divided)
            && !is_partitioned((from, to))
            && !is_partitioned((to, from))
    }

    /// Calls an endpoint. `serve` gives `None` if the endpoint does not answer; its effects remain
    /// if the answer is lost. A suspended caller sends the call, and receives its answer, once it
    /// resumes.
    pub(crate) async fn call<T>(
        &self,
        name: &'static str,
        from: &Endpoint,
        to: &Endpoint,
        timeout: Duration,
        serve: impl Future<Output = Option<Result<T>>>,
    ) -> Result<T> {
        if self.state().stopped.contains(from) {
            return pending().await;
        }
        self.until_resumed(from).await;
        let deadline = Instant::now() + timeout;
        let no_answer = || ErrorKind::NoAnswer {
            call: name,
            message: "timed out".to_owned(),
        };
        sleep(LATENCY).await;
        if self.state().stopped.contains(to) {
            return Err(ErrorKind::Refused {
                call: name,
                message: "connection refused".to_owned(),
            }
            .into());
        }
        if !self.reaches(from, to) {
            sleep_until(deadline).await;
            return Err(no_answer().into());
        }
        let answer = async {
            match timeout_at(deadline, serve).await {
                Ok(Some(answer)) if self.reaches(from, to) => {
                    sleep(LATENCY).await;
                    self.until_resumed(from).await;
                    answer
                }
                Ok(_) => {
                    sleep_until(deadline).await;
                    Err(no_answer().into())
                }
                Err(_) => Err(no_answer().into()),
            }
        };
        tokio::select! {
            biased;
            () = self.until_reset(to) => {
                self.until_resumed(from).await;
                let message = "connection reset".to_owned();
                Err(ErrorKind::NoAnswer { call: name, message }.into())
            }
            answer = answer => answer,
        }
    }
}

/// Adds an element to a set or removes it.
fn set_contained<T: Ord>(set: &mut BTreeSet<T>, element: T, contained: bool) {
    if contained {
        set.insert(element);
    } else {
        set.remove(&element);
    }
}

/// Links of one member to its peers.
pub(crate) struct EmulatedPeers {
    pub(crate) network: Arc<EmulatedNetwork>,
    pub(crate) member: usize,
}

/// Listener for links from other members.
pub(crate) struct EmulatedListener {
    links: AsyncMutex<mpsc::UnboundedReceiver<DuplexStream>>,
}

impl PeerNetwork for EmulatedPeers {
    type Stream = DuplexStream;
    type Listener = EmulatedListener;

    async fn bind(&self, address: SocketAddr) -> Result<EmulatedListener> {
        let (sender, links) = mpsc::unbounded_channel();
        let mut state = self.network.state();
        state.listeners.insert(address, (self.member, sender));
        Ok(EmulatedListener {
            links: AsyncMutex::new(links),
        })
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<DuplexStream> {
        sleep(LATENCY).await;
        let found = self.network.state().listeners.get(&address).cloned();
        let Some((member, listener)) = found else {
            return Err(io::ErrorKind::ConnectionRefused.into());
        };
        let endpoints = [Endpoint::Member(self.member), Endpoint::Member(member)];
        if !self.network.reaches(&endpoints[0], &endpoints[1]) {
            sleep(CONNECT_TIMEOUT).await;
            return Err(io::ErrorKind::TimedOut.into());
        }
        let (near, near_wire) = duplex(LINK_BUFFER_BYTES);
        let (far_wire, far) = duplex(LINK_BUFFER_BYTES);
        tokio::spawn(forward_link(
            self.network.clone(),
            endpoints,
            near_wire,
            far_wire,
        ));
        let sent = listener.send(far);
        sent.map_err(|_| io::Error::from(io::ErrorKind::ConnectionRefused))?;
        Ok(near)
    }
}

/// Forwards bytes in both directions; a link is silent while its endpoints cannot reach each other.
async fn forward_link(
    network: Arc<EmulatedNetwork>,
    endpoints: [Endpoint; 2],
    near: DuplexStream,
    far: DuplexStream,
) {
    let (near_reader, near_writer) = split(near);
    let (far_reader, far_writer) = split(far);
    tokio::join!(
        forward_direction(&network, &endpoints, near_reader, far_writer),
        forward_direction(&network, &endpoints, far_reader, near_writer),
    );
}

async fn forward_direction(
    network: &EmulatedNetwork,
    endpoints: &[Endpoint; 2],
    mut reader: ReadHalf<DuplexStream>,
    mut writer: WriteHalf<DuplexStream>,
) {
    let mut bytes = vec![0; LINK_BUFFER_BYTES];
    // An endpoint that has closed its link ends this direction; the other ends when it next reads.
    while let Ok(count @ 1..) = reader.read(&mut bytes).await {
        sleep(LATENCY).await;
        while !network.reaches(&endpoints[0], &endpoints[1]) {
            sleep(FAULT_POLL_INTERVAL).await;
        }
        for endpoint in endpoints {
            network.until_resumed(endpoint).await;
        }
        if writer.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
    // The other endpoint may have closed first.
    let _ = writer.shutdown().await;
}

impl PeerListener for EmulatedListener {
    type Stream = DuplexStream;

    async fn accept(&self) -> io::Result<DuplexStream> {
        match self.links.lock().await.recv().await {
            Some(link) => Ok(link),
            None => pending().await,
        }
    }
}
