//! Calls with delays, losses and cuts, and links between members.

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
    ports::{PeerListener, PeerNetwork},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf, duplex, split},
    sync::{Mutex as AsyncMutex, mpsc},
    time::{Instant, sleep, sleep_until, timeout_at},
};

/// One way between any two ends.
const LATENCY: Duration = Duration::from_millis(2);
/// Bytes that a link between members holds.
const LINK_BYTES: usize = 64 * 1024;
/// Time between two looks whether a cut has ended.
const CUT_LOOK: Duration = Duration::from_millis(20);
/// Time after which a connection attempt to a machine that does not answer is given up.
const CONNECT_LIMIT: Duration = Duration::from_secs(10);

/// An end of a call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Endpoint {
    Member(usize),
    Store,
    Machines,
    Worker(WorkerId),
}

#[derive(Debug, Default)]
struct NetworkState {
    /// Ends that nothing reaches and that reach nothing.
    cut: BTreeSet<Endpoint>,
    /// Pairs that do not reach each other.
    parted: BTreeSet<(Endpoint, Endpoint)>,
    /// Processes that have ended.
    ended: BTreeSet<Endpoint>,
    listeners: BTreeMap<SocketAddr, (usize, mpsc::UnboundedSender<DuplexStream>)>,
}

/// The network of a day.
#[derive(Debug, Default)]
pub(crate) struct Network {
    state: Mutex<NetworkState>,
}

impl Network {
    fn state(&self) -> MutexGuard<'_, NetworkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_cut(&self, end: Endpoint, cut: bool) {
        let mut state = self.state();
        if cut {
            state.cut.insert(end);
        } else {
            state.cut.remove(&end);
        }
    }

    pub(crate) fn set_parted(&self, one: Endpoint, other: Endpoint, parted: bool) {
        let mut state = self.state();
        if parted {
            state.parted.insert((one, other));
        } else {
            state.parted.remove(&(one, other));
        }
    }

    /// A process has ended, or has started.
    pub(crate) fn set_ended(&self, end: Endpoint, ended: bool) {
        let mut state = self.state();
        if ended {
            if let Endpoint::Member(at) = end {
                state.listeners.retain(|_, (member, _)| *member != at);
            }
            state.ended.insert(end);
        } else {
            state.ended.remove(&end);
        }
    }

    fn reaches(&self, from: &Endpoint, to: &Endpoint) -> bool {
        let state = self.state();
        let apart =
            |pair: (&Endpoint, &Endpoint)| state.parted.contains(&(pair.0.clone(), pair.1.clone()));
        !state.cut.contains(from)
            && !state.cut.contains(to)
            && !apart((from, to))
            && !apart((to, from))
    }

    /// Makes a call: what `serve` does may take effect though no answer comes.
    pub(crate) async fn call<T>(
        &self,
        name: &'static str,
        from: &Endpoint,
        to: &Endpoint,
        limit: Duration,
        serve: impl Future<Output = Option<Result<T>>>,
    ) -> Result<T> {
        if self.state().ended.contains(from) {
            return pending().await;
        }
        let until = Instant::now() + limit;
        let no_answer = || ErrorKind::NoAnswer {
            call: name,
            message: "no answer in time".to_owned(),
        };
        sleep(LATENCY).await;
        if self.state().ended.contains(to) {
            return Err(ErrorKind::Refused {
                call: name,
                message: "nothing listens there".to_owned(),
            }
            .into());
        }
        if !self.reaches(from, to) {
            sleep_until(until).await;
            return Err(no_answer().into());
        }
        let answer = match timeout_at(until, serve).await {
            Ok(Some(answer)) if self.reaches(from, to) => answer,
            Ok(_) => {
                sleep_until(until).await;
                return Err(no_answer().into());
            }
            Err(_) => return Err(no_answer().into()),
        };
        sleep(LATENCY).await;
        answer
    }
}

/// The links of one member to its peers.
pub(crate) struct EmulatedPeers {
    pub(crate) network: Arc<Network>,
    pub(crate) member: usize,
}

/// Takes links of other members.
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
        let ends = [Endpoint::Member(self.member), Endpoint::Member(member)];
        if !self.network.reaches(&ends[0], &ends[1]) {
            sleep(CONNECT_LIMIT).await;
            return Err(io::ErrorKind::TimedOut.into());
        }
        let (near, near_wire) = duplex(LINK_BYTES);
        let (far_wire, far) = duplex(LINK_BYTES);
        tokio::spawn(carry(self.network.clone(), ends, near_wire, far_wire));
        let sent = listener.send(far);
        sent.map_err(|_| io::Error::from(io::ErrorKind::ConnectionRefused))?;
        Ok(near)
    }
}

/// Carries bytes both ways; while its ends do not reach each other the link is silent.
async fn carry(network: Arc<Network>, ends: [Endpoint; 2], near: DuplexStream, far: DuplexStream) {
    let (near_reads, near_writes) = split(near);
    let (far_reads, far_writes) = split(far);
    tokio::join!(
        carry_way(&network, &ends, near_reads, far_writes),
        carry_way(&network, &ends, far_reads, near_writes),
    );
}

async fn carry_way(
    network: &Network,
    ends: &[Endpoint; 2],
    mut reads: ReadHalf<DuplexStream>,
    mut writes: WriteHalf<DuplexStream>,
) {
    let mut bytes = vec![0; LINK_BYTES];
    // An end that has closed its link ends this way; the other follows as it reads.
    while let Ok(count @ 1..) = reads.read(&mut bytes).await {
        sleep(LATENCY).await;
        while !network.reaches(&ends[0], &ends[1]) {
            sleep(CUT_LOOK).await;
        }
        if writes.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
    // The other end may have closed first.
    let _ = writes.shutdown().await;
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
