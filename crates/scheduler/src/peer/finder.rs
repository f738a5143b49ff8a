//! Search for the member that owns the pools.

use std::{io::ErrorKind, sync::Arc, time::Duration};

use tokio::time::timeout;
use tokio_tungstenite::{WebSocketStream, client_async};

use crate::{
    eventlog::event,
    member::peer_address,
    membership::look_up_owner,
    ports::{PeerNetwork, Platform},
    shared::MemberShared,
};

/// Timeout for each of the two steps of opening a link: connection and handshake.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Finds the owner in the store and connects to it.
pub(super) struct OwnerFinder<P, N> {
    pub(super) platform: Arc<P>,
    pub(super) peers: Arc<N>,
    pub(super) shared: Arc<MemberShared>,
}

impl<P: Platform, N: PeerNetwork> OwnerFinder<P, N> {
    /// Finds the owner and opens a link to it; `None` if there is none or it cannot be reached.
    pub(super) async fn find_owner(&self) -> Option<(String, WebSocketStream<N::Stream>)> {
        let known = self.shared.owner_view.recorded_key();
        let looked_up = look_up_owner(&*self.platform, &self.shared).await;
        // A member that the store turns away keeps to the owner that it knows.
        let owner = looked_up.or_else(|| known.map(|key| key.as_ref().clone()))?;
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
}
