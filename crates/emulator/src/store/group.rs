//! Group of members, one of which owns the pools.

use std::{collections::BTreeMap, ops::Range, time::Duration};

use jacinthhoist_core::ClockTime;
use jacinthhoist_scheduler::ports::Membership;
use rand::{RngExt, rngs::StdRng};

/// Share of the joins that do not arrive while the pools change hands.
const LOST_JOIN_SHARE: f64 = 0.15;
/// Share of the other joins that are answered late then.
const LATE_JOIN_SHARE: f64 = 0.3;
/// Delay of late answers to joins.
const LATE_JOIN_DELAY: Range<Duration> = Duration::from_millis(20)..Duration::from_millis(400);

#[derive(Debug, Default)]
pub(super) struct MemberGroup {
    /// Times at which the memberships expire, by member key.
    members: BTreeMap<String, ClockTime>,
    pub(super) owner: Option<String>,
    generation: u64,
    /// Time at which the pools were assigned to the last owner.
    pub(super) owned_since: ClockTime,
    /// Member keys of the successive owners of the pools.
    pub(super) owners: Vec<String>,
    /// Present while the pools change hands without the members' leave.
    pub(super) flap: Option<OwnershipFlap>,
}

/// How the store answers joins while the pools change hands.
#[derive(Debug)]
pub(crate) struct OwnershipFlap {
    /// Beginning of the key of the member whose joins do not arrive.
    pub(crate) unheard: Option<String>,
    /// Share of the answered joins that find the pools with the member that asks.
    pub(crate) granted_share: f64,
}

impl MemberGroup {
    /// Returns the delay of the answer to a join; `None` if the join does not arrive.
    pub(super) fn join_delay(&self, member: &str, rng: &mut StdRng) -> Option<Duration> {
        let Some(flap) = &self.flap else {
            return Some(Duration::ZERO);
        };
        let unheard = flap.unheard.as_ref();
        if unheard.is_some_and(|start| member.starts_with(start))
            || rng.random_bool(LOST_JOIN_SHARE)
        {
            return None;
        }
        let is_late = rng.random_bool(LATE_JOIN_SHARE);
        Some(if is_late {
            rng.random_range(LATE_JOIN_DELAY)
        } else {
            Duration::ZERO
        })
    }

    pub(super) fn join(
        &mut self,
        member: &str,
        lifetime: ClockTime,
        now: ClockTime,
        rng: &mut StdRng,
    ) -> Membership {
        self.expire(now, rng);
        let flap = self.flap.as_ref();
        if flap.is_some_and(|flap| rng.random_bool(flap.granted_share)) {
            self.assign_to(member, now);
        }
        let deadline = now + lifetime;
        if self.members.insert(member.to_owned(), deadline).is_none() {
            self.assign_owner(now, rng);
        }
        Membership {
            generation: self.generation,
            owns: self.owner.as_deref() == Some(member),
        }
    }

    pub(super) fn leave(&mut self, member: &str, now: ClockTime, rng: &mut StdRng) {
        self.expire(now, rng);
        if self.members.remove(member).is_some() {
            self.assign_owner(now, rng);
        }
    }

    /// Removes the members that did not renew their membership in time.
    pub(super) fn expire(&mut self, now: ClockTime, rng: &mut StdRng) {
        let before = self.members.len();
        self.members.retain(|_, deadline| *deadline > now);
        if self.members.len() < before {
            self.assign_owner(now, rng);
        }
    }

    /// Assigns the pools to a random member in a new generation; any change of the group may move
    /// them.
    pub(super) fn assign_owner(&mut self, now: ClockTime, rng: &mut StdRng) {
        self.generation += 1;
        let count = self.members.len();
        self.owner = (count > 0).then(|| {
            let index = rng.random_range(0..count);
            let name = self.members.keys().nth(index);
            name.cloned().unwrap_or_default()
        });
        self.record_owner(now);
    }

    /// Assigns the pools to a member, which joins the group unless it is in it.
    fn assign_to(&mut self, member: &str, now: ClockTime) {
        self.members.entry(member.to_owned()).or_insert(now);
        if self.owner.as_deref() != Some(member) {
            self.generation += 1;
            self.owner = Some(member.to_owned());
            self.record_owner(now);
        }
    }

    fn record_owner(&mut self, now: ClockTime) {
        if let Some(owner) = &self.owner
            && self.owners.last() != Some(owner)
        {
            self.owners.push(owner.clone());
            self.owned_since = now;
        }
    }
}
