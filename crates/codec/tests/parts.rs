//! Records within the size limits of the store.

use jacinthhoist_codec::{KeyedRecord, ProgressReader, StoreLimits, encode_progress_group};
use jacinthhoist_core::job::{BatchRecord, JobId, JobProgress};

/// Progress of a job with as many tasks as given, each with a checkpoint.
fn large_progress(tasks: u32) -> JobProgress {
    let row = |run| (0, run, 0, 0, Some("00000bb87a21d94b"));
    let rows: Vec<_> = (1..=tasks).map(row).collect();
    let value = serde_json::json!({"ended": null, "workers": [], "occurrences": [[rows]]});
    serde_json::from_value(value).unwrap()
}

fn read_all(records: &[KeyedRecord]) -> Vec<(JobId, JobProgress)> {
    let mut reader = ProgressReader::default();
    for record in records {
        assert_eq!(reader.add(record).unwrap(), None, "{}", record.key);
    }
    reader.into_jobs().collect::<Result<_, _>>().unwrap()
}

/// Guards against a record that the store refuses for ever: the progress of a large job exceeded the
/// limit of a record (review/1).
#[test]
fn the_progress_of_a_large_job_is_stored_in_parts() {
    let limits = StoreLimits {
        record_bytes: 1_000,
        call_bytes: 8_000,
    };
    let id = JobId(7);
    let encode = |progress: &JobProgress, stored_parts| {
        let record = BatchRecord::Progress(id, progress.clone());
        let group = encode_progress_group(&record, &limits, stored_parts).unwrap();
        assert!(group.records.iter().all(|record| limits.admits(record)));
        assert_eq!(limits.split_calls(vec![group.records.clone()]).len(), 1);
        group
    };
    let large = large_progress(200);
    let stored = encode(&large, 0);
    assert!(stored.parts > 1 && !stored.is_reduced);
    assert_eq!(read_all(&stored.records), [(id, large)]);
    // Parts that are left of a larger record are removed.
    let smaller = encode(&large_progress(60), stored.parts);
    assert!(smaller.parts > 0 && smaller.parts < stored.parts);
    let removed = |records: &[KeyedRecord]| {
        let records = records.iter();
        records.filter(|record| record.value.is_empty()).count()
    };
    assert_eq!(
        removed(&smaller.records) as u32,
        stored.parts - smaller.parts
    );
    let small = encode(&large_progress(2), smaller.parts);
    assert_eq!(
        (small.parts, removed(&small.records) as u32),
        (0, smaller.parts)
    );
    let record = BatchRecord::Remove(id);
    let gone = encode_progress_group(&record, &limits, smaller.parts).unwrap();
    assert_eq!(removed(&gone.records) as u32, smaller.parts + 1);
    // What would exceed a call is stored without what a later owner can do without.
    let reduced = encode(&large_progress(600), 0);
    assert!(reduced.is_reduced);
    let expected = large_progress(600).without_checkpoints();
    assert_eq!(read_all(&reduced.records), [(id, expected)]);
}

/// Guards against a call that the store refuses for ever: the records of a batch exceeded its limit.
#[test]
fn records_are_distributed_over_calls_in_their_order() {
    let limits = StoreLimits {
        record_bytes: 100,
        call_bytes: 200,
    };
    let record = |key: &str| KeyedRecord {
        key: key.to_owned(),
        value: vec![0; 60],
    };
    let groups = vec![
        vec![record("a"), record("b")],
        vec![record("c")],
        vec![record("d"), record("e")],
        vec![record("f")],
    ];
    let calls = limits.split_calls(groups);
    let keys = |call: &Vec<KeyedRecord>| call.iter().map(|record| record.key.clone()).collect();
    let keys: Vec<String> = calls.iter().map(keys).collect();
    assert_eq!(keys, ["abc", "def"]);
    assert_eq!(limits.split_calls(Vec::new()), [Vec::new()]);
}
