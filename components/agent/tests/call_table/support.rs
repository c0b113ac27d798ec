//! Orders and keys for the tests of the call table.

use agent::{CallLimits, CallTable, StartedCall};
use domain::{
    AttemptKey, AttemptNumber, CallKey, CallOutcome, CallReply, IncarnationId, PlainReply, PlainRequest,
    ProgramKey, TenureNumber, TimeMillis, TokenUsage,
};
use wire::DispatchOrder;

/// Number that identifies the start of the agent in the call tables under test.
pub const START: u64 = 77;

/// Kind of an order: a chat, or a plain call that may or may not be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    Chat,
    Repeatable,
    Once,
}

pub fn table(concurrency: u32, queue_length: u32) -> CallTable {
    CallTable::new(
        START,
        CallLimits {
            concurrency,
            queue_length,
        },
    )
}

pub fn program(sequence: u64) -> ProgramKey {
    ProgramKey {
        incarnation: IncarnationId(1),
        sequence,
    }
}

pub fn call(sequence: u64) -> CallKey {
    CallKey {
        program: program(1),
        sequence,
    }
}

pub fn attempt(call: CallKey, tenure: u64, attempt: u64) -> AttemptKey {
    AttemptKey {
        call,
        tenure: TenureNumber(tenure),
        attempt: AttemptNumber(attempt),
    }
}

pub fn order(kind: OrderKind, attempt: AttemptKey) -> DispatchOrder {
    order_at(kind, attempt, 0, None)
}

pub fn order_at(
    kind: OrderKind,
    attempt: AttemptKey,
    priority: u64,
    start_before: Option<u64>,
) -> DispatchOrder {
    let start_before = start_before.map(TimeMillis);
    let service = "service".parse().expect("a name");
    if kind == OrderKind::Chat {
        return DispatchOrder::Chat {
            attempt,
            service,
            messages: Vec::new(),
            prefix: String::new(),
            max_tokens: 8,
            priority,
            start_before,
            timeout_ms: 1_000,
        };
    }
    DispatchOrder::Plain {
        attempt,
        service,
        request: PlainRequest {
            method: "POST".to_owned(),
            path: "/".to_owned(),
            content_type: String::new(),
            body: Vec::new(),
        },
        idempotency_key: "key".to_owned(),
        repeatable: kind == OrderKind::Repeatable,
        agent_start: START,
        priority,
        start_before,
        timeout_ms: 1_000,
    }
}

pub fn answered(kind: OrderKind) -> CallOutcome {
    CallOutcome::Answered(match kind {
        OrderKind::Chat => CallReply::Chat {
            text: String::new(),
            usage: TokenUsage::default(),
        },
        _ => CallReply::Plain(PlainReply {
            status: 200,
            content_type: String::new(),
            body: Vec::new(),
        }),
    })
}

pub fn started_key(started: Option<StartedCall>) -> Option<AttemptKey> {
    started.map(|started| started.order.attempt())
}
