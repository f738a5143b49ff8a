//! Links between members: the owner answers for jobs and tells loads; the others ask and follow.

mod ask;
mod followers;
mod network;
mod serve;

pub(crate) use ask::{AskRequest, AskTask};
pub(crate) use followers::FollowerBook;
pub use network::TcpPeers;
pub(crate) use serve::serve;
