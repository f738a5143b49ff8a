//! Relay: streams the upstream's complete body to the caller, or aborts the caller's connection.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use jacinthhoist_codec::{ClaimReply, StoredResponse};
use jacinthhoist_core::{ClaimKey, ClockTime, Offset, RefusalReason, Step};
use snafu::Snafu;
use tokio::time::{Instant, Sleep, sleep_until};

use super::health;
use crate::{
    context::MemberContext,
    routes::{SlotGrant, VmRoute, WorkRoute},
    upstream::UpstreamConnection,
};

/// Maximum size of a response body that is cached for repeats, in bytes.
const MAX_CACHED_RESPONSE_BYTES: usize = 262_144;

/// The upstream's response body ended early.
#[derive(Debug, Snafu)]
#[snafu(display("the response body was truncated: retry if the work is repeatable"))]
pub(crate) struct TruncatedError;

/// Resources that a relayed response holds until its body ends.
pub(super) struct RelayParts {
    pub(super) context: Arc<MemberContext>,
    pub(super) work: Arc<WorkRoute>,
    pub(super) connection: UpstreamConnection,
    pub(super) vm: Arc<VmRoute>,
    pub(super) vm_index: usize,
    pub(super) grant: SlotGrant,
    pub(super) started: ClockTime,
    pub(super) recorder: Option<AnswerRecorder>,
    /// True if the status of the response is a success.
    pub(super) succeeded: bool,
}

/// Body of a response to a caller.
pub(crate) enum AnswerBody {
    /// Body created by this member.
    Buffered(Full<Bytes>),
    /// Body streamed from an upstream.
    Relayed(Box<RelayBody>),
}

/// Body that is being relayed, with the resources that it holds.
pub(crate) struct RelayBody {
    incoming: Option<Incoming>,
    parts: Option<RelayParts>,
    idle: Pin<Box<Sleep>>,
    idle_limit: Duration,
    /// True if the caller disconnected and the body is read only to answer a repeat.
    is_detached: bool,
}

impl AnswerBody {
    pub(super) fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(Full::new(bytes))
    }

    pub(super) fn relay(incoming: Incoming, parts: RelayParts) -> Self {
        let idle_limit = Duration::from_millis(parts.context.settings.limits.body_idle_ms);
        let idle = Box::pin(sleep_until(Instant::now() + idle_limit));
        let mut body = RelayBody {
            incoming: Some(incoming),
            parts: Some(parts),
            idle,
            idle_limit,
            is_detached: false,
        };
        if body.at_end() {
            body.finish();
        }
        Self::Relayed(Box::new(body))
    }
}

impl RelayBody {
    fn at_end(&self) -> bool {
        self.incoming.as_ref().is_none_or(Body::is_end_stream)
    }

    /// Releases the connection and the slot after the complete body was read.
    fn finish(&mut self) {
        let Some(parts) = self.parts.take() else {
            return;
        };
        let now = parts.context.clock.now();
        parts.work.counters.service.record(now - parts.started);
        if parts.succeeded {
            health::record_success(&parts.context, &parts.work, &parts.vm);
        }
        parts
            .vm
            .endpoint
            .connections
            .put_back(parts.connection, now);
        if let Some(recorder) = parts.recorder {
            recorder.finish();
        }
        drop(parts.grant);
    }

    /// Closes the connection and releases the slot after the body ended early.
    fn abort(&mut self) -> TruncatedError {
        if let Some(parts) = self.parts.take() {
            parts.context.meter.count_refusal(RefusalReason::AnswerCut);
            health::record_failure(&parts.context, &parts.work, &parts.vm, parts.vm_index);
        }
        self.incoming = None;
        TruncatedError
    }

    fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedError>>> {
        let Some(incoming) = self.incoming.as_mut() else {
            return Poll::Ready(None);
        };
        match Pin::new(incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.idle.as_mut().reset(Instant::now() + self.idle_limit);
                if let (Some(data), Some(parts)) = (frame.data_ref(), self.parts.as_mut())
                    && let Some(recorder) = parts.recorder.as_mut()
                {
                    recorder.append(data);
                }
                if self.at_end() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(self.abort()))),
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Pending => match self.idle.as_mut().poll(cx) {
                Poll::Ready(()) => Poll::Ready(Some(Err(self.abort()))),
                Poll::Pending => Poll::Pending,
            },
        }
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        if self.at_end() {
            self.finish();
            return;
        }
        let is_recorded = self
            .parts
            .as_ref()
            .is_some_and(|parts| parts.recorder.is_some());
        let (Some(incoming), Some(parts)) = (self.incoming.take(), self.parts.take()) else {
            return;
        };
        // A runtime that is shutting down drops the task spawned below at once. Spawning another
        // one on that drop would recurse until the stack overflows.
        if !is_recorded || self.is_detached {
            return;
        }
        // The caller disconnected, but a repeat may ask for the response: read it to the end.
        let AnswerBody::Relayed(mut rest) = AnswerBody::relay(incoming, parts) else {
            return;
        };
        rest.is_detached = true;
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                let next = |cx: &mut Context<'_>| rest.poll_next(cx);
                let mut next = next;
                while let Some(Ok(_)) = std::future::poll_fn(&mut next).await {}
                if let Some(parts) = rest.parts.as_mut() {
                    parts.recorder = None;
                }
            });
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = TruncatedError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedError>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Relayed(body) => body.poll_next(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Relayed(body) => body.at_end(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Relayed(body) => match &body.incoming {
                Some(incoming) => incoming.size_hint(),
                None => SizeHint::default(),
            },
        }
    }
}

/// Collects the response to a claimed request, and reports its result to the answer cache and the
/// log.
pub(super) struct AnswerRecorder {
    context: Arc<MemberContext>,
    key: ClaimKey,
    claim: Offset,
    response: Option<StoredResponse>,
    status: u16,
    ended: bool,
}

impl AnswerRecorder {
    pub(super) fn start(context: &Arc<MemberContext>, key: ClaimKey, claim: Offset) -> Self {
        context.answer_cache.begin(key.clone());
        let response = StoredResponse {
            status: 0,
            content_type: None,
            body: Vec::new(),
        };
        Self {
            context: context.clone(),
            key,
            claim,
            response: Some(response),
            status: 0,
            ended: false,
        }
    }

    pub(super) fn set_head(&mut self, status: u16, content_type: Option<&str>) {
        self.status = status;
        if let Some(response) = self.response.as_mut() {
            response.status = status;
            response.content_type = content_type.map(str::to_owned);
        }
    }

    fn append(&mut self, data: &[u8]) {
        let fits = |response: &StoredResponse| {
            response.body.len() + data.len() <= MAX_CACHED_RESPONSE_BYTES
        };
        self.response = self.response.take().filter(fits);
        if let Some(response) = self.response.as_mut() {
            response.body.extend_from_slice(data);
        }
    }

    /// Caches the complete response, and settles the claim in the log.
    fn finish(mut self) {
        let reply = self
            .response
            .take()
            .map_or(ClaimReply::Gone, ClaimReply::Answer);
        let status = self.status;
        self.end(
            reply,
            Some(Step::Settle {
                key: self.key.clone(),
                claim: self.claim,
                status,
            }),
        );
    }

    /// Releases the key, after proof that the request did not run.
    pub(super) fn release(mut self) {
        let step = Step::Release {
            key: self.key.clone(),
            claim: self.claim,
        };
        self.end(ClaimReply::Released, Some(step));
    }

    fn end(&mut self, reply: ClaimReply, step: Option<Step>) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        self.context.answer_cache.end(self.key.clone(), reply);
        if let Some(step) = step {
            self.context.proposals.propose_detached(step);
        }
    }
}

impl Drop for AnswerRecorder {
    fn drop(&mut self) {
        self.end(ClaimReply::Unknown, None);
    }
}
