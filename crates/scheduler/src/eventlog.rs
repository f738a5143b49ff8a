//! Structured log lines on standard output: JSON, bounded in rate, never blocking.
//!
//! Each kind of line has a rate of its own, so that a flood of one kind leaves the others readable;
//! lines beyond it are counted, and the next line of the kind tells how many were left out. A
//! writer of its own empties a bounded queue, so a reader that has stopped reading stops nobody.

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

/// Lines that wait for the writer; some 100 KB.
const QUEUE_LINES: NonZeroUsize = NonZeroUsize::new(512).unwrap();
/// Lines of one kind a second: enough for each request at twice the usual load.
const LINES_PER_SEC: u64 = 100;
/// The window over which lines are counted.
const WINDOW_MS: u64 = 1_000;

macro_rules! event_kinds {
    ($($variant:ident => ($name:literal, $doc:literal)),* $(,)?) => {
        /// What a line tells.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum EventKind {
            $(#[doc = $doc] $variant),*
        }

        impl EventKind {
            const ALL: &[Self] = &[$(Self::$variant),*];

            /// The name in the line.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $name),*
                }
            }
        }
    };
}

event_kinds! {
    Start => ("start", "The process has started."),
    Stop => ("stop", "The process stops."),
    Reload => ("reload", "Settings or catalogue changed."),
    Dependency => ("dependency", "A dependency was lost or regained."),
    Ownership => ("ownership", "The pools' owner changed."),
    Request => ("request", "A caller was answered."),
    JobTaken => ("job_taken", "The owner has learnt of a job."),
    Placed => ("placed", "Tasks were given to workers."),
    RunEnded => ("run_ended", "A run ended short of its goal."),
    StartRefused => ("start_refused", "A start came to nothing."),
    RunLost => ("run_lost", "A run cannot be at work any more."),
    Finished => ("finished", "A job has ended."),
    Worker => ("worker", "A worker's condition changed."),
    Vm => ("vm", "A VM was moved or maintained."),
    Wave => ("wave", "A wave went on."),
    Unreadable => ("unreadable", "Something could not be read."),
}

/// Lines of one kind in the present window.
#[derive(Debug, Default)]
struct LineGate {
    window: AtomicU64,
    lines: AtomicU64,
    dropped: AtomicU64,
}

impl LineGate {
    /// Whether a line may go out; the number that was left out before it.
    fn pass(&self, now_ms: u64) -> Option<u64> {
        let window = now_ms / WINDOW_MS;
        if self.window.swap(window, Ordering::Relaxed) != window {
            self.lines.store(0, Ordering::Relaxed);
        }
        if self.lines.fetch_add(1, Ordering::Relaxed) < LINES_PER_SEC {
            return Some(self.dropped.swap(0, Ordering::Relaxed));
        }
        self.dropped.fetch_add(1, Ordering::Relaxed);
        None
    }
}

/// Writes structured lines.
pub struct EventLog {
    member: Arc<str>,
    clock: BootClock,
    gates: Vec<LineGate>,
    logger: Arc<Logger>,
}

impl EventLog {
    /// Opens a log on standard output for a member.
    ///
    /// # Errors
    ///
    /// The writer cannot be started.
    pub fn open(member: &str) -> Result<Arc<Self>> {
        let plain = StdStreamSink::builder()
            .stdout()
            .style_mode(StyleMode::Never)
            .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
            .build_arc()
            .map_err(failed)?;
        let writer = ThreadPool::builder()
            .capacity(QUEUE_LINES)
            .build_arc()
            .map_err(failed)?;
        let sink = AsyncPoolSink::builder()
            .sink(plain)
            .thread_pool(writer)
            .overflow_policy(OverflowPolicy::DropIncoming)
            // A full queue is counted by the gate's window; there is nowhere else to tell it.
            .error_handler(|_| {})
            .build_arc()
            .map_err(failed)?;
        let log = Self::with_sink(member, BootClock::open(), sink)?;
        spdlog::set_default_logger(log.logger.clone());
        Ok(log)
    }

    /// Opens a log on another sink, with the clock that its lines tell.
    ///
    /// # Errors
    ///
    /// None for one sink.
    pub fn with_sink(member: &str, clock: BootClock, sink: Arc<dyn Sink>) -> Result<Arc<Self>> {
        let logger = Logger::builder().sink(sink).build().map_err(failed)?;
        Ok(Arc::new(Self {
            member: member.into(),
            clock,
            gates: EventKind::ALL.iter().map(|_| LineGate::default()).collect(),
            logger: Arc::new(logger),
        }))
    }

    /// Writes a line of a kind with the fields that explain it.
    pub fn write(&self, kind: EventKind, fields: Value) {
        let now = self.clock.now().as_millis();
        let Some(dropped) = self.gates[kind as usize].pass(now) else {
            return;
        };
        let mut line = Map::new();
        line.insert("at_ms".to_owned(), now.into());
        line.insert("member".to_owned(), (*self.member).into());
        line.insert("event".to_owned(), kind.as_str().into());
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        if dropped > 0 {
            line.insert("left_out".to_owned(), dropped.into());
        }
        spdlog::info!(logger: self.logger, "{}", Value::Object(line));
    }
}

fn failed(error: spdlog::Error) -> Error {
    BindSnafu {
        address: "standard output",
        message: error.to_string(),
    }
    .build()
    .into()
}

/// Builds the fields of a line.
macro_rules! event {
    ($log:expr, $kind:ident, $($field:literal : $value:expr),* $(,)?) => {
        $log.write($crate::eventlog::EventKind::$kind, serde_json::json!({ $($field: $value),* }))
    };
}

pub(crate) use event;
