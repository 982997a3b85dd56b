//! An entry of a scenario: route matcher, a router per pool and the state of each request.

use indexmap::IndexMap;

use crate::once::Ticket;
use crate::prelude::*;
use crate::route::action::Action;
use crate::route::action::AnswerPart;
use crate::route::action::Plan;
use crate::route::request_state::RequestState;
use crate::route::router::Router;
use crate::route::subset;
use crate::route::subset::Member;
use crate::route::upstream::RequestTraits;
use crate::scenario::doc::RequestSpec;
use crate::scenario::message::Attempt;
use crate::scenario::message::Effect;
use crate::scenario::message::Ending;
use crate::scenario::message::Message;
use crate::table::TableSet;
use crate::table::doc::Class;
use crate::table::doc::Repeat;
use crate::table::matcher;
use crate::table::matcher::Query;

/// A request in progress, without a ticket.
#[derive(Debug)]
struct ActiveRequest {
    state: RequestState<String>,
    /// First attempt, from which the others are made.
    attempt: Attempt,
    /// Agent that has begun an answer; empty before.
    answered_by: String,
}

/// A call with a ticket in progress; it is sent to the agent that the ticket names and no other.
#[derive(Debug)]
struct TicketedCall {
    deadline: Millis,
    agent: String,
}

/// State of an entry.
#[derive(Debug)]
pub struct Entry {
    name: String,
    zone: String,
    seed: u64,
    /// Tables in force.
    set: Option<Arc<TableSet>>,
    /// VMs that the live list marks as leaving.
    leaving: Vec<String>,
    /// Routers by pool.
    routers: IndexMap<String, Router>,
    /// Requests without a ticket, by name.
    active: IndexMap<String, ActiveRequest>,
    /// Calls with a ticket, by its name.
    ticketed: IndexMap<String, TicketedCall>,
}

impl Entry {
    /// Creates an entry without tables.
    pub fn new(name: &str, zone: &str, seed: u64) -> Entry {
        Entry {
            name: name.to_string(),
            zone: zone.to_string(),
            seed,
            set: None,
            leaving: Vec::new(),
            routers: IndexMap::new(),
            active: IndexMap::new(),
            ticketed: IndexMap::new(),
        }
    }

    /// Routes by these tables from now on.
    pub fn set_tables(&mut self, set: &Arc<TableSet>) {
        self.set = Some(set.clone());
        self.update_members();
    }

    /// Sends no new request to these VMs, which the live list marks as leaving.
    pub fn set_leaving(&mut self, leaving: &[String]) {
        self.leaving = leaving.to_vec();
        self.update_members();
    }

    /// Gives each pool's router its subset of the upstreams; those that are drained or
    /// leaving are marked as not ready.
    fn update_members(&mut self) {
        let Some(set) = &self.set else {
            return;
        };
        for (index, (pool_name, pool)) in set.pools.pools.iter().enumerate() {
            let members: Vec<Member> = pool
                .upstreams
                .iter()
                .map(|(name, upstream)| Member {
                    name: name.clone(),
                    zone: upstream.zone.clone(),
                    ready: !upstream.drain && !self.leaving.contains(name),
                })
                .collect();
            let seed = self.seed.wrapping_add(index as u64);
            let router = self.routers.entry(pool_name.clone());
            let router = router.or_insert_with(|| Router::new(seed));
            let chosen = subset::subset(&self.name, &self.zone, &members);
            router.chooser.set_members(&self.zone, &chosen);
        }
    }

    /// Handles a caller's request: matches it to a route and sends a first attempt.
    pub fn on_request(
        &mut self,
        now: Millis,
        name: &str,
        spec: &RequestSpec,
        ticket: Option<Ticket>,
        out: &mut Vec<Effect>,
    ) {
        match self.plan(now, name, spec, ticket) {
            Ok((attempt, _)) if attempt.ticket.is_some() => self.send_ticketed(now, attempt, out),
            Ok((attempt, plan)) => {
                let active = ActiveRequest {
                    state: RequestState::new(plan),
                    attempt,
                    answered_by: String::new(),
                };
                self.active.insert(name.to_string(), active);
                self.advance(name, out, |state, router, actions| {
                    state.start(now, router, actions)
                });
            }
            Err(error) => out.push(ended(name, Some(error), "")),
        }
    }

    /// Matches a request to a route; returns its first attempt and its plan.
    ///
    /// Fails without tables and without a matching route.
    fn plan(
        &self,
        now: Millis,
        name: &str,
        spec: &RequestSpec,
        ticket: Option<Ticket>,
    ) -> Result<(Attempt, Plan)> {
        let Some(set) = &self.set else {
            return Err(Error::new(Code::TablesMissing, self.name.clone()));
        };
        let query = Query {
            method: &spec.method,
            path: &spec.path,
            organisation: &spec.organisation,
        };
        let header = |name: &str| spec.headers.get(name).cloned();
        let Some((_, route)) = matcher::find(&set.routes, query, header) else {
            return Err(Error::new(Code::RouteUnknown, spec.path.clone()));
        };
        let pool = &set.pools.pools[&route.pool];
        let remaining = Millis(route.deadline_ms);
        let attempt = Attempt {
            request: name.to_string(),
            number: 1,
            pool: route.pool.clone(),
            model: pool.model.clone(),
            digest: pool.digest.clone(),
            revision: set.stamp.revision,
            remaining,
            run: Millis(spec.run_ms),
            ticket,
        };
        let traits = RequestTraits {
            cost: spec.run_ms as f64,
            short: route.class != Class::Long,
            repeatable: route.repeat == Repeat::Safe,
            prefix: None,
        };
        let deadline = now.plus(remaining);
        Ok((attempt, Plan { traits, deadline }))
    }

    /// Sends a call with a ticket to the agent that the ticket names.
    fn send_ticketed(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Effect>) {
        let Some(ticket) = &attempt.ticket else {
            return;
        };
        let ticketed = TicketedCall {
            deadline: now.plus(attempt.remaining),
            agent: ticket.agent.clone(),
        };
        out.push(Effect::Send(
            ticket.agent.clone(),
            Message::Attempt(attempt.clone()),
        ));
        self.ticketed.insert(attempt.request, ticketed);
    }

    /// Handles a part of an answer; `at` is the number of the attempt and that of the part.
    pub fn on_frame(
        &mut self,
        now: Millis,
        request: &str,
        at: (u32, u64),
        part: AnswerPart<String>,
        out: &mut Vec<Effect>,
    ) {
        if let Some(ticketed) = self.ticketed.get(request) {
            if matches!(part, AnswerPart::Done(_)) {
                out.push(ended(request, None, &ticketed.agent));
                self.ticketed.shift_remove(request);
            }
            return;
        }
        self.advance(request, out, |state, router, actions| {
            state.on_frame(now, at, part, router, actions)
        });
    }

    /// Handles the failure of an attempt.
    pub fn on_fail(
        &mut self,
        now: Millis,
        request: &str,
        attempt: u32,
        error: Error,
        out: &mut Vec<Effect>,
    ) {
        if self.ticketed.shift_remove(request).is_some() {
            out.push(ended(request, Some(error), ""));
            return;
        }
        self.advance(request, out, |state, router, actions| {
            state.on_fail(now, attempt, error, router, actions)
        });
    }

    /// Does the periodic work of routers and requests; calls with a ticket that are past their
    /// deadline end with an unknown outcome.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Effect>) {
        for router in self.routers.values_mut() {
            router.tick(now);
        }
        let names: Vec<String> = self.active.keys().cloned().collect();
        for name in names {
            self.advance(&name, out, |state, router, actions| {
                state.tick(now, router, actions)
            });
        }
        self.ticketed.retain(|name, ticketed| {
            if now >= ticketed.deadline {
                let error = Error::new(Code::OutcomeUnknown, "no answer in time");
                out.push(ended(name, Some(error.with_run(Run::Unknown)), ""));
            }
            now < ticketed.deadline
        });
    }

    /// Applies `run` to the state of a request and turns the resulting actions into effects.
    fn advance(
        &mut self,
        name: &str,
        out: &mut Vec<Effect>,
        run: impl FnOnce(&mut RequestState<String>, &mut Router, &mut Vec<Action<String>>),
    ) {
        let Some(active) = self.active.get_mut(name) else {
            return;
        };
        let Some(router) = self.routers.get_mut(&active.attempt.pool) else {
            return;
        };
        let mut actions = Vec::new();
        run(&mut active.state, router, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    attempt,
                    upstream,
                    remaining,
                } => {
                    let to = upstream_name(router, upstream);
                    let attempt = Attempt {
                        number: attempt,
                        remaining,
                        ..active.attempt.clone()
                    };
                    out.push(Effect::Send(to, Message::Attempt(attempt)));
                }
                Action::Cancel { attempt, upstream } => {
                    let to = upstream_name(router, upstream);
                    let request = name.to_string();
                    out.push(Effect::Send(to, Message::Cancel { request, attempt }));
                }
                Action::Head(by) => active.answered_by = by,
                Action::Data(_) => {}
                Action::End => out.push(ended(name, None, &active.answered_by)),
                Action::Fail(error) => out.push(ended(name, Some(error), &active.answered_by)),
            }
        }
        if active.state.is_finished() {
            self.active.shift_remove(name);
        }
    }
}

fn upstream_name(router: &Router, key: Key<crate::route::Upstream>) -> String {
    let upstream = router.chooser.get(key);
    upstream
        .map(|upstream| upstream.name.clone())
        .unwrap_or_default()
}

fn ended(name: &str, error: Option<Error>, by: &str) -> Effect {
    let by = by.to_string();
    Effect::Ended(name.to_string(), Ending { error, by })
}
