//! Control pipe: read → decode → fold → publish → observe → plan → propose → append.

mod append;
mod fold;
mod observe;
mod plan;
mod publish;
mod read;
mod snapshot;

pub(crate) use append::{AppendTask, ProposalSender, proposal_channel};
pub(crate) use fold::{FoldHandle, FoldTask};
pub(crate) use observe::{Observation, ObserveTask};
pub(crate) use plan::PlanTask;
pub(crate) use publish::PublishTask;
pub(crate) use read::ReadTask;
pub(crate) use snapshot::SnapshotTask;
