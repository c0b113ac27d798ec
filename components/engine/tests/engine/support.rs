//! A fake backend server that handles each connection by the next reaction of a script.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Reaction of the server to a connection, after it has read the request.
#[derive(Debug, Clone)]
pub enum Reaction {
    /// Closes the connection without a response.
    Close,
    /// Keeps the connection open without sending a byte.
    Hang,
    /// Sends a complete response with this status and body.
    Answer(u16, String),
    /// Sends a complete response with this body after a delay.
    Delayed(Duration, String),
    /// Sends these events, then ends the stream in this way.
    Events(Vec<String>, StreamEnd),
}

/// What the server does after the last event of a stream.
#[derive(Debug, Clone, Copy)]
pub enum StreamEnd {
    Close,
    Stall,
}

/// A running fake backend server.
pub struct ScriptedBackend {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl ScriptedBackend {
    /// Starts the server. Connections after the end of the script are closed without a response.
    pub async fn start(script: Vec<Reaction>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let recorded = Arc::clone(&requests);
        let mut script = VecDeque::from(script);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let request = read_request(&mut stream).await;
                recorded.lock().expect("lock").push(request);
                let reaction = script.pop_front().unwrap_or(Reaction::Close);
                tokio::spawn(respond(stream, reaction));
            }
        });
        Self { address, requests }
    }

    /// Returns the requests received so far, each with head and body.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().expect("lock").clone()
    }

    /// Returns method and path of each request received so far.
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

async fn respond(mut stream: TcpStream, reaction: Reaction) {
    let answer = |status: u16, body: &str| {
        format!(
            "HTTP/1.1 {status} X\r\ncontent-type: text/plain\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let (text, is_kept_open) = match reaction {
        Reaction::Close => return,
        Reaction::Hang => (String::new(), true),
        Reaction::Answer(status, body) => (answer(status, &body), false),
        Reaction::Delayed(delay, body) => {
            tokio::time::sleep(delay).await;
            (answer(200, &body), false)
        }
        Reaction::Events(events, end) => {
            let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
            (
                head.to_owned() + &events.concat(),
                matches!(end, StreamEnd::Stall),
            )
        }
    };
    stream
        .write_all(text.as_bytes())
        .await
        .expect("the client accepts the bytes");
    if is_kept_open {
        std::future::pending::<()>().await;
    }
}
