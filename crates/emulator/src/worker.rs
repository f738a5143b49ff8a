//! Emulated workers, which run tasks under leases measured on their own clocks.

use std::collections::{BTreeMap, BTreeSet};

use jacinthhoist_core::{
    ClockTime, VmName, WorkerId,
    job::{
        ActiveRun, EndedRun, OrderReply, RenewalReport, Resources, StartReply, StepKey, TaskEnd,
        TaskKey, WorkerEntry, WorkerState,
    },
};
use jacinthhoist_scheduler::ports::{RenewalOrder, StartOrder};

use crate::history::{EmulationHistory, EndKind, StartConditions};

/// Longest lease that a worker grants.
pub(crate) const LONGEST_LEASE: ClockTime = ClockTime::from_millis(6_000);
/// Number of ends that a worker lists at most.
const MAX_LISTED_ENDS: usize = 20;
/// Time that a run takes to stop.
const STOP_TIME: ClockTime = ClockTime::from_millis(300);
/// Time after its start at which a long-running task is fully available.
const AVAILABLE_AFTER: ClockTime = ClockTime::from_millis(400);
/// Reported progress of a fully available task.
const FULL_PERCENT: u64 = 100;
/// Factor by which a slow worker multiplies the duration of its tasks.
const SLOW_FACTOR: u64 = 4;

/// Failure mode of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum WorkerMode {
    #[default]
    Normal,
    FailAll,
    Hang,
    Slow,
    /// Orders are not answered and are executed late.
    Late,
}

/// Emulated behaviour of a run.
#[derive(Clone, Debug)]
pub(crate) struct TaskBehaviour {
    /// Duration; `None` if the task runs until it is stopped.
    pub(crate) duration: Option<ClockTime>,
    pub(crate) fails: bool,
    pub(crate) need: Resources,
    /// Time from the start to the crash of the worker, if the task causes one.
    pub(crate) crashes_after: Option<ClockTime>,
}

#[derive(Clone, Debug)]
struct WorkerRun {
    began_at: ClockTime,
    behaviour: TaskBehaviour,
    /// `None` if the run does not end on its own.
    done_at: Option<ClockTime>,
    stops_at: Option<ClockTime>,
}

/// One incarnation of a worker.
#[derive(Debug)]
pub(crate) struct EmulatedWorker {
    pub(crate) id: WorkerId,
    pub(crate) vm: VmName,
    pub(crate) entry: WorkerEntry,
    pub(crate) mode: WorkerMode,
    pub(crate) guarded: bool,
    /// Present capacity, which the entry shows from the next heartbeat on.
    capacity: Resources,
    /// Time of the last shrinkage and the capacity before it, while the worker has less.
    shrunk_from: Option<(ClockTime, Resources)>,
    started_at: ClockTime,
    /// Lag of the worker's clock, in thousandths of the elapsed time.
    clock_lag_permille: u64,
    /// Highest fencing token of the received orders.
    token: u64,
    /// End of the lease on the worker's clock, in milliseconds.
    lease_until: u64,
    /// Runs by task and number; a task may have several.
    running: BTreeMap<(TaskKey, u32), WorkerRun>,
    /// Highest run number of each task that was stopped or has ended here.
    highest_runs: BTreeMap<TaskKey, u32>,
    ended: Vec<EndedRun>,
    last_end: u64,
    /// Numbers of the ends that have been reported.
    reported: BTreeSet<u64>,
    /// Number of the last end when the lease was last found to have lapsed; acknowledgements of
    /// this end and earlier ones are not recorded.
    lapsed_end: u64,
}

impl EmulatedWorker {
    pub(crate) fn new(
        id: WorkerId,
        vm: VmName,
        entry: WorkerEntry,
        guarded: bool,
        clock_lag_permille: u64,
        now: ClockTime,
    ) -> Self {
        let capacity = entry.capacity;
        Self {
            id,
            vm,
            entry: WorkerEntry {
                incarnation: Some(now.as_millis()),
                ..entry
            },
            mode: WorkerMode::Normal,
            guarded,
            capacity,
            shrunk_from: None,
            started_at: now,
            clock_lag_permille,
            token: 0,
            lease_until: 0,
            running: BTreeMap::new(),
            highest_runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            reported: BTreeSet::new(),
            lapsed_end: 0,
        }
    }

    /// Time on the worker's clock, in milliseconds since the worker started.
    fn worker_clock(&self, now: ClockTime) -> u64 {
        (now - self.started_at).as_millis() * (1_000 - self.clock_lag_permille) / 1_000
    }

    /// Emulation time at a time of the worker's clock.
    fn emulation_time(&self, worker_clock: u64) -> ClockTime {
        let passed = worker_clock * 1_000 / (1_000 - self.clock_lag_permille);
        self.started_at + ClockTime::from_millis(passed)
    }

    /// Ends the runs that are due by now.
    pub(crate) fn end_due_runs(&mut self, now: ClockTime, history: &mut EmulationHistory) {
        let lapses_at = self.emulation_time(self.lease_until);
        let mut due: Vec<(ClockTime, (TaskKey, u32), TaskEnd)> = Vec::new();
        for (key, run) in &self.running {
            let done = if run.behaviour.fails {
                TaskEnd::Failed
            } else {
                TaskEnd::Done
            };
            let ends = [
                run.done_at.map(|at| (at, done)),
                run.stops_at.map(|at| (at, TaskEnd::Stopped)),
                Some((lapses_at, TaskEnd::Lapsed)),
            ];
            let first = ends.into_iter().flatten().min_by_key(|(at, _)| *at);
            if let Some((at, end)) = first.filter(|(at, _)| *at <= now) {
                due.push((at, *key, end));
            }
        }
        due.sort_unstable_by_key(|(at, key, _)| (*at, *key));
        for (at, key, end) in due {
            self.running.remove(&key);
            let (task, run) = key;
            history.record_end(&self.id, task, run, at, EndKind::Reported(end));
            let highest_run = self.highest_runs.entry(task).or_default();
            *highest_run = (*highest_run).max(run);
            self.last_end += 1;
            self.ended.push(EndedRun {
                number: self.last_end,
                task,
                run,
                end,
                checkpoint: None,
            });
        }
    }

    /// Time at which the next run ends.
    pub(crate) fn next_end(&self) -> Option<ClockTime> {
        let runs = self.running.values();
        let run_ends = runs.flat_map(|run| run.done_at.into_iter().chain(run.stops_at));
        let lapse = (!self.running.is_empty()).then(|| self.emulation_time(self.lease_until));
        run_ends.chain(lapse).min()
    }

    /// Returns true if an end has not yet been reported.
    pub(crate) fn has_unreported_end(&self) -> bool {
        self.ended
            .iter()
            .any(|ended_run| !self.reported.contains(&ended_run.number))
    }

    /// Resources that the runs use.
    fn used(&self) -> Resources {
        let runs = self.running.values();
        runs.fold(Resources::default(), |used, run| {
            used.plus(&run.behaviour.need)
        })
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Has the worker receive an order of a later owner, of which the store knows nothing.
    pub(crate) fn meet_later_owner(&mut self) {
        self.token += 1;
    }

    /// CPU of the worker and the part of it in use; `None` if it does not take tasks as usual.
    pub(crate) fn cpu_use(&self) -> Option<(u64, u64)> {
        let takes_tasks = self.mode == WorkerMode::Normal && self.entry.state == WorkerState::Ready;
        takes_tasks.then(|| (self.capacity.cpu, self.used().cpu))
    }

    /// Changes the capacity; runs in progress stay.
    pub(crate) fn set_capacity(&mut self, capacity: Resources, now: ClockTime) {
        let shrinks = !capacity.fits(&Resources::default(), &self.capacity);
        self.shrunk_from = shrinks.then_some((now, self.capacity));
        self.capacity = capacity;
    }

    /// Shows the present capacity in the entry.
    pub(crate) fn refresh_entry(&mut self) -> &WorkerEntry {
        self.entry.capacity = self.capacity;
        &self.entry
    }

    /// Returns whether a run is in progress.
    pub(crate) fn is_running(&self, task: TaskKey, run: u32) -> bool {
        self.running.contains_key(&(task, run))
    }

    /// Ends all runs unreported, because the process is gone.
    pub(crate) fn kill(&mut self, now: ClockTime, history: &mut EmulationHistory) {
        self.end_due_runs(now, history);
        for (task, run) in std::mem::take(&mut self.running).into_keys() {
            history.record_end(&self.id, task, run, now, EndKind::ProcessLost);
        }
    }

    fn extend_lease(&mut self, until: Option<u64>, now: ClockTime) {
        let max_lease = self.worker_clock(now) + LONGEST_LEASE.as_millis();
        if let Some(until) = until {
            self.lease_until = self.lease_until.max(until.min(max_lease));
        }
    }

    /// Renews the lease, discards acknowledged ends and reports the runs; `None` if the worker has
    /// seen a higher token.
    pub(crate) fn renew(
        &mut self,
        order: RenewalOrder,
        token: u64,
        now: ClockTime,
        history: &mut EmulationHistory,
    ) -> Option<RenewalReport> {
        self.end_due_runs(now, history);
        if token < self.token {
            return None;
        }
        self.token = token;
        if self.lease_until < self.worker_clock(now) {
            self.lapsed_end = self.last_end;
        }
        self.extend_lease(order.lease_until, now);
        let (acked, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|ended_run| ended_run.number <= order.ack);
        self.ended = kept;
        for ended_run in acked
            .iter()
            .filter(|ended_run| ended_run.number > self.lapsed_end)
        {
            history.record_ack(&self.id, ended_run.task, ended_run.run, now);
        }
        Some(self.report(now))
    }

    /// Reports active and ended runs.
    pub(crate) fn report(&mut self, now: ClockTime) -> RenewalReport {
        self.reported.extend(
            self.ended
                .iter()
                .take(MAX_LISTED_ENDS)
                .map(|ended_run| ended_run.number),
        );
        let active_run = |(&(task, number), run): (&(TaskKey, u32), &WorkerRun)| {
            let elapsed = (now - run.began_at).as_millis();
            let total = run
                .behaviour
                .duration
                .unwrap_or(AVAILABLE_AFTER)
                .as_millis()
                .max(1);
            // A task that hangs reports no progress.
            let hangs = run.done_at.is_none() && run.behaviour.duration.is_some();
            let percent = if hangs {
                0
            } else {
                elapsed * FULL_PERCENT / total
            };
            ActiveRun {
                task,
                run: number,
                checkpoint: None,
                percent: percent.min(FULL_PERCENT) as u8,
                load: 0,
            }
        };
        RenewalReport {
            clock: self.worker_clock(now),
            incarnation: self.entry.incarnation,
            running: self.running.iter().map(active_run).collect(),
            ended: self.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
            has_more_ends: self.ended.len() >= MAX_LISTED_ENDS,
        }
    }

    pub(crate) fn start_run(
        &mut self,
        order: &StartOrder,
        behaviour: TaskBehaviour,
        token: u64,
        conditions: StartConditions,
        history: &mut EmulationHistory,
    ) -> StartReply {
        let now = conditions.at;
        self.end_due_runs(now, history);
        history.record_order(token, now);
        if token < self.token {
            history.record_fence(token, now);
            return StartReply::Fenced;
        }
        self.token = token;
        if self.is_running(order.task, order.run) {
            return StartReply::Started;
        }
        self.extend_lease(order.lease_until, now);
        let highest_run = self.highest_runs.get(&order.task).copied().unwrap_or(0);
        if order.run <= highest_run {
            return StartReply::OldRun;
        }
        if self.lease_until <= self.worker_clock(now) {
            return StartReply::TooLate;
        }
        let used = self.used();
        if self.guarded && !self.capacity.fits(&used, &behaviour.need) {
            return StartReply::NoRoom;
        }
        let factor = if self.mode == WorkerMode::Slow {
            SLOW_FACTOR
        } else {
            1
        };
        let duration = behaviour
            .duration
            .map(|duration| duration.as_millis() * factor);
        let done_at = duration.map(|duration| now + ClockTime::from_millis(duration));
        let run = WorkerRun {
            began_at: now,
            done_at: done_at.filter(|_| self.mode != WorkerMode::Hang),
            stops_at: None,
            behaviour: TaskBehaviour {
                fails: behaviour.fails || self.mode == WorkerMode::FailAll,
                ..behaviour
            },
        };
        let need = &run.behaviour.need;
        let shrunk_from = self.shrunk_from.as_ref();
        let shrunk_from = shrunk_from.filter(|(_, capacity)| capacity.fits(&used, need));
        let step = StepKey::from(order.task);
        let running = self.running.keys();
        let beside = running.filter(|(task, _)| StepKey::from(*task) == step);
        let conditions = StartConditions {
            beside: beside.count(),
            over_capacity: !self.capacity.fits(&used, need),
            shrunk_at: shrunk_from.map(|(at, _)| *at),
            ..conditions
        };
        history.record_start(&self.id, &self.entry.pool, order, conditions);
        self.running.insert((order.task, order.run), run);
        StartReply::Started
    }

    pub(crate) fn stop_run(
        &mut self,
        task: TaskKey,
        run: u32,
        token: u64,
        now: ClockTime,
        history: &mut EmulationHistory,
    ) -> OrderReply {
        self.end_due_runs(now, history);
        history.record_order(token, now);
        if token < self.token {
            history.record_fence(token, now);
            return OrderReply::Fenced;
        }
        self.token = token;
        let highest_run = self.highest_runs.entry(task).or_default();
        *highest_run = (*highest_run).max(run);
        if let Some(running) = self.running.get_mut(&(task, run)) {
            running.stops_at.get_or_insert(now + STOP_TIME);
            history.record_stop(&self.id, task, run, now);
        }
        OrderReply::Done
    }
}
