//! Tests of permits of a policy service that takes its time, with any figures.

use std::{collections::BTreeMap, sync::Arc};

use crate::harness::{
    SchedulerHarness, catalogue, listed_entry, ms, number_of, spec, step, worker,
};
use jacinthhoist_core::{
    ClockTime, WorkerId,
    job::{
        AdvicePolicy, Batch, Effect, JobCatalogue, JobId, JobSpec, JobTerms, RenewalReport,
        StartReply, StepAdvice, StepKey, StepSpec,
    },
};

/// Time between two steps of the scheduler.
const STEP: u64 = 20;
/// Time after which a case counts as one that hangs.
const LONGEST: u64 = 120_000;

/// What a case varies.
#[derive(Clone, Copy, Debug)]
struct PolicyCase {
    base: u64,
    per_worker: u64,
    valid: u64,
    workers: usize,
    /// Each worker whose number is a multiple of this one is permitted.
    permitted_every: usize,
    /// Time that an answer is on its way.
    transit: u64,
    /// Time that the store takes.
    append: u64,
    /// False if the catalogue does not tell the figures.
    is_known: bool,
}

const REVIEW: PolicyCase = PolicyCase {
    base: 200,
    per_worker: 60,
    valid: 1_000,
    workers: 9,
    permitted_every: 1,
    transit: 1,
    append: 5,
    is_known: true,
};

/// Scheduler with a policy service and workers that check permits.
struct PolicyWorld {
    case: PolicyCase,
    harness: SchedulerHarness,
    begun_at: ClockTime,
    answer: Option<(ClockTime, StepAdvice)>,
    /// End of the time that the service needs for the calls so far.
    service_free_at: ClockTime,
    batches: Vec<(ClockTime, Batch)>,
    /// Time until which each permit is valid.
    tickets: BTreeMap<Arc<str>, (StepKey, WorkerId, ClockTime)>,
    /// Start orders that were accepted, with their times.
    starts: Vec<(StepKey, ClockTime)>,
    refused: usize,
    queries: Vec<(StepKey, usize)>,
}

fn policy(case: &PolicyCase) -> AdvicePolicy {
    AdvicePolicy {
        base: ms(case.base),
        per_worker: ms(case.per_worker),
        valid: ms(case.valid),
    }
}

fn advised_catalogue(case: &PolicyCase) -> Arc<JobCatalogue> {
    let mut catalogue = Arc::unwrap_or_clone(catalogue());
    catalogue.version = 2;
    catalogue.works[0].advice = Some(policy(case));
    if !case.is_known {
        // The jobs keep the terms under which they were accepted.
        catalogue.works.remove(0);
    }
    Arc::new(catalogue)
}

impl PolicyWorld {
    fn open(case: PolicyCase) -> Self {
        let mut harness = SchedulerHarness::without_workers(ms(1_000_000));
        harness.scheduler.set_catalogue(advised_catalogue(&case));
        let listed = (0..case.workers).map(|number| (worker(number), listed_entry(number)));
        harness
            .scheduler
            .workers_listed(listed.collect(), harness.now);
        for number in 0..case.workers {
            harness.report(number, RenewalReport::default());
        }
        Self {
            begun_at: harness.now,
            service_free_at: harness.now,
            case,
            harness,
            answer: None,
            batches: Vec::new(),
            tickets: BTreeMap::new(),
            starts: Vec::new(),
            refused: 0,
            queries: Vec::new(),
        }
    }

    fn accept(&mut self, id: u64, steps: Vec<StepSpec>) {
        let terms = JobTerms {
            advised: true,
            ..JobTerms::example("mould")
        };
        let spec = JobSpec {
            terms,
            ..JobSpec::clone(&spec(steps, self.harness.now))
        };
        self.harness.scheduler.accept(JobId(id), Arc::new(spec));
    }

    fn elapsed(&self) -> u64 {
        (self.harness.now - self.begun_at).as_millis()
    }

    /// Runs until this number of tasks has started; returns the time that it took.
    fn run(&mut self, tasks: usize) -> u64 {
        while self.starts.len() < tasks {
            assert!(
                self.elapsed() < LONGEST,
                "{:?}: {} of {tasks} started, {} refused, {} queries",
                self.case,
                self.starts.len(),
                self.refused,
                self.queries.len()
            );
            self.advance();
        }
        self.elapsed()
    }

    fn advance(&mut self) {
        self.harness.wait(STEP);
        let now = self.harness.now;
        if let Some((at, advice)) = self.answer.take() {
            if at <= now {
                self.harness.scheduler.advice_received(Some(advice), now);
            } else {
                self.answer = Some((at, advice));
            }
        }
        let stored = self.batches.extract_if(.., |(at, _)| *at <= now);
        for (_, batch) in stored.collect::<Vec<_>>() {
            self.harness.scheduler.batch_stored(batch.number, now);
        }
        for effect in self.harness.scheduler.step(now) {
            self.apply(effect);
        }
    }

    fn apply(&mut self, effect: Effect) {
        let now = self.harness.now;
        match effect {
            Effect::Store(batch) => self.batches.push((now + ms(self.case.append), batch)),
            Effect::Advise {
                step,
                workers,
                limit,
            } => self.advise(step, &workers, limit),
            Effect::Start {
                worker,
                task,
                run,
                permit,
                ..
            } => {
                let step = StepKey::from(task);
                let ticket = permit.and_then(|permit| self.tickets.get(&permit).cloned());
                let is_valid = ticket.is_some_and(|(for_step, for_worker, until)| {
                    for_step == step && for_worker == worker && now < until
                });
                let reply = if is_valid {
                    self.starts.push((step, now));
                    StartReply::Started
                } else {
                    self.refused += 1;
                    StartReply::NoPermit
                };
                self.harness
                    .scheduler
                    .start_replied(&worker, task, run, reply, now);
            }
            _ => {}
        }
    }

    fn advise(&mut self, step: StepKey, workers: &[WorkerId], limit: ClockTime) {
        let now = self.harness.now;
        let case = self.case;
        assert!(self.answer.is_none(), "one query at a time");
        assert!(workers.len() <= 100);
        self.queries.push((step, workers.len()));
        // Calls are served in turn.
        let span = ms(case.base + case.per_worker * workers.len() as u64);
        self.service_free_at = self.service_free_at.max(now) + span;
        let granted_at = self.service_free_at;
        let valid_until = granted_at + ms(case.valid);
        let permitted = workers
            .iter()
            .filter(|id| number_of(id).is_multiple_of(case.permitted_every));
        let permitted = permitted.map(|id| {
            let ticket: Arc<str> = format!("{id} {step:?} {}", granted_at.as_millis()).into();
            let entry = (step, id.clone(), valid_until);
            self.tickets.insert(ticket.clone(), entry);
            (id.clone(), ticket)
        });
        let advice = StepAdvice {
            permitted: permitted.collect(),
            valid_for: ms(case.valid),
        };
        let arrives_at = granted_at + ms(case.transit);
        if arrives_at > now + limit {
            self.harness.scheduler.advice_received(None, now + limit);
        } else {
            self.answer = Some((arrives_at, advice));
        }
    }
}

/// Guards against permits that are never used (LOST): an answer took longer than the permits were valid less 0.3 s, as
/// each was counted from the question.
#[test]
fn a_permit_counts_from_its_answer() {
    let mut world = PolicyWorld::open(REVIEW);
    world.accept(1, vec![step(4)]);
    let took = world.run(4);
    assert!(took < 1_500, "{took}");
    assert_eq!((world.queries.len(), world.refused), (1, 0));
}

/// Guards against steps that never start for the figures of their policy (LOST), whatever these are.
#[test]
fn steps_start_with_any_figures_of_a_policy() {
    for base in [0, 1, 200, 1_500, 4_000] {
        for per_worker in [0, 1, 60, 100, 400, 4_000] {
            for valid in [100, 250, 1_000, 60_000] {
                for permitted_every in [1, 4, 29] {
                    let case = PolicyCase {
                        base,
                        per_worker,
                        valid,
                        workers: 30,
                        permitted_every,
                        ..REVIEW
                    };
                    let mut world = PolicyWorld::open(case);
                    world.accept(1, vec![step(4)]);
                    let took = world.run(4);
                    // Each worker is asked about once at the most, beside renewals for the runs that wait.
                    let asked: usize = world.queries.iter().map(|(_, workers)| workers).sum();
                    assert!(asked <= 30 + 8, "{case:?}: {asked} of 30 workers");
                    let calls = world.queries.len() as u64;
                    if per_worker <= 1 {
                        // One query tells about all, and at most one more renews what has ended.
                        assert!(calls <= 2, "{case:?}: {calls} queries");
                    }
                    let spent = calls * (base + STEP * 3) + per_worker * asked as u64;
                    assert!(took <= spent + 200, "{case:?}: {took} of {spent}");
                }
            }
        }
    }
}

/// Guards against a query whose time limit is shorter than the service needs for the workers that it names: 30 workers
/// at 0.1 s each took longer than the 3 s that a call had.
#[test]
fn the_time_limit_of_a_query_grows_with_its_length() {
    for is_known in [true, false] {
        let case = PolicyCase {
            per_worker: 100,
            workers: 30,
            is_known,
            ..REVIEW
        };
        let mut world = PolicyWorld::open(case);
        world.accept(1, vec![step(4)]);
        // Without the figures a call that got no answer shows that it named too many.
        let took = world.run(4);
        assert!(took < if is_known { 2_000 } else { 15_000 }, "{took}");
    }
}

/// Guards against permits that end while their runs are stored, so that no start is ever sent with a valid one.
#[test]
fn a_slow_store_does_not_outlive_all_permits() {
    for append in [50, 400, 2_000] {
        let case = PolicyCase {
            valid: 250,
            append,
            ..REVIEW
        };
        let mut world = PolicyWorld::open(case);
        world.accept(1, vec![step(4)]);
        world.run(4);
        assert_eq!(world.refused, 0, "{append}");
    }
}

/// Guards against a start order without a valid permit each time that an answer is late.
#[test]
fn late_answers_do_not_keep_steps_from_starting() {
    for transit in [100, 500, 2_000] {
        let case = PolicyCase { transit, ..REVIEW };
        let mut world = PolicyWorld::open(case);
        world.accept(1, vec![step(4)]);
        if transit < case.valid {
            world.run(4);
            assert!(world.refused <= 4, "{transit}: {}", world.refused);
        } else {
            // No permit is valid any more when it arrives.
            for _ in 0..500 {
                world.advance();
            }
            assert!(world.queries.len() > 3);
        }
    }
}

/// Guards against a step that waits for its turn while others ask again and again.
#[test]
fn steps_ask_in_turn() {
    let case = PolicyCase {
        // No worker but the last ones is permitted, and permits end at once.
        permitted_every: 13,
        per_worker: 400,
        valid: 250,
        workers: 14,
        ..REVIEW
    };
    let mut world = PolicyWorld::open(case);
    for id in 1..=5 {
        world.accept(id, vec![step(2)]);
    }
    world.run(10);
    let mut first: BTreeMap<StepKey, usize> = BTreeMap::new();
    for (position, (step, _)) in world.queries.iter().enumerate() {
        first.entry(*step).or_insert(position);
    }
    assert_eq!(first.len(), 5);
    assert!(first.values().all(|position| *position < 5), "{first:?}");
}

/// Guards against a gang whose permits end one after the other: it needs all of them at the same time.
#[test]
fn a_gang_gets_all_its_permits_at_once() {
    for (per_worker, valid) in [(60, 1_000), (400, 1_000), (400, 250), (10, 100)] {
        let case = PolicyCase {
            per_worker,
            valid,
            workers: 12,
            ..REVIEW
        };
        let mut world = PolicyWorld::open(case);
        let gang = StepSpec {
            gang: true,
            max_per_worker: 1,
            ..step(8)
        };
        world.accept(1, vec![gang]);
        world.run(8);
        let times: Vec<ClockTime> = world.starts.iter().map(|(_, at)| *at).collect();
        assert_eq!(times.first(), times.last(), "{case:?}");
        assert_eq!(world.refused, 0, "{case:?}");
    }
}

/// Guards against a job on whose queue a later version has put a policy: its starts were refused without end.
#[test]
fn a_job_learns_of_a_policy_from_a_refused_start() {
    let mut world = PolicyWorld::open(REVIEW);
    let plain = spec(vec![step(2)], world.harness.now);
    world.harness.scheduler.set_catalogue(catalogue());
    world.harness.scheduler.accept(JobId(1), plain);
    world
        .harness
        .scheduler
        .set_catalogue(advised_catalogue(&REVIEW));
    world.run(2);
    assert!(world.refused <= 2, "{}", world.refused);
}
