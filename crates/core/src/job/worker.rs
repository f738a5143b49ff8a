//! State of a worker as derived from its reports, and its eligibility for tasks.

use std::{collections::BTreeMap, sync::Arc};

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    name::{DataCentre, PoolName, RackName, WorkerId},
};

use super::{
    charge::{AnyCharge, RunCharge, RunCost, Stray},
    hold::RoomHold,
    lease::UnknownLease,
    process::{RunTarget, WorkerProcess},
    spec::{JobId, Resources, StepKey, TaskKey},
    stored_time::StoredTime,
    task::TaskEnd,
    tenant_account::TenantSlot,
};

/// Consecutive failures, each of a task that had not failed before, after which a worker is
/// suspended. One task in 500 fails by its own fault, so two in a row indicate a faulty worker.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// Consecutive start orders without a reply or effect after which a worker is suspended; a single
/// one may be a lost packet.
const MAX_CONSECUTIVE_UNANSWERED: u32 = 2;
/// Age of the last report up to which the process behind it counts as the present one. Longer than an
/// active worker takes to answer a renewal, which waits for up to half a second; an idle worker may have
/// restarted unnoticed.
const MAX_REPORT_AGE: ClockTime = ClockTime::from_millis(1_500);
/// Suspension period of a worker, after which it is tried with a single task.
const SUSPENSION: ClockTime = ClockTime::from_millis(4_000);
/// Time after which a trial that goes on holds up no further one: twice the second that tasks usually last.
const TRIAL_SPAN: ClockTime = ClockTime::from_millis(2_000);

/// Availability of a worker for new tasks, as the worker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// The worker accepts tasks.
    Ready,
    /// The worker finishes its present tasks and then leaves.
    Draining,
}

/// Registration of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Pool of the worker.
    pub pool: PoolName,
    /// Network address, `ip:port`.
    pub address: Arc<str>,
    /// Data centre of the worker.
    pub data_centre: DataCentre,
    /// Availability for new tasks.
    pub state: WorkerState,
    /// Total resources.
    pub capacity: Resources,
    /// Labels, including the kind of worker and its rack.
    pub labels: SmallVec<[Arc<str>; 2]>,
    /// Rack, if the labels name one.
    pub rack: Option<RackName>,
    /// Start time by the worker's own clock, which distinguishes restarts under one id.
    pub incarnation: Option<u64>,
}

/// Run in progress on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// Task of the run.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Progress, 0 to 100.
    pub percent: u8,
    /// Approximate load: for a task that serves users, the tail of their response times in
    /// milliseconds; for any other task, its processor usage in thousandths of a core.
    pub load: u64,
}

/// Run that has ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number of the end within this incarnation of the worker.
    pub number: u64,
    /// Task of the run.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Reason for the end.
    pub end: TaskEnd,
    /// Last checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// A worker's report in reply to a renewal of its lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RenewalReport {
    /// Worker's clock, in milliseconds.
    pub clock: u64,
    /// Start time by the worker's clock.
    pub incarnation: Option<u64>,
    /// Runs in progress.
    pub running: Vec<ActiveRun>,
    /// Runs that have ended and whose ends have not been acknowledged.
    pub ended: Vec<EndedRun>,
    /// True if the worker may hold more ends than it has listed, so that a run which the report does not
    /// name may have ended in any way.
    pub has_more_ends: bool,
}

/// A worker's reply to a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StartReply {
    /// The worker runs the task.
    Started,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker has already run or stopped this run or a later one.
    OldRun,
    /// The lease of the order had expired.
    TooLate,
    /// The worker has insufficient free capacity.
    NoRoom,
    /// The permit is missing or has expired.
    NoPermit,
    /// The order is malformed.
    Invalid,
    /// The worker is unhealthy and ignored the order.
    Unhealthy,
    /// Another incarnation of the worker answered and ignored the order.
    WrongLife,
    /// The order was not sent, as another process answers under the worker's id.
    OtherProcess,
    /// The order was not sent, as the worker did not answer which process it is.
    NoAnswer,
    /// The order was not sent, as the permission to send it had run out.
    Expired,
    /// No reply; the order may have been carried out or may still be.
    Unknown,
}

impl StartReply {
    /// Returns whether the order has not been carried out and will not be.
    pub fn is_refusal(self) -> bool {
        !matches!(self, Self::Started | Self::Unknown | Self::OldRun)
    }
}

/// Reply to a stop order, or to an order on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderReply {
    /// The order has been carried out.
    Done,
    /// The recipient has seen a higher fencing token.
    Fenced,
    /// The recipient refused the order.
    Refused,
    /// The order was not sent, as the permission to send it had run out.
    Expired,
    /// No reply; the order may have been carried out or may still be.
    Unknown,
}

/// State of a worker as known to the owner.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Worker id.
    pub id: WorkerId,
    /// Registration of the worker.
    pub entry: WorkerEntry,
    /// Time since which the worker has been missing from the list.
    pub missing_since: Option<ClockTime>,
    /// Process that reported last. The runs, and the health derived from them, are those of the worker,
    /// as an order to an earlier process may still reach a later one.
    pub process: WorkerProcess,
    /// Time at which the last report was requested; none before the first.
    pub seen_at: Option<ClockTime>,
    /// Time since which requests for reports have failed.
    pub silent_since: Option<ClockTime>,
    /// Resources taken by the runs.
    pub used: Resources,
    /// Part of these that runs take which last until they are stopped.
    pub lasting: Resources,
    /// What the runs of each tenant use.
    pub tenant_usage: SmallVec<[(TenantSlot, Resources); 4]>,
    /// Runs that may be in progress on the worker, whether their tasks refer to them or not.
    pub charges: BTreeMap<(TaskKey, u32), AnyCharge>,
    /// Start orders without an answer whose lease has lapsed. They may be carried out once the worker has
    /// a lease again.
    lapsed_starts: SmallVec<[(TaskKey, u32, RunCost); 2]>,
    /// Stray runs among them: the worker gets no lease before it has acknowledged their stops.
    unsettled_starts: SmallVec<[(TaskKey, u32); 2]>,
    /// Time since which no run can be in progress on the worker.
    pub empty_since: ClockTime,
    /// Number of runs that serve their own users.
    pub serving_runs: u32,
    /// Number of best-effort runs.
    pub best_effort_runs: u32,
    /// Number of runs that end by themselves.
    pub finite_runs: u32,
    /// Number of runs whose cost is unknown, as their job is.
    unknown_runs: u32,
    /// Number of start orders without a reply.
    pub(super) unanswered_starts: usize,
    /// True if the next report will show the outcome of an order.
    pub awaits_report: bool,
    /// Stored expiry of the worker's lease, if there is one. The lease is not renewed until that record has
    /// been removed, since a later owner would rely on it.
    pub stored_expiry: Option<StoredTime>,
    /// True if no tasks are placed on the worker because its VM is about to leave the pool.
    pub cordoned: bool,
    /// Job whose tasks alone are placed on the worker, while they may crash it.
    pub reserved_for: Option<JobId>,
    /// Room that is kept for a step.
    pub(super) room_hold: Option<RoomHold>,
    consecutive_failures: u32,
    /// Run of the newest task that ends by itself and was placed after a failure.
    trial_run: Option<(TaskKey, u32)>,
    /// Consecutive start orders that were neither answered nor carried out in time.
    consecutive_unanswered: u32,
    suspended_until: ClockTime,
}

impl Worker {
    /// Creates the state of a newly listed worker.
    pub fn listed(id: WorkerId, entry: WorkerEntry, lease: UnknownLease) -> Self {
        Self {
            id,
            entry,
            missing_since: None,
            process: WorkerProcess::unseen(lease),
            seen_at: None,
            silent_since: None,
            used: Resources::default(),
            lasting: Resources::default(),
            tenant_usage: SmallVec::new(),
            charges: BTreeMap::new(),
            lapsed_starts: SmallVec::new(),
            unsettled_starts: SmallVec::new(),
            empty_since: lease.since,
            serving_runs: 0,
            best_effort_runs: 0,
            finite_runs: 0,
            unknown_runs: 0,
            unanswered_starts: 0,
            awaits_report: false,
            stored_expiry: None,
            cordoned: false,
            reserved_for: None,
            room_hold: None,
            consecutive_failures: 0,
            trial_run: None,
            consecutive_unanswered: 0,
            suspended_until: ClockTime::ZERO,
        }
    }

    /// True if a task may be placed on the worker now.
    pub fn takes_work(&self, now: ClockTime) -> bool {
        self.takes_runs(now) && !self.is_on_trial(now)
    }

    /// True if a task of the step may be placed on the worker now. The members of a gang start together, so
    /// they are one trial.
    pub(super) fn takes_task(&self, step: StepKey, is_gang: bool, now: ClockTime) -> bool {
        let trial_step = self.trial_run.map(|(task, _)| StepKey::from(task));
        let is_own_trial = is_gang && trial_step == Some(step);
        self.takes_runs(now) && (is_own_trial || !self.is_on_trial(now))
    }

    fn takes_runs(&self, now: ClockTime) -> bool {
        let is_known = self.unknown_runs == 0 && !self.has_unsettled_starts();
        let is_sound = self.is_in_service() && now >= self.suspended_until;
        is_sound && is_known && self.is_registered()
    }

    /// True if the process that reported last is the one that has written the entry. Otherwise the pool,
    /// capacity and labels of the present process are unknown.
    pub(super) fn is_registered(&self) -> bool {
        self.entry.incarnation == self.process.incarnation
    }

    /// Process on which a run is placed now.
    pub(super) fn run_target(&self) -> RunTarget {
        RunTarget::new(self.id.clone(), self.process.incarnation)
    }

    /// True while a task shows whether the worker still works after a failure. Runs from before the failure
    /// and long-running tasks are no trial: their success may be far off, or never come.
    fn is_on_trial(&self, now: ClockTime) -> bool {
        let charge = self.trial_run.and_then(|run| self.charges.get(&run));
        let is_new = |charge: &AnyCharge| {
            let begun_at = charge.begun_at();
            begun_at.is_none_or(|begun_at| now < begun_at + TRIAL_SPAN)
        };
        self.consecutive_failures > 0 && charge.is_some_and(is_new)
    }

    /// True if the worker counts towards its pool's capacity.
    pub fn is_in_service(&self) -> bool {
        self.entry.state == WorkerState::Ready
            && self.missing_since.is_none()
            && self.seen_at.is_some()
            && self.silent_since.is_none()
            && !self.cordoned
    }

    /// Records the success of a task, which shows that the worker is operational.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a reply to a start order.
    pub fn record_reply(&mut self) {
        self.consecutive_unanswered = 0;
    }

    /// Records a start order that was not answered and whose run is not in a later report.
    pub fn record_unanswered(&mut self, now: ClockTime) {
        self.consecutive_unanswered += 1;
        if self.consecutive_unanswered >= MAX_CONSECUTIVE_UNANSWERED {
            self.suspend(now);
        }
    }

    /// Records the failure of a task. `first` is true if the task had not failed before, so that
    /// the cause may be the worker.
    pub fn record_failure(&mut self, first: bool, now: ClockTime) {
        if !first {
            return;
        }
        self.consecutive_failures += 1;
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
            self.suspend(now);
        }
    }

    /// Suspends the worker for a period, after which it is tried with a single task.
    pub fn suspend(&mut self, now: ClockTime) {
        self.consecutive_failures = self.consecutive_failures.max(1);
        self.suspended_until = now + SUSPENSION;
    }

    /// True if the worker is suspended for its failures.
    pub fn is_suspended(&self, now: ClockTime) -> bool {
        now < self.suspended_until
    }

    /// Records a report of the present process.
    pub(super) fn record_report(
        &mut self,
        report: &RenewalReport,
        asked_at: ClockTime,
        now: ClockTime,
    ) {
        self.process.record_report(report, asked_at, now);
        self.seen_at = Some(asked_at);
        self.silent_since = None;
    }

    /// True if the last report is recent enough for an order that only the process behind it may carry
    /// out: an acknowledgement of its ends, or a deadline on its clock.
    pub(super) fn is_current(&self, now: ClockTime) -> bool {
        let is_recent = self
            .seen_at
            .is_some_and(|seen_at| now <= seen_at + MAX_REPORT_AGE);
        is_recent && self.silent_since.is_none() && !self.process.is_doubted()
    }

    /// Records that another process may have taken the place of the one that reported last; the next report
    /// tells.
    pub(super) fn doubt_process(&mut self, now: ClockTime) {
        self.process.doubt(now);
        self.awaits_report = true;
    }

    /// Latest time at which the runs have lapsed. A start order without an answer may be carried out late, by a
    /// later process if there is one, and its deadline is on the clock of the process before.
    pub(super) fn latest_lapse(&self, longest_lease: ClockTime) -> ClockTime {
        let lease = &self.process.lease;
        let is_unanswered = |charge: &AnyCharge| charge.begun_at().is_none();
        if self.process.is_doubted() && self.charges.values().any(is_unanswered) {
            return lease
                .latest_expiry()
                .max(lease.longest_expiry(longest_lease));
        }
        lease.latest_expiry()
    }

    /// Returns the highest number of an end that the worker may discard; 0 for none.
    pub(super) fn acknowledge(&mut self, now: ClockTime) -> u64 {
        if self.is_current(now) {
            self.process.acknowledge(now)
        } else {
            0
        }
    }

    /// Extends the lease with a renewal and returns the deadline on the worker's clock; none if it may
    /// not be extended, or if another process may have taken the worker's place.
    pub(super) fn renew_lease(&mut self, span: ClockTime, now: ClockTime) -> Option<u64> {
        let may_extend = span > ClockTime::ZERO && self.is_extendable() && self.is_current(now);
        may_extend
            .then(|| self.process.lease.extend(span, now))
            .flatten()
    }

    /// True if ends have been reported whose outcome is not stored.
    pub fn has_unstored_ends(&self) -> bool {
        self.process.end_seen > self.process.end_stored
    }

    /// True if the lease may be extended: the worker answers, later owners rely on no stored expiry, and no
    /// order from before its lapse can take effect.
    pub fn is_extendable(&self) -> bool {
        self.silent_since.is_none() && self.stored_expiry.is_none() && !self.has_unsettled_starts()
    }

    fn has_unsettled_starts(&self) -> bool {
        self.unsettled_starts.iter().any(|run| {
            let charge = self.charges.get(run);
            matches!(charge, Some(AnyCharge::Stray(stray)) if !stray.is_stop_acked())
        })
    }

    /// Charges a run that is assigned to the worker.
    pub fn charge(&mut self, task: TaskKey, run: u32, cost: RunCost) {
        if self.consecutive_failures > 0 && !cost.long_running {
            self.trial_run = Some((task, run));
        }
        self.insert(task, run, AnyCharge::Held(RunCharge::open(cost)));
    }

    /// Charges a reported run that belongs to no task; its cost is unknown without its job.
    pub fn charge_stray(&mut self, task: TaskKey, run: u32, cost: Option<RunCost>, now: ClockTime) {
        self.insert(task, run, AnyCharge::Stray(RunCharge::found(cost, now)));
    }

    fn insert(&mut self, task: TaskKey, run: u32, charge: AnyCharge) {
        self.discharge(&task, run, ClockTime::ZERO);
        match charge.cost() {
            Some(cost) => {
                self.used = self.used.plus(&cost.need);
                self.serving_runs += u32::from(cost.serves);
                self.best_effort_runs += u32::from(cost.best_effort);
                self.finite_runs += u32::from(!cost.long_running);
                self.lasting = self.lasting.plus(&cost.lasting_need());
                self.add_tenant_usage(&cost);
            }
            None => self.unknown_runs += 1,
        }
        self.charges.insert((task, run), charge);
    }

    fn add_tenant_usage(&mut self, cost: &RunCost) {
        let Some(slot) = cost.tenant else {
            return;
        };
        match self.tenant_usage.iter_mut().find(|row| row.0 == slot) {
            Some((_, usage)) => *usage = usage.plus(&cost.usage),
            None => self.tenant_usage.push((slot, cost.usage)),
        }
    }

    fn remove_tenant_usage(&mut self, cost: &RunCost) {
        self.tenant_usage.retain(|(slot, usage)| {
            if Some(*slot) == cost.tenant {
                *usage = usage.minus(&cost.usage);
            }
            *usage != Resources::default()
        });
    }

    /// Releases the capacity charged for a run, which cannot be in progress any more.
    pub fn discharge(&mut self, task: &TaskKey, run: u32, now: ClockTime) {
        let Some(charge) = self.charges.remove(&(*task, run)) else {
            return;
        };
        match charge.cost() {
            Some(cost) => {
                self.used = self.used.minus(&cost.need);
                self.serving_runs -= u32::from(cost.serves);
                self.best_effort_runs -= u32::from(cost.best_effort);
                self.finite_runs -= u32::from(!cost.long_running);
                self.lasting = self.lasting.minus(&cost.lasting_need());
                self.remove_tenant_usage(&cost);
            }
            None => self.unknown_runs -= 1,
        }
        if self.charges.is_empty() {
            self.empty_since = now;
        }
    }

    /// Releases the capacity charged for a run that has not been ordered; a worker that was idle before has
    /// been so all along.
    pub(super) fn withdraw_charge(&mut self, task: &TaskKey, run: u32) {
        let empty_since = self.empty_since;
        self.discharge(task, run, empty_since);
    }

    /// Records that a run is known to have begun.
    pub fn begin_run(&mut self, task: TaskKey, run: u32, now: ClockTime) {
        if let Some(charge) = self.charges.get_mut(&(task, run)) {
            charge.begin(now);
        }
    }

    /// Gives up a run that may still be in progress; it takes its place until it is known to be gone.
    pub fn give_up_run(&mut self, task: TaskKey, run: u32) {
        if let Some(charge) = self.charges.get_mut(&(task, run)) {
            *charge = charge.given_up();
        }
    }

    /// Returns a run that was given up to its task; returns the time by which it is known to have begun.
    pub fn adopt_run(
        &mut self,
        task: TaskKey,
        run: u32,
        cost: RunCost,
        now: ClockTime,
    ) -> ClockTime {
        let begun_at = match self.charges.get_mut(&(task, run)) {
            Some(charge) => {
                *charge = charge.adopted();
                charge.begun_at()
            }
            None => {
                self.charge(task, run, cost);
                None
            }
        };
        self.begin_run(task, run, now);
        begun_at.unwrap_or(now)
    }

    /// Records that the lease has lapsed: no run is in progress, and none can begin without a new lease.
    pub fn lapse(&mut self) {
        if self.seen_at.is_none() {
            // Orders of earlier owners are void once the worker answers.
            return;
        }
        let unanswered = self.charges.iter().filter_map(|((task, run), charge)| {
            let cost = charge.cost().filter(|_| charge.begun_at().is_none())?;
            Some((*task, *run, cost))
        });
        self.lapsed_starts.extend(unanswered);
    }

    /// Charges the start orders that may be carried out now that the worker answers.
    pub fn charge_lapsed_starts(&mut self) {
        for (task, run, cost) in std::mem::take(&mut self.lapsed_starts) {
            self.charge(task, run, cost);
            self.give_up_run(task, run);
            self.unsettled_starts.push((task, run));
        }
        let charges = &self.charges;
        self.unsettled_starts
            .retain(|run| charges.contains_key(run));
    }

    /// Returns a run that belongs to no task.
    pub fn stray_mut(&mut self, task: TaskKey, run: u32) -> Option<&mut RunCharge<Stray>> {
        match self.charges.get_mut(&(task, run)) {
            Some(AnyCharge::Stray(stray)) => Some(stray),
            _ => None,
        }
    }

    /// Returns whether a run of the task may be in progress on the worker.
    pub fn has_run_of(&self, task: TaskKey) -> bool {
        let mut runs = self.charges.range((task, 0)..=(task, u32::MAX));
        runs.next().is_some()
    }

    /// Number of runs of a step that may be in progress on the worker.
    pub fn count_step_runs(&self, step: StepKey) -> usize {
        let first = (step.task(0), 0);
        let last = (step.task(u16::MAX), u32::MAX);
        self.charges.range(first..=last).count()
    }

    /// Charges of the runs of a job.
    pub(super) fn charges_of(&self, job: JobId) -> impl Iterator<Item = &AnyCharge> {
        let bound = |occurrence, step, index| TaskKey {
            job,
            occurrence,
            step,
            index,
        };
        let first = (bound(0, 0, 0), 0);
        let last = (bound(u32::MAX, u16::MAX, u16::MAX), u32::MAX);
        self.charges.range(first..=last).map(|(_, charge)| charge)
    }

    /// Tasks of the runs that may be in progress on the worker, once for each run.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskKey> {
        self.charges.keys().map(|(task, _)| task)
    }

    /// CPU that no run takes, in thousandths of a core.
    pub fn free_cpu(&self) -> u64 {
        self.entry.capacity.cpu.saturating_sub(self.used.cpu)
    }

    /// Resources that no run takes.
    pub fn free(&self) -> Resources {
        self.entry.capacity.minus(&self.used)
    }

    /// Resources that tasks can get once all runs that end by themselves have ended.
    pub fn finite_room(&self) -> Resources {
        self.entry.capacity.minus(&self.lasting)
    }

    /// Runs that may be in progress on the worker.
    pub fn runs(&self) -> SmallVec<[(TaskKey, u32); 8]> {
        self.charges.keys().copied().collect()
    }

    /// True if no run is in progress on the worker or can start there.
    pub fn is_empty(&self) -> bool {
        self.charges.is_empty()
    }

    /// True if the worker may have runs that no record names: it has not reported to this owner, and
    /// its lease may be in force.
    pub fn is_unseen(&self, now: ClockTime) -> bool {
        self.seen_at.is_none() && now <= self.process.lease.latest_expiry()
    }
}
