//! One process of a scenario: its tables and the core of its role.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::scenario::agent::Agent;
use crate::scenario::entry::Entry;
use crate::scenario::message::Message;
use crate::scenario::message::Out;
use crate::scenario::message::Work;
use crate::scenario::tables::Need;
use crate::scenario::tables::Tables;
use crate::table::Stamp;
use crate::table::sync;

/// Whether a process makes progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It runs.
    Up,
    /// It is stopped and will go on with its old view.
    Paused,
    /// It is dead.
    Down,
}

/// The part of a process that depends on its role.
#[derive(Debug)]
pub enum Core {
    /// Entry.
    Entry(Box<Entry>),
    /// Agent.
    Agent(Box<Agent>),
}

/// One process.
#[derive(Debug)]
pub struct Node {
    /// Address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Whether it makes progress.
    pub status: Status,
    /// When this incarnation started.
    pub started: Millis,
    /// Spread of tables.
    pub tables: Tables,
    /// Core of its role.
    pub core: Core,
    /// Stamp of the tables that the core of its role knows.
    given: Stamp,
}

impl Node {
    /// A process that starts empty.
    pub fn new(addr: SocketAddr, zone: &str, started: Millis, tables: Tables, core: Core) -> Node {
        Node {
            addr,
            zone: zone.to_string(),
            status: Status::Up,
            started,
            tables,
            core,
            given: Stamp::default(),
        }
    }

    /// Takes a message from the process `from` at `addr`.
    pub fn take(
        &mut self,
        now: Millis,
        from: &str,
        addr: SocketAddr,
        message: Message,
        out: &mut Vec<Out>,
    ) {
        match (&mut self.core, message) {
            (Core::Agent(agent), Message::Serve(serve)) => agent.on_serve(now, from, serve, out),
            (Core::Agent(agent), Message::Cancel { request, attempt }) => {
                agent.on_cancel(now, &request, attempt, out);
            }
            (
                Core::Entry(entry),
                Message::Frame {
                    request,
                    attempt,
                    seq,
                    piece,
                },
            ) => entry.on_frame(now, &request, (attempt, seq), piece, out),
            (
                Core::Entry(entry),
                Message::Fail {
                    request,
                    attempt,
                    error,
                },
            ) => entry.on_fail(now, &request, attempt, error, out),
            (_, message) => self.take_tables(now, from, addr, message, out),
        }
    }

    fn take_tables(
        &mut self,
        now: Millis,
        from: &str,
        addr: SocketAddr,
        message: Message,
        out: &mut Vec<Out>,
    ) {
        let is_answer = matches!(message, Message::Exchanged { .. } | Message::Fetched { .. });
        let (answer, needs) = self.tables.take(now, addr, message);
        if let Some(answer) = answer {
            out.push(Out::Send(from.to_string(), answer));
        }
        let is_fetching = needs
            .iter()
            .any(|need| matches!(need, Need::Peer(_, Message::Fetch { .. })));
        self.meet(now, needs, out);
        let is_fresh = is_answer && !is_fetching && !self.tables.is_stale(now);
        if let Core::Agent(agent) = &mut self.core
            && is_fresh
        {
            agent.refreshed(now, out);
        }
    }

    /// Carries out what the tables need and gives new tables to the role's core.
    fn meet(&mut self, now: Millis, needs: Vec<Need>, out: &mut Vec<Out>) {
        for need in needs {
            match need {
                Need::Platform(message) => out.push(Out::Platform(message)),
                Need::Peer(addr, message) => out.push(Out::Call(addr, message)),
                Need::Leaving(names) => match &mut self.core {
                    Core::Entry(entry) => entry.set_leaving(&names),
                    Core::Agent(agent) => agent.set_leaving(now, &names, out),
                },
            }
        }
        let Some(set) = self.tables.ready() else {
            return;
        };
        if set.stamp == self.given {
            return;
        }
        assert!(set.stamp > self.given, "the set in force went back");
        self.given = set.stamp.clone();
        match &mut self.core {
            Core::Entry(entry) => entry.set_tables(set),
            Core::Agent(agent) => agent.set_tables(now, set, out),
        }
    }

    /// Asks the process at `addr` for newer tables.
    pub fn ask(&mut self, now: Millis, addr: SocketAddr, out: &mut Vec<Out>) {
        let needs = self.tables.ask(now, addr);
        self.meet(now, needs, out);
    }

    /// Takes the end of work.
    pub fn work(&mut self, now: Millis, work: Work, out: &mut Vec<Out>) {
        if let Core::Agent(agent) = &mut self.core {
            agent.on_work(now, work, out);
        }
    }

    /// Runs the periodic work.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Out>) {
        if now.0.is_multiple_of(sync::TICK.0) {
            let needs = self.tables.tick(now);
            self.meet(now, needs, out);
        }
        match &mut self.core {
            Core::Entry(entry) => entry.tick(now, out),
            Core::Agent(agent) => agent.tick(now, out),
        }
    }

    /// State as scenarios name it.
    pub fn state(&self) -> &'static str {
        match (self.status, &self.core) {
            (Status::Paused, _) => "paused",
            (Status::Down, _) => "down",
            (Status::Up, Core::Agent(agent)) => agent.state(),
            (Status::Up, Core::Entry(_)) => "serving",
        }
    }
}
