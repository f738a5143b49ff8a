//! The catalogue's entries with their fields, units and defaults.

use serde::{Deserialize, Serialize};

use crate::name::{OwnerName, PoolName};

/// How urgent a kind of work is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// A person waits for it.
    Urgent,
    /// The usual case.
    Standard,
    /// It may wait for hours.
    Slow,
}

impl WorkClass {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Standard, Self::Slow];

    /// The class's place in [`WorkClass::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// The class's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Standard => "standard",
            Self::Slow => "slow",
        }
    }
}

/// A kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkEntry {
    /// The team that owns it.
    pub owner: OwnerName,
    /// How urgent it is.
    pub class: WorkClass,
    /// The pool that runs it.
    pub pool: PoolName,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Requests that may wait at one member.
    #[serde(default = "default_max_queued")]
    pub max_queued: u32,
    /// Requests that may run at once over the fleet.
    #[serde(default = "default_max_running")]
    pub max_running: u32,
    /// Milliseconds from acceptance to the end of the answer's head.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Bytes a request's body may have.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Attempts on different VMs, the first included.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Whether a drain may checkpoint it and run it on elsewhere.
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
    /// VMs that must stay available: the availability budget's lower bound.
    pub min_available: u32,
    /// VMs that may be unavailable at once: the budget's upper bound for maintenance.
    #[serde(default = "default_max_unavailable")]
    pub max_unavailable: u32,
    /// VMs the pool has when there is no surge.
    pub base_vms: u32,
    /// VMs the pool may grow to in a surge.
    #[serde(default)]
    pub max_vms: Option<u32>,
    /// Whether this pool is the buffer that others take VMs from.
    #[serde(default)]
    pub spare: bool,
    /// Requests one of its VMs runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

fn default_max_unavailable() -> u32 {
    1
}

fn default_slots() -> u32 {
    8
}

/// A team that owns work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerEntry {
    /// Its part of a class's slots relative to other owners'.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Its quota: requests that may run at once over the fleet.
    #[serde(default = "default_max_running")]
    pub max_running: u32,
    /// Requests of its work, as urgent or more, that may wait at one member.
    #[serde(default = "default_owner_queued")]
    pub max_queued: u32,
}

fn default_weight() -> u32 {
    1
}

fn default_owner_queued() -> u32 {
    500
}

/// What an operator wants of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaveState {
    /// VMs are drained and rebooted.
    Running,
    /// No further VM is drained; those out come back.
    Paused,
    /// As paused; VMs still draining go back to serving.
    Aborted,
}

/// A maintenance wave: every VM of its pools reboots once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveEntry {
    /// The pools whose VMs are serviced.
    pub pools: Vec<PoolName>,
    /// What the operator wants.
    pub state: WaveState,
}

/// How the planner moves VMs between pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MovePolicy {
    /// A pool uses up what it has before it takes a VM.
    Greedy,
    /// VMs follow demand in proportion.
    Proportional,
    /// VMs move only up to a pool's `base_vms`.
    None,
}

/// Settings of the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicyEntry {
    /// Entry members that may be live; a VM's connections are divided by it.
    pub max_members: u32,
    /// Connections one VM accepts from all members together.
    pub vm_connections: u32,
    /// Percent of a pool's slots that each class keeps in any flood: urgent, standard, slow.
    pub floor_percent: [u32; 3],
    /// Percent of a pool's slots that each class may hold: urgent, standard, slow.
    pub cap_percent: [u32; 3],
    /// Seconds an idempotency key is remembered.
    pub key_keep_secs: u64,
    /// Days within which every VM is serviced once; zero turns it off.
    pub maintenance_days: u32,
    /// How VMs move between pools.
    pub moves: MovePolicy,
    /// Percent of a pool's slots in use, queue included, above which it wants a VM.
    pub grow_percent: u32,
    /// Percent of a pool's slots in use below which it gives a VM back.
    pub shrink_percent: u32,
    /// Seconds a surge must last before a VM moves.
    pub lasts_secs: u64,
    /// Weight of an idle buffer VM against the other measures.
    pub buffer_weight: u32,
    /// Weight of roll-out time.
    pub rollout_weight: u32,
    /// Weight of a VM move.
    pub move_weight: u32,
    /// Weight of work lost in a flood.
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
