//! Planner decisions: distribution over data centres, moves and maintenance waves.

use std::{collections::BTreeMap, sync::Arc};

use jacinthhoist_core::{
    CatalogueChange, CatalogueEdit, ClockTime, DataCentre, EntryBody, EntryId, EntryKind,
    FoldState, ListedStatus, MemberJoin, MemberName, PlanInput, PolicyEntry, PoolEntry, PoolName,
    RackName, Record, RecordId, Step, VmDetails, VmListing, VmName, WaveEntry, WaveState, plan,
};

fn pool(base: u32, spare: bool) -> EntryBody {
    EntryBody::Pool(PoolEntry {
        min_available: base / 2,
        max_unavailable: 2,
        base_vms: base,
        max_vms: None,
        spare,
        slots: 8,
    })
}

fn put(kind: EntryKind, name: &str, body: EntryBody) -> CatalogueEdit {
    CatalogueEdit {
        entry: EntryId::new(kind, name),
        based_on: None,
        body: Some(body),
    }
}

struct PlannedFleet {
    state: FoldState,
    seq: u64,
    input: PlanInput,
}

impl PlannedFleet {
    fn new(pools: &[(&str, u32, bool)], vms: usize, data_centres: usize) -> Self {
        let listed = (0..vms).map(|index| {
            let details = VmDetails {
                address: "10.0.0.1:80".to_owned(),
                data_centre: DataCentre::new(&format!("dc-{}", index % data_centres)),
                rack: RackName::new(&format!("rack-{}", index / 4)),
                boot: 1,
            };
            (
                VmName::new(&format!("w{index:02}")),
                VmListing {
                    details,
                    status: ListedStatus::Live,
                },
            )
        });
        let listing: BTreeMap<VmName, VmListing> = listed.collect();
        let probed = listing.keys().cloned().collect();
        let input = PlanInput {
            listing: Some(Arc::new(listing)),
            probed,
            ..PlanInput::default()
        };
        let mut fleet = Self {
            state: FoldState::default(),
            seq: 0,
            input,
        };
        let policy = PolicyEntry {
            maintenance_days: 0,
            ..PolicyEntry::default()
        };
        let mut edits = vec![put(EntryKind::Policy, "policy", EntryBody::Policy(policy))];
        edits.extend(
            pools
                .iter()
                .map(|(name, base, spare)| put(EntryKind::Pool, name, pool(*base, *spare))),
        );
        let change = CatalogueChange {
            operator: "o".to_owned(),
            edits,
        };
        fleet.apply(vec![
            Step::Join(MemberJoin::example("m", 1)),
            Step::Catalogue(change),
        ]);
        fleet
    }

    fn apply(&mut self, steps: Vec<Step>) -> usize {
        self.seq += 1;
        let id = RecordId {
            member: MemberName::new("m"),
            nonce: 1,
            seq: self.seq,
        };
        let record = Record {
            id,
            at: ClockTime::from_secs(self.seq),
            steps,
        };
        let verdicts = self.state.apply(self.state.next_offset(), &record);
        verdicts.iter().filter(|verdict| verdict.is_ok()).count()
    }

    /// Starts a maintenance wave over pool `a`.
    fn start_wave(&mut self) {
        let wave = WaveEntry {
            pools: vec![PoolName::new("a")],
            state: WaveState::Running,
        };
        let edits = vec![put(EntryKind::Wave, "w", EntryBody::Wave(wave))];
        self.apply(vec![Step::Catalogue(CatalogueChange {
            operator: "o".to_owned(),
            edits,
        })]);
    }

    /// Plans and applies steps until no more are due.
    fn run_planner(&mut self) {
        for _ in 0..50 {
            let steps = plan(&self.state, &self.input);
            if steps.is_empty() {
                return;
            }
            self.apply(steps);
        }
        panic!("the planner still proposes steps after 50 rounds");
    }

    /// Returns the number of the pool's VMs in each data centre.
    fn spread(&self, pool: &str) -> Vec<usize> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for vm in self
            .state
            .fleet()
            .vms()
            .filter(|vm| vm.pool().as_str() == pool)
        {
            *counts
                .entry(vm.identity().details.data_centre.as_str())
                .or_default() += 1;
        }
        counts.into_values().collect()
    }
}

#[test]
fn new_vms_are_distributed_evenly_over_data_centres() {
    let mut fleet = PlannedFleet::new(
        &[("a", 6, false), ("b", 6, false), ("spare", 0, true)],
        16,
        2,
    );
    fleet.run_planner();
    assert_eq!(fleet.spread("a"), [3, 3]);
    assert_eq!(fleet.spread("b"), [3, 3]);
    assert_eq!(fleet.state.fleet().count(&PoolName::new("spare")).vms, 4);
}

#[test]
fn a_wave_drains_one_data_centre_of_a_pool_within_its_budget() {
    let mut fleet = PlannedFleet::new(&[("a", 6, false)], 6, 2);
    fleet.run_planner();
    fleet.start_wave();
    let steps = plan(&fleet.state, &fleet.input);
    let drained: Vec<&VmName> = steps
        .iter()
        .filter_map(|step| match step {
            Step::Drain { vm, .. } => Some(vm),
            _ => None,
        })
        .collect();
    assert_eq!(drained.len(), 2, "{steps:?}");
    let data_centre = |vm: &VmName| {
        fleet
            .state
            .fleet()
            .vm(vm)
            .unwrap()
            .identity()
            .details
            .data_centre
            .clone()
    };
    assert_eq!(data_centre(drained[0]), data_centre(drained[1]));
    assert_eq!(fleet.apply(steps.clone()), 2);
    assert_eq!(
        fleet.apply(steps),
        0,
        "steps that were already applied are rejected"
    );
}

#[test]
fn a_missing_vm_pauses_a_wave_in_its_pool() {
    let mut fleet = PlannedFleet::new(&[("a", 6, false)], 6, 2);
    fleet.run_planner();
    fleet.start_wave();
    fleet.apply(vec![Step::Sight {
        vm: "w00".into(),
        sight: ListedStatus::Missing,
        boot: 0,
    }]);
    let steps = plan(&fleet.state, &fleet.input);
    assert!(
        !steps.iter().any(|step| matches!(step, Step::Drain { .. })),
        "{steps:?}"
    );
}
