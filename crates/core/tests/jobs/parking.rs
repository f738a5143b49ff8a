//! Tests of jobs for which an owner has no memory yet: their specifications stay in the store.

use std::{collections::BTreeMap, sync::Arc};

use crate::harness::{SchedulerHarness, spec, step};
use jacinthhoist_core::job::{
    Effect, JobId, JobProgress, JobSpec, JobState, ParkedJob, RenewalReport, TaskEnd, job_bytes,
};

const WORKERS: usize = 2;
const JOBS: u64 = 30;

/// Owner with the accepted jobs that its store holds.
struct ParkingOwner {
    harness: SchedulerHarness,
    bodies: BTreeMap<JobId, Arc<JobSpec>>,
}

impl ParkingOwner {
    /// Takes over a store with many jobs, of which three fit into the memory for jobs.
    fn take_over(first_open: u64) -> Self {
        let harness = SchedulerHarness::open(WORKERS);
        let job = spec(vec![step(2)], harness.now);
        let bodies = (1..=JOBS).map(|id| (JobId(id), job.clone()));
        let mut owner = Self {
            harness,
            bodies: bodies.collect(),
        };
        let scheduler = &mut owner.harness.scheduler;
        scheduler.set_job_memory(3 * job_bytes(&job) + 10_000);
        for (id, job) in &owner.bodies {
            if id.0 <= first_open {
                scheduler.restore(*id, Some(job.clone()), &JobProgress::default());
            } else {
                scheduler.restore_parked(*id, ParkedJob::of(job));
            }
        }
        for number in 0..WORKERS {
            owner.harness.report(number, RenewalReport::default());
        }
        owner
    }

    /// Answers the reads that the scheduler asks for; returns their number.
    fn load(&mut self) -> usize {
        let orders = std::mem::take(&mut self.harness.orders);
        let reads = orders.into_iter().filter_map(|order| match order {
            Effect::LoadJobs(wanted) => Some(wanted),
            _ => None,
        });
        let mut count = 0;
        for wanted in reads {
            let found = wanted
                .iter()
                .filter_map(|id| Some((*id, self.bodies.get(id)?.clone())));
            let loaded = Some(found.collect());
            self.harness.scheduler.jobs_loaded(&wanted, loaded);
            count += 1;
        }
        count
    }

    /// Runs all jobs to their ends.
    fn run(&mut self) {
        for _ in 0..20 * JOBS {
            self.harness.settle();
            self.load();
            let starts = self.harness.confirm();
            self.harness.report_all(&starts, WORKERS, 50);
            for (index, start) in starts.iter().enumerate() {
                self.harness
                    .end_beside(start, TaskEnd::Done, &starts[index + 1..]);
            }
        }
    }
}

/// Guards against an owner that ends, and each next one, as the store holds more than fits into its memory (LOST): an
/// earlier release has accepted it.
#[test]
fn jobs_beyond_the_memory_of_an_owner_are_known_and_run_in_turn() {
    let mut owner = ParkingOwner::take_over(2);
    let state = |owner: &ParkingOwner, id| owner.harness.scheduler.state(JobId(id));
    assert_eq!(state(&owner, JOBS), Some(JobState::Queued));
    assert_eq!(owner.harness.scheduler.open_jobs(), 2);
    let mut most = 0;
    for _ in 0..10 {
        owner.harness.settle();
        owner.load();
        most = most.max(owner.harness.scheduler.open_jobs());
    }
    assert!((2..=3).contains(&most), "{most}");
    owner.run();
    for id in 1..=JOBS {
        assert_eq!(state(&owner, id), Some(JobState::Completed), "{id}");
    }
    assert_eq!(owner.harness.scheduler.parked_jobs(), 0);
}

/// Guards against an owner that opens each job that it is told of, whatever that takes.
#[test]
fn a_job_that_is_accepted_beyond_the_memory_waits_in_the_store() {
    let mut owner = ParkingOwner::take_over(3);
    // Fills what is left beside the parked ones.
    owner.harness.settle();
    let job = owner.bodies[&JobId(1)].clone();
    owner.bodies.insert(JobId(99), job.clone());
    for _ in 0..2 {
        owner.harness.scheduler.accept(JobId(99), job.clone());
    }
    assert_eq!(owner.harness.scheduler.open_jobs(), 3);
    assert_eq!(
        owner.harness.scheduler.state(JobId(99)),
        Some(JobState::Queued)
    );
    owner.run();
    assert_eq!(
        owner.harness.scheduler.state(JobId(99)),
        Some(JobState::Completed)
    );
}

/// Guards against a cancelled job that runs once it is read, and against a read that fails.
#[test]
fn a_job_that_is_cancelled_before_it_is_read_never_runs() {
    let mut owner = ParkingOwner::take_over(2);
    owner.harness.scheduler.cancel(JobId(JOBS), None);
    owner.harness.settle();
    let failed = owner.harness.orders.iter().find_map(|order| match order {
        Effect::LoadJobs(wanted) => Some(wanted.clone()),
        _ => None,
    });
    let failed = failed.expect("there is room for one more job");
    owner.harness.orders.clear();
    owner.harness.scheduler.jobs_loaded(&failed, None);
    let mut runs = 0;
    for _ in 0..20 * JOBS {
        owner.harness.settle();
        owner.load();
        let starts = owner.harness.confirm();
        runs += starts
            .iter()
            .filter(|start| start.task.job.0 == JOBS)
            .count();
        owner.harness.report_all(&starts, WORKERS, 50);
        for (index, start) in starts.iter().enumerate() {
            owner
                .harness
                .end_beside(start, TaskEnd::Done, &starts[index + 1..]);
        }
    }
    assert_eq!(runs, 0);
    assert_eq!(
        owner.harness.scheduler.state(JobId(JOBS)),
        Some(JobState::Cancelled)
    );
}

/// Guards against a job that is larger than the memory for jobs and never runs.
#[test]
fn a_job_larger_than_the_memory_runs_alone() {
    let mut harness = SchedulerHarness::open(WORKERS);
    harness.scheduler.set_job_memory(10);
    let job = spec(vec![step(4)], harness.now);
    harness.scheduler.accept(JobId(1), job);
    harness.settle();
    assert_eq!(harness.starts.len(), 4);
}
