//! Tables of one process of a scenario, spread by the decision core.

use std::fmt;
use std::net::SocketAddr;

use crate::prelude::*;
use crate::scenario::message::Message;
use crate::table::Stamp;
use crate::table::TableSet;
use crate::table::sync;
use crate::table::sync::Action;
use crate::table::sync::Event;

/// The spread of tables at one process.
pub struct Tables {
    core: sync::Core,
    last: Option<Code>,
}

impl fmt::Debug for Tables {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Tables({:?})", self.core.stamp())
    }
}

/// What the process has to do for its tables.
#[derive(Debug)]
pub enum Need {
    /// Read the configuration service.
    Platform(Message),
    /// Call a peer.
    Peer(SocketAddr, Message),
    /// A live list is in use: VMs that it calls leaving.
    Leaving(Vec<String>),
}

impl Tables {
    /// A process that starts empty.
    pub fn new(addr: SocketAddr, zone: &str, seeds: Vec<SocketAddr>, seed: u64) -> Tables {
        let settings = sync::Settings {
            addr,
            zone: zone.to_string(),
            seeds,
            sync_mode: sync::SyncMode::Peers,
            parsers: sync::Parsers::default(),
        };
        Tables {
            core: sync::Core::new(settings, fastrand::Rng::with_seed(seed)),
            last: None,
        }
    }

    /// The set in force, once the process may serve.
    pub fn ready(&self) -> Option<&Arc<TableSet>> {
        self.core.set().filter(|_| self.core.is_ready())
    }

    /// Stamp in force.
    pub fn stamp(&self) -> Stamp {
        self.core.stamp()
    }

    /// True when the view must be refreshed after a pause.
    pub fn is_stale(&self, now: Millis) -> bool {
        self.core.is_stale(now)
    }

    /// What this process reports about newer tables.
    pub fn reported(&self, now: Millis) -> Option<Code> {
        let dump = self.core.dump(now);
        if dump.conflict.is_some() {
            return Some(Code::RevisionConflict);
        }
        if dump.waiting.is_some() {
            return Some(Code::SetIncomplete);
        }
        self.last
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) -> Vec<Need> {
        let mut actions = Vec::new();
        self.core.tick(now, &mut actions);
        self.needs(actions)
    }

    /// Takes an event.
    pub fn on_event(&mut self, now: Millis, event: Event) -> Vec<Need> {
        let mut actions = Vec::new();
        self.core.on_event(now, event, &mut actions);
        self.needs(actions)
    }

    /// Asks a process that has shown a greater revision.
    pub fn ask(&mut self, now: Millis, to: SocketAddr) -> Vec<Need> {
        let mut actions = Vec::new();
        self.core.ask(now, to, &mut actions);
        self.needs(actions)
    }

    /// Takes a message about tables; the answer goes back to the sender.
    pub fn take(
        &mut self,
        now: Millis,
        from: SocketAddr,
        message: Message,
    ) -> (Option<Message>, Vec<Need>) {
        match message {
            Message::Exchange { call, notice } => {
                let held = Some(self.core.notice());
                let needs = self.on_event(now, Event::Notice(notice));
                (Some(Message::Exchanged { call, notice: held }), needs)
            }
            Message::Fetch { call, kind, base } => {
                let reply = Some(self.core.reply(kind, &base));
                let answer = Message::Fetched {
                    call,
                    kind,
                    base,
                    reply,
                };
                (Some(answer), Vec::new())
            }
            other => match event(from, other) {
                Some(event) => (None, self.on_event(now, event)),
                None => (None, Vec::new()),
            },
        }
    }

    fn needs(&mut self, actions: Vec<Action>) -> Vec<Need> {
        let mut needs = Vec::new();
        for action in actions {
            match action {
                Action::Read {
                    call,
                    key,
                    index,
                    wait,
                } => needs.push(Need::Platform(Message::Read {
                    call,
                    key,
                    index,
                    wait,
                })),
                Action::Exchange { call, to } => {
                    let notice = self.core.notice();
                    needs.push(Need::Peer(to, Message::Exchange { call, notice }));
                }
                Action::Fetch {
                    call,
                    to,
                    kind,
                    base,
                } => needs.push(Need::Peer(to, Message::Fetch { call, kind, base })),
                Action::InForce(_) => self.last = None,
                Action::Live(live) => {
                    let leaving = live.vms.iter().filter(|(_, vm)| vm.leaving);
                    let names = leaving.map(|(name, _)| name.clone());
                    needs.push(Need::Leaving(names.collect()));
                }
                Action::Report { code, .. } => self.last = Some(code),
            }
        }
        needs
    }
}

/// The core's event for an answer.
fn event(from: SocketAddr, message: Message) -> Option<Event> {
    match message {
        Message::Reading { call, key, reading } => Some(Event::Read { call, key, reading }),
        Message::Exchanged { call, notice } => Some(Event::Reply { call, from, notice }),
        Message::Fetched {
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
