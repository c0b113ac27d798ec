//! Client of the object API over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use domain::TimeMillis;
use http_body_util::Full;
use hyper::header::{DATE, ETAG, HeaderValue, IF_MATCH, IF_NONE_MATCH};
use hyper::{HeaderMap, Method, Request, StatusCode};

use crate::http::{HttpClient, HttpResponse};
use crate::object::{
    MAX_OBJECT_BYTES, ObjectStore, ObjectVersion, PlatformError, StoreResult, VersionedObject, WriteCondition,
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that the request of a watch may take beyond the wait of the watch.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Client of the object API over HTTP.
#[derive(Debug, Clone)]
pub struct RemoteStore {
    client: HttpClient,
    base: String,
}

impl RemoteStore {
    /// Creates a client of the object API at `base`, an `http://IP:PORT` address, that authenticates with
    /// `key`.
    pub fn new(base: &str, key: &str) -> Self {
        Self {
            client: HttpClient::new(key),
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>, timeout: Duration) -> StoreResult<HttpResponse> {
        let response = self.client.send(request, timeout).await?;
        match response.status {
            StatusCode::PRECONDITION_FAILED => Err(PlatformError::Conflict),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(
                PlatformError::Unavailable(format!("status {}", response.status.as_u16())),
            ),
            _ => Ok(response),
        }
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> StoreResult<Request<Full<Bytes>>> {
        let built = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .body(Full::new(body));
        built.map_err(|error| PlatformError::Protocol(error.to_string()))
    }
}

#[async_trait]
impl ObjectStore for RemoteStore {
    async fn read(&self, key: &str) -> StoreResult<Option<VersionedObject>> {
        let request = self.request(Method::GET, &format!("/objects/{key}"), Bytes::new())?;
        let response = self.exchange(request, REQUEST_TIMEOUT).await?;
        match response.status {
            StatusCode::OK => Ok(Some(decode_object(response)?)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected_status(status)),
        }
    }

    async fn write(&self, key: &str, value: Bytes, condition: WriteCondition) -> StoreResult<ObjectVersion> {
        if value.len() > MAX_OBJECT_BYTES {
            return Err(PlatformError::TooLarge(value.len()));
        }
        let mut request = self.request(Method::PUT, &format!("/objects/{key}"), value)?;
        match condition {
            WriteCondition::Absent => {
                request
                    .headers_mut()
                    .insert(IF_NONE_MATCH, HeaderValue::from_static("*"));
            }
            WriteCondition::Version(version) => {
                request.headers_mut().insert(IF_MATCH, version_tag(version)?);
            }
        }
        let response = self.exchange(request, REQUEST_TIMEOUT).await?;
        match response.status {
            StatusCode::OK | StatusCode::CREATED => parse_version(&response.headers),
            status => Err(unexpected_status(status)),
        }
    }

    async fn delete(&self, key: &str, version: ObjectVersion) -> StoreResult<()> {
        let mut request = self.request(Method::DELETE, &format!("/objects/{key}"), Bytes::new())?;
        request.headers_mut().insert(IF_MATCH, version_tag(version)?);
        let response = self.exchange(request, REQUEST_TIMEOUT).await?;
        match response.status {
            StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
            status => Err(unexpected_status(status)),
        }
    }

    async fn list(&self, prefix: &str) -> StoreResult<Vec<(String, ObjectVersion)>> {
        let request = self.request(Method::GET, &format!("/objects?prefix={prefix}"), Bytes::new())?;
        let response = self.exchange(request, REQUEST_TIMEOUT).await?;
        if response.status != StatusCode::OK {
            return Err(unexpected_status(response.status));
        }
        serde_json::from_slice(&response.body).map_err(|error| PlatformError::Protocol(error.to_string()))
    }

    async fn watch(
        &self,
        key: &str,
        known_version: Option<ObjectVersion>,
        wait: Duration,
    ) -> StoreResult<Option<VersionedObject>> {
        let after = known_version.map_or(0, |version| version.0);
        let path = format!("/objects/{key}?after={after}&wait_ms={}", wait.as_millis());
        let request = self.request(Method::GET, &path, Bytes::new())?;
        let response = self.exchange(request, wait + WATCH_TIMEOUT_MARGIN).await?;
        match response.status {
            StatusCode::OK => Ok(Some(decode_object(response)?)),
            StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected_status(status)),
        }
    }
}

fn decode_object(response: HttpResponse) -> StoreResult<VersionedObject> {
    let version = parse_version(&response.headers)?;
    Ok(VersionedObject {
        version,
        value: response.body,
        date: parse_date(&response.headers),
    })
}

fn parse_version(headers: &HeaderMap) -> StoreResult<ObjectVersion> {
    let tag = headers.get(ETAG).and_then(|tag| tag.to_str().ok());
    let number = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
    number
        .map(ObjectVersion)
        .ok_or_else(|| PlatformError::Protocol("response without a valid ETag".to_owned()))
}

fn parse_date(headers: &HeaderMap) -> TimeMillis {
    let date = headers.get(DATE).and_then(|date| date.to_str().ok());
    let parsed = date.and_then(|date| jiff::fmt::rfc2822::parse(date).ok());
    let millis = parsed.map_or(0, |date| date.timestamp().as_millisecond());
    TimeMillis(u64::try_from(millis).unwrap_or_default())
}

fn version_tag(version: ObjectVersion) -> StoreResult<HeaderValue> {
    HeaderValue::from_str(&format!("\"{}\"", version.0))
        .map_err(|error| PlatformError::Protocol(error.to_string()))
}

fn unexpected_status(status: StatusCode) -> PlatformError {
    PlatformError::Protocol(format!("status {}", status.as_u16()))
}
