//! Stand-in for a model engine.

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

/// Settings of an engine. Times are in microseconds or milliseconds as the names say.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Requests that run at a time.
    pub capacity: u64,
    /// Fixed time of a step.
    pub step_us: u64,
    /// Time that each running request adds to a step.
    pub decode_us: u64,
    /// Time that each prompt token outside the cache adds to the step that admits it.
    pub prefill_us: u64,
    /// Size of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Tokens of an answer when the prompt asks for no number.
    pub answer_tokens: u64,
    /// Age of the load report.
    pub load_lag_ms: u64,
    /// Age of the cache events.
    pub event_lag_ms: u64,
    /// Every so many cache events one is lost; none when zero.
    pub event_gap: u64,
    /// Whether orders with an old fencing number are refused.
    pub check_fencing: bool,
    /// Time between two loads that the weight store grants; a load takes as long.
    pub load_ms: u64,
    /// Models loaded at the start; any model is served when there are none and the engine takes no orders.
    pub models: Vec<String>,
    /// Whether orders are taken; an engine with models loaded at the start takes them as well.
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

/// Load of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Requests running.
    pub running: u64,
    /// Requests waiting.
    pub waiting: u64,
    /// Requests that can run at a time.
    pub capacity: u64,
    /// Tokens to compute and to generate.
    pub pending_tokens: u64,
    /// Tokens in the cache.
    pub cache_used: u64,
    /// Tokens that the cache can hold.
    pub cache_size: u64,
}

/// Faults that are switched on; an absent one is off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Number of completions to come that run while their connections stay silent.
    pub silent_next: u32,
    /// Stops the batch and every answer.
    pub freeze: bool,
    /// Number of completions to come that are answered with status 500 and do not run.
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

#[derive(Debug, Deserialize)]
struct CacheOrder {
    program: String,
    #[serde(default)]
    handle: String,
}

impl ModelEngine {
    /// Starts the stand-in.
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
        let batch_loop = tokio::spawn(Arc::clone(&engine).work());
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

    // Steps are shorter than the timer's grain, so they are paid from a due time rather than slept one by one.
    async fn work(self: Arc<Self>) {
        let mut due = Instant::now();
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            let took = {
                let mut state = self.lock();
                let active = state.batch.has_work() && !state.faults.freeze;
                let took = active.then(|| state.batch.step());
                state.note_load(self.load_lag);
                took
            };
            let Some(took) = took else {
                changed.await;
                due = Instant::now();
                continue;
            };
            due += took;
            tokio::time::sleep_until(due).await;
            self.changed.notify_waiters();
        }
    }

    async fn answer(self: Arc<Self>, request: BufferedRequest) -> Result<Reply, ClosedConnection> {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/control/faults") => return Ok(self.set_faults(&request)),
            ("GET", "/control/records") => return Ok(json_reply(&self.lock().batch.records())),
            _ => self.wait_thawed().await,
        }
        Ok(match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/chat/completions") => request.apply_json(|completion| self.complete(completion)),
            ("GET", "/load") => json_reply(&self.lock().lagging_load(self.load_lag)),
            ("GET", "/cache") => json_reply(&self.lock().batch.cache.list()),
            ("GET", "/cache/events") => json_reply(
                &self
                    .lock()
                    .batch
                    .cache
                    .events_after(request.numeric_parameter("after").unwrap_or(0)),
            ),
            ("POST", "/cache/release" | "/cache/export" | "/cache/import") => {
                request.apply_json(|order| self.order_cache(&request.path, &order))
            }
            ("POST", "/orders") => request.apply_json(|order| self.lock().orders.follow(&order)),
            ("GET", "/models") => self.lock().orders.list(),
            ("GET", "/control/unserved") => json_reply(&self.lock().orders.unserved()),
            ("GET", "/control/orders") => json_reply(&self.lock().orders.records()),
            _ => self.answer_request(&request),
        })
    }

    async fn wait_thawed(&self) {
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
            return text_reply(StatusCode::INTERNAL_SERVER_ERROR, "ordered failure");
        }
        if !state.orders.serves(&request.model) {
            state.orders.count_unserved();
            return text_reply(StatusCode::NOT_FOUND, "the model is not loaded");
        }
        state.batch.submit(request);
        let silent = state.faults.silent_next > 0;
        state.faults.silent_next -= u32::from(silent);
        self.changed.notify_waiters();
        if silent {
            stream::silent_reply()
        } else {
            stream::stream_reply(Arc::clone(self), id, 0)
        }
    }

    fn answer_request(self: &Arc<Self>, request: &BufferedRequest) -> Reply {
        let named = request
            .path
            .strip_prefix("/requests/")
            .and_then(|rest| rest.rsplit_once('/'));
        let Some((id, action)) = named else {
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

    fn order_cache(&self, path: &str, order: &CacheOrder) -> Reply {
        let cache = &mut self.lock().batch.cache;
        if path == "/cache/export" {
            let exported = cache.export(&order.program);
            return exported.map_or_else(
                || empty_reply(StatusCode::NOT_FOUND),
                |exported| json_reply(&exported),
            );
        }
        if path == "/cache/release" {
            cache.release(&order.program);
        } else if !cache.import(&order.program, &order.handle) {
            return text_reply(StatusCode::BAD_REQUEST, "the handle is not valid");
        }
        empty_reply(StatusCode::NO_CONTENT)
    }
}

impl EngineState {
    fn note_load(&mut self, lag: Duration) {
        let now = Instant::now();
        self.reports.push_back((now, self.batch.load()));
        while self.reports.get(1).is_some_and(|(time, _)| *time + lag <= now) {
            self.reports.pop_front();
        }
    }

    fn lagging_load(&mut self, lag: Duration) -> LoadReport {
        self.note_load(lag);
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
