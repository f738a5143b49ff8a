//! Links between members: the owner answers job queries and sends heartbeats; the other
//! members follow it.

mod feed;
mod finder;
mod followers;
mod network;
mod query;
mod serve;
mod standing;

pub use feed::{FollowedHeartbeats, HeartbeatFeed};
pub(crate) use followers::FollowerRegistry;
pub use network::TcpPeers;
pub(crate) use query::{JobQuery, QueryTask};
pub(crate) use serve::serve;
pub(crate) use standing::FollowerStandings;
