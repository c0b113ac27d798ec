//! Attempts of one request at backend servers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use errors::{CallError, ResultCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::http::request;
use hyper::http::response;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Request, Uri};
use ledger::ProgramKey;
use routing::{AttemptLimits, AttemptOutcome, BackendServer, NextStep, RunPolicy, ServerKey, next_step};
use slog::info;
use tokio::time::timeout_at;

use crate::dialect::{AnswerKind, AttemptContext};
use crate::pool::{SendError, ServerAnswer};
use crate::state::{EntryState, LoadGuard, PickRequest, whole_millis};

/// Servers that may refuse a connection before the request is given up.
const MAX_UNSENT: u32 = 4;
/// Largest answer that is collected before it is passed on.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// A request as it goes to backend servers.
#[derive(Debug)]
pub(crate) struct RequestPlan {
    pub(crate) method: Method,
    pub(crate) target: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) attempt_id: String,
    pub(crate) route: String,
    pub(crate) service: String,
    pub(crate) run_policy: RunPolicy,
    pub(crate) affinity: Option<u64>,
    pub(crate) program: Option<ProgramKey>,
    pub(crate) max_attempts: u32,
    pub(crate) deadline: Instant,
    /// Number of the last event that the caller has.
    pub(crate) last_event: Option<u64>,
}

/// The head of a backend server's answer with the means to read the rest.
#[derive(Debug)]
pub(crate) struct AcceptedAnswer {
    pub(crate) head: response::Parts,
    pub(crate) server: ServerKey,
    pub(crate) server_name: String,
    pub(crate) answer: ServerAnswer,
    pub(crate) load: LoadGuard,
}

/// Sends one request until a backend server answers or nothing more may be tried.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    pub(crate) entry: Arc<EntryState>,
    pub(crate) plan: RequestPlan,
    tried: Vec<ServerKey>,
    sent: u32,
    unsent: u32,
    was_lost: bool,
}

impl Dispatcher {
    pub(crate) const fn new(entry: Arc<EntryState>, plan: RequestPlan) -> Self {
        Self {
            entry,
            plan,
            tried: Vec::new(),
            sent: 0,
            unsent: 0,
            was_lost: false,
        }
    }

    /// Returns the attempts at which bytes were sent.
    pub(crate) const fn sent(&self) -> u32 {
        self.sent
    }

    /// Tries backend servers until one answers.
    ///
    /// # Errors
    ///
    /// Fails with what is true of the request: not run, or outcome unknown.
    pub(crate) async fn answer(&mut self) -> Result<AcceptedAnswer, CallError> {
        loop {
            let Some((key, server, load)) = self.pick() else {
                return Err(self.give_up("no further backend server takes the request"));
            };
            self.tried.push(key);
            let outcome = match self.attempt(key, &server, load).await {
                Ok(accepted) => return Ok(accepted),
                Err(outcome) => outcome,
            };
            self.note(key, &server, outcome);
            match next_step(self.plan.run_policy, outcome, self.was_lost, self.limits()) {
                NextStep::TryAnother => {}
                NextStep::RefuseNotRun => return Err(self.give_up("backend servers refused the request")),
                NextStep::ReportUnknown => return Err(self.give_up("a backend server gave no answer")),
            }
        }
    }

    /// Reads the whole body of an answer.
    ///
    /// # Errors
    ///
    /// Fails when the body breaks off, is too large or is late; the request has run.
    pub(crate) async fn collect(
        &mut self,
        accepted: AcceptedAnswer,
    ) -> Result<(response::Parts, Bytes), CallError> {
        let AcceptedAnswer {
            head,
            server,
            answer,
            load,
            ..
        } = accepted;
        let body = Limited::new(answer.response.into_body(), MAX_ANSWER_BYTES).collect();
        let collected = timeout_at(self.plan.deadline.into(), body).await;
        drop(load);
        if let Ok(Ok(body)) = collected {
            answer.lease.finish();
            return Ok((head, body.to_bytes()));
        }
        self.was_lost = true;
        self.entry.avoid(server);
        Err(CallError::unknown("the answer of the backend server broke off"))
    }

    /// Returns whether another backend server may take the request after its answer broke off.
    pub(crate) fn may_repeat(&self) -> bool {
        let step = next_step(self.plan.run_policy, AttemptOutcome::Lost, true, self.limits());
        step == NextStep::TryAnother
    }

    fn pick(&self) -> Option<(ServerKey, Arc<BackendServer>, LoadGuard)> {
        self.entry.pick(PickRequest {
            service: &self.plan.service,
            affinity: self.plan.affinity,
            program: self.plan.program,
            tried: &self.tried,
        })
    }

    fn limits(&self) -> AttemptLimits {
        let left = self.plan.deadline.saturating_duration_since(Instant::now());
        AttemptLimits {
            sent: self.sent,
            max_sent: self.plan.max_attempts,
            unsent: self.unsent,
            max_unsent: MAX_UNSENT,
            left_ms: whole_millis(left),
        }
    }

    fn give_up(&self, cause: &str) -> CallError {
        let is_late = self.plan.deadline <= Instant::now();
        match (self.was_lost, is_late) {
            (true, false) => CallError::unknown(cause),
            (_, true) => CallError::unknown("the time for the request is over"),
            (false, false) if self.sent == 0 => CallError::not_run(ResultCode::NoBackendServer, cause),
            (false, false) => CallError::not_run(ResultCode::BackendRefused, cause),
        }
    }

    fn note(&mut self, key: ServerKey, server: &BackendServer, outcome: AttemptOutcome) {
        let label = match outcome {
            AttemptOutcome::NotSent => "not-sent",
            AttemptOutcome::Refused => "refused",
            AttemptOutcome::WrongServer => "wrong-server",
            AttemptOutcome::Lost => "lost",
        };
        match outcome {
            AttemptOutcome::NotSent => self.unsent += 1,
            AttemptOutcome::Refused | AttemptOutcome::WrongServer => self.sent += 1,
            AttemptOutcome::Lost => {
                self.sent += 1;
                self.was_lost = true;
            }
        }
        self.entry.avoid(key);
        self.entry.metrics.attempts.with_label_values(&[label]).inc();
        if self.entry.lines.take() {
            info!(self.entry.log, "attempt failed"; "request" => &self.plan.attempt_id, "server" => &server.name,
                "address" => %server.address, "outcome" => label, "sent" => self.sent);
        }
    }

    async fn attempt(
        &mut self,
        key: ServerKey,
        server: &BackendServer,
        load: LoadGuard,
    ) -> Result<AcceptedAnswer, AttemptOutcome> {
        let left = self.plan.deadline.saturating_duration_since(Instant::now());
        let request = self.request(server, left);
        let sending = self.entry.pool.send(server.address, request);
        let answer = match timeout_at(self.plan.deadline.into(), sending).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(SendError::NotSent(_))) => return Err(AttemptOutcome::NotSent),
            Ok(Err(SendError::Lost(_))) | Err(_) => return Err(AttemptOutcome::Lost),
        };
        let status = answer.response.status();
        let headers = answer.response.headers();
        match self
            .entry
            .dialect
            .classify(status, headers, &self.plan.attempt_id)
        {
            AnswerKind::Answered => {}
            // The answer to an earlier request may arrive in place of the expected one.
            AnswerKind::Foreign => return Err(AttemptOutcome::Lost),
            AnswerKind::Refused => {
                finish_refusal(answer);
                return Err(AttemptOutcome::Refused);
            }
            AnswerKind::WrongServer => {
                finish_refusal(answer);
                return Err(AttemptOutcome::WrongServer);
            }
        }
        self.sent += 1;
        self.entry.metrics.attempts.with_label_values(&["answered"]).inc();
        self.entry.remember(self.plan.affinity, self.plan.program, key);
        let mut head = response::Response::new(()).into_parts().0;
        head.status = status;
        head.headers = headers.clone();
        Ok(AcceptedAnswer {
            head,
            server: key,
            server_name: server.name.clone(),
            answer,
            load,
        })
    }

    fn request(&self, server: &BackendServer, left: Duration) -> Request<Full<Bytes>> {
        let mut parts = request::Request::new(()).into_parts().0;
        parts.method = self.plan.method.clone();
        parts.uri = Uri::from(self.plan.target.clone());
        parts.headers = self.plan.headers.clone();
        let context = AttemptContext {
            server_name: &server.name,
            left,
            last_event: self.plan.last_event,
        };
        self.entry
            .dialect
            .add_attempt_headers(&mut parts.headers, context);
        Request::from_parts(parts, Full::new(self.plan.body.clone()))
    }
}

/// Reads the short body of a refusal, so that its connection can be used again.
fn finish_refusal(answer: ServerAnswer) {
    tokio::spawn(async move {
        let ServerAnswer { response, lease } = answer;
        if response.into_body().collect().await.is_ok() {
            lease.finish();
        }
    });
}
