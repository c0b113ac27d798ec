//! A worker: registers itself in the store, and answers and streams as PROTOCOL.md tells it.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Request};
use crate::record::Record;
use crate::store::Store;
use crate::system::free_address;

/// How a worker works.
#[derive(Clone)]
pub struct Work {
    /// Events of a stream, and the pause before each in milliseconds.
    pub events: u64,
    pub gap_ms: u64,
    /// Time that a plain request takes, in milliseconds.
    pub plain_ms: u64,
    /// Text in the body of the requests that crash the worker.
    pub deadly: Option<&'static str>,
    /// Time for which it runs such a request before it crashes, in milliseconds. A stream has brought its first events by
    /// then.
    pub crash_ms: u64,
    /// Time after which it starts again after such a crash, in milliseconds.
    pub restart_ms: u64,
}

impl Default for Work {
    fn default() -> Self {
        Self {
            events: 4,
            gap_ms: 20,
            plain_ms: 20,
            deadly: None,
            crash_ms: 30,
            restart_ms: 2_000,
        }
    }
}

/// A request that a worker began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub at_s: f64,
    pub worker: String,
    pub version: String,
    pub attempt: String,
    pub path: String,
    pub tenant: String,
    pub body: String,
}

/// The runs of all workers; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().expect("unpoisoned").clone()
    }
}

#[derive(Debug, Clone, Default)]
struct Lifetime {
    version: String,
    born: u64,
    sequence: u64,
}

/// A worker; clones share it.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    capacity: u32,
    work: Arc<Mutex<Work>>,
    store: Store,
    record: Record,
    runs: Runs,
    life: Arc<Mutex<Lifetime>>,
    /// Number of starts and ends; an odd one means that the worker runs.
    turns: Arc<AtomicU64>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or_default()
}

impl Worker {
    /// Returns the worker in another zone than `hall-a`.
    #[must_use]
    pub fn in_zone(self, zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            ..self
        }
    }

    /// Creates a worker with a free port, which does not run yet.
    pub fn new(
        id: &str,
        service: &str,
        capacity: u32,
        work: Work,
        store: &Store,
        record: &Record,
        runs: &Runs,
    ) -> Self {
        Self {
            id: id.to_owned(),
            address: free_address(),
            service: service.to_owned(),
            zone: "hall-a".to_owned(),
            capacity,
            work: Arc::new(Mutex::new(work)),
            store: store.clone(),
            record: record.clone(),
            runs: runs.clone(),
            life: Arc::default(),
            turns: Arc::default(),
            open: Arc::default(),
        }
    }

    /// Starts a lifetime with this software version and registers it.
    pub fn start(&self, version: &str) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        listener.set_nonblocking(true).expect("a listener");
        {
            let mut life = self.life.lock().expect("unpoisoned");
            *life = Lifetime {
                version: version.to_owned(),
                born: unix_ms(),
                sequence: 1,
            };
        }
        let turn = self.turns.fetch_add(1, Ordering::SeqCst) + 1;
        self.record
            .line(&format!("worker {} starts with version {version}", self.id));
        let worker = self.clone();
        thread::spawn(move || {
            while worker.turns.load(Ordering::SeqCst) == turn {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ignored = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            worker.open.lock().expect("unpoisoned").push(copy);
                        }
                        let worker = worker.clone();
                        thread::spawn(move || worker.serve(stream, turn));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        self.register("ready");
    }

    /// Writes the registration, as each heartbeat does; again while the store is down.
    pub fn register(&self, state: &str) {
        let mut life = self.life.lock().expect("unpoisoned");
        life.sequence += 1;
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"capacity\":{},\"state\":\"{state}\",\
             \"cold_remaining_ms\":0,\"sequence\":{},\"born\":{}}}",
            self.service, self.address, self.zone, life.version, self.capacity, life.sequence, life.born
        );
        let sequence = life.sequence;
        drop(life);
        if self.store.try_put("servers", &self.id, spec) {
            return;
        }
        let (worker, state) = (self.clone(), state.to_owned());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(300));
            if worker.life.lock().expect("unpoisoned").sequence == sequence {
                worker.register(&state);
            }
        });
    }

    /// Ends the lifetime at once; connections break and the port refuses new ones.
    pub fn crash(&self, why: &str) {
        if self.turns.load(Ordering::SeqCst) % 2 == 0 {
            return;
        }
        self.turns.fetch_add(1, Ordering::SeqCst);
        self.record.line(&format!("worker {} ends: {why}", self.id));
        // The listener has to be gone before the connections break, as with a process that ends.
        thread::sleep(Duration::from_millis(4));
        for stream in self.open.lock().expect("unpoisoned").drain(..) {
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream, turn: u64) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.request() {
            if self.turns.load(Ordering::SeqCst) != turn
                || self.answer(&mut connection, &request, turn).is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Request, turn: u64) -> std::io::Result<()> {
        let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
        let id = self.id.clone();
        if request.path() == "/health" {
            return connection.answer(200, &[("Instance-Id", &id)], b"");
        }
        if request.path().starts_with("/hold-")
            || request.path().starts_with("/report")
            || request.path().starts_with("/kv-")
        {
            return connection.answer(404, &[], b"{}");
        }
        if request
            .header("expected-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return connection.answer(421, &[("Attempt-Id", &attempt), ("Not-Executed", "1")], b"");
        }
        let version = self.life.lock().expect("unpoisoned").version.clone();
        let run = Run {
            at_s: self.record.seconds(),
            worker: self.id.clone(),
            version: version.clone(),
            attempt: attempt.clone(),
            path: request.path().to_owned(),
            tenant: request.header("tenant").unwrap_or_default().to_owned(),
            body: String::from_utf8_lossy(&request.body).into_owned(),
        };
        self.record.line(&format!(
            "worker {} ({version}) runs {attempt} {} after event {} with {} bytes",
            self.id,
            run.path,
            request.header("last-event-id").unwrap_or("-"),
            request.body.len()
        ));
        let work = self.work.lock().expect("unpoisoned").clone();
        let version_now = version.clone();
        let is_deadly = work.deadly.is_some_and(|text| run.body.contains(text));
        self.runs.0.lock().expect("unpoisoned").push(run);
        if is_deadly {
            let (worker, attempt) = (self.clone(), attempt.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(work.crash_ms));
                worker.crash(&format!("request {attempt} crashes it"));
                thread::sleep(Duration::from_millis(work.restart_ms));
                worker.start(&version_now);
            });
        }
        let signature = format!("sig.{}.{attempt}", self.id);
        if !request.path().contains("/stream/") && !request.path().contains("/kept/") {
            thread::sleep(Duration::from_millis(work.plain_ms.max(if is_deadly {
                work.crash_ms + 500
            } else {
                0
            })));
            let headers = [("Attempt-Id", attempt.as_str()), ("Server-Signature", &signature)];
            return connection.answer(200, &headers, format!("done {attempt}").as_bytes());
        }
        let first = request
            .header("last-event-id")
            .and_then(|last| last.parse::<u64>().ok())
            .unwrap_or(0)
            + 1;
        thread::sleep(Duration::from_millis(work.gap_ms));
        let headers = [
            ("Attempt-Id", attempt.as_str()),
            ("Server-Signature", &signature),
            ("Content-Type", "text/event-stream"),
        ];
        connection.begin_chunks(&headers)?;
        for number in first..=work.events {
            if number > first {
                thread::sleep(Duration::from_millis(work.gap_ms));
            }
            if self.turns.load(Ordering::SeqCst) != turn {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            connection.write_chunk(format!("id: {number}\ndata: {version}/{number}\n\n").as_bytes())?;
        }
        connection.write_chunk(b"")
    }
}
