//! Tests of repeated jobs: only occurrences that have begun and not yet ended are held.

use std::sync::Arc;

use crate::harness::{RunOrder, SchedulerHarness, ms, spec, step};
use jacinthhoist_core::job::{
    AnyTask, JobId, JobProgress, JobSize, JobSpec, JobState, RepeatPlan, StepSpec, TaskEnd,
    TaskKey, job_bytes,
};

const WORKERS: usize = 2;
const JOB: JobId = JobId(7);

fn repeated(times: u32, start_at: u64, interval: u64, steps: Vec<StepSpec>) -> Arc<JobSpec> {
    Arc::new(JobSpec {
        repeat: Some(RepeatPlan {
            times,
            start_at: ms(start_at),
            interval: ms(interval),
        }),
        ..JobSpec::clone(&spec(steps, ms(1)))
    })
}

fn occurrences(starts: &[RunOrder]) -> Vec<u32> {
    starts.iter().map(|start| start.task.occurrence).collect()
}

/// Runs the harness until no start is sent any more, and ends each run as done; returns the starts.
fn run_all(harness: &mut SchedulerHarness) -> Vec<RunOrder> {
    let mut all = Vec::new();
    loop {
        harness.settle();
        let starts = harness.confirm();
        if starts.is_empty() {
            return all;
        }
        harness.report_all(&starts, WORKERS, 50);
        for (index, start) in starts.iter().enumerate() {
            harness.end_beside(start, TaskEnd::Done, &starts[index + 1..]);
        }
        all.extend(starts);
    }
}

fn open_count(harness: &SchedulerHarness) -> usize {
    let job = harness.scheduler.job(JOB).expect("the job is open");
    job.occurrences.open().count()
}

/// Guards against a schedule whose occurrences of the future take memory, and against those of an outage that never
/// run (LOST).
#[test]
fn occurrences_are_held_from_their_time_until_they_are_done() {
    let mut harness = SchedulerHarness::open(WORKERS);
    let start = harness.now.as_millis() + 10_000;
    harness
        .scheduler
        .accept(JOB, repeated(1_000_000, start, 1_000, vec![step(1)]));
    harness.settle();
    assert!(harness.confirm().is_empty());
    assert_eq!(open_count(&harness), 0);
    // Nobody owned the pools while the first five came due.
    harness.wait(14_500);
    let starts = run_all(&mut harness);
    assert_eq!(&occurrences(&starts)[..5], [0, 1, 2, 3, 4]);
    assert!(open_count(&harness) <= 1);
    let past = TaskKey {
        job: JOB,
        occurrence: 2,
        step: 0,
        index: 0,
    };
    assert!(matches!(harness.task(past), AnyTask::Done { .. }));
}

/// Guards against occurrences that wait for each other although their times overlap.
#[test]
fn occurrences_overlap() {
    let mut harness = SchedulerHarness::open(WORKERS);
    let start = harness.now.as_millis();
    harness
        .scheduler
        .accept(JOB, repeated(3, start, 40, vec![step(2)]));
    harness.wait(200);
    harness.settle();
    assert_eq!(occurrences(&harness.starts), [0, 0, 1, 1, 2, 2]);
}

/// Guards against a schedule that has fallen far behind and opens all its occurrences at once: they follow as others
/// end, each job has one at least, and all of them run.
#[test]
fn a_schedule_far_behind_runs_all_occurrences_within_the_memory_for_jobs() {
    let mut harness = SchedulerHarness::open(WORKERS);
    let job = repeated(100, 1, 0, vec![step(20)]);
    let budget = 10 * job_bytes(&job);
    harness.scheduler.set_job_memory(budget);
    for id in [JOB, JobId(8)] {
        harness.scheduler.accept(id, job.clone());
    }
    let mut open = 0;
    let mut done = 0;
    while harness.scheduler.state(JOB) != Some(JobState::Completed) {
        harness.settle();
        let usage = harness.scheduler.memory_usage();
        assert!(usage.total() <= budget, "{usage:?}");
        let starts = harness.confirm();
        harness.report_all(&starts, WORKERS, 50);
        for (index, start) in starts.iter().enumerate() {
            harness.end_beside(start, TaskEnd::Done, &starts[index + 1..]);
        }
        let own = starts.iter().filter(|start| start.task.job == JOB);
        done += own.count();
        if harness.scheduler.job(JOB).is_some() {
            open = open.max(open_count(&harness));
        }
    }
    assert_eq!(done, 100 * 20);
    assert!(open > 1, "{open}");
}

/// Guards against a run that is started again after its end (TWICE), and against occurrences that are left out, when
/// the next owner reads the progress of a job many times.
#[test]
fn a_later_owner_goes_on_behind_the_occurrences_that_are_done() {
    // The records of the second job name only the number of those that are done.
    for (times, interval) in [(40, 1_000), (100_000, 10)] {
        let mut harness = SchedulerHarness::open(WORKERS);
        let start = harness.now.as_millis();
        let job = repeated(times, start, interval, vec![step(1)]);
        harness.scheduler.accept(JOB, job.clone());
        let mut seen: Vec<u32> = Vec::new();
        for _ in 0..4 {
            harness.wait(5_000);
            seen.extend(occurrences(&run_all(&mut harness)));
            harness = harness.take_over(&[(JOB, job.clone())], WORKERS);
            for number in 0..WORKERS {
                harness.report_part(number, &[], 0);
            }
        }
        let expected: Vec<u32> = (0..seen.len() as u32).collect();
        assert_eq!(seen, expected);
        assert!(seen.len() >= 20, "{}", seen.len());
    }
}

/// Guards against a schedule that is refused for its length: the protocol names no largest number of repetitions.
#[test]
fn a_schedule_of_any_length_is_accepted() {
    for times in [10_001, 1_000_000, u32::MAX] {
        let job = repeated(times, 1, 1_000, vec![step(3)]);
        assert!(job.check().is_ok(), "{times}");
        assert!(JobSize::of(&job).bytes < 10_000, "{times}");
    }
    let lasting = StepSpec {
        long_running: true,
        ..step(3)
    };
    assert!(
        repeated(3_333, 1, 1_000, vec![lasting.clone()])
            .check()
            .is_ok()
    );
    assert!(repeated(3_334, 1, 1_000, vec![lasting]).check().is_err());
}

/// Guards against the end of a job while an earlier occurrence still runs.
#[test]
fn a_job_is_completed_once_all_occurrences_are_done() {
    let mut harness = SchedulerHarness::open(WORKERS);
    let start = harness.now.as_millis();
    harness
        .scheduler
        .accept(JOB, repeated(3, start, 100, vec![step(1)]));
    harness.wait(1_000);
    harness.settle();
    let starts = harness.confirm();
    assert_eq!(occurrences(&starts), [0, 1, 2]);
    harness.report_all(&starts, WORKERS, 50);
    // The last ones end first.
    harness.end_beside(&starts[2], TaskEnd::Done, &starts[..2]);
    harness.end_beside(&starts[1], TaskEnd::Done, &starts[..1]);
    harness.settle();
    assert_eq!(harness.scheduler.state(JOB), Some(JobState::Running));
    assert_eq!(open_count(&harness), 3);
    harness.end(&starts[0], TaskEnd::Done);
    harness.settle();
    assert_eq!(harness.scheduler.state(JOB), Some(JobState::Completed));
}

/// Guards against a roll-out in which an owner of an earlier release reads the progress of a repeated job, or this one
/// reads that of an earlier one: it names each task of each occurrence.
#[test]
fn progress_is_shared_with_earlier_releases() {
    let harness = SchedulerHarness::open(WORKERS);
    let start = harness.now.as_millis();
    let job = repeated(100, start, 1_000, vec![step(2)]);
    let occurrence = |phase: u8, run: u32| {
        serde_json::json!([[[phase, run, 0, 0, null], [phase, run, 0, 0, null]]])
    };
    let mut occurrences = vec![occurrence(2, 1), occurrence(2, 3)];
    occurrences.resize(100, occurrence(0, 0));
    let record = serde_json::json!({"ended": null, "workers": [], "occurrences": occurrences});
    let progress: JobProgress = serde_json::from_value(record).expect("a record of 0.1.0");
    let mut next = SchedulerHarness::without_workers(harness.now);
    next.scheduler.restore(JOB, Some(job.clone()), &progress);
    next.list_workers(WORKERS);
    for number in 0..WORKERS {
        next.report_part(number, &[], 0);
    }
    next.settle();
    assert_eq!(open_count(&next), 0);
    next.wait(2_000);
    let starts = run_all(&mut next);
    assert_eq!(self::occurrences(&starts), [2, 2]);
    let stored = serde_json::to_value(&next.stored[&JOB]).expect("a record");
    let stored = stored["occurrences"].as_array().expect("a list").clone();
    assert!(stored.len() >= 3);
    // An earlier release leaves a task that it has no record of as it is, which has never had a run.
    for record in &stored[..3] {
        assert_eq!(record[0].as_array().map(Vec::len), Some(2), "{record}");
        assert!(record[0][0][0] == 2 && record[0][1][0] == 2, "{record}");
    }
}
