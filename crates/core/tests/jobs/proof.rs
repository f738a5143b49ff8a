//! Proof of an ownership after changes of the group.

use jacinthhoist_core::job::{OwnershipProof, SuccessionRecord};

use super::harness::{SchedulerHarness, ms};

/// Guards against evidence for an owner that had lost the pools meanwhile: the answers of a second ownership
/// counted for the first one (issue 49).
#[test]
fn confirmations_of_another_generation_wait_for_an_append_that_was_sent_later() {
    let mut proof = OwnershipProof::open(1, ms(1_000));
    proof.record_confirmation(1, ms(1_300), ms(1_310));
    proof.record_confirmation(3, ms(1_600), ms(1_610));
    proof.record_confirmation(3, ms(1_900), ms(1_910));
    assert_eq!(proof.stored_at(), ms(1_300));
    // Sent before the change was known, so that a later owner may fence this one off after it.
    proof.record_append(ms(1_610));
    assert_eq!(proof.confirmed_at(), ms(1_300));
    assert_eq!(proof.stored_at(), ms(1_610));
    assert!(!proof.needs_append(ms(1_610)));
    assert!(proof.needs_append(ms(1_611)));
    proof.record_append(ms(1_611));
    assert_eq!(proof.confirmed_at(), ms(1_900));
    proof.record_confirmation(3, ms(2_200), ms(2_210));
    assert_eq!(proof.confirmed_at(), ms(2_200));
}

/// A second change before the proof of the first one makes the answers in between void.
#[test]
fn a_generation_that_was_never_proven_leaves_no_confirmation() {
    let mut proof = OwnershipProof::open(1, ms(1_000));
    proof.record_confirmation(3, ms(1_600), ms(1_610));
    proof.record_confirmation(5, ms(1_900), ms(1_910));
    assert_eq!(proof.confirmed_at(), ms(0));
    proof.record_append(ms(1_700));
    assert_eq!(proof.confirmed_at(), ms(0));
    proof.record_append(ms(1_950));
    assert_eq!(proof.confirmed_at(), ms(1_900));
}

fn succession(members: &[&str]) -> SuccessionRecord {
    SuccessionRecord {
        owner: "entry-1".into(),
        members: members.iter().map(|member| (*member).into()).collect(),
        ..SuccessionRecord::default()
    }
}

/// Guards against leases that are extended without the promise of a member which the stored record names: the
/// record that is stored once more for an append counted as the one that had replaced it meanwhile.
#[test]
fn a_record_that_is_stored_once_more_counts_as_itself() {
    let mut owner = SchedulerHarness::open(1);
    owner
        .scheduler
        .set_succession(succession(&["entry-2", "entry-3"]));
    owner.settle();
    owner.scheduler.request_append();
    owner.wait(20);
    owner.step();
    assert_eq!(owner.batches.len(), 1, "the append is under way");
    owner.scheduler.set_succession(succession(&["entry-2"]));
    owner.store();
    let members = owner.scheduler.successors().map(Iterator::count);
    assert_eq!(members, Some(2), "the store names both");
    owner.scheduler.set_succession(succession(&["entry-2"]));
    owner.settle();
    let members = owner.scheduler.successors().map(Iterator::count);
    assert_eq!(members, Some(1));
}
