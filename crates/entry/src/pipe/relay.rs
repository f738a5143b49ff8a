//! Relay: the upstream's whole body goes to the caller, or the caller's connection is cut.

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

/// The largest answer that is kept for repeats, in bytes.
const KEPT_ANSWER_BYTES: usize = 262_144;

/// An answer's body ended before its end.
#[derive(Debug, Snafu)]
#[snafu(display("the answer was cut short: ask again if the work may run twice"))]
pub(crate) struct CutError;

/// What a relayed answer holds until its end.
pub(super) struct RelayParts {
    pub(super) context: Arc<MemberContext>,
    pub(super) work: Arc<WorkRoute>,
    pub(super) connection: UpstreamConnection,
    pub(super) vm: Arc<VmRoute>,
    pub(super) vm_index: usize,
    pub(super) grant: SlotGrant,
    pub(super) started: ClockTime,
    pub(super) keep: Option<KeepAnswer>,
    /// Whether the answer's head told of a success.
    pub(super) ran_well: bool,
}

/// The body of an answer to a caller.
pub(crate) enum AnswerBody {
    /// A body made here.
    Whole(Full<Bytes>),
    /// A body that an upstream sends.
    Relayed(Box<RelayBody>),
}

/// A body on its way through, with what it holds.
pub(crate) struct RelayBody {
    incoming: Option<Incoming>,
    parts: Option<RelayParts>,
    idle: Pin<Box<Sleep>>,
    idle_limit: Duration,
    /// Whether its caller went away and it is read for a repeat alone.
    for_repeat: bool,
}

impl AnswerBody {
    pub(super) fn whole(bytes: Bytes) -> Self {
        Self::Whole(Full::new(bytes))
    }

    pub(super) fn relay(incoming: Incoming, parts: RelayParts) -> Self {
        let idle_limit = Duration::from_millis(parts.context.settings.limits.body_idle_ms);
        let idle = Box::pin(sleep_until(Instant::now() + idle_limit));
        let mut body = RelayBody {
            incoming: Some(incoming),
            parts: Some(parts),
            idle,
            idle_limit,
            for_repeat: false,
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

    /// The answer is whole: the connection and the slot go back.
    fn finish(&mut self) {
        let Some(parts) = self.parts.take() else {
            return;
        };
        let now = parts.context.clock.now();
        parts.work.load.service.record(now - parts.started);
        if parts.ran_well {
            health::note_success(&parts.context, &parts.work, &parts.vm);
        }
        parts
            .vm
            .endpoint
            .connections
            .give_back(parts.connection, now);
        if let Some(keep) = parts.keep {
            keep.finish();
        }
        drop(parts.grant);
    }

    /// The answer ended early: the connection closes with what it held.
    fn cut(&mut self) -> CutError {
        if let Some(parts) = self.parts.take() {
            parts.context.meter.refused(RefusalReason::AnswerCut);
            health::note_failure(&parts.context, &parts.work, &parts.vm, parts.vm_index);
        }
        self.incoming = None;
        CutError
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, CutError>>> {
        let Some(incoming) = self.incoming.as_mut() else {
            return Poll::Ready(None);
        };
        match Pin::new(incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.idle.as_mut().reset(Instant::now() + self.idle_limit);
                if let (Some(data), Some(parts)) = (frame.data_ref(), self.parts.as_mut())
                    && let Some(keep) = parts.keep.as_mut()
                {
                    keep.add(data);
                }
                if self.at_end() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(self.cut()))),
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Pending => match self.idle.as_mut().poll(cx) {
                Poll::Ready(()) => Poll::Ready(Some(Err(self.cut()))),
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
        let kept = self
            .parts
            .as_ref()
            .is_some_and(|parts| parts.keep.is_some());
        let (Some(incoming), Some(parts)) = (self.incoming.take(), self.parts.take()) else {
            return;
        };
        // A runtime that ends drops the reading of the rest as soon as it is begun.
        if !kept || self.for_repeat {
            return;
        }
        // The caller went away, and a repeat may ask for the answer: read it to its end.
        let AnswerBody::Relayed(mut rest) = AnswerBody::relay(incoming, parts) else {
            return;
        };
        rest.for_repeat = true;
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                let next = |cx: &mut Context<'_>| rest.poll_next(cx);
                let mut next = next;
                while let Some(Ok(_)) = std::future::poll_fn(&mut next).await {}
                if let Some(parts) = rest.parts.as_mut() {
                    parts.keep = None;
                }
            });
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutError>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Relayed(body) => body.poll_next(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Relayed(body) => body.at_end(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Relayed(body) => match &body.incoming {
                Some(incoming) => incoming.size_hint(),
                None => SizeHint::default(),
            },
        }
    }
}

/// Collects the answer of a claimed request; tells the answer cache and the log how it ended.
pub(super) struct KeepAnswer {
    context: Arc<MemberContext>,
    key: ClaimKey,
    claim: Offset,
    answer: Option<StoredResponse>,
    status: u16,
    ended: bool,
}

impl KeepAnswer {
    pub(super) fn begin(context: &Arc<MemberContext>, key: ClaimKey, claim: Offset) -> Self {
        context.answer_cache.begin(key.clone());
        let answer = StoredResponse {
            status: 0,
            content_type: None,
            body: Vec::new(),
        };
        Self {
            context: context.clone(),
            key,
            claim,
            answer: Some(answer),
            status: 0,
            ended: false,
        }
    }

    pub(super) fn note_head(&mut self, status: u16, content_type: Option<&str>) {
        self.status = status;
        if let Some(answer) = self.answer.as_mut() {
            answer.status = status;
            answer.content_type = content_type.map(str::to_owned);
        }
    }

    fn add(&mut self, data: &[u8]) {
        let fits = |answer: &StoredResponse| answer.body.len() + data.len() <= KEPT_ANSWER_BYTES;
        self.answer = self.answer.take().filter(fits);
        if let Some(answer) = self.answer.as_mut() {
            answer.body.extend_from_slice(data);
        }
    }

    /// The answer is whole.
    fn finish(mut self) {
        let reply = self
            .answer
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

    /// It is proved that the request did not run: the key is free again.
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
            self.context.proposals.post(step);
        }
    }
}

impl Drop for KeepAnswer {
    fn drop(&mut self) {
        self.end(ClaimReply::Unknown, None);
    }
}
