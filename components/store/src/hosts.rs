//! The platform's host list over HTTP.

use std::time::Duration;

use bytes::Bytes;
use domain::ListedHost;
use http_body_util::Full;
use hyper::{Request, StatusCode};

use crate::http::HttpCaller;
use crate::object::{PlatformError, StoreResult};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the host list.
#[derive(Debug, Clone)]
pub struct HostDirectory {
    caller: HttpCaller,
    base: String,
}

impl HostDirectory {
    /// Creates a client of the host list at `base`, an `http://IP:PORT` address.
    pub fn new(base: &str, key: &str) -> Self {
        Self {
            caller: HttpCaller::new(key),
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// Reads the list, which may lag behind the hosts.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or answers outside its protocol.
    pub async fn fetch_hosts(&self) -> StoreResult<Vec<ListedHost>> {
        let built = Request::get(format!("{}/hosts", self.base)).body(Full::new(Bytes::new()));
        let request = built.map_err(|error| PlatformError::Protocol(error.to_string()))?;
        let answer = self.caller.send(request, CALL_TIMEOUT).await?;
        if answer.status != StatusCode::OK {
            return Err(PlatformError::Unavailable(format!(
                "status {}",
                answer.status.as_u16()
            )));
        }
        serde_json::from_slice(&answer.body).map_err(|error| PlatformError::Protocol(error.to_string()))
    }
}
