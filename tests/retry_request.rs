//! Retries and hedges of one request.

use chervilquay::prelude::*;
use chervilquay::route::Member;
use chervilquay::route::RequestState;
use chervilquay::route::RequestTraits;
use chervilquay::route::Router;
use chervilquay::route::action::Action;
use chervilquay::route::action::AnswerPart;
use chervilquay::route::action::Plan;

const DEADLINE: Millis = Millis(10_000);

fn router(upstreams: usize) -> Router {
    let member = |i| Member {
        name: format!("u{i}"),
        zone: "a".to_string(),
        ready: true,
    };
    let members: Vec<_> = (0..upstreams).map(member).collect();
    let mut router = Router::new(1);
    router.chooser.set_members("a", &members);
    router
}

fn state(repeatable: bool) -> RequestState<u32> {
    RequestState::new(Plan {
        traits: RequestTraits {
            cost: 20.0,
            short: true,
            repeatable,
            prefix: None,
        },
        deadline: DEADLINE,
    })
}

fn error(run: Run) -> Error {
    Error::new(Code::RpcFailed, "test").with_run(run)
}

fn sends(out: &[Action<u32>]) -> usize {
    let sent = out.iter().filter(|a| matches!(a, Action::Send { .. }));
    sent.count()
}

/// Fails each attempt at once; returns the attempts made and the last action.
fn fail_all(router: &mut Router, repeatable: bool, run: Run) -> (usize, Action<u32>, Millis) {
    let mut state = state(repeatable);
    let mut out = Vec::new();
    let mut now = Millis(1);
    state.start(now, router, &mut out);
    while !state.is_finished() {
        let attempt = state.attempts() as u32;
        state.on_fail(now, attempt, error(run), router, &mut out);
        if !state.is_finished() {
            now = now.max(state.next_tick());
            state.tick(now, router, &mut out);
        }
    }
    let last = out.last().expect("an end").clone();
    (sends(&out), last, now)
}

// Guards against a second run of a call that may not be repeated.
#[test]
fn unknown_outcome_not_repeated() {
    let mut router = router(4);
    let (attempts, last, _) = fail_all(&mut router, false, Run::Unknown);
    assert_eq!(attempts, 1);
    assert!(matches!(last, Action::Fail(e) if e.run == Run::Unknown));
    let (attempts, last, _) = fail_all(&mut router, false, Run::NotRun);
    assert_eq!(attempts, 3, "a refusal before the run is tried elsewhere");
    assert!(matches!(last, Action::Fail(e) if e.run == Run::NotRun));
}

// Guards against a failure that is reported late although no attempt follows, and against
// retries beyond the budget.
#[test]
fn fails_without_delay() {
    let mut router = router(4);
    let mut attempts = 0;
    for _ in 0..1_000 {
        let (sent, last, ended) = fail_all(&mut router, true, Run::Unknown);
        attempts += sent;
        assert!(matches!(last, Action::Fail(e) if e.retry.is_some()));
        assert!(ended < Millis(100), "{ended:?}");
    }
    assert!(attempts <= 1_105, "{attempts}");
}

// Guards against hedges of calls that may not be repeated, against two answers, and against
// an attempt that is not cancelled after the other one has won.
#[test]
fn hedge_gives_one_answer() {
    let mut router = router(4);
    (0..100).for_each(|_| router.on_request());
    for repeatable in [true, false] {
        let mut state = state(repeatable);
        let mut out = Vec::new();
        state.start(Millis(1), &mut router, &mut out);
        state.tick(Millis(5_000), &mut router, &mut out);
        assert_eq!(sends(&out), if repeatable { 2 } else { 1 });
        let winner = sends(&out) as u32;
        let mut frame = |attempt, seq, part| {
            let id = (attempt, seq);
            state.on_frame(Millis(5_001), id, part, &mut router, &mut out);
        };
        frame(1, 0, AnswerPart::Head(1));
        frame(winner, 1, AnswerPart::Data(Bytes::from_static(b"ab")));
        frame(winner, 0, AnswerPart::Head(2));
        frame(1, 1, AnswerPart::Data(Bytes::from_static(b"xy")));
        frame(winner, 1, AnswerPart::Data(Bytes::from_static(b"ab")));
        if repeatable {
            frame(winner, 2, AnswerPart::Done(2));
            let cancelled = |a: &Action<u32>| matches!(a, Action::Cancel { attempt: 1, .. });
            assert_eq!(out.iter().filter(|a| cancelled(a)).count(), 1);
        } else {
            frame(winner, 2, AnswerPart::Done(2));
        }
        let parts = out.iter().filter(|a| matches!(a, Action::Data(_)));
        assert_eq!(parts.count(), 1);
        assert_eq!(out.last(), Some(&Action::End));
        assert_eq!(router.chooser.in_flight(), 0);
    }
}
