//! An entry of a scenario: matcher, routers and flights of the decision core.

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
use crate::scenario::message::Ending;
use crate::scenario::message::Message;
use crate::scenario::message::Out;
use crate::scenario::message::Serve;
use crate::table::TableSet;
use crate::table::doc::Class;
use crate::table::doc::Repeat;
use crate::table::matcher;
use crate::table::matcher::Query;

/// A request in progress.
#[derive(Debug)]
struct Active {
    flight: RequestState<String>,
    serve: Serve,
    by: String,
}

/// A call with a ticket in progress; it goes to one agent only.
#[derive(Debug)]
struct Bound {
    deadline: Millis,
    by: String,
}

/// State of an entry.
#[derive(Debug)]
pub struct Entry {
    name: String,
    zone: String,
    seed: u64,
    set: Option<Arc<TableSet>>,
    leaving: Vec<String>,
    routers: IndexMap<String, Router>,
    active: IndexMap<String, Active>,
    bound: IndexMap<String, Bound>,
}

impl Entry {
    /// An entry without tables.
    pub fn new(name: &str, zone: &str, seed: u64) -> Entry {
        Entry {
            name: name.to_string(),
            zone: zone.to_string(),
            seed,
            set: None,
            leaving: Vec::new(),
            routers: IndexMap::new(),
            active: IndexMap::new(),
            bound: IndexMap::new(),
        }
    }

    /// Takes over tables.
    pub fn set_tables(&mut self, set: &Arc<TableSet>) {
        self.set = Some(set.clone());
        self.members();
    }

    /// Takes over the live list's leaving VMs.
    pub fn set_leaving(&mut self, leaving: &[String]) {
        self.leaving = leaving.to_vec();
        self.members();
    }

    fn members(&mut self) {
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

    /// Takes a caller's request.
    pub fn request(
        &mut self,
        now: Millis,
        name: &str,
        spec: &RequestSpec,
        ticket: Option<Ticket>,
        out: &mut Vec<Out>,
    ) {
        match self.plan(now, name, spec, ticket) {
            Ok((serve, _)) if serve.ticket.is_some() => self.send_bound(now, serve, out),
            Ok((serve, plan)) => {
                let active = Active {
                    flight: RequestState::new(plan),
                    serve,
                    by: String::new(),
                };
                self.active.insert(name.to_string(), active);
                self.step(name, out, |flight, router, acts| {
                    flight.start(now, router, acts)
                });
            }
            Err(error) => out.push(ended(name, Some(error), "")),
        }
    }

    fn plan(
        &self,
        now: Millis,
        name: &str,
        spec: &RequestSpec,
        ticket: Option<Ticket>,
    ) -> Result<(Serve, Plan)> {
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
        let serve = Serve {
            request: name.to_string(),
            attempt: 1,
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
        Ok((serve, Plan { traits, deadline }))
    }

    /// Sends a call with a ticket to the agent that the ticket names.
    fn send_bound(&mut self, now: Millis, serve: Serve, out: &mut Vec<Out>) {
        let Some(ticket) = &serve.ticket else {
            return;
        };
        let bound = Bound {
            deadline: now.plus(serve.remaining),
            by: ticket.agent.clone(),
        };
        out.push(Out::Send(
            ticket.agent.clone(),
            Message::Serve(serve.clone()),
        ));
        self.bound.insert(serve.request, bound);
    }

    /// Takes part of an answer.
    pub fn on_frame(
        &mut self,
        now: Millis,
        request: &str,
        at: (u32, u64),
        piece: AnswerPart<String>,
        out: &mut Vec<Out>,
    ) {
        if let Some(bound) = self.bound.get(request) {
            if matches!(piece, AnswerPart::Done(_)) {
                out.push(ended(request, None, &bound.by));
                self.bound.shift_remove(request);
            }
            return;
        }
        self.step(request, out, |flight, router, acts| {
            flight.on_frame(now, at, piece, router, acts)
        });
    }

    /// Takes the failure of an attempt.
    pub fn on_fail(
        &mut self,
        now: Millis,
        request: &str,
        attempt: u32,
        error: Error,
        out: &mut Vec<Out>,
    ) {
        if self.bound.shift_remove(request).is_some() {
            out.push(ended(request, Some(error), ""));
            return;
        }
        self.step(request, out, |flight, router, acts| {
            flight.on_fail(now, attempt, error, router, acts)
        });
    }

    /// Runs the periodic work.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Out>) {
        for router in self.routers.values_mut() {
            router.tick(now);
        }
        let names: Vec<String> = self.active.keys().cloned().collect();
        for name in names {
            self.step(&name, out, |flight, router, acts| {
                flight.tick(now, router, acts)
            });
        }
        self.bound.retain(|name, bound| {
            if now >= bound.deadline {
                let error = Error::new(Code::OutcomeUnknown, "no answer in time");
                out.push(ended(name, Some(error.with_run(Run::Unknown)), ""));
            }
            now < bound.deadline
        });
    }

    /// Runs one step of a flight and carries out its actions.
    fn step(
        &mut self,
        name: &str,
        out: &mut Vec<Out>,
        run: impl FnOnce(&mut RequestState<String>, &mut Router, &mut Vec<Action<String>>),
    ) {
        let Some(active) = self.active.get_mut(name) else {
            return;
        };
        let Some(router) = self.routers.get_mut(&active.serve.pool) else {
            return;
        };
        let mut actions = Vec::new();
        run(&mut active.flight, router, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    attempt,
                    upstream,
                    remaining,
                } => {
                    let to = upstream_name(router, upstream);
                    let serve = Serve {
                        attempt,
                        remaining,
                        ..active.serve.clone()
                    };
                    out.push(Out::Send(to, Message::Serve(serve)));
                }
                Action::Cancel { attempt, upstream } => {
                    let to = upstream_name(router, upstream);
                    let request = name.to_string();
                    out.push(Out::Send(to, Message::Cancel { request, attempt }));
                }
                Action::Head(by) => active.by = by,
                Action::Data(_) => {}
                Action::End => out.push(ended(name, None, &active.by)),
                Action::Fail(error) => out.push(ended(name, Some(error), &active.by)),
            }
        }
        if active.flight.is_finished() {
            self.active.shift_remove(name);
        }
    }
}

fn upstream_name(router: &Router, key: Key<crate::route::Upstream>) -> String {
    let held = router.chooser.get(key);
    held.map(|upstream| upstream.name.clone())
        .unwrap_or_default()
}

fn ended(name: &str, error: Option<Error>, by: &str) -> Out {
    let by = by.to_string();
    Out::Ended(name.to_string(), Ending { error, by })
}
