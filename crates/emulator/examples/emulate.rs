//! Command-line tool that runs scenarios on the emulator.
//!
//! ```text
//! emulate run DAY [--seed N] [--faults K] [--story] [--log]
//!                                       one scenario, with its figures and violations
//! emulate hunt DAY [--days N] [--faults K] [--from SEED]
//!                                       scenarios with random faults, to find violations
//! emulate compare DAY [--days N] [--plot FILE]
//!                                       service by members and faults, as a table and a plot
//! ```

use std::{path::PathBuf, process::ExitCode, sync::Mutex, thread, time::Instant};

use bpaf::Bpaf;
use jacinthhoist_emulator::{
    EmulationHistory, EmulationScenario, RuleViolation, ScenarioOutcome, check, run_scenario,
    run_scenario_logged,
};
use plotters::prelude::*;
use rand::{SeedableRng, rngs::StdRng};

type BoxedError = Box<dyn std::error::Error>;

/// Runs scenarios on the emulator
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum EmulatorCommand {
    /// Runs one scenario and prints its figures and violations
    #[bpaf(command)]
    Run {
        /// Seed of load, faults and delays
        #[bpaf(fallback(1), display_fallback)]
        seed: u64,
        /// Number of random faults added to those of the scenario
        #[bpaf(fallback(0), display_fallback)]
        faults: usize,
        /// Also prints the history of the jobs concerned by violations
        #[bpaf(switch)]
        story: bool,
        /// Also prints the members' log lines
        #[bpaf(switch)]
        log: bool,
        /// Scenario file
        #[bpaf(positional("DAY"))]
        day: PathBuf,
    },
    /// Runs scenarios with random faults to find violations
    #[bpaf(command)]
    Hunt {
        /// Number of scenarios
        #[bpaf(fallback(40), display_fallback)]
        days: u64,
        /// Number of random faults in each scenario
        #[bpaf(fallback(4), display_fallback)]
        faults: usize,
        /// First seed
        #[bpaf(fallback(1), display_fallback)]
        from: u64,
        /// Scenario file
        #[bpaf(positional("DAY"))]
        day: PathBuf,
    },
    /// Prints service by number of members and faults, as a table and a plot
    #[bpaf(command)]
    Compare {
        /// Number of scenarios for each figure
        #[bpaf(fallback(8), display_fallback)]
        days: u64,
        /// Path of the plot, an SVG file
        plot: Option<PathBuf>,
        /// Scenario file
        #[bpaf(positional("DAY"))]
        day: PathBuf,
    },
}

fn main() -> ExitCode {
    let result = match emulator_command().run() {
        EmulatorCommand::Run {
            seed,
            faults,
            story,
            log,
            day,
        } => run(&day, faults, seed, (story, log)),
        EmulatorCommand::Hunt {
            days,
            faults,
            from,
            day,
        } => hunt(&day, days, faults, from),
        EmulatorCommand::Compare { days, plot, day } => compare(&day, days, plot),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("emulate: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read_scenario(path: &PathBuf) -> Result<EmulationScenario, BoxedError> {
    Ok(EmulationScenario::parse(&std::fs::read_to_string(path)?)?)
}

/// Adds random faults drawn from a seed.
fn with_random_faults(
    scenario: &EmulationScenario,
    fault_count: usize,
    seed: u64,
) -> EmulationScenario {
    let mut rng = StdRng::seed_from_u64(seed);
    scenario
        .clone()
        .with_faults(&scenario.fault_kinds(), fault_count, &mut rng)
}

fn run(
    path: &PathBuf,
    fault_count: usize,
    seed: u64,
    (story, log): (bool, bool),
) -> Result<bool, BoxedError> {
    let scenario = with_random_faults(&read_scenario(path)?, fault_count, seed);
    let outcome = if log {
        run_scenario_logged(&scenario, seed)
    } else {
        run_scenario(&scenario, seed)
    };
    println!("{}", summary_line(seed, &outcome));
    let violations = check(&outcome.history);
    for violation in &violations {
        println!(
            "  {:?} at {}: {}",
            violation.rule, violation.at, violation.detail
        );
    }
    if story {
        print_history(&outcome.history, &violations);
    }
    Ok(violations.is_empty())
}

/// Prints the history of the jobs that violations name.
fn print_history(history: &EmulationHistory, violations: &[RuleViolation]) {
    for (id, job) in &history.jobs {
        let name = id.to_string();
        if !violations
            .iter()
            .any(|violation| violation.detail.starts_with(&name))
        {
            continue;
        }
        println!("{name}: {job:#?}");
        for run in history.runs.iter().filter(|run| run.task.job == *id) {
            println!("{run:?}");
        }
    }
}

fn summary_line(seed: u64, outcome: &ScenarioOutcome) -> String {
    let beside_fatal = outcome
        .beside_fatal
        .map_or_else(String::new, |(served, late)| {
            format!(", beside fatal tasks served {served:.3} late {late:.3}")
        });
    format!(
        "seed {seed}: jobs {} runs {} moves {} served {:.3} late {:.3} refused {:.3}{beside_fatal}",
        outcome.jobs, outcome.runs, outcome.moves, outcome.served, outcome.late, outcome.refused
    )
}

fn hunt(
    path: &PathBuf,
    scenario_count: u64,
    fault_count: usize,
    first_seed: u64,
) -> Result<bool, BoxedError> {
    let scenario = read_scenario(path)?;
    let started = Instant::now();
    let seeds = Mutex::new(first_seed..first_seed + scenario_count);
    let failed_seeds = Mutex::new(Vec::new());
    let run_next = || loop {
        let next = seeds.lock().ok().and_then(|mut seeds| seeds.next());
        let Some(seed) = next else {
            return;
        };
        let scenario = with_random_faults(&scenario, fault_count, seed);
        let outcome = run_scenario(&scenario, seed);
        let violations = check(&outcome.history);
        if let Some(first) = violations.first() {
            println!("{}", summary_line(seed, &outcome));
            println!(
                "  {} violations, first {:?} at {}: {}",
                violations.len(),
                first.rule,
                first.at,
                first.detail
            );
            for fault in &scenario.faults {
                println!(
                    "    {:?} at {:.1} s for {:.1} s, {}",
                    fault.kind, fault.at, fault.for_s, fault.count
                );
            }
            if let Ok(mut failed_seeds) = failed_seeds.lock() {
                failed_seeds.push(seed);
            }
        }
    };
    let workers = thread::available_parallelism()?.get() / 2;
    thread::scope(|scope| {
        for _ in 0..workers.max(1) {
            scope.spawn(run_next);
        }
    });
    let failed_seeds = failed_seeds.into_inner()?;
    println!(
        "{scenario_count} scenarios in {:.1} s, {} with violations: {failed_seeds:?}",
        started.elapsed().as_secs_f64(),
        failed_seeds.len()
    );
    Ok(failed_seeds.is_empty())
}

/// Mean share of jobs done within their objective over some seeds.
fn mean_served(scenario: &EmulationScenario, seed_count: u64, fault_count: usize) -> f64 {
    let served = (1..=seed_count)
        .map(|seed| run_scenario(&with_random_faults(scenario, fault_count, seed), seed).served);
    served.sum::<f64>() / seed_count as f64
}

fn compare(path: &PathBuf, seed_count: u64, plot: Option<PathBuf>) -> Result<bool, BoxedError> {
    let scenario = read_scenario(path)?;
    let fault_counts = [0, 2, 4, 8];
    let sizes = [1, 2, 4, 6];
    println!("members   faults per scenario: {fault_counts:?}, share served within the objective");
    let mut rows = Vec::new();
    for members in sizes {
        let sized = EmulationScenario {
            members,
            ..scenario.clone()
        };
        let served: Vec<f64> = fault_counts
            .iter()
            .map(|count| mean_served(&sized, seed_count, *count))
            .collect();
        let columns: Vec<String> = served.iter().map(|share| format!("{share:.3}")).collect();
        println!("{members:>7}   {}", columns.join("  "));
        rows.push((members, served));
    }
    if let Some(path) = plot {
        draw_plot(&path, &fault_counts, &rows)?;
    }
    Ok(true)
}

fn draw_plot(
    path: &PathBuf,
    fault_counts: &[usize],
    rows: &[(usize, Vec<f64>)],
) -> Result<(), BoxedError> {
    let area = SVGBackend::new(path, (640, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let max_faults = *fault_counts.last().unwrap_or(&1) as f64;
    let mut chart = ChartBuilder::on(&area)
        .margin(30)
        .build_cartesian_2d(0.0..max_faults, 0.0..1.0)?;
    chart
        .configure_mesh()
        .disable_mesh()
        .disable_x_axis()
        .disable_y_axis()
        .draw()?;
    for (number, (_, served)) in rows.iter().enumerate() {
        let points = fault_counts.iter().map(|count| *count as f64);
        let points = points.zip(served.iter().copied());
        let color = Palette99::pick(number);
        chart.draw_series(LineSeries::new(points, color.stroke_width(2)))?;
    }
    area.present()?;
    Ok(())
}
