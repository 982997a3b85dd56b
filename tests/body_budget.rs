//! Bodies of answers that are read whole, and the memory that they share.

use std::net::IpAddr;
use std::net::Ipv4Addr;

use bytes::Bytes;
use chervilquay::error::Code;
use chervilquay::metric::Metrics;
use chervilquay::net::body;
use chervilquay::net::memory::Class;
use chervilquay::net::memory::Size;
use chervilquay::net::reserve::Hold;
use chervilquay::net::reserve::Memory;
use http_body_util::StreamBody;
use hyper::body::Frame;
use smol::block_on;

/// Returns a body of these frames.
fn frames(
    lengths: &[usize],
) -> impl hyper::body::Body<Data = Bytes, Error = std::io::Error> + Unpin {
    let mut next = 0_u8;
    let frames: Vec<_> = lengths
        .iter()
        .map(|length| {
            let bytes = (0..*length).map(|_| {
                next = next.wrapping_add(1);
                next
            });
            Ok(Frame::data(bytes.collect::<Bytes>()))
        })
        .collect();
    StreamBody::new(smol::stream::iter(frames))
}

/// Returns a connection whose process may hold this many bytes of large answers for it.
fn caller(bytes: usize) -> Hold {
    let size = Size {
        bytes: bytes / 9 * 16,
        callers: 10,
        internal: 10,
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let memory = Memory::new(size, Metrics::default(), log);
    let source = IpAddr::V4(Ipv4Addr::LOCALHOST);
    block_on(memory.connect(Class::Callers, source)).expect("a connection")
}

fn expected(length: usize) -> Vec<u8> {
    let bytes = (1..=length).map(|n| (n % 256) as u8);
    bytes.collect()
}

/// Guards against bytes that are lost, doubled or moved where blocks meet.
#[test]
fn body_of_many_blocks_is_whole() {
    let block = 64 << 10;
    for lengths in [
        vec![],
        vec![1],
        vec![700, 1, 99],
        vec![block],
        vec![block, 1],
        vec![block - 1, 2, block],
        vec![3, 5 * block + 17],
        vec![10_000; 60],
    ] {
        let caller = caller(9 << 20);
        let read = body::read_reserved(frames(&lengths), 4 << 20, &caller);
        let bytes = block_on(read).expect("a whole body");
        let length = lengths.iter().sum();
        assert_eq!(bytes.len(), length);
        assert!(bytes == expected(length), "{lengths:?}");
    }
}

/// Guards against a budget that does not get back what bodies used, or that bodies exceed.
#[test]
fn budget_is_kept_and_given_back() {
    let caller = caller(1 << 20);
    for _ in 0..50 {
        let long = block_on(body::read_reserved(frames(&[2 << 20]), 4 << 20, &caller));
        assert_eq!(long.expect_err("too long").code, Code::BodyTooLarge);
    }
    // Blocks and the whole body are held at the same time for a moment.
    let read = || block_on(body::read_reserved(frames(&[400 << 10]), 4 << 20, &caller));
    let first = read().expect("room for one");
    // What the first keeps leaves no room for another one while it is read.
    assert_eq!(read().expect_err("no room").code, Code::BodyTooLarge);
    let small = block_on(body::read_reserved(frames(&[60 << 10]), 4 << 20, &caller));
    assert!(small.is_ok(), "small bodies need no room");
    drop(first);
    assert!(read().is_ok());
}
