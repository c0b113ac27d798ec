//! HTTP client for callers and operators of a testbed; each request opens a connection of its own.

use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

/// Timeout of one request, from the connection to the end of the response body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP response with its complete body.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

impl HttpReply {
    /// Returns the value of a header, or `None` when it is missing or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the body is not JSON or does not fit the type.
    pub fn decode<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        serde_json::from_slice(&self.body)
            .with_context(|| format!("decoding status {}, body {}", self.status, self.text()))
    }
}

/// Sends a request over a new connection and returns the response as soon as its headers have arrived.
///
/// # Errors
///
/// Fails when the URL is invalid, the server cannot be connected or it sends no response headers.
pub async fn open_request(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> anyhow::Result<Response<Incoming>> {
    let uri: hyper::Uri = url.parse().with_context(|| format!("parsing the URL {url}"))?;
    let authority = uri
        .authority()
        .context("the URL has no host")?
        .as_str()
        .to_owned();
    let stream = TcpStream::connect(&authority)
        .await
        .with_context(|| format!("connecting to {authority}"))?;
    stream.set_nodelay(true).context("setting TCP_NODELAY")?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, authority);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request = builder.body(Full::new(Bytes::from(body.to_owned())))?;
    sender
        .send_request(request)
        .await
        .context("waiting for the response headers")
}

/// Sends a request with headers over a new connection and reads the complete response.
///
/// # Errors
///
/// Fails when the server cannot be connected or the response is not complete within 30 s.
pub async fn send_request(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> anyhow::Result<HttpReply> {
    let exchange = async {
        let response = open_request(method, url, headers, body).await?;
        let (parts, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .context("reading the response body")?
            .to_bytes();
        anyhow::Ok(HttpReply {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
        })
    };
    tokio::time::timeout(REQUEST_TIMEOUT, exchange)
        .await
        .context("no complete response within 30 s")?
}

/// Sends a JSON body without further headers and reads the complete response.
///
/// # Errors
///
/// Fails like [`send_request`].
pub async fn send_json(method: &str, url: &str, body: &str) -> anyhow::Result<HttpReply> {
    send_request(method, url, &[("content-type", "application/json")], body).await
}
