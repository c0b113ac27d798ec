//! Stand-in for a model engine: continuous batching, a prefix cache, and orders to load and unload models.

mod batch;
mod cache;
mod orders;
mod prompt;
mod stream;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::http::{
    BufferedRequest, ClosedConnection, Reply, ServerHandle, empty_reply, json_reply, start_server, text_reply,
};
use batch::{CompletionRequest, EngineBatch};
use orders::ModelOrders;

pub use batch::RequestRecord;
pub use cache::{CacheChange, CacheEvent, CachedProgram};
pub use orders::OrderRecord;
pub use prompt::{PromptMessage, count_tokens, expected_answer, prompt_hash};

/// Settings of an engine. The suffix of a duration's name is its unit.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Largest number of requests that run at the same time.
    pub capacity: u64,
    /// Fixed part of the duration of a step.
    pub step_us: u64,
    /// Duration that each running request adds to a step.
    pub decode_us: u64,
    /// Duration that each uncached prompt token adds to the step that admits its request.
    pub prefill_us: u64,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Length of an answer in tokens when the prompt does not request one with `[tokens=N]`.
    pub answer_tokens: u64,
    /// Delay with which the load report follows the actual load.
    pub load_lag_ms: u64,
    /// Delay until a cache event becomes visible.
    pub event_lag_ms: u64,
    /// Every `event_gap`th cache event is lost; none when zero.
    pub event_gap: u64,
    /// Whether orders with a fencing number below the largest one received are refused.
    pub check_fencing: bool,
    /// Duration of a model load, and the interval between two loads that the weight store grants.
    pub load_ms: u64,
    /// Models loaded at the start. When there are none and the engine takes no orders, it serves any model.
    pub models: Vec<String>,
    /// Whether orders are taken when no model is loaded at the start. With loaded models they always are.
    pub takes_orders: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            capacity: 8,
            step_us: 200,
            decode_us: 20,
            prefill_us: 5,
            cache_tokens: 100_000,
            answer_tokens: 8,
            load_lag_ms: 0,
            event_lag_ms: 0,
            event_gap: 0,
            check_fencing: false,
            load_ms: 0,
            models: Vec::new(),
            takes_orders: false,
        }
    }
}

/// Load report of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u64,
    /// Number of waiting requests.
    pub waiting: u64,
    /// Largest number of requests that run at the same time.
    pub capacity: u64,
    /// Prompt tokens of the waiting requests plus the tokens that all requests have still to generate.
    pub pending_tokens: u64,
    /// Tokens in the prefix cache.
    pub cache_used: u64,
    /// Capacity of the prefix cache in tokens.
    pub cache_size: u64,
}

/// Injected faults; a field that is missing in the JSON is off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Number of next completions that run but whose response bodies never receive a byte.
    pub silent_next: u32,
    /// Whether the batch, streams and responses are stopped, except the responses about faults and records.
    pub freeze: bool,
    /// Number of next completions that do not run and get a response with status 500.
    pub fail_next: u32,
}

#[derive(Debug)]
struct EngineState {
    batch: EngineBatch,
    orders: ModelOrders,
    faults: EngineFaults,
    reports: VecDeque<(Instant, LoadReport)>,
}

/// Stand-in for a model engine.
#[derive(Debug)]
pub struct ModelEngine {
    state: Mutex<EngineState>,
    changed: Notify,
    load_lag: Duration,
}

/// Body of a request to release, export or import a cached prefix; only an import has a handle.
#[derive(Debug, Deserialize)]
struct CacheRequest {
    program: String,
    #[serde(default)]
    handle: String,
}

impl ModelEngine {
    /// Starts the stand-in as an HTTP server with a task that runs the batch.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(listen: SocketAddr, settings: EngineSettings) -> anyhow::Result<ServerHandle> {
        let engine = Arc::new(Self {
            load_lag: Duration::from_millis(settings.load_lag_ms),
            state: Mutex::new(EngineState {
                orders: ModelOrders::new(&settings),
                batch: EngineBatch::new(settings),
                faults: EngineFaults::default(),
                reports: VecDeque::new(),
            }),
            changed: Notify::new(),
        });
        let batch_loop = tokio::spawn(Arc::clone(&engine).run_batch());
        let server = start_server(listen, move |request| {
            let engine = Arc::clone(&engine);
            async move { engine.answer(request).await }
        })
        .await?;
        Ok(server.with_background_task(batch_loop))
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // Steps are shorter than the timer resolution. The loop therefore sleeps until an accumulated point in
    // time instead of for the duration of each step, which the timer would round up.
    async fn run_batch(self: Arc<Self>) {
        let mut due_at = Instant::now();
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            let step_time = {
                let mut state = self.lock();
                let active = state.batch.has_work() && !state.faults.freeze;
                let step_time = active.then(|| state.batch.step());
                state.record_load(self.load_lag);
                step_time
            };
            let Some(step_time) = step_time else {
                changed.await;
                due_at = Instant::now();
                continue;
            };
            due_at += step_time;
            tokio::time::sleep_until(due_at).await;
            self.changed.notify_waiters();
        }
    }

    async fn answer(self: Arc<Self>, request: BufferedRequest) -> Result<Reply, ClosedConnection> {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/control/faults") => return Ok(self.set_faults(&request)),
            ("GET", "/control/records") => return Ok(json_reply(&self.lock().batch.records())),
            _ => self.wait_until_unfrozen().await,
        }
        Ok(match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/chat/completions") => request.apply_json(|completion| self.complete(completion)),
            ("GET", "/load") => json_reply(&self.lock().delayed_load(self.load_lag)),
            ("GET", "/cache") => json_reply(&self.lock().batch.cache.list()),
            ("GET", "/cache/events") => json_reply(
                &self
                    .lock()
                    .batch
                    .cache
                    .events_after(request.numeric_parameter("after").unwrap_or(0)),
            ),
            ("POST", "/cache/release" | "/cache/export" | "/cache/import") => {
                request.apply_json(|cache_request| self.handle_cache_request(&request.path, &cache_request))
            }
            ("POST", "/orders") => request.apply_json(|order| self.lock().orders.execute(&order)),
            ("GET", "/models") => self.lock().orders.list(),
            ("GET", "/control/unserved") => json_reply(&self.lock().orders.refused_completions()),
            ("GET", "/control/orders") => json_reply(&self.lock().orders.records()),
            _ => self.answer_request(&request),
        })
    }

    async fn wait_until_unfrozen(&self) {
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            if !self.lock().faults.freeze {
                return;
            }
            changed.await;
        }
    }

    fn set_faults(&self, request: &BufferedRequest) -> Reply {
        request.apply_json(|faults| {
            self.lock().faults = faults;
            self.changed.notify_waiters();
            empty_reply(StatusCode::NO_CONTENT)
        })
    }

    fn complete(self: &Arc<Self>, request: CompletionRequest) -> Reply {
        let id = request.request_id.clone();
        let mut state = self.lock();
        if state.faults.fail_next > 0 {
            state.faults.fail_next -= 1;
            return text_reply(StatusCode::INTERNAL_SERVER_ERROR, "injected failure");
        }
        if !state.orders.serves(&request.model) {
            state.orders.count_refused_completion();
            return text_reply(StatusCode::NOT_FOUND, "the model is not loaded");
        }
        state.batch.submit(request);
        let is_stalled = state.faults.silent_next > 0;
        state.faults.silent_next -= u32::from(is_stalled);
        self.changed.notify_waiters();
        if is_stalled {
            stream::stalled_reply()
        } else {
            stream::stream_reply(Arc::clone(self), id, 0)
        }
    }

    fn answer_request(self: &Arc<Self>, request: &BufferedRequest) -> Reply {
        let target = request
            .path
            .strip_prefix("/requests/")
            .and_then(|rest| rest.rsplit_once('/'));
        let Some((id, action)) = target else {
            return empty_reply(StatusCode::NOT_FOUND);
        };
        let id = percent_decode(id);
        match (request.method.as_str(), action) {
            ("POST", "cancel") => {
                self.lock().batch.cancel(&id);
                self.changed.notify_waiters();
                empty_reply(StatusCode::NO_CONTENT)
            }
            ("GET", "stream") if self.lock().batch.requests.contains_key(&id) => {
                let offset = request
                    .numeric_parameter("offset")
                    .and_then(|offset| usize::try_from(offset).ok());
                stream::stream_reply(Arc::clone(self), id, offset.unwrap_or(0))
            }
            _ => empty_reply(StatusCode::NOT_FOUND),
        }
    }

    fn handle_cache_request(&self, path: &str, cache_request: &CacheRequest) -> Reply {
        let cache = &mut self.lock().batch.cache;
        if path == "/cache/export" {
            let exported = cache.export(&cache_request.program);
            return exported.map_or_else(
                || empty_reply(StatusCode::NOT_FOUND),
                |exported| json_reply(&exported),
            );
        }
        if path == "/cache/release" {
            cache.release(&cache_request.program);
        } else if !cache.import(&cache_request.program, &cache_request.handle) {
            return text_reply(StatusCode::BAD_REQUEST, "expected a handle kv:TOKENS:DIGEST");
        }
        empty_reply(StatusCode::NO_CONTENT)
    }
}

impl EngineState {
    fn record_load(&mut self, lag: Duration) {
        let now = Instant::now();
        self.reports.push_back((now, self.batch.load()));
        while self.reports.get(1).is_some_and(|(time, _)| *time + lag <= now) {
            self.reports.pop_front();
        }
    }

    fn delayed_load(&mut self, lag: Duration) -> LoadReport {
        self.record_load(lag);
        self.reports
            .front()
            .map_or_else(|| self.batch.load(), |(_, report)| *report)
    }
}

fn percent_decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let (digits, rest) = part.split_at_checked(2).unwrap_or((part, ""));
        bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b'%'));
        bytes.extend(rest.as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
