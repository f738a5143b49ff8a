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
        HoldReport, JobId, OrderReply, SchedulerLimits, StartReply, TaskKey, VmEntry, WorkerEntry,
    },
};
use tokio::{
    sync::{oneshot, watch},
    time::sleep,
};

use crate::{
    eventlog::event, membership::Place, operator::WaveBook, ports::Platform, shared::MemberShared,
};

use engine::OwnerEngine;

/// Pause before ownership is looked at again.
const RECHECK: Duration = Duration::from_millis(50);

/// What reaches the owner.
#[derive(Debug)]
pub(crate) enum OwnerEvent {
    /// Accepted records, in order.
    Accepted(Vec<AcceptedRecord>),
    /// All workers that are registered.
    WorkersListed(BTreeMap<WorkerId, WorkerEntry>),
    /// A worker's entry changed; none where it was removed.
    WorkerChanged(WorkerId, Option<WorkerEntry>),
    /// A worker answered a renewal; none where it did not.
    Held {
        worker: WorkerId,
        report: Option<HoldReport>,
        asked_at: ClockTime,
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
    pub(crate) place: watch::Receiver<Place>,
    pub(crate) waves: watch::Receiver<WaveBook>,
}

impl<P: Platform> OwnerTask<P> {
    pub(crate) async fn run(mut self) {
        // The highest token under which another owner has been met.
        let mut fenced = 0;
        while !self.shared.is_stopping() {
            let place = *self.place.borrow_and_update();
            let Some(token) = usable_token(&place, fenced) else {
                self.wait().await;
                continue;
            };
            event!(self.shared.log, Ownership, "owns": true, "token": token,
                "owned_since": place.owned_since, "generation": place.generation);
            let reason = self.own(token).await;
            self.shared.owner_inbox.store(None);
            event!(self.shared.log, Ownership, "owns": false, "token": token, "reason": reason);
            fenced = fenced.max(token);
        }
    }

    /// Waits for news; a stop is seen at the next look.
    async fn wait(&mut self) {
        tokio::select! {
            changed = self.place.changed() => if changed.is_err() {
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
            reason = lost_place(&self.shared, self.place.clone()) => return reason,
        };
        match engine {
            Ok(engine) => engine.run().await,
            Err(reason) => reason,
        }
    }
}

/// The token under which the pools may be owned now, if they may.
fn usable_token(place: &Place, fenced: u64) -> Option<u64> {
    let since = place.owned_since?;
    if since > fenced {
        return Some(since);
    }
    // Another owner was met under this token or a later one; only a newer generation is above it.
    (place.generation > fenced).then_some(place.generation)
}

/// Ends when the member no longer owns the pools, or stops.
async fn lost_place(shared: &MemberShared, mut place: watch::Receiver<Place>) -> &'static str {
    loop {
        if shared.is_stopping() {
            return "the member stops";
        }
        if place.borrow_and_update().owned_since.is_none() {
            return "the group gave the pools to another member";
        }
        tokio::select! {
            changed = place.changed() => if changed.is_err() {
                return "membership has ended";
            },
            () = sleep(RECHECK) => {}
        }
    }
}
