//! Interfaces that a platform implements for the scheduler.

use std::{future::Future, io, net::SocketAddr, sync::Arc};

use jacinthhoist_codec::KeyedRecord;
use jacinthhoist_core::{
    ClockTime, PoolName, VmName, WorkerId,
    job::{
        JobCatalogue, OrderReply, RenewalReport, StartReply, StepAdvice, StepKey, TaskKey, VmEntry,
        WaveRequest, WorkerEntry,
    },
};

use jacinthhoist_net::SendExpiry;
use tokio::io::{AsyncRead, AsyncWrite};

use crate::error::Result;

/// Stream of the store that the scheduler writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreStream {
    /// Jobs and cancellations, written by the members that accept them.
    Accepted,
    /// Job progress, written by the owner of the pools.
    Progress,
}

/// Producer, epoch and sequence number of an append.
///
/// The store rejects an append whose epoch is lower than one it has seen, and answers a repeated
/// sequence number as it did the first time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendSequence {
    /// Name of the producer.
    pub producer: String,
    /// Epoch of the producer; fences off its earlier epochs.
    pub epoch: u64,
    /// Sequence number; increases by one with each append of an epoch.
    pub seq: u64,
}

/// Page of the newest records by key.
#[derive(Clone, Debug, Default)]
pub struct NewestPage {
    /// Newest record of each key on the page.
    pub records: Vec<KeyedRecord>,
    /// Key after which the next page begins; `None` on the last page.
    pub next: Option<String>,
    /// Offset after the last record of the stream at the time of the read.
    pub end: u64,
}

/// Page of records from an offset on.
#[derive(Clone, Debug, Default)]
pub struct ReadPage<T> {
    /// Records in stream order.
    pub items: Vec<T>,
    /// Offset at which the next read begins.
    pub next: u64,
    /// End of the stream at the time of the read; greater than `next` if the page holds only a part.
    pub end: u64,
}

/// Membership of a member in the store's group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Group generation; increases with each change of membership.
    pub generation: u64,
    /// True if this member owns the pools.
    pub owns: bool,
}

/// Record written by an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// Newest catalogue, and its entries that cannot be decoded, for the log.
    Catalogue(Arc<JobCatalogue>, Vec<UnreadableRow>),
    /// Request for a maintenance wave.
    Wave(WaveRequest),
    /// Record that this release does not use.
    Other,
    /// Record that cannot be decoded.
    Unreadable {
        /// Key of the record.
        key: String,
        /// Error of the decoder.
        reason: String,
        /// True if the record holds a catalogue.
        is_catalogue: bool,
    },
}

/// Change of a worker's registration.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerRecord {
    /// A worker has registered or updated its entry.
    Registered(WorkerId, WorkerEntry),
    /// A worker's entry was removed.
    Removed(WorkerId),
    /// An entry that cannot be decoded and therefore names no usable worker.
    Unreadable {
        /// Key of the entry.
        key: String,
        /// Error of the decoder.
        reason: String,
    },
}

/// List of the VMs of all pools.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmListing {
    /// All VMs. Those whose rows cannot be decoded are not [`VmState::Up`].
    ///
    /// [`VmState::Up`]: jacinthhoist_core::job::VmState::Up
    pub vms: Vec<VmEntry>,
    /// Rows that cannot be decoded, for the log.
    pub unreadable: Vec<UnreadableRow>,
}

impl From<Vec<VmEntry>> for VmListing {
    fn from(vms: Vec<VmEntry>) -> Self {
        let unreadable = Vec::new();
        Self { vms, unreadable }
    }
}

/// Row of a list that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableRow {
    /// Key of the row.
    pub key: String,
    /// Error of the decoder.
    pub reason: String,
}

/// Order to start a run of a task.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// Task to start.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Input of the task.
    pub payload: Arc<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// End of the lease on the worker's clock; the run must stop then unless the lease is renewed.
    pub lease_until: Option<u64>,
    /// Start time of the process that may get the order; `None` for any.
    pub incarnation: Option<u64>,
    /// Permit of the policy service.
    pub permit: Option<Arc<str>>,
}

/// Order to renew a worker's lease and report its runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct RenewalOrder {
    /// Highest number of a reported end that the worker may discard.
    pub ack: u64,
    /// New end of the lease on the worker's clock.
    pub lease_until: Option<u64>,
    /// Start time of the process that may get the acknowledgement and the deadline; `None` for any.
    pub incarnation: Option<u64>,
    /// Maximum time for which the worker waits for a run to end before it responds.
    pub wait: ClockTime,
}

/// Connection to a worker; orders carry the owner's fencing token, and are not sent once their
/// permission has run out.
///
/// A worker may restart under its id, and its clock begins anew: a deadline on the clock of the process before
/// is far ahead for the new one. An order for one process is sent only over a connection on which that
/// process has told its start time, as the connection ends with the process.
pub trait WorkerLink: Send + Sync + 'static {
    /// Renews the lease and returns the current and ended runs; `None` if the worker has seen a
    /// higher token. If another process answers than the order is for, its report is returned, and it
    /// gets neither the acknowledgement nor the deadline.
    fn renew(
        &self,
        order: RenewalOrder,
        authority: OrderAuthority,
    ) -> impl Future<Output = Result<Option<RenewalReport>>> + Send;

    /// Starts a run of a task; the order is not sent to another process than it is for.
    fn start(
        &self,
        order: StartOrder,
        authority: OrderAuthority,
    ) -> impl Future<Output = StartReply> + Send;

    /// Stops a run of a task.
    fn stop(
        &self,
        task: TaskKey,
        run: u32,
        authority: OrderAuthority,
    ) -> impl Future<Output = OrderReply> + Send;
}

/// Services of the platform that the scheduler uses.
pub trait Platform: Send + Sync + 'static {
    /// Connection to a worker.
    type Worker: WorkerLink;

    /// Appends records atomically, and waits up to `limit` for the answer; an empty append only sets
    /// the epoch.
    fn append(
        &self,
        stream: StoreStream,
        sequence: &AppendSequence,
        records: &[KeyedRecord],
        limit: ClockTime,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Reads a page of the newest record of each key.
    fn newest(
        &self,
        stream: StoreStream,
        after: Option<String>,
    ) -> impl Future<Output = Result<NewestPage>> + Send;

    /// Reads records from an offset on; waits up to `wait` for the first.
    fn read(
        &self,
        stream: StoreStream,
        from: u64,
        wait: ClockTime,
    ) -> impl Future<Output = Result<ReadPage<KeyedRecord>>> + Send;

    /// Reads the newest operator record of each kind.
    fn operator_newest(&self) -> impl Future<Output = Result<ReadPage<OperatorRecord>>> + Send;

    /// Reads operator records from an offset on; waits up to `wait` for the first.
    fn operator_read(
        &self,
        from: u64,
        wait: ClockTime,
    ) -> impl Future<Output = Result<ReadPage<OperatorRecord>>> + Send;

    /// Reads the entries of all registered workers.
    fn workers_newest(&self) -> impl Future<Output = Result<ReadPage<WorkerRecord>>> + Send;

    /// Reads worker entries from an offset on without waiting.
    fn workers_read(
        &self,
        from: u64,
    ) -> impl Future<Output = Result<ReadPage<WorkerRecord>>> + Send;

    /// Joins the group of members, or renews the membership.
    fn join(
        &self,
        member: &str,
        generation: u64,
        lifetime: ClockTime,
    ) -> impl Future<Output = Result<Membership>> + Send;

    /// Removes a member from the group.
    fn leave(&self, member: &str) -> impl Future<Output = Result<()>> + Send;

    /// Returns the key of the member that owns the pools.
    fn owner(&self) -> impl Future<Output = Result<Option<String>>> + Send;

    /// Writes the status of a maintenance wave for operators.
    fn write_wave(&self, wave: u64, completed: bool) -> impl Future<Output = Result<()>> + Send;

    /// Asks the policy service which of the given workers may run a step; gives up after `limit`.
    fn advise(
        &self,
        step: StepKey,
        workers: &[WorkerId],
        limit: ClockTime,
    ) -> impl Future<Output = Result<StepAdvice>> + Send;

    /// Lists the VMs of all pools.
    fn list_vms(&self) -> impl Future<Output = Result<VmListing>> + Send;

    /// Moves a VM to a pool.
    fn move_vm(
        &self,
        vm: &VmName,
        to: &PoolName,
        authority: OrderAuthority,
    ) -> impl Future<Output = OrderReply> + Send;

    /// Begins the maintenance of a VM.
    fn maintain_vm(
        &self,
        vm: &VmName,
        wave: u64,
        authority: OrderAuthority,
    ) -> impl Future<Output = OrderReply> + Send;

    /// Returns a connection to a worker.
    ///
    /// # Errors
    ///
    /// Fails if the address is invalid.
    fn worker(&self, id: &WorkerId, address: &str) -> Result<Self::Worker>;
}

/// Permission of an owner to send an order.
#[derive(Clone, Copy, Debug)]
pub struct OrderAuthority {
    /// Fencing token. A recipient that has not seen the token of a later owner accepts it still, and
    /// so does a worker that has restarted since.
    pub token: u64,
    /// Time after which another member may own the pools, so that the order must not be sent any more.
    pub expiry: SendExpiry,
}

/// Byte stream between two members.
pub trait PeerStream: AsyncRead + AsyncWrite + Unpin + Send + 'static {}

impl<S: AsyncRead + AsyncWrite + Unpin + Send + 'static> PeerStream for S {}

/// Network between members.
pub trait PeerNetwork: Send + Sync + 'static {
    /// Connection to another member.
    type Stream: PeerStream;
    /// Listener for connections of other members.
    type Listener: PeerListener<Stream = Self::Stream>;

    /// Binds a listener to an address.
    fn bind(&self, address: SocketAddr) -> impl Future<Output = Result<Self::Listener>> + Send;

    /// Connects to a member.
    fn connect(&self, address: SocketAddr)
    -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// Listener for connections of other members.
pub trait PeerListener: Send + Sync + 'static {
    /// Connection to another member.
    type Stream;

    /// Accepts the next connection.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}
