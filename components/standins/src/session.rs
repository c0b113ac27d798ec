//! One agent program run by its caller, which checks every answer against its own copy of the history.

use anyhow::{Context as _, ensure};
use serde_json::Value;

use crate::caller::{TeamCaller, TurnRequest};
use crate::engine::{PromptMessage, expected_answer, prompt_hash};

/// Largest number of tokens to generate that each turn requests.
const MAX_TOKENS: u64 = 400;

/// Counts that a caller keeps of one program.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SessionTally {
    /// Calls made, each counted once whatever its retries.
    pub calls: u64,
    /// Answered calls whose request was sent more than once.
    pub retried: u64,
    /// Calls without a successful answer, and messages missing from the history.
    pub lost: u64,
    /// Answers and histories with other content than expected, such as that of another program.
    pub mixed: u64,
    /// Price charged for the program, in micro-units, as the entry returned it when the program ended.
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
    /// Starts a program whose turns go to the model service `model`.
    ///
    /// # Errors
    ///
    /// Fails when no entry starts the program.
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

    /// Returns the caller, for example to send further requests for the same team.
    pub const fn caller(&self) -> &TeamCaller {
        &self.caller
    }

    /// Returns the counts so far; `charged` is 0 until the program has ended.
    pub const fn tally(&self) -> SessionTally {
        self.tally
    }

    /// Returns the caller's copy of the history: the messages sent and received.
    pub fn history(&self) -> &[PromptMessage] {
        &self.history
    }

    /// Takes a turn whose answer has `tokens` tokens and returns that answer.
    ///
    /// # Errors
    ///
    /// Fails when no answer is received or it is not the one expected for this program's history.
    pub async fn turn(&mut self, role: &str, text: &str, tokens: u64) -> anyhow::Result<String> {
        self.take_checked_turn(role, text, tokens, false).await
    }

    /// Takes a turn as [`Self::turn`] does, but as a stream.
    ///
    /// # Errors
    ///
    /// Fails when no answer is received or it is not the one expected for this program's history.
    pub async fn stream(&mut self, role: &str, text: &str, tokens: u64) -> anyhow::Result<String> {
        self.take_checked_turn(role, text, tokens, true).await
    }

    async fn take_checked_turn(
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
        let answer = answered.with_context(|| format!("call {} of program {}", turn.key, self.program))?;
        self.tally.retried += u64::from(answer.retried);
        let expected = expected_answer(&prompt_hash(&self.history), tokens);
        self.tally.mixed += u64::from(answer.text != expected);
        ensure!(
            answer.text == expected,
            "program {}: received answer {:?}, expected {expected:?}",
            self.program,
            answer.text
        );
        self.history.push(PromptMessage {
            role: "assistant".to_owned(),
            content: answer.text.clone(),
        });
        Ok(answer.text)
    }

    /// Calls a tool or plain service at `path` and returns the body that the stand-in echoed.
    ///
    /// # Errors
    ///
    /// Fails when no answer is received or the echo differs from `body`.
    pub async fn call_service(&mut self, path: &str, body: &Value) -> anyhow::Result<Value> {
        let key = self.next_key();
        let answered = self.caller.call_service(&self.program, &key, path, body).await;
        self.tally.lost += u64::from(answered.is_err());
        let (reply, retried) = answered.with_context(|| format!("call {key} of program {}", self.program))?;
        self.tally.retried += u64::from(retried);
        self.tally.lost += u64::from(reply.status != 200);
        ensure!(
            reply.status == 200,
            "program {}: call refused with status {}: {}",
            self.program,
            reply.status,
            reply.text()
        );
        let mut answer: Value = reply.decode()?;
        let echo = answer["echo"].take();
        self.tally.mixed += u64::from(echo != *body);
        ensure!(
            echo == *body,
            "program {}: received echo {echo}, expected {body}",
            self.program
        );
        Ok(echo)
    }

    /// Checks the history as [`Self::check_history`] does, ends the program and returns the final counts.
    ///
    /// # Errors
    ///
    /// Fails when the histories differ or the program cannot be ended.
    pub async fn finish(mut self) -> anyhow::Result<SessionTally> {
        self.check_history().await?;
        let program = self.caller.end_program(&self.program).await?;
        self.tally.charged = program["charged"].as_u64().unwrap_or_default();
        Ok(self.tally)
    }

    /// Compares the history that an entry returns with the caller's copy.
    ///
    /// # Errors
    ///
    /// Fails when no entry returns the history or the two differ.
    pub async fn check_history(&mut self) -> anyhow::Result<()> {
        let fetched = self.caller.fetch_history(&self.program).await?;
        let missing = self.history.len().saturating_sub(fetched.len());
        self.tally.lost += missing as u64;
        let differs = fetched
            .iter()
            .zip(&self.history)
            .any(|(fetched, own)| fetched != own);
        self.tally.mixed += u64::from(differs || fetched.len() > self.history.len());
        ensure!(
            fetched == self.history,
            "program {}: fetched history {fetched:?}, expected {:?}",
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
