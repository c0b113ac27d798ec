//! A caller that keeps its own record of what it sent and received.

use std::time::Duration;

use anyhow::{Context as _, bail};
use http_body_util::BodyExt as _;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::client::{HttpReply, open_request, send_request};
use crate::engine::PromptMessage;

/// Default period during which a caller retries one request.
const RETRY_PERIOD: Duration = Duration::from_secs(40);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Longest silence of a stream before the caller opens it again.
const SILENCE_LIMIT: Duration = Duration::from_secs(10);

/// Answer of a model to one turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnAnswer {
    /// Text.
    pub text: String,
    /// Whether the caller had to ask more than once.
    pub retried: bool,
    /// Usage as the entry stated it.
    pub usage: Value,
}

/// A request for one turn.
#[derive(Debug, Clone)]
pub struct TurnRequest {
    /// Program.
    pub program: String,
    /// Idempotency key.
    pub key: String,
    /// Service of the model.
    pub model: String,
    /// New messages only.
    pub messages: Vec<PromptMessage>,
    /// Largest number of tokens.
    pub max_tokens: u64,
}

impl TurnRequest {
    fn body(&self, stream: bool) -> String {
        json!({"model": self.model, "messages": self.messages, "max_tokens": self.max_tokens, "stream": stream})
            .to_string()
    }
}

/// A caller of one team that tries the entries in turn.
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
            retry_period: RETRY_PERIOD,
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
    /// Fails when no entry starts it in time.
    pub async fn start_program(&mut self, urgency: &str, parent: Option<&str>) -> anyhow::Result<String> {
        let body = json!({"urgency": urgency, "deadline": null, "parent": parent}).to_string();
        let (reply, _) = self.request("POST", "/v1/programs", &[], &body).await?;
        anyhow::ensure!(
            reply.status == 201,
            "start refused: {} {}",
            reply.status,
            reply.text()
        );
        let program: Value = reply.decode()?;
        Ok(program["program"].as_str().context("no program id")?.to_owned())
    }

    /// Ends a program.
    ///
    /// # Errors
    ///
    /// Fails when no entry ends it in time.
    pub async fn end_program(&mut self, program: &str) -> anyhow::Result<Value> {
        let path = format!("/v1/programs/{program}");
        let (reply, _) = self.request("DELETE", &path, &[], "").await?;
        anyhow::ensure!(
            reply.status == 200,
            "end refused: {} {}",
            reply.status,
            reply.text()
        );
        reply.decode()
    }

    /// Reads the history that the system holds.
    ///
    /// # Errors
    ///
    /// Fails when no entry answers in time.
    pub async fn read_history(&mut self, program: &str) -> anyhow::Result<Vec<PromptMessage>> {
        let path = format!("/v1/programs/{program}/history");
        let (reply, _) = self.request("GET", &path, &[], "").await?;
        let mut history: Value = reply.decode()?;
        serde_json::from_value(history["messages"].take()).context("decoding a history")
    }

    /// Takes a turn and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the turn is refused for good or gets no answer in time.
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
            "turn refused: {} {}",
            reply.status,
            reply.text()
        );
        let completion: Value = reply.decode()?;
        let text = completion["choices"][0]["message"]["content"].as_str();
        Ok(TurnAnswer {
            text: text.context("no content")?.to_owned(),
            retried,
            usage: completion["usage"].clone(),
        })
    }

    /// Calls a tool or plain service and returns its answer.
    ///
    /// # Errors
    ///
    /// Fails when the call is refused for good or gets no answer in time.
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

    /// Takes a turn as a stream, which it resumes after a loss at the offset that it holds.
    ///
    /// # Errors
    ///
    /// Fails when the turn is refused for good, breaks or does not end in time.
    pub async fn stream_turn(&mut self, turn: &TurnRequest) -> anyhow::Result<TurnAnswer> {
        let until = Instant::now() + self.retry_period;
        let mut answer = StreamedAnswer::default();
        let mut retried = false;
        loop {
            let failure = match self.read_stream(turn, &mut answer).await {
                Ok(()) if answer.done => {
                    return Ok(TurnAnswer {
                        text: answer.text,
                        retried,
                        usage: answer.usage,
                    });
                }
                Ok(()) => anyhow::anyhow!("the stream ended early"),
                Err(error) => error,
            };
            if Instant::now() > until || answer.broken {
                return Err(failure.context(format!("after {} bytes", answer.text.len())));
            }
            retried = true;
            self.next_entry();
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
        let response = tokio::time::timeout(SILENCE_LIMIT, opened)
            .await
            .context("silent")??;
        let status = response.status().as_u16();
        let mut body = response.into_body();
        if status != 200 {
            let text = body.collect().await?.to_bytes();
            answer.broken = !is_worth_retrying(status);
            bail!("status {status} {}", String::from_utf8_lossy(&text));
        }
        let mut pending = Vec::new();
        while !answer.done {
            let frame = tokio::time::timeout(SILENCE_LIMIT, body.frame())
                .await
                .context("silent")?;
            let Some(frame) = frame else { return Ok(()) };
            pending.extend_from_slice(&frame?.into_data().unwrap_or_default());
            while let Some(end) = find_blank_line(&pending) {
                let event: Vec<u8> = pending.drain(..end + 2).collect();
                answer.take_event(&String::from_utf8_lossy(&event))?;
            }
        }
        Ok(())
    }

    /// Sends a request until an entry gives an answer that is not worth a retry.
    ///
    /// # Errors
    ///
    /// Fails when no entry has given one within the retry period, with the last failure.
    pub async fn request(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> anyhow::Result<(HttpReply, bool)> {
        let until = Instant::now() + self.retry_period;
        let mut retried = false;
        loop {
            let url = format!("{}{path}", self.entries[self.preferred]);
            let authorization = [("authorization", self.bearer.as_str())];
            let all = [&authorization, headers].concat();
            let failure = match send_request(method, &url, &all, body).await {
                Ok(reply) if !is_worth_retrying(reply.status) => return Ok((reply, retried)),
                Ok(reply) if Instant::now() > until => return Ok((reply, retried)),
                Ok(_) => None,
                Err(error) => Some(error),
            };
            if let Some(failure) = failure
                && Instant::now() > until
            {
                return Err(failure);
            }
            retried = true;
            self.next_entry();
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    const fn next_entry(&mut self) {
        self.preferred = (self.preferred + 1) % self.entries.len();
    }
}

/// Text of a stream so far.
#[derive(Debug, Default)]
struct StreamedAnswer {
    text: String,
    last_id: String,
    usage: Value,
    done: bool,
    broken: bool,
}

impl StreamedAnswer {
    fn take_event(&mut self, event: &str) -> anyhow::Result<()> {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        if field("event: ") == Some("error") {
            bail!("error event {event}");
        }
        let Some(data) = field("data: ") else {
            return Ok(());
        };
        if data == "[DONE]" {
            self.done = true;
            return Ok(());
        }
        let chunk: Value = serde_json::from_str(data).with_context(|| format!("decoding {data}"))?;
        if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
            self.text.push_str(text);
        }
        if let Some(id) = field("id: ") {
            // An id begins with the byte offset; the rest is the entry's own.
            let offset = id.split_once('-').map_or(id, |(offset, _)| offset);
            if offset != self.text.len().to_string() {
                self.broken = true;
                bail!(
                    "the event's id is {id}, but {} bytes were received",
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

fn find_blank_line(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n")
}

fn is_worth_retrying(status: u16) -> bool {
    matches!(status, 502..=504)
}
