//! Runs a caller's request that needs no ticket and streams its answer back.

use http::Response;
use smol::channel;
use smol::channel::Sender;

use crate::entry::Entry;
use crate::entry::answer;
use crate::entry::running::ReplyPart;
use crate::entry::running::RunningRequest;
use crate::gate::Signatures;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::reserve::Hold;
use crate::net::rt;
use crate::once::Fingerprint;
use crate::prelude::*;
use crate::proto;
use crate::route::RequestTraits;
use crate::route::cost::Kind;
use crate::table::doc::Repeat;
use crate::table::doc::Route;
use crate::util;

/// Parts of an answer's body that are buffered for a slow caller.
const BODY_BUFFER: usize = 8;

/// Bytes at the start of the body by which prompt prefixes are compared.
const PREFIX_BYTES: usize = 512;

/// A caller's request, read whole and matched to a route.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Random id, the same for all attempts.
    pub id: String,
    /// Name of the matched route.
    pub route_name: String,
    /// The matched route.
    pub route: Route,
    /// The caller's organisation; empty when it named none.
    pub organisation: String,
    /// Time by which the answer must be complete.
    pub deadline: Millis,
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// End-to-end headers, in order.
    pub headers: Vec<proto::Header>,
    /// Whole body.
    pub body: Bytes,
    /// What it holds of the memory of the process.
    pub memory: Hold,
    /// Fingerprint by which requests that crash upstreams are recognised.
    pub fingerprint: Fingerprint,
    /// What it has in common with other requests that may crash upstreams.
    pub signatures: Signatures,
}

impl CallerRequest {
    /// Kind of request under which its service time is learned and predicted.
    pub fn kind(&self) -> Kind {
        let route = util::stable_hash([self.route_name.as_str()]);
        Kind::new(self.route.class, route, self.body.len())
    }
}

/// Hash of the first [`PREFIX_BYTES`] of the body, by which requests with a common prefix go to
/// the same upstream, and by which those are recognised under which upstreams crash; none for
/// shorter bodies, whose prefill is cheap.
pub fn prefix(route_name: &str, body: &[u8]) -> Option<u64> {
    let head = body.get(..PREFIX_BYTES)?;
    let text = String::from_utf8_lossy(head);
    Some(util::stable_hash([route_name, &text]))
}

/// Applies the limits, runs the request and returns the answer once its head has arrived.
pub async fn run(entry: Entry, request: CallerRequest) -> Result<Response<BoxBody>> {
    let traits = admit(&entry, &request)?;
    let mut running = RunningRequest::start(entry, request, traits)?;
    match running.next_part().await {
        ReplyPart::Head(head) => Ok(respond(running, &head)),
        ReplyPart::Fail(error) => Err(error),
        // Cannot happen: data follows the head, and an end without a head is an error.
        ReplyPart::Data(_) | ReplyPart::End => {
            Err(Error::new(Code::Internal, "answer without a head"))
        }
    }
}

/// Applies the limits of the organisation and the pool to a request.
///
/// Returns what the choice of an upstream needs to know about it.
fn admit(entry: &Entry, request: &CallerRequest) -> Result<RequestTraits> {
    let now = entry.node.clock.now();
    let weight = entry.node.in_force.weight(&request.organisation);
    let applies_limits = entry.pools.applies_limits();
    if applies_limits {
        entry
            .pools
            .with_limiter(|l| l.admit(now, &request.organisation))?;
    }
    let kind = request.kind();
    let admitted = entry.pools.with_pool(&request.route.pool, |pool| {
        let (cost, short) = (pool.costs.expect(kind), pool.costs.is_short(kind));
        if applies_limits {
            pool.overload
                .admit(&request.organisation, weight, cost, short)?;
        }
        Ok(RequestTraits {
            cost,
            short,
            repeatable: request.route.repeat == Repeat::Safe,
            prefix: prefix(&request.route_name, &request.body),
        })
    });
    admitted.unwrap_or_else(|| Err(Error::new(Code::NoUpstream, request.route.pool.clone())))
}

/// Starts the caller's answer; a task copies its body.
fn respond(running: RunningRequest, head: &proto::Head) -> Response<BoxBody> {
    let (sender, receiver) = channel::bounded(BODY_BUFFER);
    let response = answer::with_head(head, body::channel(receiver));
    rt::spawn(copy_body(running, sender)).detach();
    response
}

/// Copies the body to the caller; dropping `running` at the end cancels open attempts.
async fn copy_body(mut running: RunningRequest, sender: Sender<Result<Option<Bytes>>>) {
    running.watch_caller(sender.clone());
    loop {
        let (part, is_last) = match running.next_part().await {
            ReplyPart::Data(bytes) => (Ok(Some(bytes)), false),
            ReplyPart::End => (Ok(None), true),
            ReplyPart::Fail(error) => (Err(error), true),
            ReplyPart::Head(_) => (Err(Error::new(Code::Internal, "second head")), true),
        };
        let is_gone = running.send_part(&sender, part).await;
        if is_last || is_gone {
            return;
        }
    }
}
