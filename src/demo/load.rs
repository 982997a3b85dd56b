//! Callers of the demonstration, each of which checks its own answers.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde_json::Value;
use serde_json::json;

use crate::bench::fleet;
use crate::bench::fleet::Fleet;
use crate::demo::Checks;
use crate::demo::Promise;
use crate::prelude::*;
use crate::standin::engine;

/// Tokens of a short and of a long request.
const SHORT_TOKENS: u64 = 4;
const LONG_TOKENS: u64 = 120;

/// One in this many requests is long.
const LONG_SHARE: u64 = 8;

/// Pause of a caller between requests, in milliseconds.
const PAUSE: Millis = Millis(5);

/// What became of the callers' requests.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Completions answered whole.
    pub answered: AtomicU64,
    /// Requests that ended in an error with a code.
    pub refused: AtomicU64,
    /// Bookings that ran.
    pub booked: AtomicU64,
    /// Bookings whose outcome the caller was not told.
    pub unknown: AtomicU64,
    /// Set to end the callers.
    pub stop: AtomicBool,
}

/// Keys of bookings of which the caller was told that they were not run.
#[derive(Debug, Default)]
pub struct Barred {
    keys: std::sync::Mutex<Vec<String>>,
}

impl Barred {
    /// Records the key if the answer says that it was not run; true when it does.
    pub fn note(&self, key: &str, status: u16, bytes: &[u8]) -> bool {
        let value: Value = serde_json::from_slice(bytes).unwrap_or_default();
        let is_barred = status != 200 && value["run"] == "not_run";
        if is_barred {
            let mut keys = self.keys.lock().unwrap_or_else(|e| e.into_inner());
            keys.push(key.to_string());
        }
        is_barred
    }

    /// The keys so far.
    pub fn keys(&self) -> Vec<String> {
        self.keys.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }
}

/// Sends completions through all entries in turn until told to stop.
pub async fn completions(fleet: Arc<Fleet>, checks: Checks, outcome: Arc<Outcome>, caller: u64) {
    let mut count = 0;
    while !outcome.stop.load(Ordering::Relaxed) {
        count += 1;
        let tokens = match count % LONG_SHARE {
            0 => LONG_TOKENS,
            _ => SHORT_TOKENS,
        };
        let prompt = format!("caller {caller} request {count}");
        let addr = fleet.open_entry(caller + count);
        let _ = complete(&fleet, &checks, &outcome, addr, &prompt, tokens).await;
        smol::Timer::after(PAUSE.duration()).await;
    }
}

/// Sends one completion and checks the answer; an error says why it was not whole.
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
        // An answer that breaks off is seen as an error, never as a whole one.
        Err(error) => {
            outcome.refused.fetch_add(1, Ordering::Relaxed);
            Err(error.to_string())
        }
    }
}

fn check_stream(checks: &Checks, bytes: &[u8], prompt: &str, tokens: u64) {
    let want: String = (0..tokens).map(|i| engine::token(prompt, i)).collect();
    let got = fleet::stream_text(bytes);
    let is_own = got.as_ref().is_ok_and(|text| *text == want);
    checks.check(Promise::P2, is_own, || format!("{prompt}: {got:?}"));
    let prints = fingerprints(bytes);
    let is_one = prints.len() == 1 && !prints[0].is_empty();
    checks.check(Promise::P1, is_one, || format!("{prompt}: {prints:?}"));
}

/// The different weights that an answer names.
fn fingerprints(bytes: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(bytes);
    let mut prints: Vec<String> = text
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
    prints.sort();
    prints.dedup();
    prints
}

/// Sends bookings, each twice through different entries, until told to stop.
pub async fn bookings(
    fleet: Arc<Fleet>,
    checks: Checks,
    outcome: Arc<Outcome>,
    barred: Arc<Barred>,
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
            settle(&checks, &outcome, &barred, &ticket, [one, two]);
        }
        smol::Timer::after(PAUSE.duration()).await;
    }
}

/// Two answers to one booking must agree: both its outcome, or none of it.
fn settle(
    checks: &Checks,
    outcome: &Outcome,
    barred: &Barred,
    ticket: &str,
    answers: [Result<(u16, Bytes)>; 2],
) {
    let mut outcomes: Vec<Bytes> = Vec::new();
    for answer in answers {
        match answer {
            Ok((200, bytes)) => outcomes.push(bytes),
            Ok((status, bytes)) if barred.note(ticket, status, &bytes) => {}
            _ => {
                outcome.unknown.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
    if let [one, two] = &outcomes[..] {
        let is_same = one == two;
        checks.check(Promise::P4, is_same, || {
            format!("{ticket}: {one:?} and {two:?}")
        });
    }
    if !outcomes.is_empty() {
        outcome.booked.fetch_add(1, Ordering::Relaxed);
    }
}
