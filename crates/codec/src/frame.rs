//! Frames exchanged by entry members, in CBOR.

use jacinthhoist_core::{ClaimKey, MemberName, Offset, PoolName, VmName};
use serde::{Deserialize, Serialize};
use snafu::ensure;

use crate::{
    cbor,
    error::{Error, FrameSnafu, Result, VersionSnafu},
    platform::LogRecord,
};

/// Frame version that is written and accepted.
const FRAME_VERSION: u64 = 1;

/// First frame on a connection, which identifies the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloFrame {
    /// Frame version of the sender.
    pub version: u64,
    /// Name of the sender.
    pub member: MemberName,
    /// Random number of the sender's process, which identifies its incarnation.
    pub nonce: u64,
}

impl HelloFrame {
    /// Creates a hello frame with the version of this program.
    pub fn new(member: MemberName, nonce: u64) -> Self {
        Self {
            version: FRAME_VERSION,
            member,
            nonce,
        }
    }
}

/// Load of one pool at a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Name of the pool.
    pub pool: PoolName,
    /// Number of requests running.
    pub running: u32,
    /// Number of requests queued.
    pub waiting: u32,
    /// Number of slots that the member may use.
    pub slots: u32,
}

/// Heartbeat with the sender's progress and load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatFrame {
    /// Sequence number, incremented for each heartbeat.
    pub seq: u64,
    /// Last offset that the sender has applied, if any.
    pub folded: Option<Offset>,
    /// Load of each pool at the sender.
    pub pools: Vec<PoolLoad>,
}

/// Slots of a VM lent to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmLoan {
    /// Name of the VM.
    pub vm: VmName,
    /// Number of slots lent.
    pub slots: u32,
}

/// Response of an upstream, stored to answer repeated requests with the same idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// Status code of the response.
    pub status: u16,
    /// Content type of the response, if any.
    pub content_type: Option<String>,
    /// Complete body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Claim holder's reply about the claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The request is queued or running.
    Running,
    /// The request has ended with this response.
    Answer(StoredResponse),
    /// The request has ended, and its response is no longer stored.
    Gone,
    /// The request certainly did not run.
    Released,
    /// The request may have run: its connection closed without a response.
    Unknown,
}

/// A frame exchanged by entry members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// Identifies the sender.
    Hello(HelloFrame),
    /// Heartbeat of the sender.
    Beat(HeartbeatFrame),
    /// Requests slots of a pool from the receiver.
    Borrow {
        /// Id that the reply repeats.
        id: u64,
        /// Name of the pool.
        pool: PoolName,
        /// Number of slots requested.
        slots: u32,
    },
    /// Reply to a request for slots.
    Lend {
        /// Id of the request.
        id: u64,
        /// Name of the pool.
        pool: PoolName,
        /// Slots lent; empty if none are available.
        loans: Vec<VmLoan>,
        /// Duration of the loan in milliseconds.
        span_ms: u64,
    },
    /// Returns the slots of a loan before its duration ends.
    Return {
        /// Id of the request that the loan granted.
        id: u64,
    },
    /// Requests log records that the receiver has read.
    Want {
        /// First offset requested.
        from: Offset,
    },
    /// Sends log records that the sender has read.
    Records {
        /// Records in log order.
        records: Vec<LogRecord>,
    },
    /// Requests the state of a claimed request from the holder.
    AskClaim {
        /// Id that the reply repeats.
        id: u64,
        /// Claimed idempotency key.
        key: ClaimKey,
    },
    /// Reply with the state of a claimed request.
    TellClaim {
        /// Id of the request for the state.
        id: u64,
        /// State of the claimed request.
        reply: ClaimReply,
    },
}

/// Encodes a frame.
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
/// The frame cannot be represented in CBOR; frames created by this program always can.
pub fn encode_frame(frame: &PeerFrame) -> Result<Vec<u8>> {
    cbor::to_bytes(frame).map_err(invalid)
}

/// Decodes a frame.
///
/// # Errors
///
/// A syntax error if the bytes are not a frame, a version error if a hello frame has another
/// version.
pub fn decode_frame(bytes: &[u8]) -> Result<PeerFrame> {
    let frame = cbor::from_bytes(bytes).map_err(invalid)?;
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

fn invalid(message: String) -> Error {
    FrameSnafu { message }.build().into()
}
