//! Worker leases: renewal, and release of runs after expiry.

use std::sync::Arc;

use smallvec::{SmallVec, smallvec};

use crate::{
    clock::ClockTime,
    job::{
        lease::{UnknownLease, WorkerLease, latest_expiry},
        release::RunOver,
        spec::{Resources, TaskKey},
        stored_time::{ClockReadings, StoredTime},
        succession::{FormerOwner, OwnershipEvidence, SuccessionRecord},
        worker::{Worker, WorkerEntry, WorkerState},
    },
    name::{DataCentre, PoolName, WorkerId},
};

use super::{BatchRecord, Scheduler, SchedulerDecision, WorkerChange, reports::worker_changed};

/// Parameters of the next lease renewal of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RenewalPlan {
    /// Highest sequence number of an end that the worker may discard; 0 for none.
    pub ack: u64,
    /// New deadline on the worker's clock; `None` if the worker is silent, so that its lease
    /// expires at a known time, if its clock has not been read of late, or without recent evidence of
    /// the ownership.
    pub lease_until: Option<u64>,
    /// Process that the acknowledgement and the deadline are for, if there is one of them; no other one may
    /// get them. `None` if workers tell no start times.
    pub incarnation: Option<u64>,
    /// True if the last report is recent, so that the next one may wait for an end.
    pub is_current: bool,
    /// True if reported ends are not stored yet; the worker would answer another request at once.
    pub has_unstored_ends: bool,
    /// True if the worker does not answer.
    pub silent: bool,
}

impl Scheduler {
    /// Sets the clocks that this member can compare with its own, before anything is restored.
    pub fn set_readings(&mut self, readings: ClockReadings) {
        self.readings = readings;
    }

    /// Restores the stored time by which a worker's lease has expired.
    pub fn restore_lease_expiry(&mut self, id: &WorkerId, expiry: StoredTime) {
        let reached_at = self.readings.reached_at(&expiry, self.now);
        let worker = self.worker_or_stub(id);
        worker.stored_expiry = Some(expiry);
        if let WorkerLease::Unknown(lease) = &mut worker.process.lease {
            lease.stored_expiry = Some(reached_at);
        }
    }

    /// Returns the parameters of the next lease renewal; the deadline counts as sent.
    pub fn plan_renewal(&mut self, id: &WorkerId, now: ClockTime) -> Option<RenewalPlan> {
        let span = self.grantable_lease(now);
        let worker = self.workers.get_mut(id)?;
        let silent = worker.silent_since.is_some();
        let (ack, lease_until) = (worker.acknowledge(now), worker.renew_lease(span, now));
        let is_bound = ack > 0 || lease_until.is_some();
        Some(RenewalPlan {
            ack,
            lease_until,
            incarnation: worker.process.incarnation.filter(|_| is_bound),
            is_current: worker.is_current(now),
            has_unstored_ends: worker.has_unstored_ends(),
            silent,
        })
    }

    /// Sets the evidence that no other member owns the pools, which bounds the leases to be granted.
    pub fn set_evidence(&mut self, evidence: OwnershipEvidence) {
        self.leases_until = evidence.lease_until(self.limits.max_lease);
    }

    /// Returns the span of a lease that may be granted now; zero if the evidence for it is too old.
    pub(super) fn grantable_lease(&self, now: ClockTime) -> ClockTime {
        self.limits.max_lease.min(self.leases_until - now)
    }

    /// Sets the former owners that may still extend leases on promises, before any worker is known.
    pub fn restore_former_owners(&mut self, formers: SmallVec<[FormerOwner; 2]>) {
        self.former_owners = formers;
    }

    /// Returns the former owners that may still extend leases on promises.
    pub fn former_owners(&self) -> &[FormerOwner] {
        &self.former_owners
    }

    /// Records that a former owner is known to extend leases no more: its last one lapses within one
    /// lease.
    pub fn former_owner_ended(&mut self, key: &str, now: ClockTime) {
        self.former_owners.retain(|former| *former.key != *key);
        let until = latest_expiry(now, self.limits.max_lease).max(self.former_until());
        for worker in self.workers.values_mut() {
            worker.process.lease.bound_former(until);
        }
    }

    /// Time until which former owners may extend leases on promises; zero if none does.
    fn former_until(&self) -> ClockTime {
        let ends = self.former_owners.iter().map(|former| former.until);
        ends.max().unwrap_or_default()
    }

    /// Stores the members whose promises this owner uses, if they have changed.
    pub fn set_succession(&mut self, record: SuccessionRecord) {
        if let Some(record) = self.succession.replace(record) {
            self.outbox.push(BatchRecord::Succession(record));
        }
    }

    /// Stores the succession record again unless something is being stored anyway, so that the store
    /// accepts or refuses an append of this owner.
    pub fn request_append(&mut self) {
        if self.outbox.is_idle()
            && let Some(record) = self.succession.rewrite()
        {
            self.outbox.push(BatchRecord::Succession(record));
        }
    }

    /// Returns the members whose promises are needed in place of the store's confirmation; `None` if
    /// promises do not count yet.
    pub fn successors(&self) -> Option<impl Iterator<Item = &Arc<str>>> {
        self.succession.successors()
    }

    /// Handles a renewal that the worker did not answer.
    pub fn renewal_failed(&mut self, id: &WorkerId, now: ClockTime) {
        self.now = now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.silent_since.is_none() {
            let cause = self.silence_cause(id);
            let Some(worker) = self.workers.get_mut(id) else {
                return;
            };
            worker.silent_since = Some(now);
            // A record that is already there may be about to be cleared.
            if !worker.is_empty() {
                let at = worker.process.lease.latest_expiry();
                let own = self.readings.own();
                // The lease has not been extended while the record was there, so its clocks count as well.
                let expiry = match worker.stored_expiry.take() {
                    Some(stored) => stored.also_on(own, at, now),
                    None => StoredTime::new(own, at, now),
                };
                worker.stored_expiry = Some(expiry.clone());
                self.outbox.set_expiry(id, Some(expiry));
            }
            self.log_worker_change(id, WorkerChange::Silent);
            let runs = self.workers.get(id).map(Worker::runs).unwrap_or_default();
            self.record_losses(id, &runs);
            self.record_silence(id, cause);
        }
        self.ask_successor(id);
    }

    /// Requests a report of the worker that has taken the address of a silent one, as its answer
    /// shows that the silent one has ended.
    fn ask_successor(&mut self, id: &WorkerId) {
        let is_doubted = self.doubted_workers.contains_key(id);
        let silent = self.workers.get(id);
        let Some(silent) = silent.filter(|worker| !worker.is_empty() || is_doubted) else {
            return;
        };
        let address = &silent.entry.address;
        let mut others = self.workers.values();
        let successor = others.find(|worker| {
            worker.entry.address == *address && worker.id != *id && worker.silent_since.is_none()
        });
        if let Some(successor) = successor.map(|worker| worker.id.clone()) {
            self.request_report(&successor);
        }
    }

    /// Releases the runs of workers whose leases have expired, and drops workers that are gone.
    pub(super) fn expire_leases(&mut self) {
        let now = self.now;
        let grace = self.limits.missing_grace;
        let longest_lease = self.limits.longest_lease;
        let mut expired: SmallVec<[(WorkerId, RunOver); 4]> = smallvec![];
        let mut gone: SmallVec<[WorkerId; 4]> = smallvec![];
        for worker in self.workers.values() {
            if !worker.is_empty()
                && let Some(over) = RunOver::lapsed(worker, longest_lease, now)
            {
                expired.push((worker.id.clone(), over));
            }
            let unlisted = worker
                .missing_since
                .is_some_and(|since| now > since + grace);
            if unlisted && worker.is_empty() {
                gone.push(worker.id.clone());
            }
        }
        for (id, over) in expired {
            let runs = self.workers.get(&id).map(Worker::runs).unwrap_or_default();
            self.record_losses(&id, &runs);
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.lapse();
                let lapsed = SchedulerDecision::LeaseLapsed {
                    worker: id.clone(),
                    lease_until: worker.latest_lapse(longest_lease),
                    basis: worker.process.lease.basis(),
                };
                self.log_decision(lapsed);
            }
            self.mark_all_runs_lost(&id, over);
        }
        self.release_speculative();
        for id in gone {
            if let Some(worker) = self.workers.remove(&id) {
                self.worker_list_version += 1;
                if worker.stored_expiry.is_some() {
                    self.outbox.set_expiry(&id, None);
                }
                self.log_decision(worker_changed(&worker, WorkerChange::Gone));
            }
        }
    }

    /// Lets speculative tasks, which may run twice at once, restart as soon as their worker is
    /// silent.
    pub(super) fn release_speculative(&mut self) {
        let mut copies: SmallVec<[(WorkerId, TaskKey, u32, RunOver); 8]> = smallvec![];
        let workers = self.workers.values();
        for worker in workers.filter(|worker| worker.silent_since.is_some()) {
            for ((key, run), charge) in &worker.charges {
                let job = self.jobs.get(&key.job);
                let is_speculative = job.is_some_and(|job| job.step(key).speculative);
                if !charge.is_stray()
                    && let Some(over) = RunOver::copied(worker, is_speculative)
                {
                    copies.push((worker.id.clone(), *key, *run, over));
                }
            }
        }
        for (id, key, run, over) in copies {
            self.mark_run_lost(&id, key, run, over);
        }
    }

    /// Returns a worker, or a stub for an unlisted worker that stored records refer to.
    pub(super) fn worker_or_stub(&mut self, id: &WorkerId) -> &mut Worker {
        let lease = self.unknown_lease();
        let now = self.now;
        self.workers.entry(id.clone()).or_insert_with(|| {
            let entry = WorkerEntry {
                pool: PoolName::new(""),
                address: "".into(),
                data_centre: DataCentre::new(""),
                state: WorkerState::Draining,
                capacity: Resources::default(),
                labels: SmallVec::new(),
                rack: None,
                incarnation: None,
            };
            let mut stub = Worker::listed(id.clone(), entry, lease);
            stub.missing_since = Some(now);
            stub
        })
    }

    pub(super) fn unknown_lease(&self) -> UnknownLease {
        UnknownLease {
            since: self.now,
            max_span: self.limits.max_lease,
            stored_expiry: None,
            former_until: self.former_until(),
        }
    }
}
