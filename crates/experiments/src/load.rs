//! Open-loop load: arrivals do not wait for answers.

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

/// The longest wait a histogram holds, in microseconds.
const LONGEST_US: u64 = 600_000_000;
/// Idle connections kept to one member.
const IDLE_CONNECTIONS: usize = 512;

/// Load of one kind of work.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The kind of work.
    pub work: String,
    /// Arrivals a second.
    pub rate: f64,
    /// How long arrivals go on.
    pub span: Duration,
    /// How long a run takes, in milliseconds.
    pub service_ms: u64,
    /// Members that callers are spread over.
    pub members: Vec<SocketAddr>,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Whether each request has an idempotency key of its own.
    pub keyed: bool,
}

/// What became of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadSummary {
    /// The kind of work.
    pub work: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered with the outcome `done`.
    pub done: u64,
    /// Requests refused with the outcome `not-run`.
    pub not_run: u64,
    /// Other outcomes.
    pub other: u64,
    /// Requests that got no whole answer.
    pub broken: u64,
    /// Answers done, a second.
    pub goodput: f64,
    /// Median time beyond the service time, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time beyond the service time, in milliseconds.
    pub p99_ms: f64,
    /// Refusals by reason.
    pub reasons: BTreeMap<String, u64>,
}

struct LoadSample {
    taken: Duration,
    answer: Result<CallerResponse, CallerError>,
}

/// Idle connections of callers, by member.
struct IdleConnections(Vec<ArrayQueue<CallerConnection>>);

impl IdleConnections {
    async fn send(
        &self,
        member: usize,
        caller: &WorkCaller,
        work: &str,
    ) -> Result<CallerResponse, CallerError> {
        let idle = &self.0[member];
        let mut connection = match idle.pop().filter(|connection| !connection.is_closed()) {
            Some(connection) => connection,
            None => caller.connect().await?,
        };
        let answer = caller.send_on(&mut connection, work, "load").await?;
        // A full queue closes the connection.
        let _ = idle.push(connection);
        Ok(answer)
    }
}

/// Sends a load and gathers what became of it.
///
/// # Panics
///
/// Where the histogram's bounds are not accepted.
pub async fn run_load(plan: LoadPlan) -> LoadSummary {
    let (samples, mut gathered) = mpsc::unbounded_channel();
    let arrivals = plan.clone();
    tokio::spawn(async move { arrive(arrivals, samples).await });
    let mut summary = LoadSummary {
        work: plan.work.clone(),
        ..LoadSummary::default()
    };
    let mut waits =
        Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are good");
    while let Some(sample) = gathered.recv().await {
        count(&mut summary, &mut waits, &plan, sample);
    }
    summary.goodput = summary.done as f64 / plan.span.as_secs_f64();
    summary.p50_ms = waits.value_at_quantile(0.5) as f64 / 1_000.0;
    summary.p99_ms = waits.value_at_quantile(0.99) as f64 / 1_000.0;
    summary
}

async fn arrive(plan: LoadPlan, samples: mpsc::UnboundedSender<LoadSample>) {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let start = Instant::now();
    let mut at = start;
    let work: Arc<str> = Arc::from(plan.work.as_str());
    let idle = plan
        .members
        .iter()
        .map(|_| ArrayQueue::new(IDLE_CONNECTIONS))
        .collect();
    let idle = Arc::new(IdleConnections(idle));
    let mut number = 0_u64;
    loop {
        let gap = -(1.0 - random.random::<f64>()).ln() / plan.rate;
        at += Duration::from_secs_f64(gap);
        if at.duration_since(start) > plan.span {
            return;
        }
        sleep_until(at).await;
        number += 1;
        let member = random.random_range(0..plan.members.len());
        let mut caller = WorkCaller::new(plan.members[member]).service_ms(plan.service_ms);
        if plan.keyed {
            caller = caller.key(&format!("{}-{number}", plan.seed));
        }
        let (samples, work, idle) = (samples.clone(), work.clone(), idle.clone());
        tokio::spawn(async move {
            let sent = Instant::now();
            let answer = idle.send(member, &caller, &work).await;
            // The gatherer outlives every sender.
            let _ = samples.send(LoadSample {
                taken: sent.elapsed(),
                answer,
            });
        });
    }
}

fn count(
    summary: &mut LoadSummary,
    waits: &mut Histogram<u64>,
    plan: &LoadPlan,
    sample: LoadSample,
) {
    summary.sent += 1;
    let Ok(answer) = sample.answer else {
        summary.broken += 1;
        return;
    };
    match answer.outcome.as_str() {
        "done" => {
            summary.done += 1;
            let beyond = sample
                .taken
                .saturating_sub(Duration::from_millis(plan.service_ms));
            let beyond_us = (beyond.as_micros() as u64).clamp(1, LONGEST_US);
            waits.saturating_record(beyond_us);
        }
        "not-run" => summary.not_run += 1,
        _ => summary.other += 1,
    }
    if !answer.reason.is_empty() {
        *summary.reasons.entry(answer.reason).or_default() += 1;
    }
}
