//! Query of a request to the store.

use std::collections::HashMap;

/// Parameters of a request's query.
pub(super) struct QueryParameters(HashMap<String, String>);

impl QueryParameters {
    pub(super) fn parse(text: &str) -> Self {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        Self(
            pairs
                .map(|(key, value)| (key.to_owned(), value.to_owned()))
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
