//! An entry's interface for operators over a text in memory, with faults on request.

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

/// Key that the fake accepts.
pub const KEY: &str = "operators-secret";

/// What happens to the next change; each is taken once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FakeFault {
    /// The connection closes and nothing happens.
    LostRequest,
    /// The change takes effect and the connection closes.
    LostAnswer,
    /// The connection closes and the change takes effect before the next change is judged.
    LateEffect,
    /// The change takes effect, then another operator's change does, then the connection closes.
    Overtaken,
    /// The entry leaves.
    Leaving,
    /// The entry cannot tell what became of the change, which took effect.
    OutcomeUnknown,
}

/// The object API behind the fakes and what they saw.
#[derive(Debug, Default)]
pub struct FakeState {
    /// Generation in force.
    pub generation: u64,
    /// Text in force.
    pub text: String,
    /// Number of changes that took effect.
    pub changes: u32,
    /// Audit events as JSON.
    pub audit: Vec<String>,
    /// Requests, as in `PUT configuration?base=3 by ana`.
    pub requests: Vec<String>,
    /// Faults of the next changes.
    pub faults: VecDeque<FakeFault>,
    /// Further answers by path.
    pub answers: BTreeMap<&'static str, (u16, &'static str)>,
    late: Option<(u64, String, String)>,
}

/// A fake entry on a free port of loopback.
#[derive(Debug, Clone)]
pub struct FakeEntry {
    /// Address.
    pub address: SocketAddr,
    state: Arc<Mutex<FakeState>>,
}

type Answer = Option<Response<Full<Bytes>>>;

impl FakeEntry {
    /// Starts a fake with its own state.
    pub fn start(generation: u64, text: &str) -> Self {
        let state = FakeState {
            generation,
            text: text.to_owned(),
            ..FakeState::default()
        };
        Self::start_over(Arc::new(Mutex::new(state)))
    }

    /// Starts a second fake over the same state.
    pub fn start_twin(&self) -> Self {
        Self::start_over(Arc::clone(&self.state))
    }

    fn start_over(state: Arc<Mutex<FakeState>>) -> Self {
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
                    let service = service_fn(move |request| answer(Arc::clone(&served), request));
                    tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
                }
            });
        });
        Self {
            address: receiver.recv().unwrap(),
            state,
        }
    }

    /// Returns the state.
    pub fn state(&self) -> MutexGuard<'_, FakeState> {
        self.state.lock().unwrap()
    }
}

async fn answer(
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
    let answer = match (
        path.split_once("?base="),
        path.split('?').next().unwrap_or_default(),
    ) {
        _ if !authorized => refusal(401, 2001, "not-run"),
        (Some((_, base)), _) => state.change(base.parse().unwrap(), &text, &operator),
        (None, "configuration") => state.show(),
        (None, "audit") => reply(200, &format!("[{}]", state.audit.join(","))),
        (None, path) => match state.answers.get(path) {
            Some((status, body)) => reply(*status, body),
            None => refusal(404, 1003, "not-run"),
        },
    };
    answer.ok_or_else(|| std::io::Error::other("the fake closes the connection"))
}

impl FakeState {
    fn show(&self) -> Answer {
        if self.generation == 0 {
            return refusal(404, 7007, "not-run");
        }
        let reply = Response::builder().header("azuretide-generation", self.generation);
        reply.body(Full::from(self.text.clone())).ok()
    }

    fn change(&mut self, base: u64, text: &str, operator: &str) -> Answer {
        if let Some((base, text, operator)) = self.late.take() {
            self.write(base, &text, &operator);
        }
        match self.faults.pop_front() {
            Some(FakeFault::LostRequest) => return None,
            Some(FakeFault::Leaving) => return refusal(503, 3009, "not-run"),
            Some(FakeFault::LateEffect) => {
                self.late = Some((base, text.to_owned(), operator.to_owned()));
                return None;
            }
            Some(FakeFault::LostAnswer) => return self.write(base, text, operator).and(None),
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
            |generation| reply(200, &format!("{{\"generation\":{generation}}}")),
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

fn reply(status: u16, body: &str) -> Answer {
    Response::builder()
        .status(status)
        .body(Full::from(body.to_owned()))
        .ok()
}

fn refusal(status: u16, code: u16, run: &str) -> Answer {
    let error =
        format!("\"code\":{code},\"run\":\"{run}\",\"retry_after_ms\":null,\"message\":\"said the fake\"");
    reply(status, &format!("{{\"error\":{{{error}}}}}"))
}

/// Files of one test.
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

    /// Returns the tool with a subcommand and the options for the entries.
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

    /// Applies a file over a base.
    pub fn apply(&self, entries: &[SocketAddr], base: u64, file: &Path) -> ToolOutput {
        ToolOutput::of(
            self.tool("apply", entries)
                .arg("--base")
                .arg(base.to_string())
                .arg(file),
        )
    }
}

/// What one run of the tool left.
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
    /// Runs a command to its end.
    pub fn of(command: &mut Command) -> Self {
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

/// Returns an address of loopback at which nothing listens.
pub fn closed_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}
