//! Snapshots of the replicated state, as JSON text split into parts.

use jacinthhoist_core::{FoldState, Offset, SnapshotPart};
use snafu::{ResultExt, ensure};

use crate::{
    digest::digest,
    error::{DigestSnafu, JsonSnafu, Result},
};

/// Encodes a state as parts of at most `part_bytes` bytes of text, or 4 bytes if that is more.
///
/// ```
/// use jacinthhoist_codec::{decode_snapshot, encode_snapshot};
/// use jacinthhoist_core::{FoldState, SnapshotAssembler};
/// let state = FoldState::default();
/// let mut parts = SnapshotAssembler::default();
/// let texts = encode_snapshot(&state, 16).unwrap();
/// let (text, digest) = texts.iter().find_map(|p| Some((parts.add(p)?, p.digest))).unwrap();
/// assert_eq!(decode_snapshot(&text, digest).unwrap(), state);
/// ```
///
/// # Errors
///
/// The state cannot be represented in JSON; states created by the core always can.
pub fn encode_snapshot(state: &FoldState, part_bytes: usize) -> Result<Vec<SnapshotPart>> {
    let text = serde_json::to_string(state).context(JsonSnafu)?;
    let digest = digest(text.as_bytes());
    let offset = state.folded().unwrap_or(Offset(0));
    let texts = split_text(&text, part_bytes);
    let count = texts.len() as u32;
    let part = |(index, text): (usize, &str)| SnapshotPart {
        offset,
        index: index as u32,
        count,
        digest,
        text: text.to_owned(),
    };
    Ok(texts.into_iter().enumerate().map(part).collect())
}

/// Verifies the digest of a complete text and decodes the state.
///
/// # Errors
///
/// A data error if the digest does not match, a syntax error if the text is not a state.
pub fn decode_snapshot(text: &str, expected_digest: u64) -> Result<FoldState> {
    ensure!(digest(text.as_bytes()) == expected_digest, DigestSnafu);
    serde_json::from_str(text)
        .context(JsonSnafu)
        .map_err(Into::into)
}

fn split_text(text: &str, part_bytes: usize) -> Vec<&str> {
    let mut rest = text;
    let mut parts = Vec::new();
    while rest.len() > part_bytes {
        let mut end = part_bytes.max(4);
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (part, remainder) = rest.split_at(end);
        parts.push(part);
        rest = remainder;
    }
    parts.push(rest);
    parts
}
