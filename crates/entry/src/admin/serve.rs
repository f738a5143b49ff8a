//! Routes of the administration API.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use jacinthhoist_codec::{ChangeRequest, ChangeResponse, ChangeVerdict};
use jacinthhoist_core::{CatalogueChange, Offset, Step};
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

use super::views;
use crate::{accept::accept_until_ended, context::MemberContext, logs::log_line, meter};

/// Maximum size of a change.
const MAX_CHANGE_BYTES: usize = 4_194_304;
/// Time for which a request waits for the verdict on its change.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Body of an error response.
#[derive(Serialize)]
struct ErrorView {
    error: String,
}

/// Serves operators until the member has ended.
pub(crate) async fn serve_operators(context: Arc<MemberContext>, listener: TcpListener) {
    accept_until_ended(&context, listener, |stream| {
        serve_connection(context.clone(), stream)
    })
    .await;
}

async fn serve_connection(context: Arc<MemberContext>, stream: TcpStream) {
    let service = service_fn(move |request| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(route(&context, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log_line!(debug, Admin, "operator connection failed: {error}");
    }
}

async fn route(context: &Arc<MemberContext>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => text_response(StatusCode::OK, "ok\n".to_owned()),
        (&Method::GET, "/readyz") => match context.waits_for() {
            None => text_response(StatusCode::OK, "ready\n".to_owned()),
            Some(condition) => text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                format!("waits for {condition}\n"),
            ),
        },
        (&Method::GET, "/metrics") => {
            text_response(StatusCode::OK, meter::prometheus_handle().render())
        }
        (&Method::GET, "/v1/status") => json_response(StatusCode::OK, &views::status(context)),
        (&Method::GET, "/v1/catalogue") => {
            json_response(StatusCode::OK, &views::catalogue(context))
        }
        (&Method::POST, "/v1/catalogue") => apply_change(context, request).await,
        (&Method::GET, "/v1/pools") => json_response(StatusCode::OK, &views::pools(context)),
        (&Method::GET, "/v1/vms") => json_response(StatusCode::OK, &views::vms(context)),
        (&Method::GET, "/v1/members") => json_response(StatusCode::OK, &views::members(context)),
        (&Method::GET, "/v1/in-force") => in_force(context, request.uri().query()),
        (&Method::GET | &Method::POST, _) => error_response(
            StatusCode::NOT_FOUND,
            format!("unknown path {path}: see docs/ADMIN_API.md"),
        ),
        (method, _) => error_response(
            StatusCode::METHOD_NOT_ALLOWED,
            format!("unsupported method {method}: use GET or POST"),
        ),
    }
}

fn in_force(context: &MemberContext, query: Option<&str>) -> Response<Full<Bytes>> {
    let offset = query
        .and_then(|query| query.strip_prefix("offset="))
        .map(str::parse);
    match offset {
        Some(Ok(offset)) => {
            json_response(StatusCode::OK, &views::in_force(context, Offset(offset)))
        }
        _ => error_response(
            StatusCode::BAD_REQUEST,
            "missing or invalid offset: add `?offset=N` with the offset of a change".to_owned(),
        ),
    }
}

async fn apply_change(
    context: &Arc<MemberContext>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), MAX_CHANGE_BYTES)
        .collect()
        .await;
    let Ok(body) = body else {
        let error = format!(
            "request body incomplete or larger than {MAX_CHANGE_BYTES} bytes: split the change"
        );
        return error_response(StatusCode::BAD_REQUEST, error);
    };
    let change: ChangeRequest = match serde_json::from_slice(&body.to_bytes()) {
        Ok(change) => change,
        Err(error) => {
            let error = format!("invalid change ({error}): see docs/ADMIN_API.md");
            return error_response(StatusCode::BAD_REQUEST, error);
        }
    };
    let response = propose_change(context, change).await;
    let status = match response.verdict {
        ChangeVerdict::Accepted => StatusCode::OK,
        ChangeVerdict::Refused => StatusCode::CONFLICT,
        ChangeVerdict::Unknown => StatusCode::GATEWAY_TIMEOUT,
    };
    json_response(status, &response)
}

async fn propose_change(context: &Arc<MemberContext>, request: ChangeRequest) -> ChangeResponse {
    let refused = |message: String| ChangeResponse {
        verdict: ChangeVerdict::Refused,
        offset: None,
        message: Some(message),
    };
    if let Some(condition) = context.waits_for() {
        return refused(format!(
            "this member is not ready and waits for {condition}: send the change to another member"
        ));
    }
    let change = CatalogueChange {
        operator: request.operator,
        edits: request.edits,
    };
    let state = context.state.load_full();
    if let Err(error) = state.catalogue().with_change(state.next_offset(), &change) {
        return refused(error.to_string());
    }
    let operator = change.operator.clone();
    let verdict = context.proposals.propose(Step::Catalogue(change));
    match timeout(VERDICT_TIMEOUT, verdict).await {
        Ok(Ok(Ok(offset))) => {
            log_line!(info, Admin, "accepted a change by {operator} at offset {offset}");
            ChangeResponse { verdict: ChangeVerdict::Accepted, offset: Some(offset), message: None }
        }
        Ok(Ok(Err(rejection))) => refused(rejection.message),
        Ok(Err(_)) | Err(_) => ChangeResponse {
            verdict: ChangeVerdict::Unknown,
            offset: None,
            message: Some(
                "no verdict from the log in time: the change may still be accepted; read the catalogue before repeating it"
                    .to_owned(),
            ),
        },
    }
}

fn text_response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    build_response(status, "text/plain; charset=utf-8", body)
}

fn json_response<T: Serialize>(status: StatusCode, view: &T) -> Response<Full<Bytes>> {
    match serde_json::to_string(view) {
        Ok(body) => build_response(status, "application/json", body),
        Err(error) => text_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            format!("{error}: this is a bug, please report it\n"),
        ),
    }
}

fn error_response(status: StatusCode, error: String) -> Response<Full<Bytes>> {
    json_response(status, &ErrorView { error })
}

fn build_response(
    status: StatusCode,
    content_type: &'static str,
    body: String,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
