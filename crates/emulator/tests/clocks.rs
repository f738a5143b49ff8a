//! Pattern: processes that start while the wall clocks of their machines are off. Each counts on from what it
//! read, so the clocks of two members may differ by any amount.

use jacinthhoist_core::job::TaskEnd;
use jacinthhoist_emulator::{EmulationScenario, EndKind, check, run_scenario};

/// Long tasks on workers that are cut off, while the owner changes every few seconds.
const SCENARIO: &str = r#"
    secs = 24
    members = 6
    workers = 9
    spare = 0
    [[loads]]
    per_sec = 1.2
    steps = 1
    tasks = 4
    task_ms = 6000
"#;

/// Adds faults to the text of a scenario.
fn with_faults(scenario: &str, faults: &[&str]) -> EmulationScenario {
    let faults = faults
        .iter()
        .map(|fault| format!("\n[[faults]]\n{fault}\n"));
    let text = scenario.to_owned() + &faults.collect::<String>();
    EmulationScenario::parse(&text).expect("the scenario is valid")
}

/// Faults of a day: the members are restarted in turn while `steps` are in force, then workers and the owner
/// are cut off by turns.
fn day(steps: &[(i64, f64)]) -> String {
    let mut faults = String::new();
    let mut add = |kind: &str, at: f64, rest: &str| {
        faults += &format!("[[faults]]\nkind = \"{kind}\"\nat = {at:.1}\n{rest}\n");
    };
    for (number, (step_ms, for_s)) in steps.iter().enumerate() {
        let rest = format!("for_s = {for_s:.1}\ncount = 2\nstep_ms = {step_ms}");
        add("clock_step", 0.1 + 0.1 * number as f64, &rest);
    }
    add("member_stop", 1.0, "count = 6");
    for number in 0..6 {
        let at = 8.0 + 3.0 * f64::from(number);
        add("worker_dark", at, "for_s = 4.0\ncount = 3");
        add("owner_store_cut", at + 1.0, "for_s = 4.0");
    }
    faults
}

fn check_days(steps: &[(i64, f64)], seeds: &[u64]) {
    let scenario = EmulationScenario::parse(&format!("{SCENARIO}{}", day(steps)));
    let scenario = scenario.expect("the scenario is valid");
    let mut broken = Vec::new();
    for seed in seeds {
        let violations = check(&run_scenario(&scenario, *seed).history);
        if !violations.is_empty() {
            broken.push((seed, violations));
        }
    }
    assert!(broken.is_empty(), "{steps:?}: {broken:?}");
}

/// Guards against two runs of a task at once (issue 58): an owner trusted the lease expiry that a member with a
/// clock far behind its own had stored, and released the runs before their lease ended.
#[test]
fn a_stored_lease_expiry_is_not_taken_for_reached_by_a_clock_that_is_ahead() {
    let pairs = [(-2_000, 10.0), (2_000, 10.0), (-2_000, 10.0), (2_000, 10.0)];
    check_days(&pairs, &[1, 2, 3, 4, 5, 6]);
}

/// Guards against the same with steps that last all day, and with steps far beyond any lease.
#[test]
fn no_bound_on_the_difference_of_clocks_is_assumed() {
    check_days(&[(-9_000, 60.0), (9_000, 60.0)], &[1, 2, 3, 4]);
    check_days(&[(-3_600_000, 60.0), (86_400_000, 12.0)], &[1, 2, 3, 4]);
}

/// Guards against the end of runs in an outage of the store: the process that took the place of another one had the
/// smaller number, as its clock had been set back, so that the owner waited for the promise of the ended one.
#[test]
fn a_process_whose_clock_was_set_back_is_known_to_have_replaced_the_one_before() {
    let faults = [
        "kind = \"clock_step\"\nat = 0.1\nfor_s = 4.0\ncount = 6\nstep_ms = 60_000",
        "kind = \"member_kill_all\"\nat = 0.5",
        "kind = \"member_kill\"\nat = 7.0\ncount = 2",
        "kind = \"store_silent\"\nat = 8.8\nfor_s = 9.0",
    ];
    let scenario = with_faults(SCENARIO, &faults);
    for seed in 1..=3 {
        let outcome = run_scenario(&scenario, seed);
        assert_eq!(check(&outcome.history), [], "seed {seed}");
        let ends = outcome.history.runs.iter().filter_map(|run| run.ended);
        let lapsed = ends.filter(|(_, end)| *end == EndKind::Reported(TaskEnd::Lapsed));
        assert_eq!(lapsed.count(), 0, "seed {seed}");
    }
}

/// Jobs that run three times, at times of day.
const REPEATED_JOBS: &str = r#"
    secs = 20
    members = 5
    workers = 4
    [[loads]]
    per_sec = 2.0
    steps = 2
    tasks = 2
    task_ms = 300
    repeats = 3
"#;

/// Guards against tasks that start before their time, or long after it: the owner went by the wall clock that its
/// process had read when it started, though the clock of its machine was off then.
#[test]
fn jobs_start_at_their_time_while_fewer_than_half_of_the_wall_clocks_are_off() {
    for step_ms in [-9_000, 9_000, 3_600_000] {
        for for_s in [4.0, 60.0] {
            let step = format!("for_s = {for_s:.1}\ncount = 2\nstep_ms = {step_ms}");
            let faults = [
                &format!("kind = \"clock_step\"\nat = 0.1\n{step}"),
                "kind = \"member_stop\"\nat = 0.5\ncount = 5",
                "kind = \"member_kill\"\nat = 12.0",
                "kind = \"member_kill\"\nat = 15.0",
            ];
            let scenario = with_faults(REPEATED_JOBS, &faults);
            for seed in 1..=4 {
                let outcome = run_scenario(&scenario, seed);
                let at = format!("{step_ms} ms for {for_s} s, seed {seed}");
                assert_eq!(check(&outcome.history), [], "{at}");
                let runs = &outcome.history.runs;
                assert!(runs.iter().any(|run| run.task.occurrence == 2), "{at}");
                for run in runs {
                    let repeat = outcome.history.jobs[&run.task.job].shape.repeat;
                    let repeat = repeat.expect("the job is repeated");
                    let due = repeat.start_of(run.task.occurrence);
                    let late_ms = (run.began_at - due).as_millis();
                    assert!(
                        late_ms < MAX_LATE_MS,
                        "{at}: {} is {late_ms} ms late",
                        run.task
                    );
                }
            }
        }
    }
}

/// Longest delay of a run that the faults of the test explain: a takeover, the first round of questions for the
/// time, and the runs that are repeated or wait for others.
const MAX_LATE_MS: u64 = 6_000;

/// Share of the jobs that are served in time on a day on which the members start again while two of their wall
/// clocks are off.
fn served_with_step(step_ms: i64) -> f64 {
    let foundry = include_str!("../examples/days/foundry.toml");
    let step =
        format!("kind = \"clock_step\"\nat = 0.0\nfor_s = 60.0\ncount = 2\nstep_ms = {step_ms}");
    let faults = [&*step, "kind = \"member_kill_all\"\nat = 0.3"];
    let scenario = with_faults(foundry, &faults);
    let seeds = [1, 2, 6];
    let served = seeds.map(|seed| run_scenario(&scenario, seed).served);
    served.iter().sum::<f64>() / seeds.len() as f64
}

/// Guards against jobs that are served last, and no VMs being moved for them, as they look late: the member that
/// accepted them had another clock than the owner, which compared the times of their receipt with its own.
#[test]
fn jobs_are_served_as_well_while_wall_clocks_are_off() {
    let served = served_with_step(0);
    for step_ms in [-60_000, 60_000] {
        let with_step = served_with_step(step_ms);
        assert!(
            with_step > served - 0.05,
            "{step_ms}: {with_step}, {served}"
        );
    }
}
