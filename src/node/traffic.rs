//! Bytes of the calls between processes.
//!
//! Counted from the encoded messages and the frames of HTTP/2 around them, so
//! that runs in memory and over sockets are counted alike.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use prost::Message as _;

use crate::proto::FetchReply;
use crate::proto::FetchRequest;
use crate::proto::Notice;

/// Frames of a call beside its messages: two heads and trailers with
/// HPACK-indexed fields, frame headers, gRPC prefixes and window updates.
const CALL_FRAMING: u64 = 130;

/// Payload of one DATA frame.
const FRAME_PAYLOAD: u64 = 16_384;

/// Header of one frame.
const FRAME_HEADER: u64 = 9;

/// Heads of a read of the platform over HTTP/1.1, request and answer.
const READ_HEADS: u64 = 250;

/// Bytes of an exchange, both directions.
pub fn exchange_bytes(request: &Notice, reply: &Notice) -> u64 {
    call_bytes(request.encoded_len() as u64, reply.encoded_len() as u64)
}

/// Bytes of a fetch, both directions.
pub fn fetch_bytes(request: &FetchRequest, reply: &FetchReply) -> u64 {
    call_bytes(request.encoded_len() as u64, reply.encoded_len() as u64)
}

fn call_bytes(request: u64, reply: u64) -> u64 {
    let frames = |bytes: u64| bytes.div_ceil(FRAME_PAYLOAD) * FRAME_HEADER;
    CALL_FRAMING + request + frames(request) + reply + frames(reply)
}

/// Bytes of a read of the platform that answers with `text`.
pub fn read_bytes(text: &str) -> u64 {
    READ_HEADS + text.len() as u64
}

/// Bytes that a process has spent on tables, both directions.
#[derive(Debug, Default)]
pub struct Traffic {
    bytes: AtomicU64,
}

impl Traffic {
    /// Adds the bytes of a call.
    pub fn add(&self, bytes: u64) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Bytes since the start.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}
