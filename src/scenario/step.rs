//! Runs the steps of a scenario: faults, published tables, requests and expectations.

use std::net::SocketAddr;

use crate::once::Ticket;
use crate::prelude::*;
use crate::scenario::doc::Publish;
use crate::scenario::doc::Step;
use crate::scenario::expect;
use crate::scenario::message::Ending;
use crate::scenario::message::Message;
use crate::scenario::node::RoleCore;
use crate::scenario::node::Status;
use crate::scenario::simulation::Event;
use crate::scenario::simulation::Simulation;
use crate::table::sync::ConfigKey;

impl Simulation<'_> {
    /// Carries out the actions of a step, then checks its expectations.
    pub(super) fn run_step(&mut self, index: usize) {
        let step = &self.scenario.steps[index];
        self.apply_faults(step);
        if let Some(publish) = &step.publish {
            self.publish(publish);
        }
        if let Some(leaving) = &step.leaving {
            self.write_live(leaving);
        }
        self.answer_reads();
        for (name, mint) in &step.mint {
            let incarnation = self.nodes[&mint.agent].started.0;
            let ticket = Ticket::mint(&mint.agent, incarnation, self.now, &mut self.rng);
            self.tickets.insert(name.clone(), ticket);
        }
        for name in step.requests.keys() {
            self.start_request(step, name);
        }
        let (checked, failures) = expect::check(self, &step.expect);
        self.checked += checked;
        let at = step.at;
        let failures = failures.into_iter();
        self.failures
            .extend(failures.map(|f| format!("step {} at {at} ms: {f}", index + 1)));
    }

    /// Applies partitions, pauses, crashes, stops and restarts, in this order.
    fn apply_faults(&mut self, step: &Step) {
        if let Some(groups) = &step.partition {
            self.partition = groups.clone();
        }
        if step.heal {
            self.partition.clear();
        }
        for name in &step.pause {
            self.set_status(name, Status::Up, Status::Paused);
        }
        for name in &step.resume {
            self.set_status(name, Status::Paused, Status::Up);
            let (events, others) = std::mem::take(&mut self.paused_events)
                .into_iter()
                .partition(|(node, _)| node == name);
            self.paused_events = others;
            let events: Vec<(String, Event)> = events;
            for (_, event) in events {
                self.schedule(self.now, event);
            }
        }
        for name in &step.crash {
            self.end_process(name);
        }
        for name in &step.stop {
            self.stop_process(name);
        }
        for name in &step.restart {
            self.restart_process(name);
        }
    }

    /// Changes the status of a process from `from` to `to`; with another status it stays.
    fn set_status(&mut self, name: &str, from: Status, to: Status) {
        if let Some(node) = self.nodes.get_mut(name)
            && node.status == from
        {
            node.status = to;
        }
    }

    /// Ends a process at once; entries that wait for its answers see their connections break.
    pub(super) fn end_process(&mut self, name: &str) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.status = Status::Down;
        self.paused_events.retain(|(node, _)| node != name);
        let waiters = match &node.core {
            RoleCore::Agent(agent) => agent.waiters(),
            RoleCore::Entry(_) => Vec::new(),
        };
        for (to, attempt) in waiters {
            let error = Error::new(Code::UpstreamLost, name).with_run(Run::Unknown);
            let message = Message::Fail {
                request: attempt.request,
                attempt: attempt.number,
                error,
            };
            self.send(name, &to, message);
        }
    }

    /// Stops a process gracefully: an agent drains first, an entry ends at once.
    fn stop_process(&mut self, name: &str) {
        let mut is_entry = false;
        self.with_node(name, |now, node, out| match &mut node.core {
            RoleCore::Agent(agent) => agent.stop(now, out),
            RoleCore::Entry(_) => is_entry = true,
        });
        if is_entry {
            self.end_process(name);
        }
    }

    /// Ends a process and starts it without tables; its engine keeps the loaded version.
    fn restart_process(&mut self, name: &str) {
        self.end_process(name);
        let loaded = match &self.nodes[name].core {
            RoleCore::Agent(agent) => agent.loaded_digest().to_string(),
            RoleCore::Entry(_) => String::new(),
        };
        let seeds: Vec<SocketAddr> = self.nodes.values().map(|node| node.addr).collect();
        let addr = self.nodes[name].addr;
        let node = self.new_node(name, addr, &seeds, &loaded);
        self.nodes.insert(name.to_string(), node);
    }

    /// Writes tables to the configuration service.
    fn publish(&mut self, publish: &Publish) {
        if let Some(name) = &publish.routes {
            self.config_service
                .write(ConfigKey::Routes, &self.table_texts[name].0);
        }
        if let Some(name) = &publish.pools {
            self.config_service
                .write(ConfigKey::Pools, &self.table_texts[name].1);
        }
    }

    /// Sends the request `name` to its entry; one that does not run refuses it.
    fn start_request(&mut self, step: &Step, name: &str) {
        let spec = &step.requests[name];
        let ticket = spec.ticket.as_ref().and_then(|t| self.tickets.get(t));
        let ticket = ticket.cloned();
        // Requests with the same ticket are one call, so they are recorded under its name.
        let call = spec.ticket.clone().unwrap_or_else(|| name.to_string());
        let request = self.requests.entry(call.clone()).or_default();
        request.is_ticketed = spec.ticket.is_some();
        request.ending = None;
        if self.nodes[&spec.from].status != Status::Up {
            let error = Error::new(Code::EntryLeaving, spec.from.clone());
            let by = String::new();
            let error = Some(error);
            self.record_ending(&call, Ending { error, by });
            return;
        }
        self.with_node(&spec.from, |now, node, out| {
            if let RoleCore::Entry(entry) = &mut node.core {
                entry.on_request(now, &call, spec, ticket, out);
            }
        });
    }
}
