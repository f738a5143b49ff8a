//! A configuration in which one queue allows many attempts.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::fleet::{Fleet, Result, Setup};

const POOL: &str = "estimating";
const ADDED: &str = "rush";
const WORKERS: usize = 9;
const MAX_FDS: u32 = 4_100;
/// `config_apply_ms` and `max_stretch_ms` of the users' small installations, and one second more.
const APPLIED: Duration = Duration::from_millis(2_000 + 5_000 + 1_000);

fn route(name: &str, max_attempts: u32) -> Value {
    json!({
        "name": name,
        "host": format!("{name}.example"),
        "path_prefix": "/jobs/",
        "kind": "non_idempotent",
        "service": POOL,
        "timeout_ms": 3_000,
        "slo_ms": 600,
        "priority": 0,
        "max_attempts": max_attempts,
        "stretch": 2.0,
    })
}

/// Adds a queue whose work units may be tried `max_attempts` times.
pub async fn attempts(setup: Setup) -> Result<bool> {
    let fleet = Fleet::open(setup, &[POOL], WORKERS, MAX_FDS).await?;
    let max_attempts = if fleet.trouble { 300 } else { 4 };
    let services = json!([{"name": POOL, "max_conns": 64, "rejects_overload": true}]);
    let config = json!({"version": 2, "routes": [route(POOL, 2), route(ADDED, max_attempts)], "services": services});
    fleet
        .record
        .write(&format!("the operator writes op/config: {config}"));
    fleet.platform.store.put("keyed.op", "config", &config);
    sleep(APPLIED).await;
    let job = json!({"task_spec": "ms=200", "steps": [{"count": 2, "cpu": 1_000, "mem_mb": 100}]})
        .to_string();
    let mut refused = 0;
    for member in 0..fleet.members() {
        let id = format!("5c0e7a21d94b36f{member}");
        let answer = fleet.call(member, "POST", ADDED, &id, &job).await;
        match answer {
            Some((404, _)) => refused += 1,
            Some((200, _)) => {}
            _ => return Err("a member gives no answer that tells".into()),
        }
    }
    let earlier = fleet.call(0, "POST", POOL, "5c0e7a21d94b36ff", &job).await;
    let is_served = earlier.is_some_and(|(status, _)| status == 200);
    let is_broken = refused > 0;
    fleet.record.write(&format!(
        "{refused} of {} members refuse the added queue with 404 {APPLIED:?} after the confirmation; the earlier one is served: {is_served}: {}",
        fleet.members(),
        if is_broken { "BROKEN: CONFIG" } else { "held" }
    ));
    Ok(is_broken)
}
