//! Memory that accepted jobs take at the owner of the pools, and at the member that takes over from it.
//!
//! Pattern: callers hand in schedules or large jobs by the hundred, each of which is small on the wire. What
//! all open jobs may take is bounded before they are stored, since each later owner loads them too.

use std::mem::size_of;

use serde::{Deserialize, Serialize};

use crate::{clock::ClockTime, name::WorkerId};

use super::{
    admit::{JobRefusal, RefusalGround},
    occurrence::StepTasks,
    spec::{JobSpec, StepSpec},
    task::AnyTask,
};

/// Share of a member's memory for accepted jobs, as one over this number: a takeover holds the records and the
/// state of the jobs at once, beside the buffers and connections of a busy member.
const MEMORY_DIVISOR: u64 = 4;
/// Share of the memory for jobs that those may take which wait for their time or last until they are cancelled,
/// as one over this number. The rest is for jobs that end by themselves.
const LASTING_DIVISOR: u64 = 2;
/// Part of their share that jobs which have fallen behind their schedules leave to others, as one over this number.
const BEHIND_DIVISOR: u64 = 4;
/// Largest part of the room that is left for one job, as one over this number: room for smaller jobs remains.
const JOB_DIVISOR: u64 = 8;
/// Bytes of a job besides its steps and tasks: its state, names, payload header and places in maps, and the
/// overhead of the allocator; docs/CAPACITY.md has the measurement.
const JOB_BYTES: u64 = 1_600;
/// Bytes of a job that has ended, while its state can still be queried.
const CLOSED_JOB_BYTES: u64 = 300;
/// Bytes of a task with a run besides its state: its charge at the worker, the worker's id and its checkpoint.
const RUN_BYTES: u64 = 160;
/// Overhead of the allocator for one allocation.
const ALLOCATION_BYTES: u64 = 16;
/// Retry delay if all the room is taken by jobs whose end is not known.
const UNKNOWN_END_RETRY: ClockTime = ClockTime::from_secs(60);
/// Shortest retry delay given to a refused caller.
const MIN_RETRY: ClockTime = ClockTime::from_millis(1_000);

/// Returns the memory for accepted jobs on a machine with the given memory.
///
/// ```
/// use jacinthhoist_core::job::job_memory;
/// assert_eq!(job_memory(260 << 20), 65 << 20);
/// ```
pub const fn job_memory(machine_bytes: u64) -> u64 {
    machine_bytes / MEMORY_DIVISOR
}

/// Bytes of the state of one occurrence of a job whose tasks have all had runs.
fn occurrence_bytes(spec: &JobSpec) -> u64 {
    let steps = spec.steps.len() as u64;
    let tasks = spec.count_tasks() as u64;
    let per_step = size_of::<StepTasks>() as u64 + ALLOCATION_BYTES;
    // The vector of a step grows by doubling.
    let per_task = 2 * size_of::<AnyTask>() as u64 + RUN_BYTES;
    steps * per_step + tasks * per_task
}

/// Bytes that a job takes at the owner, with one open occurrence. Tasks that run until they are cancelled take
/// theirs in all occurrences.
///
/// ```
/// use jacinthhoist_core::{ClockTime, WorkName, job::{JobSpec, JobTerms, StepSpec, job_bytes}};
/// let spec = |count| JobSpec {
///     work: WorkName::new("pattern-check"),
///     terms: JobTerms::example("moulding-desk"),
///     tenant: None,
///     received_at: ClockTime::ZERO,
///     received_on: None,
///     payload: "drain cover 4".into(),
///     steps: vec![StepSpec { count, ..StepSpec::default() }],
///     repeat: None,
/// };
/// assert!(job_bytes(&spec(1)) < 4_000);
/// assert!(job_bytes(&spec(10_000)) > 10_000 * 100);
/// ```
pub fn job_bytes(spec: &JobSpec) -> u64 {
    let steps = spec.steps.iter();
    let described: u64 = steps
        .map(|step| {
            let texts = [&step.requires, &step.image].into_iter().flatten();
            let texts: usize = texts.map(|text| text.len() + size_of::<WorkerId>()).sum();
            let spilled = if step.after.spilled() {
                2 * step.after.len()
            } else {
                0
            };
            (size_of::<StepSpec>() + texts + spilled) as u64
        })
        .sum();
    let occurrences = match spec.repeat {
        Some(plan) if spec.is_long_running() => u64::from(plan.times.max(1)),
        _ => 1,
    };
    let open = occurrence_bytes(spec).saturating_mul(occurrences);
    let fixed = JOB_BYTES + spec.payload.len() as u64 + described;
    fixed.saturating_add(open)
}

/// Room for further open occurrences of jobs that have fallen behind their schedules.
#[derive(Clone, Copy, Debug)]
pub struct MemoryRoom {
    left: u64,
    taken: u64,
}

impl MemoryRoom {
    /// Creates room of the given size.
    fn new(left: u64) -> Self {
        Self { left, taken: 0 }
    }

    /// Bytes that have been taken.
    pub(super) fn taken(&self) -> u64 {
        self.taken
    }

    /// Takes what an occurrence of the job needs; returns false if that is not left.
    pub(super) fn take(&mut self, spec: &JobSpec) -> bool {
        let bytes = occurrence_bytes(spec);
        let Some(left) = self.left.checked_sub(bytes) else {
            return false;
        };
        self.left = left;
        self.taken += bytes;
        true
    }
}

/// Memory that jobs take at the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    /// Bytes of the jobs that end by themselves.
    pub finite: u64,
    /// Bytes of the jobs that wait for their time or last until they are cancelled.
    pub lasting: u64,
    /// Bytes of what is kept of ended jobs, and of cancellations that arrived before their jobs.
    pub closed: u64,
}

impl MemoryUsage {
    /// Adds an open job.
    pub(super) fn add(&mut self, spec: &JobSpec, bytes: u64, extra_occurrences: usize) {
        let extra = occurrence_bytes(spec).saturating_mul(extra_occurrences as u64);
        let bytes = bytes.saturating_add(extra);
        let sum = if spec.runs_once() {
            &mut self.finite
        } else {
            &mut self.lasting
        };
        *sum = sum.saturating_add(bytes);
    }

    /// Adds occurrences of scheduled jobs that have been opened.
    pub(super) fn add_opened(&mut self, bytes: u64) {
        self.lasting = self.lasting.saturating_add(bytes);
    }

    /// Sets the number of ended jobs and early cancellations.
    pub(super) fn set_closed(&mut self, count: usize) {
        self.closed = CLOSED_JOB_BYTES * count as u64;
    }

    /// Bytes in all.
    pub fn total(&self) -> u64 {
        let open = self.finite.saturating_add(self.lasting);
        open.saturating_add(self.closed)
    }

    /// Returns the room for further open occurrences of jobs that have fallen behind their schedules. They leave
    /// a part of what there is for schedules to those that are handed in meanwhile.
    pub(super) fn occurrence_room(&self, budget: u64) -> MemoryRoom {
        let share = budget / LASTING_DIVISOR;
        let share = share - share / BEHIND_DIVISOR;
        let left = budget.saturating_sub(self.total());
        MemoryRoom::new(share.saturating_sub(self.lasting).min(left))
    }

    /// Returns what is left of a budget.
    pub fn report(
        &self,
        budget: u64,
        members: u32,
        lasting_frees_in: Option<ClockTime>,
    ) -> MemoryReport {
        let room = budget.saturating_sub(self.total());
        let lasting_room = (budget / LASTING_DIVISOR).saturating_sub(self.lasting);
        MemoryReport {
            room,
            lasting_room: lasting_room.min(room),
            members,
            lasting_frees_in,
        }
    }
}

/// Room for further jobs, as the owner reports it to the other members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryReport {
    /// Bytes that are left for jobs that end by themselves.
    pub room: u64,
    /// Bytes that are left for jobs that wait for their time or last until they are cancelled.
    pub lasting_room: u64,
    /// Number of members that store jobs.
    pub members: u32,
    /// Time until the first of the scheduled jobs has run its last time; none if there are none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lasting_frees_in: Option<ClockTime>,
}

impl MemoryReport {
    /// Assumption of a member that knows no owner's report: a part of its own budget.
    pub fn unknown(budget: u64) -> Self {
        let room = budget / JOB_DIVISOR;
        Self {
            room,
            lasting_room: room / LASTING_DIVISOR,
            members: 1,
            lasting_frees_in: None,
        }
    }

    /// Returns the part of the room that one of the members may fill by itself.
    #[must_use]
    pub fn share(&self) -> Self {
        let members = u64::from(self.members.max(1));
        Self {
            room: self.room / members,
            lasting_room: self.lasting_room / members,
            ..*self
        }
    }

    /// Returns the room that is left once jobs of these sizes have been stored.
    #[must_use]
    pub fn less(&self, finite: u64, lasting: u64) -> Self {
        Self {
            room: self.room.saturating_sub(finite.saturating_add(lasting)),
            lasting_room: self.lasting_room.saturating_sub(lasting),
            ..*self
        }
    }

    /// Returns whether a job fits into the room and leaves most of it to others.
    pub fn has_room(&self, size: JobSize) -> bool {
        let room = if size.lasts {
            self.lasting_room
        } else {
            self.room
        };
        size.bytes <= room / JOB_DIVISOR
    }

    /// Decides whether a job may be stored. `drain` is the time in which its pool works off its backlog, which
    /// frees the room of the jobs in it.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, job::{JobSize, MemoryReport}};
    /// let report = MemoryReport {
    ///     room: 80_000,
    ///     lasting_room: 8_000,
    ///     members: 1,
    ///     lasting_frees_in: Some(ClockTime::from_secs(90)),
    /// };
    /// let drain = ClockTime::from_secs(4);
    /// assert!(report.admit(JobSize { bytes: 3_000, lasts: false }, drain).is_ok());
    /// let large = JobSize { bytes: 12_000, lasts: false };
    /// assert_eq!(report.admit(large, drain).unwrap_err().retry_after, drain);
    /// let schedule = JobSize { bytes: 3_000, lasts: true };
    /// let refusal = report.admit(schedule, drain).unwrap_err();
    /// assert_eq!(refusal.retry_after, ClockTime::from_secs(90));
    /// ```
    ///
    /// # Errors
    ///
    /// The refusal, with the delay after which room is expected.
    pub fn admit(&self, size: JobSize, drain: ClockTime) -> Result<(), JobRefusal> {
        if self.has_room(size) {
            return Ok(());
        }
        let retry_after = if size.lasts {
            self.lasting_frees_in.unwrap_or(UNKNOWN_END_RETRY)
        } else {
            drain
        };
        Err(JobRefusal {
            retry_after: retry_after.max(MIN_RETRY),
            ground: RefusalGround::Memory,
        })
    }
}

/// What a job takes of the memory for jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSize {
    /// Bytes at the owner.
    pub bytes: u64,
    /// True if it waits for its time or lasts until it is cancelled.
    pub lasts: bool,
}

impl JobSize {
    /// Returns the size of a job.
    pub fn of(spec: &JobSpec) -> Self {
        Self {
            bytes: job_bytes(spec),
            lasts: !spec.runs_once(),
        }
    }
}
