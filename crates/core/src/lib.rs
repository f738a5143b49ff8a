//! Decision logic of jacinthhoist, free of I/O, clock reads and encodings.
//!
//! Every function takes a state, an event and the time, and returns a decision. The crate has three
//! parts:
//!
//! * the **fold**, which applies the ordered records of the log to the replicated state
//!   ([`FoldState`]), and the planner, which reads that state and proposes the next steps;
//! * the **request decisions**: admission, queueing, placement, health, retries and slots;
//! * the **jobs** ([`job`]): task graphs that run on workers under leases.
//!
//! ```
//! use jacinthhoist_core::{ClockTime, FoldState, MemberJoin, MemberName, Offset, Record, RecordId, Step};
//!
//! let mut state = FoldState::default();
//! let join = MemberJoin::example("entry-1", 7);
//! let record = Record {
//!     id: RecordId { member: MemberName::new("entry-1"), nonce: 7, seq: 1 },
//!     at: ClockTime::from_millis(1_000),
//!     steps: vec![Step::Join(join)],
//! };
//! let verdicts = state.apply(Offset(0), &record);
//! assert!(verdicts[0].is_ok());
//! assert_eq!(state.members().live().count(), 1);
//! ```

mod admit;
mod budget;
mod catalogue;
mod claim;
mod clock;
mod demand;
mod error;
mod estimate;
mod fleet;
mod fold;
mod gate;
mod health;
pub mod job;
mod member;
mod name;
mod pairs;
mod place;
mod plan;
mod queue;
mod record;
mod refusal;
mod request;
mod slots;
mod snapshot;
mod vm;

pub use admit::{AdmissionInput, admit};
pub use budget::RetryBudget;
pub use catalogue::{
    CatalogueChange, CatalogueEdit, CatalogueState, EntryBody, EntryId, EntryKind, EntryRecord,
    MovePolicy, OwnerEntry, PolicyEntry, PoolEntry, WaveEntry, WaveState, WorkClass, WorkEntry,
};
pub use claim::{ClaimKey, ClaimRecord, ClaimState, ClaimTable};
pub use clock::ClockTime;
pub use demand::{DemandTracker, PoolDemand};
pub use error::{Category, Error, ErrorKind, Result};
pub use estimate::ServiceEstimate;
pub use fleet::{FleetState, PoolCount};
pub use fold::FoldState;
pub use gate::LoadGate;
pub use health::{VmHealth, WorkHealth};
pub use member::{MemberJoin, MemberRecord, MemberTable};
pub use name::{
    DataCentre, EntryName, MemberName, OwnerName, PoolName, RackName, TenantName, VmName, WaveName,
    WorkName, WorkerId,
};
pub use place::{PlacementCandidate, choose_vm};
pub use plan::{PlanInput, VmListing, WaveProgress, plan, wave_progress};
pub use queue::{ClassShares, QueueLimits, QueueTicket, WorkQueue};
pub use record::{Offset, Record, RecordId, Step, VmDetails};
pub use refusal::{Outcome, RefusalReason, RetryReason};
pub use request::{
    Admitted, Answered, Attempted, Classified, Dispatched, Placed, Queued, Received, Request,
};
pub use slots::{connection_share, rendezvous_rank, slot_owner, slot_share};
pub use snapshot::{SnapshotAssembler, SnapshotPart};
pub use vm::{
    AnyVm, Detached, DrainPurpose, Draining, Joining, ListedStatus, Rebooting, Serving, Vm,
    VmIdentity,
};
