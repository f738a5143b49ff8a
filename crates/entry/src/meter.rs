//! Metrics of a member, registered once; refusals and retries are counted by reason.

use std::sync::OnceLock;

use jacinthhoist_core::{Outcome, RefusalReason, RetryReason};
use metrics::{Counter, Histogram, counter, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static PROMETHEUS_HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Returns the handle that renders the metrics of the process, installing the recorder on the first
/// call.
pub(crate) fn prometheus_handle() -> &'static PrometheusHandle {
    PROMETHEUS_HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new();
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            spdlog::warn!(
                "[member] another metrics recorder is installed; no metrics are recorded"
            );
        }
        handle
    })
}

/// Metrics of one member.
pub(crate) struct EntryMeter {
    refusals: Vec<Counter>,
    retries: Vec<Counter>,
    outcomes: [Counter; 4],
    pub(crate) attempts: Counter,
    pub(crate) requests: Counter,
    pub(crate) queue_wait: Histogram,
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
        prometheus_handle();
        let member = member.to_owned();
        let register = |name: &'static str| counter!(name, "member" => member.clone());
        let refusal = |reason: &RefusalReason| counter!("jacinthhoist_refusals_total", "member" => member.clone(), "reason" => reason.as_str());
        let retry = |reason: &RetryReason| counter!("jacinthhoist_retries_total", "member" => member.clone(), "reason" => reason.as_str());
        let outcome = |outcome: Outcome| counter!("jacinthhoist_outcomes_total", "member" => member.clone(), "outcome" => outcome.as_str());
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
            attempts: register("jacinthhoist_attempts_total"),
            requests: register("jacinthhoist_requests_total"),
            queue_wait: histogram!("jacinthhoist_queue_wait_seconds", "member" => member.clone()),
            appends: register("jacinthhoist_appends_total"),
            append_retries: register("jacinthhoist_append_retries_total"),
            bad_records: register("jacinthhoist_bad_records_total"),
            rejected_steps: register("jacinthhoist_rejected_steps_total"),
            bad_frames: register("jacinthhoist_bad_frames_total"),
            peer_bytes: register("jacinthhoist_peer_bytes_total"),
            loans: register("jacinthhoist_slot_loans_total"),
            ejections: register("jacinthhoist_ejections_total"),
            snapshots: register("jacinthhoist_snapshots_total"),
        }
    }

    /// Counts a refusal by its reason.
    pub(crate) fn count_refusal(&self, reason: RefusalReason) {
        self.refusals[reason as usize].increment(1);
    }

    /// Counts a retry by its reason.
    pub(crate) fn count_retry(&self, reason: RetryReason) {
        self.retries[reason as usize].increment(1);
    }

    /// Counts an answered request by its outcome.
    pub(crate) fn count_outcome(&self, outcome: Outcome) {
        self.outcomes[outcome as usize].increment(1);
    }
}
