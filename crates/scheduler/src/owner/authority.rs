//! Permissions of the owner to send orders, each with the time at which it runs out.

use jacinthhoist_core::{ClockTime, job::OwnershipEvidence};
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
    /// Evidence of the other members.
    followers: FollowerEvidence,
}

/// Evidence of the other members that the owner has not been replaced.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FollowerEvidence {
    /// Time as of which the store last named the owner in answer to a follower.
    pub(super) confirmed_at: ClockTime,
    /// Time before which no member takes over; zero without the promises of all of them.
    pub(super) promised_until: ClockTime,
}

impl OwnerAuthority {
    pub(super) fn open(clock: BootClock, token: u64) -> Self {
        Self {
            clock,
            token,
            confirmed_at: ClockTime::ZERO,
            appended_at: ClockTime::ZERO,
            followers: FollowerEvidence::default(),
        }
    }

    /// Fencing token of the ownership.
    pub(super) fn token(&self) -> u64 {
        self.token
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

    /// Records the present evidence of the other members.
    pub(super) fn record_followers(&mut self, followers: FollowerEvidence) {
        self.followers = followers;
    }

    /// Returns whether the group's confirmation is recent enough for orders on VMs.
    pub(super) fn is_confirmed(&self, now: ClockTime) -> bool {
        now < self.confirmed_at + MAX_AUTHORITY_AGE
    }

    /// Evidence that no other member owns the pools.
    pub(super) fn evidence(&self) -> OwnershipEvidence {
        let own = self.confirmed_at.max(self.appended_at);
        OwnershipEvidence {
            stored_at: own.max(self.followers.confirmed_at),
            promised_until: self.followers.promised_until,
        }
    }

    /// Permission for an order on a VM, which may be accepted although another member owns the pools.
    pub(super) fn for_vm(&self) -> OrderAuthority {
        self.since(self.confirmed_at)
    }

    /// Permission for a start order.
    pub(super) fn for_start(&self) -> OrderAuthority {
        self.since(self.confirmed_at.max(self.appended_at))
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
