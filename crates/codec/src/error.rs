//! Why bytes could not be read, with the remedy in the message.

use snafu::Snafu;

/// The result of an encoding.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An encoding error, one word wide.
///
/// ```
/// use jacinthhoist_codec::{decode_record, Category};
/// assert_eq!(decode_record("{").unwrap_err().category(), Category::Syntax);
/// ```
#[derive(Debug, Snafu)]
#[snafu(source(from(ErrorKind, Box::new)))]
pub struct Error(Box<ErrorKind>);

impl Error {
    /// The coarse kind of this error.
    pub fn category(&self) -> Category {
        match *self.0 {
            ErrorKind::Version { .. } => Category::Version,
            ErrorKind::EntryField { .. } | ErrorKind::UnknownTable { .. } => Category::Data,
            ErrorKind::Seen { .. } | ErrorKind::Digest => Category::Data,
            ErrorKind::Json { .. }
            | ErrorKind::Toml { .. }
            | ErrorKind::Frame { .. }
            | ErrorKind::Cbor { .. } => Category::Syntax,
        }
    }
}

/// Coarse kinds of encoding error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The bytes are not of the format.
    Syntax,
    /// The bytes are of the format and say something that cannot be used.
    Data,
    /// The bytes are of a version that this program does not know.
    Version,
}

/// Detailed kinds of encoding error.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ErrorKind {
    /// The text is not the JSON that was expected.
    #[snafu(display("not readable as JSON of this kind ({source}): check who wrote it"))]
    Json {
        /// What the decoder said.
        source: serde_json::Error,
    },
    /// The text is not TOML.
    #[snafu(display("not readable as TOML: {source}Correct the place it points to"))]
    Toml {
        /// What the decoder said.
        source: Box<toml::de::Error>,
    },
    /// An entry has a field that cannot be used.
    #[snafu(display("{entry}: {message}: correct the field it names"))]
    EntryField {
        /// The entry.
        entry: String,
        /// What the decoder said.
        message: String,
    },
    /// The file has a table that is not known.
    #[snafu(display(
        "`{table}` is not a table of a catalogue: use owners, pools, works, waves, policy or remove"
    ))]
    UnknownTable {
        /// The table.
        table: String,
    },
    /// A `seen` mark cannot be read.
    #[snafu(display("{entry}: `seen` is not a mark that `catalogue show` wrote: delete it"))]
    Seen {
        /// The entry.
        entry: String,
    },
    /// A peer's frame cannot be read.
    #[snafu(display(
        "not readable as a peer frame ({message}): check that all members run the same release"
    ))]
    Frame {
        /// What the decoder said.
        message: String,
    },
    /// A stored record or a frame of the scheduler cannot be read.
    #[snafu(display(
        "not readable as a record of the scheduler ({message}): check that all members run the same release"
    ))]
    Cbor {
        /// What the decoder said.
        message: String,
    },
    /// The version is not known.
    #[snafu(display("version {found} is not known here, only {known}: upgrade this program"))]
    Version {
        /// What was found.
        found: u64,
        /// What is known.
        known: u64,
    },
    /// A snapshot's digest does not match its text.
    #[snafu(display("the snapshot's digest does not match: use an older snapshot"))]
    Digest,
}
