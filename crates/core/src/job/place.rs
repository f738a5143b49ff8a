//! Which worker a task runs on.
//!
//! Fills the fullest worker that still has room, so that whole VMs stay empty: those can move to
//! another pool or have their maintenance at no cost.

use crate::{
    clock::ClockTime,
    name::{RackName, WorkerId},
};

use super::{
    spec::{Resources, StepSpec, TaskKey},
    worker::Worker,
};

/// What a task asks of a worker.
#[derive(Clone, Copy, Debug)]
pub struct PlaceRequest<'a> {
    /// The task.
    pub task: TaskKey,
    /// Its step.
    pub step: &'a StepSpec,
    /// The worker on which it failed last, which is avoided while another will do.
    pub avoid: Option<&'a WorkerId>,
    /// The rack on which others of its step run, where that makes it faster.
    pub preferred_rack: Option<&'a RackName>,
}

/// The worker that suits a task best, if one has room.
pub fn choose_worker<'a>(
    request: &PlaceRequest<'_>,
    workers: impl Iterator<Item = &'a Worker>,
    now: ClockTime,
) -> Option<WorkerId> {
    let need = request.step.charged();
    workers
        .filter(|worker| is_eligible(request, worker, &need, now))
        .min_by_key(|worker| preference(request, worker, &need))
        .map(|worker| worker.id.clone())
}

/// Whether a worker could run a task now.
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
        && below_step_limit(request, worker)
        && !disturbs(step, worker)
}

fn below_step_limit(request: &PlaceRequest<'_>, worker: &Worker) -> bool {
    let most = usize::from(request.step.max_per_worker);
    let TaskKey {
        job,
        occurrence,
        step,
        ..
    } = request.task;
    let same = |key: &&TaskKey| (key.job, key.occurrence, key.step) == (job, occurrence, step);
    most == 0 || worker.tasks.keys().filter(same).count() < most
}

/// Tasks that fill slow down those that serve users; the two are kept on different workers.
fn disturbs(step: &StepSpec, worker: &Worker) -> bool {
    let serves = step.target > ClockTime::ZERO;
    (step.fills && worker.serving > 0) || (serves && worker.filling > 0)
}

/// The lesser is the better: the task's rack, not where it failed, then the fullest.
fn preference(request: &PlaceRequest<'_>, worker: &Worker, need: &Resources) -> (bool, bool, u64) {
    let rack = request.step.affinity.as_ref().or(request.preferred_rack);
    let far = rack.is_some_and(|rack| worker.entry.rack.as_ref() != Some(rack));
    let avoided = request.avoid == Some(&worker.id);
    let left = worker.entry.capacity.cpu - worker.used.cpu - need.cpu;
    (far, avoided, left)
}
