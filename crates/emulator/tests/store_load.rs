//! Pattern: many members append through a slow store, which processes the appends to a stream one
//! at a time.
//!
//! Retries of appends that are only slow, and probes of every member, occupy the store with work
//! that nobody waits for, so that the outage lasts longer than its cause.

use std::fmt::Write;

use jacinthhoist_core::ClockTime;
use jacinthhoist_emulator::{CallOutcome, EmulationScenario, ScenarioOutcome, check, run_scenario};

/// Duration of the fault.
const FAULT_TIME: ClockTime = ClockTime::from_secs(6);
/// Time after the end of the fault within which the service has to be back.
const RECOVERY_TIME: ClockTime = ClockTime::from_secs(1);
/// Period after that in which the service is measured.
const RETURN_PERIOD: ClockTime = ClockTime::from_secs(3);
/// Least share of the jobs that have to be accepted at the first attempt: a store that is slow, or
/// that turns some members away, is no reason to refuse a job.
const MIN_ACCEPTED: f64 = 0.99;

/// Runs a day with a fault from its third to its ninth second.
fn run_store_fault(members: usize, kind: &str) -> ScenarioOutcome {
    let fault_secs = FAULT_TIME.as_secs_f64();
    let scenario = EmulationScenario::parse(&format!(
        r#"
        secs = 14
        members = {members}
        workers = 40
        [[loads]]
        per_sec = 60.0
        steps = 1
        tasks = 2
        task_ms = 300
        cpu = 1000
        [[faults]]
        at = 3.0
        kind = "{kind}"
        for_s = {fault_secs:.1}
        count = {members}
        "#
    ));
    run_scenario(&scenario.expect("the scenario is valid"), 11)
}

/// Returns the share of the jobs that were accepted at the first attempt, of those that arrived
/// during the fault and of those that arrived after it.
fn accepted_shares(outcome: &ScenarioOutcome) -> [f64; 2] {
    let (from, _) = outcome.history.fault_spans[0];
    let share = |from: ClockTime, period: ClockTime| {
        let jobs = outcome.history.jobs.values();
        let arrived: Vec<_> = jobs
            .filter(|job| from <= job.first_at && job.first_at < from + period)
            .collect();
        let accepted = arrived.iter().filter(|job| {
            let first = job.attempts.first();
            first.is_some_and(|(_, outcome)| *outcome == CallOutcome::Accepted)
        });
        accepted.count() as f64 / arrived.len() as f64
    };
    let back = from + FAULT_TIME + RECOVERY_TIME;
    [share(from, FAULT_TIME), share(back, RETURN_PERIOD)]
}

/// Plays a fault with growing numbers of members and prints the shares as a table.
fn check_shares(kind: &str) {
    let (mut table, mut lowest) = (String::new(), 1.0_f64);
    for members in [6, 36, 97, 300] {
        let outcome = run_store_fault(members, kind);
        assert_eq!(check(&outcome.history), [], "{members} members");
        let [during, after] = accepted_shares(&outcome);
        let _ = writeln!(
            table,
            "{kind}, {members} members: {during:.3} during, {after:.3} after"
        );
        lowest = lowest.min(during).min(after);
    }
    println!("{table}");
    assert!(lowest > MIN_ACCEPTED, "\n{table}");
}

#[test]
fn a_slow_store_accepts_the_jobs_of_any_number_of_members() {
    check_shares("store_slow");
}

/// Regression test: members that the store turned away refused their callers, although the owner
/// could have stored the jobs (trouble-1 of the large foundry).
#[test]
fn members_that_the_store_turns_away_accept_jobs_through_the_owner() {
    check_shares("followers_store_cut");
}
