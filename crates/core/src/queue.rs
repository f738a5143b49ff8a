//! Request queue of one pool at one member.
//!
//! Each class has a floor and a cap; owners within a class share by weight.

use std::collections::VecDeque;

use smallvec::SmallVec;

use crate::{
    catalogue::{PolicyEntry, WorkClass},
    name::OwnerName,
};

/// Guaranteed and maximum number of slots of each class, most urgent class first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassShares {
    /// Slots that a class gets before any other class gets more than its own floor.
    pub floors: [u32; 3],
    /// Maximum number of slots that a class may hold.
    pub caps: [u32; 3],
}

impl ClassShares {
    /// Computes the shares of a number of slots under a policy.
    ///
    /// ```
    /// use jacinthhoist_core::{ClassShares, PolicyEntry};
    /// let shares = ClassShares::of(&PolicyEntry::default(), 80);
    /// assert_eq!(shares.floors, [8, 8, 8]);
    /// assert_eq!(shares.caps, [80, 64, 40]);
    /// ```
    pub fn of(policy: &PolicyEntry, slots: u32) -> Self {
        let share = |percent: u32| match percent {
            0 => 0,
            _ => (slots * percent / 100).max(1),
        };
        Self {
            floors: policy.floor_percent.map(share),
            caps: policy.cap_percent.map(share),
        }
    }

    /// Returns true if a class may take another slot while each class holds `running` slots.
    pub fn may_start(&self, class: WorkClass, running: &[u32; 3]) -> bool {
        running[class.index()] < self.caps[class.index()]
    }
}

/// Queueing attributes of a waiting request.
#[derive(Clone, Debug)]
pub struct QueueTicket {
    /// Priority class.
    pub class: WorkClass,
    /// Owner of the work.
    pub owner: OwnerName,
    /// Weight of the owner.
    pub weight: u32,
    /// Expected service time in milliseconds.
    pub cost_ms: u64,
}

/// Limits that apply when a request is taken from the queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Guaranteed and maximum number of slots of each class.
    pub shares: ClassShares,
    /// Number of slots that each class holds.
    pub running: [u32; 3],
}

/// Waiting requests of one owner in one class.
#[derive(Debug)]
struct OwnerQueue<T> {
    owner: OwnerName,
    /// Virtual finish time of the owner's last request, which is the start time of its next one.
    finish_time: u64,
    waiting: VecDeque<(QueueTicket, T)>,
}

/// Waiting requests of one class.
#[derive(Debug)]
struct ClassQueue<T> {
    virtual_time: u64,
    queues: SmallVec<[OwnerQueue<T>; 4]>,
}

/// Virtual time of one millisecond of service at weight 1, so that division by a weight keeps its
/// precision.
const VIRTUAL_UNITS_PER_MS: u64 = 1_000;

/// Requests that are waiting for a slot of one pool.
///
/// The next request is selected in two passes over the classes, most urgent first: classes below
/// their floor, then classes below their cap. Within a class, the owner with the least service
/// relative to its weight goes first (start-time fair queueing).
///
/// ```
/// use jacinthhoist_core::*;
/// let mut queue = WorkQueue::default();
/// let ticket = |class| QueueTicket { class, owner: OwnerName::new("o"), weight: 1, cost_ms: 10 };
/// queue.push(ticket(WorkClass::Slow), "slow");
/// queue.push(ticket(WorkClass::Urgent), "urgent");
/// let shares = ClassShares::of(&PolicyEntry::default(), 20);
/// let limits = QueueLimits { shares, running: [0; 3] };
/// assert_eq!(queue.pop(&limits, |_, _| true).map(|(_, item)| item), Some("urgent"));
/// ```
#[derive(Debug)]
pub struct WorkQueue<T> {
    classes: [ClassQueue<T>; 3],
}

impl<T> Default for WorkQueue<T> {
    fn default() -> Self {
        let class = |_| ClassQueue {
            virtual_time: 0,
            queues: SmallVec::new(),
        };
        Self {
            classes: [0, 1, 2].map(class),
        }
    }
}

impl<T> WorkQueue<T> {
    /// Appends a request to the queue of its owner.
    pub fn push(&mut self, ticket: QueueTicket, item: T) {
        let class = &mut self.classes[ticket.class.index()];
        let virtual_time = class.virtual_time;
        let index = class
            .queues
            .iter()
            .position(|queue| queue.owner == ticket.owner);
        let index = index.unwrap_or_else(|| {
            let owner = ticket.owner.clone();
            class.queues.push(OwnerQueue {
                owner,
                finish_time: virtual_time,
                waiting: VecDeque::new(),
            });
            class.queues.len() - 1
        });
        let queue = &mut class.queues[index];
        if queue.waiting.is_empty() {
            queue.finish_time = queue.finish_time.max(virtual_time);
        }
        queue.waiting.push_back((ticket, item));
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.queues().map(|queue| queue.waiting.len()).sum()
    }

    /// Returns true if no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.queues().all(|queue| queue.waiting.is_empty())
    }

    /// Removes and returns the next request that may start.
    ///
    /// `ready` returns true if quotas and slots allow the first request of an owner to start.
    pub fn pop(
        &mut self,
        limits: &QueueLimits,
        mut ready: impl FnMut(&QueueTicket, &T) -> bool,
    ) -> Option<(QueueTicket, T)> {
        let QueueLimits { shares, running } = limits;
        let floors = WorkClass::ALL
            .into_iter()
            .filter(|class| running[class.index()] < shares.floors[class.index()]);
        let caps = WorkClass::ALL
            .into_iter()
            .filter(|class| shares.may_start(*class, running));
        for class in floors.chain(caps) {
            if let Some(taken) = self.classes[class.index()].pop(&mut ready) {
                return Some(taken);
            }
        }
        None
    }

    /// Removes every waiting request for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        for class in &mut self.classes {
            for queue in &mut class.queues {
                queue.waiting.retain(|(_, item)| keep(item));
            }
        }
    }

    fn queues(&self) -> impl Iterator<Item = &OwnerQueue<T>> {
        self.classes.iter().flat_map(|class| &class.queues)
    }
}

impl<T> ClassQueue<T> {
    fn pop(
        &mut self,
        ready: &mut impl FnMut(&QueueTicket, &T) -> bool,
    ) -> Option<(QueueTicket, T)> {
        let mut order: SmallVec<[usize; 8]> = (0..self.queues.len()).collect();
        order.sort_by_key(|&index| self.queues[index].finish_time);
        for index in order {
            let queue = &mut self.queues[index];
            let Some((ticket, item)) = queue.waiting.front() else {
                continue;
            };
            if !ready(ticket, item) {
                continue;
            }
            let taken = queue.waiting.pop_front()?;
            self.virtual_time = self.virtual_time.max(queue.finish_time);
            let weight = u64::from(taken.0.weight.max(1));
            queue.finish_time += taken.0.cost_ms.max(1) * VIRTUAL_UNITS_PER_MS / weight;
            return Some(taken);
        }
        None
    }
}
