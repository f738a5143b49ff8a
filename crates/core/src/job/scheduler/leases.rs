//! Leases of workers: how they are renewed, and when what they cover can no longer be at work.

use smallvec::{SmallVec, smallvec};

use crate::{
    clock::ClockTime,
    job::{
        lease::{UnknownLease, WorkerLease},
        spec::{Resources, TaskKey},
        worker::{Worker, WorkerEntry, WorkerState},
    },
    name::{DataCentre, PoolName, WorkerId},
};

use super::{BatchRecord, LossReason, Scheduler, WorkerChange};

/// How a worker's lease is renewed next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RenewalPlan {
    /// The highest number of an end that the worker may forget.
    pub ack: u64,
    /// The new deadline on the worker's clock; none while the worker does not answer, so that what
    /// it holds lapses in known time.
    pub lease_until: Option<u64>,
    /// Whether ends are reported that are not stored yet, so that asking again would return them
    /// at once.
    pub has_unstored_ends: bool,
    /// Whether the worker does not answer.
    pub silent: bool,
}

impl Scheduler {
    /// Takes over the time by which all that a worker holds lapses, as it is stored.
    pub fn restore_lease_expiry(&mut self, id: &WorkerId, at: ClockTime) {
        let worker = self.worker_or_stub(id);
        worker.lapse_stored = true;
        if let WorkerLease::Unknown(lease) = &mut worker.lease {
            lease.stored_lapse = Some(at);
        }
    }

    /// How a worker's lease is renewed next; counts the deadline as sent.
    pub fn plan_renewal(&mut self, id: &WorkerId, now: ClockTime) -> Option<RenewalPlan> {
        let max_lease = self.limits.max_lease;
        let worker = self.workers.get_mut(id)?;
        let silent = worker.silent_since.is_some();
        let lease_until = if silent || worker.lapse_stored {
            None
        } else {
            worker.lease.extend(max_lease, now)
        };
        Some(RenewalPlan {
            ack: worker.end_stored,
            lease_until,
            has_unstored_ends: worker.end_seen > worker.end_stored,
            silent,
        })
    }

    /// A worker did not answer a renewal.
    pub fn renewal_failed(&mut self, id: &WorkerId, now: ClockTime) {
        self.now = now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.silent_since.is_none() {
            worker.silent_since = Some(now);
            if !worker.is_empty() && !worker.lapse_stored {
                worker.lapse_stored = true;
                let lapse = Some(worker.lease.lapsed_by());
                self.outbox
                    .push(BatchRecord::LeaseExpiry(id.clone(), lapse));
            }
            let pool = worker.entry.pool.clone();
            self.note_worker(id.clone(), pool, WorkerChange::Silent);
        }
    }

    /// Frees the runs of workers that have been out of touch for longer than any lease, and drops
    /// workers that are gone.
    pub(super) fn lapse_leases(&mut self) {
        let now = self.now;
        let missing = self.limits.missing_grace;
        let mut lapsed: SmallVec<[WorkerId; 4]> = smallvec![];
        let mut gone: SmallVec<[WorkerId; 4]> = smallvec![];
        for worker in self.workers.values() {
            let out = worker.silent_since.is_some() || worker.seen_at.is_none();
            if out && !worker.is_empty() && now > worker.lease.lapsed_by() {
                lapsed.push(worker.id.clone());
            }
            let unlisted = worker
                .missing_since
                .is_some_and(|since| now > since + missing);
            if unlisted && worker.is_empty() {
                gone.push(worker.id.clone());
            }
        }
        for id in lapsed {
            self.lose_runs(&id, LossReason::LeaseLapsed);
        }
        self.copy_silent();
        for id in gone {
            if let Some(worker) = self.workers.remove(&id) {
                if worker.lapse_stored {
                    self.outbox.push(BatchRecord::LeaseExpiry(id.clone(), None));
                }
                self.note_worker(id, worker.entry.pool, WorkerChange::Gone);
            }
        }
    }

    /// Lets tasks of which two copies may run start again at once when their worker falls silent.
    pub(super) fn copy_silent(&mut self) {
        let mut copies: SmallVec<[(WorkerId, TaskKey, u32); 8]> = smallvec![];
        let silent = self.workers.values();
        for worker in silent.filter(|worker| worker.silent_since.is_some()) {
            for (key, charge) in &worker.tasks {
                let job = self.jobs.get(&key.job);
                if job.is_some_and(|job| job.step(key).speculative) {
                    copies.push((worker.id.clone(), *key, charge.run));
                }
            }
        }
        for (id, key, run) in copies {
            self.lose_run(&id, key, run, LossReason::Copied);
        }
    }

    /// A worker, or a stub for one that stored runs name and that is not listed.
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
            stored_lapse: None,
        }
    }
}
