//! Whether a catalogue as a whole can be used.

use snafu::ensure;

use super::{
    CatalogueState, EntryBody, EntryId, EntryKind, OwnerEntry, PolicyEntry, PoolEntry, WaveEntry,
    WorkEntry,
};
use crate::error::{EntryInvalidSnafu, Error};

/// The result of a check.
pub(super) type Result<T = (), E = Error> = std::result::Result<T, E>;

/// The longest deadline, one day in milliseconds.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// The largest body, 64 MiB in bytes.
const MAX_BODY_BYTES: u64 = 67_108_864;
/// The most attempts.
const MAX_ATTEMPTS: u32 = 5;
/// The longest name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Checks each entry and what it refers to.
pub(super) fn check(state: &CatalogueState) -> Result {
    let mut spares = 0;
    for (id, _, body) in state.entries() {
        check_name(id)?;
        require(
            id,
            body.kind() == id.kind,
            "kind",
            "does not match its name",
            "use the table of its kind",
        )?;
        match body {
            EntryBody::Work(work) => check_work(state, id, work)?,
            EntryBody::Pool(pool) => {
                spares += u32::from(pool.spare);
                require(
                    id,
                    spares < 2,
                    "spare",
                    "is set on a second pool",
                    "mark one pool only",
                )?;
                check_pool(id, pool)?;
            }
            EntryBody::Owner(owner) => check_owner(id, owner)?,
            EntryBody::Wave(wave) => check_wave(state, id, wave)?,
            EntryBody::Policy(policy) => check_policy(id, policy)?,
        }
    }
    Ok(())
}

fn require(id: &EntryId, holds: bool, field: &'static str, found: &str, remedy: &str) -> Result {
    ensure!(
        holds,
        EntryInvalidSnafu {
            entry: id.clone(),
            field,
            found,
            remedy
        }
    );
    Ok(())
}

fn within(id: &EntryId, field: &'static str, value: u64, low: u64, high: u64) -> Result {
    let found = format!("is {value}");
    let remedy = format!("write a value from {low} to {high}");
    require(id, (low..=high).contains(&value), field, &found, &remedy)
}

fn check_name(id: &EntryId) -> Result {
    let name = id.name.as_str();
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
    let good = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(plain);
    let remedy = "use up to 64 letters, digits, `-`, `_` and `.`";
    require(id, good, "name", "cannot be used", remedy)?;
    let single = id.kind != EntryKind::Policy || name == "policy";
    require(
        id,
        single,
        "name",
        "is a second policy",
        "keep the one table `[policy]`",
    )
}

fn check_work(state: &CatalogueState, id: &EntryId, work: &WorkEntry) -> Result {
    let owner = format!("names `{}`, which is not in the catalogue", work.owner);
    require(
        id,
        state.owner(&work.owner).is_some(),
        "owner",
        &owner,
        "add the owner, or name another",
    )?;
    let pool = format!("names `{}`, which is not in the catalogue", work.pool);
    require(
        id,
        state.pool(&work.pool).is_some(),
        "pool",
        &pool,
        "add the pool, or name another",
    )?;
    within(id, "max_queued", work.max_queued.into(), 1, 100_000)?;
    within(id, "max_running", work.max_running.into(), 1, 100_000)?;
    within(id, "deadline_ms", work.deadline_ms, 10, MAX_DEADLINE_MS)?;
    within(id, "max_body_bytes", work.max_body_bytes, 0, MAX_BODY_BYTES)?;
    within(
        id,
        "max_attempts",
        work.max_attempts.into(),
        1,
        MAX_ATTEMPTS.into(),
    )?;
    let once = work.repeatable || !work.checkpoint;
    let remedy = "leave it out, or mark the work `repeatable`";
    require(
        id,
        once,
        "checkpoint",
        "is set on work that may run once only",
        remedy,
    )
}

fn check_pool(id: &EntryId, pool: &PoolEntry) -> Result {
    within(id, "base_vms", pool.base_vms.into(), 0, 10_000)?;
    within(
        id,
        "min_available",
        pool.min_available.into(),
        0,
        pool.base_vms.into(),
    )?;
    within(
        id,
        "max_unavailable",
        pool.max_unavailable.into(),
        0,
        10_000,
    )?;
    within(id, "slots", pool.slots.into(), 1, 1_024)?;
    let most = pool.max_vms.unwrap_or(pool.base_vms);
    within(id, "max_vms", most.into(), pool.base_vms.into(), 10_000)
}

fn check_owner(id: &EntryId, owner: &OwnerEntry) -> Result {
    within(id, "weight", owner.weight.into(), 1, 1_000)?;
    within(id, "max_running", owner.max_running.into(), 1, 100_000)?;
    within(id, "max_queued", owner.max_queued.into(), 1, 100_000)
}

fn check_wave(state: &CatalogueState, id: &EntryId, wave: &WaveEntry) -> Result {
    for pool in &wave.pools {
        let found = format!("names `{pool}`, which is not in the catalogue");
        require(
            id,
            state.pool(pool).is_some(),
            "pools",
            &found,
            "add the pool, or name another",
        )?;
    }
    Ok(())
}

fn check_policy(id: &EntryId, policy: &PolicyEntry) -> Result {
    within(id, "max_members", policy.max_members.into(), 1, 64)?;
    within(
        id,
        "vm_connections",
        policy.vm_connections.into(),
        policy.max_members.into(),
        4_096,
    )?;
    let floors = policy
        .floor_percent
        .iter()
        .map(|&percent| u64::from(percent))
        .sum();
    within(id, "floor_percent", floors, 0, 90)?;
    for (floor, cap) in policy.floor_percent.iter().zip(policy.cap_percent) {
        within(id, "cap_percent", cap.into(), (*floor).max(1).into(), 100)?;
    }
    within(id, "key_keep_secs", policy.key_keep_secs, 60, 86_400)?;
    within(
        id,
        "maintenance_days",
        policy.maintenance_days.into(),
        0,
        365,
    )?;
    within(id, "grow_percent", policy.grow_percent.into(), 10, 1_000)?;
    within(
        id,
        "shrink_percent",
        policy.shrink_percent.into(),
        0,
        policy.grow_percent.into(),
    )?;
    within(id, "lasts_secs", policy.lasts_secs, 1, 86_400)
}
