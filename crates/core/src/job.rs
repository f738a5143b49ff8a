//! Jobs: graphs of tasks that run on the workers of a pool under leases.
//!
//! [`Scheduler`] is the state of the member that owns the pools. It takes timestamped events (a job
//! accepted, a worker's report, a record stored) and returns [`Effect`]s for its caller to perform.
//!
//! | module | responsibility |
//! |---|---|
//! | `spec` | job specifications and their validation |
//! | `catalogue` | the operators' configuration of kinds of work and pools |
//! | `task` | life cycle of one task's runs |
//! | `release` | evidence on which a task is released from a run |
//! | `life` | life cycle of a job |
//! | `vm_order` | life cycle of an order on a VM |
//! | `lease` | upper bound on the time for which a worker may run its tasks |
//! | `worker` | state of a worker as derived from its reports, and its eligibility for tasks |
//! | `order` | priority order of jobs in a full pool |
//! | `place` | assignment of tasks to workers |
//! | `refusal` | refusals of start orders for want of room |
//! | `room` | steps that the workers of a pool could run |
//! | `shape` | what a task asks of a worker, and the memory of a search for room |
//! | `hold` | room that is kept for a step which waits for it |
//! | `wait` | reasons for which steps wait |
//! | `resize` | reassignment of VMs between pools |
//! | `wave` | progress of rolling VM maintenance |
//! | `tenant` | tenants, their keys and what they have contracted |
//! | `tenant_account` | what each tenant sends and has running |
//! | `share` | shares of tenants in a full pool |
//! | `catalogue_proof` | proof that a catalogue is recent enough for keys to count |
//! | `admit` | admission control and the retry delay of refused jobs |
//! | `append_pace` | repetition of appends to a store that may be slow |
//! | `crash`, `silence` | attribution of worker crashes to the tasks that cause them |
//! | `ownership` | candidacy of members for ownership of the pools |
//! | `proof` | proof that the group's confirmations belong to the ownership under one token |
//! | `succession` | evidence behind leases, and what the next owner assumes of it |
//! | `stored_time` | times that one member stores and another one reads |
//! | `clock_reading` | what other clocks showed |
//! | `step_pace` | time between the owner's scheduling steps |

mod admit;
mod append_pace;
mod catalogue;
mod catalogue_proof;
mod charge;
mod clock_reading;
mod crash;
mod hold;
mod lease;
mod life;
mod memory;
mod occurrence;
mod order;
mod ownership;
mod place;
mod process;
mod proof;
mod refusal;
mod release;
mod resize;
mod room;
mod scheduler;
mod shape;
mod share;
mod silence;
mod spec;
mod step_pace;
mod stop;
mod stored_time;
mod succession;
mod task;
mod tenant;
mod tenant_account;
mod vm_order;
mod wait;
mod wave;
mod worker;

pub use admit::{
    JobRefusal, LoadReport, RefusalGround, TenantLoad, WorkLoad, admit_job, admit_tenant_job,
    outage_retry,
};
pub use append_pace::{AppendPace, refusal_delay};
pub use catalogue::{AdvicePolicy, CallerLimits, JobCatalogue, JobPool, JobWork, WorkAddress};
pub use catalogue_proof::{CatalogueProof, RevocationSpan};
pub use charge::{AnyCharge, Held, RunCharge, RunCost, Stray};
pub use clock_reading::ClockReading;
pub use crash::{Confirmed, CrashHistory, Implication, LostWorker, RunLoss, Suspected};
pub use hold::{ExpectedEnd, RoomHold};
pub use lease::{HeldLease, LeaseBasis, UnknownLease, WorkerLease};
pub use life::{Begun, ClosedLife, Ended, Ending, Forgotten, JobLife, OpenLife, Queued, Removing};
pub use memory::{JobSize, MemoryReport, MemoryRoom, MemoryUsage, job_bytes, job_memory};
pub use occurrence::{Occurrence, OccurrenceTable, StepTasks};
pub use order::{DurationTable, JobUrgency, QueuedJob, order_queue};
pub use ownership::{
    MemberCapacity, MemberRank, OwnerSnapshot, RecordedOwner, UnknownRank, candidacy_at,
};
pub use place::{PlaceCandidates, PlaceRequest, choose_worker};
pub use process::{RunTarget, WorkerProcess};
pub use proof::OwnershipProof;
pub use refusal::StartRefusals;
pub use release::{ReleaseGround, RunOver};
pub use resize::{IdleVm, PoolDemandView, ResizeMove, plan_resize};
pub use room::RoomIndex;
pub use scheduler::{
    Batch, BatchRecord, Effect, Job, JobProgress, LossEvidence, MAX_CONCURRENT_ORDERS, ParkedJob,
    PoolSummary, RenewalPlan, Scheduler, SchedulerDecision, SchedulerLimits, StepAdvice,
    TaskRecord, TenantSummary, VmEntry, VmState, WorkerChange,
};
pub use shape::{SearchMemory, TaskShape};
pub use share::PoolShares;
pub use silence::{ExcusedLosses, PoolUnrest, RecentSilences, SilenceCause};
pub use spec::{
    JobError, JobId, JobSpec, JobState, JobTerms, RepeatPlan, Resources, StepKey, StepSpec, TaskKey,
};
pub use step_pace::StepPace;
pub use stop::StopReason;
pub use stored_time::{ClockReadings, StoredTime};
pub use succession::{
    FormerOwner, OwnershipEvidence, PROMISE_SPAN, SuccessionLedger, SuccessionRecord, promise_end,
};
pub use task::{
    AnyTask, Assigned, FailedRuns, Running, StartOrderState, Stopping, TaskEnd, TaskRun, Waiting,
};
pub use tenant::{KeyHash, KeyRefusal, TenantError, TenantLimit, TenantTable, TenantTerms};
pub use tenant_account::{TenantAccount, TenantAccounts, TenantSlot};
pub use vm_order::{Accepted, AnyVmOrder, Queued as QueuedOrder, Sent, VmOrder, VmOrderRun};
pub use wait::{WaitCounts, WaitReason};
pub use wave::{Wave, WaveProgress, WaveRequest, WaveTable};
pub use worker::{
    ActiveRun, EndedRun, OrderReply, RenewalReport, StartReply, Worker, WorkerEntry, WorkerState,
};
