//! Callers of the demonstration, each of which checks its own answers.
//!
//! They send completions to the engines, and bookings to the plain services: calls
//! of `POST /book` with a ticket, which must run at most once. A ticket whose call
//! was answered "not run" is barred: the call never runs, also when it is sent
//! again.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde_json::Value;
use serde_json::json;

use crate::bench::fleet;
use crate::bench::fleet::Fleet;
use crate::demo::Checks;
use crate::demo::Invariant;
use crate::prelude::*;
use crate::standin::engine;

/// Number of tokens of a short and of a long completion.
const SHORT_TOKENS: u64 = 4;
const LONG_TOKENS: u64 = 120;

/// One completion in this many is long.
const LONG_INTERVAL: u64 = 8;

/// Time between two requests of a caller.
const PAUSE: Millis = Millis(5);

/// Counts of the results of all callers' requests, and the signal to stop.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Completions answered with status 200.
    pub answered: AtomicU64,
    /// Completions answered with another status or interrupted.
    pub refused: AtomicU64,
    /// Bookings of which at least one answer says that they ran.
    pub booked: AtomicU64,
    /// Answers to bookings that say neither that it ran nor that it did not.
    pub unknown: AtomicU64,
    /// Set to true to stop the callers.
    pub stop: AtomicBool,
}

/// Tickets of the bookings that were answered "not run".
#[derive(Debug, Default)]
pub struct BarredKeys {
    keys: std::sync::Mutex<Vec<String>>,
}

impl BarredKeys {
    /// Records the key if the answer says that the booking was not run; returns
    /// whether it does.
    pub fn record(&self, key: &str, status: u16, bytes: &[u8]) -> bool {
        let value: Value = serde_json::from_slice(bytes).unwrap_or_default();
        let is_barred = status != 200 && value["run"] == "not_run";
        if is_barred {
            let mut keys = self.keys.lock().unwrap_or_else(|e| e.into_inner());
            keys.push(key.to_string());
        }
        is_barred
    }

    /// Returns the keys recorded so far.
    pub fn keys(&self) -> Vec<String> {
        self.keys.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }
}

/// Sends completions through the entries in turn until `outcome.stop` is set.
pub async fn completions(fleet: Arc<Fleet>, checks: Checks, outcome: Arc<Outcome>, caller: u64) {
    let mut count = 0;
    while !outcome.stop.load(Ordering::Relaxed) {
        count += 1;
        let tokens = match count % LONG_INTERVAL {
            0 => LONG_TOKENS,
            _ => SHORT_TOKENS,
        };
        let prompt = format!("caller {caller} request {count}");
        let addr = fleet.open_entry(caller + count);
        let _ = complete(&fleet, &checks, &outcome, addr, &prompt, tokens).await;
        smol::Timer::after(PAUSE.duration()).await;
    }
}

/// Sends one completion and checks the answer. The error describes the answer if
/// its status is not 200 or it broke off.
pub async fn complete(
    fleet: &Fleet,
    checks: &Checks,
    outcome: &Outcome,
    addr: std::net::SocketAddr,
    prompt: &str,
    tokens: u64,
) -> std::result::Result<(), String> {
    let body = json!({ "prompt": prompt, "max_tokens": tokens, "stream": true });
    let sent = fleet
        .send(addr, "/v1/completions", None, body.to_string())
        .await;
    match sent {
        Ok((200, bytes)) => {
            check_stream(checks, &bytes, prompt, tokens);
            outcome.answered.fetch_add(1, Ordering::Relaxed);
            Ok(())
        }
        Ok((status, bytes)) => {
            outcome.refused.fetch_add(1, Ordering::Relaxed);
            Err(format!(
                "status {status}: {}",
                String::from_utf8_lossy(&bytes)
            ))
        }
        // The client reports an answer that breaks off as an error.
        Err(error) => {
            outcome.refused.fetch_add(1, Ordering::Relaxed);
            Err(error.to_string())
        }
    }
}

/// Checks that an answer has exactly the expected tokens, from one version of the
/// weights.
fn check_stream(checks: &Checks, bytes: &[u8], prompt: &str, tokens: u64) {
    let expected: String = (0..tokens).map(|i| engine::token(prompt, i)).collect();
    let actual = fleet::stream_text(bytes);
    let is_complete = actual.as_ref().is_ok_and(|text| *text == expected);
    checks.check(Invariant::P2, is_complete, || {
        format!("{prompt}: {actual:?}")
    });
    let digests = weight_digests(bytes);
    let is_single = digests.len() == 1 && !digests[0].is_empty();
    checks.check(Invariant::P1, is_single, || {
        format!("{prompt}: {digests:?}")
    });
}

/// Returns the distinct digests of weights that the events of an answer carry.
fn weight_digests(bytes: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(bytes);
    let mut digests: Vec<String> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .map(|event| {
            event["system_fingerprint"]
                .as_str()
                .unwrap_or("")
                .to_string()
        })
        .collect();
    digests.sort();
    digests.dedup();
    digests
}

/// Sends bookings until `outcome.stop` is set, each twice at the same time through
/// different entries.
pub async fn bookings(
    fleet: Arc<Fleet>,
    checks: Checks,
    outcome: Arc<Outcome>,
    barred: Arc<BarredKeys>,
    caller: u64,
) {
    let mut count = 0;
    while !outcome.stop.load(Ordering::Relaxed) {
        count += 1;
        let first = fleet.open_entry(caller + count);
        let second = fleet.open_entry(caller + count + 1);
        if let Some(ticket) = fleet.ticket(first, "/book").await {
            let body = format!("lane {caller} slot {count}");
            let sends = smol::future::zip(
                fleet.send(first, "/book", Some(&ticket), body.clone()),
                fleet.send(second, "/book", Some(&ticket), body),
            );
            let (one, two) = sends.await;
            check_answers(&checks, &outcome, &barred, &ticket, [one, two]);
        }
        smol::Timer::after(PAUSE.duration()).await;
    }
}

/// Checks that two answers to one booking that report its result are the same.
fn check_answers(
    checks: &Checks,
    outcome: &Outcome,
    barred: &BarredKeys,
    ticket: &str,
    answers: [Result<(u16, Bytes)>; 2],
) {
    let mut results: Vec<Bytes> = Vec::new();
    for answer in answers {
        match answer {
            Ok((200, bytes)) => results.push(bytes),
            Ok((status, bytes)) if barred.record(ticket, status, &bytes) => {}
            _ => {
                outcome.unknown.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
    if let [one, two] = &results[..] {
        let is_same = one == two;
        checks.check(Invariant::P4, is_same, || {
            format!("{ticket}: {one:?} and {two:?}")
        });
    }
    if !results.is_empty() {
        outcome.booked.fetch_add(1, Ordering::Relaxed);
    }
}
