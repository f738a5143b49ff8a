//! Numbers at the limits of their types, from callers, workers, operators and the platform.

use jacinthhoist_core::{
    ClockTime,
    job::{JobSpec, RepeatPlan, Resources, StepSpec},
};

use super::harness::{ms, spec, step};

const MAX: ClockTime = ClockTime::from_millis(u64::MAX);

fn all(amount: u64) -> Resources {
    Resources {
        cpu: amount,
        mem_mb: amount,
        gpu: amount,
    }
}

fn step_with(need: Resources) -> StepSpec {
    StepSpec { need, ..step(1) }
}

/// Guards against sums that wrap around: a task that needs more than exists would have fitted onto a
/// worker that is in use, or the comparison would have ended the owner pipe.
#[test]
fn a_need_beyond_all_capacity_fits_nowhere() {
    let capacity = all(32_000);
    for need in [u64::MAX, u64::MAX - 1, 1 << 63] {
        assert!(!capacity.fits(&all(1_000), &all(need)), "{need}");
    }
    assert_eq!(all(u64::MAX).plus(&all(1)), all(u64::MAX));
}

/// Guards against a caller's job whose numbers overflow the sums of its pool.
#[test]
fn a_job_with_numbers_out_of_range_is_rejected() {
    let repeat = |start_at, interval| JobSpec {
        repeat: Some(RepeatPlan {
            times: 3,
            start_at,
            interval,
        }),
        ..JobSpec::clone(&spec(vec![step(1)], ms(1)))
    };
    let of_step = |step| JobSpec::clone(&spec(vec![step], ms(1)));
    let only = |need: fn(&mut Resources)| {
        let mut resources = Resources::default();
        need(&mut resources);
        of_step(step_with(resources))
    };
    let cases = [
        ("need", only(|need| need.cpu = u64::MAX)),
        ("need", only(|need| need.mem_mb = u64::MAX / 2)),
        ("need", only(|need| need.gpu = 1 << 32)),
        ("start", repeat(MAX, ms(1))),
        ("start", repeat(ms(1), MAX)),
        ("start", repeat(ms(1 << 63), ms(1 << 63))),
        ("start", JobSpec::clone(&spec(vec![step(1)], MAX))),
    ];
    for (field, job) in cases {
        let error = job.check().expect_err(field).to_string();
        assert!(error.contains(field), "{field}: {error}");
    }
    assert!(
        repeat(ms(1_790_000_000_000), ms(86_400_000))
            .check()
            .is_ok()
    );
    assert!(
        of_step(step_with(all(Resources::MAX_AMOUNT)))
            .check()
            .is_ok()
    );
}
