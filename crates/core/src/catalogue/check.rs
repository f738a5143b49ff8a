//! Validation of a complete catalogue.

use snafu::ensure;

use super::{
    CatalogueState, EntryBody, EntryId, EntryKind, OwnerEntry, PolicyEntry, PoolEntry, WaveEntry,
    WorkEntry,
};
use crate::error::{EntryInvalidSnafu, Error};

/// Result of a validation step.
pub(super) type Result<T = (), E = Error> = std::result::Result<T, E>;

/// Upper limit of a deadline: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// Upper limit of a request body: 64 MiB.
const MAX_BODY_BYTES: u64 = 67_108_864;
/// Upper limit of attempts for one request.
const MAX_ATTEMPTS: u32 = 5;
/// Upper limit of the length of a name.
const MAX_NAME_BYTES: usize = 64;

/// Checks every entry and its references to other entries.
pub(super) fn validate(state: &CatalogueState) -> Result {
    let mut spare_pools = 0;
    for (id, _, body) in state.entries() {
        check_name(id)?;
        check_field(
            id,
            body.kind() == id.kind,
            "kind",
            "does not match its name",
            "use the table of its kind",
        )?;
        match body {
            EntryBody::Work(work) => check_work(state, id, work)?,
            EntryBody::Pool(pool) => {
                spare_pools += u32::from(pool.spare);
                check_field(
                    id,
                    spare_pools < 2,
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

fn check_field(
    id: &EntryId,
    valid: bool,
    field: &'static str,
    found: &str,
    remedy: &str,
) -> Result {
    ensure!(
        valid,
        EntryInvalidSnafu {
            entry: id.clone(),
            field,
            found,
            remedy
        }
    );
    Ok(())
}

fn check_range(id: &EntryId, field: &'static str, value: u64, min: u64, max: u64) -> Result {
    let found = format!("is {value}");
    let remedy = format!("write a value from {min} to {max}");
    check_field(id, (min..=max).contains(&value), field, &found, &remedy)
}

fn check_name(id: &EntryId) -> Result {
    let name = id.name.as_str();
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
    let valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed);
    let remedy = "use up to 64 letters, digits, `-`, `_` and `.`";
    check_field(id, valid, "name", "cannot be used", remedy)?;
    let unique = id.kind != EntryKind::Policy || name == "policy";
    check_field(
        id,
        unique,
        "name",
        "is a second policy",
        "keep the one table `[policy]`",
    )
}

fn check_work(state: &CatalogueState, id: &EntryId, work: &WorkEntry) -> Result {
    let owner_found = format!("names `{}`, which is not in the catalogue", work.owner);
    check_field(
        id,
        state.owner(&work.owner).is_some(),
        "owner",
        &owner_found,
        "add the owner, or name another",
    )?;
    let pool_found = format!("names `{}`, which is not in the catalogue", work.pool);
    check_field(
        id,
        state.pool(&work.pool).is_some(),
        "pool",
        &pool_found,
        "add the pool, or name another",
    )?;
    check_range(id, "max_queued", work.max_queued.into(), 1, 100_000)?;
    check_range(id, "max_running", work.max_running.into(), 1, 100_000)?;
    check_range(id, "deadline_ms", work.deadline_ms, 10, MAX_DEADLINE_MS)?;
    check_range(id, "max_body_bytes", work.max_body_bytes, 0, MAX_BODY_BYTES)?;
    check_range(
        id,
        "max_attempts",
        work.max_attempts.into(),
        1,
        MAX_ATTEMPTS.into(),
    )?;
    let valid = work.repeatable || !work.checkpoint;
    let remedy = "leave it out, or mark the work `repeatable`";
    check_field(
        id,
        valid,
        "checkpoint",
        "is set on work that may run once only",
        remedy,
    )
}

fn check_pool(id: &EntryId, pool: &PoolEntry) -> Result {
    check_range(id, "base_vms", pool.base_vms.into(), 0, 10_000)?;
    check_range(
        id,
        "min_available",
        pool.min_available.into(),
        0,
        pool.base_vms.into(),
    )?;
    check_range(
        id,
        "max_unavailable",
        pool.max_unavailable.into(),
        0,
        10_000,
    )?;
    check_range(id, "slots", pool.slots.into(), 1, 1_024)?;
    let max_vms = pool.max_vms.unwrap_or(pool.base_vms);
    check_range(id, "max_vms", max_vms.into(), pool.base_vms.into(), 10_000)
}

fn check_owner(id: &EntryId, owner: &OwnerEntry) -> Result {
    check_range(id, "weight", owner.weight.into(), 1, 1_000)?;
    check_range(id, "max_running", owner.max_running.into(), 1, 100_000)?;
    check_range(id, "max_queued", owner.max_queued.into(), 1, 100_000)
}

fn check_wave(state: &CatalogueState, id: &EntryId, wave: &WaveEntry) -> Result {
    for pool in &wave.pools {
        let found = format!("names `{pool}`, which is not in the catalogue");
        check_field(
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
    check_range(id, "max_members", policy.max_members.into(), 1, 64)?;
    check_range(
        id,
        "vm_connections",
        policy.vm_connections.into(),
        policy.max_members.into(),
        4_096,
    )?;
    let floor_sum = policy
        .floor_percent
        .iter()
        .map(|&percent| u64::from(percent))
        .sum();
    check_range(id, "floor_percent", floor_sum, 0, 90)?;
    for (floor, cap) in policy.floor_percent.iter().zip(policy.cap_percent) {
        check_range(id, "cap_percent", cap.into(), (*floor).max(1).into(), 100)?;
    }
    check_range(id, "key_keep_secs", policy.key_keep_secs, 60, 86_400)?;
    check_range(
        id,
        "maintenance_days",
        policy.maintenance_days.into(),
        0,
        365,
    )?;
    check_range(id, "grow_percent", policy.grow_percent.into(), 10, 1_000)?;
    check_range(
        id,
        "shrink_percent",
        policy.shrink_percent.into(),
        0,
        policy.grow_percent.into(),
    )?;
    check_range(id, "lasts_secs", policy.lasts_secs, 1, 86_400)
}
