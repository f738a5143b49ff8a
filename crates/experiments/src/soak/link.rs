//! Loopback proxy of one direction of calls between two processes, which can hold back their bytes.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
    task::JoinHandle,
    time::{sleep, timeout},
};

/// Connections that the listener queues; few, so that a held link fills the queue at once.
const BACKLOG: u32 = 4;
/// Time after which a connection that fills the queue counts as not accepted.
const FILL_TIMEOUT: Duration = Duration::from_millis(20);
/// Interval between attempts to bind the address again.
const BIND_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the parts in which bytes are passed on.
const PART_BYTES: usize = 16_384;

/// LinkDirection in which a link holds back bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDirection {
    /// From the caller to the target.
    Forward,
    /// From the target to the caller.
    Backward,
}

/// State of a link; the counts are those of the faults in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LinkState {
    forward_holds: u32,
    backward_holds: u32,
    target_down: bool,
    resets: u64,
    /// Connections with a lower number are silent: their bytes are held back, those of others pass.
    silent_below: u64,
    /// Of these, only those on which a response is awaited.
    only_awaiting: bool,
}

impl LinkState {
    fn is_held(&self, direction: LinkDirection) -> bool {
        match direction {
            LinkDirection::Forward => self.forward_holds > 0,
            LinkDirection::Backward => self.backward_holds > 0,
        }
    }

    /// Returns `true` if the bytes of a connection are held back.
    fn holds(&self, direction: LinkDirection, connection: &RelayedConnection) -> bool {
        let is_silent = connection.number < self.silent_below
            && (!self.only_awaiting || connection.is_awaiting.load(Ordering::Relaxed));
        is_silent || self.is_held(direction)
    }

    /// Returns `true` if no connection can be opened, as its first packets are lost.
    fn is_cut(&self) -> bool {
        self.is_held(LinkDirection::Forward) || self.is_held(LinkDirection::Backward)
    }
}

/// Connection that passes through a link.
struct RelayedConnection {
    number: u64,
    /// Set while the last bytes on it were those of a request.
    is_awaiting: AtomicBool,
}

/// Running proxy.
pub struct LoopbackLink {
    /// Address that the target is reached at.
    pub address: SocketAddr,
    /// Address of the target.
    pub target: SocketAddr,
    state: watch::Sender<LinkState>,
    accepted: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for LoopbackLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl LoopbackLink {
    /// Opens a link to a target.
    ///
    /// # Errors
    ///
    /// No loopback address can be bound.
    pub fn open(target: SocketAddr) -> io::Result<Self> {
        let listener = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = listener.local_addr()?;
        let (state, receiver) = watch::channel(LinkState::default());
        let accepted = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(serve(listener, target, receiver, accepted.clone()));
        Ok(Self {
            address,
            target,
            state,
            accepted,
            task,
        })
    }

    /// Holds back the bytes of one direction; new connections time out.
    pub fn hold(&self, direction: LinkDirection) {
        self.state.send_modify(|state| match direction {
            LinkDirection::Forward => state.forward_holds += 1,
            LinkDirection::Backward => state.backward_holds += 1,
        });
    }

    /// Ends one [`LoopbackLink::hold`].
    pub fn release(&self, direction: LinkDirection) {
        self.state.send_modify(|state| match direction {
            LinkDirection::Forward => state.forward_holds -= 1,
            LinkDirection::Backward => state.backward_holds -= 1,
        });
    }

    /// Holds back the bytes of the connections that are open, until [`LoopbackLink::end_silence`];
    /// new ones work.
    pub fn silence_open(&self) {
        self.silence(false);
    }

    /// Like [`LoopbackLink::silence_open`], but only for connections on which a response is awaited.
    pub fn silence_awaiting(&self) {
        self.silence(true);
    }

    fn silence(&self, only_awaiting: bool) {
        let accepted = self.accepted.load(Ordering::Relaxed);
        self.state.send_modify(|state| {
            state.silent_below = accepted;
            state.only_awaiting = only_awaiting;
        });
    }

    /// Delivers what a silence has held back.
    pub fn end_silence(&self) {
        self.state.send_modify(|state| state.silent_below = 0);
    }

    /// Resets the open connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Tells whether the target's process has ended: connections are refused, unless they are held.
    pub fn set_target_down(&self, down: bool) {
        self.state.send_modify(|state| state.target_down = down);
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn serve(
    listener: TcpListener,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
    accepted_count: Arc<AtomicU64>,
) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut listener = Some(listener);
    loop {
        let current = *state.borrow_and_update();
        if current.target_down && !current.is_cut() {
            listener = None;
            if state.changed().await.is_err() {
                return;
            }
            continue;
        }
        let Some(open) = &listener else {
            listener = listen(address).ok();
            if listener.is_none() {
                sleep(BIND_INTERVAL).await;
            }
            continue;
        };
        if current.is_cut() {
            // The system drops the first packets of connections beyond the queue.
            let fillers = fill_queue(address).await;
            while state.borrow_and_update().is_cut() {
                if state.changed().await.is_err() {
                    return;
                }
            }
            drop(fillers);
            continue;
        }
        tokio::select! {
            accepted = open.accept() => {
                if let Ok((stream, _)) = accepted {
                    let number = accepted_count.fetch_add(1, Ordering::Relaxed);
                    tokio::spawn(relay(stream, target, number, state.clone()));
                }
            }
            changed = state.changed() => if changed.is_err() {
                return;
            }
        }
    }
}

async fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut fillers = Vec::new();
    while let Ok(Ok(stream)) = timeout(FILL_TIMEOUT, TcpStream::connect(address)).await {
        fillers.push(stream);
    }
    fillers
}

/// Passes on the bytes of one connection in both directions.
async fn relay(
    mut near: TcpStream,
    target: SocketAddr,
    number: u64,
    mut state: watch::Receiver<LinkState>,
) {
    let resets = state.borrow().resets;
    let connection = RelayedConnection {
        number,
        is_awaiting: AtomicBool::new(false),
    };
    let far = TcpStream::connect(target).await;
    let Ok(mut far) = far else {
        // The connection is reset, as by a host whose process has ended. If that fails it is closed.
        let _ = near.set_zero_linger();
        return;
    };
    for stream in [&near, &far] {
        // Only the latency suffers from a failure.
        let _ = stream.set_nodelay(true);
    }
    let is_reset = {
        let (near_reader, near_writer) = near.split();
        let (far_reader, far_writer) = far.split();
        let forward = pump(
            near_reader,
            far_writer,
            LinkDirection::Forward,
            &connection,
            state.clone(),
        );
        let backward = pump(
            far_reader,
            near_writer,
            LinkDirection::Backward,
            &connection,
            state.clone(),
        );
        let both = async { tokio::join!(forward, backward) };
        tokio::select! {
            _ = both => false,
            // An error means that the link is gone, and the connection with it.
            _ = state.wait_for(|state| state.resets != resets) => true,
        }
    };
    if is_reset {
        for stream in [&near, &far] {
            // The connection is closed if it cannot be reset.
            let _ = stream.set_zero_linger();
        }
    }
}

async fn pump(
    mut reader: ReadHalf<'_>,
    mut writer: WriteHalf<'_>,
    direction: LinkDirection,
    connection: &RelayedConnection,
    mut state: watch::Receiver<LinkState>,
) {
    let mut part = vec![0; PART_BYTES];
    loop {
        let count = reader.read(&mut part).await;
        let open = state.wait_for(|state| !state.holds(direction, connection));
        if open.await.is_err() {
            return;
        }
        match count {
            Ok(count) if count > 0 => {
                let is_request = direction == LinkDirection::Forward;
                connection.is_awaiting.store(is_request, Ordering::Relaxed);
                if writer.write_all(&part[..count]).await.is_err() {
                    return;
                }
            }
            _ => {
                // The other side may have closed the connection already.
                let _ = writer.shutdown().await;
                return;
            }
        }
    }
}
