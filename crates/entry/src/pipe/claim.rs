//! Claim: claims the idempotency key of a request that may run only once, in the log and before the
//! request is sent.

use std::{sync::Arc, time::Duration};

use jacinthhoist_codec::ClaimReply;
use jacinthhoist_core::{
    Admitted, Answered, Category, ClaimKey, ClaimRecord, ClaimState, Classified, ClockTime, Offset,
    Outcome, RefusalReason, Request,
};
use tokio::time::{sleep, timeout_at};

use super::{Reply, WorkCall, answer, dispatch, relay::AnswerRecorder};
use crate::context::MemberContext;

/// Pause before querying a holder again while there is no connection to it.
const HOLDER_QUERY_PAUSE: Duration = Duration::from_millis(50);

/// Result of claiming a key.
enum ClaimOutcome {
    Held(Offset),
    Taken,
    Unreachable,
}

/// Answers the request if its key has already been claimed; otherwise returns the request.
pub(super) async fn answer_repeat(
    context: &Arc<MemberContext>,
    classified: Request<Classified>,
    call: &WorkCall,
    key: &ClaimKey,
) -> Result<Reply, Request<Classified>> {
    let record = context.state.load().claims().get(key).cloned();
    let Some(record) = record else {
        return Err(classified);
    };
    let result = query_holder(context, &record, call, key, classified.deadline).await;
    let answered = classified.replay(result.outcome, result.reason);
    Ok(repeat_reply(context, answered, result.response))
}

/// Claims the key, runs the request in its own task, and waits for the reply.
///
/// The task continues if the caller disconnects, so that a repeat gets the response.
pub(super) async fn run_claimed(
    context: &Arc<MemberContext>,
    admitted: Request<Admitted>,
    call: WorkCall,
    key: ClaimKey,
) -> Result<Reply, Request<Answered>> {
    match claim_key(context, &call, &key, admitted.deadline).await {
        ClaimOutcome::Unreachable => {
            Err(admitted.replay(Outcome::NotRun, Some(RefusalReason::ClaimUnreachable)))
        }
        ClaimOutcome::Taken => {
            let record = context.state.load().claims().get(&key).cloned();
            let Some(record) = record else {
                return Err(admitted.refuse(RefusalReason::UpstreamRefused));
            };
            let result = query_holder(context, &record, &call, &key, admitted.deadline).await;
            let answered = admitted.replay(result.outcome, result.reason);
            Ok(repeat_reply(context, answered, result.response))
        }
        ClaimOutcome::Held(offset) => run_held(context, admitted, call, key, offset).await,
    }
}

async fn run_held(
    context: &Arc<MemberContext>,
    admitted: Request<Admitted>,
    call: WorkCall,
    key: ClaimKey,
    offset: Offset,
) -> Result<Reply, Request<Answered>> {
    let recorder = AnswerRecorder::start(context, key, offset);
    let context = context.clone();
    let (id, received_at) = (admitted.id, admitted.received_at);
    let task = tokio::spawn(async move {
        let mut recorder = Some(recorder);
        let ended = dispatch::run(&context, admitted, &call, &mut recorder).await;
        let not_run = |end: &Request<Answered>| end.phase.outcome == Outcome::NotRun;
        if let (Err(end), Some(recorder)) = (&ended, recorder)
            && not_run(end)
        {
            recorder.release();
        }
        ended
    });
    match task.await {
        Ok(ended) => ended,
        Err(_) => {
            // The task fails only if the runtime shuts down, when the request may have been sent.
            Err(Request::from_lost_task(id, received_at))
        }
    }
}

async fn claim_key(
    context: &MemberContext,
    call: &WorkCall,
    key: &ClaimKey,
    deadline: ClockTime,
) -> ClaimOutcome {
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
        Some(Ok(offset)) => ClaimOutcome::Held(offset),
        Some(Err(rejection)) if rejection.category == Category::Claim => ClaimOutcome::Taken,
        Some(Err(_)) | None => ClaimOutcome::Unreachable,
    }
}

/// Result of the claimed request, as reported to the caller of a repeat.
struct RepeatResult {
    outcome: Outcome,
    reason: Option<RefusalReason>,
    response: Option<jacinthhoist_codec::StoredResponse>,
}

impl RepeatResult {
    fn refused(outcome: Outcome, reason: RefusalReason) -> Self {
        Self {
            outcome,
            reason: Some(reason),
            response: None,
        }
    }
}

/// Queries the member that holds a claim for the result of the request.
async fn query_holder(
    context: &Arc<MemberContext>,
    record: &ClaimRecord,
    call: &WorkCall,
    key: &ClaimKey,
    deadline: ClockTime,
) -> RepeatResult {
    if record.digest != call.digest() {
        return RepeatResult::refused(Outcome::NotRun, RefusalReason::KeyReused);
    }
    let is_own = record.holder == context.name && record.nonce == context.nonce;
    let until = context.clock.instant(deadline);
    let query = async {
        if is_own {
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
            // The connection to the holder is being opened; a live holder still has the result.
            sleep(HOLDER_QUERY_PAUSE).await;
        }
        None
    };
    let reply = match timeout_at(until, query).await {
        Ok(reply) => reply,
        Err(_) => Some(ClaimReply::Running),
    };
    repeat_result(record, reply)
}

fn repeat_result(record: &ClaimRecord, reply: Option<ClaimReply>) -> RepeatResult {
    let outcome_of = |status: u16| {
        if status >= 500 {
            Outcome::Failed
        } else {
            Outcome::Done
        }
    };
    match reply {
        Some(ClaimReply::Answer(response)) => {
            let outcome = outcome_of(response.status);
            let reason = (outcome == Outcome::Failed).then_some(RefusalReason::UpstreamFailed);
            RepeatResult {
                outcome,
                reason,
                response: Some(response),
            }
        }
        Some(ClaimReply::Running) => {
            RepeatResult::refused(Outcome::Unknown, RefusalReason::KeyInUse)
        }
        Some(ClaimReply::Released) => {
            RepeatResult::refused(Outcome::NotRun, RefusalReason::UpstreamRefused)
        }
        Some(ClaimReply::Unknown) => {
            RepeatResult::refused(Outcome::Unknown, RefusalReason::ConnectionLost)
        }
        Some(ClaimReply::Gone) | None => match record.state {
            ClaimState::Settled(status) => {
                RepeatResult::refused(outcome_of(status), RefusalReason::AnswerGone)
            }
            ClaimState::Held => RepeatResult::refused(Outcome::Unknown, RefusalReason::HolderGone),
        },
    }
}

fn repeat_reply(
    context: &MemberContext,
    answered: Request<Answered>,
    response: Option<jacinthhoist_codec::StoredResponse>,
) -> Reply {
    match response {
        Some(response) => answer::cached(context, answered, response),
        None => answer::refusal(context, answered),
    }
}
