//! Faults of members and of the store; each kind has a sequence of its own, so that different kinds overlap.

use std::{ops::Range, time::Duration};

use jacinthhoist_fakes::StoreFault;
use rand::{RngExt, rngs::StdRng, seq::IndexedRandom};
use tokio::time::{Instant, sleep};

use crate::{
    installation::{CutKind, LinkCut, POOL, ProcessInstallation, WORKERS},
    process::ProcessSignal,
};

/// Sequence of faults of one kind.
pub(crate) struct FaultSequence<'a> {
    pub(crate) installation: &'a ProcessInstallation<'a>,
    pub(crate) rng: StdRng,
    pub(crate) until: Instant,
    /// Factor of the times between the faults.
    pub(crate) pace: u32,
}

impl FaultSequence<'_> {
    /// Waits for a time from a range of milliseconds.
    pub(crate) async fn pause(&mut self, millis: Range<u64>) {
        sleep(self.draw_time(millis)).await;
    }

    pub(crate) fn draw_time(&mut self, millis: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(millis))
    }

    /// Waits for the time of the next fault; returns `false` if there is none.
    pub(crate) async fn next(&mut self, millis: Range<u64>) -> bool {
        let time = self.draw_time(millis) * self.pace;
        sleep(time).await;
        Instant::now() < self.until
    }

    /// Draws a member: the owner with this probability, or any.
    pub(crate) async fn draw_member(&mut self, owner_share: f64) -> usize {
        let (is_owner, any) = (
            self.rng.random_bool(owner_share),
            self.rng.random_range(0..self.installation.members()),
        );
        let owner = self.installation.owner().await;
        owner.filter(|_| is_owner).unwrap_or(any)
    }

    pub(crate) fn draw_kind(&mut self) -> CutKind {
        let kinds = [
            CutKind::Both,
            CutKind::Both,
            CutKind::Outbound,
            CutKind::Inbound,
        ];
        *kinds.choose(&mut self.rng).expect("there are kinds")
    }

    /// Stops and continues members.
    pub(crate) async fn suspend_members(mut self) {
        while self.next(500..3_500).await {
            let member = self.draw_member(0.6).await;
            self.suspend(member).await;
        }
    }

    /// Suspends a member; the next fault of the sequence follows after it.
    async fn suspend(&mut self, member: usize) {
        let lasts = self.draw_time(300..6_000);
        let installation = self.installation;
        installation.note(&format!("entry-{member} stopped for {lasts:?}"));
        if let Some(number) = installation.signal(member, ProcessSignal::Stop).await {
            sleep(lasts).await;
            installation.resume(member, number).await;
            installation.note(&format!("entry-{member} continued"));
        }
    }

    /// Slows members down: each gets a part of the time only, in turns that are short compared with a lease.
    pub(crate) async fn slow_members(mut self) {
        while self.next(500..4_000).await {
            let member = self.draw_member(0.6).await;
            let (lasts, stall) = (self.draw_time(1_000..6_000), self.draw_time(50..600));
            let turn = self.draw_time(5..60);
            let installation = self.installation;
            installation.note(&format!(
                "entry-{member} slow for {lasts:?}, {turn:?} every {stall:?}"
            ));
            let until = Instant::now() + lasts;
            while Instant::now() < until
                && let Some(number) = installation.signal(member, ProcessSignal::Stop).await
            {
                sleep(stall).await;
                installation.resume(member, number).await;
                sleep(turn).await;
            }
            installation.note(&format!("entry-{member} as fast as before"));
        }
    }

    /// Ends members, and starts them again under their addresses.
    pub(crate) async fn end_members(mut self) {
        while self.next(2_500..9_000).await {
            let member = self.draw_member(0.5).await;
            let installation = self.installation;
            if self.rng.random_bool(0.2) {
                installation.note(&format!("entry-{member} gets SIGHUP"));
                installation.signal(member, ProcessSignal::Hangup).await;
                continue;
            }
            let orderly = self.rng.random_bool(0.45);
            installation.note(&format!("entry-{member} ends, orderly {orderly}"));
            let by_itself = installation.end(member, orderly).await;
            self.pause(50..3_000).await;
            installation.start(member).await;
            installation.note(&format!(
                "entry-{member} started, had ended by itself {by_itself}"
            ));
        }
    }

    /// Assigns the pools to another member and back.
    pub(crate) async fn reassign(mut self) {
        while self.next(1_500..5_000).await {
            let installation = self.installation;
            let Some(owner) = installation.owner().await else {
                continue;
            };
            let step = self.rng.random_range(1..installation.members());
            let other = (owner + step) % installation.members();
            let (count, mode) = (self.rng.random_range(1..=4), self.rng.random_range(0..4));
            installation.note(&format!(
                "pools from entry-{owner} to entry-{other} and back {count} times, mode {mode}"
            ));
            let kind = self.draw_kind();
            let cut = (mode == 0)
                .then(|| LinkCut::begin(vec![installation.store_link(owner)], kind, false));
            let stopped = match mode {
                1 => installation.signal(owner, ProcessSignal::Stop).await,
                _ => None,
            };
            for _ in 0..count {
                installation.assign(other).await;
                self.pause(50..400).await;
                installation.assign(owner).await;
                self.pause(50..400).await;
            }
            if mode == 2 {
                installation.assign(other).await;
            }
            if let Some(number) = stopped {
                self.pause(0..1_500).await;
                installation.resume(owner, number).await;
            }
            drop(cut);
            installation.note("reassignments over");
        }
    }

    /// Holds back calls to the store, or has it answer late or not at all.
    pub(crate) async fn disturb_store(mut self) {
        while self.next(500..4_000).await {
            let installation = self.installation;
            let mut members = vec![self.draw_member(0.7).await];
            if self.rng.random_bool(0.15) {
                members = (0..installation.members()).collect();
            }
            let lasts = self.draw_time(100..4_000);
            let faults = [
                StoreFault::Slow,
                StoreFault::Late,
                StoreFault::LoseReplies,
                StoreFault::Busy,
            ];
            let fault = *faults.choose(&mut self.rng).expect("there are faults");
            let kind = self.draw_kind();
            match self.rng.random_range(0..3) {
                0 => {
                    installation.note(&format!("store {fault:?} for {members:?}, {lasts:?}"));
                    for member in &members {
                        installation.store(*member).set_fault(fault);
                    }
                    sleep(lasts).await;
                    for member in &members {
                        installation.store(*member).set_fault(StoreFault::None);
                    }
                }
                1 => {
                    installation.note(&format!(
                        "store cut {kind:?} from {members:?} for {lasts:?}"
                    ));
                    let links = members
                        .iter()
                        .map(|member| installation.store_link(*member));
                    let cut = LinkCut::begin(links.collect(), kind, false);
                    sleep(lasts).await;
                    drop(cut);
                }
                _ => {
                    installation.note(&format!(
                        "open connections of {members:?} to the store silent for {lasts:?}"
                    ));
                    for member in &members {
                        installation.store_link(*member).silence_open();
                    }
                    sleep(lasts).await;
                    for member in &members {
                        installation.store_link(*member).end_silence();
                    }
                }
            }
            installation.note("store as before");
        }
    }

    /// Restarts workers, resets connections and changes the catalogue.
    pub(crate) async fn disturb_network(mut self) {
        let mut version = 1;
        while self.next(500..3_000).await {
            let installation = self.installation;
            let member = self.draw_member(0.6).await;
            let worker = self.rng.random_range(0..WORKERS);
            match self.rng.random_range(0..5) {
                0 => {
                    let down = self.draw_time(0..600);
                    installation.note(&format!("worker {worker} restarts, {down:?}"));
                    installation.platform.workers[worker]
                        .restart_process(down)
                        .await;
                }
                1 => {
                    installation.note(&format!("connections of entry-{member} reset"));
                    installation.reset_member(member);
                }
                2 | 3 => {
                    let lasts = self.draw_time(500..5_000);
                    installation.note(&format!(
                        "open connections of entry-{member} to worker {worker} silent for {lasts:?}"
                    ));
                    let link = installation.worker_link(member, worker);
                    link.silence_open();
                    sleep(lasts).await;
                    link.end_silence();
                }
                _ => {
                    version += 1;
                    installation.note(&format!("catalogue {version}"));
                    let pools: &[&str] = if version % 2 == 0 {
                        &[POOL, "added"]
                    } else {
                        &[POOL]
                    };
                    installation.platform.configure(version, pools);
                }
            }
        }
    }
}
