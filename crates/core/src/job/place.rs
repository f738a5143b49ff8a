//! Assignment of tasks to workers.
//!
//! Tasks are packed onto the fullest worker that has room, so that whole VMs stay idle and can move
//! to another pool or undergo maintenance at no cost.

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
    let step = request.step;
    let label = |wanted: &str| worker.entry.labels.iter().any(|label| &**label == wanted);
    worker.takes_work(now)
        && worker.entry.capacity.fits(&worker.used, need)
        && step.requires.as_deref().is_none_or(label)
        && is_below_step_limit(request, worker)
        && !conflicts(step, worker)
}

fn is_below_step_limit(request: &PlaceRequest<'_>, worker: &Worker) -> bool {
    let limit = usize::from(request.step.max_per_worker);
    let TaskKey {
        job,
        occurrence,
        step,
        ..
    } = request.task;
    let same = |key: &&TaskKey| (key.job, key.occurrence, key.step) == (job, occurrence, step);
    limit == 0 || worker.tasks.keys().filter(same).count() < limit
}

/// Best-effort tasks slow down tasks that serve users, so the two kinds are kept on different
/// workers.
fn conflicts(step: &StepSpec, worker: &Worker) -> bool {
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
    let rack = request.step.affinity.as_ref().or(request.preferred_rack);
    let other_rack = rack.is_some_and(|rack| worker.entry.rack.as_ref() != Some(rack));
    let avoided = request.avoid == Some(&worker.id);
    let free = worker.entry.capacity.cpu - worker.used.cpu - need.cpu;
    (other_rack, avoided, free)
}
