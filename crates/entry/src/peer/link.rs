//! Links: the connection that this member opens to each peer, checked by heartbeats and replaced
//! after a timeout.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use jacinthhoist_codec::{ClaimReply, HeartbeatFrame, HelloFrame, PeerFrame, PoolLoad};
use jacinthhoist_core::{MemberJoin, MemberName, PoolName};
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
    task::JoinHandle,
    time::{Instant, interval, sleep, timeout},
};
use tokio_tungstenite::{WebSocketStream, client_async};

use super::{
    frames,
    loans::LoanTable,
    serve,
    table::{LinkMessage, PeerView},
};
use crate::{
    context::{MemberContext, StopPhase},
    control::FoldHandle,
};

/// Interval between checks for links to open or close.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before a link that ended is reopened.
const REOPEN_DELAY: Duration = Duration::from_millis(250);
/// Number of heartbeats per heartbeat that lists every pool.
const HEARTBEATS_PER_FULL_LIST: u64 = 20;
/// Divisor of a pool's slots: the pool is listed when its load has changed by at least the
/// quotient.
const LOAD_CHANGE_DIVISOR: u32 = 8;

/// Task that maintains a link to every live member.
pub(crate) struct LinkTask {
    context: Arc<MemberContext>,
    fold: FoldHandle,
    links: BTreeMap<MemberName, PeerLink>,
}

/// Running link, closed on drop.
struct PeerLink {
    nonce: u64,
    task: JoinHandle<()>,
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl LinkTask {
    pub(crate) fn new(context: Arc<MemberContext>, fold: FoldHandle) -> Self {
        Self {
            context,
            fold,
            links: BTreeMap::new(),
        }
    }

    /// Runs until the member has ended.
    pub(crate) async fn run(mut self) {
        let context = self.context.clone();
        let mut tick = interval(CHECK_INTERVAL);
        let ended = context.wait_for_stop(StopPhase::Ended);
        tokio::pin!(ended);
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = &mut ended => return,
            }
            self.update_links();
        }
    }

    fn update_links(&mut self) {
        let state = self.context.state.load_full();
        let members = state.members();
        let departed: Vec<MemberName> = self
            .links
            .iter()
            .filter(|(member, link)| !members.is_live(member, link.nonce))
            .map(|(member, _)| member.clone())
            .collect();
        for member in departed {
            self.links.remove(&member);
            self.context.peers.remove(&member);
        }
        for record in members.live() {
            let join = &record.join;
            if join.member != self.context.name && !self.links.contains_key(&join.member) {
                self.open(join);
            }
        }
    }

    fn open(&mut self, join: &MemberJoin) {
        let Ok(address) = join.peer_address.parse() else {
            return;
        };
        let (link, messages) = mpsc::unbounded_channel();
        let view = PeerView {
            nonce: join.nonce,
            last_heartbeat_at: self.context.clock.now(),
            folded: None,
            pools: HashMap::new(),
            link,
        };
        self.context.peers.add(&join.member, view);
        let session = LinkSession {
            context: self.context.clone(),
            fold: self.fold.clone(),
            peer: HelloFrame::new(join.member.clone(), join.nonce),
            address,
            messages,
            open_queries: HashMap::new(),
            next_id: 0,
            loan_table: LoanTable::default(),
            last_listed: HashMap::new(),
        };
        let task = tokio::spawn(session.run());
        self.links.insert(
            join.member.clone(),
            PeerLink {
                nonce: join.nonce,
                task,
            },
        );
    }
}

struct LinkSession {
    context: Arc<MemberContext>,
    fold: FoldHandle,
    peer: HelloFrame,
    address: SocketAddr,
    messages: mpsc::UnboundedReceiver<LinkMessage>,
    open_queries: HashMap<u64, oneshot::Sender<ClaimReply>>,
    next_id: u64,
    loan_table: LoanTable,
    last_listed: HashMap<PoolName, PoolLoad>,
}

impl LinkSession {
    async fn run(mut self) {
        loop {
            if let Some(socket) = self.connect().await {
                self.exchange(socket).await;
            }
            // Dropping the senders fails the queries that were open on the connection.
            self.open_queries.clear();
            self.last_listed.clear();
            sleep(REOPEN_DELAY).await;
        }
    }

    async fn connect(&self) -> Option<WebSocketStream<TcpStream>> {
        let limit = Duration::from_millis(self.context.settings.limits.silent_ms);
        let url = format!("ws://{}/peer", self.address);
        let opened = timeout(limit, async {
            let stream = TcpStream::connect(self.address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let (socket, _) = client_async(url, stream).await.ok()?;
            Some(socket)
        });
        opened.await.ok().flatten()
    }

    async fn exchange(&mut self, mut socket: WebSocketStream<TcpStream>) {
        let context = self.context.clone();
        let hello = HelloFrame::new(context.name.clone(), context.nonce);
        if !serve::send(&context, &mut socket, &PeerFrame::Hello(hello)).await {
            return;
        }
        let limits = &context.settings.limits;
        let silence_timeout = Duration::from_millis(limits.silent_ms);
        let mut heartbeat_tick = interval(Duration::from_millis(limits.beat_ms));
        let (reply, mut replies) = mpsc::unbounded_channel();
        let mut seq = 0;
        let mut last_received = Instant::now();
        loop {
            let outgoing = tokio::select! {
                frame = serve::receive(&context, &mut socket, silence_timeout) => {
                    let Some(frame) = frame else { return };
                    last_received = Instant::now();
                    self.handle(frame, &reply);
                    continue;
                }
                Some(frame) = replies.recv() => frame,
                message = self.messages.recv() => match message {
                    Some(message) => self.prepare_frame(message),
                    None => return,
                },
                _ = heartbeat_tick.tick() => {
                    if last_received.elapsed() > silence_timeout {
                        return;
                    }
                    seq += 1;
                    PeerFrame::Beat(self.heartbeat(seq))
                }
            };
            if !serve::send(&context, &mut socket, &outgoing).await {
                return;
            }
        }
    }

    fn handle(&mut self, frame: PeerFrame, reply: &mpsc::UnboundedSender<PeerFrame>) {
        if let PeerFrame::TellClaim { id, reply } = frame {
            if let Some(sender) = self.open_queries.remove(&id) {
                // The caller may have reached its deadline.
                let _ = sender.send(reply);
            }
            return;
        }
        frames::handle(
            &self.context,
            &self.fold,
            &self.peer,
            &mut self.loan_table,
            frame,
            reply,
        );
    }

    fn prepare_frame(&mut self, message: LinkMessage) -> PeerFrame {
        match message {
            LinkMessage::Frame(frame) => frame,
            LinkMessage::QueryClaim(key, sender) => {
                self.next_id += 1;
                self.open_queries.retain(|_, sender| !sender.is_closed());
                self.open_queries.insert(self.next_id, sender);
                PeerFrame::AskClaim {
                    id: self.next_id,
                    key,
                }
            }
        }
    }

    /// Creates a heartbeat with the pools whose load has changed since they were last listed.
    fn heartbeat(&mut self, seq: u64) -> HeartbeatFrame {
        let mut heartbeat = frames::offset_heartbeat(&self.context, seq);
        let routes = self.context.routes.load();
        for (name, pool) in &routes.pools {
            let load = PoolLoad {
                pool: name.clone(),
                running: pool.held(),
                waiting: pool.waiting(),
                slots: pool.slots(),
            };
            let is_full = seq % HEARTBEATS_PER_FULL_LIST == 1;
            if is_full
                || self
                    .last_listed
                    .get(name)
                    .is_none_or(|last_listed| has_changed(last_listed, &load))
            {
                self.last_listed.insert(name.clone(), load.clone());
                heartbeat.pools.push(load);
            }
        }
        heartbeat
    }
}

fn has_changed(last_listed: &PoolLoad, load: &PoolLoad) -> bool {
    let threshold = (load.slots / LOAD_CHANGE_DIVISOR).max(1);
    last_listed.running.abs_diff(load.running) >= threshold
        || last_listed.waiting.abs_diff(load.waiting) >= threshold
        || (last_listed.waiting == 0) != (load.waiting == 0)
        || last_listed.slots != load.slots
}
