//! Permissions of the owner to send orders, each with the time at which it runs out.

use jacinthhoist_core::{
    ClockTime,
    job::{OwnershipEvidence, OwnershipProof},
};
use jacinthhoist_net::{BootClock, SendExpiry};

use crate::{membership::PoolOwnership, ports::OrderAuthority};

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
    /// What the store has told this owner.
    proof: OwnershipProof,
    /// Time before which no member takes over; zero without the promises of all of them.
    promised_until: ClockTime,
}

impl OwnerAuthority {
    pub(super) fn open(clock: BootClock, token: u64, proof: OwnershipProof) -> Self {
        Self {
            clock,
            token,
            proof,
            promised_until: ClockTime::ZERO,
        }
    }

    /// Fencing token of the ownership.
    pub(super) fn token(&self) -> u64 {
        self.token
    }

    /// Records what the group last answered if it confirmed the ownership.
    pub(super) fn record_confirmation(&mut self, ownership: PoolOwnership, now: ClockTime) {
        if ownership.owned_since.is_some() {
            self.proof
                .record_confirmation(ownership.generation, ownership.confirmed_at, now);
        }
    }

    /// Returns whether an append that is sent now would prove confirmations that do not count yet.
    pub(super) fn needs_append(&self, now: ClockTime) -> bool {
        self.proof.needs_append(now)
    }

    /// Time of the last proven confirmation of the group.
    pub(super) fn confirmed_at(&self) -> ClockTime {
        self.proof.confirmed_at()
    }

    /// Records that the store accepted an append first sent at `asked_at`: no later owner had
    /// fenced this one off by then.
    pub(super) fn record_append(&mut self, asked_at: ClockTime) {
        self.proof.record_append(asked_at);
    }

    /// Records the time before which no member takes over by the promises of all of them.
    pub(super) fn record_promises(&mut self, until: ClockTime) {
        self.promised_until = until;
    }

    /// Returns whether the group's confirmation is recent enough for orders on VMs.
    pub(super) fn is_confirmed(&self, now: ClockTime) -> bool {
        now < self.proof.confirmed_at() + MAX_AUTHORITY_AGE
    }

    /// Evidence that no other member owns the pools.
    pub(super) fn evidence(&self) -> OwnershipEvidence {
        OwnershipEvidence {
            stored_at: self.proof.stored_at(),
            promised_until: self.promised_until,
        }
    }

    /// Permission for an order on a VM, which may be accepted although another member owns the pools.
    pub(super) fn for_vm(&self) -> OrderAuthority {
        self.since(self.proof.confirmed_at())
    }

    /// Permission for a start order.
    pub(super) fn for_start(&self) -> OrderAuthority {
        self.until(self.starts_until())
    }

    /// Time until which start orders may be sent.
    pub(super) fn starts_until(&self) -> ClockTime {
        self.proof.stored_at() + MAX_AUTHORITY_AGE
    }

    /// Permission for a renewal decided now. It begins and ends no run, and the evidence bounds the lease
    /// that it grants.
    pub(super) fn for_renewal(&self) -> OrderAuthority {
        self.since(self.clock.now())
    }

    /// Permission for a stop order decided now. In an outage of the store the promises of the other
    /// members stand in for it; in a partition the next owner may be stopping other runs of the step.
    pub(super) fn for_stop(&self) -> OrderAuthority {
        let evidence = self.evidence();
        let confirmed = evidence.stored_at + MAX_AUTHORITY_AGE;
        let decided = self.clock.now() + MAX_AUTHORITY_AGE;
        self.until(confirmed.max(evidence.stands_until()).min(decided))
    }

    fn since(&self, evidence_at: ClockTime) -> OrderAuthority {
        self.until(evidence_at + MAX_AUTHORITY_AGE)
    }

    fn until(&self, expires_at: ClockTime) -> OrderAuthority {
        OrderAuthority {
            token: self.token,
            expiry: SendExpiry::new(self.clock, expires_at),
        }
    }
}
