//! Soak of real members around partitions: members on runtimes of their own, over TCP, against the
//! stand-ins of the platform, with faults drawn from a seed.
//!
//! Environment: `JACINTHHOIST_SOAK_SEEDS` is the number of seeds, `JACINTHHOIST_SOAK_FROM` the first,
//! `JACINTHHOIST_SOAK_SECS` the time with faults in each run, and `JACINTHHOIST_SOAK_LOGS` a folder for
//! the members' log lines.

mod faults;
mod installation;
mod link_checks;
mod member;
mod network;

use std::{
    path::PathBuf,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::{
    sync::Mutex,
    time::{Instant, sleep},
};

use installation::{MEMBERS, SoakInstallation};
use jacinthhoist_experiments::soak::{self, CallerLoad, CallerRecord, KeyRing, SoakPlan};

/// Seeds of one run in CI.
const SEEDS: u64 = 2;
/// Time with faults in each run, in seconds; long enough for two partitions.
const FAULT_SECS: u64 = 25;
/// Time for jobs to be completed after the faults: several times a lease and the longest task.
const QUIET_PERIOD: Duration = Duration::from_secs(45);
/// Time after the last completion in which late starts are still seen.
const SETTLE_PERIOD: Duration = Duration::from_secs(1);
/// Time within which every member must refuse a withdrawn key, longer than most cuts from the store.
pub(crate) const REVOCATION: Duration = Duration::from_secs(5);
/// Number of tasks that the callers' tenant may have running: fewer than they submit at a time, and enough for all to be
/// done by the end.
pub(crate) const TENANT_TASKS: usize = 24;
/// Number of callers.
const CALLERS: usize = 3;

/// Plays one seed; returns what broke a rule.
async fn play(seed: u64, secs: u64) -> Vec<String> {
    let logs = std::env::var_os("JACINTHHOIST_SOAK_LOGS").map(|folder| {
        let folder = PathBuf::from(folder).join(seed.to_string());
        std::fs::create_dir_all(&folder).expect("the folder of logs can be created");
        folder
    });
    let keys = KeyRing::open(REVOCATION);
    let installation = SoakInstallation::spawn(logs, &keys).await;
    let record = Mutex::new(CallerRecord::default());
    let origin = Instant::now();
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH);
    let unix_ms = unix_ms.map_or(0, |time| time.as_millis());
    println!("seed {seed} begins, 0 is {unix_ms} in the log lines");
    let until = origin + Duration::from_secs(secs);
    let rng = |part: u64| soak::random_sequence(seed, part);
    let fronts: Vec<_> = (0..MEMBERS)
        .map(|index| installation.front(index))
        .collect();
    let load = CallerLoad {
        task_ms: 1_000..9_000,
        pause_ms: 300..900,
        label: None,
        call_timeout: Duration::from_secs(4),
        repeats: None,
    };
    let caller = |number: usize| {
        let rng = rng(100 + number as u64);
        soak::submit_jobs(&fronts, Some(&keys), &load, &record, number, rng, until)
    };
    tokio::join!(
        futures::future::join_all((0..CALLERS).map(caller)),
        faults::partition(&installation, rng(1), origin, until),
        faults::store_outage(&installation, rng(2), origin, until),
        faults::member_end(&installation, rng(3), origin, until),
        faults::disturbance(&installation, &keys, rng(4), origin, until),
        // Two, so that their steps overlap.
        faults::clock_step(&installation, rng(5), origin, until),
        faults::clock_step(&installation, rng(6), origin, until),
        faults::slow_member(&installation, rng(7), origin, until),
        faults::slow_member(&installation, rng(8), origin, until),
    );
    soak::wait_completed(&fronts, Some(&keys), &record, Instant::now() + QUIET_PERIOD).await;
    sleep(SETTLE_PERIOD).await;
    let mut runs = Vec::new();
    for worker in &installation.platform.workers {
        let history = worker.history().await;
        runs.extend(history.into_iter().map(|run| (worker.id().to_owned(), run)));
    }
    installation.close().await;
    let CallerRecord {
        accepted,
        others,
        mut violations,
    } = record.into_inner();
    let (count, elapsed) = (runs.len(), origin.elapsed().as_secs_f64());
    violations.extend(soak::check_limit(&runs, TENANT_TASKS, origin.into_std()));
    violations.extend(soak::check_runs(runs, origin.into_std()));
    violations.extend(keys.take_violations().await);
    println!(
        "seed {seed}: {} jobs accepted, {others} not, {count} runs, {elapsed:.1} s, {} violations",
        accepted.len(),
        violations.len()
    );
    for violation in &violations {
        println!("  {violation}");
    }
    violations
}

/// Guards against two runs of a task at once, lost jobs and repeated work around partitions: an owner
/// that the store had replaced went on renewing leases that the next one took for lapsed (issue 43), and times stored
/// by processes whose clocks were off were compared with other clocks (issue 58).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn members_on_tcp_run_each_task_once_around_partitions() {
    let SoakPlan { seeds, secs } = SoakPlan::from_environment(SEEDS, FAULT_SECS);
    let count = seeds.clone().count();
    let mut failed = Vec::new();
    for seed in seeds {
        let violations = play(seed, secs).await;
        if !violations.is_empty() {
            failed.push((seed, violations));
        }
    }
    assert!(
        failed.is_empty(),
        "{} of {count} seeds broke a rule: {failed:#?}",
        failed.len()
    );
}
