//! Candidacy of members for ownership of the pools.
//!
//! Members have unequal resources. A takeover reads megabytes and the owner processes the reports
//! of every worker, which a slow link or a small share of a core cannot sustain. Members with few
//! resources are a reserve: they are candidates only while no regular member owns the pools, and
//! yield when a regular member returns. During a rolling replacement of members, a member that
//! joins or leaves does not change the ownership of the pools.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;

/// Minimum link bandwidth of a regular member, which reads a takeover of about 8 MB within 1.5 s.
const REGULAR_LINK_MBPS: u32 = 50;
/// Minimum share of a core of a regular member: twice the load of an owner with 350 workers.
const REGULAR_CORE_PERMILLE: u32 = 200;
/// Delay before a reserve member becomes a candidate for unowned pools; a regular member that is
/// available has taken over by then.
const RESERVE_DELAY: ClockTime = ClockTime::from_millis(1_500);
/// Period in which a member that yielded is not a candidate; longer than a takeover.
const YIELD_PERIOD: ClockTime = ClockTime::from_millis(3_000);
/// Time without a renewal after which a regular member's membership ends.
const REGULAR_MEMBERSHIP: ClockTime = ClockTime::from_millis(1_000);
/// The same for a reserve member, whose renewals wait behind the pages of its own takeover: a page of
/// one megabyte takes four seconds at 2 Mbit/s.
const RESERVE_MEMBERSHIP: ClockTime = ClockTime::from_millis(4_000);
/// Validity of an owner's designation of its successor; longer than a takeover.
const DESIGNATION_PERIOD: ClockTime = ClockTime::from_millis(2_000);

/// Resources of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberCapacity {
    /// Thousandths of a core.
    pub core_permille: u32,
    /// Link bandwidth, in megabits per second.
    pub link_mbps: u32,
}

impl MemberCapacity {
    /// Rank of a member with these resources.
    ///
    /// ```
    /// use jacinthhoist_core::job::{MemberRank, MemberCapacity};
    /// let large = MemberCapacity { core_permille: 500, link_mbps: 200 };
    /// let small = MemberCapacity { link_mbps: 10, ..large };
    /// assert_eq!(large.rank(), MemberRank::Regular);
    /// assert_eq!(small.rank(), MemberRank::Reserve);
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

/// Precedence of a member as owner of the pools; the greater rank takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberRank {
    /// Candidate only while no regular member owns the pools.
    Reserve,
    /// Preferred owner.
    Regular,
}

impl MemberRank {
    /// Time without a renewal after which the membership of such a member ends.
    ///
    /// ```
    /// use jacinthhoist_core::job::MemberRank;
    /// assert!(MemberRank::Reserve.membership() > MemberRank::Regular.membership());
    /// ```
    pub fn membership(self) -> ClockTime {
        match self {
            Self::Reserve => RESERVE_MEMBERSHIP,
            Self::Regular => REGULAR_MEMBERSHIP,
        }
    }

    /// Text form of the rank in a member's key.
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

/// Error for a text that names no rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownRank;

/// Owner of the pools according to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordedOwner {
    /// The store has not been queried or has not answered.
    Unknown,
    /// No member has owned the pools since this time.
    Vacant(ClockTime),
    /// The local member.
    ThisMember,
    /// A remote member.
    OtherMember,
}

/// A member's view of the ownership of the pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerSnapshot {
    /// True if this member owns the pools.
    pub owns: bool,
    /// Owner last reported by the store.
    pub recorded: RecordedOwner,
    /// Time at which a regular member last asked this one to yield.
    pub outranked_at: Option<ClockTime>,
    /// Time at which a stopping owner last designated this member as its successor.
    pub designated_at: Option<ClockTime>,
    /// Delay that spreads the candidacies of members which detect unowned pools at the same time.
    pub jitter: ClockTime,
}

/// Time from which a member is a candidate for ownership; none while another member should own the
/// pools.
///
/// Only the owner and its prospective successors join the store's group, since each join or leave
/// may cause the store to reassign the pools.
///
/// ```
/// use jacinthhoist_core::{ClockTime, job::{MemberRank, RecordedOwner, OwnerSnapshot, candidacy_at}};
/// let ms = ClockTime::from_millis;
/// let snapshot = OwnerSnapshot {
///     owns: false,
///     recorded: RecordedOwner::Vacant(ms(1_000)),
///     outranked_at: None,
///     designated_at: None,
///     jitter: ms(40),
/// };
/// assert_eq!(candidacy_at(MemberRank::Regular, &snapshot, ms(1_010)), Some(ms(1_040)));
/// assert_eq!(candidacy_at(MemberRank::Reserve, &snapshot, ms(1_010)), Some(ms(2_540)));
/// let owned = OwnerSnapshot { recorded: RecordedOwner::OtherMember, ..snapshot };
/// assert_eq!(candidacy_at(MemberRank::Regular, &owned, ms(1_010)), None);
/// ```
pub fn candidacy_at(
    rank: MemberRank,
    snapshot: &OwnerSnapshot,
    now: ClockTime,
) -> Option<ClockTime> {
    let recent = |at: Option<ClockTime>, span| at.is_some_and(|at| now < at + span);
    if recent(snapshot.outranked_at, YIELD_PERIOD) {
        return None;
    }
    if snapshot.owns || recent(snapshot.designated_at, DESIGNATION_PERIOD) {
        return Some(now);
    }
    let delay = match rank {
        MemberRank::Regular => snapshot.jitter,
        MemberRank::Reserve => RESERVE_DELAY + snapshot.jitter,
    };
    match snapshot.recorded {
        RecordedOwner::Vacant(since) => Some(since + delay),
        RecordedOwner::ThisMember => Some(now),
        RecordedOwner::Unknown | RecordedOwner::OtherMember => None,
    }
}
