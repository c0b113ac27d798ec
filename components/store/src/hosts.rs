//! Client of the platform's host list over HTTP.

use std::time::Duration;

use bytes::Bytes;
use domain::ListedHost;
use http_body_util::Full;
use hyper::{Request, StatusCode};

use crate::http::HttpClient;
use crate::object::{PlatformError, StoreResult};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the platform's host list.
#[derive(Debug, Clone)]
pub struct HostDirectory {
    client: HttpClient,
    base: String,
}

impl HostDirectory {
    /// Creates a client of the host list at `base`, an `http://IP:PORT` address, that authenticates with
    /// `key`.
    pub fn new(base: &str, key: &str) -> Self {
        Self {
            client: HttpClient::new(key),
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// Fetches the host list, which may lag behind the actual state of the hosts.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond in time, or responds with an error or a malformed body.
    pub async fn fetch_hosts(&self) -> StoreResult<Vec<ListedHost>> {
        let built = Request::get(format!("{}/hosts", self.base)).body(Full::new(Bytes::new()));
        let request = built.map_err(|error| PlatformError::Protocol(error.to_string()))?;
        let response = self.client.send(request, REQUEST_TIMEOUT).await?;
        if response.status != StatusCode::OK {
            return Err(PlatformError::Unavailable(format!(
                "status {}",
                response.status.as_u16()
            )));
        }
        serde_json::from_slice(&response.body).map_err(|error| PlatformError::Protocol(error.to_string()))
    }
}
