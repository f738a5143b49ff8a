//! Headers exchanged with callers and upstreams, and bodies of refusals.

use jacinthhoist_core::{Outcome, RefusalReason};
use serde::{Deserialize, Serialize};

/// Response header with the outcome of the request.
pub const HEADER_OUTCOME: &str = "jacinthhoist-outcome";
/// Response header with the reason why the request was not answered by an upstream.
pub const HEADER_REASON: &str = "jacinthhoist-reason";
/// Header with the request id, which an upstream may echo.
pub const HEADER_REQUEST: &str = "jacinthhoist-request";
/// Response header of an upstream that accepts no new work.
pub const HEADER_LEAVING: &str = "jacinthhoist-leaving";
/// Request header with the lease of long-running work in milliseconds; the upstream stops the work
/// if the lease is not renewed in that time.
pub const HEADER_LEASE: &str = "jacinthhoist-lease-ms";
/// Header with the checkpoint of long-running work: in the response of the upstream that saved it,
/// and in the request to the upstream that resumes the work.
pub const HEADER_CHECKPOINT: &str = "jacinthhoist-checkpoint";
/// Request header with the caller's idempotency key.
pub const HEADER_KEY: &str = "idempotency-key";

/// JSON body of a refusal.
///
/// ```
/// use jacinthhoist_codec::RefusalBody;
/// use jacinthhoist_core::{Outcome, RefusalReason};
/// let body = RefusalBody::new("4-1", Outcome::NotRun, RefusalReason::QueueFull);
/// assert!(body.to_json().contains(r#""outcome":"not-run""#));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Id of the request.
    pub request: String,
    /// Execution state of the request as far as the member knows it.
    pub outcome: Outcome,
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Suggested action for the caller.
    pub remedy: String,
}

impl RefusalBody {
    /// Creates the body for an outcome and its reason.
    pub fn new(request: &str, outcome: Outcome, reason: RefusalReason) -> Self {
        let request = request.to_owned();
        Self {
            request,
            outcome,
            reason,
            remedy: reason.remedy().to_owned(),
        }
    }

    /// Encodes the body as JSON text.
    pub fn to_json(&self) -> String {
        serde_json::json!(self).to_string()
    }
}
