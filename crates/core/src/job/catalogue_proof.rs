//! Proof that a member's catalogue is recent enough for keys to count.
//!
//! A member that cannot read the operators' records does not learn that a key was withdrawn. A read that was
//! sent at some time shows every version confirmed by then, so a version that it does not show was
//! confirmed later. A call received before that time plus the span within which withdrawals take effect was
//! not sent after that span. All times are on the member's own clock.

use crate::clock::ClockTime;

/// Part of the span by which a member stops early, as one over this number: two clocks that each run 2%
/// fast or slow.
const CLOCK_RATE_MARGIN: u64 = 25;

/// Span within which the withdrawal of a key takes effect at every member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevocationSpan(ClockTime);

impl RevocationSpan {
    /// Creates a span from the time allowed.
    pub fn new(allowed: ClockTime) -> Self {
        Self(allowed)
    }

    /// Longest age of a proof with which keys count.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::RevocationSpan};
    /// let span = RevocationSpan::new(ClockTime::from_millis(5_000));
    /// assert_eq!(span.max_age(), ClockTime::from_millis(4_800));
    /// ```
    pub fn max_age(self) -> ClockTime {
        let allowed = self.0.as_millis();
        ClockTime::from_millis(allowed - allowed.div_ceil(CLOCK_RATE_MARGIN))
    }
}

/// Newest time of which it is proven that the catalogue was the newest one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CatalogueProof {
    proven_at: Option<ClockTime>,
    /// True while the newest catalogue cannot be decoded.
    is_unreadable: bool,
}

impl CatalogueProof {
    /// Records the answer to a read that was sent at `asked_at`. `is_complete` tells whether the answer holds
    /// all records there were, `unreadable` whether the last catalogue in it could not be decoded; `None` if
    /// it holds none.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::CatalogueProof};
    /// let ms = ClockTime::from_millis;
    /// let mut proof = CatalogueProof::default();
    /// assert_eq!(proof.age(ms(100)), None);
    /// proof.record_read(ms(50), true, Some(false));
    /// proof.record_read(ms(70), false, None);
    /// assert_eq!(proof.age(ms(100)), Some(ms(50)));
    /// proof.record_read(ms(80), true, Some(true));
    /// proof.record_read(ms(90), true, None);
    /// assert_eq!(proof.age(ms(100)), Some(ms(50)));
    /// ```
    pub fn record_read(
        &mut self,
        asked_at: ClockTime,
        is_complete: bool,
        unreadable: Option<bool>,
    ) {
        self.is_unreadable = unreadable.unwrap_or(self.is_unreadable);
        if is_complete && !self.is_unreadable {
            self.proven_at = self.proven_at.max(Some(asked_at));
        }
    }

    /// Age of the proof; `None` without one.
    pub fn age(&self, now: ClockTime) -> Option<ClockTime> {
        self.proven_at.map(|proven_at| now - proven_at)
    }
}
