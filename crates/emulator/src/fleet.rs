//! Scheduler members under emulation: start, stop, kill and restart.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicI64, Ordering},
    },
    time::Duration,
};

use jacinthhoist_codec::StoreLimits;
use jacinthhoist_core::{
    ClockTime, MemberName, PoolName,
    job::{MAX_CONCURRENT_ORDERS, MemberRank, RevocationSpan, SchedulerLimits},
};
use jacinthhoist_net::{BootClock, WallClock};
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
    caller::run_load,
    history::{EmulationHistory, PoolSample, PoolUse},
    model::PlatformModel,
    network::{EmulatedPeers, Endpoint},
    outcome::{ScenarioOutcome, outcome},
    platform::EmulatedPlatform,
    policy::PolicyTurn,
    question::ask_about_jobs,
    scenario::EmulationScenario,
    tenant::REVOCATION_SPAN,
    vm::{MAINTENANCE_TIME, MOVE_TIME},
    worker::LONGEST_LEASE,
};

/// Wall-clock time at the start of a run.
const RUN_START: ClockTime = ClockTime::from_secs(1_700_000_000);
/// Time for the members to start before the load begins.
const STARTUP_TIME: Duration = Duration::from_secs(4);
/// Time after the load phase in which accepted jobs must be done.
const COMPLETION_TIME: Duration = Duration::from_secs(14);
/// Time after the load phase from which on no job may wait beside room.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Interval between samples of the use of the pools.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a process that ended is started again.
pub(crate) const RESTART_DELAY: Duration = Duration::from_millis(800);
/// Time for which a member that shuts down continues to serve callers.
const LINGER_TIME: Duration = Duration::from_millis(400);
/// Longest lease that members request; the same as the platform adapter's.
const MAX_LEASE: ClockTime = ClockTime::from_millis(3_500);
/// Port of the links between members.
const PEER_PORT: u16 = 7_060;

/// State of one member across restarts.
#[derive(Default)]
struct MemberSlot {
    incarnation: u64,
    /// Milliseconds by which the wall clock of the member's machine is ahead.
    clock_offset: Arc<AtomicI64>,
    running: Option<(SchedulerMember<EmulatedPlatform>, CallerPipe)>,
    /// Dropped when the current process ends, which cancels calls in progress.
    exit_signal: Option<watch::Sender<()>>,
}

/// Members, callers and faults of one run.
pub(crate) struct EmulatedFleet {
    pub(crate) model: Arc<PlatformModel>,
    scenario: EmulationScenario,
    /// True if the members' log lines are printed.
    prints_logs: bool,
    slots: Mutex<Vec<MemberSlot>>,
    run_ended: watch::Sender<bool>,
}

/// Runs a scenario in virtual time; the seed determines load, faults and delays.
pub fn run_scenario(scenario: &EmulationScenario, seed: u64) -> ScenarioOutcome {
    run_with_logs(scenario, seed, false)
}

/// Runs a scenario like [`run_scenario`] and prints the members' log lines.
pub fn run_scenario_logged(scenario: &EmulationScenario, seed: u64) -> ScenarioOutcome {
    run_with_logs(scenario, seed, true)
}

fn run_with_logs(scenario: &EmulationScenario, seed: u64, prints_logs: bool) -> ScenarioOutcome {
    let runtime = Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O can always be built");
    let history = runtime.block_on(EmulatedFleet::run(scenario.clone(), seed, prints_logs));
    outcome(history)
}

impl EmulatedFleet {
    async fn run(scenario: EmulationScenario, seed: u64, prints_logs: bool) -> EmulationHistory {
        let model = PlatformModel::open(&scenario, seed, BootClock::on_runtime(RUN_START));
        let (run_ended, _) = watch::channel(false);
        let slots = (0..scenario.members)
            .map(|_| MemberSlot::default())
            .collect();
        let fleet = Arc::new(Self {
            model,
            scenario,
            prints_logs,
            slots: Mutex::new(slots),
            run_ended,
        });
        for index in 0..fleet.member_count() {
            fleet.start(index).await;
        }
        sleep(STARTUP_TIME).await;
        let mut tasks = JoinSet::new();
        let load_count = fleet.scenario.loads.len() as u64;
        for (load_index, load) in (0u64..).zip(&fleet.scenario.loads) {
            let seed = seed ^ (load_index + 1).rotate_left(23);
            tasks.spawn(run_load(
                fleet.clone(),
                load.clone(),
                (load_index, load_count),
                seed,
            ));
        }
        tasks.spawn(fleet.clone().sample_pools());
        for fault in fleet.scenario.faults.clone() {
            tasks.spawn(fleet.clone().inject(fault));
        }
        sleep(Duration::from_secs(fleet.scenario.secs) + COMPLETION_TIME).await;
        ask_about_jobs(&fleet, seed).await;
        fleet.run_ended.send_replace(true);
        fleet.record_final_state();
        while tasks.join_next().await.is_some() {}
        fleet.stop_all().await
    }

    /// Records the use of the pools from some time after the load phase to the end.
    async fn sample_pools(self: Arc<Self>) {
        sleep(Duration::from_secs(self.scenario.secs) + SETTLING_TIME).await;
        while !self.has_ended() {
            let at = self.model.clock.now();
            let mut pools: BTreeMap<PoolName, PoolUse> = BTreeMap::new();
            {
                let mut state = self.model.state();
                for worker in state.workers.values() {
                    let Some((cpu, used)) = worker.cpu_use() else {
                        continue;
                    };
                    let pool = pools.entry(worker.entry.pool.clone()).or_default();
                    pool.cpu += cpu;
                    pool.used_cpu += used;
                    pool.free_cpu.push(cpu.saturating_sub(used));
                }
                state.history.pool_samples.push(PoolSample { at, pools });
            }
            sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Records the final state at the end of the run.
    fn record_final_state(&self) {
        let now = self.model.clock.now();
        let mut state = self.model.state();
        let state = &mut *state;
        for worker in state.workers.values_mut() {
            worker.end_due_runs(now, &mut state.history);
        }
        state.history.ended_at = now;
        state.history.owners = self.model.store.owners();
        state.history.final_vms = state.vms.keys().cloned().collect();
    }

    /// Kills all members and returns the history.
    async fn stop_all(&self) -> EmulationHistory {
        for index in 0..self.member_count() {
            self.kill(index).await;
        }
        std::mem::take(&mut self.model.state().history)
    }

    fn slots(&self) -> MutexGuard<'_, Vec<MemberSlot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn member_count(&self) -> usize {
        self.scenario.members
    }

    /// Indexes of the members that are running.
    pub(crate) fn running_members(&self) -> Vec<usize> {
        let slots = self.slots();
        let running = slots.iter().enumerate();
        let running = running.filter(|(_, slot)| slot.running.is_some());
        running.map(|(index, _)| index).collect()
    }

    pub(crate) fn load_duration(&self) -> ClockTime {
        ClockTime::from_secs(self.scenario.secs)
    }

    pub(crate) fn has_ended(&self) -> bool {
        *self.run_ended.borrow()
    }

    /// Sends a caller's request to a member; `None` if no answer comes.
    pub(crate) async fn call(
        &self,
        index: usize,
        request: CallerRequest,
        max_wait: ClockTime,
    ) -> Option<CallerReply> {
        let (pipe, mut exit_signal) = {
            let slots = self.slots();
            let slot = &slots[index];
            let (_, pipe) = slot.running.as_ref()?;
            (pipe.clone(), slot.exit_signal.as_ref()?.subscribe())
        };
        let limit = Duration::from_millis(max_wait.as_millis());
        let member = Endpoint::Member(index);
        let answer = async {
            self.model.network.until_resumed(&member).await;
            let answer = pipe.answer(request).await;
            self.model.network.until_resumed(&member).await;
            answer
        };
        tokio::select! {
            answer = timeout(limit, answer) => answer.ok(),
            _ = exit_signal.changed() => None,
        }
    }

    /// Starts a new process of a member.
    pub(crate) async fn start(&self, index: usize) {
        let (incarnation, clock_offset) = {
            let slot = &mut self.slots()[index];
            slot.incarnation += 1;
            (slot.incarnation, slot.clock_offset.clone())
        };
        self.model
            .network
            .set_stopped(Endpoint::Member(index), false);
        let name = format!("entry-{index}");
        let rank = if index < self.scenario.reserves {
            MemberRank::Reserve
        } else {
            MemberRank::Regular
        };
        let has_tenants = self.scenario.tenants > 0;
        let settings = SchedulerSettings {
            revocation: has_tenants.then(|| RevocationSpan::new(REVOCATION_SPAN)),
            identity: MemberIdentity {
                name: MemberName::new(&name),
                peer_address: SocketAddr::from(([10, 0, 0, index as u8], PEER_PORT)),
                // Read from the wall clock, it need not rise.
                nonce: incarnation.wrapping_add_signed(clock_offset.load(Ordering::Relaxed)),
                rank,
            },
            limits: SchedulerLimits {
                max_lease: MAX_LEASE,
                longest_lease: LONGEST_LEASE,
                move_time: MOVE_TIME,
                maintenance_time: MAINTENANCE_TIME,
                concurrent_starts: MAX_CONCURRENT_ORDERS,
                job_memory: match self.scenario.job_memory_kb {
                    0 => u64::MAX,
                    kilobytes => kilobytes << 10,
                },
                ..SchedulerLimits::example()
            },
            store_limits: StoreLimits::example(),
        };
        let wall = WallClock::Shifted {
            clock: self.model.clock,
            ahead_ms: clock_offset,
        };
        let clock = BootClock::on_runtime(wall.now());
        let log = EventLog::with_sink(&name, clock, log_sink(self.prints_logs));
        let platform = Arc::new(EmulatedPlatform {
            model: self.model.clone(),
            member: Endpoint::Member(index),
            policy_turn: PolicyTurn::default(),
        });
        let peers = EmulatedPeers {
            network: self.model.network.clone(),
            member: index,
        };
        let log = log.expect("a log on one sink can be opened");
        let member = SchedulerMember::spawn_on(platform, peers, (clock, wall), settings, log).await;
        let member = member.expect("emulated addresses are free");
        let pipe = member.callers();
        let (exit_signal, _) = watch::channel(());
        let mut slots = self.slots();
        slots[index].running = Some((member, pipe));
        slots[index].exit_signal = Some(exit_signal);
    }

    /// Steps the wall clocks of some members' machines. Processes read them when they start.
    pub(crate) fn step_clocks(&self, members: &[usize], step_ms: i64) {
        let slots = self.slots();
        for index in members {
            let offset = &slots[*index].clock_offset;
            offset.fetch_add(step_ms, Ordering::Relaxed);
        }
    }

    /// Kills a member's process.
    pub(crate) async fn kill(&self, index: usize) {
        let running = {
            let mut slots = self.slots();
            slots[index].exit_signal = None;
            slots[index].running.take()
        };
        self.model
            .network
            .set_stopped(Endpoint::Member(index), true);
        if let Some((member, _)) = running {
            member.stop().await;
        }
    }

    pub(crate) async fn kill_and_restart(&self, index: usize) {
        self.kill(index).await;
        sleep(RESTART_DELAY).await;
        self.start(index).await;
    }

    /// Shuts a member down in an orderly way and starts it again.
    pub(crate) async fn stop_and_restart(&self, index: usize) {
        let running = self.slots()[index].running.take();
        let Some((member, pipe)) = running else {
            return;
        };
        member.hand_over().await;
        sleep(LINGER_TIME).await;
        drop(pipe);
        self.slots()[index].exit_signal = None;
        self.model
            .network
            .set_stopped(Endpoint::Member(index), true);
        member.stop().await;
        sleep(RESTART_DELAY).await;
        self.start(index).await;
    }
}

/// Creates a sink that prints lines or discards them.
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
