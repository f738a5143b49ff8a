//! Appends to the store that are repeated while an earlier attempt may still be answered.

use std::{future::pending, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use jacinthhoist_codec::KeyedRecord;
use jacinthhoist_core::{ClockTime, job::refusal_delay};
use tokio::time::{Instant, sleep_until};

use crate::{
    dependency::Dependency,
    error::{Category, Error, ErrorKind},
    ports::{AppendSequence, Platform, StoreStream},
    shared::MemberShared,
};

/// Time after which an attempt's connection is given up; longer than the answer of a store that is
/// sixty times slower than usual.
const ATTEMPT_TIMEOUT: ClockTime = ClockTime::from_millis(3_000);
/// Attempts at one append that may be in flight at once.
const MAX_ATTEMPTS_IN_FLIGHT: usize = 3;

/// Append that has not been confirmed.
#[derive(Debug)]
pub(crate) struct AppendFailure {
    pub(crate) error: Error,
    /// True if an attempt may have taken effect or may still do so.
    pub(crate) in_doubt: bool,
}

/// One append of a writer.
pub(crate) struct StoreAppend<'a, P> {
    pub(crate) platform: &'a P,
    pub(crate) shared: &'a MemberShared,
    /// Dependency to which the outcomes of the attempts are attributed.
    pub(crate) dependency: Dependency,
    pub(crate) stream: StoreStream,
    pub(crate) sequence: &'a AppendSequence,
    pub(crate) records: &'a [KeyedRecord],
}

impl<P: Platform> StoreAppend<'_, P> {
    /// Sends the append until the store confirms or rejects it, or until the deadline.
    ///
    /// An append without an answer is sent again on another connection, under the same sequence
    /// number, while the earlier attempt may still be answered: the answer may be late, or the
    /// connection may have gone silent.
    pub(crate) async fn send(&self, deadline: Option<Instant>) -> Result<(), AppendFailure> {
        let started_at = self.shared.clock.now();
        let mut attempts = FuturesUnordered::new();
        let (mut sent, mut refusals, mut in_doubt) = (0, 0, false);
        let mut next_at = Instant::now();
        let mut last_error = None;
        loop {
            tokio::select! {
                biased;
                Some(attempt) = attempts.next(), if !attempts.is_empty() => {
                    let Err(error): Result<(), Error> = attempt else {
                        let elapsed = self.shared.clock.now() - started_at;
                        self.shared.meter.store_time.record(elapsed.as_secs_f64());
                        return Ok(());
                    };
                    self.shared.meter.append_retries.increment(1);
                    match error.category() {
                        Category::NotDone | Category::Expired => {
                            // A refusal does not undo an earlier attempt that was not answered.
                            if attempts.is_empty() && !in_doubt {
                                return Err(AppendFailure { error, in_doubt });
                            }
                            refusals += 1;
                            next_at = Instant::now() + duration(refusal_delay(refusals));
                        }
                        Category::Fenced | Category::OutOfOrder => {
                            return Err(AppendFailure { error, in_doubt });
                        }
                        _ => in_doubt = true,
                    }
                    last_error = Some(error);
                }
                () = sleep_until(next_at), if attempts.len() < MAX_ATTEMPTS_IN_FLIGHT => {
                    attempts.push(self.attempt(ATTEMPT_TIMEOUT));
                    let delay = self.shared.append_pace.load().repeat_delay(sent);
                    next_at = Instant::now() + duration(delay);
                    sent += 1;
                }
                () = wait_deadline(deadline) => {
                    return Err(AppendFailure {
                        error: last_error.unwrap_or_else(unanswered),
                        in_doubt: true,
                    });
                }
            }
        }
    }

    /// Sends the append once, and waits for its answer as long as it takes at the store's pace.
    pub(crate) async fn probe(&self) -> Result<(), Error> {
        self.attempt(self.shared.append_pace.load().repeat_delay(1))
            .await
    }

    async fn attempt(&self, limit: ClockTime) -> Result<(), Error> {
        let asked_at = self.shared.clock.now();
        let append = self
            .platform
            .append(self.stream, self.sequence, self.records, limit);
        let appended = append.await;
        self.shared.meter.appends.increment(1);
        self.shared.record_call(self.dependency, &appended);
        if appended.is_ok() {
            let latency = self.shared.clock.now() - asked_at;
            self.shared.append_pace.rcu(|pace| pace.answered(latency));
            self.shared.record_store_answer();
        }
        appended
    }
}

fn unanswered() -> Error {
    let message = "no answer before the caller's deadline".to_owned();
    let call = "append";
    ErrorKind::NoAnswer { call, message }.into()
}

async fn wait_deadline(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => pending().await,
    }
}

/// Converts a time span for the runtime's timers.
pub(crate) fn duration(span: ClockTime) -> Duration {
    Duration::from_millis(span.as_millis())
}
