//! Plain HTTP requests, for callers and operators of a testbed.

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

/// Longest time of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A whole answer.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl HttpReply {
    /// Returns the text of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Decodes the body.
    ///
    /// # Errors
    ///
    /// Fails when the body is not JSON of the type.
    pub fn decode<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        serde_json::from_slice(&self.body)
            .with_context(|| format!("decoding status {} body {}", self.status, self.text()))
    }
}

/// Sends a request over a fresh connection and returns the answer once its headers are there.
///
/// # Errors
///
/// Fails when there is no connection or no answer.
pub async fn open_request(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> anyhow::Result<Response<Incoming>> {
    let uri: hyper::Uri = url.parse().with_context(|| format!("parsing {url}"))?;
    let authority = uri
        .authority()
        .context("the URL has no host")?
        .as_str()
        .to_owned();
    let stream = TcpStream::connect(&authority)
        .await
        .with_context(|| format!("connecting to {authority}"))?;
    stream.set_nodelay(true).context("setting no delay")?;
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
        .context("waiting for the answer")
}

/// Sends a request with headers over a fresh connection and reads the whole answer.
///
/// # Errors
///
/// Fails when there is no connection, no answer or only a part of it within 30 s.
pub async fn send_request(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> anyhow::Result<HttpReply> {
    let exchange = async {
        let response = open_request(method, url, headers, body).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.context("reading the answer")?.to_bytes();
        anyhow::Ok(HttpReply {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
        })
    };
    tokio::time::timeout(REQUEST_TIMEOUT, exchange)
        .await
        .context("no answer within 30 s")?
}

/// Sends a JSON body without further headers and reads the whole answer.
///
/// # Errors
///
/// Fails like [`send_request`].
pub async fn send_json(method: &str, url: &str, body: &str) -> anyhow::Result<HttpReply> {
    send_request(method, url, &[("content-type", "application/json")], body).await
}
