//! Pattern: workers are suspended after start orders that failed, and tried with one task.

use jacinthhoist_emulator::{EmulationScenario, check, run_scenario};

/// Guards against a trial that never ends: a suspended worker whose first task is a long-running one
/// took no other task again, so that a pool whose workers had all crashed once stood still.
#[test]
fn a_suspended_worker_with_a_long_running_task_takes_other_tasks_again() {
    let scenario = EmulationScenario::parse(
        r#"
        secs = 10
        workers = 2
        spare = 0
        [[loads]]
        per_sec = 4.0
        steps = 1
        tasks = 2
        task_ms = 300
        lasting = 1
        [[faults]]
        kind = "worker_crash"
        at = 2.0
        for_s = 1.0
        count = 2
        "#,
    );
    let scenario = scenario.expect("the scenario is valid");
    for seed in 1..=6 {
        let outcome = run_scenario(&scenario, seed);
        assert_eq!(check(&outcome.history), [], "seed {seed}");
    }
}
