//! Classify: looks up the kind of work by the path, and reads the body within its size limit.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    body::{Body, Incoming},
    http::request::Parts,
};
use jacinthhoist_codec::{HEADER_KEY, digest};
use jacinthhoist_core::{
    Answered, ClaimKey, Classified, Received, RefusalReason, Request, WorkName,
};
use tokio::time::{timeout, timeout_at};

use super::WorkCall;
use crate::context::MemberContext;

/// Path prefix of requests for work: `/works/NAME/…`.
const WORK_PATH_PREFIX: &str = "/works/";
/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Maximum bytes of a refused request's body that are read and dropped.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// Maximum time for which a refused request's body is read and dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Looks up the kind of work, and reads the idempotency key, which repeatable work ignores.
pub(super) fn classify(
    context: &MemberContext,
    received: Request<Received>,
    parts: Parts,
) -> Result<(Request<Classified>, WorkCall), Request<Answered>> {
    let path = parts.uri.path();
    let Some(rest) = path.strip_prefix(WORK_PATH_PREFIX) else {
        return Err(received.refuse(RefusalReason::UnknownWork));
    };
    let (name, subpath) = rest.split_once('/').unwrap_or((rest, ""));
    let routes = context.routes.load();
    let Some(work) = routes.works.get(name).cloned() else {
        let reason = match context.waits_for() {
            Some(_) => RefusalReason::NotReady,
            None => RefusalReason::UnknownWork,
        };
        return Err(received.refuse(reason));
    };
    let query = parts
        .uri
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    let target = format!("/{subpath}{query}");
    let key = match read_key(&parts, &work.name) {
        Ok(key) => key.filter(|_| !work.entry.repeatable),
        Err(reason) => return Err(received.refuse(reason)),
    };
    let request_id = context.request_id(received.id);
    let classified = received.classify(work.name.clone(), work.entry.clone());
    let head = Arc::new(parts);
    let call = WorkCall {
        work,
        head,
        target,
        key,
        body: Bytes::new(),
        request_id,
        progress: None,
    };
    Ok((classified, call))
}

fn read_key(parts: &Parts, work: &WorkName) -> Result<Option<ClaimKey>, RefusalReason> {
    let Some(value) = parts.headers.get(HEADER_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| RefusalReason::Malformed)?;
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(RefusalReason::Malformed);
    }
    Ok(Some(ClaimKey {
        work: work.clone(),
        key: Arc::from(text),
    }))
}

/// Reads the complete body within the size limit and deadline of the work.
pub(super) async fn read_body(
    context: &MemberContext,
    classified: Request<Classified>,
    mut incoming: Incoming,
) -> Result<(Request<Classified>, Bytes), Request<Answered>> {
    let limit = classified
        .work
        .as_ref()
        .map_or(0, |(_, entry)| entry.max_body_bytes);
    if incoming.size_hint().lower() > limit {
        discard_body(&mut incoming).await;
        return Err(classified.refuse(RefusalReason::BodyTooLarge));
    }
    if incoming.is_end_stream() {
        return Ok((classified, Bytes::new()));
    }
    let until = context.clock.instant(classified.deadline);
    let body = Limited::new(&mut incoming, limit as usize);
    match timeout_at(until, body.collect()).await {
        Ok(Ok(collected)) => Ok((classified, collected.to_bytes())),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            discard_body(&mut incoming).await;
            Err(classified.refuse(RefusalReason::BodyTooLarge))
        }
        Ok(Err(_)) => Err(classified.refuse(RefusalReason::Malformed)),
        Err(_) => Err(classified.refuse(RefusalReason::DeadlinePassed)),
    }
}

/// Reads and drops the rest of a body, so that its sender can finish and read the refusal. Without
/// this, the connection is closed while the sender still writes, which resets it.
pub(super) async fn discard_body(incoming: &mut Incoming) {
    let discard = async {
        let mut bytes = 0;
        while let Some(Ok(frame)) = incoming.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // After the time limit the refusal is sent all the same.
    let _ = timeout(DISCARD_TIMEOUT, discard).await;
}

impl WorkCall {
    /// Returns a digest of method, target and body, to detect the reuse of an idempotency key for
    /// a different request.
    pub(crate) fn digest(&self) -> u64 {
        let head = digest(format!("{} {}", self.head.method, self.target).as_bytes());
        head.rotate_left(1) ^ digest(&self.body)
    }
}
