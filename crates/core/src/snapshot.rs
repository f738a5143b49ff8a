//! Snapshots of the replicated state, split into parts that fit into a record.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::record::Offset;

/// One part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Last offset applied to the state.
    pub offset: Offset,
    /// Zero-based index of this part.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// Digest of the complete text.
    pub digest: u64,
    /// Text of this part.
    pub text: String,
}

/// Reassembles a snapshot from parts with the same digest.
///
/// ```
/// use jacinthhoist_core::{Offset, SnapshotPart, SnapshotAssembler};
/// let mut parts = SnapshotAssembler::default();
/// let part = |index, text: &str| SnapshotPart {
///     offset: Offset(4), index, count: 2, digest: 9, text: text.to_owned(),
/// };
/// assert_eq!(parts.add(&part(1, "b")), None);
/// assert_eq!(parts.add(&part(0, "a")), Some("ab".to_owned()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SnapshotAssembler {
    offset: Offset,
    digest: u64,
    count: u32,
    /// Texts by index. A map, as nothing but the record itself tells the number of parts.
    texts: BTreeMap<u32, String>,
}

impl SnapshotAssembler {
    /// Adds a part and returns the complete text once no part is missing.
    ///
    /// Parts of a newer snapshot replace those of an older one.
    pub fn add(&mut self, part: &SnapshotPart) -> Option<String> {
        let is_same_snapshot = part.offset == self.offset && part.digest == self.digest;
        if !is_same_snapshot || self.count != part.count {
            if part.offset < self.offset {
                return None;
            }
            self.offset = part.offset;
            self.digest = part.digest;
            self.count = part.count;
            self.texts.clear();
        }
        if part.index >= part.count {
            return None;
        }
        self.texts.insert(part.index, part.text.clone());
        let is_complete = self.texts.len() == part.count as usize;
        is_complete.then(|| self.texts.values().map(String::as_str).collect())
    }
}
