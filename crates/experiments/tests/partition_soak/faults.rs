//! Faults of a run, each kind in a sequence of its own, so that different kinds overlap.

use std::time::Duration;

use jacinthhoist_experiments::soak::KeyRing;
use jacinthhoist_fakes::StoreFault;
use rand::{RngExt, rngs::StdRng};
use tokio::time::{Instant, sleep};

use crate::{
    installation::{MEMBERS, POOL, SoakInstallation, WORKERS},
    network::{CutKind, NetworkNode},
};

/// Time after which the store drops the entry of a worker that is silent: three heartbeats.
const ENTRY_LIFETIME: Duration = Duration::from_millis(300);

/// Largest step of a wall clock, far beyond any lease.
const MAX_STEP_MS: i64 = 60_000;

async fn pause(rng: &mut StdRng, millis: std::ops::Range<u64>) {
    sleep(Duration::from_millis(rng.random_range(millis))).await;
}

/// Prints a fault with its time, for the trace of a run.
fn note(origin: Instant, text: &str) {
    println!("  {:.3} {text}", origin.elapsed().as_secs_f64());
}

/// Separates the owner and some workers from everything else, one time after the other.
pub(crate) async fn partition(
    installation: &SoakInstallation,
    mut rng: StdRng,
    origin: Instant,
    until: Instant,
) {
    loop {
        pause(&mut rng, 1_000..3_000).await;
        if Instant::now() >= until {
            return;
        }
        let Some(owner) = installation.owner().await else {
            continue;
        };
        let mut small = vec![NetworkNode::Member(owner)];
        if rng.random_bool(0.3) {
            small.push(NetworkNode::Member((owner + 1) % MEMBERS));
        }
        let first = rng.random_range(0..WORKERS);
        let workers: Vec<usize> = (0..rng.random_range(1..=4))
            .map(|offset| (first + offset) % WORKERS)
            .collect();
        small.extend(workers.iter().map(|index| NetworkNode::Worker(*index)));
        let kind = match rng.random_range(0..10) {
            0 => CutKind::Outbound,
            1 => CutKind::Inbound,
            _ => CutKind::Both,
        };
        let reset = rng.random_bool(0.2);
        let lasts = Duration::from_millis(rng.random_range(2_000..9_000));
        note(
            origin,
            &format!("partition for {lasts:?}, {kind:?}, reset {reset}: {small:?}"),
        );
        let cut = installation.network.cut(&small, kind, reset);
        // The workers' entries cannot be renewed unless their messages arrive.
        let entries_lapse = kind != CutKind::Inbound;
        sleep(ENTRY_LIFETIME).await;
        for index in workers.iter().filter(|_| entries_lapse) {
            installation.platform.workers[*index].replace_entry(Some(b""));
        }
        sleep(lasts.saturating_sub(ENTRY_LIFETIME)).await;
        drop(cut);
        for index in workers {
            installation.platform.workers[index].replace_entry(None);
        }
        note(origin, "partition over");
    }
}

/// Has the store reject or not answer the calls of all members for some seconds.
pub(crate) async fn store_outage(
    installation: &SoakInstallation,
    mut rng: StdRng,
    origin: Instant,
    until: Instant,
) {
    loop {
        pause(&mut rng, 4_000..20_000).await;
        if Instant::now() >= until {
            return;
        }
        let lasts = rng.random_range(2_000..8_000);
        let is_silent = rng.random_bool(0.5);
        note(
            origin,
            &format!("store away for {lasts} ms, silent {is_silent}"),
        );
        let cut = is_silent.then(|| installation.network.isolate(NetworkNode::Store));
        if !is_silent {
            installation.platform.store.set_fault(StoreFault::Busy);
        }
        sleep(Duration::from_millis(lasts)).await;
        installation.platform.store.set_fault(StoreFault::None);
        drop(cut);
        note(origin, "store back");
    }
}

/// Ends members, orderly or at once, and starts them again under the same addresses.
pub(crate) async fn member_end(
    installation: &SoakInstallation,
    mut rng: StdRng,
    origin: Instant,
    until: Instant,
) {
    loop {
        pause(&mut rng, 4_000..14_000).await;
        if Instant::now() >= until {
            return;
        }
        let (index, orderly) = (rng.random_range(0..MEMBERS), rng.random_bool(0.5));
        note(origin, &format!("entry-{index} ends, orderly {orderly}"));
        installation.end(index, orderly).await;
        pause(&mut rng, 200..3_000).await;
        installation.start(index).await;
        note(origin, &format!("entry-{index} started"));
    }
}

/// Slows members down, the owner more often than others.
pub(crate) async fn slow_member(
    installation: &SoakInstallation,
    mut rng: StdRng,
    origin: Instant,
    until: Instant,
) {
    loop {
        pause(&mut rng, 500..4_000).await;
        if Instant::now() >= until {
            return;
        }
        let (any, is_owner) = (rng.random_range(0..MEMBERS), rng.random_bool(0.6));
        let owner = installation.owner().await.filter(|_| is_owner);
        let index = owner.unwrap_or(any);
        let stall = Duration::from_millis(rng.random_range(30..700));
        let gap = Duration::from_millis(rng.random_range(2..60));
        let lasts = Duration::from_millis(rng.random_range(1_000..6_000));
        note(
            origin,
            &format!("entry-{index} slow for {lasts:?}, stalls of {stall:?} every {gap:?}"),
        );
        installation
            .slow_down(index, stall, gap, Instant::now() + lasts)
            .await;
        sleep(lasts).await;
    }
}

/// Steps the wall clocks of members and sets them back, some only after the end.
pub(crate) async fn clock_step(
    installation: &SoakInstallation,
    mut rng: StdRng,
    origin: Instant,
    until: Instant,
) {
    loop {
        pause(&mut rng, 0..4_000).await;
        if Instant::now() >= until {
            return;
        }
        let (index, step_ms) = (
            rng.random_range(0..MEMBERS),
            rng.random_range(-MAX_STEP_MS..MAX_STEP_MS),
        );
        note(origin, &format!("clock of entry-{index} by {step_ms} ms"));
        installation.step_clock(index, step_ms);
        if rng.random_bool(0.3) {
            continue;
        }
        pause(&mut rng, 2_000..15_000).await;
        note(
            origin,
            &format!("clock of entry-{index} back by {step_ms} ms"),
        );
        installation.step_clock(index, -step_ms);
    }
}

/// Restarts workers, resets connections and changes the catalogue, in which the callers' key is replaced.
pub(crate) async fn disturbance(
    installation: &SoakInstallation,
    keys: &KeyRing,
    mut rng: StdRng,
    origin: Instant,
    until: Instant,
) {
    let mut version = 1;
    loop {
        pause(&mut rng, 1_500..6_000).await;
        if Instant::now() >= until {
            return;
        }
        match rng.random_range(0..3) {
            0 => {
                let index = rng.random_range(0..WORKERS);
                let down = Duration::from_millis(rng.random_range(0..500));
                note(origin, &format!("worker {index} restarts after {down:?}"));
                installation.platform.workers[index]
                    .restart_process(down)
                    .await;
            }
            1 => {
                let index = rng.random_range(0..MEMBERS);
                note(origin, &format!("connections of entry-{index} reset"));
                installation.network.reset_member(index);
            }
            _ => {
                version += 1;
                note(origin, &format!("catalogue {version}"));
                let pools: &[&str] = if version % 2 == 0 {
                    &[POOL, "added"]
                } else {
                    &[POOL]
                };
                let publish = |key: &str| installation.configure(version, pools, key);
                keys.replace(publish).await;
            }
        }
    }
}
