//! Runs the fake platform services and fifty upstreams at the addresses of a deployment's settings,
//! for use with separate daemons, until Ctrl-C is pressed.
//!
//! The argument names the deployment: `--example platform -- ballycorrig` or `fotoproef`.

use std::net::SocketAddr;

use jacinthhoist_fakes::{LogService, UpstreamVm, VmEntry, VmList};

const UPSTREAM_COUNT: usize = 50;
const RACK_SIZE: usize = 4;
const SERVICE_MS: u64 = 20;
const REBOOT_MS: u64 = 2_000;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let name = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "ballycorrig".to_owned());
    let (subnet, data_centres) = if name == "fotoproef" {
        (30, 4)
    } else {
        (20, 3)
    };
    let platform_address = |port| SocketAddr::from(([127, 0, subnet, 100], port));
    let log = LogService::bind(platform_address(9_000)).await?;
    let list = VmList::bind(platform_address(9_001)).await?;
    list.set_reboot_ms(REBOOT_MS);
    for member in 1..=6 {
        let address = SocketAddr::from(([127, 0, subnet, member], 8_081));
        list.add(VmEntry::entry(&format!("{name}-entry-{member}"), address))
            .await;
    }
    let mut upstreams = Vec::new();
    for index in 0..UPSTREAM_COUNT {
        let upstream = UpstreamVm::bind(SocketAddr::from(([127, 0, 0, 1], 0)), SERVICE_MS).await?;
        let data_centre = format!("dc-{}", index % data_centres + 1);
        let rack = format!("rack-{}", index / data_centres / RACK_SIZE);
        let vm = VmEntry::worker(
            &format!("w{index:02}"),
            upstream.address(),
            &data_centre,
            &rack,
        );
        list.add(vm).await;
        upstreams.push(upstream);
    }
    println!(
        "log {}, VM list {}, {} upstreams",
        log.address(),
        list.address(),
        upstreams.len()
    );
    tokio::signal::ctrl_c().await
}
