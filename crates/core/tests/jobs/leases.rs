//! Tests of stored lease expiries over changes of the owner.

use std::sync::Arc;

use crate::harness::{
    RunOrder, SchedulerHarness, key, long_running_step, ms, number_of, step, worker,
};
use jacinthhoist_core::{
    ClockTime, WorkerId,
    job::{
        AnyTask, ClockReadings, FormerOwner, JobId, JobSpec, OwnershipEvidence, RenewalReport,
        SchedulerLimits,
    },
};
use smallvec::{SmallVec, smallvec};

const WORKERS: usize = 2;

struct OwnerChain {
    owner: SchedulerHarness,
    jobs: [(JobId, Arc<JobSpec>); 1],
    start: RunOrder,
}

impl OwnerChain {
    /// Creates an owner with one long-running task whose worker has been granted a lease.
    fn open() -> Self {
        let mut owner = SchedulerHarness::open(WORKERS);
        let spec = owner.accept(1, vec![long_running_step(1, 0)]);
        owner.settle();
        let start = owner.confirm().remove(0);
        owner.report_all(std::slice::from_ref(&start), WORKERS, 100);
        let plan = owner.scheduler.plan_renewal(&start.worker, owner.now);
        assert!(plan.unwrap().lease_until.is_some());
        Self {
            owner,
            jobs: [(JobId(1), spec)],
            start,
        }
    }

    fn fall_silent(&mut self) {
        let owner = &mut self.owner;
        owner
            .scheduler
            .renewal_failed(&self.start.worker, owner.now);
    }

    /// The worker reports its run.
    fn answer(&mut self) {
        let starts = std::slice::from_ref(&self.start);
        self.owner
            .report_part(number_of(&self.start.worker), starts, 100);
    }

    fn take_over(&mut self) {
        self.owner = self.owner.take_over(&self.jobs, WORKERS);
    }

    fn stored_expiry(&self) -> Option<ClockTime> {
        let stored = self.owner.lease_expiries.get(&self.start.worker)?;
        stored.last_mark()
    }

    /// Starts the task on the other worker, if its old run is released now.
    fn starts(&mut self) -> usize {
        let other = 1 - number_of(&self.start.worker);
        self.owner.report(other, RenewalReport::default());
        self.owner.settle();
        self.owner.starts.len()
    }
}

/// Guards against a task that waits ever longer for a worker that is gone: each owner that the worker
/// answered once added the skew of the clocks to the expiry of the lease that it had not extended.
#[test]
fn a_stored_expiry_stays_as_it_is_while_no_owner_extends_the_lease() {
    let mut chain = OwnerChain::open();
    chain.fall_silent();
    chain.owner.settle();
    let expiry = chain.stored_expiry().expect("the expiry is stored");
    for takeover in 1..=3 {
        chain.owner.wait(1_200);
        chain.take_over();
        chain.answer();
        chain.owner.settle();
        chain.fall_silent();
        chain.owner.settle();
        assert_eq!(chain.stored_expiry(), Some(expiry), "takeover {takeover}");
    }
    chain.owner.now = chain.owner.now.max(expiry - ms(200));
    assert_eq!(chain.starts(), 0, "the lease may be in force");
    chain.owner.now = chain.owner.now.max(expiry);
    assert_eq!(chain.starts(), 1);
}

/// Guards against a lost record: a worker that fell silent again before the removal of its stored expiry
/// was stored had none from then on, and the next owner waited for a whole lease.
#[test]
fn the_expiry_of_a_worker_that_answers_only_once_remains_stored() {
    let mut chain = OwnerChain::open();
    chain.fall_silent();
    chain.owner.settle();
    let expiry = chain.stored_expiry().expect("the expiry is stored");
    chain.answer();
    chain.fall_silent();
    chain.owner.settle();
    assert!(chain.stored_expiry().is_some_and(|at| at <= expiry));
    // The same while the removal is being stored.
    chain.answer();
    chain.owner.wait(20);
    chain.owner.step();
    chain.fall_silent();
    chain.owner.store();
    chain.owner.settle();
    assert!(chain.stored_expiry().is_some_and(|at| at <= expiry));
}

/// Guards against two runs of a task: a start order that waited for its record extended the lease of a
/// worker whose expiry had been stored meanwhile, and the next owner released the runs by that record.
#[test]
fn no_start_order_is_sent_while_the_expiry_of_the_lease_is_stored() {
    for answers in [false, true] {
        let mut owner = SchedulerHarness::open(WORKERS);
        owner.accept(1, vec![step(1)]);
        owner.wait(20);
        owner.step();
        let placed = owner.task(key(1, 0, 0));
        let (chosen, _) = placed.placed().expect("the task has a run");
        let chosen = chosen.clone();
        owner.scheduler.renewal_failed(&chosen, owner.now);
        if answers {
            owner.report(number_of(&chosen), RenewalReport::default());
        }
        // The batch that is stored now holds the run, and not yet the expiry or its removal.
        owner.store();
        assert_eq!(owner.starts, [], "answers: {answers}");
        assert!(matches!(
            owner.task(key(1, 0, 0)),
            AnyTask::Assigned(_) | AnyTask::Waiting(_)
        ));
        owner.settle();
        let starts = owner.confirm();
        assert_eq!(starts.len(), 1, "answers: {answers}");
        assert_eq!(starts[0].run, 2);
        assert!(answers || starts[0].worker != chosen);
    }
}

/// Returns the span of the lease that the next renewal grants.
fn granted_span(owner: &mut SchedulerHarness, id: &WorkerId) -> Option<u64> {
    let plan = owner.scheduler.plan_renewal(id, owner.now)?;
    // The workers of the harness have the clock of the owner.
    plan.lease_until.map(|until| until - owner.now.as_millis())
}

/// Guards against two runs of a task (issue 43): an owner without evidence that it had not been replaced
/// went on extending leases, which the next owner takes for lapsed one lease after its takeover.
#[test]
fn no_lease_outlives_the_evidence_of_the_ownership_by_more_than_a_lease() {
    let mut owner = SchedulerHarness::open(1);
    let longest = SchedulerLimits::example().max_lease;
    let confirmed = OwnershipEvidence {
        stored_at: owner.now,
        promised_until: ms(0),
    };
    let id = worker(0);
    for age in [0, 1_000, 5_900] {
        owner.now = confirmed.stored_at + ms(age);
        owner.report(0, RenewalReport::default());
        owner.scheduler.set_evidence(confirmed);
        let span = granted_span(&mut owner, &id).expect("the evidence is recent");
        assert!(
            ms(span) + (owner.now - confirmed.stored_at) <= longest,
            "{age}"
        );
    }
    owner.now = confirmed.stored_at + longest + ms(10);
    owner.report(0, RenewalReport::default());
    assert_eq!(granted_span(&mut owner, &id), None);
    // In an outage of the store for all members their promises count, for 12 s.
    for (age, expected) in [(5_900, 6_000), (7_000, 5_000), (11_000, 1_000)] {
        owner.now = confirmed.stored_at + ms(age - 1);
        owner.report(0, RenewalReport::default());
        owner.scheduler.set_evidence(OwnershipEvidence {
            promised_until: owner.now + ms(1_000),
            ..confirmed
        });
        assert_eq!(granted_span(&mut owner, &id), Some(expected), "{age}");
    }
}

fn former_owner(until: ClockTime) -> SmallVec<[FormerOwner; 2]> {
    let readings = ClockReadings::default();
    smallvec![FormerOwner::new(
        "entry-1".into(),
        until,
        &readings,
        ClockTime::ZERO
    )]
}

/// Guards against two runs of a task (issue 43): a member of which an owner needs no promise assumed one
/// lease for a worker whose lease that owner may extend on the promises of the others.
#[test]
fn a_member_that_has_made_no_promise_waits_for_leases_extended_on_promises() {
    for (former_until, waited) in [(0, 7_000), (12_000, 13_000)] {
        let mut chain = OwnerChain::open();
        chain.owner.settle();
        let mut next = SchedulerHarness::without_workers(chain.owner.now);
        let taken_over_at = next.now;
        let until = taken_over_at + ms(former_until);
        next.scheduler.restore_former_owners(former_owner(until));
        let (id, spec) = &chain.jobs[0];
        let progress = chain.owner.stored.get(id).expect("the start is stored");
        next.scheduler.restore(*id, Some(spec.clone()), progress);
        next.list_workers(WORKERS);
        next.scheduler.renewal_failed(&chain.start.worker, next.now);
        next.report(1 - number_of(&chain.start.worker), RenewalReport::default());
        next.settle();
        next.now = (until - ms(200)).max(taken_over_at + ms(5_900));
        next.settle();
        assert_eq!(next.starts, [], "{former_until}");
        next.now = taken_over_at + ms(waited);
        next.settle();
        assert_eq!(next.starts.len(), 1, "{former_until}");
    }
}

/// Guards against a wait for an owner whose process is known to have ended: it extends no leases.
#[test]
fn the_end_of_the_former_owner_shortens_the_wait_for_its_leases() {
    let mut chain = OwnerChain::open();
    chain.owner.settle();
    let mut next = SchedulerHarness::without_workers(chain.owner.now);
    let until = next.now + ms(20_000);
    next.scheduler.restore_former_owners(former_owner(until));
    let (id, spec) = &chain.jobs[0];
    let progress = chain.owner.stored.get(id).expect("the start is stored");
    next.scheduler.restore(*id, Some(spec.clone()), progress);
    next.list_workers(WORKERS);
    next.report(1 - number_of(&chain.start.worker), RenewalReport::default());
    next.settle();
    next.scheduler.former_owner_ended("entry-1", next.now);
    next.wait(6_000);
    next.settle();
    assert_eq!(next.starts, []);
    next.wait(400);
    next.settle();
    assert_eq!(next.starts.len(), 1);
}
