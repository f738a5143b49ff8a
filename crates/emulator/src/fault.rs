//! What goes wrong on a day, and for how long.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jacinthhoist_core::{
    ClockTime, WorkerId,
    job::{VmState, WaveRequest, WorkerState},
};
use jacinthhoist_scheduler::ports::{OperatorRecord, WorkerRecord};
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use crate::{
    fleet::{EmulatedFleet, RESTART},
    history::WaveHistory,
    network::Endpoint,
    scenario::{DayFault, FaultKind},
    store::StoreMode,
    worker::{EmulatedWorker, WorkerMode},
};

/// Time between the stops of two members.
const STOP_GAP: Duration = Duration::from_millis(700);
/// Time after a fault in which its effects may show.
const AFTERMATH: ClockTime = ClockTime::from_millis(4_000);
/// Time between a worker's word that it drains and its end.
const DRAIN: Duration = Duration::from_millis(4_000);
/// Share of the VMs that a wave asks for, in percent.
const WAVE_PERCENT: usize = 40;
/// VMs that may be down for a wave at once.
const WAVE_CAP: usize = 2;

impl EmulatedFleet {
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

    fn with_worker(&self, id: &WorkerId, change: impl FnOnce(&mut EmulatedWorker)) {
        if let Some(worker) = self.world.state().workers.get_mut(id) {
            change(worker);
        }
    }

    /// Lets a fault happen.
    pub(crate) async fn strike(self: Arc<Self>, fault: DayFault) {
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
            self.set_ended(id, true);
        }
        self.world.wake();
        sleep(span).await;
        for (id, (vm, entry)) in back {
            let now = self.world.clock.now();
            let mut state = self.world.state();
            // Its VM may have been given to another pool meanwhile.
            let still = state.machines.get(&vm).and_then(|it| it.worker.clone());
            if still.as_ref() == Some(&id) {
                self.set_ended(&id, false);
                self.world.start_life(&mut state, id, &vm, entry, now);
            } else {
                let unlisted = WorkerRecord::Removed(id.clone());
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
            let listed = WorkerRecord::Registered(id.clone(), entry);
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
        self.set_ended(id, true);
    }

    /// A worker's process has ended, or has started, as far as the network shows.
    fn set_ended(&self, id: &WorkerId, ended: bool) {
        let end = Endpoint::Worker(id.clone());
        self.world.network.set_ended(end, ended);
    }

    fn request_wave(&self) {
        let mut state = self.world.state();
        let state = &mut *state;
        let number = state.history.waves.len() as u64 + 1;
        let machines = state.machines.values();
        let up = machines.filter(|machine| machine.state == VmState::Up);
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
            .push(&key, OperatorRecord::Wave(request), false);
    }
}
