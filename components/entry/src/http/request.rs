//! Requests of callers and operators, read completely within limits of size and time.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use domain::ProgramKey;
use errors::{CallError, ResultCode};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::HeaderMap;
use hyper::body::{Body as _, Incoming};
use hyper::http::request::Parts;
use serde::de::DeserializeOwned;

use crate::http::reply::malformed;
use crate::http::room::{BodyRoom, RoomGuard};
use crate::relay::StreamPosition;

const BODY_TIMEOUT: Duration = Duration::from_secs(30);
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
const MAX_KEY_BYTES: usize = 200;

/// A request whose body has been read completely.
#[derive(Debug)]
pub(crate) struct BufferedRequest {
    /// Method, path and headers.
    pub(crate) parts: Parts,
    /// Body.
    pub(crate) body: Bytes,
    /// Room of the body.
    _room: RoomGuard,
}

impl BufferedRequest {
    /// Reads the body of a request, at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns 1002 for a body over the limit, 1011 when it does not arrive within `BODY_TIMEOUT`, 3029 when there is no
    /// room for it or others need the room of a late one, and 1001 when the connection fails before the body is complete.
    pub(crate) async fn read(
        parts: Parts,
        body: Incoming,
        limit: usize,
        room: &BodyRoom,
    ) -> Result<Self, CallError> {
        let too_large = || {
            CallError::not_run(
                ResultCode::BodyTooLarge,
                format!("the body exceeds the limit of {limit} bytes"),
            )
        };
        if body.size_hint().lower() > limit as u64 {
            discard_body(body).await;
            return Err(too_large());
        }
        let room = room.enter();
        let mut limited = Limited::new(body, limit);
        let collected = tokio::select! {
            collected = tokio::time::timeout(BODY_TIMEOUT, collect(&mut limited, &room)) => collected,
            error = room.refused() => Ok(Err(ReadFault::NoRoom(error))),
        };
        let collected = collected.map_err(|_elapsed| {
            CallError::not_run(
                ResultCode::RequestTimeout,
                "the body did not arrive before the timeout",
            )
        })?;
        let body = match collected {
            Ok(body) => body,
            Err(ReadFault::NoRoom(error)) => return Err(error),
            Err(ReadFault::Unreadable(error)) if error.is::<LengthLimitError>() => return Err(too_large()),
            Err(ReadFault::Unreadable(_)) => return Err(malformed("the body is incomplete or malformed")),
        };
        room.finish()?;
        Ok(Self {
            parts,
            body,
            _room: room,
        })
    }

    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns 1001 when the body is not valid JSON or does not have the form of `T`.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body)
            .map_err(|error| malformed(format!("the body is not as expected: {error}")))
    }

    /// Returns the program named in the headers.
    ///
    /// # Errors
    ///
    /// Returns 1009 when the header is missing or malformed.
    pub(crate) fn program(&self) -> Result<ProgramKey, CallError> {
        let text = self.header("azuretide-program")?;
        text.parse()
            .map_err(|message: String| CallError::not_run(ResultCode::MalformedHeader, message))
    }

    /// Returns the idempotency key.
    ///
    /// # Errors
    ///
    /// Returns 1009 when the header is missing, empty or too long.
    pub(crate) fn idempotency_key(&self) -> Result<String, CallError> {
        let key = self.header("idempotency-key")?;
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            let message = format!("the idempotency key must have 1 to {MAX_KEY_BYTES} bytes");
            return Err(CallError::not_run(ResultCode::MalformedHeader, message));
        }
        Ok(key.to_owned())
    }

    /// Returns the position from which the caller resumes a stream, if the header `Last-Event-ID` names one.
    ///
    /// # Errors
    ///
    /// Returns 1009 when the header is malformed.
    pub(crate) fn stream_position(&self) -> Result<Option<StreamPosition>, CallError> {
        if !self.parts.headers.contains_key("last-event-id") {
            return Ok(None);
        }
        let text = self.header("last-event-id")?;
        let position = text.split_once('-').and_then(|(offset, hash)| {
            Some(StreamPosition {
                offset: offset.parse().ok()?,
                hash: u64::from_str_radix(hash, 16).ok()?,
            })
        });
        let Some(position) = position else {
            return Err(CallError::not_run(
                ResultCode::MalformedHeader,
                "expected the id of an event of a stream in the header Last-Event-ID",
            ));
        };
        Ok(Some(position))
    }

    /// Returns a header as text, empty when it is absent or not text.
    pub(crate) fn optional_header(&self, name: &str) -> &str {
        header_text(&self.parts.headers, name).unwrap_or_default()
    }

    fn header(&self, name: &str) -> Result<&str, CallError> {
        header_text(&self.parts.headers, name).ok_or_else(|| {
            CallError::not_run(
                ResultCode::MalformedHeader,
                format!("the header {name} is missing or malformed"),
            )
        })
    }

    /// Returns a parameter of the query, without percent-decoding.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.parts.uri.query()?.split('&');
        pairs
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Why a body was not read to its end.
enum ReadFault {
    NoRoom(CallError),
    Unreadable(Box<dyn Error + Send + Sync>),
}

/// Reads a body to its end. Room is held for its buffer before that is allocated.
async fn collect(body: &mut Limited<Incoming>, room: &RoomGuard) -> Result<Bytes, ReadFault> {
    let stated = body.size_hint().exact().unwrap_or_default();
    let stated = usize::try_from(stated).unwrap_or(usize::MAX);
    room.grow_to(stated).map_err(ReadFault::NoRoom)?;
    let mut read: Vec<u8> = Vec::with_capacity(stated);
    while let Some(frame) = body.frame().await {
        let Ok(part) = frame.map_err(ReadFault::Unreadable)?.into_data() else {
            continue;
        };
        let length = read.len() + part.len();
        if length > read.capacity() {
            let capacity = length.next_power_of_two();
            room.grow_to(capacity).map_err(ReadFault::NoRoom)?;
            read.reserve_exact(capacity - read.len());
        }
        read.extend_from_slice(&part);
        room.record_received(read.len());
    }
    read.shrink_to_fit();
    Ok(read.into())
}

/// Reads and discards a refused body, up to `DISCARD_TIMEOUT` and `MAX_DISCARDED_BYTES`. If the connection
/// were closed while the client is still sending, the client would not receive the refusal.
pub(crate) async fn discard_body(mut body: Incoming) {
    let discarding = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if discarded > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discarding).await;
}

/// Returns a header as text, or `None` when it is absent or not text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
