//! Learned cost of requests that look alike.

use chervilquay::route::estimate::Estimates;
use chervilquay::route::estimate::Forecast;
use chervilquay::route::estimate::Kind;
use chervilquay::time::Millis;
use fastrand::Rng;

/// Output that is assumed without observations, in tokens.
const USUAL: f64 = 100.0;

fn kind(organisation: &str) -> Kind {
    Kind::new("chat", Some("m"), Some(organisation), ["template"])
}

/// Lets an entry observe `count` requests, one each 50 ms.
fn observe(estimates: &mut Estimates, from: u64, count: u64, organisation: &str, output: f64) {
    let mut rng = Rng::with_seed(from);
    for index in 0..count {
        let at = Millis(from + 50 * index);
        let output = output * (0.8 + 0.4 * rng.f64());
        estimates.learn(at, &kind(organisation), USUAL, Some(USUAL), output, true);
    }
}

fn expected(estimates: &Estimates, now: u64, organisation: &str) -> f64 {
    let kind = kind(organisation);
    let forecast = estimates.forecast(Millis(now), &kind, USUAL, Some(USUAL));
    forecast.map_or(f64::NAN, |f| f.mean())
}

fn assert_near(found: f64, wanted: f64) {
    assert!(
        (0.8..1.25).contains(&(found / wanted)),
        "{found} against {wanted}"
    );
}

/// Load: two organisations with the same route, prompt and estimate, one of which gets ten
/// times as long answers. Guards against one expectation for both.
#[test]
fn alike_requests_are_told_apart() {
    let mut estimates = Estimates::default();
    for round in 0..40 {
        observe(&mut estimates, 10_000 + 50 * round, 1, "brief", 30.0);
        observe(&mut estimates, 10_025 + 50 * round, 1, "wordy", 300.0);
    }
    assert_near(expected(&estimates, 12_100, "brief"), 30.0);
    assert_near(expected(&estimates, 12_100, "wordy"), 300.0);
    let other = expected(&estimates, 12_100, "other");
    assert!((60.0..250.0).contains(&other), "{other}");
}

/// Load: callers whose estimates are twice the truth. Guards against trust in estimates that
/// are wrong by a factor, and against no use of them at all.
#[test]
fn estimates_count_as_they_have_proved() {
    let (mut estimates, mut rng) = (Estimates::default(), Rng::with_seed(1));
    for index in 0..200 {
        let output = 20.0 * (3.0 * rng.f64()).exp();
        let at = Millis(10_000 + 50 * index);
        estimates.learn(at, &kind("o"), USUAL, Some(2.0 * output), output, true);
    }
    for output in [40.0, 100.0, 300.0] {
        let now = Millis(20_000);
        let forecast = estimates.forecast(now, &kind("o"), USUAL, Some(2.0 * output));
        assert_near(forecast.map_or(0.0, |f| f.mean()), output);
    }
}

/// Load: answers are suddenly twice as long. Guards against an average that takes a minute to
/// follow.
#[test]
fn a_shift_is_followed_within_seconds() {
    let mut estimates = Estimates::default();
    observe(&mut estimates, 10_000, 1_200, "o", 100.0);
    assert_near(expected(&estimates, 70_000, "o"), 100.0);
    observe(&mut estimates, 70_000, 60, "o", 200.0);
    assert_near(expected(&estimates, 73_000, "o"), 200.0);
}

/// Load: one of two organisations on a route gets longer answers. Guards against a shift of
/// one that makes the other forgotten.
#[test]
fn a_shift_of_one_leaves_the_other() {
    let mut estimates = Estimates::default();
    observe(&mut estimates, 10_000, 400, "steady", 50.0);
    observe(&mut estimates, 10_025, 400, "moved", 50.0);
    for round in 0..40 {
        observe(&mut estimates, 30_000 + 100 * round, 1, "steady", 50.0);
        observe(&mut estimates, 30_050 + 100 * round, 1, "moved", 200.0);
    }
    assert_near(expected(&estimates, 34_000, "steady"), 50.0);
    assert_near(expected(&estimates, 34_000, "moved"), 200.0);
}

/// Load: a new entry beside one that has run for a minute. Guards against a start without
/// knowledge, and against observations that count twice when they are told again.
#[test]
fn a_new_entry_starts_from_its_peers() {
    let (mut old, mut new) = (Estimates::default(), Estimates::default());
    observe(&mut old, 10_000, 100, "o", 300.0);
    assert!(expected(&new, 15_000, "o").is_nan());
    for at in [15_000, 15_100, 15_200] {
        let told = old.told(Millis(at)).to_vec();
        assert!(!told.is_empty());
        new.merge(Millis(at), "old", told);
    }
    assert_near(expected(&new, 15_300, "o"), 300.0);
    // As many own observations as the peer has told count as much as the peer's.
    observe(&mut new, 15_300, 100, "o", 300.0);
    let once = expected(&new, 20_300, "o");
    assert_near(once, 300.0);
    assert!(
        new.told(Millis(20_300))
            .iter()
            .all(|s| s.weight <= 16 * 100)
    );
    assert!(old.told(Millis(15_600)).is_empty(), "one round a second");
    new.retain_peers(Millis(20_300), |_| false);
    assert_near(expected(&new, 20_300, "o"), 300.0);
}

/// Load: a peer that has started again. Guards against the counts of its earlier start, and
/// against those of a peer that is gone.
#[test]
fn a_peer_that_is_gone_no_longer_counts() {
    let (mut old, mut new) = (Estimates::default(), Estimates::default());
    observe(&mut old, 10_000, 100, "o", 300.0);
    new.merge(Millis(15_000), "a", old.told(Millis(15_000)).to_vec());
    let mut again = Estimates::default();
    observe(&mut again, 15_000, 20, "o", 30.0);
    new.merge(Millis(16_000), "a", again.told(Millis(16_000)).to_vec());
    assert_near(expected(&new, 16_000, "o"), 30.0);
    new.retain_peers(Millis(16_000), |_| false);
    assert!(expected(&new, 16_000, "o").is_nan());
}

/// Load: callers that leave long answers half-way. Guards against cut-off streams that count
/// as short answers.
#[test]
fn a_cut_off_stream_is_not_a_short_one() {
    let (mut estimates, mut rng) = (Estimates::default(), Rng::with_seed(1));
    for index in 0..200 {
        let at = Millis(10_000 + 50 * index);
        let output = 100.0 * (0.5 + rng.f64());
        let (seen, is_whole) = if rng.bool() {
            (output, true)
        } else {
            (60.0, false)
        };
        let is_whole = is_whole || output <= seen;
        estimates.learn(at, &kind("o"), USUAL, None, seen.min(output), is_whole);
    }
    let forecast = estimates.forecast(Millis(20_000), &kind("o"), USUAL, None);
    let mean = forecast.map_or(0.0, |f| f.mean());
    assert!((88.0..125.0).contains(&mean), "{mean}");
}

/// Load: a stream that goes on beyond its expectation. Guards against remaining work that is
/// zero or negative then, and against an expectation that ignores what was written.
#[test]
fn what_is_left_depends_on_what_is_written() {
    let (mut estimates, mut rng) = (Estimates::default(), Rng::with_seed(1));
    for index in 0..400 {
        let output = if rng.f64() < 0.8 { 20.0 } else { 400.0 };
        let at = Millis(10_000 + 20 * index);
        estimates.learn(at, &kind("o"), USUAL, None, output, true);
    }
    let forecast = estimates.forecast(Millis(18_000), &kind("o"), USUAL, None);
    let forecast = forecast.unwrap_or_else(|| Forecast::around(0.0));
    assert_near(forecast.mean(), 96.0);
    assert_near(forecast.left(40.0), 360.0);
    assert!(forecast.left(1_000.0) > 50.0);
    assert!(forecast.quantile(0.5) < 30.0 && forecast.upper(0.0) > 300.0);
    assert_eq!(forecast.within(50.0).left(50.0), 0.0);
}

/// Load: callers that name a new part of the prompt each time. Guards against memory that
/// grows with the number of kinds.
#[test]
fn memory_is_bounded() {
    let mut estimates = Estimates::default();
    for index in 0..3_000_u64 {
        let part = index.to_string();
        let kind = Kind::new("chat", Some("m"), Some("o"), [part.as_str()]);
        estimates.learn(Millis(10_000 + index), &kind, USUAL, None, 50.0, true);
    }
    assert!(estimates.len() <= 1_024);
    assert_near(expected(&estimates, 13_000, "o"), 50.0);
}
