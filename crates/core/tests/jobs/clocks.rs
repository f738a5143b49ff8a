//! Tests of times that one owner stores and another one, whose clock differs by any amount, compares.

use std::sync::Arc;

use crate::harness::{RunOrder, SchedulerHarness, long_running_step, ms, number_of};
use jacinthhoist_core::{
    ClockTime,
    job::{
        ClockReadings, FormerOwner, JobId, JobSpec, RenewalReport, StoredTime, SuccessionRecord,
    },
};
use smallvec::smallvec;

const WORKERS: usize = 2;
/// Differences between the clocks of two members, in milliseconds.
const DIFFERENCES: [i64; 9] = [
    -86_400_000,
    -60_000,
    -9_000,
    -2_600,
    0,
    2_600,
    9_000,
    60_000,
    86_400_000,
];
/// Time that a heartbeat takes.
const TRANSIT: ClockTime = ClockTime::from_millis(40);

/// Time on the clock of the first member at the start: further from zero than any difference.
const START: ClockTime = ClockTime::from_millis(1_000_000_000);

/// Successive owners, each with a clock of its own.
struct ClockChain {
    owner: SchedulerHarness,
    key: Arc<str>,
    /// Time by which the owner's clock is ahead of the first one's.
    ahead: i64,
    jobs: [(JobId, Arc<JobSpec>); 1],
    start: RunOrder,
    /// Time on the first clock by which the lease of the silent worker has expired.
    expiry: ClockTime,
}

fn shifted(time: ClockTime, by: i64) -> ClockTime {
    ms(time.as_millis().checked_add_signed(by).expect("in range"))
}

impl ClockChain {
    /// Creates an owner with one long-running task, whose worker falls silent with a lease.
    fn open() -> Self {
        let key: Arc<str> = "entry-0".into();
        let mut owner = SchedulerHarness::without_workers(START);
        owner
            .scheduler
            .set_readings(ClockReadings::open(key.clone()));
        owner.list_workers(WORKERS);
        for number in 0..WORKERS {
            owner.report(number, RenewalReport::default());
        }
        let spec = owner.accept(1, vec![long_running_step(1, 0)]);
        owner.settle();
        let start = owner.confirm().remove(0);
        owner.report_all(std::slice::from_ref(&start), WORKERS, 100);
        let plan = owner.scheduler.plan_renewal(&start.worker, owner.now);
        assert!(plan.unwrap().lease_until.is_some());
        let mut chain = Self {
            owner,
            key,
            ahead: 0,
            jobs: [(JobId(1), spec)],
            start,
            expiry: ClockTime::ZERO,
        };
        chain.expiry = chain.latest_expiry();
        chain.fall_silent();
        chain
    }

    /// Time on the owner's clock by which the lease of the worker has expired.
    fn latest_expiry(&self) -> ClockTime {
        let mut workers = self.owner.scheduler.workers();
        let worker = workers.find(|worker| worker.id == self.start.worker);
        worker.expect("it is known").process.lease.latest_expiry()
    }

    /// Time on the first clock.
    fn now(&self) -> ClockTime {
        shifted(self.owner.now, -self.ahead)
    }

    /// What another member knows of clocks after a heartbeat of the present owner.
    fn follow(&self, key: &str, ahead: i64) -> ClockReadings {
        let mut readings = ClockReadings::open(key.into());
        let arrived_at = shifted(self.now() + TRANSIT, ahead);
        readings.record(&self.key, self.owner.now, arrived_at);
        readings
    }

    /// The member with these readings takes over.
    fn take_over(&mut self, readings: ClockReadings, ahead: i64) {
        let now = shifted(self.now() + TRANSIT, ahead);
        self.key = readings.own().clone();
        self.owner = self.owner.take_over_on(readings, now, &self.jobs, WORKERS);
        self.ahead = ahead;
    }

    /// The owner finds that it cannot reach the worker either.
    fn fall_silent(&mut self) {
        let owner = &mut self.owner;
        owner
            .scheduler
            .renewal_failed(&self.start.worker, owner.now);
        owner.settle();
    }

    /// Time on the first clock at which the task starts on the other worker.
    fn restarted_at(&mut self) -> ClockTime {
        let other = 1 - number_of(&self.start.worker);
        for _ in 0..2_000 {
            self.owner.report(other, RenewalReport::default());
            self.owner.settle();
            if !self.owner.starts.is_empty() {
                return self.now();
            }
        }
        panic!("the task does not start again");
    }
}

/// Guards against two runs of a task at once (issue 58): the stored expiry of a lease was compared with a clock
/// that was further ahead than the margin for it. A follower of the owner that stored it waits no longer than it must.
#[test]
fn a_stored_expiry_is_kept_to_whatever_the_clocks_of_two_owners_show() {
    for ahead in DIFFERENCES {
        let mut chain = ClockChain::open();
        chain.owner.wait(1_000);
        chain.take_over(chain.follow("entry-1", ahead), ahead);
        let restarted_at = chain.restarted_at();
        assert!(restarted_at > chain.expiry, "{ahead}");
        // One step of the test, and the difference in rate that clocks may have.
        assert!(restarted_at < chain.expiry + ms(400), "{ahead}");
    }
}

/// Guards against the same by a member that knows nothing of the clock: it has just started.
#[test]
fn the_rest_of_a_lease_is_waited_for_by_a_member_that_has_not_followed_its_owner() {
    for ahead in DIFFERENCES {
        let mut chain = ClockChain::open();
        let rest = chain.expiry - chain.now();
        chain.owner.wait(1_000);
        chain.take_over(ClockReadings::open("entry-1".into()), ahead);
        let taken_over_at = chain.now();
        let restarted_at = chain.restarted_at();
        assert!(restarted_at > chain.expiry, "{ahead}");
        assert!(restarted_at < taken_over_at + rest + ms(600), "{ahead}");
    }
}

/// Guards against a task that waits ever longer for a worker that is gone: a time that each owner in turn counts
/// anew. The clock of any owner before is enough, also if those in between have ended before they were followed.
#[test]
fn a_time_stored_by_an_owner_before_the_last_one_is_known_by_its_clock() {
    for ahead in DIFFERENCES {
        let mut chain = ClockChain::open();
        let readings = chain.follow("entry-3", ahead);
        for (key, own_ahead) in [("entry-1", -ahead), ("entry-2", ahead / 2)] {
            chain.owner.wait(1_200);
            chain.take_over(chain.follow(key, own_ahead), own_ahead);
            chain.fall_silent();
        }
        chain.take_over(readings, ahead);
        let restarted_at = chain.restarted_at();
        assert!(restarted_at > chain.expiry, "{ahead}");
        assert!(restarted_at < chain.expiry + ms(600), "{ahead}");
    }
}

/// Guards against two runs of a task at once: a worker restarted while the expiry of its earlier process was stored. The
/// lease of the present one is another, but the clocks of that record were added to its own.
#[test]
fn the_stored_expiry_of_an_earlier_process_is_not_that_of_a_later_one() {
    for ahead in DIFFERENCES {
        let mut chain = ClockChain::open();
        let readings = chain.follow("entry-2", ahead);
        chain.owner.wait(500);
        chain.take_over(chain.follow("entry-1", -ahead), -ahead);
        let number = number_of(&chain.start.worker);
        let starts = std::slice::from_ref(&chain.start);
        for incarnation in [1, 2] {
            let report = RenewalReport {
                incarnation: Some(incarnation),
                ..SchedulerHarness::running(starts, 100)
            };
            chain.owner.wait(10);
            chain.owner.report(number, report);
        }
        let expiry = shifted(chain.latest_expiry(), ahead);
        assert!(expiry > chain.expiry, "the later process has another lease");
        chain.fall_silent();
        chain.take_over(readings, ahead);
        assert!(chain.restarted_at() > expiry, "{ahead}");
    }
}

/// Guards against two runs of a task at once: a third owner compared the time until which the first one may extend
/// leases on promises with its own clock.
#[test]
fn a_former_owner_is_waited_for_whatever_the_clocks_of_later_owners_show() {
    for ahead in DIFFERENCES {
        let now = START;
        let own = ClockReadings::open("entry-1".into());
        let until = now + ms(12_000);
        let record = SuccessionRecord {
            owner: own.own().clone(),
            members: smallvec!["entry-2".into()],
            formers: smallvec![FormerOwner::new("entry-0".into(), until, &own, now)],
        };
        for follows in [true, false] {
            let mut readings = ClockReadings::open("entry-2".into());
            let local_now = shifted(now + ms(2_000), ahead);
            if follows {
                readings.record(own.own(), now + ms(2_000) - TRANSIT, local_now);
            }
            let formers = record.former_owners(&readings, local_now);
            let waited_until = shifted(formers[0].until, -ahead);
            assert!(waited_until >= until, "{ahead}, {follows}");
            let longest = if follows { ms(12_500) } else { ms(14_500) };
            assert!(waited_until < now + longest, "{ahead}, {follows}");
        }
    }
}

/// Guards against a time that is taken for reached too early: a heartbeat that was long on its way says least
/// about a clock, and one of before says nothing about a process that has taken the member's place.
#[test]
fn late_heartbeats_and_later_processes_do_not_bring_a_stored_time_forward() {
    let (first, later): (Arc<str>, Arc<str>) = ("entry-1|1".into(), "entry-1|2".into());
    let stored = StoredTime::new(&first, ms(9_000), ms(6_000));
    let mut readings = ClockReadings::open("entry-2".into());
    readings.record(&first, ms(5_000), ms(70_000));
    let reached_at = readings.reached_at(&stored, ms(80_000));
    assert!(reached_at >= ms(74_000) && reached_at < ms(74_200));
    // Sent before and received after, or received seconds late.
    readings.record(&first, ms(4_000), ms(70_100));
    readings.record(&first, ms(5_300), ms(75_000));
    readings.record(&later, ms(90_000), ms(70_200));
    assert_eq!(readings.reached_at(&stored, ms(80_000)), reached_at);
}
