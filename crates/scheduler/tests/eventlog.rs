//! Log lines: bounded, whatever they quote.

use std::{io, sync::Arc};

use arc_swap::ArcSwap;
use jacinthhoist_net::BootClock;
use jacinthhoist_scheduler::{EventKind, EventLog};
use serde_json::{Value, json};
use spdlog::{
    formatter::{PatternFormatter, pattern},
    sink::WriteSink,
};

/// Output that keeps what was written.
#[derive(Clone, Default)]
struct SharedOutput(Arc<ArcSwap<Vec<u8>>>);

impl io::Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.rcu(|written| [written.as_slice(), bytes].concat());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn open_log(output: &SharedOutput) -> Arc<EventLog> {
    let sink = WriteSink::builder()
        .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
        .target(output.clone())
        .build_arc()
        .unwrap();
    EventLog::with_sink("entry-1", BootClock::start(), sink).unwrap()
}

/// Guards against a trace without the line that tells why a task was started again: these lines were
/// left out above a rate (issue 49).
#[test]
fn lines_that_release_or_start_a_task_are_never_left_out() {
    const LINES: usize = 1_000;
    let kinds = [
        EventKind::StartSent,
        EventKind::StartRepeated,
        EventKind::StartRefused,
        EventKind::OrderFenced,
        EventKind::RunLost,
        EventKind::RunEnded,
        EventKind::RunAdopted,
    ];
    for kind in kinds {
        let output = SharedOutput::default();
        let log = open_log(&output);
        for run in 0..LINES {
            log.write(kind, json!({"run": run}));
        }
        let written = String::from_utf8(output.0.load().to_vec()).unwrap();
        assert_eq!(written.lines().count(), LINES, "{}", kind.as_str());
        assert!(!written.contains("left_out"));
    }
    let output = SharedOutput::default();
    let log = open_log(&output);
    for number in 0..LINES {
        log.write(EventKind::Placed, json!({"number": number}));
    }
    let written = String::from_utf8(output.0.load().to_vec()).unwrap();
    assert!(written.lines().count() < LINES, "other kinds are limited");
}

/// Guards against a line as long as the record that it complains of: each owner that reads a list
/// with such a record wrote a megabyte to its log.
#[test]
fn a_line_does_not_quote_a_record_in_full() {
    let output = SharedOutput::default();
    let log = open_log(&output);
    let reason = format!("invalid type: string \"{}\"", "é".repeat(500_000));
    let key = "k".repeat(255);
    log.write(
        EventKind::Unreadable,
        json!({"key": key, "reason": reason, "bytes": 7}),
    );
    let written = output.0.load();
    assert!(written.len() < 2_000, "{} bytes", written.len());
    let line: Value = serde_json::from_slice(&written).unwrap();
    assert_eq!(line["key"], key);
    assert_eq!(line["bytes"], 7);
    let logged = line["reason"].as_str().unwrap();
    assert!(
        logged.starts_with("invalid type") && logged.ends_with("..."),
        "{logged}"
    );
}
