//! Payloads of the emulated jobs, which set the behaviour of their tasks.

use std::fmt;

/// Task of a job that crashes each worker that starts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FatalTask {
    /// Index of its step.
    pub step: u16,
    /// Index of the task within the step.
    pub index: u16,
    /// True if its worker crashes only after it has run for a while.
    pub crashes_late: bool,
}

/// Fields of the payload of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TaskPayload {
    /// Average duration of a task, in milliseconds; `None` if it runs until it is stopped.
    pub(crate) mean_ms: Option<u64>,
    /// CPU that a task uses, in thousandths of a core.
    pub(crate) cpu: u64,
    /// True if all tasks fail.
    pub(crate) hopeless: bool,
    pub(crate) fatal_task: Option<FatalTask>,
}

impl TaskPayload {
    pub(crate) fn read(payload: &str) -> Self {
        let mut fields = Self::default();
        for field in payload.split(' ') {
            match field.split_once('=') {
                Some(("ms", text)) => fields.mean_ms = text.parse().ok(),
                Some(("cpu", text)) => fields.cpu = text.parse().unwrap_or_default(),
                Some(("fatal", text)) => fields.fatal_task = read_fatal_task(text, false),
                Some(("late-fatal", text)) => fields.fatal_task = read_fatal_task(text, true),
                _ => fields.hopeless |= field == "hopeless",
            }
        }
        fields
    }

    /// Returns whether a task crashes each worker that starts it.
    pub(crate) fn is_fatal(&self, step: u16, index: u16) -> bool {
        self.fatal_task
            .is_some_and(|task| (task.step, task.index) == (step, index))
    }
}

fn read_fatal_task(text: &str, crashes_late: bool) -> Option<FatalTask> {
    let (step, index) = text.split_once('.')?;
    Some(FatalTask {
        step: step.parse().ok()?,
        index: index.parse().ok()?,
        crashes_late,
    })
}

impl fmt::Display for TaskPayload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.mean_ms {
            Some(mean) => write!(f, "ms={mean}")?,
            None => write!(f, "lasts")?,
        }
        write!(f, " cpu={}", self.cpu)?;
        if self.hopeless {
            write!(f, " hopeless")?;
        }
        if let Some(task) = self.fatal_task {
            let name = if task.crashes_late {
                "late-fatal"
            } else {
                "fatal"
            };
            write!(f, " {name}={}.{}", task.step, task.index)?;
        }
        Ok(())
    }
}
