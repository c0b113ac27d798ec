//! Plays one program as its caller and records the result.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context as _, bail};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::workload::{MAX_TOKENS, ProgramPlan, TurnPlan, WorkloadKind};
use crate::client::send_request;

/// Timeout of one request, including its retries.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);
/// Limit of the delay before a refused request is retried.
const MAX_RETRY_DELAY_MS: u64 = 1_000;
/// Delay before the next entry is tried after a connection failed.
const CONNECT_RETRY_DELAY_MS: u64 = 100;

/// Result of one program.
#[derive(Debug, Clone, Default)]
pub(super) struct ProgramResult {
    /// Urgency class of the program.
    pub(super) urgency: &'static str,
    /// Time from the program's arrival to its last answer; `None` if a request failed and the program was
    /// abandoned.
    pub(super) latency_ms: Option<u64>,
    /// Whether the program had a deadline.
    pub(super) has_deadline: bool,
    /// Whether it finished, and before its deadline if it had one.
    pub(super) in_time: bool,
    /// Number of refusals and failures by result code; 0 stands for no answer or an answer without a code.
    pub(super) refusals: BTreeMap<u64, u64>,
}

/// A caller of one team, which plays one program.
#[derive(Debug, Clone)]
pub(super) struct MeasureCaller {
    kind: WorkloadKind,
    entries: Vec<String>,
    preferred: usize,
    refusals: BTreeMap<u64, u64>,
}

impl MeasureCaller {
    /// Creates a caller that sends its first request to the entry at the index `preferred`, modulo their
    /// number.
    pub(super) fn new(kind: WorkloadKind, entries: Vec<String>, preferred: usize) -> Self {
        let preferred = preferred % entries.len();
        Self {
            kind,
            entries,
            preferred,
            refusals: BTreeMap::new(),
        }
    }

    /// Plays a program of the run that began at `start`.
    pub(super) async fn play(mut self, plan: ProgramPlan, start: Instant) -> ProgramResult {
        tokio::time::sleep_until(start + Duration::from_millis(plan.arrival_ms)).await;
        let started = Instant::now();
        let result = self.play_turns(&plan).await;
        let latency_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        ProgramResult {
            urgency: plan.urgency,
            latency_ms: result.is_ok().then_some(latency_ms),
            has_deadline: plan.deadline_ms.is_some(),
            in_time: result.is_ok() && plan.deadline_ms.is_none_or(|deadline| latency_ms <= deadline),
            refusals: self.refusals,
        }
    }

    async fn play_turns(&mut self, plan: &ProgramPlan) -> anyhow::Result<()> {
        let deadline = plan.deadline_ms.map(|millis| epoch_ms() + millis);
        let program = self.start_program(plan.urgency, deadline, None).await?;
        for (number, turn) in plan.turns.iter().enumerate() {
            self.take_turn(&program, number, turn).await?;
            let is_last = number + 1 == plan.turns.len();
            if turn.sub_agent {
                let child = self.start_program(plan.urgency, deadline, Some(&program)).await?;
                self.take_turn(&child, 0, turn).await?;
                self.take_turn(&child, 1, turn).await?;
                self.end_program(&child).await?;
            }
            if !is_last {
                tokio::time::sleep(Duration::from_millis(turn.pause_ms)).await;
            }
        }
        self.end_program(&program).await
    }

    async fn start_program(
        &mut self,
        urgency: &str,
        deadline: Option<u64>,
        parent: Option<&str>,
    ) -> anyhow::Result<String> {
        let body = json!({"urgency": urgency, "deadline": deadline, "parent": parent}).to_string();
        let program = self.request("POST", "/v1/programs", &[], &body).await?;
        Ok(program["program"]
            .as_str()
            .context("the answer has no program id")?
            .to_owned())
    }

    async fn end_program(&mut self, program: &str) -> anyhow::Result<()> {
        let path = format!("/v1/programs/{program}");
        self.request("DELETE", &path, &[], "").await.map(drop)
    }

    async fn take_turn(&mut self, program: &str, number: usize, turn: &TurnPlan) -> anyhow::Result<()> {
        let words = vec!["word"; usize::try_from(turn.words).unwrap_or(1)].join(" ");
        let content = format!("{words} [tokens={}]", turn.tokens);
        let body = json!({
            "model": self.kind.model(), "messages": [{"role": "user", "content": content}],
            "max_tokens": MAX_TOKENS, "stream": false,
        });
        let body = body.to_string();
        let key = format!("{program}-turn-{number}");
        let headers = [("azuretide-program", program), ("idempotency-key", key.as_str())];
        let sent = self.request("POST", "/v1/chat/completions", &headers, &body);
        sent.await.map(drop)
    }

    /// Sends a request, and retries it at the next entry until it is answered, refused without a Retry-After
    /// delay, or timed out.
    async fn request(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> anyhow::Result<Value> {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let bearer = format!("Bearer {}", self.kind.team_key());
        let all = [&[("authorization", bearer.as_str())], headers].concat();
        while Instant::now() < deadline {
            let url = format!("{}{path}", self.entries[self.preferred]);
            let retry_ms = match send_request(method, &url, &all, body).await {
                Ok(reply) if reply.status < 300 => return reply.decode(),
                Ok(reply) => {
                    let error: Value = reply.decode().unwrap_or_default();
                    let code = error["error"]["code"].as_u64().unwrap_or_default();
                    *self.refusals.entry(code).or_default() += 1;
                    let retry_ms = error["error"]["retry_after_ms"].as_u64();
                    retry_ms
                        .with_context(|| format!("refused without a Retry-After delay: {}", reply.text()))?
                }
                Err(_) => {
                    *self.refusals.entry(0).or_default() += 1;
                    CONNECT_RETRY_DELAY_MS
                }
            };
            self.preferred = (self.preferred + 1) % self.entries.len();
            tokio::time::sleep(Duration::from_millis(retry_ms.min(MAX_RETRY_DELAY_MS))).await;
        }
        bail!(
            "no answer to {method} {path} within {} s",
            REQUEST_TIMEOUT.as_secs()
        )
    }
}

fn epoch_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
