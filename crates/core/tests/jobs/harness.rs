//! Test harness for the scheduler of an owner; the test plays the workers and the store.

use std::{collections::BTreeMap, sync::Arc};

use jacinthhoist_core::{
    ClockTime, DataCentre, PoolName, VmName, WorkName, WorkerId,
    job::{
        ActiveRun, AnyTask, Batch, BatchRecord, CallerLimits, ClockReadings, Effect, EndedRun,
        JobCatalogue, JobId, JobPool, JobProgress, JobSpec, JobTerms, JobWork, RenewalReport,
        Resources, Scheduler, SchedulerLimits, StartReply, StepSpec, StoredTime, TaskEnd, TaskKey,
        VmEntry, VmState, WaveProgress, WorkerEntry, WorkerState,
    },
};

/// A start or stop order that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RunOrder {
    pub(crate) worker: WorkerId,
    pub(crate) task: TaskKey,
    pub(crate) run: u32,
}

pub(crate) struct SchedulerHarness {
    pub(crate) scheduler: Scheduler,
    pub(crate) now: ClockTime,
    pub(crate) batches: Vec<Batch>,
    pub(crate) starts: Vec<RunOrder>,
    pub(crate) stops: Vec<RunOrder>,
    /// All other effects: VM orders, wave status and policy queries.
    pub(crate) orders: Vec<Effect>,
    pub(crate) body_removals: Vec<Vec<JobId>>,
    /// Progress records in the store.
    pub(crate) stored: BTreeMap<JobId, JobProgress>,
    pub(crate) lease_expiries: BTreeMap<WorkerId, StoredTime>,
    pub(crate) stored_waves: BTreeMap<u64, WaveProgress>,
    end_numbers: BTreeMap<WorkerId, u64>,
}

pub(crate) fn ms(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

pub(crate) fn worker(number: usize) -> WorkerId {
    WorkerId::new(&format!("i-{number}"))
}

/// Number of the worker with this id.
pub(crate) fn number_of(id: &WorkerId) -> usize {
    let number = id.as_str().strip_prefix("i-");
    let number = number.and_then(|text| text.parse().ok());
    number.expect("the id of a worker of the harness")
}

pub(crate) fn key(job: u64, step: u16, index: u16) -> TaskKey {
    TaskKey {
        job: JobId(job),
        occurrence: 0,
        step,
        index,
    }
}

pub(crate) fn step(count: u16) -> StepSpec {
    StepSpec {
        count,
        need: Resources {
            cpu: 1_000,
            mem_mb: 100,
            gpu: 0,
        },
        ..StepSpec::default()
    }
}

pub(crate) fn long_running_step(count: u16, may_miss: u16) -> StepSpec {
    StepSpec {
        long_running: true,
        may_miss,
        max_per_worker: 1,
        ..step(count)
    }
}

pub(crate) fn catalogue() -> Arc<JobCatalogue> {
    let pool = |name: &str, spare: bool| JobPool {
        name: PoolName::new(name),
        spare,
        guarded: true,
        max_connections: 64,
    };
    let work = |name: &str| JobWork {
        public: false,
        name: WorkName::new(name),
        host: format!("{name}.example"),
        path_prefix: "/".to_owned(),
        pool: PoolName::new(name),
        priority: 0,
        max_failures: 2,
        stretch: 1.6,
        objective: ms(600),
        timeout: ms(3_000),
        advice: None,
    };
    Arc::new(JobCatalogue {
        unreadable: Vec::new(),
        tenants: None,
        version: 1,
        works: vec![work("mould"), work("melt")],
        pools: vec![
            pool("mould", false),
            pool("melt", false),
            pool("spare", true),
        ],
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 262_144,
            head: ms(3_000),
            idle: ms(15_000),
        },
    })
}

pub(crate) fn spec(steps: Vec<StepSpec>, now: ClockTime) -> Arc<JobSpec> {
    Arc::new(JobSpec {
        tenant: None,
        work: WorkName::new("mould"),
        terms: JobTerms::example("mould"),
        received_at: now,
        received_on: None,
        payload: "x".into(),
        steps,
        repeat: None,
    })
}

pub(crate) fn entry(pool: &str) -> WorkerEntry {
    WorkerEntry {
        pool: PoolName::new(pool),
        address: "127.0.0.1:9".into(),
        data_centre: DataCentre::new("dc-1"),
        state: WorkerState::Ready,
        capacity: Resources {
            cpu: 32_000,
            mem_mb: 131_072,
            gpu: 0,
        },
        labels: ["a".into(), "r-1".into()].into_iter().collect(),
        rack: None,
        incarnation: Some(1),
    }
}

/// Entry of a worker at an address of its own.
pub(crate) fn listed_entry(number: usize) -> WorkerEntry {
    WorkerEntry {
        address: format!("127.0.0.1:{}", 7_000 + number).into(),
        ..entry("mould")
    }
}

pub(crate) fn vm(number: usize, pool: &str, state: VmState) -> VmEntry {
    VmEntry {
        vm: VmName::new(&format!("m-{number}")),
        pool: PoolName::new(pool),
        state,
        rack: None,
        capacity: entry(pool).capacity,
        worker: Some(worker(number)),
    }
}

impl SchedulerHarness {
    /// Creates an owner whose workers in pool `mould` have reported.
    pub(crate) fn open(workers: usize) -> Self {
        let mut harness = Self::without_workers(ms(1_000_000));
        harness.list_workers(workers);
        for number in 0..workers {
            harness.report(number, RenewalReport::default());
        }
        harness.step();
        harness
    }

    /// Creates an owner that knows no workers or jobs.
    pub(crate) fn without_workers(now: ClockTime) -> Self {
        Self {
            scheduler: Scheduler::open(SchedulerLimits::example(), catalogue(), now),
            now,
            batches: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            orders: Vec::new(),
            body_removals: Vec::new(),
            stored: BTreeMap::new(),
            lease_expiries: BTreeMap::new(),
            stored_waves: BTreeMap::new(),
            end_numbers: BTreeMap::new(),
        }
    }

    pub(crate) fn list_workers(&mut self, workers: usize) {
        let listed = (0..workers).map(|number| (worker(number), listed_entry(number)));
        self.scheduler.workers_listed(listed.collect(), self.now);
    }

    /// Creates the next owner, with the clock of this one, from the records that it has stored.
    pub(crate) fn take_over(&self, jobs: &[(JobId, Arc<JobSpec>)], workers: usize) -> Self {
        self.take_over_on(ClockReadings::default(), self.now, jobs, workers)
    }

    /// Creates the next owner from the records that this one has stored; its clock shows `now`.
    pub(crate) fn take_over_on(
        &self,
        readings: ClockReadings,
        now: ClockTime,
        jobs: &[(JobId, Arc<JobSpec>)],
        workers: usize,
    ) -> Self {
        let mut next = Self::without_workers(now);
        next.scheduler.set_readings(readings);
        for (id, spec) in jobs {
            let progress = self.stored.get(id).cloned().unwrap_or_default();
            next.scheduler.restore(*id, Some(spec.clone()), &progress);
        }
        for (id, expiry) in &self.lease_expiries {
            next.scheduler.restore_lease_expiry(id, expiry.clone());
        }
        for (number, progress) in &self.stored_waves {
            next.scheduler.restore_wave(*number, progress.clone());
        }
        next.stored = self.stored.clone();
        next.lease_expiries = self.lease_expiries.clone();
        next.stored_waves = self.stored_waves.clone();
        next.list_workers(workers);
        next.step();
        next
    }

    pub(crate) fn wait(&mut self, millis: u64) {
        self.now = self.now + ms(millis);
    }

    /// Runs one scheduler step; its batches wait for [`SchedulerHarness::store`].
    pub(crate) fn step(&mut self) {
        for effect in self.scheduler.step(self.now) {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Store(batch) => self.batches.push(batch),
            Effect::Start {
                worker, task, run, ..
            } => self.starts.push(RunOrder { worker, task, run }),
            Effect::Stop { worker, task, run } => self.stops.push(RunOrder { worker, task, run }),
            Effect::RemoveBodies(jobs) => self.body_removals.push(jobs),
            Effect::Log(_) => {}
            order => self.orders.push(order),
        }
    }

    /// Stores the waiting batches, then runs a step.
    pub(crate) fn store(&mut self) {
        for batch in std::mem::take(&mut self.batches) {
            for record in &batch.records {
                match record {
                    BatchRecord::Progress(id, progress) => {
                        self.stored.insert(*id, progress.clone());
                    }
                    BatchRecord::LeaseExpiry(id, Some(expiry)) => {
                        self.lease_expiries.insert(id.clone(), expiry.clone());
                    }
                    BatchRecord::LeaseExpiry(id, None) => {
                        self.lease_expiries.remove(id);
                    }
                    BatchRecord::Wave(number, progress) => {
                        self.stored_waves.insert(*number, progress.clone());
                    }
                    _ => {}
                }
            }
            self.scheduler.batch_stored(batch.number, self.now);
        }
        self.step();
    }

    /// Steps and stores a few times, until nothing is left to store.
    pub(crate) fn settle(&mut self) {
        for _ in 0..6 {
            self.wait(20);
            self.step();
            self.store();
        }
    }

    pub(crate) fn accept(&mut self, id: u64, steps: Vec<StepSpec>) -> Arc<JobSpec> {
        let spec = spec(steps, self.now);
        self.scheduler.accept(JobId(id), spec.clone());
        spec
    }

    /// Acknowledges all sent start orders and returns them.
    pub(crate) fn confirm(&mut self) -> Vec<RunOrder> {
        let starts = std::mem::take(&mut self.starts);
        for start in &starts {
            self.reply(start, StartReply::Started);
        }
        starts
    }

    pub(crate) fn reply(&mut self, start: &RunOrder, reply: StartReply) {
        let RunOrder { worker, task, run } = start;
        self.scheduler
            .start_replied(worker, *task, *run, reply, self.now);
    }

    pub(crate) fn report(&mut self, number: usize, report: RenewalReport) {
        let asked_at = self.now;
        self.wait(1);
        self.report_asked_at(number, report, asked_at);
    }

    /// Sends a report that was requested at a time and arrives now.
    pub(crate) fn report_asked_at(
        &mut self,
        number: usize,
        report: RenewalReport,
        asked_at: ClockTime,
    ) {
        let report = RenewalReport {
            clock: self.now.as_millis(),
            incarnation: report.incarnation.or(Some(1)),
            ..report
        };
        self.scheduler
            .report(&worker(number), report, asked_at, self.now);
    }

    /// Lists the entry that a process of a worker has written.
    pub(crate) fn register(&mut self, number: usize, incarnation: u64) {
        let entry = WorkerEntry {
            incarnation: Some(incarnation),
            ..listed_entry(number)
        };
        self.scheduler
            .worker_listed(worker(number), entry, self.now);
    }

    /// Builds a report of running tasks.
    pub(crate) fn running(starts: &[RunOrder], percent: u8) -> RenewalReport {
        let row = |start: &RunOrder| ActiveRun {
            task: start.task,
            run: start.run,
            checkpoint: None,
            percent,
            load: 0,
        };
        RenewalReport {
            running: starts.iter().map(row).collect(),
            ..RenewalReport::default()
        }
    }

    /// Sends a report of each worker with its part of the running tasks.
    pub(crate) fn report_all(&mut self, starts: &[RunOrder], workers: usize, percent: u8) {
        for number in 0..workers {
            self.report_part(number, starts, percent);
        }
    }

    /// Sends a report of a worker with its part of the running tasks.
    pub(crate) fn report_part(&mut self, number: usize, starts: &[RunOrder], percent: u8) {
        let own_starts = starts.iter().filter(|start| start.worker == worker(number));
        let own_starts: Vec<RunOrder> = own_starts.cloned().collect();
        self.report(number, Self::running(&own_starts, percent));
    }

    /// Reports the end of a run by its worker, which has no other run.
    pub(crate) fn end(&mut self, start: &RunOrder, end: TaskEnd) {
        self.end_beside(start, end, &[]);
    }

    /// Reports the end of a run by its worker, which goes on with its part of other runs.
    pub(crate) fn end_beside(&mut self, start: &RunOrder, end: TaskEnd, others: &[RunOrder]) {
        let number = self.end_numbers.entry(start.worker.clone()).or_default();
        *number += 1;
        let row = EndedRun {
            number: *number,
            task: start.task,
            run: start.run,
            end,
            checkpoint: None,
        };
        let own_others = others.iter().filter(|other| other.worker == start.worker);
        let own_others: Vec<RunOrder> = own_others.cloned().collect();
        let asked_at = self.now;
        self.wait(1);
        let report = RenewalReport {
            clock: self.now.as_millis(),
            incarnation: Some(1),
            running: Self::running(&own_others, 50).running,
            ended: vec![row],
            has_more_ends: false,
        };
        let id = start.worker.clone();
        self.scheduler.report(&id, report, asked_at, self.now);
    }

    pub(crate) fn task(&self, task: TaskKey) -> AnyTask {
        let job = self.scheduler.job(task.job).expect("the job is open");
        job.task(&task).expect("the job has the task").clone()
    }

    pub(crate) fn ack(&mut self, number: usize) -> u64 {
        let plan = self.scheduler.plan_renewal(&worker(number), self.now);
        plan.expect("the worker is known").ack
    }
}
