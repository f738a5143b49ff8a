//! Pattern: the capacity of workers shrinks and grows again while they run.

use jacinthhoist_emulator::{EmulationScenario, check, run_scenario};

/// Guards against starts beyond the capacity that a worker has left, which a worker that does not
/// guard its capacity carries out.
#[test]
fn workers_get_no_tasks_beyond_a_capacity_that_has_shrunk() {
    for guarded in [true, false] {
        let scenario = EmulationScenario::parse(&format!(
            r#"
            secs = 14
            workers = 4
            spare = 0
            guarded = {guarded}
            [[loads]]
            per_sec = 3.0
            steps = 2
            tasks = 4
            task_ms = 700
            cpu = 3000
            lasting = 1
            [[faults]]
            kind = "capacity_shrink"
            at = 1.0
            count = 2
            for_s = 9.0
            [[faults]]
            kind = "capacity_shrink"
            at = 4.0
            count = 3
            for_s = 8.0
            "#
        ));
        let scenario = scenario.expect("the scenario is valid");
        for seed in 1..=6 {
            let outcome = run_scenario(&scenario, seed);
            let violations = check(&outcome.history);
            assert_eq!(violations, [], "seed {seed}, guarded: {guarded}");
        }
    }
}
