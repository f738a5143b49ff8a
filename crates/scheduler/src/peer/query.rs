//! Follower side of the links between members: sends job queries to the owner and receives its
//! heartbeats.

use std::{collections::BTreeMap, io::ErrorKind, sync::Arc, time::Duration};

use futures::StreamExt;
use jacinthhoist_codec::{JobFrame, JobReply, KeyedRecord, decode_job_frame};
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

use super::serve::{forward_records, query_owner, send};

/// Timeout for each of the two steps of opening a link: connection and handshake.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a heartbeat after which the link is reopened; several heartbeat intervals.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay after a link has ended; limits the connection rate to a member that does not own the pools
/// yet.
const REOPEN_DELAY: Duration = Duration::from_millis(60);
/// Delay before the next look-up of the owner; a fraction of the duration of a takeover.
const LOOKUP_DELAY: Duration = Duration::from_millis(100);

/// Queries without an answer, by id.
type OpenQueries = BTreeMap<u64, oneshot::Sender<JobReply>>;

/// Query for the state of a job.
pub(crate) struct JobQuery {
    pub(crate) job: JobId,
    pub(crate) reply: oneshot::Sender<JobReply>,
}

/// Task that sends job queries and stored records to the owner, on this or another member.
pub(crate) struct QueryTask<P, N> {
    platform: Arc<P>,
    peers: Arc<N>,
    shared: Arc<MemberShared>,
    queries: mpsc::UnboundedReceiver<JobQuery>,
    /// Records stored by this member.
    stored_records: mpsc::UnboundedReceiver<Vec<KeyedRecord>>,
    next_id: u64,
}

impl<P: Platform, N: PeerNetwork> QueryTask<P, N> {
    pub(crate) fn open(
        platform: Arc<P>,
        peers: Arc<N>,
        shared: Arc<MemberShared>,
        queries: mpsc::UnboundedReceiver<JobQuery>,
        stored_records: mpsc::UnboundedReceiver<Vec<KeyedRecord>>,
    ) -> Self {
        Self {
            platform,
            peers,
            shared,
            queries,
            stored_records,
            next_id: 0,
        }
    }

    pub(crate) async fn run(mut self) {
        loop {
            if self.shared.owner_inbox.load().is_some() {
                self.serve_locally().await;
            } else if let Some((owner, socket)) = self.find_owner().await {
                self.follow(&owner, socket).await;
                self.answer_unsure(REOPEN_DELAY).await;
            } else {
                self.answer_unsure(LOOKUP_DELAY).await;
            }
        }
    }

    /// Passes one query or record batch to this member's own owner pipe.
    async fn serve_locally(&mut self) {
        tokio::select! {
            query = self.queries.recv() => if let Some(query) = query {
                let shared = self.shared.clone();
                tokio::spawn(async move {
                    // The caller may no longer be waiting.
                    let _ = query.reply.send(query_owner(&shared, query.job).await);
                });
            },
            Some(records) = self.stored_records.recv() => forward_records(&self.shared, &records),
            () = sleep(LOOKUP_DELAY) => {}
        }
    }

    /// Answers all queries with [`JobReply::Unsure`] for a time.
    async fn answer_unsure(&mut self, pause: Duration) {
        let until = Instant::now() + pause;
        loop {
            tokio::select! {
                () = sleep_until(until) => return,
                // The next owner reads these records from the store.
                Some(_) = self.stored_records.recv() => {}
                Some(query) = self.queries.recv() => {
                    // The caller may no longer be waiting.
                    let _ = query.reply.send(JobReply::Unsure);
                }
            }
        }
    }

    async fn find_owner(&mut self) -> Option<(String, WebSocketStream<N::Stream>)> {
        // After a failed look-up, queries are answered with `Unsure` until the next one.
        let owner = look_up_owner(&*self.platform, &self.shared).await?;
        if owner == self.shared.identity.member_key() {
            return None;
        }
        if self.shared.identity.is_earlier_incarnation(&owner) {
            self.remove_owner(&owner, "it is an earlier incarnation of this member")
                .await;
            return None;
        }
        let address = peer_address(&owner)?;
        let stream = match timeout(OPEN_TIMEOUT, self.peers.connect(address))
            .await
            .ok()?
        {
            Ok(stream) => stream,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                self.remove_owner(&owner, "its address refuses connections")
                    .await;
                return None;
            }
            // The owner may be alive but unreachable; the store decides its membership.
            Err(_) => return None,
        };
        let open = async {
            let (socket, _) = client_async(format!("ws://{address}/"), stream)
                .await
                .ok()?;
            Some(socket)
        };
        let socket = timeout(OPEN_TIMEOUT, open).await.ok()??;
        Some((owner, socket))
    }

    /// Removes an owner whose process has ended from the group, so that the pools are reassigned
    /// before its membership expires. An owner that is alive joins again.
    async fn remove_owner(&self, owner: &str, reason: &'static str) {
        let left = self.platform.leave(owner).await;
        event!(self.shared.log, Ownership, "outcome": "owner dismissed", "owner": owner,
            "reason": reason, "error": left.err().map(|error| error.to_string()));
    }

    /// Follows an owner until the link ends. The owner counts as found with its first heartbeat: a
    /// member to which the group has just assigned the pools closes links until it has taken over.
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
        // An owner of lower rank gives up the pools; one of the same rank ignores this frame.
        let announcement = JobFrame::Offer(self.shared.identity.rank);
        if !send(&mut socket, &announcement).await {
            return;
        }
        let mut open = OpenQueries::new();
        let mut heartbeat_deadline = Instant::now() + HEARTBEAT_TIMEOUT;
        loop {
            tokio::select! {
                () = sleep_until(heartbeat_deadline) => return,
                message = socket.next() => {
                    let Some(Ok(message)) = message else {
                        return;
                    };
                    // Only heartbeats extend the timeout: a member whose owner pipe has ended may
                    // still send answers.
                    if self.handle_frame(&message, &mut open) {
                        heartbeat_deadline = Instant::now() + HEARTBEAT_TIMEOUT;
                        // The store may have assigned the pools to another member in the meantime.
                        if self.shared.owner_view.is_superseded(owner) {
                            return;
                        }
                        if !std::mem::replace(found, true) {
                            event!(self.shared.log, Dependency, "name": "owner", "lost": false,
                                "owner": owner);
                        }
                    }
                }
                Some(records) = self.stored_records.recv() => {
                    if !send(&mut socket, &JobFrame::Stored(records)).await {
                        return;
                    }
                }
                query = self.queries.recv() => {
                    let Some(query) = query else {
                        return;
                    };
                    self.next_id += 1;
                    let (id, job) = (self.next_id, query.job);
                    open.retain(|_, reply| !reply.is_closed());
                    open.insert(id, query.reply);
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

    /// Handles a frame; returns `true` for a heartbeat.
    fn handle_frame(&self, message: &Message, open: &mut OpenQueries) -> bool {
        let Message::Binary(bytes) = message else {
            return false;
        };
        match decode_job_frame(bytes) {
            Ok(JobFrame::Answer { id, answer }) => {
                if let Some(reply) = open.remove(&id) {
                    // The caller may no longer be waiting.
                    let _ = reply.send(answer);
                }
            }
            Ok(JobFrame::Loads(heartbeat)) => {
                self.shared.set_heartbeat(Arc::new(heartbeat));
                return true;
            }
            Ok(JobFrame::Follow) => self.shared.owner_view.record_designation(),
            Ok(JobFrame::Ask { .. } | JobFrame::Offer(_) | JobFrame::Stored(_)) => {}
            Err(error) => event!(self.shared.log, Unreadable, "key": "peer frame",
                "reason": error.to_string()),
        }
        false
    }
}
