//! Fake of an entry's operators' interface: keeps the configuration text in memory and injects faults.

use std::collections::{BTreeMap, VecDeque};

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::{Arc, Mutex, MutexGuard, mpsc};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Operators' key that the fake accepts.
pub const KEY: &str = "operators-secret";

/// Fault of the next change request; each applies to one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FakeFault {
    /// The connection closes and the change does not take effect.
    LostRequest,
    /// The change takes effect and the connection closes.
    LostResponse,
    /// The connection closes, and the change takes effect just before the next change request is processed.
    DelayedEffect,
    /// The change takes effect, another operator's change takes effect after it, and the connection closes.
    Overtaken,
    /// The entry drains and refuses the change.
    Leaving,
    /// The change takes effect, but the entry reports its outcome as unknown.
    OutcomeUnknown,
}

/// State that fakes share, as the object API does for entries, and the requests that they received.
#[derive(Debug, Default)]
pub struct FakeState {
    /// Current generation; 0 without a configuration.
    pub generation: u64,
    /// Current configuration text.
    pub text: String,
    /// Number of changes that took effect.
    pub changes: u32,
    /// Audit events as JSON.
    pub audit: Vec<String>,
    /// Received requests, as in `PUT configuration?base=3 by ana`.
    pub requests: Vec<String>,
    /// Faults of the next change requests, in order.
    pub faults: VecDeque<FakeFault>,
    /// Status and body of the responses to other paths.
    pub responses: BTreeMap<&'static str, (u16, &'static str)>,
    /// Base, text and operator of a change that takes effect with the next change request.
    delayed: Option<(u64, String, String)>,
}

/// A fake entry that listens on a free loopback port.
#[derive(Debug, Clone)]
pub struct FakeEntry {
    /// Address on which the fake listens.
    pub address: SocketAddr,
    state: Arc<Mutex<FakeState>>,
}

type FakeResponse = Option<Response<Full<Bytes>>>;

impl FakeEntry {
    /// Starts a fake with its own state.
    pub fn start(generation: u64, text: &str) -> Self {
        let state = FakeState {
            generation,
            text: text.to_owned(),
            ..FakeState::default()
        };
        Self::start_with_state(Arc::new(Mutex::new(state)))
    }

    /// Starts a second fake that shares the state of this one.
    pub fn start_second(&self) -> Self {
        Self::start_with_state(Arc::clone(&self.state))
    }

    fn start_with_state(state: Arc<Mutex<FakeState>>) -> Self {
        let (sender, receiver) = mpsc::channel();
        let served = Arc::clone(&state);
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                sender.send(listener.local_addr().unwrap()).unwrap();
                loop {
                    let (stream, _) = listener.accept().await.unwrap();
                    let served = Arc::clone(&served);
                    let service = service_fn(move |request| respond(Arc::clone(&served), request));
                    tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
                }
            });
        });
        Self {
            address: receiver.recv().unwrap(),
            state,
        }
    }

    /// Locks the shared state and returns it.
    pub fn state(&self) -> MutexGuard<'_, FakeState> {
        self.state.lock().unwrap()
    }
}

async fn respond(
    state: Arc<Mutex<FakeState>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let header = |name: &str| {
        request
            .headers()
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
            .to_owned()
    };
    let operator = header("azuretide-operator");
    let authorized = header("authorization") == format!("Bearer {KEY}");
    let method = request.method().to_string();
    let path = request
        .uri()
        .path_and_query()
        .unwrap()
        .as_str()
        .trim_start_matches("/admin/")
        .to_owned();
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(std::io::Error::other)?
        .to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    let mut state = state.lock().unwrap();
    state.requests.push(format!("{method} {path} by {operator}"));
    let response = match (
        path.split_once("?base="),
        path.split('?').next().unwrap_or_default(),
    ) {
        _ if !authorized => refusal(401, 2001, "not-run"),
        (Some((_, base)), _) => state.change(base.parse().unwrap(), &text, &operator),
        (None, "configuration") => state.show(),
        (None, "audit") => json_response(200, &format!("[{}]", state.audit.join(","))),
        (None, path) => match state.responses.get(path) {
            Some((status, body)) => json_response(*status, body),
            None => refusal(404, 1003, "not-run"),
        },
    };
    response.ok_or_else(|| std::io::Error::other("the fake closes the connection"))
}

impl FakeState {
    fn show(&self) -> FakeResponse {
        if self.generation == 0 {
            return refusal(404, 7007, "not-run");
        }
        let reply = Response::builder().header("azuretide-generation", self.generation);
        reply.body(Full::from(self.text.clone())).ok()
    }

    fn change(&mut self, base: u64, text: &str, operator: &str) -> FakeResponse {
        if let Some((base, text, operator)) = self.delayed.take() {
            self.write(base, &text, &operator);
        }
        match self.faults.pop_front() {
            Some(FakeFault::LostRequest) => return None,
            Some(FakeFault::Leaving) => return refusal(503, 3009, "not-run"),
            Some(FakeFault::DelayedEffect) => {
                self.delayed = Some((base, text.to_owned(), operator.to_owned()));
                return None;
            }
            Some(FakeFault::LostResponse) => return self.write(base, text, operator).and(None),
            Some(FakeFault::OutcomeUnknown) => {
                return self
                    .write(base, text, operator)
                    .and(refusal(504, 4001, "outcome-unknown"));
            }
            Some(FakeFault::Overtaken) => {
                self.write(base, text, operator);
                return self.write(self.generation, "; overtaken\n", "bo").and(None);
            }
            None => {}
        }
        let written = self.write(base, text, operator);
        written.map_or_else(
            || refusal(409, 7006, "not-run"),
            |generation| json_response(200, &format!("{{\"generation\":{generation}}}")),
        )
    }

    fn write(&mut self, base: u64, text: &str, operator: &str) -> Option<u64> {
        if base != self.generation {
            return None;
        }
        self.generation += 1;
        self.changes += 1;
        text.clone_into(&mut self.text);
        let (number, generation) = (self.audit.len() + 1, self.generation);
        self.audit.push(format!(
            "{{\"number\":{number},\"time\":1796330000000,\"operator\":\"{operator}\",\"action\":\"apply\",\
             \"subject\":\"generation {generation}\",\"detail\":\"base={base}\"}}"
        ));
        Some(generation)
    }
}

fn json_response(status: u16, body: &str) -> FakeResponse {
    Response::builder()
        .status(status)
        .body(Full::from(body.to_owned()))
        .ok()
}

fn refusal(status: u16, code: u16, run: &str) -> FakeResponse {
    let error = format!(
        "\"code\":{code},\"run\":\"{run}\",\"retry_after_ms\":null,\"message\":\"message of the fake entry\""
    );
    json_response(status, &format!("{{\"error\":{{{error}}}}}"))
}

/// Temporary folder with the files of one test.
#[derive(Debug)]
pub struct ToolFolder {
    folder: tempfile::TempDir,
}

impl ToolFolder {
    /// Creates a folder that holds the operators' key.
    pub fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("operator.key"), format!("{KEY}\n")).unwrap();
        Self { folder }
    }

    /// Writes a file and returns its path.
    pub fn file(&self, name: &str, content: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        std::fs::write(&path, content).unwrap();
        path
    }

    /// Returns a command that runs a subcommand of the tool with the key and the addresses of the entries.
    pub fn tool(&self, subcommand: &str, entries: &[SocketAddr]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_azuretide"));
        command.arg(subcommand).env("USER", "ana");
        command
            .arg("--key-file")
            .arg(self.folder.path().join("operator.key"));
        for entry in entries {
            command.arg("--entry").arg(entry.to_string());
        }
        command
    }

    /// Runs `azuretide apply` for a file over a base generation.
    pub fn apply(&self, entries: &[SocketAddr], base: u64, file: &Path) -> ToolOutput {
        ToolOutput::run(
            self.tool("apply", entries)
                .arg("--base")
                .arg(base.to_string())
                .arg(file),
        )
    }
}

/// Exit status and output of one run of the tool.
#[derive(Debug)]
pub struct ToolOutput {
    /// Exit status.
    pub status: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl ToolOutput {
    /// Runs a command and waits for its end.
    pub fn run(command: &mut Command) -> Self {
        let Output {
            status,
            stdout,
            stderr,
        } = command.output().unwrap();
        Self {
            status: status.code().unwrap(),
            stdout: String::from_utf8(stdout).unwrap(),
            stderr: String::from_utf8(stderr).unwrap(),
        }
    }
}

/// Returns a loopback address on which nothing listens.
pub fn closed_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}
