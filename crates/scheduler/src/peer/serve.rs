//! Serves members that follow the owner.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::{SinkExt, StreamExt};
use jacinthhoist_codec::{
    JobAnswer, JobFrame, KeyedRecord, OwnerWord, decode_job_frame, encode_job_frame,
};
use jacinthhoist_core::job::{JobId, MemberRank};
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_tungstenite::{WebSocketStream, accept_async, tungstenite::Message};

use crate::{
    error::Result,
    eventlog::event,
    owner::{OwnerEvent, decode_all},
    ports::{PeerListener, PeerNetwork, PeerStream},
    shared::MemberShared,
};

/// Pause after a failed accept, which is for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Time for a member to complete the opening handshake.
const OPEN_LIMIT: Duration = Duration::from_millis(1_000);
/// Time for one frame to be taken by the network; a link that is slower is closed.
const SEND_LIMIT: Duration = Duration::from_millis(1_000);
/// Answers that wait to be sent on one link.
const ANSWERS: usize = 64;

/// Binds the peer address; the task that is returned accepts links of other members.
pub(crate) async fn serve<N: PeerNetwork>(
    shared: Arc<MemberShared>,
    peers: &N,
    address: SocketAddr,
) -> Result<impl Future<Output = ()> + use<N>> {
    let listener = peers.bind(address).await?;
    Ok(accept_links(shared, listener))
}

async fn accept_links<L>(shared: Arc<MemberShared>, listener: L)
where
    L: PeerListener,
    L::Stream: PeerStream,
{
    // Links end with the member.
    let mut links = JoinSet::new();
    loop {
        while links.try_join_next().is_some() {}
        match listener.accept().await {
            Ok(stream) => {
                links.spawn(serve_link(shared.clone(), stream));
            }
            Err(error) => {
                event!(shared.log, Dependency, "name": "peer listener", "lost": true,
                    "error": error.to_string());
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one member while this one owns the pools.
async fn serve_link<S: PeerStream>(shared: Arc<MemberShared>, stream: S) {
    let Ok(Ok(mut socket)) = timeout(OPEN_LIMIT, accept_async(stream)).await else {
        return;
    };
    let mut loads = shared.report_feed.subscribe();
    loads.mark_changed();
    let (answers, mut answered) = mpsc::channel(ANSWERS);
    let mut chosen = None;
    while shared.owner_inbox.load().is_some() {
        let frame = tokio::select! {
            message = socket.next() => match message {
                Some(Ok(message)) => {
                    if let Some(rank) = take(&shared, &answers, &message) {
                        chosen = Some(shared.followers.add(rank));
                    }
                    continue;
                }
                _ => return,
            },
            answer = answered.recv() => answer,
            () = is_chosen(&mut chosen) => Some(JobFrame::Follow),
            changed = loads.changed() => changed.ok().map(|()| {
                let word = loads.borrow_and_update().clone();
                JobFrame::Loads(OwnerWord::clone(&word))
            }),
        };
        let Some(frame) = frame else {
            return;
        };
        if !send(&mut socket, &frame).await {
            return;
        }
    }
    // The choice is made just before the pools are given up.
    if chosen.is_some_and(|mut choice| choice.try_recv().is_ok()) {
        send(&mut socket, &JobFrame::Follow).await;
    }
}

/// Waits until the member at the other end is chosen to follow this one.
async fn is_chosen(chosen: &mut Option<oneshot::Receiver<()>>) {
    let Some(choice) = chosen else {
        return std::future::pending().await;
    };
    let made = choice.await;
    *chosen = None;
    if made.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Takes a frame in; returns the rank of a member that says who it is.
fn take(
    shared: &Arc<MemberShared>,
    answers: &mpsc::Sender<JobFrame>,
    message: &Message,
) -> Option<MemberRank> {
    let Message::Binary(bytes) = message else {
        return None;
    };
    match decode_job_frame(bytes) {
        Ok(JobFrame::Ask { id, job }) => {
            let (shared, answers) = (shared.clone(), answers.clone());
            tokio::spawn(async move {
                let answer = ask_owner(&shared, job).await;
                // The link may have closed.
                let _ = answers.send(JobFrame::Answer { id, answer }).await;
            });
        }
        Ok(JobFrame::Offer(rank)) => {
            if shared.owner.record_offer(rank) {
                event!(shared.log, Ownership, "outcome": "gives way",
                    "rank": shared.identity.rank.as_str(), "to": rank.as_str());
            }
            return Some(rank);
        }
        Ok(JobFrame::Stored(records)) => tell_owner(shared, &records),
        Ok(JobFrame::Answer { .. } | JobFrame::Loads(_) | JobFrame::Follow) => {}
        Err(error) => event!(shared.log, Unreadable, "key": "peer frame",
            "reason": error.to_string()),
    }
    None
}

/// Tells this member's owner pipe of records that a member has stored.
pub(super) fn tell_owner(shared: &MemberShared, records: &[KeyedRecord]) {
    if let Some(inbox) = shared.owner_inbox.load_full() {
        // The engine may have ended.
        let _ = inbox.send(OwnerEvent::Told(decode_all(shared, records)));
    }
}

/// Asks this member's owner pipe.
pub(super) async fn ask_owner(shared: &MemberShared, job: JobId) -> JobAnswer {
    let Some(inbox) = shared.owner_inbox.load_full() else {
        return JobAnswer::Unsure;
    };
    let (reply, answer) = oneshot::channel();
    if inbox.send(OwnerEvent::Ask { job, reply }).is_err() {
        return JobAnswer::Unsure;
    }
    answer.await.unwrap_or(JobAnswer::Unsure)
}

/// Sends a frame; false where the link is of no use any more.
pub(super) async fn send<S: PeerStream>(socket: &mut WebSocketStream<S>, frame: &JobFrame) -> bool {
    let Ok(bytes) = encode_job_frame(frame) else {
        return false;
    };
    let sent = timeout(SEND_LIMIT, socket.send(Message::Binary(bytes.into()))).await;
    matches!(sent, Ok(Ok(())))
}
