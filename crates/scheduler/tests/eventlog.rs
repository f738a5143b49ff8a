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

/// Guards against a line as long as the record that it complains of: each owner that reads a list
/// with such a record wrote a megabyte to its log.
#[test]
fn a_line_does_not_quote_a_record_in_full() {
    let output = SharedOutput::default();
    let sink = WriteSink::builder()
        .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
        .target(output.clone())
        .build_arc()
        .unwrap();
    let log = EventLog::with_sink("entry-1", BootClock::start(), sink).unwrap();
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
