//! Admission: a request is only dispatched to the verified version that it names.

use chervilquay::gate::AdmitRequest;
use chervilquay::gate::Gate;
use chervilquay::gate::OwnPool;
use chervilquay::gate::Permit;
use chervilquay::gate::admit::LEAVE_GRACE;
use chervilquay::gate::admit::MAX_OBSERVE_GAP;
use chervilquay::gate::admit::Verdict;
use chervilquay::prelude::*;

const T0: Millis = Millis(10_000);

fn own_pool(revision: u64) -> OwnPool {
    OwnPool {
        pool: "p".to_string(),
        model: "m".to_string(),
        revision,
        is_service: false,
    }
}

fn request(digest: &str, revision: u64) -> AdmitRequest {
    AdmitRequest {
        pool: "p".to_string(),
        model: "m".to_string(),
        digest: digest.to_string(),
        revision,
        deadline: Millis(1_000_000),
    }
}

fn ready_gate() -> Gate {
    let mut gate = Gate::new(T0);
    gate.set_pool(Some(own_pool(3)));
    gate.set_engine(0, "v1", 3);
    gate
}

fn permit(gate: &mut Gate, now: Millis) -> Permit {
    match gate.admit(now, &request("v1", 3), false) {
        Verdict::Admit(permit) => permit,
        verdict => panic!("{verdict:?}"),
    }
}

fn refused(code: Code) -> Verdict {
    Verdict::Refuse(code)
}

// Guards against admission of requests for another pool, model or version, or without a
// known state of the engine.
#[test]
fn only_the_own_version() {
    let mut gate = Gate::new(T0);
    assert_eq!(
        gate.admit(T0, &request("v1", 3), true),
        refused(Code::TablesMissing)
    );
    gate.set_pool(Some(own_pool(3)));
    let code = Code::EngineUnavailable;
    assert_eq!(gate.admit(T0, &request("v1", 3), false), refused(code));
    gate.set_engine(0, "v1", 3);
    assert!(gate.is_serving());
    permit(&mut gate, T0);
    let other = refused(Code::VersionMismatch);
    assert_eq!(gate.admit(T0, &request("v2", 3), false), other);
    for change in [
        |r: &mut AdmitRequest| r.pool.clear(),
        |r: &mut AdmitRequest| r.model.clear(),
    ] {
        let mut request = request("v1", 3);
        change(&mut request);
        assert_eq!(gate.admit(T0, &request, false), other);
    }
    // A higher fencing number shows an order by a process with newer tables.
    gate.set_engine(0, "v1", 4);
    assert_eq!(gate.admit(T0, &request("v1", 3), false), other);
}

// Guards against requests that are refused because of changes of the tables that do not
// concern the pool, and against decisions with older tables than the entry has.
#[test]
fn revisions_differ() {
    let mut gate = ready_gate();
    assert!(matches!(
        gate.admit(T0, &request("v1", 2), false),
        Verdict::Admit(_)
    ));
    assert_eq!(gate.admit(T0, &request("v1", 4), false), Verdict::Refresh);
    assert!(matches!(
        gate.admit(T0, &request("v1", 4), true),
        Verdict::Admit(_)
    ));
}

// Guards against a load that changes the weights between admission and dispatch, or
// while a request runs.
#[test]
fn loads_close_the_gate() {
    let mut gate = ready_gate();
    let held = permit(&mut gate, T0);
    let epoch = gate.engine_epoch();
    gate.start_order();
    assert_eq!(gate.dispatch(T0, &held), Err(Code::VersionMismatch));
    gate.set_engine(gate.engine_epoch(), "v1", 3);
    assert!(!gate.is_serving());
    gate.end_order();
    gate.set_engine(epoch, "v1", 3);
    assert_eq!(gate.dispatch(T0, &held), Err(Code::EngineUnavailable));
    // The engine reports a version that this process has not verified.
    gate.set_pool(Some(own_pool(4)));
    gate.set_engine(gate.engine_epoch(), "v2", 4);
    let refusal = refused(Code::VersionMismatch);
    assert_eq!(gate.admit(T0, &request("v2", 4), false), refusal);
    assert_eq!(gate.dispatch(T0, &held), Err(Code::VersionMismatch));
    gate.set_verified("v2");
    assert!(gate.is_serving());
}

// Guards against an order that replaces the weights under a running request.
#[test]
#[should_panic(expected = "order while a request runs")]
fn order_needs_idle_engine() {
    let mut gate = ready_gate();
    let held = permit(&mut gate, T0);
    assert_eq!(gate.dispatch(T0, &held), Ok(()));
    gate.start_order();
}

// Guards against forwarding an answer of other weights, and against admission because of
// a state that was read before the mismatch.
#[test]
fn mismatch_closes_the_gate() {
    let mut gate = ready_gate();
    let held = permit(&mut gate, T0);
    assert_eq!(gate.dispatch(T0, &held), Ok(()));
    assert!(gate.check_answer(&held, Some("v1")).is_ok());
    let epoch = gate.engine_epoch();
    let error = gate.check_answer(&held, Some("v2")).unwrap_err();
    assert_eq!(
        (error.code, error.run),
        (Code::AnswerMismatch, Run::Unknown)
    );
    gate.set_engine(epoch, "v1", 3);
    assert!(!gate.is_serving());
    gate.set_engine(gate.engine_epoch(), "v1", 3);
    assert!(gate.is_serving());
    assert!(gate.check_answer(&held, None).is_err());
}

// Guards against the dispatch of a request whose deadline has passed while it waited or
// while the process was paused.
#[test]
fn waits_are_rechecked() {
    let mut gate = ready_gate();
    let mut soon = request("v1", 3);
    soon.deadline = T0.plus(Millis(1_000));
    let Verdict::Admit(held) = gate.admit(T0, &soon, false) else {
        panic!("not admitted");
    };
    let late = T0.plus(Millis(1_000));
    assert_eq!(gate.dispatch(late, &held), Err(Code::DeadlineExceeded));
    assert_eq!(
        gate.admit(late, &soon, false),
        refused(Code::DeadlineExceeded)
    );
}

// Guards against decisions with tables from before a pause of the process.
#[test]
fn jumps_make_views_stale() {
    let mut gate = ready_gate();
    let held = permit(&mut gate, T0);
    let no_pause = T0.plus(MAX_OBSERVE_GAP);
    assert_eq!(gate.dispatch(no_pause, &held), Ok(()));
    let after_pause = no_pause.plus(MAX_OBSERVE_GAP).plus(Millis(1));
    assert_eq!(gate.dispatch(after_pause, &held), Err(Code::UpstreamBusy));
    assert_eq!(
        gate.admit(after_pause, &request("v1", 3), true),
        Verdict::Refresh
    );
    // The request may have waited since before the pause, longer than its deadline allows.
    let mut short = request("v1", 3);
    short.deadline = after_pause.plus(MAX_OBSERVE_GAP);
    let late = refused(Code::DeadlineExceeded);
    assert_eq!(gate.admit(after_pause, &short, false), late);
    gate.record_refresh(after_pause);
    permit(&mut gate, after_pause);
    assert!(matches!(
        gate.admit(after_pause, &short, false),
        Verdict::Admit(_)
    ));
}

// Guards against new requests at an upstream that leaves, and against refusing those
// that it admitted before.
#[test]
fn leaving_refuses_new_work() {
    let mut gate = ready_gate();
    let held = permit(&mut gate, T0);
    gate.set_leaving(T0, true);
    let code = Code::UpstreamLeaving;
    assert_eq!(gate.admit(T0, &request("v1", 3), false), refused(code));
    let mut now = T0;
    while now < T0.plus(LEAVE_GRACE) {
        now = now.plus(Millis(500));
        gate.set_leaving(now, true);
        assert_eq!(gate.dispatch(now, &held), Ok(()));
    }
    now = now.plus(Millis(1));
    assert_eq!(gate.dispatch(now, &held), Err(code));
    gate.set_leaving(now, false);
    permit(&mut gate, now);
}
