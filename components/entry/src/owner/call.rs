//! A call that its owner has accepted, with its output.

use std::sync::Mutex;
use std::time::Duration;

use domain::{CallKey, CallOutcome, CallRequest, IntentRecord, TimeMillis};
use errors::CallError;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wire::OutputChunk;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum length in bytes of the text in one answer to a request for output.
const MAX_CHUNK_BYTES: usize = 256 * 1024;

#[derive(Debug, Default)]
struct CallOutput {
    text: String,
    outcome: Option<CallOutcome>,
    /// Error that readers receive until the final state is durable.
    interim: Option<CallError>,
}

/// A call that is waiting, running or has recently ended.
#[derive(Debug)]
pub(crate) struct OpenCall {
    /// Identity of the call.
    pub(crate) key: CallKey,
    /// Request of the caller.
    pub(crate) request: CallRequest,
    /// Hash of the service and the payload, as returned by [`request_fingerprint`].
    pub(crate) fingerprint: u64,
    /// Time at which this owner accepted or adopted the call.
    pub(crate) queued_at: TimeMillis,
    /// Intent of the attempt that an earlier owner dispatched; `None` if the call was submitted to this
    /// owner.
    pub(crate) adopted: Option<IntentRecord>,
    /// Token that is cancelled to stop the call.
    pub(crate) stop: CancellationToken,
    output: Mutex<CallOutput>,
    progress: watch::Sender<u64>,
}

impl OpenCall {
    /// Creates a call. `delivered` is the text that the caller already holds; the answer continues it.
    pub(crate) fn new(key: CallKey, request: CallRequest, delivered: String, queued_at: TimeMillis) -> Self {
        let fingerprint = request_fingerprint(&request);
        Self {
            key,
            request,
            fingerprint,
            queued_at,
            adopted: None,
            stop: CancellationToken::new(),
            output: Mutex::new(CallOutput {
                text: delivered,
                outcome: None,
                interim: None,
            }),
            progress: watch::channel(0).0,
        }
    }

    /// Creates a call from the intent that an earlier owner wrote.
    pub(crate) fn adopt(intent: IntentRecord, queued_at: TimeMillis) -> Self {
        let mut call = Self::new(
            intent.attempt.call,
            intent.request.clone(),
            String::new(),
            queued_at,
        );
        call.adopted = Some(intent);
        call
    }

    /// Returns the output text received so far.
    pub(crate) fn text(&self) -> String {
        self.lock().text.clone()
    }

    /// Returns the length in bytes of the output text received so far.
    pub(crate) fn text_len(&self) -> u64 {
        self.lock().text.len() as u64
    }

    /// Returns the final state; `None` while the call is open.
    pub(crate) fn outcome(&self) -> Option<CallOutcome> {
        self.lock().outcome.clone()
    }

    /// Appends the part of `text` that lies beyond the current output. `offset` is the position of `text` in
    /// the output, in bytes.
    ///
    /// Text that is already present, starts after the end of the output or would be split inside a character
    /// is ignored.
    pub(crate) fn push_text(&self, offset: u64, text: &str) {
        let mut output = self.lock();
        let length = output.text.len() as u64;
        let skip = usize::try_from(length.saturating_sub(offset)).unwrap_or(usize::MAX);
        if offset > length || skip >= text.len() || !text.is_char_boundary(skip) {
            return;
        }
        output.text.push_str(&text[skip..]);
        drop(output);
        self.progress.send_modify(|count| *count += 1);
    }

    /// Sets the final state and wakes the readers. Has no effect if the call already has one.
    pub(crate) fn close(&self, outcome: CallOutcome) {
        let mut output = self.lock();
        if output.outcome.is_some() {
            return;
        }
        output.outcome = Some(outcome);
        drop(output);
        self.progress.send_modify(|count| *count += 1);
    }

    /// Sets the error that readers receive until the final state is durable. The call itself continues.
    pub(crate) fn set_interim(&self, error: CallError) {
        self.lock().interim = Some(error);
        self.progress.send_modify(|count| *count += 1);
    }

    /// Returns the output from `offset` on. Waits until there is new output, a final state or an interim
    /// error, at most for `wait`.
    pub(crate) async fn read(&self, offset: u64, wait: Duration) -> OutputChunk {
        let deadline = tokio::time::Instant::now() + wait;
        let mut progress = self.progress.subscribe();
        loop {
            progress.mark_unchanged();
            if let Some(chunk) = self.ready_chunk(offset) {
                return chunk;
            }
            let changed = tokio::time::timeout_at(deadline, progress.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                return OutputChunk {
                    offset,
                    text: String::new(),
                    outcome: None,
                };
            }
        }
    }

    fn ready_chunk(&self, offset: u64) -> Option<OutputChunk> {
        let output = self.lock();
        let interim = output.interim.clone().map(CallOutcome::Failed);
        let end = output.outcome.clone().or(interim);
        let remaining = text_from(&output.text, offset);
        if remaining.is_empty() && end.is_none() {
            return None;
        }
        let (text, is_complete) = first_chunk(remaining);
        let outcome = if is_complete { end } else { None };
        Some(OutputChunk {
            offset,
            text: text.to_owned(),
            outcome,
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, CallOutput> {
        self.output
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Returns the text from a byte offset on; empty if the offset lies after its end or inside a character.
pub(crate) fn text_from(text: &str, offset: u64) -> &str {
    let start = usize::try_from(offset).unwrap_or(usize::MAX);
    text.get(start..).unwrap_or_default()
}

/// Returns the first part of a text, up to `MAX_CHUNK_BYTES`, and whether it is the complete text.
pub(crate) fn first_chunk(text: &str) -> (&str, bool) {
    if text.len() <= MAX_CHUNK_BYTES {
        return (text, true);
    }
    let end = (0..=MAX_CHUNK_BYTES)
        .rev()
        .find(|end| text.is_char_boundary(*end))
        .unwrap_or(0);
    (&text[..end], false)
}

/// Returns a hash of the service and the payload. It detects an idempotency key that is reused for a
/// different request.
pub(crate) fn request_fingerprint(request: &CallRequest) -> u64 {
    let text = serde_json::to_vec(&(&request.service, &request.payload)).unwrap_or_default();
    xxh3_64(&text)
}
