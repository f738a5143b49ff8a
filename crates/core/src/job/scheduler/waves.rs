//! Waves of maintenance: which VM is next, which is emptied for it, when a wave is complete.

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    job::{
        spec::TaskKey,
        task::AnyTask,
        vm_order::VmOrder,
        wave::{WaveProgress, WaveRequest},
        worker::Worker,
    },
    name::{VmName, WorkerId},
};

use super::{BatchRecord, Effect, Job, Scheduler, VmState};

/// How far the list of VMs may lag behind an order: the platform's list lags by less than a second.
const LIST_LAG: ClockTime = ClockTime::from_millis(1_500);
/// VMs that are emptied ahead of those that a wave's cap allows now.
const WAVE_AHEAD: usize = 1;
/// How old a worker's report may be for its tasks to count as at work: two renewals.
const FRESH_REPORT: ClockTime = ClockTime::from_millis(2_500);
/// Progress of a task that is fully at work.
const FULL_PERCENT: u8 = 100;

impl Scheduler {
    /// Takes a wave's progress as it is stored.
    pub fn restore_wave(&mut self, number: u64, progress: WaveProgress) {
        self.waves.restore(number, progress);
    }

    /// Takes an operator's wave.
    pub fn request_wave(&mut self, request: WaveRequest, now: ClockTime) {
        let number = request.number;
        let is_new = self.waves.request(request, now);
        let completed = self.waves.waves[&number].progress.completed;
        if is_new && !completed {
            self.effects.push(Effect::WaveStatus {
                wave: number,
                completed: false,
            });
        }
    }

    pub(super) fn maintenance_begun(&mut self, vm: &VmName, number: u64) {
        self.fleet.emptying.remove(vm);
        let Some(wave) = self.waves.waves.get_mut(&number) else {
            return;
        };
        wave.progress.begun.insert(vm.clone());
        let progress = wave.progress.clone();
        self.outbox.push(BatchRecord::Wave(number, progress));
    }

    pub(super) fn go_on_with_waves(&mut self) {
        let open = self.waves.waves.iter();
        let open = open.filter(|(_, wave)| !wave.progress.completed);
        let numbers: SmallVec<[u64; 2]> = open.map(|(number, _)| *number).collect();
        for number in numbers {
            self.go_on_with_wave(number);
        }
    }

    fn go_on_with_wave(&mut self, number: u64) {
        let now = self.now;
        let Some(wave) = self.waves.waves.get(&number) else {
            return;
        };
        // What an earlier owner ordered a moment before is in the list only now.
        if self.fleet.listed_at < self.fleet.opened_at + LIST_LAG {
            return;
        }
        let cap = wave.request.cap.max(1);
        let left: Vec<VmName> = wave
            .remaining(|vm| self.fleet.vms.contains_key(vm))
            .cloned()
            .collect();
        if left.is_empty() {
            self.complete_wave(number);
            return;
        }
        let mut room = cap.saturating_sub(self.maintained(number));
        let mut busy: Vec<(u64, VmName)> = Vec::new();
        for name in left {
            let Some(vm) = self.fleet.vms.get(&name) else {
                continue;
            };
            let emptying = self.fleet.emptying.contains(&name);
            // A VM may be due in two waves: it has one order at a time.
            let ordered = self.fleet.pending.contains_key(&name);
            if ordered || !(emptying || self.fleet.is_free(vm, now)) {
                continue;
            }
            let worker = vm.worker.as_ref().and_then(|id| self.workers.get(id));
            if worker.is_none_or(Worker::is_empty) {
                if vm.state == VmState::Up && room > 0 && self.fleet.may_order(&name, now) {
                    room -= 1;
                    self.order_vm(&name, VmOrder::Maintain(number));
                }
            } else if let Some(worker) = worker {
                busy.push((worker.used.cpu, name));
            }
        }
        self.empty_vms(busy, room + WAVE_AHEAD);
    }

    /// VMs that are down for a wave, by our orders or an earlier owner's.
    fn maintained(&self, number: u64) -> usize {
        let ordered = |vm: &VmName| {
            let pending = self.fleet.pending.get(vm);
            pending.is_some_and(|pending| *pending.order() == VmOrder::Maintain(number))
        };
        let wave = self.waves.waves.get(&number);
        let vms = wave.iter().flat_map(|wave| &wave.request.vms);
        let listed = |vm: &VmName| {
            let entry = self.fleet.vms.get(vm);
            entry.is_some_and(|entry| entry.state == VmState::InMaintenance)
        };
        vms.filter(|vm| ordered(vm) || listed(vm)).count()
    }

    /// Lets the least loaded VMs of a wave run empty.
    fn empty_vms(&mut self, mut busy: Vec<(u64, VmName)>, count: usize) {
        busy.sort_unstable();
        for (_, vm) in busy.into_iter().take(count) {
            if self.fleet.emptying.insert(vm.clone()) {
                self.set_cordon(&vm, true);
            }
        }
        let emptying: SmallVec<[VmName; 4]> = self.fleet.emptying.iter().cloned().collect();
        for vm in emptying {
            if let Some(id) = self.fleet.worker_of(&vm).cloned() {
                self.evict(&id);
            }
        }
    }

    /// Moves tasks that never end away from a worker, as far as their steps may miss them.
    fn evict(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        for (key, run) in worker.runs() {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let step = job.step(&key);
            let running = matches!(job.task(&key), Some(AnyTask::Running(_)));
            if running && step.long_running && self.may_miss(job, &key) {
                self.stop_task(id, key, run);
            }
        }
    }

    /// Whether a step may miss one more task: fewer others are away than it may miss. A task on a
    /// worker that does not answer is taken to be away.
    fn may_miss(&self, job: &Job, key: &TaskKey) -> bool {
        let most = usize::from(job.step(key).may_miss);
        let occurrence = &job.occurrences[key.occurrence as usize];
        let tasks = (0u16..).zip(&occurrence.steps[usize::from(key.step)]);
        let others = tasks.filter(|(index, _)| *index != key.index);
        let away = others.filter(|(_, task)| !self.is_at_work(task)).count();
        most == 0 || away < most
    }

    fn is_at_work(&self, task: &AnyTask) -> bool {
        let AnyTask::Running(task) = task else {
            return false;
        };
        let worker = self.workers.get(&task.phase.worker);
        let answers = worker.is_some_and(|worker| {
            let seen = worker.seen_at.unwrap_or_default();
            worker.silent_since.is_none() && self.now < seen + FRESH_REPORT
        });
        answers && task.phase.percent >= FULL_PERCENT
    }

    fn complete_wave(&mut self, number: u64) {
        let Some(wave) = self.waves.waves.get_mut(&number) else {
            return;
        };
        wave.progress.completed = true;
        let progress = wave.progress.clone();
        self.outbox.push(BatchRecord::Wave(number, progress));
        self.effects.push(Effect::WaveStatus {
            wave: number,
            completed: true,
        });
    }
}
