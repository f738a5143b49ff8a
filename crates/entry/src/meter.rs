//! Metrics: a counter for each refusal and each retry reason, resolved once.

use std::sync::OnceLock;

use jacinthhoist_core::{Outcome, RefusalReason, RetryReason};
use metrics::{Counter, Histogram, counter, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// The process's recorder; installed at the first call.
pub(crate) fn recorder() -> &'static PrometheusHandle {
    RECORDER.get_or_init(|| {
        let builder = PrometheusBuilder::new();
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            spdlog::warn!("[member] Another metrics recorder is installed. Metrics stay empty.");
        }
        handle
    })
}

/// The counters of one member.
pub(crate) struct EntryMeter {
    refusals: Vec<Counter>,
    retries: Vec<Counter>,
    outcomes: [Counter; 4],
    pub(crate) attempts: Counter,
    pub(crate) requests: Counter,
    pub(crate) waits: Histogram,
    pub(crate) appends: Counter,
    pub(crate) append_retries: Counter,
    pub(crate) bad_records: Counter,
    pub(crate) rejected_steps: Counter,
    pub(crate) bad_frames: Counter,
    pub(crate) peer_bytes: Counter,
    pub(crate) loans: Counter,
    pub(crate) ejections: Counter,
    pub(crate) snapshots: Counter,
}

impl EntryMeter {
    pub(crate) fn open(member: &str) -> Self {
        recorder();
        let own = member.to_owned();
        let plain = |name: &'static str| counter!(name, "member" => own.clone());
        let refusal = |reason: &RefusalReason| counter!("jacinthhoist_refusals_total", "member" => own.clone(), "reason" => reason.as_str());
        let retry = |reason: &RetryReason| counter!("jacinthhoist_retries_total", "member" => own.clone(), "reason" => reason.as_str());
        let outcome = |outcome: Outcome| counter!("jacinthhoist_outcomes_total", "member" => own.clone(), "outcome" => outcome.as_str());
        Self {
            refusals: RefusalReason::ALL.iter().map(refusal).collect(),
            retries: RetryReason::ALL.iter().map(retry).collect(),
            outcomes: [
                Outcome::Done,
                Outcome::NotRun,
                Outcome::Failed,
                Outcome::Unknown,
            ]
            .map(outcome),
            attempts: plain("jacinthhoist_attempts_total"),
            requests: plain("jacinthhoist_requests_total"),
            waits: histogram!("jacinthhoist_queue_wait_seconds", "member" => own.clone()),
            appends: plain("jacinthhoist_appends_total"),
            append_retries: plain("jacinthhoist_append_retries_total"),
            bad_records: plain("jacinthhoist_bad_records_total"),
            rejected_steps: plain("jacinthhoist_rejected_steps_total"),
            bad_frames: plain("jacinthhoist_bad_frames_total"),
            peer_bytes: plain("jacinthhoist_peer_bytes_total"),
            loans: plain("jacinthhoist_slot_loans_total"),
            ejections: plain("jacinthhoist_ejections_total"),
            snapshots: plain("jacinthhoist_snapshots_total"),
        }
    }

    pub(crate) fn refused(&self, reason: RefusalReason) {
        self.refusals[reason as usize].increment(1);
    }

    pub(crate) fn retried(&self, reason: RetryReason) {
        self.retries[reason as usize].increment(1);
    }

    pub(crate) fn ended(&self, outcome: Outcome) {
        self.outcomes[outcome as usize].increment(1);
    }
}
