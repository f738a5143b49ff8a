//! Measures the cost of placement, queueing and fold decisions, from 50 to 1,200 workers.

use std::{hint::black_box, time::Instant};

use jacinthhoist_codec::{CatalogueFile, CatalogueView, encode_snapshot};
use jacinthhoist_core::{
    CatalogueChange, ClaimKey, ClassShares, ClockTime, FoldState, LoadGate, MemberJoin, MemberName,
    Offset, OwnerName, PlacementCandidate, PlanInput, PolicyEntry, QueueLimits, QueueTicket,
    Record, RecordId, Step, VmDetails, VmHealth, VmName, WorkClass, WorkQueue, choose_vm, plan,
    slot_share,
};
use jacinthhoist_experiments::{FigureTable, resident_bytes};
use serde::Serialize;

const DECISIONS: u32 = 2_000_000;
/// Numbers of workers and pools at each size.
const SIZES_WORKERS_POOLS: [[usize; 2]; 4] = [[50, 6], [200, 14], [600, 30], [1_200, 53]];

/// Cost of one decision, in nanoseconds.
#[derive(Serialize)]
struct DecisionFigures {
    workers: usize,
    pool_vms: usize,
    place_ns: f64,
    place_full_ns: f64,
    queue_ns: f64,
}

/// Cost of the replicated state at a size.
#[derive(Serialize)]
struct FoldFigures {
    workers: usize,
    records: usize,
    fold_us_per_record: f64,
    plan_us: f64,
    snapshot_bytes: usize,
    snapshot_ms: f64,
    shares_ms: f64,
    claims: usize,
    bytes_per_claim: f64,
    claim_us: f64,
}

fn main() {
    let table = FigureTable::from_args();
    for [workers, pools] in SIZES_WORKERS_POOLS {
        table.row(
            "decision",
            &measure_decisions(workers, workers.div_ceil(pools)),
        );
    }
    for [workers, pools] in SIZES_WORKERS_POOLS {
        table.row("fold", &measure_fold(workers, pools));
    }
}

fn ns_per_decision(started: Instant) -> f64 {
    started.elapsed().as_nanos() as f64 / f64::from(DECISIONS)
}

fn measure_decisions(workers: usize, pool_vms: usize) -> DecisionFigures {
    let fleet: Vec<(LoadGate, VmHealth)> = (0..workers).map(|_| Default::default()).collect();
    let candidate = |index: usize| PlacementCandidate {
        gate: &fleet[index].0,
        limit: 2,
        health: &fleet[index].1,
        usable: true,
    };
    let place = |number: u32| choose_vm(pool_vms, number as usize, &[], ClockTime::ZERO, candidate);
    let started = Instant::now();
    for number in 0..DECISIONS {
        if let Some(index) = black_box(place(number)) {
            fleet[index].0.release();
        }
    }
    let place_ns = ns_per_decision(started);
    (0..pool_vms as u32 * 2).for_each(|number| {
        black_box(place(number));
    });
    let started = Instant::now();
    for number in 0..DECISIONS {
        let index = number as usize % pool_vms;
        fleet[index].0.release();
        black_box(place(number.wrapping_mul(7)));
    }
    let place_full_ns = ns_per_decision(started);
    DecisionFigures {
        workers,
        pool_vms,
        place_ns,
        place_full_ns,
        queue_ns: queue_time(),
    }
}

fn queue_time() -> f64 {
    let mut queue = WorkQueue::default();
    let limits = QueueLimits {
        shares: ClassShares::of(&PolicyEntry::default(), 80),
        running: [20; 3],
    };
    let owners = ["a", "b", "c", "d"].map(OwnerName::new);
    let started = Instant::now();
    for number in 0..DECISIONS as usize {
        let class = WorkClass::ALL[number % 3];
        let owner = owners[number % owners.len()].clone();
        queue.push(
            QueueTicket {
                class,
                owner,
                weight: 1,
                cost_ms: 10,
            },
            number,
        );
        if number > 600 {
            black_box(queue.pop(&limits, |_, _| true));
        }
    }
    ns_per_decision(started)
}

fn record(seq: u64, steps: Vec<Step>) -> Record {
    let id = RecordId {
        member: MemberName::new("m"),
        nonce: 1,
        seq,
    };
    Record {
        id,
        at: ClockTime::from_secs(seq),
        steps,
    }
}

fn measure_fold(workers: usize, pools: usize) -> FoldFigures {
    let mut catalogue =
        String::from("[owners.o]\n[policy]\nkey_keep_secs = 86400\nmaintenance_days = 0\n");
    let share = workers.div_ceil(pools);
    for pool in 0..pools {
        catalogue += &format!(
            "[pools.p{pool}]\nbase_vms = {share}\nmin_available = 1\nmax_unavailable = 2\n"
        );
        catalogue += &format!(
            "[works.k{pool}]\nowner = \"o\"\nclass = \"urgent\"\npool = \"p{pool}\"\nrepeatable = false\n"
        );
    }
    let empty = CatalogueView {
        revision: None,
        entries: Vec::new(),
    };
    let edits = CatalogueFile::parse(&catalogue)
        .expect("the catalogue is valid")
        .edits(&empty);
    let mut records = vec![record(
        1,
        vec![
            Step::Join(MemberJoin::example("m", 1)),
            Step::Catalogue(CatalogueChange {
                operator: "o".to_owned(),
                edits,
            }),
        ],
    )];
    for worker in 0..workers {
        let details = VmDetails {
            address: format!("10.0.{}.{}:80", worker / 250, worker % 250),
            data_centre: format!("dc-{}", worker % 5).as_str().into(),
            rack: format!("rack-{}", worker / 4).as_str().into(),
            boot: 1,
        };
        let vm = VmName::new(&format!("w{worker}"));
        let pool = format!("p{}", worker % pools).as_str().into();
        let based_on = Offset(records.len() as u64);
        records.push(record(
            based_on.0 + 1,
            vec![Step::Adopt {
                vm: vm.clone(),
                details,
                pool,
            }],
        ));
        records.push(record(based_on.0 + 2, vec![Step::Serve { vm, based_on }]));
    }
    let mut state = FoldState::default();
    let started = Instant::now();
    for (index, record) in records.iter().enumerate() {
        state.apply(Offset(index as u64), record);
    }
    let fold_us_per_record = started.elapsed().as_micros() as f64 / records.len() as f64;
    let started = Instant::now();
    black_box(plan(&state, &PlanInput::default()));
    let plan_us = started.elapsed().as_micros() as f64;
    let started = Instant::now();
    let parts = encode_snapshot(&state, 262_144).expect("the state is encoded");
    let snapshot_ms = started.elapsed().as_micros() as f64 / 1_000.0;
    let members: Vec<MemberName> = (0..6).map(|n| MemberName::new(&format!("m{n}"))).collect();
    let started = Instant::now();
    for worker in 0..workers {
        black_box(slot_share(
            &members,
            &members[0],
            &VmName::new(&format!("w{worker}")),
            8,
        ));
    }
    let shares_ms = started.elapsed().as_micros() as f64 / 1_000.0;
    let claims = workers * 100;
    let before = resident_bytes();
    let started = Instant::now();
    for number in 0..claims {
        let key = ClaimKey {
            work: "k0".into(),
            key: format!("order-{number:012}").as_str().into(),
        };
        let offset = state.next_offset();
        state.apply(
            offset,
            &record(offset.0 + 1, vec![Step::Claim { key, digest: 1 }]),
        );
    }
    FoldFigures {
        workers,
        records: records.len(),
        fold_us_per_record,
        plan_us,
        snapshot_bytes: parts.iter().map(|part| part.text.len()).sum(),
        snapshot_ms,
        shares_ms,
        claims,
        bytes_per_claim: resident_bytes().saturating_sub(before) as f64 / claims as f64,
        claim_us: started.elapsed().as_micros() as f64 / claims as f64,
    }
}
