//! HTTP requests with a deadline over a pooled client.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::header::{AUTHORIZATION, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::object::PlatformError;

/// A whole answer.
#[derive(Debug)]
pub(crate) struct HttpAnswer {
    /// Status.
    pub(crate) status: StatusCode,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

/// Client that authenticates with a bearer key.
#[derive(Debug, Clone)]
pub(crate) struct HttpCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    bearer: HeaderValue,
}

impl HttpCaller {
    /// Creates a client; the key is sent with each request.
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

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns `Unavailable` when no connection was made and `NoAnswer` when the answer is missing or cut off.
    pub(crate) async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        deadline: Duration,
    ) -> Result<HttpAnswer, PlatformError> {
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
            Ok(HttpAnswer {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            })
        };
        let answered = tokio::time::timeout(deadline, exchange).await;
        answered.unwrap_or_else(|_| Err(PlatformError::NoAnswer("timeout".to_owned())))
    }
}
