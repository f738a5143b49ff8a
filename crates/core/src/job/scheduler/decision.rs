//! Decisions of the scheduler, for the log.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    job::{
        crash::Implication,
        lease::LeaseBasis,
        release::ReleaseGround,
        spec::{JobId, JobState, Resources, StepKey, TaskKey},
        stop::StopReason,
        task::TaskEnd,
        tenant::TenantLimit,
        worker::StartReply,
    },
    name::{PoolName, TenantName, VmName, WorkName, WorkerId},
};

/// A scheduling decision to be logged.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerDecision {
    /// The owner has registered a job.
    Accepted {
        /// Registered job.
        job: JobId,
        /// Kind of work.
        work: WorkName,
        /// Number of tasks.
        tasks: usize,
        /// Requirements beyond CPU and memory.
        traits: SmallVec<[&'static str; 4]>,
    },
    /// Tasks of a job were assigned to workers.
    Placed {
        /// Job of the tasks.
        job: JobId,
        /// Number of tasks assigned.
        tasks: usize,
        /// Number of startable tasks for which no worker had room.
        unplaced: usize,
    },
    /// A job waits for what no worker of its pool has, or does so no more.
    JobWaits {
        /// Job that waits.
        job: JobId,
        /// Step of the job, or the first of several.
        step: StepKey,
        /// True if no worker has the room or the label.
        in_vain: bool,
    },
    /// A step waits as its tenant has as much running as it may.
    TenantFull {
        /// Tenant that is at its limit.
        tenant: TenantName,
        /// Step that waits; others of the tenant may wait too.
        step: StepKey,
        /// What the tenant has running.
        running: Resources,
        /// What it may have running.
        limit: TenantLimit,
    },
    /// Room is kept on a worker for a task, or for members of its gang.
    RoomHeld {
        /// Task that waits for room.
        task: TaskKey,
        /// Worker on which the room is kept.
        worker: WorkerId,
        /// Expected time until the room is free.
        due_in: ClockTime,
    },
    /// A run ended without completing its task.
    RunEnded {
        /// Task of the run.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Worker that executed the run.
        worker: WorkerId,
        /// End reported by the worker.
        end: TaskEnd,
        /// Failures of the task so far.
        failures: u32,
    },
    /// A start order was not carried out.
    StartRefused {
        /// Task of the run.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Worker that received the order.
        worker: WorkerId,
        /// Reply of the worker.
        reply: StartReply,
    },
    /// Start orders are sent.
    StartsSent {
        /// Runs to start, with their workers.
        runs: Vec<(TaskKey, u32, WorkerId)>,
    },
    /// The permission to send start orders ran out before they left this process; they wait for the next one.
    StartsPostponed {
        /// Tasks and run numbers.
        runs: Vec<(TaskKey, u32)>,
    },
    /// A start order without an answer is sent again.
    StartRepeated {
        /// Task of the run.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Worker that receives the order.
        worker: WorkerId,
    },
    /// A run can no longer be executing, or is replaced by a speculative copy.
    RunLost {
        /// Task of the run.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Worker of the run.
        worker: WorkerId,
        /// Ground on which the run counts as over.
        ground: ReleaseGround,
        /// What was known of the run and its worker.
        evidence: LossEvidence,
    },
    /// A run that was given up or ordered to stop is in progress, and its task has not been started again.
    RunAdopted {
        /// Task of the run.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Worker of the run.
        worker: WorkerId,
    },
    /// A worker reports a run that belongs to no task; it is ordered to stop.
    RunStray {
        /// Task of the run.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Worker of the run.
        worker: WorkerId,
    },
    /// A run is ordered to stop.
    RunStop {
        /// Task of the run.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Worker that receives the order.
        worker: WorkerId,
        /// Reason for the order.
        reason: StopReason,
    },
    /// A run is in doubt together with its worker, which has fallen silent or restarted.
    RunInDoubt {
        /// Task of the run.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Worker of the run.
        worker: WorkerId,
        /// Whether the run may have crashed the worker.
        implication: Implication,
        /// Crashes of workers under the task that are known so far.
        crashes: usize,
    },
    /// A task is given up, as it crashes its workers.
    TaskFatal {
        /// Task that is given up.
        task: TaskKey,
        /// Crashes of workers under the task.
        crashes: usize,
    },
    /// A job has ended.
    Finished {
        /// Ended job.
        job: JobId,
        /// Final state.
        state: JobState,
        /// Time since the job was received.
        after: ClockTime,
        /// Time left until the latency objective; negative if it was missed.
        spare_ms: i64,
    },
    /// The state of a worker has changed.
    WorkerChanged {
        /// Affected worker.
        worker: WorkerId,
        /// Pool of the worker.
        pool: PoolName,
        /// Network address of the worker.
        address: Arc<str>,
        /// Start time by the worker's clock, if it is known.
        incarnation: Option<u64>,
        /// New state.
        change: WorkerChange,
    },
    /// The evacuation of a VM for a maintenance wave has begun.
    EvacuationBegun {
        /// VM to maintain.
        vm: VmName,
        /// Number of the wave.
        wave: u64,
        /// Worker that gets no further tasks.
        worker: Option<WorkerId>,
        /// Runs that are in progress on it.
        runs: usize,
        /// Runs among them that last until they are stopped.
        long_running: usize,
    },
    /// Another process answers under the id of a worker.
    ProcessReplaced {
        /// Affected worker.
        worker: WorkerId,
        /// Start time of the new process.
        incarnation: Option<u64>,
        /// Time by which a lease that it may have been given has expired.
        lease_until: ClockTime,
        /// True if a deadline on the clock of the earlier process may have reached it.
        was_granted: bool,
    },
    /// The lease of a worker that cannot be reached has lapsed; its runs are released.
    LeaseLapsed {
        /// Affected worker.
        worker: WorkerId,
        /// Time by which the lease had lapsed.
        lease_until: ClockTime,
        /// Origin of that time.
        basis: LeaseBasis,
    },
    /// A VM was ordered to move to another pool.
    VmReassigned {
        /// VM to move.
        vm: VmName,
        /// Source pool.
        from: PoolName,
        /// Destination pool.
        to: PoolName,
        /// Demand of the destination pool, in thousandths of a core.
        demand: u64,
        /// Capacity of the destination pool, in thousandths of a core.
        capacity: u64,
    },
}

/// What an owner knew of a run and its worker when it gave the run up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LossEvidence {
    /// Start time of the worker's process in its last report.
    pub incarnation: Option<u64>,
    /// Time since the last report was requested; `None` before the first.
    pub report_age: Option<ClockTime>,
    /// Time since the run was known to have begun; `None` if it was not.
    pub begun_age: Option<ClockTime>,
    /// Time by which the worker's lease has lapsed.
    pub lease_until: ClockTime,
    /// Origin of that time.
    pub basis: LeaseBasis,
}

/// A change in the state of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerChange {
    /// The worker was added to the list.
    Listed,
    /// The worker sent its first report to this owner.
    Adopted,
    /// The worker stopped answering.
    Silent,
    /// The worker answers again.
    Answering,
    /// The worker's entry names another process than its last report.
    Doubted,
    /// The entry of the process that reported last has been read; tasks may be placed by it.
    Registered,
    /// The worker listed only a part of its ends, so that runs it did not name stay as they are.
    EndsCut,
    /// The worker has started to drain.
    Draining,
    /// The worker receives no tasks for a while.
    Suspended,
    /// The worker has ended: a later one answers at its address.
    Replaced,
    /// The worker fell silent for a reason outside its tasks, as others did with it.
    Excused,
    /// The worker was dropped.
    Gone,
}
