//! Attempts to have one request served by a backend server.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use domain::{BuildKey, RequestContent};
use errors::{CallError, ResultCode};
use http_body_util::{BodyExt as _, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::http::request;
use hyper::http::response;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use ledger::{CRASH_RETENTION_MS, ProgramKey, TurnKey};
use routing::{AttemptLimits, AttemptOutcome, BackendServer, NextStep, RunPolicy, ServerKey, next_step};
use slog::info;
use tokio::time::{timeout, timeout_at};

use crate::answer::AnswerBody;
use crate::crash::{LostRun, investigate};
use crate::dialect::{AnswerKind, AttemptContext};
use crate::limits::AnswerTrace;
use crate::long_answer::LongAnswer;
use crate::memory::CallerConnection;
use crate::models::TurnPrompt;
use crate::outgoing::OutgoingBody;
use crate::permits::{PermitAttempts, PermitOutcome};
use crate::pool::{SendError, ServerAnswer};
use crate::quota::QuotaTicket;
use crate::state::{DirectoryView, EntryState, LoadGuard, PickRequest, PickedServer, whole_millis};

/// Limit on the attempts of one request that fail before a byte is sent, for example on a refused connection.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// Largest body of an answer that is read completely before it is sent to the caller; a longer one is passed on as it
/// arrives. A broken answer of this size can still be repeated.
const BUFFERED_ANSWER_BYTES: usize = 64 * 1024;
/// Largest body of an answer that says only that a request did not run, or of the answer to an order.
const SHORT_ANSWER_BYTES: usize = 16 * 1024;
/// Time in which the rest of a refusal is read, so that its connection can be reused.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Limit on the servers of one request that are asked for a free slot in vain. Afterwards the request is sent to
/// another one without asking.
const MAX_FULL_SERVERS: usize = 3;
/// Timeout for the answer of a server that is asked for a free slot; it takes no slot to answer.
const SLOT_TIMEOUT: Duration = Duration::from_millis(150);

/// Answer of a server that may have been asked for a free slot.
enum SlotAnswer {
    /// The server has reserved a slot.
    Reserved(String),
    /// The server has no free slot.
    Full,
    /// The server says that it leaves.
    Leaving,
    /// The server does not answer.
    Silent,
    /// The server was not asked, cannot be reached or does not reserve slots. An attempt shows what is wrong.
    NotAsked,
}

/// How far a stream is bound to the software that produces its events. What two versions write does not fit together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum VersionBond {
    /// Any software may serve the request.
    Free,
    /// The ledger names this software, and no server has answered yet. Another one may begin the stream once the
    /// ledger names that.
    Claimed(BuildKey),
    /// The stream goes on only at servers with this software.
    Bound(BuildKey),
}

impl VersionBond {
    /// Returns the software that a server must run; `None` if any will do.
    const fn required(self) -> Option<BuildKey> {
        match self {
            Self::Free | Self::Claimed(_) => None,
            Self::Bound(build) => Some(build),
        }
    }
}

/// A request as it is sent to backend servers, with the limits on its attempts.
#[derive(Debug)]
pub(crate) struct RequestPlan {
    pub(crate) method: Method,
    pub(crate) target: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) attempt_id: String,
    pub(crate) content: RequestContent,
    pub(crate) route: String,
    pub(crate) service: String,
    pub(crate) run_policy: RunPolicy,
    pub(crate) affinity: Option<u64>,
    pub(crate) program: Option<ProgramKey>,
    /// Program under which the ledger has the turn, and the turn.
    pub(crate) account: (ProgramKey, TurnKey),
    pub(crate) bond: VersionBond,
    /// Prompt of a turn; `None` for other requests.
    pub(crate) prompt: Option<TurnPrompt>,
    pub(crate) max_attempts: u32,
    pub(crate) deadline: Instant,
    /// Set if the request's workspace has a quota.
    pub(crate) quota: Option<QuotaTicket>,
    /// Number of the last event that the caller has received.
    pub(crate) last_event: Option<u64>,
    /// Id of the attempt that brought the first event of the stream that the caller takes up again.
    pub(crate) resumes: Option<String>,
    /// Connection of the caller, if its memory is bounded.
    pub(crate) connection: Option<Arc<CallerConnection>>,
}

/// Head of a backend server's answer, with the connection from which its body is read.
#[derive(Debug)]
pub(crate) struct AcceptedAnswer {
    pub(crate) head: response::Parts,
    pub(crate) server: ServerKey,
    pub(crate) attempt: SentAttempt,
    pub(crate) answer: ServerAnswer,
    pub(crate) load: LoadGuard,
}

/// The attempt that a server answered.
#[derive(Debug, Clone)]
pub(crate) struct SentAttempt {
    pub(crate) server: Arc<BackendServer>,
    pub(crate) view: DirectoryView,
    /// When the attempt was handed to a connection.
    pub(crate) sent_at: Instant,
    /// Number of prompt tokens that the server is expected to read.
    pub(crate) read_tokens: u64,
}

/// Sends one request to backend servers until one answers or no further attempt is allowed.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    pub(crate) entry: Arc<EntryState>,
    pub(crate) plan: RequestPlan,
    /// Server that was chosen before the request was admitted.
    first: Option<PickedServer>,
    tried: Vec<ServerKey>,
    /// Servers that had no free slot or did not answer when they were asked for one.
    full: Vec<ServerKey>,
    /// Whether servers are still asked for a free slot.
    asks_slots: bool,
    pub(crate) permits: PermitAttempts,
    /// Whether the request is on trial and may be sent to one server.
    pub(crate) may_stand_trial: bool,
    sent: u32,
    unsent: u32,
    was_lost: bool,
}

impl Dispatcher {
    pub(crate) const fn new(entry: Arc<EntryState>, plan: RequestPlan) -> Self {
        Self {
            entry,
            plan,
            first: None,
            tried: Vec::new(),
            full: Vec::new(),
            asks_slots: true,
            permits: PermitAttempts::new(),
            may_stand_trial: false,
            sent: 0,
            unsent: 0,
            was_lost: false,
        }
    }

    /// Returns the number of attempts that sent bytes.
    pub(crate) const fn sent(&self) -> u32 {
        self.sent
    }

    /// Chooses the server that is tried first, so that the ledger can name its software before the stream begins.
    /// Returns that software.
    ///
    /// # Errors
    ///
    /// Fails when no server takes the request.
    pub(crate) fn choose_first(&mut self) -> Result<BuildKey, CallError> {
        let Some(picked) = self.pick() else {
            return Err(self.give_up("no backend server is available for the request"));
        };
        let build = picked.server.build();
        if self.plan.bond == VersionBond::Free {
            self.plan.bond = VersionBond::Claimed(build);
        }
        self.first = Some(picked);
        Ok(build)
    }

    /// Tries backend servers until one answers.
    ///
    /// # Errors
    ///
    /// Fails when no further attempt is allowed. The error states whether the request did not run or its
    /// outcome is unknown.
    pub(crate) async fn dispatch(&mut self) -> Result<AcceptedAnswer, CallError> {
        loop {
            let chosen = self.first.take();
            let chosen = chosen.filter(|picked| self.entry.takes_work(picked.key));
            let Some(picked) = chosen.or_else(|| self.pick()) else {
                if !self.full.is_empty() {
                    self.wait_at_full_server();
                    continue;
                }
                return Err(self.give_up("no further backend server is available for the request"));
            };
            if self.entry.is_convicted(self.plan.content) {
                return Err(self.refuse_convicted());
            }
            let (key, server) = (picked.key, Arc::clone(&picked.server));
            self.obtain_quota().await?;
            match self.obtain_permit(&picked).await {
                PermitOutcome::Ready => {}
                PermitOutcome::TryAnother => continue,
                PermitOutcome::LimitReached { .. } if !self.full.is_empty() => {
                    self.wait_at_full_server();
                    continue;
                }
                PermitOutcome::LimitReached { expected_ms } => return Err(self.limit_reached(expected_ms)),
            }
            let slot = match self.reserve_slot(key, &server).await {
                SlotAnswer::Full | SlotAnswer::Leaving | SlotAnswer::Silent => {
                    self.full.push(key);
                    continue;
                }
                SlotAnswer::Reserved(slot) => Some(slot),
                SlotAnswer::NotAsked => None,
            };
            self.claim_version(&server).await?;
            self.stand_trial().await?;
            // The permit may have expired while the request waited for the server.
            self.obtain_quota().await?;
            self.tried.push(key);
            let view = picked.view;
            let outcome = match self.attempt(picked, slot.as_deref()).await {
                Ok(accepted) => return Ok(accepted),
                Err(outcome) => outcome,
            };
            self.settle_quota(outcome);
            if outcome != AttemptOutcome::NotSent {
                self.may_stand_trial = false;
            }
            self.record_failure(key, &server, view, outcome);
            match next_step(self.plan.run_policy, outcome, self.was_lost, self.limits()) {
                NextStep::TryAnother => {}
                NextStep::RefuseNotRun => return Err(self.give_up("backend servers refused the request")),
                NextStep::ReportUnknown => return Err(self.give_up("no valid answer from a backend server")),
            }
        }
    }

    /// Reads the body of an answer to its end, or the first part of a long one.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks off or the deadline passes before that. The request has run by then.
    pub(crate) async fn collect(
        &mut self,
        accepted: AcceptedAnswer,
    ) -> Result<(response::Parts, AnswerBody), CallError> {
        let AcceptedAnswer {
            head,
            server,
            attempt,
            answer,
            load,
        } = accepted;
        let ServerAnswer { response, lease } = answer;
        let mut body = response.into_body();
        let mut read = BytesMut::new();
        while read.len() <= BUFFERED_ANSWER_BYTES {
            match timeout_at(self.plan.deadline.into(), body.frame()).await {
                Ok(None) => {
                    lease.finish();
                    self.entry.record_success(self.plan.content);
                    let mut answer = read.freeze();
                    if let Some(connection) = &self.plan.connection {
                        answer = connection.hold_answer(answer);
                    }
                    return Ok((head, AnswerBody::full(answer)));
                }
                Ok(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        read.extend_from_slice(&bytes);
                    }
                }
                Ok(Some(Err(_))) => {
                    self.investigate_loss(&attempt.server, attempt.sent_at);
                    return Err(self.lose_answer(server));
                }
                Err(_) => return Err(self.lose_answer(server)),
            }
        }
        let long = LongAnswer {
            entry: Arc::clone(&self.entry),
            attempt_id: self.plan.attempt_id.clone(),
            server_name: attempt.server.name.clone(),
            bytes: read.len(),
            read,
            body,
            lease,
            _load: load,
            deadline: self.plan.deadline,
            connection: self.plan.connection.clone(),
        };
        Ok((head, long.into_body()))
    }

    /// Lets the request wait at one of the full servers: every other one has been tried, is full or has reached its
    /// limit.
    fn wait_at_full_server(&mut self) {
        self.full.clear();
        self.asks_slots = false;
        self.permits.stop_asking();
    }

    /// Finds out in the background whether a server has crashed under the request, which was sent to it at `sent_at`.
    pub(crate) fn investigate_loss(&self, server: &BackendServer, sent_at: Instant) {
        let run = LostRun {
            request: self.plan.attempt_id.clone(),
            content: self.plan.content,
            sent_at,
        };
        investigate(&self.entry, server, run);
    }

    fn lose_answer(&mut self, server: ServerKey) -> CallError {
        self.was_lost = true;
        self.entry.avoid(server);
        self.entry.record_broken_run(&self.plan.service, server);
        CallError::unknown("the answer of the backend server could not be read to its end")
    }

    /// Returns whether the request may be sent to another backend server after an answer that broke off.
    pub(crate) fn may_repeat(&self) -> bool {
        let step = next_step(self.plan.run_policy, AttemptOutcome::Lost, true, self.limits());
        step == NextStep::TryAnother
    }

    fn refuse_convicted(&self) -> CallError {
        if self.was_lost {
            return CallError::unknown("backend servers crash under the request");
        }
        convicted_error()
    }

    /// Reserves a slot at a model server that may have none. A request that waits in a server's queue cannot be
    /// moved, while others may be idle.
    async fn reserve_slot(&mut self, key: ServerKey, server: &BackendServer) -> SlotAnswer {
        let may_ask = self.plan.prompt.is_some() && self.asks_slots && self.full.len() < MAX_FULL_SERVERS;
        // A limited server gets fewer requests than it has slots.
        let may_ask = may_ask && self.entry.limit(key).is_none();
        if !may_ask || !self.entry.may_be_full(&self.plan.service, server.capacity) {
            return SlotAnswer::NotAsked;
        }
        let answer = self.ask_for_slot(server).await;
        let label = match &answer {
            SlotAnswer::Reserved(_) | SlotAnswer::NotAsked => return answer,
            SlotAnswer::Full => "full",
            SlotAnswer::Leaving => {
                self.entry.record_departure(key, &self.plan.attempt_id);
                "leaving"
            }
            SlotAnswer::Silent => {
                self.entry.avoid(key);
                "silent"
            }
        };
        self.entry.metrics.attempts.with_label_values(&[label]).inc();
        if self.entry.line_limiter.try_acquire() {
            info!(self.entry.log, "no slot reserved"; "request" => &self.plan.attempt_id, "server" => &server.name,
                "outcome" => label, "asked" => self.full.len() + 1);
        }
        answer
    }

    async fn ask_for_slot(&self, server: &BackendServer) -> SlotAnswer {
        let (path, body) = self.entry.dialect.slot_request();
        let mut request = Request::new(OutgoingBody::new(body, None));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(path);
        let headers = request.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(host) = HeaderValue::from_str(&server.address.to_string()) {
            headers.insert(HOST, host);
        }
        let limit = self.plan.deadline.min(Instant::now() + SLOT_TIMEOUT);
        let sending = self.entry.pool.send(server, request);
        let answer = match timeout_at(limit.into(), sending).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => return SlotAnswer::NotAsked,
            Err(_) => return SlotAnswer::Silent,
        };
        let ServerAnswer { response, lease } = answer;
        let status = response.status();
        if self.entry.dialect.is_leaving(response.headers()) {
            return SlotAnswer::Leaving;
        }
        let reading = Limited::new(response.into_body(), SHORT_ANSWER_BYTES).collect();
        let Ok(Ok(body)) = timeout_at(limit.into(), reading).await else {
            return SlotAnswer::NotAsked;
        };
        lease.finish();
        if status == StatusCode::SERVICE_UNAVAILABLE {
            return SlotAnswer::Full;
        }
        let slot = self.entry.dialect.parse_slot(&body.to_bytes());
        slot.filter(|_| status.is_success())
            .map_or(SlotAnswer::NotAsked, SlotAnswer::Reserved)
    }

    /// Has the ledger name the server's software if it names another one.
    async fn claim_version(&mut self, server: &BackendServer) -> Result<(), CallError> {
        let build = server.build();
        let VersionBond::Claimed(claimed) = self.plan.bond else {
            return Ok(());
        };
        if claimed == build {
            return Ok(());
        }
        let (program, turn) = self.plan.account;
        let moving = self.entry.ledger.move_stream(program, turn, build);
        let moved = timeout_at(self.plan.deadline.into(), moving).await;
        let is_moved = matches!(moved, Ok(Ok(())));
        if self.entry.line_limiter.try_acquire() {
            info!(self.entry.log, "stream begins at another version"; "request" => &self.plan.attempt_id,
                "server" => &server.name, "version" => &server.software_version, "recorded" => is_moved);
        }
        if is_moved {
            self.plan.bond = VersionBond::Bound(build);
            return Ok(());
        }
        if self.was_lost {
            return Err(CallError::unknown(
                "the ledger hosts did not record the version of the stream",
            ));
        }
        Err(CallError::not_run(
            ResultCode::LedgerUnavailable,
            "the ledger hosts did not record the version of the stream",
        ))
    }

    fn pick(&self) -> Option<PickedServer> {
        let excluded: Vec<ServerKey> = self.tried.iter().chain(&self.full).copied().collect();
        self.entry.pick(PickRequest {
            service: &self.plan.service,
            affinity: self.plan.affinity,
            program: self.plan.program,
            prompt: self.plan.prompt,
            tried: &excluded,
            build: self.plan.bond.required(),
            max_wait_ms: self.permits.may_ask().then(|| self.max_permit_wait_ms()),
            left_ms: self.limits().left_ms,
        })
    }

    fn limits(&self) -> AttemptLimits {
        let left = self.plan.deadline.saturating_duration_since(Instant::now());
        AttemptLimits {
            sent: self.sent,
            max_sent: self.plan.max_attempts,
            unsent: self.unsent,
            max_unsent: MAX_UNSENT_ATTEMPTS,
            left_ms: whole_millis(left),
        }
    }

    pub(crate) fn give_up(&self, cause: &str) -> CallError {
        let is_late = self.plan.deadline <= Instant::now();
        match (self.was_lost, is_late) {
            (true, false) => CallError::unknown(cause),
            (_, true) => CallError::unknown("the deadline of the request has passed"),
            (false, false) if self.sent == 0 => CallError::not_run(ResultCode::NoBackendServer, cause),
            (false, false) => CallError::not_run(ResultCode::BackendRefused, cause),
        }
    }

    fn record_failure(
        &mut self,
        key: ServerKey,
        server: &BackendServer,
        view: DirectoryView,
        outcome: AttemptOutcome,
    ) {
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
        if self.entry.line_limiter.try_acquire() {
            info!(self.entry.log, "attempt failed"; "request" => &self.plan.attempt_id, "server" => &server.name,
                "address" => %server.address, "outcome" => label, "sent" => self.sent,
                "content" => %self.plan.content.whole, "directory" => view.revision, "registered" => view.is_registered);
        }
    }

    async fn attempt(
        &mut self,
        picked: PickedServer,
        slot: Option<&str>,
    ) -> Result<AcceptedAnswer, AttemptOutcome> {
        let PickedServer {
            key,
            server,
            load,
            view,
            read_tokens,
            ..
        } = picked;
        let sent_at = Instant::now();
        let sent_at_ms = self.entry.now_ms();
        let left = self.plan.deadline.saturating_duration_since(sent_at);
        let request = self.request(&server, left, slot);
        let is_stream = self.plan.prompt.is_some();
        let mut watch = self.entry.watch_run(&self.plan.service, key, is_stream);
        let sending = self.entry.pool.send(&server, request);
        let answer = match timeout_at(self.plan.deadline.into(), sending).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(SendError::NotSent(_))) => {
                watch.fail();
                return Err(AttemptOutcome::NotSent);
            }
            Ok(Err(SendError::Lost(_))) => {
                watch.fail();
                self.use_quota();
                self.investigate_loss(&server, sent_at);
                return Err(AttemptOutcome::Lost);
            }
            Err(_) => return Err(AttemptOutcome::Lost),
        };
        let status = answer.response.status();
        let headers = answer.response.headers();
        let kind = self
            .entry
            .dialect
            .classify(status, headers, &self.plan.attempt_id);
        let is_from_server = matches!(kind, AnswerKind::Answered | AnswerKind::Refused);
        if is_from_server && self.entry.dialect.is_leaving(headers) {
            self.entry.record_departure(key, &self.plan.attempt_id);
        }
        if is_from_server {
            let notice = self.entry.dialect.limit_notice(headers);
            let trace = AnswerTrace {
                request: &self.plan.attempt_id,
                sent_at_ms,
            };
            self.entry.record_limit(key, &server, notice, trace);
        }
        match kind {
            AnswerKind::Answered if status.is_server_error() => watch.fail(),
            AnswerKind::Answered => watch.answer(),
            // The connection may deliver the answer to an earlier request instead of the expected one.
            AnswerKind::Foreign => {
                watch.fail();
                self.use_quota();
                return Err(AttemptOutcome::Lost);
            }
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
        self.may_stand_trial = false;
        self.use_quota();
        if let VersionBond::Claimed(build) = self.plan.bond {
            self.plan.bond = VersionBond::Bound(build);
        }
        self.entry.metrics.attempts.with_label_values(&["answered"]).inc();
        self.record_session(key, &server);
        let mut head = response::Response::new(()).into_parts().0;
        head.status = status;
        head.headers = headers.clone();
        Ok(AcceptedAnswer {
            head,
            server: key,
            attempt: SentAttempt {
                server,
                view,
                sent_at,
                read_tokens,
            },
            answer,
            load,
        })
    }

    /// Records which server holds the session, and why it has changed.
    fn record_session(&self, key: ServerKey, server: &BackendServer) {
        let before = self
            .entry
            .record_affinity(self.plan.affinity, self.plan.program, key);
        let Some(before) = before else { return };
        let cause = self.entry.move_cause(before, key, &self.tried);
        self.entry.metrics.session_moves.with_label_values(&[cause]).inc();
        if before != key && self.entry.line_limiter.try_acquire() {
            info!(self.entry.log, "session changed its server"; "request" => &self.plan.attempt_id,
                "server" => &server.name, "cause" => cause);
        }
    }

    fn request(&self, server: &BackendServer, left: Duration, slot: Option<&str>) -> Request<OutgoingBody> {
        let mut parts = request::Request::new(()).into_parts().0;
        parts.method = self.plan.method.clone();
        parts.uri = Uri::from(self.plan.target.clone());
        parts.headers = self.plan.headers.clone();
        let context = AttemptContext {
            server_name: &server.name,
            left,
            last_event: self.plan.last_event,
            slot,
        };
        self.entry
            .dialect
            .add_attempt_headers(&mut parts.headers, context);
        let permit = self.plan.quota.as_ref().and_then(QuotaTicket::mark);
        Request::from_parts(parts, OutgoingBody::new(self.plan.body.clone(), permit))
    }
}

/// Returns the error of a request that is sent to no server because servers crash under it. It may be tried again when
/// the crashes are forgotten.
pub(crate) fn convicted_error() -> CallError {
    let message = "backend servers crash under the request";
    CallError::not_run(ResultCode::ServersCrash, message).with_retry_after_ms(CRASH_RETENTION_MS)
}

/// Reads the short body of a refusal in the background, so that its connection can be reused.
fn finish_refusal(answer: ServerAnswer) {
    tokio::spawn(async move {
        let ServerAnswer { response, lease } = answer;
        let reading = Limited::new(response.into_body(), SHORT_ANSWER_BYTES).collect();
        if let Ok(Ok(_)) = timeout(REFUSAL_TIMEOUT, reading).await {
            lease.finish();
        }
    });
}
