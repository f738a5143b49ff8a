//! Randomised exploration of the decisions: members, planners and operators over one log, with
//! late and repeated appends, delayed reads, pauses, crashes, replacements and lost VMs.

mod world;

use world::{PlantedFault, World, WorldReport};

const SCHEDULES: u64 = 300;
const STEPS: u64 = 400;

fn explore(fault: Option<PlantedFault>, schedules: u64) -> Result<WorldReport, String> {
    let mut sum = WorldReport::default();
    for seed in 0..schedules {
        let mut world = World::new(seed, fault);
        for step in 0..STEPS {
            world.act();
            world
                .check()
                .map_err(|broken| format!("seed {seed}, step {step}: {broken}"))?;
        }
        world.settle();
        world
            .check()
            .map_err(|broken| format!("seed {seed}, settled: {broken}"))?;
        world
            .check_converged()
            .map_err(|broken| format!("seed {seed}, settled: {broken}"))?;
        sum.add(&world.report);
    }
    Ok(sum)
}

#[test]
fn invariants_hold_on_every_schedule() {
    let report = explore(None, SCHEDULES).unwrap();
    println!("{SCHEDULES} schedules of {STEPS} steps: {report:?}");
    assert!(report.drains > 1_000, "{report:?}");
    assert!(report.moves > 100, "{report:?}");
    assert!(report.rejected > 100, "{report:?}");
    assert!(report.changes > 100, "{report:?}");
    assert!(report.dispatches > 1_000, "{report:?}");
    assert!(report.crashes > 100, "{report:?}");
    assert!(report.snapshot_starts > 50, "{report:?}");
}

#[test]
fn each_planted_fault_is_caught() {
    let cases = [
        (PlantedFault::ConfirmEarly, "two pools"),
        (PlantedFault::DrainUnasked, "budget"),
        (PlantedFault::LoadOldSnapshot, "reverted"),
        (PlantedFault::DispatchUnclaimed, "ran twice"),
        (PlantedFault::SkipRecord, "differ"),
        (PlantedFault::AppendStorm, "storm"),
    ];
    for (fault, expected) in cases {
        let caught = explore(Some(fault), SCHEDULES);
        let caught = caught.expect_err(&format!("{fault:?} is caught"));
        assert!(caught.contains(expected), "{fault:?}: {caught}");
    }
}
