//! Client of a team: sends requests to the entries, retries them and resumes interrupted streams.

use std::time::Duration;

use anyhow::{Context as _, bail};
use http_body_util::BodyExt as _;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::client::{HttpReply, open_request, send_request};
use crate::engine::PromptMessage;

/// Default period during which a caller retries one request.
const DEFAULT_RETRY_PERIOD: Duration = Duration::from_secs(40);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for the response headers or the next data of a stream before the caller reconnects.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A model's complete answer to one turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnAnswer {
    /// Generated text.
    pub text: String,
    /// Whether the caller sent the request more than once.
    pub retried: bool,
    /// Token usage that the entry returned; null when it returned none.
    pub usage: Value,
}

/// A request for one turn.
#[derive(Debug, Clone)]
pub struct TurnRequest {
    /// Id of the program that the turn belongs to.
    pub program: String,
    /// Idempotency key, the same for all retries of the turn.
    pub key: String,
    /// Name of the model service.
    pub model: String,
    /// New messages only; the entry adds them to the program's history.
    pub messages: Vec<PromptMessage>,
    /// Largest number of tokens to generate.
    pub max_tokens: u64,
}

impl TurnRequest {
    fn body(&self, stream: bool) -> String {
        json!({"model": self.model, "messages": self.messages, "max_tokens": self.max_tokens, "stream": stream})
            .to_string()
    }
}

/// A caller of one team that tries the entries one after the other until one responds.
#[derive(Debug, Clone)]
pub struct TeamCaller {
    entries: Vec<String>,
    preferred: usize,
    bearer: String,
    retry_period: Duration,
}

impl TeamCaller {
    /// Creates a caller with the entries' base URLs, of which it tries the one at `preferred` first.
    pub fn new(entries: Vec<String>, preferred: usize, team_key: &str) -> Self {
        Self {
            entries,
            preferred,
            bearer: format!("Bearer {team_key}"),
            retry_period: DEFAULT_RETRY_PERIOD,
        }
    }

    /// Returns the caller with another period, in milliseconds, during which it retries one request.
    ///
    /// With 0 it makes one attempt only.
    #[must_use]
    pub const fn with_retry_period_ms(mut self, retry_period_ms: u64) -> Self {
        self.retry_period = Duration::from_millis(retry_period_ms);
        self
    }

    /// Starts a program and returns its id.
    ///
    /// # Errors
    ///
    /// Fails when an entry refuses the program or none starts it within the retry period.
    pub async fn start_program(&mut self, urgency: &str, parent: Option<&str>) -> anyhow::Result<String> {
        let body = json!({"urgency": urgency, "deadline": null, "parent": parent}).to_string();
        let (reply, _) = self.request("POST", "/v1/programs", &[], &body).await?;
        anyhow::ensure!(
            reply.status == 201,
            "start of the program refused with status {}: {}",
            reply.status,
            reply.text()
        );
        let program: Value = reply.decode()?;
        Ok(program["program"]
            .as_str()
            .context("the response has no program id")?
            .to_owned())
    }

    /// Ends a program and returns its final state, with the price charged.
    ///
    /// # Errors
    ///
    /// Fails when an entry refuses the request or none ends the program within the retry period.
    pub async fn end_program(&mut self, program: &str) -> anyhow::Result<Value> {
        let path = format!("/v1/programs/{program}");
        let (reply, _) = self.request("DELETE", &path, &[], "").await?;
        anyhow::ensure!(
            reply.status == 200,
            "end of the program refused with status {}: {}",
            reply.status,
            reply.text()
        );
        reply.decode()
    }

    /// Fetches a program's history from an entry.
    ///
    /// # Errors
    ///
    /// Fails when the response is not a history or no entry responds within the retry period.
    pub async fn fetch_history(&mut self, program: &str) -> anyhow::Result<Vec<PromptMessage>> {
        let path = format!("/v1/programs/{program}/history");
        let (reply, _) = self.request("GET", &path, &[], "").await?;
        let mut history: Value = reply.decode()?;
        serde_json::from_value(history["messages"].take()).context("decoding the history of a program")
    }

    /// Takes a turn without streaming and waits for the complete answer.
    ///
    /// # Errors
    ///
    /// Fails when an entry refuses the turn with a status that is not retried, or when no entry completes it
    /// within the retry period.
    pub async fn take_turn(&mut self, turn: &TurnRequest) -> anyhow::Result<TurnAnswer> {
        let headers = [
            ("azuretide-program", turn.program.as_str()),
            ("idempotency-key", turn.key.as_str()),
        ];
        let sent = self
            .request("POST", "/v1/chat/completions", &headers, &turn.body(false))
            .await;
        let (reply, retried) = sent?;
        anyhow::ensure!(
            reply.status == 200,
            "turn refused with status {}: {}",
            reply.status,
            reply.text()
        );
        let completion: Value = reply.decode()?;
        let text = completion["choices"][0]["message"]["content"].as_str();
        Ok(TurnAnswer {
            text: text.context("the completion has no content")?.to_owned(),
            retried,
            usage: completion["usage"].clone(),
        })
    }

    /// Calls a tool or plain service. Returns the response and whether the request was retried.
    ///
    /// # Errors
    ///
    /// Fails when no entry responds within the retry period. A refusal is returned as a response.
    pub async fn call_service(
        &mut self,
        program: &str,
        key: &str,
        path: &str,
        body: &Value,
    ) -> anyhow::Result<(HttpReply, bool)> {
        let headers = [
            ("azuretide-program", program),
            ("idempotency-key", key),
            ("content-type", "application/json"),
        ];
        let path = format!("/v1/services/{path}");
        self.request("POST", &path, &headers, &body.to_string()).await
    }

    /// Takes a turn as a stream. After a lost connection, resumes it behind the text already received.
    ///
    /// # Errors
    ///
    /// Fails when an entry refuses the turn with a status that is not retried, when an event id contradicts
    /// the text received so far, or when the stream is not complete within the retry period.
    pub async fn stream_turn(&mut self, turn: &TurnRequest) -> anyhow::Result<TurnAnswer> {
        let deadline = Instant::now() + self.retry_period;
        let mut answer = StreamedAnswer::default();
        let mut retried = false;
        loop {
            let failure = match self.read_stream(turn, &mut answer).await {
                Ok(()) if answer.is_done => {
                    return Ok(TurnAnswer {
                        text: answer.text,
                        retried,
                        usage: answer.usage,
                    });
                }
                Ok(()) => anyhow::anyhow!("the stream ended without [DONE]"),
                Err(error) => error,
            };
            if Instant::now() > deadline || answer.is_unrecoverable {
                return Err(
                    failure.context(format!("stream failed after {} bytes of text", answer.text.len()))
                );
            }
            retried = true;
            self.select_next_entry();
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn read_stream(&self, turn: &TurnRequest, answer: &mut StreamedAnswer) -> anyhow::Result<()> {
        let url = format!("{}/v1/chat/completions", self.entries[self.preferred]);
        let mut headers = vec![
            ("authorization", self.bearer.as_str()),
            ("azuretide-program", turn.program.as_str()),
            ("idempotency-key", turn.key.as_str()),
        ];
        let last_id = answer.last_id.clone();
        if !last_id.is_empty() {
            headers.push(("last-event-id", last_id.as_str()));
        }
        let body = turn.body(true);
        let opened = open_request("POST", &url, &headers, &body);
        let response = tokio::time::timeout(STREAM_IDLE_TIMEOUT, opened)
            .await
            .context("no response headers within 10 s")??;
        let status = response.status().as_u16();
        let mut body = response.into_body();
        if status != 200 {
            let text = body.collect().await?.to_bytes();
            answer.is_unrecoverable = !is_retryable(status);
            bail!(
                "stream refused with status {status}: {}",
                String::from_utf8_lossy(&text)
            );
        }
        let mut pending = Vec::new();
        while !answer.is_done {
            let frame = tokio::time::timeout(STREAM_IDLE_TIMEOUT, body.frame())
                .await
                .context("no stream data within 10 s")?;
            let Some(frame) = frame else { return Ok(()) };
            pending.extend_from_slice(&frame?.into_data().unwrap_or_default());
            while let Some(end) = find_event_end(&pending) {
                let event: Vec<u8> = pending.drain(..end + 2).collect();
                answer.apply_event(&String::from_utf8_lossy(&event))?;
            }
        }
        Ok(())
    }

    /// Sends a request to the entries one after the other until one responds with a status that is not
    /// retried. Returns the response and whether the request was retried.
    ///
    /// Statuses 502 to 504 are retried. Once the retry period has passed, such a response is returned.
    ///
    /// # Errors
    ///
    /// Returns the last failure when no entry has responded within the retry period.
    pub async fn request(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> anyhow::Result<(HttpReply, bool)> {
        let deadline = Instant::now() + self.retry_period;
        let mut retried = false;
        loop {
            let url = format!("{}{path}", self.entries[self.preferred]);
            let authorization = [("authorization", self.bearer.as_str())];
            let all = [&authorization, headers].concat();
            let failure = match send_request(method, &url, &all, body).await {
                Ok(reply) if !is_retryable(reply.status) => return Ok((reply, retried)),
                Ok(reply) if Instant::now() > deadline => return Ok((reply, retried)),
                Ok(_) => None,
                Err(error) => Some(error),
            };
            if let Some(failure) = failure
                && Instant::now() > deadline
            {
                return Err(failure);
            }
            retried = true;
            self.select_next_entry();
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    const fn select_next_entry(&mut self) {
        self.preferred = (self.preferred + 1) % self.entries.len();
    }
}

/// The part of a streamed answer received so far.
#[derive(Debug, Default)]
struct StreamedAnswer {
    text: String,
    last_id: String,
    usage: Value,
    is_done: bool,
    is_unrecoverable: bool,
}

impl StreamedAnswer {
    fn apply_event(&mut self, event: &str) -> anyhow::Result<()> {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        if field("event: ") == Some("error") {
            bail!("received an error event: {event}");
        }
        let Some(data) = field("data: ") else {
            return Ok(());
        };
        if data == "[DONE]" {
            self.is_done = true;
            return Ok(());
        }
        let chunk: Value =
            serde_json::from_str(data).with_context(|| format!("decoding stream event {data}"))?;
        if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
            self.text.push_str(text);
        }
        if let Some(id) = field("id: ") {
            // An id begins with the byte offset of the text; what follows the hyphen is for the entry only.
            let offset = id.split_once('-').map_or(id, |(offset, _)| offset);
            if offset != self.text.len().to_string() {
                self.is_unrecoverable = true;
                bail!(
                    "event id {id} does not match the {} bytes of text received",
                    self.text.len()
                );
            }
            id.clone_into(&mut self.last_id);
        }
        if !chunk["usage"].is_null() {
            self.usage = chunk["usage"].clone();
        }
        Ok(())
    }
}

fn find_event_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n")
}

fn is_retryable(status: u16) -> bool {
    matches!(status, 502..=504)
}
