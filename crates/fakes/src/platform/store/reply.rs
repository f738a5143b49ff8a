//! Parts of the store's replies.

use hyper::{Response, StatusCode};
use serde_json::{Value, json};

use super::{CALL_BYTES, RECORD_BYTES, StoreFault};
use crate::http::{self, ResponseBody};

/// Adds odd items to a page under [`StoreFault::OddItems`].
pub(super) fn with_odd_items(mut page: Value, fault: StoreFault) -> Value {
    if fault == StoreFault::OddItems
        && let Some(items) = page["items"].as_array_mut()
    {
        items.insert(0, json!({"key": "i-odd", "value": "no base64"}));
        items.insert(0, json!({"key": 7, "value": {"state": "ready"}}));
        items.insert(0, json!({"value": "e30="}));
        items.insert(0, json!({"key": "i-null", "value": null}));
    }
    page
}

/// Returns whether each record, and the call as a whole, is within the size limits.
pub(super) fn is_within_limits(body: &[u8]) -> bool {
    let mut rest = body;
    while let Some((length, records)) = rest.split_first_chunk() {
        let length = u32::from_be_bytes(*length) as usize;
        if length > RECORD_BYTES || length > records.len() {
            return false;
        }
        rest = &records[length..];
    }
    body.len() <= CALL_BYTES
}

pub(super) fn conflict(reason: &str) -> Response<ResponseBody> {
    let mut response = http::json(&json!({"reason": reason}));
    *response.status_mut() = StatusCode::CONFLICT;
    response
}
