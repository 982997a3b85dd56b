//! Steps of a scenario: faults, publications, requests and expectations.

use std::net::SocketAddr;

use crate::once::Ticket;
use crate::prelude::*;
use crate::scenario::doc::Publish;
use crate::scenario::doc::Step;
use crate::scenario::expect;
use crate::scenario::message::Ending;
use crate::scenario::message::Message;
use crate::scenario::node::Core;
use crate::scenario::node::Status;
use crate::scenario::world::Event;
use crate::scenario::world::World;
use crate::table::sync::ConfigKey;

impl World<'_> {
    pub(super) fn step(&mut self, index: usize) {
        let step = &self.scenario.steps[index];
        self.faults(step);
        if let Some(publish) = &step.publish {
            self.publish(publish);
        }
        if let Some(leaving) = &step.leaving {
            self.put_live(leaving);
        }
        self.answer_reads();
        for (name, mint) in &step.mint {
            let incarnation = self.nodes[&mint.agent].started.0;
            let ticket = Ticket::mint(&mint.agent, incarnation, self.now, &mut self.rng);
            self.tickets.insert(name.clone(), ticket);
        }
        for name in step.requests.keys() {
            self.request(step, name);
        }
        let (checked, failures) = expect::check(self, &step.expect);
        self.checked += checked;
        let at = step.at;
        let named = failures.into_iter();
        self.failures
            .extend(named.map(|f| format!("step {} at {at} ms: {f}", index + 1)));
    }

    fn faults(&mut self, step: &Step) {
        if let Some(groups) = &step.partition {
            self.groups = groups.clone();
        }
        if step.heal {
            self.groups.clear();
        }
        for name in &step.pause {
            self.set_status(name, Status::Up, Status::Paused);
        }
        for name in &step.resume {
            self.set_status(name, Status::Paused, Status::Up);
            let (held, others) = std::mem::take(&mut self.held)
                .into_iter()
                .partition(|(node, _)| node == name);
            self.held = others;
            let held: Vec<(String, Event)> = held;
            for (_, event) in held {
                self.push(self.now, event);
            }
        }
        for name in &step.crash {
            self.end(name);
        }
        for name in &step.stop {
            self.stop(name);
        }
        for name in &step.restart {
            self.restart(name);
        }
    }

    fn set_status(&mut self, name: &str, from: Status, to: Status) {
        if let Some(node) = self.nodes.get_mut(name)
            && node.status == from
        {
            node.status = to;
        }
    }

    /// Ends a process; connections of its attempts break.
    pub(super) fn end(&mut self, name: &str) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.status = Status::Down;
        self.held.retain(|(held, _)| held != name);
        let waiters = match &node.core {
            Core::Agent(agent) => agent.waiters(),
            Core::Entry(_) => Vec::new(),
        };
        for (to, serve) in waiters {
            let error = Error::new(Code::UpstreamLost, name).with_run(Run::Unknown);
            let message = Message::Fail {
                request: serve.request,
                attempt: serve.attempt,
                error,
            };
            self.send(name, &to, message);
        }
    }

    fn stop(&mut self, name: &str) {
        let mut is_entry = false;
        self.on_node(name, |now, node, out| match &mut node.core {
            Core::Agent(agent) => agent.stop(now, out),
            Core::Entry(_) => is_entry = true,
        });
        if is_entry {
            self.end(name);
        }
    }

    /// Starts a process empty; its engine keeps what it has loaded.
    fn restart(&mut self, name: &str) {
        self.end(name);
        let loaded = match &self.nodes[name].core {
            Core::Agent(agent) => agent.engine().to_string(),
            Core::Entry(_) => String::new(),
        };
        let seeds: Vec<SocketAddr> = self.nodes.values().map(|node| node.addr).collect();
        let addr = self.nodes[name].addr;
        let node = self.node(name, addr, &seeds, &loaded);
        self.nodes.insert(name.to_string(), node);
    }

    fn publish(&mut self, publish: &Publish) {
        if let Some(name) = &publish.routes {
            self.platform.put(ConfigKey::Routes, &self.texts[name].0);
        }
        if let Some(name) = &publish.pools {
            self.platform.put(ConfigKey::Pools, &self.texts[name].1);
        }
    }

    fn request(&mut self, step: &Step, name: &str) {
        let spec = &step.requests[name];
        let ticket = spec.ticket.as_ref().and_then(|t| self.tickets.get(t));
        let ticket = ticket.cloned();
        // Sends of one ticket are one call.
        let call = spec.ticket.clone().unwrap_or_else(|| name.to_string());
        let request = self.requests.entry(call.clone()).or_default();
        request.is_ticketed = spec.ticket.is_some();
        request.ending = None;
        if self.nodes[&spec.from].status != Status::Up {
            let error = Error::new(Code::EntryLeaving, spec.from.clone());
            let by = String::new();
            let error = Some(error);
            self.ended(&call, Ending { error, by });
            return;
        }
        self.on_node(&spec.from, |now, node, out| {
            if let Core::Entry(entry) = &mut node.core {
                entry.request(now, &call, spec, ticket, out);
            }
        });
    }
}
