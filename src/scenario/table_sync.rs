//! Table synchronisation of one process of a scenario; drives [`sync::Core`].

use std::fmt;
use std::net::SocketAddr;

use crate::prelude::*;
use crate::scenario::message::Message;
use crate::table::Stamp;
use crate::table::TableSet;
use crate::table::sync;
use crate::table::sync::Action;
use crate::table::sync::Event;

/// One process's copy of the tables, and its exchange with peers and the configuration service.
pub struct TableSync {
    core: sync::Core,
    /// Code of the last report about newer tables; cleared when tables come into force.
    last_refusal: Option<Code>,
}

impl fmt::Debug for TableSync {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TableSync({:?})", self.core.stamp())
    }
}

/// Effect of the table synchronisation, which the process carries out.
#[derive(Debug)]
pub enum TableEffect {
    /// Send a read to the configuration service.
    Read(Message),
    /// Send a message to the peer at this address.
    Call(SocketAddr, Message),
    /// Use the VMs that a new live list marks as leaving.
    Leaving(Vec<String>),
}

impl TableSync {
    /// Creates the state of a process without tables; `seeds` are the peers that it knows.
    pub fn new(addr: SocketAddr, zone: &str, seeds: Vec<SocketAddr>, seed: u64) -> TableSync {
        let settings = sync::Settings {
            addr,
            zone: zone.to_string(),
            seeds,
            sync_mode: sync::SyncMode::Peers,
            parsers: sync::Parsers::default(),
        };
        TableSync {
            core: sync::Core::new(settings, fastrand::Rng::with_seed(seed)),
            last_refusal: None,
        }
    }

    /// Tables in force; `None` until the process is ready to serve by them.
    pub fn ready(&self) -> Option<&Arc<TableSet>> {
        self.core.set().filter(|_| self.core.is_ready())
    }

    /// Stamp (revision and digest) of the tables in force.
    pub fn stamp(&self) -> Stamp {
        self.core.stamp()
    }

    /// True after a pause, until a peer or the configuration service has confirmed the tables.
    pub fn is_stale(&self, now: Millis) -> bool {
        self.core.is_stale(now)
    }

    /// Code that this process reports about newer tables that are not in force: conflicting,
    /// incomplete or refused ones.
    pub fn reported_code(&self, now: Millis) -> Option<Code> {
        let dump = self.core.dump(now);
        if dump.conflict.is_some() {
            return Some(Code::RevisionConflict);
        }
        if dump.waiting.is_some() {
            return Some(Code::SetIncomplete);
        }
        self.last_refusal
    }

    /// Does the periodic work that is due.
    pub fn tick(&mut self, now: Millis) -> Vec<TableEffect> {
        let mut actions = Vec::new();
        self.core.tick(now, &mut actions);
        self.table_effects(actions)
    }

    /// Handles an event.
    pub fn on_event(&mut self, now: Millis, event: Event) -> Vec<TableEffect> {
        let mut actions = Vec::new();
        self.core.on_event(now, event, &mut actions);
        self.table_effects(actions)
    }

    /// Asks a process that has shown a greater revision for its tables.
    pub fn ask(&mut self, now: Millis, to: SocketAddr) -> Vec<TableEffect> {
        let mut actions = Vec::new();
        self.core.ask(now, to, &mut actions);
        self.table_effects(actions)
    }

    /// Handles a message about tables; returns the answer to the sender, if any, and effects.
    pub fn on_message(
        &mut self,
        now: Millis,
        from: SocketAddr,
        message: Message,
    ) -> (Option<Message>, Vec<TableEffect>) {
        match message {
            Message::Exchange { call, notice } => {
                let reply = Some(self.core.notice());
                let effects = self.on_event(now, Event::Notice(notice));
                (
                    Some(Message::ExchangeAnswer {
                        call,
                        notice: reply,
                    }),
                    effects,
                )
            }
            Message::Fetch { call, kind, base } => {
                let reply = Some(self.core.reply(kind, &base));
                let answer = Message::FetchAnswer {
                    call,
                    kind,
                    base,
                    reply,
                };
                (Some(answer), Vec::new())
            }
            other => match answer_event(from, other) {
                Some(event) => (None, self.on_event(now, event)),
                None => (None, Vec::new()),
            },
        }
    }

    /// Translates actions of the core into effects.
    fn table_effects(&mut self, actions: Vec<Action>) -> Vec<TableEffect> {
        let mut effects = Vec::new();
        for action in actions {
            match action {
                Action::Read {
                    call,
                    key,
                    index,
                    wait,
                } => effects.push(TableEffect::Read(Message::Read {
                    call,
                    key,
                    index,
                    wait,
                })),
                Action::Exchange { call, to } => {
                    let notice = self.core.notice();
                    effects.push(TableEffect::Call(to, Message::Exchange { call, notice }));
                }
                Action::Fetch {
                    call,
                    to,
                    kind,
                    base,
                } => effects.push(TableEffect::Call(to, Message::Fetch { call, kind, base })),
                Action::InForce(_) => self.last_refusal = None,
                Action::Live(live) => {
                    let leaving = live.vms.iter().filter(|(_, vm)| vm.leaving);
                    let names = leaving.map(|(name, _)| name.clone());
                    effects.push(TableEffect::Leaving(names.collect()));
                }
                Action::Report { code, .. } => self.last_refusal = Some(code),
            }
        }
        effects
    }
}

/// Event of the core for an answer; `None` when the message is not an answer about tables.
fn answer_event(from: SocketAddr, message: Message) -> Option<Event> {
    match message {
        Message::ReadAnswer { call, key, reading } => Some(Event::Read { call, key, reading }),
        Message::ExchangeAnswer { call, notice } => Some(Event::Reply { call, from, notice }),
        Message::FetchAnswer {
            call,
            kind,
            base,
            reply,
        } => Some(Event::Fetched {
            call,
            from,
            kind,
            base,
            reply,
        }),
        _ => None,
    }
}
