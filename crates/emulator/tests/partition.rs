//! Pattern: a partition with workers on both sides. The owner is on the smaller side, the store and the
//! members that replace it on the other.

use jacinthhoist_emulator::{EmulationScenario, check, run_scenario};

const SCENARIO: &str = r#"
    secs = 24
    members = 4
    workers = 9
    spare = 0
    [[loads]]
    per_sec = 1.2
    steps = 1
    tasks = 4
    task_ms = 6000
"#;

/// Checks days with a partition from 8 s on.
fn check_days(scenario: &str, partition: &str, seeds: &[u64]) {
    let text = format!("{scenario}[[faults]]\nkind = \"partition\"\nat = 8.0\n{partition}\n");
    let scenario = EmulationScenario::parse(&text).expect("the scenario is valid");
    for seed in seeds {
        let outcome = run_scenario(&scenario, *seed);
        assert_eq!(check(&outcome.history), [], "seed {seed}, {partition}");
    }
}

/// Guards against two runs of a task at once: an owner that the store had replaced went on renewing the
/// leases of the workers on its side, which the next owner could not reach (issue 43).
#[test]
fn a_former_owner_extends_no_leases_that_the_next_one_takes_for_lapsed() {
    check_days(SCENARIO, "for_s = 10.0", &[1, 2, 3, 4]);
    check_days(SCENARIO, "for_s = 5.0", &[1, 2, 3, 4]);
}
