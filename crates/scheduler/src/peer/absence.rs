//! Search for members that have ended, whose promises an owner would wait for in vain.

use std::{io::ErrorKind, sync::Arc, time::Duration};

use futures::{StreamExt, future::join_all};
use jacinthhoist_codec::{JobFrame, decode_job_frame};
use tokio::time::{sleep, timeout};
use tokio_tungstenite::{client_async, tungstenite::Message};

use crate::{eventlog::event, member::peer_address, ports::PeerNetwork, shared::MemberShared};

/// Interval between searches; several fit into the time for which leases run without evidence.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for the answer of a member.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Looks for members that have ended, while this member owns the pools and the store does not confirm
/// it.
pub(crate) async fn watch_absent_members<N: PeerNetwork>(peers: Arc<N>, shared: Arc<MemberShared>) {
    while !shared.is_stopping() {
        sleep(SEARCH_INTERVAL).await;
        if shared.owner_inbox.load().is_some() && shared.is_owner_in_doubt() {
            let absent = shared.standings.absent();
            join_all(absent.iter().map(|key| look_for(&*peers, &shared, key))).await;
        }
    }
}

/// Looks for a process at the address of a member. It has ended if the address refuses connections, or
/// if another process answers there.
async fn look_for<N: PeerNetwork>(peers: &N, shared: &MemberShared, key: &Arc<str>) {
    let Some(address) = peer_address(key) else {
        return;
    };
    let asked_at = shared.clock.now();
    let connected = timeout(ANSWER_TIMEOUT, peers.connect(address)).await;
    let reason = match connected {
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            shared.standings.record_end(key);
            "its address refuses connections"
        }
        Ok(Ok(stream)) => {
            let identity = timeout(ANSWER_TIMEOUT, async {
                let (mut socket, _) = client_async(format!("ws://{address}/"), stream)
                    .await
                    .ok()?;
                match socket.next().await?.ok()? {
                    Message::Binary(bytes) => decode_job_frame(&bytes).ok(),
                    _ => None,
                }
            });
            let Ok(Some(JobFrame::Identify(other))) = identity.await else {
                return;
            };
            if !shared.standings.record_process(&other, key, asked_at) {
                return;
            }
            "another process answers in its place"
        }
        // It may be alive but unreachable.
        Ok(Err(_)) | Err(_) => return,
    };
    event!(shared.log, Ownership, "outcome": "a member has ended", "ended": &**key,
        "reason": reason);
}
