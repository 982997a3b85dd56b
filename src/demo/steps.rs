//! The steps of the demonstration.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::bench::fleet::Fleet;
use crate::bench::fleet::Plan;
use crate::demo::Checks;
use crate::demo::Invariant;
use crate::demo::load;
use crate::demo::load::BarredKeys;
use crate::demo::load::Outcome;
use crate::net::rt;
use crate::prelude::*;
use crate::table::Stamp;

/// Time within which a change must be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(13);

/// Time after which a leaving upstream gets no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Time for which an upstream is watched for new requests after it has drained.
const WATCH_TIME: Duration = Duration::from_millis(500);

/// Time within which the fleet must serve again in one step.
const STEP_LIMIT: Duration = Duration::from_secs(60);

/// Number of callers that send completions, and of those that send bookings.
const COMPLETION_CALLERS: u64 = 6;
const BOOKING_CALLERS: u64 = 2;

/// Number of bookings whose tickets are issued before their pool is emptied and
/// used afterwards.
const LATE_BOOKINGS: u64 = 20;

/// Number of tokens of the streams that run while an upstream or entry leaves.
const STREAM_TOKENS: u64 = 400;

/// Interval at which the revision of each process is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Prints one line of progress.
pub type Show<'a> = &'a dyn Fn(&str);

/// A long completion in progress; its result says how it ended.
type Stream = smol::Task<std::result::Result<(), String>>;

/// Runs all steps and returns the checks made on the way.
pub async fn run(seed: u64, show: Show<'_>) -> Result<Checks> {
    let checks = Checks::default();
    let plan = Plan {
        seed,
        entries: 3,
        engines: 6,
        services: 3,
        ..Plan::default()
    };
    let begin = Instant::now();
    let fleet = Fleet::start(plan).await?;
    fleet.until_serving(STEP_LIMIT).await?;
    let seconds = begin.elapsed().as_secs_f64();
    show(&format!(
        "6 engines in 3 zones hold version 1 after {seconds:.2} s"
    ));
    let fleet = Arc::new(fleet);
    let outcome = Arc::new(Outcome::default());
    let barred = Arc::new(BarredKeys::default());
    let callers = start_callers(&fleet, &checks, &outcome, &barred);
    let sampler = rt::spawn(watch_revisions(
        fleet.clone(),
        checks.clone(),
        outcome.clone(),
    ));
    rollout(&fleet, &checks, seed, show).await?;
    drain(&fleet, &checks, &outcome, show).await?;
    empty_bookings(&fleet, &checks, &barred, show).await?;
    stop_entry(&fleet, &checks, &outcome, show).await?;
    outcome.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await;
    }
    sampler.await;
    // Every stop and reload was planned, so none may cause a completion to be refused.
    let refused = outcome.refused.load(Ordering::Relaxed);
    checks.check(Invariant::P6, refused == 0, || {
        format!("{refused} completions refused")
    });
    check_runs(&fleet, &checks, &barred);
    show(&format!(
        "{} completions answered, {} refused; {} bookings ran, {} answers unknown, {} barred",
        outcome.answered.load(Ordering::Relaxed),
        outcome.refused.load(Ordering::Relaxed),
        outcome.booked.load(Ordering::Relaxed),
        outcome.unknown.load(Ordering::Relaxed),
        barred.keys().len(),
    ));
    Ok(checks)
}

/// Starts the callers of completions and bookings.
fn start_callers(
    fleet: &Arc<Fleet>,
    checks: &Checks,
    outcome: &Arc<Outcome>,
    barred: &Arc<BarredKeys>,
) -> Vec<smol::Task<()>> {
    let completions = (0..COMPLETION_CALLERS).map(|caller| {
        rt::spawn(load::completions(
            fleet.clone(),
            checks.clone(),
            outcome.clone(),
            caller,
        ))
    });
    let bookings = (0..BOOKING_CALLERS).map(|caller| {
        rt::spawn(load::bookings(
            fleet.clone(),
            checks.clone(),
            outcome.clone(),
            barred.clone(),
            caller,
        ))
    });
    completions.chain(bookings).collect()
}

/// Checks until `outcome.stop` is set that no process reverts to a lower revision.
async fn watch_revisions(fleet: Arc<Fleet>, checks: Checks, outcome: Arc<Outcome>) {
    let mut last: Vec<Stamp> = Vec::new();
    while !outcome.stop.load(Ordering::Relaxed) {
        let now = fleet.stamps();
        for (index, (old, new)) in last.iter().zip(&now).enumerate() {
            let detail = || format!("process {index}: {old:?} to {new:?}");
            checks.check(Invariant::P7, new >= old, detail);
        }
        last = now;
        smol::Timer::after(SAMPLE_INTERVAL).await;
    }
}

/// Waits until the last revision is in force everywhere, checks the time that this
/// took and returns it, in seconds.
async fn wait_in_force(fleet: &Fleet, checks: &Checks) -> f64 {
    let begin = Instant::now();
    while !fleet.is_in_force() && begin.elapsed() < IN_FORCE_LIMIT {
        smol::Timer::after(Duration::from_millis(2)).await;
    }
    let is_in_force = fleet.is_in_force();
    checks.check(Invariant::P7, is_in_force, || {
        "not in force within 13 s".to_string()
    });
    begin.elapsed().as_secs_f64()
}

/// Rolls out a new version and waits until all engines serve it.
async fn rollout(fleet: &Fleet, checks: &Checks, seed: u64, show: Show<'_>) -> Result<()> {
    let before = fleet.origin.bytes_sent();
    fleet.new_version(seed + 1);
    fleet.publish(&[]);
    let force_time = wait_in_force(fleet, checks).await;
    let begin = Instant::now();
    fleet.until_serving(STEP_LIMIT).await?;
    let seconds = begin.elapsed().as_secs_f64() + force_time;
    let copies = (fleet.origin.bytes_sent() - before) as f64 / fleet.weights_len() as f64;
    show(&format!(
        "version 2 in force after {force_time:.3} s, on all engines after {seconds:.2} s, \
         {copies:.2} copies read from the origin"
    ));
    Ok(())
}

/// Removes an engine from its pool while streams run on it, then adds it again.
async fn drain(
    fleet: &Arc<Fleet>,
    checks: &Checks,
    outcome: &Arc<Outcome>,
    show: Show<'_>,
) -> Result<()> {
    let streams = start_streams(fleet, checks, outcome);
    smol::Timer::after(Duration::from_millis(100)).await;
    let name = fleet.agents[0].name.clone();
    let engine = fleet.agents[0].engine.clone();
    fleet.publish(&[&name]);
    wait_in_force(fleet, checks).await;
    let finish = finish_streams(streams, checks, "drain");
    no_new_work(checks, &name, || engine.request_count(), finish).await;
    fleet.publish(&[]);
    wait_in_force(fleet, checks).await;
    fleet.until_serving(STEP_LIMIT).await?;
    show(&format!(
        "{name} drained with streams running, then refilled"
    ));
    Ok(())
}

/// Checks that the number of requests that `count` returns stays the same from
/// [`LEAVING_LIMIT`] on until [`WATCH_TIME`] after `work` has ended.
async fn no_new_work(
    checks: &Checks,
    name: &str,
    count: impl Fn() -> u64,
    work: impl Future<Output = ()>,
) {
    smol::Timer::after(LEAVING_LIMIT).await;
    let before = count();
    work.await;
    smol::Timer::after(WATCH_TIME).await;
    let later = count();
    let detail = || format!("{name}: {} new requests", later - before);
    checks.check(Invariant::P5, later == before, detail);
}

/// Starts streams through all entries.
fn start_streams(fleet: &Arc<Fleet>, checks: &Checks, outcome: &Arc<Outcome>) -> Vec<Stream> {
    let start = |index: usize| {
        let fleet = fleet.clone();
        let checks = checks.clone();
        let outcome = outcome.clone();
        rt::spawn(async move {
            let addr = fleet.entries[index % fleet.entries.len()].http;
            let prompt = format!("stream {index}");
            load::complete(&fleet, &checks, &outcome, addr, &prompt, STREAM_TOKENS).await
        })
    };
    (0..12).map(start).collect()
}

/// Waits for the streams and checks that each got its whole answer.
async fn finish_streams(streams: Vec<Stream>, checks: &Checks, step: &str) {
    for stream in streams {
        let ended = stream.await;
        let is_whole = ended.is_ok();
        checks.check(Invariant::P6, is_whole, || format!("{step}: {ended:?}"));
    }
}

/// Removes all upstreams from the booking pool: bookings are then answered "not
/// run", and must not run when the pool is refilled either.
async fn empty_bookings(
    fleet: &Fleet,
    checks: &Checks,
    barred: &BarredKeys,
    show: Show<'_>,
) -> Result<()> {
    let tickets = late_tickets(fleet).await;
    let names: Vec<String> = fleet.services().iter().map(|vm| vm.name.clone()).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    fleet.publish(&names);
    wait_in_force(fleet, checks).await;
    let count = || {
        fleet
            .services()
            .iter()
            .map(|vm| vm.engine.request_count())
            .sum()
    };
    no_new_work(checks, "booking", count, std::future::ready(())).await;
    send_late(fleet, barred, &tickets).await;
    fleet.publish(&[]);
    wait_in_force(fleet, checks).await;
    fleet.until_serving(STEP_LIMIT).await?;
    // A ticket that was answered "not run" must stay barred when its upstream serves again.
    send_late(fleet, barred, &tickets).await;
    show("booking pool emptied and refilled");
    Ok(())
}

/// Returns tickets that are used only when the pool has been emptied.
async fn late_tickets(fleet: &Fleet) -> Vec<String> {
    let mut tickets = Vec::new();
    for index in 0..LATE_BOOKINGS {
        tickets.extend(fleet.ticket(fleet.open_entry(index), "/book").await);
    }
    tickets
}

/// Sends a booking with each ticket and records those answered "not run".
async fn send_late(fleet: &Fleet, barred: &BarredKeys, tickets: &[String]) {
    for (index, ticket) in tickets.iter().enumerate() {
        let addr = fleet.open_entry(index as u64);
        let sent = fleet.send(addr, "/book", Some(ticket), "late".to_string());
        if let Ok((status, bytes)) = sent.await {
            barred.record(ticket, status, &bytes);
        }
    }
}

/// Stops one entry with streams running through it.
async fn stop_entry(
    fleet: &Arc<Fleet>,
    checks: &Checks,
    outcome: &Arc<Outcome>,
    show: Show<'_>,
) -> Result<()> {
    let streams = start_streams(fleet, checks, outcome);
    smol::Timer::after(Duration::from_millis(100)).await;
    fleet.stop_entry(fleet.entries.len() - 1).await;
    finish_streams(streams, checks, "entry stop").await;
    show("one entry stopped with streams running");
    Ok(())
}

/// Checks that no booking ran more than once, and no barred one at all.
fn check_runs(fleet: &Fleet, checks: &Checks, barred: &BarredKeys) {
    let mut runs: IndexMap<String, u64> = IndexMap::new();
    for vm in fleet.services() {
        for (key, count) in vm.engine.runs() {
            *runs.entry(key).or_default() += count;
        }
    }
    for (key, count) in runs.iter().filter(|(key, _)| !key.is_empty()) {
        checks.check(Invariant::P4, *count == 1, || {
            format!("{key} ran {count} times")
        });
    }
    for key in barred.keys() {
        let count = runs.get(&key).copied().unwrap_or(0);
        checks.check(Invariant::P3, count == 0, || {
            format!("{key} ran {count} times")
        });
    }
}
