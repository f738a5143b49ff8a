//! Encoding and decoding errors; each message includes a remedy.

use snafu::Snafu;

/// Result of encoding or decoding.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Encoding or decoding error, boxed so that it is one pointer wide.
///
/// ```
/// use jacinthhoist_codec::{decode_record, Category};
/// assert_eq!(decode_record("{").unwrap_err().category(), Category::Syntax);
/// ```
#[derive(Debug, Snafu)]
#[snafu(source(from(ErrorKind, Box::new)))]
pub struct Error(Box<ErrorKind>);

impl Error {
    /// Coarse category of the error.
    pub fn category(&self) -> Category {
        match *self.0 {
            ErrorKind::Version { .. } => Category::Version,
            ErrorKind::EntryField { .. } | ErrorKind::UnknownTable { .. } => Category::Data,
            ErrorKind::SeenMark { .. } | ErrorKind::Digest => Category::Data,
            ErrorKind::Json { .. }
            | ErrorKind::Toml { .. }
            | ErrorKind::Frame { .. }
            | ErrorKind::Cbor { .. } => Category::Syntax,
        }
    }
}

/// Coarse categories of error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The input is not valid in its format.
    Syntax,
    /// The input is well-formed but has an invalid value.
    Data,
    /// The input has an unsupported version.
    Version,
}

/// Detailed reasons for an error.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ErrorKind {
    /// The text is not valid JSON of the expected type.
    #[snafu(display("invalid JSON ({source}): check the program that wrote it"))]
    Json {
        /// Error of the decoder.
        source: serde_json::Error,
    },
    /// The text is not valid TOML.
    #[snafu(display("invalid TOML: {source}Correct the marked line"))]
    Toml {
        /// Error of the decoder.
        source: Box<toml::de::Error>,
    },
    /// A field of a catalogue entry is unknown or has an invalid value.
    #[snafu(display("{entry}: {message}: correct that field"))]
    EntryField {
        /// Invalid entry.
        entry: String,
        /// Error message of the decoder.
        message: String,
    },
    /// The file has an unknown table.
    #[snafu(display(
        "`{table}` is not a table of the catalogue: use owners, pools, works, waves, policy or remove"
    ))]
    UnknownTable {
        /// Name of the table.
        table: String,
    },
    /// The `seen` mark of an entry cannot be parsed.
    #[snafu(display(
        "{entry}: `seen` is not a value written by `catalogue show`: delete the line"
    ))]
    SeenMark {
        /// Entry with the mark.
        entry: String,
    },
    /// A frame from a peer cannot be decoded.
    #[snafu(display(
        "invalid peer frame ({message}): check that all members run the same release"
    ))]
    Frame {
        /// Error message of the decoder.
        message: String,
    },
    /// A stored record or a frame of the scheduler cannot be decoded.
    #[snafu(display(
        "invalid scheduler record or frame ({message}): check that all members run the same release"
    ))]
    Cbor {
        /// Error message of the decoder.
        message: String,
    },
    /// The version is not supported.
    #[snafu(display("version {found} is not supported, only {known}: upgrade this program"))]
    Version {
        /// Version of the input.
        found: u64,
        /// Supported version.
        known: u64,
    },
    /// The digest of a snapshot does not match its text.
    #[snafu(display("the digest of the snapshot does not match its text: use an older snapshot"))]
    Digest,
}
