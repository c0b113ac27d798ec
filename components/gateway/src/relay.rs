//! Relays a backend server's event stream to the caller.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http_body_util::BodyExt as _;
use hyper::body::{Frame, Incoming};
use ledger::{LedgerClient, ProgramKey, TurnKey, TurnRecord};
use routing::{EventAssembler, PaceSample, RunPolicy, ServerKey, StartSample, StreamEvent};
use slog::{info, warn};
use tokio::time::timeout_at;

use crate::answer::{AnswerBody, EventStream, StreamBroken};
use crate::dispatch::{AcceptedAnswer, Dispatcher, SentAttempt};
use crate::holders::HeldUse;
use crate::memory::{CallerConnection, MemoryLease};
use crate::pool::ConnectionLease;
use crate::read_ahead::read_ahead;
use crate::state::{LoadGuard, whole_millis};

/// Time from its first event for which a run may still have just begun: a server that a request crashes does so at the
/// beginning.
const RUN_START_PERIOD: Duration = Duration::from_millis(200);
/// Smallest number of events from which the pace of a stream is taken.
const MIN_PACE_EVENTS: u64 = 3;

/// Largest event of a stream. A server that sends more without an end of the event has failed.
const MAX_EVENT_BYTES: usize = 64 * 1024;
/// Largest output of a turn that is stored.
const MAX_OUTPUT_BYTES: usize = 4 * 1024 * 1024;

/// Token reservation of a turn, made before the turn runs. Dropping it settles the tokens that the turn has
/// spent.
#[derive(Debug)]
pub(crate) struct TurnReservation {
    ledger: LedgerClient,
    program: ProgramKey,
    turn: TurnKey,
    spent: u64,
    begins_program: bool,
}

impl TurnReservation {
    pub(crate) const fn new(
        ledger: LedgerClient,
        program: ProgramKey,
        turn: TurnKey,
        begins_program: bool,
    ) -> Self {
        Self {
            ledger,
            program,
            turn,
            spent: 0,
            begins_program,
        }
    }

    /// Returns whether the turn is the first one of its program.
    pub(crate) const fn begins_program(&self) -> bool {
        self.begins_program
    }
}

impl Drop for TurnReservation {
    fn drop(&mut self) {
        self.ledger.settle(self.program, self.turn, self.spent);
    }
}

/// A turn that is not stored yet: collects its output and becomes a record once its stream has ended
/// completely.
#[derive(Debug)]
pub(crate) struct PendingTurn {
    pub(crate) program: ProgramKey,
    pub(crate) turn: TurnKey,
    pub(crate) previous: Option<TurnKey>,
    pub(crate) input: Bytes,
    pub(crate) retention_ms: u64,
    output: Vec<u8>,
    output_memory: Option<MemoryLease>,
}

impl PendingTurn {
    pub(crate) const fn new(
        program: ProgramKey,
        turn: TurnKey,
        previous: Option<TurnKey>,
        input: Bytes,
        retention_ms: u64,
    ) -> Self {
        Self {
            program,
            turn,
            previous,
            input,
            retention_ms,
            output: Vec::new(),
            output_memory: None,
        }
    }

    /// Returns the turn with its output counted as memory held for a connection.
    pub(crate) fn held_for(self, connection: Option<&Arc<CallerConnection>>) -> Self {
        let output_memory = connection.map(|connection| connection.hold(0, HeldUse::Working));
        Self {
            output_memory,
            ..self
        }
    }

    fn append_event(&mut self, event: &StreamEvent) {
        event.append_data(&mut self.output);
        if let Some(memory) = &mut self.output_memory {
            memory.grow_to(self.output.capacity() as u64);
        }
    }

    fn into_record(self) -> TurnRecord {
        TurnRecord {
            program: self.program,
            turn: self.turn,
            previous: self.previous,
            input: self.input,
            output: self.output.into(),
            retention_ms: self.retention_ms,
        }
    }
}

/// The backend server's stream that is being read, with its connection.
struct StreamSource {
    body: Incoming,
    server: ServerKey,
    lease: ConnectionLease,
    _load: LoadGuard,
}

/// Measures the time between the events of one source.
#[derive(Debug, Default)]
struct PaceMeter {
    /// Times of the first and the latest event.
    span: Option<(Instant, Instant)>,
    events: u64,
}

impl PaceMeter {
    fn count_event(&mut self) {
        let now = Instant::now();
        self.span = Some((self.span.map_or(now, |(first, _)| first), now));
        self.events += 1;
    }

    /// Returns whether the run has brought no event yet, or its first one a short time ago.
    fn has_just_begun(&self) -> bool {
        self.span
            .is_none_or(|(first, _)| first.elapsed() < RUN_START_PERIOD)
    }

    /// Returns the pace, or `None` for a stream of fewer than three events.
    fn sample(&self) -> Option<PaceSample> {
        let (first, latest) = self.span.filter(|_| self.events >= MIN_PACE_EVENTS)?;
        let span_us = u64::try_from((latest - first).as_micros()).ok()?;
        Some(PaceSample {
            event_us: span_us / (self.events - 1),
            events: self.events,
        })
    }
}

/// Result of a read from a stream.
enum StreamRead {
    Bytes(Bytes),
    End,
    Broken,
    TimedOut,
}

/// Relays the events of a turn to the caller, resumes the stream at another backend server where that is
/// allowed, and stores the turn at its end.
pub(crate) struct StreamRelay {
    dispatcher: Dispatcher,
    source: Option<StreamSource>,
    /// Attempt that the backend server of the current or last source answered.
    attempt: SentAttempt,
    assembler: EventAssembler,
    reservation: Option<TurnReservation>,
    pending_turn: Option<PendingTurn>,
    tokens_per_event: u64,
    last_event: Option<u64>,
    events: u64,
    arrived: Instant,
    /// Time from the arrival of the request to its first event.
    first_event: Option<Duration>,
    /// Pace of the events of the present source.
    pace: PaceMeter,
}

impl StreamRelay {
    /// Starts to relay an accepted answer.
    pub(crate) fn new(
        dispatcher: Dispatcher,
        accepted: AcceptedAnswer,
        reservation: Option<TurnReservation>,
        pending_turn: Option<PendingTurn>,
        tokens_per_event: u64,
        arrived: Instant,
    ) -> Self {
        let last_event = dispatcher.plan.last_event;
        Self {
            dispatcher,
            attempt: accepted.attempt.clone(),
            source: Some(StreamSource::new(accepted)),
            assembler: EventAssembler::default(),
            reservation,
            pending_turn,
            tokens_per_event,
            last_event,
            events: 0,
            arrived,
            first_event: None,
            pace: PaceMeter::default(),
        }
    }

    /// Returns the body of the answer, which drives the relay.
    pub(crate) fn into_body(self) -> AnswerBody {
        let connection = self.dispatcher.plan.connection.clone();
        let events: EventStream = Box::pin(stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Ok(None) => {
                    relay.log_end("finished");
                    None
                }
                Err(broken) => {
                    relay.log_end(broken.0);
                    Some((Err(broken), None))
                }
            }
        }));
        AnswerBody::stream(read_ahead(events, connection))
    }

    /// Returns the bytes of the next event, or `None` when the stream has ended completely.
    async fn next(&mut self) -> Result<Option<Bytes>, StreamBroken> {
        loop {
            while let Some(event) = self.assembler.next_event() {
                if let Some(bytes) = self.take_event(event) {
                    return Ok(Some(bytes));
                }
            }
            if self.output_bytes() > MAX_OUTPUT_BYTES {
                return Err(StreamBroken("the output of the turn is too long"));
            }
            let Some(source) = &mut self.source else {
                return Ok(None);
            };
            // The buffer holds no complete event here.
            if self.assembler.buffered_bytes() > MAX_EVENT_BYTES {
                self.resume().await?;
                continue;
            }
            match source.read(self.dispatcher.plan.deadline).await {
                StreamRead::Bytes(bytes) => self.assembler.push(&bytes),
                StreamRead::End if !self.assembler.has_partial() => {
                    self.finish().await?;
                    return Ok(None);
                }
                StreamRead::End | StreamRead::Broken => {
                    if self.pace.has_just_begun() {
                        let SentAttempt { server, sent_at, .. } = &self.attempt;
                        self.dispatcher.investigate_loss(server, *sent_at);
                    }
                    self.resume().await?;
                }
                StreamRead::TimedOut => return Err(StreamBroken("the deadline of the request has passed")),
            }
        }
    }

    fn output_bytes(&self) -> usize {
        self.pending_turn.as_ref().map_or(0, |turn| turn.output.len())
    }

    /// Counts an event and returns its bytes, or `None` when the caller has already received it.
    fn take_event(&mut self, event: StreamEvent) -> Option<Bytes> {
        if event.id.is_some() {
            if event.id <= self.last_event {
                return None;
            }
            self.last_event = event.id;
        }
        self.events += 1;
        self.pace.count_event();
        if self.pace.events == 1 {
            self.record_start();
        }
        self.first_event.get_or_insert_with(|| self.arrived.elapsed());
        if event.has_data() {
            if let Some(reservation) = &mut self.reservation {
                reservation.spent += self.tokens_per_event;
            }
            if let Some(turn) = &mut self.pending_turn {
                turn.append_event(&event);
            }
        }
        Some(event.bytes)
    }

    /// Records the time until the first event of the present source.
    fn record_start(&self) {
        let plan = &self.dispatcher.plan;
        let Some(source) = self.source.as_ref().filter(|_| plan.prompt.is_some()) else {
            return;
        };
        let first_us = u64::try_from(self.attempt.sent_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        let sample = StartSample {
            first_us,
            read_tokens: self.attempt.read_tokens,
        };
        let entry = &self.dispatcher.entry;
        entry.record_start(&plan.service, source.server, sample);
    }

    /// Returns the connection to the pool, settles the tokens and stores the turn.
    async fn finish(&mut self) -> Result<(), StreamBroken> {
        if let Some(source) = self.source.take() {
            if let Some(sample) = self.pace.sample() {
                let entry = &self.dispatcher.entry;
                entry.record_pace(&self.dispatcher.plan.service, source.server, sample);
            }
            source.lease.finish();
            self.dispatcher.entry.record_success(self.dispatcher.plan.content);
        }
        self.reservation = None;
        let Some(turn) = self.pending_turn.take() else {
            return Ok(());
        };
        let record = turn.into_record();
        let entry = &self.dispatcher.entry;
        let before = Instant::now();
        let keeping = entry.ledger.store_turn(record.clone());
        let result = timeout_at(self.dispatcher.plan.deadline.into(), keeping).await;
        entry.metrics.keep.observe(before.elapsed().as_secs_f64());
        match result {
            Ok(Ok(())) => {
                entry.chains.insert(record);
                Ok(())
            }
            Ok(Err(failure)) => {
                warn!(entry.log, "turn not stored"; "request" => &self.dispatcher.plan.attempt_id, "error" => %failure);
                Err(StreamBroken("the turn could not be stored"))
            }
            Err(_) => {
                warn!(entry.log, "turn not stored"; "request" => &self.dispatcher.plan.attempt_id, "error" => "the deadline of the request has passed");
                Err(StreamBroken("the turn could not be stored before the deadline"))
            }
        }
    }

    /// Resumes the stream at another backend server after the last complete event.
    async fn resume(&mut self) -> Result<(), StreamBroken> {
        if let Some(source) = self.source.take() {
            let service = &self.dispatcher.plan.service;
            self.dispatcher.entry.record_broken_run(service, source.server);
        }
        self.assembler.discard_partial();
        let may_resume =
            self.dispatcher.plan.run_policy == RunPolicy::Resumable && self.dispatcher.may_repeat();
        if !may_resume {
            return Err(StreamBroken("the backend server broke off the stream"));
        }
        self.dispatcher.plan.last_event = self.last_event;
        let accepted = self.dispatcher.dispatch().await;
        let accepted = accepted.map_err(|_refusal| StreamBroken("no backend server resumed the stream"))?;
        if !accepted.head.status.is_success() {
            return Err(StreamBroken("a backend server refused to resume the stream"));
        }
        self.log_resumed(&accepted.attempt);
        self.attempt.clone_from(&accepted.attempt);
        self.pace = PaceMeter::default();
        self.source = Some(StreamSource::new(accepted));
        Ok(())
    }

    fn log_resumed(&self, next: &SentAttempt) {
        let entry = &self.dispatcher.entry;
        if !entry.line_limiter.try_acquire() {
            entry.metrics.log_lines_dropped.inc();
            return;
        }
        info!(entry.log, "stream resumed"; "request" => &self.dispatcher.plan.attempt_id, "after" => self.last_event,
            "events" => self.events, "server" => &self.attempt.server.name, "version" => &self.attempt.server.software_version,
            "next_server" => &next.server.name, "next_version" => &next.server.software_version,
            "content" => %self.dispatcher.plan.content.whole, "directory" => next.view.revision, "ms" => self.arrived.elapsed().as_millis());
    }

    fn log_end(&self, outcome: &'static str) {
        let entry = &self.dispatcher.entry;
        entry
            .metrics
            .requests
            .with_label_values(&[if outcome == "finished" {
                "finished"
            } else {
                "broken"
            }])
            .inc();
        if !entry.line_limiter.try_acquire() {
            entry.metrics.log_lines_dropped.inc();
            return;
        }
        info!(entry.log, "stream ended"; "request" => &self.dispatcher.plan.attempt_id,
            "route" => &self.dispatcher.plan.route, "outcome" => outcome, "server" => &self.attempt.server.name, "events" => self.events,
            "ms" => self.arrived.elapsed().as_millis(), "first_ms" => self.first_event.map(whole_millis), "sent" => self.dispatcher.sent(),
            "version" => &self.attempt.server.software_version, "resumes" => &self.dispatcher.plan.resumes,
            "content" => %self.dispatcher.plan.content.whole, "sent_ms" => whole_millis(self.attempt.sent_at - self.arrived),
            "directory" => self.attempt.view.revision, "registered" => self.attempt.view.is_registered);
    }
}

impl StreamSource {
    fn new(accepted: AcceptedAnswer) -> Self {
        Self {
            body: accepted.answer.response.into_body(),
            server: accepted.server,
            lease: accepted.answer.lease,
            _load: accepted.load,
        }
    }

    async fn read(&mut self, deadline: Instant) -> StreamRead {
        loop {
            let frame = match timeout_at(deadline.into(), self.body.frame()).await {
                Err(_) => return StreamRead::TimedOut,
                Ok(None) => return StreamRead::End,
                Ok(Some(Err(_))) => return StreamRead::Broken,
                Ok(Some(Ok(frame))) => frame,
            };
            if let Ok(bytes) = frame.into_data() {
                return StreamRead::Bytes(bytes);
            }
        }
    }
}
