//! Fault injection.

use std::{collections::BTreeMap, ops::Range, sync::Arc, time::Duration};

use futures::future::join_all;
use jacinthhoist_core::{
    ClockTime, PoolName, WorkerId,
    job::{Resources, VmState, WaveRequest, WorkerState},
};
use jacinthhoist_scheduler::ports::{OperatorRecord, WorkerRecord};
use rand::{RngExt, seq::IndexedRandom};
use tokio::time::sleep;

use crate::{
    crash::FatalArrivals,
    fleet::{EmulatedFleet, RESTART_DELAY},
    history::WaveHistory,
    network::Endpoint,
    scenario::{FaultKind, ScenarioFault},
    store::StoreMode,
    worker::{EmulatedWorker, WorkerMode},
};

/// Time between the shutdowns of two members.
const STOP_INTERVAL: Duration = Duration::from_millis(700);
/// Time after the end of a fault in which its effects may still be visible.
const RECOVERY_TIME: ClockTime = ClockTime::from_millis(4_000);
/// Time from a worker's registration as draining to its end.
const DRAIN_TIME: Duration = Duration::from_millis(4_000);
/// Time for which a worker is cut off before it restarts: shorter than the time after which a renewal
/// without an answer has failed, so that the owner need not notice.
const HIDDEN_RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time for which a restarted worker can be reached before it is cut off again, in milliseconds.
const REACHABLE_MS: Range<u64> = 1..500;
/// Interval between two registrations of a worker.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Capacity of a worker that has shrunk, in percent.
const CAPACITY_PERCENT: Range<u64> = 20..75;
/// Share of the running VMs that a wave covers, in percent.
const WAVE_PERCENT: usize = 40;
/// Maximum number of VMs in maintenance for a wave at once.
const WAVE_CAP: usize = 2;

impl EmulatedFleet {
    /// Indexes of all members, the owner first; a member key begins with the member's name and `|`.
    pub(crate) fn owner_first(&self) -> Vec<usize> {
        let now = self.model.clock.now();
        let owner = self.model.store.owner(now).unwrap_or_default();
        let is_owner = |index: &usize| owner.starts_with(&format!("entry-{index}|"));
        let mut order: Vec<usize> = (0..self.member_count()).collect();
        order.sort_by_key(|index| !is_owner(index));
        order
    }

    fn random_workers(&self, count: usize) -> Vec<WorkerId> {
        let mut state = self.model.state();
        let ids: Vec<WorkerId> = state.workers.keys().cloned().collect();
        ids.sample(&mut state.rng, count).cloned().collect()
    }

    fn with_worker(&self, id: &WorkerId, change: impl FnOnce(&mut EmulatedWorker)) {
        if let Some(worker) = self.model.state().workers.get_mut(id) {
            change(worker);
        }
    }

    /// Injects a fault at its time and reverts it after its span.
    pub(crate) async fn inject(self: Arc<Self>, fault: ScenarioFault) {
        sleep(Duration::from_secs_f64(fault.at)).await;
        let started_at = self.model.clock.now();
        let span = Duration::from_secs_f64(fault.for_s);
        // The end is unknown while the fault lasts.
        let span_index = {
            let mut state = self.model.state();
            let far_future = started_at + ClockTime::from_secs(3_600);
            state.history.fault_spans.push((started_at, far_future));
            state.history.fault_spans.len() - 1
        };
        match fault.kind {
            FaultKind::MemberKill | FaultKind::MemberStop | FaultKind::MemberKillAll => {
                self.stop_members(&fault).await;
            }
            FaultKind::MemberCut
            | FaultKind::OwnerStoreCut
            | FaultKind::FollowersStoreCut
            | FaultKind::MemberFreeze
            | FaultKind::MemberSlow => self.isolate_members(&fault, span).await,
            FaultKind::StoreDown => self.store_fault(StoreMode::Down, span).await,
            FaultKind::StoreSilent => self.store_fault(StoreMode::Silent, span).await,
            FaultKind::StoreSlow => self.store_fault(StoreMode::Slow, span).await,
            FaultKind::StoreLost => self.store_fault(StoreMode::DropAnswers, span).await,
            FaultKind::StoreLate => self.store_fault(StoreMode::DelayWrites, span).await,
            FaultKind::StoreDeaf => self.store_fault(StoreMode::StaleReads, span).await,
            FaultKind::StoreCompact => {
                self.model.store.compact();
                let mut state = self.model.state();
                state.worker_entries.compact();
                state.operator_records.compact();
            }
            FaultKind::StoreDeal => self.model.store.reassign_owner(self.model.clock.now()),
            FaultKind::WorkerCrash | FaultKind::WorkerGone | FaultKind::WorkerDrain => {
                self.stop_workers(&fault, span).await;
            }
            FaultKind::WorkerDark => {
                let workers = self.random_workers(fault.count);
                let network = &self.model.network;
                let set = |isolated: bool| {
                    for id in &workers {
                        network.set_isolated(Endpoint::Worker(id.clone()), isolated);
                    }
                };
                set(true);
                sleep(span).await;
                set(false);
            }
            FaultKind::WorkerFailAll => self.worker_fault(&fault, WorkerMode::FailAll, span).await,
            FaultKind::WorkerHang => self.worker_fault(&fault, WorkerMode::Hang, span).await,
            FaultKind::WorkerSlow => self.worker_fault(&fault, WorkerMode::Slow, span).await,
            FaultKind::WorkerLate => self.worker_fault(&fault, WorkerMode::Late, span).await,
            FaultKind::VmAnswersLost => {
                self.model.state().drops_vm_answers = true;
                sleep(span).await;
                self.model.state().drops_vm_answers = false;
            }
            FaultKind::Wave => self.request_wave(),
            FaultKind::FatalTasks | FaultKind::LateFatalTasks => {
                self.submit_fatal_tasks(&fault, span).await;
            }
            FaultKind::Partition => self.divide_network(&fault, span).await,
            FaultKind::OwnershipFlap => self.flap_ownership(&fault, span).await,
            FaultKind::WorkersAhead => {
                let mut state = self.model.state();
                let idle = state.workers.values_mut().filter(|worker| worker.is_idle());
                idle.for_each(EmulatedWorker::meet_later_owner);
            }
            FaultKind::ClockStep => {
                let members: Vec<usize> = (0..self.member_count()).collect();
                let members: Vec<usize> = {
                    let rng = &mut self.model.state().rng;
                    members.sample(rng, fault.count).copied().collect()
                };
                self.step_clocks(&members, fault.step_ms);
                sleep(span).await;
                self.step_clocks(&members, -fault.step_ms);
            }
            FaultKind::KeyWithdrawal => {
                let now = self.model.clock.now();
                self.model.state().withdraw_keys(fault.count, now);
            }
            FaultKind::LimitLowered => {
                let now = self.model.clock.now();
                self.model.state().lower_limits(now);
            }
            FaultKind::CapacityShrink => self.shrink_capacity(&fault, span).await,
            FaultKind::WorkerReborn => {
                let workers = self.random_workers(fault.count).into_iter();
                join_all(workers.map(|id| self.restart_behind_cut(id, span))).await;
            }
        }
        let until = self.model.clock.now() + RECOVERY_TIME;
        self.model.state().history.fault_spans[span_index].1 = until;
    }

    async fn stop_members(&self, fault: &ScenarioFault) {
        let order = self.owner_first();
        match fault.kind {
            FaultKind::MemberStop => {
                for index in order.into_iter().take(fault.count) {
                    self.stop_and_restart(index).await;
                    sleep(STOP_INTERVAL).await;
                }
            }
            FaultKind::MemberKillAll => {
                for index in &order {
                    self.kill(*index).await;
                }
                sleep(RESTART_DELAY).await;
                for index in order {
                    self.start(index).await;
                }
            }
            _ => {
                for index in order.into_iter().take(fault.count) {
                    self.kill_and_restart(index).await;
                }
            }
        }
    }

    async fn isolate_members(&self, fault: &ScenarioFault, span: Duration) {
        let order = self.owner_first();
        let network = &self.model.network;
        let members = order.into_iter();
        let affected: Vec<usize> = match fault.kind {
            FaultKind::OwnerStoreCut => members.take(1).collect(),
            FaultKind::FollowersStoreCut => members.skip(1).take(fault.count).collect(),
            _ => members.take(fault.count).collect(),
        };
        let set = |cut: bool| {
            for index in &affected {
                let member = Endpoint::Member(*index);
                match fault.kind {
                    FaultKind::MemberCut => network.set_isolated(member, cut),
                    FaultKind::MemberFreeze => network.set_suspended(member, cut),
                    FaultKind::MemberSlow if cut => {
                        let seed = self.model.state().rng.random();
                        let longest = Duration::from_millis(fault.delay_ms);
                        network.set_slow(member, Some((longest, seed)));
                    }
                    FaultKind::MemberSlow => network.set_slow(member, None),
                    _ => network.set_partitioned(member, Endpoint::Store, cut),
                }
            }
        };
        set(true);
        sleep(span).await;
        set(false);
    }

    async fn divide_network(&self, fault: &ScenarioFault, span: Duration) {
        let worker_count = self.model.state().workers.len();
        let worker_count = (worker_count as f64 * fault.worker_share) as usize;
        let workers = self.random_workers(worker_count).into_iter();
        let members = self.owner_first().into_iter().take(fault.count);
        let side = workers.map(Endpoint::Worker);
        let side = side.chain(members.map(Endpoint::Member)).collect();
        let number = self.model.network.begin_partition(side);
        sleep(span).await;
        self.model.network.end_partition(number);
    }

    async fn store_fault(&self, mode: StoreMode, span: Duration) {
        self.model.store.set_mode(mode);
        sleep(span).await;
        self.model.store.set_mode(StoreMode::Normal);
    }

    async fn worker_fault(&self, fault: &ScenarioFault, mode: WorkerMode, span: Duration) {
        let workers = self.random_workers(fault.count);
        for id in &workers {
            self.with_worker(id, |worker| worker.mode = mode);
        }
        sleep(span).await;
        for id in &workers {
            self.with_worker(id, |worker| worker.mode = WorkerMode::Normal);
        }
    }

    async fn stop_workers(&self, fault: &ScenarioFault, span: Duration) {
        let workers = self.random_workers(fault.count);
        match fault.kind {
            FaultKind::WorkerCrash => self.crash_workers(&workers, span).await,
            FaultKind::WorkerDrain => self.drain_workers(&workers).await,
            _ => {
                for id in &workers {
                    self.remove_worker(id);
                }
            }
        }
    }

    /// Adds a fatal task to some of the jobs that callers submit.
    async fn submit_fatal_tasks(&self, fault: &ScenarioFault, span: Duration) {
        let arrivals = FatalArrivals {
            pool: fault.pool.as_deref().map(PoolName::new),
            share: fault.share,
            crashes_late: fault.kind == FaultKind::LateFatalTasks,
        };
        self.model.state().fatal_arrivals.push(arrivals.clone());
        sleep(span).await;
        let mut state = self.model.state();
        let mut active = state.fatal_arrivals.iter();
        if let Some(index) = active.position(|other| *other == arrivals) {
            state.fatal_arrivals.remove(index);
        }
    }

    /// Shrinks the capacity of some workers for a time; their entries show it at the next heartbeat.
    async fn shrink_capacity(&self, fault: &ScenarioFault, span: Duration) {
        let workers = self.random_workers(fault.count);
        let full = self.model.capacity();
        for id in &workers {
            let percent = self.model.state().rng.random_range(CAPACITY_PERCENT);
            let capacity = Resources {
                cpu: full.cpu * percent / 100,
                mem_mb: full.mem_mb * percent / 100,
                ..full
            };
            self.set_capacity(id, capacity);
        }
        sleep(span).await;
        for id in &workers {
            self.set_capacity(id, full);
        }
    }

    fn set_capacity(&self, id: &WorkerId, capacity: Resources) {
        let now = self.model.clock.now();
        self.with_worker(id, |worker| worker.set_capacity(capacity, now));
        let heartbeat_in = self
            .model
            .state()
            .rng
            .random_range(Duration::ZERO..HEARTBEAT);
        let (model, id) = (self.model.clone(), id.clone());
        tokio::spawn(async move {
            sleep(heartbeat_in).await;
            model.refresh_entry(&id);
        });
    }

    /// Crashes workers without notice and restarts them under the same ids.
    async fn crash_workers(&self, workers: &[WorkerId], span: Duration) {
        let mut crashed = BTreeMap::new();
        for id in workers {
            let now = self.model.clock.now();
            let mut state = self.model.state();
            let state = &mut *state;
            if let Some(mut worker) = state.workers.remove(id) {
                worker.kill(now, &mut state.history);
                crashed.insert(id.clone(), (worker.vm.clone(), worker.entry.clone()));
            }
            self.set_stopped(id, true);
        }
        self.model.notify_waiters();
        sleep(span).await;
        for (id, (vm, entry)) in crashed {
            let now = self.model.clock.now();
            let mut state = self.model.state();
            // The VM may have been moved to another pool in the meantime.
            let current_worker = state.vms.get(&vm).and_then(|host| host.worker.clone());
            if current_worker.as_ref() == Some(&id) {
                self.set_stopped(&id, false);
                self.model
                    .start_incarnation(&mut state, id, &vm, entry, now);
            } else {
                let removed = WorkerRecord::Removed(id.clone());
                state.worker_entries.push(id.as_str(), removed, true);
            }
        }
    }

    /// Cuts a worker off, restarts it under its id meanwhile, and cuts it off for `span` a moment after it can
    /// be reached again.
    async fn restart_behind_cut(&self, id: WorkerId, span: Duration) {
        let endpoint = Endpoint::Worker(id.clone());
        let network = &self.model.network;
        network.set_isolated(endpoint.clone(), true);
        sleep(HIDDEN_RESTART_DELAY).await;
        {
            let now = self.model.clock.now();
            let mut state = self.model.state();
            let state = &mut *state;
            if let Some(mut worker) = state.workers.remove(&id) {
                worker.kill(now, &mut state.history);
                let (vm, entry) = (worker.vm.clone(), worker.entry.clone());
                self.model
                    .start_incarnation(state, id.clone(), &vm, entry, now);
            }
        }
        network.set_isolated(endpoint.clone(), false);
        let reachable = self.model.state().rng.random_range(REACHABLE_MS);
        sleep(Duration::from_millis(reachable)).await;
        network.set_isolated(endpoint.clone(), true);
        sleep(span).await;
        network.set_isolated(endpoint, false);
    }

    /// Registers workers as draining, then removes them for good.
    async fn drain_workers(&self, workers: &[WorkerId]) {
        for id in workers {
            let now = self.model.clock.now();
            let mut state = self.model.state();
            let Some(worker) = state.workers.get_mut(id) else {
                continue;
            };
            worker.entry.state = WorkerState::Draining;
            let entry = worker.entry.clone();
            let registered = WorkerRecord::Registered(id.clone(), entry);
            state.worker_entries.push(id.as_str(), registered, false);
            state
                .history
                .draining_since
                .entry(id.clone())
                .or_insert(now);
        }
        sleep(DRAIN_TIME).await;
        for id in workers {
            self.remove_worker(id);
        }
    }

    fn remove_worker(&self, id: &WorkerId) {
        let now = self.model.clock.now();
        let mut state = self.model.state();
        let vm = state.workers.get(id).map(|worker| worker.vm.clone());
        if let Some(vm) = vm {
            state.vms.remove(&vm);
        }
        self.model.end_worker(&mut state, id, now);
        self.set_stopped(id, true);
    }

    /// Sets whether the network reports a worker's process as stopped.
    fn set_stopped(&self, id: &WorkerId, stopped: bool) {
        let endpoint = Endpoint::Worker(id.clone());
        self.model.network.set_stopped(endpoint, stopped);
    }

    fn request_wave(&self) {
        let mut state = self.model.state();
        let state = &mut *state;
        let number = state.history.waves.len() as u64 + 1;
        let all_vms = state.vms.values();
        let running = all_vms.filter(|vm| vm.state == VmState::Up);
        let names: Vec<_> = running.map(|vm| vm.name.clone()).collect();
        let count = names.len() * WAVE_PERCENT / 100;
        let vms: Vec<_> = names.sample(&mut state.rng, count).cloned().collect();
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
            .operator_records
            .push(&key, OperatorRecord::Wave(request), false);
    }
}
