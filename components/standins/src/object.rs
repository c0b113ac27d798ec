//! Stand-in for the object API.

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
    ClosedConnection, Reply, ServerHandle, WholeRequest, bytes_reply, empty_reply, json_reply, start_server,
    text_reply,
};

/// Largest value in bytes.
const MAX_OBJECT_BYTES: usize = 1024 * 1024;

/// Faults that are switched on; an absent one is off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectFaults {
    /// Refuses every call.
    pub outage: bool,
    /// Delay of each call in milliseconds.
    pub slow_ms: u64,
    /// Number of writes to come whose answers are lost.
    pub lose_answers: u32,
    /// Number of writes to come that are lost before they take effect.
    pub lose_requests: u32,
}

/// Calls so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectCounts {
    /// Reads of one object.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Waiting reads.
    pub watches: u64,
    /// Deletions.
    pub deletes: u64,
    /// Lists of keys.
    pub lists: u64,
    /// Calls refused in an outage.
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
    /// Starts the stand-in; with a key it refuses requests that do not carry it.
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

    async fn answer(&self, request: WholeRequest) -> Result<Reply, ClosedConnection> {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/control/faults") => return Ok(self.set_faults(&request)),
            ("GET", "/control/counts") => return Ok(json_reply(&self.lock().counts)),
            _ if !request.has_key(self.key.as_deref()) => return Ok(empty_reply(StatusCode::UNAUTHORIZED)),
            _ => {}
        }
        let faults = self.lock().faults;
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        if self.refuses_call() {
            return Ok(text_reply(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        if request.path == "/objects" && request.method == Method::GET {
            return Ok(self.list(request.parameter("prefix").unwrap_or_default()));
        }
        let Some(key) = request
            .path
            .strip_prefix("/objects/")
            .filter(|key| is_valid_key(key))
        else {
            return Ok(text_reply(StatusCode::BAD_REQUEST, "no valid key"));
        };
        match request.method {
            Method::GET => Ok(self.read(key, &request).await),
            Method::PUT | Method::DELETE => self.change(key, &request),
            _ => Ok(empty_reply(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    fn set_faults(&self, request: &WholeRequest) -> Reply {
        request.apply(|faults| {
            self.lock().faults = faults;
            self.changed.notify_waiters();
            empty_reply(StatusCode::NO_CONTENT)
        })
    }

    fn refuses_call(&self) -> bool {
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

    async fn read(&self, key: &str, request: &WholeRequest) -> Reply {
        let Some(after) = request.number("after") else {
            let mut state = self.lock();
            state.counts.reads += 1;
            return match state.objects.get(key) {
                Some((version, value)) => object_reply(*version, value.clone()),
                None => empty_reply(StatusCode::NOT_FOUND),
            };
        };
        self.lock().counts.watches += 1;
        let wait = Duration::from_millis(request.number("wait_ms").unwrap_or(0));
        self.watch(key, after, Instant::now() + wait).await
    }

    async fn watch(&self, key: &str, after: u64, until: Instant) -> Reply {
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
            if tokio::time::timeout_at(until, changed).await.is_err() {
                return empty_reply(StatusCode::NOT_MODIFIED);
            }
        }
    }

    fn change(&self, key: &str, request: &WholeRequest) -> Result<Reply, ClosedConnection> {
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
    fn put(&mut self, key: &str, request: &WholeRequest) -> Reply {
        if request.body.len() > MAX_OBJECT_BYTES {
            return empty_reply(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let present = self.objects.get(key).map(|(version, _)| *version);
        let holds = match (request.header(IF_NONE_MATCH.as_str()), expected_version(request)) {
            (Some("*"), None) => present.is_none(),
            (None, Some(expected)) => present == Some(expected),
            _ => return text_reply(StatusCode::BAD_REQUEST, "a write carries one condition"),
        };
        if !holds {
            return empty_reply(StatusCode::PRECONDITION_FAILED);
        }
        self.last_version += 1;
        self.objects
            .insert(key.to_owned(), (self.last_version, request.body.clone()));
        object_reply(self.last_version, Bytes::new())
    }

    fn delete(&mut self, key: &str, request: &WholeRequest) -> Reply {
        let Some(expected) = expected_version(request) else {
            return text_reply(StatusCode::BAD_REQUEST, "a deletion carries a version");
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

fn expected_version(request: &WholeRequest) -> Option<u64> {
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
