//! Table-driven tests of admission, placement, health, budgets and slots.

use jacinthhoist_core::{
    AdmissionInput, ClassShares, ClockTime, LoadGate, MemberName, OwnerEntry, OwnerName,
    PlacementCandidate, PolicyEntry, PoolName, RefusalReason, RetryBudget, VmHealth, VmName,
    WorkClass, WorkEntry, WorkHealth, admit, choose_vm, connection_share, rendezvous_rank,
    slot_owner, slot_share,
};

fn work(class: WorkClass) -> WorkEntry {
    WorkEntry {
        owner: OwnerName::new("o"),
        class,
        pool: PoolName::new("p"),
        repeatable: true,
        max_queued: 10,
        max_running: 10,
        deadline_ms: 1_000,
        max_body_bytes: 0,
        max_attempts: 3,
        checkpoint: false,
    }
}

#[test]
fn admission_refuses_full_queues_and_unreachable_deadlines() {
    let owner = OwnerEntry {
        weight: 1,
        max_running: 10,
        max_queued: 20,
    };
    let cases = [
        (WorkClass::Urgent, 0, 0, [0, 0, 0], 100, Ok(())),
        (
            WorkClass::Urgent,
            10,
            10,
            [0, 0, 0],
            100,
            Err(RefusalReason::QueueFull),
        ),
        (
            WorkClass::Urgent,
            0,
            20,
            [0, 0, 0],
            100,
            Err(RefusalReason::OwnerQueueFull),
        ),
        (WorkClass::Urgent, 0, 0, [8_000, 0, 0], 100, Ok(())),
        (
            WorkClass::Urgent,
            0,
            0,
            [9_900, 0, 0],
            100,
            Err(RefusalReason::DeadlineUnreachable),
        ),
        (WorkClass::Urgent, 0, 0, [0, 90_000, 90_000], 100, Ok(())),
        (WorkClass::Slow, 0, 0, [90_000, 0, 500], 100, Ok(())),
        (
            WorkClass::Slow,
            0,
            0,
            [90_000, 0, 990],
            100,
            Err(RefusalReason::DeadlineUnreachable),
        ),
        (WorkClass::Standard, 0, 0, [0, 0, 0], 5_000, Ok(())),
    ];
    for (class, work_queued, owner_queued, queued_cost_ms, service, expected) in cases {
        let work = work(class);
        let input = AdmissionInput {
            work: &work,
            owner: &owner,
            work_queued,
            owner_queued,
            queued_cost_ms,
            slots: 10,
            shares: ClassShares::of(&PolicyEntry::default(), 10),
            service: Some(ClockTime::from_millis(service)),
            remaining: ClockTime::from_millis(1_000),
        };
        assert_eq!(admit(&input), expected, "{class:?} {queued_cost_ms:?}");
        assert!(input.retry_after() >= ClockTime::from_secs(1));
    }
}

#[test]
fn faulty_work_is_distinguished_from_faulty_vms() {
    let (work, vm) = (WorkHealth::default(), VmHealth::default());
    let now = ClockTime::from_secs(1);
    assert!(
        !work.record_failure(1) && !work.record_failure(1) && !work.record_failure(2),
        "failures on two VMs are not enough to mark the work as faulty"
    );
    assert!(
        work.record_failure(3) && work.fails_everywhere(),
        "failures on three VMs mark the work as faulty"
    );
    work.record_success();
    assert!(!work.fails_everywhere());
    assert!(
        !vm.record_failure(now, false)
            && !vm.record_failure(now, false)
            && !vm.record_failure(now, false)
    );
    assert!(!vm.is_ejected(), "the pool's budget allows no ejection");
    assert!(vm.record_failure(now, true) && vm.is_ejected());
}

#[test]
fn failed_probe_doubles_the_ejection_time() {
    let vm = VmHealth::default();
    for _ in 0..3 {
        vm.record_failure(ClockTime::ZERO, true);
    }
    let mut at = ClockTime::from_millis(1_000);
    for doubling in 1..4 {
        assert!(vm.try_admit(at));
        vm.record_failure(at, true);
        let span = ClockTime::from_millis(1_000 << doubling);
        assert!(!vm.try_admit(at + span - ClockTime::from_millis(1)));
        at = at + span;
    }
    assert!(vm.try_admit(at) && vm.record_success() && !vm.is_ejected());
}

#[test]
fn placement_avoids_tried_ejected_and_unusable_vms() {
    let gates: Vec<LoadGate> = (0..4).map(|_| LoadGate::default()).collect();
    let healths: Vec<VmHealth> = (0..4).map(|_| VmHealth::default()).collect();
    for _ in 0..3 {
        healths[0].record_failure(ClockTime::ZERO, true);
    }
    let candidate = |index: usize| PlacementCandidate {
        gate: &gates[index],
        limit: 1,
        health: &healths[index],
        usable: index != 1,
    };
    let choose = |tried: &[usize]| choose_vm(4, 0, tried, ClockTime::ZERO, candidate);
    assert_eq!(choose(&[2]), Some(3));
    assert_eq!(choose(&[3]), Some(2));
    assert_eq!(choose(&[]), None);
    assert!(
        gates.iter().map(LoadGate::held).eq([0, 0, 1, 1]),
        "only chosen VMs hold a slot"
    );
}

#[test]
fn retry_budget_limits_amplification() {
    let budget = RetryBudget::default();
    let mut attempts = 0;
    for _ in 0..10_000 {
        budget.deposit();
        attempts += 1;
        while budget.try_withdraw() {
            attempts += 1;
        }
    }
    assert!(
        attempts <= 12_000,
        "more than 1.2 attempts per request: {attempts}"
    );
}

#[test]
fn slots_are_fully_assigned_and_balanced() {
    let members: Vec<MemberName> = (0..6)
        .map(|n| MemberName::new(&format!("entry-{n}")))
        .collect();
    let mut owned = vec![0; 6];
    for index in 0..1_200 {
        let vm = VmName::new(&format!("w{index}"));
        let shares: Vec<u32> = members
            .iter()
            .map(|m| slot_share(&members, m, &vm, 8))
            .collect();
        assert_eq!(shares.iter().sum::<u32>(), 8);
        for (member, share) in members.iter().zip(&shares) {
            let slots = (0..8).filter(|slot| slot_owner(&members, &vm, *slot) == Some(member));
            assert_eq!(slots.count() as u32, *share);
        }
        owned
            .iter_mut()
            .zip(shares)
            .for_each(|(sum, share)| *sum += share);
    }
    assert!(
        owned.iter().all(|sum| (1_500..1_700).contains(sum)),
        "{owned:?}"
    );
}

#[test]
fn connections_stay_within_the_limit_for_any_membership() {
    for max_members in 1..=64 {
        assert!(connection_share(64, max_members) * max_members <= 64);
    }
    let members = [
        MemberName::new("a"),
        MemberName::new("b"),
        MemberName::new("c"),
    ];
    let mut ranks: Vec<usize> = members
        .iter()
        .map(|m| rendezvous_rank(&members, m, "s"))
        .collect();
    ranks.sort_unstable();
    assert_eq!(ranks, [0, 1, 2]);
}
