//! Builds a whole system on embedded stand-ins, sends requests of both deployments, prints what
//! happened; `--stay` goes on running for use with curl and the operator's command line.

use jacinthhoist_codec::{PoolView, StatusView};
use jacinthhoist_entry::LimitSettings;
use jacinthhoist_experiments::{FleetPlan, LocalFleet, WorkCaller};

/// A deployment with sample requests.
struct Sample {
    name: &'static str,
    catalogue: &'static str,
    once: &'static str,
    requests: &'static [(&'static str, &'static str)],
}

const SAMPLES: [Sample; 2] = [
    Sample {
        name: "Ballycorrig Municipal Castings Authority",
        catalogue: include_str!("../../../examples/ballycorrig/catalogue.toml"),
        once: "pour-order",
        requests: &[
            ("pattern-check", "frame 600x450"),
            ("quote-run", "12 drain covers"),
            ("pour-order", "1 hydrant frame"),
            ("mould-cure", "mould 7"),
            ("no-such-work", "?"),
        ],
    },
    Sample {
        name: "Fotoproef vzw",
        catalogue: include_str!("../../../examples/fotoproef/catalogue.toml"),
        once: "watermark",
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
        show(&fleet, sample).await?;
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
        println!("It runs until you press Ctrl-C.");
        tokio::signal::ctrl_c().await?;
    }
    for fleet in &mut running {
        for member in fleet.members.drain(..) {
            let name = member.name().clone();
            let cut_nothing = member.stop().await;
            println!("{name} stopped, nothing cut: {cut_nothing}");
        }
    }
    Ok(())
}

async fn show(
    fleet: &LocalFleet,
    sample: &Sample,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    for (place, (work, body)) in sample.requests.iter().enumerate() {
        let answer = WorkCaller::new(fleet.caller(place))
            .send(work, body)
            .await?;
        println!(
            "{work:<16} {} {:<8} {}",
            answer.status,
            answer.outcome,
            answer.text()
        );
    }
    let once = sample.once;
    let keyed = WorkCaller::new(fleet.caller(0))
        .key("order-1")
        .send(once, "once")
        .await?;
    let repeat = WorkCaller::new(fleet.caller(1))
        .key("order-1")
        .send(once, "once")
        .await?;
    println!(
        "{once} twice under one key: {} and {}",
        keyed.outcome, repeat.outcome
    );
    let change = "[works.new-work]\nowner = \"OWNER\"\nclass = \"urgent\"\npool = \"POOL\"\nrepeatable = true\n";
    let first: Vec<PoolView> = fleet.get(0, "/v1/pools").await?;
    let owner = if sample.name.starts_with('B') {
        "depot"
    } else {
        "couples"
    };
    let change = change
        .replace("OWNER", owner)
        .replace("POOL", first[0].pool.as_str());
    let answer = fleet.apply(0, &change).await?;
    let offset = answer.offset.ok_or("the change was not accepted")?;
    let path = format!("/v1/in-force?offset={offset}");
    let started = std::time::Instant::now();
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
        started.elapsed()
    );
    let status: StatusView = fleet.get(1, "/v1/status").await?;
    println!(
        "{} has folded {:?}, {} members live",
        status.member, status.folded, status.members
    );
    Ok(())
}
