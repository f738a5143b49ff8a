//! Pattern: schedules, policies of any figures, many attempts and little memory for jobs, while members and workers end
//! and the pools change hands.

use jacinthhoist_emulator::{EmulationScenario, check, run_scenario};

const FAULTS: &str = r#"
    [[faults]]
    kind = "member_kill"
    at = 3.0
    [[faults]]
    kind = "member_stop"
    at = 6.0
    count = 2
    [[faults]]
    kind = "owner_store_cut"
    at = 8.0
    for_s = 3.0
    [[faults]]
    kind = "worker_crash"
    at = 9.0
    count = 2
    [[faults]]
    kind = "member_kill"
    at = 12.0
"#;

fn check_day(name: &str, scenario: &str, seeds: std::ops::Range<u64>) {
    let scenario = EmulationScenario::parse(&format!("{scenario}{FAULTS}"));
    let scenario = scenario.expect("the scenario is valid");
    let (mut broken, mut jobs, count) = (Vec::new(), 0, seeds.end - seeds.start);
    for seed in seeds {
        let history = run_scenario(&scenario, seed).history;
        jobs += history.jobs.len() as u64;
        let violations = check(&history);
        if !violations.is_empty() {
            broken.push((seed, violations));
        }
    }
    assert!(broken.is_empty(), "{name}: {broken:?}");
    assert!(jobs >= count, "{name}: {jobs} jobs in {count} days");
}

/// Guards against steps that never start, or more than once, for the figures of their policy (LOST, TWICE).
#[test]
fn policies_of_any_figures_lose_no_job() {
    for (decide_ms, each_ms, valid_ms, one_in) in [
        (200, 60, 1_000, 1),
        (100, 400, 250, 2),
        (0, 10, 100, 3),
        (600, 5, 60_000, 2),
    ] {
        let scenario = format!(
            r#"
            secs = 14
            members = 4
            workers = 6
            spare = 0
            [policy]
            decide_ms = {decide_ms}
            each_ms = {each_ms}
            valid_ms = {valid_ms}
            one_in = {one_in}
            [[loads]]
            per_sec = 0.3
            steps = 1
            tasks = 3
            task_ms = 700
            "#
        );
        check_day(
            &format!("{decide_ms} {each_ms} {valid_ms}"),
            &scenario,
            1..4,
        );
    }
}

/// Guards against schedules whose times are left out or run twice around changes of the owner (LOST, TWICE).
#[test]
fn schedules_run_each_time_once_around_takeovers() {
    let scenario = r#"
        secs = 14
        members = 4
        workers = 6
        spare = 0
        job_memory_kb = 400
        [[loads]]
        per_sec = 0.6
        steps = 1
        tasks = 2
        task_ms = 400
        repeats = 12
        interval_ms = 700
    "#;
    check_day("schedules", scenario, 1..12);
}

/// Guards against jobs that are accepted and never run, as there is no memory for them (LOST).
#[test]
fn jobs_accepted_with_little_memory_run() {
    let scenario = r#"
        secs = 14
        members = 4
        workers = 6
        spare = 0
        job_memory_kb = 60
        [[loads]]
        per_sec = 4.0
        steps = 2
        tasks = 4
        task_ms = 400
        cpu = 1000
        cancels = 0.1
    "#;
    check_day("memory", scenario, 1..12);
}

/// Guards against a job that fails early or late where its tasks may fail often (BUDGET, LOST).
#[test]
fn all_attempts_are_made() {
    let scenario = r#"
        secs = 14
        members = 3
        workers = 6
        spare = 0
        max_failures = 5
        [[loads]]
        per_sec = 1.0
        steps = 1
        tasks = 2
        task_ms = 300
        hopeless = 0.2
        cancels = 0.2
    "#;
    check_day("attempts", scenario, 1..12);
}
