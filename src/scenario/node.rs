//! One process of a scenario: its table synchronisation and the decision logic of its role.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::scenario::agent::Agent;
use crate::scenario::entry::Entry;
use crate::scenario::message::Effect;
use crate::scenario::message::Message;
use crate::scenario::message::Work;
use crate::scenario::table_sync::TableEffect;
use crate::scenario::table_sync::TableSync;
use crate::table::Stamp;
use crate::table::sync;

/// Whether a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It handles messages and timers.
    Up,
    /// It handles nothing; when resumed it continues with the tables that it had.
    Paused,
    /// It has ended.
    Down,
}

/// The part of a process that depends on its role.
#[derive(Debug)]
pub enum RoleCore {
    /// Routes callers' requests.
    Entry(Box<Entry>),
    /// Admits requests to its engine or service.
    Agent(Box<Agent>),
}

/// One process.
#[derive(Debug)]
pub struct Node {
    /// Address that peers call.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Whether it runs, is paused or has ended.
    pub status: Status,
    /// Time of its last start; it tells the process from the one before a restart.
    pub started: Millis,
    /// Synchronisation of its tables with peers and the configuration service.
    pub table_sync: TableSync,
    /// Decision logic of its role.
    pub core: RoleCore,
    /// Stamp of the tables that `core` was last given.
    core_stamp: Stamp,
}

impl Node {
    /// Creates a running process without tables.
    pub fn new(
        addr: SocketAddr,
        zone: &str,
        started: Millis,
        table_sync: TableSync,
        core: RoleCore,
    ) -> Node {
        Node {
            addr,
            zone: zone.to_string(),
            status: Status::Up,
            started,
            table_sync,
            core,
            core_stamp: Stamp::default(),
        }
    }

    /// Handles a message from the process `from` at `addr`; effects are added to `out`.
    pub fn on_message(
        &mut self,
        now: Millis,
        from: &str,
        addr: SocketAddr,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        match (&mut self.core, message) {
            (RoleCore::Agent(agent), Message::Attempt(attempt)) => {
                agent.on_attempt(now, from, attempt, out)
            }
            (RoleCore::Agent(agent), Message::Cancel { request, attempt }) => {
                agent.on_cancel(now, &request, attempt, out);
            }
            (
                RoleCore::Entry(entry),
                Message::Frame {
                    request,
                    attempt,
                    seq,
                    part,
                },
            ) => entry.on_frame(now, &request, (attempt, seq), part, out),
            (
                RoleCore::Entry(entry),
                Message::Fail {
                    request,
                    attempt,
                    error,
                },
            ) => entry.on_fail(now, &request, attempt, error, out),
            (_, message) => self.on_table_message(now, from, addr, message, out),
        }
    }

    /// Handles a message about tables.
    ///
    /// An agent counts its tables as refreshed when an answer leaves nothing to fetch.
    fn on_table_message(
        &mut self,
        now: Millis,
        from: &str,
        addr: SocketAddr,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        let is_answer = matches!(
            message,
            Message::ExchangeAnswer { .. } | Message::FetchAnswer { .. }
        );
        let (answer, effects) = self.table_sync.on_message(now, addr, message);
        if let Some(answer) = answer {
            out.push(Effect::Send(from.to_string(), answer));
        }
        let is_fetching = effects
            .iter()
            .any(|effect| matches!(effect, TableEffect::Call(_, Message::Fetch { .. })));
        self.apply_table_effects(now, effects, out);
        let is_refreshed = is_answer && !is_fetching && !self.table_sync.is_stale(now);
        if let RoleCore::Agent(agent) = &mut self.core
            && is_refreshed
        {
            agent.on_refreshed(now, out);
        }
    }

    /// Adds the effects of the table synchronisation to `out` and gives new tables to the
    /// role's logic.
    fn apply_table_effects(
        &mut self,
        now: Millis,
        effects: Vec<TableEffect>,
        out: &mut Vec<Effect>,
    ) {
        for effect in effects {
            match effect {
                TableEffect::Read(message) => out.push(Effect::Read(message)),
                TableEffect::Call(addr, message) => out.push(Effect::Call(addr, message)),
                TableEffect::Leaving(names) => match &mut self.core {
                    RoleCore::Entry(entry) => entry.set_leaving(&names),
                    RoleCore::Agent(agent) => agent.set_leaving(now, &names, out),
                },
            }
        }
        let Some(set) = self.table_sync.ready() else {
            return;
        };
        if set.stamp == self.core_stamp {
            return;
        }
        assert!(
            set.stamp > self.core_stamp,
            "the tables in force went back to an older revision"
        );
        self.core_stamp = set.stamp.clone();
        match &mut self.core {
            RoleCore::Entry(entry) => entry.set_tables(set),
            RoleCore::Agent(agent) => agent.set_tables(now, set, out),
        }
    }

    /// Asks the process at `addr` for newer tables.
    pub fn ask_tables(&mut self, now: Millis, addr: SocketAddr, out: &mut Vec<Effect>) {
        let effects = self.table_sync.ask(now, addr);
        self.apply_table_effects(now, effects, out);
    }

    /// Handles the end of work; only agents have any.
    pub fn on_work(&mut self, now: Millis, work: Work, out: &mut Vec<Effect>) {
        if let RoleCore::Agent(agent) = &mut self.core {
            agent.on_work(now, work, out);
        }
    }

    /// Does the periodic work of the tables and of the role.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if now.0.is_multiple_of(sync::TICK.0) {
            let effects = self.table_sync.tick(now);
            self.apply_table_effects(now, effects, out);
        }
        match &mut self.core {
            RoleCore::Entry(entry) => entry.tick(now, out),
            RoleCore::Agent(agent) => agent.tick(now, out),
        }
    }

    /// State by its name in scenario files.
    pub fn state(&self) -> &'static str {
        match (self.status, &self.core) {
            (Status::Paused, _) => "paused",
            (Status::Down, _) => "down",
            (Status::Up, RoleCore::Agent(agent)) => agent.state(),
            (Status::Up, RoleCore::Entry(_)) => "serving",
        }
    }
}
