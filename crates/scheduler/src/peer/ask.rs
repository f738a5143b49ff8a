//! Follows the owner: asks it for jobs and takes its word on loads.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures::StreamExt;
use jacinthhoist_codec::{JobAnswer, JobFrame, decode_job_frame};
use jacinthhoist_core::job::JobId;
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
    time::{Instant, sleep, sleep_until, timeout},
};
use tokio_tungstenite::{WebSocketStream, client_async, tungstenite::Message};

use crate::{
    eventlog::event,
    member::peer_address,
    ports::Platform,
    shared::{LoadTable, MemberShared},
};

use super::serve::{ask_owner, send};

/// Time to open a link.
const OPEN_LIMIT: Duration = Duration::from_millis(500);
/// Time without a word from the owner after which its link is replaced: several of its reports.
const OWNER_SILENCE: Duration = Duration::from_millis(1_200);
/// Pause after a link has ended, so that a member that does not own the pools yet is not called
/// without end.
const REOPEN_PAUSE: Duration = Duration::from_millis(60);
/// Pause before the owner is looked for again.
const FIND_PAUSE: Duration = Duration::from_millis(200);

type PeerSocket = WebSocketStream<TcpStream>;
/// Questions that wait for their answers, by id.
type OpenAsks = BTreeMap<u64, oneshot::Sender<JobAnswer>>;

/// A question about a job.
pub(crate) struct AskRequest {
    pub(crate) job: JobId,
    pub(crate) reply: oneshot::Sender<JobAnswer>,
}

/// Takes questions to the owner, wherever it is.
pub(crate) struct AskTask<P> {
    platform: Arc<P>,
    shared: Arc<MemberShared>,
    asks: mpsc::UnboundedReceiver<AskRequest>,
    next_id: u64,
}

impl<P: Platform> AskTask<P> {
    pub(crate) fn open(
        platform: Arc<P>,
        shared: Arc<MemberShared>,
        asks: mpsc::UnboundedReceiver<AskRequest>,
    ) -> Self {
        Self {
            platform,
            shared,
            asks,
            next_id: 0,
        }
    }

    pub(crate) async fn run(mut self) {
        loop {
            if self.shared.owner_inbox.load().is_some() {
                self.answer_here().await;
            } else if let Some((owner, socket)) = self.find_owner().await {
                self.follow(&owner, socket).await;
                self.answer_unsure(REOPEN_PAUSE).await;
            } else {
                self.answer_unsure(FIND_PAUSE).await;
            }
        }
    }

    /// Answers from this member's own owner pipe until it ends.
    async fn answer_here(&mut self) {
        tokio::select! {
            ask = self.asks.recv() => if let Some(ask) = ask {
                let shared = self.shared.clone();
                tokio::spawn(async move {
                    // The caller may have left.
                    let _ = ask.reply.send(ask_owner(&shared, ask.job).await);
                });
            },
            () = sleep(FIND_PAUSE) => {}
        }
    }

    /// Says for a while that nobody can tell.
    async fn answer_unsure(&mut self, pause: Duration) {
        let until = Instant::now() + pause;
        loop {
            tokio::select! {
                () = sleep_until(until) => return,
                Some(ask) = self.asks.recv() => {
                    // The caller may have left.
                    let _ = ask.reply.send(JobAnswer::Unsure);
                }
            }
        }
    }

    async fn find_owner(&mut self) -> Option<(String, PeerSocket)> {
        // A failed look-up is tried again in a moment, and callers are told that nobody can tell.
        let owner = self.platform.owner().await.ok()?;
        self.shared.name_owner(owner.as_deref());
        let owner = owner?;
        if owner == self.shared.identity.member_key() {
            return None;
        }
        let address = peer_address(&owner)?;
        let open = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let (socket, _) = client_async(format!("ws://{address}/"), stream)
                .await
                .ok()?;
            Some(socket)
        };
        let socket = timeout(OPEN_LIMIT, open).await.ok()??;
        Some((owner, socket))
    }

    /// Asks one owner until its link ends. It counts as found with its first word on loads: a member
    /// that the group has just made owner closes links until it has taken over.
    async fn follow(&mut self, owner: &str, socket: PeerSocket) {
        let mut found = false;
        self.follow_link(owner, socket, &mut found).await;
        if found {
            event!(self.shared.log, Dependency, "name": "owner", "lost": true, "owner": owner);
        }
    }

    async fn follow_link(&mut self, owner: &str, mut socket: PeerSocket, found: &mut bool) {
        // The owner may have to give way; one of the same rank takes no notice.
        let offer = JobFrame::Offer(self.shared.identity.rank);
        if !send(&mut socket, &offer).await {
            return;
        }
        let mut open = OpenAsks::new();
        let mut silent_at = Instant::now() + OWNER_SILENCE;
        loop {
            tokio::select! {
                () = sleep_until(silent_at) => return,
                message = socket.next() => {
                    let Some(Ok(message)) = message else {
                        return;
                    };
                    // Answers may come from a member whose owner pipe has ended; its word on loads
                    // does not.
                    if self.take(&message, &mut open) {
                        silent_at = Instant::now() + OWNER_SILENCE;
                        if !std::mem::replace(found, true) {
                            event!(self.shared.log, Dependency, "name": "owner", "lost": false,
                                "owner": owner);
                        }
                    }
                }
                ask = self.asks.recv() => {
                    let Some(ask) = ask else {
                        return;
                    };
                    self.next_id += 1;
                    let (id, job) = (self.next_id, ask.job);
                    open.retain(|_, reply| !reply.is_closed());
                    open.insert(id, ask.reply);
                    if !send(&mut socket, &JobFrame::Ask { id, job }).await {
                        return;
                    }
                }
            }
            if self.shared.owner_inbox.load().is_some() {
                return;
            }
        }
    }

    /// Takes a frame in; true for the owner's heartbeat.
    fn take(&self, message: &Message, open: &mut OpenAsks) -> bool {
        let Message::Binary(bytes) = message else {
            return false;
        };
        match decode_job_frame(bytes) {
            Ok(JobFrame::Answer { id, answer }) => {
                if let Some(reply) = open.remove(&id) {
                    // The caller may have left.
                    let _ = reply.send(answer);
                }
            }
            Ok(JobFrame::Loads(loads)) => {
                let table: LoadTable = loads.into_iter().collect();
                self.shared.take_loads(Arc::new(table));
                return true;
            }
            Ok(JobFrame::Ask { .. } | JobFrame::Offer(_)) => {}
            Err(error) => event!(self.shared.log, Unreadable, "key": "peer frame",
                "reason": error.to_string()),
        }
        false
    }
}
