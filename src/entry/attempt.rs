//! Brings a request to an upstream and its answer back to the caller.

use http::Response;
use smol::channel;
use smol::channel::Sender;

use crate::entry::Entry;
use crate::entry::answer;
use crate::entry::request::Request;
use crate::entry::request::Step;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::rt;
use crate::once::Fingerprint;
use crate::prelude::*;
use crate::proto;
use crate::route::RequestTraits;
use crate::route::cost::Kind;
use crate::table::doc::Repeat;
use crate::table::doc::Route;
use crate::util;

/// Pieces of an answer that wait for a slow caller.
const BODY_BUFFER: usize = 16;

/// Bytes of the body that tell prompt prefixes apart.
const PREFIX_LEN: usize = 512;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identity, the same for all attempts.
    pub id: String,
    /// Name of the matched route.
    pub route_name: String,
    /// The matched route.
    pub route: Route,
    /// The caller's organisation; empty when it named none.
    pub organisation: String,
    /// When the answer must have ended.
    pub deadline: Millis,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<proto::Header>,
    /// Body, whole.
    pub body: Bytes,
    /// Fingerprint for the table of suspects.
    pub print: Fingerprint,
}

impl Job {
    /// Requests that are expected to cost alike.
    pub fn kind(&self) -> Kind {
        let route = util::stable_hash([self.route_name.as_str()]);
        Kind::new(self.route.class, route, self.body.len())
    }

    /// Hash of the body's beginning; none for short bodies, whose prefill is cheap.
    fn prefix(&self) -> Option<u64> {
        let head = self.body.get(..PREFIX_LEN)?;
        let text = String::from_utf8_lossy(head);
        Some(util::stable_hash([self.route_name.as_str(), &text]))
    }
}

/// Runs a request: limits, choice, attempts, answer.
pub async fn run(entry: Entry, job: Job) -> Result<Response<BoxBody>> {
    let ask = admit(&entry, &job)?;
    let mut run = Request::start(entry, job, ask)?;
    match run.step().await {
        Step::Head(head) => Ok(respond(run, &head)),
        Step::Fail(error) => Err(error),
        // Data comes after the head, and an end without a head is refused.
        Step::Data(_) | Step::End => Err(Error::new(Code::Internal, "answer without a head")),
    }
}

/// Applies the limits; what passes is described for the choice.
fn admit(entry: &Entry, job: &Job) -> Result<RequestTraits> {
    let now = entry.node.clock.now();
    let weight = entry.node.in_force.weight(&job.organisation);
    let is_controlled = entry.pools.is_controlled();
    if is_controlled {
        entry.pools.limits(|l| l.admit(now, &job.organisation))?;
    }
    let kind = job.kind();
    let admitted = entry.pools.with(&job.route.pool, |pool| {
        let (cost, short) = (pool.costs.expect(kind), pool.costs.is_short(kind));
        if is_controlled {
            pool.gate.admit(&job.organisation, weight, cost, short)?;
        }
        Ok(RequestTraits {
            cost,
            short,
            repeatable: job.route.repeat == Repeat::Safe,
            prefix: job.prefix(),
        })
    });
    admitted.unwrap_or_else(|| Err(Error::new(Code::NoUpstream, job.route.pool.clone())))
}

/// The caller's answer, whose body is copied by a task of its own.
fn respond(run: Request, head: &proto::Head) -> Response<BoxBody> {
    let (sender, receiver) = channel::bounded(BODY_BUFFER);
    let response = answer::started(head, body::channel(receiver));
    rt::spawn(copy(run, sender)).detach();
    response
}

/// Copies the body to the caller; dropping `run` cancels what is in progress.
async fn copy(mut run: Request, sender: Sender<Result<Option<Bytes>>>) {
    run.watch(sender.clone());
    loop {
        let (item, is_last) = match run.step().await {
            Step::Data(bytes) => (Ok(Some(bytes)), false),
            Step::End => (Ok(None), true),
            Step::Fail(error) => (Err(error), true),
            Step::Head(_) => (Err(Error::new(Code::Internal, "second head")), true),
        };
        let is_gone = run.give(&sender, item).await;
        if is_last || is_gone {
            return;
        }
    }
}
