//! What a caller asks for: a job of steps, each of many like tasks.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use snafu::{OptionExt, Snafu, ensure};

use crate::{
    clock::ClockTime,
    name::{PoolName, RackName, WorkName},
};

use super::catalogue::JobWork;

/// The result of checking a job.
pub(crate) type Result<T, E = JobError> = std::result::Result<T, E>;

/// A job that is not well formed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("`{field}` cannot be used: {remedy}"))]
pub struct JobError {
    /// The field.
    pub field: &'static str,
    /// What to write instead.
    pub remedy: &'static str,
}

/// Bytes of payload that a job may carry; from the callers' protocol.
const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Tasks of one job, all steps and occurrences together: what one progress record can hold.
const MAX_TASKS: usize = 10_000;
/// Digits of a job's id.
const ID_DIGITS: usize = 16;

/// The id that a caller chose for a job, 16 hexadecimal digits.
///
/// ```
/// use jacinthhoist_core::job::JobId;
/// let id: JobId = "5c0e7a21d94b36f8".parse().unwrap();
/// assert_eq!(id.to_string(), "5c0e7a21d94b36f8");
/// assert!("5C0E".parse::<JobId>().is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = JobError;

    fn from_str(text: &str) -> Result<Self> {
        let plain = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        let digits = text.len() == ID_DIGITS && text.bytes().all(plain);
        let value = digits.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        let remedy = "use 16 hexadecimal digits, lower case";
        let id = value.context(JobSnafu {
            field: "id",
            remedy,
        })?;
        Ok(Self(id))
    }
}

/// One task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// Which repetition of the steps, from 0.
    pub occurrence: u32,
    /// Which step, from 0.
    pub step: u16,
    /// Which task of the step, from 0.
    pub index: u16,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

/// One step of one repetition of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// Which repetition of the steps, from 0.
    pub occurrence: u32,
    /// Which step, from 0.
    pub step: u16,
}

impl From<TaskKey> for StepKey {
    fn from(task: TaskKey) -> Self {
        let TaskKey {
            job,
            occurrence,
            step,
            ..
        } = task;
        Self {
            job,
            occurrence,
            step,
        }
    }
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
        } = self;
        write!(f, "{job}.{occurrence}.{step}")
    }
}

/// Processor, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cpu: u64,
    /// Megabytes.
    #[serde(default, skip_serializing_if = "is_default")]
    pub mem_mb: u64,
    /// Accelerators.
    #[serde(default, skip_serializing_if = "is_default")]
    pub gpu: u64,
}

impl Resources {
    /// Whether `need` fits beside `used` within these resources.
    pub fn fits(&self, used: &Self, need: &Self) -> bool {
        used.cpu + need.cpu <= self.cpu
            && used.mem_mb + need.mem_mb <= self.mem_mb
            && used.gpu + need.gpu <= self.gpu
    }

    /// What is left without `other`.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// The sum.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            mem_mb: self.mem_mb + other.mem_mb,
            gpu: self.gpu + other.gpu,
        }
    }
}

/// One step: like tasks that may run beside each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// How many tasks.
    pub count: u16,
    /// What each task uses.
    pub need: Resources,
    /// The caller's rough idea of a task's duration.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate: ClockTime,
    /// Earlier steps whose tasks must all be done.
    #[serde(skip_serializing_if = "is_default")]
    pub after: SmallVec<[u16; 4]>,
    /// Whether a task saves its progress.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the tasks run only all together.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the tasks run faster on one rack.
    #[serde(skip_serializing_if = "is_default")]
    pub rack_local: bool,
    /// The label that a worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requires: Option<Arc<str>>,
    /// The rack that holds the data.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub affinity: Option<RackName>,
    /// Tasks of the step that one worker may run; zero for any number.
    #[serde(skip_serializing_if = "is_default")]
    pub max_per_worker: u16,
    /// Whether two copies of a task may run.
    #[serde(skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<Arc<str>>,
    /// Latency objective of tasks that serve users of their own; zero for none.
    #[serde(skip_serializing_if = "is_default")]
    pub target: ClockTime,
    /// Whether the tasks take only the processor time that others leave.
    #[serde(skip_serializing_if = "is_default")]
    pub fills: bool,
    /// Tasks of the step that may be away at once by our own doing.
    #[serde(skip_serializing_if = "is_default")]
    pub may_miss: u16,
}

impl StepSpec {
    /// What a task of the step takes of a worker's capacity.
    pub fn charged(&self) -> Resources {
        let cpu = if self.fills { 0 } else { self.need.cpu };
        Resources { cpu, ..self.need }
    }
}

/// Whether a step asks for something.
type StepTest = fn(&StepSpec) -> bool;

/// Steps that run several times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepeatPlan {
    /// How many times.
    pub times: u32,
    /// When the first is due, since the Unix epoch.
    pub start_at: ClockTime,
    /// Time between two.
    pub interval: ClockTime,
}

/// What the catalogue said of a job's kind of work when the job was accepted; it holds for the job
/// also after the entry is gone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobTerms {
    /// The pool whose workers run it.
    pub pool: PoolName,
    /// Its class; 0 goes first.
    pub priority: u8,
    /// How often a task may fail.
    pub max_failures: u8,
    /// The objective as a multiple of the longest chain of work.
    pub stretch: f64,
    /// What the objective adds to that.
    pub objective: ClockTime,
    /// Whether a policy service has the last word on workers.
    #[serde(default, skip_serializing_if = "is_default")]
    pub advised: bool,
}

impl JobTerms {
    /// What a catalogue entry says now.
    pub fn of(work: &JobWork) -> Self {
        Self {
            pool: work.pool.clone(),
            priority: work.priority,
            max_failures: work.max_failures,
            stretch: work.stretch,
            objective: work.objective,
            advised: work.advice.is_some(),
        }
    }

    /// Terms for examples and tests.
    pub fn example(pool: &str) -> Self {
        Self {
            pool: PoolName::new(pool),
            priority: 0,
            max_failures: 2,
            stretch: 1.6,
            objective: ClockTime::from_millis(600),
            advised: false,
        }
    }
}

/// A job as it was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The kind of work.
    pub work: WorkName,
    /// The terms on which it was accepted.
    pub terms: JobTerms,
    /// When its first attempt arrived, wall time.
    pub received_at: ClockTime,
    /// What each task is given.
    pub payload: Arc<str>,
    /// Its steps.
    pub steps: Vec<StepSpec>,
    /// Its repetitions; none for a job that runs once, at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<RepeatPlan>,
}

impl JobSpec {
    /// Checks what a caller sent.
    ///
    /// # Errors
    ///
    /// Names the field and what to write instead.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, WorkName, job::{JobSpec, JobTerms, StepSpec}};
    /// let spec = JobSpec {
    ///     work: WorkName::new("pattern-check"),
    ///     terms: JobTerms::example("moulding-desk"),
    ///     received_at: ClockTime::ZERO,
    ///     payload: "drain cover 4".into(),
    ///     steps: vec![StepSpec { count: 0, ..StepSpec::default() }],
    ///     repeat: None,
    /// };
    /// assert!(spec.check().unwrap_err().to_string().contains("count"));
    /// ```
    pub fn check(&self) -> Result<()> {
        let require = |holds: bool, field: &'static str, remedy: &'static str| {
            ensure!(holds, JobSnafu { field, remedy });
            Ok::<(), JobError>(())
        };
        let payload = self.payload.len() <= MAX_PAYLOAD_BYTES;
        require(payload, "payload", "send at most 4,000 bytes")?;
        require(!self.steps.is_empty(), "steps", "send at least one step")?;
        for (number, step) in self.steps.iter().enumerate() {
            require(step.count > 0, "count", "ask for at least one task")?;
            let known = step
                .after
                .iter()
                .all(|&earlier| usize::from(earlier) < number);
            require(known, "dependencies", "name only earlier steps, from 0")?;
        }
        let times = self.repeat.map_or(1, |repeat| repeat.times.max(1)) as usize;
        let tasks: usize = self.steps.iter().map(|step| usize::from(step.count)).sum();
        let small = tasks.saturating_mul(times) <= MAX_TASKS;
        require(small, "count", "ask for at most 10,000 tasks in all")
    }

    /// What its steps ask for beside processor and memory, for logs.
    pub fn traits(&self) -> SmallVec<[&'static str; 4]> {
        let asks: [(&'static str, StepTest); 10] = [
            ("long_running", |step| step.long_running),
            ("fills", |step| step.fills),
            ("latency_target", |step| step.target > ClockTime::ZERO),
            ("checkpoints", |step| step.checkpoints),
            ("speculative", |step| step.speculative),
            ("gang", |step| step.gang),
            ("rack", |step| step.rack_local || step.affinity.is_some()),
            ("label", |step| step.requires.is_some()),
            ("spread", |step| step.max_per_worker > 0),
            ("may_miss", |step| step.may_miss > 0),
        ];
        let asked = asks.iter().filter(|(_, has)| self.steps.iter().any(has));
        asked.map(|(name, _)| *name).collect()
    }

    /// Whether it only ends by being cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// The number of steps on the longest chain of dependencies.
    pub fn chain_len(&self) -> u64 {
        let mut depths: SmallVec<[u64; 8]> = SmallVec::new();
        for step in &self.steps {
            let before = step
                .after
                .iter()
                .map(|&earlier| depths[usize::from(earlier)]);
            depths.push(before.max().unwrap_or(0) + 1);
        }
        depths.into_iter().max().unwrap_or(0)
    }
}

/// What a caller is told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Nothing of it has begun.
    Queued,
    /// Something of it has begun.
    Running,
    /// All its tasks are done.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// It was cancelled.
    Cancelled,
}

pub(crate) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
