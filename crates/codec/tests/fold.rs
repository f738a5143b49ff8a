//! Replicated state across encoding and decoding: snapshots, repeated records, invalid input.

use jacinthhoist_codec::{
    CatalogueFile, CatalogueView, Category, decode_frame, decode_record, decode_snapshot,
    encode_record, encode_snapshot,
};
use jacinthhoist_core::{
    CatalogueChange, ClaimKey, ClockTime, FoldState, MemberJoin, MemberName, Offset, Record,
    RecordId, SnapshotAssembler, Step, VmDetails, VmName,
};
use proptest::prelude::*;

const CATALOGUE: &str = include_str!("../../experiments/src/small.toml");

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

fn catalogue() -> Step {
    let empty = CatalogueView {
        revision: None,
        entries: Vec::new(),
    };
    let edits = CatalogueFile::parse(CATALOGUE).unwrap().edits(&empty);
    Step::Catalogue(CatalogueChange {
        operator: "o".to_owned(),
        edits,
    })
}

/// Creates a step from two random numbers.
fn step(kind: u8, number: u8) -> Step {
    let vm = VmName::new(&format!("w{}", number % 8));
    let key = ClaimKey {
        work: "pour-order".into(),
        key: format!("k{number}").into(),
    };
    let based_on = Offset(u64::from(number));
    match kind % 7 {
        0 => {
            let details = VmDetails {
                address: "10.0.0.1:80".to_owned(),
                data_centre: "dc-1".into(),
                rack: "r".into(),
                boot: 1,
            };
            Step::Adopt {
                vm,
                details,
                pool: "quotes".into(),
            }
        }
        1 => Step::Serve { vm, based_on },
        2 => Step::Claim { key, digest: 4 },
        3 => Step::Release {
            key,
            claim: based_on,
        },
        4 => Step::Settle {
            key,
            claim: based_on,
            status: 200,
        },
        5 => Step::Confirm {
            vm,
            drain: based_on,
        },
        _ => Step::Forget { vm, based_on },
    }
}

fn records(kinds: &[(u8, u8)]) -> Vec<Record> {
    let first = record(
        1,
        vec![Step::Join(MemberJoin::example("m", 1)), catalogue()],
    );
    let rest = kinds.chunks(2).enumerate().map(|(index, pair)| {
        let steps = pair
            .iter()
            .map(|(kind, number)| step(*kind, *number))
            .collect();
        record(index as u64 + 2, steps)
    });
    std::iter::once(first).chain(rest).collect()
}

fn fold(state: &mut FoldState, records: &[Record], from: usize) {
    for (index, record) in records.iter().enumerate().skip(from) {
        state.apply(Offset(index as u64), record);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// A snapshot of any prefix, followed by the remaining records, gives the same state and the
    /// same encoded bytes as all records.
    #[test]
    fn a_snapshot_of_any_prefix_and_the_remaining_records_give_the_same_state(kinds in proptest::collection::vec((any::<u8>(), 0u8..40), 1..60), prefix_len in 0usize..30, part_bytes in 10usize..3000) {
        let records = records(&kinds);
        let mut complete = FoldState::default();
        fold(&mut complete, &records, 0);
        let prefix_len = prefix_len.min(records.len());
        let mut prefix = FoldState::default();
        fold(&mut prefix, &records[..prefix_len], 0);
        let mut parts = SnapshotAssembler::default();
        let snapshot_parts = encode_snapshot(&prefix, part_bytes).unwrap();
        let text = snapshot_parts.iter().rev().find_map(|part| parts.add(part)).unwrap();
        let mut loaded = decode_snapshot(&text, snapshot_parts[0].digest).unwrap();
        fold(&mut loaded, &records, prefix_len);
        prop_assert_eq!(&loaded, &complete);
        prop_assert_eq!(encode_snapshot(&loaded, 1_000_000).unwrap(), encode_snapshot(&complete, 1_000_000).unwrap());
    }

    /// A record appended again with the same id changes only the offset.
    #[test]
    fn repeated_records_change_only_the_offset(kinds in proptest::collection::vec((any::<u8>(), 0u8..40), 1..40)) {
        let records = records(&kinds);
        let mut once = FoldState::default();
        fold(&mut once, &records, 0);
        let mut repeated = once.clone();
        for (index, record) in records.iter().enumerate() {
            prop_assert!(repeated.apply(Offset((records.len() + index) as u64), record).is_empty());
        }
        once.skip(repeated.folded().unwrap());
        prop_assert_eq!(once, repeated);
    }

    #[test]
    fn encoded_records_decode_to_the_same_value(kinds in proptest::collection::vec((any::<u8>(), any::<u8>()), 1..40)) {
        for record in records(&kinds) {
            prop_assert_eq!(decode_record(&encode_record(&record).unwrap()).unwrap(), record);
        }
    }

    /// Invalid input is an error and does not cause a panic.
    #[test]
    fn invalid_input_is_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode_frame(&bytes);
        let text = String::from_utf8_lossy(&bytes);
        prop_assert!(decode_record(&text).is_err());
        let _ = CatalogueFile::parse(&text);
    }
}

#[test]
fn invalid_records_are_categorised() {
    let cases = [
        ("", Category::Syntax),
        ("{\"v\":2,\"record\":{}}", Category::Version),
        ("{\"v\":1,\"record\":{}}", Category::Syntax),
        ("{\"record\":{}}", Category::Syntax),
    ];
    for (text, category) in cases {
        assert_eq!(
            decode_record(text).unwrap_err().category(),
            category,
            "{text}"
        );
    }
}
