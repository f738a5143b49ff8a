//! Pattern: a task crashes each worker that starts it, and all other runs there end with it.

use jacinthhoist_emulator::{EmulationScenario, ScenarioOutcome, check, run_scenario};

/// Jobs of two kinds on six workers; those of the first kind are affected.
const BASE_SCENARIO: &str = r#"
    secs = 12
    members = 3
    workers = 6
    [[loads]]
    pool = "mould"
    per_sec = 5.0
    steps = 1
    tasks = 4
    task_ms = 600
    [[loads]]
    pool = "quotes"
    per_sec = 2.0
    steps = 2
    tasks = 3
    task_ms = 400
"#;

/// Jobs of the first kind have a fatal task.
const FATAL_TASKS: &str = r#"
    [[faults]]
    at = 1.0
    kind = "fatal_tasks"
    pool = "mould"
    share = 0.1
    for_s = 8.0
"#;

/// Runs the scenario with some faults and asserts that no rule is violated.
fn run_without_violations(faults: &str, seed: u64) -> ScenarioOutcome {
    let scenario = EmulationScenario::parse(&format!("{BASE_SCENARIO}{faults}"));
    let outcome = run_scenario(&scenario.expect("the scenario is valid"), seed);
    let violations = check(&outcome.history);
    assert_eq!(violations, [], "seed {seed} of {faults}");
    let crashes = outcome.history.runs.iter().filter(|run| run.crashed_worker);
    assert!(crashes.count() > 0, "seed {seed} of {faults}");
    outcome
}

/// Guards against a task that is started again after each crash of its worker: one run was started
/// 194 times in a day, and crashed worker after worker.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    for seed in 1..=4 {
        run_without_violations(FATAL_TASKS, seed);
    }
}

/// The same with a crash a second or two after the start, when other runs have begun beside it.
#[test]
fn a_task_that_crashes_its_workers_late_is_given_up() {
    let faults = FATAL_TASKS.replace("fatal_tasks", "late_fatal_tasks");
    for seed in 1..=4 {
        run_without_violations(&faults, seed);
    }
}
