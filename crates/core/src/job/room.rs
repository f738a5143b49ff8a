//! Largest tasks that the workers of a pool could run.
//!
//! Pattern: some callers ask for more than any worker has. Their jobs wait for good, so a search for
//! room has to tell them from those that only wait for a full pool.

use std::{collections::BTreeMap, sync::Arc};

use smallvec::SmallVec;

use super::spec::{Resources, StepSpec};

/// Rooms of workers, without those that another one exceeds in everything.
#[derive(Clone, Debug, Default)]
struct RoomFront {
    largest: SmallVec<[Resources; 2]>,
}

impl RoomFront {
    fn add(&mut self, room: &Resources) {
        if !self.fits(room) {
            self.largest.retain(|other| !covers(room, other));
            self.largest.push(*room);
        }
    }

    fn fits(&self, need: &Resources) -> bool {
        self.largest.iter().any(|room| covers(room, need))
    }
}

/// Index of the largest rooms of workers by label.
#[derive(Clone, Debug, Default)]
pub struct RoomIndex {
    all: RoomFront,
    by_label: BTreeMap<Arc<str>, RoomFront>,
    /// Rooms on VMs whose labels are unknown.
    unlabelled: RoomFront,
}

impl RoomIndex {
    /// Adds the room of a worker with its labels.
    ///
    /// ```
    /// use jacinthhoist_core::job::{Resources, RoomIndex, StepSpec};
    /// let cpu = |cpu| Resources { cpu, ..Resources::default() };
    /// let mut rooms = RoomIndex::default();
    /// rooms.add(&cpu(16_000), &["a".into()]);
    /// rooms.add(&cpu(32_000), &["b".into()]);
    /// let step = |label: &str| StepSpec {
    ///     need: cpu(24_000),
    ///     requires: Some(label.into()),
    ///     ..StepSpec::default()
    /// };
    /// assert!(rooms.fits(&step("b")) && !rooms.fits(&step("a")));
    /// ```
    pub fn add(&mut self, room: &Resources, labels: &[Arc<str>]) {
        self.all.add(room);
        for label in labels {
            match self.by_label.get_mut(label) {
                Some(front) => front.add(room),
                None => {
                    let front = self.by_label.entry(label.clone()).or_default();
                    front.add(room);
                }
            }
        }
    }

    /// Adds the room on a VM whose labels are unknown; it may have any.
    pub fn add_unlabelled(&mut self, room: &Resources) {
        self.all.add(room);
        self.unlabelled.add(room);
    }

    /// Returns whether no room has been added.
    pub fn is_empty(&self) -> bool {
        self.all.largest.is_empty()
    }

    /// Returns whether some worker has the label and the room that a task of the step needs.
    pub fn fits(&self, step: &StepSpec) -> bool {
        let need = step.charged();
        let Some(label) = &step.requires else {
            return self.all.fits(&need);
        };
        let labelled = self.by_label.get(label);
        labelled.is_some_and(|front| front.fits(&need)) || self.unlabelled.fits(&need)
    }
}

/// Returns whether all tasks of a step could run at once on workers with these rooms.
///
/// ```
/// use jacinthhoist_core::job::{Resources, StepSpec, fits_gang};
/// let cpu = |cpu| Resources { cpu, ..Resources::default() };
/// let gang = |count| StepSpec { count, need: cpu(6_000), ..StepSpec::default() };
/// let rooms = [cpu(16_000), cpu(8_000)];
/// assert!(fits_gang(&gang(3), rooms));
/// assert!(!fits_gang(&gang(4), rooms));
/// ```
pub fn fits_gang(step: &StepSpec, rooms: impl IntoIterator<Item = Resources>) -> bool {
    let need = step.charged();
    let limit = match step.max_per_worker {
        0 => u64::from(step.count),
        limit => u64::from(limit),
    };
    let mut missing = u64::from(step.count);
    for room in rooms {
        let pairs = [
            (room.cpu, need.cpu),
            (room.mem_mb, need.mem_mb),
            (room.gpu, need.gpu),
        ];
        let counts = pairs.map(|(room, need)| room.checked_div(need).unwrap_or(limit));
        let count = counts.into_iter().fold(limit, u64::min);
        missing = missing.saturating_sub(count);
        if missing == 0 {
            return true;
        }
    }
    false
}

/// Returns whether a worker with this room can run a task with this need.
fn covers(room: &Resources, need: &Resources) -> bool {
    room.fits(&Resources::default(), need)
}
