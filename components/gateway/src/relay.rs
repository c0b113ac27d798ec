//! A backend server's event stream on its way to the caller.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt as _, Either, StreamBody};
use hyper::body::{Frame, Incoming};
use ledger::{LedgerClient, ProgramKey, TurnKey, TurnRecord};
use routing::{EventAssembler, RunPolicy, StreamEvent};
use slog::{info, warn};
use tokio::time::timeout_at;

use crate::answer::{AnswerBody, EventStream, StreamBroken};
use crate::dispatch::{AcceptedAnswer, Dispatcher};
use crate::pool::ConnectionLease;
use crate::state::{LoadGuard, whole_millis};

/// The tokens of a turn: reserved before it runs, settled when the account is dropped.
#[derive(Debug)]
pub(crate) struct TurnAccount {
    ledger: LedgerClient,
    program: ProgramKey,
    turn: TurnKey,
    spent: u64,
}

impl TurnAccount {
    pub(crate) const fn new(ledger: LedgerClient, program: ProgramKey, turn: TurnKey) -> Self {
        Self {
            ledger,
            program,
            turn,
            spent: 0,
        }
    }
}

impl Drop for TurnAccount {
    fn drop(&mut self) {
        self.ledger.settle(self.program, self.turn, self.spent);
    }
}

/// What is kept of a turn once it has ended whole.
#[derive(Debug)]
pub(crate) struct KeptTurn {
    pub(crate) program: ProgramKey,
    pub(crate) turn: TurnKey,
    pub(crate) previous: Option<TurnKey>,
    pub(crate) input: Bytes,
    pub(crate) retention_ms: u64,
    output: Vec<u8>,
}

impl KeptTurn {
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

/// The stream that is being read.
struct StreamSource {
    body: Incoming,
    lease: ConnectionLease,
    _load: LoadGuard,
}

/// What the next read of a stream brought.
enum StreamRead {
    Bytes(Bytes),
    End,
    Broken,
    Late,
}

/// Passes the events of a turn on, resumes the stream where that is allowed, and keeps the turn at its end.
pub(crate) struct StreamRelay {
    dispatcher: Dispatcher,
    source: Option<StreamSource>,
    /// Server of the present or last source.
    server_name: String,
    assembler: EventAssembler,
    account: Option<TurnAccount>,
    kept: Option<KeptTurn>,
    tokens_per_event: u64,
    last_event: Option<u64>,
    events: u64,
    arrived: Instant,
    /// Time from the arrival of the request to its first event.
    first_event: Option<Duration>,
}

impl StreamRelay {
    /// Starts to relay an accepted answer.
    pub(crate) fn new(
        dispatcher: Dispatcher,
        accepted: AcceptedAnswer,
        account: Option<TurnAccount>,
        kept: Option<KeptTurn>,
        tokens_per_event: u64,
        arrived: Instant,
    ) -> Self {
        let last_event = dispatcher.plan.last_event;
        Self {
            dispatcher,
            server_name: accepted.server_name.clone(),
            source: Some(StreamSource::new(accepted)),
            assembler: EventAssembler::default(),
            account,
            kept,
            tokens_per_event,
            last_event,
            events: 0,
            arrived,
            first_event: None,
        }
    }

    /// Returns the body of the answer.
    pub(crate) fn into_body(self) -> AnswerBody {
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
        Either::Right(StreamBody::new(events))
    }

    /// Returns the bytes of the next event, or `None` when the stream has ended whole.
    async fn next(&mut self) -> Result<Option<Bytes>, StreamBroken> {
        loop {
            while let Some(event) = self.assembler.next_event() {
                if let Some(bytes) = self.take_event(event) {
                    return Ok(Some(bytes));
                }
            }
            let Some(source) = &mut self.source else {
                return Ok(None);
            };
            match source.read(self.dispatcher.plan.deadline).await {
                StreamRead::Bytes(bytes) => self.assembler.push(&bytes),
                StreamRead::End if !self.assembler.has_partial() => {
                    self.finish().await?;
                    return Ok(None);
                }
                StreamRead::End | StreamRead::Broken => self.resume().await?,
                StreamRead::Late => return Err(StreamBroken("the time for the request is over")),
            }
        }
    }

    /// Counts an event; `None` when the caller has it already.
    fn take_event(&mut self, event: StreamEvent) -> Option<Bytes> {
        if event.id.is_some() {
            if event.id <= self.last_event {
                return None;
            }
            self.last_event = event.id;
        }
        self.events += 1;
        self.first_event.get_or_insert_with(|| self.arrived.elapsed());
        if event.has_data() {
            if let Some(account) = &mut self.account {
                account.spent += self.tokens_per_event;
            }
            if let Some(kept) = &mut self.kept {
                event.append_data(&mut kept.output);
            }
        }
        Some(event.bytes)
    }

    /// Returns the connection, settles the tokens and keeps the turn.
    async fn finish(&mut self) -> Result<(), StreamBroken> {
        if let Some(source) = self.source.take() {
            source.lease.finish();
        }
        self.account = None;
        let Some(kept) = self.kept.take() else {
            return Ok(());
        };
        let record = kept.into_record();
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
                warn!(entry.log, "turn not kept"; "request" => &self.dispatcher.plan.attempt_id, "error" => %failure);
                Err(StreamBroken("the turn could not be kept"))
            }
            Err(_) => {
                warn!(entry.log, "turn not kept"; "request" => &self.dispatcher.plan.attempt_id, "error" => "late");
                Err(StreamBroken("the turn could not be kept in time"))
            }
        }
    }

    /// Goes on at another backend server from the last whole event.
    async fn resume(&mut self) -> Result<(), StreamBroken> {
        self.source = None;
        self.assembler.discard_partial();
        let may_resume =
            self.dispatcher.plan.run_policy == RunPolicy::Resumable && self.dispatcher.may_repeat();
        if !may_resume {
            return Err(StreamBroken("the backend server broke off"));
        }
        self.dispatcher.plan.last_event = self.last_event;
        let accepted = self.dispatcher.answer().await;
        let accepted = accepted.map_err(|_refusal| StreamBroken("no backend server resumed the stream"))?;
        if !accepted.head.status.is_success() {
            return Err(StreamBroken("a backend server refused to resume the stream"));
        }
        self.server_name.clone_from(&accepted.server_name);
        self.source = Some(StreamSource::new(accepted));
        Ok(())
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
        if !entry.lines.take() {
            entry.metrics.log_lines_dropped.inc();
            return;
        }
        info!(entry.log, "stream ended"; "request" => &self.dispatcher.plan.attempt_id,
            "route" => &self.dispatcher.plan.route, "outcome" => outcome, "server" => &self.server_name, "events" => self.events,
            "ms" => self.arrived.elapsed().as_millis(), "first_ms" => self.first_event.map(whole_millis), "sent" => self.dispatcher.sent());
    }
}

impl StreamSource {
    fn new(accepted: AcceptedAnswer) -> Self {
        Self {
            body: accepted.answer.response.into_body(),
            lease: accepted.answer.lease,
            _load: accepted.load,
        }
    }

    async fn read(&mut self, deadline: Instant) -> StreamRead {
        loop {
            let frame = match timeout_at(deadline.into(), self.body.frame()).await {
                Err(_) => return StreamRead::Late,
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
