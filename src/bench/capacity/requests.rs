//! Slopes of the request path's decision core.

use crate::bench::capacity::Effort;
use crate::bench::capacity::Slope;
use crate::bench::capacity::measure;
use crate::bench::capacity::tables;
use crate::bench::capacity::tables::points;
use crate::limit::Limiter;
use crate::once::Answer;
use crate::once::Claim;
use crate::once::Ledger;
use crate::once::Limits;
use crate::once::Ticket;
use crate::prelude::*;
use crate::route::Outcome;
use crate::route::RequestTraits;
use crate::route::router::Router;
use crate::route::subset::Member;
use crate::sched::Job;
use crate::sched::Push;
use crate::sched::Queue;
use crate::sched::Settings;
use crate::table::TableSet;
use crate::table::matcher;
use crate::table::matcher::Query;

const ROUTES: [usize; 5] = [50, 100, 200, 400, 800];

/// Upstreams in an entry's subset; the bound is 24.
const SUBSET: [usize; 4] = [6, 12, 18, 24];

const QUEUED: [usize; 5] = [64, 128, 256, 512, 1_024];

const ORGANISATIONS: [usize; 5] = [10, 100, 200, 400, 800];

const RECORDS: [usize; 5] = [2_048, 4_096, 8_192, 16_384, 32_768];

/// Bytes of memory guessed for one record of a ledger.
const RECORD_GUESS: usize = 400;

/// Time to match a request that fits the last route only.
pub fn matcher(effort: Effort) -> Result<Slope> {
    let points = points(&ROUTES, effort, |size| {
        let (routes, pools) = tables::texts(1, size, 52);
        let set = TableSet::parse(&routes, &pools)?;
        let path = format!("/v1/area-{}/completions", size - 1);
        let query = Query {
            method: "POST",
            path: &path,
            organisation: "club",
        };
        let find = || matcher::find(&set.routes, query, |_| None).is_some();
        assert!(find(), "the last route matches");
        Ok(measure::time(effort, find))
    })?;
    Ok(Slope::new("route.match", "routes", "us", &points))
}

fn router(size: usize) -> Router {
    let mut router = Router::new(1);
    let member = |index| Member {
        name: format!("runner-{index}"),
        zone: format!("zone-{}", index % 2),
        ready: true,
    };
    let members: Vec<Member> = (0..size).map(member).collect();
    router.chooser.set_members("zone-0", &members);
    router
}

/// Time to choose an upstream and count the call's begin and end.
pub fn pick(effort: Effort) -> Result<Slope> {
    let points = points(&SUBSET, effort, |size| {
        let mut router = router(size);
        let traits = RequestTraits {
            cost: 100.0,
            short: true,
            repeatable: true,
            prefix: None,
        };
        let mut now = Millis(1_000);
        Ok(measure::time(effort, || {
            now = now.plus(Millis(1));
            let upstream = router.chooser.pick(now, &traits, &[])?;
            let call = router.chooser.on_sent(now, upstream, &traits)?;
            router.on_begun(now, call, true);
            router.on_ended(now, call, Outcome::Done);
            Some(call)
        }))
    })?;
    Ok(Slope::new(
        "route.pick",
        "upstreams in the subset",
        "us",
        &points,
    ))
}

/// Time of one tick of a pool's router.
pub fn tick(effort: Effort) -> Result<Slope> {
    let points = points(&SUBSET, effort, |size| {
        let mut router = router(size);
        let mut now = Millis(1_000);
        Ok(measure::time(effort, || {
            now = now.plus(Millis(100));
            router.tick(now);
        }))
    })?;
    Ok(Slope::new(
        "route.tick",
        "upstreams in the subset",
        "us",
        &points,
    ))
}

fn job(index: usize) -> Job<usize> {
    Job {
        org: format!("club-{}", index % 10),
        weight: 1,
        cost: 100.0,
        short: index.is_multiple_of(2),
        deadline: Millis(u64::MAX / 2),
        value: index,
    }
}

/// Time to queue, start and end one request while others wait.
pub fn queue(effort: Effort) -> Result<Slope> {
    let points = points(&QUEUED, effort, |size| {
        let mut settings = Settings::new(16, size * 4);
        settings.max_wait = Millis(u64::MAX / 2);
        let mut queue: Queue<usize> = Queue::new(settings);
        let mut now = Millis(1_000);
        for index in 0..size {
            let pushed = queue.push(now, job(index));
            assert!(matches!(pushed, Push::Queued), "room for {size} requests");
        }
        let mut index = size;
        Ok(measure::time(effort, || {
            now = now.plus(Millis(1));
            index += 1;
            queue.push(now, job(index));
            let (running, held) = queue.pop(now)?;
            queue.done(now, running);
            Some(held.value)
        }))
    })?;
    Ok(Slope::new("sched.queue", "requests waiting", "us", &points))
}

fn limiter(size: usize) -> Limiter {
    let mut limiter = Limiter::new(Millis(0), 7);
    for index in 0..size {
        limiter.set_limit(Millis(0), &format!("club-{index}"), Some(1e9));
    }
    limiter
}

/// Time to admit a request under its organisation's limit.
pub fn admit(effort: Effort) -> Result<Slope> {
    let points = points(&ORGANISATIONS, effort, |size| {
        let mut limiter = limiter(size);
        let mut now = Millis(1_000);
        let name = format!("club-{}", size - 1);
        Ok(measure::time(effort, || {
            now = now.plus(Millis(1));
            limiter.admit(now, &name)
        }))
    })?;
    Ok(Slope::new("limit.admit", "organisations", "us", &points))
}

/// Time of one round of limits with counts from six peers.
pub fn limit_tick(effort: Effort) -> Result<Slope> {
    let points = points(&ORGANISATIONS, effort, |size| {
        let mut limiter = limiter(size);
        let mut now = Millis(1_000);
        Ok(measure::time(effort, || {
            now = now.plus(crate::limit::org::ROUND);
            let counts = limiter.counts();
            for peer in 0..6 {
                limiter.on_counts(now, &format!("entry-{peer}"), &counts);
            }
            limiter.tick(now);
        }))
    })?;
    Ok(Slope::new("limit.tick", "organisations", "us", &points))
}

/// A ledger with this many recorded answers of 1 KiB or less.
fn ledger(size: usize, answer: &Arc<Answer>) -> Ledger {
    let limits = Limits {
        max_records: size * 4,
        max_bytes: 64 << 20,
        ..Limits::default()
    };
    let mut ledger = Ledger::new("agent", 1, limits);
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..size {
        record(&mut ledger, &mut rng, answer);
    }
    ledger
}

fn record(ledger: &mut Ledger, rng: &mut fastrand::Rng, answer: &Arc<Answer>) {
    let now = Millis(1_000);
    let ticket = Ticket::mint("agent", 1, now, rng);
    let claim = ledger.claim(now, &ticket, [7; 32]);
    if claim == Claim::Run {
        ledger.dispatch(&ticket);
        ledger.finish(&ticket, answer.clone());
    }
}

fn answer() -> Arc<Answer> {
    Arc::new(Answer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from_static(b"{\"slot\":17}"),
    })
}

/// Time to record one call from claim to answer, over records held.
pub fn claim(effort: Effort) -> Result<Slope> {
    let answer = answer();
    let points = points(&RECORDS, effort, |size| {
        let mut rng = fastrand::Rng::with_seed(2);
        let mut best = f64::INFINITY;
        for _ in 0..effort.samples {
            // A quarter more records at most, so that the size stays what it says.
            let mut held = ledger(size, &answer);
            let calls = size / 4;
            let begin = std::time::Instant::now();
            for _ in 0..calls {
                record(&mut held, &mut rng, &answer);
            }
            best = best.min(begin.elapsed().as_secs_f64() * 1e6 / calls.max(1) as f64);
        }
        Ok(best)
    })?;
    Ok(Slope::new("once.claim", "records", "us", &points))
}

/// Memory of a ledger with small answers.
pub fn ledger_memory(effort: Effort) -> Result<Slope> {
    let answer = answer();
    let points = points(&RECORDS, effort, |size| {
        measure::memory(size * RECORD_GUESS, || ledger(size, &answer))
    })?;
    Ok(Slope::new("once.memory", "records", "KiB", &points))
}
