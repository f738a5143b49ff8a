//! Steps that the workers of a pool could run.
//!
//! Pattern: some callers ask for more than a worker, or a pool, has. Their jobs wait for good, so the
//! search for room, the demand of a pool and the estimate behind refusals all have to tell them from
//! those that only wait for a full pool. They ask [`RoomIndex::fits`].

use std::{collections::BTreeMap, sync::Arc};

use smallvec::{SmallVec, smallvec};

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

/// Rooms of a set of workers.
#[derive(Clone, Debug, Default)]
struct RoomGroup {
    front: RoomFront,
    /// Number of workers by room.
    counts: BTreeMap<Resources, u64>,
}

impl RoomGroup {
    fn add(&mut self, room: &Resources) {
        self.front.add(room);
        *self.counts.entry(*room).or_default() += 1;
    }
}

/// Index of the rooms of workers by label.
#[derive(Clone, Debug, Default)]
pub struct RoomIndex {
    all: RoomGroup,
    by_label: BTreeMap<Arc<str>, RoomGroup>,
    /// Rooms on VMs whose labels are unknown.
    unlabelled: RoomGroup,
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
                Some(group) => group.add(room),
                None => self.by_label.entry(label.clone()).or_default().add(room),
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
        self.all.counts.is_empty()
    }

    /// Returns whether the workers have the room and the label that a task of the step needs, or those
    /// that a gang needs for all of its tasks at once.
    ///
    /// ```
    /// use jacinthhoist_core::job::{Resources, RoomIndex, StepSpec};
    /// let cpu = |cpu| Resources { cpu, ..Resources::default() };
    /// let mut rooms = RoomIndex::default();
    /// rooms.add(&cpu(16_000), &[]);
    /// rooms.add(&cpu(8_000), &[]);
    /// let gang = |count| StepSpec { count, need: cpu(6_000), gang: true, ..StepSpec::default() };
    /// assert!(rooms.fits(&gang(3)) && !rooms.fits(&gang(4)));
    /// ```
    pub fn fits(&self, step: &StepSpec) -> bool {
        Self::fit_together(&[self], step)
    }

    /// Returns whether the workers of several indexes, which share none, could run the step.
    pub(super) fn fit_together(indexes: &[&Self], step: &StepSpec) -> bool {
        let label = step.requires.as_deref();
        let groups = || indexes.iter().flat_map(|index| index.groups(label));
        let need = step.charged();
        if !groups().any(|group| group.front.fits(&need)) {
            return false;
        }
        !step.gang || fits_gang(step, groups().flat_map(|group| &group.counts))
    }

    /// Rooms of the workers that have the label, or may have it.
    fn groups(&self, label: Option<&str>) -> SmallVec<[&RoomGroup; 2]> {
        match label {
            None => smallvec![&self.all],
            Some(label) => {
                let labelled = self.by_label.get(label).into_iter();
                labelled.chain([&self.unlabelled]).collect()
            }
        }
    }
}

/// Returns whether all tasks of a step could run at once on workers with these rooms.
fn fits_gang<'a>(
    step: &StepSpec,
    rooms: impl IntoIterator<Item = (&'a Resources, &'a u64)>,
) -> bool {
    let mut missing = u64::from(step.count);
    for (room, workers) in rooms {
        missing = missing.saturating_sub(task_slots(step, room).saturating_mul(*workers));
        if missing == 0 {
            return true;
        }
    }
    false
}

/// Number of tasks of a step that fit into the room of one worker at once.
pub(super) fn task_slots(step: &StepSpec, room: &Resources) -> u64 {
    let need = step.charged();
    let limit = match step.max_per_worker {
        0 => u64::from(step.count),
        limit => u64::from(limit),
    };
    let pairs = [
        (room.cpu, need.cpu),
        (room.mem_mb, need.mem_mb),
        (room.gpu, need.gpu),
    ];
    let counts = pairs.map(|(room, need)| room.checked_div(need).unwrap_or(limit));
    counts.into_iter().fold(limit, u64::min)
}

/// Returns whether a worker with this room can run a task with this need.
pub(super) fn covers(room: &Resources, need: &Resources) -> bool {
    room.fits(&Resources::default(), need)
}
