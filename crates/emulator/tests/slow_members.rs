//! Pattern: members that are late with whatever they send and read, by up to seconds, while their clocks differ and the
//! owner changes.

use jacinthhoist_emulator::{EmulationScenario, check, run_scenario};

/// Long tasks beside short ones on workers that are cut off by turns.
const SCENARIO: &str = r#"
    secs = 24
    members = 6
    workers = 9
    spare = 0
    [[loads]]
    per_sec = 1.2
    steps = 1
    tasks = 4
    task_ms = 6000
    [[loads]]
    per_sec = 2.0
    steps = 2
    tasks = 3
    task_ms = 500
"#;

/// Faults of a day: clocks are off all day, the members are restarted in turn and are slow, and workers and the owner
/// are cut off by turns.
fn day(delay_ms: u64, slow_members: usize) -> String {
    let mut faults = String::new();
    let mut add = |kind: &str, at: f64, rest: &str| {
        faults += &format!("[[faults]]\nkind = \"{kind}\"\nat = {at:.1}\n{rest}\n");
    };
    add(
        "clock_step",
        0.1,
        "for_s = 60.0\ncount = 3\nstep_ms = -3600000",
    );
    add("clock_step", 0.2, "for_s = 60.0\ncount = 3\nstep_ms = 9000");
    add("member_stop", 1.0, "count = 6");
    for number in 0..5 {
        let at = 7.0 + 3.4 * f64::from(number);
        let rest = format!("for_s = 3.0\ncount = {slow_members}\ndelay_ms = {delay_ms}");
        add("member_slow", at, &rest);
        add("worker_dark", at + 0.3, "for_s = 4.0\ncount = 3");
        add("owner_store_cut", at + 1.0, "for_s = 4.0");
    }
    faults
}

fn check_days(delay_ms: u64, slow_members: usize, seeds: &[u64]) {
    let scenario = EmulationScenario::parse(&format!("{SCENARIO}{}", day(delay_ms, slow_members)));
    let scenario = scenario.expect("the scenario is valid");
    let mut broken = Vec::new();
    for seed in seeds {
        let violations = check(&run_scenario(&scenario, *seed).history);
        if !violations.is_empty() {
            broken.push((seed, violations));
        }
    }
    assert!(broken.is_empty(), "{delay_ms} ms: {broken:?}");
}

/// Guards against two runs of a task at once, and against jobs that never run, under an owner that is slow.
#[test]
fn a_slow_owner_starts_no_task_twice() {
    check_days(300, 1, &[1, 2, 3, 4]);
    check_days(2_000, 1, &[1, 2, 3, 4]);
}

/// The same where its followers are slow as well, so that heartbeats, promises and takeovers are late.
#[test]
fn slow_followers_take_over_no_earlier_than_the_leases_allow() {
    check_days(300, 6, &[1, 2, 3, 4]);
    check_days(2_000, 6, &[1, 2, 3, 4]);
}
