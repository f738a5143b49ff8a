//! Admission: bounded queues and early refusal by learnt service time.

use crate::{
    catalogue::{OwnerEntry, WorkClass, WorkEntry},
    clock::ClockTime,
    queue::ClassShares,
    refusal::RefusalReason,
};

/// What admission looks at.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionInput<'a> {
    /// The kind of work.
    pub work: &'a WorkEntry,
    /// Its owner.
    pub owner: &'a OwnerEntry,
    /// Requests of this work that wait at this member.
    pub work_queued: u32,
    /// Requests of this owner that wait at this member and are at least as urgent.
    pub owner_queued: u32,
    /// Expected service time of all that waits, by class, in milliseconds.
    pub queued_cost_ms: [u64; 3],
    /// Slots this member has in the pool.
    pub slots: u32,
    /// Slots of each class.
    pub shares: ClassShares,
    /// The mean service time of this work, where it is known.
    pub service: Option<ClockTime>,
    /// Time until the deadline.
    pub remaining: ClockTime,
}

impl AdmissionInput<'_> {
    /// How long the request would wait in the queue.
    ///
    /// The lesser of two bounds: all more urgent work goes first, or only the class's floor is
    /// left to it.
    pub fn expected_wait(&self) -> ClockTime {
        let class = self.work.class.index();
        let ahead: u64 = self.queued_cost_ms[..=class].iter().sum();
        let slots = u64::from(self.slots.min(self.shares.caps[class]).max(1));
        let strict = ahead / slots;
        let floor = match u64::from(self.shares.floors[class]) {
            0 => u64::MAX,
            floor => self.queued_cost_ms[class] / floor,
        };
        ClockTime::from_millis(strict.min(floor))
    }

    /// When it makes sense to come back.
    pub fn retry_after(&self) -> ClockTime {
        let service = self.service.unwrap_or_default();
        let over = (self.expected_wait() + service) - self.remaining;
        over.max(ClockTime::from_secs(1))
    }
}

/// Whether a request may wait for a slot.
///
/// # Errors
///
/// The reason of the refusal.
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
    let waits = input.queued_cost_ms[..=WorkClass::Slow.index()]
        .iter()
        .any(|&cost| cost > 0);
    if waits && input.expected_wait() + service > input.remaining {
        return Err(RefusalReason::DeadlineUnreachable);
    }
    Ok(())
}
