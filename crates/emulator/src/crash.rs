//! Crashes of workers by the tasks that they run, and the workers that follow them.

use std::{ops::Range, sync::Arc, time::Duration};

use jacinthhoist_core::{
    ClockTime, PoolName, VmName, WorkerId,
    job::{TaskKey, VmState},
};
use jacinthhoist_scheduler::ports::WorkerRecord;
use rand::{RngExt, rngs::StdRng};
use tokio::time::sleep;

use crate::{
    model::{ModelState, PlatformModel},
    network::Endpoint,
    payload::FatalTask,
    scenario::ScenarioLoad,
};

/// Time from a crash to the next worker of the VM, in milliseconds.
const RESTART_MS: Range<u64> = 3_000..3_500;
/// Time from a crash to the removal of the worker's entry, in milliseconds: three heartbeats after
/// the last one.
const REMOVAL_MS: Range<u64> = 3_000..4_500;
/// Share of the crashed workers that restart under their id.
const SAME_ID_SHARE: f64 = 0.3;
/// Share of the crashed workers whose address gives no answer instead of refusing connections.
const UNANSWERED_SHARE: f64 = 0.3;
/// Time after the restart in which effects of a crash may still be visible.
const RECOVERY_TIME: ClockTime = ClockTime::from_millis(4_000);

/// Arrivals of jobs with a fatal task.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FatalArrivals {
    /// Pool whose jobs are affected; `None` affects those of all pools.
    pub(crate) pool: Option<PoolName>,
    /// Share of the new jobs that have a fatal task.
    pub(crate) share: f64,
    pub(crate) crashes_late: bool,
}

impl FatalArrivals {
    /// Draws the fatal task of a new job; `None` if it has none.
    pub(crate) fn draw(&self, load: &ScenarioLoad, rng: &mut StdRng) -> Option<FatalTask> {
        let pool = self.pool.as_ref();
        if pool.is_some_and(|pool| pool.as_str() != load.pool) || !rng.random_bool(self.share) {
            return None;
        }
        Some(FatalTask {
            step: rng.random_range(0..load.steps.max(1)),
            index: rng.random_range(0..load.tasks.max(1)),
            crashes_late: self.crashes_late,
        })
    }
}

/// A crashed worker, and what follows on its VM.
struct CrashedWorker {
    id: WorkerId,
    vm: VmName,
    restarts_after: Duration,
    /// Time after which the entry is removed; `None` if the next worker has the same id.
    removed_after: Option<Duration>,
}

impl PlatformModel {
    /// Crashes a worker some time after it has started a run, if the run is still active.
    pub(crate) fn schedule_crash(
        self: &Arc<Self>,
        id: &WorkerId,
        (task, run): (TaskKey, u32),
        after: ClockTime,
    ) {
        let (model, id) = (self.clone(), id.clone());
        tokio::spawn(async move {
            sleep(Duration::from_millis(after.as_millis())).await;
            if let Some(crashed) = model.crash_worker(&id, task, run) {
                model.clone().replace_worker(crashed).await;
            }
        });
    }

    fn crash_worker(&self, id: &WorkerId, task: TaskKey, run: u32) -> Option<CrashedWorker> {
        let now = self.clock.now();
        let mut state = self.state();
        let ModelState {
            workers,
            vms,
            history,
            rng,
            ..
        } = &mut *state;
        let worker = workers.get_mut(id)?;
        worker.end_due_runs(now, history);
        if !worker.is_running(task, run) {
            return None;
        }
        worker.kill(now, history);
        let vm = workers.remove(id)?.vm;
        history.record_crash(id, task, run);
        let restarts_after = rng.random_range(RESTART_MS);
        let until = now + ClockTime::from_millis(restarts_after) + RECOVERY_TIME;
        history.crash_spans.push((now, until));
        let keeps_id = rng.random_bool(SAME_ID_SHARE);
        let removed_after = rng.random_range(REMOVAL_MS);
        if let Some(vm) = vms.get_mut(&vm) {
            vm.state = VmState::Down;
            vm.worker = None;
        }
        let endpoint = Endpoint::Worker(id.clone());
        if rng.random_bool(UNANSWERED_SHARE) {
            self.network.set_isolated(endpoint.clone(), true);
        } else {
            self.network.set_stopped(endpoint.clone(), true);
        }
        self.network.reset_connections(endpoint);
        Some(CrashedWorker {
            id: id.clone(),
            vm,
            restarts_after: Duration::from_millis(restarts_after),
            removed_after: (!keeps_id).then(|| Duration::from_millis(removed_after)),
        })
    }

    /// Starts the next worker of a VM and removes the entry of the crashed one.
    async fn replace_worker(self: Arc<Self>, crashed: CrashedWorker) {
        if let Some(removed_after) = crashed.removed_after {
            let (model, id) = (self.clone(), crashed.id.clone());
            tokio::spawn(async move {
                sleep(removed_after).await;
                let removed = WorkerRecord::Removed(id.clone());
                let mut state = model.state();
                state.worker_entries.push(id.as_str(), removed, true);
            });
        }
        sleep(crashed.restarts_after).await;
        let now = self.clock.now();
        let mut state = self.state();
        // The VM may have been lost in the meantime.
        let Some(vm) = state.vms.get_mut(&crashed.vm) else {
            return;
        };
        vm.state = VmState::Up;
        let has_new_id = crashed.removed_after.is_some();
        // The next worker refuses the calls that are meant for another one.
        let endpoint = Endpoint::Worker(crashed.id.clone());
        self.network.set_isolated(endpoint.clone(), false);
        self.network.set_stopped(endpoint, has_new_id);
        if has_new_id {
            self.start_worker(&mut state, &crashed.vm, now);
        } else {
            self.restart_worker(&mut state, crashed.id, &crashed.vm, now);
        }
    }
}
