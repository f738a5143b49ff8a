//! Room that is kept for steps which wait for it.
//!
//! A task that needs much of a worker would starve while smaller ones take each part of the room. The
//! first late step of a pool that has waited for long enough has it kept on the worker where it is expected
//! to be free first, or on as many as a gang needs, until it has started. All other workers stay open to
//! all tasks.

use std::mem;

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    job::{
        charge::{AnyCharge, STOP_RETRY_DELAY},
        hold::{ExpectedEnd, RoomHold},
        order::JobUrgency,
        place::{PlaceRequest, conflicts, is_below_step_limit},
        room::{covers, task_slots},
        spec::{StepKey, TaskKey},
        task::AnyTask,
        worker::Worker,
    },
    name::{PoolName, WorkerId},
};

use super::{Scheduler, SchedulerDecision, placing::QueueSearch};

/// Time from the latest start of a job, or from the receipt of a long-running one, after which room is
/// kept for it.
const HOLD_AGE: ClockTime = ClockTime::from_millis(10_000);
/// Number of workers that are compared for a task: the emptiest ones that could run it.
const MAX_COMPARED_WORKERS: usize = 8;
/// Part of the time for which an overdue run has lasted that it is expected to go on, as one over this
/// number.
const OVERDUE_SHARE: u64 = 8;

/// Workers with the room that is kept on them.
type HoldPlan = SmallVec<[(WorkerId, RoomHold); 2]>;

/// Step of a pool for which room is kept.
#[derive(Debug, Default)]
pub(super) struct HeldStep {
    step: Option<StepKey>,
    /// True if it still waits for room in this search.
    is_renewed: bool,
    /// Times at which its room is expected to be free.
    due_at: SmallVec<[ClockTime; 2]>,
}

impl HeldStep {
    /// Number of workers on which a task of another step that ends by then may start.
    pub(super) fn count_open(&self, ends_at: ClockTime) -> usize {
        let open = self.due_at.iter().filter(|due_at| ends_at <= **due_at);
        open.count()
    }

    /// Step for which the next search goes on to keep room.
    pub(super) fn renewed(&self) -> Option<StepKey> {
        self.step.filter(|_| self.is_renewed)
    }
}

impl Scheduler {
    /// Creates the state of a search from the step of the pool for which the last one has kept room.
    pub(super) fn held_step(&mut self, pool: &PoolName) -> HeldStep {
        let step = self.held_steps.remove(pool);
        let workers = self.held_workers.iter();
        let holds = workers.filter_map(|id| self.workers.get(id)?.room_hold);
        let own = holds.filter(|hold| Some(hold.step) == step);
        HeldStep {
            step,
            is_renewed: false,
            due_at: own.map(|hold| hold.due_at).collect(),
        }
    }

    /// Brings the expected times of the rooms that are kept up to date, and releases those of steps that do
    /// not wait any more and of workers that take no tasks.
    pub(super) fn review_holds(&mut self) {
        let mut kept = HoldPlan::new();
        for id in mem::take(&mut self.held_workers) {
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            let renewed = self.renew_hold(worker);
            kept.extend(renewed.map(|hold| (id.clone(), hold)));
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.room_hold = None;
            }
        }
        self.apply_holds(kept);
    }

    /// Returns the room that is kept on a worker, if it still may.
    fn renew_hold(&self, worker: &Worker) -> Option<RoomHold> {
        let step = self.held_steps.get(&worker.entry.pool);
        let hold = worker.room_hold.filter(|hold| step == Some(&hold.step))?;
        let job = self.jobs.get(&hold.step.job)?;
        let is_usable = job.has_startable() && worker.takes_work(self.now);
        is_usable
            .then(|| hold.renew(worker.free(), self.expected_ends(worker), self.now))
            .flatten()
    }

    fn apply_holds(&mut self, holds: HoldPlan) {
        for (id, hold) in holds {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.room_hold = Some(hold);
                self.held_workers.push(id);
            }
        }
    }

    /// Releases the room that is kept for a step.
    fn release_holds(&mut self, step: StepKey) {
        let workers = &mut self.workers;
        self.held_workers.retain(|id| {
            let Some(worker) = workers.get_mut(id) else {
                return false;
            };
            worker.room_hold = worker.room_hold.filter(|hold| hold.step != step);
            worker.room_hold.is_some()
        });
    }

    /// Keeps room for the step of a task that waits for it, if the step has waited for long and no other one
    /// of the pool has room kept.
    pub(super) fn hold_room(
        &mut self,
        key: &TaskKey,
        urgency: &JobUrgency,
        search: &mut QueueSearch,
    ) {
        let step = StepKey::from(*key);
        let is_held = search.held.step == Some(step);
        let is_late = urgency.infeasible || !urgency.ends;
        let is_due = is_late && self.now >= urgency.latest_start + HOLD_AGE;
        if !is_held && (search.held.step.is_some() || !is_due) {
            return;
        }
        let plan = self.plan_holds(key, search);
        self.release_holds(step);
        let Some((worker, hold)) = plan.first() else {
            return;
        };
        search.held = HeldStep {
            step: Some(step),
            is_renewed: true,
            due_at: plan.iter().map(|(_, hold)| hold.due_at).collect(),
        };
        if !is_held {
            search.favour(key.job);
            self.log_decision(SchedulerDecision::RoomHeld {
                task: *key,
                worker: worker.clone(),
                due_in: hold.due_at - self.now,
            });
        }
        self.apply_holds(plan);
    }

    /// Chooses the worker on which room for a task is expected to be free first, or the emptiest ones that
    /// have room for its gang.
    fn plan_holds(&self, key: &TaskKey, search: &QueueSearch) -> HoldPlan {
        let mut plan = HoldPlan::new();
        let Some(job) = self.jobs.get(&key.job) else {
            return plan;
        };
        let request = self.place_request(job, *key);
        let (step, step_key) = (request.step, StepKey::from(*key));
        let known = search.workers.emptiest();
        let known = known.filter_map(|id| self.workers.get(id));
        let usable = known.filter(|worker| {
            let permits = &self.permits;
            let is_permitted = !job.terms.advised || permits.allows(step_key, &worker.id, self.now);
            is_permitted && self.may_hold(&request, worker)
        });
        let plan_on = |worker: &Worker, slots: u64| {
            let (need, ends) = (step.charged().times(slots), self.expected_ends(worker));
            let hold = RoomHold::plan(step_key, &need, worker.free(), ends, self.now);
            hold.map(|hold| (worker.id.clone(), hold))
        };
        if !step.gang {
            let planned = usable
                .take(MAX_COMPARED_WORKERS)
                .filter_map(|worker| plan_on(worker, 1));
            // The present worker stays the first choice among equal ones.
            let rank =
                |(id, hold): &(WorkerId, RoomHold)| (hold.due_at, !self.held_workers.contains(id));
            return planned.min_by_key(rank).into_iter().collect();
        }
        let mut missing = u64::from(step.count);
        for worker in usable {
            let slots = task_slots(step, &worker.finite_room()).min(missing);
            plan.extend(plan_on(worker, slots));
            missing -= slots;
            if missing == 0 {
                return plan;
            }
        }
        HoldPlan::new()
    }

    /// Returns whether room for a task may be kept on a worker.
    fn may_hold(&self, request: &PlaceRequest<'_>, worker: &Worker) -> bool {
        let has_label = |wanted: &str| worker.entry.labels.iter().any(|label| &**label == wanted);
        let need = request.step.charged();
        worker.takes_work(self.now)
            && worker
                .reserved_for
                .is_none_or(|job| job == request.task.job)
            && worker
                .room_hold
                .is_none_or(|hold| hold.step == request.task.into())
            && covers(&worker.finite_room(), &need)
            && request.step.requires.as_deref().is_none_or(has_label)
            && is_below_step_limit(request, worker)
            && !conflicts(request.step, worker)
    }

    /// Expected ends of the runs on a worker that end by themselves.
    fn expected_ends<'a>(&'a self, worker: &'a Worker) -> impl Iterator<Item = ExpectedEnd> + 'a {
        let charges = worker.charges.iter();
        charges.filter_map(|((task, run), charge)| {
            let cost = charge.cost().filter(|cost| !cost.long_running)?;
            Some(ExpectedEnd {
                at: self.expected_end(&worker.id, task, *run, charge),
                freed: cost.need,
            })
        })
    }

    fn expected_end(
        &self,
        id: &WorkerId,
        key: &TaskKey,
        run: u32,
        charge: &AnyCharge,
    ) -> ClockTime {
        let now = self.now;
        let job = self.jobs.get(&key.job);
        let task = job.and_then(|job| Some((job, job.task(key)?)));
        let held = task.filter(|(_, task)| task.placed() == Some((id, run)));
        let Some((job, task)) = held else {
            // Runs that belong to no task are ordered to stop.
            return now + STOP_RETRY_DELAY;
        };
        let span = self.expected_span(job, job.step(key));
        let (since, expected_at) = match task {
            AnyTask::Running(task) => {
                let by_progress = task.expected_remaining();
                let by_progress = by_progress.map(|remaining| task.phase.progressed_at + remaining);
                let since = task.phase.since;
                (since, by_progress.unwrap_or(since + span))
            }
            AnyTask::Assigned(task) => (task.phase.since, task.phase.since + span),
            _ => (now, now + STOP_RETRY_DELAY),
        };
        let since = charge.begun_at().unwrap_or(since);
        if expected_at > now {
            return expected_at;
        }
        now + ClockTime::from_millis((now - since).as_millis() / OVERDUE_SHARE)
    }
}
