//! Pattern: a partition with workers on both sides. The owner is on the smaller side, the store and the
//! members that replace it on the other.

use jacinthhoist_core::job::TaskEnd;
use jacinthhoist_emulator::{EmulationScenario, EndKind, check, run_scenario};

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

/// Guards against the same with a follower on the side of the owner, whose promise counts for itself only.
#[test]
fn promises_of_some_members_extend_no_leases() {
    let six_members = SCENARIO.replace("members = 4", "members = 6");
    check_days(&six_members, "for_s = 10.0\ncount = 2", &[1, 2, 3, 4]);
    check_days(
        &six_members,
        "for_s = 14.0\ncount = 3\nworker_share = 0.7",
        &[5, 6],
    );
}

/// Guards against the same while the store is away for all members at the beginning of the partition.
#[test]
fn promises_end_before_a_member_that_made_one_takes_over() {
    for (at, span) in [(7.0, 3.0), (9.0, 3.0), (6.0, 6.0)] {
        let outage = format!("kind = \"store_silent\"\nat = {at:.1}\nfor_s = {span:.1}");
        let days = format!("for_s = 10.0\n[[faults]]\n{outage}");
        check_days(SCENARIO, &days, &[1, 2, 3]);
    }
}

/// Guards against the end of all runs in an outage of the store: it answers nobody, so that no member
/// takes over, and the owner extends leases on the promises of the others.
#[test]
fn an_outage_of_the_store_for_all_members_ends_no_run() {
    for kind in ["store_silent", "store_down"] {
        let text = format!("{SCENARIO}[[faults]]\nkind = \"{kind}\"\nat = 8.0\nfor_s = 9.0\n");
        let scenario = EmulationScenario::parse(&text).expect("the scenario is valid");
        for seed in 1..=3 {
            let outcome = run_scenario(&scenario, seed);
            assert_eq!(check(&outcome.history), [], "seed {seed}");
            let mut ends = outcome.history.runs.iter().map(|run| run.ended);
            let lapsed = ends
                .any(|end| end.is_some_and(|(_, kind)| kind == EndKind::Reported(TaskEnd::Lapsed)));
            assert!(!lapsed, "seed {seed}, {kind}");
        }
    }
}
