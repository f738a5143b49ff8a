//! Bodies of ended jobs: when they are removed, and how long the end of a job is kept.

use jacinthhoist_core::job::{BatchRecord, JobId, JobState};

use crate::harness::{SchedulerHarness, spec, step};

/// Creates an owner whose job 1 has ended, and whose removal of its body is unanswered.
fn open_with_removal() -> SchedulerHarness {
    let mut harness = SchedulerHarness::open(1);
    harness.scheduler.cancel(JobId(1), None);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    assert_eq!(harness.body_removals, [vec![JobId(1)]]);
    harness
}

fn dropped_ends(harness: &SchedulerHarness) -> usize {
    let records = harness.batches.iter().flat_map(|batch| &batch.records);
    let is_dropped = |record: &&BatchRecord| matches!(record, BatchRecord::Remove(_));
    records.filter(is_dropped).count()
}

/// Guards against jobs that run again under a later owner: a body that was stored again during its removal
/// counted as removed, and the end of its job was dropped.
#[test]
fn a_body_stored_again_during_its_removal_is_removed_again() {
    let mut harness = open_with_removal();
    harness.accept(1, vec![step(1)]);
    harness.scheduler.bodies_removed(&[JobId(1)]);
    harness.wait(200_000);
    harness.step();
    assert_eq!(harness.body_removals[1..], [vec![JobId(1)]]);
    assert_eq!(harness.scheduler.state(JobId(1)), Some(JobState::Cancelled));
    assert_eq!(dropped_ends(&harness), 0);

    harness.scheduler.bodies_removed(&[JobId(1)]);
    harness.wait(20);
    harness.step();
    assert_eq!(harness.body_removals.len(), 2);
    assert_eq!(harness.scheduler.state(JobId(1)), None);
    assert_eq!(dropped_ends(&harness), 1);
}

/// Guards against the same after a takeover, with a removal that the earlier owner had not completed.
#[test]
fn a_body_stored_again_after_a_takeover_is_removed_again() {
    let earlier = open_with_removal();
    let body = (JobId(1), spec(vec![step(1)], earlier.now));
    let mut harness = earlier.take_over(&[body], 1);
    assert_eq!(harness.body_removals, [vec![JobId(1)]]);
    harness.accept(1, vec![step(1)]);
    harness.scheduler.bodies_removed(&[JobId(1)]);
    harness.step();
    assert_eq!(harness.body_removals[1..], [vec![JobId(1)]]);
}

/// A body that is stored again before its removal is sent is removed once.
#[test]
fn a_body_stored_again_before_its_removal_is_removed_once() {
    let mut harness = open_with_removal();
    harness.scheduler.cancel(JobId(2), None);
    harness.accept(2, vec![step(1)]);
    harness.settle();
    harness.accept(2, vec![step(1)]);
    for id in 1..=3 {
        harness.scheduler.bodies_removed(&[JobId(id)]);
        harness.settle();
    }
    assert_eq!(harness.body_removals, [vec![JobId(1)], vec![JobId(2)]]);
}
