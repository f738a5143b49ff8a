//! Links between members: the owner answers job queries and publishes load reports; the other
//! members follow it.

mod ask;
mod followers;
mod network;
mod serve;

pub(crate) use ask::{AskRequest, AskTask};
pub(crate) use followers::FollowerRegistry;
pub use network::TcpPeers;
pub(crate) use serve::serve;
