//! Scheduler state of the member that owns the pools.
//!
//! Events are applied through methods; [`Scheduler::step`] returns the resulting [`Effect`]s. No
//! start, confirmation or removal takes effect before the record it depends on is stored: `step`
//! collects changes into one [`Batch`], and [`Scheduler::batch_stored`] releases the effects that
//! depend on it.

mod batch;
mod crashes;
mod decision;
mod demand;
mod fleet;
mod gang;
mod holds;
mod jobs;
mod leases;
mod orders;
mod parking;
mod permits;
mod placing;
mod reports;
mod starts;
mod strays;
mod trials;
mod waves;

use std::{collections::BTreeMap, sync::Arc};

pub use batch::{Batch, BatchRecord, JobProgress, TaskRecord};
pub use decision::{LossEvidence, SchedulerDecision, WorkerChange};
pub use demand::{PoolSummary, TenantSummary};
pub use jobs::Job;
use jobs::may_act_on;
pub use leases::RenewalPlan;
pub use parking::ParkedJob;
pub use permits::StepAdvice;
pub use starts::MAX_CONCURRENT_ORDERS;

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    name::{PoolName, RackName, TenantName, VmName, WorkName, WorkerId},
};

use super::{
    admit::{LoadReport, WorkLoad},
    catalogue::{JobCatalogue, JobWork},
    clock_reading::ClockReading,
    life::ClosedLife,
    memory::{MemoryReport, MemoryUsage},
    order::DurationTable,
    silence::{PoolUnrest, RecentSilences},
    spec::{JobId, JobState, Resources, StepKey, TaskKey},
    stored_time::ClockReadings,
    succession::{FormerOwner, SuccessionLedger},
    tenant_account::{TenantAccount, TenantAccounts},
    wait::WaitCounts,
    wave::WaveTable,
    worker::Worker,
};

/// Limits set by the platform and the runtime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerLimits {
    /// Longest lease granted to a worker; at most the longest that workers accept.
    pub max_lease: ClockTime,
    /// Longest lease that workers accept. An order by the clock of a worker's earlier process grants
    /// it to a restarted one.
    pub longest_lease: ClockTime,
    /// Time for a VM to join another pool.
    pub move_time: ClockTime,
    /// Downtime of a VM during maintenance.
    pub maintenance_time: ClockTime,
    /// Rate limit of the platform for orders on VMs.
    pub vm_orders_per_sec: u32,
    /// Time for which the end of a job can still be queried.
    pub ended_retention: ClockTime,
    /// Time for which a worker's entry may be missing from the list, while the store is reachable,
    /// before the worker is dropped.
    pub missing_grace: ClockTime,
    /// Number of start orders to one worker that may be unanswered at once.
    pub concurrent_starts: usize,
    /// Memory for accepted jobs, in bytes.
    pub job_memory: u64,
}

impl SchedulerLimits {
    /// Returns limits for examples and tests.
    pub fn example() -> Self {
        Self {
            max_lease: ClockTime::from_secs(6),
            longest_lease: ClockTime::from_secs(10),
            move_time: ClockTime::from_millis(1_500),
            maintenance_time: ClockTime::from_secs(2),
            vm_orders_per_sec: 64,
            ended_retention: ClockTime::from_secs(120),
            missing_grace: ClockTime::from_secs(2),
            concurrent_starts: usize::MAX,
            job_memory: u64::MAX,
        }
    }
}

/// A side effect for the runtime to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Stores the records in order, then calls [`Scheduler::batch_stored`].
    Store(Batch),
    /// Sends a start order to a worker.
    Start {
        /// Target worker.
        worker: WorkerId,
        /// Task to start.
        task: TaskKey,
        /// Run number of the task.
        run: u32,
        /// Job payload passed to the task.
        payload: Arc<str>,
        /// Checkpoint to resume from.
        checkpoint: Option<Arc<str>>,
        /// Lease deadline on the worker's clock; the run stops then unless the lease is renewed.
        lease_until: Option<u64>,
        /// Process by whose clock the deadline is; no other one may get the order. `None` if workers tell no
        /// start times.
        incarnation: Option<u64>,
        /// Permit issued by the policy service.
        permit: Option<Arc<str>>,
    },
    /// Asks the policy service which workers may run a step, then calls
    /// [`Scheduler::advice_received`].
    Advise {
        /// Step to be placed.
        step: StepKey,
        /// Candidate workers.
        workers: Vec<WorkerId>,
        /// Time limit of the call: the service needs time for each worker.
        limit: ClockTime,
    },
    /// Sends a stop order to a worker.
    Stop {
        /// Target worker.
        worker: WorkerId,
        /// Task to stop.
        task: TaskKey,
        /// Run number of the task.
        run: u32,
    },
    /// Reads accepted jobs again, then calls [`Scheduler::jobs_loaded`].
    LoadJobs(Vec<JobId>),
    /// Removes the stored bodies of ended jobs, then calls [`Scheduler::bodies_removed`].
    RemoveBodies(Vec<JobId>),
    /// Moves a VM to another pool.
    Move {
        /// VM to move.
        vm: VmName,
        /// Destination pool.
        to: PoolName,
    },
    /// Starts maintenance of a VM.
    Maintain {
        /// VM to maintain.
        vm: VmName,
        /// Number of the maintenance wave.
        wave: u64,
    },
    /// Publishes the status of a maintenance wave to operators.
    WaveStatus {
        /// Number of the maintenance wave.
        wave: u64,
        /// True once maintenance has begun on every VM of the wave that still exists.
        completed: bool,
    },
    /// Logs a scheduling decision.
    Log(SchedulerDecision),
}

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// In operation.
    Up,
    /// Moving to another pool.
    Moving,
    /// Down for maintenance.
    InMaintenance,
    /// Down for any other reason.
    Down,
}

/// A VM as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: VmName,
    /// Pool that the VM belongs to.
    pub pool: PoolName,
    /// Current state.
    pub state: VmState,
    /// Rack, if the labels name one.
    pub rack: Option<RackName>,
    /// Total resources.
    pub capacity: Resources,
    /// Worker that currently runs on the VM.
    pub worker: Option<WorkerId>,
}

/// Scheduler state of the member that owns the pools.
#[derive(Debug)]
pub struct Scheduler {
    limits: SchedulerLimits,
    /// Time at which this member became the owner.
    opened_at: ClockTime,
    catalogue: Arc<JobCatalogue>,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs whose specification stays in the store until there is memory for them.
    parked: BTreeMap<JobId, ParkedJob>,
    /// True while some of those are being read.
    is_loading: bool,
    ended_jobs: BTreeMap<JobId, ClosedLife>,
    /// Tenants of ended jobs.
    ended_tenants: BTreeMap<JobId, TenantName>,
    /// Cancellations that arrived before their jobs, with the tenant that sent them and the time of arrival.
    early_cancels: BTreeMap<JobId, (Option<TenantName>, ClockTime)>,
    pending_removals: Vec<JobId>,
    /// True while job bodies are being removed. Only one removal runs at a time, so that its writes
    /// stay in order.
    removal_in_flight: bool,
    workers: BTreeMap<WorkerId, Worker>,
    /// Incremented when a worker is added or removed or its address changes.
    worker_list_version: u64,
    durations: DurationTable,
    fleet: fleet::Fleet,
    waves: WaveTable,
    permits: permits::PermitCache,
    /// Workers that have fallen silent or restarted with runs, and may have ended, with their addresses.
    doubted_workers: BTreeMap<WorkerId, Arc<str>>,
    recent_silences: RecentSilences,
    unrest: PoolUnrest,
    /// Workers that are reserved for trials.
    trial_workers: SmallVec<[WorkerId; 4]>,
    /// Workers with room that is kept for a step.
    held_workers: SmallVec<[WorkerId; 8]>,
    /// Steps for which room is kept, by pool.
    held_steps: BTreeMap<PoolName, StepKey>,
    tenants: TenantAccounts,
    /// Outcome of the last search of each pool's queue.
    waits: BTreeMap<PoolName, WaitCounts>,
    outbox: batch::Outbox,
    /// Start orders of stored runs that have not been sent.
    ready_starts: Vec<(TaskKey, u32)>,
    /// Start orders among them whose permission ran out before they left this process, for the log.
    postponed_starts: Vec<(TaskKey, u32)>,
    /// Time until which start orders may be sent.
    starts_until: ClockTime,
    effects: Vec<Effect>,
    ownership_confirmed: bool,
    /// Latest end of the leases that may be granted.
    leases_until: ClockTime,
    /// Former owners that may still extend leases on promises.
    former_owners: SmallVec<[FormerOwner; 2]>,
    succession: SuccessionLedger,
    /// Clocks that this member can compare with its own.
    readings: ClockReadings,
    /// What the members' wall clocks show; none while that is not known.
    wall_reading: Option<ClockReading>,
    /// True if a job has an occurrence whose time has not come.
    awaits_wall_time: bool,
    /// Memory for jobs that this member and those that may take over from it have, in bytes.
    job_memory: u64,
    /// Memory that jobs took in the last step.
    memory: MemoryUsage,
    /// Time of the last search for runs to stop.
    last_sweep_at: ClockTime,
    now: ClockTime,
}

impl Scheduler {
    /// Creates the state of a member that has just become the owner. Stored records must be
    /// restored before the first worker report.
    pub fn open(limits: SchedulerLimits, catalogue: Arc<JobCatalogue>, now: ClockTime) -> Self {
        let mut tenants = TenantAccounts::default();
        if let Some(table) = &catalogue.tenants {
            tenants.set_terms(table);
        }
        Self {
            limits,
            opened_at: now,
            catalogue,
            jobs: BTreeMap::new(),
            parked: BTreeMap::new(),
            is_loading: false,
            ended_jobs: BTreeMap::new(),
            ended_tenants: BTreeMap::new(),
            early_cancels: BTreeMap::new(),
            pending_removals: Vec::new(),
            removal_in_flight: false,
            workers: BTreeMap::new(),
            worker_list_version: 0,
            durations: DurationTable::default(),
            fleet: fleet::Fleet::open(now),
            waves: WaveTable::default(),
            permits: permits::PermitCache::default(),
            doubted_workers: BTreeMap::new(),
            recent_silences: RecentSilences::default(),
            unrest: PoolUnrest::default(),
            trial_workers: SmallVec::new(),
            held_workers: SmallVec::new(),
            held_steps: BTreeMap::new(),
            tenants,
            waits: BTreeMap::new(),
            outbox: batch::Outbox::default(),
            ready_starts: Vec::new(),
            postponed_starts: Vec::new(),
            starts_until: ClockTime::from_millis(u64::MAX),
            effects: Vec::new(),
            ownership_confirmed: true,
            leases_until: ClockTime::from_millis(u64::MAX),
            former_owners: SmallVec::new(),
            succession: SuccessionLedger::default(),
            readings: ClockReadings::default(),
            wall_reading: Some(ClockReading::default()),
            awaits_wall_time: false,
            job_memory: limits.job_memory,
            memory: MemoryUsage::default(),
            last_sweep_at: ClockTime::ZERO,
            now,
        }
    }

    /// Replaces the catalogue. Jobs whose kind of work was removed continue in their last pool.
    pub fn set_catalogue(&mut self, catalogue: Arc<JobCatalogue>) {
        if let Some(table) = &catalogue.tenants {
            self.tenants.set_terms(table);
        }
        self.catalogue = catalogue;
    }

    /// Sets whether the group has recently confirmed that this member owns the pools. Without
    /// confirmation no VM is ordered to do anything: unlike workers, not every VM has seen the
    /// fencing token of the newest owner.
    pub fn set_ownership_confirmed(&mut self, ownership_confirmed: bool) {
        self.ownership_confirmed = ownership_confirmed;
    }

    /// Sets what the members' wall clocks show. Until it is known no occurrence of a repeated job begins. The
    /// local clock is taken for a wall clock if none is ever set.
    pub fn set_wall_reading(&mut self, reading: Option<ClockReading>) {
        self.wall_reading = reading;
    }

    /// Sets the memory for jobs, in bytes: the smallest one of this member and those that may take over from it.
    pub fn set_job_memory(&mut self, bytes: u64) {
        self.job_memory = bytes;
    }

    /// Returns the memory for jobs, in bytes.
    pub fn job_memory(&self) -> u64 {
        self.job_memory
    }

    /// Returns the memory that jobs took in the last step.
    pub fn memory_usage(&self) -> MemoryUsage {
        self.memory
    }

    /// Returns the room for further jobs, which this number of members store.
    pub fn memory_report(&self, members: u32) -> MemoryReport {
        let wall = self
            .wall_reading
            .map(|reading| reading.shown_time(self.now));
        let ends = self.jobs.values().filter_map(|job| {
            let plan = job.spec.repeat.filter(|_| !job.spec.is_long_running())?;
            Some(plan.last_start() - wall?)
        });
        self.memory.report(self.job_memory, members, ends.min())
    }

    /// Returns whether some job waits for a time of day.
    pub fn awaits_wall_time(&self) -> bool {
        self.awaits_wall_time
    }

    /// Makes all decisions that follow from the events so far and returns their effects.
    pub fn step(&mut self, now: ClockTime) -> Vec<Effect> {
        self.now = now;
        self.expire_leases();
        self.send_ready_starts();
        self.stop_unwanted_runs();
        self.conclude_jobs();
        self.load_parked_jobs();
        self.review_trials();
        self.place_tasks();
        self.query_permits();
        self.plan_fleet();
        self.flush();
        std::mem::take(&mut self.effects)
    }

    /// Returns the job state reported to callers, or `None` if the job is unknown.
    pub fn state(&self, job: JobId) -> Option<JobState> {
        let open = self.jobs.get(&job).map(|open| open.life.reported_state());
        let parked = || self.parked.get(&job).map(|_| JobState::Queued);
        open.or_else(parked)
            .or_else(|| self.ended_jobs.get(&job).map(ClosedLife::state))
    }

    /// Returns whether a caller of the given tenant may see a job: one of its own, or one that was submitted
    /// without a key.
    pub fn is_visible(&self, job: JobId, tenant: Option<&TenantName>) -> bool {
        let open = self
            .jobs
            .get(&job)
            .and_then(|open| open.spec.tenant.as_ref());
        let parked = || self.parked.get(&job).and_then(ParkedJob::tenant);
        let owner = open
            .or_else(parked)
            .or_else(|| self.ended_tenants.get(&job));
        may_act_on(owner, tenant)
    }

    /// Returns the accounts of the tenants.
    pub fn tenants(&self) -> impl Iterator<Item = &TenantAccount> {
        self.tenants.iter()
    }

    /// Returns the load of each kind of work.
    pub fn loads(&self) -> Vec<(WorkName, WorkLoad)> {
        let report = self.load_report();
        let works = self.catalogue.works.iter();
        let load = |work: &JobWork| report.load(&work.name, &work.pool);
        works.map(|work| (work.name.clone(), load(work))).collect()
    }

    /// Returns the load of all kinds of work for the other members.
    pub fn load_report(&self) -> LoadReport {
        let mut waiting: BTreeMap<&WorkName, u32> = BTreeMap::new();
        for job in self.jobs.values() {
            if !job.has_started() && job.spec.repeat.is_none() {
                *waiting.entry(&job.spec.work).or_default() += 1;
            }
        }
        for job in self.parked.values().filter(|job| job.is_waiting()) {
            *waiting.entry(job.work()).or_default() += 1;
        }
        let views = self.demand_views();
        let mut report = LoadReport {
            drains: self.drain_times(&views, |view| view.waiting),
            works: BTreeMap::new(),
            contracted_drains: BTreeMap::new(),
            limit_drains: BTreeMap::new(),
            surplus_waits: BTreeMap::new(),
        };
        if !self.tenants.is_empty() {
            report.contracted_drains = self.drain_times(&views, |view| view.contracted_waiting);
            report.limit_drains = self.limit_drains();
            report.surplus_waits = self.tenants.surplus_waits(self.now);
        }
        for work in &self.catalogue.works {
            let idle = report.load(&work.name, &work.pool);
            let load = WorkLoad {
                waiting: waiting.get(&work.name).copied().unwrap_or(0),
                task: self.durations.mean(&work.name),
                ..idle
            };
            if load != idle {
                report.works.insert(work.name.clone(), load);
            }
        }
        report
    }

    /// Returns the worker with the given id.
    pub fn worker(&self, id: &WorkerId) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Returns a number that differs after a worker was added or removed, or its address changed.
    pub fn worker_list_version(&self) -> u64 {
        self.worker_list_version
    }

    /// Iterates over the known workers.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Returns a job that has not ended.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Returns the number of jobs that have not ended.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    fn log_decision(&mut self, decision: SchedulerDecision) {
        self.effects.push(Effect::Log(decision));
    }
}
