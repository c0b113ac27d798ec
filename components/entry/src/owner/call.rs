//! A call that has been taken in and its output.

use std::sync::Mutex;
use std::time::Duration;

use domain::{CallKey, CallOutcome, CallRequest, IntentRecord, TimeMillis};
use errors::CallError;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wire::OutputChunk;
use xxhash_rust::xxh3::xxh3_64;

/// Largest text of one answer to a request for output, in bytes.
const MAX_CHUNK_BYTES: usize = 256 * 1024;

#[derive(Debug, Default)]
struct CallOutput {
    text: String,
    outcome: Option<CallOutcome>,
    /// Answer for readers while the final state waits for the journal.
    interim: Option<CallError>,
}

/// A call under way, or one that has ended a short time ago.
#[derive(Debug)]
pub(crate) struct OpenCall {
    /// Identity.
    pub(crate) key: CallKey,
    /// Request.
    pub(crate) request: CallRequest,
    /// Fingerprint of the request.
    pub(crate) fingerprint: u64,
    /// Time at which the call was taken in.
    pub(crate) queued_at: TimeMillis,
    /// Attempt that an earlier owner handed out, when the call was adopted with it.
    pub(crate) adopted: Option<IntentRecord>,
    /// Cancelled when the call is not to go on.
    pub(crate) stop: CancellationToken,
    output: Mutex<CallOutput>,
    progress: watch::Sender<u64>,
}

impl OpenCall {
    /// Creates a call whose answer must begin with `delivered`.
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

    /// Creates a call from the intent of an earlier owner.
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

    /// Returns the text so far.
    pub(crate) fn text(&self) -> String {
        self.lock().text.clone()
    }

    /// Returns the length of the text so far in bytes.
    pub(crate) fn text_len(&self) -> u64 {
        self.lock().text.len() as u64
    }

    /// Returns the final state if there is one.
    pub(crate) fn outcome(&self) -> Option<CallOutcome> {
        self.lock().outcome.clone()
    }

    /// Adds text at its offset; text that is already there changes nothing.
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

    /// Sets the final state once; later states change nothing.
    pub(crate) fn close(&self, outcome: CallOutcome) {
        let mut output = self.lock();
        if output.outcome.is_some() {
            return;
        }
        output.outcome = Some(outcome);
        drop(output);
        self.progress.send_modify(|count| *count += 1);
    }

    /// Gives readers an answer while the final state waits for the journal; the call itself goes on.
    pub(crate) fn set_interim(&self, error: CallError) {
        self.lock().interim = Some(error);
        self.progress.send_modify(|count| *count += 1);
    }

    /// Returns output behind the offset and waits until there is some or `wait` has passed.
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

/// Returns the text from an offset on; empty when the offset lies behind the text or inside a character.
pub(crate) fn text_from(text: &str, offset: u64) -> &str {
    let start = usize::try_from(offset).unwrap_or(usize::MAX);
    text.get(start..).unwrap_or_default()
}

/// Returns the first piece of a text and whether it is the is_complete of it.
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

/// Returns the fingerprint by which a reused idempotency key is recognised.
pub(crate) fn request_fingerprint(request: &CallRequest) -> u64 {
    let text = serde_json::to_vec(&(&request.service, &request.payload)).unwrap_or_default();
    xxh3_64(&text)
}
