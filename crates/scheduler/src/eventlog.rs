//! Structured log lines on standard output: JSON, rate-limited, non-blocking.
//!
//! Each kind of line has its own rate limit, so that a flood of one kind does not suppress the
//! others. Suppressed lines are counted, and the next line of the kind reports their number. Kinds that
//! tell why a task started or was released have no limit. A separate thread writes the lines from a
//! bounded queue, so a stalled reader blocks no caller; lines that it drops are counted too.

use std::{
    num::NonZeroUsize,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use jacinthhoist_net::BootClock;
use serde_json::{Map, Value};
use spdlog::{
    Logger, ThreadPool,
    formatter::{PatternFormatter, pattern},
    sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStreamSink},
    terminal_style::StyleMode,
};

use crate::error::{BindSnafu, Error, Result};

/// Capacity of the writer's queue; about 400 KB of text.
const QUEUE_LINES: NonZeroUsize = NonZeroUsize::new(2_048).unwrap();
/// Maximum lines of one kind per second; covers every request at twice the usual load.
const LINES_PER_SEC: u64 = 100;
/// Maximum length of a text in a line. Errors may quote what they could not decode, which has no
/// limit; its beginning tells enough.
const MAX_TEXT_BYTES: usize = 512;
/// Window over which lines are counted.
const WINDOW_MS: u64 = 1_000;

macro_rules! event_kinds {
    ($($variant:ident => ($name:literal, $doc:literal)),* $(,)?) => {
        /// Kind of log line.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum EventKind {
            $(#[doc = $doc] $variant),*
        }

        impl EventKind {
            const ALL: &[Self] = &[$(Self::$variant),*];

            /// Returns whether lines of the kind are never suppressed: they tell which run of a task was
            /// ordered, and why the one before counts as over.
            fn is_unlimited(self) -> bool {
                matches!(
                    self,
                    Self::StartSent
                        | Self::StartPostponed
                        | Self::StartRepeated
                        | Self::StartRefused
                        | Self::OrderFenced
                        | Self::RunLost
                        | Self::RunEnded
                        | Self::RunAdopted
                )
            }

            /// Returns the name of the kind in the line.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $name),*
                }
            }
        }
    };
}

event_kinds! {
    Start => ("start", "The member has started."),
    Stop => ("stop", "The member is stopping."),
    Reload => ("reload", "The settings or the catalogue have changed."),
    Dependency => ("dependency", "A dependency was lost or regained."),
    Ownership => ("ownership", "The ownership of the pools has changed."),
    Request => ("request", "A caller request was answered."),
    JobTaken => ("job_taken", "The owner has read a new job."),
    Placed => ("placed", "Tasks were assigned to workers."),
    RunEnded => ("run_ended", "A run ended without completing its task."),
    JobWaits => ("job_waits", "A job waits for what no worker of its pool has, or does so no more."),
    Tenant => ("tenant", "What a tenant has running and waiting."),
    TenantFull => ("tenant_full", "A step waits as its tenant has as much running as it may."),
    RoomHeld => ("room_held", "Room on a worker is kept for a task that waits for it."),
    StartSent => ("start_sent", "Start orders are sent, after their runs were stored."),
    StartPostponed => ("start_postponed", "Start orders whose permission ran out before they were sent wait again."),
    StartRefused => ("start_refused", "A start order did not start a run."),
    StartRepeated => ("start_repeated", "A start order without an answer is sent again."),
    OrderExpired => ("order_expired", "An order was not sent, as its permission had run out."),
    OrderFenced => ("order_fenced", "A worker has refused an order, as it has seen a newer owner."),
    RunLost => ("run_lost", "A run was lost and can no longer be active."),
    RunAdopted => ("run_adopted", "A run that was given up is in progress, and its task keeps it."),
    RunStray => ("run_stray", "A worker reports a run that belongs to no task."),
    RunStop => ("run_stop", "A run is ordered to stop."),
    RunInDoubt => ("run_in_doubt", "A run may have ended together with its worker."),
    TaskFatal => ("task_fatal", "A task was given up, as it crashes its workers."),
    Finished => ("finished", "A job has ended."),
    Pool => ("pool", "The load of a pool, once a second."),
    Memory => ("memory", "The memory that jobs take, once a second, or a job that was refused for it."),
    Leases => ("leases", "The leases that an owner without the store's confirmation has granted, once a second."),
    Worker => ("worker", "The state of a worker has changed."),
    Vm => ("vm", "A VM was ordered to move or to begin maintenance."),
    Wave => ("wave", "A maintenance wave has progressed."),
    Oversize => ("oversize", "Records were over a size limit of the store."),
    Unreadable => ("unreadable", "A record or message could not be decoded."),
}

/// Rate limiter of one kind of line.
#[derive(Debug, Default)]
struct LineLimiter {
    window: AtomicU64,
    lines: AtomicU64,
    suppressed: AtomicU64,
}

impl LineLimiter {
    /// Returns the number of lines suppressed before this one, or `None` if this one is suppressed.
    fn admit(&self, now_ms: u64) -> Option<u64> {
        let window = now_ms / WINDOW_MS;
        if self.window.swap(window, Ordering::Relaxed) != window {
            self.lines.store(0, Ordering::Relaxed);
        }
        if self.lines.fetch_add(1, Ordering::Relaxed) < LINES_PER_SEC {
            return Some(self.suppressed.swap(0, Ordering::Relaxed));
        }
        self.suppressed.fetch_add(1, Ordering::Relaxed);
        None
    }
}

/// Writer of structured log lines.
pub struct EventLog {
    member: Arc<str>,
    clock: BootClock,
    limiters: Vec<LineLimiter>,
    logger: Arc<Logger>,
    /// Number of lines that the writer's queue has dropped since the last line.
    dropped: Arc<AtomicU64>,
}

impl EventLog {
    /// Opens the log of a member on standard output.
    ///
    /// # Errors
    ///
    /// Fails if the writer thread cannot be started.
    pub fn open(member: &str) -> Result<Arc<Self>> {
        let plain = StdStreamSink::builder()
            .stdout()
            .style_mode(StyleMode::Never)
            .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
            .build_arc()
            .map_err(output_error)?;
        let writer = ThreadPool::builder()
            .capacity(QUEUE_LINES)
            .build_arc()
            .map_err(output_error)?;
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        let sink = AsyncPoolSink::builder()
            .sink(plain)
            .thread_pool(writer)
            .overflow_policy(OverflowPolicy::DropIncoming)
            // There is no other output to report a dropped line on; the next line tells the number.
            .error_handler(move |_: spdlog::Error| {
                counter.fetch_add(1, Ordering::Relaxed);
            })
            .build_arc()
            .map_err(output_error)?;
        let log = Self::with_counter(member, BootClock::start(), sink, dropped)?;
        spdlog::set_default_logger(log.logger.clone());
        Ok(log)
    }

    /// Opens the log of a member on the given sink; `clock` supplies the time of the lines.
    ///
    /// # Errors
    ///
    /// Does not fail with a single sink.
    pub fn with_sink(member: &str, clock: BootClock, sink: Arc<dyn Sink>) -> Result<Arc<Self>> {
        Self::with_counter(member, clock, sink, Arc::default())
    }

    fn with_counter(
        member: &str,
        clock: BootClock,
        sink: Arc<dyn Sink>,
        dropped: Arc<AtomicU64>,
    ) -> Result<Arc<Self>> {
        let logger = Logger::builder().sink(sink).build().map_err(output_error)?;
        Ok(Arc::new(Self {
            member: member.into(),
            clock,
            limiters: EventKind::ALL
                .iter()
                .map(|_| LineLimiter::default())
                .collect(),
            logger: Arc::new(logger),
            dropped,
        }))
    }

    /// Writes a line of the given kind with additional fields.
    pub fn write(&self, kind: EventKind, fields: Value) {
        let now = self.clock.now().as_millis();
        let admitted = if kind.is_unlimited() {
            Some(0)
        } else {
            self.limiters[kind as usize].admit(now)
        };
        let Some(suppressed) = admitted else {
            return;
        };
        let mut line = Map::new();
        line.insert("at_ms".to_owned(), now.into());
        line.insert("member".to_owned(), (*self.member).into());
        line.insert("event".to_owned(), kind.as_str().into());
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        line.values_mut().for_each(shorten);
        if suppressed > 0 {
            line.insert("left_out".to_owned(), suppressed.into());
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            line.insert("dropped".to_owned(), dropped.into());
        }
        spdlog::info!(logger: self.logger, "{}", Value::Object(line));
    }
}

/// Cuts a text off at the maximum length.
fn shorten(value: &mut Value) {
    let Value::String(text) = value else {
        return;
    };
    if text.len() > MAX_TEXT_BYTES {
        text.truncate(text.floor_char_boundary(MAX_TEXT_BYTES));
        text.push_str("...");
    }
}

fn output_error(error: spdlog::Error) -> Error {
    BindSnafu {
        address: "standard output",
        message: error.to_string(),
    }
    .build()
    .into()
}

/// Writes a log line from a list of fields.
macro_rules! event {
    ($log:expr, $kind:ident, $($field:literal : $value:expr),* $(,)?) => {
        $log.write($crate::eventlog::EventKind::$kind, serde_json::json!({ $($field: $value),* }))
    };
}

pub(crate) use event;
