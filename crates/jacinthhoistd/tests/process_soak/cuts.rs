//! Cuts between the owner and single workers, many of them right after a restart of the worker.

use std::time::Duration;

use rand::{RngExt, seq::index};
use tokio::time::{Instant, sleep};

use crate::{
    faults::FaultSequence,
    installation::{CutKind, LinkCut, WORKERS},
};

/// Time for which a restart may stay unseen: that after which a silent renewal is noticed.
const UNSEEN_LIMIT: Duration = Duration::from_millis(700);

/// Age of a process whose deadlines are far ahead of the clock of the next one.
const OLD_CLOCK: Duration = Duration::from_millis(6_500);
/// Time in which the other starts of a job arrive.
const START_TIME: Duration = Duration::from_millis(40);

/// What happens before a cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutPrelude {
    Nothing,
    /// The first worker restarts.
    Restart,
    /// The open connections to the first worker fall silent, so that its restart is not seen on them,
    /// and it restarts.
    SilentRestart,
    /// The same with those on which a response is awaited: the renewal.
    UnseenRestart,
}

impl FaultSequence<'_> {
    /// Cuts the path between the owner and some workers, one time after the other.
    pub(crate) async fn cut_workers(mut self) {
        while self.next(300..2_500).await {
            let installation = self.installation;
            let owner = self.draw_member(0.9).await;
            let count = self.rng.random_range(1..=3);
            let mut workers = index::sample(&mut self.rng, WORKERS, count).into_vec();
            if self.rng.random_bool(0.6) {
                let busiest = installation.newest_start().await;
                workers.retain(|worker| *worker != busiest);
                workers.insert(0, busiest);
            }
            let everyone = self.rng.random_bool(0.25);
            let prelude = match self.rng.random_range(0..10) {
                0..3 => CutPrelude::Nothing,
                3 => CutPrelude::Restart,
                4 | 5 => CutPrelude::SilentRestart,
                _ => CutPrelude::UnseenRestart,
            };
            let (mut kind, reset) = (self.draw_kind(), self.rng.random_bool(0.2));
            if prelude == CutPrelude::UnseenRestart {
                kind = CutKind::Both;
            }
            let (down, until_cut) = (self.draw_time(0..300), self.draw_time(0..1_600));
            let down = if self.rng.random_bool(0.5) {
                Duration::ZERO
            } else {
                down
            };
            let lasts = self.draw_time(4_000..9_000);
            // A cut right after the first start, before its process has reported.
            let at_start = self.rng.random_bool(0.8);
            installation.note(&format!(
                "{prelude:?} {down:?}, in {until_cut:?} (at a start {at_start}) entry-{owner} (everyone {everyone}) cut from \
                 workers {workers:?} for {lasts:?}, {kind:?}, reset {reset}"
            ));
            let first = installation.worker_link(owner, workers[0]);
            match prelude {
                CutPrelude::SilentRestart => first.silence_open(),
                CutPrelude::UnseenRestart => first.silence_awaiting(),
                CutPrelude::Nothing | CutPrelude::Restart => {}
            }
            if prelude != CutPrelude::Nothing {
                installation.platform.workers[workers[0]]
                    .restart_process(down)
                    .await;
                if at_start {
                    installation.await_start(workers[0], until_cut).await;
                } else {
                    sleep(until_cut).await;
                }
            }
            let members = (0..installation.members()).filter(|member| everyone || *member == owner);
            let links = members.flat_map(|member| {
                let workers = workers.iter();
                workers.map(move |worker| installation.worker_link(member, *worker))
            });
            let cut = LinkCut::begin(links.collect(), kind, reset);
            sleep(lasts).await;
            drop(cut);
            if matches!(
                prelude,
                CutPrelude::SilentRestart | CutPrelude::UnseenRestart
            ) {
                first.end_silence();
            }
            installation.note(&format!("cut of {workers:?} over"));
        }
    }

    /// Restarts the worker that gets the starts, unseen by its owner, and cuts it off right after the
    /// first starts of the new process. Each sequence has the workers of one half, even or odd.
    pub(crate) async fn restart_unseen(mut self, half: usize) {
        let mut started_at = [Instant::now(); WORKERS];
        while self.next(100..400).await {
            let installation = self.installation;
            let Some(owner) = installation.owner().await else {
                continue;
            };
            let worker = installation.newest_start().await;
            if worker % 2 != half || started_at[worker].elapsed() < OLD_CLOCK {
                continue;
            }
            started_at[worker] = Instant::now();
            let link = installation.worker_link(owner, worker);
            link.silence_awaiting();
            installation.platform.workers[worker]
                .restart_process(Duration::ZERO)
                .await;
            if installation.await_start(worker, UNSEEN_LIMIT).await {
                sleep(START_TIME).await;
                let lasts = self.draw_time(6_000..8_000);
                installation.note(&format!(
                    "entry-{owner} cut from worker {worker} after an unseen restart, {lasts:?}"
                ));
                let cut = LinkCut::begin(vec![link], CutKind::Both, false);
                sleep(lasts).await;
                drop(cut);
            }
            link.end_silence();
        }
    }
}
