//! Dispatch: places and sends a request, and decides by the head of the response whether to relay
//! it or to retry.

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
    relay::{AnswerBody, AnswerRecorder, RelayParts},
};
use crate::{
    clock::to_duration,
    context::MemberContext,
    routes::{SlotGrant, VmRoute},
    upstream::{ExchangeResult, UpstreamConnection},
};

/// Time for which an upstream that announced its departure gets no new work. After that it gets
/// work again unless the VM list shows that it is gone.
const LEAVING_HOLD_MS: u64 = 10_000;

/// Runs an admitted request until it is answered, with retries if they are allowed.
///
/// `recorder` is taken if a response is relayed, and left in place if the request ends without one.
pub(super) async fn run(
    context: &Arc<MemberContext>,
    mut admitted: Request<Admitted>,
    call: &WorkCall,
    recorder: &mut Option<AnswerRecorder>,
) -> Result<Reply, Request<Answered>> {
    if let Some(pool) = call.pool(context) {
        pool.counters.retries.deposit();
    }
    let mut call = call.clone();
    loop {
        let (placed, grant) = queue::place(context, admitted, &call).await?;
        admitted = match attempt(context, placed, grant, &call, recorder).await {
            AttemptOutcome::Replied(reply) => return Ok(*reply),
            AttemptOutcome::Retry(next) => next,
            AttemptOutcome::Checkpointed(next, progress) => {
                call.progress = Some(progress);
                next
            }
            AttemptOutcome::Ended(answered) => return Err(answered),
        };
    }
}

enum AttemptOutcome {
    Replied(Box<Reply>),
    Retry(Request<Admitted>),
    Checkpointed(Request<Admitted>, HeaderValue),
    Ended(Request<Answered>),
}

/// Readmits the request for another attempt, if the retry rules and the pool's retry budget allow
/// it.
fn try_retry(
    context: &MemberContext,
    attempted: Request<Attempted>,
    call: &WorkCall,
) -> Result<Request<Admitted>, Request<Attempted>> {
    let now = context.clock.now();
    let reason = attempted.phase.reason;
    let allowed = attempted.may_retry(now)
        && !call.work.counters.health.fails_everywhere()
        && call
            .pool(context)
            .is_some_and(|pool| pool.counters.retries.try_withdraw());
    if !allowed {
        return Err(attempted);
    }
    let admitted = attempted.retry(now)?;
    context.meter.count_retry(reason);
    Ok(admitted)
}

/// Readmits the request for another attempt, or ends it.
fn retry_or_end(
    context: &MemberContext,
    attempted: Request<Attempted>,
    call: &WorkCall,
) -> AttemptOutcome {
    match try_retry(context, attempted, call) {
        Ok(admitted) => AttemptOutcome::Retry(admitted),
        Err(attempted) => AttemptOutcome::Ended(attempted.give_up()),
    }
}

/// Makes one attempt on one VM.
async fn attempt(
    context: &Arc<MemberContext>,
    placed: Request<Placed>,
    grant: SlotGrant,
    call: &WorkCall,
    recorder: &mut Option<AnswerRecorder>,
) -> AttemptOutcome {
    let Some(vm) = grant.vm().cloned() else {
        return retry_or_end(
            context,
            placed.fail_unsent(RetryReason::ConnectFailed),
            call,
        );
    };
    context.meter.attempts.increment(1);
    let now = context.clock.now();
    let Some(connection) = connect(context, &vm, &placed, now).await else {
        health::record_failure(context, &call.work, &vm, placed.phase.vm);
        return retry_or_end(
            context,
            placed.fail_unsent(RetryReason::ConnectFailed),
            call,
        );
    };
    let limit = attempt_timeout(&placed, context.clock.now());
    let upstream_request = match build_request(call, &vm, context.settings.limits.lease_ms) {
        Ok(request) => request,
        Err(_) => return AttemptOutcome::Ended(placed.refuse(RefusalReason::Malformed)),
    };
    let dispatched = placed.dispatch();
    let needs_lease = call.work.entry.checkpoint;
    let lease = needs_lease
        .then(|| WorkLease::spawn(context, call, &vm))
        .flatten();
    let exchange = connection.exchange(upstream_request, limit).await;
    if let (ExchangeResult::Answered(..), Some(lease)) = (&exchange, lease) {
        lease.end();
    }
    let (reason, not_run) = match exchange {
        ExchangeResult::Answered(response, connection) => {
            let received = ResponseHead {
                response,
                connection,
                vm,
                grant,
                started: now,
            };
            return handle_response(context, dispatched, call, received, recorder);
        }
        ExchangeResult::NotSent => (RetryReason::ConnectionLost, true),
        ExchangeResult::Lost => (RetryReason::ConnectionLost, false),
        ExchangeResult::TimedOut => (RetryReason::AnswerTimeout, false),
    };
    health::record_failure(context, &call.work, &vm, dispatched.phase.vm);
    if reason == RetryReason::AnswerTimeout {
        // The other idle connections may be dead too.
        context.record_timeout(now);
        vm.endpoint.connections.clear();
    }
    retry_or_end(context, dispatched.fail_attempt(reason, not_run), call)
}

/// Returns a connection: for the first attempt an idle one if possible, which must be fresh unless
/// the work is repeatable; for a retry a new one.
async fn connect(
    context: &MemberContext,
    vm: &VmRoute,
    placed: &Request<Placed>,
    now: ClockTime,
) -> Option<UpstreamConnection> {
    let limits = &context.settings.limits;
    let runs_once = !placed.is_repeatable();
    let is_first = placed.attempted_vms.len() <= 1;
    let fresh_since = match (runs_once, is_first) {
        (false, true) => None,
        (true, true) => Some(context.fresh_since(now)),
        (_, false) => Some(now),
    };
    let limit = Duration::from_millis(limits.connect_ms);
    vm.endpoint
        .connections
        .acquire(vm.address, fresh_since, now, limit)
        .await
}

/// Returns the timeout of this attempt: half of the remaining time if another attempt may follow.
///
/// Work under a lease gets all of the remaining time, because the lease distinguishes a lost
/// upstream from a slow one.
fn attempt_timeout(placed: &Request<Placed>, now: ClockTime) -> Duration {
    let remaining = to_duration(placed.deadline - now);
    let max_attempts = placed
        .work
        .as_ref()
        .map_or(1, |(_, entry)| entry.max_attempts as usize);
    let leased = placed
        .work
        .as_ref()
        .is_some_and(|(_, entry)| entry.checkpoint);
    let is_last = leased || !placed.is_repeatable() || placed.attempted_vms.len() >= max_attempts;
    if is_last { remaining } else { remaining / 2 }
}

fn build_request(
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

/// Response whose head was received, with the resources that it holds.
struct ResponseHead {
    response: Response<Incoming>,
    connection: UpstreamConnection,
    vm: Arc<VmRoute>,
    grant: SlotGrant,
    started: ClockTime,
}

/// Decides by the head of a response whether to relay it, to retry or to resume elsewhere.
fn handle_response(
    context: &Arc<MemberContext>,
    dispatched: Request<Dispatched>,
    call: &WorkCall,
    received: ResponseHead,
    recorder: &mut Option<AnswerRecorder>,
) -> AttemptOutcome {
    let head = received.response.headers();
    let vm = &received.vm;
    let now = context.clock.now();
    if head.contains_key(HEADER_LEAVING) {
        vm.endpoint
            .mark_leaving(now + ClockTime::from_millis(LEAVING_HOLD_MS));
    }
    let echoed_id = head.get(HEADER_REQUEST);
    if echoed_id.is_some_and(|id| id.as_bytes() != call.request_id.as_bytes()) {
        health::record_failure(context, &call.work, vm, dispatched.phase.vm);
        vm.endpoint.connections.clear();
        return retry_or_end(
            context,
            dispatched.fail_attempt(RetryReason::AnswerCrossed, false),
            call,
        );
    }
    if let Some(progress) = head.get(HEADER_CHECKPOINT).cloned() {
        return AttemptOutcome::Checkpointed(dispatched.requeue_checkpointed(), progress);
    }
    let status = received.response.status();
    let refused = head
        .get(HEADER_OUTCOME)
        .is_some_and(|value| value == Outcome::NotRun.as_str());
    if refused && status == StatusCode::SERVICE_UNAVAILABLE {
        return retry_or_end(
            context,
            dispatched.fail_attempt(RetryReason::UpstreamRefused, true),
            call,
        );
    }
    if status.is_server_error() {
        health::record_failure(context, &call.work, vm, dispatched.phase.vm);
        let attempted = dispatched.fail_attempt(RetryReason::UpstreamFailed, false);
        return match try_retry(context, attempted, call) {
            Ok(admitted) => AttemptOutcome::Retry(admitted),
            Err(attempted) => {
                let end = attempted.give_up();
                AttemptOutcome::Replied(Box::new(relay(context, end, call, received, recorder)))
            }
        };
    }
    let has_framing = received.response.body().size_hint().exact().is_some()
        || head.contains_key(header::TRANSFER_ENCODING);
    if !has_framing {
        let end = dispatched.relay(Outcome::Unknown, Some(RefusalReason::AnswerCut));
        return AttemptOutcome::Replied(Box::new(answer::refusal(context, end)));
    }
    let end = dispatched.relay(Outcome::Done, None);
    AttemptOutcome::Replied(Box::new(relay(context, end, call, received, recorder)))
}

fn relay(
    context: &Arc<MemberContext>,
    end: Request<Answered>,
    call: &WorkCall,
    received: ResponseHead,
    recorder: &mut Option<AnswerRecorder>,
) -> Reply {
    let ResponseHead {
        response,
        connection,
        vm,
        grant,
        started,
    } = received;
    let (parts, incoming) = response.into_parts();
    let content_type = parts
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    if let Some(recorder) = recorder.as_mut() {
        recorder.set_head(parts.status.as_u16(), content_type);
    }
    let relay = RelayParts {
        context: context.clone(),
        work: call.work.clone(),
        connection,
        vm,
        vm_index: grant.index(),
        grant,
        started,
        recorder: recorder.take(),
        succeeded: end.phase.outcome == Outcome::Done,
    };
    let mut response = Response::new(AnswerBody::relay(incoming, relay));
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers::end_to_end(&parts.headers);
    answer::set_common_headers(response.headers_mut(), end.phase.outcome, &call.request_id);
    Reply {
        request: end,
        response,
    }
}
