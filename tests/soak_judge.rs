//! The soak's judge: each promise is seen when it is broken.

use chervilquay::soak::judge::Got;
use chervilquay::soak::judge::Judge;
use chervilquay::soak::judge::Run;
use chervilquay::soak::judge::STORE;
use chervilquay::time::Millis;

fn run(id: &str, path: &str, pool: &'static str) -> Run {
    Run {
        id: id.to_string(),
        path: path.to_string(),
        pool,
        upstream: "u1".to_string(),
    }
}

fn sent(path: &str, at: u64) -> Judge {
    let mut judge = Judge::default();
    judge.sent(Millis(at), "e", "a", path);
    judge
}

/// Guards against a judge that misses a request nobody sent, or one that changed.
#[test]
fn foreign_runs_are_seen() {
    let mut judge = sent("/safe/1", 100);
    judge.ran(Millis(110), run("a", "/safe/1", "left"));
    assert!(judge.broken().is_empty());
    judge.ran(Millis(110), run("a", "/safe/2", "left"));
    judge.ran(Millis(110), run("b", "/safe/1", "left"));
    assert_eq!(judge.broken().len(), 2);
}

/// Guards against a judge that misses a second run, or a refusal that is not
/// true, before or after the run.
#[test]
fn runs_at_most_once() {
    let mut judge = sent("/once/1", 100);
    judge.ran(Millis(110), run("a", "/once/1", "left"));
    judge.answered(Millis(120), "a", &Got::Failure(502));
    assert!(judge.broken().is_empty());
    judge.answered(Millis(120), "a", &Got::Failure(503));
    assert_eq!(judge.broken().len(), 1);
    judge.ran(Millis(130), run("a", "/once/1", "left"));
    assert_eq!(judge.broken().len(), 3, "twice, and after a refusal");
    let mut safe = sent("/safe/1", 100);
    for _ in 0..2 {
        safe.ran(Millis(110), run("a", "/safe/1", "left"));
    }
    safe.answered(Millis(120), "a", &Got::Failure(503));
    assert!(safe.broken().is_empty());
}

/// Guards against a judge that misses work for a leaving upstream, or blames a
/// process that a fault kept from knowing.
#[test]
fn drain_binds_calm_processes() {
    let at = Millis(10_000);
    let mut judge = sent("/safe/1", 11_900);
    judge.leaving(at, "u1");
    judge.ran(Millis(12_000), run("a", "/safe/1", "left"));
    assert!(judge.broken().is_empty());
    judge.disturb("e");
    judge.ran(Millis(12_100), run("a", "/safe/1", "left"));
    judge.calmed(Millis(12_200), "e");
    judge.ran(Millis(15_100), run("a", "/safe/1", "left"));
    assert!(judge.broken().is_empty());
    judge.ran(Millis(15_300), run("a", "/safe/1", "left"));
    assert_eq!(judge.broken().len(), 1);
    judge.disturbed(Millis(15_400), STORE);
    judge.ran(Millis(15_500), run("a", "/safe/1", "left"));
    assert_eq!(judge.broken().len(), 1);
}

/// Guards against a judge that misses a configuration that is not in force in
/// time, or a process that goes back to an older one.
#[test]
fn configurations_hold() {
    let mut judge = Judge::default();
    judge.configured(Millis(0), "left");
    judge.configured(Millis(10_000), "right");
    judge.sent(Millis(11_900), "e", "a", "/moves/1");
    judge.ran(Millis(11_950), run("a", "/moves/1", "left"));
    assert!(judge.broken().is_empty());
    judge.ran(Millis(12_000), run("a", "/moves/1", "right"));
    judge.sent(Millis(12_400), "e", "b", "/moves/2");
    judge.ran(Millis(12_410), run("b", "/moves/2", "left"));
    assert_eq!(judge.broken().len(), 2, "too late, and back");
    judge.started("e");
    judge.disturbed(Millis(12_500), "e");
    judge.ran(Millis(12_600), run("b", "/moves/2", "left"));
    assert_eq!(judge.broken().len(), 2);
}

/// Guards against a judge that misses a request cut by a planned stop, or one
/// that got no answer at all.
#[test]
fn planned_stops_cut_nothing() {
    let mut judge = sent("/safe/1", 1_000);
    judge.stopped(Millis(900), "e");
    judge.answered(Millis(1_200), "a", &Got::Closed);
    assert!(judge.broken().is_empty(), "it never reached an upstream");
    judge.ran(Millis(1_100), run("a", "/safe/1", "left"));
    judge.answered(Millis(1_200), "a", &Got::Closed);
    judge.answered(Millis(9_000), "a", &Got::Nothing);
    judge.answered(Millis(9_000), "a", &Got::Wrong("text".to_string()));
    assert_eq!(judge.broken().len(), 3);
    let mut paused = sent("/safe/1", 1_000);
    paused.disturb("e");
    paused.calmed(Millis(2_000), "e");
    paused.answered(Millis(6_500), "a", &Got::Nothing);
    assert!(
        paused.broken().is_empty(),
        "it was not read before the wake"
    );
}
