//! Numbers at the limits of their types, in records and frames of the request side.

use jacinthhoist_core::{Offset, PoolDemand, PoolName, SnapshotAssembler, SnapshotPart};

fn part(index: u32, count: u32, text: &str) -> SnapshotPart {
    SnapshotPart {
        offset: Offset(4),
        index,
        count,
        digest: 9,
        text: text.to_owned(),
    }
}

/// Guards against memory for as many parts as a record claims to belong to, which ended each member
/// that read the log: 4 billion parts of 24 bytes.
#[test]
fn a_snapshot_of_any_number_of_parts_reserves_no_memory() {
    let mut parts = SnapshotAssembler::default();
    assert_eq!(parts.add(&part(0, u32::MAX, "a")), None);
    assert_eq!(parts.add(&part(u32::MAX, u32::MAX, "a")), None);
    assert_eq!(parts.add(&part(u32::MAX - 1, u32::MAX, "b")), None);
    assert_eq!(parts.add(&part(0, 0, "c")), None);
    assert_eq!(parts.add(&part(1, 2, "e")), None);
    assert_eq!(parts.add(&part(2, 2, "f")), None);
    assert_eq!(parts.add(&part(0, 2, "d")).as_deref(), Some("de"));
}

/// Guards against loads whose sum wraps around to an idle pool.
#[test]
fn a_demand_of_any_size_is_high() {
    let demand = PoolDemand {
        pool: PoolName::new("melt-shop"),
        running: u32::MAX,
        waiting: u32::MAX,
        slots: 1,
    };
    assert_eq!(demand.percent(), 10_000);
}
