//! Soak of member processes: the daemon's binary behind loopback proxies, against the stand-ins of the
//! platform, with faults drawn from a seed.
//!
//! Environment: `JACINTHHOIST_SOAK_SEEDS` is the number of seeds, `JACINTHHOIST_SOAK_FROM` the first,
//! `JACINTHHOIST_SOAK_SECS` the time with faults in each run, and `JACINTHHOIST_SOAK_LOGS` a folder for
//! the members' log lines, which are otherwise kept only if a rule was broken. `JACINTHHOIST_SOAK_DAEMON`
//! names a daemon of another build.

mod cuts;
mod faults;
mod installation;
mod process;

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use hyper::Method;

use jacinthhoist_experiments::{
    schedule::call,
    soak::{self, CallerLoad, CallerRecord, SoakPlan},
};
use jacinthhoist_fakes::{PolicyFigures, repeated_job, sample_job};
use rand::{RngExt, rngs::StdRng};
use tokio::{
    sync::Mutex,
    time::{Instant, sleep},
};

use faults::FaultSequence;
use installation::ProcessInstallation;
use process::RunFolder;

/// Seeds of one run in CI.
const SEEDS: u64 = 1;
/// Time with faults in each run, in seconds.
const FAULT_SECS: u64 = 20;
/// Longest lease that owners ask for, and some time for the clocks.
const OWNERS_LEASE: Duration = Duration::from_millis(3_700);
/// Time for jobs to be completed after the faults: several times a lease and the longest task.
const QUIET_PERIOD: Duration = Duration::from_secs(60);
/// Time after the last completion in which late starts are still seen.
const SETTLE_PERIOD: Duration = Duration::from_secs(1);
/// Number of callers.
const CALLERS: usize = 4;
/// Label that half of the jobs require; every other worker has it only in each second process.
const LABEL: &str = "a";
const OTHER_LABEL: &str = "b";
/// Settings of members with 2 MB for jobs, half of them for schedules.
const SMALL_MEMBER: &str = "[limits]\nmemory_mb = 8\n";
/// Time between two schedules of the crowd: several thousand in a run, of which some hundreds fit.
const CROWD_PAUSE: Duration = Duration::from_millis(5);
/// Time until the first occurrence of these schedules, long after the run.
const CROWD_START: Duration = Duration::from_secs(86_400);
/// First of the sequences that each seed plays: the cuts of workers.
const ALWAYS_PLAYED: u64 = 7;

/// Jobs of the callers. A call lasts longer than a suspension, so that a connection is used until the
/// process is gone.
fn load(profile: FaultProfile) -> CallerLoad {
    let (task_ms, pause_ms) = match profile {
        FaultProfile::Mixed => (500..8_000, 150..500),
        // Runs that outlast their leases show if there is room for the next ones.
        FaultProfile::UnseenRestarts => (7_000..9_000, 700..1_500),
        FaultProfile::Limits => (200..2_000, 1_500..3_000),
    };
    CallerLoad {
        task_ms,
        pause_ms,
        label: (profile == FaultProfile::Mixed).then_some(LABEL),
        call_timeout: Duration::from_secs(8),
        repeats: (profile == FaultProfile::Limits).then_some(2..6),
    }
}

/// Faults that a run draws from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultProfile {
    /// All kinds.
    Mixed,
    /// Restarts of workers that their owner does not see, each with a cut after the first start.
    UnseenRestarts,
    /// Members that end, with little memory for jobs, beside a crowd of schedules, a slow policy service and large numbers in
    /// the configuration.
    Limits,
}

impl FaultProfile {
    fn name(self) -> &'static str {
        match self {
            Self::Mixed => "mixed",
            Self::UnseenRestarts => "unseen",
            Self::Limits => "limits",
        }
    }
}

/// Plays one seed; returns what broke a rule.
async fn play(profile: FaultProfile, seed: u64, secs: u64) -> Vec<String> {
    let folder = RunFolder::open(profile.name(), seed).expect("the folder of logs can be created");
    let rng = |part: u64| soak::random_sequence(seed, part);
    let members = rng(0).random_range(4..=6);
    let limits = if profile == FaultProfile::Limits {
        SMALL_MEMBER
    } else {
        ""
    };
    let mut installation = ProcessInstallation::spawn(members, &folder.path, limits).await;
    let origin = Instant::now();
    installation.begin(origin);
    for (number, worker) in installation.platform.workers.iter().enumerate() {
        match profile {
            FaultProfile::Mixed if number % 2 == 1 => {
                worker.set_labels(&[LABEL, OTHER_LABEL]).await;
            }
            FaultProfile::Mixed | FaultProfile::Limits => {}
            // Starts reach the new process before its owner's next regular renewal.
            FaultProfile::UnseenRestarts => worker.register_at_start(),
        }
    }
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH);
    let unix_ms = unix_ms.map_or(0, |time| time.as_millis());
    println!(
        "seed {seed} begins, {}, with {members} members, 0 is {unix_ms} in the log lines",
        profile.name()
    );
    let until = origin + Duration::from_secs(secs);
    let (fronts, load, record) = (installation.fronts(), load(profile), Mutex::default());
    let caller = |number: usize| {
        let rng = rng(100 + number as u64);
        soak::submit_jobs(&fronts, None, &load, &record, number, rng, until)
    };
    // Some seeds have no or few faults of some kinds, so that the others meet longer ownerships.
    let sequence = |part: u64| {
        let is_optional = part < ALWAYS_PLAYED;
        let mut choice = rng(50 + part);
        let is_left_out = is_optional && choice.random_bool(0.35);
        FaultSequence {
            installation: &installation,
            rng: rng(part),
            until: if is_left_out { origin } else { until },
            pace: if is_optional {
                choice.random_range(1..=4)
            } else {
                1
            },
        }
    };
    let callers = futures::future::join_all((0..CALLERS).map(caller));
    match profile {
        FaultProfile::Mixed => {
            tokio::join!(
                callers,
                sequence(1).suspend_members(),
                sequence(2).suspend_members(),
                sequence(3).end_members(),
                sequence(4).reassign(),
                sequence(5).disturb_store(),
                sequence(6).disturb_network(),
                sequence(7).cut_workers(),
                sequence(8).cut_workers(),
                sequence(11).slow_members(),
                sequence(12).slow_members(),
            );
        }
        FaultProfile::UnseenRestarts => {
            tokio::join!(
                callers,
                sequence(9).restart_unseen(0),
                sequence(10).restart_unseen(1),
            );
        }
        FaultProfile::Limits => {
            let figures = draw_policy(&mut rng(20));
            installation.note(&format!("{figures:?}"));
            installation
                .platform
                .configure_with_figures(2, &[installation::POOL], figures);
            tokio::join!(
                callers,
                crowd(&fronts, rng(21), until),
                sequence(7).end_members(),
                sequence(9).reassign(),
                sequence(10).suspend_members(),
            );
        }
    }
    soak::wait_completed(&fronts, None, &record, Instant::now() + QUIET_PERIOD).await;
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
    let lines = runs
        .iter()
        .map(|(worker, run)| soak::describe_run(worker, run, origin.into_std()));
    let lines: Vec<String> = lines.collect();
    std::fs::write(folder.path.join("runs.txt"), lines.join("\n"))
        .expect("the folder can be written");
    let long_leases = runs
        .iter()
        .filter(|(_, run)| run.granted > Some(OWNERS_LEASE));
    let long_leases = long_leases.count();
    violations.extend(soak::check_runs(runs, origin.into_std()));
    println!(
        "seed {seed}: {} jobs accepted, {others} not, {count} runs, {long_leases} begun under a lease longer \
         than owners ask for, {elapsed:.1} s, {} violations",
        accepted.len(),
        violations.len()
    );
    for violation in &violations {
        println!("  {violation}");
    }
    if !violations.is_empty() {
        println!("  log lines: {}", folder.path.display());
    }
    folder.close(violations.is_empty());
    violations
}

/// Draws the figures of a policy service. A call about all workers takes up to 0.3 s: the callers submit what it has
/// time for.
fn draw_policy(rng: &mut StdRng) -> PolicyFigures {
    PolicyFigures {
        decide_ms: rng.random_range(0..=60),
        each_ms: rng.random_range(0..=40),
        valid_ms: rng.random_range(250..=3_000),
    }
}

/// Hands in schedules that are far off, until a time; most of them do not fit into the memory for jobs.
async fn crowd(fronts: &[SocketAddr], mut rng: StdRng, until: Instant) {
    let start = SystemTime::now() + CROWD_START;
    let schedule = sample_job(1, "ms=10");
    let schedule = repeated_job(schedule, u32::MAX, start, Duration::from_secs(60));
    let body = Bytes::from(schedule.to_string());
    while Instant::now() < until {
        let front = fronts[rng.random_range(0..fronts.len())];
        let path = format!("/jobs/{:016x}", rng.random::<u64>());
        // Refusals and broken connections are part of the run.
        let _ = call(front, installation::POOL, Method::POST, &path, body.clone()).await;
        sleep(CROWD_PAUSE).await;
    }
}

/// Plays the seeds that the environment names, or `count` of `secs` seconds.
async fn play_seeds(profile: FaultProfile, count: u64, secs: u64) {
    let SoakPlan { seeds, secs } = SoakPlan::from_environment(count, secs);
    let count = seeds.clone().count();
    let mut failed = Vec::new();
    for seed in seeds {
        let violations = play(profile, seed, secs).await;
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

/// Guards against two runs of a task at once while members are suspended and ended, the store moves
/// the pools away and back, and workers restart and are cut off from their owner (issue 49).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn member_processes_run_each_task_once_around_faults() {
    play_seeds(FaultProfile::Mixed, SEEDS, FAULT_SECS).await;
}

/// Guards against a start order with a deadline on the clock of an earlier process: the new one granted
/// itself the longest lease, and was cut off before its owner learned of it (issue 49).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn workers_that_restart_unseen_hold_no_lease_longer_than_their_owner_reckons_with() {
    play_seeds(FaultProfile::UnseenRestarts, SEEDS, FAULT_SECS).await;
}

/// Guards against jobs that are lost, or run twice, as their schedules, policies, the numbers of their queues or the
/// memory of the members exceed what was expected (review/11, 14 and 15), while members end and the pools move.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn members_with_little_memory_and_a_slow_policy_lose_no_job() {
    play_seeds(FaultProfile::Limits, SEEDS, FAULT_SECS).await;
}
