//! Pattern: the store assigns the pools to another member and back, unnoticed by the members, which each
//! reach only some of the workers.

use std::ops::RangeInclusive;

use jacinthhoist_emulator::{EmulationScenario, HistoryRule, check, run_scenario};

/// Few changes to store, so that the store has few chances to refuse an append of a former owner.
const SCENARIO: &str = r#"
    secs = 24
    members = 4
    workers = 9
    spare = 0
    [[loads]]
    per_sec = 0.15
    steps = 1
    tasks = 3
    task_ms = 6000
    [[loads]]
    per_sec = 0.0
    steps = 1
    tasks = 3
    lasting = 1
"#;

/// Checks days on which the pools change hands from 5 s on. `granted` is the share of the joins whose answers
/// find the pools with the member that asks.
fn check_days(granted: f64, span: f64, more: &str, seeds: RangeInclusive<u64>) {
    let flap = format!("kind = \"ownership_flap\"\nat = 5.0\nfor_s = {span:.1}\n");
    let shares = format!("share = {granted:.1}\nworker_share = 0.2\n");
    let scenario = EmulationScenario::parse(&format!("{SCENARIO}[[faults]]\n{flap}{shares}{more}"));
    let scenario = scenario.expect("the scenario is valid");
    for seed in seeds {
        let mut violations = check(&run_scenario(&scenario, seed).history);
        violations.retain(|violation| {
            matches!(
                violation.rule,
                HistoryRule::Twice | HistoryRule::One | HistoryRule::Avail
            )
        });
        assert_eq!(violations, [], "seed {seed}, {granted}, {span}, {more}");
    }
}

/// Guards against two runs of a task at once: an owner that had lost the pools and got them back between
/// two answers of the store went on extending leases that the one in between took for lapsed (issue 49).
#[test]
fn an_owner_that_lost_the_pools_meanwhile_extends_no_leases() {
    check_days(1.0, 6.0, "", 1..=12);
    check_days(0.9, 9.0, "", 1..=12);
    check_days(0.5, 9.0, "", 1..=12);
    check_days(0.0, 9.0, "", 1..=12);
}

/// Guards against the same while the store is slow, so that the fence of the next owner is late.
#[test]
fn an_owner_whose_fence_is_late_counts_leases_from_its_confirmation() {
    for kind in ["store_slow", "store_lost", "store_late"] {
        let fault = format!("[[faults]]\nkind = \"{kind}\"\nat = 5.5\nfor_s = 3.0\n");
        check_days(0.9, 9.0, &fault, 1..=8);
    }
}
