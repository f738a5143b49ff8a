//! Gangs of the fake workers: tasks of one step that work only together and end together.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Name of a step and number of the run that its tasks share.
type GangKey = (String, u64);

#[derive(Debug, Default)]
struct Gang {
    present: BTreeSet<String>,
    /// Time at which the last task of the gang started.
    complete_since: Option<Instant>,
    outcome: Option<&'static str>,
}

/// Gangs of an installation.
#[derive(Clone, Debug, Default)]
pub struct GangTable(Arc<Mutex<BTreeMap<GangKey, Gang>>>);

/// Task that takes part in a gang.
#[derive(Debug)]
pub(super) struct GangMember {
    table: GangTable,
    key: GangKey,
}

impl GangTable {
    fn gangs(&self) -> MutexGuard<'_, BTreeMap<GangKey, Gang>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a run of a task to its gang, which works once `size` tasks are present.
    pub(super) fn join(&self, task: &str, run: u64, size: usize) -> GangMember {
        let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
        let key = (step.to_owned(), run);
        let mut gangs = self.gangs();
        let gang = gangs.entry(key.clone()).or_default();
        gang.present.insert(task.to_owned());
        if gang.present.len() >= size {
            gang.complete_since.get_or_insert_with(Instant::now);
        }
        let table = self.clone();
        GangMember { table, key }
    }
}

impl GangMember {
    /// Returns the end of the whole gang: `done` once all its tasks have worked together for
    /// `duration`, `broken` if one of them ended earlier.
    pub(super) fn outcome(&self, duration: Duration) -> Option<&'static str> {
        let mut gangs = self.table.gangs();
        let gang = gangs.get_mut(&self.key)?;
        let since = gang.complete_since;
        if gang.outcome.is_none() && since.is_some_and(|since| since.elapsed() >= duration) {
            gang.outcome = Some("done");
        }
        gang.outcome
    }

    /// Breaks the gang, unless it has ended.
    pub(super) fn leave(&self) {
        let mut gangs = self.table.gangs();
        if let Some(gang) = gangs.get_mut(&self.key) {
            gang.outcome.get_or_insert("broken");
        }
    }
}
