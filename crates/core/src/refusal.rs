//! What a caller is told: outcomes, refusal reasons, and why a request was tried again.

use serde::{Deserialize, Serialize};

/// What is known of a request's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran, and the whole answer is the upstream's.
    Done,
    /// It did not run.
    NotRun,
    /// It ran and failed.
    Failed,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// The value of the outcome header.
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
            /// All reasons, in order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The label used in headers and metrics.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }
    };
}

reasons! {
    /// Why a request did not get its upstream's answer.
    RefusalReason {
        /// The path names no kind of work.
        UnknownWork => "unknown_work",
        /// The request could not be understood.
        Malformed => "malformed",
        /// The body is larger than the catalogue allows.
        BodyTooLarge => "body_too_large",
        /// The queue of this kind of work is full.
        QueueFull => "queue_full",
        /// The owner's share of the queue is full.
        OwnerQueueFull => "owner_queue_full",
        /// The deadline would pass before the request could end.
        DeadlineUnreachable => "deadline_unreachable",
        /// The deadline passed while the request waited.
        DeadlinePassed => "deadline_passed",
        /// The pool has no VM that could take it.
        NoUpstream => "no_upstream",
        /// No connection to an upstream could be made.
        ConnectFailed => "connect_failed",
        /// The upstream itself refused and says that it did not run.
        UpstreamRefused => "upstream_refused",
        /// The member is stopping.
        Stopping => "stopping",
        /// The member has not read the catalogue yet.
        NotReady => "not_ready",
        /// The log could not be reached in time to claim the key.
        ClaimUnreachable => "claim_unreachable",
        /// The key is in use for another body.
        KeyReused => "key_reused",
        /// The key's request is still running elsewhere.
        KeyInUse => "key_in_use",
        /// The key's request ran, and its answer is no longer kept.
        AnswerGone => "answer_gone",
        /// The key's request may have run at a member that is gone.
        HolderGone => "holder_gone",
        /// The connection ended after the request was sent.
        ConnectionLost => "connection_lost",
        /// The upstream did not answer in time.
        AnswerTimeout => "answer_timeout",
        /// The upstream answered with a failure.
        UpstreamFailed => "upstream_failed",
        /// The answer's body ended early.
        AnswerCut => "answer_cut",
        /// The answer carries another request's id.
        AnswerCrossed => "answer_crossed",
        /// The caller went away.
        Cancelled => "cancelled",
    }
}

reasons! {
    /// Why a request was sent again.
    RetryReason {
        /// No connection could be made; nothing was sent.
        ConnectFailed => "connect_failed",
        /// The upstream refused and says that it did not run.
        UpstreamRefused => "upstream_refused",
        /// The connection ended before the answer.
        ConnectionLost => "connection_lost",
        /// The upstream answered with a failure.
        UpstreamFailed => "upstream_failed",
        /// The answer carried another request's id.
        AnswerCrossed => "answer_crossed",
        /// The upstream did not answer within its part of the deadline.
        AnswerTimeout => "answer_timeout",
    }
}

impl RefusalReason {
    /// The HTTP status that goes with the reason.
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

    /// What the caller can do about it.
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
