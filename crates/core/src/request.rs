//! Life cycle of a request as a typestate.
//!
//! `Received → Classified → Admitted → Queued → Placed → Dispatched → Attempted → Answered`.
//!
//! A refusal with the outcome "not run" can be created only in phases before `Dispatched`, or after
//! an attempt with proof that nothing ran. Answering a request twice does not compile.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::{
    catalogue::WorkEntry,
    clock::ClockTime,
    name::WorkName,
    refusal::{Outcome, RefusalReason, RetryReason},
};

/// Phase of a request that has been received.
#[derive(Debug)]
pub struct Received(());

/// Phase of a request whose kind of work is known.
#[derive(Debug)]
pub struct Classified(());

/// Phase of a request within its admission limits.
#[derive(Debug)]
pub struct Admitted(());

/// Phase of a request that waits for a slot.
#[derive(Debug)]
pub struct Queued(());

/// Phase of a request that holds a slot of a VM.
#[derive(Debug)]
pub struct Placed {
    /// Index of the VM in the route of its pool.
    pub vm: usize,
}

/// Phase of a request that was sent and may be running.
#[derive(Debug)]
pub struct Dispatched {
    /// Index of the VM in the route of its pool.
    pub vm: usize,
}

/// Phase of a request whose latest attempt ended without a response to relay.
#[derive(Debug)]
pub struct Attempted {
    /// Reason why the attempt failed.
    pub reason: RetryReason,
    /// True if there is proof that the attempt did not run.
    pub not_run: bool,
}

/// Final phase: the outcome is settled and reported to the caller.
#[derive(Debug)]
pub struct Answered {
    /// Outcome reported to the caller.
    pub outcome: Outcome,
    /// Reason, if the response is not the upstream's.
    pub reason: Option<RefusalReason>,
}

/// A request in phase `P` of its life cycle.
#[derive(Debug)]
pub struct Request<P> {
    /// Id, unique within the member's incarnation.
    pub id: u64,
    /// Time of receipt.
    pub received_at: ClockTime,
    /// Time by which the response must have begun.
    pub deadline: ClockTime,
    /// Kind of work, or `None` before classification.
    pub work: Option<(WorkName, Arc<WorkEntry>)>,
    /// VMs used by the attempts so far.
    pub attempted_vms: SmallVec<[usize; 4]>,
    /// True if an earlier attempt may have run.
    pub may_have_run: bool,
    /// Data of the phase.
    pub phase: P,
}

impl<P> Request<P> {
    fn transition<N>(self, phase: N) -> Request<N> {
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

    /// Returns true if the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.work
            .as_ref()
            .is_some_and(|(_, entry)| entry.repeatable)
    }

    /// Ends the request. The outcome is "not run" only if no attempt may have run.
    fn answer(self, outcome: Outcome, reason: Option<RefusalReason>) -> Request<Answered> {
        let outcome = match outcome {
            Outcome::NotRun if self.may_have_run => Outcome::Unknown,
            other => other,
        };
        self.transition(Answered { outcome, reason })
    }
}

macro_rules! impl_refuse {
    ($($phase:ident),*) => {
        $(impl Request<$phase> {
            /// Refuses the request, which has not run.
            pub fn refuse(self, reason: RefusalReason) -> Request<Answered> {
                self.answer(Outcome::NotRun, Some(reason))
            }
        })*
    };
}

macro_rules! impl_replay {
    ($($phase:ident),*) => {
        $(impl Request<$phase> {
            /// Replays the known outcome of the request's idempotency key.
            pub fn replay(self, outcome: Outcome, reason: Option<RefusalReason>) -> Request<Answered> {
                self.answer(outcome, reason)
            }
        })*
    };
}

impl_replay!(Classified, Admitted);

impl_refuse!(Received, Classified, Admitted, Queued, Placed);

impl Request<Received> {
    /// Creates a request that was received now.
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

    /// Sets the kind of work found in the catalogue, and the deadline.
    pub fn classify(mut self, name: WorkName, entry: Arc<WorkEntry>) -> Request<Classified> {
        self.deadline = self.received_at + ClockTime::from_millis(entry.deadline_ms);
        self.work = Some((name, entry));
        self.transition(Classified(()))
    }
}

impl Request<Answered> {
    /// Answers for a request whose task ended without a result; the request may have run.
    pub fn from_lost_task(id: u64, received_at: ClockTime) -> Self {
        let reason = Some(RefusalReason::ConnectionLost);
        Request::receive(id, received_at).answer(Outcome::Unknown, reason)
    }
}

impl Request<Classified> {
    /// Admits the request, which is within its limits.
    pub fn admit(self) -> Request<Admitted> {
        self.transition(Admitted(()))
    }
}

impl Request<Admitted> {
    /// Queues the request for a slot.
    pub fn enqueue(self) -> Request<Queued> {
        self.transition(Queued(()))
    }
}

impl Request<Queued> {
    /// Assigns a slot of a VM.
    pub fn place(mut self, vm: usize) -> Request<Placed> {
        self.attempted_vms.push(vm);
        self.transition(Placed { vm })
    }
}

impl Request<Placed> {
    /// Hands the request to a connection.
    pub fn dispatch(self) -> Request<Dispatched> {
        let vm = self.phase.vm;
        self.transition(Dispatched { vm })
    }

    /// Ends an attempt for which no connection could be opened; nothing was sent.
    pub fn fail_unsent(self, reason: RetryReason) -> Request<Attempted> {
        self.transition(Attempted {
            reason,
            not_run: true,
        })
    }
}

impl Request<Dispatched> {
    /// Ends the request with the upstream's response, which goes to the caller.
    pub fn relay(self, outcome: Outcome, reason: Option<RefusalReason>) -> Request<Answered> {
        self.answer(outcome, reason)
    }

    /// Requeues a request whose progress the upstream checkpointed, to resume on another VM as part
    /// of the same attempt.
    pub fn requeue_checkpointed(mut self) -> Request<Admitted> {
        self.may_have_run = true;
        self.attempted_vms.pop();
        self.transition(Admitted(()))
    }

    /// Ends an attempt without a response to relay.
    pub fn fail_attempt(mut self, reason: RetryReason, not_run: bool) -> Request<Attempted> {
        self.may_have_run |= !not_run;
        self.transition(Attempted { reason, not_run })
    }
}

impl Request<Attempted> {
    /// Returns true if another attempt is allowed.
    ///
    /// Work that may have run is retried only if the catalogue marks it repeatable, and never past
    /// the deadline or the maximum number of attempts.
    pub fn may_retry(&self, now: ClockTime) -> bool {
        let max_attempts = self
            .work
            .as_ref()
            .map_or(1, |(_, entry)| entry.max_attempts as usize);
        let repeat_is_safe = self.phase.not_run || self.is_repeatable();
        repeat_is_safe && self.attempted_vms.len() < max_attempts && now < self.deadline
    }

    /// Returns the request to admission for another attempt.
    ///
    /// # Errors
    ///
    /// The request itself if no other attempt is allowed.
    pub fn retry(self, now: ClockTime) -> Result<Request<Admitted>, Self> {
        if !self.may_retry(now) {
            return Err(self);
        }
        Ok(self.transition(Admitted(())))
    }

    /// Ends the request without another attempt, with the outcome that the attempts prove.
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
        self.answer(outcome, Some(reason))
    }
}
