//! Frames of an event stream: whole events only, with their ids.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest event, in bytes. An event holds a few tokens.
pub const MAX_EVENT: usize = 256 << 10;

/// Splits a stream of bytes into whole events.
///
/// What follows the last whole event is kept back, so that an answer that
/// breaks off in the middle of an event can go on elsewhere.
#[derive(Clone, Debug, Default)]
pub struct Framer {
    held: BytesMut,
    scanned: usize,
}

/// One whole event, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Its bytes as they came.
    pub bytes: Bytes,
    /// Its id; none when it has none.
    pub id: Option<u64>,
}

impl Framer {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let start = self.scanned.saturating_sub(3);
        let Some(end) = end_of_event(&self.held, start) else {
            self.scanned = self.held.len();
            return None;
        };
        let bytes = self.held.split_to(end).freeze();
        self.scanned = 0;
        let id = id(&bytes);
        Some(Event { bytes, id })
    }

    /// True when what follows the last whole event is too long for one.
    pub fn is_too_long(&self) -> bool {
        self.held.len() > MAX_EVENT
    }

    /// Bytes after the last whole event.
    pub fn partial_len(&self) -> usize {
        self.held.len()
    }
}

/// Position after the blank line that ends the first event.
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

fn id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
