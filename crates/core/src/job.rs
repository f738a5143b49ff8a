//! Jobs: graphs of tasks that run on the workers of a pool under leases.
//!
//! [`Scheduler`] is the state of the member that owns the pools. It takes events (a job accepted, a
//! worker's report, a record stored) with the time and returns [`Effect`]s; it performs none itself.
//!
//! | module | decides |
//! |---|---|
//! | `spec` | whether a submitted job is well formed |
//! | `task` | the life cycle of one task's runs |
//! | `life` | the life cycle of a job |
//! | `vm_order` | the life cycle of an order on a VM |
//! | `lease` | until when a worker may still run what it holds |
//! | `worker` | what a worker's reports prove, and whether it gets more |
//! | `order` | which job goes first in a full pool |
//! | `place` | which worker a task runs on |
//! | `resize` | which machine changes its pool |
//! | `wave` | which machine has its maintenance next |
//! | `admit` | whether a job is refused early, and when to come back |
//! | `ownership` | which members offer to own the pools |

mod admit;
mod catalogue;
mod lease;
mod life;
mod order;
mod ownership;
mod place;
mod resize;
mod scheduler;
mod spec;
mod task;
mod vm_order;
mod wave;
mod worker;

pub use admit::{JobRefusal, WorkLoad, admit_job, outage_retry};
pub use catalogue::{AdvicePolicy, CallerLimits, JobCatalogue, JobPool, JobWork};
pub use lease::{HeldLease, UnknownLease, WorkerLease};
pub use life::{Begun, ClosedLife, Ended, Ending, Forgotten, JobLife, OpenLife, Queued};
pub use order::{DurationTable, JobUrgency};
pub use ownership::{
    MemberCapacity, MemberRank, OwnerView, RecordedOwner, UnknownRank, candidacy_at,
};
pub use place::{PlaceRequest, choose_worker};
pub use resize::{IdleVm, PoolDemandView, ResizeMove, plan_resize};
pub use scheduler::{
    Batch, BatchRecord, Effect, Job, JobProgress, LossReason, RenewalPlan, Scheduler,
    SchedulerDecision, SchedulerLimits, StepAdvice, TaskRecord, VmEntry, VmState, WorkerChange,
};
pub use spec::{
    JobError, JobId, JobSpec, JobState, JobTerms, RepeatPlan, Resources, StepKey, StepSpec, TaskKey,
};
pub use task::{AnyTask, Assigned, Running, StartOrder, Stopping, TaskEnd, TaskRun, Waiting};
pub use vm_order::{Accepted, AnyVmOrder, Sent, VmOrder, VmOrderRun};
pub use wave::{Wave, WaveProgress, WaveRequest, WaveTable};
pub use worker::{
    ActiveRun, EndedRun, HoldReport, OrderReply, StartReply, TaskCharge, Worker, WorkerEntry,
    WorkerState,
};
