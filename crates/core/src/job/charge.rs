//! Place that a run takes on its worker, as a typestate.
//!
//! `Held → Stray`, and back if the task adopts the run again. A held run belongs to its task, whose
//! phase tells what is known of it. A stray run belongs to no task any more: its owner has given it
//! up, or an earlier owner started it and no record names it. It takes its place like any other until
//! it is known to be gone, which neither a stop order nor its acknowledgement shows.

use crate::clock::ClockTime;

use super::{
    spec::{Resources, StepSpec},
    tenant_account::TenantSlot,
};

/// Time after which a stop order is repeated: twice the time that a stop may take.
pub(super) const STOP_RETRY_DELAY: ClockTime = ClockTime::from_millis(800);

/// Capacity that a run takes on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunCost {
    /// Resources taken.
    pub need: Resources,
    /// Resources that count for the tenant. A best-effort task takes no processor time that others need, but
    /// uses it.
    pub usage: Resources,
    /// Tenant of the job.
    pub tenant: Option<TenantSlot>,
    /// True if the task serves its own users.
    pub serves: bool,
    /// True if the task is best-effort and only uses idle processor time.
    pub best_effort: bool,
    /// True if the task runs until its job is cancelled.
    pub long_running: bool,
}

impl RunCost {
    /// Computes the cost of a run of a tenant's step.
    pub fn of(step: &StepSpec, tenant: Option<TenantSlot>) -> Self {
        Self {
            need: step.charged(),
            usage: step.need,
            tenant,
            serves: step.target > ClockTime::ZERO,
            best_effort: step.best_effort,
            long_running: step.long_running,
        }
    }

    /// Resources that are taken until the run is stopped.
    pub(super) fn lasting_need(&self) -> Resources {
        if self.long_running {
            self.need
        } else {
            Resources::default()
        }
    }
}

/// The task of the run refers to it.
#[derive(Clone, Copy, Debug)]
pub struct Held(());

/// The run belongs to no task.
#[derive(Clone, Copy, Debug)]
pub struct Stray {
    /// Time at which the last stop order was sent.
    ordered_at: Option<ClockTime>,
    /// Time at which the worker first acknowledged a stop order.
    acked_at: Option<ClockTime>,
}

/// Charge of a run in phase `P`.
#[derive(Clone, Copy, Debug)]
pub struct RunCharge<P> {
    /// Capacity taken; none for a run of an unknown job.
    cost: Option<RunCost>,
    /// Time by which the run is known to have begun. A start order without an answer may be carried
    /// out later.
    begun_at: Option<ClockTime>,
    phase: P,
}

impl<P> RunCharge<P> {
    /// Records that the run is known to have begun.
    pub fn begin(&mut self, now: ClockTime) {
        self.begun_at.get_or_insert(now);
    }

    /// Returns whether the run has begun before a report was requested, so that it has ended if the
    /// report does not name it.
    pub fn has_begun_before(&self, asked_at: ClockTime) -> bool {
        self.begun_at.is_some_and(|begun_at| asked_at > begun_at)
    }
}

impl RunCharge<Held> {
    /// Charges a run that is assigned to the worker.
    pub fn open(cost: RunCost) -> Self {
        Self {
            cost: Some(cost),
            begun_at: None,
            phase: Held(()),
        }
    }

    /// Gives the run up, while it may still be in progress.
    pub fn give_up(self) -> RunCharge<Stray> {
        RunCharge {
            cost: self.cost,
            begun_at: self.begun_at,
            phase: Stray {
                ordered_at: None,
                acked_at: None,
            },
        }
    }
}

impl RunCharge<Stray> {
    /// Charges a reported run that belongs to no task; its cost is unknown without its job.
    pub fn found(cost: Option<RunCost>, now: ClockTime) -> Self {
        Self {
            cost,
            begun_at: Some(now),
            phase: Stray {
                ordered_at: None,
                acked_at: None,
            },
        }
    }

    /// Returns the run to its task.
    pub fn adopt(self) -> RunCharge<Held> {
        RunCharge {
            cost: self.cost,
            begun_at: self.begun_at,
            phase: Held(()),
        }
    }

    /// Forgets the stop orders, which a new process of the worker does not know of.
    pub fn forget_stops(&mut self) {
        (self.phase.ordered_at, self.phase.acked_at) = (None, None);
    }

    /// Records a stop order if one is due; returns whether it is to be sent.
    pub fn order_stop(&mut self, now: ClockTime) -> bool {
        let ordered_at = self.phase.ordered_at;
        // An acknowledged order is repeated only for a run that has begun all the same.
        let may_repeat = self.phase.acked_at.is_none() || self.begun_at.is_some();
        let is_due =
            ordered_at.is_none_or(|ordered_at| may_repeat && now > ordered_at + STOP_RETRY_DELAY);
        if is_due {
            self.phase.ordered_at = Some(now);
        }
        is_due
    }

    /// Returns whether the run has been ordered to stop.
    pub fn is_stopping(&self) -> bool {
        self.phase.ordered_at.is_some()
    }

    /// Records that the worker has acknowledged a stop order.
    pub fn stop_acked(&mut self, now: ClockTime) {
        self.phase.acked_at.get_or_insert(now);
    }

    /// Returns whether the worker has acknowledged a stop order.
    pub fn is_stop_acked(&self) -> bool {
        self.phase.acked_at.is_some()
    }

    /// Returns whether a report that does not name the run shows that it is gone: it had begun before
    /// the report was requested, or the worker had acknowledged a stop, after which it cannot begin.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::{RunCharge, RunCost, StepSpec}};
    /// let ms = ClockTime::from_millis;
    /// let mut stray = RunCharge::open(RunCost::of(&StepSpec::default(), None)).give_up();
    /// assert!(!stray.is_gone(ms(900)));
    /// assert!(stray.order_stop(ms(100)) && !stray.order_stop(ms(200)));
    /// stray.stop_acked(ms(300));
    /// assert!(!stray.is_gone(ms(299)) && stray.is_gone(ms(300)));
    /// ```
    pub fn is_gone(&self, asked_at: ClockTime) -> bool {
        let is_stopped = self
            .phase
            .acked_at
            .is_some_and(|acked_at| asked_at >= acked_at);
        is_stopped || self.has_begun_before(asked_at)
    }
}

/// Charge of a run in any phase.
#[derive(Clone, Copy, Debug)]
pub enum AnyCharge {
    /// The task of the run refers to it.
    Held(RunCharge<Held>),
    /// The run belongs to no task.
    Stray(RunCharge<Stray>),
}

impl AnyCharge {
    /// Capacity taken; none for a run of an unknown job.
    pub fn cost(&self) -> Option<RunCost> {
        match self {
            Self::Held(charge) => charge.cost,
            Self::Stray(charge) => charge.cost,
        }
    }

    /// Time by which the run is known to have begun.
    pub fn begun_at(&self) -> Option<ClockTime> {
        match self {
            Self::Held(charge) => charge.begun_at,
            Self::Stray(charge) => charge.begun_at,
        }
    }

    /// Records that the run is known to have begun.
    pub fn begin(&mut self, now: ClockTime) {
        match self {
            Self::Held(charge) => charge.begin(now),
            Self::Stray(charge) => charge.begin(now),
        }
    }

    /// Returns whether the run belongs to no task.
    pub fn is_stray(&self) -> bool {
        matches!(self, Self::Stray(_))
    }

    /// Gives the run up, while it may still be in progress.
    pub fn given_up(self) -> Self {
        match self {
            Self::Held(charge) => Self::Stray(charge.give_up()),
            stray => stray,
        }
    }

    /// Returns the run to its task.
    pub fn adopted(self) -> Self {
        match self {
            Self::Stray(charge) => Self::Held(charge.adopt()),
            held => held,
        }
    }
}
