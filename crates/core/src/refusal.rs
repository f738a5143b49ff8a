//! Outcomes, refusal reasons and retry reasons reported to callers.

use serde::{Deserialize, Serialize};

/// Execution state of a request as far as the member knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran, and the upstream's complete response was relayed.
    Done,
    /// The request did not run.
    NotRun,
    /// The request ran and failed.
    Failed,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident => $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum $name { $($(#[$variant_doc])* $variant,)* }

        impl $name {
            /// All reasons in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the label used in headers and metrics.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }
    };
}

reasons! {
    /// Reason why a request was not answered by an upstream.
    RefusalReason {
        /// The path does not name a kind of work.
        UnknownWork => "unknown_work",
        /// The request could not be parsed.
        Malformed => "malformed",
        /// The body exceeds the limit in the catalogue.
        BodyTooLarge => "body_too_large",
        /// The queue of this kind of work is full.
        QueueFull => "queue_full",
        /// The owner's share of the queue is full.
        OwnerQueueFull => "owner_queue_full",
        /// The request could not complete before its deadline.
        DeadlineUnreachable => "deadline_unreachable",
        /// The deadline passed while the request was queued.
        DeadlinePassed => "deadline_passed",
        /// The pool has no VM that can accept the request.
        NoUpstream => "no_upstream",
        /// No connection to an upstream could be opened.
        ConnectFailed => "connect_failed",
        /// The upstream refused the request and reported that it did not run.
        UpstreamRefused => "upstream_refused",
        /// The member is shutting down.
        Stopping => "stopping",
        /// The member has not read the catalogue yet.
        NotReady => "not_ready",
        /// The log could not be reached in time to claim the idempotency key.
        ClaimUnreachable => "claim_unreachable",
        /// The idempotency key was used with a different body.
        KeyReused => "key_reused",
        /// The request with this idempotency key is still running.
        KeyInUse => "key_in_use",
        /// The request with this idempotency key ran, and its response is no longer stored.
        AnswerGone => "answer_gone",
        /// The request with this idempotency key may have run at a member that is gone.
        HolderGone => "holder_gone",
        /// The connection was lost after the request was sent.
        ConnectionLost => "connection_lost",
        /// The upstream did not respond in time.
        AnswerTimeout => "answer_timeout",
        /// The upstream responded with a failure status.
        UpstreamFailed => "upstream_failed",
        /// The response body was truncated.
        AnswerCut => "answer_cut",
        /// The response carries the id of another request.
        AnswerCrossed => "answer_crossed",
        /// The caller disconnected.
        Cancelled => "cancelled",
    }
}

reasons! {
    /// Reason why a request was retried.
    RetryReason {
        /// No connection could be opened, so nothing was sent.
        ConnectFailed => "connect_failed",
        /// The upstream refused the request and reported that it did not run.
        UpstreamRefused => "upstream_refused",
        /// The connection was lost before the response.
        ConnectionLost => "connection_lost",
        /// The upstream responded with a failure status.
        UpstreamFailed => "upstream_failed",
        /// The response carried the id of another request.
        AnswerCrossed => "answer_crossed",
        /// The upstream did not respond within the attempt's share of the deadline.
        AnswerTimeout => "answer_timeout",
    }
}

impl RefusalReason {
    /// Returns the HTTP status for the reason.
    pub fn status(self) -> u16 {
        match self {
            Self::UnknownWork => 404,
            Self::Malformed => 400,
            Self::BodyTooLarge => 413,
            Self::QueueFull | Self::OwnerQueueFull => 429,
            Self::KeyReused => 422,
            Self::KeyInUse => 409,
            Self::AnswerGone => 410,
            Self::HolderGone
            | Self::ConnectionLost
            | Self::AnswerTimeout
            | Self::AnswerCut
            | Self::AnswerCrossed => 504,
            Self::UpstreamFailed => 502,
            Self::Cancelled => 499,
            Self::DeadlineUnreachable
            | Self::DeadlinePassed
            | Self::NoUpstream
            | Self::ConnectFailed
            | Self::UpstreamRefused
            | Self::Stopping
            | Self::NotReady
            | Self::ClaimUnreachable => 503,
        }
    }

    /// Returns the remedy suggested to the caller.
    pub fn remedy(self) -> &'static str {
        match self {
            Self::UnknownWork => "ask the operators for the names in the catalogue",
            Self::Malformed => "correct the request as the message says",
            Self::BodyTooLarge => "send a smaller body, or ask for a higher `max_body_bytes`",
            Self::QueueFull | Self::OwnerQueueFull | Self::DeadlineUnreachable => {
                "send it again after the time in Retry-After"
            }
            Self::DeadlinePassed | Self::NoUpstream | Self::ConnectFailed => "send it again later",
            Self::UpstreamRefused | Self::Stopping | Self::NotReady => "send it again",
            Self::ClaimUnreachable => "send it again with the same key",
            Self::KeyReused => "use a new key for another body",
            Self::KeyInUse => "ask again with the same key for the answer",
            Self::AnswerGone => "do not send it again: it has run",
            Self::HolderGone
            | Self::ConnectionLost
            | Self::AnswerTimeout
            | Self::AnswerCut
            | Self::AnswerCrossed => "find out whether it ran before sending it again",
            Self::UpstreamFailed => "read the upstream's answer",
            Self::Cancelled => "none is needed",
        }
    }
}
