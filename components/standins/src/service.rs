//! Stand-in for a tool or a plain service. It echoes each call and counts the runs of each idempotency key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::http::{
    BufferedRequest, ClosedConnection, Reply, ServerHandle, empty_reply, json_reply, start_server, text_reply,
};

/// Injected faults; a field that is missing in the JSON is off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Duration of a call in milliseconds.
    pub delay_ms: u64,
    /// Number of next calls that run but get no response.
    pub silent_next: u32,
    /// Number of next calls that do not run and get a response with status 500.
    pub fail_next: u32,
    /// Number of next calls that neither run nor get a response.
    pub hang_next: u32,
}

/// Runs of one idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRuns {
    /// Idempotency key, empty for calls without one.
    pub key: String,
    /// Number of calls with this key that ran.
    pub runs: u64,
}

/// A call that ran; calls are listed in the order in which they were recorded, before their delay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceCall {
    /// Idempotency key, empty for a call without one.
    pub key: String,
    /// Program id that the agent sent, empty when it sent none.
    pub program: String,
    /// Path with its query string.
    pub path: String,
    /// Body, as a string when it is not JSON.
    pub body: Value,
}

/// Response of the service. `ran` counts the runs of the key so far, this one included.
#[derive(Debug, Serialize)]
#[serde(deny_unknown_fields)]
struct ServiceAnswer {
    ran: u64,
    key: String,
    path: String,
    echo: Value,
}

#[derive(Debug, Default)]
struct ServiceState {
    faults: ServiceFaults,
    runs: BTreeMap<String, u64>,
    calls: Vec<ServiceCall>,
}

/// Stand-in for a tool or a plain service.
#[derive(Debug, Default)]
pub struct PlainService {
    state: Mutex<ServiceState>,
}

impl PlainService {
    /// Starts the stand-in as an HTTP server with the given faults.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(listen: SocketAddr, faults: ServiceFaults) -> anyhow::Result<ServerHandle> {
        let service = Arc::new(Self::default());
        service.lock().faults = faults;
        start_server(listen, move |request| {
            let service = Arc::clone(&service);
            async move { service.answer(request).await }
        })
        .await
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, request: BufferedRequest) -> Result<Reply, ClosedConnection> {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/control/faults") => return Ok(self.set_faults(&request)),
            ("GET", "/control/runs") => return Ok(json_reply(&self.lock().key_runs())),
            ("GET", "/control/calls") => return Ok(json_reply(&self.lock().calls)),
            _ => {}
        }
        if self.consume_fault(|faults| &mut faults.hang_next) {
            return std::future::pending().await;
        }
        if self.consume_fault(|faults| &mut faults.fail_next) {
            return Ok(text_reply(StatusCode::INTERNAL_SERVER_ERROR, "injected failure"));
        }
        let is_withheld = self.consume_fault(|faults| &mut faults.silent_next);
        let answer = self.run(&request).await;
        if is_withheld {
            std::future::pending().await
        } else {
            Ok(json_reply(&answer))
        }
    }

    // Decrements the counter of an injected fault. Returns false when the counter was zero already.
    fn consume_fault(&self, count: impl Fn(&mut ServiceFaults) -> &mut u32) -> bool {
        let mut state = self.lock();
        let remaining = count(&mut state.faults);
        let has_fault = *remaining > 0;
        *remaining -= u32::from(has_fault);
        has_fault
    }

    fn set_faults(&self, request: &BufferedRequest) -> Reply {
        request.apply_json(|faults| {
            self.lock().faults = faults;
            empty_reply(StatusCode::NO_CONTENT)
        })
    }

    // The run is counted before the delay, so that it also counts when the caller disconnects meanwhile.
    async fn run(&self, request: &BufferedRequest) -> ServiceAnswer {
        let (answer, delay_ms) = {
            let mut state = self.lock();
            (state.record(request), state.faults.delay_ms)
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        answer
    }
}

impl ServiceState {
    fn record(&mut self, request: &BufferedRequest) -> ServiceAnswer {
        let key = request.header("idempotency-key").unwrap_or_default().to_owned();
        let runs = self.runs.entry(key.clone()).or_default();
        *runs += 1;
        let path = if request.query.is_empty() {
            request.path.clone()
        } else {
            format!("{}?{}", request.path, request.query)
        };
        let echo = serde_json::from_slice(&request.body)
            .unwrap_or_else(|_error| Value::String(String::from_utf8_lossy(&request.body).into_owned()));
        self.calls.push(ServiceCall {
            key: key.clone(),
            program: request.header("azuretide-program").unwrap_or_default().to_owned(),
            path: path.clone(),
            body: echo.clone(),
        });
        ServiceAnswer {
            ran: *runs,
            key,
            path,
            echo,
        }
    }

    fn key_runs(&self) -> Vec<KeyRuns> {
        let rows = self.runs.iter().map(|(key, runs)| KeyRuns {
            key: key.clone(),
            runs: *runs,
        });
        rows.collect()
    }
}
