//! The life cycle of an order on a VM as a typestate.
//!
//! `Queued → Sent → Accepted`; the order is dropped once the list of VMs shows that it is complete. An order
//! without a reply stays `Sent` and is repeated, which is safe as the platform carries out
//! repeated orders once. A refusal ends it only once no earlier attempt can be carried out late.

use crate::{clock::ClockTime, name::PoolName};

/// Longest time after which an order without a reply may be carried out: 12 s by the platform's rules, and the
/// time limit of a call.
pub(super) const MAX_ORDER_DELAY: ClockTime = ClockTime::from_millis(12_000 + 1_000);

/// Order on a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VmOrder {
    /// Move to a pool.
    Move(PoolName),
    /// Maintenance as part of the wave with this number.
    Maintain(u64),
}

/// The order is sent once it is stored that it may have been.
#[derive(Clone, Copy, Debug)]
pub struct Queued {
    /// Time until which an order of an earlier owner may be carried out; zero if there was none.
    doubt_until: ClockTime,
}

/// The order has been sent and may have been carried out.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    at: ClockTime,
    /// Number of attempts without a reply so far.
    open_attempts: u32,
    /// Time until which an attempt that got no reply may be carried out; zero if there was none.
    doubt_until: ClockTime,
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

impl VmOrderRun<Queued> {
    /// Creates an order that waits until it is stored. One that an earlier owner has sent may be carried out until
    /// `doubt_until`.
    pub fn queue(order: VmOrder, doubt_until: ClockTime) -> Self {
        let phase = Queued { doubt_until };
        Self { order, phase }
    }

    /// True while the order of an earlier owner may be carried out.
    pub fn is_in_doubt(&self, now: ClockTime) -> bool {
        now < self.phase.doubt_until
    }

    /// Records that the order is sent at `now`.
    pub fn send(self, now: ClockTime) -> VmOrderRun<Sent> {
        let phase = Sent {
            at: now,
            open_attempts: 1,
            doubt_until: self.phase.doubt_until,
        };
        VmOrderRun {
            order: self.order,
            phase,
        }
    }
}

impl VmOrderRun<Sent> {
    /// Creates an order sent at `now`.
    pub fn send_now(order: VmOrder, now: ClockTime) -> Self {
        VmOrderRun::queue(order, ClockTime::ZERO).send(now)
    }

    /// Sends the order again.
    pub fn repeat(mut self, now: ClockTime) -> Self {
        self.phase.at = now;
        self.phase.open_attempts += 1;
        self
    }

    /// Records that an attempt got no reply.
    pub fn lose_reply(mut self, now: ClockTime) -> Self {
        self.phase.open_attempts = self.phase.open_attempts.saturating_sub(1);
        self.phase.doubt_until = now + MAX_ORDER_DELAY;
        self
    }

    /// Records that an attempt was refused or not sent; `None` if the order is not carried out by any other attempt
    /// either.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::{VmOrder, VmOrderRun}};
    /// let secs = ClockTime::from_secs;
    /// let sent = VmOrderRun::send_now(VmOrder::Maintain(4), secs(1));
    /// assert!(sent.clone().refuse(secs(2)).is_none());
    /// let repeated = sent.repeat(secs(2)).lose_reply(secs(2));
    /// let refused = repeated.refuse(secs(3)).unwrap();
    /// assert!(refused.repeat(secs(20)).refuse(secs(20)).is_none());
    /// ```
    pub fn refuse(mut self, now: ClockTime) -> Option<Self> {
        self.phase.open_attempts = self.phase.open_attempts.saturating_sub(1);
        let is_in_doubt = self.phase.open_attempts > 0 || now < self.phase.doubt_until;
        is_in_doubt.then_some(self)
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
    /// The order waits until it is stored.
    Queued(VmOrderRun<Queued>),
    /// The order has not been answered.
    Sent(VmOrderRun<Sent>),
    /// The platform has accepted the order.
    Accepted(VmOrderRun<Accepted>),
}

impl AnyVmOrder {
    /// The order itself.
    pub fn order(&self) -> &VmOrder {
        match self {
            Self::Queued(run) => &run.order,
            Self::Sent(run) => &run.order,
            Self::Accepted(run) => &run.order,
        }
    }

    /// The order to send again, if it has not been answered within `timeout`.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::{AnyVmOrder, VmOrder, VmOrderRun}};
    /// let ms = ClockTime::from_millis;
    /// let sent = AnyVmOrder::Sent(VmOrderRun::send_now(VmOrder::Maintain(4), ms(0)));
    /// assert!(sent.due(ms(600), ms(500)).is_none());
    /// assert!(sent.due(ms(600), ms(700)).is_some());
    /// assert!(sent.accept(ms(100)).due(ms(600), ms(700)).is_none());
    /// ```
    pub fn due(&self, timeout: ClockTime, now: ClockTime) -> Option<VmOrderRun<Sent>> {
        match self {
            Self::Sent(run) if now > run.phase.at + timeout => Some(run.clone().repeat(now)),
            Self::Queued(_) | Self::Sent(_) | Self::Accepted(_) => None,
        }
    }

    /// Records that the platform has accepted the order; later replies have no effect.
    pub fn accept(self, now: ClockTime) -> Self {
        match self {
            Self::Sent(run) => Self::Accepted(run.accept(now)),
            other => other,
        }
    }

    /// True if a list requested at `requested_at` reflects the order, which takes `duration` to
    /// carry out; an earlier list may still show the VM as it was before.
    pub fn is_reflected(&self, requested_at: ClockTime, duration: ClockTime) -> bool {
        match self {
            Self::Queued(_) | Self::Sent(_) => false,
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
