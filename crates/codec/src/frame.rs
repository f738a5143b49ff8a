//! Frames between entry members, in CBOR.

use jacinthhoist_core::{ClaimKey, MemberName, Offset, PoolName, VmName};
use serde::{Deserialize, Serialize};
use snafu::ensure;

use crate::{
    error::{FrameSnafu, Result, VersionSnafu},
    platform::LogRecord,
};

/// The version written and read.
const FRAME_VERSION: u64 = 1;

/// The first frame on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloFrame {
    /// The frame version that the sender speaks.
    pub version: u64,
    /// The sender.
    pub member: MemberName,
    /// The sender's incarnation.
    pub nonce: u64,
}

impl HelloFrame {
    /// A greeting in the version of this program.
    pub fn new(member: MemberName, nonce: u64) -> Self {
        Self {
            version: FRAME_VERSION,
            member,
            nonce,
        }
    }
}

/// How busy a member is with a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// The pool.
    pub pool: PoolName,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Slots the member may use.
    pub slots: u32,
}

/// A heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatFrame {
    /// Counts up.
    pub seq: u64,
    /// The last offset folded.
    pub folded: Option<Offset>,
    /// How busy the sender is.
    pub pools: Vec<PoolLoad>,
}

/// Slots of a VM on loan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmLoan {
    /// The VM.
    pub vm: VmName,
    /// How many of its slots.
    pub slots: u32,
}

/// An upstream's answer that is kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// The upstream's status.
    pub status: u16,
    /// The answer's content type.
    pub content_type: Option<String>,
    /// The whole body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// What the holder of a claim says of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// It is waiting or running.
    Running,
    /// It ended, and this was the answer.
    Answer(StoredResponse),
    /// It ended, and the answer is not kept.
    Gone,
    /// It is proved that it did not run.
    Released,
    /// It may have run: its connection ended without an answer.
    Unknown,
}

/// One frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// The sender says who it is.
    Hello(HelloFrame),
    /// The sender is alive.
    Beat(HeartbeatFrame),
    /// The sender wants slots of a pool.
    Borrow {
        /// Matches the answer to this frame.
        id: u64,
        /// The pool.
        pool: PoolName,
        /// Slots wanted.
        slots: u32,
    },
    /// The answer to a wish for slots.
    Lend {
        /// The wish.
        id: u64,
        /// The pool.
        pool: PoolName,
        /// Slots lent; none where there are none.
        loans: Vec<VmLoan>,
        /// For how long, in milliseconds.
        span_ms: u64,
    },
    /// The borrower gives the slots of a loan back before its span is over.
    Return {
        /// The wish that the loan answered.
        id: u64,
    },
    /// The sender asks for log records.
    Want {
        /// From this offset on.
        from: Offset,
    },
    /// Log records that the sender has read.
    Records {
        /// The records, in order.
        records: Vec<LogRecord>,
    },
    /// The sender asks what became of a claimed request.
    AskClaim {
        /// Matches the answer to this frame.
        id: u64,
        /// The key.
        key: ClaimKey,
    },
    /// The answer about a claimed request.
    TellClaim {
        /// The question.
        id: u64,
        /// The answer.
        reply: ClaimReply,
    },
}

/// The bytes of a frame.
///
/// ```
/// use jacinthhoist_codec::{decode_frame, encode_frame, PeerFrame};
/// use jacinthhoist_core::Offset;
/// let frame = PeerFrame::Want { from: Offset(4) };
/// assert_eq!(decode_frame(&encode_frame(&frame).unwrap()).unwrap(), frame);
/// assert!(decode_frame(b"\xff garbage").is_err());
/// ```
///
/// # Errors
///
/// None for frames of this program.
pub fn encode_frame(frame: &PeerFrame) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let written = ciborium::into_writer(frame, &mut bytes);
    written.map_err(|error| {
        FrameSnafu {
            message: error.to_string(),
        }
        .build()
    })?;
    Ok(bytes)
}

/// The frame that bytes say.
///
/// # Errors
///
/// A syntax error for garbage, a version error for a greeting in another version.
pub fn decode_frame(bytes: &[u8]) -> Result<PeerFrame> {
    let read = ciborium::from_reader(bytes);
    let frame = read.map_err(|error| {
        FrameSnafu {
            message: error.to_string(),
        }
        .build()
    })?;
    if let PeerFrame::Hello(hello) = &frame {
        let known = FRAME_VERSION;
        ensure!(
            hello.version == known,
            VersionSnafu {
                found: hello.version,
                known
            }
        );
    }
    Ok(frame)
}
