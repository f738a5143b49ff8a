//! Shared state of the emulated platform, and the delivery of orders to its workers.

use std::{
    collections::BTreeMap,
    ops::Range,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jacinthhoist_core::{
    ClockTime, DataCentre, PoolName, RackName, VmName, WorkName, WorkerId,
    job::{
        AdvicePolicy, CallerLimits, JobCatalogue, JobPool, JobWork, OrderReply, RenewalReport,
        Resources, StartReply, TaskKey, WorkerEntry, WorkerState,
    },
};
use jacinthhoist_net::BootClock;
use jacinthhoist_scheduler::ports::{OperatorRecord, RenewalOrder, StartOrder, WorkerRecord};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until, timeout_at},
};

use crate::{
    crash::FatalArrivals,
    history::{EmulationHistory, StartConditions},
    network::EmulatedNetwork,
    payload::TaskPayload,
    policy::ScenarioPolicy,
    scenario::EmulationScenario,
    store::{EmulatedStore, KeyedTopic},
    tenant::{EmulatedTenants, LimitHistory},
    vm::EmulatedVm,
    worker::{EmulatedWorker, TaskBehaviour, WorkerMode},
};

/// Pool of the spare VMs, which run no worker.
pub(crate) const SPARE_POOL: &str = "spare";
/// Number of VMs in a rack.
const RACK_VMS: usize = 4;
/// Memory of a worker, in megabytes.
const WORKER_MEM_MB: u64 = 65_536;
/// Memory of a task, in megabytes.
const TASK_MEM_MB: u64 = 500;
/// Share of the runs that fail at random, whichever worker runs them.
const RANDOM_FAILURE_SHARE: f64 = 0.002;
/// Time from the start of a fatal task to the crash of its worker, in milliseconds.
const CRASH_MS: Range<u64> = 0..50;
/// The same, for a fatal task whose worker crashes late.
const LATE_CRASH_MS: Range<u64> = 1_000..2_000;
/// Exclusive upper bound of the lag of a worker's clock, in thousandths of the elapsed time.
const MAX_CLOCK_LAG_PERMILLE: u64 = 20;
/// Factor that multiplies the total duration of a job's steps in its objective.
const OBJECTIVE_STRETCH: f64 = 1.6;
/// Time that an objective adds to this product.
const OBJECTIVE_MARGIN: ClockTime = ClockTime::from_millis(600);

/// Mutable state of the platform.
pub(crate) struct ModelState {
    pub(crate) workers: BTreeMap<WorkerId, EmulatedWorker>,
    pub(crate) vms: BTreeMap<VmName, EmulatedVm>,
    pub(crate) worker_entries: KeyedTopic<WorkerRecord>,
    pub(crate) operator_records: KeyedTopic<OperatorRecord>,
    pub(crate) tenants: EmulatedTenants,
    pub(crate) history: EmulationHistory,
    pub(crate) rng: StdRng,
    /// True while orders on VMs are executed but not answered.
    pub(crate) drops_vm_answers: bool,
    /// Arrivals of jobs with a fatal task at present.
    pub(crate) fatal_arrivals: Vec<FatalArrivals>,
    last_worker_number: u64,
}

/// Emulated platform of a run.
pub(crate) struct PlatformModel {
    pub(crate) clock: BootClock,
    pub(crate) network: Arc<EmulatedNetwork>,
    pub(crate) store: EmulatedStore,
    state: Mutex<ModelState>,
    /// Change counter that wakes waiting renewals when a worker receives an order or ends.
    changed: watch::Sender<u64>,
    seed: u64,
    worker_cpu: u64,
    guarded: bool,
    /// Number of failures of a task after which its job fails.
    pub(crate) max_failures: u32,
    pub(crate) policy: Option<ScenarioPolicy>,
}

impl PlatformModel {
    pub(crate) fn open(scenario: &EmulationScenario, seed: u64, clock: BootClock) -> Arc<Self> {
        let (changed, _) = watch::channel(0);
        let model = Arc::new(Self {
            clock,
            network: Arc::new(EmulatedNetwork::default()),
            store: EmulatedStore::open(seed),
            state: Mutex::new(ModelState {
                workers: BTreeMap::new(),
                vms: BTreeMap::new(),
                worker_entries: KeyedTopic::default(),
                operator_records: KeyedTopic::default(),
                tenants: EmulatedTenants::open(scenario, catalogue(scenario)),
                history: EmulationHistory::default(),
                rng: StdRng::seed_from_u64(seed),
                drops_vm_answers: false,
                fatal_arrivals: Vec::new(),
                last_worker_number: 0,
            }),
            changed,
            seed,
            worker_cpu: scenario.worker_cpu,
            guarded: scenario.guarded,
            max_failures: scenario.max_failures,
            policy: scenario.policy,
        });
        model.populate(scenario);
        model
    }

    fn populate(&self, scenario: &EmulationScenario) {
        let now = self.clock.now();
        let mut state = self.state();
        state.history.tenant_limits = first_limit(scenario, now);
        if let Some(catalogue) = state.tenants.record() {
            state.operator_records.push("config", catalogue, false);
        }
        let mut pools: Vec<(String, usize)> = Vec::new();
        pools.extend(
            scenario
                .pools()
                .into_iter()
                .map(|pool| (pool, scenario.workers)),
        );
        pools.push((SPARE_POOL.to_owned(), scenario.spare));
        for (pool, count) in pools {
            for number in 0..count {
                let vm_name = VmName::new(&format!("m-{pool}-{number}"));
                let vm = EmulatedVm::up(vm_name.clone(), PoolName::new(&pool), self.rack(number));
                state.vms.insert(vm_name.clone(), vm);
                if pool != SPARE_POOL {
                    self.start_worker(&mut state, &vm_name, now);
                }
            }
        }
    }

    fn rack(&self, number: usize) -> RackName {
        RackName::new(&format!("r-{}", number / RACK_VMS))
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, ModelState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn capacity(&self) -> Resources {
        Resources {
            cpu: self.worker_cpu,
            mem_mb: WORKER_MEM_MB,
            gpu: 0,
        }
    }

    /// Starts a new worker on a VM.
    pub(crate) fn start_worker(&self, state: &mut ModelState, vm_name: &VmName, now: ClockTime) {
        state.last_worker_number += 1;
        let id = WorkerId::new(&format!("i-{}", state.last_worker_number));
        self.restart_worker(state, id, vm_name, now);
    }

    /// Starts a worker on a VM under an id, which may have been used before.
    pub(crate) fn restart_worker(
        &self,
        state: &mut ModelState,
        id: WorkerId,
        vm_name: &VmName,
        now: ClockTime,
    ) {
        let entry = self.new_worker_entry(state, vm_name);
        self.start_incarnation(state, id.clone(), vm_name, entry, now);
        if let Some(vm) = state.vms.get_mut(vm_name) {
            vm.worker = Some(id);
        }
    }

    /// Starts an incarnation of a worker under an id, which may have been used before.
    pub(crate) fn start_incarnation(
        &self,
        state: &mut ModelState,
        id: WorkerId,
        vm_name: &VmName,
        entry: WorkerEntry,
        now: ClockTime,
    ) {
        let clock_lag = state.rng.random_range(0..MAX_CLOCK_LAG_PERMILLE);
        let worker = EmulatedWorker::new(
            id.clone(),
            vm_name.clone(),
            entry,
            self.guarded,
            clock_lag,
            now,
        );
        let registered = WorkerRecord::Registered(id.clone(), worker.entry.clone());
        state.worker_entries.push(id.as_str(), registered, false);
        state.workers.insert(id, worker);
    }

    fn new_worker_entry(&self, state: &ModelState, vm_name: &VmName) -> WorkerEntry {
        let vm = state.vms.get(vm_name);
        let rack = vm.map(|vm| vm.rack.clone());
        WorkerEntry {
            pool: vm.map_or_else(|| PoolName::new(""), |vm| vm.pool.clone()),
            // The workers of a VM follow one another at its address.
            address: vm_name.as_str().into(),
            data_centre: DataCentre::new("dc-1"),
            state: WorkerState::Ready,
            capacity: self.capacity(),
            labels: smallvec::SmallVec::new(),
            rack,
            incarnation: None,
        }
    }

    /// Ends a worker's process and removes its entry.
    pub(crate) fn end_worker(&self, state: &mut ModelState, id: &WorkerId, now: ClockTime) {
        if let Some(mut worker) = state.workers.remove(id) {
            worker.kill(now, &mut state.history);
            state
                .worker_entries
                .push(id.as_str(), WorkerRecord::Removed(id.clone()), true);
        }
        self.notify_waiters();
    }

    /// Registers a worker again, as at a heartbeat.
    pub(crate) fn refresh_entry(&self, id: &WorkerId) {
        let mut state = self.state();
        if let Some(worker) = state.workers.get_mut(id) {
            let entry = worker.refresh_entry().clone();
            let registered = WorkerRecord::Registered(id.clone(), entry);
            state.worker_entries.push(id.as_str(), registered, false);
        }
    }

    pub(crate) fn notify_waiters(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Handles a renewal of a lease: `None` if the worker's process has ended, and `Some(None)` if
    /// the worker has seen a higher token.
    pub(crate) async fn renew(
        &self,
        id: &WorkerId,
        order: RenewalOrder,
        token: u64,
    ) -> Option<Option<RenewalReport>> {
        // Another process than the order is for is only asked for its report.
        let order = if self.is_process(id, order.incarnation) {
            order
        } else {
            RenewalOrder::default()
        };
        let deadline = Instant::now() + Duration::from_millis(order.wait.as_millis());
        let mut changed = self.changed.subscribe();
        let first = self.with_worker(id, |worker, now, history| {
            let incarnation = worker.entry.incarnation;
            let report = worker.renew(order, token, now, history);
            report.map(|_| incarnation)
        });
        let Some(incarnation) = first? else {
            return Some(None);
        };
        loop {
            changed.mark_unchanged();
            let polled = self.with_worker(id, |worker, now, history| {
                // The connection has ended with the process.
                if worker.entry.incarnation != incarnation {
                    return None;
                }
                worker.end_due_runs(now, history);
                if worker.has_unreported_end() || Instant::now() >= deadline {
                    return Some(Err(worker.report(now)));
                }
                Some(Ok(worker.next_end()))
            });
            let next = match polled?? {
                Ok(next) => next,
                Err(report) => return Some(Some(report)),
            };
            let wake_at = next.map_or(deadline, |at| {
                let remaining = at - self.clock.now();
                let remaining = Duration::from_millis(remaining.as_millis().max(1));
                deadline.min(Instant::now() + remaining)
            });
            // Wakes on an order, at the next end, or at the end of the wait.
            let _ = timeout_at(wake_at, changed.changed()).await;
        }
    }

    /// Runs an action on a worker; `None` if the process has ended.
    fn with_worker<T>(
        &self,
        id: &WorkerId,
        action: impl FnOnce(&mut EmulatedWorker, ClockTime, &mut EmulationHistory) -> T,
    ) -> Option<T> {
        let now = self.clock.now();
        let mut state = self.state();
        let ModelState {
            workers, history, ..
        } = &mut *state;
        Some(action(workers.get_mut(id)?, now, history))
    }

    /// Returns whether an order for the process that started at `incarnation` is for the present one of
    /// the worker.
    pub(crate) fn is_process(&self, id: &WorkerId, incarnation: Option<u64>) -> bool {
        let state = self.state();
        let present = state.workers.get(id).map(|worker| worker.entry.incarnation);
        incarnation.is_none() || present.is_none_or(|present| present == incarnation)
    }

    /// Failure mode and incarnation of a worker.
    fn mode_and_incarnation(&self, id: &WorkerId) -> Option<(WorkerMode, Option<u64>)> {
        let state = self.state();
        let worker = state.workers.get(id)?;
        Some((worker.mode, worker.entry.incarnation))
    }

    /// Executes an order now and returns its answer. If the worker executes orders late, schedules
    /// the order for the same incarnation and returns `None`. The order's argument is true if it
    /// is executed late.
    fn deliver_order<T>(
        self: &Arc<Self>,
        id: &WorkerId,
        order: impl FnOnce(&Self, bool) -> Option<T> + Send + 'static,
    ) -> Option<T> {
        let (mode, incarnation) = self.mode_and_incarnation(id)?;
        if mode != WorkerMode::Late {
            return order(self, false);
        }
        let (model, id) = (self.clone(), id.clone());
        let execute_at = self.late_delivery_time();
        tokio::spawn(async move {
            sleep_until(execute_at).await;
            // Orders not yet executed are lost when the process ends.
            if model
                .mode_and_incarnation(&id)
                .is_some_and(|(_, current)| current == incarnation)
            {
                // The caller gets no answer.
                let _ = order(&model, true);
            }
        });
        None
    }

    /// Handles a start order; `None` if it is not answered.
    pub(crate) fn start_run(
        self: &Arc<Self>,
        id: &WorkerId,
        order: StartOrder,
        token: u64,
        sender_in_touch: bool,
    ) -> Option<StartReply> {
        let (worker_id, model) = (id.clone(), self.clone());
        self.deliver_order(id, move |_, late| {
            let behaviour = model.behaviour(&order);
            let crashes_after = behaviour.crashes_after;
            let reply = model.with_worker(&worker_id, |worker, now, history| {
                let conditions = StartConditions {
                    at: now,
                    sender_in_touch,
                    ..StartConditions::default()
                };
                let reply = worker.start_run(&order, behaviour, token, conditions, history);
                if late && reply == StartReply::Started {
                    history.record_late_start(&worker_id, order.task, order.run);
                }
                reply
            })?;
            if let Some(after) = crashes_after.filter(|_| reply == StartReply::Started) {
                model.schedule_crash(&worker_id, (order.task, order.run), after);
            }
            model.notify_waiters();
            Some(reply)
        })
    }

    /// Handles a stop order; `None` if it is not answered.
    pub(crate) fn stop_run(
        self: &Arc<Self>,
        id: &WorkerId,
        task: TaskKey,
        run: u32,
        token: u64,
    ) -> Option<OrderReply> {
        let worker_id = id.clone();
        self.deliver_order(id, move |model, late| {
            let reply = model.with_worker(&worker_id, |worker, now, history| {
                let reply = worker.stop_run(task, run, token, now, history);
                if late {
                    history.record_late_stop(&worker_id, task, run, now);
                }
                reply
            })?;
            model.notify_waiters();
            Some(reply)
        })
    }

    /// Random time at which a late order is executed.
    fn late_delivery_time(&self) -> Instant {
        let millis = self.state().rng.random_range(2_000..12_000);
        Instant::now() + Duration::from_millis(millis)
    }

    /// Behaviour of a run, determined by the seed, the task and the run number.
    fn behaviour(&self, order: &StartOrder) -> TaskBehaviour {
        let TaskKey {
            job,
            occurrence,
            step,
            index,
        } = order.task;
        let run_seed = self.seed
            ^ job.0.rotate_left(17)
            ^ u64::from(occurrence).rotate_left(41)
            ^ (u64::from(step) << 32)
            ^ (u64::from(index) << 16)
            ^ u64::from(order.run);
        let mut rng = StdRng::seed_from_u64(run_seed);
        let payload = TaskPayload::read(&order.payload);
        let duration = payload.mean_ms.map(|mean| {
            let factor = rng.random_range(0.5..1.5);
            ClockTime::from_millis((mean as f64 * factor) as u64)
        });
        let fails =
            payload.hopeless || (duration.is_some() && rng.random_bool(RANDOM_FAILURE_SHARE));
        let crashes_after = payload.is_fatal(step, index).then(|| {
            let crashes_late = payload.fatal_task.is_some_and(|task| task.crashes_late);
            let range = if crashes_late {
                LATE_CRASH_MS
            } else {
                CRASH_MS
            };
            ClockTime::from_millis(rng.random_range(range))
        });
        TaskBehaviour {
            fails: fails && crashes_after.is_none(),
            // A fatal task does not end before the crash.
            duration: match (duration, crashes_after) {
                (Some(duration), Some(after)) => {
                    Some(duration.max(after + ClockTime::from_secs(1)))
                }
                _ => duration,
            },
            need: task_need(payload.cpu),
            crashes_after,
        }
    }
}

/// Resources that a task requests.
pub(crate) fn task_need(cpu: u64) -> Resources {
    Resources {
        cpu,
        mem_mb: TASK_MEM_MB,
        gpu: 0,
    }
}

/// Objective of a job, given the total duration of its steps.
pub(crate) fn objective(steps_ms: u64) -> ClockTime {
    ClockTime::from_millis((steps_ms as f64 * OBJECTIVE_STRETCH) as u64) + OBJECTIVE_MARGIN
}

fn first_limit(scenario: &EmulationScenario, at: ClockTime) -> Vec<LimitHistory> {
    let cpu = scenario.tenant_cpu;
    let limit = (cpu > 0).then_some(LimitHistory { at, cpu });
    limit.into_iter().collect()
}

fn catalogue(scenario: &EmulationScenario) -> JobCatalogue {
    let pools = scenario.pools();
    let work = |pool: &String| {
        let load = scenario.loads.iter().find(|load| load.pool == *pool);
        JobWork {
            public: false,
            name: WorkName::new(pool),
            host: format!("{pool}.example"),
            path_prefix: "/jobs/".to_owned(),
            pool: PoolName::new(pool),
            priority: load.map_or(0, |load| load.priority),
            max_failures: scenario.max_failures,
            stretch: OBJECTIVE_STRETCH,
            objective: OBJECTIVE_MARGIN,
            timeout: ClockTime::from_secs(3),
            advice: scenario.policy.map(AdvicePolicy::from),
        }
    };
    let pool = |name: &str, spare: bool| JobPool {
        name: PoolName::new(name),
        spare,
        guarded: scenario.guarded,
        max_connections: 64,
    };
    let mut all: Vec<JobPool> = pools.iter().map(|name| pool(name, false)).collect();
    all.push(pool(SPARE_POOL, true));
    JobCatalogue {
        unreadable: Vec::new(),
        tenants: None,
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
