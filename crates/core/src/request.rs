//! The life cycle of a request as a typestate.
//!
//! `Received → Classified → Admitted → Queued → Placed → Dispatched → Attempted → Answered`. A
//! refusal that says "not run" can be made only from phases before `Dispatched`, or from an
//! attempt that proves that nothing ran; a second answer does not compile.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::{
    catalogue::WorkEntry,
    clock::ClockTime,
    name::WorkName,
    refusal::{Outcome, RefusalReason, RetryReason},
};

/// It has arrived.
#[derive(Debug)]
pub struct Received(());

/// Its kind of work is known.
#[derive(Debug)]
pub struct Classified(());

/// It is within its limits.
#[derive(Debug)]
pub struct Admitted(());

/// It waits for a slot.
#[derive(Debug)]
pub struct Queued(());

/// It holds a slot of a VM.
#[derive(Debug)]
pub struct Placed {
    /// The index of the VM in its pool's route.
    pub vm: usize,
}

/// It may be running.
#[derive(Debug)]
pub struct Dispatched {
    /// The index of the VM in its pool's route.
    pub vm: usize,
}

/// An attempt has ended without an answer to relay.
#[derive(Debug)]
pub struct Attempted {
    /// Why the attempt came to nothing.
    pub reason: RetryReason,
    /// Whether it is proved that nothing ran.
    pub not_run: bool,
}

/// Its caller has been told.
#[derive(Debug)]
pub struct Answered {
    /// What the caller was told.
    pub outcome: Outcome,
    /// Why, where it is not the upstream's own answer.
    pub reason: Option<RefusalReason>,
}

/// A request in one phase of its life.
#[derive(Debug)]
pub struct Request<P> {
    /// Its id, unique to the member's incarnation.
    pub id: u64,
    /// When it arrived.
    pub received_at: ClockTime,
    /// When its answer must have begun.
    pub deadline: ClockTime,
    /// The kind of work; none before it is classified.
    pub work: Option<(WorkName, Arc<WorkEntry>)>,
    /// VMs that earlier attempts used.
    pub attempted_vms: SmallVec<[usize; 4]>,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// What belongs to the phase.
    pub phase: P,
}

impl<P> Request<P> {
    fn turn<N>(self, phase: N) -> Request<N> {
        let Self {
            id,
            received_at,
            deadline,
            work,
            attempted_vms,
            may_have_run,
            ..
        } = self;
        Request {
            id,
            received_at,
            deadline,
            work,
            attempted_vms,
            may_have_run,
            phase,
        }
    }

    /// Whether it may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.work
            .as_ref()
            .is_some_and(|(_, entry)| entry.repeatable)
    }

    /// Ends it. "Not run" is said only where no attempt of this request may have run.
    fn answered(self, outcome: Outcome, reason: Option<RefusalReason>) -> Request<Answered> {
        let outcome = match outcome {
            Outcome::NotRun if self.may_have_run => Outcome::Unknown,
            other => other,
        };
        self.turn(Answered { outcome, reason })
    }
}

macro_rules! refusable {
    ($($phase:ident),*) => {
        $(impl Request<$phase> {
            /// Refuses it; it has not run.
            pub fn refuse(self, reason: RefusalReason) -> Request<Answered> {
                self.answered(Outcome::NotRun, Some(reason))
            }
        })*
    };
}

macro_rules! repeatable_key {
    ($($phase:ident),*) => {
        $(impl Request<$phase> {
            /// It repeats a key whose outcome is known already.
            pub fn replay(self, outcome: Outcome, reason: Option<RefusalReason>) -> Request<Answered> {
                self.answered(outcome, reason)
            }
        })*
    };
}

repeatable_key!(Classified, Admitted);

refusable!(Received, Classified, Admitted, Queued, Placed);

impl Request<Received> {
    /// A request that has just arrived.
    pub fn receive(id: u64, now: ClockTime) -> Self {
        Self {
            id,
            received_at: now,
            deadline: now,
            work: None,
            attempted_vms: SmallVec::new(),
            may_have_run: false,
            phase: Received(()),
        }
    }

    /// Its kind of work is found in the catalogue.
    pub fn classify(mut self, name: WorkName, entry: Arc<WorkEntry>) -> Request<Classified> {
        self.deadline = self.received_at + ClockTime::from_millis(entry.deadline_ms);
        self.work = Some((name, entry));
        self.turn(Classified(()))
    }
}

impl Request<Answered> {
    /// A request whose task ended without a word: it may have run.
    pub fn from_lost_task(id: u64, received_at: ClockTime) -> Self {
        let reason = Some(RefusalReason::ConnectionLost);
        Request::receive(id, received_at).answered(Outcome::Unknown, reason)
    }
}

impl Request<Classified> {
    /// It is within its limits.
    pub fn admit(self) -> Request<Admitted> {
        self.turn(Admitted(()))
    }
}

impl Request<Admitted> {
    /// It waits for a slot.
    pub fn enqueue(self) -> Request<Queued> {
        self.turn(Queued(()))
    }
}

impl Request<Queued> {
    /// It holds a slot of a VM.
    pub fn place(mut self, vm: usize) -> Request<Placed> {
        self.attempted_vms.push(vm);
        self.turn(Placed { vm })
    }
}

impl Request<Placed> {
    /// It is handed to a connection.
    pub fn dispatch(self) -> Request<Dispatched> {
        let vm = self.phase.vm;
        self.turn(Dispatched { vm })
    }

    /// No connection could be made: nothing was sent.
    pub fn fail_unsent(self, reason: RetryReason) -> Request<Attempted> {
        self.turn(Attempted {
            reason,
            not_run: true,
        })
    }
}

impl Request<Dispatched> {
    /// The upstream answered; the answer goes to the caller.
    pub fn relay(self, outcome: Outcome, reason: Option<RefusalReason>) -> Request<Answered> {
        self.answered(outcome, reason)
    }

    /// The upstream saved the work's progress: it goes on elsewhere, as the same attempt.
    pub fn requeue_checkpointed(mut self) -> Request<Admitted> {
        self.may_have_run = true;
        self.attempted_vms.pop();
        self.turn(Admitted(()))
    }

    /// The attempt ended without an answer to relay.
    pub fn fail_attempt(mut self, reason: RetryReason, not_run: bool) -> Request<Attempted> {
        self.may_have_run |= !not_run;
        self.turn(Attempted { reason, not_run })
    }
}

impl Request<Attempted> {
    /// Whether another attempt is allowed: work that may have run is sent again only where the
    /// catalogue marks it repeatable, never past the deadline or the cap on attempts.
    pub fn may_retry(&self, now: ClockTime) -> bool {
        let cap = self
            .work
            .as_ref()
            .map_or(1, |(_, entry)| entry.max_attempts as usize);
        let safe = self.phase.not_run || self.is_repeatable();
        safe && self.attempted_vms.len() < cap && now < self.deadline
    }

    /// Goes back to wait for another slot; the request itself where that is not allowed.
    pub fn retry(self, now: ClockTime) -> Result<Request<Admitted>, Self> {
        if !self.may_retry(now) {
            return Err(self);
        }
        Ok(self.turn(Admitted(())))
    }

    /// Gives up, and says what is known.
    pub fn give_up(self) -> Request<Answered> {
        let reason = match self.phase.reason {
            RetryReason::ConnectFailed => RefusalReason::ConnectFailed,
            RetryReason::UpstreamRefused => RefusalReason::UpstreamRefused,
            RetryReason::ConnectionLost => RefusalReason::ConnectionLost,
            RetryReason::UpstreamFailed => RefusalReason::UpstreamFailed,
            RetryReason::AnswerCrossed => RefusalReason::AnswerCrossed,
            RetryReason::AnswerTimeout => RefusalReason::AnswerTimeout,
        };
        let outcome = match (self.phase.not_run, self.phase.reason) {
            (true, _) => Outcome::NotRun,
            (false, RetryReason::UpstreamFailed) => Outcome::Failed,
            (false, _) => Outcome::Unknown,
        };
        self.answered(outcome, Some(reason))
    }
}
