//! Follower side of the links between members: sends job queries and the records of callers to the
//! owner and receives its heartbeats.
//!
//! The owner stores the records of all members in common appends. While no owner is reachable, a
//! member stores the records of its callers itself.

use std::{collections::BTreeMap, pin::pin, sync::Arc, time::Duration};

use futures::StreamExt;
use jacinthhoist_codec::{
    JobFrame, JobReply, KeyedRecord, OwnerHeartbeat, StandingEvidence, StoreOutcome,
    decode_job_frame,
};
use jacinthhoist_core::{TenantName, job::JobId};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep, sleep_until},
};
use tokio_tungstenite::{WebSocketStream, tungstenite::Message};

use crate::{
    accept::StoreRequest,
    eventlog::event,
    ports::{PeerNetwork, Platform},
    shared::{MemberShared, is_in_doubt},
};

use super::{
    finder::OwnerFinder,
    serve::{forward_records, query_owner, send},
};

/// Time without a heartbeat after which the link is reopened; several heartbeat intervals.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay after a link has ended; limits the connection rate to a member that does not own the pools
/// yet.
const REOPEN_DELAY: Duration = Duration::from_millis(60);
/// Delay before the next look-up of the owner; a fraction of the duration of a takeover.
const LOOKUP_DELAY: Duration = Duration::from_millis(100);

/// Calls on a link that the owner has not answered yet, by id.
#[derive(Default)]
struct OpenCalls {
    queries: BTreeMap<u64, oneshot::Sender<JobReply>>,
    stores: BTreeMap<u64, StoreRequest>,
}

/// What an owner says of itself.
enum OwnerNotice {
    /// Key of its process.
    Identity(Arc<str>),
    Heartbeat(Arc<OwnerHeartbeat>),
}

/// Query for the state of a job.
#[derive(Debug)]
pub(crate) struct JobQuery {
    pub(crate) job: JobId,
    /// Tenant of the caller.
    pub(crate) tenant: Option<TenantName>,
    pub(crate) reply: oneshot::Sender<JobReply>,
}

/// Task that sends job queries and stored records to the owner, on this or another member.
pub(crate) struct QueryTask<P, N> {
    finder: Arc<OwnerFinder<P, N>>,
    shared: Arc<MemberShared>,
    queries: mpsc::UnboundedReceiver<JobQuery>,
    /// Records of this member's callers.
    store_requests: mpsc::UnboundedReceiver<StoreRequest>,
    /// Inbox of this member's own appends.
    own_appends: mpsc::UnboundedSender<StoreRequest>,
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
        store_requests: mpsc::UnboundedReceiver<StoreRequest>,
        own_appends: mpsc::UnboundedSender<StoreRequest>,
        stored_records: mpsc::UnboundedReceiver<Vec<KeyedRecord>>,
    ) -> Self {
        let finder = OwnerFinder {
            platform,
            peers,
            shared: shared.clone(),
        };
        Self {
            finder: Arc::new(finder),
            shared,
            queries,
            store_requests,
            own_appends,
            stored_records,
            next_id: 0,
        }
    }

    pub(crate) async fn run(mut self) {
        loop {
            if self.shared.owner_inbox.load().is_some() {
                self.serve_locally().await;
            } else if let Some((owner, socket)) = self.look_for_owner().await {
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
                    let _ = query.reply.send(query_owner(&shared, query.job, query.tenant).await);
                });
            },
            Some(request) = self.store_requests.recv() => self.store_locally(request),
            Some(records) = self.stored_records.recv() => forward_records(&self.shared, &records),
            () = sleep(LOOKUP_DELAY) => {}
        }
    }

    /// Passes a record on to this member's own appends.
    fn store_locally(&self, request: StoreRequest) {
        self.shared.meter.own_stores.increment(1);
        if let Err(unsent) = self.own_appends.send(request) {
            // The member is ending, and this attempt has not sent the record.
            unsent.0.settle(StoreOutcome::NotStored);
        }
    }

    /// Answers all queries with [`JobReply::Unsure`] for a time.
    async fn answer_unsure(&mut self, pause: Duration) {
        let until = Instant::now() + pause;
        loop {
            tokio::select! {
                () = sleep_until(until) => return,
                Some(request) = self.store_requests.recv() => self.store_locally(request),
                // The next owner reads these records from the store.
                Some(_) = self.stored_records.recv() => {}
                Some(query) = self.queries.recv() => {
                    // The caller may no longer be waiting.
                    let _ = query.reply.send(JobReply::Unsure);
                }
            }
        }
    }

    /// Finds the owner and opens a link to it; records of callers are stored locally meanwhile.
    async fn look_for_owner(&mut self) -> Option<(String, WebSocketStream<N::Stream>)> {
        let finder = self.finder.clone();
        let mut search = pin!(finder.find_owner());
        loop {
            tokio::select! {
                found = &mut search => return found,
                Some(request) = self.store_requests.recv() => self.store_locally(request),
                Some(query) = self.queries.recv() => {
                    // The caller may no longer be waiting.
                    let _ = query.reply.send(JobReply::Unsure);
                }
            }
        }
    }

    /// Follows an owner until the link ends. The owner counts as found with its first heartbeat: a
    /// member to which the group has just assigned the pools closes links until it has taken over.
    async fn follow(&mut self, owner: &str, socket: WebSocketStream<N::Stream>) {
        let (mut found, mut open) = (false, OpenCalls::default());
        self.follow_link(owner, socket, &mut found, &mut open).await;
        if found {
            event!(self.shared.log, Dependency, "name": "owner", "lost": true, "owner": owner,
                "records_in_doubt": open.stores.len());
        }
        // The owner may have stored these records; to store them again has no further effect.
        for mut request in open.stores.into_values() {
            request.in_doubt = true;
            self.store_locally(request);
        }
    }

    async fn follow_link(
        &mut self,
        owner: &str,
        mut socket: WebSocketStream<N::Stream>,
        found: &mut bool,
        open: &mut OpenCalls,
    ) {
        // An owner of lower rank gives up the pools; one of the same rank ignores this frame.
        let announcement = JobFrame::Offer(self.shared.identity.rank);
        let identity = JobFrame::Identify(self.shared.identity.member_key().into());
        let capacity = JobFrame::Capacity(self.shared.job_memory);
        for frame in [identity, capacity, announcement] {
            if !send(&mut socket, &frame).await {
                return;
            }
        }
        let mut heartbeat_deadline = Instant::now() + HEARTBEAT_TIMEOUT;
        // The process at the address may be a later one than the process that is looked for.
        let mut process = None;
        loop {
            tokio::select! {
                () = sleep_until(heartbeat_deadline) => return,
                message = socket.next() => {
                    let Some(Ok(message)) = message else {
                        return;
                    };
                    // Only heartbeats extend the timeout: a member whose owner pipe has ended may
                    // still send answers.
                    let notice = self.handle_frame(&message, open);
                    if let Some(OwnerNotice::Identity(key)) = &notice {
                        process = Some(key.clone());
                    }
                    if let Some(OwnerNotice::Heartbeat(heartbeat)) = notice {
                        if let Some(process) = &process {
                            self.shared.record_clock(process, heartbeat.sent_at);
                        }
                        heartbeat_deadline = Instant::now() + HEARTBEAT_TIMEOUT;
                        // The store may have assigned the pools to another member in the meantime.
                        if self.shared.owner_view.is_superseded(owner) {
                            return;
                        }
                        let answer = self.answer_doubt(owner, &heartbeat);
                        if let Some(answer) = answer
                            && !send(&mut socket, &answer).await
                        {
                            return;
                        }
                        if heartbeat.asks_wall_time
                            && !send(&mut socket, &JobFrame::WallTime(self.shared.wall.now())).await
                        {
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
                Some(request) = self.store_requests.recv() => {
                    if !*found {
                        self.store_locally(request);
                        continue;
                    }
                    self.next_id += 1;
                    let (id, record, size) = (self.next_id, request.record.clone(), request.size);
                    open.stores.insert(id, request);
                    if !send(&mut socket, &JobFrame::Store { id, record, size }).await {
                        return;
                    }
                }
                query = self.queries.recv() => {
                    let Some(query) = query else {
                        return;
                    };
                    self.next_id += 1;
                    let (id, job, tenant) = (self.next_id, query.job, query.tenant);
                    open.queries.retain(|_, reply| !reply.is_closed());
                    open.queries.insert(id, query.reply);
                    if !send(&mut socket, &JobFrame::Ask { id, job, tenant }).await {
                        return;
                    }
                }
            }
            if self.shared.owner_inbox.load().is_some() {
                return;
            }
        }
    }

    /// Returns the answer to a heartbeat of an owner that the store has not confirmed of late, if this
    /// member has evidence that the owner has not been replaced.
    fn answer_doubt(&self, owner: &str, heartbeat: &OwnerHeartbeat) -> Option<JobFrame> {
        let view = &self.shared.owner_view;
        view.record_heartbeat(owner, heartbeat.sent_at);
        if !is_in_doubt(heartbeat) {
            return None;
        }
        let (sent_at, evidence) = match view.confirmed_heartbeat(owner) {
            Some(sent_at) => (sent_at, StandingEvidence::Confirmed),
            None if view.promise(owner) => (heartbeat.sent_at, StandingEvidence::Promised),
            None => return None,
        };
        Some(JobFrame::Standing { sent_at, evidence })
    }

    /// Handles a frame; returns what the owner says of itself.
    fn handle_frame(&self, message: &Message, open: &mut OpenCalls) -> Option<OwnerNotice> {
        let Message::Binary(bytes) = message else {
            return None;
        };
        match decode_job_frame(bytes) {
            Ok(JobFrame::Answer { id, answer }) => {
                if let Some(reply) = open.queries.remove(&id) {
                    // The caller may no longer be waiting.
                    let _ = reply.send(answer);
                }
            }
            Ok(JobFrame::StoreReply { id, outcome }) => {
                if let Some(request) = open.stores.remove(&id) {
                    self.settle_store(request, outcome);
                }
            }
            Ok(JobFrame::Loads(heartbeat)) => {
                let heartbeat = Arc::new(heartbeat);
                self.shared.set_heartbeat(heartbeat.clone());
                return Some(OwnerNotice::Heartbeat(heartbeat));
            }
            Ok(JobFrame::Identify(key)) => return Some(OwnerNotice::Identity(key)),
            Ok(JobFrame::Follow) => self.shared.owner_view.record_designation(),
            Ok(
                JobFrame::Ask { .. }
                | JobFrame::Offer(_)
                | JobFrame::Stored(_)
                | JobFrame::Store { .. }
                | JobFrame::Standing { .. }
                | JobFrame::WallTime(_)
                | JobFrame::Capacity(_),
            ) => {}
            Err(error) => event!(self.shared.log, Unreadable, "key": "peer frame",
                "reason": error.to_string()),
        }
        None
    }

    /// Settles a record on the owner's reply. A record that the owner could not store goes to this
    /// member's own appends, as the store may turn only the owner away.
    fn settle_store(&self, request: StoreRequest, outcome: StoreOutcome) {
        if outcome == StoreOutcome::NotStored {
            self.store_locally(request);
        } else {
            self.shared.meter.owner_stores.increment(1);
            request.settle(outcome);
        }
    }
}
