//! Metrics of a member: counters, gauges and latency histograms, registered once.

use std::sync::OnceLock;

use jacinthhoist_core::job::{MemoryReport, MemoryUsage, TenantSummary};
use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Bounds of the latency buckets, from one answer of the store to the longest wait of a caller.
const LATENCY_BUCKETS_SECS: [f64; 10] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0];

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Returns the metrics recorder of the process, installing it on the first call.
pub fn recorder() -> &'static PrometheusHandle {
    RECORDER.get_or_init(|| {
        let matcher = Matcher::Suffix("_seconds".to_owned());
        let buckets =
            PrometheusBuilder::new().set_buckets_for_metric(matcher, &LATENCY_BUCKETS_SECS);
        // Fails only if the list of buckets is empty.
        let builder = buckets.unwrap_or_else(|_| PrometheusBuilder::new());
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
pub(crate) struct JobMeter {
    pub(crate) answer_time: Histogram,
    pub(crate) store_time: Histogram,
    pub(crate) job_time: Histogram,
    pub(crate) step_time: Histogram,
    pub(crate) open_jobs: Gauge,
    /// Bytes of open jobs that end by themselves, of others, and of ended jobs.
    finite_memory: Gauge,
    lasting_memory: Gauge,
    closed_memory: Gauge,
    /// Bytes that are left for further jobs.
    memory_room: Gauge,
    /// Bytes of jobs that were refused for want of memory.
    refused_memory: Counter,
    pub(crate) appends: Counter,
    pub(crate) append_retries: Counter,
    /// Records of callers that the owner stored.
    pub(crate) owner_stores: Counter,
    /// Records of callers that this member stored itself.
    pub(crate) own_stores: Counter,
    /// Calls with keys that were refused as the catalogue may be outdated.
    pub(crate) outdated_catalogues: Counter,
    pub(crate) starts: Counter,
    pub(crate) renewals: Counter,
}

impl JobMeter {
    pub(crate) fn open() -> Self {
        recorder();
        Self {
            answer_time: histogram!("jacinthhoist_answer_seconds"),
            store_time: histogram!("jacinthhoist_store_append_seconds"),
            job_time: histogram!("jacinthhoist_job_seconds"),
            step_time: histogram!("jacinthhoist_schedule_step_seconds"),
            open_jobs: gauge!("jacinthhoist_open_jobs"),
            finite_memory: gauge!("jacinthhoist_job_bytes", "jobs" => "finite"),
            lasting_memory: gauge!("jacinthhoist_job_bytes", "jobs" => "lasting"),
            closed_memory: gauge!("jacinthhoist_job_bytes", "jobs" => "closed"),
            memory_room: gauge!("jacinthhoist_job_room_bytes"),
            refused_memory: counter!("jacinthhoist_job_refused_bytes_total"),
            appends: counter!("jacinthhoist_store_appends_total"),
            append_retries: counter!("jacinthhoist_store_append_retries_total"),
            owner_stores: counter!("jacinthhoist_records_stored_total", "by" => "owner"),
            own_stores: counter!("jacinthhoist_records_stored_total", "by" => "member"),
            outdated_catalogues: counter!("jacinthhoist_outdated_catalogue_refusals_total"),
            starts: counter!("jacinthhoist_task_starts_total"),
            renewals: counter!("jacinthhoist_worker_holds_total"),
        }
    }

    /// Counts an answer to a caller.
    pub(crate) fn count_answer(&self, action: &'static str, outcome: &'static str) {
        counter!("jacinthhoist_answers_total", "call" => action, "outcome" => outcome).increment(1);
    }

    /// Counts a job that was refused for load.
    pub(crate) fn count_job_refusal(&self, ground: &'static str) {
        counter!("jacinthhoist_job_refusals_total", "ground" => ground).increment(1);
    }

    /// Counts the bytes of a job that was refused for want of memory.
    pub(crate) fn count_memory_refusal(&self, bytes: u64) {
        self.refused_memory.increment(bytes);
    }

    /// Sets the gauges of the memory that jobs take, and of the room that is left.
    pub(crate) fn set_memory(&self, usage: MemoryUsage, report: &MemoryReport) {
        self.finite_memory.set(usage.finite as f64);
        self.lasting_memory.set(usage.lasting as f64);
        self.closed_memory.set(usage.closed as f64);
        self.memory_room.set(report.room as f64);
    }

    /// Counts a call that was refused for its key.
    pub(crate) fn count_key_refusal(&self, reason: &'static str) {
        counter!("jacinthhoist_key_refusals_total", "reason" => reason).increment(1);
    }

    /// Sets the gauges of a tenant; their number is that of the tenants in the catalogue.
    pub(crate) fn set_tenant(&self, summary: &TenantSummary) {
        let tenant = summary.tenant.as_str().to_owned();
        let set = |name: &'static str, value: u64| {
            gauge!(name, "tenant" => tenant.clone()).set(value as f64);
        };
        set("jacinthhoist_tenant_running_cpu", summary.running.cpu);
        set("jacinthhoist_tenant_limit_cpu", summary.limit.0.cpu);
        set("jacinthhoist_tenant_waiting_jobs", summary.waiting.into());
    }

    /// Counts a start order that did not start a run.
    pub(crate) fn count_start_refusal(&self, reason: &'static str) {
        counter!("jacinthhoist_start_refusals_total", "reason" => reason).increment(1);
    }

    /// Counts a lost run.
    pub(crate) fn count_lost_run(&self, reason: &'static str) {
        counter!("jacinthhoist_lost_runs_total", "reason" => reason).increment(1);
    }
}
