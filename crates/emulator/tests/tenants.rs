//! Pattern: tenants at their limits, whose keys are replaced and whose limits fall, while members are cut off from the
//! store, suspended, killed and replaced as owners, and workers fall silent.

use jacinthhoist_emulator::{EmulationScenario, HistoryRule, check, run_scenario};

const SCENARIO: &str = r#"
    secs = 20
    members = 4
    workers = 5
    spare = 2
    worker_cpu = 16000
    tenants = 4
    tenant_cpu = 24000
    [[loads]]
    per_sec = 2.0
    steps = 2
    tasks = 4
    task_ms = 800
    cpu = 2000
    [[loads]]
    pool = "melting"
    per_sec = 1.0
    steps = 1
    tasks = 5
    task_ms = 1500
    cpu = 2500
    speculative = true
"#;

fn fault(kind: &str, at: f64, for_s: f64, count: usize) -> String {
    format!("[[faults]]\nkind = \"{kind}\"\nat = {at}\nfor_s = {for_s}\ncount = {count}\n")
}

fn play(beside: &str) {
    let scenario = EmulationScenario::parse(&format!("{SCENARIO}{beside}"));
    let scenario = scenario.expect("the scenario is valid");
    for seed in 1..=4 {
        let outcome = run_scenario(&scenario, seed);
        let found = check(&outcome.history);
        assert_eq!(
            found.first(),
            None,
            "{} of seed {seed}, {beside}",
            found.len()
        );
        let calls = &outcome.history.keyed_calls;
        assert!(
            !calls.is_empty(),
            "seed {seed} of {beside}: no call was served"
        );
    }
}

/// Keys are replaced while members are cut off from the store, suspended or restarted: no call with an old key runs
/// later than the span allowed.
#[test]
fn withdrawn_keys_are_refused_by_members_in_trouble() {
    let withdrawals = fault("key_withdrawal", 3.0, 0.1, 3) + &fault("key_withdrawal", 9.0, 0.1, 3);
    for beside in [
        fault("followers_store_cut", 2.5, 9.0, 3),
        fault("owner_store_cut", 2.8, 8.0, 1),
        fault("member_freeze", 2.9, 7.0, 3),
        fault("store_silent", 2.9, 4.0, 1) + &fault("store_compact", 8.0, 0.1, 1),
        fault("member_kill_all", 3.1, 1.0, 1) + &fault("store_deaf", 8.5, 3.0, 1),
    ] {
        play(&(withdrawals.clone() + &beside));
    }
}

/// Owners are killed, replaced and suspended with tenants at their limits, which fall, while workers crash or are cut
/// off.
#[test]
fn limits_hold_across_owners_in_turn() {
    let lowered = fault("limit_lowered", 7.0, 0.1, 1);
    for beside in [
        fault("store_deal", 4.0, 0.1, 1) + &fault("store_deal", 4.7, 0.1, 1),
        fault("member_kill", 4.0, 1.0, 1) + &fault("worker_dark", 3.6, 4.0, 3),
        fault("member_freeze", 4.0, 3.0, 1) + &fault("worker_crash", 4.5, 1.2, 3),
        fault("worker_late", 3.5, 4.0, 4) + &fault("member_stop", 5.0, 1.0, 2),
    ] {
        play(&(lowered.clone() + &beside));
    }
}

/// The checks find a limit and a key that do not hold.
#[test]
fn broken_limits_and_keys_are_found() {
    let scenario = EmulationScenario::parse(SCENARIO).expect("the scenario is valid");
    let mut history = run_scenario(&scenario, 1).history;
    history.tenant_limits[0].cpu = 2_100;
    let call = &mut history.keyed_calls[0];
    call.withdrawn_at = Some(call.sent_at - jacinthhoist_core::ClockTime::from_secs(6));
    let found: Vec<HistoryRule> = check(&history).iter().map(|found| found.rule).collect();
    assert!(found.contains(&HistoryRule::Quota) && found.contains(&HistoryRule::Key));
}
