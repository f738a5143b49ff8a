//! Store of the owners: batches, takeovers and accepted jobs.

use std::{collections::BTreeMap, sync::Arc};

use jacinthhoist_core::{
    ClockTime, TenantName, WorkerId,
    job::{
        Batch, BatchRecord, ClockReadings, JobId, JobProgress, JobSpec, Scheduler, StoredTime,
        WorkerEntry,
    },
};
use rand::RngExt;

use crate::{
    engine::{Engine, EngineEvent},
    setting,
    world::{Event, MEMBERS, World},
};

/// Range of the advances of the processes' clocks: far beyond any lease.
const MAX_SKEW_MS: u64 = 7_200_000;
/// One in this many owners is not followed by the one that takes over.
const UNFOLLOWED_PART: u64 = 3;
/// Longest transit of a heartbeat.
const MAX_TRANSIT_MS: u64 = 80;

/// Longest steps of owners.
const SLOWNESS_MS: [u64; 4] = [0, 150, 800, 2_500];

fn process_key(token: u64) -> Arc<str> {
    format!("process-{token}").into()
}

#[derive(Default)]
pub(crate) struct Store {
    pub(crate) accepted: BTreeMap<JobId, Arc<JobSpec>>,
    pub(crate) progress: BTreeMap<JobId, JobProgress>,
    pub(crate) expiries: BTreeMap<WorkerId, StoredTime>,
    pub(crate) entries: BTreeMap<WorkerId, (WorkerEntry, u64)>,
    /// Token of the newest owner, and the member that has it.
    pub(crate) token: u64,
    pub(crate) owner: usize,
    pub(crate) down_until: u64,
}

impl World {
    pub(crate) fn apply_batch(&mut self, number: usize, batch: Batch, asked_at: u64) {
        let (member, token) = (self.engines[number].member, self.engines[number].token);
        let blocked_until = self.store_cut_until[member].max(self.store.down_until);
        if blocked_until > self.now {
            let delay = blocked_until - self.now + self.between(0, 200);
            self.after(delay, Event::Apply(number, batch, asked_at));
            return;
        }
        if token < self.store.token {
            self.after(2, Event::Deliver(number, EngineEvent::StoreFenced));
            return;
        }
        for record in &batch.records {
            match record {
                BatchRecord::Progress(id, progress) => {
                    self.store.progress.insert(*id, progress.clone());
                }
                BatchRecord::LeaseExpiry(id, Some(at)) => {
                    self.store.expiries.insert(id.clone(), at.clone());
                }
                BatchRecord::LeaseExpiry(id, None) => {
                    self.store.expiries.remove(id);
                }
                _ => {}
            }
        }
        // An answer that is lost is obtained by repeating the append.
        let slow = if self.chance(self.trouble) { 900 } else { 8 };
        let delay = self.between(1, slow);
        let stored = EngineEvent::Stored {
            number: batch.number,
            asked_at,
        };
        self.after(delay, Event::Deliver(number, stored));
    }

    pub(crate) fn join(&mut self, number: usize) {
        let engine = &self.engines[number];
        if engine.has_ended {
            return;
        }
        let (member, token) = (engine.member, engine.token);
        let asked_at = self.now + engine.skew;
        if self.store_cut_until[member].max(self.store.down_until) <= self.now {
            let event = if self.store.token == token {
                EngineEvent::Confirmed { asked_at }
            } else {
                EngineEvent::StoreFenced
            };
            let delay = self.between(2, 30);
            self.after(delay, Event::Deliver(number, event));
        }
        self.after(200, Event::Join(number));
    }

    pub(crate) fn take_over(&mut self) {
        self.store.token += 1;
        self.store.owner = (self.store.owner + 1) % MEMBERS;
        let (member, token) = (self.store.owner, self.store.token);
        self.store_cut_until[member] = 0;
        self.log(|| format!("member {member} takes over with token {token}"));
        let delay = self.between(5, 400);
        self.after(delay, Event::Open(member, token));
    }

    pub(crate) fn open_engine(&mut self, member: usize, token: u64) {
        if token != self.store.token {
            return;
        }
        let skew = self.skew_of(token);
        let now = ClockTime::from_millis(self.now + skew);
        let mut scheduler = Scheduler::open(
            setting::limits(),
            setting::catalogue(self.guarded, self.terms.tenants),
            now,
        );
        scheduler.set_readings(self.readings_of(token));
        for (id, spec) in &self.store.accepted {
            let progress = self.store.progress.get(id).cloned().unwrap_or_default();
            scheduler.restore(*id, Some(spec.clone()), &progress);
        }
        for (id, expiry) in &self.store.expiries {
            scheduler.restore_lease_expiry(id, expiry.clone());
        }
        scheduler.meter_restored_jobs();
        let listed = self.store.entries.iter();
        let listed = listed.map(|(id, (entry, _))| (id.clone(), entry.clone()));
        scheduler.workers_listed(listed.collect(), now);
        let mut engine = Engine::open(member, token, scheduler, skew, self.now);
        if self.terms.slow_owners {
            engine.slowness = SLOWNESS_MS[self.random.random_range(0..SLOWNESS_MS.len())];
        }
        self.engines.push(engine);
        let number = self.engines.len() - 1;
        self.after(0, Event::Step(number));
        self.after(100, Event::Join(number));
    }

    /// Advance of the clock of the process that owns the pools under a token; any two differ by any amount.
    fn skew_of(&self, token: u64) -> u64 {
        self.skew_seed.wrapping_mul(token) % MAX_SKEW_MS
    }

    /// Clocks that the process which takes over under a token knows: it has received heartbeats of most of the
    /// owners before, until their last step.
    fn readings_of(&self, token: u64) -> ClockReadings {
        let mut readings = ClockReadings::open(process_key(token));
        let skew = self.skew_of(token);
        for engine in &self.engines {
            let mixed = self.skew_seed.wrapping_mul(engine.token + 7 * token);
            if !mixed.is_multiple_of(UNFOLLOWED_PART) {
                let arrived_at = engine.stepped_at + mixed % MAX_TRANSIT_MS;
                let shown = ClockTime::from_millis(engine.stepped_at + engine.skew);
                let now = ClockTime::from_millis(arrived_at.min(self.now) + skew);
                readings.record(&process_key(engine.token), shown, now);
            }
        }
        readings
    }

    pub(crate) fn submit(&mut self, job: u64) {
        let id = JobId(job);
        let mut spec = setting::job(&mut self.random, self.now);
        if self.terms.differing_shapes {
            setting::require_labels(&mut spec, &mut self.random);
        }
        spec.tenant = self.terms.tenants.then(|| setting::tenant_of(id));
        let spec = Arc::new(spec);
        let span = [300, 900, 2_500, 7_000][self.random.random_range(0..4)];
        self.spans.insert(id, span);
        self.checks.add_job(id, spec.clone());
        self.store.accepted.insert(id, spec.clone());
        for number in 0..self.engines.len() {
            let delay = self.between(2, 60);
            let accepted = EngineEvent::Accepted(id, spec.clone());
            self.after(delay, Event::Deliver(number, accepted));
        }
    }

    pub(crate) fn cancel(&mut self) {
        let jobs = self.store.accepted.iter();
        let lasting = jobs.filter(|(_, spec)| spec.steps.iter().any(|step| step.long_running));
        let lasting = lasting.map(|(id, spec)| (*id, spec.tenant.clone()));
        let lasting: Vec<(JobId, Option<TenantName>)> = lasting.collect();
        for (id, tenant) in lasting {
            for number in 0..self.engines.len() {
                self.deliver(number, EngineEvent::Cancelled(id, tenant.clone()));
            }
        }
    }
}
