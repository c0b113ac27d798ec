//! The object API over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use domain::TimeMillis;
use http_body_util::Full;
use hyper::header::{DATE, ETAG, HeaderValue, IF_MATCH, IF_NONE_MATCH};
use hyper::{HeaderMap, Method, Request, StatusCode};

use crate::http::{HttpAnswer, HttpCaller};
use crate::object::{
    MAX_OBJECT_BYTES, ObjectStore, ObjectVersion, PlatformError, StoreResult, VersionedObject, WriteCondition,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// Client of the object API.
#[derive(Debug, Clone)]
pub struct RemoteStore {
    caller: HttpCaller,
    base: String,
}

impl RemoteStore {
    /// Creates a client of the object API at `base`, an `http://IP:PORT` address.
    pub fn new(base: &str, key: &str) -> Self {
        Self {
            caller: HttpCaller::new(key),
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>, deadline: Duration) -> StoreResult<HttpAnswer> {
        let answer = self.caller.send(request, deadline).await?;
        match answer.status {
            StatusCode::PRECONDITION_FAILED => Err(PlatformError::Conflict),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(
                PlatformError::Unavailable(format!("status {}", answer.status.as_u16())),
            ),
            _ => Ok(answer),
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
        let answer = self.exchange(request, CALL_TIMEOUT).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(read_object(answer)?)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
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
        let answer = self.exchange(request, CALL_TIMEOUT).await?;
        match answer.status {
            StatusCode::OK | StatusCode::CREATED => read_version(&answer.headers),
            status => Err(unexpected(status)),
        }
    }

    async fn delete(&self, key: &str, version: ObjectVersion) -> StoreResult<()> {
        let mut request = self.request(Method::DELETE, &format!("/objects/{key}"), Bytes::new())?;
        request.headers_mut().insert(IF_MATCH, version_tag(version)?);
        let answer = self.exchange(request, CALL_TIMEOUT).await?;
        match answer.status {
            StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
            status => Err(unexpected(status)),
        }
    }

    async fn list(&self, prefix: &str) -> StoreResult<Vec<(String, ObjectVersion)>> {
        let request = self.request(Method::GET, &format!("/objects?prefix={prefix}"), Bytes::new())?;
        let answer = self.exchange(request, CALL_TIMEOUT).await?;
        if answer.status != StatusCode::OK {
            return Err(unexpected(answer.status));
        }
        serde_json::from_slice(&answer.body).map_err(|error| PlatformError::Protocol(error.to_string()))
    }

    async fn watch(
        &self,
        key: &str,
        seen: Option<ObjectVersion>,
        wait: Duration,
    ) -> StoreResult<Option<VersionedObject>> {
        let after = seen.map_or(0, |version| version.0);
        let path = format!("/objects/{key}?after={after}&wait_ms={}", wait.as_millis());
        let request = self.request(Method::GET, &path, Bytes::new())?;
        let answer = self.exchange(request, wait + WATCH_GRACE).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(read_object(answer)?)),
            StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
        }
    }
}

fn read_object(answer: HttpAnswer) -> StoreResult<VersionedObject> {
    let version = read_version(&answer.headers)?;
    Ok(VersionedObject {
        version,
        value: answer.body,
        date: read_date(&answer.headers),
    })
}

fn read_version(headers: &HeaderMap) -> StoreResult<ObjectVersion> {
    let tag = headers.get(ETAG).and_then(|tag| tag.to_str().ok());
    let number = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
    number
        .map(ObjectVersion)
        .ok_or_else(|| PlatformError::Protocol("no ETag".to_owned()))
}

fn read_date(headers: &HeaderMap) -> TimeMillis {
    let date = headers.get(DATE).and_then(|date| date.to_str().ok());
    let parsed = date.and_then(|date| jiff::fmt::rfc2822::parse(date).ok());
    let millis = parsed.map_or(0, |date| date.timestamp().as_millisecond());
    TimeMillis(u64::try_from(millis).unwrap_or_default())
}

fn version_tag(version: ObjectVersion) -> StoreResult<HeaderValue> {
    HeaderValue::from_str(&format!("\"{}\"", version.0))
        .map_err(|error| PlatformError::Protocol(error.to_string()))
}

fn unexpected(status: StatusCode) -> PlatformError {
    PlatformError::Protocol(format!("status {}", status.as_u16()))
}
