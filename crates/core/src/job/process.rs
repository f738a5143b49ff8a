//! What is known of one process of a worker.

use crate::{clock::ClockTime, name::WorkerId};

use super::{
    lease::{UnknownLease, WorkerLease},
    worker::RenewalReport,
};

/// Process of a worker on which a run is placed. Whether the run may be there was decided by what that process
/// had registered, which tells nothing of a later one under the same id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunTarget {
    /// Worker id.
    pub worker: WorkerId,
    /// Start time of the process; none if workers tell none, or if an earlier owner placed the run.
    pub incarnation: Option<u64>,
}

impl RunTarget {
    /// Creates the target from a worker and the start time of its process.
    ///
    /// ```
    /// use jacinthhoist_core::{WorkerId, job::RunTarget};
    /// let target = RunTarget::new(WorkerId::new("i-1"), Some(1_785_551_668_754));
    /// assert_eq!(target.worker, WorkerId::new("i-1"));
    /// ```
    pub fn new(worker: WorkerId, incarnation: Option<u64>) -> Self {
        Self {
            worker,
            incarnation,
        }
    }
}

/// What the owner knows of one process of a worker. It is replaced as a whole once another process
/// answers under the worker's id: clock, lease and the numbers of ends begin anew.
#[derive(Clone, Debug)]
pub struct WorkerProcess {
    /// Start time in the last report; none before the first.
    pub incarnation: Option<u64>,
    /// Lease, which bounds the time for which the process may run its tasks.
    pub lease: WorkerLease,
    /// Highest sequence number of an end that has been processed.
    pub end_seen: u64,
    /// Highest sequence number of an end whose outcome is stored.
    pub end_stored: u64,
    /// Highest sequence number of an end that the process is known to have discarded.
    end_discarded: u64,
    /// Last acknowledgement of ends, with the time at which it was sent.
    ack_sent: (u64, ClockTime),
    /// Time since which another process may have taken the place of this one.
    doubted_since: Option<ClockTime>,
}

impl WorkerProcess {
    /// Creates the state of a process that has not reported.
    pub fn unseen(lease: UnknownLease) -> Self {
        Self {
            incarnation: None,
            lease: WorkerLease::Unknown(lease),
            end_seen: 0,
            end_stored: 0,
            end_discarded: 0,
            ack_sent: (0, ClockTime::ZERO),
            doubted_since: None,
        }
    }

    /// Returns whether a report is of another process than the last one.
    pub(super) fn is_other(&self, reported: Option<u64>) -> bool {
        self.incarnation.is_some() && self.incarnation != reported
    }

    /// Records that another process may have taken the place of this one.
    pub(super) fn doubt(&mut self, now: ClockTime) {
        self.doubted_since = Some(now);
    }

    /// True while another process may have taken the place of this one.
    pub(super) fn is_doubted(&self) -> bool {
        self.doubted_since.is_some()
    }

    /// Records a report of the process.
    pub(super) fn record_report(
        &mut self,
        report: &RenewalReport,
        asked_at: ClockTime,
        now: ClockTime,
    ) {
        self.incarnation = report.incarnation;
        self.lease.read(report.clock, now);
        // A report that was requested no later than the doubt arose tells nothing of a later process.
        self.doubted_since = self.doubted_since.filter(|since| asked_at <= *since);
        let (ack, sent_at) = self.ack_sent;
        if asked_at >= sent_at {
            self.end_discarded = self.end_discarded.max(ack);
        }
    }

    /// Returns the highest number of an end to acknowledge, 0 if the process has discarded it already:
    /// an acknowledgement that reaches a later process discards ends that were never reported.
    pub(super) fn acknowledge(&mut self, now: ClockTime) -> u64 {
        if self.end_stored <= self.end_discarded {
            return 0;
        }
        self.ack_sent = (self.end_stored, now);
        self.end_stored
    }
}
