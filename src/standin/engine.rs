//! Stand-in for a model engine and for a plain service beside it.
//!
//! `POST /v1/completions` streams tokens that follow from the prompt, so that
//! an answer can be checked against its request; every event carries the
//! digest of the loaded weights as `system_fingerprint`. Any other path is a
//! plain service call, whose runs are counted by its `Idempotency-Key`.

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
use crate::standin::Running;
use crate::standin::batch::Rank;
use crate::standin::batch::Slots;
use crate::util;

/// Largest request body, in bytes.
const MAX_BODY: usize = 4 << 20;

/// How an engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Time for one token of one request, in microseconds.
    pub token_us: u64,
    /// Requests in one batch; more wait.
    pub batch: usize,
    /// Whether orders with an old fencing number are refused.
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
    digest: String,
    model: String,
    fence: u64,
    loading: bool,
    running: usize,
    loads: u64,
    started: u64,
    slow: u64,
    runs: IndexMap<String, u64>,
    fail_loads: u64,
}

/// An engine; clones share its state.
#[derive(Clone, Debug)]
pub struct Engine {
    behaviour: Behaviour,
    state: Arc<Mutex<State>>,
    slots: Slots,
}

/// A load order.
#[derive(Clone, Debug, Deserialize)]
struct LoadOrder {
    model: String,
    digest: String,
    fence: u64,
    source: SocketAddr,
}

/// A completion request.
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
    /// An engine with nothing loaded.
    pub fn new(behaviour: Behaviour) -> Engine {
        let state = State {
            slow: 1,
            ..State::default()
        };
        Engine {
            behaviour,
            state: Arc::new(Mutex::new(state)),
            slots: Slots::new(behaviour.batch),
        }
    }

    /// Multiplies the time of each token from now on.
    pub fn set_slow(&self, factor: u64) {
        self.lock().slow = factor.max(1);
    }

    /// Makes the next `count` load orders fail.
    pub fn fail_loads(&self, count: u64) {
        self.lock().fail_loads = count;
    }

    /// Runs of each idempotency key so far.
    pub fn runs(&self) -> IndexMap<String, u64> {
        self.lock().runs.clone()
    }

    /// Requests received so far, orders and reports not counted.
    pub fn started(&self) -> u64 {
        self.lock().started
    }

    /// Digest of the loaded version; empty when none.
    pub fn loaded(&self) -> String {
        self.lock().digest.clone()
    }

    /// Serves the engine on `addr`.
    pub fn start(&self, addr: SocketAddr) -> Result<Running> {
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
            (Method::POST, "/standin/slow") => self.slow(request).await,
            (Method::GET, "/standin/runs") => {
                let runs = self.runs();
                standin::json(StatusCode::OK, &json!(runs))
            }
            (Method::POST, "/v1/completions") => {
                self.lock().started += 1;
                self.complete(request).await
            }
            _ => {
                self.lock().started += 1;
                self.service(request).await
            }
        }
    }

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

    async fn slow(&self, request: Request<Incoming>) -> Response<BoxBody> {
        let text = body::read_request(request.into_body(), 64)
            .await
            .unwrap_or_default();
        let factor = String::from_utf8_lossy(&text).trim().parse().unwrap_or(1);
        self.set_slow(factor);
        standin::text(StatusCode::OK, "ok")
    }

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
            // Weights are replaced in place: between versions nothing is served.
            state.digest.clear();
        }
        let loaded = self.fetch(&order).await;
        let mut state = self.lock();
        state.loading = false;
        if state.fail_loads > 0 {
            state.fail_loads -= 1;
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

    /// Reads the version from the agent and checks all of it.
    async fn fetch(&self, order: &LoadOrder) -> Result<()> {
        let client = Client::new(order.source);
        let manifest = self
            .blob(&client, &order.model, "manifests", &order.digest)
            .await?;
        let manifest: Value = serde_json::from_slice(&manifest)
            .map_err(|e| Error::new(Code::ManifestCorrupt, e.to_string()))?;
        let layers = manifest["layers"].as_array().cloned().unwrap_or_default();
        for layer in layers {
            let digest = layer["digest"].as_str().unwrap_or_default();
            self.blob(&client, &order.model, "blobs", digest).await?;
        }
        Ok(())
    }

    async fn blob(&self, client: &Client, model: &str, kind: &str, digest: &str) -> Result<Bytes> {
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
        let _running = Count::new(self.clone());
        let mut text = String::new();
        for index in 0..completion.max_tokens {
            self.token_time(rank).await;
            text.push_str(&token(&completion.prompt, index));
        }
        let digest = self.lock().digest.clone();
        standin::json(StatusCode::OK, &event(&text, &digest))
    }

    fn stream(&self, completion: Completion) -> Response<BoxBody> {
        let (sender, receiver) = channel::bounded(16);
        let engine = self.clone();
        rt::spawn(async move {
            let rank = engine.slots.rank(completion.priority);
            let _running = Count::new(engine.clone());
            for index in completion.resume_from..completion.max_tokens {
                engine.token_time(rank).await;
                let digest = engine.lock().digest.clone();
                let event = event(&token(&completion.prompt, index), &digest);
                let bytes = Bytes::from(format!("data: {event}\n\n"));
                if sender.send(Ok(Some(bytes))).await.is_err() {
                    // The reader has cancelled the request.
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

    /// Waits for a slot of the batch and then for the time of one token.
    async fn token_time(&self, rank: Rank) {
        let _slot = self.slots.acquire(rank).await;
        let slow = self.lock().slow;
        smol::Timer::after(Duration::from_micros(self.behaviour.token_us * slow)).await;
    }

    async fn service(&self, request: Request<Incoming>) -> Response<BoxBody> {
        let key = header(&request, "idempotency-key");
        let path = request.uri().path().to_string();
        let Ok(sent) = body::read_request(request.into_body(), MAX_BODY).await else {
            return standin::text(StatusCode::PAYLOAD_TOO_LARGE, "body too large");
        };
        let rank = self.slots.rank(0);
        let _running = Count::new(self.clone());
        let count = {
            let mut state = self.lock();
            let count = state.runs.entry(key.clone()).or_default();
            *count += 1;
            *count
        };
        self.token_time(rank).await;
        let answer = json!({
            "path": path,
            "key": key,
            "run": count,
            "echo": util::digest(&sent),
        });
        standin::json(StatusCode::OK, &answer)
    }
}

/// Counts a request in progress for the load report.
struct Count {
    engine: Engine,
}

impl Count {
    fn new(engine: Engine) -> Count {
        engine.lock().running += 1;
        Count { engine }
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.engine.lock().running -= 1;
    }
}

/// Token `index` of the answer to `prompt`.
pub fn token(prompt: &str, index: u64) -> String {
    let hash = util::stable_hash([prompt, &index.to_string()]);
    format!("{:04x} ", hash & 0xffff)
}

fn event(text: &str, digest: &str) -> Value {
    json!({
        "object": "text_completion",
        "choices": [{"index": 0, "text": text}],
        "system_fingerprint": digest,
    })
}

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
