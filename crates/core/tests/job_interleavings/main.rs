//! Random interleavings around one owner's scheduler: model workers, a network that delays, loses and
//! reorders calls, slow batches, and takeovers, in virtual time.

mod checks;
mod engine;
mod network;
mod setting;
mod store;
mod worker;
mod world;

use world::{Terms, World};

/// Number of schedules of a test; `JACINTHHOIST_SEEDS` replaces it.
const SCHEDULES: u64 = 40;
/// Seeds with a deadline on the clock of an earlier process, and with an order that outlives its process.
const UNBOUND_SEED: u64 = 14_337;
const LATE_SEED: u64 = 122;
/// Seeds with tasks on a restarted worker that may not run them: placed by the entry of its earlier process, and
/// placed before the restart.
const ENTRY_SEEDS: [u64; 4] = [12, 61, 113, 285];
const PLACED_SEEDS: [u64; 4] = [244, 507, 944, 1_145];

/// Seeds with runs that no record names to a new owner: of a copy's original, behind a late report of an earlier run's end,
/// and of a gang that another member has completed.
const UNNAMED_SEEDS: [u64; 4] = [2_570, 3_636, 6_252, 9_725];

fn number_from(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| text.parse().expect("a number"))
}

/// Plays schedules by the environment's seeds; `JACINTHHOIST_UNBOUND` lets a deadline reach a later process, and
/// `JACINTHHOIST_OUTLIVES` any call on its way. Both break TWICE.
fn explore(terms: Terms) {
    let is_set = |name: &str| std::env::var_os(name).is_some();
    let terms = Terms {
        bound_deadlines: terms.bound_deadlines && !is_set("JACINTHHOIST_UNBOUND"),
        outlives_process: is_set("JACINTHHOIST_OUTLIVES"),
        ..terms
    };
    let from = number_from("JACINTHHOIST_SEEDS_FROM", 1);
    let count = number_from("JACINTHHOIST_SEEDS", SCHEDULES);
    explore_seeds(terms, from..from + count);
}

fn explore_seeds(terms: Terms, seeds: impl IntoIterator<Item = u64>) {
    let mut broken = Vec::new();
    let (mut count, mut starts) = (0, 0);
    for seed in seeds {
        count += 1;
        let is_traced = std::env::var_os("JACINTHHOIST_TRACE").is_some();
        let mut world = World::new(seed, terms, is_traced);
        let result = world.play();
        for line in world.trace.iter().flatten() {
            println!("{line}");
        }
        starts += world.checks.starts;
        if let Err(rule) = result {
            broken.push(format!("seed {seed}: {rule}"));
        }
    }
    println!("{count} schedules, {starts} starts");
    assert!(
        broken.is_empty(),
        "{} broken:\n{}",
        broken.len(),
        broken.join("\n")
    );
}

/// Workers stay; their entries come and go, and calls and batches are late, lost or overtaken.
#[test]
fn no_task_runs_twice_on_workers_that_stay() {
    explore(Terms {
        removals: true,
        ..Terms::default()
    });
}

/// Another member takes over while the calls of the one before are on their way.
#[test]
fn no_task_runs_twice_around_takeovers() {
    explore(Terms {
        removals: true,
        takeovers: true,
        ..Terms::default()
    });
}

/// Workers restart under their ids, at their address or another one, are replaced, or drain and leave. A
/// deadline reaches only the process whose clock it is on.
#[test]
fn no_task_runs_twice_around_restarts() {
    explore(Terms {
        restarts: true,
        removals: true,
        takeovers: true,
        bound_deadlines: true,
        ..Terms::default()
    });
}

/// Steps of owners take up to seconds, their calls leave the process as late, and their clocks differ by hours.
#[test]
fn no_task_runs_twice_under_slow_owners() {
    explore(Terms {
        restarts: true,
        removals: true,
        takeovers: true,
        bound_deadlines: true,
        slow_owners: true,
        ..Terms::default()
    });
}

/// Workers restart with other labels and less room, and their entries come before or after their first reports. No
/// task begins on a worker that its step or its room rules out.
#[test]
fn tasks_begin_only_on_workers_that_may_run_them_around_restarts() {
    let terms = Terms {
        restarts: true,
        removals: true,
        takeovers: true,
        bound_deadlines: true,
        differing_shapes: true,
        ..Terms::default()
    };
    explore(terms);
    explore_seeds(terms, ENTRY_SEEDS.into_iter().chain(PLACED_SEEDS));
}

/// Other members take over while every tenant is at its limit, and calls, ends and batches are late or lost. What a
/// tenant has running on all processes never exceeds its limit, unless it is a single task.
#[test]
fn no_tenant_exceeds_its_limit_around_takeovers() {
    explore(Terms {
        removals: true,
        takeovers: true,
        tenants: true,
        ..Terms::default()
    });
}

/// The same while workers restart under their ids.
#[test]
fn no_tenant_exceeds_its_limit_around_restarts() {
    let terms = Terms {
        restarts: true,
        removals: true,
        takeovers: true,
        bound_deadlines: true,
        tenants: true,
        ..Terms::default()
    };
    explore(terms);
    explore_seeds(terms, UNNAMED_SEEDS);
}

/// The schedules find what an order to an earlier process does where nothing keeps it from a later one.
#[test]
fn orders_to_earlier_processes_are_detected() {
    let bound = Terms {
        restarts: true,
        removals: true,
        takeovers: true,
        bound_deadlines: true,
        ..Terms::default()
    };
    let unbound = Terms {
        bound_deadlines: false,
        ..bound
    };
    let late = Terms {
        outlives_process: true,
        ..bound
    };
    for (terms, seed) in [(unbound, UNBOUND_SEED), (late, LATE_SEED)] {
        let broken = World::new(seed, terms, false).play();
        let rule = broken.expect_err("the order must be detected");
        assert!(rule.starts_with("TWICE"), "{rule}");
    }
}
