//! Bytes of the calls that spread the tables.
//!
//! They are computed from the encoded messages and an estimate of the HTTP framing around
//! them, so that a simulation in memory and a run over sockets give the same figures.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use prost::Message as _;

use crate::proto::FetchReply;
use crate::proto::FetchRequest;
use crate::proto::Notice;

/// Bytes of an HTTP/2 call beside its messages: HEADERS of request and answer and trailers
/// with HPACK-indexed fields, frame headers, gRPC prefixes and window updates.
const CALL_FRAMING_BYTES: u64 = 130;

/// Largest payload of one HTTP/2 DATA frame, in bytes.
const FRAME_PAYLOAD_BYTES: u64 = 16_384;

/// Header of one HTTP/2 frame, in bytes.
const FRAME_HEADER_BYTES: u64 = 9;

/// Bytes of the HTTP/1.1 heads of a read of the platform, request and answer.
const READ_HEAD_BYTES: u64 = 250;

/// Bytes of an exchange of notices, both directions.
pub fn exchange_bytes(request: &Notice, reply: &Notice) -> u64 {
    call_bytes(request.encoded_len() as u64, reply.encoded_len() as u64)
}

/// Bytes of a fetch of a document, both directions.
pub fn fetch_bytes(request: &FetchRequest, reply: &FetchReply) -> u64 {
    call_bytes(request.encoded_len() as u64, reply.encoded_len() as u64)
}

fn call_bytes(request: u64, reply: u64) -> u64 {
    let frames = |bytes: u64| bytes.div_ceil(FRAME_PAYLOAD_BYTES) * FRAME_HEADER_BYTES;
    CALL_FRAMING_BYTES + request + frames(request) + reply + frames(reply)
}

/// Bytes of a read of the platform whose answer has the body `text`.
pub fn read_bytes(text: &str) -> u64 {
    READ_HEAD_BYTES + text.len() as u64
}

/// Counts the bytes that a process has sent and received to spread tables.
#[derive(Debug, Default)]
pub struct Traffic {
    bytes: AtomicU64,
}

impl Traffic {
    /// Adds the bytes of a call.
    pub fn add(&self, bytes: u64) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Bytes since the process started.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}
