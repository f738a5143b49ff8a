//! Snapshot task: appends the replicated state well before the records that it is based on expire.

use std::{sync::Arc, time::Duration};

use jacinthhoist_codec::encode_snapshot;
use jacinthhoist_core::{ClockTime, MemberName, Offset, Step, rendezvous_rank};
use tokio::time::interval;

use crate::{
    context::{MemberContext, StopPhase},
    logs::log_line,
};

/// Maximum size of a snapshot part in one record.
const MAX_PART_BYTES: usize = 262_144;
/// Interval between checks for a due snapshot.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum number of records since the last snapshot, per VM and claim in the state.
const MIN_RECORDS_PER_ITEM: u64 = 2;
/// Number of checks by which each further rank delays its attempt.
const CHECKS_PER_RANK: usize = 10;

/// Task that appends snapshots.
pub(crate) struct SnapshotTask {
    pub(crate) context: Arc<MemberContext>,
}

impl SnapshotTask {
    /// Runs until the member has ended.
    pub(crate) async fn run(self) {
        let context = &self.context;
        let mut tick = interval(CHECK_INTERVAL);
        let ended = context.wait_for_stop(StopPhase::Ended);
        tokio::pin!(ended);
        let mut newest: Option<Offset> = None;
        let mut newest_at = context.clock.now();
        let mut due_checks = 0;
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = &mut ended => return,
            }
            let state = context.state.load_full();
            if !context.is_member() || !context.is_caught_up() {
                continue;
            }
            if state.snapshot() != newest {
                newest = state.snapshot();
                newest_at = context.clock.now();
                due_checks = 0;
            }
            if !self.is_due(newest, newest_at) {
                continue;
            }
            due_checks += 1;
            let members: Vec<MemberName> = state
                .members()
                .live()
                .map(|record| record.join.member.clone())
                .collect();
            let rank = rendezvous_rank(&members, &context.name, "snapshot");
            // One member attempts it every `CHECKS_PER_RANK` checks, in rank order, until a snapshot is
            // accepted.
            if due_checks % (CHECKS_PER_RANK * members.len()) != rank * CHECKS_PER_RANK + 1 {
                continue;
            }
            self.append();
        }
    }

    fn is_due(&self, newest: Option<Offset>, newest_at: ClockTime) -> bool {
        let limits = &self.context.settings.limits;
        let state = self.context.state.load();
        let next_offset = state.next_offset();
        let records_since =
            next_offset.0 - newest.map_or(0, |offset| offset.next().0.min(next_offset.0));
        let age = self.context.clock.now() - newest_at;
        let age_exceeded = age >= ClockTime::from_secs(limits.snapshot_secs) && records_since > 1;
        // A snapshot should cost less than the records that it allows a new member to skip.
        let size = (state.claims().len() + state.fleet().vms().count()) as u64;
        records_since >= limits.snapshot_records.max(MIN_RECORDS_PER_ITEM * size) || age_exceeded
    }

    fn append(&self) {
        let state = self.context.state.load_full();
        match encode_snapshot(&state, MAX_PART_BYTES) {
            Ok(parts) => {
                self.context.meter.snapshots.increment(1);
                for part in parts {
                    self.context
                        .proposals
                        .propose_detached(Step::Snapshot(part));
                }
            }
            Err(error) => log_line!(error, Control, "failed to encode a snapshot: {error}"),
        }
    }
}
