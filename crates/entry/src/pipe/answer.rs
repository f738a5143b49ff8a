//! Answer: responses that the member creates itself.

use bytes::Bytes;
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use jacinthhoist_codec::{
    HEADER_OUTCOME, HEADER_REASON, HEADER_REQUEST, RefusalBody, StoredResponse,
};
use jacinthhoist_core::{Answered, Outcome, RefusalReason, Request};

use super::{AnswerBody, Reply, admit::retry_after_secs};
use crate::context::MemberContext;

/// Creates the reply to a request without a response from an upstream.
pub(super) fn refusal(context: &MemberContext, request: Request<Answered>) -> Reply {
    let Answered { outcome, reason } = request.phase;
    let reason = reason.unwrap_or(RefusalReason::NoUpstream);
    let id = context.request_id(request.id);
    let body = RefusalBody::new(&id, outcome, reason).to_json();
    let mut response = Response::new(AnswerBody::buffered(Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(HEADER_REASON, HeaderValue::from_static(reason.as_str()));
    if outcome == Outcome::NotRun && matches!(reason.status(), 429 | 503) {
        headers.insert(
            RETRY_AFTER,
            HeaderValue::from(retry_after_secs(context, &request)),
        );
    }
    set_common_headers(headers, outcome, &id);
    Reply { request, response }
}

/// Creates the reply to a repeat of a request whose response is cached.
pub(super) fn cached(
    context: &MemberContext,
    request: Request<Answered>,
    stored: StoredResponse,
) -> Reply {
    let id = context.request_id(request.id);
    let outcome = request.phase.outcome;
    let mut response = Response::new(AnswerBody::buffered(Bytes::from(stored.body)));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = stored
        .content_type
        .and_then(|text| HeaderValue::from_str(&text).ok());
    if let Some(content_type) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    set_common_headers(response.headers_mut(), outcome, &id);
    Reply { request, response }
}

/// Sets the headers that every response to a caller has.
pub(super) fn set_common_headers(headers: &mut HeaderMap, outcome: Outcome, id: &str) {
    headers.insert(HEADER_OUTCOME, HeaderValue::from_static(outcome.as_str()));
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(HEADER_REQUEST, id);
    }
}
