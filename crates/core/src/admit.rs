//! Admission control: bounded queues, and early rejection based on estimated service times.

use crate::{
    catalogue::{OwnerEntry, WorkClass, WorkEntry},
    clock::ClockTime,
    queue::ClassShares,
    refusal::RefusalReason,
};

/// Inputs of admission control.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionInput<'a> {
    /// Kind of work that is requested.
    pub work: &'a WorkEntry,
    /// Owner of the work.
    pub owner: &'a OwnerEntry,
    /// Number of requests of this work that are waiting at this member.
    pub work_queued: u32,
    /// Number of requests of this owner, at least as urgent, that are waiting at this member.
    pub owner_queued: u32,
    /// Total expected service time of the waiting requests of each class, in milliseconds.
    pub queued_cost_ms: [u64; 3],
    /// Number of slots that this member has in the pool.
    pub slots: u32,
    /// Guaranteed and maximum number of slots of each class.
    pub shares: ClassShares,
    /// Mean service time of this work, if known.
    pub service: Option<ClockTime>,
    /// Time until the deadline.
    pub remaining: ClockTime,
}

impl AdmissionInput<'_> {
    /// Estimates the queueing time of the request.
    ///
    /// This is the lesser of two bounds: either all work that is at least as urgent runs first, or
    /// the class runs only on the slots of its floor.
    pub fn expected_wait(&self) -> ClockTime {
        let class = self.work.class.index();
        let ahead: u64 = self.queued_cost_ms[..=class].iter().sum();
        let slots = u64::from(self.slots.min(self.shares.caps[class]).max(1));
        let priority_wait = ahead / slots;
        let floor_wait = match u64::from(self.shares.floors[class]) {
            0 => u64::MAX,
            floor => self.queued_cost_ms[class] / floor,
        };
        ClockTime::from_millis(priority_wait.min(floor_wait))
    }

    /// Returns the delay after which a retry could meet its deadline.
    pub fn retry_after(&self) -> ClockTime {
        let service = self.service.unwrap_or_default();
        let excess = (self.expected_wait() + service) - self.remaining;
        excess.max(ClockTime::from_secs(1))
    }
}

/// Decides whether a request may enter the queue.
///
/// # Errors
///
/// Returns the reason for the refusal.
///
/// ```
/// use jacinthhoist_core::*;
/// # let work = WorkEntry { owner: OwnerName::new("o"), class: WorkClass::Urgent,
/// #   pool: PoolName::new("p"), repeatable: true, max_queued: 1, max_running: 9, deadline_ms: 500,
/// #   max_body_bytes: 0, max_attempts: 1, checkpoint: false };
/// # let owner = OwnerEntry { weight: 1, max_running: 9, max_queued: 9 };
/// let mut input = AdmissionInput {
///     work: &work, owner: &owner, work_queued: 0, owner_queued: 0, queued_cost_ms: [0; 3],
///     slots: 10, shares: ClassShares::of(&PolicyEntry::default(), 10), service: None,
///     remaining: ClockTime::from_millis(500),
/// };
/// assert_eq!(admit(&input), Ok(()));
/// input.work_queued = 1;
/// assert_eq!(admit(&input), Err(RefusalReason::QueueFull));
/// ```
pub fn admit(input: &AdmissionInput<'_>) -> Result<(), RefusalReason> {
    if input.work_queued >= input.work.max_queued {
        return Err(RefusalReason::QueueFull);
    }
    if input.owner_queued >= input.owner.max_queued {
        return Err(RefusalReason::OwnerQueueFull);
    }
    let service = input.service.unwrap_or_default();
    let is_queue_busy = input.queued_cost_ms[..=WorkClass::Slow.index()]
        .iter()
        .any(|&cost| cost > 0);
    if is_queue_busy && input.expected_wait() + service > input.remaining {
        return Err(RefusalReason::DeadlineUnreachable);
    }
    Ok(())
}
