//! The members' lives and the day's faults.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jacinthhoist_core::{
    ClockTime, MemberName, WorkerId,
    job::{JobId, JobState, MemberRank, SchedulerLimits, VmState, WaveRequest, WorkerState},
};
use jacinthhoist_net::BootClock;
use jacinthhoist_scheduler::{
    CallerCall, CallerPipe, CallerReply, EventLog, MemberIdentity, SchedulerMember,
    SchedulerSettings,
    ports::{OperatorItem, WorkerItem},
};
use rand::seq::IndexedRandom;
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
    day::{DayFault, EmulatedDay, FaultKind},
    history::{History, JobHistory, WaveHistory},
    machine::{MAINTENANCE_TIME, MOVE_TIME},
    network::{EmulatedPeers, Endpoint},
    platform::EmulatedPlatform,
    store::StoreMode,
    worker::WorkerMode,
    world::World,
};

/// The wall clock at which days begin.
const DAY_START: ClockTime = ClockTime::from_secs(1_700_000_000);
/// Time that members have before the load begins.
const LEAD: Duration = Duration::from_secs(4);
/// Time after the load in which what was accepted must be done.
const FINISH: Duration = Duration::from_secs(14);
/// Time after which a process that ended is started again.
const RESTART: Duration = Duration::from_millis(800);
/// Time between the stops of two members.
const STOP_GAP: Duration = Duration::from_millis(700);
/// Time for which a member that stops still serves callers.
const LINGER: Duration = Duration::from_millis(400);
/// Time after a fault in which its effects may show.
const AFTERMATH: ClockTime = ClockTime::from_millis(4_000);
/// Time between a worker's word that it drains and its end.
const DRAIN: Duration = Duration::from_millis(4_000);
/// The longest lease that members ask for, as the adapter sets it.
const LEASE: ClockTime = ClockTime::from_millis(3_500);
/// Share of the VMs that a wave asks for, in percent.
const WAVE_PERCENT: usize = 40;
/// VMs that may be down for a wave at once.
const WAVE_CAP: usize = 2;
/// Port on which members reach each other.
const PEER_PORT: u16 = 7_060;

/// What became of a day.
#[derive(Debug)]
pub struct DayOutcome {
    /// Share of the jobs owed that were done within their objective.
    pub served: f64,
    /// Share that was done later.
    pub late: f64,
    /// Share that was never accepted.
    pub refused: f64,
    /// Jobs that callers handed in.
    pub jobs: usize,
    /// Runs that began.
    pub runs: usize,
    /// VMs that changed their pool.
    pub moves: usize,
    /// What was seen.
    pub history: History,
}

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
        call: CallerCall,
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
    async fn start(&self, at: usize) {
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
                hold_max: LEASE,
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
    async fn kill(&self, at: usize) {
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

    async fn kill_and_restart(&self, at: usize) {
        self.kill(at).await;
        sleep(RESTART).await;
        self.start(at).await;
    }

    /// Stops a member as planned and starts it again.
    async fn stop_and_restart(&self, at: usize) {
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

    /// Members, the owner first.
    fn owner_first(&self) -> Vec<usize> {
        let now = self.world.clock.now();
        let owner = self.world.store.owner(now).unwrap_or_default();
        let is_owner = |at: &usize| owner.starts_with(&format!("entry-{at}|"));
        let mut order: Vec<usize> = (0..self.size()).collect();
        order.sort_by_key(|at| !is_owner(at));
        order
    }

    fn draw_workers(&self, count: usize) -> Vec<WorkerId> {
        let mut state = self.world.state();
        let ids: Vec<WorkerId> = state.workers.keys().cloned().collect();
        ids.sample(&mut state.draws, count).cloned().collect()
    }

    fn with_worker(&self, id: &WorkerId, change: impl FnOnce(&mut crate::worker::EmulatedWorker)) {
        if let Some(worker) = self.world.state().workers.get_mut(id) {
            change(worker);
        }
    }

    /// Lets a fault happen.
    async fn strike(self: Arc<Self>, fault: DayFault) {
        sleep(Duration::from_secs_f64(fault.at)).await;
        let began_at = self.world.clock.now();
        let span = Duration::from_secs_f64(fault.for_s);
        // While it lasts, its end is not known.
        let place = {
            let mut state = self.world.state();
            let far = began_at + ClockTime::from_secs(3_600);
            state.history.troubled.push((began_at, far));
            state.history.troubled.len() - 1
        };
        match fault.kind {
            FaultKind::MemberKill | FaultKind::MemberStop | FaultKind::MemberKillAll => {
                self.end_members(&fault).await;
            }
            FaultKind::MemberCut | FaultKind::OwnerStoreCut => {
                self.cut_members(&fault, span).await;
            }
            FaultKind::StoreDown => self.store_mode(StoreMode::Down, span).await,
            FaultKind::StoreSilent => self.store_mode(StoreMode::Silent, span).await,
            FaultKind::StoreSlow => self.store_mode(StoreMode::Slow, span).await,
            FaultKind::StoreLost => self.store_mode(StoreMode::LoseAnswers, span).await,
            FaultKind::StoreLate => self.store_mode(StoreMode::LateWrites, span).await,
            FaultKind::StoreDeaf => self.store_mode(StoreMode::Deaf, span).await,
            FaultKind::StoreCompact => {
                self.world.store.compact();
                let mut state = self.world.state();
                state.entries.compact();
                state.operator.compact();
            }
            FaultKind::StoreDeal => self.world.store.deal_anew(),
            FaultKind::WorkerCrash | FaultKind::WorkerGone | FaultKind::WorkerDrain => {
                self.end_workers(&fault, span).await;
            }
            FaultKind::WorkerDark => {
                let workers = self.draw_workers(fault.count);
                let network = &self.world.network;
                let set = |cut: bool| {
                    for id in &workers {
                        network.set_cut(Endpoint::Worker(id.clone()), cut);
                    }
                };
                set(true);
                sleep(span).await;
                set(false);
            }
            FaultKind::WorkerFailAll => self.worker_mode(&fault, WorkerMode::FailAll, span).await,
            FaultKind::WorkerHang => self.worker_mode(&fault, WorkerMode::Hang, span).await,
            FaultKind::WorkerSlow => self.worker_mode(&fault, WorkerMode::Slow, span).await,
            FaultKind::WorkerLate => self.worker_mode(&fault, WorkerMode::Late, span).await,
            FaultKind::Wave => self.request_wave(),
        }
        let until = self.world.clock.now() + AFTERMATH;
        self.world.state().history.troubled[place].1 = until;
    }

    async fn end_members(&self, fault: &DayFault) {
        let order = self.owner_first();
        match fault.kind {
            FaultKind::MemberStop => {
                for at in order.into_iter().take(fault.count) {
                    self.stop_and_restart(at).await;
                    sleep(STOP_GAP).await;
                }
            }
            FaultKind::MemberKillAll => {
                for at in &order {
                    self.kill(*at).await;
                }
                sleep(RESTART).await;
                for at in order {
                    self.start(at).await;
                }
            }
            _ => {
                for at in order.into_iter().take(fault.count) {
                    self.kill_and_restart(at).await;
                }
            }
        }
    }

    async fn cut_members(&self, fault: &DayFault, span: Duration) {
        let order = self.owner_first();
        let network = &self.world.network;
        if fault.kind == FaultKind::OwnerStoreCut {
            let Some(&owner) = order.first() else {
                return;
            };
            network.set_parted(Endpoint::Member(owner), Endpoint::Store, true);
            sleep(span).await;
            network.set_parted(Endpoint::Member(owner), Endpoint::Store, false);
            return;
        }
        let cut: Vec<usize> = order.into_iter().take(fault.count).collect();
        for at in &cut {
            network.set_cut(Endpoint::Member(*at), true);
        }
        sleep(span).await;
        for at in cut {
            network.set_cut(Endpoint::Member(at), false);
        }
    }

    async fn store_mode(&self, mode: StoreMode, span: Duration) {
        self.world.store.set_mode(mode);
        sleep(span).await;
        self.world.store.set_mode(StoreMode::Sound);
    }

    async fn worker_mode(&self, fault: &DayFault, mode: WorkerMode, span: Duration) {
        let workers = self.draw_workers(fault.count);
        for id in &workers {
            self.with_worker(id, |worker| worker.mode = mode);
        }
        sleep(span).await;
        for id in &workers {
            self.with_worker(id, |worker| worker.mode = WorkerMode::Sound);
        }
    }

    async fn end_workers(&self, fault: &DayFault, span: Duration) {
        let workers = self.draw_workers(fault.count);
        match fault.kind {
            FaultKind::WorkerCrash => self.crash(&workers, span).await,
            FaultKind::WorkerDrain => self.drain(&workers).await,
            _ => {
                for id in &workers {
                    self.lose_worker(id);
                }
            }
        }
    }

    /// Workers crash without a word and start anew under their ids.
    async fn crash(&self, workers: &[WorkerId], span: Duration) {
        let mut back = BTreeMap::new();
        for id in workers {
            let now = self.world.clock.now();
            let mut state = self.world.state();
            let state = &mut *state;
            if let Some(mut worker) = state.workers.remove(id) {
                worker.vanish(now, &mut state.history);
                back.insert(id.clone(), (worker.vm.clone(), worker.entry.clone()));
            }
            let end = Endpoint::Worker(id.clone());
            self.world.network.set_ended(end, true);
        }
        self.world.wake();
        sleep(span).await;
        for (id, (vm, entry)) in back {
            let now = self.world.clock.now();
            let mut state = self.world.state();
            // Its VM may have been given to another pool meanwhile.
            let still = state.machines.get(&vm).and_then(|it| it.worker.clone());
            if still.as_ref() == Some(&id) {
                self.world
                    .network
                    .set_ended(Endpoint::Worker(id.clone()), false);
                self.world.start_life(&mut state, id, &vm, entry, now);
            } else {
                let unlisted = WorkerItem::Unlisted(id.clone());
                state.entries.push(id.as_str(), unlisted, true);
            }
        }
    }

    /// Workers say that they drain, and leave for good.
    async fn drain(&self, workers: &[WorkerId]) {
        for id in workers {
            let now = self.world.clock.now();
            let mut state = self.world.state();
            let Some(worker) = state.workers.get_mut(id) else {
                continue;
            };
            worker.entry.state = WorkerState::Draining;
            let entry = worker.entry.clone();
            let listed = WorkerItem::Listed(id.clone(), entry);
            state.entries.push(id.as_str(), listed, false);
            state.history.draining.entry(id.clone()).or_insert(now);
        }
        sleep(DRAIN).await;
        for id in workers {
            self.lose_worker(id);
        }
    }

    fn lose_worker(&self, id: &WorkerId) {
        let now = self.world.clock.now();
        let mut state = self.world.state();
        let vm = state.workers.get(id).map(|worker| worker.vm.clone());
        if let Some(vm) = vm {
            state.machines.remove(&vm);
        }
        self.world.end_worker(&mut state, id, now);
        let end = Endpoint::Worker(id.clone());
        self.world.network.set_ended(end, true);
    }

    fn request_wave(&self) {
        let mut state = self.world.state();
        let state = &mut *state;
        let number = state.history.waves.len() as u64 + 1;
        let all: Vec<_> = state.machines.values().collect();
        let up = all.iter().filter(|machine| machine.state == VmState::Up);
        let names: Vec<_> = up.map(|machine| machine.vm.clone()).collect();
        let count = names.len() * WAVE_PERCENT / 100;
        let vms: Vec<_> = names.sample(&mut state.draws, count).cloned().collect();
        let wave = WaveHistory {
            vms: vms.clone(),
            cap: WAVE_CAP,
            completed_at: None,
        };
        state.history.waves.insert(number, wave);
        let request = WaveRequest {
            number,
            vms,
            within: ClockTime::from_secs(20),
            cap: WAVE_CAP,
        };
        let key = format!("wave/{number}");
        state
            .operator
            .push(&key, OperatorItem::Wave(request), false);
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

/// When a job was last shown as done, and how its service counts.
fn done_at(job: &JobHistory) -> Option<ClockTime> {
    let mut shown = job.shown.iter();
    let done = shown.find(|(_, state)| *state == Some(JobState::Completed));
    done.map(|(at, _)| *at)
}

fn outcome(history: History) -> DayOutcome {
    let is_owed = |job: &&JobHistory| {
        !job.shape.lasting && job.cancelled.is_none() && !job.shape.payload.contains("hopeless")
    };
    let owed: Vec<&JobHistory> = history.jobs.values().filter(is_owed).collect();
    let count = owed.len().max(1) as f64;
    let accepted = |job: &&&JobHistory| {
        let mut attempts = job.attempts.iter();
        attempts.any(|(_, outcome)| *outcome == crate::history::CallOutcome::Accepted)
    };
    let last_end = last_ends(&history);
    let in_time = |id: &JobId, job: &JobHistory| {
        let ended = last_end.get(id).copied().unwrap_or(history.over_at);
        done_at(job).is_some() && ended <= job.first_at + job.shape.objective
    };
    let jobs = history.jobs.iter().filter(|(_, job)| is_owed(job));
    let served = jobs.filter(|(id, job)| in_time(id, job)).count();
    let done = owed.iter().filter(|job| done_at(job).is_some()).count();
    let refused = owed.len() - owed.iter().filter(accepted).count();
    let moves = history.vms.iter().filter(|order| order.wave.is_none());
    DayOutcome {
        served: served as f64 / count,
        late: (done - served) as f64 / count,
        refused: refused as f64 / count,
        jobs: history.jobs.len(),
        runs: history.runs.len(),
        moves: moves.count(),
        history,
    }
}

/// When the last task of each job ended.
fn last_ends(history: &History) -> BTreeMap<JobId, ClockTime> {
    let mut ends = BTreeMap::new();
    for run in &history.runs {
        if let Some((at, _)) = run.ended {
            let last = ends.entry(run.task.job).or_insert(at);
            *last = at.max(*last);
        }
    }
    ends
}
