//! Room for jobs at the member that stores them.
//!
//! The owner stores the records of all members, so it alone decides on most of them; a member that reaches no owner
//! keeps to its part of the room that the last one has reported.

use std::collections::VecDeque;

use jacinthhoist_codec::StoreOutcome;
use jacinthhoist_core::{ClockTime, job::JobSize};

use crate::{eventlog::event, shared::MemberShared};

/// Time after which an append without an outcome is not carried out any more: several times the longest delay of a
/// write to the store.
const LATE_WRITE_SPAN: ClockTime = ClockTime::from_millis(10_000);

/// Bytes of jobs that end by themselves, and of others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct StoredBytes {
    finite: u64,
    lasting: u64,
}

impl StoredBytes {
    fn add(&mut self, other: Self) {
        self.finite = self.finite.saturating_add(other.finite);
        self.lasting = self.lasting.saturating_add(other.lasting);
    }

    fn subtract(&mut self, other: Self) {
        self.finite = self.finite.saturating_sub(other.finite);
        self.lasting = self.lasting.saturating_sub(other.lasting);
    }
}

impl From<JobSize> for StoredBytes {
    fn from(size: JobSize) -> Self {
        if size.lasts {
            Self {
                lasting: size.bytes,
                finite: 0,
            }
        } else {
            Self {
                finite: size.bytes,
                lasting: 0,
            }
        }
    }
}

/// Gate that refuses jobs for which no memory is left. It counts what it has let pass and the owner's report
/// does not include yet.
#[derive(Debug, Default)]
pub(crate) struct MemoryGate {
    unreported: StoredBytes,
    /// Bytes that have passed since the last append.
    passing: StoredBytes,
    /// Bytes of each append, with the time by which the owner must have read to know them.
    appends: VecDeque<(ClockTime, StoredBytes)>,
}

impl MemoryGate {
    /// Takes the room that a job needs; returns false if it is not left.
    pub(crate) fn reserve(&mut self, size: JobSize, shared: &MemberShared) -> bool {
        let read_at = shared.load_read_at();
        while let Some((_, bytes)) = self
            .appends
            .pop_front_if(|(known_at, _)| *known_at < read_at)
        {
            self.unreported.subtract(bytes);
        }
        let report = shared.memory_report();
        let report = if shared.owner_inbox.load().is_some() {
            report
        } else {
            report.share()
        };
        let StoredBytes { finite, lasting } = self.unreported;
        if report.less(finite, lasting).has_room(size) {
            self.passing.add(size.into());
            self.unreported.add(size.into());
            return true;
        }
        shared.meter.count_memory_refusal(size.bytes);
        event!(shared.log, Memory, "outcome": "refused", "bytes": size.bytes, "lasts": size.lasts,
            "room": report.room, "lasting_room": report.lasting_room, "unreported": finite + lasting);
        false
    }

    /// Records the outcome of the append of all that has passed.
    pub(crate) fn record_append(&mut self, outcome: StoreOutcome, now: ClockTime) {
        let bytes = std::mem::take(&mut self.passing);
        if bytes == StoredBytes::default() {
            return;
        }
        let known_at = match outcome {
            StoreOutcome::NotStored | StoreOutcome::NoRoom => {
                self.unreported.subtract(bytes);
                return;
            }
            StoreOutcome::Stored => now,
            StoreOutcome::Unknown => now + LATE_WRITE_SPAN,
        };
        let position = self.appends.partition_point(|(at, _)| *at <= known_at);
        self.appends.insert(position, (known_at, bytes));
    }
}
