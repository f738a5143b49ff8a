//! What a worker's reports prove, and whether it gets more work.

use std::{collections::BTreeMap, sync::Arc};

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    name::{DataCentre, PoolName, RackName, WorkerId},
};

use super::{
    lease::{UnknownLease, WorkerLease},
    spec::{Resources, StepSpec, TaskKey},
    task::TaskEnd,
};

/// Failures in a row, each of a task that had not failed before, after which a worker gets nothing
/// for a while: one in five hundred tasks fails by its own fault, so two are no accident.
const SUSPECT_FAILURES: u32 = 2;
/// Starts in a row that come to nothing without an answer after which a worker gets nothing for a
/// while: one may be a lost packet.
const SUSPECT_UNANSWERED: u32 = 2;
/// How long a suspect worker gets nothing; then one task tries it.
const SUSPEND: ClockTime = ClockTime::from_millis(4_000);

/// Whether a worker takes work, by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// It takes work.
    Ready,
    /// It finishes what it has, then leaves.
    Draining,
}

/// What a worker says of itself where it registers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Its pool.
    pub pool: PoolName,
    /// Where it is reached, `ip:port`.
    pub address: Arc<str>,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it takes work.
    pub state: WorkerState,
    /// What it has.
    pub capacity: Resources,
    /// Its labels, among them its kind and its rack.
    pub labels: SmallVec<[Arc<str>; 2]>,
    /// Its rack, where its labels tell.
    pub rack: Option<RackName>,
    /// When it started, by its own clock; tells two lives under one id apart.
    pub incarnation: Option<u64>,
}

/// A task that a worker runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// Its newest saved progress.
    pub saved: Option<Arc<str>>,
    /// Its progress, 0 to 100.
    pub percent: u8,
    /// Of a task that serves users, the tail of their response times in milliseconds; of any other,
    /// the processor time that it takes, in thousandths of a core. A rough figure.
    pub load: u64,
}

/// A run that a worker has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// The number of the end in this life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// How it ended.
    pub end: TaskEnd,
    /// Its saved progress.
    pub saved: Option<Arc<str>>,
}

/// A worker's answer to a renewal of its lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HoldReport {
    /// Its clock, in milliseconds.
    pub clock: u64,
    /// When it started.
    pub incarnation: Option<u64>,
    /// What it runs.
    pub running: Vec<ActiveRun>,
    /// What it has ended and not yet forgotten.
    pub ended: Vec<EndedRun>,
}

/// A worker's answer to a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StartReply {
    /// It runs the task.
    Started,
    /// It has seen a higher fencing token.
    Fenced,
    /// It has run or stopped this run or a later one.
    OldRun,
    /// The order's lease had passed.
    TooLate,
    /// It has no room.
    NoRoom,
    /// The permit is missing or has lapsed.
    NoPermit,
    /// The order is not well formed.
    Invalid,
    /// It is unhealthy and did nothing.
    Unhealthy,
    /// Another life of the worker answered, which did nothing.
    WrongLife,
    /// No answer: it may have run, or may run later.
    Unknown,
}

/// A worker's answer to another order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderReply {
    /// It is done.
    Done,
    /// It has seen a higher fencing token.
    Fenced,
    /// It did nothing.
    Refused,
    /// No answer.
    Unknown,
}

/// What a run takes of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskCharge {
    /// The run.
    pub run: u32,
    /// What it takes.
    pub need: Resources,
    /// Whether it serves users of its own.
    pub serves: bool,
    /// Whether it takes only what others leave.
    pub fills: bool,
}

impl TaskCharge {
    /// What a run of a step takes.
    pub fn of(step: &StepSpec, run: u32) -> Self {
        Self {
            run,
            need: step.charged(),
            serves: step.target > ClockTime::ZERO,
            fills: step.fills,
        }
    }
}

/// What the owner knows of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its id.
    pub id: WorkerId,
    /// What it says of itself.
    pub entry: WorkerEntry,
    /// Since when it is missing from the list.
    pub missing_since: Option<ClockTime>,
    /// Its life, as it last reported it.
    pub incarnation: Option<u64>,
    /// Until when it may run what it holds.
    pub lease: WorkerLease,
    /// When its last report was asked for; none before the first.
    pub seen_at: Option<ClockTime>,
    /// Since when its reports fail to come.
    pub silent_since: Option<ClockTime>,
    /// What its tasks take.
    pub used: Resources,
    /// Runs that may be at work on it.
    pub tasks: BTreeMap<TaskKey, TaskCharge>,
    /// Since when nothing may be at work on it.
    pub empty_since: ClockTime,
    /// How many of them serve users of their own.
    pub serving: u32,
    /// How many of them fill.
    pub filling: u32,
    /// The highest number of an end that has been taken into account.
    pub end_seen: u64,
    /// The highest number of an end whose outcome is stored.
    pub end_stored: u64,
    /// Whether its next report settles an order.
    pub awaits_report: bool,
    /// Whether it is stored by when all that it holds lapses. Its lease is not renewed before that
    /// record is gone, since a later owner would go by it.
    pub lapse_stored: bool,
    /// Whether it gets nothing new because its VM is about to leave the pool.
    pub cordoned: bool,
    fail_streak: u32,
    /// Starts in a row that were not answered and did not begin in time.
    unanswered: u32,
    suspended_until: ClockTime,
}

impl Worker {
    /// A worker that has just been listed.
    pub fn listed(id: WorkerId, entry: WorkerEntry, lease: UnknownLease) -> Self {
        Self {
            id,
            entry,
            missing_since: None,
            incarnation: None,
            lease: WorkerLease::Unknown(lease),
            seen_at: None,
            silent_since: None,
            used: Resources::default(),
            tasks: BTreeMap::new(),
            empty_since: lease.since,
            serving: 0,
            filling: 0,
            end_seen: 0,
            end_stored: 0,
            awaits_report: false,
            lapse_stored: false,
            cordoned: false,
            fail_streak: 0,
            unanswered: 0,
            suspended_until: ClockTime::ZERO,
        }
    }

    /// Whether a task may be placed on it now.
    pub fn takes_work(&self, now: ClockTime) -> bool {
        let on_probation = self.fail_streak > 0 && !self.tasks.is_empty();
        self.is_in_service() && now >= self.suspended_until && !on_probation
    }

    /// Whether it counts towards its pool's capacity.
    pub fn is_in_service(&self) -> bool {
        self.entry.state == WorkerState::Ready
            && self.missing_since.is_none()
            && self.seen_at.is_some()
            && self.silent_since.is_none()
            && !self.cordoned
    }

    /// One of its tasks is done: it works.
    pub fn record_success(&mut self) {
        self.fail_streak = 0;
    }

    /// It answered a start.
    pub fn record_answer(&mut self) {
        self.unanswered = 0;
    }

    /// A start was not answered and had not begun when it was looked for.
    pub fn record_unanswered(&mut self, now: ClockTime) {
        self.unanswered += 1;
        if self.unanswered >= SUSPECT_UNANSWERED {
            self.suspend(now);
        }
    }

    /// One of its tasks failed; `first` tells that the task had not failed elsewhere before, so
    /// that the fault may be the worker's.
    pub fn record_failure(&mut self, first: bool, now: ClockTime) {
        if !first {
            return;
        }
        self.fail_streak += 1;
        if self.fail_streak >= SUSPECT_FAILURES {
            self.suspend(now);
        }
    }

    /// Gives it nothing for a while, then one task to try it.
    pub fn suspend(&mut self, now: ClockTime) {
        self.fail_streak = self.fail_streak.max(1);
        self.suspended_until = now + SUSPEND;
    }

    /// Whether it is out of service for its failures.
    pub fn is_suspended(&self, now: ClockTime) -> bool {
        now < self.suspended_until
    }

    /// Counts a run against its capacity.
    pub fn charge(&mut self, task: TaskKey, charge: TaskCharge) {
        self.discharge(&task, ClockTime::ZERO);
        self.used = self.used.plus(&charge.need);
        self.serving += u32::from(charge.serves);
        self.filling += u32::from(charge.fills);
        self.tasks.insert(task, charge);
    }

    /// Takes a run off its account.
    pub fn discharge(&mut self, task: &TaskKey, now: ClockTime) {
        let Some(charge) = self.tasks.remove(task) else {
            return;
        };
        self.used = self.used.minus(&charge.need);
        self.serving -= u32::from(charge.serves);
        self.filling -= u32::from(charge.fills);
        if self.tasks.is_empty() {
            self.empty_since = now;
        }
    }

    /// Runs that may be at work on it.
    pub fn runs(&self) -> SmallVec<[(TaskKey, u32); 8]> {
        let tasks = self.tasks.iter();
        tasks.map(|(key, charge)| (*key, charge.run)).collect()
    }

    /// Whether nothing runs on it or may begin to.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }
}
