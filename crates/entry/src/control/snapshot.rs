//! Snapshot: appends the folded state well before records it rests on expire.

use std::{sync::Arc, time::Duration};

use jacinthhoist_codec::encode_snapshot;
use jacinthhoist_core::{ClockTime, MemberName, Offset, Step, rendezvous_rank};
use tokio::time::interval;

use crate::{
    context::{MemberContext, StopPhase},
    logs::log_line,
};

/// Bytes of a snapshot in one record.
const PART_BYTES: usize = 262_144;
/// How often it looks whether a snapshot is due.
const RECHECK: Duration = Duration::from_millis(500);
/// Records for each VM and claim in the state before a snapshot pays.
const SIZE_TIMES: u64 = 2;
/// Checks that each further rank lets pass before it steps in.
const RANK_CHECKS: usize = 10;

/// Appends snapshots.
pub(crate) struct SnapshotTask {
    pub(crate) context: Arc<MemberContext>,
}

impl SnapshotTask {
    /// Runs until the member has ended.
    pub(crate) async fn run(self) {
        let context = &self.context;
        let mut tick = interval(RECHECK);
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
            if due_checks % (RANK_CHECKS * members.len()) != rank * RANK_CHECKS + 1 {
                continue;
            }
            self.append();
        }
    }

    fn is_due(&self, newest: Option<Offset>, newest_at: ClockTime) -> bool {
        let limits = &self.context.settings.limits;
        let state = self.context.state.load();
        let folded = state.next_offset();
        let behind = folded.0 - newest.map_or(0, |offset| offset.next().0.min(folded.0));
        let age = self.context.clock.now() - newest_at;
        let old = age >= ClockTime::from_secs(limits.snapshot_secs) && behind > 1;
        // A snapshot should cost less than the records that it saves a cold member.
        let size = (state.claims().len() + state.fleet().vms().count()) as u64;
        behind >= limits.snapshot_records.max(SIZE_TIMES * size) || old
    }

    fn append(&self) {
        let state = self.context.state.load_full();
        match encode_snapshot(&state, PART_BYTES) {
            Ok(parts) => {
                self.context.meter.snapshots.increment(1);
                for part in parts {
                    self.context.proposals.post(Step::Snapshot(part));
                }
            }
            Err(error) => log_line!(error, Control, "A snapshot was not encoded: {error}."),
        }
    }
}
