//! Permissions of the owner to send orders, each with the time at which it runs out.

use jacinthhoist_core::ClockTime;
use jacinthhoist_net::{BootClock, SendExpiry};

use crate::ports::OrderAuthority;

/// Shortest time after which the store may reassign the pools of a silent owner; no order is sent
/// later than this after the evidence or the decision behind it.
pub(super) const MAX_AUTHORITY_AGE: ClockTime = ClockTime::from_millis(900);

/// What the owner knows of its ownership, and the permissions that follow from it.
///
/// A restarted worker has forgotten the token of a later owner, so a token alone does not keep it from
/// an order that left the process after a suspension.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnerAuthority {
    clock: BootClock,
    token: u64,
    /// Time at which the last answered join call was sent.
    confirmed_at: ClockTime,
    /// Time at which the last append that the store accepted was first sent.
    appended_at: ClockTime,
}

impl OwnerAuthority {
    pub(super) fn open(clock: BootClock, token: u64) -> Self {
        Self {
            clock,
            token,
            confirmed_at: ClockTime::ZERO,
            appended_at: ClockTime::ZERO,
        }
    }

    /// Records that the group confirmed the ownership in answer to a call sent at `asked_at`.
    pub(super) fn record_confirmation(&mut self, asked_at: ClockTime) {
        self.confirmed_at = asked_at;
    }

    /// Records that the store accepted an append first sent at `asked_at`: no later owner had
    /// fenced this one off by then.
    pub(super) fn record_append(&mut self, asked_at: ClockTime) {
        self.appended_at = self.appended_at.max(asked_at);
    }

    /// Returns whether the group's confirmation is recent enough for orders on VMs.
    pub(super) fn is_confirmed(&self, now: ClockTime) -> bool {
        now < self.confirmed_at + MAX_AUTHORITY_AGE
    }

    /// Time of the last evidence from the store that no other member owns the pools.
    pub(super) fn evidence_at(&self) -> ClockTime {
        self.confirmed_at.max(self.appended_at)
    }

    /// Permission for an order on a VM, which may be accepted although another member owns the pools.
    pub(super) fn for_vm(&self) -> OrderAuthority {
        self.since(self.confirmed_at)
    }

    /// Permission for a start order.
    pub(super) fn for_start(&self) -> OrderAuthority {
        self.since(self.evidence_at())
    }

    /// Permission for a renewal or a stop order decided now. They begin no run, so they do not wait for
    /// the store, whose outage must not end the runs in progress.
    pub(super) fn for_decision(&self) -> OrderAuthority {
        self.since(self.clock.now())
    }

    fn since(&self, evidence_at: ClockTime) -> OrderAuthority {
        OrderAuthority {
            token: self.token,
            expiry: SendExpiry::new(self.clock, evidence_at + MAX_AUTHORITY_AGE),
        }
    }
}
