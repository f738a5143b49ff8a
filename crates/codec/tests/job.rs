//! Round trips of scheduler records and frames, and errors for invalid ones.

use std::{collections::BTreeMap, sync::Arc};

use jacinthhoist_codec::{
    AcceptedRecord, JobFrame, JobReply, KeyedRecord, OwnerHeartbeat, decode_accepted,
    decode_job_frame, decode_progress, encode_cancel, encode_job, encode_job_frame,
    encode_progress, encode_removal,
};
use jacinthhoist_core::{
    ClockTime, PoolName, RackName, VmName, WorkName, WorkerId,
    job::{
        BatchRecord, JobId, JobProgress, JobSpec, JobState, JobTerms, MemberRank, RepeatPlan,
        StepSpec, WaveProgress, WorkLoad,
    },
};

fn spec() -> JobSpec {
    let step = StepSpec {
        count: 3,
        after: [0].into_iter().collect(),
        requires: Some("gpu".into()),
        affinity: Some(RackName::new("r-1")),
        may_miss: 1,
        ..StepSpec::default()
    };
    JobSpec {
        work: WorkName::new("melt-plan"),
        terms: JobTerms::example("melt-shop"),
        received_at: ClockTime::from_millis(17),
        payload: Arc::from("text"),
        steps: vec![StepSpec::default(), step],
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
        decode_accepted(&encode_cancel(id)).unwrap(),
        AcceptedRecord::Cancel(id)
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
    let wave = WaveProgress {
        begun: [VmName::new("m-1")].into_iter().collect(),
        completed: true,
    };
    let base_sizes = BTreeMap::from([(PoolName::new("melt-shop"), 12)]);
    let worker = WorkerId::new("i-7f3a");
    let cases = [
        BatchRecord::Progress(JobId(1), ended),
        BatchRecord::Remove(JobId(2)),
        BatchRecord::Wave(7, wave),
        BatchRecord::BaseSizes(base_sizes),
        BatchRecord::LeaseExpiry(worker.clone(), Some(ClockTime::from_secs(9))),
        BatchRecord::LeaseExpiry(worker, None),
    ];
    for record in cases {
        let stored = encode_progress(&record).unwrap();
        assert_eq!(decode_progress(&stored).unwrap(), record);
    }
}

#[test]
fn frames_round_trip() {
    let cases = [
        JobFrame::Ask {
            id: 4,
            job: JobId(9),
        },
        JobFrame::Answer {
            id: 4,
            answer: JobReply::Known(JobState::Running),
        },
        JobFrame::Loads(OwnerHeartbeat {
            loads: BTreeMap::from([(WorkName::new("melt-plan"), WorkLoad::default())]),
            read_age: ClockTime::from_millis(40),
            place_age: ClockTime::from_millis(900),
        }),
        JobFrame::Offer(MemberRank::Reserve),
        JobFrame::Follow,
        JobFrame::Stored(vec![encode_cancel(JobId(7))]),
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
