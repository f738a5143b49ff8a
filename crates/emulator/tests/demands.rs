//! Jobs that ask for more than the others, beside usual ones.

use jacinthhoist_emulator::{EmulationScenario, check, run_scenario};

/// Usual jobs beside a few unusual ones, and beside long ones with more tasks than workers, each of which
/// takes a worker of its own.
const DAY: &str = r#"
    secs = 26
    workers = 4
    spare = 0
    worker_cpu = 16000
    [[loads]]
    pool = "moulding"
    per_sec = 6.0
    surge = 5.0
    turn_secs = 13
    steps = 1
    tasks = 4
    task_ms = 600
    cpu = 1000
    unusual = 0.15
    [[loads]]
    pool = "moulding"
    per_sec = 1.2
    steps = 1
    tasks = 5
    task_ms = 6000
    cpu = 500
    max_per_worker = 1
    [[loads]]
    pool = "other"
    per_sec = 1.0
    turn_secs = 13
    steps = 1
    tasks = 1
    task_ms = 100
    cpu = 1000
"#;

/// Regression test (LOST): jobs that waited, for room that no worker has, for their own limit on each worker
/// or for a whole worker, ended the search of the queue, and jobs behind them were never started.
#[test]
fn unusual_jobs_hold_up_no_others() {
    let scenario = EmulationScenario::parse(DAY).expect("the scenario is valid");
    for seed in 1..=4 {
        let outcome = run_scenario(&scenario, seed);
        assert_eq!(check(&outcome.history), [], "seed {seed}");
        println!("seed {seed}: served {:.3}", outcome.served);
    }
}
