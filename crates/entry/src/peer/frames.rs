//! Handling of frames from a peer, whichever side opened the connection.

use std::sync::Arc;

use jacinthhoist_codec::{HeartbeatFrame, HelloFrame, LogRecord, PeerFrame};
use jacinthhoist_core::{ClockTime, Offset};
use tokio::sync::mpsc;

use super::loans::{self, GrantedLoan, LoanTable};
use crate::{context::MemberContext, control::FoldHandle};

/// Maximum number of records in a frame.
const MAX_FRAME_RECORDS: usize = 256;
/// Time since the last successful read of the log after which records are requested from peers.
const LOG_STALE_AFTER: ClockTime = ClockTime::from_millis(2_500);

/// Returns true unless the replicated state shows that the peer's incarnation is no longer live.
pub(super) fn is_current(context: &MemberContext, hello: &HelloFrame) -> bool {
    let state = context.state.load();
    let known = state.members().get(&hello.member);
    known.is_none_or(|record| record.live && record.join.nonce == hello.nonce)
}

/// Creates a heartbeat with the last offset applied by this member and no pool loads.
pub(super) fn offset_heartbeat(context: &MemberContext, seq: u64) -> HeartbeatFrame {
    HeartbeatFrame {
        seq,
        folded: context.state.load().folded(),
        pools: Vec::new(),
    }
}

/// Handles a frame; replies are sent to `reply`.
pub(super) fn handle(
    context: &Arc<MemberContext>,
    fold: &FoldHandle,
    peer: &HelloFrame,
    loan_table: &mut LoanTable,
    frame: PeerFrame,
    reply: &mpsc::UnboundedSender<PeerFrame>,
) {
    // Sending fails only if the connection has just ended.
    let send_reply = |frame: PeerFrame| drop(reply.send(frame));
    match frame {
        PeerFrame::Beat(heartbeat) => {
            context.peers.record_heartbeat(
                &peer.member,
                peer.nonce,
                &heartbeat,
                context.clock.now(),
            );
            if let Some(offset) = missing_from(context, heartbeat.folded) {
                send_reply(PeerFrame::Want { from: offset });
            }
        }
        PeerFrame::Borrow { id, pool, slots } => {
            let loans = loans::lend(context, loan_table, id, &pool, slots);
            let span_ms = context.settings.limits.loan_ms;
            send_reply(PeerFrame::Lend {
                id,
                pool,
                loans,
                span_ms,
            });
        }
        PeerFrame::Lend {
            id,
            pool,
            loans,
            span_ms,
        } => {
            loans::use_loan(
                context,
                &GrantedLoan {
                    id,
                    pool,
                    loans,
                    span_ms,
                },
                reply,
            );
        }
        PeerFrame::Return { id } => loan_table.end_loan(id),
        PeerFrame::Want { from } => send_reply(PeerFrame::Records {
            records: tail_from(context, from),
        }),
        PeerFrame::Records { records } => fold.offer(records),
        PeerFrame::AskClaim { id, key } => {
            let (context, reply) = (context.clone(), reply.clone());
            tokio::spawn(async move {
                let claim_reply = context.own_claim_reply(&key).await;
                // The connection may have ended in the meantime.
                let _ = reply.send(PeerFrame::TellClaim {
                    id,
                    reply: claim_reply,
                });
            });
        }
        PeerFrame::Hello(_) | PeerFrame::TellClaim { .. } => {}
    }
}

/// Returns the first offset to request from a peer that is ahead while this member cannot read the
/// log.
fn missing_from(context: &MemberContext, peer_folded: Option<Offset>) -> Option<Offset> {
    let log_is_stale = context.log_age().is_none_or(|age| age > LOG_STALE_AFTER);
    let own = context.state.load().folded();
    (log_is_stale && own.is_some() && peer_folded > own).then(|| context.state.load().next_offset())
}

fn tail_from(context: &MemberContext, from: Offset) -> Vec<LogRecord> {
    let tail = context.log_tail.load();
    let newer = tail.iter().filter(|record| record.offset >= from);
    newer.take(MAX_FRAME_RECORDS).cloned().collect()
}
