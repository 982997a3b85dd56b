//! Stand-in for a model engine, which also serves as a plain service.
//!
//! `POST /v1/completions` returns tokens computed from the prompt, so that an
//! answer can be checked against its request; every event carries the digest of
//! the loaded weights as `system_fingerprint`. Any path that is not listed in
//! `Engine::answer` is a plain service call; its runs are counted by
//! `Idempotency-Key`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use smol::channel;

use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::client::Client;
use crate::net::rt;
use crate::standin;
use crate::standin::ServerHandle;
use crate::standin::batch::Rank;
use crate::standin::batch::Slots;
use crate::util;

/// Largest request body, in bytes.
const MAX_BODY: usize = 4 << 20;

/// Parameters of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Time for one token of one request, in microseconds.
    pub token_us: u64,
    /// Number of requests that run at the same time; more wait for a slot.
    pub batch: usize,
    /// True if load orders with a lower fencing number than seen before are refused.
    pub fenced: bool,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            token_us: 2_000,
            batch: 8,
            fenced: true,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    /// Digest of the loaded version; empty while none is loaded.
    digest: String,
    model: String,
    /// Highest fencing number of a load order so far.
    fence: u64,
    loading: bool,
    running: usize,
    /// Number of successful loads.
    loads: u64,
    request_count: u64,
    /// Factor by which the time of a token is multiplied.
    slowdown: u64,
    /// Number of runs by idempotency key.
    runs: IndexMap<String, u64>,
    /// Number of load orders that are still to fail.
    failing_loads: u64,
}

/// An engine; clones share its state.
#[derive(Clone, Debug)]
pub struct Engine {
    behaviour: Behaviour,
    state: Arc<Mutex<State>>,
    slots: Slots,
}

/// A load order of an agent: the version to load and the agent to read it from.
#[derive(Clone, Debug, Deserialize)]
struct LoadOrder {
    model: String,
    digest: String,
    fence: u64,
    source: SocketAddr,
}

/// Body of a completion request. `resume_from` is the index of the first token
/// of a stream.
#[derive(Clone, Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    prompt: String,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    resume_from: u64,
    /// Requests with a lower number run first.
    #[serde(default)]
    priority: i64,
}

fn default_tokens() -> u64 {
    16
}

impl Engine {
    /// Creates an engine with nothing loaded.
    pub fn new(behaviour: Behaviour) -> Engine {
        let state = State {
            slowdown: 1,
            ..State::default()
        };
        Engine {
            behaviour,
            state: Arc::new(Mutex::new(state)),
            slots: Slots::new(behaviour.batch),
        }
    }

    /// Sets the factor, at least 1, by which the time of each token is multiplied.
    pub fn set_slowdown(&self, factor: u64) {
        self.lock().slowdown = factor.max(1);
    }

    /// Makes the next `count` load orders fail.
    pub fn fail_next_loads(&self, count: u64) {
        self.lock().failing_loads = count;
    }

    /// Returns the number of runs so far by idempotency key.
    pub fn runs(&self) -> IndexMap<String, u64> {
        self.lock().runs.clone()
    }

    /// Returns the number of completions and service calls received so far.
    pub fn request_count(&self) -> u64 {
        self.lock().request_count
    }

    /// Returns the digest of the loaded version; empty if none is loaded.
    pub fn loaded_digest(&self) -> String {
        self.lock().digest.clone()
    }

    /// Starts an HTTP server for the engine on `addr`.
    pub fn start(&self, addr: SocketAddr) -> Result<ServerHandle> {
        let engine = self.clone();
        standin::start(addr, move |request| {
            let engine = engine.clone();
            async move { engine.answer(request).await }
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<BoxBody> {
        let path = request.uri().path().to_string();
        let method = request.method().clone();
        match (method, path.as_str()) {
            (Method::GET, "/admin/state") => standin::json(StatusCode::OK, &self.report()),
            (Method::POST, "/admin/load") => self.load(request).await,
            (Method::POST, "/admin/unload") => {
                self.lock().digest.clear();
                standin::json(StatusCode::OK, &self.report())
            }
            (Method::POST, "/standin/slow") => self.handle_slowdown(request).await,
            (Method::GET, "/standin/runs") => {
                let runs = self.runs();
                standin::json(StatusCode::OK, &json!(runs))
            }
            (Method::POST, "/v1/completions") => {
                self.lock().request_count += 1;
                self.complete(request).await
            }
            _ => {
                self.lock().request_count += 1;
                self.service(request).await
            }
        }
    }

    /// Returns the state that `/admin/state` reports.
    fn report(&self) -> Value {
        let state = self.lock();
        json!({
            "model": state.model,
            "digest": state.digest,
            "loading": state.loading,
            "fence": state.fence,
            "running": state.running,
            "loads": state.loads,
        })
    }

    /// Sets the slowdown to the number in the body, or to 1 if there is none.
    async fn handle_slowdown(&self, request: Request<Incoming>) -> Response<BoxBody> {
        let text = body::read_request(request.into_body(), 64)
            .await
            .unwrap_or_default();
        let factor = String::from_utf8_lossy(&text).trim().parse().unwrap_or(1);
        self.set_slowdown(factor);
        standin::text(StatusCode::OK, "ok")
    }

    /// Executes a load order and answers when the version is loaded.
    async fn load(&self, request: Request<Incoming>) -> Response<BoxBody> {
        let order: LoadOrder = match read_json(request).await {
            Ok(order) => order,
            Err(error) => return standin::text(StatusCode::BAD_REQUEST, &error.detail),
        };
        {
            let mut state = self.lock();
            if self.behaviour.fenced && order.fence < state.fence {
                return standin::text(StatusCode::CONFLICT, "old fence");
            }
            state.fence = state.fence.max(order.fence);
            state.loading = true;
            // Weights are replaced in place, so nothing is served during the load.
            state.digest.clear();
        }
        let loaded = self.fetch(&order).await;
        let mut state = self.lock();
        state.loading = false;
        if state.failing_loads > 0 {
            state.failing_loads -= 1;
            return standin::text(StatusCode::INTERNAL_SERVER_ERROR, "load failed");
        }
        match loaded {
            Ok(()) => {
                state.loads += 1;
                state.model = order.model;
                state.digest = order.digest;
                drop(state);
                standin::json(StatusCode::OK, &self.report())
            }
            Err(error) => standin::text(StatusCode::INTERNAL_SERVER_ERROR, &error.detail),
        }
    }

    /// Reads the manifest and all layers from the agent and checks their digests.
    async fn fetch(&self, order: &LoadOrder) -> Result<()> {
        let client = Client::new(order.source);
        let manifest = self
            .fetch_blob(&client, &order.model, "manifests", &order.digest)
            .await?;
        let manifest: Value = serde_json::from_slice(&manifest)
            .map_err(|e| Error::new(Code::ManifestCorrupt, e.to_string()))?;
        let layers = manifest["layers"].as_array().cloned().unwrap_or_default();
        for layer in layers {
            let digest = layer["digest"].as_str().unwrap_or_default();
            self.fetch_blob(&client, &order.model, "blobs", digest)
                .await?;
        }
        Ok(())
    }

    /// Reads one manifest or blob and checks its digest.
    async fn fetch_blob(
        &self,
        client: &Client,
        model: &str,
        kind: &str,
        digest: &str,
    ) -> Result<Bytes> {
        let request = Request::get(format!("/v2/{model}/{kind}/{digest}"))
            .header("host", client.addr().to_string())
            .body(body::full(""))
            .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
        let answer = client.send(request).await?;
        let (response, kept) = Client::split(answer);
        let blob = body::read(response.into_body(), usize::MAX).await?;
        client.give_back(kept);
        if util::digest(&blob) != digest {
            return Err(Error::new(Code::ChunkCorrupt, digest));
        }
        Ok(blob)
    }

    /// Answers a completion request, as a stream or as one JSON document.
    async fn complete(&self, request: Request<Incoming>) -> Response<BoxBody> {
        let completion: Completion = match read_json(request).await {
            Ok(completion) => completion,
            Err(error) => return standin::text(StatusCode::BAD_REQUEST, &error.detail),
        };
        if self.lock().digest.is_empty() {
            return standin::text(StatusCode::SERVICE_UNAVAILABLE, "no weights");
        }
        if completion.stream {
            return self.stream(completion);
        }
        let rank = self.slots.rank(completion.priority);
        let _running = RunningGuard::new(self.clone());
        let mut text = String::new();
        for index in 0..completion.max_tokens {
            self.run_token(rank).await;
            text.push_str(&token(&completion.prompt, index));
        }
        let digest = self.lock().digest.clone();
        standin::json(StatusCode::OK, &event(&text, &digest))
    }

    /// Streams the tokens from `resume_from` on, one event each.
    fn stream(&self, completion: Completion) -> Response<BoxBody> {
        let (sender, receiver) = channel::bounded(16);
        let engine = self.clone();
        rt::spawn(async move {
            let rank = engine.slots.rank(completion.priority);
            let _running = RunningGuard::new(engine.clone());
            for index in completion.resume_from..completion.max_tokens {
                engine.run_token(rank).await;
                let digest = engine.lock().digest.clone();
                let event = event(&token(&completion.prompt, index), &digest);
                let bytes = Bytes::from(format!("data: {event}\n\n"));
                if sender.send(Ok(Some(bytes))).await.is_err() {
                    // The client has cancelled the request.
                    return;
                }
            }
            let _ = sender
                .send(Ok(Some(Bytes::from_static(b"data: [DONE]\n\n"))))
                .await;
            let _ = sender.send(Ok(None)).await;
        })
        .detach();
        let mut response = Response::new(body::channel(receiver));
        let kind = http::HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, kind);
        response
    }

    /// Waits for a slot of the batch, then holds it for the time of one token.
    async fn run_token(&self, rank: Rank) {
        let _slot = self.slots.acquire(rank).await;
        let slowdown = self.lock().slowdown;
        smol::Timer::after(Duration::from_micros(self.behaviour.token_us * slowdown)).await;
    }

    /// Answers a plain service call, which takes the time of one token.
    async fn service(&self, request: Request<Incoming>) -> Response<BoxBody> {
        let key = header(&request, "idempotency-key");
        let path = request.uri().path().to_string();
        let Ok(content) = body::read_request(request.into_body(), MAX_BODY).await else {
            return standin::text(StatusCode::PAYLOAD_TOO_LARGE, "body too large");
        };
        let rank = self.slots.rank(0);
        let _running = RunningGuard::new(self.clone());
        let count = {
            let mut state = self.lock();
            let count = state.runs.entry(key.clone()).or_default();
            *count += 1;
            *count
        };
        self.run_token(rank).await;
        let answer = json!({
            "path": path,
            "key": key,
            "run": count,
            "echo": util::digest(&content),
        });
        standin::json(StatusCode::OK, &answer)
    }
}

/// Counts a request as running until it is dropped.
struct RunningGuard {
    engine: Engine,
}

impl RunningGuard {
    fn new(engine: Engine) -> RunningGuard {
        engine.lock().running += 1;
        RunningGuard { engine }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.engine.lock().running -= 1;
    }
}

/// Returns token `index` of the answer to `prompt`.
pub fn token(prompt: &str, index: u64) -> String {
    let hash = util::stable_hash([prompt, &index.to_string()]);
    format!("{:04x} ", hash & 0xffff)
}

/// Returns an event of a stream, or a whole answer, with this text.
fn event(text: &str, digest: &str) -> Value {
    json!({
        "object": "text_completion",
        "choices": [{"index": 0, "text": text}],
        "system_fingerprint": digest,
    })
}

/// Returns the value of a header; empty if it is missing or not text.
fn header(request: &Request<Incoming>, name: &str) -> String {
    request
        .headers()
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_string()
}

async fn read_json<T: serde::de::DeserializeOwned>(request: Request<Incoming>) -> Result<T> {
    let bytes = body::read_request(request.into_body(), MAX_BODY).await?;
    serde_json::from_slice(&bytes).map_err(|e| Error::new(Code::RequestMalformed, e.to_string()))
}
