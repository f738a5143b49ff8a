//! Status of the dependencies; a log line is written when one is lost or regained.

use std::sync::atomic::{AtomicBool, Ordering};

use crate::{
    error::{Error, Result},
    eventlog::{EventLog, event},
};

macro_rules! dependencies {
    ($($variant:ident => ($name:literal, $doc:literal)),* $(,)?) => {
        /// External service or stream that a member depends on.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub(crate) enum Dependency {
            $(#[doc = $doc] $variant),*
        }

        impl Dependency {
            const ALL: &[Self] = &[$(Self::$variant),*];

            fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $name),*
                }
            }
        }
    };
}

dependencies! {
    JobAppends => ("store: appends of jobs", "Appends of callers' jobs."),
    Membership => ("store: membership", "Group of members."),
    OperatorRecords => ("store: operators' entries", "Reads of operator records."),
    AcceptedJobs => ("store: accepted jobs", "The owner's reads of accepted jobs."),
    WorkerEntries => ("store: workers' entries", "The owner's reads of worker entries."),
    Progress => ("store: progress", "The owner's appends."),
    WaveStatus => ("store: wave status", "Writes of wave status for operators."),
    Policy => ("policy service", "Advice on which workers may run a step."),
    VmList => ("list of VMs", "Reads of the VM list."),
}

/// Dependencies that are currently lost.
#[derive(Debug)]
pub(crate) struct DependencyStatus {
    lost: Vec<AtomicBool>,
}

impl DependencyStatus {
    pub(crate) fn open() -> Self {
        let lost = Dependency::ALL.iter().map(|_| AtomicBool::new(false));
        Self {
            lost: lost.collect(),
        }
    }

    /// Records the result of a call; writes a log line if the status changes.
    pub(crate) fn record<T>(&self, log: &EventLog, dependency: Dependency, outcome: &Result<T>) {
        self.record_error(log, dependency, outcome.as_ref().err());
    }

    /// Records the error of a call, or its success; writes a log line if the status changes.
    pub(crate) fn record_error(
        &self,
        log: &EventLog,
        dependency: Dependency,
        error: Option<&Error>,
    ) {
        let lost = error.is_some();
        if self.lost[dependency as usize].swap(lost, Ordering::Relaxed) != lost {
            event!(log, Dependency, "name": dependency.as_str(), "lost": lost,
                "error": error.map(ToString::to_string));
        }
    }
}
