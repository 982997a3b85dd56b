//! Simulated links between processes: latency, partitions, dead and paused receivers.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::scenario::doc::PLATFORM;
use crate::scenario::message::Message;
use crate::scenario::node::Status;
use crate::scenario::simulation::Event;
use crate::scenario::simulation::Simulation;

/// Time after which a connection attempt to an unreachable process fails.
const CONNECT_TIMEOUT: Millis = Millis(2_000);

/// Interval at which an answer is sent again across a partition.
const RETRANSMIT_INTERVAL: Millis = Millis(1_000);

/// Address of the configuration service; it only sends answers and is never called by address.
const PLATFORM_ADDR: SocketAddr = SocketAddr::new(
    std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 9, 9)),
    8500,
);

impl Simulation<'_> {
    /// True unless the two are in different groups of the partition.
    fn can_reach(&self, from: &str, to: &str) -> bool {
        let group = |name: &str| {
            let has_name = |group: &Vec<String>| group.iter().any(|n| n == name);
            self.partition.iter().position(has_name)
        };
        match (group(from), group(to)) {
            (Some(left), Some(right)) => left == right,
            _ => true,
        }
    }

    /// Sends a message, which arrives after the scenario's latency.
    pub(super) fn send(&mut self, from: &str, to: &str, message: Message) {
        let delay = Millis(self.scenario.latency_ms);
        let event = Event::Message {
            from: from.to_string(),
            to: to.to_string(),
            message,
        };
        self.schedule(self.now.plus(delay), event);
    }

    /// Handles the arrival of a message; for a paused process it is kept until it resumes.
    pub(super) fn deliver(&mut self, from: String, to: String, message: Message) {
        if !self.can_reach(&from, &to) {
            self.fail_partitioned(&from, &to, message);
            return;
        }
        if to == PLATFORM {
            self.config_service.on_read(self.now, &from, message);
            self.answer_reads();
            return;
        }
        match self.nodes.get(&to).map(|node| node.status) {
            Some(Status::Up) => {
                let addr = self
                    .nodes
                    .get(&from)
                    .map_or(PLATFORM_ADDR, |node| node.addr);
                self.with_node(&to, |now, node, out| {
                    node.on_message(now, &from, addr, message, out)
                });
            }
            Some(Status::Paused) => {
                let event = Event::Message {
                    from,
                    to: to.clone(),
                    message,
                };
                self.paused_events.push((to, event));
            }
            _ => self.refuse_connection(&from, &to, message),
        }
    }

    /// Handles a message that a partition blocks.
    ///
    /// A call about tables fails after `CONNECT_TIMEOUT`. Its answer is sent again until it
    /// arrives, as TCP does. Attempts and their answers are lost.
    fn fail_partitioned(&mut self, from: &str, to: &str, message: Message) {
        let event = |from: &str, to: &str, message| Event::Message {
            from: from.to_string(),
            to: to.to_string(),
            message,
        };
        if is_answer(&message) {
            let resent = event(from, to, message);
            self.schedule(self.now.plus(RETRANSMIT_INTERVAL), resent);
        } else if let Some(message) = failed_answer(message) {
            // The caller detects the failure itself, so the message crosses no link.
            let failure = event(from, from, message);
            self.schedule(self.now.plus(CONNECT_TIMEOUT), failure);
        }
    }

    /// Answers in place of a dead or unknown process that its connection was refused: nothing
    /// was sent, so nothing was run.
    fn refuse_connection(&mut self, from: &str, to: &str, message: Message) {
        let answer = match message {
            Message::Attempt(attempt) => {
                // A call with a ticket counts as not run only once the agent has barred its key,
                // which rules out that another send of it is run.
                let run = if attempt.ticket.is_some() {
                    Run::Unknown
                } else {
                    Run::NotRun
                };
                Message::Fail {
                    request: attempt.request,
                    attempt: attempt.number,
                    error: Error::new(Code::UpstreamLost, to).with_run(run),
                }
            }
            other => match failed_answer(other) {
                Some(answer) => answer,
                None => return,
            },
        };
        self.send(to, from, answer);
    }
}

/// True for answers to calls about tables.
fn is_answer(message: &Message) -> bool {
    matches!(
        message,
        Message::ReadAnswer { .. } | Message::ExchangeAnswer { .. } | Message::FetchAnswer { .. }
    )
}

/// Answer that a caller gets to a call about tables that failed; `None` for other messages.
fn failed_answer(message: Message) -> Option<Message> {
    match message {
        Message::Read { call, key, .. } => {
            let reading = None;
            Some(Message::ReadAnswer { call, key, reading })
        }
        Message::Exchange { call, .. } => {
            let notice = None;
            Some(Message::ExchangeAnswer { call, notice })
        }
        Message::Fetch { call, kind, base } => {
            let reply = None;
            Some(Message::FetchAnswer {
                call,
                kind,
                base,
                reply,
            })
        }
        _ => None,
    }
}
