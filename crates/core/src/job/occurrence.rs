//! Occurrences of a job's steps.
//!
//! A job holds the state of the occurrences that have begun and not yet ended, whatever their number in its
//! schedule: those before them are done, and those after them are opened when they are due. Within a step,
//! tasks that have never had a run are not stored either.

use std::{collections::VecDeque, ops::Range, sync::LazyLock};

use crate::clock::ClockTime;

use super::{
    memory::MemoryRoom,
    spec::{JobSpec, StepSpec, TaskKey},
    task::{AnyTask, TaskRun},
};

/// Maximum number of tasks in the open occurrences of a job that has fallen behind its schedule: that of
/// a single occurrence.
const MAX_OPEN_TASKS: usize = 10_000;

/// A task that has never had a run.
static FRESH_TASK: LazyLock<AnyTask> = LazyLock::new(|| AnyTask::Waiting(TaskRun::new()));
/// A task of an occurrence that is done. Its runs are not known any more, and none is newer.
static DONE_TASK: AnyTask = AnyTask::Done { run: u32::MAX };

/// Tasks of one step of an occurrence.
#[derive(Clone, Debug)]
pub struct StepTasks {
    /// Tasks up to the last one that has changed; the others have never had a run.
    touched: Vec<AnyTask>,
    count: u16,
    /// True once all tasks are known to be done, which is final.
    is_done: bool,
}

impl StepTasks {
    fn new(count: u16) -> Self {
        Self {
            touched: Vec::new(),
            count,
            is_done: false,
        }
    }

    /// Returns a task.
    pub fn get(&self, index: u16) -> Option<&AnyTask> {
        if index >= self.count {
            return None;
        }
        Some(self.touched.get(usize::from(index)).unwrap_or(&FRESH_TASK))
    }

    fn get_mut(&mut self, index: u16) -> Option<&mut AnyTask> {
        if index >= self.count {
            return None;
        }
        let index = usize::from(index);
        if index >= self.touched.len() {
            let capacity = (2 * self.touched.len()).max(index + 1);
            let capacity = capacity.min(usize::from(self.count));
            self.touched.reserve_exact(capacity - self.touched.len());
            self.touched.resize(index + 1, FRESH_TASK.clone());
        }
        self.touched.get_mut(index)
    }

    /// Tasks up to the last one that has changed.
    pub fn touched(&self) -> &[AnyTask] {
        &self.touched
    }

    /// Number of the tasks behind those, which have never had a run.
    pub fn count_fresh(&self) -> usize {
        usize::from(self.count) - self.touched.len()
    }

    /// Number of tasks.
    pub fn count(&self) -> usize {
        self.count.into()
    }

    /// Number of tasks with a run.
    pub fn count_placed(&self) -> usize {
        let touched = self.touched.iter();
        touched.filter(|task| task.placed().is_some()).count()
    }

    /// Number of tasks that have no run and have not ended.
    pub fn count_waiting(&self) -> usize {
        let touched = self.touched.iter();
        let waiting = touched.filter(|task| matches!(task, AnyTask::Waiting(_)));
        waiting.count() + self.count_fresh()
    }

    /// Returns whether some task has no run and has not ended.
    pub fn has_waiting(&self) -> bool {
        let mut touched = self.touched.iter();
        self.count_fresh() > 0 || touched.any(|task| matches!(task, AnyTask::Waiting(_)))
    }

    /// Iterates over all tasks.
    pub fn iter(&self) -> impl Iterator<Item = &AnyTask> {
        self.iter_from(0)
    }

    /// Iterates over the tasks from an index on.
    pub fn iter_from(&self, from: u16) -> impl Iterator<Item = &AnyTask> {
        let touched = self.touched.get(usize::from(from)..).unwrap_or_default();
        let first_fresh = self.touched.len().max(from.into());
        let fresh = self.count().saturating_sub(first_fresh);
        touched
            .iter()
            .chain(std::iter::repeat_n(&*FRESH_TASK, fresh))
    }

    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.is_done || self.count_fresh() == 0 && self.touched.iter().all(is_done)
    }
}

fn is_done(task: &AnyTask) -> bool {
    matches!(task, AnyTask::Done { .. })
}

/// One repetition of a job's steps.
#[derive(Clone, Debug)]
pub struct Occurrence {
    /// Earliest start, by the time of day.
    pub due: ClockTime,
    /// True once that time has been reached.
    is_due: bool,
    /// Tasks by step; empty once all are done.
    steps: Vec<StepTasks>,
}

impl Occurrence {
    fn new(spec: &JobSpec, due: ClockTime, is_due: bool) -> Self {
        let steps = spec.steps.iter().map(|step| StepTasks::new(step.count));
        Self {
            due,
            is_due,
            steps: steps.collect(),
        }
    }

    /// Tasks by step; none once all are done.
    pub fn steps(&self) -> &[StepTasks] {
        &self.steps
    }

    /// Returns whether its time has been reached.
    pub fn is_due(&self) -> bool {
        self.is_due
    }

    fn is_done(&self) -> bool {
        self.steps.iter().all(StepTasks::is_done)
    }

    /// Returns whether all tasks of a step are done.
    pub fn is_step_done(&self, step: u16) -> bool {
        let tasks = self.steps.get(usize::from(step));
        tasks.is_none_or(StepTasks::is_done)
    }

    /// Returns whether all dependencies of a step are done.
    pub fn is_step_ready(&self, step: &StepSpec) -> bool {
        step.after.iter().all(|&earlier| self.is_step_done(earlier))
    }

    /// Iterates over the tasks with their step and index.
    fn tasks(&self) -> impl Iterator<Item = (u16, u16, &AnyTask)> {
        let steps = (0u16..).zip(&self.steps);
        steps.flat_map(|(step, tasks)| {
            let tasks = (0u16..).zip(tasks.iter());
            tasks.map(move |(index, task)| (step, index, task))
        })
    }
}

/// Occurrences of a job.
#[derive(Clone, Debug)]
pub struct OccurrenceTable {
    /// Number of occurrences in all.
    count: u32,
    /// Number of the first open occurrence; those before it are done.
    first: u32,
    /// Occurrences from there on whose state is held; the others have not begun.
    open: VecDeque<Occurrence>,
}

impl OccurrenceTable {
    /// Creates the occurrences of a job. That of a job without a schedule is open at once.
    pub(super) fn new(spec: &JobSpec) -> Self {
        let mut table = Self {
            count: spec.repeat.map_or(1, |repeat| repeat.times.max(1)),
            first: 0,
            open: VecDeque::new(),
        };
        if spec.repeat.is_none() {
            table.open_next(spec, true);
        }
        table
    }

    /// Number of occurrences at the beginning of the schedule that are done.
    pub fn count_done(&self) -> u32 {
        self.first
    }

    /// Iterates over the open occurrences with their numbers.
    pub fn open(&self) -> impl Iterator<Item = (u32, &Occurrence)> {
        (self.first..).zip(&self.open)
    }

    /// Returns an open occurrence.
    pub fn get(&self, number: u32) -> Option<&Occurrence> {
        let index = number.checked_sub(self.first)?;
        self.open.get(index as usize)
    }

    /// Returns a task of an occurrence that has begun.
    pub fn task(&self, spec: &JobSpec, key: &TaskKey) -> Option<&AnyTask> {
        let step = spec.steps.get(usize::from(key.step))?;
        if key.index >= step.count {
            return None;
        }
        if key.occurrence < self.first {
            return Some(&DONE_TASK);
        }
        let occurrence = self.get(key.occurrence)?;
        match occurrence.steps.get(usize::from(key.step)) {
            Some(tasks) => tasks.get(key.index),
            None => Some(&DONE_TASK),
        }
    }

    /// Returns a task that is not part of an occurrence that is done.
    pub(super) fn task_mut(&mut self, key: &TaskKey) -> Option<&mut AnyTask> {
        let index = key.occurrence.checked_sub(self.first)?;
        let occurrence = self.open.get_mut(index as usize)?;
        let tasks = occurrence.steps.get_mut(usize::from(key.step))?;
        tasks.get_mut(key.index)
    }

    /// Iterates over the tasks of open occurrences with their occurrence, step and index.
    pub fn tasks(&self) -> impl Iterator<Item = ((u32, u16, u16), &AnyTask)> {
        self.open().flat_map(|(number, occurrence)| {
            let tasks = occurrence.tasks();
            tasks.map(move |(step, index, task)| ((number, step, index), task))
        })
    }

    /// Returns whether all tasks of all occurrences are done.
    pub fn is_done(&self) -> bool {
        let rest = self.count - self.first;
        rest as usize == self.open.len() && self.open.iter().all(Occurrence::is_done)
    }

    /// Returns whether there are occurrences whose time is not known to have come.
    pub(super) fn has_pending(&self) -> bool {
        self.next() < self.count || self.open.iter().any(|occurrence| !occurrence.is_due)
    }

    /// Returns whether an occurrence could be opened at a time of day, or counts as due from it on.
    pub(super) fn has_due(&self, spec: &JobSpec, wall: ClockTime) -> bool {
        let next = self.next();
        let plan = spec.repeat.filter(|_| next < self.count);
        let has_late = |occurrence: &Occurrence| !occurrence.is_due && occurrence.due <= wall;
        plan.is_some_and(|plan| plan.start_of(next) <= wall) || self.open.iter().any(has_late)
    }

    /// Number of the first occurrence that has not been opened.
    fn next(&self) -> u32 {
        self.first + self.open.len() as u32
    }

    fn open_next(&mut self, spec: &JobSpec, is_due: bool) {
        let number = self.next();
        let due = spec.repeat.map(|plan| plan.start_of(number));
        let due = due.unwrap_or(ClockTime::ZERO);
        self.open.push_back(Occurrence::new(spec, due, is_due));
    }

    /// Opens the occurrences whose time has come, in order. A job always has room for one; further ones that
    /// are due meanwhile take from `room` and follow as it allows.
    pub(super) fn open_due(&mut self, spec: &JobSpec, wall: ClockTime, room: &mut MemoryRoom) {
        for occurrence in &mut self.open {
            // It remains due if the wall clocks are set back after that.
            occurrence.is_due |= occurrence.due <= wall;
        }
        let Some(plan) = spec.repeat else {
            return;
        };
        let tasks: usize = spec.count_tasks();
        let window = (MAX_OPEN_TASKS / tasks.max(1)).max(1);
        while self.next() < self.count && plan.start_of(self.next()) <= wall {
            let is_first = self.open.is_empty();
            if !is_first && (self.open.len() >= window || !room.take(spec)) {
                break;
            }
            self.open_next(spec, true);
        }
    }

    /// Drops the state of occurrences that are done.
    pub(super) fn drop_done(&mut self) {
        for occurrence in &mut self.open {
            for tasks in &mut occurrence.steps {
                tasks.is_done = tasks.is_done();
            }
            if occurrence.is_done() {
                occurrence.steps = Vec::new();
            }
        }
        // The last one stays: a job without open occurrences waits for the next one.
        let is_behind = |table: &Self| table.open.len() > 1 || table.next() < table.count;
        while is_behind(self) && self.open.front().is_some_and(Occurrence::is_done) {
            self.open.pop_front();
            self.first += 1;
        }
    }

    /// Number of open occurrences besides the one for which each job has room.
    pub(super) fn count_extra(&self) -> usize {
        let unfinished = self.open.iter().filter(|open| !open.steps.is_empty());
        unfinished.count().saturating_sub(1)
    }

    /// Opens the occurrences that a record shows as begun; those before them are done.
    pub(super) fn restore(&mut self, spec: &JobSpec, begun: Range<u32>) {
        if spec.repeat.is_none() {
            return;
        }
        self.first = begun.start.min(self.count);
        self.open.clear();
        while self.next() < begun.end.min(self.count) {
            self.open_next(spec, false);
        }
    }
}
