//! The agent's queue: order, reserved slots, fair shares, eviction.

use chervilquay::prelude::*;
use chervilquay::sched::Job;
use chervilquay::sched::Push;
use chervilquay::sched::Queue;
use chervilquay::sched::Settings;

fn job(org: &str, cost: f64, short: bool, value: u32) -> Job<u32> {
    Job {
        org: org.to_string(),
        weight: 1,
        cost,
        short,
        deadline: Millis(1_000_000),
        value,
    }
}

fn settings() -> Settings {
    let mut settings = Settings::new(8, 100);
    settings.max_wait = Millis(1_000_000);
    settings
}

// Guards against long requests that take every slot.
#[test]
fn slots_reserved_for_short() {
    let mut queue = Queue::new(settings());
    for i in 0..20 {
        queue.push(Millis(0), job("a", 500.0, false, i));
    }
    let started = std::iter::from_fn(|| queue.pop(Millis(0))).count();
    assert_eq!(started, 6);
    queue.push(Millis(1), job("a", 10.0, true, 99));
    assert_eq!(queue.pop(Millis(1)).expect("a free slot").1.value, 99);
}

// Guards against requests that were expected to be short, run for long, and keep the slots of
// short requests.
#[test]
fn overrun_short_requests_count_as_long() {
    let mut queue = Queue::new(settings());
    for i in 0..12 {
        queue.push(Millis(0), job("a", 10.0, true, i));
    }
    let started = std::iter::from_fn(|| queue.pop(Millis(0))).count();
    assert_eq!(started, 8);
    assert!(queue.pop(Millis(20)).is_none());
    let surge = std::iter::from_fn(|| queue.pop(Millis(40))).count();
    assert_eq!(surge, 4);
    assert!(
        queue.pop(Millis(400)).is_none(),
        "requests in progress are bounded"
    );
}

// Guards against a long request that is starved by a stream of short ones.
#[test]
fn ageing_prevents_starvation() {
    let mut queue = Queue::new(Settings {
        max_running: 1,
        reserved: 0,
        surge: 0,
        ..settings()
    });
    queue.push(Millis(0), job("a", 100.0, false, 0));
    let mut started = None;
    for now in 0..2_000_u32 {
        let time = Millis(u64::from(now));
        queue.push(time, job("a", 1.0, true, now + 1));
        let (key, next) = queue.pop(time).expect("one waits");
        queue.done(time.plus(Millis(1)), key);
        if next.value == 0 {
            started = Some(now);
            break;
        }
    }
    assert!(started.expect("it starts") <= 400);
}

// Guards against one organisation that takes the share of others.
#[test]
fn shares_follow_weights() {
    let mut queue = Queue::new(settings());
    let mut served = [0_u32; 3];
    for round in 0..600 {
        let now = Millis(round * 10);
        // The first organisation sends too much, the second has twice the weight.
        for (org, weight, count) in [("0", 1, 6), ("1", 2, 3), ("2", 1, 2)] {
            for _ in 0..count {
                let mut next = job(org, 10.0, true, org.parse().expect("number"));
                next.weight = weight;
                queue.push(now, next);
            }
        }
        while let Some((key, next)) = queue.pop(now) {
            served[next.value as usize] += 1;
            queue.done(now.plus(Millis(10)), key);
            if served.iter().sum::<u32>() as u64 >= (round + 1) * 4 {
                break;
            }
        }
    }
    let [flooding, heavy, light] = served.map(f64::from);
    assert!((heavy / light - 2.0).abs() < 0.2, "{served:?}");
    assert!((flooding / light - 1.0).abs() < 0.2, "{served:?}");
}

// Guards against eviction of cheap requests, or of requests of an organisation within its
// share.
#[test]
fn cheapest_kept_when_full() {
    let mut queue = Queue::new(Settings {
        max_queued: 10,
        ..settings()
    });
    for i in 0..9 {
        queue.push(Millis(0), job("big", 10.0 + f64::from(i), true, i));
    }
    queue.push(Millis(0), job("small", 300.0, false, 100));
    let Push::Evicted(out) = queue.push(Millis(0), job("small", 10.0, true, 101)) else {
        panic!("nothing was evicted");
    };
    assert_eq!(
        out.value, 100,
        "the organisation with the most work waiting loses its most expensive request"
    );
    let Push::Evicted(out) = queue.push(Millis(0), job("small", 10.0, true, 102)) else {
        panic!("nothing was evicted");
    };
    assert_eq!(out.value, 8);
    assert!(matches!(
        queue.push(Millis(0), job("big", 400.0, false, 103)),
        Push::Refused(_)
    ));
}

// Guards against requests that wait until shortly before their deadline.
#[test]
fn expires_before_the_deadline() {
    let mut queue = Queue::new(settings());
    for i in 0..9 {
        let mut next = job("a", 10.0, true, i);
        next.deadline = Millis(1_000);
        queue.push(Millis(0), next);
    }
    let started = std::iter::from_fn(|| queue.pop(Millis(0))).count();
    assert_eq!((started, queue.expire(Millis(249)).len()), (8, 0));
    assert_eq!(queue.expire(Millis(250)).len(), 1);
}
