//! HTTP server that the stand-ins share.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context as _;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

/// Largest body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Body of an answer.
pub(crate) type ReplyBody = BoxBody<Bytes, Infallible>;

/// Answer of a stand-in.
pub(crate) type Reply = Response<ReplyBody>;

/// Why a connection is closed without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the connection is closed without an answer")]
pub(crate) struct ClosedConnection;

/// A request with its whole body.
#[derive(Debug)]
pub(crate) struct WholeRequest {
    /// Method.
    pub(crate) method: Method,
    /// Path without its query.
    pub(crate) path: String,
    /// Query, empty when there is none.
    pub(crate) query: String,
    /// Headers.
    pub(crate) headers: hyper::HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

impl WholeRequest {
    async fn read(request: Request<Incoming>) -> Result<Self, ClosedConnection> {
        let (parts, body) = request.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        Ok(Self {
            method: parts.method,
            path: parts.uri.path().to_owned(),
            query: parts.uri.query().unwrap_or_default().to_owned(),
            headers: parts.headers,
            body: body.map_err(|_error| ClosedConnection)?.to_bytes(),
        })
    }

    /// Returns the text of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns a parameter of the query.
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns a parameter of the query as a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name).and_then(|text| text.parse().ok())
    }

    /// Hands the decoded body to `apply`, or answers that it is malformed.
    pub(crate) fn apply<T: DeserializeOwned>(&self, apply: impl FnOnce(T) -> Reply) -> Reply {
        match serde_json::from_slice(&self.body) {
            Ok(value) => apply(value),
            Err(error) => text_reply(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Returns whether the request carries the key; every request does when there is none.
    pub(crate) fn has_key(&self, key: Option<&str>) -> bool {
        let Some(key) = key else { return true };
        let bearer = self.header(AUTHORIZATION.as_str());
        bearer.and_then(|text| text.strip_prefix("Bearer ")) == Some(key)
    }
}

/// Creates an answer without a body.
pub(crate) fn empty_reply(status: StatusCode) -> Reply {
    bytes_reply(status, Bytes::new())
}

/// Creates an answer with a line of text.
pub(crate) fn text_reply(status: StatusCode, text: &str) -> Reply {
    bytes_reply(status, Bytes::from(format!("{text}\n")))
}

/// Creates an answer with a body of any kind.
pub(crate) fn bytes_reply(status: StatusCode, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body).boxed());
    *reply.status_mut() = status;
    reply
}

/// Creates an answer with a JSON body.
pub(crate) fn json_reply<T: Serialize>(value: &T) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => typed_reply("application/json", Full::new(Bytes::from(body)).boxed()),
        Err(error) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Creates an answer with a body of a content type.
pub(crate) fn typed_reply(content_type: &'static str, body: ReplyBody) -> Reply {
    let mut reply = Response::new(body);
    let content_type = HeaderValue::from_static(content_type);
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}

/// A running server; it and its connections end when the handle is dropped.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    acceptor: JoinHandle<()>,
    worker: Option<JoinHandle<()>>,
}

impl ServerHandle {
    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the server ends.
    pub async fn join(mut self) {
        // The task ends only by a panic, which has been printed by then.
        let _ended = (&mut self.acceptor).await;
    }
}

impl ServerHandle {
    /// Adds a task that ends with the server.
    pub(crate) fn with_worker(mut self, worker: JoinHandle<()>) -> Self {
        self.worker = Some(worker);
        self
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.acceptor.abort();
        if let Some(worker) = &self.worker {
            worker.abort();
        }
    }
}

/// Starts a server that answers each request by `handler`.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub(crate) async fn start_server<H, F>(listen: SocketAddr, handler: H) -> anyhow::Result<ServerHandle>
where
    H: Fn(WholeRequest) -> F + Send + Sync + 'static,
    F: Future<Output = Result<Reply, ClosedConnection>> + Send + 'static,
{
    let listener = TcpListener::bind(listen)
        .await
        .with_context(|| format!("binding {listen}"))?;
    let address = listener.local_addr().context("reading the local address")?;
    let handler = Arc::new(handler);
    let acceptor = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            let Ok((stream, _peer)) = listener.accept().await else {
                continue;
            };
            connections.spawn(serve_connection(stream, Arc::clone(&handler)));
            while connections.try_join_next().is_some() {}
        }
    });
    Ok(ServerHandle {
        address,
        acceptor,
        worker: None,
    })
}

async fn serve_connection<H, F>(stream: TcpStream, handler: Arc<H>)
where
    H: Fn(WholeRequest) -> F + Send + Sync + 'static,
    F: Future<Output = Result<Reply, ClosedConnection>> + Send + 'static,
{
    // Without it each small event of a stream would wait for the acknowledgement of the last.
    let _set = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move {
            let request = WholeRequest::read(request).await?;
            handler(request).await
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    // A closed connection is the peer's choice or a fault that was ordered.
    let _closed = builder.serve_connection(TokioIo::new(stream), service).await;
}
