//! What a member does with a peer's frame, whichever side opened the connection.

use std::sync::Arc;

use jacinthhoist_codec::{HeartbeatFrame, HelloFrame, LogRecord, PeerFrame};
use jacinthhoist_core::{ClockTime, Offset};
use tokio::sync::mpsc;

use super::lend::{self, GrantedLoan, LoanBook};
use crate::{context::MemberContext, control::FoldHandle};

/// Records sent to a peer at once.
const TAIL_AT_ONCE: usize = 256;
/// Time without reading the log after which peers are asked for records.
const LOG_STALE: ClockTime = ClockTime::from_millis(2_500);

/// Whether a greeting is of a peer's present incarnation, as far as this member knows.
pub(super) fn is_current(context: &MemberContext, hello: &HelloFrame) -> bool {
    let state = context.state.load();
    let known = state.members().get(&hello.member);
    known.is_none_or(|record| record.live && record.join.nonce == hello.nonce)
}

/// The heartbeat that says how far this member has folded.
pub(super) fn plain_beat(context: &MemberContext, seq: u64) -> HeartbeatFrame {
    HeartbeatFrame {
        seq,
        folded: context.state.load().folded(),
        pools: Vec::new(),
    }
}

/// Takes in a frame; answers go to `reply`.
pub(super) fn take(
    context: &Arc<MemberContext>,
    fold: &FoldHandle,
    from: &HelloFrame,
    book: &mut LoanBook,
    frame: PeerFrame,
    reply: &mpsc::UnboundedSender<PeerFrame>,
) {
    // A reply fails only where the connection has just ended.
    let answer = |frame: PeerFrame| drop(reply.send(frame));
    match frame {
        PeerFrame::Beat(beat) => {
            context
                .peers
                .note_beat(&from.member, from.nonce, &beat, context.clock.now());
            if let Some(want) = wanted(context, beat.folded) {
                answer(PeerFrame::Want { from: want });
            }
        }
        PeerFrame::Borrow { id, pool, slots } => {
            let loans = lend::lend(context, book, id, &pool, slots);
            let span_ms = context.settings.limits.loan_ms;
            answer(PeerFrame::Lend {
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
            lend::take_loan(
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
        PeerFrame::Return { id } => book.give_back(id),
        PeerFrame::Want { from } => answer(PeerFrame::Records {
            records: tail(context, from),
        }),
        PeerFrame::Records { records } => fold.offer(records),
        PeerFrame::AskClaim { id, key } => {
            let (context, reply) = (context.clone(), reply.clone());
            tokio::spawn(async move {
                let told = context.own_claim_reply(&key).await;
                // The asker may have gone away meanwhile.
                let _ = reply.send(PeerFrame::TellClaim { id, reply: told });
            });
        }
        PeerFrame::Hello(_) | PeerFrame::TellClaim { .. } => {}
    }
}

/// The offset this member wants from a peer that is ahead, while it cannot read the log itself.
fn wanted(context: &MemberContext, theirs: Option<Offset>) -> Option<Offset> {
    let stale = context.log_age().is_none_or(|age| age > LOG_STALE);
    let own = context.state.load().folded();
    (stale && own.is_some() && theirs > own).then(|| context.state.load().next_offset())
}

fn tail(context: &MemberContext, from: Offset) -> Vec<LogRecord> {
    let tail = context.log_tail.load();
    let newer = tail.iter().filter(|record| record.offset >= from);
    newer.take(TAIL_AT_ONCE).cloned().collect()
}
