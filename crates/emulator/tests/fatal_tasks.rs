//! Pattern: a task crashes each worker that starts it, and all other runs there end with it.

use std::collections::BTreeMap;

use jacinthhoist_core::job::TaskKey;
use jacinthhoist_emulator::{
    EmulationScenario, EndKind, FaultKind, ScenarioOutcome, check, run_scenario,
};
use rand::{SeedableRng, rngs::StdRng};

/// Number of fault kinds that existed when the seeds of the random days were recorded.
const KIND_COUNT: usize = 28;

const FOUNDRY_SCENARIO: &str = include_str!("../examples/days/foundry.toml");

/// Jobs of two kinds on eight workers each; those of the first kind are affected.
const BASE_SCENARIO: &str = r#"
    secs = 12
    members = 4
    workers = 8
    [[loads]]
    pool = "mould"
    per_sec = 6.0
    steps = 1
    tasks = 4
    task_ms = 800
    [[loads]]
    pool = "quotes"
    per_sec = 2.0
    steps = 2
    tasks = 3
    task_ms = 400
"#;

/// Some jobs of the first kind have a fatal task.
const FATAL_TASKS: &str = r#"
    [[faults]]
    at = 1.0
    kind = "fatal_tasks"
    pool = "mould"
    share = 0.06
    for_s = 8.0
"#;

fn fault(kind: &str, at: f64, for_s: f64, count: usize) -> String {
    format!("[[faults]]\nkind = \"{kind}\"\nat = {at}\nfor_s = {for_s}\ncount = {count}\n")
}

/// Runs a scenario and asserts that no rule is violated.
fn run_without_violations(scenario: &str, seed: u64) -> ScenarioOutcome {
    let parsed = EmulationScenario::parse(scenario).expect("the scenario is valid");
    let outcome = run_scenario(&parsed, seed);
    assert_eq!(check(&outcome.history), [], "seed {seed} of {scenario}");
    outcome
}

/// Runs the base scenario with fatal tasks beside other faults, for seeds from 1.
fn assert_no_violations_beside(faults: &str, seeds: u64) {
    for kind in ["fatal_tasks", "late_fatal_tasks"] {
        let fatal_tasks = FATAL_TASKS.replace("fatal_tasks", kind);
        for seed in 1..=seeds {
            let scenario = format!("{BASE_SCENARIO}{fatal_tasks}{faults}");
            let outcome = run_without_violations(&scenario, seed);
            let mut runs = outcome.history.runs.iter();
            assert!(runs.any(|run| run.crashed_worker), "seed {seed} of {kind}");
        }
    }
}

/// Guards against a task that is started again after each crash of its worker: one was started 194
/// times in a day, and crashed worker after worker.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    assert_no_violations_beside("", 4);
}

/// Guards against crashes that only the owner of that time knows of.
#[test]
fn crashes_are_counted_across_changes_of_the_owner() {
    for kind in [
        "member_kill",
        "member_stop",
        "member_freeze",
        "member_kill_all",
    ] {
        let faults: Vec<String> = [2.0, 4.0, 6.0, 8.0, 10.0]
            .map(|at| fault(kind, at, 1.5, 1))
            .into();
        assert_no_violations_beside(&faults.concat(), 3);
    }
}

/// Guards against crashes that are counted only once the store has answered.
#[test]
fn crashes_are_counted_while_the_store_is_slow() {
    for kind in ["store_slow", "store_lost", "store_late"] {
        assert_no_violations_beside(&fault(kind, 1.5, 9.0, 1), 2);
    }
    for kind in ["store_down", "store_silent"] {
        let faults = fault(kind, 2.0, 2.5, 1) + &fault(kind, 7.0, 2.5, 1);
        assert_no_violations_beside(&faults, 2);
    }
}

/// Guards against jobs that are given up for crashes that others caused.
#[test]
fn innocent_jobs_are_done_beside_fatal_tasks_and_other_faults_of_workers() {
    for kind in [
        "worker_crash",
        "worker_dark",
        "worker_gone",
        "worker_late",
        "worker_slow",
    ] {
        let count = if kind == "worker_gone" { 1 } else { 3 };
        let faults: Vec<String> = [2.0, 4.0, 6.0, 8.0]
            .map(|at| fault(kind, at, 1.5, count))
            .into();
        assert_no_violations_beside(&faults.concat(), 2);
    }
}

/// Jobs of long tasks on three workers, without a fatal one among them.
const INNOCENT_SCENARIO: &str = r#"
    secs = 12
    workers = 3
    spare = 0
    [[loads]]
    per_sec = 0.8
    steps = 2
    tasks = 3
    task_ms = 2000
    lasting = 1
"#;

/// Guards against jobs that are given up because all their workers end at once, as when a rack
/// fails.
#[test]
fn innocent_jobs_are_done_although_all_workers_end_at_once() {
    for (kind, for_s) in [
        ("worker_crash", 0.6),
        ("worker_crash", 2.5),
        ("worker_dark", 4.5),
    ] {
        let faults: Vec<String> = [1.0, 6.0, 11.0].map(|at| fault(kind, at, for_s, 3)).into();
        for seed in 1..=3 {
            run_without_violations(&format!("{INNOCENT_SCENARIO}{}", faults.concat()), seed);
        }
    }
}

/// Guards against jobs that are given up because their workers end before any of their tasks can.
#[test]
fn innocent_jobs_are_done_although_their_workers_end_again_and_again() {
    let times = [1.0, 2.6, 4.2, 5.8, 7.4];
    let faults: Vec<String> = times.map(|at| fault("worker_crash", at, 0.6, 3)).into();
    for seed in 1..=3 {
        let scenario = format!("{INNOCENT_SCENARIO}{}", faults.concat());
        let outcome = run_without_violations(&scenario, seed);
        let mut lost_runs: BTreeMap<TaskKey, usize> = BTreeMap::new();
        for run in &outcome.history.runs {
            let is_lost = matches!(run.ended, Some((_, EndKind::ProcessLost)));
            *lost_runs.entry(run.task).or_default() += usize::from(is_lost);
        }
        assert!(lost_runs.values().any(|count| *count > 3), "seed {seed}");
    }
}

/// Guards against speculative tasks that are started again as soon as their worker is silent: one
/// was started up to 20 times a second.
#[test]
fn a_speculative_task_that_crashes_its_workers_is_given_up() {
    let speculative = BASE_SCENARIO.replace("tasks = 4", "tasks = 4\nspeculative = true");
    for kind in ["fatal_tasks", "late_fatal_tasks"] {
        let fatal_tasks = FATAL_TASKS.replace("fatal_tasks", kind);
        for seed in 1..=3 {
            run_without_violations(&format!("{speculative}{fatal_tasks}"), seed);
        }
    }
}

/// Random faults of all kinds beside fatal tasks.
#[test]
fn random_faults_beside_fatal_tasks_cause_no_violations() {
    let fatal_tasks = FATAL_TASKS.replace("\"mould\"", "\"moulding\"");
    let scenario = format!("{FOUNDRY_SCENARIO}{fatal_tasks}");
    let scenario = EmulationScenario::parse(&scenario).expect("the scenario is valid");
    for seed in 1..=8 {
        let mut rng = StdRng::seed_from_u64(seed);
        let scenario = scenario
            .clone()
            .with_faults(&FaultKind::ALL[..KIND_COUNT], 4, &mut rng);
        let outcome = run_scenario(&scenario, seed);
        assert_eq!(check(&outcome.history), [], "seed {seed}");
    }
}
