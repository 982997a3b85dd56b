//! Splits a stream of server-sent events into whole events with their ids.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest event, in bytes. An event usually holds a few tokens.
pub const MAX_EVENT: usize = 256 << 10;

/// Splits a stream of bytes into whole events.
///
/// Bytes after the last whole event are held until the rest of their event arrives, so
/// that an answer that breaks off inside an event can be resumed on another upstream.
#[derive(Clone, Debug, Default)]
pub struct Framer {
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` that hold no end of an event.
    scanned: usize,
}

/// One whole event.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Bytes of the event as received, with the blank line that ends it.
    pub bytes: Bytes,
    /// Id of the event; `None` when it has none or one that is not a number.
    pub id: Option<u64>,
}

impl Event {
    /// Returns true when it consists of comments, which servers send to keep a stream open.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
    }
}

impl Framer {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole event; `None` when more bytes are needed.
    pub fn next_event(&mut self) -> Option<Event> {
        // The blank line may have begun in the bytes that were scanned before.
        let start = self.scanned.saturating_sub(3);
        let Some(end) = end_of_event(&self.buffer, start) else {
            self.scanned = self.buffer.len();
            return None;
        };
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns true when the bytes after the last whole event are more than
    /// [`MAX_EVENT`].
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT
    }

    /// Returns the number of bytes after the last whole event.
    pub fn partial_len(&self) -> usize {
        self.buffer.len()
    }
}

/// Returns the position after the blank line that ends the first event; the search
/// begins at `start`.
fn end_of_event(bytes: &[u8], start: usize) -> Option<usize> {
    let mut at = start;
    while at < bytes.len() {
        if bytes[at] == b'\n' {
            match (bytes.get(at + 1), bytes.get(at + 2)) {
                (Some(b'\n'), _) => return Some(at + 2),
                (Some(b'\r'), Some(b'\n')) => return Some(at + 3),
                _ => {}
            }
        }
        at += 1;
    }
    None
}

/// Returns the number in the first `id:` line of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
