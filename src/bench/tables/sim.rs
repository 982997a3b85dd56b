//! Processes in one thread: decision cores, a network in memory, a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use crate::bench::tables::ledger::Ledger;
use crate::bench::tables::network::Faults;
use crate::bench::tables::platform::Platform;
use crate::bench::tables::platform::Query;
use crate::bench::tables::texts;
use crate::error::Result;
use crate::member::Live;
use crate::node::traffic;
use crate::prelude::Arc;
use crate::proto::FetchReply;
use crate::proto::FetchRequest;
use crate::proto::Notice;
use crate::table::Stamp;
use crate::table::TableSet;
use crate::table::sync::Action;
use crate::table::sync::ConfigKey;
use crate::table::sync::Core;
use crate::table::sync::Event;
use crate::table::sync::FetchKind;
use crate::table::sync::Parsers;
use crate::table::sync::Settings;
use crate::table::sync::SyncMode;
use crate::table::sync::TICK;
use crate::time::Millis;
use crate::util;

/// Interval at which waiting queries are looked through.
const EXPIRE: Millis = Millis(100);

/// Processes that each process is told to ask first.
const SEEDS: usize = 3;

/// One process.
pub struct Node {
    /// Its core.
    pub core: Core,
    /// Number of its starts.
    pub life: u64,
    /// No event is taken before this time.
    pub paused: Millis,
    /// Bytes of its calls, both directions, made and answered.
    pub bytes: u64,
    /// Result codes that it reported.
    pub reports: HashMap<u32, u64>,
}

/// A message or a timer.
#[derive(Clone, Debug)]
enum Item {
    Tick {
        node: usize,
        life: u64,
    },
    Call {
        to: usize,
        from: Caller,
        body: Body,
    },
    Event {
        node: usize,
        life: u64,
        event: Event,
    },
    Query(Query),
    Answer {
        query: Query,
    },
    Expire,
}

/// Who called, for the answer.
#[derive(Clone, Copy, Debug)]
struct Caller {
    node: usize,
    life: u64,
    call: u64,
}

#[derive(Clone, Debug)]
enum Body {
    Exchange(Notice),
    Fetch { kind: FetchKind, base: Stamp },
}

struct Due {
    at: Millis,
    number: u64,
    item: Item,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// All processes of a run.
pub struct Sim {
    /// Virtual time.
    pub now: Millis,
    /// Steps so far: events and ticks that cores took.
    pub steps: u64,
    /// The processes.
    pub nodes: Vec<Node>,
    /// Faults in effect.
    pub faults: Faults,
    /// The configuration service.
    pub platform: Platform,
    /// Checks over all processes.
    pub ledger: Ledger,
    /// Interval of ticks.
    pub tick: Millis,
    /// Source of all random choices of the run.
    pub rng: fastrand::Rng,
    zones: usize,
    sync_mode: SyncMode,
    parsers: Parsers,
    queue: BinaryHeap<Reverse<Due>>,
    number: u64,
}

impl Sim {
    /// `nodes` processes that start empty within `stagger`.
    pub fn new(nodes: usize, zones: usize, sync_mode: SyncMode, stagger: Millis, seed: u64) -> Sim {
        let mut sim = Sim {
            now: Millis(0),
            steps: 0,
            nodes: Vec::new(),
            faults: Faults::default(),
            platform: Platform::default(),
            ledger: Ledger::new(nodes),
            tick: TICK,
            rng: fastrand::Rng::with_seed(seed),
            zones,
            sync_mode,
            parsers: memo_parsers(),
            queue: BinaryHeap::new(),
            number: 0,
        };
        sim.faults.groups = vec![0; nodes];
        for index in 0..nodes {
            let core = sim.core(index);
            sim.nodes.push(Node {
                core,
                life: 0,
                paused: Millis(0),
                bytes: 0,
                reports: HashMap::new(),
            });
            let at = Millis(sim.rng.u64(0..=stagger.0));
            sim.push(
                at,
                Item::Tick {
                    node: index,
                    life: 0,
                },
            );
        }
        sim.push(EXPIRE, Item::Expire);
        sim
    }

    /// Replaces the parsers of cores that start from now on.
    pub fn set_parsers(&mut self, parsers: Parsers) {
        self.parsers = parsers;
        for index in 0..self.nodes.len() {
            self.nodes[index].core = self.core(index);
        }
    }

    fn core(&mut self, index: usize) -> Core {
        let settings = Settings {
            addr: texts::addr(index),
            zone: texts::zone(index, self.zones),
            seeds: (0..SEEDS).map(texts::addr).collect(),
            sync_mode: self.sync_mode,
            parsers: self.parsers.clone(),
        };
        Core::new(settings, self.rng.fork())
    }

    /// Starts a process anew, empty.
    pub fn restart(&mut self, node: usize) {
        let core = self.core(node);
        let held = &mut self.nodes[node];
        held.core = core;
        held.life += 1;
        held.paused = Millis(0);
        let life = held.life;
        self.push(self.now, Item::Tick { node, life });
    }

    /// Publishes a value at the platform.
    pub fn publish(&mut self, key: ConfigKey, text: &str) {
        let ready = self.platform.publish(key, text);
        self.answer_all(ready);
    }

    /// Publishes a value at one replica of the platform.
    pub fn publish_to(&mut self, replica: usize, key: ConfigKey, text: &str) {
        let ready = self.platform.publish_to(replica, key, text);
        self.answer_all(ready);
    }

    /// Stops or resumes the flow of writes to a replica of the platform.
    pub fn set_stale(&mut self, replica: usize, stale: bool) {
        let ready = self.platform.set_stale(replica, stale);
        self.answer_all(ready);
    }

    /// Runs until the virtual time `until`.
    pub fn run_until(&mut self, until: Millis) {
        while let Some(Reverse(due)) = self.queue.peek() {
            if due.at > until {
                break;
            }
            self.step();
        }
        self.now = until;
    }

    /// Takes the next message or timer.
    pub fn step(&mut self) {
        let Some(Reverse(due)) = self.queue.pop() else {
            return;
        };
        self.now = self.now.max(due.at);
        match due.item {
            Item::Tick { node, life } => self.tick(node, life),
            Item::Call { to, from, body } => self.take_call(to, from, body),
            Item::Event { node, life, event } => self.take_event(node, life, event),
            Item::Query(query) => self.take_query(query),
            Item::Answer { query } => self.answer(query),
            Item::Expire => {
                let expired = self.platform.expire(self.now);
                self.answer_all(expired);
                self.push(self.now.plus(EXPIRE), Item::Expire);
            }
        }
    }

    /// When the process takes events again, if it is paused now.
    fn pause_end(&self, node: usize) -> Option<Millis> {
        let until = self.nodes[node].paused;
        (until > self.now).then_some(until)
    }

    fn tick(&mut self, node: usize, life: u64) {
        if self.nodes[node].life != life {
            return;
        }
        if let Some(until) = self.pause_end(node) {
            self.push(until, Item::Tick { node, life });
            return;
        }
        let mut out = Vec::new();
        self.nodes[node].core.tick(self.now, &mut out);
        self.after(node, out);
        self.push(self.now.plus(self.tick), Item::Tick { node, life });
    }

    fn take_event(&mut self, node: usize, life: u64, event: Event) {
        if self.nodes[node].life != life {
            return;
        }
        if let Some(until) = self.pause_end(node) {
            self.push(until, Item::Event { node, life, event });
            return;
        }
        let mut out = Vec::new();
        self.nodes[node].core.on_event(self.now, event, &mut out);
        self.after(node, out);
    }

    /// Checks the process and carries out its actions.
    fn after(&mut self, node: usize, out: Vec<Action>) {
        self.steps += 1;
        let held = &self.nodes[node];
        self.ledger
            .observe(self.now, node, held.life, held.core.set());
        let life = held.life;
        for action in out {
            match action {
                Action::Read {
                    call,
                    key,
                    index,
                    wait,
                } => {
                    let query = Query {
                        node,
                        life,
                        call,
                        key,
                        index,
                        until: self.now.plus(wait),
                    };
                    self.send_query(query);
                }
                Action::Exchange { call, to } => {
                    let notice = self.nodes[node].core.notice();
                    let from = Caller { node, life, call };
                    self.send_call(from, to, Body::Exchange(notice));
                }
                Action::Fetch {
                    call,
                    to,
                    kind,
                    base,
                } => {
                    let from = Caller { node, life, call };
                    self.send_call(from, to, Body::Fetch { kind, base });
                }
                Action::Report { code, .. } => {
                    let count = self.nodes[node].reports.entry(code.number());
                    *count.or_default() += 1;
                }
                Action::InForce(_) | Action::Live(_) => {}
            }
        }
    }

    fn send_call(&mut self, from: Caller, to: SocketAddr, body: Body) {
        let to = texts::index(to);
        if to >= self.nodes.len() || !self.faults.connected(from.node, to) {
            return;
        }
        for delay in self.delays(from.node, to) {
            let body = body.clone();
            self.push(self.now.plus(delay), Item::Call { to, from, body });
        }
    }

    fn delays(&mut self, from: usize, to: usize) -> Vec<Millis> {
        let same_zone = from % self.zones == to % self.zones;
        self.faults.deliveries(same_zone, &mut self.rng)
    }

    fn take_call(&mut self, to: usize, from: Caller, body: Body) {
        if let Some(until) = self.pause_end(to) {
            self.push(until, Item::Call { to, from, body });
            return;
        }
        match body {
            Body::Exchange(notice) => self.take_exchange(to, from, notice),
            Body::Fetch { kind, base } => self.take_fetch(to, from, kind, base),
        }
    }

    fn take_exchange(&mut self, to: usize, from: Caller, notice: Notice) {
        let reply = self.nodes[to].core.notice();
        self.charge(from.node, to, traffic::exchange_bytes(&notice, &reply));
        let event = Event::Reply {
            call: from.call,
            from: texts::addr(to),
            notice: Some(reply),
        };
        self.send_event(to, from, event);
        let mut out = Vec::new();
        self.nodes[to]
            .core
            .on_event(self.now, Event::Notice(notice), &mut out);
        self.after(to, out);
    }

    fn take_fetch(&mut self, to: usize, from: Caller, kind: FetchKind, base: Stamp) {
        let mut reply = self.nodes[to].core.reply(kind, &base);
        let request = FetchRequest {
            kind: kind.name().to_string(),
            base_revision: base.revision,
            base_digest: base.digest.clone(),
        };
        self.charge(from.node, to, traffic::fetch_bytes(&request, &reply));
        if self.rng.f64() < self.faults.corruption {
            reply = Arc::new(corrupt(&reply));
        }
        let event = Event::Fetched {
            call: from.call,
            from: texts::addr(to),
            kind,
            base,
            reply: Some(reply),
        };
        self.send_event(to, from, event);
    }

    fn charge(&mut self, a: usize, b: usize, bytes: u64) {
        self.nodes[a].bytes += bytes;
        self.nodes[b].bytes += bytes;
    }

    fn send_event(&mut self, from: usize, to: Caller, event: Event) {
        if !self.faults.connected(from, to.node) {
            return;
        }
        for delay in self.delays(from, to.node) {
            let event = event.clone();
            let item = Item::Event {
                node: to.node,
                life: to.life,
                event,
            };
            self.push(self.now.plus(delay), item);
        }
    }

    fn send_query(&mut self, query: Query) {
        for delay in self.delays(query.node, query.node) {
            self.push(self.now.plus(delay), Item::Query(query));
        }
    }

    fn take_query(&mut self, query: Query) {
        if !self.faults.reaches_platform(query.node) {
            return;
        }
        if self.platform.down {
            self.platform.calls += 1;
            self.end_read(query, false);
            return;
        }
        if self.platform.call(query, self.now) {
            self.answer_all(vec![query]);
        }
    }

    /// Answers queries at the rate of the service.
    fn answer_all(&mut self, queries: Vec<Query>) {
        for query in queries {
            let at = self.platform.serve_at(self.now);
            self.push(at, Item::Answer { query });
        }
    }

    fn answer(&mut self, query: Query) {
        if self.faults.reaches_platform(query.node) && !self.platform.down {
            self.end_read(query, true);
        }
    }

    fn end_read(&mut self, query: Query, served: bool) {
        let reading = if served {
            self.platform.value(&query)
        } else {
            None
        };
        if let Some(reading) = &reading {
            self.nodes[query.node].bytes += traffic::read_bytes(&reading.text);
        }
        let event = Event::Read {
            call: query.call,
            key: query.key,
            reading,
        };
        let item = Item::Event {
            node: query.node,
            life: query.life,
            event,
        };
        for delay in self.delays(query.node, query.node) {
            self.push(self.now.plus(delay), item.clone());
        }
    }

    fn push(&mut self, at: Millis, item: Item) {
        self.number += 1;
        let number = self.number;
        self.queue.push(Reverse(Due { at, number, item }));
    }
}

/// The same reply with one byte of its content replaced.
fn corrupt(reply: &FetchReply) -> FetchReply {
    let mut reply = reply.clone();
    match reply.delta.last_mut() {
        Some(change) => change.text.push('#'),
        None => reply.pools.push('#'),
    }
    reply
}

/// Two texts and what they parse to.
type ParsedSet = (String, String, Result<Arc<TableSet>>);

/// The first bytes of a text, which hold its revision: a cheap key.
fn start_of(text: &str) -> String {
    text.chars().take(64).collect()
}

/// Parsers that share parsed documents between all processes of a run.
///
/// Acceptance is a pure function of the texts, so sharing changes no result.
pub fn memo_parsers() -> Parsers {
    let plain = Parsers::default();
    let sets: Mutex<HashMap<String, Vec<ParsedSet>>> = Mutex::default();
    let lives: Mutex<HashMap<String, Result<Arc<Live>>>> = Mutex::default();
    let set = move |routes: &str, pools: &str| {
        let mut held = sets.lock().unwrap_or_else(|e| e.into_inner());
        let held = held.entry(start_of(routes)).or_default();
        let same = |set: &&ParsedSet| set.0 == routes && set.1 == pools;
        if let Some(known) = held.iter().find(same) {
            return known.2.clone();
        }
        let parsed = (plain.set)(routes, pools);
        held.push((routes.to_string(), pools.to_string(), parsed.clone()));
        parsed
    };
    let live = move |text: &str| {
        let mut held = lives.lock().unwrap_or_else(|e| e.into_inner());
        let parse = || (plain.live)(text);
        held.entry(util::digest(text)).or_insert_with(parse).clone()
    };
    Parsers {
        set: Arc::new(set),
        live: Arc::new(live),
    }
}
