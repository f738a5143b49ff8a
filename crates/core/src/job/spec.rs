//! Specification of a job: steps of identical tasks, with their requirements and dependencies.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use snafu::{OptionExt, Snafu, ensure};

use crate::{
    clock::ClockTime,
    name::{PoolName, RackName, TenantName, WorkName},
};

use super::catalogue::JobWork;

/// Result of the validation of a job.
pub(crate) type Result<T, E = JobError> = std::result::Result<T, E>;

/// Validation error of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("`{field}` cannot be used: {remedy}"))]
pub struct JobError {
    /// Name of the invalid field.
    pub field: &'static str,
    /// Instruction for a valid value.
    pub remedy: &'static str,
}

/// Maximum payload size of a job, set by the callers' protocol.
const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Maximum number of tasks of a job that may be open at a time, over all steps; limited by the size of a
/// progress record.
const MAX_TASKS: usize = 10_000;
/// Latest time in a job: the largest whole number of milliseconds that every JSON writer represents
/// exactly.
const MAX_TIME: ClockTime = ClockTime::from_millis(1 << 53);
/// Number of hexadecimal digits in a job id.
const ID_DIGITS: usize = 16;

/// Job id chosen by the caller, 16 hexadecimal digits.
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
        let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        let valid = text.len() == ID_DIGITS && text.bytes().all(is_hex);
        let value = valid.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        let remedy = "use 16 hexadecimal digits, lower case";
        let id = value.context(JobSnafu {
            field: "id",
            remedy,
        })?;
        Ok(Self(id))
    }
}

/// Identity of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// Job id.
    pub job: JobId,
    /// Index of the repetition, from 0.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u16,
    /// Index of the task within the step, from 0.
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

/// Identity of a step within one repetition of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepKey {
    /// Job id.
    pub job: JobId,
    /// Index of the repetition, from 0.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u16,
}

impl StepKey {
    /// Returns the task of the step with the given index.
    ///
    /// ```
    /// use jacinthhoist_core::job::{JobId, StepKey};
    /// let step = StepKey { job: JobId(1), occurrence: 0, step: 2 };
    /// assert_eq!(StepKey::from(step.task(5)), step);
    /// ```
    pub fn task(self, index: u16) -> TaskKey {
        let Self {
            job,
            occurrence,
            step,
        } = self;
        TaskKey {
            job,
            occurrence,
            step,
            index,
        }
    }
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

/// Amounts of processor time, memory and accelerators. The order serves as that of a key only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cpu: u64,
    /// Memory, in megabytes.
    #[serde(default, skip_serializing_if = "is_default")]
    pub mem_mb: u64,
    /// Number of accelerators.
    #[serde(default, skip_serializing_if = "is_default")]
    pub gpu: u64,
}

impl Resources {
    /// Largest amount of each resource that a worker may have or a task may need. Sums over a fleet
    /// and over the tasks of a job stay far below the largest number.
    pub const MAX_AMOUNT: u64 = 1_000_000_000;

    /// True if `need` fits into these resources when `used` of them are taken.
    pub fn fits(&self, used: &Self, need: &Self) -> bool {
        let taken = used.plus(need);
        taken.cpu <= self.cpu && taken.mem_mb <= self.mem_mb && taken.gpu <= self.gpu
    }

    /// True if no amount exceeds [`Resources::MAX_AMOUNT`].
    pub fn is_in_range(&self) -> bool {
        let amounts = [self.cpu, self.mem_mb, self.gpu];
        amounts.into_iter().all(|amount| amount <= Self::MAX_AMOUNT)
    }

    /// Subtracts `other` and stops at zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// Multiplies the amounts and stops at the largest number.
    pub fn times(&self, count: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(count),
            mem_mb: self.mem_mb.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }

    /// Adds `other` and stops at the largest number.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            mem_mb: self.mem_mb.saturating_add(other.mem_mb),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }
}

/// Step of a job: identical tasks that may run concurrently.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u16,
    /// Resources required by each task.
    pub need: Resources,
    /// Caller's estimate of the duration of a task.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate: ClockTime,
    /// Earlier steps that must be complete before this one starts.
    #[serde(skip_serializing_if = "is_default")]
    pub after: SmallVec<[u16; 4]>,
    /// True if the tasks save checkpoints of their progress.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// True if the tasks are a gang, which only runs as a whole.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// True if the tasks run faster on one rack.
    #[serde(skip_serializing_if = "is_default")]
    pub rack_local: bool,
    /// Label that a worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requires: Option<Arc<str>>,
    /// Rack that holds the input data.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub affinity: Option<RackName>,
    /// Maximum number of tasks of the step on one worker; zero for no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub max_per_worker: u16,
    /// True if a second copy of a task may run.
    #[serde(skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// True if the tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// Image that the tasks run; tasks of one image have similar resource usage.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<Arc<str>>,
    /// Latency objective of tasks that serve their own users; zero for none.
    #[serde(skip_serializing_if = "is_default")]
    pub target: ClockTime,
    /// True for best-effort tasks, which only use processor time that other tasks leave idle.
    #[serde(rename = "fills")]
    #[serde(skip_serializing_if = "is_default")]
    pub best_effort: bool,
    /// Maximum number of unavailable tasks of the step when the scheduler stops one, that one
    /// included; zero for no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub may_miss: u16,
}

impl StepSpec {
    /// Resources that a task of the step takes from a worker's capacity.
    pub fn charged(&self) -> Resources {
        let cpu = if self.best_effort { 0 } else { self.need.cpu };
        Resources { cpu, ..self.need }
    }
}

impl StepSpec {
    /// Returns whether workers have room for a task of the step, or its gang, just if they have for the other's.
    pub(super) fn fits_like(&self, other: &Self) -> bool {
        let same_size = self.need == other.need && self.best_effort == other.best_effort;
        let same_gang = self.gang == other.gang && (!self.gang || self.count == other.count);
        let same_spread = self.max_per_worker == other.max_per_worker;
        same_size && same_gang && same_spread && self.requires == other.requires
    }
}

/// Predicate on a step.
type StepPredicate = fn(&StepSpec) -> bool;

/// Repetition schedule of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepeatPlan {
    /// Number of repetitions.
    pub times: u32,
    /// Start time of the first repetition, since the Unix epoch.
    pub start_at: ClockTime,
    /// Interval between the starts of two repetitions.
    pub interval: ClockTime,
}

impl RepeatPlan {
    /// Start time of a repetition, counted from 0, or the largest time if that overflows.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::RepeatPlan};
    /// let secs = ClockTime::from_secs;
    /// let plan = RepeatPlan { times: 3, start_at: secs(10), interval: secs(2) };
    /// assert_eq!(plan.start_of(2), secs(14));
    /// ```
    pub fn start_of(&self, repetition: u32) -> ClockTime {
        let span = self.interval.as_millis();
        let span = span.saturating_mul(u64::from(repetition));
        self.start_at + ClockTime::from_millis(span)
    }

    /// Start time of the last repetition, or the largest time if that overflows.
    pub fn last_start(&self) -> ClockTime {
        self.start_of(self.times.saturating_sub(1))
    }
}

/// Settings of a job's kind of work at the time of acceptance, which apply to the job even after
/// the catalogue entry has been removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "TermsRecord", into = "TermsRecord")]
pub struct JobTerms {
    /// Pool whose workers run the job.
    pub pool: PoolName,
    /// Priority class; 0 is the most urgent.
    pub priority: u64,
    /// Number of failures of a task after which the job fails.
    pub max_failures: u32,
    /// Proportional part of the objective: a multiple of the duration of the longest dependency
    /// chain.
    pub stretch: f64,
    /// Constant part of the objective.
    pub objective: ClockTime,
    /// True if a policy service must permit the workers of the job.
    pub advised: bool,
}

/// Stored form of terms. Earlier releases read the numbers of one byte and pass over the others.
#[derive(Serialize, Deserialize)]
struct TermsRecord {
    pool: PoolName,
    priority: u8,
    max_failures: u8,
    stretch: f64,
    objective: ClockTime,
    #[serde(default, skip_serializing_if = "is_default")]
    advised: bool,
    /// Priority that exceeds one byte.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    large_priority: Option<u64>,
    /// Number of failures that exceeds one byte.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    large_max_failures: Option<u32>,
}

impl From<JobTerms> for TermsRecord {
    fn from(terms: JobTerms) -> Self {
        let (priority, max_failures) = (terms.priority, terms.max_failures);
        Self {
            pool: terms.pool,
            priority: u8::try_from(priority).unwrap_or(u8::MAX),
            max_failures: u8::try_from(max_failures).unwrap_or(u8::MAX),
            stretch: terms.stretch,
            objective: terms.objective,
            advised: terms.advised,
            large_priority: (priority > u8::MAX.into()).then_some(priority),
            large_max_failures: (max_failures > u8::MAX.into()).then_some(max_failures),
        }
    }
}

impl From<TermsRecord> for JobTerms {
    fn from(record: TermsRecord) -> Self {
        let max_failures = record.large_max_failures;
        Self {
            pool: record.pool,
            priority: record.large_priority.unwrap_or(record.priority.into()),
            max_failures: max_failures.unwrap_or(record.max_failures.into()),
            stretch: record.stretch,
            objective: record.objective,
            advised: record.advised,
        }
    }
}

impl JobTerms {
    /// Copies the settings of a catalogue entry.
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

    /// Creates terms for examples and tests.
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

/// Specification of an accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Kind of work.
    pub work: WorkName,
    /// Terms at acceptance.
    pub terms: JobTerms,
    /// Tenant that submitted the job; none where calls need no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<TenantName>,
    /// Time at which the first attempt of the request arrived.
    pub received_at: ClockTime,
    /// Key of the process on whose clock that is; none in the records of earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub received_on: Option<Arc<str>>,
    /// Payload passed to each task.
    pub payload: Arc<str>,
    /// Steps in order.
    pub steps: Vec<StepSpec>,
    /// Repetitions; none for a job that runs once and immediately.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<RepeatPlan>,
}

impl JobSpec {
    /// Validates a caller's specification.
    ///
    /// # Errors
    ///
    /// Names the invalid field and describes a valid value.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, WorkName, job::{JobSpec, JobTerms, StepSpec}};
    /// let spec = JobSpec {
    ///     work: WorkName::new("pattern-check"),
    ///     terms: JobTerms::example("moulding-desk"),
    ///     tenant: None,
    ///     received_at: ClockTime::ZERO,
    ///     received_on: None,
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
            let in_range = step.need.is_in_range();
            require(in_range, "need", "ask for at most 1,000,000,000 of each")?;
            let backward = step
                .after
                .iter()
                .all(|&earlier| usize::from(earlier) < number);
            require(backward, "dependencies", "name only earlier steps, from 0")?;
        }
        // Times that a long schedule reaches beyond the latest one never come.
        let latest = self.repeat.map_or(self.received_at, |repeat| {
            repeat.start_at.max(repeat.interval).max(self.received_at)
        });
        require(latest <= MAX_TIME, "start", "ask for an earlier time")?;
        // Occurrences that end follow each other, and those of long-running tasks are open together.
        let open_times = self.repeat.filter(|_| self.is_long_running());
        let open_times = open_times.map_or(1, |repeat| repeat.times.max(1)) as usize;
        let within_limit = self.count_tasks().saturating_mul(open_times) <= MAX_TASKS;
        require(
            within_limit,
            "count",
            "ask for at most 10,000 tasks at a time",
        )
    }

    /// Number of tasks of one occurrence.
    pub fn count_tasks(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.count)).sum()
    }

    /// Returns whether releases before the memory of jobs was bounded read the job: they allow 10,000 tasks over all
    /// occurrences.
    pub fn is_readable_by_earlier_releases(&self) -> bool {
        let times = self.repeat.map_or(1, |repeat| repeat.times.max(1)) as usize;
        self.count_tasks().saturating_mul(times) <= MAX_TASKS
    }

    /// Names of the scheduling features that the steps use, for logs.
    pub fn traits(&self) -> SmallVec<[&'static str; 4]> {
        let features: [(&'static str, StepPredicate); 10] = [
            ("long_running", |step| step.long_running),
            ("fills", |step| step.best_effort),
            ("latency_target", |step| step.target > ClockTime::ZERO),
            ("checkpoints", |step| step.checkpoints),
            ("speculative", |step| step.speculative),
            ("gang", |step| step.gang),
            ("rack", |step| step.rack_local || step.affinity.is_some()),
            ("label", |step| step.requires.is_some()),
            ("spread", |step| step.max_per_worker > 0),
            ("may_miss", |step| step.may_miss > 0),
        ];
        let used = features
            .iter()
            .filter(|(_, has)| self.steps.iter().any(has));
        used.map(|(name, _)| *name).collect()
    }

    /// True if the job runs until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// True if the job runs at once and ends by itself, so that its objective counts from its receipt.
    pub fn runs_once(&self) -> bool {
        !self.is_long_running() && self.repeat.is_none()
    }

    /// Number of steps on the longest chain of dependencies.
    pub fn chain_len(&self) -> u64 {
        let mut depths: SmallVec<[u64; 8]> = SmallVec::new();
        for step in &self.steps {
            let dependencies = step
                .after
                .iter()
                .map(|&earlier| depths[usize::from(earlier)]);
            depths.push(dependencies.max().unwrap_or(0) + 1);
        }
        depths.into_iter().max().unwrap_or(0)
    }
}

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task reached its maximum number of failures.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

pub(crate) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
