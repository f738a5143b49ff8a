//! Runs sample jobs of both deployments on a local system and prints their results. One member is
//! killed while the jobs run.

use jacinthhoist_experiments::schedule::{ScheduleFleet, wait_for};
use jacinthhoist_fakes::{long_running_job, sample_job};

/// Number of members of each installation.
const MEMBERS: usize = 3;
/// Number of workers of each pool.
const WORKERS: usize = 3;

/// Sample deployment with its pools and jobs.
struct SampleDeployment {
    name: &'static str,
    pools: [&'static str; 2],
    jobs: [(&'static str, &'static str, u16, &'static str); 4],
}

const SAMPLES: [SampleDeployment; 2] = [
    SampleDeployment {
        name: "Ballycorrig Municipal Castings Authority",
        pools: ["moulding-desk", "melt-shop"],
        jobs: [
            ("pattern check", "moulding-desk", 6, "ms=200"),
            ("pour order", "melt-shop", 8, "ms=400"),
            ("mould cure", "moulding-desk", 2, "lasts"),
            ("spoilt pattern", "moulding-desk", 1, "fail"),
        ],
    },
    SampleDeployment {
        name: "Fotoproef vzw",
        pools: ["galerij", "drukwerk"],
        jobs: [
            ("gallery thumbnails", "galerij", 6, "ms=150"),
            ("watermarks", "drukwerk", 8, "ms=300"),
            ("album layout", "drukwerk", 2, "lasts"),
            ("broken upload", "galerij", 1, "fail"),
        ],
    },
];

#[tokio::main]
async fn main() {
    for sample in &SAMPLES {
        run(sample).await;
    }
}

async fn run(sample: &SampleDeployment) {
    println!("{}", sample.name);
    let mut fleet = ScheduleFleet::spawn(&sample.pools, MEMBERS, WORKERS).await;
    for (number, (name, pool, count, payload)) in sample.jobs.iter().enumerate() {
        let body = if *payload == "lasts" {
            long_running_job(*count)
        } else {
            sample_job(*count, payload)
        };
        let status = fleet
            .submit(number % MEMBERS, pool, &id(number), &body)
            .await;
        println!("  {name:<20} {pool:<14} {count} tasks, submitted: {status:?}");
    }
    fleet.members.remove(0).kill().await;
    println!("  one member is killed");
    fleet.wait_ready().await;
    for (number, (name, pool, _, payload)) in sample.jobs.iter().enumerate() {
        if *payload == "lasts" {
            let status = fleet.cancel(0, pool, &id(number)).await;
            println!("  {name:<20} cancelled: {status:?}");
        }
        wait_for(name, async || {
            let state = fleet.show(0, pool, &id(number)).await.1;
            matches!(state.as_str(), "completed" | "failed" | "cancelled")
        })
        .await;
        let state = fleet.show(0, pool, &id(number)).await.1;
        let done = fleet.done(&id(number)).await;
        let twice = done.values().filter(|count| **count > 1).count();
        println!(
            "  {name:<20} {state}, {} tasks done, {twice} of them twice",
            done.len()
        );
    }
}

fn id(number: usize) -> String {
    format!("{:016x}", number + 1)
}
