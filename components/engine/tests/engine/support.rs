//! A backend server that plays one scripted reaction for each connection.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// What happens to one connection after its request has been read.
#[derive(Debug, Clone)]
pub enum Reaction {
    /// The connection closes without an answer.
    Close,
    /// The connection stays open without a byte.
    Silent,
    /// A whole answer.
    Answer(u16, String),
    /// A whole answer after a delay.
    Late(Duration, String),
    /// Events, then the end.
    Events(Vec<String>, StreamEnd),
}

/// How a stream ends.
#[derive(Debug, Clone, Copy)]
pub enum StreamEnd {
    Close,
    Silent,
}

/// The running fake.
pub struct ScriptedBackend {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl ScriptedBackend {
    /// Starts the fake; connections beyond the script are closed without an answer.
    pub async fn start(script: Vec<Reaction>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&requests);
        let mut script = VecDeque::from(script);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let request = read_request(&mut stream).await;
                seen.lock().expect("lock").push(request);
                let reaction = script.pop_front().unwrap_or(Reaction::Close);
                tokio::spawn(play(stream, reaction));
            }
        });
        Self { address, requests }
    }

    /// Returns the requests so far, head and body.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().expect("lock").clone()
    }

    /// Returns the first lines of the requests so far.
    pub fn request_lines(&self) -> Vec<String> {
        let first = |request: &String| {
            request
                .lines()
                .next()
                .unwrap_or_default()
                .replace(" HTTP/1.1", "")
        };
        self.requests().iter().map(first).collect()
    }
}

async fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            if body.len() >= length.map_or(0, |length| length.parse().expect("a number")) {
                return text;
            }
        }
        if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
            return text;
        }
    }
}

async fn play(mut stream: TcpStream, reaction: Reaction) {
    let answer = |status: u16, body: &str| {
        format!(
            "HTTP/1.1 {status} X\r\ncontent-type: text/plain\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let (text, silent) = match reaction {
        Reaction::Close => return,
        Reaction::Silent => (String::new(), true),
        Reaction::Answer(status, body) => (answer(status, &body), false),
        Reaction::Late(delay, body) => {
            tokio::time::sleep(delay).await;
            (answer(200, &body), false)
        }
        Reaction::Events(events, end) => {
            let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
            (
                head.to_owned() + &events.concat(),
                matches!(end, StreamEnd::Silent),
            )
        }
    };
    stream.write_all(text.as_bytes()).await.expect("the client reads");
    if silent {
        std::future::pending::<()>().await;
    }
}
