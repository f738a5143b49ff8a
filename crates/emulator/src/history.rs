//! Record of what callers, workers and the platform observed.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use jacinthhoist_core::{
    ClockTime, PoolName, VmName, WorkerId,
    job::{JobId, JobState, RepeatPlan, TaskEnd, TaskKey},
};
use jacinthhoist_scheduler::ports::StartOrder;

use crate::{
    demand::JobDemand,
    payload::FatalTask,
    tenant::{KeyedCall, LimitHistory},
};

/// Time after which the answer to an order has been read, and orders sent before it have arrived.
const FENCE_NOTICE: ClockTime = ClockTime::from_millis(60);

/// Requirements of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobShape {
    /// Pool that runs the job.
    pub pool: PoolName,
    /// Number of tasks of each step; each step waits for the one before it.
    pub steps: Vec<u16>,
    /// Input of each task.
    pub payload: Arc<str>,
    /// True if the job runs until it is cancelled.
    pub long_running: bool,
    /// True if a task may have several runs at once.
    pub speculative: bool,
    /// Maximum number of tasks of a step on one worker; 0 if there is no limit.
    pub max_per_worker: u16,
    /// CPU that a task uses, in thousandths of a core.
    pub cpu: u64,
    /// What its tasks ask for.
    pub demand: JobDemand,
    /// Task that crashes each worker that starts it.
    pub fatal_task: Option<FatalTask>,
    /// Number of failures of a task after which its job fails.
    pub max_failures: u32,
    /// Number of tasks of a step that planned VM orders may leave missing at once.
    pub may_miss: usize,
    /// Time after the first attempt by which the job should be done.
    pub objective: ClockTime,
    /// Times of day at which the job runs; none for one that runs once and at once.
    pub repeat: Option<RepeatPlan>,
}

/// Outcome of an attempt to submit a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The job is stored.
    Accepted,
    /// The job was rejected and never runs.
    Refused,
    /// The job may have been accepted.
    Unknown,
}

/// Answer to the question for a job's state at the end of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The job was not asked for: it was not accepted, or its caller has cancelled it.
    #[default]
    NotAsked,
    /// No attempt was answered with a state.
    Unanswered,
    /// The answer was that the job does not exist.
    NoSuchJob,
    /// State of the job.
    State(JobState),
}

/// Job as its caller observed it.
#[derive(Clone, Debug)]
pub struct JobHistory {
    /// Requirements of the job.
    pub shape: JobShape,
    /// Tenant that submits the job.
    pub tenant: Option<usize>,
    /// Attempts to submit the job, with the time at which each ended.
    pub attempts: Vec<(ClockTime, CallOutcome)>,
    /// Time of the first attempt.
    pub first_at: ClockTime,
    /// Times at which the cancellation was sent and acknowledged.
    pub cancelled: Option<(ClockTime, Option<ClockTime>)>,
    /// Reported states; `None` if the answer was that the job does not exist.
    pub reported_states: Vec<(ClockTime, Option<JobState>)>,
    /// Answer to the question at the end of the run.
    pub final_answer: FinalAnswer,
}

/// Kind of the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The worker reports the end.
    Reported(TaskEnd),
    /// The worker's process or VM is gone.
    ProcessLost,
}

/// Run of a task.
#[derive(Clone, Debug)]
pub struct RunHistory {
    /// Task that ran.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Worker that ran it.
    pub worker: WorkerId,
    /// Pool of the worker.
    pub pool: PoolName,
    /// Input of the run.
    pub payload: Arc<str>,
    /// Start of the run.
    pub began_at: ClockTime,
    /// Number of runs of its step that were in progress on the worker.
    pub beside: usize,
    /// True if the run took its worker over its capacity.
    pub over_capacity: bool,
    /// Time at which the worker's capacity had shrunk, if the run would have fitted before.
    pub shrunk_at: Option<ClockTime>,
    /// Time and kind of the end.
    pub ended: Option<(ClockTime, EndKind)>,
    /// Time at which the worker received a stop order.
    pub stop_received_at: Option<ClockTime>,
    /// True if the worker executed that order late.
    pub stop_executed_late: bool,
    /// Time at which the scheduler acknowledged the end.
    pub acked_at: Option<ClockTime>,
    /// True if the worker executed the start order late.
    pub executed_late: bool,
    /// True if the member that sent the start order was in touch with the platform.
    pub sender_in_touch: bool,
    /// True if the run crashed its worker.
    pub crashed_worker: bool,
}

/// Conditions under which a run starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartConditions {
    /// Time of the start.
    pub at: ClockTime,
    /// Number of runs of its step that are in progress on the worker.
    pub beside: usize,
    /// True if the run takes its worker over its capacity.
    pub over_capacity: bool,
    /// Time at which the worker's capacity shrank, if the run would have fitted before.
    pub shrunk_at: Option<ClockTime>,
    /// True if the member that sent the start order is in touch with the platform.
    pub sender_in_touch: bool,
}

/// VM order that was executed.
#[derive(Clone, Debug)]
pub struct VmOrderHistory {
    /// VM that was ordered.
    pub vm: VmName,
    /// Time of the order.
    pub at: ClockTime,
    /// Fencing token of the order.
    pub token: u64,
    /// Wave of a maintenance order.
    pub wave: Option<u64>,
    /// Time at which the VM is up again.
    pub available_at: ClockTime,
    /// Worker that the order ended.
    pub worker: Option<WorkerId>,
    /// Time for which another member had owned the pools when the order was executed.
    pub replaced_for: Option<ClockTime>,
}

/// Maintenance wave.
#[derive(Clone, Debug)]
pub struct WaveHistory {
    /// VMs to maintain.
    pub vms: Vec<VmName>,
    /// Maximum number of VMs in maintenance for the wave at once.
    pub cap: usize,
    /// Time at which the wave was reported complete.
    pub completed_at: Option<ClockTime>,
}

/// Use of a pool at one moment.
#[derive(Clone, Debug, Default)]
pub struct PoolUse {
    /// CPU of the workers that take tasks, in thousandths of a core.
    pub cpu: u64,
    /// Part of it that is in use.
    pub used_cpu: u64,
    /// CPU that is free on each worker.
    pub free_cpu: Vec<u64>,
}

/// Use of all pools at one moment.
#[derive(Clone, Debug)]
pub struct PoolSample {
    /// Time of the sample.
    pub at: ClockTime,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, PoolUse>,
}

/// Record of one run of a scenario.
#[derive(Clone, Debug, Default)]
pub struct EmulationHistory {
    /// Jobs by id.
    pub jobs: BTreeMap<JobId, JobHistory>,
    /// Runs in the order in which they began.
    pub runs: Vec<RunHistory>,
    /// Use of the pools at intervals from some time after the load phase on.
    pub pool_samples: Vec<PoolSample>,
    /// VM orders in the order in which they were executed.
    pub vm_orders: Vec<VmOrderHistory>,
    /// Limits on what each tenant may have running, in order; empty without limits.
    pub tenant_limits: Vec<LimitHistory>,
    /// Calls with keys that succeeded.
    pub keyed_calls: Vec<KeyedCall>,
    /// Waves by number.
    pub waves: BTreeMap<u64, WaveHistory>,
    /// Time at which each draining worker was first registered as such.
    pub draining_since: BTreeMap<WorkerId, ClockTime>,
    /// Spans of the injected faults, each with a recovery time after it.
    pub fault_spans: Vec<(ClockTime, ClockTime)>,
    /// Spans of the crashes that tasks caused, each with a recovery time after it.
    pub crash_spans: Vec<(ClockTime, ClockTime)>,
    /// Member keys of the successive owners of the pools.
    pub owners: Vec<String>,
    /// VMs present at the end.
    pub final_vms: BTreeSet<VmName>,
    /// End of the run.
    pub ended_at: ClockTime,
    /// Number of orders to workers that owners sent after the answer that told them of a later one.
    pub orders_after_fence: usize,
    /// Time at which an order under a token was first refused for a later owner, other than a renewal.
    refused_at: BTreeMap<u64, ClockTime>,
    /// Index in `runs` of each run on each worker.
    run_indexes: BTreeMap<(TaskKey, u32, WorkerId), usize>,
}

impl EmulationHistory {
    /// Returns true if a fault or its recovery time covers the given time.
    pub fn is_in_fault_span(&self, at: ClockTime) -> bool {
        let mut spans = self.fault_spans.iter();
        spans.any(|(from, until)| *from <= at && at <= *until)
    }

    /// Returns true if a fault or a crash, or the recovery time of one, covers the given time.
    pub fn is_disrupted(&self, at: ClockTime) -> bool {
        let mut spans = self.crash_spans.iter();
        self.is_in_fault_span(at) || spans.any(|(from, until)| *from <= at && at <= *until)
    }

    /// Records an order to a worker under a token.
    pub(crate) fn record_order(&mut self, token: u64, now: ClockTime) {
        let refused_at = self.refused_at.get(&token);
        if refused_at.is_some_and(|at| now > *at + FENCE_NOTICE) {
            self.orders_after_fence += 1;
        }
    }

    /// Records that an order was refused for a later owner.
    pub(crate) fn record_fence(&mut self, token: u64, now: ClockTime) {
        self.refused_at.entry(token).or_insert(now);
    }

    /// Records the start of a run.
    pub fn record_start(
        &mut self,
        worker: &WorkerId,
        pool: &PoolName,
        order: &StartOrder,
        conditions: StartConditions,
    ) {
        let run_key = (order.task, order.run, worker.clone());
        self.run_indexes.insert(run_key, self.runs.len());
        self.runs.push(RunHistory {
            task: order.task,
            run: order.run,
            worker: worker.clone(),
            pool: pool.clone(),
            payload: order.payload.clone(),
            began_at: conditions.at,
            beside: conditions.beside,
            over_capacity: conditions.over_capacity,
            shrunk_at: conditions.shrunk_at,
            ended: None,
            stop_received_at: None,
            stop_executed_late: false,
            acked_at: None,
            executed_late: false,
            sender_in_touch: conditions.sender_in_touch,
            crashed_worker: false,
        });
    }

    fn run(&mut self, worker: &WorkerId, task: TaskKey, run: u32) -> Option<&mut RunHistory> {
        let index = self.run_indexes.get(&(task, run, worker.clone()))?;
        self.runs.get_mut(*index)
    }

    /// Records the end of a run.
    pub fn record_end(
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

    /// Records that the scheduler acknowledged the end of a run.
    pub fn record_ack(&mut self, worker: &WorkerId, task: TaskKey, run: u32, at: ClockTime) {
        if let Some(run) = self.run(worker, task, run) {
            run.acked_at.get_or_insert(at);
        }
    }

    /// Records the receipt of a stop order.
    pub fn record_stop(&mut self, worker: &WorkerId, task: TaskKey, run: u32, at: ClockTime) {
        if let Some(run) = self.run(worker, task, run) {
            run.stop_received_at.get_or_insert(at);
        }
    }

    /// Records that a worker executed the first stop order for a run late.
    pub fn record_late_stop(&mut self, worker: &WorkerId, task: TaskKey, run: u32, at: ClockTime) {
        if let Some(run) = self.run(worker, task, run)
            && run.stop_received_at == Some(at)
        {
            run.stop_executed_late = true;
        }
    }

    /// Records that a run crashed its worker.
    pub fn record_crash(&mut self, worker: &WorkerId, task: TaskKey, run: u32) {
        if let Some(run) = self.run(worker, task, run) {
            run.crashed_worker = true;
        }
    }

    /// Records that a worker executed a start order late.
    pub fn record_late_start(&mut self, worker: &WorkerId, task: TaskKey, run: u32) {
        if let Some(run) = self.run(worker, task, run) {
            run.executed_late = true;
        }
    }
}
