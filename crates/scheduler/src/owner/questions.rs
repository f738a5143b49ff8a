//! Questions about jobs that the owner does not know.
//!
//! Another member may have accepted such a job before the question was put. Only a read of accepted jobs
//! that was asked after the question shows that there is none.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use jacinthhoist_codec::JobReply;
use jacinthhoist_core::ClockTime;
use tokio::sync::Notify;

use crate::peer::JobQuery;

/// Time after which a question that no read has answered is given up; the longest wait of callers that
/// state none. Others ask again.
const MAX_QUESTION_AGE: ClockTime = ClockTime::from_millis(2_000);

/// Number of a question in the order in which they were put; the first is one. The clock does not tell
/// whether a read was asked before or after a question of the same millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QuestionNumber(u64);

/// Demand for reads of accepted jobs.
#[derive(Debug, Default)]
pub(super) struct ReadDemand {
    /// Number of the last question.
    put: AtomicU64,
    wake: Notify,
}

impl ReadDemand {
    fn put(&self) -> QuestionNumber {
        let number = self.put.fetch_add(1, Ordering::AcqRel) + 1;
        self.wake.notify_one();
        QuestionNumber(number)
    }

    /// Waits for a question after `covered`, and returns the number of the last question. A read asked from
    /// now on covers the questions up to it.
    pub(super) async fn after(&self, covered: QuestionNumber) -> QuestionNumber {
        loop {
            let last = QuestionNumber(self.put.load(Ordering::Acquire));
            if last > covered {
                return last;
            }
            self.wake.notified().await;
        }
    }
}

/// Question that has not been answered.
struct OpenQuestion {
    number: QuestionNumber,
    query: JobQuery,
    put_at: ClockTime,
}

/// Questions that wait for a read, in the order in which they were put.
pub(super) struct OpenQuestions {
    demand: Arc<ReadDemand>,
    waiting: VecDeque<OpenQuestion>,
    /// Number of the last question that a read covers.
    covered: QuestionNumber,
    /// Time at which the newest records were last listed. They do not show a job that a later owner has
    /// completed and removed.
    listed_at: ClockTime,
}

impl OpenQuestions {
    /// Begins after a list of the newest records that ended at `listed_at`.
    pub(super) fn open(demand: Arc<ReadDemand>, listed_at: ClockTime) -> Self {
        Self {
            demand,
            waiting: VecDeque::new(),
            covered: QuestionNumber::default(),
            listed_at,
        }
    }

    /// Adds a question.
    pub(super) fn put(&mut self, query: JobQuery, put_at: ClockTime) {
        let number = self.demand.put();
        self.waiting.push_back(OpenQuestion {
            number,
            query,
            put_at,
        });
    }

    /// Records that all jobs are known that a read shows which covers the questions up to a number.
    pub(super) fn record_read(&mut self, covered: QuestionNumber) {
        self.covered = covered;
    }

    /// Records that the newest records were listed again.
    pub(super) fn record_list(&mut self, listed_at: ClockTime) {
        self.listed_at = listed_at;
    }

    /// Answers the questions that a read covers, and those that have waited too long. `owned_at` is the
    /// time of the last evidence that no other member owns the pools; `find` looks up a job.
    pub(super) fn settle(
        &mut self,
        owned_at: ClockTime,
        now: ClockTime,
        find: impl Fn(&JobQuery) -> Option<JobReply>,
    ) {
        let owned = owned_at > self.listed_at;
        while let Some(first) = self.waiting.front() {
            let unknown = if owned && first.number <= self.covered {
                JobReply::Missing
            } else if now >= first.put_at + MAX_QUESTION_AGE {
                JobReply::Unsure
            } else {
                return;
            };
            if let Some(question) = self.waiting.pop_front() {
                // The sender of the question may no longer be waiting.
                let answer = find(&question.query).unwrap_or(unknown);
                let _ = question.query.reply.send(answer);
            }
        }
    }
}
