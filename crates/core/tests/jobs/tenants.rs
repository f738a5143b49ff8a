//! Tenants: limits on what runs, shares in a full pool, and who may see a job.

use std::{collections::BTreeMap, sync::Arc};

use jacinthhoist_core::{
    ClockTime, TenantName,
    job::{
        CatalogueProof, JobCatalogue, JobId, JobSpec, JobState, JobUrgency, KeyHash, KeyRefusal,
        PoolShares, QueuedJob, Resources, RevocationSpan, StepSpec, TaskEnd, TenantAccounts,
        TenantLimit, TenantLoad, TenantTable, TenantTerms, WorkLoad, admit_tenant_job, order_queue,
    },
};
use proptest::prelude::*;

use crate::harness::{RunOrder, SchedulerHarness, catalogue, ms, spec, step};

fn tenant(number: usize) -> TenantName {
    TenantName::new(&format!("tenant-{number}"))
}

fn cpu(cpu: u64) -> Resources {
    Resources {
        cpu,
        ..Resources::default()
    }
}

fn terms(number: usize, rate: f64, limit: u64) -> TenantTerms {
    TenantTerms {
        name: tenant(number),
        keys: [KeyHash::of(&format!("key-{number}"))]
            .into_iter()
            .collect(),
        rate,
        limit: TenantLimit(cpu(limit)),
    }
}

fn table(rows: impl IntoIterator<Item = TenantTerms>) -> TenantTable {
    TenantTable::open(rows.into_iter().collect()).expect("distinct tenants")
}

fn with_tenants(version: u64, rows: impl IntoIterator<Item = TenantTerms>) -> Arc<JobCatalogue> {
    let mut catalogue = JobCatalogue::clone(&catalogue());
    catalogue.version = version;
    catalogue.tenants = Some(table(rows));
    Arc::new(catalogue)
}

fn tenant_spec(number: usize, steps: Vec<StepSpec>, now: ClockTime) -> Arc<JobSpec> {
    let spec = JobSpec::clone(&spec(steps, now));
    Arc::new(JobSpec {
        tenant: Some(tenant(number)),
        ..spec
    })
}

impl SchedulerHarness {
    fn accept_of(&mut self, number: usize, id: u64, steps: Vec<StepSpec>) -> Arc<JobSpec> {
        let spec = tenant_spec(number, steps, self.now);
        self.scheduler.accept(JobId(id), spec.clone());
        spec
    }

    fn running_cpu(&self, number: usize) -> u64 {
        let accounts = self.scheduler.tenants();
        let mut own = accounts.filter(|account| account.name == tenant(number));
        own.next().map_or(0, |account| account.running.cpu)
    }
}

/// A wide step of a tenant at its limit beside a small one of another: the wide one runs in waves, and the small one
/// at once.
#[test]
fn a_step_at_its_tenants_limit_waits_and_holds_up_no_other() {
    let mut harness = SchedulerHarness::open(2);
    harness
        .scheduler
        .set_catalogue(with_tenants(2, [terms(0, 9.0, 4_000), terms(1, 9.0, 0)]));
    harness.accept_of(0, 1, vec![step(10)]);
    harness.accept_of(1, 2, vec![step(3)]);
    harness.settle();
    let starts = harness.confirm();
    let of_job = |starts: &[RunOrder], id| {
        let own = starts.iter().filter(|start| start.task.job == JobId(id));
        own.count()
    };
    assert_eq!((of_job(&starts, 1), of_job(&starts, 2)), (4, 3));
    // The room of an end is that of the next start, no sooner than the end is certain.
    harness.report_all(&starts, 2, 10);
    harness.settle();
    assert!(harness.starts.is_empty());
    let first = starts.iter().find(|start| start.task.job == JobId(1));
    let first = first.expect("a run of the wide step").clone();
    let others: Vec<RunOrder> = starts
        .iter()
        .filter(|start| **start != first)
        .cloned()
        .collect();
    harness.end_beside(&first, TaskEnd::Done, &others);
    harness.settle();
    assert_eq!(of_job(&harness.confirm(), 1), 1);
}

/// Many small tasks of other tenants beside one wide gang: the gang starts as a whole or not at all, and one that
/// exceeds the limit waits without taking any room.
#[test]
fn a_gang_counts_as_a_whole() {
    let gang = |count| StepSpec {
        gang: true,
        ..step(count)
    };
    let mut harness = SchedulerHarness::open(2);
    let rows = (0..6).map(|number| terms(number, 9.0, 4_000));
    harness.scheduler.set_catalogue(with_tenants(2, rows));
    harness.accept_of(0, 1, vec![step(2)]);
    harness.settle();
    harness.confirm();
    harness.accept_of(0, 2, vec![gang(3)]);
    harness.accept_of(0, 3, vec![gang(2)]);
    harness.accept_of(0, 4, vec![gang(5)]);
    for number in 1..6 {
        harness.accept_of(number, 10 + number as u64, vec![step(2)]);
    }
    harness.settle();
    let mut jobs: BTreeMap<u64, usize> = BTreeMap::new();
    for start in harness.confirm() {
        *jobs.entry(start.task.job.0).or_default() += 1;
    }
    assert_eq!(
        jobs,
        BTreeMap::from([(3, 2), (11, 2), (12, 2), (13, 2), (14, 2), (15, 2)])
    );
}

/// A limit is lowered to a tenth while work runs: nothing is stopped, and nothing starts until there is room.
#[test]
fn a_lowered_limit_stops_nothing_and_starts_nothing() {
    let mut harness = SchedulerHarness::open(1);
    harness
        .scheduler
        .set_catalogue(with_tenants(2, [terms(0, 9.0, 10_000)]));
    harness.accept_of(0, 1, vec![step(20)]);
    harness.settle();
    let starts = harness.confirm();
    assert_eq!(starts.len(), 10);
    harness
        .scheduler
        .set_catalogue(with_tenants(3, [terms(0, 9.0, 1_000)]));
    for number in 0..9 {
        harness.end_beside(&starts[number], TaskEnd::Done, &starts[number + 1..]);
        harness.settle();
        assert!(harness.starts.is_empty() && harness.stops.is_empty());
    }
    harness.end(&starts[9], TaskEnd::Done);
    harness.settle();
    assert_eq!(harness.confirm().len(), 1);
}

/// A task that alone exceeds its tenant's limit runs when nothing else of the tenant does.
#[test]
fn a_task_larger_than_the_limit_runs_alone() {
    let mut harness = SchedulerHarness::open(1);
    harness
        .scheduler
        .set_catalogue(with_tenants(2, [terms(0, 9.0, 500)]));
    harness.accept_of(0, 1, vec![step(3)]);
    harness.settle();
    assert_eq!(harness.confirm().len(), 1);
    assert_eq!(harness.running_cpu(0), 1_000);
}

/// The owner ends with every tenant at its limit, some starts unanswered; its successor, and the one that replaces this
/// one within a second, start nothing until an end is certain.
#[test]
fn a_limit_is_not_handed_out_twice_by_owners_in_turn() {
    let rows = || (0..4).map(|number| terms(number, 9.0, 2_000));
    let mut first = SchedulerHarness::open(4);
    first.scheduler.set_catalogue(with_tenants(2, rows()));
    let jobs: Vec<(JobId, Arc<JobSpec>)> = (0..4)
        .map(|number| {
            let id = number as u64 + 1;
            (JobId(id), first.accept_of(number, id, vec![step(6)]))
        })
        .collect();
    first.settle();
    let starts = std::mem::take(&mut first.starts);
    assert_eq!(starts.len(), 8);
    let mut owner = first;
    for _ in 0..2 {
        let mut next = owner.take_over(&jobs, 4);
        next.scheduler.set_catalogue(with_tenants(2, rows()));
        next.scheduler.meter_restored_jobs();
        for _ in 0..4 {
            next.settle();
            assert!(next.starts.is_empty(), "{:?}", next.starts);
        }
        owner = next;
    }
    // Every run was carried out; a report that names none of them any more is no end.
    owner.report_all(&starts, 4, 20);
    owner.settle();
    assert!(owner.starts.is_empty());
    let others: Vec<RunOrder> = starts[1..].to_vec();
    owner.end_beside(&starts[0], TaskEnd::Done, &others);
    owner.settle();
    assert_eq!(owner.starts.len(), 1);
    assert_eq!(owner.starts[0].task.job, starts[0].task.job);
}

/// A worker falls silent with a tenant's runs: they count until their lease has certainly lapsed.
#[test]
fn runs_of_a_silent_worker_count_until_their_lease_lapses() {
    let mut harness = SchedulerHarness::open(2);
    harness
        .scheduler
        .set_catalogue(with_tenants(2, [terms(0, 9.0, 2_000)]));
    harness.accept_of(0, 1, vec![step(4)]);
    harness.settle();
    let starts = harness.confirm();
    assert_eq!(starts.len(), 2);
    let silent = starts[0].worker.clone();
    harness.report_all(&starts, 2, 10);
    harness.scheduler.plan_renewal(&silent, harness.now);
    harness.scheduler.renewal_failed(&silent, harness.now);
    for _ in 0..10 {
        harness.settle();
        assert!(harness.starts.is_empty());
    }
    for _ in 0..100 {
        harness.wait(100);
        harness.scheduler.renewal_failed(&silent, harness.now);
        harness.settle();
    }
    assert!(!harness.starts.is_empty());
    assert!(harness.starts.iter().all(|start| start.worker != silent));
}

/// A tenant loses its last key while its jobs run: they go on under its last limit.
#[test]
fn jobs_of_a_tenant_that_is_not_listed_any_more_go_on() {
    let mut harness = SchedulerHarness::open(1);
    harness
        .scheduler
        .set_catalogue(with_tenants(2, [terms(0, 9.0, 2_000)]));
    harness.accept_of(0, 1, vec![step(3)]);
    harness.settle();
    let starts = harness.confirm();
    harness
        .scheduler
        .set_catalogue(with_tenants(3, [terms(1, 9.0, 0)]));
    harness.end_beside(&starts[0], TaskEnd::Done, &starts[1..]);
    harness.settle();
    assert_eq!(harness.confirm().len(), 1);
    assert!(harness.stops.is_empty());
    assert_eq!(harness.running_cpu(0), 2_000);
}

/// A caller with another tenant's key neither sees a job nor cancels it, before it arrives, while it runs and after its
/// end.
#[test]
fn a_job_is_visible_to_its_own_tenant_only() {
    let (own, other) = (tenant(0), tenant(1));
    let mut harness = SchedulerHarness::open(1);
    harness
        .scheduler
        .set_catalogue(with_tenants(2, [terms(0, 9.0, 0), terms(1, 9.0, 0)]));
    harness.scheduler.cancel(JobId(1), Some(&other));
    harness.accept_of(0, 1, vec![step(1)]);
    harness.settle();
    let starts = harness.confirm();
    harness.scheduler.cancel(JobId(1), Some(&other));
    harness.scheduler.cancel(JobId(1), None);
    harness.settle();
    assert_eq!(harness.scheduler.state(JobId(1)), Some(JobState::Running));
    let is_visible = |harness: &SchedulerHarness| {
        let scheduler = &harness.scheduler;
        [Some(&own), Some(&other), None].map(|tenant| scheduler.is_visible(JobId(1), tenant))
    };
    assert_eq!(is_visible(&harness), [true, false, false]);
    harness.end(&starts[0], TaskEnd::Done);
    harness.settle();
    assert_eq!(harness.scheduler.state(JobId(1)), Some(JobState::Completed));
    assert_eq!(is_visible(&harness), [true, false, false]);
    // The next owner reads the end without the job's specification.
    let mut next = SchedulerHarness::without_workers(harness.now);
    next.scheduler
        .restore(JobId(1), None, &harness.stored[&JobId(1)]);
    assert_eq!(next.scheduler.state(JobId(1)), Some(JobState::Completed));
    assert_eq!(is_visible(&next), [true, false, false]);
    harness.accept_of(0, 2, vec![step(1)]);
    harness.scheduler.cancel(JobId(2), Some(&own));
    harness.settle();
    assert_eq!(harness.scheduler.state(JobId(2)), Some(JobState::Cancelled));
}

fn queued(accounts: &mut TenantAccounts, number: usize, id: u64, is_surplus: bool) -> QueuedJob {
    let (now, deadline, work) = (ms(1_000), ms(4_000), ms(800));
    QueuedJob {
        urgency: JobUrgency::for_deadline(0, deadline, work, true, now).with_surplus(is_surplus),
        job: JobId(id),
        work: 4_000 * 800,
        need: cpu(4_000),
        tenant: Some(accounts.slot(&tenant(number))),
    }
}

/// Number of jobs of each tenant among the first ones of a queue.
fn first_jobs(queue: &[QueuedJob], count: usize) -> BTreeMap<u64, usize> {
    let mut jobs = BTreeMap::new();
    for queued in &queue[..count] {
        *jobs.entry(queued.job.0 / 1_000).or_default() += 1;
    }
    jobs
}

/// One tenant sends five times its rate beside 19 others, in a pool that holds two jobs of each: what it sends beyond its
/// rate comes last, and its callers are told so while all others are accepted.
#[test]
fn a_tenant_beyond_its_rate_harms_none_of_nineteen_others() {
    let mut accounts = TenantAccounts::default();
    accounts.set_terms(&table((0..20).map(|number| terms(number, 1.0, 0))));
    let now = ms(1_000);
    let mut queue = Vec::new();
    for number in 0..20 {
        let sent = if number == 0 { 25 } else { 5 };
        let slot = accounts.slot(&tenant(number));
        for index in 0..sent {
            let is_surplus = accounts.record_job(slot, now);
            let id = number as u64 * 1_000 + index;
            queue.push(queued(&mut accounts, number, id, is_surplus));
        }
    }
    let surplus = queue.iter().filter(|queued| queued.urgency.is_surplus);
    assert!(surplus.clone().all(|queued| queued.job.0 < 1_000));
    assert_eq!(surplus.count(), 19);
    let mut shares = accounts.shares(&"mould".into(), cpu(160_000));
    order_queue(&mut queue, 160_000, &mut shares, now);
    let first = first_jobs(&queue, 40);
    assert!(
        first.len() == 20 && first.values().all(|count| *count == 2),
        "{first:?}"
    );
    let load = WorkLoad {
        drain: ms(9_000),
        waiting: 120,
        task: ms(800),
    };
    let waits = accounts.surplus_waits(now);
    assert_eq!(waits.keys().collect::<Vec<_>>(), [&tenant(0)]);
    let tenant_load = |number| TenantLoad {
        contracted_drain: ms(3_000),
        limit_drain: ms(0),
        surplus_wait: waits.get(&tenant(number)).copied(),
    };
    assert!(admit_tenant_job(&load, &tenant_load(1), ms(2_000)).is_ok());
    let refusal = admit_tenant_job(&load, &tenant_load(0), ms(2_000));
    let retry_after = refusal.expect_err("surplus in a full pool").retry_after;
    assert!(
        retry_after >= ms(1_000) && retry_after <= ms(7_000),
        "{retry_after}"
    );
}

/// All tenants send 2.5 times their usual, a few of them large: in an overload each gets its part in proportion to its
/// rate, and in a pool that serves all in time the order is by urgency alone.
#[test]
fn shares_follow_the_rates_in_an_overload_only() {
    let rate = |number: usize| 12.0 / (number + 1) as f64;
    let mut accounts = TenantAccounts::default();
    accounts.set_terms(&table((0..6).map(|number| terms(number, rate(number), 0))));
    let mut queue = Vec::new();
    for number in 0..6 {
        let sent = (rate(number) * 2.5) as u64;
        for index in 0..sent {
            let id = number as u64 * 1_000 + index;
            queue.push(queued(&mut accounts, number, id, false));
        }
    }
    let by_urgency = {
        let mut queue = queue.clone();
        order_queue(
            &mut queue,
            1_000_000_000,
            &mut PoolShares::default(),
            ms(1_000),
        );
        queue
    };
    let mut roomy = queue.clone();
    let mut shares = accounts.shares(&"mould".into(), cpu(1_000_000_000));
    order_queue(&mut roomy, 1_000_000_000, &mut shares, ms(1_000));
    assert_eq!(roomy, by_urgency);
    let mut shares = accounts.shares(&"mould".into(), cpu(100_000));
    order_queue(&mut queue, 100_000, &mut shares, ms(1_000));
    let first = first_jobs(&queue, 29);
    let sum: f64 = (0..6).map(rate).sum();
    for number in 0..6 {
        let (got, due) = (first[&(number as u64)] as f64, 29.0 * rate(number) / sum);
        assert!((got - due).abs() < 1.0, "tenant {number}: {got} of {due}");
    }
}

/// What a tenant has running in the pool counts for its share, whichever resource it takes most of.
#[test]
fn the_dominant_resource_decides_the_share() {
    let mut accounts = TenantAccounts::default();
    accounts.set_terms(&table([terms(0, 1.0, 0), terms(1, 1.0, 0)]));
    let queue: Vec<QueuedJob> = (0..2)
        .flat_map(|number| (0..2).map(move |index| (number, index)))
        .map(|(number, index)| queued(&mut accounts, number, number as u64 * 1_000 + index, false))
        .collect();
    let slots = [0, 1].map(|number| accounts.slot(&tenant(number)));
    let memory = Resources {
        mem_mb: 900,
        ..Resources::default()
    };
    accounts.add_running(&"mould".into(), &[(slots[0], memory)]);
    accounts.add_running(&"mould".into(), &[(slots[1], cpu(2_000))]);
    let capacity = Resources {
        cpu: 10_000,
        mem_mb: 1_000,
        gpu: 0,
    };
    let mut shares = accounts.shares(&"mould".into(), capacity);
    let mut ordered = queue;
    shares.order(&mut ordered);
    let order: Vec<u64> = ordered.iter().map(|queued| queued.job.0).collect();
    assert_eq!(order, [1_000, 1_001, 0, 1]);
}

/// A tenant sends more than its limit lets run, in a pool with room: its further jobs are refused with the time by which
/// its own backlog allows them, and those of others are not.
#[test]
fn a_backlog_beyond_its_own_limit_refuses_a_tenants_jobs() {
    let mut harness = SchedulerHarness::open(4);
    harness
        .scheduler
        .set_catalogue(with_tenants(2, [terms(0, 99.0, 1_000), terms(1, 99.0, 0)]));
    for id in 1..=10 {
        harness.accept_of(0, id, vec![step(1)]);
    }
    harness.settle();
    let report = harness.scheduler.load_report();
    let load = report.load(&"mould".into(), &"mould".into());
    let admit = |number| {
        let tenant_load = report.tenant_load(&tenant(number), &"mould".into());
        admit_tenant_job(&load, &tenant_load, ms(2_000))
    };
    assert!(admit(1).is_ok());
    // Nine tasks of a second, of which one runs at a time, less the objective.
    let refusal = admit(0).expect_err("more than three objectives of its own work");
    assert_eq!(refusal.retry_after, ms(7_000));
}

/// A new owner counts the open jobs again, so a takeover in a surge gives no tenant its burst twice.
#[test]
fn a_takeover_does_not_renew_a_burst() {
    let mut first = SchedulerHarness::open(1);
    first
        .scheduler
        .set_catalogue(with_tenants(2, [terms(0, 2.0, 1)]));
    let jobs: Vec<(JobId, Arc<JobSpec>)> = (1..=30)
        .map(|id| (JobId(id), first.accept_of(0, id, vec![step(1)])))
        .collect();
    first.settle();
    let surplus = |harness: &SchedulerHarness| {
        let mut accounts = harness.scheduler.tenants();
        accounts.next().map(|account| account.surplus_jobs)
    };
    let counted = surplus(&first);
    assert_eq!(counted, Some(19));
    let mut next = first.take_over(&jobs, 1);
    next.scheduler
        .set_catalogue(with_tenants(2, [terms(0, 2.0, 1)]));
    next.scheduler.meter_restored_jobs();
    assert_eq!(surplus(&next), counted);
}

/// A key of an unknown tenant, a withdrawn one and none at all are told apart.
#[test]
fn refused_keys_tell_their_reason() {
    let old = table([terms(0, 1.0, 0), terms(1, 1.0, 0)]);
    let mut new = table([terms(1, 1.0, 0)]);
    new.record_withdrawn(&old, 7);
    let key = |number: usize| KeyHash::of(&format!("key-{number}"));
    let refusal = |table: &TenantTable, key: Option<KeyHash>| {
        table
            .authenticate(key.as_ref())
            .map(|terms| terms.name.clone())
    };
    assert_eq!(refusal(&old, Some(key(0))), Ok(tenant(0)));
    assert_eq!(refusal(&new, Some(key(1))), Ok(tenant(1)));
    assert_eq!(
        refusal(&new, Some(key(0))),
        Err(KeyRefusal::Withdrawn { version: 7 })
    );
    assert_eq!(refusal(&new, Some(key(9))), Err(KeyRefusal::Unknown));
    assert_eq!(refusal(&new, None), Err(KeyRefusal::Missing));
    // A key that a later version holds again counts again.
    let mut again = table([terms(0, 1.0, 0)]);
    again.record_withdrawn(&new, 8);
    assert_eq!(refusal(&again, Some(key(0))), Ok(tenant(0)));
    assert_eq!(
        refusal(&again, Some(key(1))),
        Err(KeyRefusal::Withdrawn { version: 8 })
    );
}

proptest! {
    /// Reads of the operators' records that are answered late, in part or not at all, around the withdrawal of a key at
    /// a member that may be cut off or frozen: no call that was sent later than the span after the withdrawal counts.
    #[test]
    fn no_call_counts_later_than_the_span_after_a_withdrawal(
        span in 1_000u64..10_000,
        withdrawn_at in 0u64..20_000,
        reads in prop::collection::vec((0u64..3_000, 0u64..2_500, any::<bool>(), any::<bool>()), 1..40),
    ) {
        let span = RevocationSpan::new(ms(span));
        let (mut proof, mut now, mut knows_withdrawal) = (CatalogueProof::default(), 0, false);
        for (pause, took, is_answered, is_complete) in reads {
            let asked_at = now + pause;
            // Until the answer arrives the member decides by the proof it has.
            now = asked_at + took;
            for received_at in [asked_at, now.saturating_sub(1)] {
                let age = proof.age(ms(received_at));
                let counts = !knows_withdrawal && age.is_some_and(|age| age <= span.max_age());
                let allowed_until = withdrawn_at + span.max_age().as_millis();
                prop_assert!(!counts || received_at <= allowed_until);
            }
            if is_answered {
                // A complete answer to a read sent after the withdrawal shows it.
                let shows = is_complete && asked_at >= withdrawn_at;
                knows_withdrawal |= shows;
                proof.record_read(ms(asked_at), is_complete, shows.then_some(false));
            }
        }
    }

    /// For any order of starts, ends, failures and takeovers of four tenants, what runs never exceeds a limit, unless it is a
    /// single task; in the end all jobs are done.
    #[test]
    fn what_runs_stays_within_the_limits(
        limits in prop::collection::vec(500u64..6_000, 4),
        widths in prop::collection::vec((0usize..4, 1u16..7), 1..12),
        moves in prop::collection::vec((0usize..40, 0u8..10), 0..60),
    ) {
        let rows = || {
            let rows = limits.iter().enumerate();
            rows.map(|(number, limit)| terms(number, 9.0, *limit)).collect::<Vec<_>>()
        };
        let mut owner = SchedulerHarness::open(3);
        owner.scheduler.set_catalogue(with_tenants(2, rows()));
        let mut jobs = Vec::new();
        for (id, (number, width)) in (1u64..).zip(&widths) {
            jobs.push((JobId(id), owner.accept_of(*number, id, vec![step(*width)])));
        }
        let tenant_of = |start: &RunOrder| widths[start.task.job.0 as usize - 1].0;
        let mut live: Vec<RunOrder> = Vec::new();
        // The last moves end whatever runs.
        let last = (0..200).map(|_| (0, 9));
        for (pick, action) in moves.into_iter().chain(last) {
            owner.settle();
            live.extend(owner.confirm());
            for (number, limit) in limits.iter().enumerate() {
                let own = live.iter().filter(|start| tenant_of(start) == number).count() as u64;
                prop_assert!(own * 1_000 <= (*limit).max(1_000), "{} of {}", own, limit);
            }
            match action {
                0 => {
                    let mut next = owner.take_over(&jobs, 3);
                    next.scheduler.set_catalogue(with_tenants(2, rows()));
                    next.scheduler.meter_restored_jobs();
                    next.report_all(&live, 3, 30);
                    owner = next;
                }
                1 => owner.report_all(&live, 3, 40),
                _ if live.is_empty() => {}
                _ => {
                    let ended = live.remove(pick % live.len());
                    owner.end_beside(&ended, TaskEnd::Done, &live);
                }
            }
        }
        owner.settle();
        let is_done = |id: &JobId| owner.scheduler.state(*id) == Some(JobState::Completed);
        prop_assert!(jobs.iter().all(|(id, _)| is_done(id)));
    }
}
