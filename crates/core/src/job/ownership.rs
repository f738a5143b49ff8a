//! Which members offer to own the pools.
//!
//! Answers members of unequal strength: a takeover reads megabytes and the owner hears every worker,
//! which a thin link or a small share of a core cannot carry. Weak members are a reserve: they
//! offer only while no strong one owns the pools, and give way when a strong one is back.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;

/// Link of a member that owns in the first place: it reads a takeover of some eight megabytes within
/// a second and a half.
const REGULAR_LINK_MBPS: u32 = 50;
/// Share of a core of a member that owns in the first place: twice what an owner of 350 workers
/// takes.
const REGULAR_CORE_PERMILLE: u32 = 200;
/// Silence of the owner after which the reserve looks for one: longer than the store takes to give a
/// silent owner's pools away.
const OWNER_SILENCE: ClockTime = ClockTime::from_millis(1_500);
/// How long a member that gave way does not offer: a takeover takes less.
const GIVE_WAY: ClockTime = ClockTime::from_millis(3_000);

/// What a member has for its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStrength {
    /// Thousandths of a core.
    pub core_permille: u32,
    /// Its link, in megabits a second.
    pub link_mbps: u32,
}

impl MemberStrength {
    /// Whether the member owns pools in the first place.
    ///
    /// ```
    /// use jacinthhoist_core::job::{MemberRank, MemberStrength};
    /// let strong = MemberStrength { core_permille: 500, link_mbps: 200 };
    /// let thin = MemberStrength { link_mbps: 10, ..strong };
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

/// What a member has seen of the pools' owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerSight {
    /// Whether this member owns the pools.
    pub owns: bool,
    /// When the owner last spoke, or when this member started.
    pub heard_at: ClockTime,
    /// The rank of the owner that the store names; none where it names none.
    pub owner: Option<MemberRank>,
    /// When a regular member last asked this one to give way.
    pub outranked_at: Option<ClockTime>,
}

/// Whether a member offers to own the pools now.
///
/// ```
/// use jacinthhoist_core::{ClockTime, job::{MemberRank, OwnerSight, offers_to_own}};
/// let ms = ClockTime::from_millis;
/// let sight = OwnerSight { owns: false, heard_at: ms(1_000), owner: None, outranked_at: None };
/// assert!(offers_to_own(MemberRank::Regular, &sight, ms(1_000)));
/// assert!(!offers_to_own(MemberRank::Reserve, &sight, ms(2_000)));
/// assert!(offers_to_own(MemberRank::Reserve, &sight, ms(2_500)));
/// ```
pub fn offers_to_own(rank: MemberRank, sight: &OwnerSight, now: ClockTime) -> bool {
    if rank == MemberRank::Regular {
        return true;
    }
    let gave_way = sight.outranked_at.is_some_and(|at| now < at + GIVE_WAY);
    let silent = now >= sight.heard_at + OWNER_SILENCE;
    let regular_owner = sight.owner == Some(MemberRank::Regular);
    !gave_way && (sight.owns || (silent && !regular_owner))
}
