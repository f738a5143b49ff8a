//! Process of a worker, after the workers' protocol.

use std::collections::BTreeMap;

use jacinthhoist_core::{
    WorkerId,
    job::{ActiveRun, EndedRun, OrderReply, RenewalReport, StartReply, TaskEnd, TaskKey},
};

/// Longest lease that a worker accepts.
pub(crate) const LONGEST_LEASE_MS: u64 = 10_000;
/// Number of ends that a worker lists at most.
const MAX_LISTED_ENDS: usize = 20;

/// What a process has done, for the checks of the world.
#[derive(Clone, Debug)]
pub(crate) enum WorkerNote {
    Began(TaskKey, u32),
    Ended(TaskKey, u32, TaskEnd),
    /// The end of a run was acknowledged.
    Noted(TaskKey, u32),
    /// The lease lapsed.
    Lapsed,
}

#[derive(Clone, Debug)]
struct LiveRun {
    task: TaskKey,
    run: u32,
    began_at: u64,
    ends_at: u64,
    end: TaskEnd,
}

/// Renewal that waits for an end.
#[derive(Clone, Copy, Debug)]
struct OpenRenewal {
    call: u64,
    until: u64,
}

/// What a process registers of itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerShape {
    pub(crate) label: &'static str,
    /// Processor capacity, in thousandths of a core.
    pub(crate) cpu: u64,
}

/// One process of a worker.
#[derive(Debug)]
pub(crate) struct WorkerProcess {
    /// Number of the process among all.
    pub(crate) uid: u64,
    pub(crate) id: WorkerId,
    pub(crate) began_at: u64,
    pub(crate) shape: WorkerShape,
    pub(crate) is_draining: bool,
    /// Rate of the worker's clock in thousandths.
    rate: u64,
    fence: u64,
    /// End of the lease on the worker's clock; zero without one.
    deadline: u64,
    runs: Vec<LiveRun>,
    ended: Vec<EndedRun>,
    last_end: u64,
    /// Highest run of a task that was stopped or has ended.
    spent: BTreeMap<TaskKey, u32>,
    open_renewals: Vec<OpenRenewal>,
    pub(crate) notes: Vec<WorkerNote>,
}

impl WorkerProcess {
    pub(crate) fn spawn(uid: u64, id: WorkerId, shape: WorkerShape, rate: u64, now: u64) -> Self {
        Self {
            uid,
            id,
            began_at: now,
            shape,
            is_draining: false,
            rate,
            fence: 0,
            deadline: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            spent: BTreeMap::new(),
            open_renewals: Vec::new(),
            notes: Vec::new(),
        }
    }

    /// Milliseconds on the worker's clock, which begins with the process.
    pub(crate) fn clock(&self, now: u64) -> u64 {
        (now - self.began_at) * self.rate / 1_000 + 1
    }

    /// Time by which the worker's clock shows the deadline.
    fn lapse_at(&self) -> u64 {
        self.began_at + (self.deadline.saturating_sub(1) * 1_000).div_ceil(self.rate)
    }

    pub(crate) fn runs(&self) -> impl Iterator<Item = (TaskKey, u32)> {
        self.runs.iter().map(|live| (live.task, live.run))
    }

    fn extend_lease(&mut self, deadline: Option<u64>, now: u64) {
        let clock = self.clock(now);
        if self.deadline > 0 && self.deadline <= clock {
            self.notes.push(WorkerNote::Lapsed);
            self.deadline = 0;
        }
        let longest = clock + LONGEST_LEASE_MS;
        let deadline = deadline.unwrap_or_default().min(longest);
        self.deadline = self.deadline.max(deadline);
    }

    fn finish(&mut self, number: usize, end: TaskEnd) {
        let live = self.runs.remove(number);
        self.last_end += 1;
        self.ended.push(EndedRun {
            number: self.last_end,
            task: live.task,
            run: live.run,
            end,
            checkpoint: None,
        });
        let spent = self.spent.entry(live.task).or_default();
        *spent = live.run.max(*spent);
        self.notes.push(WorkerNote::Ended(live.task, live.run, end));
    }

    /// Next time at which something happens without an order.
    pub(crate) fn due_at(&self) -> Option<u64> {
        let ends = self.runs.iter().map(|live| live.ends_at);
        let lapse = (!self.runs.is_empty()).then(|| self.lapse_at());
        let waits = self.open_renewals.iter().map(|open| open.until);
        ends.chain(lapse).chain(waits).min()
    }

    /// Lets everything happen that is due.
    pub(crate) fn advance(&mut self, now: u64) {
        loop {
            let lapse_at = self.lapse_at();
            let ends = self.runs.iter().enumerate();
            let next = ends.min_by_key(|(_, live)| live.ends_at);
            let Some((number, live)) = next else {
                return;
            };
            if live.ends_at <= now && live.ends_at <= lapse_at {
                let end = live.end;
                self.finish(number, end);
            } else if lapse_at <= now {
                self.notes.push(WorkerNote::Lapsed);
                while !self.runs.is_empty() {
                    self.finish(0, TaskEnd::Lapsed);
                }
            } else {
                return;
            }
        }
    }

    /// Carries out a start order; `span` is how long the task lasts.
    pub(crate) fn start(
        &mut self,
        (task, run): (TaskKey, u32),
        token: u64,
        deadline: Option<u64>,
        has_room: bool,
        (span, end): (u64, TaskEnd),
        now: u64,
    ) -> StartReply {
        if token < self.fence {
            return StartReply::Fenced;
        }
        self.fence = token;
        self.extend_lease(deadline, now);
        if self.runs().any(|live| live == (task, run)) {
            return StartReply::Started;
        }
        if self.spent.get(&task).is_some_and(|spent| run <= *spent) {
            return StartReply::OldRun;
        }
        if self.deadline <= self.clock(now) {
            return StartReply::TooLate;
        }
        if !has_room {
            return StartReply::NoRoom;
        }
        self.runs.push(LiveRun {
            task,
            run,
            began_at: now,
            ends_at: now + span,
            end,
        });
        self.notes.push(WorkerNote::Began(task, run));
        StartReply::Started
    }

    /// Carries out a stop order; the run ends after `span`.
    pub(crate) fn stop(
        &mut self,
        (task, run): (TaskKey, u32),
        token: u64,
        span: u64,
        now: u64,
    ) -> OrderReply {
        if token < self.fence {
            return OrderReply::Fenced;
        }
        self.fence = token;
        let live = self.runs.iter_mut();
        let mut live = live.filter(|live| (live.task, live.run) == (task, run));
        if let Some(live) = live.next() {
            if live.end != TaskEnd::Stopped && now + span < live.ends_at {
                (live.ends_at, live.end) = (now + span, TaskEnd::Stopped);
            }
        } else {
            let spent = self.spent.entry(task).or_default();
            *spent = run.max(*spent);
        }
        OrderReply::Done
    }

    /// Carries out a renewal; returns false if it is fenced off. The answer is due at `until`, or with the
    /// next end.
    pub(crate) fn renew(
        &mut self,
        call: u64,
        token: u64,
        ack: u64,
        deadline: Option<u64>,
        until: u64,
        now: u64,
    ) -> bool {
        if token < self.fence {
            return false;
        }
        self.fence = token;
        self.extend_lease(deadline, now);
        let noted = self.ended.iter().filter(|row| row.number <= ack);
        let noted = noted.map(|row| WorkerNote::Noted(row.task, row.run));
        self.notes.extend(noted);
        self.ended.retain(|row| row.number > ack);
        self.open_renewals.push(OpenRenewal { call, until });
        true
    }

    /// Takes the renewals that are to be answered now.
    pub(crate) fn take_answers(&mut self, now: u64) -> Vec<u64> {
        let has_ends = !self.ended.is_empty();
        let due = |open: &mut OpenRenewal| has_ends || open.until <= now;
        let due = self.open_renewals.extract_if(.., due);
        due.map(|open| open.call).collect()
    }

    pub(crate) fn report(&self, now: u64) -> RenewalReport {
        let running = self.runs.iter().map(|live| {
            let span = (live.ends_at - live.began_at).max(1);
            ActiveRun {
                task: live.task,
                run: live.run,
                checkpoint: None,
                percent: ((now - live.began_at) * 100 / span).min(99) as u8,
                load: 0,
            }
        });
        RenewalReport {
            clock: self.clock(now),
            incarnation: Some(1_700_000_000_000 + self.began_at),
            running: running.collect(),
            ended: self.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
            has_more_ends: self.ended.len() >= MAX_LISTED_ENDS,
        }
    }
}
