//! Query of a request to the store.

use std::collections::HashMap;

/// Parameters of a request's query.
pub(super) struct QueryParameters(HashMap<String, String>);

impl QueryParameters {
    pub(super) fn parse(text: &str) -> Self {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        Self(
            pairs
                .map(|(key, value)| (key.to_owned(), decode(value)))
                .collect(),
        )
    }

    pub(super) fn text(&self, key: &str) -> String {
        self.0.get(key).cloned().unwrap_or_default()
    }

    pub(super) fn number(&self, key: &str) -> u64 {
        self.text(key).parse().unwrap_or_default()
    }
}

/// Decodes percent-encoded bytes.
fn decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let [first, tail @ ..] = rest {
        let digits = tail.get(..2).and_then(|digits| str::from_utf8(digits).ok());
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        let (byte, length) = match byte {
            Some(byte) if *first == b'%' => (byte, 3),
            _ => (*first, 1),
        };
        bytes.push(byte);
        rest = &rest[length..];
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
