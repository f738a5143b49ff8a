//! Compares the move policies under short surges and one long surge: spare VMs, moves and lost
//! work.
//!
//! The simulation runs only the decisions of the core crate, on a simulated clock. The demand of
//! each pool in turn surges to five times its mean for 12 s and then falls to a twentieth for 48 s.
//! The first pool also has one surge of ten minutes.

use std::collections::BTreeSet;

use jacinthhoist_codec::{CatalogueFile, CatalogueView};
use jacinthhoist_core::{
    AnyVm, CatalogueChange, ClockTime, DemandTracker, FoldState, MemberJoin, MemberName, Offset,
    PlanInput, PoolDemand, PoolName, Record, RecordId, Step, VmDetails, VmName, plan,
};
use jacinthhoist_experiments::{FigureTable, percent};
use serde::Serialize;

const POOLS: usize = 5;
const BASE_VMS_PER_POOL: usize = 9;
const SPARE_VMS: usize = 5;
const SLOTS_PER_VM: f64 = 8.0;
const MEAN_LOAD_SHARE: f64 = 0.4;
const SURGE_SECS: u64 = 12;
const QUIET_SECS: u64 = 48;
const LONG_SURGE_START_SECS: u64 = 600;
const LONG_SURGE_END_SECS: u64 = 1_200;
const RUN_SECS: u64 = 1_800;
/// Time from the drain of a VM until it serves in its new pool.
const MOVE_SECS: u64 = 20;

/// Cost of a move policy.
#[derive(Serialize)]
struct MoveFigures {
    vm_moves: usize,
    spare_vms_mean: f64,
    lost_percent: f64,
    lost_in_long_surge_percent: f64,
    short_surge_moves: usize,
}

struct PolicySimulation {
    state: FoldState,
    seq: u64,
    demand: DemandTracker,
    ready_vms: Vec<(VmName, u64)>,
}

fn main() {
    let table = FigureTable::from_args();
    for policy in ["none", "greedy", "proportional"] {
        for buffer_weight in [1, 3] {
            let figures = PolicySimulation::new(policy, buffer_weight).run();
            table.row(
                &format!("{policy}, buffer weight {buffer_weight}"),
                &figures,
            );
        }
    }
}

/// Demand of a pool in slots at a second of the run.
fn demand_slots(pool: usize, second: u64) -> f64 {
    let base = BASE_VMS_PER_POOL as f64 * SLOTS_PER_VM;
    let cycle = second % ((SURGE_SECS + QUIET_SECS) * POOLS as u64);
    let surging_pool = (cycle / (SURGE_SECS + QUIET_SECS)) as usize;
    let secs_in_cycle = cycle % (SURGE_SECS + QUIET_SECS);
    if pool == 0 && (LONG_SURGE_START_SECS..LONG_SURGE_END_SECS).contains(&second) {
        return base * 1.4;
    }
    match surging_pool == pool {
        true if secs_in_cycle < SURGE_SECS => base * MEAN_LOAD_SHARE * 5.0,
        true => base * MEAN_LOAD_SHARE / 20.0,
        false => base * MEAN_LOAD_SHARE,
    }
}

impl PolicySimulation {
    fn new(policy: &str, buffer_weight: u32) -> Self {
        let mut catalogue = format!(
            "[policy]\nmaintenance_days = 0\nmoves = \"{policy}\"\nbuffer_weight = {buffer_weight}\n\
             [pools.spare]\nspare = true\nmin_available = 0\nmax_unavailable = 5\nbase_vms = 0\nmax_vms = 50\n"
        );
        for pool in 0..POOLS {
            catalogue += &format!(
                "[pools.p{pool}]\nbase_vms = {BASE_VMS_PER_POOL}\nmin_available = 7\nmax_unavailable = 3\nmax_vms = 14\n"
            );
        }
        let empty = CatalogueView {
            revision: None,
            entries: Vec::new(),
        };
        let edits = CatalogueFile::parse(&catalogue)
            .expect("the catalogue is valid")
            .edits(&empty);
        let (state, demand, ready_vms) = Default::default();
        let mut run = Self {
            state,
            seq: 0,
            demand,
            ready_vms,
        };
        let join = Step::Join(MemberJoin::example("m", 1));
        run.apply(
            0,
            vec![
                join,
                Step::Catalogue(CatalogueChange {
                    operator: "o".to_owned(),
                    edits,
                }),
            ],
        );
        for number in 0..POOLS * BASE_VMS_PER_POOL + SPARE_VMS {
            let pool = match number / BASE_VMS_PER_POOL {
                pool if pool < POOLS => format!("p{pool}"),
                _ => "spare".to_owned(),
            };
            run.add_vm(&format!("w{number}"), &pool);
        }
        run
    }

    fn add_vm(&mut self, vm: &str, pool: &str) {
        let details = VmDetails {
            address: "10.0.0.1:80".to_owned(),
            data_centre: "dc-1".into(),
            rack: "r".into(),
            boot: 1,
        };
        let based_on = self.state.next_offset();
        self.apply(
            0,
            vec![Step::Adopt {
                vm: vm.into(),
                details,
                pool: pool.into(),
            }],
        );
        self.apply(
            0,
            vec![Step::Serve {
                vm: vm.into(),
                based_on,
            }],
        );
    }

    fn apply(&mut self, second: u64, steps: Vec<Step>) {
        self.seq += 1;
        let id = RecordId {
            member: MemberName::new("m"),
            nonce: 1,
            seq: self.seq,
        };
        let record = Record {
            id,
            at: ClockTime::from_secs(second),
            steps,
        };
        let offset: Offset = self.state.next_offset();
        self.state.apply(offset, &record);
    }

    fn run(mut self) -> MoveFigures {
        let (mut moves, mut surge_moves) = (0, 0);
        let (mut spare_vm_secs, mut offered, mut lost, mut long_offered, mut long_lost) =
            (0.0, 0.0, 0.0, 0.0, 0.0);
        for second in 0..RUN_SECS {
            let in_long_surge = (LONG_SURGE_START_SECS..LONG_SURGE_END_SECS).contains(&second);
            let mut demands = Vec::new();
            for pool in 0..POOLS {
                let name = PoolName::new(&format!("p{pool}"));
                let slots = self.state.fleet().count(&name).available as f64 * SLOTS_PER_VM;
                let slots_wanted = demand_slots(pool, second);
                offered += slots_wanted;
                lost += (slots_wanted - slots).max(0.0);
                if in_long_surge && pool == 0 {
                    long_offered += slots_wanted;
                    long_lost += (slots_wanted - slots).max(0.0);
                }
                demands.push(PoolDemand {
                    pool: name,
                    running: slots_wanted.min(slots) as u32,
                    waiting: (slots_wanted - slots).max(0.0) as u32,
                    slots: slots as u32,
                });
            }
            spare_vm_secs += self.state.fleet().count(&PoolName::new("spare")).available as f64;
            let drained = self.plan_step(second, &demands);
            moves += drained;
            surge_moves += if in_long_surge { 0 } else { drained };
        }
        MoveFigures {
            vm_moves: moves,
            spare_vms_mean: spare_vm_secs / RUN_SECS as f64,
            lost_percent: percent(lost, offered),
            lost_in_long_surge_percent: percent(long_lost, long_offered),
            short_surge_moves: surge_moves,
        }
    }

    /// Runs one planning step and applies its result; returns the number of VMs that started to
    /// move.
    fn plan_step(&mut self, second: u64, demands: &[PoolDemand]) -> usize {
        let now = ClockTime::from_secs(second);
        let policy = self.state.catalogue().policy();
        self.demand.observe(&policy, now, demands);
        let ready =
            |(vm, ready_at_secs): &(VmName, u64)| (second >= *ready_at_secs).then(|| vm.clone());
        let probed: BTreeSet<VmName> = self.ready_vms.iter().filter_map(ready).collect();
        let input = PlanInput {
            probed,
            demand: self.demand.clone(),
            now,
            ..PlanInput::default()
        };
        let steps = plan(&self.state, &input);
        let mut started = 0;
        for step in steps {
            if let Step::Drain { vm, .. } = &step {
                started += 1;
                self.ready_vms.retain(|(moving, _)| moving != vm);
                self.ready_vms.push((vm.clone(), second + MOVE_SECS));
            }
            self.apply(second, vec![step]);
        }
        self.confirm_drains(second);
        started
    }

    fn confirm_drains(&mut self, second: u64) {
        let draining: Vec<Step> = self
            .state
            .fleet()
            .vms()
            .filter_map(|vm| match vm {
                AnyVm::Draining(draining) => Some(Step::Confirm {
                    vm: draining.identity.vm.clone(),
                    drain: draining.phase.drain,
                }),
                _ => None,
            })
            .collect();
        for step in draining {
            self.apply(second, vec![step]);
        }
    }
}
