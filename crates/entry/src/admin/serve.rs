//! Serve: the routes of the administration API.

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

/// The largest change in bytes.
const MAX_CHANGE_BYTES: usize = 4_194_304;
/// How long an operator waits for a verdict.
const VERDICT_LIMIT: Duration = Duration::from_secs(5);
/// How long an operator has to send a request's head.
const HEAD_LIMIT: Duration = Duration::from_secs(10);

/// A message for an operator who asked for something that cannot be had.
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
        async move { Ok::<_, Infallible>(serve(&context, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log_line!(debug, Admin, "An operator's connection ended: {error}.");
    }
}

async fn serve(context: &Arc<MemberContext>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => text(StatusCode::OK, "ok\n".to_owned()),
        (&Method::GET, "/readyz") => match context.waits_for() {
            None => text(StatusCode::OK, "ready\n".to_owned()),
            Some(what) => text(
                StatusCode::SERVICE_UNAVAILABLE,
                format!("waits for {what}\n"),
            ),
        },
        (&Method::GET, "/metrics") => text(StatusCode::OK, meter::recorder().render()),
        (&Method::GET, "/v1/status") => json(StatusCode::OK, &views::status(context)),
        (&Method::GET, "/v1/catalogue") => json(StatusCode::OK, &views::catalogue(context)),
        (&Method::POST, "/v1/catalogue") => change(context, request).await,
        (&Method::GET, "/v1/pools") => json(StatusCode::OK, &views::pools(context)),
        (&Method::GET, "/v1/vms") => json(StatusCode::OK, &views::vms(context)),
        (&Method::GET, "/v1/members") => json(StatusCode::OK, &views::members(context)),
        (&Method::GET, "/v1/in-force") => in_force(context, request.uri().query()),
        (&Method::GET | &Method::POST, _) => failure(
            StatusCode::NOT_FOUND,
            format!("{path} is not a call of this API: see docs/ADMIN_API.md"),
        ),
        (method, _) => failure(
            StatusCode::METHOD_NOT_ALLOWED,
            format!("{method} is not used by this API: use GET or POST"),
        ),
    }
}

fn in_force(context: &MemberContext, query: Option<&str>) -> Response<Full<Bytes>> {
    let offset = query
        .and_then(|query| query.strip_prefix("offset="))
        .map(str::parse);
    match offset {
        Some(Ok(offset)) => json(StatusCode::OK, &views::in_force(context, Offset(offset))),
        _ => failure(
            StatusCode::BAD_REQUEST,
            "add `?offset=N` with the offset of a change".to_owned(),
        ),
    }
}

async fn change(context: &Arc<MemberContext>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), MAX_CHANGE_BYTES)
        .collect()
        .await;
    let Ok(body) = body else {
        let error =
            format!("the change was cut short or has more than {MAX_CHANGE_BYTES} bytes: split it");
        return failure(StatusCode::BAD_REQUEST, error);
    };
    let change: ChangeRequest = match serde_json::from_slice(&body.to_bytes()) {
        Ok(change) => change,
        Err(error) => {
            let error = format!("not readable as a change ({error}): see docs/ADMIN_API.md");
            return failure(StatusCode::BAD_REQUEST, error);
        }
    };
    let answer = propose(context, change).await;
    let status = match answer.verdict {
        ChangeVerdict::Accepted => StatusCode::OK,
        ChangeVerdict::Refused => StatusCode::CONFLICT,
        ChangeVerdict::Unknown => StatusCode::GATEWAY_TIMEOUT,
    };
    json(status, &answer)
}

async fn propose(context: &Arc<MemberContext>, request: ChangeRequest) -> ChangeResponse {
    let refused = |message: String| ChangeResponse {
        verdict: ChangeVerdict::Refused,
        offset: None,
        message: Some(message),
    };
    if let Some(what) = context.waits_for() {
        return refused(format!("this member waits for {what}: ask another"));
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
    match timeout(VERDICT_LIMIT, verdict).await {
        Ok(Ok(Ok(offset))) => {
            log_line!(info, Admin, "A change by {operator} was accepted at {offset}.");
            ChangeResponse { verdict: ChangeVerdict::Accepted, offset: Some(offset), message: None }
        }
        Ok(Ok(Err(rejection))) => refused(rejection.message),
        Ok(Err(_)) | Err(_) => ChangeResponse {
            verdict: ChangeVerdict::Unknown,
            offset: None,
            message: Some(
                "the log did not answer in time: the change may yet be accepted; read the catalogue before you repeat it"
                    .to_owned(),
            ),
        },
    }
}

fn text(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    respond(status, "text/plain; charset=utf-8", body)
}

fn json<T: Serialize>(status: StatusCode, view: &T) -> Response<Full<Bytes>> {
    match serde_json::to_string(view) {
        Ok(body) => respond(status, "application/json", body),
        Err(error) => text(
            StatusCode::INTERNAL_SERVER_ERROR,
            format!("{error}: report this as a fault\n"),
        ),
    }
}

fn failure(status: StatusCode, error: String) -> Response<Full<Bytes>> {
    json(status, &ErrorView { error })
}

fn respond(status: StatusCode, kind: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
