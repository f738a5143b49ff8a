//! Catalogue entries with their fields, units and defaults.

use serde::{Deserialize, Serialize};

use crate::name::{OwnerName, PoolName};

/// Urgency class of a kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// Interactive: a person waits for the answer.
    Urgent,
    /// Default class.
    Standard,
    /// Batch: may wait for hours.
    Slow,
}

impl WorkClass {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Standard, Self::Slow];

    /// Returns the position of the class in [`WorkClass::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the name of the class.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Standard => "standard",
            Self::Slow => "slow",
        }
    }
}

/// A kind of work, with its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkEntry {
    /// Team that owns the work.
    pub owner: OwnerName,
    /// Urgency class.
    pub class: WorkClass,
    /// Pool of VMs that runs the work.
    pub pool: PoolName,
    /// True if a request may run more than once without harm.
    pub repeatable: bool,
    /// Maximum number of requests queued at one member.
    #[serde(default = "default_max_queued")]
    pub max_queued: u32,
    /// Maximum number of requests running at once in the whole fleet.
    #[serde(default = "default_max_running")]
    pub max_running: u32,
    /// Milliseconds from receipt of a request to the end of the response head.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Maximum size of a request body in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Maximum number of attempts, each on a different VM, including the first.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// True if a drain may checkpoint the work and resume it on another VM.
    #[serde(default)]
    pub checkpoint: bool,
}

fn default_max_queued() -> u32 {
    200
}

fn default_max_running() -> u32 {
    10_000
}

fn default_deadline_ms() -> u64 {
    10_000
}

fn default_max_body_bytes() -> u64 {
    1_048_576
}

fn default_max_attempts() -> u32 {
    3
}

/// A pool of VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolEntry {
    /// Minimum number of available VMs: lower bound of the availability budget.
    pub min_available: u32,
    /// Maximum number of VMs unavailable at once for maintenance: upper bound of the budget.
    #[serde(default = "default_max_unavailable")]
    pub max_unavailable: u32,
    /// Number of VMs outside load surges.
    pub base_vms: u32,
    /// Maximum number of VMs during a load surge; `base_vms` if not set.
    #[serde(default)]
    pub max_vms: Option<u32>,
    /// True for the spare pool, from which other pools take VMs.
    #[serde(default)]
    pub spare: bool,
    /// Number of requests that one VM of the pool runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

fn default_max_unavailable() -> u32 {
    1
}

fn default_slots() -> u32 {
    8
}

/// A team that owns work, with its quotas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerEntry {
    /// Weight of the owner's share of a class's slots, relative to other owners.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Quota: maximum number of requests running at once in the whole fleet.
    #[serde(default = "default_max_running")]
    pub max_running: u32,
    /// Maximum number of the owner's requests queued at one member, counting the request's class
    /// and more urgent ones.
    #[serde(default = "default_owner_queued")]
    pub max_queued: u32,
}

fn default_weight() -> u32 {
    1
}

fn default_owner_queued() -> u32 {
    500
}

/// State of a wave that the operator requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaveState {
    /// VMs are drained and rebooted.
    Running,
    /// No further VM is drained; VMs already out of service serve again after their maintenance.
    Paused,
    /// As paused, and VMs that are still draining resume serving.
    Aborted,
}

/// A maintenance wave, which reboots every VM of its pools once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveEntry {
    /// Pools whose VMs are rebooted.
    pub pools: Vec<PoolName>,
    /// Requested state.
    pub state: WaveState,
}

/// Planner policy for moving VMs between pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MovePolicy {
    /// A pool takes a VM only when its own capacity is used up.
    Greedy,
    /// VMs are distributed in proportion to demand.
    Proportional,
    /// VMs move only to bring a pool up to its `base_vms`.
    None,
}

/// Fleet-wide settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicyEntry {
    /// Maximum number of live entry members; the divisor of a VM's connection limit.
    pub max_members: u32,
    /// Maximum number of connections that one VM accepts from all members together.
    pub vm_connections: u32,
    /// Percent of a pool's slots reserved for each class under overload: urgent, standard, slow.
    pub floor_percent: [u32; 3],
    /// Maximum percent of a pool's slots that each class may hold: urgent, standard, slow.
    pub cap_percent: [u32; 3],
    /// Retention of an idempotency key in seconds.
    pub key_keep_secs: u64,
    /// Period in days within which every VM is rebooted once; zero disables maintenance.
    pub maintenance_days: u32,
    /// Policy for moving VMs between pools.
    pub moves: MovePolicy,
    /// Use of a pool's slots in percent, including queued requests, above which it requests a VM.
    pub grow_percent: u32,
    /// Use of a pool's slots in percent below which it returns a VM.
    pub shrink_percent: u32,
    /// Seconds for which a surge must last before a VM moves.
    pub lasts_secs: u64,
    /// Weight of idle VMs; a higher value returns VMs to the spare pool sooner.
    pub buffer_weight: u32,
    /// Weight of roll-out time; below `flood_weight`, maintenance drains fewer VMs at once.
    pub rollout_weight: u32,
    /// Weight of a VM move; a higher value delays moves.
    pub move_weight: u32,
    /// Weight of work lost under overload; a higher value adds VMs sooner.
    pub flood_weight: u32,
}

impl Default for PolicyEntry {
    fn default() -> Self {
        Self {
            max_members: 8,
            vm_connections: 64,
            floor_percent: [10, 10, 10],
            cap_percent: [100, 80, 50],
            key_keep_secs: 600,
            maintenance_days: 28,
            moves: MovePolicy::Greedy,
            grow_percent: 110,
            shrink_percent: 40,
            lasts_secs: 15,
            buffer_weight: 1,
            rollout_weight: 1,
            move_weight: 1,
            flood_weight: 1,
        }
    }
}
