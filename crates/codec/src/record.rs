//! Log records, as JSON text with a format version.

use jacinthhoist_core::Record;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use crate::error::{JsonSnafu, Result, VersionSnafu};

/// Format version that is written and accepted.
const RECORD_VERSION: u64 = 1;

#[derive(Deserialize)]
struct VersionProbe {
    v: u64,
}

#[derive(Serialize, Deserialize)]
struct RecordEnvelope<R> {
    v: u64,
    record: R,
}

/// Encodes a record as text.
///
/// ```
/// use jacinthhoist_codec::{decode_record, encode_record};
/// use jacinthhoist_core::{ClockTime, MemberName, Record, RecordId, Step};
/// let id = RecordId { member: MemberName::new("entry-1"), nonce: 3, seq: 1 };
/// let record = Record { id, at: ClockTime::from_millis(5), steps: vec![Step::Leave] };
/// assert_eq!(decode_record(&encode_record(&record).unwrap()).unwrap(), record);
/// ```
///
/// # Errors
///
/// The record cannot be represented in JSON; records created by the core always can.
pub fn encode_record(record: &Record) -> Result<String> {
    serde_json::to_string(&RecordEnvelope {
        v: RECORD_VERSION,
        record,
    })
    .context(JsonSnafu)
    .map_err(Into::into)
}

/// Decodes a record from text.
///
/// # Errors
///
/// A syntax error if the text is not a record, a version error if its version is not supported.
pub fn decode_record(text: &str) -> Result<Record> {
    let probe: VersionProbe = serde_json::from_str(text).context(JsonSnafu)?;
    ensure!(
        probe.v == RECORD_VERSION,
        VersionSnafu {
            found: probe.v,
            known: RECORD_VERSION
        }
    );
    let envelope: RecordEnvelope<Record> = serde_json::from_str(text).context(JsonSnafu)?;
    Ok(envelope.record)
}
