//! Workers: tasks under leases, by the workers' own clocks.

use std::collections::{BTreeMap, BTreeSet};

use jacinthhoist_core::{
    ClockTime, VmName, WorkerId,
    job::{
        ActiveRun, EndedRun, HoldReport, OrderReply, Resources, StartReply, TaskEnd, TaskKey,
        WorkerEntry,
    },
};
use jacinthhoist_scheduler::ports::{HoldOrder, StartOrder};

use crate::history::{EndKind, History};

/// The longest lease that a worker grants.
const HOLD_MAX: ClockTime = ClockTime::from_millis(6_000);
/// How long a stop takes.
const STOP: ClockTime = ClockTime::from_millis(300);
/// Time after which a task that serves for good is fully at work.
const STARTUP: ClockTime = ClockTime::from_millis(400);
/// Progress of a task that is fully at work.
const FULL_PERCENT: u64 = 100;
/// How many times the usual a slow worker's tasks take.
const SLOW_FACTOR: u64 = 4;

/// How a worker misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum WorkerMode {
    #[default]
    Sound,
    FailAll,
    Hang,
    Slow,
    /// Orders are not answered and carried out late.
    Late,
}

/// What a task does.
#[derive(Clone, Debug)]
pub(crate) struct TaskPlan {
    /// How long it takes; none where it runs until it is stopped.
    pub(crate) takes: Option<ClockTime>,
    pub(crate) fails: bool,
    pub(crate) need: Resources,
}

#[derive(Clone, Debug)]
struct Run {
    run: u32,
    began_at: ClockTime,
    plan: TaskPlan,
    /// None where it never ends by itself.
    done_at: Option<ClockTime>,
    stops_at: Option<ClockTime>,
}

/// One worker in one life.
#[derive(Debug)]
pub(crate) struct EmulatedWorker {
    pub(crate) id: WorkerId,
    pub(crate) vm: VmName,
    pub(crate) entry: WorkerEntry,
    pub(crate) mode: WorkerMode,
    pub(crate) guarded: bool,
    started_at: ClockTime,
    /// Thousandths by which its clock is slow.
    slow_permille: u64,
    token: u64,
    deadline: u64,
    running: BTreeMap<TaskKey, Run>,
    /// The highest run of each task that was stopped or has ended here.
    past: BTreeMap<TaskKey, u32>,
    ended: Vec<EndedRun>,
    last_end: u64,
    /// Numbers of ends that have been told.
    told: BTreeSet<u64>,
    /// The highest number of an end after which the lease has lapsed: taking note of it counts no more.
    lapsed_end: u64,
}

impl EmulatedWorker {
    pub(crate) fn start(
        id: WorkerId,
        vm: VmName,
        entry: WorkerEntry,
        guarded: bool,
        slow_permille: u64,
        now: ClockTime,
    ) -> Self {
        Self {
            id,
            vm,
            entry: WorkerEntry {
                incarnation: Some(now.as_millis()),
                ..entry
            },
            mode: WorkerMode::Sound,
            guarded,
            started_at: now,
            slow_permille,
            token: 0,
            deadline: 0,
            running: BTreeMap::new(),
            past: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            told: BTreeSet::new(),
            lapsed_end: 0,
        }
    }

    /// The worker's clock.
    fn clock(&self, now: ClockTime) -> u64 {
        (now - self.started_at).as_millis() * (1_000 - self.slow_permille) / 1_000
    }

    /// Our time at a time of the worker's clock.
    fn real(&self, clock: u64) -> ClockTime {
        let passed = clock * 1_000 / (1_000 - self.slow_permille);
        self.started_at + ClockTime::from_millis(passed)
    }

    /// Ends what has ended by now.
    pub(crate) fn settle(&mut self, now: ClockTime, history: &mut History) {
        let lapses_at = self.real(self.deadline);
        let mut over: Vec<(ClockTime, TaskKey, TaskEnd)> = Vec::new();
        for (key, run) in &self.running {
            let done = if run.plan.fails {
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
                over.push((at, *key, end));
            }
        }
        over.sort_unstable_by_key(|(at, key, _)| (*at, *key));
        for (at, key, end) in over {
            let Some(run) = self.running.remove(&key) else {
                continue;
            };
            history.run_ended(&self.id, key, run.run, at, EndKind::Told(end));
            self.past.insert(key, run.run);
            self.last_end += 1;
            self.ended.push(EndedRun {
                number: self.last_end,
                task: key,
                run: run.run,
                end,
                saved: None,
            });
        }
    }

    /// When something ends here next.
    pub(crate) fn next_end(&self) -> Option<ClockTime> {
        let runs = self.running.values();
        let own = runs.flat_map(|run| run.done_at.into_iter().chain(run.stops_at));
        let lapse = (!self.running.is_empty()).then(|| self.real(self.deadline));
        own.chain(lapse).min()
    }

    /// Whether ends wait to be told that have not been told before.
    pub(crate) fn has_untold(&self) -> bool {
        self.ended
            .iter()
            .any(|row| !self.told.contains(&row.number))
    }

    /// All that runs here ends without a word: the process is gone.
    pub(crate) fn vanish(&mut self, now: ClockTime, history: &mut History) {
        self.settle(now, history);
        for (key, run) in std::mem::take(&mut self.running) {
            history.run_ended(&self.id, key, run.run, now, EndKind::Vanished);
        }
    }

    fn take_lease(&mut self, until: Option<u64>, now: ClockTime) {
        let most = self.clock(now) + HOLD_MAX.as_millis();
        if let Some(until) = until {
            self.deadline = self.deadline.max(until.min(most));
        }
    }

    pub(crate) fn hold(
        &mut self,
        order: HoldOrder,
        token: u64,
        now: ClockTime,
        history: &mut History,
    ) -> Option<HoldReport> {
        self.settle(now, history);
        if token < self.token {
            return None;
        }
        self.token = token;
        if self.deadline < self.clock(now) {
            self.lapsed_end = self.last_end;
        }
        self.take_lease(order.lease_until, now);
        let (forgotten, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|row| row.number <= order.ack);
        self.ended = kept;
        for row in forgotten.iter().filter(|row| row.number > self.lapsed_end) {
            history.end_noted(&self.id, row.task, row.run, now);
        }
        Some(self.report(now))
    }

    /// What it runs and has ended.
    pub(crate) fn report(&mut self, now: ClockTime) -> HoldReport {
        self.told.extend(self.ended.iter().map(|row| row.number));
        let row = |(key, run): (&TaskKey, &Run)| {
            let worked = (now - run.began_at).as_millis();
            let whole = run.plan.takes.unwrap_or(STARTUP).as_millis().max(1);
            // A task that hangs stands at its start.
            let hangs = run.done_at.is_none() && run.plan.takes.is_some();
            let percent = if hangs {
                0
            } else {
                worked * FULL_PERCENT / whole
            };
            ActiveRun {
                task: *key,
                run: run.run,
                saved: None,
                percent: percent.min(FULL_PERCENT) as u8,
                load: 0,
            }
        };
        HoldReport {
            clock: self.clock(now),
            incarnation: self.entry.incarnation,
            running: self.running.iter().map(row).collect(),
            ended: self.ended.clone(),
        }
    }

    pub(crate) fn begin(
        &mut self,
        order: &StartOrder,
        plan: TaskPlan,
        token: u64,
        now: ClockTime,
        history: &mut History,
    ) -> StartReply {
        self.settle(now, history);
        if token < self.token {
            return StartReply::Fenced;
        }
        self.token = token;
        if self
            .running
            .get(&order.task)
            .is_some_and(|run| run.run == order.run)
        {
            return StartReply::Started;
        }
        self.take_lease(order.lease_until, now);
        let past = self.past.get(&order.task).copied().unwrap_or(0);
        if order.run <= past || self.running.contains_key(&order.task) {
            return StartReply::OldRun;
        }
        if self.deadline <= self.clock(now) {
            return StartReply::TooLate;
        }
        let mut used = Resources::default();
        for run in self.running.values() {
            used = used.plus(&run.plan.need);
        }
        if self.guarded && !self.entry.capacity.fits(&used, &plan.need) {
            return StartReply::NoRoom;
        }
        let factor = if self.mode == WorkerMode::Slow {
            SLOW_FACTOR
        } else {
            1
        };
        let takes = plan.takes.map(|takes| takes.as_millis() * factor);
        let done_at = takes.map(|takes| now + ClockTime::from_millis(takes));
        let run = Run {
            run: order.run,
            began_at: now,
            done_at: done_at.filter(|_| self.mode != WorkerMode::Hang),
            stops_at: None,
            plan: TaskPlan {
                fails: plan.fails || self.mode == WorkerMode::FailAll,
                ..plan
            },
        };
        let over = !self.entry.capacity.fits(&used, &run.plan.need);
        history.run_began(&self.id, &self.entry.pool, order, now, over);
        self.running.insert(order.task, run);
        StartReply::Started
    }

    pub(crate) fn stop(
        &mut self,
        task: TaskKey,
        run: u32,
        token: u64,
        now: ClockTime,
        history: &mut History,
    ) -> OrderReply {
        self.settle(now, history);
        if token < self.token {
            return OrderReply::Fenced;
        }
        self.token = token;
        let past = self.past.entry(task).or_default();
        *past = (*past).max(run);
        if let Some(running) = self.running.get_mut(&task).filter(|it| it.run == run) {
            running.stops_at.get_or_insert(now + STOP);
            history.stop_taken(&self.id, task, run, now);
        }
        OrderReply::Done
    }
}
