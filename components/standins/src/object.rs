//! Stand-in for the object API: versioned objects with conditional writes and watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{ETAG, HeaderValue, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::http::{
    BufferedRequest, ClosedConnection, Reply, ServerHandle, bytes_reply, empty_reply, json_reply,
    start_server, text_reply,
};

/// Largest value of an object in bytes.
const MAX_OBJECT_BYTES: usize = 1024 * 1024;

/// Injected faults; a field that is missing in the JSON is off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectFaults {
    /// Whether every call is refused with status 503, including watches that are waiting.
    pub outage: bool,
    /// Delay of each call in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes and deletions that are executed but whose connection closes without a response.
    pub lose_answers: u32,
    /// Number of next writes and deletions that are dropped and whose connection closes without a response.
    pub lose_requests: u32,
}

/// Numbers of calls since the start, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectCounts {
    /// Reads of one object.
    pub reads: u64,
    /// Writes, including those that were lost or whose condition failed.
    pub writes: u64,
    /// Watches: reads that wait for a newer version of an object.
    pub watches: u64,
    /// Deletions, including those that were lost or whose condition failed.
    pub deletes: u64,
    /// Requests for the list of keys with a prefix.
    pub lists: u64,
    /// Calls refused on arrival during an injected outage.
    pub refused: u64,
}

#[derive(Debug, Default)]
struct ObjectState {
    objects: BTreeMap<String, (u64, Bytes)>,
    last_version: u64,
    faults: ObjectFaults,
    counts: ObjectCounts,
}

/// Stand-in for the object API.
#[derive(Debug, Default)]
pub struct ObjectApi {
    state: Mutex<ObjectState>,
    changed: Notify,
    key: Option<String>,
}

impl ObjectApi {
    /// Starts the stand-in as an HTTP server. With a key it refuses requests that do not carry it as bearer
    /// token.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(listen: SocketAddr, key: Option<String>) -> anyhow::Result<ServerHandle> {
        let api = Arc::new(Self {
            key,
            ..Self::default()
        });
        start_server(listen, move |request| {
            let api = Arc::clone(&api);
            async move { api.answer(request).await }
        })
        .await
    }

    fn lock(&self) -> MutexGuard<'_, ObjectState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, request: BufferedRequest) -> Result<Reply, ClosedConnection> {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/control/faults") => return Ok(self.set_faults(&request)),
            ("GET", "/control/counts") => return Ok(json_reply(&self.lock().counts)),
            _ if !request.has_key(self.key.as_deref()) => return Ok(empty_reply(StatusCode::UNAUTHORIZED)),
            _ => {}
        }
        let faults = self.lock().faults;
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        if self.check_outage() {
            return Ok(text_reply(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        if request.path == "/objects" && request.method == Method::GET {
            return Ok(self.list(request.query_parameter("prefix").unwrap_or_default()));
        }
        let Some(key) = request
            .path
            .strip_prefix("/objects/")
            .filter(|key| is_valid_key(key))
        else {
            return Ok(text_reply(
                StatusCode::BAD_REQUEST,
                "expected an object key of letters, digits and -_./",
            ));
        };
        match request.method {
            Method::GET => Ok(self.read(key, &request).await),
            Method::PUT | Method::DELETE => self.change(key, &request),
            _ => Ok(empty_reply(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    fn set_faults(&self, request: &BufferedRequest) -> Reply {
        request.apply_json(|faults| {
            self.lock().faults = faults;
            self.changed.notify_waiters();
            empty_reply(StatusCode::NO_CONTENT)
        })
    }

    // Returns whether an injected outage refuses the call, and counts the refusal.
    fn check_outage(&self) -> bool {
        let mut state = self.lock();
        state.counts.refused += u64::from(state.faults.outage);
        state.faults.outage
    }

    fn list(&self, prefix: &str) -> Reply {
        let mut state = self.lock();
        state.counts.lists += 1;
        let matching = state.objects.range(prefix.to_owned()..);
        let rows = matching
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, (version, _))| (key.as_str(), *version));
        json_reply(&rows.collect::<Vec<_>>())
    }

    async fn read(&self, key: &str, request: &BufferedRequest) -> Reply {
        let Some(after) = request.numeric_parameter("after") else {
            let mut state = self.lock();
            state.counts.reads += 1;
            return match state.objects.get(key) {
                Some((version, value)) => object_reply(*version, value.clone()),
                None => empty_reply(StatusCode::NOT_FOUND),
            };
        };
        self.lock().counts.watches += 1;
        let wait = Duration::from_millis(request.numeric_parameter("wait_ms").unwrap_or(0));
        self.watch(key, after, Instant::now() + wait).await
    }

    async fn watch(&self, key: &str, after: u64, deadline: Instant) -> Reply {
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            {
                let state = self.lock();
                if state.faults.outage {
                    return text_reply(StatusCode::SERVICE_UNAVAILABLE, "outage");
                }
                if let Some((version, value)) = state.objects.get(key).filter(|(version, _)| *version > after)
                {
                    return object_reply(*version, value.clone());
                }
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return empty_reply(StatusCode::NOT_MODIFIED);
            }
        }
    }

    fn change(&self, key: &str, request: &BufferedRequest) -> Result<Reply, ClosedConnection> {
        let mut state = self.lock();
        if request.method == Method::PUT {
            state.counts.writes += 1;
        } else {
            state.counts.deletes += 1;
        }
        if state.faults.lose_requests > 0 {
            state.faults.lose_requests -= 1;
            return Err(ClosedConnection);
        }
        let reply = if request.method == Method::PUT {
            state.put(key, request)
        } else {
            state.delete(key, request)
        };
        if reply.status().is_success() {
            self.changed.notify_waiters();
        }
        if state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            return Err(ClosedConnection);
        }
        Ok(reply)
    }
}

impl ObjectState {
    fn put(&mut self, key: &str, request: &BufferedRequest) -> Reply {
        if request.body.len() > MAX_OBJECT_BYTES {
            return empty_reply(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let current = self.objects.get(key).map(|(version, _)| *version);
        let is_met = match (request.header(IF_NONE_MATCH.as_str()), expected_version(request)) {
            (Some("*"), None) => current.is_none(),
            (None, Some(expected)) => current == Some(expected),
            _ => return text_reply(StatusCode::BAD_REQUEST, "expected If-None-Match or If-Match"),
        };
        if !is_met {
            return empty_reply(StatusCode::PRECONDITION_FAILED);
        }
        self.last_version += 1;
        self.objects
            .insert(key.to_owned(), (self.last_version, request.body.clone()));
        object_reply(self.last_version, Bytes::new())
    }

    fn delete(&mut self, key: &str, request: &BufferedRequest) -> Reply {
        let Some(expected) = expected_version(request) else {
            return text_reply(StatusCode::BAD_REQUEST, "expected If-Match with a version");
        };
        match self.objects.get(key) {
            None => empty_reply(StatusCode::NOT_FOUND),
            Some((version, _)) if *version != expected => empty_reply(StatusCode::PRECONDITION_FAILED),
            Some(_) => {
                self.objects.remove(key);
                empty_reply(StatusCode::NO_CONTENT)
            }
        }
    }
}

fn expected_version(request: &BufferedRequest) -> Option<u64> {
    let tag = request.header(IF_MATCH.as_str())?;
    tag.trim_matches('"').parse().ok()
}

fn object_reply(version: u64, value: Bytes) -> Reply {
    let mut reply = bytes_reply(StatusCode::OK, value);
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{version}\"")) {
        reply.headers_mut().insert(ETAG, tag);
    }
    reply
}

fn is_valid_key(key: &str) -> bool {
    let valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
    !key.is_empty() && key.bytes().all(valid)
}
