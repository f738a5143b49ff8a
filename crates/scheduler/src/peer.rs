//! Links between members: the owner answers for jobs and tells loads; the others ask and follow.

mod ask;
mod serve;

pub(crate) use ask::{AskRequest, AskTask};
pub(crate) use serve::serve;
