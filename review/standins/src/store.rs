//! The platform's object store: lists, watches and writes, as PROTOCOL.md tells them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Request};
use crate::json::{Json, quote};

#[derive(Debug, Clone)]
struct Stored {
    revision: u64,
    spec: String,
    status: String,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    /// Revision, kind, whether it was deleted, and the object.
    changes: Vec<(u64, String, bool, String)>,
    is_down: bool,
}

/// The store; clones share it.
#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn render(name: &str, stored: &Stored) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{},\"created\":1,\"finalizers\":[],\"deletion_pending\":false}},\"spec\":{},\"status\":{}}}",
        quote(name),
        stored.revision,
        stored.spec,
        stored.status
    )
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("a bound address"),
            shared: Arc::new((
                Mutex::new(State {
                    revision: 1,
                    ..State::default()
                }),
                Condvar::new(),
            )),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Answers 503 to every call, also to watches that wait, or serves again.
    pub fn set_down(&self, is_down: bool) {
        self.shared.0.lock().expect("unpoisoned").is_down = is_down;
        self.shared.1.notify_all();
    }

    /// Writes the content of an object, as the operator or a worker does.
    pub fn put(&self, kind: &str, name: &str, spec: String) {
        let mut state = self.shared.0.lock().expect("unpoisoned");
        let status = state
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .map(|stored| stored.status.clone());
        state.write(kind, name, spec, status.unwrap_or_else(|| "null".to_owned()));
        drop(state);
        self.shared.1.notify_all();
    }

    /// Writes as [`Self::put`] does, over the same interface as everyone: returns `false` while the store is down.
    pub fn try_put(&self, kind: &str, name: &str, spec: String) -> bool {
        if self.shared.0.lock().expect("unpoisoned").is_down {
            return false;
        }
        self.put(kind, name, spec);
        true
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        self.shared.0.lock().expect("unpoisoned").remove(kind, name);
        self.shared.1.notify_all();
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.shared.0.lock().expect("unpoisoned");
        state
            .objects
            .keys()
            .filter(|(known, _)| known == kind)
            .map(|(_, name)| name.clone())
            .collect()
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.request() {
            let (status, body) = self.answer(&request);
            if connection
                .answer(status, &[("Content-Type", "application/json")], body.as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let path = request.path().trim_start_matches("/objects/").to_owned();
        let parts: Vec<&str> = path.split('/').collect();
        let mut state = self.shared.0.lock().expect("unpoisoned");
        if state.is_down {
            return (503, "{}".to_owned());
        }
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let part = |name: &str| body.get(name).map_or_else(|| "null".to_owned(), Json::render);
        let answer = match (request.method.as_str(), parts.as_slice()) {
            ("GET", [kind]) => {
                drop(state);
                return self.read(kind, request);
            }
            ("POST", [kind]) => {
                let name = body
                    .get("metadata")
                    .and_then(|metadata| metadata.get("name"))
                    .and_then(Json::text);
                let Some(name) = name else {
                    return (400, "{}".to_owned());
                };
                match state.object(kind, name) {
                    Some(object) => (409, object),
                    None => (201, state.write(kind, name, part("spec"), "null".to_owned())),
                }
            }
            ("PUT", [kind, name]) | ("PUT", [kind, name, "status"]) => {
                let Some(stored) = state
                    .objects
                    .get(&((*kind).to_owned(), (*name).to_owned()))
                    .cloned()
                else {
                    return (404, "{}".to_owned());
                };
                if parts.len() == 3 {
                    (200, state.write(kind, name, stored.spec, part("status")))
                } else {
                    (200, state.write(kind, name, part("spec"), stored.status))
                }
            }
            ("DELETE", [kind, name]) => {
                let Some(stored) = state.objects.get(&((*kind).to_owned(), (*name).to_owned())) else {
                    return (404, "{}".to_owned());
                };
                if request
                    .query("revision")
                    .is_some_and(|revision| revision != stored.revision)
                {
                    return (409, render(name, stored));
                }
                state.remove(kind, name);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        drop(state);
        self.shared.1.notify_all();
        answer
    }

    fn read(&self, kind: &str, request: &Request) -> (u16, String) {
        let mut state = self.shared.0.lock().expect("unpoisoned");
        let Some(since) = request.query("watch") else {
            let items: Vec<String> = state
                .objects
                .iter()
                .filter(|((known, _), _)| known == kind)
                .map(|((_, name), stored)| render(name, stored))
                .collect();
            let body = format!(
                "{{\"items\":[{}],\"truncated\":false,\"as_of\":{}}}",
                items.join(","),
                state.revision
            );
            return (200, body);
        };
        let until =
            Instant::now() + Duration::from_millis(request.query("wait_ms").unwrap_or_default().min(30_000));
        loop {
            if state.is_down {
                return (503, "{}".to_owned());
            }
            let events: Vec<String> = state
                .changes
                .iter()
                .filter(|(revision, known, ..)| *revision > since && known == kind)
                .map(|(_, _, deleted, object)| format!("{{\"object\":{object},\"deleted\":{deleted}}}"))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (
                    200,
                    format!(
                        "{{\"events\":[{}],\"as_of\":{}}}",
                        events.join(","),
                        state.revision
                    ),
                );
            }
            state = self.shared.1.wait_timeout(state, left).expect("unpoisoned").0;
        }
    }
}

impl State {
    fn object(&self, kind: &str, name: &str) -> Option<String> {
        let stored = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(render(name, stored))
    }

    fn write(&mut self, kind: &str, name: &str, spec: String, status: String) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(stored) = self.objects.get(&key)
            && stored.spec == spec
            && stored.status == status
        {
            return render(name, stored);
        }
        self.revision += 1;
        let stored = Stored {
            revision: self.revision,
            spec,
            status,
        };
        let object = render(name, &stored);
        self.objects.insert(key, stored);
        self.changes
            .push((self.revision, kind.to_owned(), false, object.clone()));
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(stored) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            self.changes
                .push((self.revision, kind.to_owned(), true, render(name, &stored)));
        }
    }
}
