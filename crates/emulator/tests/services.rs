//! Pattern: long-running jobs whose workers crash, while their owner is replaced or suspended, or a wave
//! is under way.

use jacinthhoist_emulator::{EmulationScenario, check, run_scenario};

const SCENARIO: &str = r#"
    secs = 22
    members = 4
    workers = 6
    spare = 2
    [[loads]]
    per_sec = 2.0
    steps = 1
    tasks = 4
    task_ms = 600
    lasting = 3
"#;

fn fault(kind: &str, at: f64, for_s: f64, count: usize) -> String {
    format!("[[faults]]\nkind = \"{kind}\"\nat = {at}\nfor_s = {for_s}\ncount = {count}\n")
}

/// Crashes of half of the workers every two seconds.
fn crash_series() -> String {
    let times = (1..9).map(|number| 2.0 * f64::from(number));
    times.map(|at| fault("worker_crash", at, 1.2, 3)).collect()
}

/// Guards against sound runs of a service that are stopped while others of it are away, as a task is given
/// up whose workers have crashed, or by an owner that does not know what is away.
#[test]
fn services_stay_available_while_their_workers_crash() {
    for beside in [
        String::new(),
        fault("wave", 3.0, 0.1, 1),
        fault("member_freeze", 5.1, 3.5, 1) + &fault("member_freeze", 12.3, 3.5, 1),
        fault("member_kill", 4.1, 1.0, 1)
            + &fault("wave", 4.0, 0.1, 1)
            + &fault("member_stop", 9.4, 1.0, 1)
            + &fault("store_deal", 14.6, 0.1, 1),
    ] {
        let text = format!("{SCENARIO}{}{beside}", crash_series());
        let scenario = EmulationScenario::parse(&text).expect("the scenario is valid");
        for seed in 1..=3 {
            let outcome = run_scenario(&scenario, seed);
            assert_eq!(check(&outcome.history), [], "seed {seed} of {beside}");
        }
    }
}
