//! Requests that crash upstreams, and the parts of prompts that they share.

use chervilquay::gate::CrashDetector;
use chervilquay::gate::CrashTable;
use chervilquay::gate::Progress;
use chervilquay::gate::Signatures;
use chervilquay::gate::crash_table::Crash;
use chervilquay::gate::crash_table::MAX_REPORTED;
use chervilquay::gate::crash_table::Report;
use chervilquay::gate::crash_table::Verdict;
use chervilquay::time::Millis;

/// Part of prompts on which upstreams crash.
const DEADLY: u64 = 99;

/// Part that all requests of a caller have.
const COMMON: u64 = 7;

fn request(number: u64, parts: &[u64]) -> Signatures {
    Signatures {
        request: 1_000 + number,
        parts: parts.to_vec(),
    }
}

fn any_progress(rng: &mut fastrand::Rng) -> Progress {
    [Progress::Sent, Progress::Head, Progress::Event][rng.usize(..3)]
}

fn verdict(table: &mut CrashTable, now: u64, request: &Signatures) -> Verdict {
    table.verdict(Millis(now), request, false, |_| false)
}

/// A table in which `DEADLY` was blocked by crashes at 0 s, 1 s and 2 s.
fn blocked() -> CrashTable {
    let mut table = CrashTable::default();
    for n in 0..3 {
        let blocked = table.record_crash(
            Millis(n * 1_000),
            n,
            &request(n, &[COMMON, DEADLY]),
            Progress::Head,
        );
        assert_eq!(blocked.contains(&DEADLY), n == 2);
        table.record_answer(Millis(n * 1_000 + 200), &request(500 + n, &[COMMON]));
    }
    table
}

/// Guards against requests that are all different, but share a part on which upstreams
/// crash, and against refusals of sound requests that share their other parts.
#[test]
fn shared_part_is_blocked() {
    let mut table = blocked();
    let now = 2_300;
    let deadly = request(50, &[COMMON, DEADLY]);
    assert_eq!(verdict(&mut table, now, &deadly), Verdict::Block(DEADLY));
    let other = request(51, &[8, DEADLY]);
    assert_eq!(verdict(&mut table, now, &other), Verdict::Block(DEADLY));
    assert_eq!(
        verdict(&mut table, now, &request(52, &[COMMON])),
        Verdict::Pass
    );
    assert_eq!(verdict(&mut table, now, &request(53, &[])), Verdict::Pass);
}

/// Guards against a common part that is blocked beside the deadly one: it was answered
/// shortly before, even if nothing is answered between the crashes.
#[test]
fn part_answered_before_is_not_blocked_first() {
    let mut table = CrashTable::default();
    table.record_answer(Millis(100), &request(1, &[COMMON]));
    for n in 0..3 {
        table.record_crash(
            Millis(1_000 + n * 400),
            n,
            &request(10 + n, &[COMMON, DEADLY]),
            Progress::Head,
        );
    }
    let sound = request(20, &[COMMON]);
    assert_eq!(verdict(&mut table, 2_000, &sound), Verdict::Pass);
    let deadly = request(21, &[DEADLY]);
    assert_eq!(verdict(&mut table, 2_000, &deadly), Verdict::Block(DEADLY));
}

/// Guards against a part that became deadly after it had been answered.
#[test]
fn part_answered_long_ago_can_be_blocked() {
    let mut table = CrashTable::default();
    table.record_answer(Millis(100), &request(1, &[DEADLY]));
    for n in 0..6 {
        table.record_crash(
            Millis(1_000 + n * 400),
            n,
            &request(10 + n, &[DEADLY]),
            Progress::Head,
        );
    }
    let next = request(21, &[DEADLY]);
    assert_eq!(verdict(&mut table, 4_000, &next), Verdict::Block(DEADLY));
}

/// Guards against one request that crashes each upstream that its repeats reach.
#[test]
fn repeated_request_is_blocked() {
    let mut table = CrashTable::default();
    let same = request(1, &[]);
    assert!(
        table
            .record_crash(Millis(0), 1, &same, Progress::Head)
            .is_empty()
    );
    assert_eq!(verdict(&mut table, 500, &same), Verdict::Pass);
    assert_eq!(
        table.record_crash(Millis(900), 2, &same, Progress::Head),
        [same.request]
    );
    assert_eq!(
        verdict(&mut table, 1_000, &same),
        Verdict::Block(same.request)
    );
    assert_eq!(verdict(&mut table, 1_000, &request(2, &[])), Verdict::Pass);
}

/// Guards against a part that is blocked as all upstreams were lost at once, by a fault
/// of their own, with several of its requests each time.
#[test]
fn upstreams_lost_together_block_no_part() {
    let mut table = CrashTable::default();
    for (time, crash) in [(0, 0), (5_000, 10)] {
        for upstream in 0..9 {
            let lost = request(crash + upstream, &[COMMON]);
            table.record_crash(
                Millis(time + upstream * 10),
                upstream,
                &lost,
                Progress::Head,
            );
        }
    }
    let next = request(50, &[COMMON]);
    assert_eq!(verdict(&mut table, 6_000, &next), Verdict::Pass);
}

/// Guards against requests that are blocked as they waited in queues of upstreams that
/// crashed by the requests before them.
#[test]
fn requests_in_queues_count_less() {
    let mut table = CrashTable::default();
    let waiting = request(1, &[COMMON]);
    for n in 0..3 {
        table.record_crash(Millis(n * 1_000), n, &waiting, Progress::Sent);
    }
    assert_eq!(verdict(&mut table, 3_000, &waiting), Verdict::Pass);
}

/// Guards against a suspected request that is sent again after it was lost.
#[test]
fn suspect_is_not_repeated() {
    let mut table = CrashTable::default();
    for n in 0..2 {
        table.record_crash(Millis(n * 1_000), n, &request(n, &[DEADLY]), Progress::Head);
    }
    let next = request(5, &[DEADLY]);
    let repeat = table.verdict(Millis(1_500), &next, true, |_| true);
    assert_eq!(repeat, Verdict::Block(DEADLY));
    let first = table.verdict(Millis(1_500), &next, false, |_| true);
    assert_eq!(first, Verdict::Pass);
}

/// Guards against a request that is sent again at once when it was lost after two crashes: that
/// loss becomes known as a crash only when the upstream refuses connections.
#[test]
fn request_with_crashes_is_not_repeated() {
    let mut table = CrashTable::default();
    let same = request(1, &[]);
    for n in 0..2 {
        table.record_crash(Millis(n * 5), n, &same, Progress::Sent);
        let repeat = table.verdict(Millis(n * 5 + 1), &same, true, |_| true);
        let expected = [Verdict::Pass, Verdict::Block(same.request)][n as usize];
        assert_eq!(repeat, expected);
    }
    assert_eq!(verdict(&mut table, 5_000, &same), Verdict::Pass);
}

/// Guards against a block that no answer can end, as no request is sent any more, and
/// against tests of it that crash more upstreams than one each.
#[test]
fn block_is_tested_by_one_request() {
    let mut table = blocked();
    let deadly = request(50, &[DEADLY]);
    let early = table.verdict(Millis(31_000), &deadly, false, |_| true);
    assert_eq!(early, Verdict::Block(DEADLY));
    let at = Millis(32_100);
    let elsewhere = table.verdict(at, &deadly, false, |_| false);
    assert_eq!(elsewhere, Verdict::Block(DEADLY));
    let test = table.verdict(at, &deadly, false, |_| true);
    assert_eq!(test, Verdict::Test(DEADLY));
    let second = table.verdict(at, &request(51, &[DEADLY]), false, |_| true);
    assert_eq!(second, Verdict::Block(DEADLY));
    // The test crashes an upstream: the next one comes four times as late.
    table.record_crash(Millis(33_000), 9, &deadly, Progress::Head);
    let later = table.verdict(Millis(33_000 + 119_000), &deadly, false, |_| true);
    assert_eq!(later, Verdict::Block(DEADLY));
    let due = Millis(33_000 + 120_000);
    assert_eq!(
        table.verdict(due, &deadly, false, |_| true),
        Verdict::Test(DEADLY)
    );
    // This one is answered.
    table.record_answer(due, &deadly);
    assert_eq!(verdict(&mut table, due.0 + 1, &deadly), Verdict::Pass);
}

/// Guards against entries that each wait for crashes of their own, and against reports
/// that count twice when they are late, repeated or come from several entries.
#[test]
fn entries_add_up_their_crashes() {
    let mut tables = [
        CrashTable::default(),
        CrashTable::default(),
        CrashTable::default(),
    ];
    for n in 0..3_u64 {
        let at = Millis(n * 1_000);
        tables[n as usize].record_crash(at, n, &request(n, &[DEADLY]), Progress::Head);
        // Another entry lost a request in the queue of the same upstream, a little later.
        let other = (n as usize + 1) % 3;
        let queued = request(100 + n, &[DEADLY]);
        tables[other].record_crash(Millis(at.0 + 40), n, &queued, Progress::Sent);
    }
    let reports: Vec<Vec<Report>> = tables.iter().map(|t| t.export(Millis(2_100))).collect();
    let mut table = CrashTable::default();
    for reports in reports.iter().rev().chain(&reports).chain(&reports) {
        for report in reports {
            table.merge(Millis(2_200), report);
        }
    }
    assert_eq!(table.points(Millis(2_200), DEADLY), 12);
    let next = request(50, &[DEADLY]);
    assert_eq!(verdict(&mut table, 2_200, &next), Verdict::Block(DEADLY));
    // An answer at any entry clears the part everywhere.
    tables[0].merge(Millis(2_200), &reports[1][0]);
    tables[0].record_answer(Millis(2_300), &request(60, &[DEADLY]));
    for report in tables[0].export(Millis(2_400)) {
        table.merge(Millis(2_400), &report);
    }
    assert_eq!(verdict(&mut table, 2_400, &next), Verdict::Pass);
}

/// Guards against a part that became deadly after it had been answered at all entries, each of
/// which loses one request with it and waits for more.
#[test]
fn entries_add_up_crashes_of_an_answered_part() {
    let mut tables = vec![CrashTable::default(); 30];
    for table in &mut tables {
        table.record_answer(Millis(10), &request(1, &[DEADLY]));
    }
    for n in 0..6 {
        let at = Millis(1_000 + n * 500);
        tables[n as usize].record_crash(at, n, &request(10 + n, &[DEADLY]), Progress::Head);
        let reports: Vec<Vec<Report>> = tables.iter().map(|t| t.export(at)).collect();
        for table in &mut tables {
            for report in reports.iter().flatten() {
                table.merge(Millis(at.0 + 20), report);
            }
        }
    }
    let next = request(50, &[DEADLY]);
    for table in &mut tables {
        assert_eq!(verdict(table, 4_000, &next), Verdict::Block(DEADLY));
    }
}

/// Guards against a block that is forgotten as the entries are restarted one after the
/// other: each new one learns of it from those that have only heard of it.
#[test]
fn block_outlives_restarts_of_entries() {
    let mut table = blocked();
    for generation in 0..5 {
        let now = Millis(3_000 + generation * 2_000);
        let mut next = CrashTable::default();
        for report in table.export(now) {
            next.merge(Millis(now.0 + 10), &report);
        }
        table = next;
    }
    let next = request(50, &[COMMON, DEADLY]);
    assert_eq!(verdict(&mut table, 13_000, &next), Verdict::Block(DEADLY));
    assert_eq!(
        verdict(&mut table, 13_000, &request(51, &[COMMON])),
        Verdict::Pass
    );
}

/// Guards against datagrams to all processes, after each crash, about requests that were only
/// waiting at it, and about each answer that clears one of them.
#[test]
fn waiting_requests_are_not_reported() {
    let mut table = CrashTable::default();
    for n in 0..40 {
        table.record_crash(Millis(0), 1, &request(n, &[n]), Progress::Sent);
    }
    assert!(table.export(Millis(10)).is_empty());
    for n in 0..40 {
        table.record_finish(Millis(100 + n), &request(n, &[n]));
    }
    assert!(table.export(Millis(200)).is_empty());
    // One of an upstream that had begun is told, and its answer only for some time.
    table.record_crash(Millis(300), 1, &request(50, &[50]), Progress::Head);
    assert_eq!(table.export(Millis(310)).len(), 2);
    table.record_answer(Millis(400), &request(51, &[50]));
    assert_eq!(table.export(Millis(410)).len(), 2);
    assert_eq!(table.export(Millis(6_000)).len(), 1);
}

/// Guards against requests without an answer of which other entries never hear, as each report
/// holds the same ones of many.
#[test]
fn unanswered_requests_are_reported_in_turn() {
    let mut table = CrashTable::default();
    for n in 0..40 {
        table.record_crash(Millis(0), 1, &request(n, &[]), Progress::Sent);
    }
    assert!(table.export(Millis(900)).is_empty());
    let mut told = std::collections::BTreeSet::new();
    for step in 0..40 {
        let reports = table.export(Millis(1_000 + step * 250));
        assert_eq!(reports.len(), MAX_REPORTED);
        told.extend(reports.iter().map(|r| r.signature));
    }
    assert_eq!(told.len(), 40);
}

/// Guards against a report that grows, or a table that a peer fills, without bound.
#[test]
fn tables_and_reports_are_bounded() {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut table = CrashTable::default();
    for n in 0..5_000_u64 {
        let now = Millis(n * 10);
        let parts = [rng.u64(..), rng.u64(..8)];
        match rng.u32(..4) {
            0 => {
                table.record_answer(now, &request(n, &parts));
                if rng.bool() {
                    table.record_finish(now, &request(n, &parts));
                }
            }
            1 => {
                let progress = any_progress(&mut rng);
                table.record_crash(now, rng.u64(..4), &request(n, &parts), progress);
            }
            _ => {
                let mut crashes = Vec::new();
                for upstream in 0..rng.u64(..40) {
                    crashes.push(Crash {
                        upstream,
                        at: Millis(rng.u64(..=now.0)),
                        progress: any_progress(&mut rng),
                        sound: rng.bool(),
                    });
                }
                let report = Report {
                    signature: rng.u64(..2_000),
                    is_part: rng.bool(),
                    heard: Vec::new(),
                    crashes,
                    answered: rng.bool().then(|| Millis(rng.u64(..=now.0))),
                    finished: rng.bool().then(|| Millis(rng.u64(..=now.0))),
                };
                table.merge(now, &report);
            }
        }
        assert!(table.len() <= 1_024);
        let reports = table.export(now);
        assert!(reports.len() <= MAX_REPORTED);
        assert!(reports.iter().all(|r| r.crashes.len() + r.heard.len() <= 8));
    }
    table.tick(Millis(5_000 * 10 + 600_000));
    assert!(table.is_empty(), "forgotten after the longest block");
}

/// Guards against a crash that the entry of its cause does not recognise, as it had only
/// one request there, and its agent tells of the end before or after the loss.
#[test]
fn end_told_by_others_shows_a_crash() {
    let mut detector = CrashDetector::default();
    assert!(
        detector
            .record_loss(Millis(10), Millis(0), "u", 1)
            .is_empty()
    );
    assert_eq!(detector.record_end(Millis(60), Millis(15), "u"), [1]);
    assert_eq!(detector.record_loss(Millis(70), Millis(0), "u", 2), [2]);
    assert!(
        detector
            .record_loss(Millis(70), Millis(0), "other", 3)
            .is_empty()
    );
    assert!(
        detector
            .record_loss(Millis(1_600), Millis(0), "u", 4)
            .is_empty()
    );
    // A report of an end that came late says nothing of later losses.
    assert!(
        detector
            .record_end(Millis(4_000), Millis(1_000), "u")
            .is_empty()
    );
    assert!(
        detector
            .record_loss(Millis(4_010), Millis(0), "u", 5)
            .is_empty()
    );
}

/// Guards against resets of the entry's own connections that count as crashes.
#[test]
fn losses_at_many_upstreams_are_no_crash() {
    let mut detector = CrashDetector::default();
    for n in 0..12 {
        let upstream = format!("u{}", n % 4);
        assert!(
            detector
                .record_loss(Millis(10 + n), Millis(0), &upstream, n)
                .is_empty()
        );
    }
}

/// Plays requests that are each lost at some upstreams before anything was sent, at the times
/// given; every crash is seen by the entry of the same number. Entries hear of each other
/// every 300 ms. Returns how many crashes there were before all entries refuse the request.
fn crashes_until_blocked(entries: usize, crashes: &[(u64, usize)], progress: Progress) -> usize {
    let mut tables = vec![CrashTable::default(); entries];
    let deadly = request(1, &[]);
    let mut now = 0;
    let mut share_until = |tables: &mut Vec<CrashTable>, end: u64| {
        while now + 300 <= end {
            now += 300;
            let reports: Vec<Report> = tables.iter().flat_map(|t| t.export(Millis(now))).collect();
            for table in tables.iter_mut() {
                for report in &reports {
                    table.merge(Millis(now + 20), report);
                }
            }
        }
    };
    let mut count = 0;
    for round in crashes.chunk_by(|a, b| a.0 == b.0) {
        let at = round[0].0;
        share_until(&mut tables, at);
        // Those of one moment are sent before any of them is lost.
        let is_sent = |(at, entry): &&(u64, usize)| {
            verdict(&mut tables[*entry], *at, &deadly) == Verdict::Pass
        };
        let sent: Vec<_> = round.iter().filter(is_sent).collect();
        for (at, entry) in &sent {
            count += 1;
            tables[*entry].record_crash(Millis(*at), 50 + count as u64, &deadly, progress);
        }
        if sent.is_empty() {
            return count;
        }
    }
    count
}

/// Crashes that come in rounds, each at `in_round` upstreams `gap` milliseconds apart.
fn rounds(every: u64, in_round: usize, gap: u64) -> Vec<(u64, usize)> {
    let crash = |n: usize| {
        let at = (n / in_round) as u64 * every + (n % in_round) as u64 * gap;
        (at, n % in_round % 3)
    };
    (0..8 * in_round).map(crash).collect()
}

/// Guards against a request that is never blocked, as its upstreams crash before they have sent
/// anything, or after an event, which is taken for a proof that it is sound. Its crashes come
/// within a few milliseconds and are taken for one, or are so many that those of earlier rounds
/// are dropped, or each entry has seen only one of them.
#[test]
fn crashes_in_all_patterns_add_up() {
    /// Retries that may reach upstreams later than [`CONTACT_MS`] after the third crash.
    const MAX_RETRIES: usize = 3;
    const CONTACT_MS: u64 = 3_000;
    let patterns = [
        ("three at once, every 5 s", rounds(5_000, 3, 2)),
        ("one, every 5 s", rounds(5_000, 1, 0)),
        ("two in turn, every 5 s", rounds(5_000, 2, 300)),
        ("three in turn, every 4 s", rounds(4_000, 3, 700)),
        ("nine at once, every 5 s", rounds(5_000, 9, 0)),
        ("one, every 400 ms", rounds(400, 1, 0)),
        ("one, every 70 s", rounds(70_000, 1, 0)),
        (
            "one at each entry, every 5 s",
            (0..8).map(|n| (n * 5_000, n as usize)).collect(),
        ),
    ];
    for (name, crashes) in patterns {
        for progress in [Progress::Sent, Progress::Event] {
            let reached = crashes_until_blocked(8, &crashes, progress);
            let late = crashes[..reached].iter();
            let late = late.filter(|(at, _)| *at > crashes[2].0 + CONTACT_MS);
            let late = late.count();
            assert!(late <= MAX_RETRIES, "{name}, {progress:?}: {late} late");
        }
    }
}

/// Guards against a sound request that many callers send, blocked as it ran at several of the
/// upstreams that were lost at once, or as those of a zone are lost again and again.
#[test]
fn popular_request_is_not_blocked() {
    let mut tables = vec![CrashTable::default(); 3];
    let popular = request(1, &[]);
    for round in 0..6_u64 {
        let start = 1_000 + round * 5_000;
        for table in &mut tables {
            table.record_finish(Millis(start - 900), &popular);
        }
        for upstream in 0..9 {
            let entry = upstream as usize % 3;
            tables[entry].record_crash(
                Millis(start + upstream),
                upstream,
                &popular,
                Progress::Sent,
            );
        }
        // Nothing is served until the upstreams are back, and entries hear of each other.
        for step in 1..=8 {
            let now = Millis(start + step * 400);
            let reports: Vec<Report> = tables.iter().flat_map(|t| t.export(now)).collect();
            for table in &mut tables {
                for report in &reports {
                    table.merge(now, report);
                }
                assert_eq!(
                    verdict(table, now.0, &popular),
                    Verdict::Pass,
                    "round {round}"
                );
            }
        }
    }
}

/// Guards against a sound request that stays under suspicion at the entries that have lost it,
/// as those that serve it have no reason to say so.
#[test]
fn answer_at_another_entry_clears_a_request() {
    let (mut lost, mut served) = (CrashTable::default(), CrashTable::default());
    let popular = request(1, &[]);
    lost.record_crash(Millis(0), 1, &popular, Progress::Head);
    served.record_finish(Millis(500), &popular);
    for report in lost.export(Millis(1_200)) {
        served.merge(Millis(1_210), &report);
    }
    for report in served.export(Millis(1_300)) {
        lost.merge(Millis(1_310), &report);
    }
    assert_eq!(lost.points(Millis(1_400), popular.request), 0);
}

/// Guards against a part that is never blocked, as its upstreams crash before they have sent
/// anything, several at once in each round.
#[test]
fn part_without_head_is_blocked() {
    let mut table = CrashTable::default();
    for n in 0..15_u64 {
        let at = Millis(n / 3 * 5_000 + n % 3 * 2);
        table.record_crash(at, n, &request(n, &[DEADLY]), Progress::Sent);
        table.record_crash(
            Millis(at.0 + 400),
            n,
            &request(100 + n, &[DEADLY]),
            Progress::Sent,
        );
    }
    let more = Millis(25_000);
    table.record_crash(more, 90, &request(90, &[DEADLY]), Progress::Sent);
    let next = request(91, &[DEADLY]);
    assert_eq!(verdict(&mut table, 25_100, &next), Verdict::Block(DEADLY));
}

/// Guards against a stream that is never blocked, as upstreams crash on it now before and now
/// after its first event.
#[test]
fn events_do_not_clear_a_request() {
    let mut table = CrashTable::default();
    let stream = request(1, &[]);
    for n in 0..4 {
        let at = n * 5_000;
        let progress = [Progress::Head, Progress::Event][n as usize % 2];
        if progress == Progress::Event {
            table.record_answer(Millis(at), &stream);
        }
        table.record_crash(Millis(at + 20), n, &stream, progress);
    }
    assert_eq!(
        verdict(&mut table, 20_000, &stream),
        Verdict::Block(stream.request)
    );
    table.record_finish(Millis(20_100), &stream);
    assert_eq!(verdict(&mut table, 20_200, &stream), Verdict::Pass);
}

/// Guards against a part of prompts on which upstreams crash after some events: the events of
/// its own requests do not show that it is sound.
#[test]
fn part_that_crashes_after_events_is_blocked() {
    let mut table = CrashTable::default();
    for n in 0..6 {
        let at = 1_000 + n * 3_000;
        let lost = request(n, &[COMMON, DEADLY]);
        table.record_answer(Millis(at), &lost);
        table.record_crash(Millis(at + 300), n, &lost, Progress::Event);
        table.record_finish(Millis(at + 900), &request(500 + n, &[COMMON]));
    }
    let deadly = request(50, &[COMMON, DEADLY]);
    assert_eq!(verdict(&mut table, 20_000, &deadly), Verdict::Block(DEADLY));
    let sound = request(51, &[COMMON]);
    assert_eq!(verdict(&mut table, 20_000, &sound), Verdict::Pass);
}

/// Guards against sound streams, and the parts that they share, blocked as they were being sent
/// by upstreams that were killed, one by one or a zone at once, and went on elsewhere.
#[test]
fn streams_at_killed_upstreams_are_not_blocked() {
    let mut table = CrashTable::default();
    for kill in 0..12_u64 {
        let at = 1_000 + kill * 2_000;
        let upstreams = if kill % 3 == 0 { 5 } else { 1 };
        for upstream in 0..upstreams {
            for stream in 0..16 {
                let lost = request(kill * 100 + upstream * 16 + stream, &[COMMON, kill]);
                table.record_crash(Millis(at + upstream), upstream, &lost, Progress::Event);
                let next = table.verdict(Millis(at + 10), &lost, true, |_| false);
                assert_eq!(next, Verdict::Pass, "goes on elsewhere, kill {kill}");
            }
        }
        table.record_finish(Millis(at + 1_200), &request(kill * 100, &[COMMON, kill]));
        let next = request(90_000 + kill, &[COMMON]);
        assert_eq!(verdict(&mut table, at + 1_500, &next), Verdict::Pass);
    }
    assert_eq!(table.blocked(), 0);
}

/// Guards against sound requests blocked as one upstream breaks off each answer at once: it is
/// sent the next request after the loss of the one before, so it has not crashed.
#[test]
fn answers_broken_off_in_turn_are_no_crash() {
    let mut detector = CrashDetector::default();
    for n in 0..30_u64 {
        let (sent, lost) = (Millis(10 * n + 1), Millis(10 * n + 4));
        let crashed = detector.record_loss(lost, sent, "u", n);
        assert!(crashed.is_empty(), "{crashed:?}");
    }
    // Those that were there together show a crash.
    for n in 0..3 {
        let crashed = detector.record_loss(Millis(1_000 + n), Millis(900), "u", 90 + n);
        assert_eq!(crashed.contains(&92), n == 2);
    }
}
