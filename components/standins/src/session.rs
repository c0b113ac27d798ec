//! One agent program as its caller plays it, with the caller's own record of what is right.

use anyhow::{Context as _, ensure};
use serde_json::Value;

use crate::caller::{TeamCaller, TurnRequest};
use crate::engine::{PromptMessage, expected_answer, prompt_hash};

const MAX_TOKENS: u64 = 400;

/// What a caller saw of one program.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SessionTally {
    /// Calls made.
    pub calls: u64,
    /// Calls that the caller had to ask for more than once.
    pub retried: u64,
    /// Answers or messages that were lost.
    pub lost: u64,
    /// Answers or messages that belong to something else.
    pub mixed: u64,
    /// Price as the system stated it at the end, in micro-units.
    pub charged: u64,
}

/// One agent program and its caller.
#[derive(Debug)]
pub struct ProgramSession {
    caller: TeamCaller,
    model: String,
    program: String,
    history: Vec<PromptMessage>,
    tally: SessionTally,
}

impl ProgramSession {
    /// Starts a program whose turns go to the model.
    ///
    /// # Errors
    ///
    /// Fails when no entry starts it.
    pub async fn start(
        mut caller: TeamCaller,
        model: &str,
        urgency: &str,
        parent: Option<&str>,
    ) -> anyhow::Result<Self> {
        let program = caller.start_program(urgency, parent).await?;
        Ok(Self {
            caller,
            model: model.to_owned(),
            program,
            history: Vec::new(),
            tally: SessionTally::default(),
        })
    }

    /// Returns the program's id.
    pub fn program(&self) -> &str {
        &self.program
    }

    /// Returns the caller.
    pub const fn caller(&self) -> &TeamCaller {
        &self.caller
    }

    /// Returns what the caller saw so far.
    pub const fn tally(&self) -> SessionTally {
        self.tally
    }

    /// Returns the messages that the caller sent and received.
    pub fn history(&self) -> &[PromptMessage] {
        &self.history
    }

    /// Takes a turn of `tokens` tokens and returns the answer.
    ///
    /// # Errors
    ///
    /// Fails when the answer is lost or is not the one to this program's history.
    pub async fn turn(&mut self, role: &str, text: &str, tokens: u64) -> anyhow::Result<String> {
        self.play_turn(role, text, tokens, false).await
    }

    /// Takes a turn as a stream.
    ///
    /// # Errors
    ///
    /// Fails when the answer is lost or is not the one to this program's history.
    pub async fn stream(&mut self, role: &str, text: &str, tokens: u64) -> anyhow::Result<String> {
        self.play_turn(role, text, tokens, true).await
    }

    async fn play_turn(
        &mut self,
        role: &str,
        text: &str,
        tokens: u64,
        stream: bool,
    ) -> anyhow::Result<String> {
        let message = PromptMessage {
            role: role.to_owned(),
            content: format!("{text} [tokens={tokens}]"),
        };
        let turn = TurnRequest {
            program: self.program.clone(),
            key: self.next_key(),
            model: self.model.clone(),
            messages: vec![message.clone()],
            max_tokens: MAX_TOKENS,
        };
        self.history.push(message);
        let answered = if stream {
            self.caller.stream_turn(&turn).await
        } else {
            self.caller.take_turn(&turn).await
        };
        self.tally.lost += u64::from(answered.is_err());
        let answer = answered.with_context(|| format!("call {} of {}", turn.key, self.program))?;
        self.tally.retried += u64::from(answer.retried);
        let expected = expected_answer(&prompt_hash(&self.history), tokens);
        self.tally.mixed += u64::from(answer.text != expected);
        ensure!(
            answer.text == expected,
            "{}: {:?} in place of {expected:?}",
            self.program,
            answer.text
        );
        self.history.push(PromptMessage {
            role: "assistant".to_owned(),
            content: answer.text.clone(),
        });
        Ok(answer.text)
    }

    /// Calls a tool or plain service at `path` and returns its echo of the body.
    ///
    /// # Errors
    ///
    /// Fails when the answer is lost or belongs to another request.
    pub async fn call_service(&mut self, path: &str, body: &Value) -> anyhow::Result<Value> {
        let key = self.next_key();
        let answered = self.caller.call_service(&self.program, &key, path, body).await;
        self.tally.lost += u64::from(answered.is_err());
        let (reply, retried) = answered.with_context(|| format!("call {key} of {}", self.program))?;
        self.tally.retried += u64::from(retried);
        self.tally.lost += u64::from(reply.status != 200);
        ensure!(
            reply.status == 200,
            "{}: {} {}",
            self.program,
            reply.status,
            reply.text()
        );
        let mut answer: Value = reply.decode()?;
        let echo = answer["echo"].take();
        self.tally.mixed += u64::from(echo != *body);
        ensure!(echo == *body, "{}: {echo} in place of {body}", self.program);
        Ok(echo)
    }

    /// Compares the history that the system holds with the caller's own, and ends the program.
    ///
    /// # Errors
    ///
    /// Fails when they differ or the program cannot be ended.
    pub async fn finish(mut self) -> anyhow::Result<SessionTally> {
        self.check_history().await?;
        let program = self.caller.end_program(&self.program).await?;
        self.tally.charged = program["charged"].as_u64().unwrap_or_default();
        Ok(self.tally)
    }

    /// Compares the history that the system holds with the caller's own.
    ///
    /// # Errors
    ///
    /// Fails when they differ.
    pub async fn check_history(&mut self) -> anyhow::Result<()> {
        let held = self.caller.read_history(&self.program).await?;
        let missing = self.history.len().saturating_sub(held.len());
        self.tally.lost += missing as u64;
        let differs = held.iter().zip(&self.history).any(|(held, own)| held != own);
        self.tally.mixed += u64::from(differs || held.len() > self.history.len());
        ensure!(
            held == self.history,
            "{}: history {held:?} in place of {:?}",
            self.program,
            self.history
        );
        Ok(())
    }

    fn next_key(&mut self) -> String {
        self.tally.calls += 1;
        format!("{}-call-{}", self.program, self.tally.calls)
    }
}
