//! Digest of bytes.

/// Computes a 64-bit xxh3 digest, which is the same on every platform.
///
/// ```
/// assert_eq!(jacinthhoist_codec::digest(b"a"), jacinthhoist_codec::digest(b"a"));
/// ```
pub fn digest(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}
