//! Scenario files: sizes, loads and faults, in TOML.

use jacinthhoist_core::ClockTime;
use rand::{RngExt, rngs::StdRng};
use serde::Deserialize;
use snafu::{ResultExt, Snafu};

use crate::policy::ScenarioPolicy;

/// Result of reading a scenario.
pub(crate) type Result<T, E = ScenarioError> = std::result::Result<T, E>;

/// Error of a scenario that cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("invalid scenario ({source}): correct the field named"))]
pub struct ScenarioError {
    /// Error of the TOML decoder.
    source: toml::de::Error,
}

/// Default number of failures of a task after which its job fails.
const MAX_FAILURES: u32 = 2;
/// Largest random step of a wall clock, far beyond any lease.
const MAX_STEP_MS: i64 = 60_000;
/// Range of the longest delays of random slow members: beyond the time after which the store replaces an owner.
const MAX_DELAY_MS: u64 = 2_500;

/// Scenario of an emulation: sizes, loads and faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EmulationScenario {
    /// Duration of the load phase, in seconds.
    pub secs: u64,
    /// Number of members.
    pub members: usize,
    /// Number of the members that have reserve rank, the rank of members with slow links.
    pub reserves: usize,
    /// Number of workers in each pool.
    pub workers: usize,
    /// Number of spare VMs, which run no worker at first.
    pub spare: usize,
    /// CPU of each worker, in thousandths of a core.
    pub worker_cpu: u64,
    /// True if workers reject tasks that exceed their capacity.
    pub guarded: bool,
    /// Number of tenants, to which jobs belong by their ids; 0 for jobs without tenants.
    pub tenants: usize,
    /// CPU that a tenant may have running, in thousandths of a core; 0 for no limit.
    pub tenant_cpu: u64,
    /// Memory of each member for accepted jobs, in kilobytes; 0 for no limit.
    pub job_memory_kb: u64,
    /// Number of failures of a task after which its job fails.
    pub max_failures: u32,
    /// Policy service that permits the workers of all jobs, if there is one.
    pub policy: Option<ScenarioPolicy>,
    /// Loads, each with a pool of its own.
    pub loads: Vec<ScenarioLoad>,
    /// Injected faults and planned operations.
    pub faults: Vec<ScenarioFault>,
}

impl Default for EmulationScenario {
    fn default() -> Self {
        Self {
            secs: 10,
            members: 3,
            reserves: 0,
            workers: 4,
            spare: 2,
            worker_cpu: 16_000,
            guarded: true,
            tenants: 0,
            tenant_cpu: 0,
            job_memory_kb: 0,
            max_failures: MAX_FAILURES,
            policy: None,
            loads: Vec::new(),
            faults: Vec::new(),
        }
    }
}

/// Load of jobs of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ScenarioLoad {
    /// Pool that runs the jobs.
    pub pool: String,
    /// Average arrival rate, in jobs per second.
    pub per_sec: f64,
    /// Factor by which a surge multiplies the average rate.
    pub surge: f64,
    /// Duration of a surge, in seconds; the loads surge in turn. Zero disables surges.
    pub turn_secs: u64,
    /// Number of steps of a job, which run one after the other.
    pub steps: u16,
    /// Number of tasks of each step.
    pub tasks: u16,
    /// Average duration of a task, in milliseconds.
    pub task_ms: u64,
    /// CPU that a task uses, in thousandths of a core.
    pub cpu: u64,
    /// Number of long-running jobs, all submitted at the start.
    pub lasting: u16,
    /// Share of the jobs that are cancelled shortly after acceptance.
    pub cancels: f64,
    /// Share of the jobs whose tasks always fail.
    pub hopeless: f64,
    /// Share of the jobs that ask for a whole worker, for one each for many tasks, or for more than there
    /// is.
    pub unusual: f64,
    /// Priority class; 0 is the most urgent.
    pub priority: u64,
    /// True if a task may have several runs at once.
    pub speculative: bool,
    /// Maximum number of tasks of a step on one worker; 0 if there is no limit.
    pub max_per_worker: u16,
    /// True if callers ask for the state of a job as soon as it is accepted.
    pub asks_at_once: bool,
    /// Number of times that each job runs, the first time an interval after its submission; 0 for jobs that run
    /// once and at once.
    pub repeats: u32,
    /// Interval between two of these times, in milliseconds.
    pub interval_ms: u64,
}

impl Default for ScenarioLoad {
    fn default() -> Self {
        Self {
            pool: "mould".to_owned(),
            per_sec: 2.0,
            surge: 4.0,
            turn_secs: 0,
            steps: 2,
            tasks: 4,
            task_ms: 800,
            cpu: 2_000,
            lasting: 0,
            cancels: 0.0,
            hopeless: 0.0,
            unusual: 0.0,
            priority: 0,
            speculative: false,
            max_per_worker: 0,
            asks_at_once: false,
            repeats: 0,
            interval_ms: 2_000,
        }
    }
}

impl ScenarioLoad {
    /// Arrival rate after some time of the load phase, in jobs per second.
    ///
    /// The loads surge in the order of their indexes; between its surges, a load has a twentieth of
    /// its average rate.
    pub(crate) fn rate(&self, elapsed: ClockTime, load_index: u64, load_count: u64) -> f64 {
        if self.turn_secs == 0 {
            return self.per_sec;
        }
        let current_turn = elapsed.as_millis() / 1_000 / self.turn_secs;
        if current_turn % load_count.max(1) == load_index {
            self.per_sec * self.surge
        } else {
            self.per_sec / 20.0
        }
    }
}

/// Injected fault or planned operation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioFault {
    /// Start, in seconds from the start of the load phase.
    pub at: f64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Duration, in seconds.
    #[serde(default = "default_duration")]
    pub for_s: f64,
    /// Number of members or workers affected.
    #[serde(default = "default_count")]
    pub count: usize,
    /// Share of the new jobs that are affected.
    #[serde(default = "default_share")]
    pub share: f64,
    /// Share of the workers on the side of the affected members in a partition.
    #[serde(default = "default_worker_share")]
    pub worker_share: f64,
    /// Pool whose jobs are affected; by default those of all pools.
    #[serde(default)]
    pub pool: Option<String>,
    /// Step of the wall clocks, in milliseconds; negative if they are set back.
    #[serde(default = "default_step")]
    pub step_ms: i64,
    /// Longest delay of whatever a slow member sends or reads, in milliseconds.
    #[serde(default = "default_delay")]
    pub delay_ms: u64,
}

fn default_duration() -> f64 {
    3.0
}

fn default_count() -> usize {
    1
}

/// Small enough that the crashes leave most of the capacity of a pool of a few workers.
fn default_share() -> f64 {
    0.05
}

fn default_step() -> i64 {
    2_000
}

fn default_delay() -> u64 {
    1_000
}

/// One of three data centres.
fn default_worker_share() -> f64 {
    0.34
}

macro_rules! fault_kinds {
    ($($variant:ident => $doc:literal),* $(,)?) => {
        /// Kind of fault or planned operation.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum FaultKind {
            $(#[doc = $doc] $variant),*
        }

        impl FaultKind {
            /// All kinds, in declaration order; seeds depend on the order.
            pub const ALL: &[Self] = &[$(Self::$variant),*];
        }
    };
}

fault_kinds! {
    MemberKill => "Members are killed, the owner first, and restarted.",
    MemberStop => "Members are shut down in an orderly way, one after the other, and restarted.",
    MemberKillAll => "All members are killed at once and restarted.",
    MemberCut => "Members are isolated from the whole network, the owner first.",
    OwnerStoreCut => "The owner is partitioned from the store only.",
    StoreDown => "The store rejects every call.",
    StoreSilent => "The store does not answer.",
    StoreSlow => "The store takes fifty times as long to answer.",
    StoreLost => "Some writes take effect but their answers are lost.",
    StoreLate => "Some writes are not answered and take effect seconds later.",
    StoreCompact => "The store discards its history and keeps the newest record of each key.",
    StoreDeal => "The store assigns the pools to a random member.",
    WorkerCrash => "Workers crash and restart under the same ids.",
    WorkerDark => "Workers are isolated from the network and keep running.",
    WorkerGone => "Workers and their VMs are lost for good.",
    WorkerFailAll => "Every task started on the affected workers fails.",
    WorkerHang => "Tasks started on the affected workers make no progress.",
    WorkerSlow => "Tasks started on the affected workers take four times as long.",
    WorkerLate => "Workers do not answer orders and execute them late.",
    WorkerDrain => "Workers drain and leave.",
    Wave => "An operator requests maintenance of some VMs.",
    StoreDeaf => "Waiting reads of the store return no new records.",
    FollowersStoreCut => "Members that do not own the pools are partitioned from the store.",
    MemberFreeze => "Members are suspended, the owner first: calls that they have decided on go out when they resume.",
    VmAnswersLost => "Orders on VMs are executed, but their answers are lost.",
    FatalTasks => "Some new jobs have a task that crashes each worker that starts it.",
    LateFatalTasks => "Some new jobs have a task that crashes each worker after a second or two.",
    CapacityShrink => "The capacity of some workers shrinks and grows again.",
    Partition => "Members, the owner first, and some workers are partitioned from all others and the store.",
    WorkerReborn => "Workers restart under their ids behind a short cut, and are cut off again soon after it.",
    OwnershipFlap => "The store assigns the pools to another member and back, again and again, while joins are late or lost, and the former owner and the others each reach only some of the workers.",
    WorkersAhead => "The idle workers have seen the token of a later owner.",
    ClockStep => "The wall clocks of random members are off; steps that overlap add up.",
    KeyWithdrawal => "Operators replace the keys of some tenants.",
    LimitLowered => "Operators halve what tenants may have running.",
    MemberSlow => "Members are slow, the owner first: each call that they have decided on goes out late, and whatever arrives is read late.",
}

impl EmulationScenario {
    /// Reads a scenario from TOML.
    ///
    /// # Errors
    ///
    /// The text is not a valid scenario; the message names the field.
    ///
    /// ```
    /// use jacinthhoist_emulator::EmulationScenario;
    /// assert_eq!(EmulationScenario::parse("secs = 4").unwrap().members, 3);
    /// let error = EmulationScenario::parse("[[faults]]\nat = 1\nkind = \"storm\"").unwrap_err();
    /// assert!(error.to_string().contains("storm"));
    /// ```
    pub fn parse(text: &str) -> Result<Self> {
        toml::from_str(text).context(ScenarioSnafu)
    }

    /// Kinds of fault that concern the scenario: without tenants, all but theirs.
    pub fn fault_kinds(&self) -> Vec<FaultKind> {
        let is_of_tenants =
            |kind: &FaultKind| matches!(kind, FaultKind::KeyWithdrawal | FaultKind::LimitLowered);
        let all = FaultKind::ALL.iter().copied();
        all.filter(|kind| self.tenants > 0 || !is_of_tenants(kind))
            .collect()
    }

    /// Adds `count` random faults of the given kinds.
    ///
    /// ```
    /// use jacinthhoist_emulator::{EmulationScenario, FaultKind};
    /// use rand::{SeedableRng, rngs::StdRng};
    /// let mut rng = StdRng::seed_from_u64(3);
    /// let scenario = EmulationScenario::parse("secs = 12").unwrap();
    /// let scenario = scenario.with_faults(FaultKind::ALL, 4, &mut rng);
    /// assert_eq!(scenario.faults.len(), 4);
    /// ```
    pub fn with_faults(mut self, kinds: &[FaultKind], count: usize, rng: &mut StdRng) -> Self {
        for _ in 0..count {
            let kind = kinds[rng.random_range(0..kinds.len())];
            self.faults.push(ScenarioFault {
                at: rng.random_range(0.5..self.secs as f64),
                kind,
                for_s: rng.random_range(0.5..5.0),
                count: rng.random_range(1..3),
                share: default_share(),
                worker_share: default_worker_share(),
                pool: None,
                step_ms: match kind {
                    FaultKind::ClockStep => rng.random_range(-MAX_STEP_MS..MAX_STEP_MS),
                    _ => default_step(),
                },
                delay_ms: match kind {
                    FaultKind::MemberSlow => rng.random_range(50..MAX_DELAY_MS),
                    _ => default_delay(),
                },
            });
        }
        self
    }

    /// Distinct pools in the order of their loads.
    pub(crate) fn pools(&self) -> Vec<String> {
        let mut pools: Vec<String> = Vec::new();
        for load in &self.loads {
            if !pools.contains(&load.pool) {
                pools.push(load.pool.clone());
            }
        }
        pools
    }
}
