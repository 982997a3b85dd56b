//! Which versions may still begin requests, and when runners are ordered to load.

use chervilquay::rollout::reload::Reload;
use chervilquay::rollout::reload::RunnerState;
use chervilquay::rollout::versions::Dating;
use chervilquay::rollout::versions::NamedVersion;
use chervilquay::rollout::versions::Naming;
use chervilquay::rollout::versions::Versions;
use chervilquay::time::Millis;

const BOUND: Millis = Millis(8_000);

/// Guards against requests that begin on an older version after the bound.
#[test]
fn replaced_version_ends_before_its_bound() {
    let mut versions = Versions::default();
    versions.record(Millis(100_000), BOUND, false, "m", 2);
    versions.record(Millis(102_000), BOUND, false, "m", 3);
    assert_eq!(versions.newest("m"), (3, Millis(102_000)));
    assert_eq!(versions.oldest_allowed(Millis(105_000), BOUND, "m"), 0);
    assert_eq!(versions.oldest_allowed(Millis(107_900), BOUND, "m"), 2);
    assert_eq!(versions.oldest_allowed(Millis(109_900), BOUND, "m"), 3);
    assert_eq!(versions.expires_at(BOUND, "m", 1), Some(Millis(108_000)));
    assert_eq!(versions.expires_at(BOUND, "m", 2), Some(Millis(110_000)));
    assert_eq!(versions.expires_at(BOUND, "m", 3), None);
}

/// Guards against a request that waits at a runner and begins there after the bound:
/// the process learnt of the version 104 ms after its acknowledgement, and the cancel
/// reached the runner 50 ms late.
#[test]
fn waiting_requests_are_cancelled_before_the_bound() {
    let mut versions = Versions::default();
    let (named_at, delay) = (Millis(100_104), Millis(150));
    versions.record(named_at, BOUND, false, "m", 2);
    let cancel = versions.cancel_at(BOUND, "m", 1).unwrap();
    assert!(cancel.plus(delay) < Millis(108_000), "{cancel:?}");
    assert_eq!(versions.cancel_at(BOUND, "m", 2), None);
}

/// Guards against a process that has just started and uses an older version for as long
/// as the bound, though it does not know when the newer one was named.
#[test]
fn start_leaves_little_time() {
    let mut versions = Versions::default();
    versions.record(Millis(100_000), BOUND, true, "m", 2);
    assert_eq!(versions.oldest_allowed(Millis(100_000), BOUND, "m"), 0);
    assert_eq!(versions.oldest_allowed(Millis(102_600), BOUND, "m"), 2);
}

/// Guards against changes by versions that arrive in another order or twice.
#[test]
fn lower_versions_change_nothing() {
    let mut versions = Versions::default();
    versions.record(Millis(1_000), BOUND, false, "m", 3);
    versions.record(Millis(2_000), BOUND, false, "m", 2);
    versions.record(Millis(3_000), BOUND, false, "m", 3);
    assert_eq!(versions.newest("m"), (3, Millis(1_000)));
}

fn named(version: u64, at: u64) -> NamedVersion {
    NamedVersion {
        model: "m".to_string(),
        version,
        naming: Naming {
            at: Millis(at),
            dating: Dating::Exact,
        },
    }
}

/// Guards against a bound that counts from when a process learnt late of a version, also
/// when others that learnt of it late report it afterwards.
#[test]
fn earliest_naming_counts() {
    let mut versions = Versions::default();
    versions.insert("m", 2, named(2, 101_000).naming);
    assert!(versions.merge(&named(2, 100_500)));
    assert!(!versions.merge(&named(2, 100_700)));
    assert_eq!(versions.expires_at(BOUND, "m", 1), Some(Millis(108_500)));
    assert!(
        !versions.merge(&named(3, 90_000)),
        "a newer version is not added"
    );
    assert_eq!(versions.newest("m").0, 2);
}

/// Guards against a time that a process assumed at its start and that it tells others,
/// or keeps although they report the real one.
#[test]
fn assumed_naming_stays_here() {
    let mut versions = Versions::default();
    versions.record(Millis(100_000), BOUND, true, "m", 2);
    assert_eq!(versions.named_since(Millis(0)).count(), 0);
    assert!(versions.merge(&named(2, 99_000)));
    assert_eq!(versions.expires_at(BOUND, "m", 1), Some(Millis(107_000)));
    assert_eq!(versions.named_since(Millis(0)).count(), 1);
}

fn earliest(version: u64, at: u64) -> NamedVersion {
    let mut told = named(version, at);
    told.naming.dating = Dating::Earliest;
    told
}

/// Guards against a version that was named while all entries were lost, dated by when the first
/// ones were back: agents tell how long ago it cannot have been named, and entries that have
/// started assume a time.
#[test]
fn naming_while_readers_were_lost_is_dated_before() {
    let mut versions = Versions::default();
    versions.record(Millis(104_000), BOUND, true, "m", 2);
    versions.merge(&earliest(2, 100_000));
    let expiry = versions.expires_at(BOUND, "m", 1).unwrap();
    assert!(expiry <= Millis(108_000), "{expiry:?}");
    // What others told is not passed on, as each hop would date it later.
    assert_eq!(versions.named_since(Millis(0)).count(), 0);
    // A process that reads the store knows better.
    assert!(versions.merge(&named(2, 101_000)));
    assert!(!versions.merge(&earliest(2, 99_000)));
    assert!(!versions.merge(&earliest(2, 103_000)));
    assert_eq!(versions.expires_at(BOUND, "m", 1), Some(Millis(109_000)));
}

/// Guards against an agent that was cut off for long and ends the time of the previous version
/// early, as it can exclude little: the latest of such times counts.
#[test]
fn latest_of_earliest_times_counts() {
    let mut versions = Versions::default();
    versions.insert("m", 2, earliest(2, 60_000).naming);
    assert_eq!(versions.named_since(Millis(0)).count(), 1);
    assert!(versions.merge(&earliest(2, 100_000)));
    assert!(!versions.merge(&earliest(2, 70_000)));
    // Repeated messages about the same time, some of them slow, change nothing.
    assert!(!versions.merge(&earliest(2, 100_600)));
    assert_eq!(versions.expires_at(BOUND, "m", 1), Some(Millis(108_000)));
}

/// Guards against a process that starts after two versions were named and reads only the
/// newest from the store: the bound of the first applies to the version before it.
#[test]
fn missed_version_is_learnt() {
    let mut versions = Versions::default();
    versions.record(Millis(103_500), BOUND, true, "m", 3);
    versions.merge(&named(2, 100_000));
    versions.merge(&named(3, 103_000));
    assert_eq!(versions.newest("m"), (3, Millis(103_000)));
    assert_eq!(versions.expires_at(BOUND, "m", 1), Some(Millis(108_000)));
    assert_eq!(versions.expires_at(BOUND, "m", 2), Some(Millis(111_000)));
}

fn runner_state(held: Option<u64>, requests: u32) -> RunnerState {
    RunnerState {
        held,
        busy: false,
        requests,
    }
}

/// Guards against runners that load all at once, and against a turn after the bound.
#[test]
fn turns_are_spread_before_the_bound() {
    let names: Vec<String> = (0..15).map(|i| format!("u{i}")).collect();
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    let named_at = Millis(50_000);
    let mut turns: Vec<u64> = all
        .iter()
        .map(|id| {
            Reload::turn_at(named_at, BOUND, 2, id, &all)
                .since(named_at)
                .0
        })
        .collect();
    turns.sort_unstable();
    assert!(
        turns.windows(2).all(|pair| pair[1] - pair[0] >= 200),
        "{turns:?}"
    );
    assert!(turns.last().is_some_and(|last| *last < 7_000), "{turns:?}");
}

/// Guards against an empty runner that waits for its turn, and against a second order
/// for the same load.
#[test]
fn empty_runner_loads_at_once() {
    let mut reload = Reload::default();
    let turn = Millis(9_000);
    assert!(reload.is_due(Millis(1_000), turn, 2, &runner_state(None, 0)));
    assert!(!reload.is_due(Millis(1_000), turn, 2, &runner_state(Some(1), 5)));
    assert!(reload.is_due(Millis(9_000), turn, 2, &runner_state(Some(1), 5)));
    reload.record_order(Millis(9_000), 2);
    assert!(!reload.is_due(Millis(9_100), turn, 2, &runner_state(Some(1), 5)));
    assert!(!reload.is_due(Millis(20_000), turn, 2, &runner_state(Some(2), 5)));
}
