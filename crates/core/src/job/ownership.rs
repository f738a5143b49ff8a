//! Which members offer to own the pools.
//!
//! Answers members of unequal strength: a takeover reads megabytes and the owner hears every worker,
//! which a thin link or a small share of a core cannot carry. Weak members are a reserve: they
//! offer only while no strong one owns the pools, and give way when a strong one is back. And
//! answers members that are replaced in turn: one that joins or leaves moves nothing.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;

/// Link of a member that owns in the first place: it reads a takeover of some eight megabytes within
/// a second and a half.
const REGULAR_LINK_MBPS: u32 = 50;
/// Share of a core of a member that owns in the first place: twice what an owner of 350 workers
/// takes.
const REGULAR_CORE_PERMILLE: u32 = 200;
/// Time after which the reserve offers where nobody owns the pools: a regular member has taken over
/// by then.
const RESERVE_DELAY: ClockTime = ClockTime::from_millis(1_500);
/// How long a member that gave way does not offer: a takeover takes less.
const YIELD_PERIOD: ClockTime = ClockTime::from_millis(3_000);
/// How long an owner's choice of its successor holds: a takeover takes less.
const DESIGNATION_PERIOD: ClockTime = ClockTime::from_millis(2_000);

/// What a member has for its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberCapacity {
    /// Thousandths of a core.
    pub core_permille: u32,
    /// Its link, in megabits a second.
    pub link_mbps: u32,
}

impl MemberCapacity {
    /// Whether the member owns pools in the first place.
    ///
    /// ```
    /// use jacinthhoist_core::job::{MemberRank, MemberCapacity};
    /// let strong = MemberCapacity { core_permille: 500, link_mbps: 200 };
    /// let thin = MemberCapacity { link_mbps: 10, ..strong };
    /// assert_eq!(strong.rank(), MemberRank::Regular);
    /// assert_eq!(thin.rank(), MemberRank::Reserve);
    /// ```
    pub fn rank(&self) -> MemberRank {
        let link = self.link_mbps >= REGULAR_LINK_MBPS;
        let core = self.core_permille >= REGULAR_CORE_PERMILLE;
        if link && core {
            MemberRank::Regular
        } else {
            MemberRank::Reserve
        }
    }
}

/// Whether a member owns pools in the first place; the greater goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberRank {
    /// It owns pools while no regular member does.
    Reserve,
    /// It always offers.
    Regular,
}

impl MemberRank {
    /// Its word in a member's key.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Reserve => "reserve",
            Self::Regular => "regular",
        }
    }
}

impl FromStr for MemberRank {
    type Err = UnknownRank;

    fn from_str(text: &str) -> Result<Self, UnknownRank> {
        let ranks = [Self::Reserve, Self::Regular];
        let found = ranks.into_iter().find(|rank| rank.as_str() == text);
        found.ok_or(UnknownRank)
    }
}

/// A word that names no rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownRank;

/// Whom the store names as the pools' owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordedOwner {
    /// It has not been asked, or did not answer.
    Unknown,
    /// Nobody, since a time.
    Vacant(ClockTime),
    /// This member.
    ThisMember,
    /// Another member.
    OtherMember,
}

/// What a member knows of the pools' owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerView {
    /// Whether this member owns the pools.
    pub owns: bool,
    /// Whom the store named last.
    pub named: RecordedOwner,
    /// When a regular member last asked this one to give way.
    pub outranked_at: Option<ClockTime>,
    /// When an owner that stops last chose this member to follow it.
    pub chosen_at: Option<ClockTime>,
    /// Spreads members that see at the same moment that nobody owns the pools.
    pub jitter: ClockTime,
}

/// The time from which a member offers to own the pools; none while another member should own them.
///
/// Only the owner and those who are about to follow it are in the store's group, since each member
/// that joins or leaves may make the store deal the pools anew.
///
/// ```
/// use jacinthhoist_core::{ClockTime, job::{MemberRank, RecordedOwner, OwnerView, candidacy_at}};
/// let ms = ClockTime::from_millis;
/// let sight = OwnerView {
///     owns: false,
///     named: RecordedOwner::Vacant(ms(1_000)),
///     outranked_at: None,
///     chosen_at: None,
///     jitter: ms(40),
/// };
/// assert_eq!(candidacy_at(MemberRank::Regular, &sight, ms(1_010)), Some(ms(1_040)));
/// assert_eq!(candidacy_at(MemberRank::Reserve, &sight, ms(1_010)), Some(ms(2_540)));
/// let owned = OwnerView { named: RecordedOwner::OtherMember, ..sight };
/// assert_eq!(candidacy_at(MemberRank::Regular, &owned, ms(1_010)), None);
/// ```
pub fn candidacy_at(rank: MemberRank, sight: &OwnerView, now: ClockTime) -> Option<ClockTime> {
    let lately = |at: Option<ClockTime>, span| at.is_some_and(|at| now < at + span);
    if lately(sight.outranked_at, YIELD_PERIOD) {
        return None;
    }
    if sight.owns || lately(sight.chosen_at, DESIGNATION_PERIOD) {
        return Some(now);
    }
    let delay = match rank {
        MemberRank::Regular => sight.jitter,
        MemberRank::Reserve => RESERVE_DELAY + sight.jitter,
    };
    match sight.named {
        RecordedOwner::Vacant(since) => Some(since + delay),
        RecordedOwner::ThisMember => Some(now),
        RecordedOwner::Unknown | RecordedOwner::OtherMember => None,
    }
}
