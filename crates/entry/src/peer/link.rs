//! Link: the connection this member opens to each peer, probed and replaced when silent.

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
    book::{LinkMessage, PeerView},
    frames,
    lend::LoanBook,
    serve,
};
use crate::{
    context::{MemberContext, StopPhase},
    control::FoldHandle,
};

/// How often it looks which links there should be.
const RECHECK: Duration = Duration::from_millis(200);
/// Pause before a link that ended is opened anew.
const REOPEN_PAUSE: Duration = Duration::from_millis(250);
/// Heartbeats between two that list every pool.
const FULL_BEATS: u64 = 20;
/// A pool is listed when its load moved by more than one part in this many of its slots.
const LOAD_PARTS: u32 = 8;

/// Keeps a link to every live member.
pub(crate) struct LinkTask {
    context: Arc<MemberContext>,
    fold: FoldHandle,
    links: BTreeMap<MemberName, PeerLink>,
}

/// A running link; ends when dropped.
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
        let mut tick = interval(RECHECK);
        let ended = context.wait_for_stop(StopPhase::Ended);
        tokio::pin!(ended);
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = &mut ended => return,
            }
            self.adjust();
        }
    }

    fn adjust(&mut self) {
        let state = self.context.state.load_full();
        let members = state.members();
        let gone: Vec<MemberName> = self
            .links
            .iter()
            .filter(|(member, link)| !members.is_live(member, link.nonce))
            .map(|(member, _)| member.clone())
            .collect();
        for member in gone {
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
            heard_at: self.context.clock.now(),
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
            pending: HashMap::new(),
            next_id: 0,
            book: LoanBook::default(),
            listed: HashMap::new(),
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
    pending: HashMap<u64, oneshot::Sender<ClaimReply>>,
    next_id: u64,
    book: LoanBook,
    listed: HashMap<PoolName, PoolLoad>,
}

impl LinkSession {
    async fn run(mut self) {
        loop {
            if let Some(socket) = self.connect().await {
                self.exchange(socket).await;
            }
            // Questions on a connection that ended get no answer: the askers hear so.
            self.pending.clear();
            self.listed.clear();
            sleep(REOPEN_PAUSE).await;
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
        let silent = Duration::from_millis(limits.silent_ms);
        let mut beats = interval(Duration::from_millis(limits.beat_ms));
        let (reply, mut replies) = mpsc::unbounded_channel();
        let mut seq = 0;
        let mut heard = Instant::now();
        loop {
            let outgoing = tokio::select! {
                frame = serve::receive(&context, &mut socket, silent) => {
                    let Some(frame) = frame else { return };
                    heard = Instant::now();
                    self.take(frame, &reply);
                    continue;
                }
                Some(frame) = replies.recv() => frame,
                message = self.messages.recv() => match message {
                    Some(message) => self.outgoing(message),
                    None => return,
                },
                _ = beats.tick() => {
                    if heard.elapsed() > silent {
                        return;
                    }
                    seq += 1;
                    PeerFrame::Beat(self.beat(seq))
                }
            };
            if !serve::send(&context, &mut socket, &outgoing).await {
                return;
            }
        }
    }

    fn take(&mut self, frame: PeerFrame, reply: &mpsc::UnboundedSender<PeerFrame>) {
        if let PeerFrame::TellClaim { id, reply } = frame {
            if let Some(asker) = self.pending.remove(&id) {
                // The asker may have reached its deadline.
                let _ = asker.send(reply);
            }
            return;
        }
        frames::take(
            &self.context,
            &self.fold,
            &self.peer,
            &mut self.book,
            frame,
            reply,
        );
    }

    fn outgoing(&mut self, message: LinkMessage) -> PeerFrame {
        match message {
            LinkMessage::Frame(frame) => frame,
            LinkMessage::AskClaim(key, asker) => {
                self.next_id += 1;
                self.pending.retain(|_, asker| !asker.is_closed());
                self.pending.insert(self.next_id, asker);
                PeerFrame::AskClaim {
                    id: self.next_id,
                    key,
                }
            }
        }
    }

    /// A heartbeat with the pools whose load has moved since they were last listed.
    fn beat(&mut self, seq: u64) -> HeartbeatFrame {
        let mut beat = frames::plain_beat(&self.context, seq);
        let routes = self.context.routes.load();
        for (name, pool) in &routes.pools {
            let load = PoolLoad {
                pool: name.clone(),
                running: pool.held(),
                waiting: pool.waiting(),
                slots: pool.slots(),
            };
            let full = seq % FULL_BEATS == 1;
            if full
                || self
                    .listed
                    .get(name)
                    .is_none_or(|listed| has_moved(listed, &load))
            {
                self.listed.insert(name.clone(), load.clone());
                beat.pools.push(load);
            }
        }
        beat
    }
}

fn has_moved(listed: &PoolLoad, load: &PoolLoad) -> bool {
    let step = (load.slots / LOAD_PARTS).max(1);
    listed.running.abs_diff(load.running) >= step
        || listed.waiting.abs_diff(load.waiting) >= step
        || (listed.waiting == 0) != (load.waiting == 0)
        || listed.slots != load.slots
}
