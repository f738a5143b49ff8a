//! Snapshots of the folded state, split into parts that fit a record.

use serde::{Deserialize, Serialize};

use crate::record::Offset;

/// One part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The last offset folded into the state.
    pub offset: Offset,
    /// The number of this part, from zero.
    pub index: u32,
    /// How many parts there are.
    pub count: u32,
    /// Digest of the whole text.
    pub digest: u64,
    /// This part of the text.
    pub text: String,
}

/// A whole snapshot being put together from parts of one digest.
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
    texts: Vec<Option<String>>,
}

impl SnapshotAssembler {
    /// Takes a part and returns the whole text once no part is missing.
    ///
    /// Parts of a newer snapshot displace those of an older one.
    pub fn add(&mut self, part: &SnapshotPart) -> Option<String> {
        let same = part.offset == self.offset && part.digest == self.digest;
        if !same || self.texts.len() != part.count as usize {
            if part.offset < self.offset {
                return None;
            }
            self.offset = part.offset;
            self.digest = part.digest;
            self.texts = vec![None; part.count as usize];
        }
        let text = self.texts.get_mut(part.index as usize)?;
        *text = Some(part.text.clone());
        self.texts.iter().cloned().collect()
    }
}
