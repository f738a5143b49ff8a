//! The owner pipe: tail → fold → observe workers → schedule → store → order → confirm.
//!
//! It runs on the one member that owns the pools. A single task holds the [`Scheduler`]; what waits
//! for the platform runs beside it and reports by [`OwnerEvent`].

mod engine;
mod load;
mod notes;
mod perform;
mod sources;
mod workers;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jacinthhoist_codec::{AcceptedRecord, JobAnswer};
use jacinthhoist_core::{
    ClockTime, VmName, WorkerId,
    job::{
        HoldReport, JobId, OrderReply, SchedulerLimits, StartReply, StepAdvice, TaskKey, VmEntry,
        WorkerEntry,
    },
};
use tokio::{
    sync::{oneshot, watch},
    time::sleep,
};

use crate::{
    eventlog::event, membership::PoolOwnership, operator::WaveRequests, ports::Platform,
    shared::MemberShared,
};

pub(crate) use load::decode_all;

use engine::OwnerEngine;

/// Takeovers of one process that get tokens of their own; a process that needs more is out of order.
const TAKEOVERS_PER_GENERATION: u64 = 1_024;
/// Pause before ownership is looked at again.
const RECHECK: Duration = Duration::from_millis(50);

/// What reaches the owner.
#[derive(Debug)]
pub(crate) enum OwnerEvent {
    /// Accepted records, in order.
    Accepted(Vec<AcceptedRecord>),
    /// Accepted records that a member tells of, ahead of the read of all.
    Told(Vec<AcceptedRecord>),
    /// All workers that are registered.
    WorkersListed(BTreeMap<WorkerId, WorkerEntry>),
    /// A worker's entry changed; none where it was removed.
    WorkerChanged(WorkerId, Option<WorkerEntry>),
    /// A worker answered a renewal; none where it did not.
    Held {
        worker: WorkerId,
        report: Option<HoldReport>,
        asked_at: ClockTime,
        /// Whether it was a look beside the renewals.
        look: bool,
    },
    /// A worker answered a start order.
    Started {
        worker: WorkerId,
        task: TaskKey,
        run: u32,
        reply: StartReply,
    },
    /// A worker answered a stop order.
    Stopped {
        worker: WorkerId,
        task: TaskKey,
        run: u32,
        reply: OrderReply,
    },
    /// A batch is stored.
    Stored(u64),
    /// The bodies of these jobs have left the store.
    Forgotten(Vec<JobId>),
    /// The policy service answered; none where it did not.
    Advised(Option<StepAdvice>),
    /// The list of VMs.
    Vms {
        vms: Vec<VmEntry>,
        asked_at: ClockTime,
    },
    /// The platform answered an order on a VM.
    VmOrdered { vm: VmName, reply: OrderReply },
    /// Another member has taken over.
    Fenced(&'static str),
    /// A member asks for a job.
    Ask {
        job: JobId,
        reply: oneshot::Sender<JobAnswer>,
    },
}

/// Runs the owner pipe whenever this member owns the pools.
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
            // What was heard before the last ownership ended may be what ended it.
            if ownership.owned_since.is_none() || ownership.confirmed_at <= ended_at {
                self.wait().await;
                continue;
            }
            takeovers += 1;
            let token = takeover_token(ownership.generation, takeovers);
            event!(self.shared.log, Ownership, "owns": true, "token": token,
                "owned_since": ownership.owned_since, "generation": ownership.generation);
            let reason = self.own(token).await;
            self.shared.owner_inbox.store(None);
            self.shared.owner.record_succession();
            ended_at = self.shared.clock.now();
            event!(self.shared.log, Ownership, "owns": false, "token": token, "reason": reason);
        }
    }

    /// Waits for news; a stop is seen at the next look.
    async fn wait(&mut self) {
        tokio::select! {
            changed = self.ownership.changed() => if changed.is_err() {
                sleep(RECHECK).await;
            },
            () = sleep(RECHECK) => {}
        }
    }

    /// Owns the pools under a token until that ends, and tells why.
    async fn own(&mut self, token: u64) -> &'static str {
        let load = OwnerEngine::load(self, token);
        let engine = tokio::select! {
            engine = load => engine,
            reason = lost_place(&self.shared, self.ownership.clone()) => return reason,
        };
        match engine {
            Ok(engine) => engine.run().await,
            Err(reason) => reason,
        }
    }
}

/// The token of a takeover. The group's generation rises whenever the pools change hands, so an
/// earlier owner's token is lower; takeovers of one process under one generation follow each other
/// below it.
fn takeover_token(generation: u64, takeovers: u64) -> u64 {
    generation * TAKEOVERS_PER_GENERATION + takeovers.min(TAKEOVERS_PER_GENERATION - 1)
}

/// Ends when the member no longer owns the pools, or stops.
async fn lost_place(
    shared: &MemberShared,
    mut ownership: watch::Receiver<PoolOwnership>,
) -> &'static str {
    loop {
        if shared.is_stopping() {
            return "the member stops";
        }
        if ownership.borrow_and_update().owned_since.is_none() {
            return "the group gave the pools to another member";
        }
        tokio::select! {
            changed = ownership.changed() => if changed.is_err() {
                return "membership has ended";
            },
            () = sleep(RECHECK) => {}
        }
    }
}
