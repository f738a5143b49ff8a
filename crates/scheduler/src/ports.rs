//! What the scheduler needs of a platform.

use std::{future::Future, io, net::SocketAddr, sync::Arc};

use jacinthhoist_codec::KeyedRecord;
use jacinthhoist_core::{
    ClockTime, PoolName, VmName, WorkerId,
    job::{
        HoldReport, JobCatalogue, OrderReply, StartReply, StepAdvice, StepKey, TaskKey, VmEntry,
        WaveRequest, WorkerEntry,
    },
};

use tokio::io::{AsyncRead, AsyncWrite};

use crate::error::Result;

/// Which of the scheduler's own streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreStream {
    /// Jobs and cancellations, written by the members that take them.
    Accepted,
    /// Progress, written by the pools' owner.
    Progress,
}

/// Who appends; an append under a lower epoch than the store has seen is rejected, and a repeated
/// sequence number gets its first answer again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendSequence {
    /// The writer's name.
    pub producer: String,
    /// Fences the writer's earlier epochs off.
    pub epoch: u64,
    /// Rises by one with each append of an epoch.
    pub seq: u64,
}

/// A page of the newest records of each key.
#[derive(Clone, Debug, Default)]
pub struct NewestPage {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// The key after which the next page begins; none at the end.
    pub next: Option<String>,
    /// The offset after the last record when the page was made.
    pub end: u64,
}

/// Records from an offset on.
#[derive(Clone, Debug, Default)]
pub struct ReadPage<T> {
    /// The records.
    pub items: Vec<T>,
    /// The offset to go on from.
    pub next: u64,
}

/// A member's place among the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Rises with each change.
    pub generation: u64,
    /// Whether this member owns the pools.
    pub owns: bool,
}

/// What operators write.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// The newest catalogue.
    Catalogue(Arc<JobCatalogue>),
    /// A wave of maintenance.
    Wave(WaveRequest),
    /// Something that this release does not use.
    Other,
}

/// What workers write where they register.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerRecord {
    /// A worker says how it is.
    Registered(WorkerId, WorkerEntry),
    /// A worker's entry was removed.
    Removed(WorkerId),
    /// An entry that cannot be read, with the reason: it names no worker to use.
    Unreadable {
        /// Its key.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// A start order.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// What the task is given.
    pub payload: Arc<str>,
    /// Progress to resume from.
    pub saved: Option<Arc<str>>,
    /// Until when it may run unless renewed, on the worker's clock.
    pub lease_until: Option<u64>,
    /// The policy service's permit.
    pub permit: Option<Arc<str>>,
}

/// A renewal of a worker's lease, and a look at what it runs.
#[derive(Clone, Copy, Debug)]
pub struct HoldOrder {
    /// The highest number of an end that the worker may forget.
    pub ack: u64,
    /// The new deadline on the worker's clock.
    pub lease_until: Option<u64>,
    /// How long the worker may wait for an end before it answers.
    pub wait: ClockTime,
}

/// A connection to one life of a worker; orders carry the owner's fencing token.
pub trait WorkerLink: Send + Sync + 'static {
    /// Renews the lease and returns what runs and what has ended; none where another owner has a
    /// higher token.
    fn hold(
        &self,
        order: HoldOrder,
        token: u64,
    ) -> impl Future<Output = Result<Option<HoldReport>>> + Send;

    /// Starts a task.
    fn start(&self, order: StartOrder, token: u64) -> impl Future<Output = StartReply> + Send;

    /// Stops a task.
    fn stop(&self, task: TaskKey, run: u32, token: u64) -> impl Future<Output = OrderReply> + Send;
}

/// The platform as the scheduler uses it.
pub trait Platform: Send + Sync + 'static {
    /// A connection to a worker.
    type Worker: WorkerLink;

    /// Appends records, all or none; an empty append only sets the epoch.
    fn append(
        &self,
        stream: StoreStream,
        mark: &AppendSequence,
        records: &[KeyedRecord],
    ) -> impl Future<Output = Result<()>> + Send;

    /// The newest record of each key, page by page.
    fn newest(
        &self,
        stream: StoreStream,
        after: Option<String>,
    ) -> impl Future<Output = Result<NewestPage>> + Send;

    /// Records from an offset on; waits up to `wait` for the first.
    fn read(
        &self,
        stream: StoreStream,
        from: u64,
        wait: ClockTime,
    ) -> impl Future<Output = Result<ReadPage<KeyedRecord>>> + Send;

    /// What operators have written, newest of each kind.
    fn operator_newest(&self) -> impl Future<Output = Result<ReadPage<OperatorRecord>>> + Send;

    /// What operators write from an offset on.
    fn operator_read(
        &self,
        from: u64,
        wait: ClockTime,
    ) -> impl Future<Output = Result<ReadPage<OperatorRecord>>> + Send;

    /// All workers that are registered.
    fn workers_newest(&self) -> impl Future<Output = Result<ReadPage<WorkerRecord>>> + Send;

    /// What workers write from an offset on; does not wait.
    fn workers_read(
        &self,
        from: u64,
    ) -> impl Future<Output = Result<ReadPage<WorkerRecord>>> + Send;

    /// Joins the members or stays one of them.
    fn join(
        &self,
        member: &str,
        generation: u64,
    ) -> impl Future<Output = Result<Membership>> + Send;

    /// Leaves the members.
    fn leave(&self, member: &str) -> impl Future<Output = Result<()>> + Send;

    /// The member that owns the pools.
    fn owner(&self) -> impl Future<Output = Result<Option<String>>> + Send;

    /// Tells operators how far a wave is.
    fn write_wave(&self, wave: u64, completed: bool) -> impl Future<Output = Result<()>> + Send;

    /// Asks the policy service which of some workers may run a step.
    fn advise(
        &self,
        step: StepKey,
        workers: &[WorkerId],
    ) -> impl Future<Output = Result<StepAdvice>> + Send;

    /// The VMs of all pools.
    fn list_vms(&self) -> impl Future<Output = Result<Vec<VmEntry>>> + Send;

    /// Moves a VM to a pool.
    fn move_vm(
        &self,
        vm: &VmName,
        to: &PoolName,
        token: u64,
    ) -> impl Future<Output = OrderReply> + Send;

    /// Begins a VM's maintenance.
    fn maintain_vm(
        &self,
        vm: &VmName,
        wave: u64,
        token: u64,
    ) -> impl Future<Output = OrderReply> + Send;

    /// A connection to a worker.
    ///
    /// # Errors
    ///
    /// An address that cannot be used.
    fn worker(&self, id: &WorkerId, address: &str) -> Result<Self::Worker>;
}

/// A connection between two members.
pub trait PeerStream: AsyncRead + AsyncWrite + Unpin + Send + 'static {}

impl<S: AsyncRead + AsyncWrite + Unpin + Send + 'static> PeerStream for S {}

/// How members reach each other.
pub trait PeerNetwork: Send + Sync + 'static {
    /// A connection.
    type Stream: PeerStream;
    /// What takes connections.
    type Listener: PeerListener<Stream = Self::Stream>;

    /// Takes connections at an address.
    fn bind(&self, address: SocketAddr) -> impl Future<Output = Result<Self::Listener>> + Send;

    /// Connects to a member.
    fn connect(&self, address: SocketAddr)
    -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// Takes connections of other members.
pub trait PeerListener: Send + Sync + 'static {
    /// A connection.
    type Stream;

    /// The next connection.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}
