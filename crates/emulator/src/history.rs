//! What callers, workers and the platform saw.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use jacinthhoist_core::{
    ClockTime, PoolName, VmName, WorkerId,
    job::{JobId, JobState, TaskEnd, TaskKey},
};
use jacinthhoist_scheduler::ports::StartOrder;

/// What a job asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct JobShape {
    /// The pool that runs it.
    pub pool: PoolName,
    /// Tasks of each step; each step waits for the one before it.
    pub steps: Vec<u16>,
    /// What each task is given.
    pub payload: Arc<str>,
    /// Whether it runs until it is cancelled.
    pub lasting: bool,
    /// How often a task may fail.
    pub max_failures: u32,
    /// How many tasks of a step may be away by the members' own doing.
    pub may_miss: usize,
    /// The time after its first attempt by which it should be done.
    pub objective: ClockTime,
}

/// How an attempt to hand a job in ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It is stored.
    Accepted,
    /// It was not accepted and never runs.
    Refused,
    /// It may have been accepted.
    Unknown,
}

/// A job as callers saw it.
#[derive(Clone, Debug)]
pub struct JobHistory {
    /// What it asks for.
    pub shape: JobShape,
    /// Attempts to hand it in, by their ends.
    pub attempts: Vec<(ClockTime, CallOutcome)>,
    /// When its caller first tried.
    pub first_at: ClockTime,
    /// When its cancellation was sent, and when it was acknowledged.
    pub cancelled: Option<(ClockTime, Option<ClockTime>)>,
    /// Answers about its state; none where it was said that there is no such job.
    pub shown: Vec<(ClockTime, Option<JobState>)>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// Its worker tells how.
    Told(TaskEnd),
    /// Its worker's process or VM is gone.
    Vanished,
}

/// One run of a task.
#[derive(Clone, Debug)]
pub struct RunHistory {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// The worker.
    pub worker: WorkerId,
    /// The pool of the worker.
    pub pool: PoolName,
    /// What it was given.
    pub payload: Arc<str>,
    /// When it began.
    pub began_at: ClockTime,
    /// Whether it brought its worker over what that has.
    pub over: bool,
    /// How it ended.
    pub ended: Option<(ClockTime, EndKind)>,
    /// When a stop order for it was taken.
    pub stop_at: Option<ClockTime>,
    /// When its end was taken note of.
    pub noted_at: Option<ClockTime>,
    /// Whether its order was carried out late by the worker.
    pub late: bool,
}

/// An order on a VM that was carried out.
#[derive(Clone, Debug)]
pub struct VmHistory {
    /// The VM.
    pub vm: VmName,
    /// When.
    pub at: ClockTime,
    /// Under which token.
    pub token: u64,
    /// The wave, for maintenance.
    pub wave: Option<u64>,
    /// When the VM was up again.
    pub until: ClockTime,
    /// The life of the VM that it ended.
    pub worker: Option<WorkerId>,
}

/// A wave of maintenance.
#[derive(Clone, Debug)]
pub struct WaveHistory {
    /// The VMs that are due.
    pub vms: Vec<VmName>,
    /// VMs that may be down for it at once.
    pub cap: usize,
    /// When it was said to be complete.
    pub completed_at: Option<ClockTime>,
}

/// What was seen on a day.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Jobs by id.
    pub jobs: BTreeMap<JobId, JobHistory>,
    /// Runs in the order in which they began.
    pub runs: Vec<RunHistory>,
    /// Orders on VMs.
    pub vms: Vec<VmHistory>,
    /// Waves by number.
    pub waves: BTreeMap<u64, WaveHistory>,
    /// When workers were first listed as draining.
    pub draining: BTreeMap<WorkerId, ClockTime>,
    /// Spans in which something was out of order, faults and some time after them.
    pub troubled: Vec<(ClockTime, ClockTime)>,
    /// Members that owned the pools, one after the other.
    pub owners: Vec<String>,
    /// VMs that there were at the end.
    pub vms_at_end: BTreeSet<VmName>,
    /// When the day was over.
    pub over_at: ClockTime,
    /// The last run of each task on each worker, as a place in `runs`.
    places: BTreeMap<(TaskKey, u32, WorkerId), usize>,
}

impl History {
    /// Whether a time lies in a span in which something was out of order.
    pub fn is_troubled(&self, at: ClockTime) -> bool {
        let mut spans = self.troubled.iter();
        spans.any(|(from, until)| *from <= at && at <= *until)
    }

    /// A run has begun.
    pub fn run_began(
        &mut self,
        worker: &WorkerId,
        pool: &PoolName,
        order: &StartOrder,
        at: ClockTime,
        over: bool,
    ) {
        let place = (order.task, order.run, worker.clone());
        self.places.insert(place, self.runs.len());
        self.runs.push(RunHistory {
            task: order.task,
            run: order.run,
            worker: worker.clone(),
            pool: pool.clone(),
            payload: order.payload.clone(),
            began_at: at,
            over,
            ended: None,
            stop_at: None,
            noted_at: None,
            late: false,
        });
    }

    fn run(&mut self, worker: &WorkerId, task: TaskKey, run: u32) -> Option<&mut RunHistory> {
        let at = self.places.get(&(task, run, worker.clone()))?;
        self.runs.get_mut(*at)
    }

    /// A run has ended.
    pub fn run_ended(
        &mut self,
        worker: &WorkerId,
        task: TaskKey,
        run: u32,
        at: ClockTime,
        end: EndKind,
    ) {
        if let Some(run) = self.run(worker, task, run) {
            run.ended.get_or_insert((at, end));
        }
    }

    /// An end has been taken note of.
    pub fn end_noted(&mut self, worker: &WorkerId, task: TaskKey, run: u32, at: ClockTime) {
        if let Some(run) = self.run(worker, task, run) {
            run.noted_at.get_or_insert(at);
        }
    }

    /// A stop order was taken.
    pub fn stop_taken(&mut self, worker: &WorkerId, task: TaskKey, run: u32, at: ClockTime) {
        if let Some(run) = self.run(worker, task, run) {
            run.stop_at.get_or_insert(at);
        }
    }

    /// The worker carried the order of a run out late.
    pub fn run_was_late(&mut self, worker: &WorkerId, task: TaskKey, run: u32) {
        if let Some(run) = self.run(worker, task, run) {
            run.late = true;
        }
    }
}
