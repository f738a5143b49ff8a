//! The life cycle of an order on a VM as a typestate.
//!
//! `Sent → Accepted`; the order is dropped once the list of VMs shows that it is complete. An order
//! without a reply stays `Sent` and is repeated, which is safe as the platform carries out
//! repeated orders once.

use crate::{clock::ClockTime, name::PoolName};

/// Order on a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VmOrder {
    /// Move to a pool.
    Move(PoolName),
    /// Maintenance as part of the wave with this number.
    Maintain(u64),
}

/// The order has been sent and may have been carried out.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    at: ClockTime,
}

/// The platform has accepted the order.
#[derive(Clone, Copy, Debug)]
pub struct Accepted {
    at: ClockTime,
}

/// Order in phase `P`.
#[derive(Clone, Debug)]
pub struct VmOrderRun<P> {
    order: VmOrder,
    phase: P,
}

impl VmOrderRun<Sent> {
    /// Creates an order sent at `now`.
    pub fn send(order: VmOrder, now: ClockTime) -> Self {
        let phase = Sent { at: now };
        Self { order, phase }
    }

    /// Sends the order again.
    pub fn repeat(self, now: ClockTime) -> Self {
        Self::send(self.order, now)
    }

    /// Records that the platform has accepted the order.
    pub fn accept(self, now: ClockTime) -> VmOrderRun<Accepted> {
        let phase = Accepted { at: now };
        VmOrderRun {
            order: self.order,
            phase,
        }
    }
}

/// Order in any phase.
#[derive(Clone, Debug)]
pub enum AnyVmOrder {
    /// The order has not been answered.
    Sent(VmOrderRun<Sent>),
    /// The platform has accepted the order.
    Accepted(VmOrderRun<Accepted>),
}

impl AnyVmOrder {
    /// The order itself.
    pub fn order(&self) -> &VmOrder {
        match self {
            Self::Sent(run) => &run.order,
            Self::Accepted(run) => &run.order,
        }
    }

    /// The order to send again, if it has not been answered within `timeout`.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::{AnyVmOrder, VmOrder, VmOrderRun}};
    /// let ms = ClockTime::from_millis;
    /// let sent = AnyVmOrder::Sent(VmOrderRun::send(VmOrder::Maintain(4), ms(0)));
    /// assert!(sent.due(ms(600), ms(500)).is_none());
    /// assert!(sent.due(ms(600), ms(700)).is_some());
    /// assert!(sent.accept(ms(100)).due(ms(600), ms(700)).is_none());
    /// ```
    pub fn due(&self, timeout: ClockTime, now: ClockTime) -> Option<VmOrderRun<Sent>> {
        match self {
            Self::Sent(run) if now > run.phase.at + timeout => Some(run.clone().repeat(now)),
            Self::Sent(_) | Self::Accepted(_) => None,
        }
    }

    /// Records that the platform has accepted the order; later replies have no effect.
    pub fn accept(self, now: ClockTime) -> Self {
        match self {
            Self::Sent(run) => Self::Accepted(run.accept(now)),
            Self::Accepted(run) => Self::Accepted(run),
        }
    }

    /// True if a list requested at `requested_at` reflects the order, which takes `duration` to
    /// carry out; an earlier list may still show the VM as it was before.
    pub fn is_reflected(&self, requested_at: ClockTime, duration: ClockTime) -> bool {
        match self {
            Self::Sent(_) => false,
            Self::Accepted(run) => requested_at > run.phase.at + duration,
        }
    }

    /// Destination pool of a move.
    pub fn target_pool(&self) -> Option<&PoolName> {
        match self.order() {
            VmOrder::Move(pool) => Some(pool),
            VmOrder::Maintain(_) => None,
        }
    }
}
