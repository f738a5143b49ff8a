//! Buffer, moves and lost work of the move policies under the brief's surges, on a paused clock.
//!
//! The decision package alone: each queue in turn surges to five times its mean for some seconds
//! and falls to a twentieth; one surge lasts for ten minutes.

use std::collections::BTreeSet;

use jacinthhoist_codec::{CatalogueFile, CatalogueView};
use jacinthhoist_core::{
    AnyVm, CatalogueChange, ClockTime, DemandTracker, FoldState, MemberJoin, MemberName, Offset,
    PlanInput, PoolDemand, PoolName, Record, RecordId, Step, VmDetails, VmName, plan,
};
use jacinthhoist_experiments::{FigureTable, percent};
use serde::Serialize;

const POOLS: usize = 5;
const BASE_VMS: usize = 9;
const SPARE_VMS: usize = 5;
const SLOTS: f64 = 8.0;
const MEAN_PART: f64 = 0.4;
const SURGE_SECS: u64 = 12;
const QUIET_SECS: u64 = 48;
const LONG_FROM: u64 = 600;
const LONG_UNTIL: u64 = 1_200;
const RUN_SECS: u64 = 1_800;
/// Seconds from the drain of a VM until it serves elsewhere.
const MOVE_SECS: u64 = 20;

/// What a policy costs.
#[derive(Serialize)]
struct MoveFigures {
    vm_moves: usize,
    spare_vms_mean: f64,
    lost_percent: f64,
    lost_in_long_surge_percent: f64,
    short_surge_moves: usize,
}

struct PolicyRun {
    state: FoldState,
    seq: u64,
    demand: DemandTracker,
    ready_at: Vec<(VmName, u64)>,
}

fn main() {
    let table = FigureTable::from_args();
    for policy in ["none", "greedy", "proportional"] {
        for buffer_weight in [1, 3] {
            let figures = PolicyRun::new(policy, buffer_weight).run();
            table.row(
                &format!("{policy}, buffer weight {buffer_weight}"),
                &figures,
            );
        }
    }
}

/// Slots that a pool's queue wants at a second.
fn wanted(pool: usize, second: u64) -> f64 {
    let base = BASE_VMS as f64 * SLOTS;
    let cycle = second % ((SURGE_SECS + QUIET_SECS) * POOLS as u64);
    let turn = (cycle / (SURGE_SECS + QUIET_SECS)) as usize;
    let within = cycle % (SURGE_SECS + QUIET_SECS);
    if pool == 0 && (LONG_FROM..LONG_UNTIL).contains(&second) {
        return base * 1.4;
    }
    match turn == pool {
        true if within < SURGE_SECS => base * MEAN_PART * 5.0,
        true => base * MEAN_PART / 20.0,
        false => base * MEAN_PART,
    }
}

impl PolicyRun {
    fn new(policy: &str, buffer_weight: u32) -> Self {
        let mut catalogue = format!(
            "[policy]\nmaintenance_days = 0\nmoves = \"{policy}\"\nbuffer_weight = {buffer_weight}\n\
             [pools.spare]\nspare = true\nmin_available = 0\nmax_unavailable = 5\nbase_vms = 0\nmax_vms = 50\n"
        );
        for pool in 0..POOLS {
            catalogue += &format!(
                "[pools.p{pool}]\nbase_vms = {BASE_VMS}\nmin_available = 7\nmax_unavailable = 3\nmax_vms = 14\n"
            );
        }
        let empty = CatalogueView {
            revision: None,
            entries: Vec::new(),
        };
        let edits = CatalogueFile::parse(&catalogue)
            .expect("the catalogue is good")
            .edits(&empty);
        let (state, demand, ready_at) = Default::default();
        let mut run = Self {
            state,
            seq: 0,
            demand,
            ready_at,
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
        for number in 0..POOLS * BASE_VMS + SPARE_VMS {
            let pool = match number / BASE_VMS {
                pool if pool < POOLS => format!("p{pool}"),
                _ => "spare".to_owned(),
            };
            run.adopt(&format!("w{number}"), &pool);
        }
        run
    }

    fn adopt(&mut self, vm: &str, pool: &str) {
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
        let (mut moves, mut short_moves) = (0, 0);
        let (mut spare, mut offered, mut lost, mut long_offered, mut long_lost) =
            (0.0, 0.0, 0.0, 0.0, 0.0);
        for second in 0..RUN_SECS {
            let long = (LONG_FROM..LONG_UNTIL).contains(&second);
            let mut demands = Vec::new();
            for pool in 0..POOLS {
                let name = PoolName::new(&format!("p{pool}"));
                let slots = self.state.fleet().count(&name).available as f64 * SLOTS;
                let want = wanted(pool, second);
                offered += want;
                lost += (want - slots).max(0.0);
                if long && pool == 0 {
                    long_offered += want;
                    long_lost += (want - slots).max(0.0);
                }
                demands.push(PoolDemand {
                    pool: name,
                    running: want.min(slots) as u32,
                    waiting: (want - slots).max(0.0) as u32,
                    slots: slots as u32,
                });
            }
            spare += self.state.fleet().count(&PoolName::new("spare")).available as f64;
            let drained = self.turn(second, &demands);
            moves += drained;
            short_moves += if long { 0 } else { drained };
        }
        MoveFigures {
            vm_moves: moves,
            spare_vms_mean: spare / RUN_SECS as f64,
            lost_percent: percent(lost, offered),
            lost_in_long_surge_percent: percent(long_lost, long_offered),
            short_surge_moves: short_moves,
        }
    }

    /// Plans once and takes moving VMs on; returns how many VMs began to move.
    fn turn(&mut self, second: u64, demands: &[PoolDemand]) -> usize {
        let now = ClockTime::from_secs(second);
        let policy = self.state.catalogue().policy();
        self.demand.observe(&policy, now, demands);
        let ready = |(vm, at): &(VmName, u64)| (second >= *at).then(|| vm.clone());
        let probed: BTreeSet<VmName> = self.ready_at.iter().filter_map(ready).collect();
        let input = PlanInput {
            probed,
            demand: self.demand.clone(),
            now,
            ..PlanInput::default()
        };
        let steps = plan(&self.state, &input);
        let mut begun = 0;
        for step in steps {
            if let Step::Drain { vm, .. } = &step {
                begun += 1;
                self.ready_at.retain(|(known, _)| known != vm);
                self.ready_at.push((vm.clone(), second + MOVE_SECS));
            }
            self.apply(second, vec![step]);
        }
        self.confirm(second);
        begun
    }

    fn confirm(&mut self, second: u64) {
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
