//! Follows the owner: asks it for jobs and takes its word on loads.

use std::{collections::BTreeMap, io::ErrorKind, sync::Arc, time::Duration};

use futures::StreamExt;
use jacinthhoist_codec::{JobAnswer, JobFrame, KeyedRecord, decode_job_frame};
use jacinthhoist_core::job::JobId;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep, sleep_until, timeout},
};
use tokio_tungstenite::{WebSocketStream, client_async, tungstenite::Message};

use crate::{
    eventlog::event,
    member::peer_address,
    membership::look_up_owner,
    ports::{PeerNetwork, Platform},
    shared::MemberShared,
};

use super::serve::{ask_owner, send, tell_owner};

/// Time to open a link.
const OPEN_LIMIT: Duration = Duration::from_millis(500);
/// Time without a word from the owner after which its link is replaced: several of its reports.
const OWNER_SILENCE: Duration = Duration::from_millis(1_200);
/// Pause after a link has ended, so that a member that does not own the pools yet is not called
/// without end.
const REOPEN_PAUSE: Duration = Duration::from_millis(60);
/// Pause before the owner is looked for again: a fraction of what a takeover takes.
const FIND_PAUSE: Duration = Duration::from_millis(100);

/// Questions that wait for their answers, by id.
type OpenAsks = BTreeMap<u64, oneshot::Sender<JobAnswer>>;

/// A question about a job.
pub(crate) struct AskRequest {
    pub(crate) job: JobId,
    pub(crate) reply: oneshot::Sender<JobAnswer>,
}

/// Takes questions to the owner, wherever it is.
pub(crate) struct AskTask<P, N> {
    platform: Arc<P>,
    peers: Arc<N>,
    shared: Arc<MemberShared>,
    asks: mpsc::UnboundedReceiver<AskRequest>,
    /// Records that this member has stored.
    notices: mpsc::UnboundedReceiver<Vec<KeyedRecord>>,
    next_id: u64,
}

impl<P: Platform, N: PeerNetwork> AskTask<P, N> {
    pub(crate) fn open(
        platform: Arc<P>,
        peers: Arc<N>,
        shared: Arc<MemberShared>,
        asks: mpsc::UnboundedReceiver<AskRequest>,
        notices: mpsc::UnboundedReceiver<Vec<KeyedRecord>>,
    ) -> Self {
        Self {
            platform,
            peers,
            shared,
            asks,
            notices,
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
            Some(records) = self.notices.recv() => tell_owner(&self.shared, &records),
            () = sleep(FIND_PAUSE) => {}
        }
    }

    /// Says for a while that nobody can tell.
    async fn answer_unsure(&mut self, pause: Duration) {
        let until = Instant::now() + pause;
        loop {
            tokio::select! {
                () = sleep_until(until) => return,
                // The next owner reads them from the store.
                Some(_) = self.notices.recv() => {}
                Some(ask) = self.asks.recv() => {
                    // The caller may have left.
                    let _ = ask.reply.send(JobAnswer::Unsure);
                }
            }
        }
    }

    async fn find_owner(&mut self) -> Option<(String, WebSocketStream<N::Stream>)> {
        // A failed look-up is tried again in a moment, and callers are told that nobody can tell.
        let owner = look_up_owner(&*self.platform, &self.shared).await?;
        if owner == self.shared.identity.member_key() {
            return None;
        }
        if self.shared.identity.is_earlier_incarnation(&owner) {
            self.dismiss(&owner, "it is an earlier life of this member")
                .await;
            return None;
        }
        let address = peer_address(&owner)?;
        let stream = match timeout(OPEN_LIMIT, self.peers.connect(address))
            .await
            .ok()?
        {
            Ok(stream) => stream,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                self.dismiss(&owner, "its machine has no such process")
                    .await;
                return None;
            }
            // Not reached: whether it has ended is for the store to tell.
            Err(_) => return None,
        };
        let open = async {
            let (socket, _) = client_async(format!("ws://{address}/"), stream)
                .await
                .ok()?;
            Some(socket)
        };
        let socket = timeout(OPEN_LIMIT, open).await.ok()??;
        Some((owner, socket))
    }

    /// Takes an owner whose process has ended out of the group, so that the pools need not wait for
    /// its silence to be noticed. Were it alive, it would join again.
    async fn dismiss(&self, owner: &str, reason: &'static str) {
        let left = self.platform.leave(owner).await;
        event!(self.shared.log, Ownership, "outcome": "owner dismissed", "owner": owner,
            "reason": reason, "error": left.err().map(|error| error.to_string()));
    }

    /// Asks one owner until its link ends. It counts as found with its first word on loads: a member
    /// that the group has just made owner closes links until it has taken over.
    async fn follow(&mut self, owner: &str, socket: WebSocketStream<N::Stream>) {
        let mut found = false;
        self.follow_link(owner, socket, &mut found).await;
        if found {
            event!(self.shared.log, Dependency, "name": "owner", "lost": true, "owner": owner);
        }
    }

    async fn follow_link(
        &mut self,
        owner: &str,
        mut socket: WebSocketStream<N::Stream>,
        found: &mut bool,
    ) {
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
                        // The store may have given the pools to another member meanwhile.
                        if self.shared.owner.is_superseded(owner) {
                            return;
                        }
                        if !std::mem::replace(found, true) {
                            event!(self.shared.log, Dependency, "name": "owner", "lost": false,
                                "owner": owner);
                        }
                    }
                }
                Some(records) = self.notices.recv() => {
                    if !send(&mut socket, &JobFrame::Stored(records)).await {
                        return;
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
            Ok(JobFrame::Loads(word)) => {
                self.shared.set_load_report(Arc::new(word));
                return true;
            }
            Ok(JobFrame::Follow) => self.shared.owner.record_appointment(),
            Ok(JobFrame::Ask { .. } | JobFrame::Offer(_) | JobFrame::Stored(_)) => {}
            Err(error) => event!(self.shared.log, Unreadable, "key": "peer frame",
                "reason": error.to_string()),
        }
        false
    }
}
