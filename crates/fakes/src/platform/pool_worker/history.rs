//! Record of the runs on a fake worker, which outlives its restarts.

use std::time::{Duration, Instant};

/// Run of a task on a worker.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run: u64,
    /// Fencing token of the start order.
    pub token: u64,
    /// Number of the worker's process, counted from 1.
    pub process: u64,
    /// Label of that process.
    pub label: &'static str,
    /// Label that the task requires.
    pub required: Option<String>,
    /// Time from the start to the end of the lease that was then in force.
    pub granted: Option<Duration>,
    /// Time of the start.
    pub began_at: Instant,
    /// How and when the run ended; `None` while it is in progress. Besides the ends that the worker
    /// reports there are `crashed`, and `replaced` by a later run of the same task.
    pub end: Option<(&'static str, Instant)>,
    /// Time at which the end was acknowledged.
    pub acknowledged_at: Option<Instant>,
}

/// Runs of all incarnations of a worker.
#[derive(Debug, Default)]
pub(super) struct RunHistory {
    records: Vec<RunRecord>,
}

impl RunHistory {
    pub(super) fn begin(&mut self, record: RunRecord) {
        self.records.push(record);
    }

    pub(super) fn end(&mut self, task: &str, run: u64, how: &'static str, ended_at: Instant) {
        let mut open = self.records.iter_mut().rev();
        let record =
            open.find(|record| record.run == run && record.task == task && record.end.is_none());
        if let Some(record) = record {
            record.end = Some((how, ended_at));
        }
    }

    /// Ends all runs in progress.
    pub(super) fn end_all(&mut self, how: &'static str) {
        let ended_at = Instant::now();
        for record in &mut self.records {
            record.end.get_or_insert((how, ended_at));
        }
    }

    pub(super) fn acknowledge(&mut self, task: &str, run: u64) {
        let mut ended = self.records.iter_mut().rev();
        let record = ended.find(|record| record.run == run && record.task == task);
        if let Some(record) = record {
            record.acknowledged_at.get_or_insert(Instant::now());
        }
    }

    pub(super) fn records(&self) -> Vec<RunRecord> {
        self.records.clone()
    }
}
