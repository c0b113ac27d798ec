//! Stand-in for a tool or a plain service, which counts the runs of each idempotency key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::http::{
    ClosedConnection, Reply, ServerHandle, WholeRequest, empty_reply, json_reply, start_server, text_reply,
};

/// Faults that are switched on; an absent one is off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Time that a call takes, in milliseconds.
    pub delay_ms: u64,
    /// Number of calls to come that run and get no answer.
    pub silent_next: u32,
    /// Number of calls to come that are answered with status 500 and do not run.
    pub fail_next: u32,
    /// Number of calls to come that neither run nor get an answer.
    pub hang_next: u32,
}

/// Runs of one idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRuns {
    /// Key, empty for calls without one.
    pub key: String,
    /// Number of runs.
    pub runs: u64,
}

/// A call that ran, in the order of their ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceCall {
    /// Key, empty for a call without one.
    pub key: String,
    /// Program as the agent named it.
    pub program: String,
    /// Path with its query.
    pub path: String,
    /// Body.
    pub body: Value,
}

/// Answer of the service.
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
    /// Starts the stand-in with the faults switched on.
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

    async fn answer(&self, request: WholeRequest) -> Result<Reply, ClosedConnection> {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/control/faults") => return Ok(self.set_faults(&request)),
            ("GET", "/control/runs") => return Ok(json_reply(&self.lock().key_runs())),
            ("GET", "/control/calls") => return Ok(json_reply(&self.lock().calls)),
            _ => {}
        }
        if self.draws(|faults| &mut faults.hang_next) {
            return std::future::pending().await;
        }
        if self.draws(|faults| &mut faults.fail_next) {
            return Ok(text_reply(StatusCode::INTERNAL_SERVER_ERROR, "ordered failure"));
        }
        let silent = self.draws(|faults| &mut faults.silent_next);
        let answer = self.run(&request).await;
        if silent {
            std::future::pending().await
        } else {
            Ok(json_reply(&answer))
        }
    }

    // Counts an ordered fault down and returns whether there was one.
    fn draws(&self, count: impl Fn(&mut ServiceFaults) -> &mut u32) -> bool {
        let mut state = self.lock();
        let left = count(&mut state.faults);
        let drawn = *left > 0;
        *left -= u32::from(drawn);
        drawn
    }

    fn set_faults(&self, request: &WholeRequest) -> Reply {
        request.apply(|faults| {
            self.lock().faults = faults;
            empty_reply(StatusCode::NO_CONTENT)
        })
    }

    // The run is counted before the delay, so that a caller who hangs up in between is counted as well.
    async fn run(&self, request: &WholeRequest) -> ServiceAnswer {
        let (answer, delay_ms) = {
            let mut state = self.lock();
            (state.record(request), state.faults.delay_ms)
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        answer
    }
}

impl ServiceState {
    fn record(&mut self, request: &WholeRequest) -> ServiceAnswer {
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
