//! The members' lives and the day's faults.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jacinthhoist_core::{
    ClockTime, MemberName,
    job::{MemberRank, SchedulerLimits},
};
use jacinthhoist_net::BootClock;
use jacinthhoist_scheduler::{
    CallerPipe, CallerReply, CallerRequest, EventLog, MemberIdentity, SchedulerMember,
    SchedulerSettings,
};
use spdlog::{
    formatter::{PatternFormatter, pattern},
    sink::{Sink, WriteSink},
};
use tokio::{
    runtime::Builder,
    sync::watch,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    caller::bring_load,
    history::History,
    model::World,
    network::{EmulatedPeers, Endpoint},
    outcome::{DayOutcome, outcome},
    platform::EmulatedPlatform,
    scenario::EmulatedDay,
    vm::{MAINTENANCE_TIME, MOVE_TIME},
};

/// The wall clock at which days begin.
const DAY_START: ClockTime = ClockTime::from_secs(1_700_000_000);
/// Time that members have before the load begins.
const LEAD: Duration = Duration::from_secs(4);
/// Time after the load in which what was accepted must be done.
const FINISH: Duration = Duration::from_secs(14);
/// Time after which a process that ended is started again.
pub(crate) const RESTART: Duration = Duration::from_millis(800);
/// Time for which a member that stops still serves callers.
const LINGER: Duration = Duration::from_millis(400);
/// The longest lease that members ask for, as the adapter sets it.
const LEASE: ClockTime = ClockTime::from_millis(3_500);
/// Port on which members reach each other.
const PEER_PORT: u16 = 7_060;

/// One member's place, through its lives.
#[derive(Default)]
struct Slot {
    lives: u64,
    running: Option<(SchedulerMember<EmulatedPlatform>, CallerPipe)>,
    /// Closes when the present life ends.
    life: Option<watch::Sender<()>>,
}

/// Members, callers and faults of a day.
pub(crate) struct EmulatedFleet {
    pub(crate) world: Arc<World>,
    day: EmulatedDay,
    /// Whether members' log lines are printed.
    logs: bool,
    slots: Mutex<Vec<Slot>>,
    over: watch::Sender<bool>,
}

/// Plays a day in virtual time; the same seed draws the same load, faults and delays.
pub fn play(day: &EmulatedDay, seed: u64) -> DayOutcome {
    play_on(day, seed, false)
}

/// Plays a day like [`play`] and prints what the members log.
pub fn play_logged(day: &EmulatedDay, seed: u64) -> DayOutcome {
    play_on(day, seed, true)
}

fn play_on(day: &EmulatedDay, seed: u64, logs: bool) -> DayOutcome {
    let runtime = Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without input and output needs nothing");
    let history = runtime.block_on(EmulatedFleet::run(day.clone(), seed, logs));
    outcome(history)
}

impl EmulatedFleet {
    async fn run(day: EmulatedDay, seed: u64, logs: bool) -> History {
        let world = World::open(&day, seed, BootClock::on_runtime(DAY_START));
        let (over, _) = watch::channel(false);
        let slots = (0..day.members).map(|_| Slot::default()).collect();
        let fleet = Arc::new(Self {
            world,
            day,
            logs,
            slots: Mutex::new(slots),
            over,
        });
        for at in 0..fleet.size() {
            fleet.start(at).await;
        }
        sleep(LEAD).await;
        let mut tasks = JoinSet::new();
        let turns = fleet.day.loads.len() as u64;
        for (turn, load) in (0u64..).zip(&fleet.day.loads) {
            let seed = seed ^ (turn + 1).rotate_left(23);
            tasks.spawn(bring_load(fleet.clone(), load.clone(), (turn, turns), seed));
        }
        for fault in fleet.day.faults.clone() {
            tasks.spawn(fleet.clone().strike(fault));
        }
        sleep(Duration::from_secs(fleet.day.secs) + FINISH).await;
        fleet.over.send_replace(true);
        fleet.close_history();
        while tasks.join_next().await.is_some() {}
        fleet.finish().await
    }

    /// Notes what is there when the day is over.
    fn close_history(&self) {
        let now = self.world.clock.now();
        let mut state = self.world.state();
        let state = &mut *state;
        for worker in state.workers.values_mut() {
            worker.settle(now, &mut state.history);
        }
        state.history.over_at = now;
        state.history.owners = self.world.store.owners();
        state.history.vms_at_end = state.machines.keys().cloned().collect();
    }

    /// Ends the members and hands the history out.
    async fn finish(&self) -> History {
        for at in 0..self.size() {
            self.kill(at).await;
        }
        std::mem::take(&mut self.world.state().history)
    }

    fn slots(&self) -> MutexGuard<'_, Vec<Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn size(&self) -> usize {
        self.day.members
    }

    pub(crate) fn load_span(&self) -> ClockTime {
        ClockTime::from_secs(self.day.secs)
    }

    pub(crate) fn is_over(&self) -> bool {
        *self.over.borrow()
    }

    /// Calls a member as a caller does; none where no answer comes.
    pub(crate) async fn call(
        &self,
        at: usize,
        call: CallerRequest,
        patience: ClockTime,
    ) -> Option<CallerReply> {
        let (pipe, mut life) = {
            let slots = self.slots();
            let slot = &slots[at];
            let (_, pipe) = slot.running.as_ref()?;
            (pipe.clone(), slot.life.as_ref()?.subscribe())
        };
        let limit = Duration::from_millis(patience.as_millis());
        tokio::select! {
            answer = timeout(limit, pipe.answer(call)) => answer.ok(),
            _ = life.changed() => None,
        }
    }

    /// Starts a member's next life.
    pub(crate) async fn start(&self, at: usize) {
        let lives = {
            let mut slots = self.slots();
            slots[at].lives += 1;
            slots[at].lives
        };
        self.world.network.set_ended(Endpoint::Member(at), false);
        let name = format!("entry-{at}");
        let rank = if at < self.day.reserves {
            MemberRank::Reserve
        } else {
            MemberRank::Regular
        };
        let settings = SchedulerSettings {
            identity: MemberIdentity {
                name: MemberName::new(&name),
                peer_address: SocketAddr::from(([10, 0, 0, at as u8], PEER_PORT)),
                nonce: lives,
                rank,
            },
            limits: SchedulerLimits {
                max_lease: LEASE,
                move_time: MOVE_TIME,
                maintenance_time: MAINTENANCE_TIME,
                ..SchedulerLimits::example()
            },
        };
        let clock = self.world.clock;
        let log = EventLog::with_sink(&name, clock, log_sink(self.logs));
        let platform = Arc::new(EmulatedPlatform {
            world: self.world.clone(),
            member: Endpoint::Member(at),
        });
        let peers = EmulatedPeers {
            network: self.world.network.clone(),
            member: at,
        };
        let log = log.expect("a log on one sink can be opened");
        let member = SchedulerMember::spawn_on(platform, peers, clock, settings, log).await;
        let member = member.expect("emulated addresses are free");
        let pipe = member.callers();
        let (life, _) = watch::channel(());
        let mut slots = self.slots();
        slots[at].running = Some((member, pipe));
        slots[at].life = Some(life);
    }

    /// Ends a member's process at once.
    pub(crate) async fn kill(&self, at: usize) {
        let running = {
            let mut slots = self.slots();
            slots[at].life = None;
            slots[at].running.take()
        };
        self.world.network.set_ended(Endpoint::Member(at), true);
        if let Some((member, _)) = running {
            member.stop().await;
        }
    }

    pub(crate) async fn kill_and_restart(&self, at: usize) {
        self.kill(at).await;
        sleep(RESTART).await;
        self.start(at).await;
    }

    /// Stops a member as planned and starts it again.
    pub(crate) async fn stop_and_restart(&self, at: usize) {
        let running = self.slots()[at].running.take();
        let Some((member, pipe)) = running else {
            return;
        };
        member.hand_over().await;
        sleep(LINGER).await;
        drop(pipe);
        self.slots()[at].life = None;
        self.world.network.set_ended(Endpoint::Member(at), true);
        member.stop().await;
        sleep(RESTART).await;
        self.start(at).await;
    }
}

/// A sink that prints lines or discards them.
fn log_sink(prints: bool) -> Arc<dyn Sink> {
    let target: Box<dyn io::Write + Send> = if prints {
        Box::new(io::stdout())
    } else {
        Box::new(io::sink())
    };
    let lines = PatternFormatter::new(pattern!("{payload}{eol}"));
    let sink = WriteSink::builder().formatter(lines).target(target);
    sink.build_arc().expect("the sink has a target")
}
