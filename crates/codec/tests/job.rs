//! Round trips of scheduler records and frames, and errors for invalid ones.

use std::{collections::BTreeMap, sync::Arc};

use jacinthhoist_codec::{
    AcceptedRecord, JobFrame, JobReply, KeyedRecord, OwnerHeartbeat, StandingEvidence,
    StoreOutcome, decode_accepted, decode_job_frame, decode_progress, encode_cancel, encode_job,
    encode_job_frame, encode_progress, encode_removal,
};
use jacinthhoist_core::{
    ClockTime, PoolName, RackName, TenantName, VmName, WorkName, WorkerId,
    job::{
        BatchRecord, ClockReadings, CrashHistory, FormerOwner, Implication, JobId, JobProgress,
        JobSize, JobSpec, JobState, JobTerms, LoadReport, LostWorker, MemberRank, MemoryReport,
        RepeatPlan, RunLoss, StepSpec, StoredTime, SuccessionRecord, TaskKey, WaveProgress,
        WorkLoad,
    },
};

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};

fn spec() -> JobSpec {
    let first = StepSpec {
        count: 1,
        ..StepSpec::default()
    };
    let step = StepSpec {
        count: 3,
        after: [0].into_iter().collect(),
        requires: Some("gpu".into()),
        affinity: Some(RackName::new("r-1")),
        may_miss: 1,
        ..StepSpec::default()
    };
    JobSpec {
        tenant: None,
        work: WorkName::new("melt-plan"),
        terms: JobTerms::example("melt-shop"),
        received_at: ClockTime::from_millis(17),
        received_on: Some("entry-1|10.0.0.1:7060|1|regular".into()),
        payload: Arc::from("text"),
        steps: vec![first, step],
        repeat: Some(RepeatPlan {
            times: 4,
            start_at: ClockTime::from_secs(1),
            interval: ClockTime::from_secs(2),
        }),
    }
}

#[test]
fn accepted_records_round_trip() {
    let id = JobId(0x5c0e_7a21_d94b_36f8);
    let record = encode_job(id, &spec()).unwrap();
    assert_eq!(record.key, "j5c0e7a21d94b36f8");
    assert_eq!(
        decode_accepted(&record).unwrap(),
        AcceptedRecord::Job(id, spec())
    );
    assert_eq!(
        decode_accepted(&encode_cancel(id, None).unwrap()).unwrap(),
        AcceptedRecord::Cancel(id, None)
    );
    let labs = TenantName::new("labs");
    assert_eq!(
        decode_accepted(&encode_cancel(id, Some(&labs)).unwrap()).unwrap(),
        AcceptedRecord::Cancel(id, Some(labs))
    );
    for record in encode_removal(id) {
        assert_eq!(decode_accepted(&record).unwrap(), AcceptedRecord::Removed);
    }
}

#[test]
fn progress_records_round_trip() {
    let ended = JobProgress {
        ended: Some(JobState::Failed),
        ..JobProgress::default()
    };
    let mut history = CrashHistory::default();
    let lost_worker = LostWorker {
        id: WorkerId::new("i-1"),
        address: "10.1.64.16:8364".into(),
        incarnation: Some(1_785_551_668_754),
    };
    let until = ClockTime::from_secs(6);
    let loss = RunLoss::open(3, lost_worker, Implication::Shared, until);
    history.record(loss.clone());
    history.confirm(&WorkerId::new("i-1"));
    history.record(loss);
    let key = TaskKey {
        job: JobId(1),
        occurrence: 0,
        step: 1,
        index: 2,
    };
    let crashed = JobProgress {
        crashes: BTreeMap::from([(key, history)]),
        started: true,
        ..JobProgress::default()
    };
    let wave = WaveProgress {
        begun: [VmName::new("m-1")].into_iter().collect(),
        completed: true,
        ordered: [VmName::new("m-2")].into_iter().collect(),
    };
    let base_sizes = BTreeMap::from([(PoolName::new("melt-shop"), 12)]);
    let worker = WorkerId::new("i-7f3a");
    let clock = "entry-1|10.0.0.1:7060|1|regular".into();
    let expiry = StoredTime::new(&clock, ClockTime::from_secs(9), ClockTime::from_secs(7));
    let succession = SuccessionRecord {
        owner: "entry-1|10.0.0.1:7060|1|regular".into(),
        members: ["entry-2|10.0.0.2:7060|1|regular".into()]
            .into_iter()
            .collect(),
        formers: [FormerOwner {
            key: "entry-0|10.0.0.0:7060|1|regular".into(),
            until: ClockTime::from_secs(9),
            lapse: Some(expiry.clone()),
        }]
        .into_iter()
        .collect(),
    };
    let cases = [
        BatchRecord::Progress(JobId(1), ended),
        BatchRecord::Progress(JobId(1), crashed),
        BatchRecord::Remove(JobId(2)),
        BatchRecord::Wave(7, wave),
        BatchRecord::BaseSizes(base_sizes),
        BatchRecord::LeaseExpiry(worker.clone(), Some(expiry)),
        BatchRecord::LeaseExpiry(worker, None),
        BatchRecord::Succession(succession),
    ];
    for record in cases {
        let stored = encode_progress(&record).unwrap();
        assert_eq!(decode_progress(&stored).unwrap(), record);
    }
}

/// Guards against a lease expiry that is trusted although it is outdated (TWICE): an owner of an earlier release
/// that cannot read it extends the lease without removing it. Its own records name no clock.
#[test]
fn lease_expiries_are_exchanged_with_earlier_releases() {
    let (worker, at) = (WorkerId::new("i-7f3a"), ClockTime::from_secs(9));
    let expiry = StoredTime::new(&"entry-1".into(), at, ClockTime::from_secs(7));
    let mut record =
        encode_progress(&BatchRecord::LeaseExpiry(worker.clone(), Some(expiry))).unwrap();
    let read_earlier: ClockTime = ciborium::from_reader(record.value.as_slice()).unwrap();
    assert_eq!(read_earlier, at);
    record.value.clear();
    ciborium::into_writer(&at, &mut record.value).unwrap();
    let unbounded = BatchRecord::LeaseExpiry(worker, Some(StoredTime::unbounded()));
    assert_eq!(decode_progress(&record).unwrap(), unbounded);
}

/// Guards against former owners that are not waited for (TWICE): the record of an earlier release was refused.
#[test]
fn former_owners_of_earlier_releases_are_waited_for_longest() {
    #[derive(serde::Serialize)]
    struct EarlierFormer {
        key: &'static str,
        until: u64,
    }
    #[derive(serde::Serialize)]
    struct EarlierRecord {
        owner: &'static str,
        members: [&'static str; 1],
        formers: [EarlierFormer; 1],
    }
    let earlier = EarlierRecord {
        owner: "b",
        members: ["c"],
        formers: [EarlierFormer {
            key: "a",
            until: 9_000,
        }],
    };
    let mut record = KeyedRecord {
        key: "succession".to_owned(),
        value: Vec::new(),
    };
    ciborium::into_writer(&earlier, &mut record.value).unwrap();
    let Ok(BatchRecord::Succession(record)) = decode_progress(&record) else {
        panic!("the record can be read");
    };
    let now = ClockTime::from_secs(5);
    let readings = ClockReadings::open("c".into());
    let formers = record.former_owners(&readings, now);
    assert!(formers[0].until > now + ClockTime::from_secs(12));
}

#[test]
fn frames_round_trip() {
    let cases = [
        JobFrame::Ask {
            tenant: Some(TenantName::new("labs")),
            id: 4,
            job: JobId(9),
        },
        JobFrame::Answer {
            id: 4,
            answer: JobReply::Known(JobState::Running),
        },
        JobFrame::Loads(OwnerHeartbeat {
            loads: LoadReport {
                limit_drains: BTreeMap::from([(TenantName::new("labs"), ClockTime::from_secs(4))]),
                contracted_drains: BTreeMap::from([(
                    PoolName::new("melt"),
                    ClockTime::from_secs(1),
                )]),
                surplus_waits: BTreeMap::from([(TenantName::new("labs"), ClockTime::from_secs(2))]),
                drains: BTreeMap::from([(PoolName::new("melt-shop"), ClockTime::from_millis(700))]),
                works: BTreeMap::from([(WorkName::new("melt-plan"), WorkLoad::default())]),
            },
            read_age: ClockTime::from_millis(40),
            place_age: ClockTime::from_millis(900),
            sent_at: ClockTime::from_secs(9),
            asks_wall_time: true,
            memory: Some(MemoryReport {
                room: 1 << 26,
                lasting_room: 1 << 25,
                members: 6,
                lasting_frees_in: Some(ClockTime::from_secs(90)),
            }),
        }),
        JobFrame::Identify("entry-2|10.0.0.2:7060|1|regular".into()),
        JobFrame::Standing {
            sent_at: ClockTime::from_secs(9),
            evidence: StandingEvidence::Promised,
        },
        JobFrame::WallTime(ClockTime::from_secs(9)),
        JobFrame::Capacity(u64::MAX),
        JobFrame::Offer(MemberRank::Reserve),
        JobFrame::Follow,
        JobFrame::Stored(vec![encode_cancel(JobId(7), None).unwrap()]),
        JobFrame::Store {
            id: 5,
            record: encode_cancel(JobId(7), None).unwrap(),
            size: Some(JobSize {
                bytes: 2_400,
                lasts: true,
            }),
        },
        JobFrame::StoreReply {
            id: 5,
            outcome: StoreOutcome::NoRoom,
        },
    ];
    for frame in cases {
        let bytes = encode_job_frame(&frame).unwrap();
        assert_eq!(decode_job_frame(&bytes).unwrap(), frame);
    }
}

#[test]
fn invalid_records_and_frames_give_an_error() {
    let cases = [
        ("", "unknown key `"),
        ("x1", "unknown key `"),
        ("jzz", "unknown key `"),
        ("j5c0e7a21d94b36f8", "invalid scheduler record or frame"),
    ];
    for (key, expected) in cases {
        let record = KeyedRecord {
            key: key.to_owned(),
            value: vec![0xff, 0x00],
        };
        let error = decode_accepted(&record).unwrap_err().to_string();
        assert!(error.contains(expected), "{key}: {error}");
    }
    assert!(decode_job_frame(&[0xff]).is_err());
}

/// Guards against a record of another writer that names steps which the job does not have: the owner
/// would have indexed its steps with them.
#[test]
fn a_stored_job_with_invalid_steps_is_rejected() {
    let mut invalid = spec();
    invalid.steps[0].after = [7].into_iter().collect();
    let record = encode_job(JobId(5), &invalid).unwrap();
    let error = decode_accepted(&record).unwrap_err().to_string();
    assert!(error.contains("dependencies"), "{error}");
}

/// Bytes from any writer give a value or an error, never a panic: arbitrary ones, and valid records
/// with some bytes replaced or cut off.
#[test]
fn arbitrary_bytes_never_stop_a_decoder() {
    let valid = [
        encode_job(JobId(5), &spec()).unwrap().value,
        encode_progress(&BatchRecord::Progress(JobId(7), JobProgress::default()))
            .unwrap()
            .value,
        encode_job_frame(&JobFrame::Stored(vec![
            encode_cancel(JobId(7), None).unwrap(),
        ]))
        .unwrap(),
    ];
    let mutated = (
        proptest::sample::select(valid.to_vec()),
        proptest::collection::vec((any::<proptest::sample::Index>(), any::<u8>()), 0..4),
        any::<proptest::sample::Index>(),
    )
        .prop_map(|(mut bytes, changes, end)| {
            for (index, byte) in changes {
                let at = index.index(bytes.len());
                bytes[at] = byte;
            }
            let end = end.index(bytes.len()) + 1;
            bytes.truncate(end);
            bytes
        });
    let input = prop_oneof![proptest::collection::vec(any::<u8>(), 0..300), mutated];
    let keys = proptest::sample::select(vec!["j", "c", "p", "l", "w", "x", ""]);
    let config = ProptestConfig::with_cases(20_000);
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let result = runner.run(&(keys, input), |(prefix, value)| {
        let key = format!("{prefix}5c0e7a21d94b36f8");
        let record = KeyedRecord { key, value };
        // Both outcomes are allowed.
        let _ = decode_accepted(&record);
        let _ = decode_progress(&record);
        let _ = decode_job_frame(&record.value);
        Ok(())
    });
    result.unwrap();
}
