//! Splitting a stream into events, so that only whole events are passed on.

use chervilquay::net::events::Framer;
use chervilquay::net::events::MAX_EVENT;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nx-weight-versions: 2\nid: 3\ndata: c\n\n";

/// Guards against events that depend on how their bytes are split into reads.
#[test]
fn any_split_gives_the_same_events() {
    for cut in 0..STREAM.len() {
        let mut framer = Framer::default();
        let mut ids = Vec::new();
        let mut bytes = Vec::new();
        for part in [&STREAM[..cut], &STREAM[cut..]] {
            framer.push(part);
            while let Some(event) = framer.next_event() {
                ids.push(event.id);
                bytes.extend_from_slice(&event.bytes);
            }
        }
        assert_eq!(ids, [Some(1), Some(2), Some(3)], "cut at {cut}");
        assert_eq!(bytes, STREAM, "cut at {cut}");
        assert_eq!(framer.partial_len(), 0);
    }
}

/// Guards against passing on a part of an event when a runner breaks off.
#[test]
fn part_of_an_event_is_kept_back() {
    let mut framer = Framer::default();
    framer.push(b"id: 7\ndata: half");
    assert_eq!(framer.next_event(), None);
    assert!(framer.partial_len() > 0);
}

/// Guards against buffering an event without a limit.
#[test]
fn event_without_end_is_over() {
    let mut framer = Framer::default();
    let mut held = 0;
    while !framer.is_too_long() {
        framer.push(&[b'a'; 4096]);
        assert_eq!(framer.next_event(), None);
        held += 4096;
        assert!(held <= MAX_EVENT + 4096, "{held} bytes are held");
    }
    let mut framer = Framer::default();
    framer.push(&[b'a'; MAX_EVENT - 1]);
    assert!(!framer.is_too_long());
    framer.push(b"\n\n");
    assert!(framer.next_event().is_some());
    assert!(!framer.is_too_long());
}
