//! Dispatch: place, send, and decide on the answer's head whether to relay or to try again.

use std::{sync::Arc, time::Duration};

use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    body::{Body, Incoming},
    header::{self, HeaderValue},
};
use jacinthhoist_codec::{
    HEADER_CHECKPOINT, HEADER_KEY, HEADER_LEASE, HEADER_LEAVING, HEADER_OUTCOME, HEADER_REQUEST,
};
use jacinthhoist_core::{
    Admitted, Answered, Attempted, ClockTime, Dispatched, Outcome, Placed, RefusalReason, Request,
    RetryReason,
};

use super::{
    Reply, WorkCall, answer, headers, health,
    lease::WorkLease,
    queue,
    relay::{AnswerBody, KeepAnswer, RelayParts},
};
use crate::{
    clock::span,
    context::MemberContext,
    routes::{SlotGrant, VmRoute},
    upstream::{Exchange, UpstreamConnection},
};

/// How long an upstream that says it is leaving gets no new work, unless it is listed as gone.
const LEAVING_MS: u64 = 10_000;

/// Takes an admitted request to its answer, with retries where they are allowed.
///
/// `keep` is taken when an answer is relayed, and left where the request ended without one.
pub(super) async fn run(
    context: &Arc<MemberContext>,
    mut admitted: Request<Admitted>,
    call: &WorkCall,
    keep: &mut Option<KeepAnswer>,
) -> Result<Reply, Request<Answered>> {
    if let Some(pool) = call.pool(context) {
        pool.load.retries.deposit();
    }
    let mut call = call.clone();
    loop {
        let (placed, grant) = queue::place(context, admitted, &call).await?;
        admitted = match attempt(context, placed, grant, &call, keep).await {
            AttemptEnd::Replied(reply) => return Ok(*reply),
            AttemptEnd::Retry(next) => next,
            AttemptEnd::Checkpointed(next, progress) => {
                call.progress = Some(progress);
                next
            }
            AttemptEnd::Ended(answered) => return Err(answered),
        };
    }
}

enum AttemptEnd {
    Replied(Box<Reply>),
    Retry(Request<Admitted>),
    Checkpointed(Request<Admitted>, HeaderValue),
    Ended(Request<Answered>),
}

/// Another attempt, if the rules and the pool's retry budget allow one.
fn try_again(
    context: &MemberContext,
    attempted: Request<Attempted>,
    call: &WorkCall,
) -> Result<Request<Admitted>, Request<Attempted>> {
    let now = context.clock.now();
    let reason = attempted.phase.reason;
    let paid = attempted.may_retry(now)
        && !call.work.load.health.fails_everywhere()
        && call
            .pool(context)
            .is_some_and(|pool| pool.load.retries.try_withdraw());
    if !paid {
        return Err(attempted);
    }
    let admitted = attempted.retry(now)?;
    context.meter.retried(reason);
    Ok(admitted)
}

/// Another attempt, or the end.
fn try_or_end(
    context: &MemberContext,
    attempted: Request<Attempted>,
    call: &WorkCall,
) -> AttemptEnd {
    match try_again(context, attempted, call) {
        Ok(admitted) => AttemptEnd::Retry(admitted),
        Err(attempted) => AttemptEnd::Ended(attempted.give_up()),
    }
}

/// One attempt on one VM.
async fn attempt(
    context: &Arc<MemberContext>,
    placed: Request<Placed>,
    grant: SlotGrant,
    call: &WorkCall,
    keep: &mut Option<KeepAnswer>,
) -> AttemptEnd {
    let Some(vm) = grant.vm().cloned() else {
        return try_or_end(
            context,
            placed.fail_unsent(RetryReason::ConnectFailed),
            call,
        );
    };
    context.meter.attempts.increment(1);
    let now = context.clock.now();
    let Some(connection) = connect(context, &vm, &placed, now).await else {
        health::note_failure(context, &call.work, &vm, placed.phase.vm);
        return try_or_end(
            context,
            placed.fail_unsent(RetryReason::ConnectFailed),
            call,
        );
    };
    let limit = answer_limit(&placed, context.clock.now());
    let upstream_request = match build(call, &vm, context.settings.limits.lease_ms) {
        Ok(request) => request,
        Err(_) => return AttemptEnd::Ended(placed.refuse(RefusalReason::Malformed)),
    };
    let dispatched = placed.dispatch();
    let long_work = call.work.entry.checkpoint;
    let lease = long_work
        .then(|| WorkLease::spawn(context, call, &vm))
        .flatten();
    let exchange = connection.exchange(upstream_request, limit).await;
    if let (Exchange::Answered(..), Some(lease)) = (&exchange, lease) {
        lease.end();
    }
    let (reason, not_run) = match exchange {
        Exchange::Answered(response, connection) => {
            let answered = AnsweredHead {
                response,
                connection,
                vm,
                grant,
                started: now,
            };
            return judge(context, dispatched, call, answered, keep);
        }
        Exchange::NotSent => (RetryReason::ConnectionLost, true),
        Exchange::Lost => (RetryReason::ConnectionLost, false),
        Exchange::Silent => (RetryReason::AnswerTimeout, false),
    };
    health::note_failure(context, &call.work, &vm, dispatched.phase.vm);
    if reason == RetryReason::AnswerTimeout {
        // The others may be as silent as this one was.
        context.record_silence(now);
        vm.endpoint.connections.clear();
    }
    try_or_end(context, dispatched.fail_attempt(reason, not_run), call)
}

async fn connect(
    context: &MemberContext,
    vm: &VmRoute,
    placed: &Request<Placed>,
    now: ClockTime,
) -> Option<UpstreamConnection> {
    let limits = &context.settings.limits;
    let once = !placed.is_repeatable();
    let first = placed.attempted_vms.len() <= 1;
    let fresh_since = match (once, first) {
        (false, true) => None,
        (true, true) => Some(context.fresh_since(now)),
        (_, false) => Some(now),
    };
    let limit = Duration::from_millis(limits.connect_ms);
    vm.endpoint
        .connections
        .take(vm.address, fresh_since, now, limit)
        .await
}

/// How long this attempt may wait: half of what is left where another may follow.
///
/// Work under a lease may take all that is left: the lease tells a lost upstream from a slow one.
fn answer_limit(placed: &Request<Placed>, now: ClockTime) -> Duration {
    let left = span(placed.deadline - now);
    let cap = placed
        .work
        .as_ref()
        .map_or(1, |(_, entry)| entry.max_attempts as usize);
    let leased = placed
        .work
        .as_ref()
        .is_some_and(|(_, entry)| entry.checkpoint);
    let last = leased || !placed.is_repeatable() || placed.attempted_vms.len() >= cap;
    if last { left } else { left / 2 }
}

fn build(
    call: &WorkCall,
    vm: &VmRoute,
    lease_ms: u64,
) -> Result<hyper::Request<Full<bytes::Bytes>>, hyper::http::Error> {
    let mut request = hyper::Request::builder()
        .method(call.head.method.clone())
        .uri(&call.target)
        .body(Full::new(call.body.clone()))?;
    let headers = request.headers_mut();
    *headers = headers::end_to_end(&call.head.headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(HEADER_KEY);
    headers.insert(header::HOST, vm.address.to_string().parse()?);
    headers.insert(HEADER_REQUEST, call.request_id.parse()?);
    if call.work.entry.checkpoint {
        headers.insert(HEADER_LEASE, HeaderValue::from(lease_ms));
    }
    if let Some(progress) = &call.progress {
        headers.insert(HEADER_CHECKPOINT, progress.clone());
    }
    Ok(request)
}

/// An answer's head with what it came on.
struct AnsweredHead {
    response: Response<Incoming>,
    connection: UpstreamConnection,
    vm: Arc<VmRoute>,
    grant: SlotGrant,
    started: ClockTime,
}

/// Decides on an answer's head.
fn judge(
    context: &Arc<MemberContext>,
    dispatched: Request<Dispatched>,
    call: &WorkCall,
    answered: AnsweredHead,
    keep: &mut Option<KeepAnswer>,
) -> AttemptEnd {
    let head = answered.response.headers();
    let vm = &answered.vm;
    let now = context.clock.now();
    if head.contains_key(HEADER_LEAVING) {
        vm.endpoint
            .leave_until(now + ClockTime::from_millis(LEAVING_MS));
    }
    let echoed = head.get(HEADER_REQUEST);
    if echoed.is_some_and(|id| id.as_bytes() != call.request_id.as_bytes()) {
        health::note_failure(context, &call.work, vm, dispatched.phase.vm);
        vm.endpoint.connections.clear();
        return try_or_end(
            context,
            dispatched.fail_attempt(RetryReason::AnswerCrossed, false),
            call,
        );
    }
    if let Some(progress) = head.get(HEADER_CHECKPOINT).cloned() {
        return AttemptEnd::Checkpointed(dispatched.requeue_checkpointed(), progress);
    }
    let status = answered.response.status();
    let refused = head
        .get(HEADER_OUTCOME)
        .is_some_and(|value| value == Outcome::NotRun.as_str());
    if refused && status == StatusCode::SERVICE_UNAVAILABLE {
        return try_or_end(
            context,
            dispatched.fail_attempt(RetryReason::UpstreamRefused, true),
            call,
        );
    }
    if status.is_server_error() {
        health::note_failure(context, &call.work, vm, dispatched.phase.vm);
        let attempted = dispatched.fail_attempt(RetryReason::UpstreamFailed, false);
        return match try_again(context, attempted, call) {
            Ok(admitted) => AttemptEnd::Retry(admitted),
            Err(attempted) => {
                let end = attempted.give_up();
                AttemptEnd::Replied(Box::new(relay(context, end, call, answered, keep)))
            }
        };
    }
    let known_end = answered.response.body().size_hint().exact().is_some()
        || head.contains_key(header::TRANSFER_ENCODING);
    if !known_end {
        let end = dispatched.relay(Outcome::Unknown, Some(RefusalReason::AnswerCut));
        return AttemptEnd::Replied(Box::new(answer::refusal(context, end)));
    }
    let end = dispatched.relay(Outcome::Done, None);
    AttemptEnd::Replied(Box::new(relay(context, end, call, answered, keep)))
}

fn relay(
    context: &Arc<MemberContext>,
    end: Request<Answered>,
    call: &WorkCall,
    answered: AnsweredHead,
    keep: &mut Option<KeepAnswer>,
) -> Reply {
    let AnsweredHead {
        response,
        connection,
        vm,
        grant,
        started,
    } = answered;
    let (parts, incoming) = response.into_parts();
    let content_type = parts
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    if let Some(keep) = keep.as_mut() {
        keep.note_head(parts.status.as_u16(), content_type);
    }
    let relay = RelayParts {
        context: context.clone(),
        work: call.work.clone(),
        connection,
        vm,
        vm_index: grant.index(),
        grant,
        started,
        keep: keep.take(),
        ran_well: end.phase.outcome == Outcome::Done,
    };
    let mut response = Response::new(AnswerBody::relay(incoming, relay));
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers::end_to_end(&parts.headers);
    answer::mark(response.headers_mut(), end.phase.outcome, &call.request_id);
    Reply {
        request: end,
        response,
    }
}
