//! What callers and upstreams read in headers and bodies.

use jacinthhoist_core::{Outcome, RefusalReason};
use serde::{Deserialize, Serialize};

/// Says what is known of the request's run.
pub const HEADER_OUTCOME: &str = "jacinthhoist-outcome";
/// Says why a request did not get its upstream's answer.
pub const HEADER_REASON: &str = "jacinthhoist-reason";
/// The request's id; an upstream may echo it.
pub const HEADER_REQUEST: &str = "jacinthhoist-request";
/// Sent by an upstream that wants no new work.
pub const HEADER_LEAVING: &str = "jacinthhoist-leaving";
/// Milliseconds after which an upstream ends long work whose lease was not renewed.
pub const HEADER_LEASE: &str = "jacinthhoist-lease-ms";
/// Sent by an upstream that saved the progress of long work, and to the one that goes on with it.
pub const HEADER_CHECKPOINT: &str = "jacinthhoist-checkpoint";
/// The caller's idempotency key.
pub const HEADER_KEY: &str = "idempotency-key";

/// The JSON body of a refusal.
///
/// ```
/// use jacinthhoist_codec::RefusalBody;
/// use jacinthhoist_core::{Outcome, RefusalReason};
/// let body = RefusalBody::new("4-1", Outcome::NotRun, RefusalReason::QueueFull);
/// assert!(body.to_json().contains(r#""outcome":"not-run""#));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The request's id.
    pub request: String,
    /// What is known of its run.
    pub outcome: Outcome,
    /// Why.
    pub reason: RefusalReason,
    /// What the caller can do.
    pub remedy: String,
}

impl RefusalBody {
    /// The body for an outcome and its reason.
    pub fn new(request: &str, outcome: Outcome, reason: RefusalReason) -> Self {
        let request = request.to_owned();
        Self {
            request,
            outcome,
            reason,
            remedy: reason.remedy().to_owned(),
        }
    }

    /// The body as text.
    pub fn to_json(&self) -> String {
        serde_json::json!(self).to_string()
    }
}
