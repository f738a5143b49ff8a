//! Request queue of a pool: class floors and caps, owner fairness, and no lost requests.

use jacinthhoist_core::{
    ClassShares, OwnerName, PolicyEntry, QueueLimits, QueueTicket, WorkClass, WorkQueue,
};
use proptest::prelude::*;

fn ticket(class: WorkClass, owner: &str, weight: u32, cost_ms: u64) -> QueueTicket {
    QueueTicket {
        class,
        owner: OwnerName::new(owner),
        weight,
        cost_ms,
    }
}

fn limits(slots: u32, running: [u32; 3]) -> QueueLimits {
    QueueLimits {
        shares: ClassShares::of(&PolicyEntry::default(), slots),
        running,
    }
}

/// Fills `slots` from a backlog in each of the given classes; returns the slots held by each class.
fn saturate(slots: u32, backlogged: &[WorkClass]) -> [u32; 3] {
    let mut queue = WorkQueue::default();
    for class in backlogged {
        for _ in 0..500 {
            queue.push(ticket(*class, "o", 1, 10), *class);
        }
    }
    let mut running = [0; 3];
    for _ in 0..slots {
        if let Some((_, class)) = queue.pop(&limits(slots, running), |_, _| true) {
            running[class.index()] += 1;
        }
    }
    running
}

#[test]
fn floors_and_caps_hold_under_overload_of_any_classes() {
    use WorkClass::{Slow, Standard, Urgent};
    let cases: [(&[WorkClass], [u32; 3]); 5] = [
        (&[Urgent, Standard, Slow], [64, 8, 8]),
        (&[Standard, Slow], [0, 64, 16]),
        (&[Slow], [0, 0, 40]),
        (&[Urgent], [80, 0, 0]),
        (&[Urgent, Slow], [72, 0, 8]),
    ];
    for (backlogged, expected) in cases {
        assert_eq!(saturate(80, backlogged), expected, "{backlogged:?}");
    }
}

#[test]
fn owners_of_a_class_share_by_weight() {
    let mut queue = WorkQueue::default();
    for _ in 0..400 {
        queue.push(ticket(WorkClass::Urgent, "heavy", 3, 10), "heavy");
        queue.push(ticket(WorkClass::Urgent, "light", 1, 10), "light");
    }
    let mut heavy_count = 0;
    for _ in 0..200 {
        let (_, owner) = queue.pop(&limits(80, [0; 3]), |_, _| true).unwrap();
        heavy_count += u32::from(owner == "heavy");
    }
    assert_eq!(heavy_count, 150);
}

#[test]
fn an_owner_at_its_quota_does_not_block_other_owners() {
    let mut queue = WorkQueue::default();
    queue.push(ticket(WorkClass::Urgent, "full", 1, 10), "full");
    queue.push(ticket(WorkClass::Urgent, "free", 1, 10), "free");
    let taken = queue.pop(&limits(8, [0; 3]), |ticket, _| {
        ticket.owner.as_str() != "full"
    });
    assert_eq!(taken.unwrap().1, "free");
    assert!(
        queue
            .pop(&limits(8, [0; 3]), |ticket, _| ticket.owner.as_str()
                != "full")
            .is_none()
    );
    assert_eq!(queue.len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Each request is popped exactly once, in order of arrival within its owner and class.
    #[test]
    fn requests_are_neither_lost_nor_duplicated(pushes in proptest::collection::vec((0usize..3, 0usize..4, 1u32..5, 1u64..50), 1..200)) {
        let owners = ["a", "b", "c", "d"];
        let mut queue = WorkQueue::default();
        for (number, (class, owner, weight, cost)) in pushes.iter().enumerate() {
            let class = WorkClass::ALL[*class];
            queue.push(ticket(class, owners[*owner], *weight, *cost), number);
        }
        let mut seen = vec![false; pushes.len()];
        let mut last = std::collections::BTreeMap::new();
        while let Some((ticket, number)) = queue.pop(&limits(80, [0; 3]), |_, _| true) {
            prop_assert!(!std::mem::replace(&mut seen[number], true));
            let before = last.insert((ticket.class, ticket.owner), number);
            prop_assert!(before < Some(number));
        }
        prop_assert!(seen.into_iter().all(|seen| seen));
        prop_assert!(queue.is_empty());
    }

    /// No class exceeds its cap, and no class above its floor gets a slot while a class below its
    /// floor is waiting.
    #[test]
    fn floors_and_caps_hold_while_slots_are_taken_and_released(slots in 10u32..100, steps in proptest::collection::vec(0usize..6, 1..300)) {
        let mut queue = WorkQueue::default();
        let mut running = [0u32; 3];
        let mut waiting = [0u32; 3];
        for step in steps {
            let class = WorkClass::ALL[step % 3];
            if step < 3 {
                queue.push(ticket(class, "o", 1, 1), ());
                waiting[class.index()] += 1;
            } else {
                running[class.index()] = running[class.index()].saturating_sub(1);
            }
            if running.iter().sum::<u32>() >= slots {
                continue;
            }
            let limits = limits(slots, running);
            if let Some((taken, ())) = queue.pop(&limits, |_, _| true) {
                let taken = taken.class.index();
                let above = running[taken] >= limits.shares.floors[taken];
                running[taken] += 1;
                waiting[taken] -= 1;
                prop_assert!(running[taken] <= limits.shares.caps[taken]);
                let starved = (0..3).any(|other| waiting[other] > 0 && running[other] < limits.shares.floors[other]);
                prop_assert!(!(above && starved));
            }
        }
    }
}
