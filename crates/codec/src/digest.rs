//! Digests of bytes.

/// A 64-bit digest, the same on every machine.
///
/// ```
/// assert_eq!(jacinthhoist_codec::digest(b"a"), jacinthhoist_codec::digest(b"a"));
/// ```
pub fn digest(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}
