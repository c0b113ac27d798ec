//! HTTP requests with a timeout over a connection pool.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::header::{AUTHORIZATION, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::object::PlatformError;

/// A complete HTTP response.
#[derive(Debug)]
pub(crate) struct HttpResponse {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Response headers.
    pub(crate) headers: HeaderMap,
    /// Complete response body.
    pub(crate) body: Bytes,
}

/// HTTP client that authenticates with a bearer token.
#[derive(Debug, Clone)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    bearer: HeaderValue,
}

impl HttpClient {
    /// Creates a client that sends the key as a bearer token with each request.
    pub(crate) fn new(key: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(30))
            .build(connector);
        let mut bearer =
            HeaderValue::from_str(&format!("Bearer {key}")).unwrap_or(HeaderValue::from_static(""));
        bearer.set_sensitive(true);
        Self { client, bearer }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns `Unavailable` when no connection was made, and `NoAnswer` when the response is missing or
    /// incomplete after `timeout`.
    pub(crate) async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<HttpResponse, PlatformError> {
        request.headers_mut().insert(AUTHORIZATION, self.bearer.clone());
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    PlatformError::Unavailable(error.to_string())
                } else {
                    PlatformError::NoAnswer(error.to_string())
                }
            })?;
            let (parts, body) = response.into_parts();
            let body = body
                .collect()
                .await
                .map_err(|error| PlatformError::NoAnswer(error.to_string()))?;
            Ok(HttpResponse {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            })
        };
        let result = tokio::time::timeout(timeout, exchange).await;
        result.unwrap_or_else(|_| Err(PlatformError::NoAnswer("request timed out".to_owned())))
    }
}
