//! Simulated cluster: one log, members that read it with delay, VMs and operators.

mod actions;
mod invariants;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use jacinthhoist_core::{
    AnyVm, CatalogueChange, CatalogueEdit, ClaimKey, ClockTime, DataCentre, DemandTracker,
    EntryBody, EntryId, EntryKind, FoldState, ListedStatus, MemberJoin, MemberName, Offset,
    OwnerEntry, PlanInput, PolicyEntry, PoolDemand, PoolEntry, PoolName, RackName, Record,
    RecordId, Step, VmDetails, VmListing, VmName, WaveEntry, WaveState, WorkName, plan,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const MEMBER_COUNT: usize = 3;
const VM_COUNT: usize = 8;
const KEY_COUNT: u64 = 6;
/// Maximum number of appends per record of a member, as each lost reply causes a retry.
const MAX_APPENDS_PER_RECORD: usize = 6;

/// Faulty behaviour that the test injects into the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedFault {
    /// A member confirms a drain while it still has work in flight on the VM.
    ConfirmEarly,
    /// A member takes a VM out of service although its drain was rejected.
    IgnoreRejectedDrain,
    /// A running member replaces its state by an older snapshot.
    LoadOldSnapshot,
    /// A member dispatches a request before it has read its claim back from the log.
    DispatchBeforeClaim,
    /// A member skips a record.
    SkipRecord,
    /// A member keeps appending the same steps.
    AppendStorm,
}

/// Event counts of a simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct SimulationReport {
    pub(crate) records: u64,
    pub(crate) drains: u64,
    pub(crate) moves: u64,
    pub(crate) rejected: u64,
    pub(crate) changes: u64,
    pub(crate) dispatches: u64,
    pub(crate) crashes: u64,
    pub(crate) snapshot_starts: u64,
}

impl SimulationReport {
    pub(crate) fn add(&mut self, other: &Self) {
        self.records += other.records;
        self.drains += other.drains;
        self.moves += other.moves;
        self.rejected += other.rejected;
        self.changes += other.changes;
        self.dispatches += other.dispatches;
        self.crashes += other.crashes;
        self.snapshot_starts += other.snapshot_starts;
    }
}

struct Member {
    name: MemberName,
    nonce: u64,
    seq: u64,
    state: FoldState,
    /// Appended record that has not been read back yet.
    pending: Option<Record>,
    /// Number of appends, retries included.
    append_count: usize,
    record_count: usize,
    unsent_steps: Vec<Step>,
    /// Number of simulation steps for which the member stays paused.
    paused_steps: u32,
    /// VM and pool of each request in flight.
    in_flight: Vec<(VmName, PoolName)>,
    dispatched: BTreeSet<ClaimKey>,
}

pub(crate) struct ClusterSimulation {
    random: StdRng,
    fault: Option<InjectedFault>,
    now: ClockTime,
    log: Vec<Record>,
    /// Appends that take effect later or a second time.
    delayed: Vec<Record>,
    /// State after applying the whole log.
    reference: FoldState,
    members: Vec<Member>,
    listing: BTreeMap<VmName, VmListing>,
    rebooting: BTreeMap<VmName, VmListing>,
    crashed: Vec<(MemberName, u64)>,
    snapshots: Vec<FoldState>,
    start_count: u64,
    runs: BTreeMap<ClaimKey, u32>,
    /// VMs that a member took out of service although the drain was rejected.
    wrongly_drained: BTreeSet<VmName>,
    revisions: BTreeMap<(MemberName, u64), BTreeMap<EntryId, Offset>>,
    accepted_edits: BTreeMap<EntryId, Offset>,
    states_by_offset: BTreeMap<Offset, FoldState>,
    violation: Option<String>,
    pub(crate) report: SimulationReport,
}

fn pool_entry(base: u32, min: u32, spare: bool) -> EntryBody {
    EntryBody::Pool(PoolEntry {
        min_available: min,
        max_unavailable: 2,
        base_vms: base,
        max_vms: Some(base + 2),
        spare,
        slots: 8,
    })
}

fn initial_catalogue() -> CatalogueChange {
    let mut policy = PolicyEntry {
        maintenance_days: 0,
        lasts_secs: 1,
        ..PolicyEntry::default()
    };
    policy.max_members = 8;
    let entries = [
        (EntryId::new(EntryKind::Pool, "a"), pool_entry(3, 2, false)),
        (EntryId::new(EntryKind::Pool, "b"), pool_entry(3, 2, false)),
        (
            EntryId::new(EntryKind::Pool, "spare"),
            pool_entry(2, 0, true),
        ),
        (
            EntryId::new(EntryKind::Policy, "policy"),
            EntryBody::Policy(policy),
        ),
    ];
    let edit = |(entry, body)| CatalogueEdit {
        entry,
        based_on: None,
        body: Some(body),
    };
    CatalogueChange {
        operator: "initial".to_owned(),
        edits: entries.into_iter().map(edit).collect(),
    }
}

impl ClusterSimulation {
    pub(crate) fn new(seed: u64, fault: Option<InjectedFault>) -> Self {
        let listing = (0..VM_COUNT).map(|index| {
            let details = VmDetails {
                address: format!("10.0.0.{index}:80"),
                data_centre: DataCentre::new(if index % 2 == 0 { "dc-1" } else { "dc-2" }),
                rack: RackName::new(&format!("rack-{}", index / 2)),
                boot: 1,
            };
            (
                VmName::new(&format!("w{index}")),
                VmListing {
                    details,
                    status: ListedStatus::Live,
                },
            )
        });
        let mut simulation = Self {
            random: StdRng::seed_from_u64(seed),
            fault,
            now: ClockTime::from_secs(1_000),
            log: Vec::new(),
            delayed: Vec::new(),
            reference: FoldState::default(),
            members: Vec::new(),
            listing: listing.collect(),
            rebooting: BTreeMap::new(),
            crashed: Vec::new(),
            snapshots: Vec::new(),
            start_count: 0,
            runs: BTreeMap::new(),
            wrongly_drained: BTreeSet::new(),
            revisions: BTreeMap::new(),
            accepted_edits: BTreeMap::new(),
            states_by_offset: BTreeMap::new(),
            violation: None,
            report: SimulationReport::default(),
        };
        for _ in 0..MEMBER_COUNT {
            simulation.start_member();
        }
        simulation.members[0]
            .unsent_steps
            .push(Step::Catalogue(initial_catalogue()));
        simulation
    }

    /// Performs one random action.
    pub(crate) fn step(&mut self) {
        self.now = self.now + ClockTime::from_millis(200);
        let index = self.random.random_range(0..self.members.len());
        match self.random.random_range(0..100) {
            0..30 => self.read_records(index),
            30..50 => self.run_round(index),
            50..62 => self.start_work(index),
            62..72 => self.finish_work(index),
            72..78 => self.claim_key(index),
            78..82 => self.edit_catalogue(index),
            82..86 => self.deliver_delayed(),
            86..89 => self.members[index].paused_steps = 15,
            89..91 => self.crash_member(index),
            91..93 => self.start_member(),
            93..95 => self.toggle_leaving(),
            95..97 => self.complete_reboot(),
            _ => self.take_snapshot(index),
        }
        for member in &mut self.members {
            member.paused_steps = member.paused_steps.saturating_sub(1);
        }
    }

    /// Lets every member catch up without further faults.
    pub(crate) fn converge(&mut self) {
        while !self.delayed.is_empty() {
            self.deliver_delayed();
        }
        for member in &mut self.members {
            member.paused_steps = 0;
        }
        for _ in 0..40 {
            for index in 0..self.members.len() {
                self.read_records(index);
                self.read_records(index);
                self.finish_work(index);
                self.run_round(index);
                self.read_records(index);
            }
            self.complete_reboot();
        }
        for index in 0..self.members.len() {
            while self.members[index].state.next_offset().0 < self.log.len() as u64 {
                self.read_records(index);
            }
        }
    }

    fn join(&mut self, index: usize) {
        let member = &mut self.members[index];
        let join = MemberJoin {
            member: member.name.clone(),
            nonce: member.nonce,
            peer_address: "10.0.1.1:1".to_owned(),
            data_centre: DataCentre::new("dc-1"),
            based_on: member.state.folded(),
        };
        member.unsent_steps.push(Step::Join(join));
    }

    /// Lets a member read a few records.
    fn read_records(&mut self, index: usize) {
        let count = self.random.random_range(1..6);
        for _ in 0..count {
            if self.members[index].paused_steps > 0 {
                return;
            }
            self.read_record(index);
        }
    }

    fn read_record(&mut self, index: usize) {
        let member = &mut self.members[index];
        let offset = member.state.next_offset();
        let Some(record) = self.log.get(offset.0 as usize).cloned() else {
            return;
        };
        if self.fault == Some(InjectedFault::SkipRecord) && self.random.random_range(0..50) == 0 {
            member.state.skip(offset);
            return;
        }
        let verdicts = member.state.apply(offset, &record);
        let is_own = record.id.member == member.name && record.id.nonce == member.nonce;
        if is_own
            && member
                .pending
                .as_ref()
                .is_some_and(|pending| pending.id == record.id)
        {
            member.pending = None;
            let accepted = verdicts.iter().map(Result::is_ok).collect();
            self.handle_own_record(index, offset, &record, accepted);
        }
        self.check_revisions(index);
    }

    /// Lets a member act on the outcome of its own record.
    fn handle_own_record(
        &mut self,
        index: usize,
        offset: Offset,
        record: &Record,
        accepted: Vec<bool>,
    ) {
        for (step, accepted) in record.steps.iter().zip(accepted) {
            match step {
                Step::Claim { key, .. } if accepted => self.dispatch(index, key, offset),
                Step::Drain { vm, .. }
                    if !accepted && self.fault == Some(InjectedFault::IgnoreRejectedDrain) =>
                {
                    self.wrongly_drained.insert(vm.clone());
                }
                _ => {}
            }
        }
    }

    /// Lets a member plan, confirm drains and append the steps that are due.
    fn run_round(&mut self, index: usize) {
        if self.members[index].paused_steps > 0 {
            return;
        }
        self.retry_pending(index);
        if self.members[index].pending.is_some() {
            return;
        }
        let is_live = {
            let member = &self.members[index];
            member.state.members().is_live(&member.name, member.nonce)
        };
        if is_live {
            self.plan(index);
        } else if self.members[index].unsent_steps.is_empty() {
            self.join(index);
        }
        self.append(index);
    }

    fn plan(&mut self, index: usize) {
        let confirmations = self.due_confirmations(index);
        let mut demand = DemandTracker::default();
        let busy_pool = if self.random.random_range(0..2) == 0 {
            "a"
        } else {
            "b"
        };
        let demands = [PoolDemand {
            pool: PoolName::new(busy_pool),
            running: 60,
            waiting: 60,
            slots: 24,
        }];
        demand.observe(&PolicyEntry::default(), ClockTime::ZERO, &demands);
        let member = &mut self.members[index];
        let joining_vms = member
            .state
            .fleet()
            .vms()
            .filter(|vm| vm.phase() == "joining");
        let probed = joining_vms.map(|vm| vm.identity().vm.clone()).collect();
        let input = PlanInput {
            listing: Some(Arc::new(self.listing.clone())),
            expired_vms: BTreeSet::new(),
            evictable_members: self
                .crashed
                .iter()
                .filter(|(name, nonce)| member.state.members().is_live(name, *nonce))
                .cloned()
                .collect(),
            probed,
            demand,
            now: self.now,
        };
        let mut steps = plan(&member.state, &input);
        // A rebooting VM is expected to be missing from the list.
        steps.retain(
            |step| !matches!(step, Step::Sight { vm, .. } if self.rebooting.contains_key(vm)),
        );
        member.unsent_steps.extend(confirmations);
        for step in steps {
            if !member.unsent_steps.contains(&step) {
                member.unsent_steps.push(step);
            }
        }
        self.start_reboots(index);
    }

    fn due_confirmations(&self, index: usize) -> Vec<Step> {
        let member = &self.members[index];
        let confirms_early = self.fault == Some(InjectedFault::ConfirmEarly);
        let mut steps = Vec::new();
        for vm in member.state.fleet().vms() {
            let AnyVm::Draining(draining) = vm else {
                continue;
            };
            let name = &draining.identity.vm;
            let is_in_flight = member.in_flight.iter().any(|(vm, _)| vm == name);
            let own = (member.name.clone(), member.nonce);
            if (!is_in_flight || confirms_early) && !draining.phase.confirmed.contains(&own) {
                steps.push(Step::Confirm {
                    vm: name.clone(),
                    drain: draining.phase.drain,
                });
            }
        }
        steps
    }

    fn append(&mut self, index: usize) {
        let at = self.now;
        let member = &mut self.members[index];
        if member.unsent_steps.is_empty() {
            return;
        }
        member.seq += 1;
        member.record_count += 1;
        let id = RecordId {
            member: member.name.clone(),
            nonce: member.nonce,
            seq: member.seq,
        };
        let record = Record {
            id,
            at,
            steps: std::mem::take(&mut member.unsent_steps),
        };
        member.pending = Some(record.clone());
        self.send_append(index, record);
    }

    /// Sends an append, which takes effect immediately, later, twice or not at all.
    fn send_append(&mut self, index: usize, record: Record) {
        let member = &mut self.members[index];
        member.append_count += 1;
        if self.fault == Some(InjectedFault::AppendStorm) {
            member.append_count += 10;
        }
        match self.random.random_range(0..10) {
            0 => {}
            1 => self.delayed.push(record),
            2 => {
                self.delayed.push(record.clone());
                self.append_to_log(record);
            }
            _ => self.append_to_log(record),
        }
    }

    fn retry_pending(&mut self, index: usize) {
        let member = &self.members[index];
        let is_caught_up = member.state.next_offset().0 == self.log.len() as u64;
        if let Some(record) = member.pending.clone()
            && is_caught_up
        {
            self.send_append(index, record);
        }
    }

    /// Appends a record to the log and applies it to the reference state.
    fn append_to_log(&mut self, record: Record) {
        let offset = Offset(self.log.len() as u64);
        self.log.push(record.clone());
        self.report.records += 1;
        let before = self.reference.clone();
        let verdicts = self.reference.apply(offset, &record);
        for (step, verdict) in record.steps.iter().zip(&verdicts) {
            self.report.rejected += u64::from(verdict.is_err());
            match step {
                Step::Drain { .. } if verdict.is_ok() => self.report.drains += 1,
                Step::Rejoin { vm, .. } if verdict.is_ok() => {
                    let pool = |state: &FoldState| state.fleet().vm(vm).map(|vm| vm.pool().clone());
                    self.report.moves += u64::from(pool(&before) != pool(&self.reference));
                }
                Step::Catalogue(change) if verdict.is_ok() => {
                    self.report.changes += 1;
                    for edit in &change.edits {
                        self.accepted_edits.insert(edit.entry.clone(), offset);
                    }
                }
                _ => {}
            }
        }
        self.states_by_offset.insert(offset, self.reference.clone());
        self.check_budgets(&before);
    }
}
