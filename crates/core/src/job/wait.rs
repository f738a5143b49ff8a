//! Reasons for which startable steps wait, and their counts in a search of a pool's queue.

/// Reason for which a startable step has tasks without a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// No worker of the pool has the room or the label, whatever ends by itself.
    NoFit,
    /// Other tasks have to end first.
    Room,
    /// The step has its largest number of tasks on each worker with room, or other members of its gang
    /// have to stop first.
    StepLimit,
    /// The policy service has permitted no worker with room.
    Permit,
    /// A task that may crash its worker waits for its trial.
    Trial,
    /// Tasks of the same tenant have to end first.
    TenantLimit,
}

impl WaitReason {
    /// All reasons.
    pub const ALL: [Self; 6] = [
        Self::NoFit,
        Self::Room,
        Self::StepLimit,
        Self::Permit,
        Self::Trial,
        Self::TenantLimit,
    ];

    /// Short name for log lines.
    ///
    /// ```
    /// use jacinthhoist_core::job::WaitReason;
    /// assert_eq!(WaitReason::StepLimit.label(), "step_limit");
    /// ```
    pub fn label(self) -> &'static str {
        match self {
            Self::NoFit => "no_fit",
            Self::Room => "room",
            Self::StepLimit => "step_limit",
            Self::Permit => "permit",
            Self::Trial => "trial",
            Self::TenantLimit => "tenant_limit",
        }
    }
}

/// Number of steps that waited in the last search of a pool's queue, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitCounts {
    steps: [u32; WaitReason::ALL.len()],
}

impl WaitCounts {
    /// Counts a step that waits.
    ///
    /// ```
    /// use jacinthhoist_core::job::{WaitCounts, WaitReason};
    /// let mut counts = WaitCounts::default();
    /// counts.add(WaitReason::Room);
    /// assert_eq!((counts.steps(WaitReason::Room), counts.steps(WaitReason::Trial)), (1, 0));
    /// ```
    pub fn add(&mut self, reason: WaitReason) {
        let count = &mut self.steps[reason as usize];
        *count = count.saturating_add(1);
    }

    /// Returns the number of steps that wait for a reason.
    pub fn steps(&self, reason: WaitReason) -> u32 {
        self.steps[reason as usize]
    }
}
