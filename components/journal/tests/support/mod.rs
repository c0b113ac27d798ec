//! Programs, records and faulty stores for the tests of the journal.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::sync::Arc;
use std::time::Duration;

use domain::*;
use journal::{JournalRecord, JournalWriter};
use platform::{MemoryStore, ObjectStore};

pub const OWNER: IncarnationId = IncarnationId(7);
pub const HEIR: IncarnationId = IncarnationId(8);
pub const OTHER_HEIR: IncarnationId = IncarnationId(9);
pub const SPACING: Duration = Duration::from_millis(20);
pub const BUFFER_BYTES: usize = 8 << 20;

pub fn program_key(sequence: u64) -> ProgramKey {
    ProgramKey {
        incarnation: OWNER,
        sequence,
    }
}

pub fn started(sequence: u64) -> JournalRecord {
    JournalRecord::Started(new_program(sequence))
}

pub fn new_program(sequence: u64) -> ProgramState {
    let team = "hulls".parse().expect("team");
    ProgramState::new(program_key(sequence), team, UrgencyClass::Ordinary, TimeMillis(1))
}

pub fn call_key(program: u64, sequence: u64) -> CallKey {
    CallKey {
        program: program_key(program),
        sequence,
    }
}

pub fn host() -> HostName {
    "worker-1".parse().expect("host")
}

pub fn intent(program: u64, call: u64) -> JournalRecord {
    JournalRecord::Intent(IntentRecord {
        attempt: AttemptKey {
            call: call_key(program, call),
            tenure: TenureNumber(1),
            attempt: AttemptNumber(1),
        },
        request: CallRequest {
            service: "notes".parse().expect("service"),
            idempotency_key: format!("key-{call}"),
            payload: CallPayload::Chat {
                messages: Vec::new(),
                max_tokens: 9,
            },
        },
        host: host(),
        agent_start: 3,
        reserved: MicroUnits(50),
    })
}

pub fn finished(program: u64, call: u64) -> JournalRecord {
    finished_with(program, call, format!("answer {call}"))
}

pub fn finished_with(program: u64, call: u64, content: String) -> JournalRecord {
    JournalRecord::Finished {
        finished: FinishedCall {
            call: call_key(program, call),
            idempotency_key: format!("key-{call}"),
            fingerprint: call,
            outcome: CallOutcome::Answered(CallReply::Chat {
                text: String::new(),
                usage: TokenUsage::default(),
            }),
            charged: MicroUnits(5),
        },
        new_messages: vec![ChatMessage {
            role: ChatRole::Assistant,
            content,
        }],
        host: Some(host()),
        served_tokens: 3,
        at: TimeMillis(call),
    }
}

pub fn open(store: &Arc<MemoryStore>) -> JournalWriter {
    let store: Arc<dyn ObjectStore> = Arc::clone(store) as Arc<dyn ObjectStore>;
    open_on(store)
}

pub fn open_on(store: Arc<dyn ObjectStore>) -> JournalWriter {
    JournalWriter::open(store, OWNER, SPACING, BUFFER_BYTES)
}

/// Contents of a program's history, in their order.
pub fn contents(program: &ProgramState) -> Vec<&str> {
    program
        .history
        .iter()
        .map(|message| message.content.as_str())
        .collect()
}
