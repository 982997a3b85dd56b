//! The agent on a prepared machine: keeps the runner of its VM at the wanted
//! version and tells other processes its state.

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde_json::json;
use slog::info;
use smol::channel;
use smol::channel::Receiver;

use crate::direct::entry;
use crate::direct::gossip::Gossip;
use crate::direct::gossip::Hooks;
use crate::direct::node::Node;
use crate::direct::replication;
use crate::direct::updater;
use crate::direct::updater::WeightUpdater;
use crate::direct::wire::Datagram;
use crate::direct::wire::EndDoc;
use crate::direct::wire::HoldingDoc;
use crate::direct::wire::StatusDoc;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::rt;
use crate::net::server;
use crate::prelude::*;

/// State of the agent process.
pub struct Agent {
    node: Node,
    updater: Arc<WeightUpdater>,
}

impl Agent {
    /// Creates an agent; fails when the settings name no runner.
    pub fn new(node: Node) -> Result<Arc<Agent>> {
        let addr = node
            .settings()
            .runner
            .ok_or_else(|| Error::new(Code::SettingsField, "no address of a runner"))?;
        let updater = Arc::new(WeightUpdater::new(node.clone(), addr));
        Ok(Arc::new(Agent { node, updater }))
    }

    /// Works until a message comes on `stop` or its sender is dropped.
    pub async fn run_until(self: Arc<Agent>, stop: Receiver<()>) -> Result<()> {
        let (behind, wake) = channel::bounded(1);
        let (sender, receiver) = (self.clone(), self.clone());
        let hooks = Hooks {
            add: Box::new(move |now, datagram, _| sender.add_state(now, datagram)),
            receive: Box::new(move |now, datagram| receiver.receive(now, datagram)),
        };
        let mut tasks = Gossip::start(self.node.clone(), hooks, behind)?;
        tasks.extend([
            rt::spawn(replication::follow_peers(self.node.clone(), wake)),
            rt::spawn(replication::read_store_without_entries(self.node.clone())),
            rt::spawn(self.updater.clone().run()),
        ]);
        let (_open, never) = channel::bounded::<()>(1);
        let settings = self.node.settings();
        for addr in [
            self.node.internal_addr(settings.ip),
            entry::metrics_addr(&self.node),
        ] {
            let agent = self.clone();
            let answer = move |request: Request<Incoming>| agent.clone().answer(request);
            let listener = server::bind(addr)?;
            let serving = server::serve(
                listener,
                entry::server_limits(&self.node),
                never.clone(),
                answer,
            );
            tasks.push(rt::spawn(serving));
        }
        info!(self.node.log().logger(), "process: serving"; "runner" => format!("{:?}", settings.runner));
        let _ = stop.recv().await;
        info!(self.node.log().logger(), "process: stopped");
        drop(tasks);
        Ok(())
    }

    /// Adds the state of the runner to a datagram, once the runner has reported it.
    fn add_state(&self, now: Millis, datagram: &mut Datagram) {
        datagram.ended = self.updater.last_end(now).map(|(at, upstream)| EndDoc {
            upstream,
            age: now.since(at).0 as u32,
        });
        let Some((at, report)) = self.updater.report() else {
            return;
        };
        datagram.status = Some(StatusDoc {
            upstream: self.updater.runner_id().unwrap_or_default(),
            holdings: report.holdings.iter().map(HoldingDoc::new).collect(),
            busy: report.busy,
            calls: report.running + report.queued,
            pace: (report.pace * 100.0) as u32,
            age: now.since(at).0 as u32,
            complete: self.updater.complete_version(),
            used: report.used,
            turn: self.updater.next_load().map(|at| at.since(now).0 as u32),
            cold: self.cold_left(now, report.started),
        });
    }

    /// Returns the time for which a runner that started at `started` is still cold, in
    /// milliseconds; none when it is not, or does not say when it started. It is on the
    /// same VM, so its clock is the own one.
    fn cold_left(&self, now: Millis, started: u64) -> Option<u32> {
        let cluster = self.node.cluster();
        let pool = cluster.routing()?.pool(&self.node.settings().pool)?;
        let left = Millis(started).plus(pool.cold_span).since(now);
        // A start in the future shows that the clock was set back.
        let left = left.min(pool.cold_span);
        (started > 0 && left > Millis(0)).then_some(left.0 as u32)
    }

    /// Notes which version another agent can serve.
    fn receive(&self, now: Millis, datagram: &Datagram) {
        if let Some(status) = &datagram.status {
            self.updater
                .set_peer_version(now, &datagram.name, status.complete);
        }
    }

    /// Answers a peer or an operator.
    async fn answer(self: Arc<Agent>, request: Request<Incoming>) -> Response<BoxBody> {
        match request.uri().path() {
            replication::PATH => replication::answer_peer(&self.node, &request),
            updater::PATH => self.updater.answer_piece(&request).await,
            updater::DIGESTS_PATH => self.updater.answer_digests(&request).await,
            "/metrics" => {
                self.node.memory().set_gauges();
                Response::new(body::full(self.node.metrics().text()))
            }
            "/dump" => Response::new(body::full(format!("{:#}\n", self.dump()))),
            _ => entry::status_only(StatusCode::NOT_FOUND),
        }
    }

    /// Returns the state for operators, as JSON.
    fn dump(&self) -> serde_json::Value {
        let report = self.updater.report();
        json!({
            "name": self.node.settings().name,
            "era": self.node.cluster().replica.position().era,
            "revision": self.node.cluster().replica.revision(),
            "upstream": self.updater.runner_id(),
            "complete": self.updater.complete_version(),
            "report": report.map(|(at, r)| json!({
                "at": at.0, "busy": r.busy, "orders": r.orders, "running": r.running,
                "queued": r.queued, "pace": r.pace, "holdings": format!("{:?}", r.holdings),
            })),
            "peers": self.node.peers().len(),
        })
    }
}
