//! Owner side of the links between members.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::{SinkExt, StreamExt};
use jacinthhoist_codec::{
    JobFrame, JobReply, KeyedRecord, OwnerHeartbeat, StandingEvidence, decode_job_frame,
    encode_job_frame,
};
use jacinthhoist_core::{
    ClockTime, TenantName,
    job::{ClockReading, JobId, MemberRank},
};
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_tungstenite::{WebSocketStream, accept_async, tungstenite::Message};

use crate::{
    accept::StoreRequest,
    error::Result,
    eventlog::event,
    owner::{OwnerEvent, decode_accepted_records},
    peer::JobQuery,
    ports::{PeerListener, PeerNetwork, PeerStream},
    shared::MemberShared,
};

/// Delay after a failed accept, which is usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of the opening handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for sending one frame; a slower link is closed.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum answers queued on one link.
const MAX_QUEUED_ANSWERS: usize = 64;

/// Binds the peer address and returns the task that accepts links of other members.
pub(crate) async fn serve<N: PeerNetwork>(
    shared: Arc<MemberShared>,
    peers: &N,
    address: SocketAddr,
    appends: mpsc::UnboundedSender<StoreRequest>,
) -> Result<impl Future<Output = ()> + use<N>> {
    let listener = peers.bind(address).await?;
    Ok(accept_links(shared, listener, appends))
}

async fn accept_links<L>(
    shared: Arc<MemberShared>,
    listener: L,
    appends: mpsc::UnboundedSender<StoreRequest>,
) where
    L: PeerListener,
    L::Stream: PeerStream,
{
    // Aborts the links when the member ends.
    let mut links = JoinSet::new();
    loop {
        while links.try_join_next().is_some() {}
        match listener.accept().await {
            Ok(stream) => {
                links.spawn(serve_link(shared.clone(), stream, appends.clone()));
            }
            Err(error) => {
                event!(shared.log, Dependency, "name": "peer listener", "lost": true,
                    "error": error.to_string());
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one follower while this member owns the pools.
async fn serve_link<S: PeerStream>(
    shared: Arc<MemberShared>,
    stream: S,
    appends: mpsc::UnboundedSender<StoreRequest>,
) {
    let accepted_at = shared.clock.now();
    let Ok(Ok(mut socket)) = timeout(HANDSHAKE_TIMEOUT, accept_async(stream)).await else {
        return;
    };
    let identity = JobFrame::Identify(shared.identity.member_key().into());
    if !send(&mut socket, &identity).await {
        return;
    }
    let mut heartbeats = shared.heartbeats.follow();
    let (answers, mut pending_answers) = mpsc::channel(MAX_QUEUED_ANSWERS);
    let mut designation = None;
    let mut member = None;
    while shared.owner_inbox.load().is_some() {
        let frame = tokio::select! {
            message = socket.next() => match message {
                Some(Ok(message)) => {
                    match handle_frame(&shared, &answers, &appends, &message) {
                        Some(FollowerNotice::Candidate(rank)) => {
                            // Without a key it is of an earlier release, and makes no promises.
                            member.get_or_insert_with(|| {
                                let key = shared.standings.unknown_key();
                                LinkedMember::open(shared.clone(), key, accepted_at)
                            });
                            designation = Some(shared.followers.add(rank));
                        }
                        Some(FollowerNotice::Identity(key)) => {
                            member = Some(LinkedMember::open(shared.clone(), key, accepted_at));
                        }
                        Some(FollowerNotice::Standing { sent_at, evidence }) => {
                            if let Some(member) = &member {
                                shared.standings.record_answer(&member.key, sent_at, evidence);
                            }
                        }
                        Some(FollowerNotice::WallTime(wall)) => {
                            if let Some(member) = &member {
                                let reading = ClockReading {
                                    local: shared.clock.now(),
                                    shown: wall,
                                };
                                shared.standings.record_wall_time(&member.key, reading);
                            }
                        }
                        Some(FollowerNotice::Capacity(bytes)) => {
                            if let Some(member) = &member {
                                shared.standings.record_capacity(&member.key, bytes);
                            }
                        }
                        None => {}
                    }
                    continue;
                }
                _ => return,
            },
            answer = pending_answers.recv() => answer,
            () = wait_designation(&mut designation) => Some(JobFrame::Follow),
            heartbeat = heartbeats.next() => {
                heartbeat.map(|newest| JobFrame::Loads(OwnerHeartbeat::clone(&newest)))
            }
        };
        let Some(frame) = frame else {
            return;
        };
        if !send(&mut socket, &frame).await {
            return;
        }
    }
    // The successor is designated just before the ownership ends.
    if designation.is_some_and(|mut receiver| receiver.try_recv().is_ok()) {
        send(&mut socket, &JobFrame::Follow).await;
    }
}

/// What a follower says of itself.
enum FollowerNotice {
    /// It is a candidate of this rank.
    Candidate(MemberRank),
    /// Its key.
    Identity(Arc<str>),
    /// Its evidence on the ownership as of a heartbeat.
    Standing {
        sent_at: ClockTime,
        evidence: StandingEvidence,
    },
    /// Time of day by its wall clock.
    WallTime(ClockTime),
    /// Its memory for jobs, in bytes.
    Capacity(u64),
}

/// Member at the other end of a link; dropped when the link ends.
struct LinkedMember {
    shared: Arc<MemberShared>,
    key: Arc<str>,
}

impl LinkedMember {
    fn open(shared: Arc<MemberShared>, key: Arc<str>, accepted_at: ClockTime) -> Self {
        shared.standings.link_opened(&key, accepted_at);
        Self { shared, key }
    }
}

impl Drop for LinkedMember {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared.standings.link_closed(&self.key, now);
    }
}

/// Waits until the follower is designated as this member's successor.
async fn wait_designation(designation: &mut Option<oneshot::Receiver<()>>) {
    let Some(receiver) = designation else {
        return std::future::pending().await;
    };
    let designated = receiver.await;
    *designation = None;
    if designated.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Handles a frame; returns what the follower says of itself.
fn handle_frame(
    shared: &Arc<MemberShared>,
    answers: &mpsc::Sender<JobFrame>,
    appends: &mpsc::UnboundedSender<StoreRequest>,
    message: &Message,
) -> Option<FollowerNotice> {
    let Message::Binary(bytes) = message else {
        return None;
    };
    match decode_job_frame(bytes) {
        Ok(JobFrame::Ask { id, job, tenant }) => {
            let (shared, answers) = (shared.clone(), answers.clone());
            tokio::spawn(async move {
                let answer = query_owner(&shared, job, tenant).await;
                // The link may have been closed.
                let _ = answers.send(JobFrame::Answer { id, answer }).await;
            });
        }
        Ok(JobFrame::Offer(rank)) => {
            if shared.owner_view.record_candidate(rank) {
                event!(shared.log, Ownership, "outcome": "gives way",
                    "rank": shared.identity.rank.as_str(), "to": rank.as_str());
            }
            return Some(FollowerNotice::Candidate(rank));
        }
        Ok(JobFrame::Identify(key)) => return Some(FollowerNotice::Identity(key)),
        Ok(JobFrame::Standing { sent_at, evidence }) => {
            return Some(FollowerNotice::Standing { sent_at, evidence });
        }
        Ok(JobFrame::WallTime(wall)) => return Some(FollowerNotice::WallTime(wall)),
        Ok(JobFrame::Stored(records)) => forward_records(shared, &records),
        Ok(JobFrame::Capacity(bytes)) => return Some(FollowerNotice::Capacity(bytes)),
        Ok(JobFrame::Store { id, record, size }) => {
            let (request, outcome) = StoreRequest::new(record, size);
            let answers = answers.clone();
            // Without an outcome the member is ending; the follower then stores the record itself.
            if appends.send(request).is_ok() {
                tokio::spawn(async move {
                    if let Ok(outcome) = outcome.await {
                        // The link may have been closed.
                        let _ = answers.send(JobFrame::StoreReply { id, outcome }).await;
                    }
                });
            }
        }
        Ok(
            JobFrame::Answer { .. }
            | JobFrame::Loads(_)
            | JobFrame::Follow
            | JobFrame::StoreReply { .. },
        ) => {}
        Err(error) => event!(shared.log, Unreadable, "key": "peer frame",
            "reason": error.to_string()),
    }
    None
}

/// Forwards records stored by a member to this member's owner pipe.
pub(super) fn forward_records(shared: &MemberShared, records: &[KeyedRecord]) {
    if let Some(inbox) = shared.owner_inbox.load_full() {
        // The engine may have stopped.
        let _ = inbox.send(OwnerEvent::Forwarded(decode_accepted_records(
            shared, records,
        )));
    }
}

/// Queries this member's owner pipe for a job.
pub(super) async fn query_owner(
    shared: &MemberShared,
    job: JobId,
    tenant: Option<TenantName>,
) -> JobReply {
    let Some(inbox) = shared.owner_inbox.load_full() else {
        return JobReply::Unsure;
    };
    let (reply, answer) = oneshot::channel();
    let query = JobQuery { job, tenant, reply };
    if inbox.send(OwnerEvent::Query { query }).is_err() {
        return JobReply::Unsure;
    }
    answer.await.unwrap_or(JobReply::Unsure)
}

/// Sends a frame; returns `false` if the link can no longer be used.
pub(super) async fn send<S: PeerStream>(socket: &mut WebSocketStream<S>, frame: &JobFrame) -> bool {
    let Ok(bytes) = encode_job_frame(frame) else {
        return false;
    };
    let sent = timeout(SEND_TIMEOUT, socket.send(Message::Binary(bytes.into()))).await;
    matches!(sent, Ok(Ok(())))
}
