//! Open-loop load generator: requests arrive at a given rate and do not wait for responses.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use crossbeam_queue::ArrayQueue;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

use crate::caller::{CallerConnection, CallerError, CallerResponse, WorkCaller};

/// Upper bound of a histogram, in microseconds.
const MAX_RECORDED_US: u64 = 600_000_000;
/// Maximum number of idle connections to one member.
const MAX_IDLE_CONNECTIONS: usize = 512;

/// Load of one work.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Name of the work.
    pub work: String,
    /// Mean number of requests a second; arrivals are a Poisson process.
    pub rate_per_sec: f64,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Service time of a run, in milliseconds.
    pub service_ms: u64,
    /// Caller addresses of the members that the requests are spread over.
    pub members: Vec<SocketAddr>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Gives each request an idempotency key of its own.
    pub keyed: bool,
}

/// Summary of the outcomes and latencies of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadSummary {
    /// Name of the work.
    pub work: String,
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests with the outcome `done`.
    pub done: u64,
    /// Number of requests with the outcome `not-run`.
    pub not_run: u64,
    /// Number of requests with another outcome.
    pub other: u64,
    /// Number of requests without a complete response.
    pub broken: u64,
    /// Requests with the outcome `done`, per second.
    pub goodput: f64,
    /// Median of the latency added to the service time, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency added to the service time, in milliseconds.
    pub p99_ms: f64,
    /// Number of requests by reason header.
    pub reasons: BTreeMap<String, u64>,
}

struct LoadSample {
    latency: Duration,
    response: Result<CallerResponse, CallerError>,
}

/// Idle caller connections by member.
struct IdleConnections(Vec<ArrayQueue<CallerConnection>>);

impl IdleConnections {
    async fn send(
        &self,
        member: usize,
        caller: &WorkCaller,
        work: &str,
    ) -> Result<CallerResponse, CallerError> {
        let idle_connections = &self.0[member];
        let mut connection = match idle_connections
            .pop()
            .filter(|connection| !connection.is_closed())
        {
            Some(connection) => connection,
            None => caller.connect().await?,
        };
        let response = caller.send_on(&mut connection, work, "load").await?;
        // The connection is closed if the queue is full.
        let _ = idle_connections.push(connection);
        Ok(response)
    }
}

/// Sends a load and summarizes its responses.
///
/// # Panics
///
/// Panics if the histogram rejects its bounds.
pub async fn run_load(plan: LoadPlan) -> LoadSummary {
    let (sample_sender, mut sample_receiver) = mpsc::unbounded_channel();
    let arrivals = plan.clone();
    tokio::spawn(async move { send_requests(arrivals, sample_sender).await });
    let mut summary = LoadSummary {
        work: plan.work.clone(),
        ..LoadSummary::default()
    };
    let mut added_latencies =
        Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_US, 3).expect("the bounds are valid");
    while let Some(sample) = sample_receiver.recv().await {
        record_sample(&mut summary, &mut added_latencies, &plan, sample);
    }
    summary.goodput = summary.done as f64 / plan.duration.as_secs_f64();
    summary.p50_ms = added_latencies.value_at_quantile(0.5) as f64 / 1_000.0;
    summary.p99_ms = added_latencies.value_at_quantile(0.99) as f64 / 1_000.0;
    summary
}

async fn send_requests(plan: LoadPlan, sample_sender: mpsc::UnboundedSender<LoadSample>) {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let start = Instant::now();
    let mut arrival = start;
    let work: Arc<str> = Arc::from(plan.work.as_str());
    let idle_connections = plan
        .members
        .iter()
        .map(|_| ArrayQueue::new(MAX_IDLE_CONNECTIONS))
        .collect();
    let idle_connections = Arc::new(IdleConnections(idle_connections));
    let mut number = 0_u64;
    loop {
        let interval_secs = -(1.0 - random.random::<f64>()).ln() / plan.rate_per_sec;
        arrival += Duration::from_secs_f64(interval_secs);
        if arrival.duration_since(start) > plan.duration {
            return;
        }
        sleep_until(arrival).await;
        number += 1;
        let member = random.random_range(0..plan.members.len());
        let mut caller = WorkCaller::new(plan.members[member]).service_ms(plan.service_ms);
        if plan.keyed {
            caller = caller.key(&format!("{}-{number}", plan.seed));
        }
        let (sample_sender, work, idle_connections) = (
            sample_sender.clone(),
            work.clone(),
            idle_connections.clone(),
        );
        tokio::spawn(async move {
            let sent = Instant::now();
            let response = idle_connections.send(member, &caller, &work).await;
            // Cannot fail: the receiver outlives all senders.
            let _ = sample_sender.send(LoadSample {
                latency: sent.elapsed(),
                response,
            });
        });
    }
}

fn record_sample(
    summary: &mut LoadSummary,
    added_latencies: &mut Histogram<u64>,
    plan: &LoadPlan,
    sample: LoadSample,
) {
    summary.sent += 1;
    let Ok(response) = sample.response else {
        summary.broken += 1;
        return;
    };
    match response.outcome.as_str() {
        "done" => {
            summary.done += 1;
            let added = sample
                .latency
                .saturating_sub(Duration::from_millis(plan.service_ms));
            let added_us = (added.as_micros() as u64).clamp(1, MAX_RECORDED_US);
            added_latencies.saturating_record(added_us);
        }
        "not-run" => summary.not_run += 1,
        _ => summary.other += 1,
    }
    if !response.reason.is_empty() {
        *summary.reasons.entry(response.reason).or_default() += 1;
    }
}
