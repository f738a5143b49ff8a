//! Read stage: follows the log from its newest complete snapshot, across outages and expired
//! records.

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

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Task that follows the log.
pub(crate) struct ReadTask {
    pub(crate) context: Arc<MemberContext>,
    pub(crate) fold: FoldHandle,
}

impl ReadTask {
    /// Runs until the member has ended.
    pub(crate) async fn run(self) {
        let platform = &self.context.settings.platform;
        let mut log = LogClient::open(platform.log_address, &platform.log_stream);
        let mut initial_end = None;
        let ended = self.context.wait_for_stop(StopPhase::Ended);
        tokio::pin!(ended);
        let mut failing = false;
        loop {
            let result = tokio::select! {
                result = self.read_once(&mut log, &mut initial_end) => result,
                () = &mut ended => return,
            };
            if let Err(error) = &result {
                if !failing {
                    log_line!(warn, Control, "failed to read the log, retrying: {error}");
                }
                // Limits the rate of requests while the log is unavailable.
                sleep(RETRY_DELAY).await;
            }
            failing = result.is_err();
        }
    }

    /// Performs one read and applies its result.
    async fn read_once(&self, log: &mut LogClient, initial_end: &mut Option<Offset>) -> Result<()> {
        let from = self.context.state.load().next_offset();
        let page = log.read(from, self.context.is_caught_up()).await?;
        let end = *initial_end.get_or_insert(page.next);
        if page.first > from {
            self.recover(log, &page).await?;
        } else {
            self.fold.fold(page.records).await;
        }
        let reached = self.context.state.load().next_offset();
        self.context.record_log_read(reached >= end);
        Ok(())
    }

    /// Loads the newest complete snapshot, because the records that follow the applied state have
    /// expired.
    async fn recover(&self, log: &mut LogClient, page: &LogPage) -> Result<()> {
        let mut newest = None;
        let mut assembler = SnapshotAssembler::default();
        let mut from = page.first;
        while from < page.next {
            let scanned = log.read(from, false).await?;
            let Some(last) = scanned.records.last() else {
                break;
            };
            from = last.offset.next();
            for record in &scanned.records {
                newest = snapshot_in(&record.text, &mut assembler).or(newest);
            }
        }
        let usable = newest.filter(|state: &FoldState| state.next_offset() >= page.first);
        let found = usable.is_some();
        if let Some(state) = usable {
            self.fold.load(state).await;
        } else {
            // A peer may send the missing records or append a snapshot, so a later read may
            // succeed.
            sleep(RETRY_DELAY).await;
        }
        self.context.set_log_gap(!found);
        Ok(())
    }
}

/// Returns the snapshot that a record completes, if any.
fn snapshot_in(text: &str, assembler: &mut SnapshotAssembler) -> Option<FoldState> {
    let record = decode_record(text).ok()?;
    let mut found = None;
    for step in &record.steps {
        let Step::Snapshot(part) = step else {
            continue;
        };
        if let Some(complete_text) = assembler.add(part) {
            found = decode_snapshot(&complete_text, part.digest).ok().or(found);
        }
    }
    found
}
