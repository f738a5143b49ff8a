//! Reasons for which a run is ordered to stop.

/// Reason for a stop order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The start order got no answer, and the run is not in a later report; it may begin late.
    Unanswered,
    /// The worker has restarted; a start order without an answer may reach the new process.
    Restarted,
    /// The run makes no progress.
    Hung,
    /// The job is ending.
    Unwanted,
    /// A member of the gang has no run.
    GangBroken,
    /// The worker is draining, and the task can resume elsewhere.
    Draining,
    /// The VM of the worker is about to move or to begin maintenance.
    VmLeaving,
    /// The run belongs to no task.
    Stray,
}

impl StopReason {
    /// Returns whether the run is stopped only because it might begin late, so that its task keeps it if
    /// it does.
    ///
    /// ```
    /// use jacinthhoist_core::job::StopReason;
    /// assert!(StopReason::Unanswered.is_precaution());
    /// assert!(!StopReason::Hung.is_precaution());
    /// ```
    pub fn is_precaution(self) -> bool {
        matches!(self, Self::Unanswered | Self::Restarted)
    }
}
