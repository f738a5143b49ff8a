//! Decoders of records and frames on input of any writer: nested without end, with lengths that
//! nothing backs, cut off. Each gives an error with a reason; none panics or exhausts its stack.

use std::{collections::BTreeMap, sync::Arc};

use jacinthhoist_codec::{
    CatalogueFile, ClaimReply, HeartbeatFrame, HelloFrame, JobFrame, KeyedRecord, LogRecord,
    OwnerHeartbeat, PeerFrame, PoolLoad, StandingEvidence, StoredResponse, VmLoan, decode_accepted,
    decode_frame, decode_job_frame, decode_progress, decode_record, decode_snapshot, digest,
    encode_frame, encode_job, encode_job_frame, encode_progress,
};
use jacinthhoist_core::{
    ClockTime, MemberName, Offset, PoolName, TenantName, VmName, WorkName, WorkerId,
    job::{
        BatchRecord, FormerOwner, JobId, JobProgress, JobSpec, JobState, JobTerms, LoadReport,
        RepeatPlan, StepSpec, StoredTime, SuccessionRecord, WaveProgress, WorkLoad,
    },
};
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};

const DEPTH: usize = 100_000;
/// The stack of the thread that serves callers, the smallest of a member.
const STACK_BYTES: usize = 512 * 1024;
/// Declared number of elements that no record holds.
const HUGE: u64 = 1 << 31;
/// Growth of the address space up to which a decoder counts as bounded, in kilobytes: half of what
/// `HUGE` elements of the shortest list take. The threads of the other tests take the rest.
const MAX_GROWTH_KB: u64 = 2 << 20;

const JOB_KEY: &str = "j5c0e7a21d94b36f8";
const PROGRESS_KEY: &str = "p5c0e7a21d94b36f8";

/// Head of a CBOR item: its major type and its number.
fn head(major: u8, number: u64) -> Vec<u8> {
    let mut bytes = vec![major << 5 | 27];
    bytes.extend(number.to_be_bytes());
    bytes
}

fn text(text: &str) -> Vec<u8> {
    [head(3, text.len() as u64), text.as_bytes().to_vec()].concat()
}

/// Map with one entry.
fn map(key: &str, value: &[u8]) -> Vec<u8> {
    [head(5, 1), text(key), value.to_vec()].concat()
}

/// Items nested in each other: arrays and maps of known and of unknown length, tags.
fn nested_items() -> Vec<Vec<u8>> {
    let map_entry = [vec![0xa1], vec![0x61, b'a']].concat();
    let open_entry = [vec![0xbf], vec![0x61, b'a']].concat();
    let layers: [&[u8]; 6] = [
        &[0x81],
        &map_entry,
        &[0x9f],
        &open_entry,
        &[0xc1],
        &[0xd8, 0x1e],
    ];
    let nested = |layer: &[u8]| [layer.repeat(DEPTH), vec![0x00]].concat();
    layers.into_iter().map(nested).collect()
}

/// Decodes bytes as each kind of record and frame, on a small stack; true if all fail.
fn all_fail(bytes: &[u8]) -> bool {
    let bytes = bytes.to_vec();
    let decode = move || {
        let record = |key: &str| KeyedRecord {
            key: key.to_owned(),
            value: bytes.clone(),
        };
        let mut errors = vec![
            decode_accepted(&record(JOB_KEY)).err(),
            decode_job_frame(&bytes).err(),
            decode_frame(&bytes).err(),
        ];
        for key in [PROGRESS_KEY, "w7", "li-1", "standing"] {
            errors.push(decode_progress(&record(key)).err());
        }
        let reasons = errors.iter().flatten().map(ToString::to_string);
        assert!(
            reasons
                .into_iter()
                .all(|reason| !reason.is_empty() && reason.len() < 1_000)
        );
        errors.iter().all(Option::is_some)
    };
    let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
    thread.spawn(decode).unwrap().join().unwrap()
}

/// Guards against input whose nesting the decoder follows on its stack.
#[test]
fn endless_nesting_is_an_error() {
    for item in nested_items() {
        assert!(all_fail(&item));
        // In fields that are known, and in ones that are not.
        for field in [
            "steps",
            "payload",
            "occurrences",
            "workers",
            "begun",
            "Stored",
            "Records",
            "x",
        ] {
            assert!(all_fail(&map(field, &item)), "{field}");
        }
    }
}

/// Peak of the address space of this process.
fn peak_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmPeak"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap()
}

/// Guards against memory that is reserved for as many elements as a record claims to have.
#[test]
fn declared_lengths_reserve_no_memory() {
    let before = peak_kb();
    for major in [2, 3, 4, 5] {
        for length in [HUGE, 1 << 40, u64::MAX] {
            let item = head(major, length);
            assert!(all_fail(&item));
            let step = [head(4, 1), map("after", &item)].concat();
            let frame = [head(4, 1), map("key", &item)].concat();
            for (field, value) in [
                ("steps", &step),
                ("steps", &item),
                ("payload", &item),
                ("workers", &item),
                ("occurrences", &item),
                ("begun", &item),
                ("Stored", &frame),
                ("Stored", &item),
                ("Records", &map("records", &item)),
                ("x", &item),
            ] {
                assert!(all_fail(&map(field, value)), "{field}");
            }
        }
    }
    let growth = peak_kb() - before;
    assert!(growth < MAX_GROWTH_KB, "{growth} KB");
}

fn spec() -> JobSpec {
    let step = StepSpec {
        count: 3,
        after: [0].into_iter().collect(),
        requires: Some("gpu".into()),
        ..StepSpec::default()
    };
    let first = StepSpec {
        count: 1,
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

/// A record cut off at any byte is an error, not another record.
#[test]
fn records_that_are_cut_off_are_errors() {
    let wave = WaveProgress {
        begun: [VmName::new("m-1")].into_iter().collect(),
        completed: true,
        ordered: [VmName::new("m-2")].into_iter().collect(),
    };
    let ended = JobProgress {
        ended: Some(JobState::Failed),
        workers: [WorkerId::new("i-1")].into_iter().collect(),
        ..JobProgress::default()
    };
    let sizes = BTreeMap::from([(PoolName::new("melt-shop"), 12)]);
    let expiry = ClockTime::from_millis(1_790_000_000_000);
    let expiry = StoredTime::new(&"entry-1".into(), expiry, ClockTime::ZERO);
    let succession = SuccessionRecord {
        owner: "entry-1".into(),
        members: ["entry-2".into()].into_iter().collect(),
        formers: [FormerOwner {
            key: "entry-0".into(),
            until: ClockTime::from_secs(9),
            lapse: Some(expiry.clone()),
        }]
        .into_iter()
        .collect(),
    };
    let mut progress: Vec<KeyedRecord> = Vec::new();
    for record in [
        BatchRecord::Progress(JobId(1), ended),
        BatchRecord::Wave(7, wave),
        BatchRecord::BaseSizes(sizes),
        BatchRecord::LeaseExpiry(WorkerId::new("i-1"), Some(expiry)),
        BatchRecord::Succession(succession),
    ] {
        progress.push(encode_progress(&record).unwrap());
    }
    let accepted = encode_job(JobId(5), &spec()).unwrap();
    for length in 1..accepted.value.len() {
        let mut record = accepted.clone();
        record.value.truncate(length);
        assert!(decode_accepted(&record).is_err(), "{length}");
    }
    for whole in progress {
        for length in 1..whole.value.len() {
            let mut record = whole.clone();
            record.value.truncate(length);
            assert!(decode_progress(&record).is_err(), "{} {length}", whole.key);
        }
    }
}

/// Frames between members of the request side.
fn peer_frames() -> Vec<PeerFrame> {
    let pool = PoolName::new("melt-shop");
    let load = PoolLoad {
        pool: pool.clone(),
        running: 1,
        waiting: 2,
        slots: 3,
    };
    let loan = VmLoan {
        vm: VmName::new("m-1"),
        slots: 2,
    };
    let response = StoredResponse {
        status: 200,
        content_type: Some("text/plain".to_owned()),
        body: vec![7; 40],
    };
    let log_record = LogRecord {
        offset: Offset(4),
        text: "{}".to_owned(),
    };
    vec![
        PeerFrame::Hello(HelloFrame::new(MemberName::new("entry-1"), 4)),
        PeerFrame::Beat(HeartbeatFrame {
            seq: 1,
            folded: Some(Offset(3)),
            pools: vec![load],
        }),
        PeerFrame::Lend {
            id: 1,
            pool,
            loans: vec![loan],
            span_ms: 40,
        },
        PeerFrame::Records {
            records: vec![log_record],
        },
        PeerFrame::TellClaim {
            id: 1,
            reply: ClaimReply::Answer(response),
        },
    ]
}

#[test]
fn frames_that_are_cut_off_are_errors() {
    let record = encode_job(JobId(5), &spec()).unwrap();
    let heartbeat = OwnerHeartbeat {
        loads: LoadReport {
            limit_drains: BTreeMap::from([(TenantName::new("labs"), ClockTime::from_secs(4))]),
            contracted_drains: BTreeMap::from([(PoolName::new("melt"), ClockTime::from_secs(1))]),
            surplus_waits: BTreeMap::from([(TenantName::new("labs"), ClockTime::from_secs(2))]),
            drains: BTreeMap::from([(PoolName::new("melt-shop"), ClockTime::from_secs(3))]),
            works: BTreeMap::from([(WorkName::new("melt-plan"), WorkLoad::default())]),
        },
        ..OwnerHeartbeat::default()
    };
    let frames = [
        JobFrame::Stored(vec![record.clone()]),
        JobFrame::Store {
            id: 5,
            record,
            size: None,
        },
        JobFrame::Loads(heartbeat),
        JobFrame::Identify("entry-2".into()),
        JobFrame::Standing {
            sent_at: ClockTime::from_secs(9),
            evidence: StandingEvidence::Confirmed,
        },
        JobFrame::WallTime(ClockTime::from_secs(9)),
    ];
    for frame in frames {
        let bytes = encode_job_frame(&frame).unwrap();
        for length in 0..bytes.len() {
            assert!(decode_job_frame(&bytes[..length]).is_err(), "{length}");
        }
    }
    for frame in peer_frames() {
        let bytes = encode_frame(&frame).unwrap();
        for length in 0..bytes.len() {
            assert!(decode_frame(&bytes[..length]).is_err(), "{length}");
        }
    }
}

/// Frames of any bytes, and sound ones with some bytes replaced, give a frame or an error.
#[test]
fn arbitrary_bytes_never_stop_the_decoder_of_frames() {
    let sound: Vec<Vec<u8>> = peer_frames()
        .iter()
        .map(|frame| encode_frame(frame).unwrap())
        .collect();
    let changes = proptest::collection::vec((any::<proptest::sample::Index>(), any::<u8>()), 0..4);
    let mutated = (proptest::sample::select(sound), changes).prop_map(|(mut bytes, changes)| {
        for (index, byte) in changes {
            let at = index.index(bytes.len());
            bytes[at] = byte;
        }
        bytes
    });
    let input = prop_oneof![proptest::collection::vec(any::<u8>(), 0..300), mutated];
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(ProptestConfig::with_cases(20_000), rng);
    let decode = |bytes: Vec<u8>| {
        // Both outcomes are allowed.
        let _ = decode_frame(&bytes);
        Ok(())
    };
    runner.run(&input, decode).unwrap();
}

/// Texts of the request side: log records, snapshots and the catalogue file.
#[test]
fn nested_texts_are_errors() {
    let decode = || {
        for (open, close) in [("[", "]"), (r#"{"v":"#, "}"), (r#"{"record":"#, "}")] {
            let nested = open.repeat(DEPTH) + "1" + &close.repeat(DEPTH);
            for text in [
                nested.clone(),
                open.repeat(DEPTH),
                format!(r#"{{"v":1,"record":{nested}}}"#),
                format!(r#"{{"v":1e999,"record":{nested}}}"#),
                format!(r#"{{"v":-1,"further":{nested}}}"#),
            ] {
                assert!(decode_record(&text).is_err());
                assert!(decode_snapshot(&text, digest(text.as_bytes())).is_err());
            }
        }
        let deep = "[".repeat(DEPTH);
        for text in [
            format!("[owners.a]\nweight = {deep}"),
            format!("[owners.a]\nweight = {}", "{a=".repeat(DEPTH)),
            format!("[{}]", vec!["a"; DEPTH].join(".")),
            format!("owners.{} = 1", vec!["a"; DEPTH].join(".")),
            "[owners.a]\nweight = 18446744073709551616".to_owned(),
            "[owners.a]\nweight = -1".to_owned(),
            "[owners.a]\nweight = nan".to_owned(),
        ] {
            assert!(CatalogueFile::parse(&text).is_err());
        }
    };
    let thread = std::thread::Builder::new().stack_size(4 * STACK_BYTES);
    thread.spawn(decode).unwrap().join().unwrap();
}
