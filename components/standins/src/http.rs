//! HTTP server used by all stand-ins.

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

/// Largest request body in bytes; the connection of a larger request is closed without a response.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Body of a response, either complete or a stream.
pub(crate) type ReplyBody = BoxBody<Bytes, Infallible>;

/// Response of a stand-in.
pub(crate) type Reply = Response<ReplyBody>;

/// Error with which a handler closes the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("connection closed without a response")]
pub(crate) struct ClosedConnection;

/// A request whose body has been read completely.
#[derive(Debug)]
pub(crate) struct BufferedRequest {
    /// HTTP method.
    pub(crate) method: Method,
    /// Path without its query.
    pub(crate) path: String,
    /// Query string without the question mark, empty when there is none.
    pub(crate) query: String,
    /// Request headers.
    pub(crate) headers: hyper::HeaderMap,
    /// Complete request body.
    pub(crate) body: Bytes,
}

impl BufferedRequest {
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

    /// Returns the value of a header, or `None` when it is missing or not visible ASCII.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the value of a query parameter as it was sent, without percent-decoding.
    pub(crate) fn query_parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns a query parameter as a number, or `None` when it is missing or not a number.
    pub(crate) fn numeric_parameter(&self, name: &str) -> Option<u64> {
        self.query_parameter(name).and_then(|text| text.parse().ok())
    }

    /// Decodes the JSON body and passes it to `handle`; responds with status 400 when the body is malformed.
    pub(crate) fn apply_json<T: DeserializeOwned>(&self, handle: impl FnOnce(T) -> Reply) -> Reply {
        match serde_json::from_slice(&self.body) {
            Ok(value) => handle(value),
            Err(error) => text_reply(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Returns whether the request carries `key` as its bearer token; always true when there is no key.
    pub(crate) fn has_key(&self, key: Option<&str>) -> bool {
        let Some(key) = key else { return true };
        let bearer = self.header(AUTHORIZATION.as_str());
        bearer.and_then(|text| text.strip_prefix("Bearer ")) == Some(key)
    }
}

/// Creates a response without a body.
pub(crate) fn empty_reply(status: StatusCode) -> Reply {
    bytes_reply(status, Bytes::new())
}

/// Creates a response with one line of text.
pub(crate) fn text_reply(status: StatusCode, text: &str) -> Reply {
    bytes_reply(status, Bytes::from(format!("{text}\n")))
}

/// Creates a response with a body and no content type.
pub(crate) fn bytes_reply(status: StatusCode, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body).boxed());
    *reply.status_mut() = status;
    reply
}

/// Creates a response with status 200 and a JSON body.
pub(crate) fn json_reply<T: Serialize>(value: &T) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => typed_reply("application/json", Full::new(Bytes::from(body)).boxed()),
        Err(error) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Creates a response with status 200 and a body of the given content type.
pub(crate) fn typed_reply(content_type: &'static str, body: ReplyBody) -> Reply {
    let mut reply = Response::new(body);
    let content_type = HeaderValue::from_static(content_type);
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}

/// A running server. Dropping the handle stops the server and closes its connections.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    acceptor: JoinHandle<()>,
    background_task: Option<JoinHandle<()>>,
}

impl ServerHandle {
    /// Returns the address on which the server listens, with the port that was assigned when 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the server ends, which happens only when its task panics.
    pub async fn join(mut self) {
        // The task ends only by a panic, whose message has been printed already.
        let _ended = (&mut self.acceptor).await;
    }
}

impl ServerHandle {
    /// Adds a background task that is aborted when the server stops.
    pub(crate) fn with_background_task(mut self, background_task: JoinHandle<()>) -> Self {
        self.background_task = Some(background_task);
        self
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.acceptor.abort();
        if let Some(background_task) = &self.background_task {
            background_task.abort();
        }
    }
}

/// Starts a server that passes each request to `handler` and sends the response that it returns.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub(crate) async fn start_server<H, F>(listen: SocketAddr, handler: H) -> anyhow::Result<ServerHandle>
where
    H: Fn(BufferedRequest) -> F + Send + Sync + 'static,
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
        background_task: None,
    })
}

async fn serve_connection<H, F>(stream: TcpStream, handler: Arc<H>)
where
    H: Fn(BufferedRequest) -> F + Send + Sync + 'static,
    F: Future<Output = Result<Reply, ClosedConnection>> + Send + 'static,
{
    // Without TCP_NODELAY each small stream event would wait for the acknowledgement of the previous one.
    let _set = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move {
            let request = BufferedRequest::read(request).await?;
            handler(request).await
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    // An error means that the peer closed the connection or that an injected fault did. Both are expected.
    let _closed = builder.serve_connection(TokioIo::new(stream), service).await;
}
