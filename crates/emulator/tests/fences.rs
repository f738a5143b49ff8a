//! Pattern: workers refuse the orders of an owner, as they have seen the token of a later one.

use jacinthhoist_emulator::{EmulationScenario, check, run_scenario};

/// Guards against an owner that goes on sending orders after a worker has refused a start for a later owner:
/// only the refusal of a renewal ended its ownership, up to 3 s later at idle workers (issue 49).
#[test]
fn an_owner_sends_no_orders_after_a_start_was_refused_for_a_later_one() {
    let scenario = EmulationScenario::parse(
        r#"
        secs = 10
        workers = 12
        [[loads]]
        per_sec = 6.0
        steps = 1
        tasks = 4
        task_ms = 700
        [[faults]]
        kind = "workers_ahead"
        at = 3.0
        [[faults]]
        kind = "workers_ahead"
        at = 6.0
        "#,
    );
    let scenario = scenario.expect("the scenario is valid");
    for seed in 1..=10 {
        let history = run_scenario(&scenario, seed).history;
        assert_eq!(history.orders_after_fence, 0, "seed {seed}");
        assert_eq!(check(&history), [], "seed {seed}");
    }
}
