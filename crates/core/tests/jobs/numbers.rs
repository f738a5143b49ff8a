//! Tests of numbers to which the platform's pages set no limit.

use std::sync::Arc;

use crate::harness::{SchedulerHarness, key, spec, step};
use jacinthhoist_core::job::{
    JobId, JobProgress, JobSpec, JobState, JobTerms, RenewalReport, StepSpec, TaskEnd,
};

const WORKERS: usize = 2;
const JOB: u64 = 7;

fn job(harness: &SchedulerHarness, max_failures: u32, steps: Vec<StepSpec>) -> Arc<JobSpec> {
    Arc::new(JobSpec {
        work: "archive".into(),
        terms: JobTerms {
            max_failures,
            priority: 1 << 40,
            ..JobTerms::example("mould")
        },
        ..JobSpec::clone(&spec(steps, harness.now))
    })
}

/// Has the task fail until it has failed `until` times, or its job has ended; returns the number of its failures.
fn fail(harness: &mut SchedulerHarness, mut failures: u32, until: u32) -> u32 {
    while failures < until && harness.scheduler.state(JobId(JOB)) != Some(JobState::Failed) {
        // Workers on which tasks fail get no others for a while.
        harness.wait(500);
        for number in 0..WORKERS {
            harness.report(number, RenewalReport::default());
        }
        harness.settle();
        for start in harness.confirm() {
            harness.end(&start, TaskEnd::Failed);
            failures += 1;
        }
        harness.settle();
    }
    failures
}

/// Guards against a job that fails early, or never, as its number of attempts does not fit into a byte (BUDGET, LOST);
/// its failures are kept across changes of the owner.
#[test]
fn a_task_may_fail_as_often_as_its_queue_allows() {
    for max_failures in [1, 255, 256, 300] {
        let mut harness = SchedulerHarness::open(WORKERS);
        let job = job(&harness, max_failures, vec![step(1)]);
        harness.scheduler.accept(JobId(JOB), job.clone());
        let mut failures = 0;
        for until in [120, 257, 290] {
            failures = fail(&mut harness, failures, until.min(max_failures - 1));
            let counted = harness.task(key(JOB, 0, 0)).failures();
            assert_eq!(counted, failures, "of {max_failures}");
            harness = harness.take_over(&[(JobId(JOB), job.clone())], WORKERS);
            assert_eq!(harness.task(key(JOB, 0, 0)).failures(), failures);
            for number in 0..WORKERS {
                harness.register(number, 1);
            }
        }
        assert_eq!(fail(&mut harness, failures, 1_000), max_failures);
        assert_eq!(harness.scheduler.state(JobId(JOB)), Some(JobState::Failed));
    }
}

/// Guards against a roll-out in which an owner of an earlier release cannot read what this one has stored: it reads one
/// byte for the priority, the number of attempts and the failures.
#[test]
fn earlier_releases_read_large_numbers_as_the_largest_that_they_know() {
    let harness = SchedulerHarness::open(WORKERS);
    let spec = job(&harness, 300, vec![step(1)]);
    let record = serde_json::to_value(&spec.terms).expect("a record");
    assert!(record["priority"] == 255 && record["max_failures"] == 255);
    let read: JobTerms = serde_json::from_value(record).expect("the same terms");
    assert_eq!(read, spec.terms);
    let small = serde_json::to_value(JobTerms::example("mould")).expect("a record");
    assert!(small.get("large_priority").is_none() && small.get("large_max_failures").is_none());

    let mut harness = harness;
    harness.scheduler.accept(JobId(JOB), spec);
    fail(&mut harness, 0, 260);
    let stored = serde_json::to_value(&harness.stored[&JobId(JOB)]).expect("a record");
    assert_eq!(stored["occurrences"][0][0][0][2], 255, "{stored}");
    let read: JobProgress = serde_json::from_value(stored).expect("the same progress");
    assert_eq!(read, harness.stored[&JobId(JOB)]);
}

/// Guards against a limit on the workers of a step that is taken for a smaller one.
#[test]
fn limits_above_all_sizes_limit_nothing() {
    let mut harness = SchedulerHarness::open(WORKERS);
    let unlimited = StepSpec {
        max_per_worker: u16::MAX,
        ..step(40)
    };
    harness.accept(JOB, vec![unlimited]);
    harness.settle();
    assert_eq!(harness.starts.len(), 40);
}
