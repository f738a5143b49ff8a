//! Randomised simulation of the decision logic: members, planners and operators share one log, with
//! delayed and duplicated appends, delayed reads, pauses, crashes, replaced members and lost VMs.

mod simulation;

use simulation::{ClusterSimulation, InjectedFault, SimulationReport};

const SCHEDULE_COUNT: u64 = 300;
const STEPS_PER_SCHEDULE: u64 = 400;

fn explore(fault: Option<InjectedFault>, schedule_count: u64) -> Result<SimulationReport, String> {
    let mut total = SimulationReport::default();
    for seed in 0..schedule_count {
        let mut simulation = ClusterSimulation::new(seed, fault);
        for step in 0..STEPS_PER_SCHEDULE {
            simulation.step();
            simulation
                .check_invariants()
                .map_err(|violation| format!("seed {seed}, step {step}: {violation}"))?;
        }
        simulation.converge();
        simulation
            .check_invariants()
            .map_err(|violation| format!("seed {seed}, after convergence: {violation}"))?;
        simulation
            .check_converged()
            .map_err(|violation| format!("seed {seed}, after convergence: {violation}"))?;
        total.add(&simulation.report);
    }
    Ok(total)
}

#[test]
fn invariants_hold_on_every_schedule() {
    let report = explore(None, SCHEDULE_COUNT).unwrap();
    println!("{SCHEDULE_COUNT} schedules of {STEPS_PER_SCHEDULE} steps: {report:?}");
    assert!(report.drains > 1_000, "{report:?}");
    assert!(report.moves > 100, "{report:?}");
    assert!(report.rejected > 100, "{report:?}");
    assert!(report.changes > 100, "{report:?}");
    assert!(report.dispatches > 1_000, "{report:?}");
    assert!(report.crashes > 100, "{report:?}");
    assert!(report.snapshot_starts > 50, "{report:?}");
}

#[test]
fn each_injected_fault_is_detected() {
    let cases = [
        (InjectedFault::ConfirmEarly, "two pools"),
        (InjectedFault::IgnoreRejectedDrain, "budget"),
        (InjectedFault::LoadOldSnapshot, "reverted"),
        (InjectedFault::DispatchBeforeClaim, "ran twice"),
        (InjectedFault::SkipRecord, "differ"),
        (InjectedFault::AppendStorm, "storm"),
    ];
    for (fault, expected) in cases {
        let result = explore(Some(fault), SCHEDULE_COUNT);
        let violation = result.expect_err(&format!("{fault:?} must be detected"));
        assert!(violation.contains(expected), "{fault:?}: {violation}");
    }
}
