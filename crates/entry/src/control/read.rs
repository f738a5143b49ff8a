//! Read: follows the log from its newest whole snapshot, through outages and expired records.

use std::{sync::Arc, time::Duration};

use jacinthhoist_codec::{LogPage, decode_record, decode_snapshot};
use jacinthhoist_core::{FoldState, Offset, SnapshotAssembler, Step};
use tokio::time::sleep;

use super::FoldHandle;
use crate::{
    context::{MemberContext, StopPhase},
    error::Result,
    logs::log_line,
    platform::LogClient,
};

/// Pause after a failed read.
const FAILED_PAUSE: Duration = Duration::from_millis(250);

/// Follows the log.
pub(crate) struct ReadTask {
    pub(crate) context: Arc<MemberContext>,
    pub(crate) fold: FoldHandle,
}

impl ReadTask {
    /// Runs until the member has ended.
    pub(crate) async fn run(self) {
        let platform = &self.context.settings.platform;
        let mut log = LogClient::open(platform.log_address, &platform.log_stream);
        let mut end_at_start = None;
        let ended = self.context.wait_for_stop(StopPhase::Ended);
        tokio::pin!(ended);
        let mut failing = false;
        loop {
            let turn = tokio::select! {
                turn = self.turn(&mut log, &mut end_at_start) => turn,
                () = &mut ended => return,
            };
            if let Err(error) = &turn {
                if !failing {
                    log_line!(warn, Control, "The log was not read: {error}.");
                }
                // The log is down: pause before asking it again.
                sleep(FAILED_PAUSE).await;
            }
            failing = turn.is_err();
        }
    }

    /// One read with what follows from it.
    async fn turn(&self, log: &mut LogClient, end_at_start: &mut Option<Offset>) -> Result<()> {
        let from = self.context.state.load().next_offset();
        let page = log.read(from, self.context.is_caught_up()).await?;
        let end = *end_at_start.get_or_insert(page.next);
        if page.first > from {
            self.recover(log, &page).await?;
        } else {
            self.fold.fold(page.records).await;
        }
        let reached = self.context.state.load().next_offset();
        self.context.record_log_read(reached >= end);
        Ok(())
    }

    /// Loads the newest whole snapshot, because records from here on have expired.
    async fn recover(&self, log: &mut LogClient, page: &LogPage) -> Result<()> {
        let mut newest = None;
        let mut parts = SnapshotAssembler::default();
        let mut from = page.first;
        while from < page.next {
            let scanned = log.read(from, false).await?;
            let Some(last) = scanned.records.last() else {
                break;
            };
            from = last.offset.next();
            for record in &scanned.records {
                newest = snapshot_in(&record.text, &mut parts).or(newest);
            }
        }
        let usable = newest.filter(|state: &FoldState| state.next_offset() >= page.first);
        let found = usable.is_some();
        if let Some(state) = usable {
            self.fold.load(state).await;
        } else {
            // A peer may hold the state, or append a snapshot: ask again later.
            sleep(FAILED_PAUSE).await;
        }
        self.context.set_log_gap(!found);
        Ok(())
    }
}

/// The snapshot that a record completes, if it does.
fn snapshot_in(text: &str, parts: &mut SnapshotAssembler) -> Option<FoldState> {
    let record = decode_record(text).ok()?;
    let mut found = None;
    for step in &record.steps {
        let Step::Snapshot(part) = step else {
            continue;
        };
        if let Some(whole) = parts.add(part) {
            found = decode_snapshot(&whole, part.digest).ok().or(found);
        }
    }
    found
}
