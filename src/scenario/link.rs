//! Links between processes: latency, partitions, dead and paused receivers.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::scenario::doc::PLATFORM;
use crate::scenario::message::Message;
use crate::scenario::node::Status;
use crate::scenario::world::Event;
use crate::scenario::world::World;

/// Time after which a connection to an unreachable process is given up.
const CONNECT_TIMEOUT: Millis = Millis(2_000);

/// Interval at which an answer is sent again across a partition.
const RETRANSMIT: Millis = Millis(1_000);

/// Address of the configuration service, which only answers.
const PLATFORM_ADDR: SocketAddr = SocketAddr::new(
    std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 9, 9)),
    8500,
);

impl World<'_> {
    fn reaches(&self, from: &str, to: &str) -> bool {
        let group = |name: &str| {
            let held = |group: &Vec<String>| group.iter().any(|n| n == name);
            self.groups.iter().position(held)
        };
        match (group(from), group(to)) {
            (Some(left), Some(right)) => left == right,
            _ => true,
        }
    }

    pub(super) fn send(&mut self, from: &str, to: &str, message: Message) {
        let delay = Millis(self.scenario.latency_ms);
        let event = Event::Message {
            from: from.to_string(),
            to: to.to_string(),
            message,
        };
        self.push(self.now.plus(delay), event);
    }

    pub(super) fn arrive(&mut self, from: String, to: String, message: Message) {
        if !self.reaches(&from, &to) {
            self.give_up(&from, &to, message);
            return;
        }
        if to == PLATFORM {
            self.platform.read(self.now, &from, message);
            self.answer_reads();
            return;
        }
        match self.nodes.get(&to).map(|node| node.status) {
            Some(Status::Up) => {
                let addr = self
                    .nodes
                    .get(&from)
                    .map_or(PLATFORM_ADDR, |node| node.addr);
                self.on_node(&to, |now, node, out| {
                    node.take(now, &from, addr, message, out)
                });
            }
            Some(Status::Paused) => {
                let event = Event::Message {
                    from,
                    to: to.clone(),
                    message,
                };
                self.held.push((to, event));
            }
            _ => self.refuse(&from, &to, message),
        }
    }

    /// A call about tables across a partition fails after a while, and answers
    /// are sent again until they arrive, as TCP does; attempts and frames are lost.
    fn give_up(&mut self, from: &str, to: &str, message: Message) {
        let event = |from: &str, to: &str, message| Event::Message {
            from: from.to_string(),
            to: to.to_string(),
            message,
        };
        if is_answer(&message) {
            let again = event(from, to, message);
            self.push(self.now.plus(RETRANSMIT), again);
        } else if let Some(message) = failed(message) {
            // The caller sees the failure itself, so it crosses no link.
            let own = event(from, from, message);
            self.push(self.now.plus(CONNECT_TIMEOUT), own);
        }
    }

    /// Answers for a dead or unknown process: nothing was sent, so nothing was run.
    fn refuse(&mut self, from: &str, to: &str, message: Message) {
        let answer = match message {
            Message::Serve(serve) => {
                // A key is only "not run" once its owner has barred it.
                let run = if serve.ticket.is_some() {
                    Run::Unknown
                } else {
                    Run::NotRun
                };
                Message::Fail {
                    request: serve.request,
                    attempt: serve.attempt,
                    error: Error::new(Code::UpstreamLost, to).with_run(run),
                }
            }
            other => match failed(other) {
                Some(answer) => answer,
                None => return,
            },
        };
        self.send(to, from, answer);
    }
}

fn is_answer(message: &Message) -> bool {
    matches!(
        message,
        Message::Reading { .. } | Message::Exchanged { .. } | Message::Fetched { .. }
    )
}

/// What the caller sees of a call about tables that did not get through.
fn failed(message: Message) -> Option<Message> {
    match message {
        Message::Read { call, key, .. } => {
            let reading = None;
            Some(Message::Reading { call, key, reading })
        }
        Message::Exchange { call, .. } => {
            let notice = None;
            Some(Message::Exchanged { call, notice })
        }
        Message::Fetch { call, kind, base } => {
            let reply = None;
            Some(Message::Fetched {
                call,
                kind,
                base,
                reply,
            })
        }
        _ => None,
    }
}
