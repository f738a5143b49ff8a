//! Starts a local system of each sample deployment, sends sample requests and prints the responses.
//!
//! With `--stay` the systems keep running for use with curl and the operator's command line.

use jacinthhoist_codec::{PoolView, StatusView};
use jacinthhoist_entry::LimitSettings;
use jacinthhoist_experiments::{FleetPlan, LocalFleet, WorkCaller};

/// Sample deployment with requests.
struct SampleDeployment {
    name: &'static str,
    catalogue: &'static str,
    keyed_work: &'static str,
    requests: &'static [(&'static str, &'static str)],
}

const SAMPLES: [SampleDeployment; 2] = [
    SampleDeployment {
        name: "Ballycorrig Municipal Castings Authority",
        catalogue: include_str!("../../../examples/ballycorrig/catalogue.toml"),
        keyed_work: "pour-order",
        requests: &[
            ("pattern-check", "frame 600x450"),
            ("quote-run", "12 drain covers"),
            ("pour-order", "1 hydrant frame"),
            ("mould-cure", "mould 7"),
            ("no-such-work", "?"),
        ],
    },
    SampleDeployment {
        name: "Fotoproef vzw",
        catalogue: include_str!("../../../examples/fotoproef/catalogue.toml"),
        keyed_work: "watermark",
        requests: &[
            ("open-gallery", "wedding 4"),
            ("mark-favourite", "photo 19"),
            ("upload-shoot", "raw 1"),
            ("watermark", "print 3"),
            ("album-layout", "spread 2"),
        ],
    },
];

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    spdlog::default_logger()
        .set_level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Warn));
    let mut running = Vec::new();
    for sample in &SAMPLES {
        let limits = LimitSettings {
            vm_list_ms: 200,
            plan_ms: 50,
            ..LimitSettings::default()
        };
        let plan = FleetPlan {
            catalogue: sample.catalogue.to_owned(),
            members: 3,
            workers: 50,
            data_centres: 4,
            rack_size: 4,
            service_ms: 20,
            threads: 2,
            limits,
        };
        println!("== {}: 3 entry members, 50 upstream VMs", sample.name);
        let fleet = LocalFleet::start(plan).await;
        run_sample(&fleet, sample).await?;
        running.push(fleet);
    }
    if std::env::args().any(|arg| arg == "--stay") {
        for fleet in &running {
            println!(
                "callers: curl -i -d 'body' http://{}/works/NAME/run",
                fleet.caller(0)
            );
            println!("operators: jacinthhoist --admin {} status", fleet.admin(0));
        }
        println!("Running until Ctrl-C is pressed.");
        tokio::signal::ctrl_c().await?;
    }
    for fleet in &mut running {
        for member in fleet.members.drain(..) {
            let name = member.name().clone();
            let all_finished = member.stop().await;
            println!("{name} stopped, all requests finished: {all_finished}");
        }
    }
    Ok(())
}

async fn run_sample(
    fleet: &LocalFleet,
    sample: &SampleDeployment,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    for (index, (work, body)) in sample.requests.iter().enumerate() {
        let response = WorkCaller::new(fleet.caller(index))
            .send(work, body)
            .await?;
        println!(
            "{work:<16} {} {:<8} {}",
            response.status,
            response.outcome,
            response.text()
        );
    }
    let keyed_work = sample.keyed_work;
    let keyed = WorkCaller::new(fleet.caller(0))
        .key("order-1")
        .send(keyed_work, "once")
        .await?;
    let repeat = WorkCaller::new(fleet.caller(1))
        .key("order-1")
        .send(keyed_work, "once")
        .await?;
    println!(
        "{keyed_work} sent twice with one idempotency key: {} and {}",
        keyed.outcome, repeat.outcome
    );
    let change = "[works.new-work]\nowner = \"OWNER\"\nclass = \"urgent\"\npool = \"POOL\"\nrepeatable = true\n";
    let pools: Vec<PoolView> = fleet.get(0, "/v1/pools").await?;
    let owner = if sample.name.starts_with('B') {
        "depot"
    } else {
        "couples"
    };
    let change = change
        .replace("OWNER", owner)
        .replace("POOL", pools[0].pool.as_str());
    let response = fleet.apply(0, &change).await?;
    let offset = response.offset.ok_or("the catalogue change was rejected")?;
    let path = format!("/v1/in-force?offset={offset}");
    let applied_at = std::time::Instant::now();
    fleet
        .wait_for_view(
            0,
            &path,
            "the change is in force",
            |view: &jacinthhoist_codec::InForceView| view.everywhere,
        )
        .await;
    println!(
        "a catalogue change at {offset} was in force on every member after {:?}",
        applied_at.elapsed()
    );
    let status: StatusView = fleet.get(1, "/v1/status").await?;
    println!(
        "{} has folded {:?}, {} members live",
        status.member, status.folded, status.members
    );
    Ok(())
}
