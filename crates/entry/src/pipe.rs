//! The request pipe: accept → classify → admit → claim → queue → place → dispatch → relay.
//!
//! Each stage takes a request in one phase of its life cycle and returns it in the next phase, or
//! answered.

mod accept;
mod admit;
mod answer;
mod claim;
mod classify;
mod dispatch;
mod headers;
mod health;
mod lease;
mod queue;
mod relay;
mod threads;

use std::sync::Arc;

use bytes::Bytes;
use hyper::{Response, body::Incoming, header::HeaderValue, http::request::Parts};
use jacinthhoist_core::{Answered, ClaimKey, Request};

pub(crate) use accept::serve_callers;
pub(crate) use queue::QueueHandle;
pub(crate) use relay::AnswerBody;
pub(crate) use threads::thread_index;

use crate::{
    context::MemberContext,
    routes::{PoolRoute, WorkRoute},
};

/// Data of a request that is independent of its phase.
#[derive(Clone)]
pub(crate) struct WorkCall {
    pub(crate) work: Arc<WorkRoute>,
    pub(crate) head: Arc<Parts>,
    /// Path and query to request from the upstream.
    pub(crate) target: String,
    pub(crate) key: Option<ClaimKey>,
    pub(crate) body: Bytes,
    pub(crate) request_id: String,
    /// Progress that an upstream checkpointed, for the next upstream to resume from.
    pub(crate) progress: Option<HeaderValue>,
}

impl WorkCall {
    /// Returns the current route of the pool, if there is one.
    pub(crate) fn pool(&self, context: &MemberContext) -> Option<Arc<PoolRoute>> {
        context.routes.load().pools.get(&self.work.pool).cloned()
    }
}

/// An answered request and the response for its caller.
pub(crate) struct Reply {
    pub(crate) request: Request<Answered>,
    pub(crate) response: Response<AnswerBody>,
}

/// Takes a caller's request through all stages of the pipe.
pub(crate) async fn serve(
    context: Arc<MemberContext>,
    request: hyper::Request<Incoming>,
) -> Response<AnswerBody> {
    context.meter.requests.increment(1);
    let number = context.next_request_number();
    let reply = match run(&context, number, request).await {
        Ok(reply) => reply,
        Err(answered) => answer::refusal(&context, answered),
    };
    let Answered { outcome, reason } = reply.request.phase;
    context.meter.count_outcome(outcome);
    if let Some(reason) = reason {
        context.meter.count_refusal(reason);
    }
    reply.response
}

async fn run(
    context: &Arc<MemberContext>,
    number: u64,
    request: hyper::Request<Incoming>,
) -> Result<Reply, Request<Answered>> {
    let received = Request::receive(number, context.clock.now());
    let (parts, mut incoming) = request.into_parts();
    let (classified, mut call) = match classify::classify(context, received, parts) {
        Ok(classified) => classified,
        Err(answered) => {
            classify::discard_body(&mut incoming).await;
            return Err(answered);
        }
    };
    let (classified, body) = classify::read_body(context, classified, incoming).await?;
    call.body = body;
    let classified = match call.key.clone() {
        Some(key) => match claim::answer_repeat(context, classified, &call, &key).await {
            Ok(reply) => return Ok(reply),
            Err(classified) => classified,
        },
        None => classified,
    };
    let classified = admit::check_accepting(context, classified)?;
    let admitted = admit::admit(context, classified, &call)?;
    match call.key.clone() {
        Some(key) => claim::run_claimed(context, admitted, call, key).await,
        None => dispatch::run(context, admitted, &call, &mut None).await,
    }
}
