//! The life cycle of an order on a VM as a typestate.
//!
//! `Sent → Accepted`, then it is dropped once the list of VMs shows it as seen through. An order
//! without an answer stays `Sent` and is repeated: the platform carries it out once.

use crate::{clock::ClockTime, name::PoolName};

/// What a VM is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VmOrder {
    /// To join a pool.
    Move(PoolName),
    /// To have its maintenance of a wave.
    Maintain(u64),
}

/// It was sent and may have been carried out.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    at: ClockTime,
}

/// The platform has accepted it.
#[derive(Clone, Copy, Debug)]
pub struct Accepted {
    at: ClockTime,
}

/// An order in one phase.
#[derive(Clone, Debug)]
pub struct VmOrderRun<P> {
    order: VmOrder,
    phase: P,
}

impl VmOrderRun<Sent> {
    /// An order that goes out now.
    pub fn send(order: VmOrder, now: ClockTime) -> Self {
        let phase = Sent { at: now };
        Self { order, phase }
    }

    /// The order goes out once more.
    pub fn repeat(self, now: ClockTime) -> Self {
        Self::send(self.order, now)
    }

    /// The platform has accepted it.
    pub fn accept(self, now: ClockTime) -> VmOrderRun<Accepted> {
        let phase = Accepted { at: now };
        VmOrderRun {
            order: self.order,
            phase,
        }
    }
}

/// An order in any phase.
#[derive(Clone, Debug)]
pub enum AnyVmOrder {
    /// It has no answer.
    Sent(VmOrderRun<Sent>),
    /// The platform has accepted it.
    Accepted(VmOrderRun<Accepted>),
}

impl AnyVmOrder {
    /// What was ordered.
    pub fn order(&self) -> &VmOrder {
        match self {
            Self::Sent(run) => &run.order,
            Self::Accepted(run) => &run.order,
        }
    }

    /// The order to send again where it has been without an answer for `patience`.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::{AnyVmOrder, VmOrder, VmOrderRun}};
    /// let ms = ClockTime::from_millis;
    /// let sent = AnyVmOrder::Sent(VmOrderRun::send(VmOrder::Maintain(4), ms(0)));
    /// assert!(sent.due(ms(600), ms(500)).is_none());
    /// assert!(sent.due(ms(600), ms(700)).is_some());
    /// assert!(sent.accept(ms(100)).due(ms(600), ms(700)).is_none());
    /// ```
    pub fn due(&self, patience: ClockTime, now: ClockTime) -> Option<VmOrderRun<Sent>> {
        match self {
            Self::Sent(run) if now > run.phase.at + patience => Some(run.clone().repeat(now)),
            Self::Sent(_) | Self::Accepted(_) => None,
        }
    }

    /// The platform has accepted it; its first answer stands.
    pub fn accept(self, now: ClockTime) -> Self {
        match self {
            Self::Sent(run) => Self::Accepted(run.accept(now)),
            Self::Accepted(run) => Self::Accepted(run),
        }
    }

    /// Whether a list that was asked for at `asked_at` shows what is after the order, which takes
    /// `takes`: the list lags.
    pub fn is_reflected(&self, asked_at: ClockTime, takes: ClockTime) -> bool {
        match self {
            Self::Sent(_) => false,
            Self::Accepted(run) => asked_at > run.phase.at + takes,
        }
    }

    /// The pool that a VM is to join.
    pub fn target_pool(&self) -> Option<&PoolName> {
        match self.order() {
            VmOrder::Move(pool) => Some(pool),
            VmOrder::Maintain(_) => None,
        }
    }
}
