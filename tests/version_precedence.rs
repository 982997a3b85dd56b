//! Versions that are named a few seconds apart while the origin of weights is away.

use bytes::Bytes;
use chervilquay::rollout::manifest::Digest;
use chervilquay::rollout::pieces::PieceDigests;
use chervilquay::rollout::pieces::Pieces;
use chervilquay::rollout::precedence::Held;
use chervilquay::rollout::roots;
use chervilquay::time::Millis;

const COUNT: u32 = 64;

/// Returns a version wanted from the time 0 on, of which `arrived` pieces came at `at`.
fn version(number: u64, arrived: u32, at: u64) -> Pieces {
    let bytes = Bytes::from_static(b"piece");
    let digests = PieceDigests {
        model: "m".to_string(),
        version: number,
        pieces: vec![Digest::of(bytes.clone()); COUNT as usize],
    };
    let mut pieces = Pieces::new(digests, Millis(0));
    for index in 0..arrived {
        assert!(pieces.insert(Millis(at), index, bytes.clone()));
    }
    pieces
}

fn held(expiry: u64) -> Held {
    Held {
        version: Some(1),
        expiry: Some(Millis(expiry)),
    }
}

/// Guards against a fleet without any version that may answer: the held version expires
/// soon, the version before the newest is complete, and the newest has begun to arrive.
#[test]
fn complete_version_is_loaded() {
    let (previous, newest) = (version(2, COUNT, 900), version(3, 4, 7_000));
    assert!(held(9_000).prefers(Millis(7_100), &previous, &newest));
    let partial = version(2, COUNT - 1, 900);
    assert!(!held(9_000).prefers(Millis(7_100), &partial, &newest));
}

/// Guards against two loads where one is enough: the newest arrives in time.
#[test]
fn newest_goes_first_in_time() {
    let (previous, newest) = (version(2, COUNT, 900), version(3, 4, 1_000));
    assert!(!held(9_000).prefers(Millis(1_100), &previous, &newest));
    let complete = version(3, COUNT, 7_000);
    assert!(!held(9_000).prefers(Millis(7_100), &previous, &complete));
}

/// Guards against a stage that is taken back for a version that is loaded already, and
/// against links that carry two versions while the pieces of the newest flow.
#[test]
fn loaded_or_moving_version_is_left() {
    let (previous, newest) = (version(2, COUNT, 900), version(3, 4, 7_000));
    let loaded = Held {
        version: Some(2),
        expiry: Some(Millis(7_200)),
    };
    assert!(!loaded.prefers(Millis(7_100), &previous, &newest));
    let partial = version(2, 56, 900);
    assert!(!held(9_000).keeps_pulling(Millis(7_100), &partial, &newest));
    assert!(held(9_000).keeps_pulling(Millis(8_100), &partial, &newest));
}

/// Guards against an agent that passes on several times as many pieces as others and delays
/// the version for its whole zone, and against agents that disagree on most sources when
/// their lists differ in one agent.
#[test]
fn pieces_are_divided_evenly() {
    let names: Vec<String> = (0..33).map(|i| format!("side-{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let roots = roots::assign("m/2", 64, &names);
    let count = |name: &&str| roots.iter().filter(|root| *root == name).count();
    // Two each would do; by rank alone, one agent has six.
    assert!(names.iter().map(count).all(|pieces| pieces <= 3));
    let fewer = roots::assign("m/2", 64, &names[1..]);
    let same = roots.iter().zip(&fewer).filter(|(a, b)| a == b).count();
    assert!(same >= 32, "{same} of 64 sources are the same");
    assert!(roots::assign("m/2", 64, &[]).is_empty());
}

/// Guards against agents that disagree on the sources of most pieces as each finds others
/// unusable for a while: only the pieces of such an agent move.
#[test]
fn unusable_agent_moves_only_its_pieces() {
    let names: Vec<String> = (0..9).map(|i| format!("side-{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let all = roots::choose("m/2", 48, &names, &|_| true);
    let without = roots::choose("m/2", 48, &names, &|name| name != "side-3");
    for (before, after) in all.iter().zip(&without) {
        let is_moved = *before == Some("side-3");
        assert_eq!(before != after, is_moved);
        assert_ne!(*after, Some("side-3"));
    }
    assert_eq!(roots::choose("m/2", 1, &names, &|_| false), [None]);
}
