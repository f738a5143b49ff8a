//! Maintenance waves: caps, pace, evacuation, availability limits, and answers to orders on VMs.

use std::collections::BTreeSet;

use jacinthhoist_core::{
    ClockTime, VmName, WorkerId,
    job::{
        Effect, JobId, OrderReply, RenewalReport, StepSpec, TaskEnd, TaskKey, VmEntry, VmState,
        WaveRequest, WorkerEntry, WorkerState,
    },
};

use super::harness::{RunOrder, SchedulerHarness, entry, long_running_step, ms, step, vm, worker};

fn wave(vms: &[usize], cap: usize) -> WaveRequest {
    WaveRequest {
        number: 1,
        vms: vms
            .iter()
            .map(|number| VmName::new(&format!("m-{number}")))
            .collect(),
        within: ms(20_000),
        cap,
    }
}

fn maintained(harness: &SchedulerHarness) -> Vec<VmName> {
    let orders = harness.orders.iter().filter_map(|order| match order {
        Effect::Maintain { vm, .. } => Some(vm.clone()),
        _ => None,
    });
    orders.collect()
}

/// Workers that get no tasks.
fn cordoned(harness: &SchedulerHarness) -> Vec<WorkerId> {
    let workers = harness.scheduler.workers();
    let cordoned = workers.filter(|worker| worker.cordoned);
    cordoned.map(|worker| worker.id.clone()).collect()
}

/// Lists the VMs of pool `mould` in the given states after a delay.
fn list_vms_after(harness: &mut SchedulerHarness, states: &[VmState], delay_ms: u64) {
    harness.wait(delay_ms);
    let vms = states.iter().enumerate();
    let vms = vms
        .map(|(number, state)| vm(number, "mould", *state))
        .collect();
    let asked_at = harness.now;
    harness.scheduler.vms_listed(vms, asked_at, harness.now);
    harness.step();
    harness.wait(150);
    harness.step();
    // Orders are sent once they are stored.
    harness.store();
}

/// Requests a wave over a fleet of 16 workers, whose 512 cores run `tasks` tasks of one core each, and
/// lists the VMs as up.
fn wave_over_loaded_fleet(tasks: u16, within_secs: u64) -> SchedulerHarness {
    let mut harness = SchedulerHarness::open(16);
    harness.accept(1, vec![step(tasks)]);
    harness.settle();
    harness.confirm();
    let request = WaveRequest {
        within: ClockTime::from_secs(within_secs),
        ..wave(&(0..16).collect::<Vec<_>>(), 8)
    };
    harness.scheduler.request_wave(request, harness.now);
    list_vms_after(&mut harness, &[VmState::Up; 16], 2_000);
    harness
}

#[test]
fn no_more_vms_than_the_cap_are_down_at_once() {
    let mut harness = SchedulerHarness::open(4);
    harness
        .scheduler
        .request_wave(wave(&[0, 1, 2, 3], 2), harness.now);
    list_vms_after(&mut harness, &[VmState::Up; 4], 2_000);
    assert_eq!(maintained(&harness).len(), 2);
    for name in maintained(&harness) {
        harness
            .scheduler
            .vm_order_replied(&name, OrderReply::Done, harness.now);
    }
    // The list shows them as up but is too old to count: they still use up the cap.
    list_vms_after(&mut harness, &[VmState::Up; 4], 500);
    assert_eq!(maintained(&harness).len(), 2);
    list_vms_after(&mut harness, &[VmState::Up; 4], 3_000);
    assert_eq!(maintained(&harness).len(), 4);
}

/// Regression test: a new owner counted only its own orders.
#[test]
fn vms_taken_down_by_an_earlier_owner_count_against_the_cap() {
    let mut harness = SchedulerHarness::open(4);
    harness
        .scheduler
        .request_wave(wave(&[0, 1, 2, 3], 2), harness.now);
    let states = [
        VmState::InMaintenance,
        VmState::InMaintenance,
        VmState::Up,
        VmState::Up,
    ];
    list_vms_after(&mut harness, &states, 500);
    assert!(
        maintained(&harness).is_empty(),
        "orders of the earlier owner may not be listed yet"
    );
    list_vms_after(&mut harness, &states, 2_000);
    assert!(maintained(&harness).is_empty());
}

#[test]
fn a_wave_is_complete_when_every_remaining_vm_has_begun_maintenance() {
    let mut harness = SchedulerHarness::open(2);
    harness
        .scheduler
        .request_wave(wave(&[0, 1, 7], 3), harness.now);
    list_vms_after(&mut harness, &[VmState::Up; 2], 2_000);
    let is_reported_complete = |harness: &SchedulerHarness| {
        let done = Effect::WaveStatus {
            wave: 1,
            completed: true,
        };
        harness.orders.contains(&done)
    };
    for name in maintained(&harness) {
        assert!(!is_reported_complete(&harness));
        harness
            .scheduler
            .vm_order_replied(&name, OrderReply::Done, harness.now);
    }
    list_vms_after(&mut harness, &[VmState::Up; 2], 200);
    assert!(is_reported_complete(&harness), "m-7 no longer exists");
}

/// Regression test (emulator seed 10131): a VM in two waves was ordered for both at once, and the
/// reply to the first order was counted for the second wave, which was reported complete without
/// it.
#[test]
fn a_vm_in_two_waves_has_one_order_at_a_time() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let start = harness.confirm().remove(0);
    harness.scheduler.request_wave(wave(&[0], 1), harness.now);
    list_vms_after(&mut harness, &[VmState::Up], 3_000);
    // The second wave is requested while the VM is evacuated for the first.
    let second = WaveRequest {
        number: 2,
        ..wave(&[0], 1)
    };
    harness.scheduler.request_wave(second, harness.now);
    harness.end(&start, TaskEnd::Done);
    harness.settle();
    harness.wait(200);
    harness.step();
    assert_eq!(maintained(&harness), [VmName::new("m-0")]);
}

/// Regression test: a task on a silent worker counted as available.
#[test]
fn a_task_is_stopped_only_while_its_step_tolerates_one_more_unavailable() {
    for is_other_silent in [false, true] {
        let mut harness = SchedulerHarness::open(4);
        harness.accept(1, vec![long_running_step(2, 1)]);
        harness.settle();
        let starts = harness.confirm();
        harness.report_all(&starts, 4, 100);
        if is_other_silent {
            harness
                .scheduler
                .renewal_failed(&starts[1].worker, harness.now);
        }
        let number: usize = starts[0].worker.as_str()[2..].parse().unwrap();
        harness
            .scheduler
            .request_wave(wave(&[number], 1), harness.now);
        list_vms_after(&mut harness, &[VmState::Up; 4], 1_600);
        harness.report_all(&starts[..1], 4, 100);
        if !is_other_silent {
            harness.report_all(&starts, 4, 100);
        }
        harness.wait(150);
        harness.step();
        let was_stopped = harness.stops.iter().any(|stop| stop.task == starts[0].task);
        assert_eq!(was_stopped, !is_other_silent);
        assert!(
            maintained(&harness).is_empty(),
            "its VM is not evacuated yet"
        );
    }
}

/// Regression test (AVAIL, scale-2 of bmca-foundry-large): tasks on draining workers were stopped
/// whatever else of their step was being stopped, for a wave or on other draining workers.
#[test]
fn tasks_on_draining_workers_are_stopped_within_the_availability_limit() {
    let mut harness = SchedulerHarness::open(6);
    harness.accept(1, vec![long_running_step(4, 1)]);
    harness.settle();
    let starts = harness.confirm();
    harness.report_all(&starts, 6, 100);
    for start in &starts[..3] {
        let draining = WorkerEntry {
            state: WorkerState::Draining,
            ..entry("mould")
        };
        harness
            .scheduler
            .worker_listed(start.worker.clone(), draining, harness.now);
    }
    harness.wait(150);
    harness.step();
    assert_eq!(harness.stops.len(), 1);
    harness.wait(150);
    harness.step();
    assert_eq!(harness.stops.len(), 1, "the first one is not back yet");
}

/// A wave over a large part of a fleet under load: the VMs out of service at once are as many as the
/// period of the wave requires, not as many as its cap allows.
#[test]
fn a_wave_over_a_loaded_fleet_is_spread_over_its_period() {
    // Seconds for the wave, and the VMs that may be out of service at its begin.
    for (within, expected) in [(40, 5), (90, 2), (4, 8)] {
        // Half of the capacity is in use.
        let harness = wave_over_loaded_fleet(256, within);
        assert_eq!(cordoned(&harness).len(), expected, "{within} s");
    }
}

/// Regression test (scale-2 of bmca-foundry-large): VMs that were replaced or failed during their
/// evacuation counted as out of service for good, so that the last VMs of a wave waited until the
/// fleet was idle, past its end.
#[test]
fn vms_that_leave_during_their_evacuation_do_not_hold_up_a_wave() {
    for left in [None, Some(VmState::Down)] {
        // All workers are in use.
        let mut harness = wave_over_loaded_fleet(512, 90);
        let evacuating = cordoned(&harness);
        assert_eq!(evacuating.len(), 2);
        let listed = (0..16).filter_map(|number| {
            let state = match evacuating.contains(&worker(number)) {
                true => left?,
                false => VmState::Up,
            };
            Some(vm(number, "mould", state))
        });
        harness.wait(600);
        let (listed, now) = (listed.collect(), harness.now);
        harness.scheduler.vms_listed(listed, now, now);
        harness.step();
        let others = cordoned(&harness);
        let others = others.iter().filter(|id| !evacuating.contains(id));
        assert_eq!(others.count(), 2, "{left:?}");
    }
}

/// Regression test (quiet-1 of ldaaa-hoist-grown): the last VMs of a wave waited for those whose
/// maintenance had begun, one after the other, past its end.
#[test]
fn the_last_vms_of_a_wave_do_not_wait_for_those_in_maintenance() {
    let mut harness = SchedulerHarness::open(4);
    harness.accept(1, vec![step(32)]);
    harness.settle();
    let busy = harness.confirm().remove(0).worker;
    harness
        .scheduler
        .request_wave(wave(&[0, 1, 2, 3], 4), harness.now);
    let states = |busy_state, other_state| {
        [0, 1, 2, 3].map(|number| match worker(number) == busy {
            true => busy_state,
            false => other_state,
        })
    };
    // The period over which the wave is planned has passed.
    list_vms_after(&mut harness, &states(VmState::Moving, VmState::Up), 9_000);
    let begun = maintained(&harness);
    assert_eq!(begun.len(), 3);
    for name in &begun {
        harness
            .scheduler
            .vm_order_replied(name, OrderReply::Done, harness.now);
    }
    let states = states(VmState::Up, VmState::InMaintenance);
    list_vms_after(&mut harness, &states, 500);
    assert!(cordoned(&harness).contains(&busy));
}

/// A worker that replaces another one on a VM under evacuation gets tasks until the VM list names it,
/// and none after that.
#[test]
fn a_new_worker_on_a_vm_under_evacuation_gets_no_further_tasks() {
    let mut harness = SchedulerHarness::open(2);
    harness.accept(1, vec![step(200)]);
    harness.settle();
    harness.confirm();
    let request = WaveRequest {
        within: ClockTime::from_secs(600),
        ..wave(&[0, 1], 1)
    };
    harness.scheduler.request_wave(request, harness.now);
    list_vms_after(&mut harness, &[VmState::Up; 2], 2_000);
    let evacuating = cordoned(&harness).remove(0);
    let restarted = worker(7);
    harness
        .scheduler
        .worker_listed(restarted.clone(), entry("mould"), harness.now);
    harness.report(7, RenewalReport::default());
    harness.settle();
    harness.confirm();
    let listed = (0..2).map(|number| {
        let mut listed = vm(number, "mould", VmState::Up);
        if listed.worker.as_ref() == Some(&evacuating) {
            listed.worker = Some(restarted.clone());
        }
        listed
    });
    let (listed, now) = (listed.collect(), harness.now);
    harness.scheduler.vms_listed(listed, now, now);
    harness.wait(150);
    harness.step();
    assert!(cordoned(&harness).contains(&restarted));
}

/// VMs with long-running tasks, of which only a few may leave at a time, are slow to evacuate: they come
/// first, or the wave would end late.
#[test]
fn vms_with_long_running_tasks_are_evacuated_first() {
    let mut harness = SchedulerHarness::open(2);
    harness.accept(1, vec![long_running_step(1, 1)]);
    harness.settle();
    let serving = harness.confirm().remove(0).worker;
    // The other worker is less loaded, by one short task.
    harness.accept(
        2,
        vec![StepSpec {
            max_per_worker: 1,
            ..step(2)
        }],
    );
    harness.settle();
    harness.confirm();
    let request = WaveRequest {
        within: ClockTime::from_secs(600),
        ..wave(&[0, 1], 2)
    };
    harness.scheduler.request_wave(request, harness.now);
    // Long-running tasks alone would leave the fleet idle; the load keeps the wave spread out.
    harness.accept(3, vec![step(12)]);
    harness.settle();
    harness.confirm();
    list_vms_after(&mut harness, &[VmState::Up; 2], 2_000);
    assert_eq!(cordoned(&harness), [serving]);
}

/// Regression test (trouble-2 of ldaaa-hoist-grown): VMs with tasks that ran for up to 30 s were
/// evacuated for as long, past the end of their wave, though the tasks had checkpoints.
#[test]
fn an_evacuation_moves_long_runs_with_checkpoints() {
    // Checkpoints, member of a gang, progress in percent after four seconds, and whether it moves.
    let table = [
        (true, false, 20, true),
        (true, false, 90, false),
        (true, true, 20, false),
        (false, false, 20, false),
    ];
    for (checkpoints, gang, percent, expected) in table {
        let mut harness = SchedulerHarness::open(1);
        let step = StepSpec {
            checkpoints,
            gang,
            ..step(1)
        };
        harness.accept(1, vec![step]);
        harness.settle();
        let starts = harness.confirm();
        harness.wait(2_000);
        harness.report_all(&starts, 1, percent / 2);
        harness.wait(2_000);
        harness.report_all(&starts, 1, percent);
        harness.scheduler.request_wave(wave(&[0], 1), harness.now);
        list_vms_after(&mut harness, &[VmState::Up], 100);
        let stopped = harness.stops.iter().any(|stop| stop.task == starts[0].task);
        assert_eq!(stopped, expected, "{checkpoints} {gang} {percent}");
    }
}

#[test]
fn a_busy_vm_is_evacuated_before_maintenance_and_gets_no_new_tasks() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let start = harness.confirm().remove(0);
    harness.scheduler.request_wave(wave(&[0], 1), harness.now);
    list_vms_after(&mut harness, &[VmState::Up], 2_000);
    assert!(maintained(&harness).is_empty());
    harness.accept(2, vec![step(1)]);
    harness.settle();
    assert!(harness.starts.is_empty());
    harness.end(&start, TaskEnd::Done);
    list_vms_after(&mut harness, &[VmState::Up], 100);
    assert_eq!(maintained(&harness), [VmName::new("m-0")]);
    assert!(harness.scheduler.worker(&worker(0)).unwrap().is_empty());
}

/// Regression test (TWICE, emulator): the answer of an order was lost, and the VM was back under a new
/// worker when the repeated order was answered. The runs of the new worker counted as ended, and were
/// started again while they were active.
#[test]
fn a_late_answer_of_an_order_does_not_end_the_runs_of_the_next_worker() {
    let mut harness = SchedulerHarness::open(2);
    harness.scheduler.request_wave(wave(&[0], 1), harness.now);
    list_vms_after(&mut harness, &[VmState::Up; 2], 2_000);
    let name = VmName::new("m-0");
    assert_eq!(maintained(&harness), std::slice::from_ref(&name));
    // Carried out, and not answered.
    harness.scheduler.worker_unlisted(&worker(0), harness.now);
    harness.wait(2_500);
    let next = worker(7);
    harness
        .scheduler
        .worker_listed(next.clone(), entry("mould"), harness.now);
    harness.report(7, RenewalReport::default());
    let back = VmEntry {
        worker: Some(next.clone()),
        ..vm(0, "mould", VmState::Up)
    };
    let listed = vec![back, vm(1, "mould", VmState::Up)];
    let now = harness.now;
    harness.scheduler.vms_listed(listed, now, now);
    harness.accept(1, vec![step(64)]);
    harness.settle();
    let starts = harness.confirm();
    let on_next: Vec<_> = starts.iter().filter(|run| run.worker == next).collect();
    assert!(!on_next.is_empty());
    harness
        .scheduler
        .vm_order_replied(&name, OrderReply::Done, harness.now);
    harness.settle();
    for run in on_next {
        let placed = harness.task(run.task);
        assert_eq!(placed.placed(), Some((&next, run.run)));
    }
}

#[test]
fn no_vm_is_ordered_without_confirmed_ownership() {
    let mut harness = SchedulerHarness::open(1);
    harness.scheduler.request_wave(wave(&[0], 1), harness.now);
    harness.scheduler.set_ownership_confirmed(false);
    list_vms_after(&mut harness, &[VmState::Up], 2_000);
    assert!(maintained(&harness).is_empty());
    harness.scheduler.set_ownership_confirmed(true);
    list_vms_after(&mut harness, &[VmState::Up], 200);
    assert_eq!(maintained(&harness).len(), 1);
}

/// Opens an owner whose workers run a long-running step of `tasks` tasks, at most two a worker, and that
/// has a wave for the first VM.
fn wave_over_first_vm(workers: usize, tasks: u16) -> (SchedulerHarness, Vec<RunOrder>) {
    let mut harness = SchedulerHarness::open(workers);
    let service = StepSpec {
        max_per_worker: 2,
        ..long_running_step(tasks, 1)
    };
    harness.accept(1, vec![service]);
    harness.settle();
    let starts = harness.confirm();
    assert_eq!(starts.len(), usize::from(tasks));
    harness.scheduler.request_wave(wave(&[0], 1), harness.now);
    (harness, starts)
}

/// Reports all runs in full operation and lists the VMs as up, a few times.
fn observe_evacuation(harness: &mut SchedulerHarness, starts: &[RunOrder], workers: usize) {
    for _ in 0..4 {
        harness.report_all(starts, workers, 100);
        list_vms_after(harness, &vec![VmState::Up; workers], 500);
    }
}

/// Tasks that were ordered to stop on a worker; unanswered orders are repeated.
fn stopped_on(harness: &SchedulerHarness, number: usize) -> BTreeSet<TaskKey> {
    let stops = harness.stops.iter();
    let stops = stops.filter(|stop| stop.worker == worker(number));
    stops.map(|stop| stop.task).collect()
}

/// Guards against a long-running task that waits for a place (LOST): an evacuation stopped it although the
/// only other worker of the pool had as many tasks of its step as it may, and the rest could not follow.
#[test]
fn an_evacuation_stops_no_long_running_task_that_has_no_place_elsewhere() {
    let (mut harness, starts) = wave_over_first_vm(2, 4);
    observe_evacuation(&mut harness, &starts, 2);
    assert_eq!(cordoned(&harness), [worker(0)]);
    assert_eq!(harness.stops, []);
    harness.list_workers(3);
    observe_evacuation(&mut harness, &starts, 3);
    assert_eq!(stopped_on(&harness, 0).len(), 1, "a new worker has room");
}

/// Guards against a wave that never ends in a pool without room: a run that is the last on its VM moves
/// although it has to wait until the VM is back.
#[test]
fn a_vm_is_maintained_although_its_only_run_has_no_place_elsewhere() {
    let (mut harness, starts) = wave_over_first_vm(1, 1);
    observe_evacuation(&mut harness, &starts, 1);
    assert_eq!(stopped_on(&harness, 0).len(), 1);
    harness.end(&starts[0], TaskEnd::Stopped);
    harness.settle();
    list_vms_after(&mut harness, &[VmState::Up], 500);
    assert!(maintained(&harness).contains(&VmName::new("m-0")));
}

/// Owner of four VMs that has ordered the first one of a wave with a cap of one into maintenance, without a reply.
fn order_without_reply() -> SchedulerHarness {
    let mut owner = SchedulerHarness::open(4);
    let request = wave(&[0, 1, 2, 3], 1);
    owner.scheduler.request_wave(request, owner.now);
    list_vms_after(&mut owner, &[VmState::Up; 4], 2_000);
    assert_eq!(maintained(&owner), [VmName::new("m-0")]);
    owner
}

/// Creates the next owner, which knows the wave and whose workers have reported.
fn take_over_wave(owner: &SchedulerHarness) -> SchedulerHarness {
    let mut next = owner.take_over(&[], 4);
    let request = wave(&[0, 1, 2, 3], 1);
    next.scheduler.request_wave(request, next.now);
    next.report_all(&[], 4, 0);
    next
}

/// Guards against more VMs in maintenance than the cap allows: the order of an owner that had ended was carried out late,
/// after the next owner, which knew nothing of it, had ordered another VM (review/9).
#[test]
fn an_order_of_an_earlier_owner_without_a_reply_counts_against_the_cap() {
    let mut next = take_over_wave(&order_without_reply());
    next.accept(1, vec![step(1)]);
    next.settle();
    let start = next.confirm().remove(0);
    assert_eq!(start.worker, worker(0));
    next.report_all(std::slice::from_ref(&start), 4, 10);
    list_vms_after(&mut next, &[VmState::Up; 4], 2_000);
    assert!(maintained(&next).is_empty(), "{:?}", maintained(&next));
    assert_eq!(cordoned(&next), [worker(0)]);
    next.end(&start, TaskEnd::Done);
    list_vms_after(&mut next, &[VmState::Up; 4], 100);
    assert_eq!(maintained(&next), [VmName::new("m-0")]);
}

/// Guards against a wave that waits for good for a VM that an earlier owner may have ordered.
#[test]
fn an_order_of_an_earlier_owner_does_not_hold_up_a_wave_for_good() {
    let mut next = take_over_wave(&order_without_reply());
    let mut states = [VmState::Up; 4];
    states[0] = VmState::Down;
    list_vms_after(&mut next, &states, 2_000);
    assert!(maintained(&next).is_empty());
    list_vms_after(&mut next, &states, 14_000);
    assert_eq!(maintained(&next), [VmName::new("m-1")]);
}

/// Guards against more VMs in maintenance than the cap allows: the repetition of an order without a reply was refused, and
/// the order counted as one that is not carried out, although its first attempt still could be.
#[test]
fn the_refusal_of_a_repeated_order_does_not_end_the_one_before() {
    let mut owner = order_without_reply();
    let name = VmName::new("m-0");
    let reply = |owner: &mut SchedulerHarness, reply: OrderReply| {
        let now = owner.now;
        owner.scheduler.vm_order_replied(&name, reply, now);
    };
    reply(&mut owner, OrderReply::Unknown);
    owner.orders.clear();
    let mut states = [VmState::Up; 4];
    states[0] = VmState::Down;
    list_vms_after(&mut owner, &states, 700);
    assert_eq!(maintained(&owner), std::slice::from_ref(&name));
    reply(&mut owner, OrderReply::Refused);
    list_vms_after(&mut owner, &states, 700);
    let other = VmName::new("m-1");
    assert!(!maintained(&owner).contains(&other));
    // By then the first order cannot be carried out any more.
    owner.wait(14_000);
    reply(&mut owner, OrderReply::Refused);
    list_vms_after(&mut owner, &states, 700);
    assert!(maintained(&owner).contains(&other));
}

/// Guards against an order that leaves before it is stored, so that a later owner would not know of it.
#[test]
fn no_vm_is_ordered_before_that_is_stored() {
    let mut owner = SchedulerHarness::open(2);
    owner.scheduler.request_wave(wave(&[0, 1], 2), owner.now);
    owner.wait(2_000);
    let vms = vec![vm(0, "mould", VmState::Up), vm(1, "mould", VmState::Up)];
    let now = owner.now;
    owner.scheduler.vms_listed(vms, now, now);
    owner.wait(150);
    owner.step();
    assert!(maintained(&owner).is_empty());
    // A run that comes to light meanwhile is not ended.
    let run = RunOrder {
        worker: worker(0),
        task: TaskKey {
            job: JobId(9),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 1,
    };
    owner.report(0, SchedulerHarness::running(&[run], 10));
    owner.store();
    assert_eq!(maintained(&owner), [VmName::new("m-1")]);
}
