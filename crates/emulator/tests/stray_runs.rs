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

/// Guards against a start without an answer that is carried out after its worker's lease has lapsed and
/// been renewed, beside the run that replaced it: a late order lives longer than a lease.
#[test]
fn a_late_start_does_not_begin_after_the_lease_of_its_worker_has_lapsed() {
    let fault = |kind: &str, at: f64, for_s: f64, count: u32| {
        format!("[[faults]]\nkind = \"{kind}\"\nat = {at}\nfor_s = {for_s}\ncount = {count}\n")
    };
    let load = BASE_SCENARIO
        .replace("secs = 16", "secs = 22")
        .replace("worker_cpu = 6000", "worker_cpu = 16000")
        .replace("per_sec = 1.5", "per_sec = 1.0")
        .replace("task_ms = 2000", "task_ms = 2500")
        .replace("speculative = true", "speculative = false");
    let faults: String = [2.0, 12.0]
        .map(|at| {
            let late = fault("worker_late", at, 0.5, 8);
            late + &fault("worker_dark", at + 0.6, 6.5, 5)
        })
        .concat();
    let scenario = EmulationScenario::parse(&format!("{load}{faults}"));
    let scenario = scenario.expect("the scenario is valid");
    for seed in [2, 3, 6, 7, 10, 14] {
        let outcome = run_scenario(&scenario, seed);
        assert_eq!(check(&outcome.history), [], "seed {seed}");
    }
}
