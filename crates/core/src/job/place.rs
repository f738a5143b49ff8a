//! Assignment of tasks to workers.
//!
//! Tasks are packed onto the fullest worker that has room, so that whole VMs stay idle and can move
//! to another pool or undergo maintenance at no cost.

use std::collections::BTreeMap;

use crate::{
    clock::ClockTime,
    name::{RackName, WorkerId},
};

use super::{
    spec::{Resources, StepSpec, TaskKey},
    worker::Worker,
};

/// Placement constraints and preferences of a task.
#[derive(Clone, Copy, Debug)]
pub struct PlaceRequest<'a> {
    /// Task to place.
    pub task: TaskKey,
    /// Step of the task.
    pub step: &'a StepSpec,
    /// Worker on which the task last failed; others are preferred.
    pub avoid: Option<&'a WorkerId>,
    /// Rack on which other tasks of the step run, for steps that run faster on one rack.
    pub preferred_rack: Option<&'a RackName>,
    /// Expected duration of the task.
    pub span: ClockTime,
}

impl PlaceRequest<'_> {
    /// Rack on which the task runs best.
    fn wanted_rack(&self) -> Option<&RackName> {
        self.step.affinity.as_ref().or(self.preferred_rack)
    }
}

/// Workers among which a task is placed.
#[derive(Clone, Copy, Debug)]
pub(super) enum PlaceScope<'a> {
    /// All workers of the pool that take tasks.
    Pool(&'a PlaceCandidates),
    /// Those that are known to have had room for the task.
    Fitting(&'a [WorkerId]),
}

impl<'a> PlaceScope<'a> {
    /// Iterates over the workers.
    pub(super) fn ids(self) -> impl Iterator<Item = &'a WorkerId> {
        let (pool, fitting) = match self {
            Self::Pool(candidates) => (Some(candidates), &[][..]),
            Self::Fitting(workers) => (None, workers),
        };
        let pool = pool.into_iter().flat_map(|pool| pool.with_room(0));
        pool.chain(fitting)
    }
}

/// Workers of a pool by free CPU, for the placement of many tasks in a row.
///
/// Pattern: a surge starts more than a thousand tasks a second in a pool of hundreds of workers. A
/// look at every worker for each task would cost the owner more than the orders themselves; in this
/// order, the first eligible worker is the fullest.
#[derive(Clone, Debug, Default)]
pub struct PlaceCandidates {
    by_free_cpu: Vec<(u64, WorkerId)>,
}

impl PlaceCandidates {
    /// Creates the candidates from workers and their free CPU, in thousandths of a core.
    ///
    /// ```
    /// use jacinthhoist_core::{WorkerId, job::PlaceCandidates};
    /// let id = WorkerId::new;
    /// let mut candidates = PlaceCandidates::new(vec![(9, id("a")), (4, id("b")), (6, id("c"))]);
    /// candidates.take(&id("c"), 6, 5);
    /// let with_room: Vec<&WorkerId> = candidates.with_room(3).collect();
    /// assert_eq!(with_room, [&id("b"), &id("a")]);
    /// ```
    pub fn new(mut by_free_cpu: Vec<(u64, WorkerId)>) -> Self {
        by_free_cpu.sort_unstable();
        Self { by_free_cpu }
    }

    /// Iterates over the workers with at least `cpu` free, the fullest first.
    pub fn with_room(&self, cpu: u64) -> impl Iterator<Item = &WorkerId> {
        let first = self.by_free_cpu.partition_point(|(free, _)| *free < cpu);
        self.by_free_cpu[first..].iter().map(|(_, id)| id)
    }

    /// Returns whether there is no worker.
    pub fn is_empty(&self) -> bool {
        self.by_free_cpu.is_empty()
    }

    /// Iterates over all workers, the emptiest first.
    pub fn emptiest(&self) -> impl Iterator<Item = &WorkerId> {
        self.by_free_cpu.iter().rev().map(|(_, id)| id)
    }

    /// Records that a task takes `cpu` of a worker that had `free`.
    pub fn take(&mut self, id: &WorkerId, free: u64, cpu: u64) {
        let entry = (free, id.clone());
        let Ok(index) = self.by_free_cpu.binary_search(&entry) else {
            return;
        };
        let (_, id) = self.by_free_cpu.remove(index);
        let entry = (free.saturating_sub(cpu), id);
        let index = self.by_free_cpu.partition_point(|other| *other < entry);
        self.by_free_cpu.insert(index, entry);
    }
}

/// The best eligible worker for a task among candidates, if there is one.
pub(super) fn choose_candidate<'a>(
    request: &PlaceRequest<'_>,
    candidates: &'a PlaceCandidates,
    workers: &'a BTreeMap<WorkerId, Worker>,
    now: ClockTime,
) -> Option<WorkerId> {
    let need = request.step.charged();
    let mut known = candidates
        .with_room(need.cpu)
        .filter_map(|id| workers.get(id));
    if request.wanted_rack().is_some() || request.avoid.is_some() {
        return choose_worker(request, known, now);
    }
    let found = known.find(|worker| is_eligible(request, worker, &need, now));
    found.map(|worker| worker.id.clone())
}

/// The best eligible worker for a task, if there is one.
pub fn choose_worker<'a>(
    request: &PlaceRequest<'_>,
    workers: impl Iterator<Item = &'a Worker>,
    now: ClockTime,
) -> Option<WorkerId> {
    let need = request.step.charged();
    workers
        .filter(|worker| is_eligible(request, worker, &need, now))
        .min_by_key(|worker| placement_rank(request, worker, &need))
        .map(|worker| worker.id.clone())
}

/// True if a worker can run a task now.
pub(super) fn is_eligible(
    request: &PlaceRequest<'_>,
    worker: &Worker,
    need: &Resources,
    now: ClockTime,
) -> bool {
    has_room(request, worker, need, now)
        && is_below_step_limit(request, worker)
        && !worker.has_run_of(request.task)
}

/// True if a worker has room for a task now, whatever other tasks of the step it runs.
pub(super) fn has_room(
    request: &PlaceRequest<'_>,
    worker: &Worker,
    need: &Resources,
    now: ClockTime,
) -> bool {
    let step = request.step;
    let label = |wanted: &str| worker.entry.labels.iter().any(|label| &**label == wanted);
    worker.takes_task(request.task.into(), step.gang, now)
        && worker
            .reserved_for
            .is_none_or(|job| job == request.task.job)
        && worker.entry.capacity.fits(&worker.used, need)
        && step.requires.as_deref().is_none_or(label)
        && !conflicts(step, worker)
        && worker.room_hold.is_none_or(|hold| {
            hold.step == request.task.into() || hold.admits(need, now + request.span)
        })
}

pub(super) fn is_below_step_limit(request: &PlaceRequest<'_>, worker: &Worker) -> bool {
    let limit = usize::from(request.step.max_per_worker);
    limit == 0 || worker.count_step_runs(request.task.into()) < limit
}

/// Best-effort tasks slow down tasks that serve users, so the two kinds are kept on different
/// workers.
pub(super) fn conflicts(step: &StepSpec, worker: &Worker) -> bool {
    let serves = step.target > ClockTime::ZERO;
    (step.best_effort && worker.serving_runs > 0) || (serves && worker.best_effort_runs > 0)
}

/// Sort key, best worker first: the preferred rack, then workers other than the avoided one, then
/// the least free capacity.
fn placement_rank(
    request: &PlaceRequest<'_>,
    worker: &Worker,
    need: &Resources,
) -> (bool, bool, u64) {
    let rack = request.wanted_rack();
    let other_rack = rack.is_some_and(|rack| worker.entry.rack.as_ref() != Some(rack));
    let avoided = request.avoid == Some(&worker.id);
    let free = worker.entry.capacity.cpu - worker.used.cpu - need.cpu;
    (other_rack, avoided, free)
}
