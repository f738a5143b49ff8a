//! Pattern: runs that the owner has given up, and that are still in progress on their workers.

use jacinthhoist_emulator::{EmulationScenario, check, run_scenario};

/// Speculative tasks, whose runs are given up as soon as their worker is silent.
const BASE_SCENARIO: &str = r#"
secs = 16
workers = 8
spare = 0
worker_cpu = 6000
[[loads]]
per_sec = 1.5
steps = 2
tasks = 4
task_ms = 2000
cpu = 1800
speculative = true
"#;

/// Workers that are cut off for a moment, three times.
const SHORT_SILENCES: &str = r#"
[[faults]]
kind = "worker_dark"
at = 3.0
count = 3
for_s = 1.0
[[faults]]
kind = "worker_dark"
at = 7.0
count = 3
for_s = 1.0
[[faults]]
kind = "worker_dark"
at = 11.0
count = 3
for_s = 1.0
"#;

/// Workers that carry out orders late, beside short silences.
const LATE_ORDERS: &str = r#"
[[faults]]
kind = "worker_late"
at = 2.0
count = 2
for_s = 2.0
[[faults]]
kind = "worker_late"
at = 6.0
count = 2
for_s = 2.0
"#;

/// Changes of the owner during short silences: the records do not name the runs given up.
const TAKEOVERS: &str = r#"
[[faults]]
kind = "member_kill"
at = 4.0
for_s = 1.0
[[faults]]
kind = "member_kill"
at = 8.0
for_s = 1.0
"#;

fn check_scenarios(header: &str, load: &str) {
    let faults = [
        ("short silences", SHORT_SILENCES.to_owned()),
        ("late orders", format!("{SHORT_SILENCES}{LATE_ORDERS}")),
        ("takeovers", format!("{SHORT_SILENCES}{TAKEOVERS}")),
    ];
    for (name, faults) in faults {
        let scenario = format!("{header}{BASE_SCENARIO}{load}{faults}");
        let scenario = EmulationScenario::parse(&scenario).expect("the scenario is valid");
        for seed in 2..=4 {
            let outcome = run_scenario(&scenario, seed);
            let violations = check(&outcome.history);
            assert_eq!(violations, [], "{name}, seed {seed}");
        }
    }
}

/// Guards against more tasks of a step on a worker than the step allows: a run that was given up and
/// is still in progress counts, also beside a later run of its own task.
#[test]
fn a_step_keeps_to_its_limit_on_workers_that_were_silent() {
    check_scenarios("", "max_per_worker = 1\n");
}

/// Guards against starts beyond the capacity that runs given up leave on a worker, which a worker
/// that does not guard its capacity carries out.
#[test]
fn workers_that_were_silent_get_no_tasks_beyond_their_capacity() {
    check_scenarios("guarded = false\n", "");
}
