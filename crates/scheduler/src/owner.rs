//! Owner pipe: tail → fold → observe workers → schedule → store → order → confirm.
//!
//! It runs on the one member that owns the pools. A single task holds the scheduler; calls to the
//! platform run in separate tasks and report their results as [`OwnerEvent`]s.

mod authority;
mod decisions;
mod effects;
mod engine;
mod questions;
mod sources;
mod takeover;
mod wall_times;
mod workers;

use std::{collections::BTreeMap, panic::AssertUnwindSafe, sync::Arc, time::Duration};

use futures::FutureExt;

use jacinthhoist_codec::AcceptedRecord;
use jacinthhoist_core::{
    ClockTime, VmName, WorkerId,
    job::{
        JobId, JobSpec, OrderReply, RenewalReport, SchedulerLimits, StartReply, StepAdvice,
        TaskKey, VmEntry, WorkerEntry,
    },
};
use tokio::{sync::watch, time::sleep};

use crate::{
    eventlog::event, membership::PoolOwnership, operator::WaveRequests, peer::JobQuery,
    ports::Platform, shared::MemberShared,
};

pub(crate) use takeover::decode_accepted_records;

use engine::OwnerEngine;
use questions::QuestionNumber;

/// Number of takeovers of one process within a generation that receive distinct tokens; a process
/// that needs more is faulty.
const TAKEOVERS_PER_GENERATION: u64 = 1_024;
/// Interval between checks of the ownership.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Way in which accepted records were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptedRead {
    /// All records from an offset on; the store waited for new ones.
    Tail,
    /// The newest record of each key.
    List,
    /// All records from an offset on without a wait, which covers the questions up to this number.
    OnDemand(QuestionNumber),
}

/// Event for the owner pipe.
#[derive(Debug)]
pub(crate) enum OwnerEvent {
    /// Accepted records in stream order.
    Accepted {
        records: Vec<AcceptedRecord>,
        /// Time before which all accepted records are known with these; `None` if more are known to
        /// follow.
        read_at: Option<ClockTime>,
        read: AcceptedRead,
    },
    /// Accepted records forwarded by the member that stored them, ahead of the stream read.
    Forwarded(Vec<AcceptedRecord>),
    /// Entries of all registered workers.
    WorkersListed(BTreeMap<WorkerId, WorkerEntry>),
    /// Changed entry of a worker; `None` if it was removed.
    WorkerChanged(WorkerId, Option<WorkerEntry>),
    /// Answer of a worker to a renewal order; `None` if the call failed.
    Renewed {
        worker: WorkerId,
        report: Option<RenewalReport>,
        /// Time at which the order was sent.
        asked_at: ClockTime,
        /// True if the order was a status probe outside the regular renewals.
        probe: bool,
    },
    /// A renewal order was not sent, as the permission to send it had run out.
    RenewalExpired {
        worker: WorkerId,
        /// True if the order was a status probe outside the regular renewals.
        probe: bool,
    },
    /// Answer of a worker to a start order.
    Started {
        worker: WorkerId,
        task: TaskKey,
        run: u32,
        reply: StartReply,
    },
    /// Answer of a worker to a stop order.
    Stopped {
        worker: WorkerId,
        task: TaskKey,
        run: u32,
        reply: OrderReply,
    },
    /// A batch has been stored.
    Stored {
        number: u64,
        /// Time at which its append was first sent.
        asked_at: ClockTime,
    },
    /// Accepted jobs that were read again; `None` if that failed.
    Loaded {
        /// Jobs that were looked for.
        wanted: Vec<JobId>,
        loaded: Option<Vec<(JobId, Arc<JobSpec>)>>,
    },
    /// Jobs whose bodies have been removed from the store.
    BodiesRemoved(Vec<JobId>),
    /// Answer of the policy service; `None` if the call failed.
    Advised(Option<StepAdvice>),
    /// VMs of all pools.
    Vms {
        vms: Vec<VmEntry>,
        /// Time at which the list was requested.
        asked_at: ClockTime,
    },
    /// Answer of the platform to an order for a VM.
    VmOrdered { vm: VmName, reply: OrderReply },
    /// Another member has taken over; the text is the reason for the log.
    Fenced(&'static str),
    /// Query for the state of a job.
    Query { query: JobQuery },
}

impl OwnerEvent {
    /// Returns the reason for the log if the event shows that a later owner has taken over.
    fn fence(&self) -> Option<&'static str> {
        match self {
            Self::Fenced(reason) => Some(reason),
            Self::Started {
                reply: StartReply::Fenced,
                ..
            }
            | Self::Stopped {
                reply: OrderReply::Fenced,
                ..
            } => Some("a worker has seen a newer owner"),
            Self::VmOrdered {
                reply: OrderReply::Fenced,
                ..
            } => Some("a VM has seen a newer owner"),
            _ => None,
        }
    }

    /// Returns `true` for accepted records after which no more were stored when they were read.
    fn is_complete_read(&self) -> bool {
        matches!(self, Self::Accepted { read_at, .. } if read_at.is_some())
    }
}

/// Task that runs the owner pipe while this member owns the pools.
pub(crate) struct OwnerTask<P> {
    pub(crate) platform: Arc<P>,
    pub(crate) shared: Arc<MemberShared>,
    pub(crate) limits: SchedulerLimits,
    pub(crate) ownership: watch::Receiver<PoolOwnership>,
    pub(crate) waves: watch::Receiver<WaveRequests>,
}

impl<P: Platform> OwnerTask<P> {
    pub(crate) async fn run(mut self) {
        let (mut takeovers, mut ended_at) = (0, ClockTime::ZERO);
        while !self.shared.is_stopping() {
            let ownership = *self.ownership.borrow_and_update();
            // A confirmation that precedes the end of the last ownership is outdated.
            if ownership.owned_since.is_none() || ownership.confirmed_at <= ended_at {
                self.wait_ownership().await;
                continue;
            }
            takeovers += 1;
            let token = takeover_token(ownership.generation, takeovers);
            event!(self.shared.log, Ownership, "owns": true, "token": token,
                "owned_since": ownership.owned_since, "generation": ownership.generation);
            let owning = AssertUnwindSafe(self.own(token)).catch_unwind();
            // The state is dropped; the next owner loads it anew from the store.
            let reason = owning.await.unwrap_or("the owner pipe has panicked");
            self.shared.owner_inbox.store(None);
            self.shared.heartbeats.end();
            self.shared.owner_view.record_ownership_end();
            ended_at = self.shared.clock.now();
            event!(self.shared.log, Ownership, "owns": false, "token": token, "reason": reason);
        }
    }

    /// Waits for a change of ownership; returns after an interval so that a stop is noticed.
    async fn wait_ownership(&mut self) {
        tokio::select! {
            changed = self.ownership.changed() => if changed.is_err() {
                sleep(OWNERSHIP_CHECK_INTERVAL).await;
            },
            () = sleep(OWNERSHIP_CHECK_INTERVAL) => {}
        }
    }

    /// Owns the pools under a token until the ownership ends, and returns the reason.
    async fn own(&mut self, token: u64) -> &'static str {
        let takeover = OwnerEngine::take_over(self, token);
        let engine = tokio::select! {
            engine = takeover => engine,
            reason = ownership_ended(&self.shared, self.ownership.clone()) => return reason,
        };
        match engine {
            Ok(engine) => engine.run().await,
            Err(reason) => reason,
        }
    }
}

/// Returns the fencing token of a takeover. The group's generation increases with each change of
/// ownership, so that an earlier owner has a lower token. Takeovers of one process within a
/// generation are numbered in the lower digits.
fn takeover_token(generation: u64, takeovers: u64) -> u64 {
    generation * TAKEOVERS_PER_GENERATION + takeovers.min(TAKEOVERS_PER_GENERATION - 1)
}

/// Waits until the member no longer owns the pools or stops, and returns the reason.
async fn ownership_ended(
    shared: &MemberShared,
    mut ownership: watch::Receiver<PoolOwnership>,
) -> &'static str {
    loop {
        if shared.is_stopping() {
            return "the member is stopping";
        }
        if ownership.borrow_and_update().owned_since.is_none() {
            return "the group assigned the pools to another member";
        }
        tokio::select! {
            changed = ownership.changed() => if changed.is_err() {
                return "the membership task has ended";
            },
            () = sleep(OWNERSHIP_CHECK_INTERVAL) => {}
        }
    }
}
