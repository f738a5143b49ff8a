//! Claim: a keyed request that may run once only is claimed in the log before it is sent.

use std::{sync::Arc, time::Duration};

use jacinthhoist_codec::ClaimReply;
use jacinthhoist_core::{
    Admitted, Answered, Category, ClaimKey, ClaimRecord, ClaimState, Classified, ClockTime, Offset,
    Outcome, RefusalReason, Request,
};
use tokio::time::{sleep, timeout_at};

use super::{Reply, WorkCall, answer, dispatch, relay::KeepAnswer};
use crate::context::MemberContext;

/// Pause before a holder without a link is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// How a claim ended.
enum ClaimEnd {
    Held(Offset),
    Taken,
    Unreachable,
}

/// Answers a repeat of a key that is claimed already; otherwise gives the request back.
pub(super) async fn find_repeat(
    context: &Arc<MemberContext>,
    classified: Request<Classified>,
    call: &WorkCall,
    key: &ClaimKey,
) -> Result<Reply, Request<Classified>> {
    let record = context.state.load().claims().get(key).cloned();
    let Some(record) = record else {
        return Err(classified);
    };
    let told = ask_holder(context, &record, call, key, classified.deadline).await;
    let answered = classified.replay(told.outcome, told.reason);
    Ok(told_reply(context, answered, told.reply))
}

/// Claims the key, runs the request in a task of its own, and waits for its answer.
///
/// The task goes on when the caller goes away, so that a repeat finds the answer.
pub(super) async fn run_claimed(
    context: &Arc<MemberContext>,
    admitted: Request<Admitted>,
    call: WorkCall,
    key: ClaimKey,
) -> Result<Reply, Request<Answered>> {
    match claim(context, &call, &key, admitted.deadline).await {
        ClaimEnd::Unreachable => {
            Err(admitted.replay(Outcome::NotRun, Some(RefusalReason::ClaimUnreachable)))
        }
        ClaimEnd::Taken => {
            let record = context.state.load().claims().get(&key).cloned();
            let Some(record) = record else {
                return Err(admitted.refuse(RefusalReason::UpstreamRefused));
            };
            let told = ask_holder(context, &record, &call, &key, admitted.deadline).await;
            let answered = admitted.replay(told.outcome, told.reason);
            Ok(told_reply(context, answered, told.reply))
        }
        ClaimEnd::Held(offset) => run_held(context, admitted, call, key, offset).await,
    }
}

async fn run_held(
    context: &Arc<MemberContext>,
    admitted: Request<Admitted>,
    call: WorkCall,
    key: ClaimKey,
    offset: Offset,
) -> Result<Reply, Request<Answered>> {
    let keep = KeepAnswer::begin(context, key, offset);
    let context = context.clone();
    let (id, received_at) = (admitted.id, admitted.received_at);
    let task = tokio::spawn(async move {
        let mut keep = Some(keep);
        let ended = dispatch::run(&context, admitted, &call, &mut keep).await;
        let not_run = |end: &Request<Answered>| end.phase.outcome == Outcome::NotRun;
        if let (Err(end), Some(keep)) = (&ended, keep)
            && not_run(end)
        {
            keep.release();
        }
        ended
    });
    match task.await {
        Ok(ended) => ended,
        Err(_) => {
            // The task can only fail by the runtime's end, after the request may have been sent.
            Err(Request::from_lost_task(id, received_at))
        }
    }
}

async fn claim(
    context: &MemberContext,
    call: &WorkCall,
    key: &ClaimKey,
    deadline: ClockTime,
) -> ClaimEnd {
    let mut verdict = context.proposals.claim(key.clone(), call.digest());
    let waited = timeout_at(context.clock.instant(deadline), &mut verdict).await;
    let verdict = match waited {
        Ok(verdict) => verdict.ok(),
        Err(_) => {
            verdict.close();
            verdict.try_recv().ok()
        }
    };
    match verdict {
        Some(Ok(offset)) => ClaimEnd::Held(offset),
        Some(Err(rejection)) if rejection.category == Category::Claim => ClaimEnd::Taken,
        Some(Err(_)) | None => ClaimEnd::Unreachable,
    }
}

/// What the caller of a repeat is told.
struct Told {
    outcome: Outcome,
    reason: Option<RefusalReason>,
    reply: Option<jacinthhoist_codec::StoredResponse>,
}

impl Told {
    fn refused(outcome: Outcome, reason: RefusalReason) -> Self {
        Self {
            outcome,
            reason: Some(reason),
            reply: None,
        }
    }
}

/// Asks the member that holds a claim what became of its request.
async fn ask_holder(
    context: &Arc<MemberContext>,
    record: &ClaimRecord,
    call: &WorkCall,
    key: &ClaimKey,
    deadline: ClockTime,
) -> Told {
    if record.digest != call.digest() {
        return Told::refused(Outcome::NotRun, RefusalReason::KeyReused);
    }
    let own = record.holder == context.name && record.nonce == context.nonce;
    let until = context.clock.instant(deadline);
    let asked = async {
        if own {
            return Some(context.own_claim_reply(key).await);
        }
        while context
            .state
            .load()
            .members()
            .is_live(&record.holder, record.nonce)
        {
            if let Some(reply) = context.peers.query_claim(&record.holder, key.clone()).await {
                return Some(reply);
            }
            // The link to the holder is being opened: a live holder still has the answer.
            sleep(ASK_AGAIN).await;
        }
        None
    };
    let reply = match timeout_at(until, asked).await {
        Ok(reply) => reply,
        Err(_) => Some(ClaimReply::Running),
    };
    tell(record, reply)
}

fn tell(record: &ClaimRecord, reply: Option<ClaimReply>) -> Told {
    let ran = |status: u16| {
        if status >= 500 {
            Outcome::Failed
        } else {
            Outcome::Done
        }
    };
    match reply {
        Some(ClaimReply::Answer(answer)) => {
            let outcome = ran(answer.status);
            let reason = (outcome == Outcome::Failed).then_some(RefusalReason::UpstreamFailed);
            Told {
                outcome,
                reason,
                reply: Some(answer),
            }
        }
        Some(ClaimReply::Running) => Told::refused(Outcome::Unknown, RefusalReason::KeyInUse),
        Some(ClaimReply::Released) => {
            Told::refused(Outcome::NotRun, RefusalReason::UpstreamRefused)
        }
        Some(ClaimReply::Unknown) => Told::refused(Outcome::Unknown, RefusalReason::ConnectionLost),
        Some(ClaimReply::Gone) | None => match record.state {
            ClaimState::Settled(status) => Told::refused(ran(status), RefusalReason::AnswerGone),
            ClaimState::Held => Told::refused(Outcome::Unknown, RefusalReason::HolderGone),
        },
    }
}

fn told_reply(
    context: &MemberContext,
    answered: Request<Answered>,
    reply: Option<jacinthhoist_codec::StoredResponse>,
) -> Reply {
    match reply {
        Some(kept) => answer::kept(context, answered, kept),
        None => answer::refusal(context, answered),
    }
}
