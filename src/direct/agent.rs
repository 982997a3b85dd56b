//! The agent on a prepared machine.

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde_json::json;
use slog::info;
use smol::channel;
use smol::channel::Receiver;

use crate::direct::entry;
use crate::direct::feed;
use crate::direct::fill;
use crate::direct::fill::Fill;
use crate::direct::gossip::Gossip;
use crate::direct::gossip::Parts;
use crate::direct::node::Node;
use crate::direct::wire::Datagram;
use crate::direct::wire::HoldingDoc;
use crate::direct::wire::StatusDoc;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::rt;
use crate::net::server;
use crate::prelude::*;

/// State of an agent.
pub struct Agent {
    node: Node,
    fill: Arc<Fill>,
}

impl Agent {
    /// An agent that knows nothing yet.
    pub fn new(node: Node) -> Result<Arc<Agent>> {
        let addr = node
            .settings()
            .runner
            .ok_or_else(|| Error::new(Code::SettingsField, "no runner on this machine"))?;
        let fill = Arc::new(Fill::new(node.clone(), addr));
        Ok(Arc::new(Agent { node, fill }))
    }

    /// Works until told to stop.
    pub async fn run_until(self: Arc<Agent>, stop: Receiver<()>) -> Result<()> {
        let (behind, token) = channel::bounded(1);
        let (filler, taker) = (self.clone(), self.clone());
        let parts = Parts {
            fill: Box::new(move |now, datagram, _| filler.fill(now, datagram)),
            take: Box::new(move |now, datagram| taker.take(now, datagram)),
        };
        let mut tasks = Gossip::start(self.node.clone(), parts, behind)?;
        tasks.extend([
            rt::spawn(feed::follow(self.node.clone(), token)),
            rt::spawn(feed::watch_alone(self.node.clone())),
            rt::spawn(self.fill.clone().run()),
        ]);
        let (_open, never) = channel::bounded::<()>(1);
        let settings = self.node.settings();
        for addr in [
            self.node.internal(settings.ip),
            entry::metrics_addr(&self.node),
        ] {
            let agent = self.clone();
            let answer = move |request: Request<Incoming>| agent.clone().answer(request);
            let listener = server::bind(addr)?;
            let serving = server::serve(listener, entry::bounds(), never.clone(), answer);
            tasks.push(rt::spawn(serving));
        }
        info!(self.node.journal().log(), "process: serving"; "runner" => format!("{:?}", settings.runner));
        let _ = stop.recv().await;
        info!(self.node.journal().log(), "process: stopped");
        drop(tasks);
        Ok(())
    }

    fn fill(&self, now: Millis, datagram: &mut Datagram) {
        let Some((at, report)) = self.fill.report() else {
            return;
        };
        datagram.status = Some(StatusDoc {
            upstream: self.fill.id().unwrap_or_default(),
            holdings: report.holdings.iter().map(HoldingDoc::new).collect(),
            busy: report.busy,
            calls: report.running + report.queued,
            pace: (report.pace * 100.0) as u32,
            age: now.since(at).0 as u32,
            complete: self.fill.complete(),
            turn: self.fill.next_turn().map(|at| at.since(now).0 as u32),
        });
    }

    fn take(&self, now: Millis, datagram: &Datagram) {
        if let Some(status) = &datagram.status {
            self.fill.on_holder(now, &datagram.name, status.complete);
        }
    }

    async fn answer(self: Arc<Agent>, request: Request<Incoming>) -> Response<BoxBody> {
        match request.uri().path() {
            feed::PATH => feed::answer(&self.node, &request),
            fill::PATH => self.fill.answer(&request).await,
            "/metrics" => Response::new(body::full(self.node.metrics().text())),
            "/dump" => Response::new(body::full(format!("{:#}\n", self.dump()))),
            _ => entry::status_only(StatusCode::NOT_FOUND),
        }
    }

    /// State for operators.
    fn dump(&self) -> serde_json::Value {
        let report = self.fill.report();
        json!({
            "name": self.node.settings().name,
            "revision": self.node.world().replica.at(),
            "upstream": self.fill.id(),
            "complete": self.fill.complete(),
            "report": report.map(|(at, r)| json!({
                "at": at.0, "busy": r.busy, "orders": r.orders, "running": r.running,
                "queued": r.queued, "pace": r.pace, "holdings": format!("{:?}", r.holdings),
            })),
            "peers": self.node.peers().len(),
        })
    }
}
