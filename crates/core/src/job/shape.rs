//! What a task asks of a worker, and the memory of a search for room.
//!
//! Pattern: thousands of jobs wait, of a few kinds. What one task found no room for, a task that asks
//! for the same or more finds none for either, so a search looks at the workers once for each shape.

use std::sync::Arc;

use crate::{clock::ClockTime, name::WorkerId};

use super::{
    room::covers,
    spec::{Resources, StepSpec},
};

/// What a task asks of any worker, without what concerns other tasks of its own job only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskShape {
    /// Capacity that the task takes.
    need: Resources,
    /// Label that the worker must have.
    requires: Option<Arc<str>>,
    /// True if the task serves its own users.
    serves: bool,
    /// True if the task is best-effort.
    best_effort: bool,
    /// Number of workers with room that is kept for another step, but is due only after the task's end.
    open_holds: usize,
}

impl TaskShape {
    /// Returns the shape of the tasks of a step, which are expected to end before room is due that is kept
    /// on `open_holds` workers. Their durations differ from job to job and matter for nothing else.
    pub fn of(step: &StepSpec, open_holds: usize) -> Self {
        Self {
            need: step.charged(),
            requires: step.requires.clone(),
            serves: step.target > ClockTime::ZERO,
            best_effort: step.best_effort,
            open_holds,
        }
    }

    /// Returns whether each worker that could run a task of this shape could run one of the other.
    ///
    /// ```
    /// use jacinthhoist_core::job::{Resources, StepSpec, TaskShape};
    /// let shape = |cpu, open_holds| {
    ///     let need = Resources { cpu, ..Resources::default() };
    ///     let step = StepSpec { need, ..StepSpec::default() };
    ///     TaskShape::of(&step, open_holds)
    /// };
    /// assert!(shape(4_000, 0).asks_as_much_as(&shape(2_000, 0)));
    /// assert!(!shape(4_000, 1).asks_as_much_as(&shape(2_000, 0)));
    /// ```
    pub fn asks_as_much_as(&self, other: &Self) -> bool {
        let same_kind = self.serves == other.serves && self.best_effort == other.best_effort;
        let has_label = other.requires.is_none() || self.requires == other.requires;
        let is_confined = self.open_holds <= other.open_holds;
        same_kind && has_label && is_confined && covers(&self.need, &other.need)
    }
}

/// A gang without room.
#[derive(Clone, Debug)]
struct UnfitGang {
    shape: TaskShape,
    count: u16,
    max_per_worker: u16,
}

/// Workers with room for a shape, of which a task could not use any for reasons of its own job.
#[derive(Clone, Debug)]
struct ShapeWorkers {
    shape: TaskShape,
    workers: Vec<WorkerId>,
}

/// What a search of a pool's queue has learnt so far. Rooms only shrink while it goes on.
#[derive(Clone, Debug, Default)]
pub struct SearchMemory {
    /// Shapes for which no worker has room.
    full: Vec<TaskShape>,
    unfit_gangs: Vec<UnfitGang>,
    fitting: Vec<ShapeWorkers>,
}

impl SearchMemory {
    /// Records that no worker has room for a shape.
    ///
    /// ```
    /// use jacinthhoist_core::job::{Resources, SearchMemory, StepSpec, TaskShape};
    /// let step = |cpu, count| {
    ///     let need = Resources { cpu, ..Resources::default() };
    ///     StepSpec { count, need, ..StepSpec::default() }
    /// };
    /// let shape = |cpu| TaskShape::of(&step(cpu, 1), 0);
    /// let mut memory = SearchMemory::default();
    /// memory.record_full(shape(4_000));
    /// assert!(memory.is_full(&shape(6_000)) && !memory.is_full(&shape(2_000)));
    ///
    /// memory.record_unfit_gang(&step(2_000, 8), shape(2_000));
    /// assert!(memory.is_unfit_gang(&step(2_000, 9), &shape(2_000)));
    /// assert!(!memory.is_unfit_gang(&step(2_000, 7), &shape(2_000)));
    /// ```
    pub fn record_full(&mut self, shape: TaskShape) {
        if !self.is_full(&shape) {
            self.full.retain(|other| !other.asks_as_much_as(&shape));
            self.full.push(shape);
        }
    }

    /// Returns whether no worker has room for a shape.
    pub fn is_full(&self, shape: &TaskShape) -> bool {
        self.full.iter().any(|full| shape.asks_as_much_as(full))
    }

    /// Records that a gang found no room.
    pub fn record_unfit_gang(&mut self, step: &StepSpec, shape: TaskShape) {
        self.unfit_gangs.push(UnfitGang {
            shape,
            count: step.count,
            max_per_worker: step.max_per_worker,
        });
    }

    /// Returns whether a gang has no room, as one of the same or a smaller size has none.
    pub fn is_unfit_gang(&self, step: &StepSpec, shape: &TaskShape) -> bool {
        // Zero allows any number.
        let limit = |max_per_worker: u16| max_per_worker.wrapping_sub(1);
        let mut unfit = self.unfit_gangs.iter();
        unfit.any(|gang| {
            step.count >= gang.count
                && limit(step.max_per_worker) <= limit(gang.max_per_worker)
                && shape.asks_as_much_as(&gang.shape)
        })
    }

    /// Records the workers with room for a shape.
    pub fn record_fitting(&mut self, shape: TaskShape, workers: Vec<WorkerId>) {
        self.fitting.push(ShapeWorkers { shape, workers });
    }

    /// Returns the workers that had room for a shape, if they were recorded.
    pub fn fitting(&self, shape: &TaskShape) -> Option<&[WorkerId]> {
        let mut known = self.fitting.iter();
        let known = known.find(|known| known.shape == *shape)?;
        Some(&known.workers)
    }
}
