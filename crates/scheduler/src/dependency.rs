//! Dependencies: one line when one is lost, one when it is regained.

use std::sync::atomic::{AtomicBool, Ordering};

use crate::{
    error::{Error, Result},
    eventlog::{EventLog, event},
};

macro_rules! dependencies {
    ($($variant:ident => ($name:literal, $doc:literal)),* $(,)?) => {
        /// Something outside that a member needs.
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
    Membership => ("store: membership", "The group of members."),
    OperatorEntries => ("store: operators' entries", "What operators write."),
    AcceptedJobs => ("store: accepted jobs", "The owner's read of accepted jobs."),
    WorkerEntries => ("store: workers' entries", "The owner's read of workers."),
    Progress => ("store: progress", "The owner's appends."),
    WaveStatus => ("store: wave status", "What operators read of waves."),
    Policy => ("policy service", "Which workers may run a step."),
    VmList => ("list of VMs", "The list of VMs."),
}

/// Which dependencies are lost.
#[derive(Debug)]
pub(crate) struct DependencyBook {
    lost: Vec<AtomicBool>,
}

impl DependencyBook {
    pub(crate) fn open() -> Self {
        let lost = Dependency::ALL.iter().map(|_| AtomicBool::new(false));
        Self {
            lost: lost.collect(),
        }
    }

    /// Notes how a call to a dependency ended; writes a line where that is a change.
    pub(crate) fn note<T>(&self, log: &EventLog, dependency: Dependency, outcome: &Result<T>) {
        self.note_error(log, dependency, outcome.as_ref().err());
    }

    /// As [`DependencyBook::note`], of an error alone.
    pub(crate) fn note_error(&self, log: &EventLog, dependency: Dependency, error: Option<&Error>) {
        let lost = error.is_some();
        if self.lost[dependency as usize].swap(lost, Ordering::Relaxed) != lost {
            event!(log, Dependency, "name": dependency.as_str(), "lost": lost,
                "error": error.map(ToString::to_string));
        }
    }
}
