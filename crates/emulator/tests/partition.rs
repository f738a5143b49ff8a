//! Pattern: a partition with workers on both sides. The owner is on the smaller side, the store and the
//! members that replace it on the other.

use std::ops::RangeInclusive;

use jacinthhoist_core::job::TaskEnd;
use jacinthhoist_emulator::{
    CallOutcome, EmulationScenario, EndKind, ScenarioOutcome, check, run_scenario,
};

const SCENARIO: &str = r#"
    secs = 24
    members = 4
    workers = 9
    spare = 0
    [[loads]]
    per_sec = 1.2
    steps = 1
    tasks = 4
    task_ms = 6000
"#;

/// Checks days with a partition from 8 s on.
fn check_days(scenario: &str, partition: &str, seeds: &[u64]) {
    let text = format!("{scenario}[[faults]]\nkind = \"partition\"\nat = 8.0\n{partition}\n");
    let scenario = EmulationScenario::parse(&text).expect("the scenario is valid");
    for seed in seeds {
        let outcome = run_scenario(&scenario, *seed);
        assert_eq!(check(&outcome.history), [], "seed {seed}, {partition}");
    }
}

/// Guards against two runs of a task at once: an owner that the store had replaced went on renewing the
/// leases of the workers on its side, which the next owner could not reach (issue 43).
#[test]
fn a_former_owner_extends_no_leases_that_the_next_one_takes_for_lapsed() {
    check_days(SCENARIO, "for_s = 10.0", &[1, 2, 3, 4]);
    check_days(SCENARIO, "for_s = 5.0", &[1, 2, 3, 4]);
}

/// Guards against the same with a follower on the side of the owner, whose promise counts for itself only.
#[test]
fn promises_of_some_members_extend_no_leases() {
    let six_members = SCENARIO.replace("members = 4", "members = 6");
    check_days(&six_members, "for_s = 10.0\ncount = 2", &[1, 2, 3, 4]);
    check_days(
        &six_members,
        "for_s = 14.0\ncount = 3\nworker_share = 0.7",
        &[5, 6],
    );
}

/// Guards against the same while the store is away for all members at the beginning of the partition.
#[test]
fn promises_end_before_a_member_that_made_one_takes_over() {
    for (at, span) in [(7.0, 3.0), (9.0, 3.0), (6.0, 6.0)] {
        let outage = format!("kind = \"store_silent\"\nat = {at:.1}\nfor_s = {span:.1}");
        let days = format!("for_s = 10.0\n[[faults]]\n{outage}");
        check_days(SCENARIO, &days, &[1, 2, 3]);
    }
}

/// Returns the number of runs that ended with their leases.
fn count_lapsed(outcome: &ScenarioOutcome) -> usize {
    let ends = outcome.history.runs.iter().map(|run| run.ended);
    let lapsed =
        ends.filter(|end| end.is_some_and(|(_, kind)| kind == EndKind::Reported(TaskEnd::Lapsed)));
    lapsed.count()
}

/// Checks that days with an outage of the store end no run.
fn check_outages(faults: &str, seeds: RangeInclusive<u64>) {
    let scenario = EmulationScenario::parse(&format!("{SCENARIO}{faults}"));
    let scenario = scenario.expect("the scenario is valid");
    for seed in seeds {
        let outcome = run_scenario(&scenario, seed);
        assert_eq!(check(&outcome.history), [], "seed {seed}, {faults}");
        assert_eq!(count_lapsed(&outcome), 0, "seed {seed}, {faults}");
    }
}

/// Guards against the end of all runs in an outage of the store: it answers nobody, so that no member
/// takes over, and the owner extends leases on the promises of the others.
#[test]
fn an_outage_of_the_store_for_all_members_ends_no_run() {
    for kind in ["store_silent", "store_down"] {
        let outage = format!("[[faults]]\nkind = \"{kind}\"\nat = 8.0\nfor_s = 9.0\n");
        check_outages(&outage, 1..=3);
    }
}

/// Guards against the same beside a member that has just ended: the owner waited for the promise of its
/// process, and the process that took its place knew no owner while the store was silent.
#[test]
fn no_promise_of_a_process_that_has_ended_is_needed() {
    for at in [8.8, 9.0] {
        let kill = "[[faults]]\nkind = \"member_kill\"\nat = 7.0\ncount = 2\n";
        let outage = format!("[[faults]]\nkind = \"store_silent\"\nat = {at:.1}\nfor_s = 9.0\n");
        check_outages(&format!("{kill}{outage}"), 1..=3);
    }
}

/// Guards against an owner that is never replaced: a store that answers in between had told the others that
/// nobody owned the pools, and they went on promising not to take over.
#[test]
fn no_member_promises_that_the_store_has_told_of_a_vacancy() {
    let mut faults = "[[faults]]\nkind = \"owner_store_cut\"\nat = 8.0\nfor_s = 12.0\n".to_owned();
    for number in 0..15 {
        let at = 8.0 + 0.8 * f64::from(number);
        faults += &format!("[[faults]]\nkind = \"store_down\"\nat = {at:.2}\nfor_s = 0.65\n");
    }
    let scenario = EmulationScenario::parse(&format!("{SCENARIO}{faults}"));
    let scenario = scenario.expect("the scenario is valid");
    for seed in 1..=3 {
        let outcome = run_scenario(&scenario, seed);
        assert_eq!(check(&outcome.history), [], "seed {seed}");
        let successor = outcome.history.owners.get(1);
        assert!(successor.is_some(), "seed {seed}");
    }
}

/// Returns the answers "no such job" about jobs that had been accepted by then.
fn find_denied_jobs(outcome: &ScenarioOutcome) -> Vec<String> {
    let mut denied = Vec::new();
    for (id, job) in &outcome.history.jobs {
        let mut attempts = job.attempts.iter();
        let accepted = attempts.find(|(_, outcome)| *outcome == CallOutcome::Accepted);
        let Some((accepted_at, _)) = accepted else {
            continue;
        };
        let mut states = job.reported_states.iter();
        if let Some((at, _)) = states.find(|(_, state)| state.is_none()) {
            denied.push(format!("{id}, accepted at {accepted_at}: denied at {at}"));
        }
    }
    denied
}

/// Guards against an accepted job that is answered with "no such job" (LOST): an owner that was cut off
/// from the store took a read of before the acceptance by another member for proof that there is none.
#[test]
fn an_owner_that_is_cut_off_denies_no_job_that_another_member_has_accepted() {
    let busy = SCENARIO.replace("secs = 24", "secs = 12");
    let busy = busy.replace("per_sec = 1.2", "per_sec = 25.0");
    let busy = busy.replace("tasks = 4", "tasks = 1\n    asks_at_once = true");
    let busy = busy.replace("6000", "300");
    for (kind, count) in [("partition", 1), ("partition", 2), ("owner_store_cut", 1)] {
        let fault = format!("kind = \"{kind}\"\nat = 4.0\nfor_s = 5.0\ncount = {count}\n");
        let scenario = EmulationScenario::parse(&format!("{busy}[[faults]]\n{fault}"));
        let scenario = scenario.expect("the scenario is valid");
        for seed in 1..=4 {
            let outcome = run_scenario(&scenario, seed);
            let expected: [String; 0] = [];
            assert_eq!(find_denied_jobs(&outcome), expected, "seed {seed}, {fault}");
        }
    }
}
