//! One incarnation of a fake worker: its runs, its lease and the ends that it reports.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::Deserialize;
use serde_json::{Value, json};

use super::history::{RunHistory, RunRecord};
use crate::platform::gang::{GangMember, GangTable};

/// Duration of a task whose payload sets none.
const DEFAULT_TASK_TIME: Duration = Duration::from_millis(30);
/// Maximum number of ended runs in one report.
const MAX_ENDED_ROWS: usize = 500;

/// Order to a worker; fields that an order lacks have their defaults.
#[derive(Debug, Deserialize)]
pub(super) struct WorkerOrder {
    #[serde(default)]
    pub(super) task: String,
    #[serde(default)]
    pub(super) run: u64,
    #[serde(default)]
    pub(super) task_spec: String,
    pub(super) deadline_at_ms: Option<u64>,
    #[serde(default)]
    pub(super) fencing_token: u64,
    #[serde(default)]
    pub(super) ack_cursor: u64,
    #[serde(default)]
    pub(super) wait_ms: u64,
    #[serde(default)]
    pub(super) ticket: String,
}

/// Task run in progress.
#[derive(Debug)]
pub(super) struct ActiveRun {
    number: u64,
    started_at: Instant,
    /// `None` for a task that runs until it is stopped.
    duration: Option<Duration>,
    gang: Option<GangMember>,
    fails: bool,
}

impl ActiveRun {
    /// Time at which the run ends by itself; `None` if it does not, or if a gang determines it.
    fn due_at(&self) -> Option<Instant> {
        let duration = self.duration.filter(|_| self.gang.is_none())?;
        Some(self.started_at + duration)
    }

    /// Returns the end that the run has reached by itself.
    fn outcome(&self) -> Option<&'static str> {
        let duration = self.duration?;
        match &self.gang {
            Some(gang) => gang.outcome(duration),
            None if self.started_at.elapsed() < duration => None,
            None if self.fails => Some("failed"),
            None => Some("done"),
        }
    }
}

/// Splits the label that a task requires from its payload.
fn split_required(payload: &str) -> (Option<&str>, &str) {
    let parts = payload
        .strip_prefix("needs=")
        .and_then(|rest| rest.split_once(','));
    match parts {
        Some((label, rest)) => (Some(label), rest),
        None => (None, payload),
    }
}

/// Parses the payload of a gang task: the number of its tasks, and what each of them does.
fn split_gang(payload: &str) -> (Option<usize>, &str) {
    let parts = payload
        .strip_prefix("gang=")
        .and_then(|rest| rest.split_once(','));
    let size = parts.and_then(|(size, _)| size.parse().ok());
    match parts {
        Some((_, rest)) if size.is_some() => (size, rest),
        _ => (None, payload),
    }
}

/// State of a worker between two restarts.
#[derive(Debug)]
pub(super) struct WorkerIncarnation {
    started_at: Instant,
    pub(super) number: u64,
    newest_token: u64,
    deadline: Option<u64>,
    /// Longest lease that the worker grants.
    pub(super) longest_lease: Duration,
    pub(super) runs: BTreeMap<String, ActiveRun>,
    /// Highest run number of each task that has ended or been stopped on this worker.
    finished_runs: BTreeMap<String, u64>,
    pub(super) ended_rows: Vec<Value>,
    end_count: u64,
    /// Number of the last end when the lease was last found to have lapsed. The platform does not count the
    /// acknowledgement of an end across a lapse of the lease.
    lapsed_end: u64,
    /// Ticket that starts must carry, if tickets are required.
    pub(super) ticket: Option<String>,
    pub(super) gangs: GangTable,
    /// Labels of the worker's processes by turns.
    pub(super) labels: &'static [&'static str],
    /// True once the process has crashed.
    pub(super) crashed: bool,
}

/// Counts of task runs, which outlive a restart of the worker.
#[derive(Debug, Default)]
pub(super) struct TaskCounts {
    /// Number of starts by task.
    pub(super) starts: BTreeMap<String, u32>,
    /// Number of runs that ended as done, by task.
    pub(super) done: BTreeMap<String, u32>,
    /// All runs with their times.
    pub(super) history: RunHistory,
}

impl WorkerIncarnation {
    pub(super) fn new(number: u64, longest_lease: Duration, gangs: GangTable) -> Self {
        Self {
            started_at: Instant::now(),
            number,
            newest_token: 0,
            deadline: None,
            longest_lease,
            runs: BTreeMap::new(),
            finished_runs: BTreeMap::new(),
            ended_rows: Vec::new(),
            end_count: 0,
            lapsed_end: 0,
            ticket: None,
            gangs,
            labels: &["a"],
            crashed: false,
        }
    }

    /// The process that follows this one.
    pub(super) fn next(&self) -> Self {
        self.with_number(self.number + 1)
    }

    /// A process that begins now, with the settings of this one.
    pub(super) fn with_number(&self, number: u64) -> Self {
        Self {
            labels: self.labels,
            ..Self::new(number, self.longest_lease, self.gangs.clone())
        }
    }

    /// Label of the process.
    pub(super) fn label(&self) -> &'static str {
        self.labels[(self.number - 1) as usize % self.labels.len()]
    }

    pub(super) fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub(super) fn extend(&mut self, deadline: Option<u64>) {
        if self
            .deadline
            .is_some_and(|deadline| self.clock_ms() > deadline)
        {
            self.lapsed_end = self.end_count;
        }
        let latest_ms = self.clock_ms() + self.longest_lease.as_millis() as u64;
        let requested = deadline.map(|at| at.min(latest_ms));
        self.deadline = self.deadline.max(requested);
    }

    /// Ends the runs that are finished, and all runs once the lease has lapsed.
    pub(super) fn finish_due(&mut self, counts: &mut TaskCounts) {
        let now = self.clock_ms();
        let lapse = self.deadline.filter(|deadline| now > *deadline);
        let lapsed_at = lapse.map(|deadline| self.started_at + Duration::from_millis(deadline));
        let names: Vec<String> = self.runs.keys().cloned().collect();
        for name in names {
            let run = &self.runs[&name];
            let due_at = run.due_at();
            let (outcome, ended_at) = match (run.outcome(), lapsed_at) {
                // No request may have arrived between the lapse and the time of the run's own end.
                (Some(_), Some(lapsed_at)) if due_at.is_some_and(|at| at > lapsed_at) => {
                    ("lapsed", lapsed_at)
                }
                (Some(outcome), _) => (outcome, due_at.unwrap_or_else(Instant::now)),
                (None, Some(lapsed_at)) => ("lapsed", lapsed_at),
                (None, None) => continue,
            };
            if outcome == "done" {
                *counts.done.entry(name.clone()).or_default() += 1;
            }
            self.end(&name, outcome, ended_at, &mut counts.history);
        }
    }

    /// Discards the ends up to a number.
    pub(super) fn acknowledge(&mut self, ack_cursor: u64, counts: &mut TaskCounts) {
        let lapsed_end = self.lapsed_end;
        self.ended_rows.retain(|row| {
            let number = row[0].as_u64().unwrap_or_default();
            if number > ack_cursor {
                return true;
            }
            if number > lapsed_end
                && let (Some(task), Some(run)) = (row[1].as_str(), row[2].as_u64())
            {
                counts.history.acknowledge(task, run);
            }
            false
        });
    }

    fn end(
        &mut self,
        name: &str,
        outcome: &'static str,
        ended_at: Instant,
        history: &mut RunHistory,
    ) {
        let Some(run) = self.runs.remove(name) else {
            return;
        };
        if let Some(gang) = &run.gang {
            gang.leave();
        }
        history.end(name, run.number, outcome, ended_at);
        self.end_count += 1;
        self.finished_runs.insert(name.to_owned(), run.number);
        self.ended_rows
            .push(json!([self.end_count, name, run.number, outcome, ""]));
    }

    /// Starts a run; returns the time after which it crashes the worker, if it does.
    pub(super) fn start(
        &mut self,
        order: &WorkerOrder,
        fails: bool,
        counts: &mut TaskCounts,
    ) -> Result<Option<Duration>, &'static str> {
        self.check_token(order)?;
        self.extend(order.deadline_at_ms);
        let active_number = self.runs.get(&order.task).map(|run| run.number);
        if active_number == Some(order.run) {
            return Ok(None);
        }
        let finished_run = self.finished_runs.get(&order.task).copied().unwrap_or(0);
        if order.run <= finished_run {
            return Err("old");
        }
        if order
            .deadline_at_ms
            .is_some_and(|deadline| deadline < self.clock_ms())
        {
            return Err("late");
        }
        if self
            .ticket
            .as_ref()
            .is_some_and(|ticket| !crate::platform::policy::accepts(ticket, &order.ticket))
        {
            return Err("ticket");
        }
        let (required, payload) = split_required(&order.task_spec);
        let (gang_size, payload) = split_gang(payload);
        let crashes_after = payload.strip_prefix("crash=");
        let crashes_after = crashes_after.and_then(|number| number.parse().ok());
        let duration = match payload {
            "lasts" => None,
            _ if crashes_after.is_some() => None,
            "fail" => Some(Duration::ZERO),
            text => {
                let millis = text
                    .strip_prefix("ms=")
                    .and_then(|number| number.parse().ok());
                Some(millis.map_or(DEFAULT_TASK_TIME, Duration::from_millis))
            }
        };
        let run = ActiveRun {
            number: order.run,
            started_at: Instant::now(),
            duration,
            gang: gang_size.map(|size| self.gangs.join(&order.task, order.run, size)),
            fails: fails || order.task_spec == "fail",
        };
        *counts.starts.entry(order.task.clone()).or_default() += 1;
        counts.history.begin(RunRecord {
            task: order.task.clone(),
            run: order.run,
            token: order.fencing_token,
            process: self.number,
            label: self.label(),
            required: required.map(str::to_owned),
            granted: self
                .deadline
                .map(|at| Duration::from_millis(at.saturating_sub(self.clock_ms()))),
            began_at: run.started_at,
            end: None,
            acknowledged_at: None,
        });
        if let Some(former) = self.runs.insert(order.task.clone(), run) {
            let replaced_at = Instant::now();
            counts
                .history
                .end(&order.task, former.number, "replaced", replaced_at);
        }
        Ok(crashes_after.map(Duration::from_millis))
    }

    pub(super) fn stop(
        &mut self,
        order: &WorkerOrder,
        counts: &mut TaskCounts,
    ) -> Result<(), &'static str> {
        self.check_token(order)?;
        let finished_run = self.finished_runs.entry(order.task.clone()).or_default();
        *finished_run = order.run.max(*finished_run);
        if self
            .runs
            .get(&order.task)
            .is_some_and(|run| run.number <= order.run)
        {
            let stopped_at = Instant::now();
            self.end(&order.task, "stopped", stopped_at, &mut counts.history);
        }
        Ok(())
    }

    pub(super) fn check_token(&mut self, order: &WorkerOrder) -> Result<(), &'static str> {
        if order.fencing_token < self.newest_token {
            return Err("fence");
        }
        self.newest_token = order.fencing_token;
        Ok(())
    }

    pub(super) fn report(&self, garbled: bool) -> Value {
        let running = self.runs.iter().map(|(name, run)| {
            let percent = match run.duration {
                None => 100,
                Some(duration) => (100 * run.started_at.elapsed().as_millis()
                    / duration.as_millis().max(1))
                .min(99),
            };
            let name = if garbled { "7.x" } else { name };
            json!([name, run.number, "", percent as u64, 0])
        });
        let running: Vec<Value> = running.collect();
        let ended = &self.ended_rows[..self.ended_rows.len().min(MAX_ENDED_ROWS)];
        json!({"clock_ms": self.clock_ms(), "born": self.number, "running": running, "ended": ended})
    }
}
