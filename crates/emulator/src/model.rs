//! The emulated platform of a day.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jacinthhoist_core::{
    ClockTime, DataCentre, PoolName, RackName, VmName, WorkName, WorkerId,
    job::{
        CallerLimits, HoldReport, JobCatalogue, JobPool, JobWork, OrderReply, Resources,
        StartReply, TaskKey, WorkerEntry, WorkerState,
    },
};
use jacinthhoist_net::BootClock;
use jacinthhoist_scheduler::ports::{HoldOrder, OperatorRecord, StartOrder, WorkerRecord};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until, timeout_at},
};

use crate::{
    history::History,
    network::Network,
    scenario::EmulatedDay,
    store::{EmulatedStore, Topic},
    vm::Machine,
    worker::{EmulatedWorker, TaskPlan, WorkerMode},
};

/// The pool whose VMs are off.
pub(crate) const SPARE_POOL: &str = "spare";
/// VMs in a rack.
const RACK_VMS: usize = 4;
/// Memory of a worker, in megabytes.
const WORKER_MEM_MB: u64 = 65_536;
/// Memory of a task, in megabytes.
const TASK_MEM_MB: u64 = 500;
/// Share of the runs that fail for no reason of the worker's.
const FAIL_SHARE: f64 = 0.002;
/// Greatest thousandths by which a worker's clock is slow.
const SLOW_CLOCK_PERMILLE: u64 = 20;
/// The multiple of the longest chain of work in an objective.
const STRETCH: f64 = 1.6;
/// What an objective adds to that.
const OBJECTIVE: ClockTime = ClockTime::from_millis(600);

/// What changes.
pub(crate) struct WorldState {
    pub(crate) workers: BTreeMap<WorkerId, EmulatedWorker>,
    pub(crate) machines: BTreeMap<VmName, Machine>,
    pub(crate) entries: Topic<WorkerRecord>,
    pub(crate) operator: Topic<OperatorRecord>,
    pub(crate) history: History,
    pub(crate) draws: StdRng,
    lives: u64,
}

/// The emulated platform.
pub(crate) struct World {
    pub(crate) clock: BootClock,
    pub(crate) network: Arc<Network>,
    pub(crate) store: EmulatedStore,
    state: Mutex<WorldState>,
    /// Tells those who wait for a worker's ends that it took an order.
    changed: watch::Sender<u64>,
    seed: u64,
    worker_cpu: u64,
    guarded: bool,
}

impl World {
    pub(crate) fn open(day: &EmulatedDay, seed: u64, clock: BootClock) -> Arc<Self> {
        let (changed, _) = watch::channel(0);
        let world = Arc::new(Self {
            clock,
            network: Arc::new(Network::default()),
            store: EmulatedStore::open(seed),
            state: Mutex::new(WorldState {
                workers: BTreeMap::new(),
                machines: BTreeMap::new(),
                entries: Topic::default(),
                operator: Topic::default(),
                history: History::default(),
                draws: StdRng::seed_from_u64(seed),
                lives: 0,
            }),
            changed,
            seed,
            worker_cpu: day.worker_cpu,
            guarded: day.guarded,
        });
        world.populate(day);
        world
    }

    fn populate(&self, day: &EmulatedDay) {
        let now = self.clock.now();
        let mut state = self.state();
        let catalogue = OperatorRecord::Catalogue(Arc::new(catalogue(day)));
        state.operator.push("config", catalogue, false);
        let mut pools: Vec<(String, usize)> = Vec::new();
        pools.extend(day.pools().into_iter().map(|pool| (pool, day.workers)));
        pools.push((SPARE_POOL.to_owned(), day.spare));
        for (pool, count) in pools {
            for number in 0..count {
                let vm = VmName::new(&format!("m-{pool}-{number}"));
                let machine = Machine::up(vm.clone(), PoolName::new(&pool), self.rack(number));
                state.machines.insert(vm.clone(), machine);
                if pool != SPARE_POOL {
                    self.start_worker(&mut state, &vm, now);
                }
            }
        }
    }

    fn rack(&self, number: usize) -> RackName {
        RackName::new(&format!("r-{}", number / RACK_VMS))
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, WorldState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn capacity(&self) -> Resources {
        Resources {
            cpu: self.worker_cpu,
            mem_mb: WORKER_MEM_MB,
            gpu: 0,
        }
    }

    /// A new life on a VM.
    pub(crate) fn start_worker(&self, state: &mut WorldState, vm: &VmName, now: ClockTime) {
        state.lives += 1;
        let id = WorkerId::new(&format!("i-{}", state.lives));
        let entry = self.entry(state, vm, id.as_str());
        self.start_life(state, id.clone(), vm, entry, now);
        if let Some(machine) = state.machines.get_mut(vm) {
            machine.worker = Some(id);
        }
    }

    /// A life of a worker under an id, also one that it had before.
    pub(crate) fn start_life(
        &self,
        state: &mut WorldState,
        id: WorkerId,
        vm: &VmName,
        entry: WorkerEntry,
        now: ClockTime,
    ) {
        let slow = state.draws.random_range(0..SLOW_CLOCK_PERMILLE);
        let worker = EmulatedWorker::start(id.clone(), vm.clone(), entry, self.guarded, slow, now);
        let listed = WorkerRecord::Registered(id.clone(), worker.entry.clone());
        state.entries.push(id.as_str(), listed, false);
        state.workers.insert(id, worker);
    }

    fn entry(&self, state: &WorldState, vm: &VmName, address: &str) -> WorkerEntry {
        let machine = state.machines.get(vm);
        let rack = machine.map(|machine| machine.rack.clone());
        WorkerEntry {
            pool: machine.map_or_else(|| PoolName::new(""), |machine| machine.pool.clone()),
            address: address.into(),
            data_centre: DataCentre::new("dc-1"),
            state: WorkerState::Ready,
            capacity: self.capacity(),
            labels: smallvec::SmallVec::new(),
            rack,
            incarnation: None,
        }
    }

    /// A worker's process ends; its entry goes from the list.
    pub(crate) fn end_worker(&self, state: &mut WorldState, id: &WorkerId, now: ClockTime) {
        if let Some(mut worker) = state.workers.remove(id) {
            worker.vanish(now, &mut state.history);
            state
                .entries
                .push(id.as_str(), WorkerRecord::Removed(id.clone()), true);
        }
        self.wake();
    }

    pub(crate) fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Answers a renewal; none where the worker's process has ended or does not answer.
    pub(crate) async fn hold(
        &self,
        id: &WorkerId,
        order: HoldOrder,
        token: u64,
    ) -> Option<Option<HoldReport>> {
        let until = Instant::now() + Duration::from_millis(order.wait.as_millis());
        let mut changed = self.changed.subscribe();
        let first = self.with_worker(id, |worker, now, history| {
            worker.hold(order, token, now, history)
        });
        if first?.is_none() {
            return Some(None);
        }
        loop {
            changed.mark_unchanged();
            let looked = self.with_worker(id, |worker, now, history| {
                worker.settle(now, history);
                if worker.has_untold() || Instant::now() >= until {
                    return Err(worker.report(now));
                }
                Ok(worker.next_end())
            });
            let next = match looked? {
                Ok(next) => next,
                Err(report) => return Some(Some(report)),
            };
            let wake_at = next.map_or(until, |at| {
                let left = at - self.clock.now();
                let left = Duration::from_millis(left.as_millis().max(1));
                until.min(Instant::now() + left)
            });
            // Woken by an order, by the next end, or at the end of the wait.
            let _ = timeout_at(wake_at, changed.changed()).await;
        }
    }

    /// Lets a worker's process do something now; none where it has ended.
    fn with_worker<T>(
        &self,
        id: &WorkerId,
        act: impl FnOnce(&mut EmulatedWorker, ClockTime, &mut History) -> T,
    ) -> Option<T> {
        let now = self.clock.now();
        let mut state = self.state();
        let WorldState {
            workers, history, ..
        } = &mut *state;
        Some(act(workers.get_mut(id)?, now, history))
    }

    /// How a worker behaves, and which life of it that is.
    fn life(&self, id: &WorkerId) -> Option<(WorkerMode, Option<u64>)> {
        let state = self.state();
        let worker = state.workers.get(id)?;
        Some((worker.mode, worker.entry.incarnation))
    }

    /// Carries an order out now and returns its answer, or later, by the same life of the worker, and
    /// returns none.
    fn deliver<T>(
        self: &Arc<Self>,
        id: &WorkerId,
        order: impl FnOnce(&Self, bool) -> Option<T> + Send + 'static,
    ) -> Option<T> {
        let (mode, life) = self.life(id)?;
        if mode != WorkerMode::Late {
            return order(self, false);
        }
        let (world, id) = (self.clone(), id.clone());
        let delay = self.late();
        tokio::spawn(async move {
            sleep_until(delay).await;
            // What a process has not carried out ends with it.
            if world.life(&id).is_some_and(|(_, now)| now == life) {
                // Nobody waits for the answer.
                let _ = order(&world, true);
            }
        });
        None
    }

    /// Takes a start order; none where it is not answered.
    pub(crate) fn begin(
        self: &Arc<Self>,
        id: &WorkerId,
        order: StartOrder,
        token: u64,
    ) -> Option<StartReply> {
        let worker = id.clone();
        self.deliver(id, move |world, late| {
            let plan = world.plan(&order);
            let reply = world.with_worker(&worker, |it, now, history| {
                let reply = it.begin(&order, plan, token, now, history);
                if late && reply == StartReply::Started {
                    history.run_was_late(&worker, order.task, order.run);
                }
                reply
            })?;
            world.wake();
            Some(reply)
        })
    }

    /// Takes a stop order; none where it is not answered.
    pub(crate) fn stop(
        self: &Arc<Self>,
        id: &WorkerId,
        task: TaskKey,
        run: u32,
        token: u64,
    ) -> Option<OrderReply> {
        let worker = id.clone();
        self.deliver(id, move |world, _| {
            let reply = world.with_worker(&worker, |it, now, history| {
                it.stop(task, run, token, now, history)
            })?;
            world.wake();
            Some(reply)
        })
    }

    /// When an order is carried out that is late.
    fn late(&self) -> Instant {
        let millis = self.state().draws.random_range(2_000..12_000);
        Instant::now() + Duration::from_millis(millis)
    }

    /// What a run does, by the day's seed, its task and its number.
    fn plan(&self, order: &StartOrder) -> TaskPlan {
        let TaskKey {
            job,
            occurrence,
            step,
            index,
        } = order.task;
        let mixed = self.seed
            ^ job.0.rotate_left(17)
            ^ u64::from(occurrence).rotate_left(41)
            ^ (u64::from(step) << 32)
            ^ (u64::from(index) << 16)
            ^ u64::from(order.run);
        let mut draws = StdRng::seed_from_u64(mixed);
        let words = PayloadWords::read(&order.payload);
        let takes = words.mean_ms.map(|mean| {
            let factor = draws.random_range(0.5..1.5);
            ClockTime::from_millis((mean as f64 * factor) as u64)
        });
        TaskPlan {
            fails: words.hopeless || (takes.is_some() && draws.random_bool(FAIL_SHARE)),
            takes,
            need: task_need(words.cpu),
        }
    }
}

/// What a payload says of its tasks.
#[derive(Clone, Copy, Debug, Default)]
struct PayloadWords {
    /// How long a task takes on average; none where it runs until it is stopped.
    mean_ms: Option<u64>,
    cpu: u64,
    hopeless: bool,
}

impl PayloadWords {
    fn read(payload: &str) -> Self {
        let mut words = Self::default();
        for word in payload.split(' ') {
            match word.split_once('=') {
                Some(("ms", text)) => words.mean_ms = text.parse().ok(),
                Some(("cpu", text)) => words.cpu = text.parse().unwrap_or_default(),
                _ => words.hopeless |= word == "hopeless",
            }
        }
        words
    }
}

/// What a task of a kind of load is given.
pub(crate) fn payload(mean_ms: Option<u64>, cpu: u64, hopeless: bool) -> String {
    let mean = mean_ms.map_or_else(|| "lasts".to_owned(), |mean| format!("ms={mean}"));
    let hopeless = if hopeless { " hopeless" } else { "" };
    format!("{mean} cpu={cpu}{hopeless}")
}

/// What a task asks for.
pub(crate) fn task_need(cpu: u64) -> Resources {
    Resources {
        cpu,
        mem_mb: TASK_MEM_MB,
        gpu: 0,
    }
}

/// The time by which a job of a chain of work should be done.
pub(crate) fn objective(chain_ms: u64) -> ClockTime {
    ClockTime::from_millis((chain_ms as f64 * STRETCH) as u64) + OBJECTIVE
}

/// How often a task may fail.
pub(crate) const MAX_FAILURES: u8 = 2;

fn catalogue(day: &EmulatedDay) -> JobCatalogue {
    let pools = day.pools();
    let work = |pool: &String| {
        let load = day.loads.iter().find(|load| load.pool == *pool);
        JobWork {
            name: WorkName::new(pool),
            host: format!("{pool}.example"),
            path_prefix: "/jobs/".to_owned(),
            pool: PoolName::new(pool),
            priority: load.map_or(0, |load| load.priority),
            max_failures: MAX_FAILURES,
            stretch: STRETCH,
            objective: OBJECTIVE,
            timeout: ClockTime::from_secs(3),
            advice: None,
        }
    };
    let pool = |name: &str, spare: bool| JobPool {
        name: PoolName::new(name),
        spare,
        guarded: day.guarded,
        max_connections: 64,
    };
    let mut all: Vec<JobPool> = pools.iter().map(|name| pool(name, false)).collect();
    all.push(pool(SPARE_POOL, true));
    JobCatalogue {
        version: 1,
        works: pools.iter().map(work).collect(),
        pools: all,
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 262_144,
            head: ClockTime::from_secs(3),
            idle: ClockTime::from_secs(15),
        },
    }
}
