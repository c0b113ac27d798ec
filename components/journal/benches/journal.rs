//! Measures encoding, decoding and applying the two records of one turn.

use std::hint::black_box;

use bytes::Bytes;
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use domain::{
    AttemptKey, AttemptNumber, CallKey, CallOutcome, CallPayload, CallReply, CallRequest, ChatMessage,
    ChatRole, FinishedCall, IncarnationId, IntentRecord, MicroUnits, ProgramKey, ProgramState, TenureNumber,
    TimeMillis, TokenUsage, UrgencyClass,
};
use journal::{JournalRecord, JournalState};

/// Size of a request and of an answer, about 300 tokens each.
const MESSAGE_BYTES: usize = 1200;
const PROGRAM: ProgramKey = ProgramKey {
    incarnation: IncarnationId(1),
    sequence: 1,
};
const CALL: CallKey = CallKey {
    program: PROGRAM,
    sequence: 1,
};

fn message(role: ChatRole) -> ChatMessage {
    let content = "x".repeat(MESSAGE_BYTES);
    ChatMessage { role, content }
}

fn intent() -> JournalRecord {
    JournalRecord::Intent(IntentRecord {
        attempt: AttemptKey {
            call: CALL,
            tenure: TenureNumber(1),
            attempt: AttemptNumber(1),
        },
        request: CallRequest {
            service: "planner".parse().expect("service"),
            idempotency_key: "key-1".to_owned(),
            payload: CallPayload::Chat {
                messages: vec![message(ChatRole::User)],
                max_tokens: 400,
            },
        },
        host: "worker-1".parse().expect("host"),
        agent_start: 1,
        reserved: MicroUnits(1),
    })
}

fn finished() -> JournalRecord {
    let answer = message(ChatRole::Assistant);
    let reply = CallReply::Chat {
        text: answer.content.clone(),
        usage: TokenUsage::default(),
    };
    JournalRecord::Finished {
        finished: FinishedCall {
            call: CALL,
            idempotency_key: "key-1".to_owned(),
            fingerprint: 1,
            outcome: CallOutcome::Answered(reply),
            charged: MicroUnits(1),
            unsettled: None,
        },
        new_messages: vec![message(ChatRole::User), answer],
        host: None,
        served_tokens: 600,
        at: TimeMillis(1),
    }
}

fn bench_turn(criterion: &mut Criterion) {
    let turn = [intent(), finished()];
    let encoded = Bytes::from(postcard::to_stdvec(&turn).expect("encode"));
    println!("one turn takes {} bytes", encoded.len());
    criterion.bench_function("encode_turn", |bencher| {
        bencher.iter(|| postcard::to_stdvec(black_box(&turn)).expect("encode"));
    });
    criterion.bench_function("decode_turn", |bencher| {
        bencher.iter(|| postcard::from_bytes::<[JournalRecord; 2]>(black_box(&encoded)).expect("decode"));
    });
    let team = "hulls".parse().expect("team");
    let program = ProgramState::new(PROGRAM, team, UrgencyClass::Ordinary, TimeMillis(1));
    let state = JournalState::new(vec![program], Vec::new(), Vec::new());
    criterion.bench_function("apply_turn", |bencher| {
        let apply = |mut state: JournalState| {
            for record in &turn {
                state.apply(record);
            }
            state
        };
        bencher.iter_batched(|| state.clone(), apply, BatchSize::SmallInput);
    });
}

criterion_group!(benches, bench_turn);
criterion_main!(benches);
