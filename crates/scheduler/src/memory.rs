//! Room for jobs at the member that stores them.
//!
//! The owner stores the records of all members, so it alone decides on most of them; a member that reaches no owner
//! keeps to its part of the room that the last one has reported.

use std::collections::BTreeMap;

use arc_swap::ArcSwap;
use jacinthhoist_codec::StoreOutcome;
use jacinthhoist_core::{
    ClockTime,
    job::{JobId, JobSize},
};

use crate::{eventlog::event, shared::MemberShared};

/// Time after which an append without an outcome is not carried out any more: several times the longest delay of a
/// write to the store.
const LATE_WRITE_SPAN: ClockTime = ClockTime::from_millis(10_000);

/// Job that has been let pass and is not part of the owner's report.
#[derive(Clone, Copy, Debug)]
struct UnreportedJob {
    size: JobSize,
    /// Time as of which an owner that has read all accepted jobs knows it; none while it is being stored.
    known_at: Option<ClockTime>,
}

/// Jobs that this member stores, until the owner's report includes them. Readers take a snapshot.
#[derive(Debug, Default)]
pub(crate) struct UnreportedJobs(ArcSwap<BTreeMap<JobId, UnreportedJob>>);

impl UnreportedJobs {
    fn change(&self, change: impl Fn(&mut BTreeMap<JobId, UnreportedJob>)) {
        self.0.rcu(|jobs| {
            let mut jobs = BTreeMap::clone(jobs);
            change(&mut jobs);
            jobs
        });
    }

    /// Drops the jobs that a report includes, which has just been published.
    pub(crate) fn drop_reported(&self, is_reported: impl Fn(JobId) -> bool) {
        if !self.0.load().is_empty() {
            self.change(|jobs| jobs.retain(|id, _| !is_reported(*id)));
        }
    }

    /// Bytes of the jobs that end by themselves, and of the others.
    fn bytes(&self) -> (u64, u64) {
        let jobs = self.0.load();
        let sum = |lasts: bool| {
            let sizes = jobs.values().map(|job| job.size);
            let sizes = sizes.filter(|size| size.lasts == lasts);
            sizes.fold(0_u64, |sum, size| sum.saturating_add(size.bytes))
        };
        (sum(false), sum(true))
    }
}

/// Takes the room that a job needs; returns false if it is not left.
pub(crate) fn reserve(id: JobId, size: JobSize, shared: &MemberShared) -> bool {
    let unreported = &shared.unreported_jobs;
    let read_at = shared.load_read_at();
    let is_known = |job: &UnreportedJob| job.known_at.is_some_and(|known_at| known_at < read_at);
    if unreported.0.load().values().any(is_known) {
        unreported.change(|jobs| jobs.retain(|_, job| !is_known(job)));
    }
    let report = shared.memory_report();
    let report = if shared.owner_inbox.load().is_some() {
        report
    } else {
        report.share()
    };
    let (finite, lasting) = unreported.bytes();
    if report.less(finite, lasting).has_room(size) {
        let job = UnreportedJob {
            size,
            known_at: None,
        };
        unreported.change(|jobs| {
            jobs.insert(id, job);
        });
        return true;
    }
    shared.meter.count_memory_refusal(size.bytes);
    event!(shared.log, Memory, "job": id.to_string(), "outcome": "refused", "bytes": size.bytes,
        "lasts": size.lasts, "room": report.room, "lasting_room": report.lasting_room,
        "unreported": finite + lasting);
    false
}

/// Records the outcome of the append of jobs that have taken room.
pub(crate) fn record_append(ids: &[JobId], outcome: StoreOutcome, shared: &MemberShared) {
    let now = shared.clock.now();
    let known_at = match outcome {
        StoreOutcome::Stored => Some(now),
        StoreOutcome::Unknown => Some(now + LATE_WRITE_SPAN),
        StoreOutcome::NotStored | StoreOutcome::NoRoom => None,
    };
    shared.unreported_jobs.change(|jobs| {
        for id in ids {
            match known_at {
                Some(_) => {
                    if let Some(job) = jobs.get_mut(id) {
                        job.known_at = known_at;
                    }
                }
                None => {
                    jobs.remove(id);
                }
            }
        }
    });
}
