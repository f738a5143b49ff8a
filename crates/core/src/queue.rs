//! The queue of one pool at one member: classes with floors and caps, owners by weight.

use std::collections::VecDeque;

use smallvec::SmallVec;

use crate::{
    catalogue::{PolicyEntry, WorkClass},
    name::OwnerName,
};

/// Slots that each class keeps and may hold, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassShares {
    /// Slots a class gets before any other class gets more than its own floor.
    pub floors: [u32; 3],
    /// Slots a class may hold.
    pub caps: [u32; 3],
}

impl ClassShares {
    /// The shares of a number of slots under a policy.
    ///
    /// ```
    /// use jacinthhoist_core::{ClassShares, PolicyEntry};
    /// let shares = ClassShares::of(&PolicyEntry::default(), 80);
    /// assert_eq!(shares.floors, [8, 8, 8]);
    /// assert_eq!(shares.caps, [80, 64, 40]);
    /// ```
    pub fn of(policy: &PolicyEntry, slots: u32) -> Self {
        let part = |percent: u32| match percent {
            0 => 0,
            _ => (slots * percent / 100).max(1),
        };
        Self {
            floors: policy.floor_percent.map(part),
            caps: policy.cap_percent.map(part),
        }
    }

    /// Whether a class may take a slot while `running` are held by each.
    pub fn may_start(&self, class: WorkClass, running: &[u32; 3]) -> bool {
        running[class.index()] < self.caps[class.index()]
    }
}

/// What the queue needs to know of a waiting request.
#[derive(Clone, Debug)]
pub struct QueueTicket {
    /// Its class.
    pub class: WorkClass,
    /// Its owner.
    pub owner: OwnerName,
    /// The owner's weight.
    pub weight: u32,
    /// Its expected service time in milliseconds.
    pub cost_ms: u64,
}

/// Limits in force when a request is taken from the queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Slots that each class keeps and may hold.
    pub shares: ClassShares,
    /// Slots that each class holds now.
    pub running: [u32; 3],
}

#[derive(Debug)]
struct OwnerLane<T> {
    owner: OwnerName,
    finish: u64,
    waiting: VecDeque<(QueueTicket, T)>,
}

#[derive(Debug)]
struct ClassQueue<T> {
    clock: u64,
    lanes: SmallVec<[OwnerLane<T>; 4]>,
}

/// Cost units of one millisecond at weight one, so that weights divide finely.
const COST_UNITS: u64 = 1_000;

/// Requests that wait for a slot of one pool.
///
/// The next one is chosen in two passes over the classes, most urgent first: a class below its
/// floor, then a class below its cap. Within a class the owner with the least service for its
/// weight goes first (start-time fair queueing).
///
/// ```
/// use jacinthhoist_core::*;
/// let mut queue = WorkQueue::default();
/// let ticket = |class| QueueTicket { class, owner: OwnerName::new("o"), weight: 1, cost_ms: 10 };
/// queue.push(ticket(WorkClass::Slow), "slow");
/// queue.push(ticket(WorkClass::Urgent), "urgent");
/// let limits = QueueLimits { shares: ClassShares::of(&PolicyEntry::default(), 20), running: [0; 3] };
/// assert_eq!(queue.pop(&limits, |_, _| true).map(|(_, item)| item), Some("urgent"));
/// ```
#[derive(Debug)]
pub struct WorkQueue<T> {
    classes: [ClassQueue<T>; 3],
}

impl<T> Default for WorkQueue<T> {
    fn default() -> Self {
        let class = |_| ClassQueue {
            clock: 0,
            lanes: SmallVec::new(),
        };
        Self {
            classes: [0, 1, 2].map(class),
        }
    }
}

impl<T> WorkQueue<T> {
    /// Adds a request at the end of its owner's lane.
    pub fn push(&mut self, ticket: QueueTicket, item: T) {
        let class = &mut self.classes[ticket.class.index()];
        let clock = class.clock;
        let place = class
            .lanes
            .iter()
            .position(|lane| lane.owner == ticket.owner);
        let place = place.unwrap_or_else(|| {
            let owner = ticket.owner.clone();
            class.lanes.push(OwnerLane {
                owner,
                finish: clock,
                waiting: VecDeque::new(),
            });
            class.lanes.len() - 1
        });
        let lane = &mut class.lanes[place];
        if lane.waiting.is_empty() {
            lane.finish = lane.finish.max(clock);
        }
        lane.waiting.push_back((ticket, item));
    }

    /// How many wait in all.
    pub fn len(&self) -> usize {
        self.lanes().map(|lane| lane.waiting.len()).sum()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.lanes().all(|lane| lane.waiting.is_empty())
    }

    /// Takes the next request that may start.
    ///
    /// `ready` says of the first in a lane whether its quotas and a slot allow it now.
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

    /// Removes every request that `keep` does not want, wherever it waits.
    pub fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        for class in &mut self.classes {
            for lane in &mut class.lanes {
                lane.waiting.retain(|(_, item)| keep(item));
            }
        }
    }

    fn lanes(&self) -> impl Iterator<Item = &OwnerLane<T>> {
        self.classes.iter().flat_map(|class| &class.lanes)
    }
}

impl<T> ClassQueue<T> {
    fn pop(
        &mut self,
        ready: &mut impl FnMut(&QueueTicket, &T) -> bool,
    ) -> Option<(QueueTicket, T)> {
        let mut order: SmallVec<[usize; 8]> = (0..self.lanes.len()).collect();
        order.sort_by_key(|&place| self.lanes[place].finish);
        for place in order {
            let lane = &mut self.lanes[place];
            let Some((ticket, item)) = lane.waiting.front() else {
                continue;
            };
            if !ready(ticket, item) {
                continue;
            }
            let taken = lane.waiting.pop_front()?;
            self.clock = self.clock.max(lane.finish);
            let weight = u64::from(taken.0.weight.max(1));
            lane.finish += taken.0.cost_ms.max(1) * COST_UNITS / weight;
            return Some(taken);
        }
        None
    }
}
