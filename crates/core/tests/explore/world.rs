//! A small world around the decisions: one log, members that read it late, VMs, operators.

mod check;
mod party;

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

const MEMBERS: usize = 3;
const VMS: usize = 8;
const KEYS: u64 = 6;
/// Records that a member may append for one that it needs: a repeat for each lost answer.
const STORM_FACTOR: usize = 6;

/// What the test makes a member do wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlantedFault {
    /// A member confirms a drain while it still holds work on the VM.
    ConfirmEarly,
    /// A member takes a VM out although the fold rejected its drain.
    DrainUnasked,
    /// A running member takes an older snapshot over.
    LoadOldSnapshot,
    /// A member dispatches before its claim is read back.
    DispatchUnclaimed,
    /// A member leaves a record out.
    SkipRecord,
    /// A member appends the same steps at every turn.
    AppendStorm,
}

/// What happened in a world.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorldReport {
    pub(crate) records: u64,
    pub(crate) drains: u64,
    pub(crate) moves: u64,
    pub(crate) rejected: u64,
    pub(crate) changes: u64,
    pub(crate) dispatches: u64,
    pub(crate) crashes: u64,
    pub(crate) snapshot_starts: u64,
}

impl WorldReport {
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
    /// The record on its way, until it is read back.
    pending: Option<Record>,
    appended: usize,
    needed: usize,
    queue: Vec<Step>,
    paused: u32,
    /// Work held on a VM, with the pool it was sent for.
    held: Vec<(VmName, PoolName)>,
    claimed: BTreeSet<ClaimKey>,
}

pub(crate) struct World {
    random: StdRng,
    fault: Option<PlantedFault>,
    now: ClockTime,
    log: Vec<Record>,
    /// Appends that will take effect later, or again.
    late: Vec<Record>,
    truth: FoldState,
    members: Vec<Member>,
    listing: BTreeMap<VmName, VmListing>,
    rebooting: BTreeMap<VmName, VmListing>,
    gone: Vec<(MemberName, u64)>,
    snapshots: Vec<FoldState>,
    started: u64,
    runs: BTreeMap<ClaimKey, u32>,
    unasked: BTreeSet<VmName>,
    revisions: BTreeMap<(MemberName, u64), BTreeMap<EntryId, Offset>>,
    accepted: BTreeMap<EntryId, Offset>,
    by_offset: BTreeMap<Offset, FoldState>,
    broken: Option<String>,
    pub(crate) report: WorldReport,
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

fn first_catalogue() -> CatalogueChange {
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
        operator: "first".to_owned(),
        edits: entries.into_iter().map(edit).collect(),
    }
}

impl World {
    pub(crate) fn new(seed: u64, fault: Option<PlantedFault>) -> Self {
        let listing = (0..VMS).map(|index| {
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
        let mut world = Self {
            random: StdRng::seed_from_u64(seed),
            fault,
            now: ClockTime::from_secs(1_000),
            log: Vec::new(),
            late: Vec::new(),
            truth: FoldState::default(),
            members: Vec::new(),
            listing: listing.collect(),
            rebooting: BTreeMap::new(),
            gone: Vec::new(),
            snapshots: Vec::new(),
            started: 0,
            runs: BTreeMap::new(),
            unasked: BTreeSet::new(),
            revisions: BTreeMap::new(),
            accepted: BTreeMap::new(),
            by_offset: BTreeMap::new(),
            broken: None,
            report: WorldReport::default(),
        };
        for _ in 0..MEMBERS {
            world.start();
        }
        world.members[0]
            .queue
            .push(Step::Catalogue(first_catalogue()));
        world
    }

    /// One random action of one party.
    pub(crate) fn act(&mut self) {
        self.now = self.now + ClockTime::from_millis(200);
        let place = self.random.random_range(0..self.members.len());
        match self.random.random_range(0..100) {
            0..30 => self.read(place),
            30..50 => self.turn(place),
            50..62 => self.work(place),
            62..72 => self.finish(place),
            72..78 => self.claim(place),
            78..82 => self.operate(place),
            82..86 => self.come_late(),
            86..89 => self.members[place].paused = 15,
            89..91 => self.crash(place),
            91..93 => self.start(),
            93..95 => self.lose_or_return(),
            95..97 => self.reboot_done(),
            _ => self.snapshot(place),
        }
        for member in &mut self.members {
            member.paused = member.paused.saturating_sub(1);
        }
    }

    /// Lets every member catch up, with no further faults.
    pub(crate) fn settle(&mut self) {
        while !self.late.is_empty() {
            self.come_late();
        }
        for member in &mut self.members {
            member.paused = 0;
        }
        for _ in 0..40 {
            for place in 0..self.members.len() {
                self.read(place);
                self.read(place);
                self.finish(place);
                self.turn(place);
                self.read(place);
            }
            self.reboot_done();
        }
        for place in 0..self.members.len() {
            while self.members[place].state.next_offset().0 < self.log.len() as u64 {
                self.read(place);
            }
        }
    }

    fn join(&mut self, place: usize) {
        let member = &mut self.members[place];
        let join = MemberJoin {
            member: member.name.clone(),
            nonce: member.nonce,
            peer_address: "10.0.1.1:1".to_owned(),
            data_centre: DataCentre::new("dc-1"),
            based_on: member.state.folded(),
        };
        member.queue.push(Step::Join(join));
    }

    /// A member reads a few records.
    fn read(&mut self, place: usize) {
        let many = self.random.random_range(1..6);
        for _ in 0..many {
            if self.members[place].paused > 0 {
                return;
            }
            self.read_one(place);
        }
    }

    fn read_one(&mut self, place: usize) {
        let member = &mut self.members[place];
        let offset = member.state.next_offset();
        let Some(record) = self.log.get(offset.0 as usize).cloned() else {
            return;
        };
        if self.fault == Some(PlantedFault::SkipRecord) && self.random.random_range(0..50) == 0 {
            member.state.skip(offset);
            return;
        }
        let verdicts = member.state.apply(offset, &record);
        let own = record.id.member == member.name && record.id.nonce == member.nonce;
        if own
            && member
                .pending
                .as_ref()
                .is_some_and(|pending| pending.id == record.id)
        {
            member.pending = None;
            let accepted = verdicts.iter().map(Result::is_ok).collect();
            self.heard(place, offset, &record, accepted);
        }
        self.note_state(place);
    }

    /// A member hears what became of its own record.
    fn heard(&mut self, place: usize, offset: Offset, record: &Record, accepted: Vec<bool>) {
        for (step, accepted) in record.steps.iter().zip(accepted) {
            match step {
                Step::Claim { key, .. } if accepted => self.dispatch(place, key, offset),
                Step::Drain { vm, .. }
                    if !accepted && self.fault == Some(PlantedFault::DrainUnasked) =>
                {
                    self.unasked.insert(vm.clone());
                }
                _ => {}
            }
        }
    }

    /// A member plans, confirms, and appends what is due.
    fn turn(&mut self, place: usize) {
        if self.members[place].paused > 0 {
            return;
        }
        self.repeat_pending(place);
        if self.members[place].pending.is_some() {
            return;
        }
        let is_live = {
            let member = &self.members[place];
            member.state.members().is_live(&member.name, member.nonce)
        };
        if is_live {
            self.plan(place);
        } else if self.members[place].queue.is_empty() {
            self.join(place);
        }
        self.append(place);
    }

    fn plan(&mut self, place: usize) {
        let confirms = self.confirms(place);
        let mut demand = DemandTracker::default();
        let wanting = if self.random.random_range(0..2) == 0 {
            "a"
        } else {
            "b"
        };
        let demands = [PoolDemand {
            pool: PoolName::new(wanting),
            running: 60,
            waiting: 60,
            slots: 24,
        }];
        demand.observe(&PolicyEntry::default(), ClockTime::ZERO, &demands);
        let member = &mut self.members[place];
        let joining = member
            .state
            .fleet()
            .vms()
            .filter(|vm| vm.phase() == "joining");
        let probed = joining.map(|vm| vm.identity().vm.clone()).collect();
        let input = PlanInput {
            listing: Some(Arc::new(self.listing.clone())),
            forgettable: BTreeSet::new(),
            evictable_members: self
                .gone
                .iter()
                .filter(|(gone, nonce)| member.state.members().is_live(gone, *nonce))
                .cloned()
                .collect(),
            probed,
            demand,
            now: self.now,
        };
        let mut steps = plan(&member.state, &input);
        // A VM that reboots is missing from the list, which says nothing new.
        steps.retain(
            |step| !matches!(step, Step::Sight { vm, .. } if self.rebooting.contains_key(vm)),
        );
        member.queue.extend(confirms);
        for step in steps {
            if !member.queue.contains(&step) {
                member.queue.push(step);
            }
        }
        self.reboot(place);
    }

    fn confirms(&self, place: usize) -> Vec<Step> {
        let member = &self.members[place];
        let early = self.fault == Some(PlantedFault::ConfirmEarly);
        let mut steps = Vec::new();
        for vm in member.state.fleet().vms() {
            let AnyVm::Draining(draining) = vm else {
                continue;
            };
            let name = &draining.identity.vm;
            let held = member.held.iter().any(|(vm, _)| vm == name);
            let own = (member.name.clone(), member.nonce);
            if (!held || early) && !draining.phase.confirmed.contains(&own) {
                steps.push(Step::Confirm {
                    vm: name.clone(),
                    drain: draining.phase.drain,
                });
            }
        }
        steps
    }

    fn append(&mut self, place: usize) {
        let at = self.now;
        let member = &mut self.members[place];
        if member.queue.is_empty() {
            return;
        }
        member.seq += 1;
        member.needed += 1;
        let id = RecordId {
            member: member.name.clone(),
            nonce: member.nonce,
            seq: member.seq,
        };
        let record = Record {
            id,
            at,
            steps: std::mem::take(&mut member.queue),
        };
        member.pending = Some(record.clone());
        self.send(place, record);
    }

    /// An append takes effect at once, later, twice, or not at all.
    fn send(&mut self, place: usize, record: Record) {
        let member = &mut self.members[place];
        member.appended += 1;
        if self.fault == Some(PlantedFault::AppendStorm) {
            member.appended += 10;
        }
        match self.random.random_range(0..10) {
            0 => {}
            1 => self.late.push(record),
            2 => {
                self.late.push(record.clone());
                self.take_effect(record);
            }
            _ => self.take_effect(record),
        }
    }

    fn repeat_pending(&mut self, place: usize) {
        let member = &self.members[place];
        let caught_up = member.state.next_offset().0 == self.log.len() as u64;
        if let Some(record) = member.pending.clone()
            && caught_up
        {
            self.send(place, record);
        }
    }

    /// The log takes a record, and the truth folds it.
    fn take_effect(&mut self, record: Record) {
        let offset = Offset(self.log.len() as u64);
        self.log.push(record.clone());
        self.report.records += 1;
        let before = self.truth.clone();
        let verdicts = self.truth.apply(offset, &record);
        for (step, verdict) in record.steps.iter().zip(&verdicts) {
            self.report.rejected += u64::from(verdict.is_err());
            match step {
                Step::Drain { .. } if verdict.is_ok() => self.report.drains += 1,
                Step::Rejoin { vm, .. } if verdict.is_ok() => {
                    let pool = |state: &FoldState| state.fleet().vm(vm).map(|vm| vm.pool().clone());
                    self.report.moves += u64::from(pool(&before) != pool(&self.truth));
                }
                Step::Catalogue(change) if verdict.is_ok() => {
                    self.report.changes += 1;
                    for edit in &change.edits {
                        self.accepted.insert(edit.entry.clone(), offset);
                    }
                }
                _ => {}
            }
        }
        self.by_offset.insert(offset, self.truth.clone());
        self.check_budgets(&before);
    }
}
