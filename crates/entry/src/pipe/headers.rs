//! Removal of hop-by-hop headers.

use hyper::{HeaderMap, header};

/// Hop-by-hop headers, in addition to those that the `Connection` header names.
const HOP_BY_HOP_HEADERS: [header::HeaderName; 8] = [
    header::CONNECTION,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Copies the end-to-end headers.
pub(super) fn end_to_end(from: &HeaderMap) -> HeaderMap {
    let mut to = HeaderMap::with_capacity(from.len() + 4);
    for (name, value) in from {
        let is_hop =
            HOP_BY_HOP_HEADERS.contains(name) || *name == header::EXPECT || name == "keep-alive";
        if !is_hop && !named_by_connection(from, name) {
            to.append(name.clone(), value.clone());
        }
    }
    to
}

fn named_by_connection(headers: &HeaderMap, name: &header::HeaderName) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut tokens = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','));
    tokens.any(|token| token.trim().eq_ignore_ascii_case(name.as_str()))
}
